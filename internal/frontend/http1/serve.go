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

// errTooMuchPipelined is the error of a request behind which so much is unread that its client may have disconnected.
var errTooMuchPipelined = frontend.NewRequestError(http.StatusServiceUnavailable, "too many requests at once, trying again is harmless")

// healthPath is the path of the health check.
const healthPath = "/_health"

// maxRejectDelay is the maximum time for which reading from a connection is suspended if its client retries too early,
// before the Retry-After of a rejection has elapsed. Without the delay such clients could retry as fast as they are
// rejected, and each rejection costs the gateway as much as the client.
const maxRejectDelay = time.Second

// serve processes the request whose header section has been read, and reports whether the connection may stay open; it
// is still closed if closeAfter is set. The time at which the response is due is computed from received.
func (s *Server) serve(c *clientConn, received time.Time) (keepAlive bool) {
	if c.lastRequest || s.endsAfterResponse() {
		c.closeAfter = true
	} else if !s.shuttingDown.Load() && s.conns.nearLimit() {
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
	if t.Route.Streams != nil { // true for all routes of the gateway
		return s.serveStreaming(c, t)
	}
	resp, waiting := s.admission.Engine.Do(c.ctx, &t.Request)
	if !waiting {
		return false
	}
	defer resp.Release()
	if s.endsAfterResponse() { // may have changed since the request was read
		c.closeAfter = true
	}
	return c.writeBuffered(t, &resp) == nil
}

// isHealthCheck reports whether a request target is the path of the health check, with or without a query.
func isHealthCheck(target string) bool {
	path, _, _ := strings.Cut(target, "?")
	return path == healthPath
}

// writeHealth writes the response to a health check.
func (s *Server) writeHealth(c *clientConn) error {
	status := http.StatusOK
	healthy, text := s.admission.Health()
	if !healthy {
		status = http.StatusServiceUnavailable
	}
	return c.writeResponse(status, plainTextHeader, int64(len(text)), []byte(text))
}

// admitAndReadBody admits the request whose header section has been read, and reads its body, or the buffered part of a
// streamed body. On success the caller must end the ticket.
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
		// The timeout starts at the last byte of the body, which may arrive long after the first. The last byte of a
		// streamed body has not arrived yet; SetBodyReceived follows.
		received = time.Now()
	}
	if !s.readAhead(c) {
		t.LogEvent(frontend.EventTooMuchPipelined)
		t.Discard()
		return nil, errTooMuchPipelined
	}
	if plain := t.Route.Plain; plain != nil && plain.MaxTunnels > 0 && c.body == nil {
		t.Upgrade = r.Upgrade
	}
	t.Client = c
	t.SetReceived(received)
	return t, nil
}

// clientAddress returns the address of the client, or the zero value if no route can use it.
func (s *Server) clientAddress(c *clientConn) frontend.ClientAddress {
	if !s.plainRoutes {
		return frontend.ClientAddress{}
	}
	return c.client
}

// readBody reads a complete body with a Content-Length, on a route without Streams. Other routes use startUpload.
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

// answerError writes the response to a request that is not forwarded because it is invalid or was rejected, and reports
// whether the connection may stay open, as serve does. It may after a RejectedError if the body can be discarded, as a
// new connection would cost more than the response.
func (s *Server) answerError(c *clientConn, err error) (keepAlive bool) {
	var rejected *frontend.RejectedError
	if !errors.As(err, &rejected) || !c.canDiscardBody() {
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

// canDiscardBody reports whether the unread body of a request is short enough that reading and discarding it costs less
// than a new connection. If so, finishBody discards it after the response.
func (c *clientConn) canDiscardBody() bool {
	b := c.body
	if b == nil {
		return true
	}
	hasLength := b.decoder == nil
	return b.err == nil && !b.expectContinue && hasLength && b.remaining <= frontend.MaxBufferedBytes
}

// delayNextRequest suspends reading from a connection for a random time between half of maxRejectDelay and all of it,
// or for retryAfter if that is shorter. The delay is random so that clients that were rejected together don't retry
// together. It ends earlier if the client disconnects, or when Shutdown closes the tunnels.
func (s *Server) delayNextRequest(c *clientConn, retryAfter time.Duration) {
	start := time.Now()
	timer := time.NewTimer(min(retryAfter, maxRejectDelay/2+rand.N(maxRejectDelay/2)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.ctx.Done():
	case <-s.endTunnelsAndDelays:
	}
	if c.in.buffered() > 0 || c.in.readAvailable() {
		c.unreadSince = start // the next request may have arrived right after start, so its timeout starts there
	}
}

// failAndClose writes an error response to a request that is not forwarded, and closes the connection: after an invalid
// request the start of the next one is unknown, and an unread body would be parsed as the next request.
func (s *Server) failAndClose(c *clientConn, err error) {
	status := frontend.StatusCode(err)
	retryAfter := ""
	if status == http.StatusServiceUnavailable {
		retryAfter = frontend.FormatRetryAfter(frontend.UnavailableRetryAfter, s.plainRoutes)
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

// forwardedHeader returns the headers of a host's response as they are forwarded to the client.
func forwardedHeader(t *frontend.Ticket, resp *engine.Response) http.Header {
	h := frontend.RemoveHopByHopHeaders(resp.Header)
	if t.Route.Plain != nil {
		t.Route.Plain.ResponseHeaders.Apply(h)
	}
	return h
}

// responseLength returns the Content-Length of a response whose body is buffered, or noLength. For a response to HEAD
// or with status 304 it is the Content-Length in the host's response, if any, which is that of the response to a GET
// (RFC 9110, 8.6).
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
