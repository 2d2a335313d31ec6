package http1

import (
	"bufio"
	"bytes"
	"container/list"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"net/textproto"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pires/go-proxyproto"

	"lynxspool/internal/front"
)

// clients keeps the connections of clients within their budget of descriptors. Beyond
// it, what is of least use is closed: first connections that are done with, then those
// that have brought no request yet, oldest first, then those idle for idleLeast. In a
// crowd that begins before the budget is used up, with what has been of no use for long.
// It guards against running out of descriptors with requests in the backlog, and costs
// the same however many connections there are.
type clients struct {
	budget int // what makes room is closed beyond it
	most   int // a connection beyond that is closed at once

	mu     sync.Mutex
	open   int
	spent  list.List // answered for the last time, on their way to be closed
	silent list.List // with no request yet
	idle   list.List // between two requests
}

// Uses of a connection. Whoever changes it from connFree decides: either its bytes are
// a request or it is closed, never both.
const (
	connFree   = iota // holds no request
	connTaken         // holds one, whole or in part
	connClosed        // closed to make room
)

// clientConn is a client's connection.
type clientConn struct {
	*net.TCPConn
	use    atomic.Int32
	served atomic.Bool // it has had an answer
	plain  bool        // requests may be of plain routes
	opts   *ListenOptions
	proxy  *bufio.Reader // where the PROXY header comes first: what is read ahead with it
	client netip.Addr    // whom that names

	headMu  sync.Mutex
	head    []byte // of the request that is on, as it came
	headEnd bool   // it is whole
	early   byte   // the byte read last behind it, if it came alone

	// clients.mu guards these.
	in    *list.List
	place *list.Element
	since time.Time
}

type clientKey struct{} // of the connection among a request's context values

// Read marks the connection as taken with the first byte of a further request: it
// guards against closing it for being idle with a request half read. One that has yet
// to bring its first can be closed until that is there whole.
func (c *clientConn) Read(b []byte) (int, error) {
	n, err := c.read(b)
	if c.plain && n > 0 {
		c.look(b[:n], len(b) == 1)
	}
	if n > 0 && c.served.Load() && !c.use.CompareAndSwap(connFree, connTaken) && c.use.Load() == connClosed {
		return 0, net.ErrClosed
	}
	return n, err
}

// proxyRead is how much is read ahead with a PROXY header: the longest in use fit, with the
// addresses of version 2 and some of what may follow them.
const proxyRead = 512

var errProxy = errors.New("http1: a connection from where PROXY headers are not taken")

// read reads from the connection, behind the PROXY header where one must come first. Whoever
// sends none, or may not, is not heard.
func (c *clientConn) read(b []byte) (int, error) {
	if c.opts == nil || !c.opts.Proxy {
		return c.TCPConn.Read(b)
	}
	if c.proxy == nil {
		if len(c.opts.Trusted) > 0 && !c.opts.trusts(c.addr()) {
			return 0, errProxy
		}
		c.proxy = bufio.NewReaderSize(c.TCPConn, proxyRead)
		h, err := proxyproto.Read(c.proxy)
		if err != nil {
			return 0, err
		}
		if a, ok := h.SourceAddr.(*net.TCPAddr); ok && !h.Command.IsLocal() {
			c.client, _ = netip.AddrFromSlice(a.IP)
		}
	}
	if c.proxy.Buffered() > 0 {
		return c.proxy.Read(b)
	}
	return c.TCPConn.Read(b)
}

