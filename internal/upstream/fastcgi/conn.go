package fastcgi

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"dunemoor/internal/body"
	"dunemoor/internal/fastcgi"
)

const (
	// maxRequestsPerConn is how many requests a connection carries at most, as one that is read slowly delays the
	// others.
	maxRequestsPerConn = 64
	// maxStall is how long a client that does not read its response may delay the other requests on a connection,
	// and maxStallAlone how long it is waited for where there are none.
	maxStall      = time.Second
	maxStallAlone = time.Minute
	// readBufferBytes is the length of a connection's read buffer.
	readBufferBytes = 16 << 10
)

var (
	// errConnEnded reports a connection that ended within a response.
	errConnEnded = errors.New("fastcgi: the responder has closed the connection")
	// errNotSendable reports a request that may not be sent any more.
	errNotSendable = errors.New("fastcgi: the request may not be sent any more")
)

// conn is a connection to a responder. A goroutine reads it from its start to its end, also while it is idle, so
// that its end is seen at once.
//
// A request on it is a call. These methods end a call, or the use of a connection:
//
//	method           called when                                     written to the responder             the connection
//	Release          a request has given up its capacity             nothing                              is closed if it carries no other call and is not to be kept
//	forgetCall       nothing of the call was written                 nothing                              as by Release
//	finishCall       the call has ended, or its response is not      as by abandon, unless it has ended   as by abandon, and then as by Release
//	                 wanted any more                                 or its response is complete
//	abandon          a call that has not ended is canceled           as by abort, if it carries others    is closed if it carries no other call
//	abort            by abandon, in a goroutine of its own           ABORT_REQUEST                        as by drain if the call does not end within abortTimeout
//	drain            it is stale, idle or out of step                nothing                              carries no further call, and is closed once it carries none
//	connectionEnded  readLoop has met its end                        nothing                              is closed, and all of its calls end
//
// A call gives up its capacity once: by forgetCall or by finishCall. If there was no call yet, as for a connection that is
// acquired and not used, its holder calls Release.
type conn struct {
	net.Conn
	host       *host
	generation int // of the host, when it was dialed
	client     *fastcgi.Client

	// The following are guarded by Transport.mu.

	inFlight  int  // requests that have reserved capacity
	reused    bool // it has carried a request
	draining  bool // it accepts no more requests
	idleSince time.Time

	writeMu  sync.Mutex // held while records are written
	writeErr error      // the first error of a write; guarded by writeMu

	mu    sync.Mutex
	calls map[uint16]*call // open requests; guarded by mu
	err   error            // why the connection has ended; guarded by mu
}

func newConn(h *host, netConn net.Conn, generation int) *conn {
	c := &conn{Conn: netConn, host: h, generation: generation, calls: map[uint16]*call{}, idleSince: time.Now()}
	c.client = fastcgi.NewClient(c)
	return c
}

// IdleSince returns when the last request ended. ok is false if one is open or the connection is draining.
// Transport.mu is held.
func (c *conn) IdleSince() (at time.Time, ok bool) {
	return c.idleSince, c.inFlight == 0 && !c.draining
}

// capacity returns how many requests the connection may carry at once. FCGI_MAX_REQS, which an application means for all
// of its connections together (fastcgi.Values), is taken as a limit for each. Transport.mu is held.
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

// isCurrent reports whether the connection leads to the process that the endpoint list names now, and that process
// accepts requests.
func (c *conn) isCurrent() bool {
	if !c.host.usable.Load() {
		return false
	}
	c.host.transport.mu.Lock()
	defer c.host.transport.mu.Unlock()
	return c.generation == c.host.generation
}

// drain has the connection accept no more requests, and closes it once it carries none.
func (c *conn) drain() {
	t := c.host.transport
	t.mu.Lock()
	c.draining = true
	isIdle := c.inFlight == 0
	t.mu.Unlock()
	if isIdle {
		c.Conn.Close() // readLoop sees that and removes it
	}
}

func drainAll(conns []*conn) {
	for _, c := range conns {
		c.drain()
	}
}

// Release returns the capacity that a request has reserved. The connection is closed if it carries no other and is
// not to be kept.
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
			if feedErr := c.client.Feed(b[:n]); feedErr != nil {
				err = feedErr
			}
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

// Stdout passes on a part of a response. If it is not read, the connection waits for a moment, longer if it carries
// no other requests, and then abandons the request, as the others must not be delayed.
func (c *conn) Stdout(id uint16, part []byte) {
	c.mu.Lock()
	k := c.calls[id]
	wait := maxStallAlone
	if len(c.calls) > 1 {
		wait = maxStall
	}
	isWanted := k != nil && !k.abandoned
	c.mu.Unlock()
	if !isWanted {
		return
	}
	if k.stdout.Write(part, wait) == body.ErrPipeFull {
		k.stdout.CloseWrite(body.ErrPipeFull)
		c.abandon(k)
	}
}

// Stderr ignores a responder's error output, for which it has a log of its own.
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

// UnsolicitedRecord has the connection carry no more requests, as its responder has lost track of them.
func (c *conn) UnsolicitedRecord() { c.drain() }

// write writes complete records and returns how many bytes it has written. An error closes the connection, as the
// responder would take what follows for the rest of a record.
func (c *conn) write(records []byte, timeout time.Duration) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	return c.writeLocked(records, timeout)
}

// writeIf is write for the first records of a request, which may have waited long for the records of others:
// isSendable is called when it is their turn. If it returns false the error is errNotSendable.
func (c *conn) writeIf(isSendable func() bool, records []byte, timeout time.Duration) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if !isSendable() {
		return 0, errNotSendable
	}
	return c.writeLocked(records, timeout)
}

// writeLocked is write with writeMu held.
func (c *conn) writeLocked(records []byte, timeout time.Duration) (int, error) {
	if c.writeErr != nil {
		return 0, c.writeErr
	}
	c.SetWriteDeadline(time.Now().Add(timeout))
	n, err := c.Conn.Write(records)
	if err != nil {
		c.writeErr = err
		c.Conn.Close()
	}
	return n, err
}
