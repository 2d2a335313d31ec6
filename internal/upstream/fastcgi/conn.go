package fastcgi

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"dunemoor/internal/body"
	"dunemoor/internal/fastcgi"
)

const (
	// maxRequestsPerConn limits the requests that a connection carries at once, as a response that its client reads
	// slowly delays the others.
	maxRequestsPerConn = 64
	// maxStallSingle is how long a client that does not read its response may block the reading of a connection that
	// carries no other request. With other requests it is as long as body.WaitBudget allows.
	maxStallSingle = time.Minute
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 16 << 10
)

var (
	// errConnEnded is the error of a response during which the connection ended.
	errConnEnded = errors.New("fastcgi: the responder has closed the connection")
	// errNotSendable is returned for a request that may no longer be sent.
	errNotSendable = errors.New("fastcgi: the request may no longer be sent")
)

// conn is a connection to a responder. A goroutine reads from it from its start to its end, including while it is idle, so
// that its end is detected at once.
//
// A request on it is a call. These methods end a call, or the use of a connection:
//
//	method           called when                                   written to the responder               effect on the connection
//	Release          a request has returned its capacity           nothing                                closed if it carries no other call and is not to be kept
//	forgetCall       nothing of the call was written               nothing                                as by Release
//	finishCall       the call has ended, or its response is no     as by abandon, unless the call has     as by abandon, and then as by Release
//	                 longer needed                                 ended or its response is complete
//	abandon          a call that has not ended is canceled         as by abort, if there are other calls  closed if it carries no other call
//	abort            by abandon, in a goroutine of its own         ABORT_REQUEST                          as by drain if the call does not end within abortTimeout
//	drain            the connection is stale, idle or out of sync  nothing                                accepts no further call, and is closed once it carries none
//	connectionEnded  readLoop has reached the end                  nothing                                closed, and all of its calls end
//
// A call returns its capacity once, in forgetCall or finishCall. If there is no call yet, as for a connection that was
// acquired and is not used, its holder calls Release.
type conn struct {
	net.Conn
	host       *host
	generation int // host.generation at the time of the dial
	client     *fastcgi.Client

	// The following are guarded by Transport.mu.

	inFlight  int  // number of requests that have reserved capacity
	reused    bool // set once a request has reserved capacity
	draining  bool // whether the connection accepts no more requests
	idleSince time.Time

	writeLock  chan struct{} // has an item while records are written
	writeErr   error         // first error of a write; guarded by writeLock
	congestion congestion

	mu    sync.Mutex
	calls map[uint16]*call // open requests; guarded by mu
	err   error            // why the connection has ended or is being closed; nil: it has not; guarded by mu

	beforeClose func() // called in tests before closeUnlessShared closes the connection
}

func newConn(h *host, netConn net.Conn, generation int) *conn {
	c := &conn{Conn: netConn, host: h, generation: generation, calls: map[uint16]*call{}, idleSince: time.Now()}
	c.writeLock = make(chan struct{}, 1)
	c.congestion.joined = make(chan struct{}, 1)
	c.client = fastcgi.NewClient(c)
	return c
}

// IdleSince returns when the last request ended. ok is false if a request is open or the connection is draining.
// Transport.mu is held.
func (c *conn) IdleSince() (at time.Time, ok bool) {
	return c.idleSince, c.inFlight == 0 && !c.draining
}

// capacity returns how many requests the connection may carry at once. FCGI_MAX_REQS, by the specification a limit over
// all connections of an application (fastcgi.Values), is applied to each connection. Transport.mu is held.
func (c *conn) capacity() int {
	values := c.host.values
	if !values.Multiplexes || c.generation != c.host.generation {
		return 1
	}
	if values.MaxRequests > 0 {
		return min(values.MaxRequests, maxRequestsPerConn)
	}
	return maxRequestsPerConn
}

// isCurrent reports whether the connection leads to the process that the endpoint list has for the host now, and that
// process accepts requests.
func (c *conn) isCurrent() bool {
	if !c.host.usable.Load() {
		return false
	}
	c.host.transport.mu.Lock()
	defer c.host.transport.mu.Unlock()
	return c.generation == c.host.generation
}

// drain makes the connection accept no more requests. It is closed once it carries none.
func (c *conn) drain() {
	t := c.host.transport
	t.mu.Lock()
	c.draining = true
	isIdle := c.inFlight == 0
	t.mu.Unlock()
	if isIdle {
		c.Conn.Close() // readLoop then ends and removes the connection
	}
}

