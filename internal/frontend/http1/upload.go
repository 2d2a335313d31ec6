package http1

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"dunemoor/internal/body"
	"dunemoor/internal/frontend"
)

// errBodyTooLong is the error of a streamed body that is longer than its route allows.
var errBodyTooLong = errors.New("read request body: longer than the route allows")

// upload reads the streamed body of a request. It is the body.Source of its stream.
type upload struct {
	c        *clientConn
	body     *bodyReader
	ticket   *frontend.Ticket
	meter    body.Meter
	deadline body.LazyDeadline
	maxBytes int64 // 0: any length

	reading sync.Mutex // held during Read
	bytes   int64      // read so far; guarded by reading

	mu     sync.Mutex // guards closed, and the connection's read deadline with it
	closed bool

	complete      atomic.Bool        // the last byte has arrived
	cancelRequest context.CancelFunc // set by requestContext
}

// startUpload reads the part of the body of a request that is buffered. If there is more the rest is streamed.
func (c *clientConn) startUpload(t *frontend.Ticket) error {
	streams := t.Route.Streams
	u := &upload{
		c:        c,
		body:     c.body,
		ticket:   t,
		meter:    body.Meter{Pace: streams.Upload},
		deadline: body.LazyDeadline{SetDeadline: c.SetReadDeadline},
		maxBytes: streams.MaxBodyBytes,
	}
	length := c.request.ContentLength
	limit := t.MaxBuffered()
	// On a plain route the host decides whether to ask for the body. Hosts that speak the platform's protocol don't: for
	// them reading the body asks for it.
	hostAsks := c.request.ExpectContinue && t.Route.Plain != nil
	if hostAsks {
		u.stream(nil, length)
		return nil
	}
	if length > 0 && length <= limit {
		return u.bufferWhole(length)
	}
	buf, err := t.AllocBody(limit)
	if err != nil {
		return err
	}
	n, err := frontend.Fill(u, buf)
	switch {
	case err == io.EOF:
		t.Body = body.NewBuffered(buf[:n])
		return nil
	case err != nil:
		return u.requestError(err)
	}
	u.stream(buf[:n], length)
	return nil
}

// bufferWhole reads a body of a length as a whole.
func (u *upload) bufferWhole(length int64) error {
	buf, err := u.ticket.AllocBody(length)
	if err != nil {
		return err
	}
	if n, err := frontend.Fill(u, buf); int64(n) < length {
		return u.requestError(err)
	}
	u.ticket.Body = body.NewBuffered(buf)
	return nil
}

// stream makes the rest of the body a stream.
func (u *upload) stream(buffered []byte, length int64) {
	u.c.upload = u
	u.ticket.Body = body.NewStreamed(buffered, body.NewStream(u, length))
}

// Read is as in io.Reader, within the pace and the length that the route allows.
func (u *upload) Read(p []byte) (int, error) {
	u.reading.Lock()
	defer u.reading.Unlock()
	start := time.Now()
	mayWait := u.body.decoder != nil || u.c.in.buffered() == 0
	if mayWait && !u.setDeadline(start) {
		return 0, body.ErrConsumed
	}
	n, err := u.body.Read(p)
	u.bytes += int64(n)
	paceErr := u.meter.Record(n, time.Since(start))
	if err == nil {
		err = paceErr
	}
	if u.maxBytes > 0 && u.bytes > u.maxBytes {
		return 0, errBodyTooLong
	}
	if err == io.EOF {
		u.setComplete()
		return n, err
	}
	if err != nil && u.isClosed() {
		err = body.ErrConsumed // Close has ended the read: this is no fault of the client's
	}
	return n, err
}

// setDeadline sets the deadline of the next read, unless the upload is closed.
func (u *upload) setDeadline(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.closed {
		return false
	}
	u.deadline.Reset(now, u.meter.Timeout())
	return true
}

// setComplete notes that the last byte has arrived. If the body is streamed the timeout counts from now. If the client has
// closed its side of the connection meanwhile it has left, which was not certain before.
func (u *upload) setComplete() {
	if u.ticket.Body.Buffered() {
		return
	}
	u.ticket.SetBodyReceived(time.Now())
	u.complete.Store(true)
	if u.cancelRequest != nil && u.c.ctx.Err() != nil {
		u.cancelRequest()
	}
}

// isClosed reports whether Close has been called.
func (u *upload) isClosed() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.closed
}

// Trailer returns the fields of the trailer section that are forwarded.
func (u *upload) Trailer() http.Header { return frontend.ForwardedTrailer(u.body.Trailer()) }

// Close ends a Read in progress, and returns once there is none: the connection belongs to its goroutine again.
func (u *upload) Close(complete bool) {
	u.mu.Lock()
	u.closed = true
	if !complete {
		u.c.SetReadDeadline(deadlinePassed)
	}
	u.mu.Unlock()
	u.reading.Lock()
	defer u.reading.Unlock()
}

// requestContext returns the context of a request with a streamed body, and a function that releases it. A client that
// closes its side of the connection before the end of the body has not left if the body is on its way to a host: it gets
// the response to the incomplete body. If no host has any of the body, nothing is sent and the context is canceled.
func (u *upload) requestContext() (context.Context, func()) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(u.c.ctx))
	u.cancelRequest = cancel
	stream := u.ticket.Body.Stream()
	stop := context.AfterFunc(u.c.ctx, func() {
		if u.complete.Load() || !stream.Consumed() {
			cancel()
		}
	})
	return ctx, func() {
		stop()
		cancel()
	}
}

// requestError returns the error that the client gets if its body can't be read.
func (u *upload) requestError(err error) error {
	switch {
	case err == errBodyTooLong:
		return frontend.NewBodyTooLongError(u.maxBytes)
	case err == body.ErrTooSlow, errors.Is(err, os.ErrDeadlineExceeded):
		return frontend.ErrBodyTooSlow
	default:
		return frontend.NewRequestError(http.StatusBadRequest, "the body did not arrive, or can't be read")
	}
}
