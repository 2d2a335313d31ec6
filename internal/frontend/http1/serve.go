package http1

import (
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"dunemoor/internal/body"
	"dunemoor/internal/engine"
	"dunemoor/internal/frontend"
	"dunemoor/internal/httpwire"
)

// healthPath is the path of the health check.
const healthPath = "/_health"

// maxRejectDelay is how long a connection is left unread at most whose client came back before its Retry-After. Otherwise
// clients could retry as fast as they are rejected, and each response costs the gateway as much as them.
const maxRejectDelay = time.Second

// serve answers the request whose header section has been read, and reports whether the connection stays open. The
// response is due by when the request was received.
func (s *Server) serve(c *clientConn, received time.Time) (keepAlive bool) {
	if c.servesLast || s.endsAfterResponse() {
		c.closeAfter = true
	} else if !s.shuttingDown.Load() && s.conns.crowded() {
		c.closeAfter = true
	}
	if c.request.Method == http.MethodGet && isHealthCheck(c.request.Target) {
		return s.writeHealth(c) == nil
	}
	t, err := s.admitAndReadBody(c, received)
	if err != nil {
		return s.answerError(c, err)
	}
	defer t.End()
	if t.Route.Streams != nil { // as on all routes of the gateway
		return s.serveStreaming(c, t)
	}
	resp, waiting := s.admission.Engine.Do(c.ctx, &t.Request)
	if !waiting {
		return false
	}
	defer resp.Release()
	if s.endsAfterResponse() { // since the request was read
		c.closeAfter = true
	}
	return c.writeBuffered(t, &resp) == nil
}

// isHealthCheck reports whether a request target is that of the health check.
func isHealthCheck(target string) bool {
	path, _, _ := strings.Cut(target, "?")
	return path == healthPath
}

// writeHealth answers a health check.
func (s *Server) writeHealth(c *clientConn) error {
	status := http.StatusOK
	healthy, text := s.admission.Health()
	if !healthy {
		status = http.StatusServiceUnavailable
	}
	return c.writeResponse(status, plainTextHeader, int64(len(text)), []byte(text))
}

// admitAndReadBody admits the request whose header section has been read, and reads its body, or the part of it that is buffered.
// Without an error the caller ends the ticket.
func (s *Server) admitAndReadBody(c *clientConn, received time.Time) (*frontend.Ticket, error) {
	r := &c.request
	t, err := s.admission.Admit(&frontend.Message{
		Method:     r.Method,
		Target:     r.Target,
		Host:       r.Host,
		HostHeader: r.HostHeader,
		Header:     r.Header,
		Length:     r.ContentLength,
		Client:     s.clientAddress(c),
		HTTP10:     r.HTTP10,
	}, received)
	if err != nil {
		return nil, err
	}
	if c.body != nil {
		if t.Route.Streams != nil {
			err = c.startUpload(t)
		} else {
			err = c.readBody(t)
		}
		if err != nil {
			t.Discard()
			return nil, err
		}
		// The timeout counts from the last byte, which may be long after the first; a streamed body's is yet to come.
		received = time.Now()
	}
	if plain := t.Route.Plain; plain != nil && plain.MaxTunnels > 0 && c.body == nil {
		t.Upgrade = r.Upgrade
	}
	t.Client = c
	t.SetReceived(received)
	return t, nil
}

// clientAddress returns where the request came from, if there may be routes that need it.
func (s *Server) clientAddress(c *clientConn) frontend.ClientAddress {
	if !s.plainRoutes {
		return frontend.ClientAddress{}
	}
	return c.client
}

// readBody reads a body with a length as a whole, on a route without Streams. Other routes have startUpload.
func (c *clientConn) readBody(t *frontend.Ticket) error {
	length := c.request.ContentLength
	if err := t.ReserveBody(length); err != nil {
		return err
	}
	content := make([]byte, length)
	if int64(c.in.buffered()) < length {
		c.SetReadDeadline(time.Now().Add(requestTimeout))
	}
	if n, err := io.ReadFull(c.body, content); int64(n) < length {
		return frontend.NewRequestError(http.StatusBadRequest, "the body did not arrive: %v", err)
	}
	t.Body = body.NewBuffered(content)
	return nil
}

