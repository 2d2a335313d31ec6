package fastcgi

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"dunemoor/internal/body"
	"dunemoor/internal/engine"
	"dunemoor/internal/frontend"
)

// request is a request on a connection. It exists from the end of its parameters until its END_REQUEST.
type request struct {
	c     *conn
	id    uint16
	stdin *body.Pipe // the body, written as it arrives

	bodyArrived time.Time // when the last byte of the body arrived; set before stdin ends with io.EOF

	keepConn bool // the flag FCGI_KEEP_CONN is set: the connection stays open after the request

	ctx          context.Context // canceled when the client disconnects, or by the gateway
	cancel       context.CancelFunc
	aborted      atomic.Bool           // the web server has aborted the request
	cancelReason atomic.Pointer[error] // why the gateway has canceled the request; nil if it has not

	truncated bool // the response could not be written completely; only used by the goroutine of serve
}

// serve processes a request that was received at the given time. If paramsErr is not nil, the parameters are invalid
// and the request is answered with that error.
func (r *request) serve(m frontend.Message, remoteAddr string, paramsErr error, received time.Time) {
	defer r.stdin.CloseRead()
	defer r.cancel()
	if paramsErr != nil {
		r.fail(paramsErr)
		return
	}
	proto := m.Client.Proto
	m.Client = r.c.clientAddress(remoteAddr)
	if m.Client.Trusted {
		m.Client.Proto = proto
	}
	t, err := r.c.server.admission.Admit(&m, received)
	if err != nil {
		r.fail(err)
		return
	}
	if err := r.readBody(t, m.Length); err != nil {
		t.Discard()
		r.fail(err)
		return
	}
	defer t.End()
	t.Client = r
	resp, waiting := r.c.server.admission.Engine.Do(r.ctx, &t.Request)
	defer resp.Release()
	if !waiting {
		r.finishCanceled()
		return
	}
	r.respond(t, &resp)
}

// finishCanceled ends a request that was canceled. If it was canceled by the gateway, the reason is sent to the client.
func (r *request) finishCanceled() {
	if reason := r.cancelReason.Load(); reason != nil {
		r.fail(*reason)
		return
	}
	r.finish(nil)
}

// Gone reports whether the client has disconnected, which means that the web server has aborted the request or closed
// the connection. A close is detected even while reading the connection is blocked by a body that its host does not
// read.
func (r *request) Gone() bool {
	if r.c.peerHasClosed() {
		r.cancel()
	}
	return r.ctx.Err() != nil
}

// readBody reads the part of the body that is buffered. On a route with Streams the rest, if any, is streamed. On other
// routes a longer body is an error.
func (r *request) readBody(t *frontend.Ticket, length int64) error {
	source := newStdinSource(r, t, length)
	limit := int64(frontend.MaxBufferedBytes)
	if t.Route.Streams != nil {
		limit = t.MaxBuffered()
	}
	if length >= 0 {
		limit = min(limit, length)
	}
	buf, err := t.AllocBody(limit)
	if err != nil {
		return err
	}
	n, err := frontend.Fill(source, buf)
	if err == nil && int64(n) == length {
		// Read the end of the body, or an extra byte, which is an error.
		_, err = source.Read(make([]byte, 1))
	}
	received := time.Now()
	switch {
	case err == io.EOF:
		t.Body = body.NewBuffered(buf[:n])
		received = r.bodyArrived
	case err != nil:
		return err
	case t.Route.Streams == nil:
		return frontend.NewBodyTooLongError(frontend.MaxBufferedBytes)
	default:
		t.Body = body.NewStreamed(buf[:n], body.NewStream(source, length))
		t.BoundArrival(&r.c.unread)
	}
	t.SetReceived(received)
	return nil
}

// stdinSource reads the body of a request and enforces the pace and the length that its route allows. It implements
// body.Source.
type stdinSource struct {
	request  *request
	ticket   *frontend.Ticket
	meter    body.Meter
	length   int64 // length of the body from CONTENT_LENGTH; -1 if unknown
	maxBytes int64 // maximum length of the body; 0 means unlimited
	bytes    int64 // number of bytes read so far
}

// newStdinSource returns a source for the body of a request. length is that of the body, -1 if it is unknown.
func newStdinSource(r *request, t *frontend.Ticket, length int64) *stdinSource {
	s := &stdinSource{request: r, ticket: t, length: length}
	if streams := t.Route.Streams; streams != nil {
		s.meter.Pace = streams.Upload
		s.maxBytes = streams.MaxBodyBytes
	} else {
		s.meter.Pace = body.Pace{IdleTimeout: requestTimeout}
	}
	return s
}

// Read implements io.Reader.
func (s *stdinSource) Read(p []byte) (int, error) {
	start := time.Now()
	n, err := s.request.stdin.Read(p, s.meter.Timeout())
	s.bytes += int64(n)
	paceErr := s.meter.Record(n, time.Since(start))
	ended := err == io.EOF
	tooShort := ended && s.bytes < s.length
	tooLong := s.length >= 0 && s.bytes > s.length
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded), err == nil && paceErr != nil:
		return n, frontend.ErrBodyTooSlow
	case s.maxBytes > 0 && s.bytes > s.maxBytes:
		return 0, frontend.NewBodyTooLongError(s.maxBytes)
	case tooLong || tooShort:
		return 0, frontend.NewRequestError(http.StatusBadRequest, "STDIN is not as long as CONTENT_LENGTH says")
	}
	if s.ticket.Body.Buffered() {
		return n, err
	}
	// A responder, or a host that knows the length, may not wait for the end of STDIN.
	if s.bytes == s.length && !s.ticket.ContentRead() {
		return 0, body.ErrConsumed
	}
	if ended && !s.ticket.SetBodyReceived(s.request.bodyArrived) {
		return 0, body.ErrConsumed
	}
	return n, err
}

// Trailer returns nil, as FastCGI has no trailer sections.
func (s *stdinSource) Trailer() http.Header { return nil }

// Close interrupts a Read in progress. The rest of the body is discarded as it arrives.
func (s *stdinSource) Close(bool) { s.request.stdin.CloseRead() }

// respond writes the response that the engine has returned.
func (r *request) respond(t *frontend.Ticket, resp *engine.Response) {
	switch resp.Kind {
	case engine.Served:
		r.forward(t, resp)
	case engine.Rejected:
		if stream := t.Body.Stream(); stream != nil && stream.Err() != io.EOF {
			t.LogEvent(frontend.EventUploadOverdue, "bytes", stream.BytesRead())
		}
		retryAfter := ""
		if resp.RetryAfter > 0 {
			retryAfter = frontend.FormatRetryAfter(resp.RetryAfter, t.Route.Plain != nil)
		}
		r.finish(errorResponse(http.StatusServiceUnavailable, retryAfter, frontend.RejectedText))
	default:
		if err := uploadError(t); err != nil {
			r.fail(err)
			return
		}
		r.finish(errorResponse(http.StatusBadGateway, "", frontend.FailedText))
	}
}

// uploadError returns the error with which the streamed body of a request has ended, nil if there is none.
func uploadError(t *frontend.Ticket) error {
	stream := t.Body.Stream()
	if stream == nil {
		return nil
	}
	err := stream.Err()
	if err == io.EOF || err == body.ErrConsumed {
		return nil
	}
	return err
}
