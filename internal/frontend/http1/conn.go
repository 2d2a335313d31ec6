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
	// requestTimeout is the maximum time for receiving a header section. It starts when the connection is accepted for
	// the first request, and at the first byte for each later request. It is below 3 s because a client that sends no
	// valid request must get an error or a close within 3 s of connecting. A body is subject to Streams.Upload of its
	// route instead. On a route without Streams the body must arrive within requestTimeout from the end of the header
	// section. The same timeout applies to the rest of a body that is discarded.
	requestTimeout = 2500 * time.Millisecond
	// idleTimeout is the time after which an idle connection is closed, unless the table closes it earlier. It may be up
	// to a quarter longer.
	idleTimeout = 15 * time.Second
	// writeTimeout is the maximum time for writing a response that is not streamed.
	writeTimeout = 10 * time.Second

	// lingerTimeout and maxLingerBytes bound the input that is read and discarded after the last response. They allow a
	// client whose request was slightly too long to finish sending it and read the error response.
	lingerTimeout  = 500 * time.Millisecond
	maxLingerBytes = 4 * frontend.MaxBufferedBytes
)

// clientConn is a connection from a client. It serves one request at a time. Its fields are owned by the goroutine that
// runs Server.serveConn, unless noted otherwise.
type clientConn struct {
	*net.TCPConn
	raw     syscall.RawConn
	watcher *disconnectWatcher
	watchID uint64 // id of the connection in the watcher
	options *ListenOptions
	client  frontend.ClientAddress

	ctx    context.Context // canceled when the client disconnects
	cancel context.CancelFunc

	in            connReader
	idleDeadline  time.Time // the read deadline, if it was set while waiting for a request; zero otherwise
	writeDeadline body.LazyDeadline

	lastRequest    bool        // the table has woken the connection to close it, but a request had arrived: it is served last
	unreadSince    time.Time   // when reading of the next request was suspended; zero if it was not
	streamsBody    atomic.Bool // what is unread belongs to the streamed body of the current request; safe for concurrent use
	closeDelimited atomic.Bool // the end of the streamed response is marked by closing; safe for concurrent use

	readAheadBytes int64 // bytes reserved in the memory budget for requests that were read ahead

	exchange

	// The following fields are guarded by connTable.mu.
	state    connState
	queue    *list.List    // queue of the table that contains the connection, nil if there is none
	element  *list.Element // element of the connection in queue
	queuedAt time.Time     // when the connection was last added to a queue or removed from one
}

// exchange is the current request of a connection and the state of its response.
type exchange struct {
	request    httpwire.Request
	body       *bodyReader // nil if the request has no body
	upload     *upload     // nil if the body is not streamed
	closeAfter bool        // the connection is closed after the response

	mu              sync.Mutex // guards responseStarted, and is held while an informational response is written
	responseStarted bool       // the final response has been started: no informational response may follow
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

// Gone reports whether the client has disconnected. It polls the kernel for pending events first. A client with many requests
// unread behind the current one may have disconnected without a trace, and counts as gone.
func (c *clientConn) Gone() bool {
	c.watcher.poll()
	return c.ctx.Err() != nil || c.mayHaveLeft()
}

// remoteAddr returns the address of the peer, which may be a proxy.
func (c *clientConn) remoteAddr() netip.Addr {
	if addr, ok := c.TCPConn.RemoteAddr().(*net.TCPAddr); ok {
		return addr.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

// identifyClient sets the address of the client, from the PROXY header if the listener expects one. If it returns an
// error, the connection must be closed without a response.
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

// serveConn serves the requests of a connection until it is closed.
func (s *Server) serveConn(c *clientConn) {
	defer s.closeConn(c)
	defer func() {
		if p := recover(); p != nil { // a panic must not affect other connections
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

// serveNext serves the next request of a connection, and reports whether another request may follow.
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
	if !c.unreadSince.IsZero() {
		received = c.unreadSince
		c.unreadSince = time.Time{}
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

// awaitRequest waits for the next request, and reports whether its first bytes have been read.
func (s *Server) awaitRequest(c *clientConn) bool {
	// The same deadline is used for many requests: it is only extended when less than idleTimeout remains.
	now := time.Now()
	if c.idleDeadline.Sub(now) < idleTimeout {
		c.idleDeadline = now.Add(idleTimeout + idleTimeout/4)
		c.SetReadDeadline(c.idleDeadline)
	}
	// setIdle must follow SetReadDeadline: from then on the table may set a deadline in the past to close the
	// connection.
	s.conns.setIdle(c)
	if !c.in.readMore() {
		return false
	}
	s.conns.setActive(c)
	return true
}

// lingeringClose closes a connection for writing, and then reads and discards input until timeout, maxBytes, or the end
// of the connection. Closing a connection that has unread bytes resets it, and the client may see the reset before it
// has read the last response (RFC 9112, 9.6). Requests in the discarded input are not served. Errors are ignored, as
// they mean that the client has disconnected.
func (s *Server) lingeringClose(c *clientConn, timeout time.Duration, maxBytes int64) {
	c.CloseWrite()
	// setLingering must follow SetReadDeadline: from then on the table may set a deadline in the past.
	c.SetReadDeadline(time.Now().Add(timeout))
	if s.conns.setLingering(c) {
		c.in.releaseBuffer()
		io.CopyN(io.Discard, c.TCPConn, maxBytes)
	}
}

// closeConn closes a connection and removes it from the table and the watcher.
func (s *Server) closeConn(c *clientConn) {
	s.conns.remove(c)
	s.watcher.remove(c)
	c.TCPConn.Close()
	c.cancel()
	s.releaseReadAhead(c)
}

// errUntrustedProxy is the error of a connection from a peer that is not among the listener's TrustedProxies, if the
// listener uses the PROXY protocol.
var errUntrustedProxy = errors.New("read PROXY header: peer is not a trusted proxy")
