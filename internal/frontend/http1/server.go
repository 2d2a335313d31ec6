// Package http1 is the front for clients that speak HTTP/1.1.
package http1

import (
	"cmp"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"dunemoor/internal/body"
	"dunemoor/internal/drain"
	"dunemoor/internal/engine"
	"dunemoor/internal/frontend"
	"dunemoor/internal/httpwire"
)

// Options are what a Server is told.
type Options struct {
	MaxConns        int           // connections of clients
	SpareConns      int           // beyond those, before a new connection is closed at once
	LongestDeadline time.Duration // deadline of any class
	PlainRoutes     bool          // there may be routes for clients that know nothing of our protocol
	MaxHeaderBytes  int           // bytes that a request's head may have; 0: maxRequestHead
	SharedListeners bool          // another process listens on the same sockets: what comes new is its business once we stop
}

// crowdedShare is the share of Sockets, in hundredths, from which there is a crowd: those of
// no use for long are closed, and the others end with their answers, as in a crowd each is
// used once and may not be closed for idleLeast if it stays open.
const crowdedShare = 65

const (
	pathHealth = "/_health"

	// Clients still come for up to 0.4 s after SIGTERM, and what waits in the
	// listener's backlog counts as taken: backlogTime is that and room to accept it.
	backlogTime = 600 * time.Millisecond
	// At killTime after SIGTERM and the longest deadline (killDeadline at most), the gateway is
	// killed. Three instants come before that, in this order: dueMargin ahead of it all answers
	// are due, so that those due at once can be written on a shared core; they are written; and
	// exitMargin ahead of it the process ends, whatever its clients have still to take.
	killTime     = 700 * time.Millisecond
	killDeadline = 3 * time.Second
	dueMargin    = 200 * time.Millisecond
	exitMargin   = 50 * time.Millisecond
	// Clients use the connections that they have for as long as these stay open, and may
	// have no other gateway to go to. So they are asked to leave only leaveTime before
	// all answers are due: most connections in use carry a request within it. At closeTime before
	// that those without one are closed; most requests out then are still answered.
	leaveTime = 300 * time.Millisecond
	closeTime = 100 * time.Millisecond

	// requestTimeout is for a client to get a request through, head and body. A client
	// that has not is owed an error or a close within 3 s of connecting.
	requestTimeout = 2500 * time.Millisecond
	writeTimeout   = 10 * time.Second // for a client to take its answer
	// What a client goes on sending behind its last answer is read for lingerTime, lingerBytes at
	// most: enough for whoever was a little over the limit to see why.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 4 * frontend.MaxBufferedBytes
	idleTimeout = 15 * time.Second // for a connection with no request: some are never used again
	// idleLeast is how long a connection with no request is left open even when there
	// is need of room: a close sooner may cross a request that the client has begun.
	idleLeast = 2 * time.Second
	// silentCrowded is how long a connection may bring nothing before it is closed in a
	// crowd: clients open one when they have a request.
	silentCrowded = time.Second

	// silentLeast is how long a connection is given to bring its first request while
	// others can be closed: in a crowd many have just come and are yet to be read.
	silentLeast = 100 * time.Millisecond

	// maxRequestHead holds any head in the protocol's form several times over. Clients by the
	// hundred may send that much at once.
	maxRequestHead = 12 << 10
)

// Server is the side of the clients, on any number of listeners.
type Server struct {
	gate     *frontend.Admission
	plain    bool // there may be plain routes
	shared   bool
	headMost int
	longest  atomic.Int64 // deadline of any class, a time.Duration
	clients  clients

	mu        sync.Mutex
	listeners map[net.Listener]*atomic.Pointer[ListenOptions]
	leavers   *leaving // made by the first Serve
	closed    bool
	stopping  atomic.Bool
	leaving   atomic.Bool // connections end with their answers
	tunnels   sync.WaitGroup
	leave     chan struct{} // closed when tunnels have to end
}

// New returns a Server that brings its requests through gate.
func New(gate *frontend.Admission, o Options) *Server {
	s := &Server{
		gate: gate, plain: o.PlainRoutes, shared: o.SharedListeners, headMost: cmp.Or(o.MaxHeaderBytes, maxRequestHead),
		listeners: map[net.Listener]*atomic.Pointer[ListenOptions]{}, leave: make(chan struct{}),
	}
	s.clients.ended = sync.NewCond(&s.clients.mu)
	s.SetLongestDeadline(o.LongestDeadline)
	s.SetConnLimits(o.MaxConns, o.SpareConns)
	return s
}

