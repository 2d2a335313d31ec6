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

// upload reads the streamed body of a request. It implements body.Source.
type upload struct {
	c        *clientConn
	body     *bodyReader
	ticket   *frontend.Ticket
	meter    body.Meter
	deadline body.LazyDeadline
	maxBytes int64 // maximum length of the body; 0 means unlimited

	reading sync.Mutex   // held during Read
	bytes   int64        // number of bytes read so far; guarded by reading
	arrival *bodyArrival // of a streamed body; nil while the buffered part is read

	mu     sync.Mutex // guards closed, and is held while the connection's read deadline is set
	closed bool

	complete      atomic.Bool        // the last byte has arrived
	cancelRequest context.CancelFunc // cancels the context that requestContext returned; nil before
}

// startUpload reads the part of a request body that is buffered. The rest of the body, if any, is streamed.
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
	// On a plain route the host decides whether to send 100 Continue. Hosts that use the platform's protocol never send
	// it; for them, 100 Continue is sent when the body is first read.
	hostSendsContinue := c.request.ExpectContinue && t.Route.Plain != nil
	if hostSendsContinue {
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

// bufferWhole reads the complete body, of the given length, into memory.
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

// stream sets the body of the ticket to the buffered part followed by a stream of the rest.
func (u *upload) stream(buffered []byte, length int64) {
	u.c.upload = u
	u.c.streamsBody.Store(true)
	u.arrival = &bodyArrival{input: socketInput{u.c.raw}, length: length, bytesRead: int64(len(buffered)), unread: u.c.in.buffered()}
	u.arrival.start(time.Now())
	u.ticket.BoundArrival(u.arrival)
	u.ticket.Body = body.NewStreamed(buffered, body.NewStream(u, length))
}

// Read implements io.Reader. It returns an error if the body is slower or longer than the route allows.
func (u *upload) Read(p []byte) (int, error) {
	u.reading.Lock()
	defer u.reading.Unlock()
	start := time.Now()
	mayWait := u.body.decoder != nil || u.c.in.buffered() == 0
	if mayWait && !u.setDeadline(start) {
		return 0, body.ErrConsumed
	}
	if u.arrival != nil {
		u.arrival.beginRead(start)
	}
	n, err := u.body.Read(p)
	end := time.Now()
	if u.arrival != nil {
		u.arrival.endRead(end, n, u.c.in.buffered())
	}
	u.bytes += int64(n)
	paceErr := u.meter.Record(n, end.Sub(start))
	if err == nil {
		err = paceErr
	}
	if u.maxBytes > 0 && u.bytes > u.maxBytes {
		return 0, errBodyTooLong
	}
	if err == io.EOF && !u.setComplete() {
		return 0, body.ErrConsumed
	}
	if err == io.EOF {
		return n, err
	}
	if err != nil && u.isClosed() {
		err = body.ErrConsumed // Close has interrupted the read; the client is not at fault
	}
	return n, err
}

// setDeadline sets the deadline of the next read. It returns false if the upload has been closed.
func (u *upload) setDeadline(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.closed {
		return false
	}
	u.deadline.Reset(now, u.meter.Timeout())
	return true
}

// setComplete marks a streamed body as complete and starts the timeout of the request. It does nothing for a body that is
// buffered as a whole. If the client has closed its side of the connection in the meantime, the request is canceled: as
// the body is complete, this now counts as a disconnect. It returns false if the request has been rejected meanwhile.
func (u *upload) setComplete() bool {
	if u.ticket.Body.Buffered() {
		return true
	}
	if !u.ticket.SetBodyReceived(u.receivedAt()) {
		return false
	}
	u.complete.Store(true)
	if u.cancelRequest != nil && u.c.ctx.Err() != nil {
		u.cancelRequest()
	}
	return true
}

// receivedAt returns when the last byte, which has just been read, was received. On a plain route that is now. In the
// platform's protocol the time that it waited for a slow host counts.
func (u *upload) receivedAt() time.Time {
	if u.ticket.BodyArrival == nil {
		return time.Now()
	}
	return u.arrival.lastByteSent()
}

// isClosed reports whether Close has been called.
func (u *upload) isClosed() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.closed
}

// Trailer returns the fields of the trailer section that may be forwarded.
func (u *upload) Trailer() http.Header { return frontend.ForwardedTrailer(u.body.Trailer()) }

// Close implements body.Source. complete reports that Read has returned io.EOF; otherwise Close interrupts a Read in
// progress. It waits until Read has returned. After that only the connection's own goroutine uses the connection.
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

// requestContext returns the context of a request with a streamed body, and a function that releases it. If the client
// closes its side of the connection before the end of the body, but an attempt has already started to send the stream
// to a host, the context is not canceled, and the client receives the response to the incomplete body. If no attempt
// has started to read the stream, the context is canceled, so that nothing is sent to a host.
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

// requestError returns the error that is sent to the client if reading its body has failed with err.
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
