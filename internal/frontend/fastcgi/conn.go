package fastcgi

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"dunemoor/internal/body"
	"dunemoor/internal/fastcgi"
	"dunemoor/internal/frontend"
)

const (
	// requestTimeout is how long the parameters of a request, and each part of its body, may take to arrive. A web server
	// has the whole request before it sends it, or passes it on as it arrives.
	requestTimeout = 2500 * time.Millisecond
	// idleTimeout is how long a connection is kept without a request. Web servers keep a few.
	idleTimeout = 5 * time.Minute
	// checkInterval is how often incomplete requests and idle connections are checked.
	checkInterval = 250 * time.Millisecond

	// stallTimeout is how long a write to the web server may take, and how long the body of the only request of a
	// connection may wait for its host.
	stallTimeout = time.Minute
	// sharedStallTimeout is how long the body of a request may wait for its host while others on the connection wait
	// for it.
	sharedStallTimeout = time.Second
	// controlWriteTimeout is how long the write of a record of the connection's own may take.
	controlWriteTimeout = time.Second

	// maxPipedBody is how much of a body is held that its host has yet to receive, in bytes.
	maxPipedBody = 64 << 10
	// readBufferSize is the size of the buffer that a connection is read into, in bytes.
	readBufferSize = 16 << 10
)

// errPeerGone is the error of a request that the web server has aborted, or whose connection has ended.
var errPeerGone = errors.New("fastcgi: web server has left")

// conn is a connection of a web server. It implements fastcgi.Calls.
type conn struct {
	server  *Server
	nc      net.Conn
	options *ListenOptions
	records *fastcgi.Server

	writeMu     sync.Mutex // serializes writes; guards writeFailed
	writeFailed bool

	mu       sync.Mutex // guards all below
	requests map[uint16]*request
	closing  bool // the connection ends with the requests that it has
	lastRead time.Time
}

// newConn returns a conn for an accepted connection.
func newConn(s *Server, nc net.Conn, o *ListenOptions) *conn {
	c := &conn{server: s, nc: nc, options: o, requests: map[uint16]*request{}, lastRead: time.Now()}
	c.records = fastcgi.NewServer(c, s.maxConns)
	return c
}

// serve reads the connection until it ends. Its requests that are open then are canceled.
func (c *conn) serve() {
	defer c.server.remove(c)
	buf := make([]byte, readBufferSize)
	for {
		c.nc.SetReadDeadline(time.Now().Add(checkInterval))
		n, err := c.nc.Read(buf)
		if n > 0 {
			c.setLastRead(time.Now())
			if recordErr := c.records.Feed(buf[:n]); recordErr != nil {
				c.stopReading(recordErr)
				return
			}
		}
		if err != nil && !isTimeout(err) {
			c.abandon()
			return
		}
		if !c.checkTimeouts() {
			return
		}
	}
}

// isTimeout reports whether an error is that of a deadline.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// setLastRead sets when the connection was last read from.
func (c *conn) setLastRead(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastRead = at
}

// idleSince returns when the connection was last read from, and whether it has no whole request.
func (c *conn) idleSince() (lastRead time.Time, idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastRead, len(c.requests) == 0
}

// checkTimeouts ends incomplete requests that have timed out, and an idle connection if it has or if connections are
// drained. It reports whether the connection stays open.
func (c *conn) checkTimeouts() bool {
	now := time.Now()
	lastRead, noRequests := c.idleSince()
	quiet := now.Sub(lastRead)
	if quiet < checkInterval {
		return true
	}
	incomplete := 0
	c.records.ForEachIncomplete(func(id uint16, paramsComplete bool) {
		incomplete++
		if quiet >= requestTimeout {
			c.timeOut(id, paramsComplete)
		}
	})
	idle := noRequests && incomplete == 0
	mayClose := quiet > idleTimeout || c.server.endsAfterResponse()
	if idle && mayClose {
		c.nc.Close()
		return false
	}
	return true
}

// timeOut ends an incomplete request. paramsComplete reports whether its parameters have all arrived.
func (c *conn) timeOut(id uint16, paramsComplete bool) {
	if r := c.find(id); r != nil {
		r.stdin.CloseWrite(frontend.ErrBodyTooSlow)
	} else if !paramsComplete {
		c.records.RequestEnded(id)
		c.writeError(id, http.StatusRequestTimeout, "the parameters come too slowly")
	}
}

// abandon closes a connection that the web server has closed, or that is broken, and cancels its requests.
func (c *conn) abandon() {
	c.nc.Close()
	c.writeMu.Lock()
	c.writeFailed = true
	c.writeMu.Unlock()
	c.mu.Lock()
	open := make([]*request, 0, len(c.requests))
	for _, r := range c.requests {
		open = append(open, r)
	}
	c.mu.Unlock()
	for _, r := range open {
		r.cancel()
		r.stdin.CloseWrite(errPeerGone)
	}
}