// answerError answers a request that is not forwarded, because it is invalid or was rejected, and reports whether the
// connection stays open: it does after a RejectedError, as a new connection would cost more than this response.
func (s *Server) answerError(c *clientConn, err error) (keepAlive bool) {
	var rejected *frontend.RejectedError
	if !errors.As(err, &rejected) || !c.canSkipBody() {
		s.failAndClose(c, err)
		return false
	}
	retryAfter := frontend.FormatRetryAfter(rejected.RetryAfter, s.plainRoutes)
	if c.writeError(rejected.StatusCode(), rejected.Error(), retryAfter) != nil {
		return false
	}
	if rejected.TooEarly {
		s.delayNextRequest(c, rejected.RetryAfter)
	}
	return true
}

// canSkipBody reports whether the unread body of a request is so short that reading it costs less than a new connection.
func (c *clientConn) canSkipBody() bool {
	b := c.body
	if b == nil {
		return true
	}
	hasLength := b.decoder == nil
	return b.err == nil && !b.expectContinue && hasLength && b.remaining <= frontend.MaxBufferedBytes
}

// delayNextRequest leaves a connection unread for a time, at random from half of maxRejectDelay to all of it, so that
// clients that were rejected together don't come back together.
func (s *Server) delayNextRequest(c *clientConn, retryAfter time.Duration) {
	start := time.Now()
	timer := time.NewTimer(min(retryAfter, maxRejectDelay/2+rand.N(maxRejectDelay/2)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.ctx.Done():
	case <-s.endTunnels:
	}
	if c.in.buffered() > 0 || c.in.readAvailable() {
		c.delayedSince = start // it may have arrived as soon as that, and its timeout counts from then
	}
}

// failAndClose answers a request that is not forwarded, and closes the connection: after an invalid request nothing that
// follows can be trusted, and an unread body would be taken for the next request.
func (s *Server) failAndClose(c *clientConn, err error) {
	status := frontend.StatusCode(err)
	retryAfter := ""
	if status == http.StatusServiceUnavailable {
		retryAfter = frontend.FormatRetryAfter(frontend.FullRetryAfter, s.plainRoutes)
	}
	c.closeAfter = true
	if c.writeError(status, err.Error(), retryAfter) != nil {
		return
	}
	s.lingeringClose(c, lingerTimeout, maxLingerBytes)
}

// writeBuffered writes a response whose body is buffered.
func (c *clientConn) writeBuffered(t *frontend.Ticket, resp *engine.Response) error {
	switch resp.Kind {
	case engine.Served:
		length := responseLength(t.Method, resp)
		return c.writeResponse(resp.Status, forwardedHeader(t, resp), length, resp.Body.Bytes())
	case engine.Rejected:
		retryAfter := ""
		if resp.RetryAfter > 0 {
			retryAfter = frontend.FormatRetryAfter(resp.RetryAfter, t.Route.Plain != nil)
		}
		return c.writeError(http.StatusServiceUnavailable, frontend.RejectedText, retryAfter)
	default:
		return c.writeError(http.StatusBadGateway, frontend.FailedText, "")
	}
}

// forwardedHeader returns the headers of a host's response as the client gets them.
func forwardedHeader(t *frontend.Ticket, resp *engine.Response) http.Header {
	h := frontend.RemoveHopByHopHeaders(resp.Header)
	if t.Route.Plain != nil {
		t.Route.Plain.ResponseHeaders.Apply(h)
	}
	return h
}

// responseLength returns the Content-Length of a response whose body is buffered, or noLength. A response to HEAD, and
// one with status 304, has the length that it would have to GET, if the host says it (RFC 9110, 8.6).
func responseLength(method string, resp *engine.Response) int64 {
	length := resp.Body.Len()
	if length > 0 || !httpwire.ResponseHasNoBody(method, resp.Status) {
		return length
	}
	values := resp.Header["Content-Length"]
	if len(values) != 1 || resp.Status == http.StatusNoContent {
		return noLength
	}
	length, err := strconv.ParseInt(values[0], 10, 64)
	if err != nil || length < 0 {
		return noLength
	}
	return length
}
