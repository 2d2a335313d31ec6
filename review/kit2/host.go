package kit2

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Arrival is a request that a host has begun to run: its last byte has come.
type Arrival struct {
	Host, ID, Path string
	At             time.Time
}

// Hosts are the hosts of a case. Each answers a request with its host's name and the request's ID.
type Hosts struct {
	c        *Case
	mu       sync.Mutex
	arrivals []Arrival
	work     time.Duration
	filler   string // what follows in each answer
}

// NewHosts returns hosts that take some time for each request.
func (c *Case) NewHosts(work time.Duration) *Hosts { return &Hosts{c: c, work: work} }

// Fill makes each answer longer by n bytes.
func (h *Hosts) Fill(n int) { h.filler = strings.Repeat(" ", n) }

// Start starts a host, and returns its address. A request whose path is /news gets an answer that goes on for good.
func (h *Hosts) Start(name string) (addr string, err error) {
	addr = h.c.Address()
	ln, err := h.c.Listen(addr)
	if err != nil {
		return "", err
	}
	go http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { h.serve(name, w, r) }))
	return addr, nil
}

func (h *Hosts) serve(name string, w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/alive" {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get("X-Request-Id")
	h.mu.Lock()
	h.arrivals = append(h.arrivals, Arrival{name, id, r.URL.Path, time.Now()})
	h.mu.Unlock()
	h.c.Logf("run %s at %s %s", id, name, r.URL.Path)
	if r.URL.Path == "/news" {
		h.news(w, r)
		return
	}
	time.Sleep(h.work)
	fmt.Fprintf(w, "%s %s%s", name, id, h.filler)
}

// news writes an event every half second until the client has gone.
func (h *Hosts) news(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	tick := time.NewTicker(500 * time.Millisecond)
	defer tick.Stop()
	for {
		if _, err := io.WriteString(w, "data: news\n\n"); err != nil {
			return
		}
		http.NewResponseController(w).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-tick.C:
		}
	}
}

// Arrivals returns what the hosts have run.
func (h *Hosts) Arrivals() []Arrival {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Arrival(nil), h.arrivals...)
}