// stopReading ends a connection whose records can't be read any more. Its requests that are complete are answered; the
// others get the error. After that it is closed.
func (c *conn) stopReading(err error) {
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	c.records.ForEachIncomplete(func(id uint16, _ bool) {
		if r := c.find(id); r != nil {
			r.stdin.CloseWrite(frontend.NewRequestError(http.StatusBadRequest, "%v", err))
		} else {
			c.records.RequestEnded(id)
			c.writeError(id, http.StatusBadRequest, err.Error())
		}
	})
	if _, noRequests := c.idleSince(); noRequests && c.records.NumOpen() == 0 {
		c.nc.Close()
	}
	// What is read is discarded: only the end of the connection matters.
	c.nc.SetReadDeadline(time.Time{})
	io.Copy(io.Discard, c.nc)
	c.abandon()
}

// peerHasClosed reports whether the web server has closed the connection, as far as the kernel knows, whatever is yet to be
// read from it.
func (c *conn) peerHasClosed() bool {
	sc, ok := c.nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	events := 0
	err = raw.Control(func(fd uintptr) { events = pollPeerClosed(fd) })
	return err != nil || events > 0 // an error means that the gateway has closed it
}

// pollPeerClosed returns whether there are events of the peer's close, as the result of poll(2).
func pollPeerClosed(fd uintptr) int {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	for {
		n, err := unix.Poll(fds, 0)
		if err != unix.EINTR {
			return n
		}
	}
}

// find returns an open request, nil if there is none with the id.
func (c *conn) find(id uint16) *request {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests[id]
}

// clientAddress returns where a request came from: the web server, or its client by the parameter REMOTE_ADDR if the web
// server is trusted. A web server on a Unix domain socket has the loopback address.
func (c *conn) clientAddress(remoteAddr string) frontend.ClientAddress {
	client := frontend.ClientAddress{Addr: netip.AddrFrom4([4]byte{127, 0, 0, 1}), Proto: "http"}
	if addr, ok := c.nc.RemoteAddr().(*net.TCPAddr); ok {
		client.Addr = addr.AddrPort().Addr().Unmap()
	}
	client.Trusted = slices.ContainsFunc(c.options.TrustedProxies, func(p netip.Prefix) bool { return p.Contains(client.Addr) })
	if !client.Trusted {
		return client
	}
	if addr, err := netip.ParseAddr(remoteAddr); err == nil {
		client.Addr = addr.Unmap()
	}
	return client
}

// Request starts a request whose parameters are complete. With an error these are too long, and the request is answered
// with that.
func (c *conn) Request(id uint16, params []byte, keepConn bool, err error) {
	r := &request{c: c, id: id, stdin: body.NewPipe(maxPipedBody), keepConn: keepConn}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	m, remoteAddr, paramsErr := readMessage(params)
	if err != nil {
		paramsErr = frontend.NewRequestError(http.StatusRequestHeaderFieldsTooLarge, "the parameters are longer than %d bytes", fastcgi.MaxParamsBytes)
	}
	c.mu.Lock()
	c.requests[id] = r
	c.mu.Unlock()
	go r.serve(m, remoteAddr, paramsErr, time.Now())
}

// Body passes on a part of a request's body, or its end.
func (c *conn) Body(id uint16, part []byte, end bool) {
	r := c.find(id)
	if r == nil {
		return
	}
	if end {
		r.stdin.CloseWrite(io.EOF)
		return
	}
	if r.stdin.Write(part, c.bodyStallTimeout()) != body.ErrPipeFull {
		return
	}
	err := frontend.NewRequestError(http.StatusBadGateway, "its host takes the body too slowly, it may have been done")
	r.cancelReason.Store(&err)
	r.cancel()
	r.stdin.CloseWrite(err)
}

// bodyStallTimeout returns how long the body of a request may wait for its host. Other requests of the connection wait
// meanwhile.
func (c *conn) bodyStallTimeout() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.requests) > 1 {
		return sharedStallTimeout
	}
	return stallTimeout
}

// Abort cancels a request, as its client has left.
func (c *conn) Abort(id uint16) {
	if r := c.find(id); r != nil {
		r.aborted.Store(true)
		r.cancel()
		r.stdin.CloseWrite(errPeerGone)
	}
}

// Reply writes a record of the connection's own.
func (c *conn) Reply(record []byte) { c.write(record, controlWriteTimeout) }

// write writes whole records. An error ends the connection.
func (c *conn) write(records []byte, timeout time.Duration) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if c.writeFailed {
		return errPeerGone
	}
	c.nc.SetWriteDeadline(time.Now().Add(timeout))
	if _, err := c.nc.Write(records); err != nil {
		c.writeFailed = true
		c.nc.Close()
		return err
	}
	return nil
}

// writeError answers a request that was never started, with a line of text.
func (c *conn) writeError(id uint16, status int, text string) {
	out := fastcgi.AppendStream(nil, fastcgi.Stdout, id, errorResponse(status, "", text))
	out = fastcgi.AppendStreamEnd(out, fastcgi.Stdout, id)
	out = fastcgi.AppendEndRequest(out, id, fastcgi.EndRequestBody{})
	c.write(out, controlWriteTimeout)
}
