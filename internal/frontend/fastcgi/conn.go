package fastcgi

import (
	"context"
	"errors"
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
	// requestTimeout is the maximum time without input on a connection while the parameters or the body of a request
	// are incomplete. Web servers send a request once they have received all of it, or forward it as it arrives.
	requestTimeout = 2500 * time.Millisecond
	// idleTimeout is how long a connection without a request is kept open. Web servers keep a few such connections.
	idleTimeout = 5 * time.Minute
	// checkInterval is the interval at which incomplete requests and idle connections are checked for timeouts. During
	// Shutdown or a drain, a connection on which something was read more recently may still get a request.
	checkInterval = 250 * time.Millisecond

	// stallTimeout is the maximum time for a write to the web server.
	stallTimeout = time.Minute
	// controlWriteTimeout is the maximum time for writing a record that the connection itself generates.
	controlWriteTimeout = time.Second

	// readBufferSize is the size in bytes of the buffer for reading from a connection.
	readBufferSize = 16 << 10
)

// errPeerGone is the error of a request that the web server has aborted, or whose connection has been closed.
var errPeerGone = errors.New("fastcgi: web server has left")

// conn is a connection from a web server. It implements fastcgi.ServerHandler. It is closed by the goroutine that runs
// serve, except after a failed write and by Server.Close; closing.go has the rules.
type conn struct {
	server  *Server
	nc      net.Conn
	options *ListenOptions
	decoder *fastcgi.Server // decodes the records of the connection

	// The following fields are only used by the goroutine of serve.

	discardInput bool            // no further records can be decoded
	waits        body.WaitBudget // how long reading may be blocked by bodies that their hosts don't read
	blockedAt    time.Time       // when decoding the bytes of the last read was first blocked by a body; zero if it was not
	behindSince  time.Time       // bytes that are read next may have arrived since then; zero if all had been read before

	unread unreadInput // safe for concurrent use

	writeMu     sync.Mutex // serializes writes; guards writeFailed
	writeFailed bool

	mu          sync.Mutex // guards the fields below
	endingDone  *sync.Cond // signaled when ending decreases
	requests    map[uint16]*request
	ending      int    // number of requests that are no longer in requests, but whose last records are not written yet
	closing     bool   // the connection is closed once it carries no request
	evicted     bool   // the connection is closed to free its descriptor, without lingering
	interrupted bool   // interruptRead has been called since the last check of mayClose
	withheldEnd []byte // END_REQUEST of a truncated response that the end of the connection replaces; nil if there is none
	lastRead    time.Time

	beforeLastWrite func(id uint16) // called in tests after a request was removed, before its last records are written
}

// newConn returns a conn for an accepted connection.
func newConn(s *Server, nc net.Conn, o *ListenOptions) *conn {
	c := &conn{server: s, nc: nc, options: o, requests: map[uint16]*request{}, lastRead: time.Now()}
	c.endingDone = sync.NewCond(&c.mu)
	c.decoder = fastcgi.NewServer(c, s.maxConns)
	return c
}

// serve reads from the connection until it is closed. If the web server has closed it, requests that are still open are
// canceled.
func (c *conn) serve() {
	defer c.server.remove(c)
	buf := make([]byte, readBufferSize)
	for {
		c.unread.beginRead(time.Now())
		n, err := c.read(buf)
		c.unread.endRead(time.Now())
		if n > 0 {
			c.receive(buf[:n])
			c.updateBehindSince(n < len(buf))
		}
		if err != nil && !isTimeout(err) {
			c.closeAndCancel()
			return
		}
		c.endOverdueRequests()
		if (n == 0 || c.discardInput) && c.mayClose() {
			c.lingeringClose()
			return
		}
	}
}

// receive decodes bytes that were read from the connection.
func (c *conn) receive(b []byte) {
	c.setLastRead(time.Now())
	if c.discardInput {
		return
	}
	if err := c.decoder.Feed(b); err != nil {
		c.failIncompleteRequests(err)
	}
}

// isTimeout reports whether an error was caused by an exceeded deadline.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// setLastRead sets the time at which bytes were last read from the connection.
func (c *conn) setLastRead(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastRead = at
}

// sinceLastRead returns the time since bytes were last read from the connection.
func (c *conn) sinceLastRead() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.lastRead)
}