// SetLongestDeadline says what the longest deadline of any class is by now.
func (s *Server) SetLongestDeadline(d time.Duration) { s.longest.Store(int64(d)) }

// SetConnLimits says how many connections of clients may be open from now on, and how many beyond those
// before a new one is closed at once.
func (s *Server) SetConnLimits(sockets, spare int) { s.clients.limit(sockets, spare) }

// ListenOptions are what a listener is told.
type ListenOptions struct {
	// TrustedProxies are proxies: what they say of their own clients is passed on.
	TrustedProxies []netip.Prefix
	// ProxyProtocol has each connection begin with a PROXY header, of version 1 or 2; from Trusted
	// only, if there are any.
	ProxyProtocol bool
}

func (o *ListenOptions) trusts(a netip.Addr) bool {
	return slices.ContainsFunc(o.TrustedProxies, func(p netip.Prefix) bool { return p.Contains(a) })
}

// SetListenOptions changes what a listener is told, for connections that are yet to come.
func (s *Server) SetListenOptions(ln net.Listener, o ListenOptions) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listeners[ln] == nil {
		s.listeners[ln] = new(atomic.Pointer[ListenOptions])
	}
	s.listeners[ln].Store(&o)
}

// Serve takes requests from ln, until Stop, Leave or Close has closed it.
func (s *Server) Serve(ln net.Listener) error {
	s.mu.Lock()
	opts := s.listeners[ln]
	if opts == nil {
		opts = new(atomic.Pointer[ListenOptions])
		opts.Store(&ListenOptions{})
		s.listeners[ln] = opts
	}
	if s.closed || s.stopping.Load() {
		// A process that takes over and is stopped while it waits for the list takes nothing.
		delete(s.listeners, ln)
		s.mu.Unlock()
		ln.Close()
		return nil
	}
	if s.leavers == nil {
		l, err := newLeaving()
		if err != nil {
			s.mu.Unlock()
			return err
		}
		s.leavers = l
	}
	s.mu.Unlock()
	pause := time.Duration(0)
	for {
		// Those accepted before read what has come first: it guards against taking a client for
		// silent in a burst of connections.
		runtime.Gosched()
		nc, err := ln.Accept()
		if err != nil {
			s.mu.Lock()
			_, there := s.listeners[ln]
			s.mu.Unlock()
			if !there {
				return nil
			}
			if errors.Is(err, net.ErrClosed) {
				return err
			}
			// Descriptors may be short, or the client has gone already: the listener stays.
			pause = min(max(2*pause, acceptPauseLeast), acceptPauseMost)
			time.Sleep(pause)
			continue
		}
		pause = 0
		s.accept(nc, opts.Load())
	}
}

// How long nothing is accepted when that fails, first and at most.
const (
	acceptPauseLeast = 5 * time.Millisecond
	acceptPauseMost  = time.Second
)

// accept takes a connection in.
func (s *Server) accept(nc net.Conn, opts *ListenOptions) {
	c, err := newClientConn(nc.(*net.TCPConn), opts)
	if err != nil {
		nc.Close()
		return
	}
	if err := s.leavers.add(c); err != nil {
		s.leavers.drop(c)
		nc.Close()
		return
	}
	c.SetReadDeadline(time.Now().Add(requestTimeout)) // ahead of enter, behind which it may be woken
	if !s.clients.enter(c) {
		s.leavers.drop(c)
		nc.Close()
		return
	}
	go s.run(c)
	s.clients.settle()
}

// CloseListener closes a listener. The connections that came by it are served on.
func (s *Server) CloseListener(ln net.Listener) {
	s.mu.Lock()
	delete(s.listeners, ln)
	s.mu.Unlock()
	ln.Close() // it can fail only by being closed
}

// Close ends it all at once.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for ln := range s.listeners {
		delete(s.listeners, ln)
		ln.Close() // it can fail only by being closed
	}
	l := s.leavers
	s.mu.Unlock()
	if l == nil {
		return
	}
	for _, c := range l.all() {
		c.TCPConn.Close()
		c.left()
	}
	l.close()
}

