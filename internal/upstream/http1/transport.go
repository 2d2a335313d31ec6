// Package http1 makes attempts at hosts over HTTP/1.1 (RFC 9112) and keeps the connections to them.
//
// In the platform's protocol a host runs a request only after it has received the last byte. Plain HTTP has no such
// rule: a request may have run as soon as one byte of it was sent. Wherever a Result means that a request never ran, or a
// request is resent for that reason, a comment states the proof: in conn.RoundTrip, writeFailure and readFailure here,
// and in acquireOutcome, OutcomeUnsent and shouldResend of package upstream.
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
	// nginx (75 s). Others keep it for less, such as Apache httpd and Node.js (5 s). Connections to them have often
	// been closed by the time they are needed, which isReusable detects.
	DefaultHostIdleTimeout = time.Minute
	// maxIdleShare is the share of the hosts' idle timeout for which idle connections are kept. It is less than 1 so
	// that a host does not close a connection while a request is being written to it.
	maxIdleShare = 0.5
	// minSilence is the time without a response after which idle connections to a host are closed, see
	// Transport.attemptAbandoned. It is several times as long as most responses take.
	minSilence = 250 * time.Millisecond
	// reuseDelay is how long a connection stays idle after a response before it carries another request, if any host
	// of the transport has sent an unsolicited response within the last unsolicitedWindow. A second response arrives
	// some milliseconds after the first, and would be taken for the response to the next request.
	reuseDelay        = 10 * time.Millisecond
	unsolicitedWindow = time.Minute
)

// Options configure a Transport. Fields other than MaxConns and MaxLargeBytes have a default, which their zero value
// selects.
type Options struct {
	MaxConns        int           // limit of open connections to all hosts together
	MaxLargeBytes   int64         // limit of the memory for all large responses together, in bytes
	HostIdleTimeout time.Duration // time after which hosts close an idle connection; default DefaultHostIdleTimeout
	DialTimeout     time.Duration // time limit to establish a connection; default and maximum 100 ms
	BodyBudget      *body.Budget  // budget of stream buffers and large responses; see upstream.BodyBudget

	// DialContext replaces the dialer, for tests. DialTimeout and its maximum of 100 ms do not apply then.
	DialContext func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Transport makes attempts at the hosts of a pool and keeps the connections to them. Unlike http.Transport, it writes a
// request completely at most once and never dials more connections than it has requests.
type Transport struct {
	dialer      net.Dialer
	dialContext func(ctx context.Context, network, addr string) (net.Conn, error)
	bodyBudget  *body.Budget
	maxIdle     time.Duration
	minSilence  time.Duration
	reuseDelay  time.Duration

	// largeBytes is the memory reserved for responses longer than maxSmallBytes. It is reserved in bodyBudget too, which
	// bounds all transports together.
	largeBytes    atomic.Int64
	maxLargeBytes atomic.Int64

	mu              sync.Mutex
	idle            upstream.Pool[*host, *conn] // guarded by mu
	closed          bool                        // whether Run has ended: no connection is kept then; guarded by mu
	lastUnsolicited time.Time                   // when a host last sent unsolicited bytes; guarded by mu
}

// NewTransport returns a Transport.
func NewTransport(o Options) *Transport {
	hostIdleTimeout := cmp.Or(o.HostIdleTimeout, DefaultHostIdleTimeout)
	t := &Transport{
		dialer:     upstream.NewDialer(o.DialTimeout),
		bodyBudget: upstream.BodyBudget(o.BodyBudget),
		maxIdle:    time.Duration(maxIdleShare * float64(hostIdleTimeout)),
		minSilence: minSilence,
		reuseDelay: reuseDelay,
		idle:       upstream.NewPool[*host, *conn](o.MaxConns),
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

// Run closes idle connections that hosts have closed or may soon close, until ctx ends. Then it closes all idle ones,
// and those in use are closed after their attempts.
func (t *Transport) Run(ctx context.Context) { upstream.Sweep(ctx, t.closeExpired, t.close) }

// reserveLargeBytes reserves n bytes of memory for a part of a large response. It returns false if that would exceed the
// limit of the transport or of the budget.
func (t *Transport) reserveLargeBytes(n int64) bool {
	isWithinLimit := t.largeBytes.Add(n) <= t.maxLargeBytes.Load()
	if isWithinLimit && t.bodyBudget.Reserve(body.ResponseBodies, n) {
		return true
	}
	t.largeBytes.Add(-n)
	return false
}

func (t *Transport) releaseLargeBytes(n int64) {
	t.bodyBudget.Release(body.ResponseBodies, n)
	t.largeBytes.Add(-n)
}

// host is the Endpoint of a host.
type host struct {
	transport *Transport
	usable    atomic.Bool // whether the host accepts new requests

	process      upstream.Process // guarded by Transport.mu
	lastResponse time.Time        // when a response last arrived; guarded by Transport.mu
}

// Update applies the host's entry in the endpoint list. Idle connections that lead to another process, or to one that
// accepts no new requests, are closed.
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

// Attempt makes one attempt at a request, see upstream.Attempt. The request is written completely at most once.
func (h *host) Attempt(ctx context.Context, x *engine.Request) engine.Result {
	return upstream.Attempt(ctx, x, func(ctx context.Context) (upstream.Conn, bool, error) {
		c, err := h.transport.getConn(ctx, h)
		if err != nil {
			return nil, false, err
		}
		return c, c.wasIdle, nil
	})
}