func drainAll(conns []*conn) {
	for _, c := range conns {
		c.drain()
	}
}

// Release returns the capacity that a request has reserved. The connection is closed if it carries no other request and
// is not to be kept.
func (c *conn) Release() {
	t := c.host.transport
	t.mu.Lock()
	c.inFlight--
	c.idleSince = time.Now()
	keep := !c.draining && !t.closed && c.generation == c.host.generation && c.host.usable.Load()
	closeNow := c.inFlight == 0 && !keep
	t.mu.Unlock()
	if closeNow {
		c.Conn.Close()
	}
}

// readLoop decodes what the responder sends until the connection ends.
func (c *conn) readLoop() {
	b := make([]byte, readBufferBytes)
	for {
		n, err := c.Conn.Read(b)
		if n > 0 {
			c.congestion.hasWaited = false
			if feedErr := c.client.Feed(b[:n]); feedErr != nil {
				err = feedErr
			}
			c.congestion.readEnded(n < len(b))
		}
		if err != nil {
			c.connectionEnded(err)
			return
		}
	}
}

// connectionEnded removes the connection and ends its open requests.
func (c *conn) connectionEnded(err error) {
	if err == io.EOF && !c.client.AtRecordBoundary() {
		err = io.ErrUnexpectedEOF
	}
	c.Conn.Close()
	t := c.host.transport
	t.mu.Lock()
	c.draining = true
	t.conns.CountClosed()
	t.conns.Remove(c.host, c)
	t.mu.Unlock()
	c.mu.Lock()
	c.err = err
	calls := c.calls
	c.calls = nil
	c.mu.Unlock()
	for _, k := range calls {
		k.stdout.CloseWrite(errConnEnded)
		close(k.ended)
	}
}

// Stdout forwards a part of a response. If the client does not read it in time, the request is abandoned, as others must
// not be delayed.
func (c *conn) Stdout(id uint16, part []byte) {
	c.mu.Lock()
	k := c.calls[id]
	isShared := len(c.calls) > 1
	isNeeded := k != nil && !k.abandoned
	c.mu.Unlock()
	if !isNeeded {
		return
	}
	if rest := k.stdout.TryWrite(part); len(rest) > 0 && !c.awaitRoom(k, rest) {
		k.stdout.CloseWrite(body.ErrPipeFull)
		c.abandon(k)
		return
	}
	c.congestion.forwarded(len(part), isShared)
}

// Stderr ignores a responder's error output, as responders keep a log of their own.
func (c *conn) Stderr(uint16, []byte) {}

// EndRequest handles the end of a request.
func (c *conn) EndRequest(id uint16, end fastcgi.EndRequestBody) {
	c.mu.Lock()
	k := c.calls[id]
	delete(c.calls, id)
	c.mu.Unlock()
	if k == nil {
		return
	}
	k.end = end
	k.stdout.CloseWrite(io.EOF)
	close(k.ended)
}

// Values ignores a reply to GET_VALUES, which is not sent on this connection.
func (c *conn) Values(fastcgi.Values) {}

// UnsolicitedRecord drains the connection, as the responder is out of sync with the open requests.
func (c *conn) UnsolicitedRecord() { c.drain() }

// write writes complete records and returns how many bytes it has written. An error closes the connection, as the
// responder would take later records for the rest of an incomplete one. While the records wait for the writes of other
// requests, ctx is observed; if it ends the error is errNotSendable.
func (c *conn) write(ctx context.Context, records []byte, timeout time.Duration) (int, error) {
	return c.writeIf(ctx, func() bool { return true }, records, timeout)
}

// writeIf is write for the first records of a request. As they may have waited long for the writes of other requests,
// isSendable is called right before they are written. If it returns false the error is errNotSendable.
func (c *conn) writeIf(ctx context.Context, isSendable func() bool, records []byte, timeout time.Duration) (int, error) {
	select {
	case c.writeLock <- struct{}{}:
	case <-ctx.Done():
		return 0, errNotSendable
	}
	defer func() { <-c.writeLock }()
	if ctx.Err() != nil || !isSendable() {
		return 0, errNotSendable
	}
	if c.writeErr != nil {
		return 0, c.writeErr
	}
	c.congestion.startWrite()
	defer c.congestion.endWrite()
	c.SetWriteDeadline(time.Now().Add(timeout))
	n, err := c.Conn.Write(records)
	if err != nil {
		c.writeErr = err
		c.Conn.Close()
	}
	return n, err
}
