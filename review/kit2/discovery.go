package kit2

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Member is a host in discovery's list.
type Member struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
	version   uint64
}

type list struct {
	Version uint64   `json:"version"`
	Full    bool     `json:"full"`
	Servers []Member `json:"servers"`
}

// heartbeat is how often a watch without news gets an empty line.
const heartbeat = 2 * time.Second

// Discovery is a discovery service. It may have several addresses, so that gateways can be told apart.
type Discovery struct {
	c *Case

	mu      sync.Mutex
	version uint64
	members []Member
	changed chan struct{}        // closed at the next change
	silent  map[string]time.Time // by address: the watches that were open then say nothing any more
	told    map[string]map[string]time.Time
	servers []*http.Server
}

// NewDiscovery returns a service without hosts.
func (c *Case) NewDiscovery() *Discovery {
	return &Discovery{c: c, version: 1, changed: make(chan struct{}), silent: map[string]time.Time{}, told: map[string]map[string]time.Time{}}
}

// Serve opens an address of the service.
func (d *Discovery) Serve() (addr string, err error) {
	addr = d.c.Address()
	ln, err := d.c.Listen(addr)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { d.serve(addr, w, r) })}
	d.servers = append(d.servers, server)
	go server.Serve(ln)
	return addr, nil
}

// Down takes the service down for good: watches end, and new connections are refused.
func (d *Discovery) Down() {
	for _, s := range d.servers {
		s.Close()
	}
	d.c.Logf("discovery: down")
}

// Set adds a host, or changes its state, for all watches. The address of a known host stays if addr is empty.
func (d *Discovery) Set(id, addr, state string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	m := Member{ID: id, Addr: addr, Zone: "hall-a", State: state, Weight: 1, version: d.version}
	found := false
	for i := range d.members {
		if d.members[i].ID == id {
			m.Addr = cmp.Or(addr, d.members[i].Addr)
			d.members[i], found = m, true
		}
	}
	if !found {
		d.members = append(d.members, m)
	}
	close(d.changed)
	d.changed = make(chan struct{})
	d.c.Logf("discovery: version %d, %s is %s", d.version, id, state)
}

// Silence makes the watches that are open at an address now say nothing any more.
func (d *Discovery) Silence(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent[addr] = time.Now()
	d.c.Logf("discovery: the open watches at %s fall silent", addr)
}

// Told returns when the service first wrote to a watch at an address that a host drains; zero if it has not.
func (d *Discovery) Told(addr, id string) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.told[addr][id]
}

func (d *Discovery) serve(addr string, w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/catalog/members" {
		http.NotFound(w, r)
		return
	}
	index, _ := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	if r.URL.Query().Get("stream") != "1" {
		l, _ := d.since(0)
		d.write(addr, w, l)
		return
	}
	began := time.Now()
	d.c.Logf("discovery: a watch at %s from version %d", addr, index)
	for {
		l, changed := d.since(index)
		if d.isSilent(addr, began) {
			<-r.Context().Done()
			return
		}
		if l != nil {
			index = l.Version
			if d.write(addr, w, l) != nil {
				return
			}
		}
		select {
		case <-r.Context().Done():
			d.c.Logf("discovery: a watch at %s has ended", addr)
			return
		case <-changed:
		case <-time.After(heartbeat):
			if !d.isSilent(addr, began) {
				fmt.Fprint(w, "\n")
				http.NewResponseController(w).Flush()
			}
		}
	}
}

func (d *Discovery) isSilent(addr string, began time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, silent := d.silent[addr]
	return silent && began.Before(at)
}

// since returns what has changed since a version, or the whole list, and the channel that is closed at the next change.
func (d *Discovery) since(index uint64) (*list, chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if index == d.version {
		return nil, d.changed
	}
	l := &list{Version: d.version, Full: index == 0 || index > d.version}
	for _, m := range d.members {
		if l.Full && m.State != "gone" || !l.Full && m.version > index {
			l.Servers = append(l.Servers, m)
		}
	}
	return l, d.changed
}

func (d *Discovery) write(addr string, w http.ResponseWriter, l *list) error {
	b, err := json.Marshal(l)
	if err != nil {
		return err
	}
	if _, err := w.Write(append(b, '\n')); err != nil {
		return err
	}
	if err := http.NewResponseController(w).Flush(); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, m := range l.Servers {
		if d.told[addr] == nil {
			d.told[addr] = map[string]time.Time{}
		}
		if _, known := d.told[addr][m.ID]; !known && m.State != "ready" {
			d.told[addr][m.ID] = time.Now()
			d.c.Logf("discovery: the watch at %s is told that %s is %s", addr, m.ID, m.State)
		}
	}
	return nil
}