// Shutdown ends service in order: it goes on taking what still comes, closes the listeners
// when nobody new will come, serves whoever has a connection until shortly before the
// exit, then asks clients to leave, closes idle connections and waits for what was taken.
// Where another process shares the listeners it takes nothing new from them, and clients are
// asked to leave from the start.
func (s *Server) Shutdown() {
	kill := time.Now().Add(killTime + min(time.Duration(s.longest.Load()), killDeadline))
	due := kill.Add(-dueMargin)
	s.gate.Stop(due)
	s.stopping.Store(true)
	if s.shared {
		s.leaving.Store(true) // whoever comes back meets the process that takes over
	} else {
		time.Sleep(backlogTime)
	}
	s.mu.Lock()
	for ln := range s.listeners {
		delete(s.listeners, ln)
		ln.Close() // it can fail only by being closed
	}
	s.mu.Unlock()
	s.wait(s.clients.inUse, due.Add(-leaveTime))
	s.leaving.Store(true)
	if s.shared {
		s.clients.endUnused()
	}
	close(s.leave)
	s.wait(s.clients.inUse, due.Add(-closeTime))
	s.wait(func() bool {
		s.clients.endUnused()
		return s.clients.busy()
	}, kill.Add(-exitMargin))
	s.breakOff()
}

// breakOff has what still flows to clients that take the end of their connection for that of the
// answer end with a reset when the process does.
func (s *Server) breakOff() {
	s.mu.Lock()
	l := s.leavers
	s.mu.Unlock()
	if l == nil {
		return
	}
	for _, c := range l.all() {
		if c.toEnd.Load() {
			c.SetLinger(0)
		}
	}
}

// wait returns when what it is given no longer holds, or at the time until.
func (s *Server) wait(holds func() bool, until time.Time) {
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for holds() && time.Now().Before(until) {
		<-tick.C
	}
}

// leaves says whether connections end with their answers.
func (s *Server) leaves() bool {
	if s.leaving.Load() {
		return true
	}
	state, _ := s.gate.Draining()
	return state >= drain.Leaving
}

// closeEvery is how often a drain looks for connections without a request, once it closes them.
const closeEvery = 20 * time.Millisecond

// RunDrain closes what a drain has closed as it goes on, until ctx ends. The rest of a drain
// follows from its state at each request.
func (s *Server) RunDrain(ctx context.Context) {
	for {
		state, holds := s.gate.Draining()
		var next <-chan time.Time
		switch state {
		case drain.Closing:
			s.clients.endUnused()
			next = time.After(closeEvery)
		case drain.Noticed, drain.Leaving:
			next = time.After(holds)
		}
		select {
		case <-ctx.Done():
			return
		case <-s.gate.DrainBegun():
		case <-next:
		}
	}
}

// serve answers the request whose head has come, and says whether the connection may go on.
func (s *Server) serve(c *clientConn, came time.Time) bool {
	if c.last || s.leaves() || !s.stopping.Load() && s.clients.crowded() {
		c.close = true
	}
	if c.req.Method == http.MethodGet && isHealth(c.req.Target) {
		return s.health(c) == nil
	}
	x, err := s.read(c, came)
	if err != nil {
		var turned *frontend.Turned
		if errors.As(err, &turned) && s.passable(c) {
			// The connection goes on: a new one would cost more than this answer.
			if c.fail(turned.Status(), turned.Error(), frontend.RetryAfter(turned.After, s.plain)) != nil {
				return false
			}
			if turned.Soon {
				s.pause(c, turned.After)
			}
			return true
		}
		s.turnAway(c, err)
		return false
	}
	defer x.End()
	if x.Route.Streams != nil {
		return s.serveStreams(c, x)
	}
	a, there := s.gate.Engine.Do(c.ctx, &x.Request)
	if !there {
		return false // nobody waits
	}
	defer a.Release()
	if s.leaves() { // by now
		c.close = true
	}
	return s.write(c, &x.Request, &a) == nil
}

func isHealth(target string) bool {
	path, _, _ := strings.Cut(target, "?")
	return path == pathHealth
}

// passable says whether what is there of a request's body, unread, is so little that reading it
// costs less than a new connection.
func (s *Server) passable(c *clientConn) bool {
	b := c.body
	return b == nil || b.end == nil && !b.unasked && b.chunks == nil && b.left <= frontend.MaxBufferedBytes
}

// pauseMost is how long a connection is left unread whose client came back sooner than it was
// told to. It guards against clients that ask again as fast as they are refused: each answer
// costs them as little as us.
const pauseMost = time.Second

