// Package fastcgi makes attempts at FastCGI responders and keeps the connections to them. Numbers in comments are
// sections of the FastCGI specification.
//
// Wherever a Result is returned which means that a request never ran, a comment states the proof: in RoundTrip,
// writeFailure, readFailure and outcomeOfEnd here, and in Attempt of package upstream. docs/design/fastcgi.md has a
// table of all proofs.
package fastcgi

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"dunemoor/internal/body"
	"dunemoor/internal/engine"
	"dunemoor/internal/fastcgi"
	"dunemoor/internal/upstream"
)

// maxIdle is how long a connection without a request is kept. If the responder closes it earlier, that is always
// detected, as readLoop reads from each connection all the time.
const maxIdle = 30 * time.Second

// Options configure a Transport.
type Options struct {
	MaxConns     int               // limit of open connections to all hosts together
	BodyBudget   *body.Budget      // budget of the buffers for streamed bodies; see upstream.BodyBudget
	DocumentRoot string            // directory of the scripts, for SCRIPT_FILENAME; "": that parameter is not sent
	Params       map[string]string // parameters of each request; they replace others of the same name
}

// Transport makes attempts at the responders of a pool and keeps the connections to them.
type Transport struct {
	bodyBudget   *body.Budget
	documentRoot string
	params       map[string]string
	dialer       net.Dialer

	mu     sync.Mutex
	conns  upstream.Pool[*host, *conn] // all connections; guarded by mu
	closed bool                        // whether Run has ended: no connection is kept then; guarded by mu
}

// NewTransport returns a Transport.
func NewTransport(o Options) *Transport {
	return &Transport{
		bodyBudget:   upstream.BodyBudget(o.BodyBudget),
		documentRoot: o.DocumentRoot,
		params:       o.Params,
		dialer:       upstream.NewDialer(0),
		conns:        upstream.NewPool[*host, *conn](o.MaxConns),
	}
}

// SetLimits changes Options.MaxConns. The limit of memory for large responses is ignored, as no more than maxStdoutBytes
// of a response are buffered.
func (t *Transport) SetLimits(maxConns int, _ int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conns.SetMaxOpen(maxConns)
}

// Host returns the Endpoint of a new host. It can be used once Update has set an address.
func (t *Transport) Host(string) engine.Endpoint { return &host{transport: t} }

// Run closes connections that have been idle for maxIdle, until ctx ends. Then it closes all idle ones, and those in use
// are closed after their requests.
func (t *Transport) Run(ctx context.Context) {
	upstream.Sweep(ctx, func() { t.closeIdle(maxIdle) }, t.close)
}

// closeIdle closes the connections that have been idle for at least minIdle.
func (t *Transport) closeIdle(minIdle time.Duration) {
	t.mu.Lock()
	idle := t.conns.Idle(minIdle)
	t.mu.Unlock()
	drainAll(idle)
}

// close closes all idle connections, and marks the transport as closed so that those in use are closed after their
// requests.
func (t *Transport) close() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.closeIdle(0)
}

// host is the Endpoint of a responder.
type host struct {
	transport *Transport
	usable    atomic.Bool // whether the host accepts new requests

	// The following are guarded by Transport.mu.

	process       upstream.Process
	generation    int            // number of changes of process; connections of an earlier generation are not used
	values        fastcgi.Values // values of the responder; zero until they have been received
	valuesQueried bool           // whether GET_VALUES was sent in this generation
	dialing       chan struct{}  // closed when the last dial has ended; nil: no dial is in progress
}

// Update applies the host's entry in the endpoint list. Connections that lead to another process, or to one that accepts
// no new requests, accept no further requests.
func (h *host) Update(addr string, started int64, usable bool) {
	h.usable.Store(usable)
	t := h.transport
	t.mu.Lock()
	if current := (upstream.Process{Addr: addr, Started: started}); h.process != current {
		h.process = current
		h.generation++
		h.values = fastcgi.Values{}
		h.valuesQueried = false
	}
	var stale []*conn
	for _, c := range t.conns.Conns(h) {
		if !usable || c.generation != h.generation {
			stale = append(stale, c)
		}
	}
	t.mu.Unlock()
	drainAll(stale)
}

// CloseIdle closes the connections to the host that carry no request.
func (h *host) CloseIdle() {
	t := h.transport
	t.mu.Lock()
	var idle []*conn
	for _, c := range t.conns.Conns(h) {
		if c.inFlight == 0 {
			idle = append(idle, c)
		}
	}
	t.mu.Unlock()
	drainAll(idle)
}

// Attempt sends a request at most once.
func (h *host) Attempt(ctx context.Context, x *engine.Request) engine.Result {
	return upstream.Attempt(ctx, x, func(ctx context.Context) (upstream.Conn, bool, error) {
		c, reused, err := h.transport.getConn(ctx, h)
		if err != nil {
			return nil, false, err
		}
		return c, reused, nil
	})
}
