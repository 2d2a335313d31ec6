// Package fastcgi is the frontend for web servers, which speak FastCGI 1.0: the gateway is their responder. A connection
// has a goroutine that reads its records, and each request one that hands it to the engine and writes the response.
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
	// shutdownTimeout is when after SIGTERM the last connections are closed: 0.1 s before the process is killed if the
	// longest deadline is 3 s or more. If it is shorter the kill comes sooner (killGrace of package http1), which this
	// server does not know; all responses are due before it all the same, by Admission.Stop.
	shutdownTimeout = 3600 * time.Millisecond
	// shutdownPollInterval is how often Shutdown looks whether all connections are closed.
	shutdownPollInterval = 10 * time.Millisecond
)

// acceptBackoff is how long nothing is accepted after a failure.
var acceptBackoff = frontend.AcceptBackoff{Min: 10 * time.Millisecond, Max: 10 * time.Millisecond}

// Options are the options of a Server.
type Options struct {
	MaxConns int // connections of web servers; beyond it an idle one, or else the new one, is closed
}

// ListenOptions are the options of a listener.
type ListenOptions struct {
	TrustedProxies []netip.Prefix // web servers whose parameters about their clients are forwarded
}

// Server serves web servers on any number of listeners. Its methods may be called by any goroutine.
type Server struct {
	admission *frontend.Admission
	maxConns  int
	listeners frontend.Listeners[ListenOptions]

	mu    sync.Mutex // guards conns
	conns map[*conn]struct{}

	shutdownEndsConns atomic.Bool // connections end with their responses because of Shutdown
	closed            atomic.Bool
}

// New returns a Server that brings its requests through admission.
func New(admission *frontend.Admission, o Options) *Server {
	return &Server{admission: admission, maxConns: o.MaxConns, conns: map[*conn]struct{}{}}
}

// SetListenOptions sets the options of a listener, for connections that are yet to be accepted.
func (s *Server) SetListenOptions(ln net.Listener, o ListenOptions) { s.listeners.SetOptions(ln, o) }

// Serve serves the connections that ln accepts. It returns nil once Shutdown, CloseListener or Close has closed ln.
func (s *Server) Serve(ln net.Listener) error {
	s.listeners.Add(ln)
	return s.listeners.Serve(ln, acceptBackoff, s.accept)
}

// accept serves a new connection, or closes it if there are too many.
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

// add adds a connection, and removes another, to be closed, if there are too many. added is false if the new one has to
// be closed.
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

// longestIdle returns the connection without a whole request from which nothing has been read for longest; mu is held. It
// is closed when there are too many, so that peers that connect and send nothing don't keep others out.
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

// remove forgets a connection.
func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// open returns the connections that are open.
func (s *Server) open() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	open := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		open = append(open, c)
	}
	return open
}

// CloseListener closes a listener. Its connections are served on.
func (s *Server) CloseListener(ln net.Listener) { s.listeners.Close(ln) }

// Close closes all listeners and connections at once.
func (s *Server) Close() {
	s.closed.Store(true)
	s.listeners.CloseAll()
	for _, c := range s.open() {
		c.nc.Close()
	}
}

// Shutdown ends the service gracefully. It accepts connections for a while, then lets each end with its responses, and
// closes the rest at shutdownTimeout. A connection without a request is closed by its own goroutine at its next check, as
// no other knows what that has read. The Admission says when responses are due.
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

// endsAfterResponse reports whether connections end with their responses, because of Shutdown or of a drain.
func (s *Server) endsAfterResponse() bool {
	return s.shutdownEndsConns.Load() || s.admission.DrainEndsConnections()
}
