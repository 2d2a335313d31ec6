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

// request is a request on a connection, from the end of its parameters to its END_REQUEST.
type request struct {
	c        *conn
	id       uint16
	stdin    *body.Pipe // the body as it arrives
	keepConn bool       // the connection stays open after the request

	ctx          context.Context // canceled when the client leaves, or by the gateway
	cancel       context.CancelFunc
	aborted      atomic.Bool           // the web server has aborted it
	cancelReason atomic.Pointer[error] // why the gateway has canceled it; nil: it has not

	truncated bool // the response could not be written to its end; for the goroutine of serve only
}

// serve answers a request that was received at a time. Its error, if not nil, is that of its parameters.
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

// finishCanceled ends a request that was canceled. If the gateway did that the client gets the reason.
func (r *request) finishCanceled() {
	if reason := r.cancelReason.Load(); reason != nil {
		r.fail(*reason)
		return
	}
	r.finish(nil)
}

// Gone reports whether the client has left: the web server has aborted the request or closed the connection. The latter is
// noticed also while the connection is not read, as a body waits for its host.
func (r *request) Gone() bool {
	if r.c.peerHasClosed() {
		r.cancel()
	}
	return r.ctx.Err() != nil
}

// readBody reads the part of the body that is buffered. If there is more, and the route streams, the rest is streamed.
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
		// The end follows, or a byte too many.
		_, err = source.Read(make([]byte, 1))
	}
	switch {
	case err == io.EOF:
		t.Body = body.NewBuffered(buf[:n])
	case err != nil:
		return err
	case t.Route.Streams == nil:
		return frontend.NewBodyTooLongError(frontend.MaxBufferedBytes)
	default:
		t.Body = body.NewStreamed(buf[:n], body.NewStream(source, length))
	}
	t.SetReceived(time.Now())
	return nil
}

// stdinSource reads the body of a request, within the pace and the length that its route allows. It is the body.Source of
// a streamed body.
type stdinSource struct {
	request  *request
	ticket   *frontend.Ticket
	meter    body.Meter
	length   int64 // by CONTENT_LENGTH; -1: unknown
	maxBytes int64 // 0: any length
	bytes    int64 // read so far
}

// newStdinSource returns a source for the body of a request of a length, -1 if it is unknown.
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

// Read is as in io.Reader.
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
	if ended && !s.ticket.Body.Buffered() {
		s.ticket.SetBodyReceived(time.Now())
	}
	return n, err
}

// Trailer returns nil: FastCGI has no trailer sections.
func (s *stdinSource) Trailer() http.Header { return nil }

// Close ends a Read in progress. What still arrives is discarded.
func (s *stdinSource) Close(bool) { s.request.stdin.CloseRead() }

// respond writes the response of the engine.
func (r *request) respond(t *frontend.Ticket, resp *engine.Response) {
	switch resp.Kind {
	case engine.Served:
		r.forward(t, resp)
	case engine.Rejected:
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

// uploadError returns the error that the streamed body of a request has ended with, nil if there is none.
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
