package http1

import (
	"container/list"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"dunemoor/internal/body"
	"dunemoor/internal/frontend"
	"dunemoor/internal/httpwire"
)

const (
	// requestTimeout is how long a client may take to send a header section, from the connect for the first request of
	// a connection and from the first byte for each later one: it is to get an error or a close within 3 s of
	// connecting. A body has to keep to Streams.Upload of its route instead; on a route without Streams, it has
	// requestTimeout from the end of the header section, and so has the rest of a body that is discarded.
	requestTimeout = 2500 * time.Millisecond
	// idleTimeout is how long a connection is kept without a request, at least. A quarter more is possible.
	idleTimeout = 15 * time.Second
	// writeTimeout is how long a client may take to receive a response that is not streamed.
	writeTimeout = 10 * time.Second

	// lingerTimeout and maxLingerBytes bound what is read and discarded after the last response. That is enough for a
	// client whose request was a little too long to read the error.
	lingerTimeout  = 500 * time.Millisecond
	maxLingerBytes = 4 * frontend.MaxBufferedBytes
)

// clientConn is a connection of a client. It belongs to the goroutine that runs Server.serveConn, apart from what is
// noted below. It serves one request at a time.
type clientConn struct {
	*net.TCPConn
	raw     syscall.RawConn
	watcher *disconnectWatcher
	watchID uint64 // in the watcher
	options *ListenOptions
	client  frontend.ClientAddress

	ctx    context.Context // canceled when the client leaves
	cancel context.CancelFunc

	in            connReader
	idleDeadline  time.Time // the read deadline, if it is that of a wait for a request; else zero
	writeDeadline body.LazyDeadline

	servesLast         bool        // the table had woken the connection to be closed, but a request had arrived: it is the last
	delayedSince       time.Time   // since when the next request may have been left unread; zero: it has just arrived
	responseUntilClose atomic.Bool // the streamed response ends with the connection; read by any goroutine

	exchange

	// connTable.mu guards these.
	state    connState
	queue    *list.List // of the table; nil: none
	element  *list.Element
	queuedAt time.Time
}

// exchange is the current request of a connection and its response.
type exchange struct {
	request    httpwire.Request
	body       *bodyReader // nil: the request has none
	upload     *upload     // nil: the body is not streamed
	closeAfter bool        // the connection ends with the response

	mu              sync.Mutex // guards responseStarted, and serializes writes of informational responses with it
	responseStarted bool       // no informational response may be written any more
}

// newClientConn returns a clientConn for an accepted connection.
func newClientConn(conn *net.TCPConn, o *ListenOptions) (*clientConn, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	c := &clientConn{TCPConn: conn, raw: raw, options: o}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.in.init(conn, raw)
	c.writeDeadline.SetDeadline = conn.SetWriteDeadline
	return c, nil
}

// Gone reports whether the client has left, as far as the kernel knows by now.
func (c *clientConn) Gone() bool {
	c.watcher.poll()
	return c.ctx.Err() != nil
}

// remoteAddr returns the address of the peer, which may be a proxy.
func (c *clientConn) remoteAddr() netip.Addr {
	if addr, ok := c.TCPConn.RemoteAddr().(*net.TCPAddr); ok {
		return addr.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

// identifyClient sets the address of the client, by a PROXY header if the listener has these. Its error means that the
// connection is to be closed without a response.
func (c *clientConn) identifyClient() error {
	addr := c.remoteAddr()
	if c.options.ProxyProtocol {
		if len(c.options.TrustedProxies) > 0 && !c.options.trusts(addr) {
			return errUntrustedProxy
		}
		source, err := c.in.readProxyHeader()
		if err != nil {
			return err
		}
		if source.IsValid() {
			addr = source
		}
	}
	c.client = frontend.ClientAddress{Addr: addr, Proto: "http", Trusted: c.options.trusts(addr)}
	return nil
}

// serveConn serves a connection until it ends.
func (s *Server) serveConn(c *clientConn) {
	defer s.closeConn(c)
	defer func() {
		if p := recover(); p != nil { // other connections must not be affected
			slog.Error("request handler panicked", "cause", p, "stack", string(debug.Stack()))
		}
	}()
	if err := c.identifyClient(); err != nil {
		return
	}
	keepAlive := s.serveNext(c, true)
	for keepAlive {
		keepAlive = s.serveNext(c, false)
	}
}

// serveNext serves the next request of a connection, and reports whether there may be another.
func (s *Server) serveNext(c *clientConn, first bool) (keepAlive bool) {
	if !first && c.in.buffered() == 0 && !s.awaitRequest(c) {
		s.lingeringClose(c, lingerTimeout, maxLingerBytes)
		return false
	}
	err := s.readRequest(c, first)
	if err == errNoRequest {
		s.lingeringClose(c, lingerTimeout, maxLingerBytes)
		return false
	}
	if first {
		s.conns.setActive(c)
	}
	if err != nil {
		s.failAndClose(c, err)
		return false
	}
	received := time.Now()
	if !c.delayedSince.IsZero() {
		received = c.delayedSince
		c.delayedSince = time.Time{}
	}
	if !s.serve(c, received) {
		return false
	}
	if c.closeAfter || !c.finishBody() {
		s.lingeringClose(c, lingerTimeout, maxLingerBytes)
		return false
	}
	c.request.Header = nil
	return c.ctx.Err() == nil
}

// awaitRequest waits for the next request, and reports whether its first bytes have arrived.
func (s *Server) awaitRequest(c *clientConn) bool {
	// One deadline serves many requests: it is set again when less than idleTimeout is left of it.
	now := time.Now()
	if c.idleDeadline.Sub(now) < idleTimeout {
		c.idleDeadline = now.Add(idleTimeout + idleTimeout/4)
		c.SetReadDeadline(c.idleDeadline)
	}
	// After the deadline is set, as the table may wake the connection by another from here on.
	s.conns.setIdle(c)
	if !c.in.readMore() {
		return false
	}
	s.conns.setActive(c)
	return true
}

// lingeringClose closes a connection for writing, and then reads and discards what its client still sends, for a time and
// up to a number of bytes. To close a connection with unread bytes resets it, and the client may see the reset before the
// last response (RFC 9112, 9.6). Nothing that is read here is served. Its errors mean that the client has left.
func (s *Server) lingeringClose(c *clientConn, timeout time.Duration, maxBytes int64) {
	c.CloseWrite()
	// Before setLingering, as the table may wake the connection by another deadline from there on.
	c.SetReadDeadline(time.Now().Add(timeout))
	if s.conns.setLingering(c) {
		c.in.releaseBuffer()
		io.CopyN(io.Discard, c.TCPConn, maxBytes)
	}
}

// closeConn closes a connection and forgets it.
func (s *Server) closeConn(c *clientConn) {
	s.conns.remove(c)
	s.watcher.remove(c)
	c.TCPConn.Close()
	c.cancel()
}

// errUntrustedProxy is the error of a connection with a PROXY header from a peer that may not send one.
var errUntrustedProxy = errors.New("read PROXY header: peer is not a trusted proxy")
