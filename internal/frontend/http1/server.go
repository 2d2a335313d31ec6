// Package http1 implements the frontend for HTTP/1.1 and HTTP/1.0 clients (RFC 9112). Each connection has a goroutine
// that reads a request, passes it to the engine and writes the response before it reads the next request. A connTable
// keeps the number of connections within limits, and a disconnectWatcher detects when a client disconnects.
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
	MaxConns        int  // number of client connections above which one without a request is closed
	SpareConns      int  // number of connections beyond MaxConns before a new connection is closed at once
	PlainRoutes     bool // there may be plain routes, for clients that don't use the platform's protocol
	MaxHeaderBytes  int  // maximum size of a request's header section; 0 means defaultMaxHeaderBytes
	SharedListeners bool // another process accepts from the same sockets and takes over at Shutdown
}

// defaultMaxHeaderBytes is several times the size of any header section in the platform's protocol. It is limited
// because hundreds of clients may send that much at the same time.
const defaultMaxHeaderBytes = 12 << 10

// ListenOptions are the options of a listener.
type ListenOptions struct {
	// TrustedProxies are the peers whose headers about their own clients are forwarded.
	TrustedProxies []netip.Prefix
	// ProxyProtocol requires each connection to start with a PROXY header of version 1 or 2. If TrustedProxies is not
	// empty, connections from other peers are closed.
	ProxyProtocol bool
}

// trusts reports whether an address belongs to a trusted proxy.
func (o *ListenOptions) trusts(addr netip.Addr) bool {
	return slices.ContainsFunc(o.TrustedProxies, func(p netip.Prefix) bool { return p.Contains(addr) })
}

// Server serves clients on any number of listeners. Its methods are safe for concurrent use.
type Server struct {
	admission       *frontend.Admission
	plainRoutes     bool
	sharedListeners bool
	maxHeaderBytes  int
	listeners       frontend.Listeners[ListenOptions]
	conns           connTable

	mu      sync.Mutex         // guards watcher and closed, and serializes the start of Serve with Shutdown and Close
	watcher *disconnectWatcher // nil before the first call of Serve
	closed  bool

	shuttingDown        atomic.Bool   // Shutdown has been called
	shutdownEndsConns   atomic.Bool   // Shutdown closes connections after their current or next response from now on
	endTunnelsAndDelays chan struct{} // closed when tunnels, and the delays of rejected clients, must end
	lastRequestsTime    time.Duration // defaultLastRequestsTime, unless a test has changed it before Shutdown
}

// New returns a Server that submits its requests to admission.
func New(admission *frontend.Admission, o Options) *Server {
	s := &Server{
		admission:           admission,
		plainRoutes:         o.PlainRoutes,
		sharedListeners:     o.SharedListeners,
		maxHeaderBytes:      cmp.Or(o.MaxHeaderBytes, defaultMaxHeaderBytes),
		endTunnelsAndDelays: make(chan struct{}),
		lastRequestsTime:    defaultLastRequestsTime,
	}
	s.conns.evictionDone = sync.NewCond(&s.conns.mu)
	s.SetConnLimits(o.MaxConns, o.SpareConns)
	return s
}

// SetConnLimits sets the limit of client connections, and the number of spare connections beyond it before a new
// connection is closed at once.
func (s *Server) SetConnLimits(limit, spare int) { s.conns.setLimits(limit, spare) }

// SetListenOptions sets the options of a listener. They apply to connections that are accepted afterwards.
func (s *Server) SetListenOptions(ln net.Listener, o ListenOptions) { s.listeners.SetOptions(ln, o) }

// acceptBackoff bounds the delay after a failure of Accept.
var acceptBackoff = frontend.AcceptBackoff{Min: 5 * time.Millisecond, Max: time.Second}

// Serve serves the connections that ln accepts. It returns nil once Shutdown, CloseListener or Close has closed ln. If
// Shutdown or Close was called before, Serve closes ln and returns nil.
func (s *Server) Serve(ln net.Listener) error {
	serving, err := s.startServing(ln)
	if !serving || err != nil {
		return err
	}
	return s.listeners.Serve(ln, acceptBackoff, func(nc net.Conn, o *ListenOptions) {
		s.accept(nc, o)
		// In a burst of connections, let the goroutines of those accepted earlier read their requests first. Otherwise
		// these connections would be evicted as connections without a request.
		runtime.Gosched()
	})
}

// startServing adds a listener, or closes it if the server has been closed or is shutting down. This is the case if a
// process is stopped while it waits to take over from another process.
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

// accept starts serving a new connection, or closes it if there are too many.
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
	// Set the deadline before the connection is added to the table, which evicts connections by setting another
	// deadline.
	c.SetReadDeadline(time.Now().Add(requestTimeout))
	if !s.conns.add(c) {
		s.watcher.remove(c)
		nc.Close()
		return
	}
	go s.serveConn(c)
	s.conns.awaitEvictions()
}

// endsAfterResponse reports whether connections are closed after their current or next response because of Shutdown or a
// drain.
func (s *Server) endsAfterResponse() bool {
	return s.shutdownEndsConns.Load() || s.admission.DrainEndsConnections()
}

// CloseListener closes a listener. Its connections continue to be served.
func (s *Server) CloseListener(ln net.Listener) { s.listeners.Close(ln) }

// Close closes all listeners and connections immediately.
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
