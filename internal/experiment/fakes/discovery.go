package fakes

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"time"
)

// Member is a host of the list, in discovery's form.
type Member struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

// MemberList is the whole list or changes of it.
type MemberList struct {
	Version uint64   `json:"version"`
	Full    bool     `json:"full"`
	Servers []Member `json:"servers"`
}

// Discovery tells watches of the list and of its changes.
type Discovery struct {
	http *httptest.Server

	mu       sync.Mutex
	members  []Member
	version  uint64
	changed  chan struct{} // closed with each change
	silent   bool
	watches  int
	watching int // of them, open
}

// emptyEvery is how often a line comes while nothing changes.
const emptyEvery = 2 * time.Second

// StartDiscovery starts one on a free port of 127.0.0.1.
func StartDiscovery(members ...Member) *Discovery {
	d := &Discovery{members: members, version: 1, changed: make(chan struct{})}
	d.http = httptest.NewServer(http.HandlerFunc(d.serve))
	return d
}

// Addr is where it listens.
func (d *Discovery) Addr() string { return d.http.Listener.Addr().(*net.TCPAddr).String() }

// Close ends it and all watches.
func (d *Discovery) Close() {
	d.http.CloseClientConnections()
	d.http.Close()
}

// Set replaces the whole list; what is not on it any more is told as gone.
func (d *Discovery) Set(members ...Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.members = members
	d.version++
	close(d.changed)
	d.changed = make(chan struct{})
}

// Silence has it say nothing on open watches and answer no new ones, or ends that.
func (d *Discovery) Silence(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = on
	close(d.changed)
	d.changed = make(chan struct{})
}

// Watching is the number of watches that are open.
func (d *Discovery) Watching() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.watching
}

// Watches is the number of watches begun.
func (d *Discovery) Watches() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.watches
}

// now is the list as it is, and what to wait for.
func (d *Discovery) now() (MemberList, bool, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return MemberList{Version: d.version, Full: true, Servers: d.members}, d.silent, d.changed
}

func (d *Discovery) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/catalog/members" {
		http.NotFound(w, r)
		return
	}
	list, silent, changed := d.now()
	for silent {
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		}
		list, silent, changed = d.now()
	}
	if r.URL.Query().Get("stream") != "1" {
		json.NewEncoder(w).Encode(list)
		return
	}
	index, err := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	if err != nil {
		http.Error(w, fmt.Sprintf("index: %v", err), http.StatusBadRequest)
		return
	}
	d.mu.Lock()
	d.watches++
	d.watching++
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.watching--
	}()
	out := json.NewEncoder(w)
	flush := http.NewResponseController(w).Flush
	told := index
	for {
		if !silent && told != list.Version {
			out.Encode(list)
			told = list.Version
		}
		if !silent && flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-time.After(emptyEvery):
			if !silent {
				w.Write([]byte("\n"))
			}
		}
		list, silent, changed = d.now()
	}
}
