// Package http1 is the front for clients that speak HTTP/1.1.
package http1

import (
	"cmp"
	"context"
	"errors"
	"io"
	"log"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"lynxspool/internal/body"
	"lynxspool/internal/drain"
	"lynxspool/internal/engine"
	"lynxspool/internal/front"
)

// Options are what a Server is told.
type Options struct {
	Sockets int           // connections of clients
	Spare   int           // beyond those, before a new connection is closed at once
	Longest time.Duration // deadline of any class
	Plain   bool          // there may be routes for clients that know nothing of our protocol
	Head    int           // bytes that a request's head may have; 0: maxRequestHead
	Heads   bool          // heads are kept as they come, to be checked; as where Plain is set
	Shared  bool          // another process listens on the same sockets: what comes new is its business once we stop
}

// crowdedShare is the share of Sockets, in hundredths, from which there is a crowd: those of
// no use for long are closed, and the others end with their answers, as in a crowd each is
// used once and may not be closed for idleLeast if it stays open.
const crowdedShare = 65

const (
	pathHealth = "/_health"

	// Clients still come for up to 0.4 s after SIGTERM, and what waits in the
	// listener's backlog counts as taken: lingerTime is that and room to accept it.
	lingerTime = 600 * time.Millisecond
	// At this long after SIGTERM and the longest deadline (exitDeadline at most), the
	// gateway is killed; stopMargin is left for the last answers to get out.
	exitTime     = 700 * time.Millisecond
	exitDeadline = 3 * time.Second
	stopMargin   = 100 * time.Millisecond
	// Clients use the connections that they have for as long as these stay open, and may
	// have no other gateway to go to. So they are asked to leave only leaveTime before
	// the exit: most connections in use carry a request within it. At closeTime before the
	// exit those without one are closed; most requests out then are still answered.
	leaveTime = 300 * time.Millisecond
	closeTime = 100 * time.Millisecond

	// requestTimeout is for a client to get a request through, head and body. A client
	// that has not is owed an error or a close within 3 s of connecting.
	requestTimeout = 2500 * time.Millisecond
	writeTimeout   = 10 * time.Second // for a client to take its answer
	// What a client goes on sending behind an error is read for drainTime, drainBytes at
	// most: enough for whoever was a little over the limit to see why.
	drainTime   = 500 * time.Millisecond
	drainBytes  = 4 * front.MaxHeld
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

	// maxRequestHead holds any head in the protocol's form several times over; net/http
	// adds 4 KiB. Clients by the hundred may send that much at once.
	maxRequestHead = 8 << 10
)

// Server is the side of the clients, on any number of listeners.
type Server struct {
	gate    *front.Gate
	plain   bool // there may be plain routes
	heads   bool // heads are kept as they come
	shared  bool
	http    http.Server
	longest atomic.Int64 // deadline of any class, a time.Duration
	clients clients

	mu        sync.Mutex
	listeners map[net.Listener]*atomic.Pointer[ListenOptions]
	stopping  atomic.Bool
	leaving   atomic.Bool // connections end with their answers
	tunnels   sync.WaitGroup
	leave     chan struct{} // closed when tunnels have to end
}

// New returns a Server that brings its requests through gate.
func New(gate *front.Gate, o Options) *Server {
	s := &Server{gate: gate, plain: o.Plain, heads: o.Heads || o.Plain, shared: o.Shared, listeners: map[net.Listener]*atomic.Pointer[ListenOptions]{}, leave: make(chan struct{})}
	s.SetLongest(o.Longest)
	s.Limit(o.Sockets, o.Spare)
	s.http = http.Server{
		Handler:        http.HandlerFunc(s.serve), // no ServeMux: it would clean paths and redirect
		ConnState:      s.clients.track,
		ConnContext:    func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, clientKey{}, c) },
		ReadTimeout:    requestTimeout,
		WriteTimeout:   o.Longest + writeTimeout,
		IdleTimeout:    idleTimeout,
		MaxHeaderBytes: cmp.Or(o.Head, maxRequestHead),
		// What it would say there are lines about single bad clients.
		ErrorLog: log.New(io.Discard, "", 0),

		DisableGeneralOptionsHandler: true,
	}
	return s
}

// SetLongest says what the longest deadline of any class is by now.
func (s *Server) SetLongest(d time.Duration) { s.longest.Store(int64(d)) }

// Limit says how many connections of clients may be open from now on, and how many beyond those
// before a new one is closed at once.
func (s *Server) Limit(sockets, spare int) { s.clients.limit(sockets, spare) }

// ListenOptions are what a listener is told.
type ListenOptions struct {
	// Trusted are proxies: what they say of their own clients is passed on.
	Trusted []netip.Prefix
	// Proxy has each connection begin with a PROXY header, of version 1 or 2; from Trusted
	// only, if there are any.
	Proxy bool
}

