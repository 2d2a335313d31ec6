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

// Member is an entry of an endpoint list, in the format of the platform's discovery.
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

// MemberList is an endpoint list, or a change of it if Full is false.
type MemberList struct {
	Version uint64   `json:"version"`
	Full    bool     `json:"full"`
	Servers []Member `json:"servers"`
}

// Discovery is an HTTP server of an endpoint list, with watches.
type Discovery struct {
	server *httptest.Server

	mu          sync.Mutex // guards the fields below
	members     []Member
	version     uint64
	changed     chan struct{} // closed by the next change
	silent      bool
	watches     int // number of watches that have begun
	openWatches int
}

const (
	membersPath = "/catalog/members"
	// keepAliveInterval is the interval of empty lines on a watch without changes.
	keepAliveInterval = 2 * time.Second
)

// StartDiscovery starts a Discovery on a free port of 127.0.0.1.
func StartDiscovery(members ...Member) *Discovery {
	d := &Discovery{members: members, version: 1, changed: make(chan struct{})}
	d.server = httptest.NewServer(http.HandlerFunc(d.serve))
	return d
}

// Addr returns the address that discovery listens on.
func (d *Discovery) Addr() string { return d.server.Listener.Addr().(*net.TCPAddr).String() }

// Close stops discovery, and ends all watches.
func (d *Discovery) Close() {
	d.server.CloseClientConnections()
	d.server.Close()
}

// Publish replaces the endpoint list.
func (d *Discovery) Publish(members ...Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.members = members
	d.version++
	d.notify()
}

// SetSilent makes discovery send nothing on watches and respond to no requests, or ends that. Connections stay open.
func (d *Discovery) SetSilent(silent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = silent
	d.notify()
}

// notify wakes the watches. The caller holds d.mu.
func (d *Discovery) notify() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// OpenWatches returns the number of watches that are open.
func (d *Discovery) OpenWatches() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.openWatches
}

// Watches returns the number of watches that have begun.
func (d *Discovery) Watches() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.watches
}

// current returns the endpoint list, whether discovery is silent, and a channel that the next change closes.
func (d *Discovery) current() (list MemberList, silent bool, changed <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return MemberList{Version: d.version, Full: true, Servers: d.members}, d.silent, d.changed
}

func (d *Discovery) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != membersPath {
		http.NotFound(w, r)
		return
	}
	list, silent, changed := d.current()
	for silent {
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		}
		list, silent, changed = d.current()
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
	d.countWatch(1)
	defer d.countWatch(-1)
	d.watch(w, r, index)
}

// countWatch counts the beginning (1) or the end (-1) of a watch.
func (d *Discovery) countWatch(change int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.openWatches += change
	if change > 0 {
		d.watches++
	}
}

// watch sends the list whenever its version differs from the one sent last, until the client closes the connection.
func (d *Discovery) watch(w http.ResponseWriter, r *http.Request, sentVersion uint64) {
	out := json.NewEncoder(w)
	flush := http.NewResponseController(w).Flush
	for {
		list, silent, changed := d.current()
		if !silent {
			if sentVersion != list.Version {
				out.Encode(list)
				sentVersion = list.Version
			}
			if flush() != nil {
				return
			}
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-time.After(keepAliveInterval):
			if !silent {
				w.Write([]byte("\n"))
			}
		}
	}
}
