// Package http1 makes attempts at hosts by HTTP/1.1 (RFC 9112) and keeps the connections to them.
//
// By the platform's protocol a host runs a request only once it has its last byte. Plain HTTP has no such rule:
// there a request may have run as soon as a byte of it is out. A Result which says that a request never ran names
// the proof where it is made, in writeFailure and readFailure here and in Attempt of package upstream.
package http1

import (
	"cmp"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"dunemoor/internal/body"
	"dunemoor/internal/engine"
	"dunemoor/internal/upstream"
)

const (
	// DefaultHostIdleTimeout suits servers that keep an idle connection for a minute or more by default, such as
	// nginx (75 s). Others keep it for less, such as Apache httpd and Node.js (5 s): a connection to them is often
	// found closed, which closeExpired and isQuiet then notice.
	DefaultHostIdleTimeout = time.Minute
	// maxIdleShare is the share of the hosts' idle timeout for which connections are kept. A host must not close
	// a connection while a request is being written to it.
	maxIdleShare = 0.5
	// minSilence is the time without a response after which idle connections to a host are closed, see
	// Transport.attemptGivenUp. It is several times the time of most responses.
	minSilence = 250 * time.Millisecond
	// restAfterResponse is how long a connection rests after a response before it carries another request, while
	// a host has recently sent an unsolicited response, within unsolicitedMemory. A second response arrives some
	// milliseconds after the first, and would be taken for that of the next request.
	restAfterResponse = 10 * time.Millisecond
	unsolicitedMemory = time.Minute
)

// Options configure a Transport. The zero value of a field other than MaxConns and MaxLargeBytes is its default.
type Options struct {
	MaxConns        int           // open connections to all hosts together
	MaxLargeBytes   int64         // memory that large responses may take together
	HostIdleTimeout time.Duration // after which hosts close an idle connection; DefaultHostIdleTimeout
	DialTimeout     time.Duration // for a connection to be established; at most, and by default, 100 ms
	BodyBudget      *body.Budget  // of the buffers of streamed bodies; see upstream.BodyBudget

	// DialContext replaces the dialer, for tests. DialTimeout and its limit of 100 ms do not apply then.
	DialContext func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Transport makes attempts at the hosts of a pool and keeps the connections to them. In place of http.Transport, it
// writes a request completely at most once and never dials more connections than it has requests.
type Transport struct {
	dialer            net.Dialer
	dialContext       func(ctx context.Context, network, addr string) (net.Conn, error)
	bodyBudget        *body.Budget
	maxIdle           time.Duration
	minSilence        time.Duration
	restAfterResponse time.Duration

	// largeBytes is the memory that responses beyond maxSmallBytes take. It is not a part of bodyBudget, and no status
	// or metric has it.
	largeBytes    atomic.Int64
	maxLargeBytes atomic.Int64

	mu              sync.Mutex
	idle            upstream.Pool[*host, *conn] // guarded by mu
	closed          bool                        // Run has ended and no connection is kept; guarded by mu
	lastUnsolicited time.Time                   // when a host last sent unsolicited bytes; guarded by mu
}

// NewTransport returns a Transport.
func NewTransport(o Options) *Transport {
	hostIdleTimeout := cmp.Or(o.HostIdleTimeout, DefaultHostIdleTimeout)
	t := &Transport{
		dialer:            upstream.NewDialer(o.DialTimeout),
		bodyBudget:        upstream.BodyBudget(o.BodyBudget),
		maxIdle:           time.Duration(maxIdleShare * float64(hostIdleTimeout)),
		minSilence:        minSilence,
		restAfterResponse: restAfterResponse,
		idle:              upstream.NewPool[*host, *conn](o.MaxConns),
	}
	t.dialContext = o.DialContext
	if t.dialContext == nil {
		t.dialContext = t.dialer.DialContext
	}
	t.maxLargeBytes.Store(o.MaxLargeBytes)
	return t
}

// SetLimits changes Options.MaxConns and Options.MaxLargeBytes.
func (t *Transport) SetLimits(maxConns int, maxLargeBytes int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.idle.SetMaxOpen(maxConns)
	t.maxLargeBytes.Store(maxLargeBytes)
}

// Host returns the Endpoint of a new host. It can be used once Update has set an address.
func (t *Transport) Host(string) engine.Endpoint { return &host{transport: t} }

// Run closes idle connections that hosts have closed or soon will, until ctx ends. Then it closes all idle ones;
// those in use are closed after their attempts.
func (t *Transport) Run(ctx context.Context) { upstream.Sweep(ctx, t.closeExpired, t.close) }

// reserveLargeBytes reserves memory for a part of a large response, or returns false if there is none left.
func (t *Transport) reserveLargeBytes(n int64) bool {
	if t.largeBytes.Add(n) > t.maxLargeBytes.Load() {
		t.largeBytes.Add(-n)
		return false
	}
	return true
}

func (t *Transport) releaseLargeBytes(n int64) { t.largeBytes.Add(-n) }

// host is the Endpoint of a host.
type host struct {
	transport *Transport
	usable    atomic.Bool // it accepts new requests

	process      upstream.Process // guarded by Transport.mu
	lastResponse time.Time        // when a response last arrived; guarded by Transport.mu
}

// Update applies what the endpoint list says about the host. Idle connections that lead to another process, or to
// one that accepts no new requests, are closed.
func (h *host) Update(addr string, started int64, usable bool) {
	t := h.transport
	t.mu.Lock()
	h.usable.Store(usable)
	current := upstream.Process{Addr: addr, Started: started}
	isStale := !usable || h.process != current
	h.process = current
	t.mu.Unlock()
	if isStale {
		h.CloseIdle()
	}
}

// CloseIdle closes the idle connections to the host.
func (h *host) CloseIdle() {
	t := h.transport
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.idle.RemoveHost(h) {
		t.closeConnLocked(c)
	}
}

// Attempt sends a request at most once.
func (h *host) Attempt(ctx context.Context, x *engine.Request) engine.Result {
	return upstream.Attempt(ctx, x, func(ctx context.Context) (upstream.Conn, bool, error) {
		c, err := h.transport.getConn(ctx, h)
		if err != nil {
			return nil, false, err
		}
		return c, c.reused, nil
	})
}