// pause leaves a connection unread for a while, by chance half of the longest to all of it: those
// that were turned away together do not come back together.
func (s *Server) pause(c *clientConn, after time.Duration) {
	began := time.Now()
	t := time.NewTimer(min(after, pauseMost/2+rand.N(pauseMost/2)))
	defer t.Stop()
	select {
	case <-t.C:
	case <-c.ctx.Done():
	case <-s.leave:
	}
	if c.buffered() > 0 || c.look() {
		c.unread = began // it may have come as soon as that, and its time counts from there
	}
}

// turnAway answers a request that goes to no host. The connection ends with the
// answer: what comes behind a bad request is not to be trusted, and a body that is
// not read would be taken for the next one.
func (s *Server) turnAway(c *clientConn, err error) {
	status, after := frontend.Status(err), ""
	if status == http.StatusServiceUnavailable {
		after = frontend.RetryAfter(frontend.FullRetryAfter, s.plain)
	}
	c.close = true
	if c.fail(status, err.Error(), after) != nil {
		return
	}
	s.lingeringClose(c, lingerTime, lingerBytes)
}

// health tells whoever deals out clients whether requests can be served.
func (s *Server) health(c *clientConn) error {
	status := http.StatusOK
	ok, text := s.gate.Health()
	if !ok {
		status = http.StatusServiceUnavailable
	}
	return c.send(status, textPlain, int64(len(text)), []byte(text))
}

var textPlain = http.Header{"Content-Type": {"text/plain; charset=utf-8"}}

// read reads a request, whole but for what flows on a plain route. With no error it is entered.
func (s *Server) read(c *clientConn, came time.Time) (*frontend.Entry, error) {
	r := &c.req
	x, err := s.gate.Begin(&frontend.Message{
		Method: r.Method, Target: r.Target, Host: r.Host, Named: r.HostHeader, Header: r.Header, Length: r.ContentLength, Peer: s.peer(c), Odd: r.HTTP10,
	}, came)
	if err != nil {
		return nil, err
	}
	if c.body != nil {
		if x.Route.Streams != nil {
			err = s.readStreams(c, x)
		} else {
			err = readWhole(c, x)
		}
		// A request's time counts from its last byte, which may come long after its first; where
		// it is yet to come, no time has passed.
		came = time.Now()
	}
	if err != nil {
		x.Drop()
		return nil, err
	}
	if p := x.Route.Plain; p != nil && p.MaxTunnels > 0 && c.body == nil {
		x.Upgrade = r.Upgrade
	}
	x.Client = c
	x.Arrived(came)
	return x, nil
}

// peer is who the request comes from, where there are routes that want to know.
func (s *Server) peer(c *clientConn) frontend.ClientAddress {
	if !s.plain {
		return frontend.ClientAddress{}
	}
	return c.peer
}

// readWhole reads a body with a length.
func readWhole(c *clientConn, x *frontend.Entry) error {
	n := c.req.ContentLength
	if err := x.Hold(n); err != nil {
		return err
	}
	text := make([]byte, n)
	if int64(c.buffered()) < n {
		c.SetReadDeadline(time.Now().Add(requestTimeout))
	}
	if k, err := io.ReadFull(c.body, text); int64(k) < n {
		return frontend.Bad(http.StatusBadRequest, "the body did not arrive: %v", err)
	}
	x.Body = body.NewBuffered(text)
	return nil
}

// write gives a client an answer that is there whole.
func (s *Server) write(c *clientConn, x *engine.Request, a *engine.Response) error {
	switch a.Kind {
	case engine.Served:
		said := a.Header["Content-Length"]
		h := frontend.EndToEnd(a.Header)
		if x.Route.Plain != nil {
			x.Route.Plain.ResponseHeaders.Apply(h)
		}
		length := int64(noLength)
		if a.Body.Len() > 0 || !httpwire.ResponseHasNoBody(x.Method, a.Status) {
			length = a.Body.Len()
		} else if len(said) == 1 && a.Status != http.StatusNoContent { // of what a GET would bring
			if n, err := strconv.ParseInt(said[0], 10, 64); err == nil && n >= 0 {
				length = n
			}
		}
		return c.send(a.Status, h, length, a.Body.Bytes())
	case engine.Rejected:
		after := ""
		if a.RetryAfter > 0 {
			after = frontend.RetryAfter(a.RetryAfter, x.Route.Plain != nil)
		}
		return c.fail(http.StatusServiceUnavailable, "turned away, trying again is harmless", after)
	}
	return c.fail(http.StatusBadGateway, "failed, it may have been done", "")
}