func (o *ListenOptions) trusts(a netip.Addr) bool {
	return slices.ContainsFunc(o.Trusted, func(p netip.Prefix) bool { return p.Contains(a) })
}

// Tune changes what a listener is told, for connections that are yet to come.
func (s *Server) Tune(ln net.Listener, o ListenOptions) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listeners[ln] == nil {
		s.listeners[ln] = new(atomic.Pointer[ListenOptions])
	}
	s.listeners[ln].Store(&o)
}

// Serve takes requests from ln, until Stop or Leave has closed it.
func (s *Server) Serve(ln net.Listener) error {
	s.mu.Lock()
	opts := s.listeners[ln]
	if opts == nil {
		opts = new(atomic.Pointer[ListenOptions])
		s.listeners[ln] = opts
	}
	s.mu.Unlock()
	err := s.http.Serve(clientListener{ln, s.heads, opts})
	s.mu.Lock()
	_, there := s.listeners[ln]
	s.mu.Unlock()
	if errors.Is(err, http.ErrServerClosed) || !there && errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Leave closes a listener. The connections that came by it are served on.
func (s *Server) Leave(ln net.Listener) {
	s.mu.Lock()
	delete(s.listeners, ln)
	s.mu.Unlock()
	ln.Close() // it can fail only by being closed
}

// Close ends it all at once.
func (s *Server) Close() { s.http.Close() }

// Stop ends service in order: it goes on taking what still comes, closes the listeners
// when nobody new will come, serves whoever has a connection until shortly before the
// exit, then asks clients to leave, closes idle connections and waits for what was taken.
// Where another process shares the listeners it takes nothing new from them, and clients are
// asked to leave from the start.
func (s *Server) Stop() {
	exitAt := time.Now().Add(exitTime + min(time.Duration(s.longest.Load()), exitDeadline) - stopMargin)
	s.gate.Stop(exitAt)
	s.stopping.Store(true)
	if s.shared {
		s.leaving.Store(true) // whoever comes back meets the process that takes over
	} else {
		time.Sleep(lingerTime)
	}
	s.mu.Lock()
	for ln := range s.listeners {
		delete(s.listeners, ln)
		ln.Close() // it can fail only by being closed
	}
	s.mu.Unlock()
	s.wait(s.clients.inUse, exitAt.Add(-leaveTime))
	s.leaving.Store(true)
	if s.shared {
		s.clients.closeUnused()
	}
	close(s.leave)
	s.wait(s.clients.inUse, exitAt.Add(-closeTime))
	ctx, cancel := context.WithDeadline(context.Background(), exitAt)
	defer cancel()
	go s.http.Shutdown(ctx) // it looks for the last connection too seldom to be waited for
	s.wait(s.clients.busy, exitAt)
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

// Drain closes what a drain has closed as it goes on, until ctx ends. The rest of a drain
// follows from its state at each request.
func (s *Server) Drain(ctx context.Context) {
	for {
		state, holds := s.gate.Draining()
		var next <-chan time.Time
		switch state {
		case drain.Closing:
			s.clients.closeUnused()
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

// serve answers one request.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	came := time.Now()
	c := r.Context().Value(clientKey{}).(*clientConn)
	if c.use.Load() == connClosed {
		return // its connection was closed to make room, so nothing may go out for it
	}
	if s.leaves() || !s.stopping.Load() && s.clients.crowded() {
		w.Header().Set("Connection", "close")
	}
	if r.Method == http.MethodGet && r.URL.Path == pathHealth {
		s.health(w)
		return
	}
	x, err := s.read(c, w, r, came)
	if err != nil {
		var turned *front.Turned
		if errors.As(err, &turned) && r.ContentLength >= 0 && r.ContentLength <= front.MaxHeld {
			// The connection goes on: a new one would cost more than this answer. net/http
			// reads what little body there is.
			w.Header().Set("Retry-After", front.RetryAfter(turned.After, s.plain))
			fail(w, turned.Error(), turned.Status())
			if turned.Soon {
				s.pause(w, r, turned.After)
			}
			return
		}
		s.turnAway(w, r, c, err)
		return
	}
	defer x.End()
	if x.Route.Streams != nil {
		s.serveStreams(w, r, c, x)
		return
	}
	a, there := s.gate.Engine.Do(r.Context(), &x.Request)
	if !there {
		// Nobody waits. net/http would answer 200, which a client that has only ended its own
		// side would take for what a host said.
		panic(http.ErrAbortHandler)
	}
	if s.leaves() { // by now
		w.Header().Set("Connection", "close")
	}
	write(w, &x.Request, &a)
	a.Release()
}

// pauseMost is how long a connection is left unread whose client came back sooner than it was
// told to. It guards against clients that ask again as fast as they are refused: each answer
// costs them as little as us.
const pauseMost = time.Second

// pause has the answer go out and leaves the connection unread for a while.
func (s *Server) pause(w http.ResponseWriter, r *http.Request, after time.Duration) {
	http.NewResponseController(w).Flush()
	t := time.NewTimer(min(after, pauseMost))
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.Context().Done():
	case <-s.leave:
	}
}

// turnAway answers a request that goes to no host. The connection ends with the
// answer: what comes behind a bad request is not to be trusted, and a body that is
// not read would be taken for the next one.
func (s *Server) turnAway(w http.ResponseWriter, r *http.Request, c *clientConn, err error) {
	status := front.Status(err)
	w.Header().Set("Connection", "close")
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", front.RetryAfter(front.FullRetryAfter, s.plain))
	}
	fail(w, err.Error(), status)
	s.clients.spend(c)
	if r.ContentLength == 0 {
		return
	}
	// A close with bytes unread resets the connection, and the reset may overtake the
	// answer. So the answer goes out first and then the client is heard a little more.
	// If a part of this fails the client has gone.
	http.NewResponseController(w).Flush()
	c.SetReadDeadline(time.Now().Add(drainTime))
	io.CopyN(io.Discard, r.Body, drainBytes)
}

// health tells whoever deals out clients whether requests can be served.
func (s *Server) health(w http.ResponseWriter) {
	ok, text := s.gate.Health()
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	io.WriteString(w, text)
}

// read reads a request, whole but for what flows on a plain route. With no error it is entered.
func (s *Server) read(c *clientConn, w http.ResponseWriter, r *http.Request, came time.Time) (*front.Entry, error) {
	m := front.Message{
		Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: r.Header, Length: r.ContentLength,
		Odd: !r.ProtoAtLeast(1, 1),
	}
	if s.plain {
		m.Peer = c.peer()
	}
	raw := c.rawHead()
	asked := asksFor(r) // before what concerns the connection is taken out
	if m.Target != "" && m.Target[0] != '/' {
		m.Named = hostHeader(raw) // r.Host is what the target names
	}
	x, err := s.gate.Begin(&m, came)
	if err != nil {
		return nil, err
	}
	if x.Route.Streams != nil {
		err = s.readStreams(c, w, r, x, raw, asked)
	} else if n := r.ContentLength; n > 0 {
		err = readWhole(r, x, n)
		came = time.Now()
	}
	if err != nil {
		x.Drop()
		return nil, err
	}
	if x.Route.Streams != nil && r.ContentLength != 0 {
		// A request's time counts from its last byte, which may come long after its first; where
		// it is yet to come, no time has passed.
		came = time.Now()
	}
	if x.Body.Whole() {
		// The time for reading is over; left standing it would end the wait for the answer.
		c.SetReadDeadline(time.Time{})
	}
	x.Arrived(came)
	if until := x.Deadline.Add(writeTimeout); until.After(came.Add(s.http.WriteTimeout)) {
		c.SetWriteDeadline(until) // its class came with a reload
	}
	return x, nil
}

// readWhole reads a body of n bytes.
func readWhole(r *http.Request, x *front.Entry, n int64) error {
	if err := x.Hold(n); err != nil {
		return err
	}
	text := make([]byte, n)
	if _, err := io.ReadFull(r.Body, text); err != nil {
		return front.Bad(http.StatusBadRequest, "the body did not arrive")
	}
	x.Body = body.Held(text)
	return nil
}

// write gives a client its answer.
func write(w http.ResponseWriter, x *engine.Request, a *engine.Answer) {
	switch a.Kind {
	case engine.Served:
		h := w.Header()
		length := a.Header["Content-Length"]
		maps.Copy(h, front.EndToEnd(a.Header))
		if x.Route.Plain != nil {
			x.Route.Plain.Answers.Apply(h)
		}
		if _, there := h["Content-Type"]; !there {
			h["Content-Type"] = nil // it is not ours to guess
		}
		if a.Body.Len() > 0 || x.Method != http.MethodHead && a.Status != http.StatusNoContent && a.Status != http.StatusNotModified {
			h.Set("Content-Length", strconv.FormatInt(a.Body.Len(), 10))
		} else if len(length) == 1 && a.Status != http.StatusNoContent {
			h["Content-Length"] = length // of what a GET would bring
		}
		w.WriteHeader(a.Status)
		w.Write(a.Body.Bytes()) // if it fails the client has gone
	case engine.Refused:
		if after := a.RetryAfter; after > 0 {
			w.Header().Set("Retry-After", front.RetryAfter(after, x.Route.Plain != nil))
		}
		fail(w, "turned away, trying again is harmless", http.StatusServiceUnavailable)
	default:
		fail(w, "failed, it may have been done", http.StatusBadGateway)
	}
}

// fail answers with an error of ours. It has its length, which http.Error takes away: so it is
// whole as soon as it is out, also where the connection ends before net/http thinks it has.
func fail(w http.ResponseWriter, text string, status int) {
	h := w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("X-Content-Type-Options", "nosniff")
	h.Set("Content-Length", strconv.Itoa(len(text)+1))
	w.WriteHeader(status)
	io.WriteString(w, text+"\n")
}