// addr is where the connection itself comes from.
func (c *clientConn) addr() netip.Addr {
	if a, ok := c.TCPConn.RemoteAddr().(*net.TCPAddr); ok {
		return a.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

// peer is who a request on the connection comes from.
func (c *clientConn) peer() front.Peer {
	p := front.Peer{Addr: c.addr(), Proto: "http"}
	if c.client.IsValid() {
		p.Addr = c.client
	}
	p.Trusted = c.opts != nil && c.opts.trusts(p.Addr)
	return p
}

// headKept bounds what is kept of a head: net/http refuses longer ones.
const headKept = 72 << 10

// look keeps the head of a request as it comes, up to its end: net/http drops or settles some
// of what is there. What is read behind the head is not looked at, until the connection is
// idle. ahead says that one byte was asked for.
func (c *clientConn) look(b []byte, ahead bool) {
	c.headMu.Lock()
	defer c.headMu.Unlock()
	if c.headEnd {
		// net/http reads a byte ahead while it waits for a client to leave: it may be the
		// first of the next request.
		if c.early = 0; ahead {
			c.early = b[0]
		}
		return
	}
	from := max(0, len(c.head)-3)
	c.head = append(c.head, b...)
	if i := bytes.Index(c.head[from:], []byte("\r\n\r\n")); i >= 0 {
		c.headEnd, c.head = true, c.head[:from+i+4]
	} else if i := bytes.Index(c.head[from:], []byte("\n\n")); i >= 0 {
		c.headEnd, c.head = true, c.head[:from+i+2]
	} else if len(c.head) > headKept {
		c.headEnd, c.head = true, nil // net/http refuses it
	}
}

// again has the next head kept.
func (c *clientConn) again() {
	c.headMu.Lock()
	defer c.headMu.Unlock()
	c.head, c.headEnd = c.head[:0], false
	if c.early != 0 {
		c.head = append(c.head, c.early)
		c.early = 0
	}
}

// rawHead is the head of the request as it came, nil where that is not known: it came with
// what was before it.
func (c *clientConn) rawHead() []byte {
	c.headMu.Lock()
	defer c.headMu.Unlock()
	if !c.headEnd {
		return nil
	}
	return c.head
}

// hostHeader is the Host header in a head, "" where there is not just one.
func hostHeader(raw []byte) string {
	in := textproto.NewReader(bufio.NewReader(bytes.NewReader(raw)))
	if _, err := in.ReadLine(); err != nil {
		return ""
	}
	h, err := in.ReadMIMEHeader()
	if err != nil || len(h["Host"]) != 1 {
		return ""
	}
	return h["Host"][0]
}

// clientListener gives out clientConns.
type clientListener struct {
	net.Listener
	plain bool
	opts  *atomic.Pointer[ListenOptions]
}

// Accept lets the connections accepted before read what has come first: it guards
// against taking a client for silent in a burst of connections.
func (l clientListener) Accept() (net.Conn, error) {
	runtime.Gosched()
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &clientConn{TCPConn: c.(*net.TCPConn), plain: l.plain, opts: l.opts.Load()}, nil
}

// track follows the connections.
func (s *clients) track(nc net.Conn, state http.ConnState) {
	c := nc.(*clientConn)
	var victim *clientConn
	s.mu.Lock()
	switch state {
	case http.StateNew:
		s.open++
		if victim = s.makeRoom(); victim == nil && s.open > s.most {
			c.use.Store(connClosed)
			s.open--
			victim = c
		} else {
			s.move(c, &s.silent)
		}
	case http.StateActive:
		c.use.CompareAndSwap(connFree, connTaken) // if it is closed, serve sees it
		s.move(c, nil)
	case http.StateIdle:
		c.served.Store(true)
		if c.plain {
			c.again()
		}
		s.move(c, &s.idle)
		c.use.CompareAndSwap(connTaken, connFree)
	default:
		s.move(c, nil) // it is closed, or has gone over to another protocol and counts no more
		if c.use.Swap(connClosed) != connClosed {
			s.open--
		}
	}
	s.mu.Unlock()
	if victim != nil {
		victim.Close()
	}
}

// spend says that a connection will be closed behind the answer being written.
func (s *clients) spend(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.use.CompareAndSwap(connTaken, connFree) {
		s.move(c, &s.spent)
	}
}

// move puts a connection into a line, or none; mu is held.
func (s *clients) move(c *clientConn, to *list.List) {
	if c.in != nil {
		c.in.Remove(c.place)
	}
	c.in, c.place, c.since = to, nil, time.Now()
	if to != nil {
		c.place = to.PushBack(c)
	}
}

// use is a line to make room from, and how long a connection must have stood there.
type use struct {
	line  *list.List
	least time.Duration
}

// limit says how many connections may be open from now on.
func (s *clients) limit(budget, spare int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget, s.most = budget, budget+spare
}

// makeRoom picks the connection to close if there are too many; mu is held.
func (s *clients) makeRoom() *clientConn {
	var from []use
	switch {
	case s.open > s.budget:
		from = []use{{&s.spent, 0}, {&s.silent, silentLeast}, {&s.idle, idleLeast}, {&s.silent, 0}}
	case s.crowd():
		// It guards against connections that nobody uses any more: while they make a
		// crowd, every other client pays a handshake for each of its requests.
		from = []use{{&s.silent, silentCrowded}, {&s.idle, idleLeast}}
	}
	for _, use := range from {
		for e := use.line.Front(); e != nil; e = use.line.Front() {
			c := e.Value.(*clientConn)
			if time.Since(c.since) < use.least {
				break
			}
			s.move(c, nil)
			if c.use.CompareAndSwap(connFree, connClosed) {
				s.open--
				return c
			} // else a request has come just now
		}
	}
	return nil
}

// closeUnused closes the connections without a request, but for those that have come a moment
// ago to bring one.
func (s *clients) closeUnused() {
	var victims []*clientConn
	s.mu.Lock()
	for _, use := range []use{{&s.spent, 0}, {&s.silent, lingerTime}, {&s.idle, 0}} {
		for e := use.line.Front(); e != nil; e = use.line.Front() {
			c := e.Value.(*clientConn)
			if time.Since(c.since) < use.least {
				break
			}
			s.move(c, nil)
			if c.use.CompareAndSwap(connFree, connClosed) {
				s.open--
				victims = append(victims, c)
			} // else a request has come just now
		}
	}
	s.mu.Unlock()
	for _, c := range victims {
		c.Close()
	}
}

// crowded says whether the budget is nearly used up; connections are then closed behind
// their answers. It guards against filling up with those that were used a moment ago.
func (s *clients) crowded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crowd()
}

// crowd says whether the budget is nearly used up; mu is held.
func (s *clients) crowd() bool { return s.open*100 > s.budget*crowdedShare }

// inUse says whether a client has a connection to ask on, or may yet bring a request.
func (s *clients) inUse() bool {
	if s.busy() {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.idle.Len() > 0
}

// busy says whether a connection holds a request, or may yet bring its first.
func (s *clients) busy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if newest := s.silent.Back(); newest != nil && time.Since(newest.Value.(*clientConn).since) < lingerTime {
		return true
	}
	return s.open > s.silent.Len()+s.idle.Len()+s.spent.Len()
}
