// Package fastcgi is the front for web servers that speak FastCGI: the gateway is their
// responder, and their requests go the way of all others.
package fastcgi

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"dunemoor/internal/body"
	"dunemoor/internal/drain"
	"dunemoor/internal/fastcgi"
	"dunemoor/internal/frontend"
)

// Options are what a Server is told.
type Options struct {
	MaxConns int // connections of web servers at most; what comes beyond is closed at once
}

const (
	// halfTime is for the parameters of a request to come, and for its body to go on: a web
	// server has a request whole before it sends it, or passes on what comes.
	halfTime = 2500 * time.Millisecond
	// lookEvery is how often requests that are half there are looked at.
	lookEvery = 250 * time.Millisecond
	// idleTime is for a connection with no request; web servers keep a few.
	idleTime = 5 * time.Minute
	// stallTime is how long the body of one request may hold up the others on its connection
	// where its host takes nothing, and stallAlone where there are none.
	stallTime  = time.Second
	stallAlone = time.Minute
	// pipeMost is what is held of a body that its host has yet to take.
	pipeMost = 64 << 10
	readSize = 16 << 10
	// recordMost is what a request puts out before others on its connection have their turn.
	recordMost = 16 << 10
	// closeBefore the exit connections without a request are closed, and leaveBefore it all end
	// with their answers.
	leaveBefore = 300 * time.Millisecond
	backlogTime = 600 * time.Millisecond
	exitTime    = 3600 * time.Millisecond // of SIGTERM: what HTTP clients have too
	waitEvery   = 10 * time.Millisecond
)

// ListenOptions are what a listener is told.
type ListenOptions struct {
	TrustedProxies []netip.Prefix // web servers whose word about their clients is passed on
}

// Server is the side of the web servers, on any number of listeners.
type Server struct {
	gate *frontend.Admission
	o    Options

	mu        sync.Mutex
	listeners map[net.Listener]*atomic.Pointer[ListenOptions]
	conns     map[*conn]struct{}
	leaving   atomic.Bool // connections end with their answers
	ended     atomic.Bool
}

