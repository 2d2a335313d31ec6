// Package fastcgi implements the frontend for web servers that use FastCGI 1.0, with the gateway in the responder role.
// Each connection has a goroutine that reads its records, and each request has a goroutine that passes it to the engine
// and writes the response.
package fastcgi

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"dunemoor/internal/frontend"
)

const (
	// maxEvicting is the maximum number of connections beyond Options.MaxConns, while idle ones are being closed for them.
	// An idle connection is closed at once, unless a request has arrived on it.
	maxEvicting = 8
	// shutdownPollInterval is the interval at which Shutdown checks whether all connections are closed.
	shutdownPollInterval = 10 * time.Millisecond
)

// acceptBackoff is the delay after a failure of Accept.
var acceptBackoff = frontend.AcceptBackoff{Min: 10 * time.Millisecond, Max: 10 * time.Millisecond}

// Options are the options of a Server.
type Options struct {
	MaxConns int // maximum number of connections; at the limit an idle one, or if there is none, the new one is closed
}

// ListenOptions are the options of a listener.
type ListenOptions struct {
	TrustedProxies []netip.Prefix // web servers whose parameters about their own clients are trusted
}

// Server serves web servers on any number of listeners. Its methods are safe for concurrent use.
type Server struct {
	admission *frontend.Admission
	maxConns  int
	listeners frontend.Listeners[ListenOptions]

	mu       sync.Mutex         // guards conns and evicting
	conns    map[*conn]struct{} // all open connections
	evicting map[*conn]struct{} // those that are being closed to free their descriptors

	shutdownEndsConns atomic.Bool // Shutdown has closed the listeners; connections are closed after their responses
	closed            atomic.Bool
}

// New returns a Server that submits its requests to admission.
func New(admission *frontend.Admission, o Options) *Server {
	return &Server{
		admission: admission,
		maxConns:  o.MaxConns,
		conns:     map[*conn]struct{}{},
		evicting:  map[*conn]struct{}{},
	}
}

// SetListenOptions sets the options of a listener. They apply to connections that are accepted afterwards.
func (s *Server) SetListenOptions(ln net.Listener, o ListenOptions) { s.listeners.SetOptions(ln, o) }

// Serve serves the connections that ln accepts. It returns nil once Shutdown, CloseListener or Close has closed ln.
func (s *Server) Serve(ln net.Listener) error {
	s.listeners.Add(ln)
	return s.listeners.Serve(ln, acceptBackoff, s.accept)
}

// accept starts serving a new connection, or closes it if there are too many.
func (s *Server) accept(nc net.Conn, o *ListenOptions) {
	c := newConn(s, nc, o)
	if !s.add(c) {
		nc.Close()
		return
	}
	go c.serve()
}

// add adds a connection. If there are too many, it evicts the one that has been idle longest. It returns false if the
// new connection must be closed because there is no idle one, or because too many are being evicted.
func (s *Server) add(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed.Load() {
		return false
	}
	if len(s.conns)-len(s.evicting) >= s.maxConns {
		victim := s.longestIdle()
		if victim == nil || len(s.evicting) >= maxEvicting {
			return false
		}
		s.evicting[victim] = struct{}{}
		victim.evict()
	}
	s.conns[c] = struct{}{}
	return true
}

// longestIdle returns the idle connection, as defined by isIdle, from which nothing has been read for the longest time,
// or nil if there is none. The caller holds mu. This connection is evicted if there are too many, so that peers that
// connect and send nothing can't lock out others.
func (s *Server) longestIdle() (longest *conn) {
	var longestSince time.Time
	for c := range s.conns {
		since, idle := c.isIdle()
		idleLonger := longest == nil || since.Before(longestSince)
		if idle && idleLonger {
			longest = c
			longestSince = since
		}
	}
	return longest
}

// remove removes a connection that has been closed.
func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	delete(s.evicting, c)
}

// open returns all open connections.
func (s *Server) open() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	open := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		open = append(open, c)
	}
	return open
}

// CloseListener closes a listener. Its connections continue to be served.
func (s *Server) CloseListener(ln net.Listener) { s.listeners.Close(ln) }

// Close closes all listeners and connections immediately.
func (s *Server) Close() {
	s.closed.Store(true)
	s.listeners.CloseAll()
	for _, c := range s.open() {
		c.nc.Close()
	}
}

// Shutdown stops the server gracefully. It accepts connections for frontend.BacklogGrace, and then closes each connection
// once it carries no request. A connection may always carry one, if the web server sends several side by side; from
// ShutdownSchedule.CloseIdle on, requests that begin are rejected as OVERLOADED, so that the connection can be closed
// after the last response. The remaining connections are closed at ShutdownSchedule.Exit. The time at which responses
// are due is set by Admission.Stop, which Shutdown of the http1 server calls.
func (s *Server) Shutdown() {
	schedule := s.admission.ScheduleShutdown()
	time.Sleep(frontend.BacklogGrace)
	s.listeners.CloseAll()
	s.shutdownEndsConns.Store(true)
	s.awaitClosed(schedule.CloseIdle)
	for _, c := range s.open() {
		c.decoder.RejectNew()
	}
	s.awaitClosed(schedule.Exit)
	s.Close()
}

// awaitClosed waits until all connections are closed, or until the given time.
func (s *Server) awaitClosed(until time.Time) {
	for time.Now().Before(until) && len(s.open()) > 0 {
		time.Sleep(shutdownPollInterval)
	}
}

// endsAfterResponse reports whether connections are closed after their responses because of Shutdown or a drain.
func (s *Server) endsAfterResponse() bool {
	return s.shutdownEndsConns.Load() || s.admission.DrainEndsConnections()
}
