package kit

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Member is a host in discovery's list.
type Member struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
}

// List is a list of hosts, or what has changed in it.
type List struct {
	Version int      `json:"version"`
	Full    bool     `json:"full"`
	Servers []Member `json:"servers"`
}

// Writer writes one message of a watch. The default writes and flushes it at once.
type Writer func(w http.ResponseWriter, message []byte)

// Discovery is a stand-in for discovery with the watch of the protocol page: the first message of a watch is the whole
// list, then come changes, and an empty line every 2 s while nothing changes.
type Discovery struct {
	Addr   string
	Name   string // for the record
	Record *Record
	Silent atomic.Bool // says nothing: neither on open watches nor to new calls, which stay open
	// Before, if set, is called at the start of each call for the list, and may wait.
	Before func(call int)
	// WriteFirst, if set, writes the first message of a watch.
	WriteFirst Writer

	mu      sync.Mutex
	members []Member
	version int
	changed chan struct{} // closed and replaced at each change
	calls   int
	open    int // open watches
}

// StartDiscovery starts the stand-in.
func StartDiscovery(r *Record, name string, members []Member) (*Discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{Addr: ln.Addr().String(), Name: name, Record: r, members: members, version: 41, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", d.serve)
	go http.Serve(ln, mux)
	return d, nil
}

// Known returns the list as it is.
func (d *Discovery) Known() List {
	d.mu.Lock()
	defer d.mu.Unlock()
	return List{Version: d.version, Full: true, Servers: append([]Member{}, d.members...)}
}

// SetState changes the state of a host.
func (d *Discovery) SetState(id, state string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.members {
		if d.members[i].ID == id {
			d.members[i].State = state
		}
	}
	d.version++
	close(d.changed)
	d.changed = make(chan struct{})
	d.Record.Logf("%s: version %d has %s as %s", d.Name, d.version, id, state)
}

// snapshot returns the list, and a channel that is closed at the next change.
func (d *Discovery) snapshot() (List, chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return List{Version: d.version, Full: true, Servers: append([]Member{}, d.members...)}, d.changed
}

func (d *Discovery) serve(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	d.calls++
	call := d.calls
	d.mu.Unlock()
	d.Record.Logf("%s: call %d, %s", d.Name, call, r.URL.RawQuery)
	defer d.Record.Logf("%s: call %d has ended", d.Name, call)
	if d.Silent.Load() {
		<-r.Context().Done()
		return
	}
	if d.Before != nil {
		d.Before(call)
	}
	list, changed := d.snapshot()
	write := d.WriteFirst
	if write == nil {
		write = writeWhole
	}
	write(w, encode(list))
	if r.Context().Err() == nil {
		d.Record.Logf("%s: call %d, version %d is written", d.Name, call, list.Version)
	}
	if r.URL.Query().Get("stream") != "1" {
		return
	}
	d.countOpen(1)
	defer d.countOpen(-1)
	for {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(2 * time.Second):
			if !d.Silent.Load() {
				writeWhole(w, []byte("\n"))
			}
		case <-changed:
			if d.Silent.Load() {
				<-r.Context().Done()
				return
			}
			before := list
			list, changed = d.snapshot()
			writeWhole(w, encode(changes(before, list)))
			d.Record.Logf("%s: call %d, version %d is written", d.Name, call, list.Version)
		}
	}
}

func (d *Discovery) countOpen(by int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.open += by
}

// OpenWatches returns the number of open watches.
func (d *Discovery) OpenWatches() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.open
}

// changes returns the entries of a list that differ from an earlier one.
func changes(before, now List) List {
	out := List{Version: now.Version, Servers: []Member{}}
	for i, m := range now.Servers {
		if m != before.Servers[i] {
			out.Servers = append(out.Servers, m)
		}
	}
	return out
}

func encode(l List) []byte {
	b, err := json.Marshal(l)
	if err != nil {
		panic(err)
	}
	return append(b, '\n')
}

func writeWhole(w http.ResponseWriter, message []byte) {
	w.Write(message)
	w.(http.Flusher).Flush()
}

// InPieces returns a Writer that spreads a message over a time, in equal pieces.
func InPieces(over time.Duration, pieces int) Writer {
	return func(w http.ResponseWriter, message []byte) {
		for i := range pieces {
			from, to := len(message)*i/pieces, len(message)*(i+1)/pieces
			if _, err := w.Write(message[from:to]); err != nil {
				return
			}
			w.(http.Flusher).Flush()
			if i < pieces-1 {
				time.Sleep(over / time.Duration(pieces-1))
			}
		}
	}
}

// Members returns entries for hosts at the given addresses, all ready, in cells of the given size.
func Members(addrs []string, cellSize int) []Member {
	var list []Member
	for i, addr := range addrs {
		list = append(list, Member{
			ID: fmt.Sprintf("s-%02d", i), Addr: addr, Zone: "hall-a", Kind: "mid-1c", Cell: i / cellSize, State: "ready", Weight: 1,
		})
	}
	return list
}