// New returns a Server that brings its requests through gate.
func New(gate *frontend.Admission, o Options) *Server {
	return &Server{gate: gate, o: o, listeners: map[net.Listener]*atomic.Pointer[ListenOptions]{}, conns: map[*conn]struct{}{}}
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

// Serve takes connections from ln, until Stop, Close or Leave has closed it.
func (s *Server) Serve(ln net.Listener) error {
	s.mu.Lock()
	opts := s.listeners[ln]
	if opts == nil {
		opts = new(atomic.Pointer[ListenOptions])
		opts.Store(&ListenOptions{})
		s.listeners[ln] = opts
	}
	s.mu.Unlock()
	for {
		nc, err := ln.Accept()
		if err != nil {
			var more net.Error
			if errors.As(err, &more) && more.Timeout() {
				continue
			}
			s.mu.Lock()
			_, there := s.listeners[ln]
			s.mu.Unlock()
			if !there && errors.Is(err, net.ErrClosed) {
				return nil
			}
			if errors.Is(err, net.ErrClosed) {
				return err
			}
			time.Sleep(waitEvery) // no descriptors: those in use will end
			continue
		}
		c := newConn(s, nc, opts.Load())
		s.mu.Lock()
		var idle *conn
		if len(s.conns) >= s.o.MaxConns {
			idle = s.idlest()
		}
		full := len(s.conns) >= s.o.MaxConns && idle == nil || s.ended.Load()
		if idle != nil {
			delete(s.conns, idle)
		}
		if !full {
			s.conns[c] = struct{}{}
		}
		s.mu.Unlock()
		if idle != nil {
			idle.nc.Close()
		}
		if full {
			nc.Close()
			continue
		}
		go c.serve()
	}
}

// idlest is the connection to close where there are too many: of those that carry no whole request,
// the one that has said nothing for longest. It guards against peers that connect and go silent,
// which else would keep out all others. mu is held.
func (s *Server) idlest() (idlest *conn) {
	var since time.Time
	for c := range s.conns {
		c.mu.Lock()
		if len(c.reqs) == 0 && (idlest == nil || c.seen.Before(since)) {
			idlest, since = c, c.seen
		}
		c.mu.Unlock()
	}
	return idlest
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
	s.ended.Store(true)
	s.mu.Lock()
	for ln := range s.listeners {
		delete(s.listeners, ln)
		ln.Close()
	}
	conns := s.list()
	s.mu.Unlock()
	for _, c := range conns {
		c.nc.Close()
	}
}

// list is the connections; mu is held.
func (s *Server) list() (all []*conn) {
	for c := range s.conns {
		all = append(all, c)
	}
	return all
}

// Shutdown ends service in order: what comes for a while yet is served, connections then end with
// their answers, and what is out shortly before the exit is answered as the gate says.
func (s *Server) Shutdown() {
	began := time.Now()
	time.Sleep(backlogTime)
	s.mu.Lock()
	for ln := range s.listeners {
		delete(s.listeners, ln)
		ln.Close()
	}
	s.mu.Unlock()
	s.leaving.Store(true)
	for time.Since(began) < exitTime && s.open() > 0 {
		time.Sleep(waitEvery)
	}
	s.Close()
}

// open is how many connections there are. Each that carries no request is closed by its own
// goroutine at its next look: nobody else knows what that has read.
func (s *Server) open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// leaves says whether connections end with their answers.
func (s *Server) leaves() bool {
	if s.leaving.Load() {
		return true
	}
	state, _ := s.gate.Draining()
	return state >= drain.Leaving
}

func (s *Server) drop(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// conn is a connection of a web server.
type conn struct {
	s    *Server
	nc   net.Conn
	opts *ListenOptions
	in   *fastcgi.Server

	wmu    sync.Mutex // held while records go out
	broken bool

	mu   sync.Mutex
	reqs map[uint16]*request
	last bool // it ends with the requests that it has
	bad  bool // what comes can't be told any more
	seen time.Time
}

func newConn(s *Server, nc net.Conn, o *ListenOptions) *conn {
	c := &conn{s: s, nc: nc, opts: o, reqs: map[uint16]*request{}, seen: time.Now()}
	c.in = fastcgi.NewServer(c, s.o.MaxConns)
	return c
}

// serve reads the connection until it ends, and then has all ended that came by it.
func (c *conn) serve() {
	defer c.s.drop(c)
	b := make([]byte, readSize)
	for {
		c.nc.SetReadDeadline(time.Now().Add(lookEvery))
		n, err := c.nc.Read(b)
		if n > 0 {
			c.mu.Lock()
			c.seen = time.Now()
			c.mu.Unlock()
			if bad := c.in.Feed(b[:n]); bad != nil {
				// What comes behind can't be told. What was whole is answered yet.
				c.spoil(bad)
				return
			}
		}
		var late net.Error
		switch {
		case err == nil:
		case errors.As(err, &late) && late.Timeout():
		default:
			c.gone()
			return
		}
		if !c.look() {
			return
		}
	}
}

// look ends requests that do not come whole and a connection that is idle for long; it says
// whether the connection goes on.
func (c *conn) look() bool {
	now := time.Now()
	c.mu.Lock()
	quiet := now.Sub(c.seen)
	none := len(c.reqs) == 0
	c.mu.Unlock()
	if quiet < lookEvery {
		return true
	}
	half := 0
	c.in.ForEachIncomplete(func(id uint16, begun bool) {
		half++
		if quiet < halfTime {
			return
		}
		if r := c.find(id); r != nil {
			r.in.CloseWrite(errSlow) // its body has not come
		} else if !begun {
			c.in.RequestEnded(id)
			c.say(id, http.StatusRequestTimeout, "the parameters come too slowly")
		}
	})
	if none && half == 0 && (quiet > idleTime || c.s.leaves()) {
		c.nc.Close()
		return false
	}
	return true
}

var errSlow = frontend.Bad(http.StatusRequestTimeout, "the body comes too slowly")

// gone has all requests of a connection that has ended called off: nobody waits.
func (c *conn) gone() {
	c.nc.Close()
	c.wmu.Lock()
	c.broken = true
	c.wmu.Unlock()
	c.mu.Lock()
	reqs := make([]*request, 0, len(c.reqs))
	for _, r := range c.reqs {
		reqs = append(reqs, r)
	}
	c.mu.Unlock()
	for _, r := range reqs {
		r.cancel()
		r.in.CloseWrite(errGone)
	}
}

// ended looks whether the web server has ended the connection, whatever of it is yet to be read.
func (c *conn) ended() bool {
	sc, ok := c.nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		for {
			var err error
			if n, err = unix.Poll(p, 0); err != unix.EINTR {
				return
			}
		}
	})
	return err != nil || n > 0 // or we have closed it
}

