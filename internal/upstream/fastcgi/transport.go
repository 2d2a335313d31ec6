// Package fastcgi makes attempts at FastCGI responders, and keeps the connections to them.
//
// What proves that an attempt never ran stands in docs/design/fastcgi.md, and in code in two
// places only: broken, for connections, and ended, for END_REQUEST.
package fastcgi

import (
	"cmp"
	"context"
	"errors"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/body"
	"dunemoor/internal/engine"
	"dunemoor/internal/fastcgi"
)

const (
	// connectTime is for a connection to come up: in the same hall that takes a fraction of a
	// millisecond, unless the machine is gone.
	connectTime = 100 * time.Millisecond
	sweepEvery  = time.Second
	// defaultIdle is how long a connection with no request is kept. Responders that end one
	// tell it, and who reads it is always there.
	defaultIdle = 30 * time.Second
	// askTime is for a responder to say what it can. Some never do, or end the connection: then
	// each connection carries one request at a time.
	askTime = time.Second
	// reqsMost is how many requests a connection carries at once where the responder takes more:
	// one that is slow to be read holds up the others for a moment.
	reqsMost = 64
	// endTime is for a responder to end a request that was called off on a connection with
	// others; after it the connection takes no more.
	endTime = 5 * time.Second
	// stallTime is how long a client that takes nothing may hold up the others on a connection,
	// and stallAlone where there are none.
	stallTime  = time.Second
	stallAlone = time.Minute
	// outputMost is what is held of an answer until it is passed on.
	outputMost = 64 << 10
	readSize   = 16 << 10
)

// Options are what a Transport is told.
type Options struct {
	Sockets      int // connections at most, all hosts together
	ConnIdle     time.Duration
	DialTimeout  time.Duration
	BodyBudget   *body.Budget      // of the buffers of what flows
	DocumentRoot string            // of the scripts: SCRIPT_FILENAME is below it; "": none is told
	Params       map[string]string // told with each request, in place of ours
}

// Transport makes the attempts, and keeps the connections of a pool.
type Transport struct {
	o      Options
	dialer net.Dialer

	mu     sync.Mutex
	open   int
	budget int
	hosts  map[*host]struct{}
	closed bool
}

// host is where attempts go. Transport.mu guards all but usable.
type host struct {
	t       *Transport
	usable  atomic.Bool
	addr    string
	started int64
	conns   []*conn
	asked   bool // what it can has been asked since it has this address
	can     fastcgi.Values
	age     int           // of addr and started: what belongs to an older one is not kept
	dialing chan struct{} // closed when the dial under way is over; nil: there is none
}

// NewTransport returns a Transport.
func NewTransport(o Options) *Transport {
	if o.BodyBudget == nil {
		o.BodyBudget = body.NewBudget(64 << 20)
	}
	return &Transport{
		o: o, dialer: net.Dialer{Timeout: min(cmp.Or(o.DialTimeout, connectTime), connectTime)},
		budget: o.Sockets, hosts: map[*host]struct{}{},
	}
}

// SetLimits sets how many connections may be open.
func (t *Transport) SetLimits(sockets int, _ int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.budget = sockets
}

// Host makes an Endpoint; it can be used once Update has named an address.
func (t *Transport) Host(string) engine.Endpoint {
	h := &host{t: t}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hosts[h] = struct{}{}
	return h
}

// Run closes connections that are idle for long, until ctx ends; then all that are.
func (t *Transport) Run(ctx context.Context) {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			t.mu.Lock()
			t.closed = true
			t.mu.Unlock()
			t.sweep(0)
			return
		case <-tick.C:
			t.sweep(cmp.Or(t.o.ConnIdle, defaultIdle))
		}
	}
}

// sweep closes what has been idle for so long.
func (t *Transport) sweep(least time.Duration) {
	t.mu.Lock()
	var idle []*conn
	for h := range t.hosts {
		for _, c := range h.conns {
			if c.held == 0 && time.Since(c.idleAt) >= least {
				idle = append(idle, c)
			}
		}
	}
	t.mu.Unlock()
	for _, c := range idle {
		c.retire()
	}
}

// Update takes over what the list says. Connections to what a host was before take no more.
func (h *host) Update(addr string, started int64, usable bool) {
	h.usable.Store(usable)
	h.t.mu.Lock()
	if h.addr != addr || h.started != started {
		h.addr, h.started, h.asked, h.can = addr, started, false, fastcgi.Values{}
		h.age++
	}
	if addr == "" {
		delete(h.t.hosts, h)
	} else {
		h.t.hosts[h] = struct{}{}
	}
	var old []*conn
	for _, c := range h.conns {
		if !usable || c.age != h.age {
			old = append(old, c)
		}
	}
	h.t.mu.Unlock()
	for _, c := range old {
		c.retire()
	}
}

// CloseIdle closes the connections without a request.
func (h *host) CloseIdle() {
	h.t.mu.Lock()
	var idle []*conn
	for _, c := range h.conns {
		if c.held == 0 {
			idle = append(idle, c)
		}
	}
	h.t.mu.Unlock()
	for _, c := range idle {
		c.retire()
	}
}

var errNoSockets = errors.New("fastcgi: too many connections to hosts")

// network splits an address into what a dialer takes.
func network(addr string) (string, string) {
	if path, ok := strings.CutPrefix(addr, "unix:"); ok {
		return "unix", path
	}
	return "tcp", addr
}

