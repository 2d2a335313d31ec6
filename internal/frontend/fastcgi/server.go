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
	// shutdownTimeout is the time after SIGTERM at which the last connections are closed. It is 0.1 s before the
	// process is killed if the longest deadline is 3 s or more. With a shorter deadline the process is killed earlier
	// (killGrace in package http1), which is not taken into account here; Admission.Stop still makes all responses due
	// before the kill.
	shutdownTimeout = 3600 * time.Millisecond
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

	mu    sync.Mutex // guards conns
	conns map[*conn]struct{}

	shutdownEndsConns atomic.Bool // Shutdown has closed the listeners; connections are closed after their responses
	closed            atomic.Bool
}

// New returns a Server that submits its requests to admission.
func New(admission *frontend.Admission, o Options) *Server {
	return &Server{admission: admission, maxConns: o.MaxConns, conns: map[*conn]struct{}{}}
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
	victim, added := s.add(c)
	if victim != nil {
		victim.nc.Close()
	}
	if !added {
		nc.Close()
		return
	}
	go c.serve()
}

// add adds a connection. If there are too many, it removes an idle one, which is returned as victim for the caller to
// close. added is false if the caller must close the new connection.
func (s *Server) add(c *conn) (victim *conn, added bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	full := len(s.conns) >= s.maxConns
	if full {
		victim = s.longestIdle()
	}
	if victim != nil {
		delete(s.conns, victim)
		full = false
	}
	if full || s.closed.Load() {
		return victim, false
	}
	s.conns[c] = struct{}{}
	return victim, true
}

// longestIdle returns the idle connection, as defined by idleSince, from which nothing has been read for the longest
// time. The caller holds mu. This connection is closed if there are too many, so that peers that connect and send
// nothing can't lock out others.
func (s *Server) longestIdle() (longest *conn) {
	var lastRead time.Time
	for c := range s.conns {
		read, idle := c.idleSince()
		idleLonger := longest == nil || read.Before(lastRead)
		if idle && idleLonger {
			longest = c
			lastRead = read
		}
	}
	return longest
}

// remove removes a connection that has been closed.
func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
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

// Shutdown stops the server gracefully. It accepts connections for frontend.BacklogGrace, then closes each connection
// after its responses, and the remaining ones at shutdownTimeout. A connection without a request is closed by its own
// goroutine in checkTimeouts, because no other goroutine has access to a partial request that it may have read. The
// time at which responses are due is set by Admission.Stop, which Shutdown of the http1 server calls.
func (s *Server) Shutdown() {
	start := time.Now()
	time.Sleep(frontend.BacklogGrace)
	s.listeners.CloseAll()
	s.shutdownEndsConns.Store(true)
	for time.Since(start) < shutdownTimeout && len(s.open()) > 0 {
		time.Sleep(shutdownPollInterval)
	}
	s.Close()
}

// endsAfterResponse reports whether connections are closed after their responses because of Shutdown or a drain.
func (s *Server) endsAfterResponse() bool {
	return s.shutdownEndsConns.Load() || s.admission.DrainEndsConnections()
}