var errGone = errors.New("fastcgi: the web server has gone")

// spoil ends a connection whose records have lost their order: requests that were whole are
// answered, the others are told what is wrong, and then it is closed.
func (c *conn) spoil(err error) {
	c.mu.Lock()
	c.last, c.bad = true, true
	c.mu.Unlock()
	c.in.ForEachIncomplete(func(id uint16, _ bool) {
		if r := c.find(id); r != nil {
			r.in.CloseWrite(frontend.Bad(http.StatusBadRequest, "%v", err))
		} else {
			c.in.RequestEnded(id)
			c.say(id, http.StatusBadRequest, err.Error())
		}
	})
	// Whoever waits for an answer can be seen to leave still; what it says is not looked at.
	c.mu.Lock()
	none := len(c.reqs) == 0 && c.in.NumOpen() == 0
	c.mu.Unlock()
	if none {
		c.nc.Close()
	}
	b := make([]byte, readSize)
	for {
		c.nc.SetReadDeadline(time.Time{})
		if _, err := c.nc.Read(b); err != nil {
			c.gone()
			return
		}
	}
}

func (c *conn) find(id uint16) *request {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reqs[id]
}

// peer is who a request comes from: the web server, or whom it names where it is trusted.
func (c *conn) peer(remote string) frontend.ClientAddress {
	p := frontend.ClientAddress{Proto: "http"}
	if a, ok := c.nc.RemoteAddr().(*net.TCPAddr); ok {
		p.Addr = a.AddrPort().Addr().Unmap()
	} else {
		p.Addr = netip.AddrFrom4([4]byte{127, 0, 0, 1}) // by a socket of this machine
	}
	p.Trusted = slices.ContainsFunc(c.opts.TrustedProxies, func(n netip.Prefix) bool { return n.Contains(p.Addr) })
	if a, err := netip.ParseAddr(remote); p.Trusted && err == nil {
		p.Addr = a.Unmap()
	}
	return p
}

// Request is a request whose parameters are whole.
func (c *conn) Request(id uint16, params []byte, keep bool, err error) {
	r := &request{c: c, id: id, in: body.NewPipe(pipeMost), keep: keep}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	m, remote, perr := message(params)
	if err != nil {
		perr = frontend.Bad(http.StatusRequestHeaderFieldsTooLarge, "the parameters are longer than %d bytes", fastcgi.MaxParamsBytes)
	}
	c.mu.Lock()
	c.reqs[id] = r
	c.mu.Unlock()
	go r.serve(m, remote, perr, time.Now())
}

// Body is a part of a request's body.
func (c *conn) Body(id uint16, part []byte, end bool) {
	r := c.find(id)
	if r == nil {
		return
	}
	if end {
		r.in.CloseWrite(errEnd)
		return
	}
	c.mu.Lock()
	wait := stallAlone
	if len(c.reqs) > 1 {
		wait = stallTime
	}
	c.mu.Unlock()
	if r.in.Write(part, wait) == body.ErrPipeFull {
		// Its host may take as long as it likes to be written to: nobody waits for that.
		err := frontend.Bad(http.StatusBadGateway, "its host takes the body too slowly, it may have been done")
		r.why.Store(&err)
		r.cancel()
		r.in.CloseWrite(err)
	}
}

// errEnd is the end of a body that came whole.
var errEnd = errors.New("fastcgi: the end of STDIN")

// Abort is the client leaving.
func (c *conn) Abort(id uint16) {
	if r := c.find(id); r != nil {
		r.aborted.Store(true)
		r.cancel()
		r.in.CloseWrite(errGone)
	}
}

// Reply is a record of the connection's own.
func (c *conn) Reply(record []byte) { c.write(record, time.Second) }

// write puts records out whole. One that fails ends the connection.
func (c *conn) write(b []byte, within time.Duration) error {
	c.wmu.Lock()
	defer c.wmu.Unlock()
	if c.broken {
		return errGone
	}
	c.nc.SetWriteDeadline(time.Now().Add(within))
	if _, err := c.nc.Write(b); err != nil {
		c.broken = true
		c.nc.Close()
		return err
	}
	return nil
}
