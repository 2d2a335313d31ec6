package fastcgi

import (
	"io"
	"net/http"
	"time"

	"dunemoor/internal/body"
	"dunemoor/internal/frontend"
)

const (
	// soleStallTimeout is the maximum time for which reading a connection may be blocked by a body that its host does not
	// read, if the connection carries nothing else and is closed after the request. On any other connection the web
	// server may send a request at any time, which can't be seen while reading is blocked; body.WaitBudget bounds it.
	soleStallTimeout = time.Minute
	// maxPipedBody is the maximum number of bytes of a body that are buffered until its host reads them, without memory of
	// the budget. It is short, as web servers may send thousands of requests at once.
	maxPipedBody = 4 << 10
	// maxPipeExtension is the number of bytes beyond maxPipedBody that are buffered while there is memory for them, so that
	// reading is not blocked by a host that pauses for a short time, and maxSoleExtension the same on a connection that is
	// closed after the request.
	maxPipeExtension = 1 << 20
	maxSoleExtension = 64 << 10
)

// newStdinPipe returns the pipe for the body of a request.
func (c *conn) newStdinPipe(keepConn bool) *body.Pipe {
	p := body.NewPipe(maxPipedBody)
	extension := maxSoleExtension
	if keepConn {
		extension = maxPipeExtension
	}
	p.ExtendFrom(c.server.admission.Bodies, body.RequestBodies, extension)
	return p
}

// Body implements fastcgi.ServerHandler. It writes a part of a request's body, or its end, to the request's pipe. A
// request whose host takes its body too slowly is given up, as reading is blocked by it for all others.
func (c *conn) Body(id uint16, part []byte, end bool) {
	r := c.find(id)
	if r == nil {
		return
	}
	if end {
		r.bodyArrived = c.bodyArrivalTime()
		r.stdin.CloseWrite(io.EOF)
		return
	}
	if rest := r.stdin.TryWrite(part); len(rest) > 0 && !c.awaitRoom(r, rest) {
		r.giveUp(frontend.NewRequestError(http.StatusBadGateway, "its host takes the body too slowly, it may have been done"))
		return
	}
	if c.carriesOthers() {
		c.waits.Earn(len(part))
	} else {
		c.waits.Reset()
	}
}

// awaitRoom writes the rest of a part to the pipe of a request, and waits for room no longer than is allowed. It reports
// whether all of it was written.
func (c *conn) awaitRoom(r *request, rest []byte) bool {
	start := time.Now()
	if c.blockedAt.IsZero() {
		c.blockedAt = start
	}
	c.unread.blocked(start)
	timeout := c.waits.Left()
	isSole := !r.keepConn && !c.carriesOthers()
	if isSole {
		timeout = soleStallTimeout
	}
	err := r.stdin.Write(rest, timeout)
	c.waits.Spend(time.Since(start))
	return err == nil
}

// carriesOthers reports whether the connection carries another request than the one whose body is being read, even an
// incomplete one.
func (c *conn) carriesOthers() bool {
	if c.decoder.NumOpen() > 1 {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ending > 0
}

// giveUp cancels a request and answers it with an error.
func (r *request) giveUp(err error) {
	r.cancelReason.Store(&err)
	r.cancel()
	r.stdin.CloseWrite(err)
}

// bodyArrivalTime is arrivalTime for the end of a body. It may have waited together with the part that has blocked reading.
func (c *conn) bodyArrivalTime() time.Time {
	if since, ok := c.unread.oldest(); ok {
		return since
	}
	return c.arrivalTime()
}

// arrivalTime returns the time from which the timeout of a request is computed whose last byte has just been read: the
// time at which reading was blocked first since the connection was last read as a whole, or else the time of the read.
func (c *conn) arrivalTime() time.Time {
	if !c.behindSince.IsZero() {
		return c.behindSince
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastRead
}

// updateBehindSince is called after bytes were decoded. isAll reports whether they were all that had arrived. What has
// arrived meanwhile may have done so since reading was first blocked. The web server is not to blame for that time, so the
// timeouts of incomplete requests start anew.
func (c *conn) updateBehindSince(isAll bool) {
	if !c.blockedAt.IsZero() {
		c.setLastRead(time.Now())
	}
	if isAll || c.behindSince.IsZero() {
		c.behindSince = c.blockedAt
	}
	c.blockedAt = time.Time{}
	if c.behindSince.IsZero() {
		c.waits.Reset()
	}
}
