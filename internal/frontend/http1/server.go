// Package http1 is the frontend for clients of HTTP/1.1 and HTTP/1.0 (RFC 9112). Each connection has a goroutine that
// reads a request, hands it to the engine and writes the response before it reads the next. A connTable keeps the number
// of connections within their limits, and a disconnectWatcher notices when a client leaves.
package http1

import (
	"cmp"
	"net"
	"net/netip"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"dunemoor/internal/frontend"
)

// Options are the options of a Server.
type Options struct {
	MaxConns        int           // connections of clients; beyond it connections without a request are closed
	SpareConns      int           // beyond MaxConns, before a new connection is closed at once
	LongestDeadline time.Duration // of all classes
	PlainRoutes     bool          // there may be plain routes, for clients that don't know the platform's protocol
	MaxHeaderBytes  int           // of a request's header section; 0: defaultMaxHeaderBytes
	SharedListeners bool          // another process accepts from the same sockets, and takes over at Shutdown
}

// defaultMaxHeaderBytes holds any header section in the platform's protocol several times over. Hundreds of clients may
// send that much at once.
const defaultMaxHeaderBytes = 12 << 10

// ListenOptions are the options of a listener.
type ListenOptions struct {
	// TrustedProxies are peers whose headers about their own clients are forwarded.
	TrustedProxies []netip.Prefix
	// ProxyProtocol makes each connection begin with a PROXY header of version 1 or 2. If there are TrustedProxies,
	// connections of others are closed.
	ProxyProtocol bool
}

// trusts reports whether an address is of a trusted proxy.
func (o *ListenOptions) trusts(addr netip.Addr) bool {
	return slices.ContainsFunc(o.TrustedProxies, func(p netip.Prefix) bool { return p.Contains(addr) })
}

// Server serves clients on any number of listeners. Its methods may be called by any goroutine.
type Server struct {
	admission       *frontend.Admission
	plainRoutes     bool
	sharedListeners bool
	maxHeaderBytes  int
	longestDeadline atomic.Int64 // a time.Duration
	listeners       frontend.Listeners[ListenOptions]
	conns           connTable

	mu      sync.Mutex         // guards watcher and closed, and orders Serve and Close
	watcher *disconnectWatcher // nil before the first Serve
	closed  bool

	shuttingDown      atomic.Bool   // Shutdown has been called
	shutdownEndsConns atomic.Bool   // Shutdown has reached the step in which connections end with their responses
	endTunnels        chan struct{} // closed when tunnels, and delays of rejected clients, have to end
	connsEndBeforeDue time.Duration // lastRequestsTime; tests set it before Shutdown
}

// New returns a Server that brings its requests through admission.
func New(admission *frontend.Admission, o Options) *Server {
	s := &Server{
		admission:         admission,
		plainRoutes:       o.PlainRoutes,
		sharedListeners:   o.SharedListeners,
		maxHeaderBytes:    cmp.Or(o.MaxHeaderBytes, defaultMaxHeaderBytes),
		endTunnels:        make(chan struct{}),
		connsEndBeforeDue: lastRequestsTime,
	}
	s.conns.evicted = sync.NewCond(&s.conns.mu)
	s.SetLongestDeadline(o.LongestDeadline)
	s.SetConnLimits(o.MaxConns, o.SpareConns)
	return s
}

// SetLongestDeadline sets the longest deadline of all classes.
func (s *Server) SetLongestDeadline(d time.Duration) { s.longestDeadline.Store(int64(d)) }

// SetConnLimits sets how many connections of clients may be open, and how many more there may be before a new one is
// closed at once.
func (s *Server) SetConnLimits(limit, spare int) { s.conns.setLimits(limit, spare) }

// SetListenOptions sets the options of a listener, for connections that are yet to be accepted.
func (s *Server) SetListenOptions(ln net.Listener, o ListenOptions) { s.listeners.SetOptions(ln, o) }

// acceptBackoff is how long nothing is accepted after a failure.
var acceptBackoff = frontend.AcceptBackoff{Min: 5 * time.Millisecond, Max: time.Second}

// Serve serves the connections that ln accepts. It returns nil once Shutdown, CloseListener or Close has closed ln, also
// before the call.
func (s *Server) Serve(ln net.Listener) error {
	serving, err := s.startServing(ln)
	if !serving || err != nil {
		return err
	}
	return s.listeners.Serve(ln, acceptBackoff, func(nc net.Conn, o *ListenOptions) {
		s.accept(nc, o)
		// In a burst of connections, those accepted before read their requests first, so that they are not closed as
		// connections without one.
		runtime.Gosched()
	})
}

// startServing adds a listener, unless the server ends. A process that is stopped while it waits to take over from
// another accepts nothing.
func (s *Server) startServing(ln net.Listener) (serving bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.shuttingDown.Load() {
		s.listeners.Close(ln)
		return false, nil
	}
	s.listeners.Add(ln)
	if s.watcher != nil {
		return true, nil
	}
	s.watcher, err = newDisconnectWatcher()
	return err == nil, err
}

// accept serves a new connection, or closes it if there are too many.
func (s *Server) accept(nc net.Conn, o *ListenOptions) {
	c, err := newClientConn(nc.(*net.TCPConn), o)
	if err != nil {
		nc.Close()
		return
	}
	if err := s.watcher.add(c); err != nil {
		s.watcher.remove(c)
		nc.Close()
		return
	}
	// The deadline is set before the connection is in the table, where it may be evicted by another deadline.
	c.SetReadDeadline(time.Now().Add(requestTimeout))
	if !s.conns.add(c) {
		s.watcher.remove(c)
		nc.Close()
		return
	}
	go s.serveConn(c)
	s.conns.awaitEvictions()
}

// endsAfterResponse reports whether connections end with their responses, because of Shutdown or of a drain.
func (s *Server) endsAfterResponse() bool {
	return s.shutdownEndsConns.Load() || s.admission.DrainEndsConnections()
}

// CloseListener closes a listener. Its connections are served on.
func (s *Server) CloseListener(ln net.Listener) { s.listeners.Close(ln) }

// Close closes all listeners and connections at once.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.listeners.CloseAll()
	watcher := s.watcher
	s.mu.Unlock()
	if watcher == nil {
		return
	}
	for _, c := range watcher.open() {
		c.TCPConn.Close()
		c.cancel()
	}
	watcher.close()
}
