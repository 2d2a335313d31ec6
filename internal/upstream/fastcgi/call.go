package fastcgi

import (
	"context"
	"time"

	"dunemoor/internal/body"
	"dunemoor/internal/fastcgi"
)

const (
	// maxStdoutBytes is how many bytes of a response are kept in memory until they are forwarded.
	maxStdoutBytes = 64 << 10
	// maxStdoutExtension is how many bytes more are kept, while there is memory for them, on a connection that may carry
	// other requests.
	maxStdoutExtension = 1 << 20
	// abortWriteTimeout limits the time to write an ABORT_REQUEST record.
	abortWriteTimeout = time.Second
	// abortTimeout limits the time for a responder to end an aborted request on a connection that carries others.
	// After it the connection accepts no more requests.
	abortTimeout = 5 * time.Second
)

// call is a request on a connection. The table at conn lists the ways in which it ends.
type call struct {
	id     uint16
	stdout *body.Pipe
	end    fastcgi.EndRequestBody // body of END_REQUEST, if that has arrived; set before ended is closed
	ended  chan struct{}          // closed when END_REQUEST has arrived or the connection has ended

	abandoned bool // whether the response is no longer needed; guarded by conn.mu
	sent      bool // whether the responder may have received the whole request; guarded by conn.mu
}

// startCall opens a request on the connection, or returns nil if the connection has ended.
func (c *conn) startCall() *call {
	k := &call{id: c.client.OpenRequest(), stdout: c.newStdoutPipe(), ended: make(chan struct{})}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return nil
	}
	c.calls[k.id] = k
	c.congestion.requestStarted()
	return k
}

// newStdoutPipe returns the pipe for the response to a request. It is extended if the connection may carry other requests,
// which a client that reads slowly would delay.
func (c *conn) newStdoutPipe() *body.Pipe {
	t := c.host.transport
	t.mu.Lock()
	mayShare := c.capacity() > 1
	t.mu.Unlock()
	p := body.NewPipe(maxStdoutBytes)
	if mayShare {
		p.ExtendFrom(t.bodyBudget, body.ResponseBodies, maxStdoutExtension)
	}
	return p
}

// forgetCall releases a request of which nothing was written.
func (c *conn) forgetCall(k *call) {
	c.mu.Lock()
	delete(c.calls, k.id)
	c.mu.Unlock()
	c.client.ForgetRequest(k.id)
	k.stdout.CloseRead()
	c.Release()
}

// finishCall releases a request of which records may have been written. If the request has not ended it is abandoned,
// unless its response is complete.
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

// abandon cancels a request: with an ABORT_REQUEST record if the connection carries other requests, and otherwise by
// closing the connection.
func (c *conn) abandon(k *call) {
	c.mu.Lock()
	wasAbandoned := k.abandoned
	k.abandoned = true
	c.mu.Unlock()
	if !c.closeUnlessShared(k) && !wasAbandoned {
		go c.abort(k)
	}
}

// closeUnlessShared closes the connection if it carries no request other than k, and reports whether it did. No request
// is started on it from then on: one that is started between the check and the close would be cut off.
func (c *conn) closeUnlessShared(k *call) (closed bool) {
	c.mu.Lock()
	others := len(c.calls)
	if c.calls[k.id] == k {
		others--
	}
	if others == 0 && c.err == nil {
		c.err = errConnEnded
	}
	c.mu.Unlock()
	if others > 0 {
		return false
	}
	c.host.transport.mu.Lock()
	c.draining = true
	c.host.transport.mu.Unlock()
	if c.beforeClose != nil {
		c.beforeClose()
	}
	c.Conn.Close()
	return true
}

// abort sends an ABORT_REQUEST record and waits for the end of the request, for up to abortTimeout. If the responder
// does not end the request, its id stays in use, so that late records are not attributed to another request. abort runs
// in a goroutine of its own.
func (c *conn) abort(k *call) {
	ctx, cancel := context.WithTimeout(context.Background(), abortTimeout)
	defer cancel()
	c.write(ctx, fastcgi.AppendStreamEnd(nil, fastcgi.AbortRequest, k.id), abortWriteTimeout)
	select {
	case <-k.ended:
	case <-ctx.Done():
		c.drain()
	}
}

// setSent records that the responder may have received the whole request.
func (c *conn) setSent(k *call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k.sent = true
}

// wasSent reports whether the responder may have received the whole request. If it returns false, that proves that the
// responder has not received the last byte.
func (c *conn) wasSent(k *call) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return k.sent
}