// get returns a connection with room for a request, which is held there for the caller, or dials
// one. used says that it has carried others.
func (t *Transport) get(ctx context.Context, h *host) (c *conn, used bool, err error) {
	t.mu.Lock()
	for {
		for _, c := range h.conns {
			if !c.leaving && c.held < c.room() {
				c.held++
				used = c.used
				c.used = true
				t.mu.Unlock()
				return c, used, nil
			}
		}
		// Where connections carry many requests, one that is coming up will have room.
		coming := h.dialing
		if coming == nil || !h.can.Multiplexes {
			break
		}
		t.mu.Unlock()
		select {
		case <-coming:
		case <-ctx.Done():
			return nil, false, ctx.Err()
		}
		t.mu.Lock()
	}
	full := t.open >= t.budget || h.can.MaxConns > 0 && len(h.conns) >= h.can.MaxConns
	if full && t.open >= t.budget {
		if idle := t.coldest(); idle != nil {
			t.mu.Unlock()
			idle.retire()
			t.mu.Lock()
			full = h.can.MaxConns > 0 && len(h.conns) >= h.can.MaxConns
		}
	}
	if full || t.closed {
		t.mu.Unlock()
		return nil, false, errNoSockets
	}
	t.open++
	addr, age, ask := h.addr, h.age, !h.asked
	h.asked = true
	up := make(chan struct{})
	h.dialing = up
	t.mu.Unlock()
	defer func() {
		t.mu.Lock()
		if h.dialing == up {
			h.dialing = nil
		}
		t.mu.Unlock()
		close(up)
	}()
	if ask {
		go t.ask(h, addr, age)
	}
	nw, at := network(addr)
	nc, err := t.dialer.DialContext(ctx, nw, at)
	if err != nil {
		t.mu.Lock()
		t.open--
		t.mu.Unlock()
		return nil, false, err
	}
	c = newConn(h, nc, age)
	t.mu.Lock()
	c.held, c.used = 1, true
	h.conns = append(h.conns, c)
	t.mu.Unlock()
	go c.read()
	return c, false, nil
}

// current says whether a connection leads to its host as the list has it now.
func (t *Transport) current(c *conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return c.age == c.host.age
}

// coldest is the connection that was idle longest; t.mu is held.
func (t *Transport) coldest() (coldest *conn) {
	for h := range t.hosts {
		for _, c := range h.conns {
			if c.held == 0 && !c.leaving && (coldest == nil || c.idleAt.Before(coldest.idleAt)) {
				coldest = c
			}
		}
	}
	return coldest
}

// ask has a responder say what it can, on a connection of its own: one that does not understand
// the question may end it.
func (t *Transport) ask(h *host, addr string, age int) {
	nw, at := network(addr)
	nc, err := (&net.Dialer{Timeout: askTime}).Dial(nw, at)
	if err != nil {
		return
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(askTime))
	var pairs []byte
	for _, name := range []string{fastcgi.MaxConns, fastcgi.MaxReqs, fastcgi.MpxsConns} {
		pairs = fastcgi.AppendPair(pairs, name, "")
	}
	if _, err := nc.Write(fastcgi.AppendRecord(nil, fastcgi.GetValues, 0, pairs)); err != nil {
		return
	}
	var told asked
	in := fastcgi.NewClient(&told)
	b := make([]byte, 512)
	for !told.done {
		n, err := nc.Read(b)
		if in.Feed(b[:n]) != nil || err != nil && !told.done {
			return
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if h.age == age {
		h.can = told.v
	}
}

// asked hears the answer to a GET_VALUES.
type asked struct {
	v    fastcgi.Values
	done bool
}

func (a *asked) Stdout(uint16, []byte)                     {}
func (a *asked) Stderr(uint16, []byte)                     {}
func (a *asked) EndRequest(uint16, fastcgi.EndRequestBody) {}
func (a *asked) UnsolicitedRecord()                        {}
func (a *asked) Values(v fastcgi.Values) {
	if !a.done { // some end the answer with an empty one, as if it were a stream
		a.v, a.done = v, true
	}
}

// Attempt sends a request once at most, and says how that ended.
func (h *host) Attempt(ctx context.Context, x *engine.Request) engine.Result {
	t := h.t
	for {
		c, used, err := t.get(ctx, h)
		switch {
		case ctx.Err() != nil:
			if err == nil {
				c.release()
			}
			return engine.Ended(unsent(ctx))
		case err == errNoSockets || errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE):
			return engine.Ended(balancer.NotSent) // the want is ours, not the host's
		case err != nil:
			return engine.Ended(balancer.ConnectFailed)
		}
		r := c.exchange(ctx, x)
		if used && !r.HasResponse && r.Outcome == balancer.ConnectFailed && ctx.Err() == nil && !(r.PartlySent && plain(x)) && !begun(x) {
			// It ended before the last byte was out: nothing ran, and that tells nothing of the
			// host. Each round uses up one connection.
			continue
		}
		return r
	}
}

// unsent is the result of an attempt that was given up before its last byte.
func unsent(ctx context.Context) balancer.Result {
	if errors.Is(ctx.Err(), context.Canceled) {
		return balancer.Canceled
	}
	return balancer.NotSent
}

// plain says whether the route's hosts follow no rule but FastCGI's own.
func plain(x *engine.Request) bool { return x.Route != nil && x.Route.Plain != nil }

// begun says whether some of what flows has been let go: it can't be sent again.
func begun(x *engine.Request) bool { return !x.Body.Buffered() && x.Body.Stream().Consumed() }

// pace is how slow a host may be.
func pace(x *engine.Request) body.Pace {
	if x.Route == nil || x.Route.Streams == nil {
		return body.Pace{IdleTimeout: stallAlone}
	}
	return x.Route.Streams.Pace
}