// endOverdueRequests ends requests that are incomplete and have timed out.
func (c *conn) endOverdueRequests() {
	if c.sinceLastRead() < requestTimeout {
		return
	}
	c.decoder.ForEachIncomplete(c.timeOut)
}

// timeOut ends an incomplete request after a timeout. paramsComplete reports whether all of its parameters have
// arrived.
func (c *conn) timeOut(id uint16, paramsComplete bool) {
	if r := c.find(id); r != nil {
		r.stdin.CloseWrite(frontend.ErrBodyTooSlow)
	} else if !paramsComplete {
		c.decoder.RequestEnded(id)
		c.writeError(id, http.StatusRequestTimeout, "the parameters come too slowly")
	}
}

// closeAndCancel closes a connection that the web server has closed, or that has failed, and cancels its requests.
func (c *conn) closeAndCancel() {
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

// failIncompleteRequests is called if no further records can be decoded because of a protocol error. Incomplete requests
// are answered with the error. The connection is closed once the complete ones have been answered; until then its input
// is discarded, in order to detect its end.
func (c *conn) failIncompleteRequests(err error) {
	c.discardInput = true
	c.closeWhenIdle()
	c.decoder.ForEachIncomplete(func(id uint16, _ bool) {
		if r := c.find(id); r != nil {
			r.stdin.CloseWrite(frontend.NewRequestError(http.StatusBadRequest, "%v", err))
		} else {
			c.decoder.RequestEnded(id)
			c.writeError(id, http.StatusBadRequest, err.Error())
		}
	})
}

// peerHasClosed reports whether the kernel has received the web server's close of the connection, even if there are
// still unread bytes.
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
	return err != nil || events > 0 // an error means that the gateway has closed the connection
}

// pollPeerClosed returns the result of poll(2) for the event that the peer has closed the connection: positive if it
// has.
func pollPeerClosed(fd uintptr) int {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	for {
		n, err := unix.Poll(fds, 0)
		if err != unix.EINTR {
			return n
		}
	}
}

// find returns the open request with an id, or nil if there is none.
func (c *conn) find(id uint16) *request {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests[id]
}

// clientAddress returns the address of the client: the parameter REMOTE_ADDR if the web server is trusted and the value
// is valid, and the address of the web server otherwise. A web server on a Unix domain socket has the loopback address.
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

// Request implements fastcgi.ServerHandler. It starts a request whose parameters are complete. If err is not nil, the
// parameters are too long, and the request is answered with an error.
func (c *conn) Request(id uint16, params []byte, keepConn bool, err error) {
	c.awaitLastWrites()
	r := &request{c: c, id: id, stdin: c.newStdinPipe(keepConn), keepConn: keepConn}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	m, remoteAddr, paramsErr := readMessage(params, c.server.admission.HeaderLimit())
	if err != nil {
		paramsErr = frontend.NewRequestError(http.StatusRequestHeaderFieldsTooLarge, "the parameters are longer than %d bytes", fastcgi.MaxParamsBytes)
	}
	c.mu.Lock()
	c.requests[id] = r
	withheld := c.withheldEnd
	c.withheldEnd = nil
	c.mu.Unlock()
	if withheld != nil {
		c.write(withheld, controlWriteTimeout) // the connection does not end yet
	}
	go r.serve(m, remoteAddr, paramsErr, c.arrivalTime())
}

// Abort implements fastcgi.ServerHandler. It cancels a request whose client has disconnected.
func (c *conn) Abort(id uint16) {
	if r := c.find(id); r != nil {
		r.aborted.Store(true)
		r.cancel()
		r.stdin.CloseWrite(errPeerGone)
	}
}

// Reply implements fastcgi.ServerHandler. It writes a record that the connection itself generates.
func (c *conn) Reply(record []byte) { c.write(record, controlWriteTimeout) }

// write writes complete records. After an error the connection is closed.
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

// writeError writes an error response, with a line of text, to a request that has not been started.
func (c *conn) writeError(id uint16, status int, text string) {
	out := fastcgi.AppendStream(nil, fastcgi.Stdout, id, errorResponse(status, "", text))
	out = fastcgi.AppendStreamEnd(out, fastcgi.Stdout, id)
	out = fastcgi.AppendEndRequest(out, id, fastcgi.EndRequestBody{})
	c.write(out, controlWriteTimeout)
}
