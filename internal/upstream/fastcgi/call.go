package fastcgi

import (
	"time"

	"dunemoor/internal/body"
	"dunemoor/internal/fastcgi"
)

const (
	// maxStdoutBytes is how much of a response is kept in memory until it is passed on.
	maxStdoutBytes = 64 << 10
	// abortWriteTimeout limits the time to write an ABORT_REQUEST.
	abortWriteTimeout = time.Second
	// abortTimeout limits the time for a responder to end a request that was aborted on a connection with others.
	// Then the connection accepts no more.
	abortTimeout = 5 * time.Second
)

// call is a request on a connection. The table at conn has the ways in which it ends.
type call struct {
	id     uint16
	stdout *body.Pipe
	end    fastcgi.EndRequestBody // set before ended is closed, if END_REQUEST has arrived
	ended  chan struct{}          // closed when END_REQUEST has arrived or the connection has ended

	abandoned bool // the response is not wanted any more; guarded by conn.mu
	sent      bool // the last byte of the request was written; guarded by conn.mu
}

// startCall opens a request on the connection. It returns nil if the connection has ended.
func (c *conn) startCall() *call {
	k := &call{id: c.client.OpenRequest(), stdout: body.NewPipe(maxStdoutBytes), ended: make(chan struct{})}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return nil
	}
	c.calls[k.id] = k
	return k
}

// forgetCall gives up a request of which nothing was written.
func (c *conn) forgetCall(k *call) {
	c.mu.Lock()
	delete(c.calls, k.id)
	c.mu.Unlock()
	c.client.ForgetRequest(k.id)
	k.stdout.CloseRead()
	c.Release()
}

// finishCall gives up a request, of which records may have been written. One that has not ended is abandoned, unless its
// response is complete.
func (c *conn) finishCall(k *call, complete bool) {
	select {
	case <-k.ended:
	default:
		if !complete {
			c.abandon(k)
		}
	}
	k.stdout.CloseRead()
	c.Release()
}

// abandon cancels a request: by an ABORT_REQUEST if the connection carries others, and else by closing it.
func (c *conn) abandon(k *call) {
	c.mu.Lock()
	wasAbandoned := k.abandoned
	k.abandoned = true
	isAlone := len(c.calls) <= 1
	c.mu.Unlock()
	switch {
	case isAlone:
		c.Conn.Close()
	case !wasAbandoned:
		go c.abort(k)
	}
}

// abort sends an ABORT_REQUEST and waits for the end of the request. If the responder does not end it, its id stays
// in use, so that late records are not attributed to another request. It runs in a goroutine of its own and ends
// with the request or after abortTimeout.
func (c *conn) abort(k *call) {
	c.write(fastcgi.AppendStreamEnd(nil, fastcgi.AbortRequest, k.id), abortWriteTimeout)
	select {
	case <-k.ended:
	case <-time.After(abortTimeout):
		c.drain()
	}
}

// setSent notes that the last byte of a request was written.
func (c *conn) setSent(k *call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k.sent = true
}

// wasSent reports whether the last byte of a request was written.
func (c *conn) wasSent(k *call) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return k.sent
}
