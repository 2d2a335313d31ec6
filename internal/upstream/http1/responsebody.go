package http1

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"dunemoor/internal/body"
	"dunemoor/internal/engine"
	"dunemoor/internal/httpwire"
	"dunemoor/internal/upstream"
)

// The table shows how much of a response body is buffered before any of it is forwarded, and how long that may take. If
// the buffered part of a response is malformed or incomplete, the attempt fails and the request can have another attempt.
//
//	route      framing                               buffered                  time limit
//	platform   Content-Length up to maxSmallBytes    all                       upstream.MaxStall for each read
//	plain      Content-Length up to maxSmallBytes    all                       the idle timeout of the route's Pace
//	platform   Content-Length above maxSmallBytes    maxLargeBuffered at most  upstream.MaxBufferTime
//	platform   chunked, or ended by the connection   maxSmallBytes at most     upstream.MaxBufferTime
//	plain      any other                             nothing
//
// While the memory for large responses is used up, a body with a Content-Length above maxSmallBytes is not buffered at all.
const (
	// maxSmallBytes is the length of the longest body that is always buffered. The memory for longer ones is reserved
	// in Transport.largeBytes.
	maxSmallBytes = 64 << 10
	// maxPlatformBytes is the greatest Content-Length that is accepted in the platform's protocol, twice what hosts
	// send. A response with a greater one is treated as malformed.
	maxPlatformBytes = 64 << 20
	// maxLargeBuffered limits, with upstream.MaxBufferTime, how much of a response in the platform's protocol that is
	// longer than maxSmallBytes is buffered before any of it is forwarded. Most malformed responses are detected by
	// then, and the request can have another attempt.
	maxLargeBuffered = 512 << 10
)

// readBody determines how the body of a response is delimited (RFC 9112, 6.3), reads the part that is buffered and sets the
// body of the response. A body that is framed in two ways is malformed, as the next recipient could interpret it
// differently.
func (c *conn) readBody(x *engine.Request, up *upload, response *engine.Response) error {
	c.headerLimit.N = unlimitedBytes
	if httpwire.ResponseHasNoBody(x.Method, response.Status) {
		return nil
	}
	s := newResponseStream(c, x, up, response.Header)
	isPlatform := !upstream.IsPlain(x)
	lengths := response.Header["Content-Length"]
	codings := response.Header["Transfer-Encoding"]
	switch {
	case len(lengths)+len(codings) > 1:
		return errMalformedResponse
	case len(lengths) == 1:
		return s.startWithLength(response, lengths[0], isPlatform)
	case len(codings) == 1:
		if !strings.EqualFold(strings.TrimSpace(codings[0]), "chunked") {
			return errMalformedResponse
		}
		s.decoder = &httpwire.ChunkedDecoder{FromServer: true}
	default:
		if isPlatform && !announcesClose(response.Header) {
			return errMalformedResponse // a truncated body could not be distinguished from a complete one
		}
		s.endsWithConn = true
		s.reader = c.in
	}
	if isPlatform {
		return s.bufferUnknownLength(response)
	}
	s.streamAfter(nil, response)
	return nil
}

// responseStream is the source of a streamed response body.
type responseStream struct {
	conn     *conn
	upload   *upload
	header   http.Header
	meter    body.Meter
	deadline body.LazyDeadline
	due      time.Time // when the last byte is due; zero: only the pace limits the body

	reader       io.Reader                // the body, unless it is chunked
	decoder      *httpwire.ChunkedDecoder // of a chunked body; nil for another one
	length       int64                    // Content-Length; -1: unknown
	readBytes    int64
	endsWithConn bool // whether the body is delimited by the end of the connection
}

func newResponseStream(c *conn, x *engine.Request, up *upload, header http.Header) *responseStream {
	pace, due := upstream.ResponseLimits(x, &defaultStreams)
	return &responseStream{
		conn: c, upload: up, header: header, length: -1,
		meter:    body.Meter{Pace: pace},
		deadline: body.LazyDeadline{SetDeadline: c.SetReadDeadline},
		due:      due,
	}
}

// streamAfter sets the body of the response to a stream that follows the buffered part. The responseStream itself holds no
// reference to that part, so that Response.ReleaseMemory frees it while the rest is streamed.
func (s *responseStream) streamAfter(buffered []byte, response *engine.Response) {
	s.readBytes = int64(len(buffered))
	response.Body = body.NewStreamed(buffered, body.NewStream(s, s.length))
}

// startWithLength reads the buffered part of a body with a Content-Length.
func (s *responseStream) startWithLength(response *engine.Response, value string, isPlatform bool) error {
	length, ok := httpwire.ParseResponseLength(value)
	if !ok || isPlatform && length > maxPlatformBytes {
		return errMalformedResponse
	}
	if length <= maxSmallBytes {
		return s.readSmall(response, length, isPlatform)
	}
	s.length = length
	s.reader = io.LimitReader(s.conn.in, length)
	if isPlatform {
		return s.bufferStart(response)
	}
	s.streamAfter(nil, response)
	return nil
}

// readSmall reads a whole body of up to maxSmallBytes.
func (s *responseStream) readSmall(response *engine.Response, length int64, isPlatform bool) error {
	text := body.AllocPage(length)
	if !isPlatform && int64(s.conn.in.Buffered()) < length {
		s.conn.SetReadDeadline(time.Now().Add(s.meter.Timeout()))
	}
	if _, err := io.ReadFull(s.conn.in, text); err != nil {
		return err
	}
	response.Body = body.NewBuffered(text)
	response.OnRelease = func() { body.FreePage(text) }
	return nil
}

// bufferStart reads up to maxLargeBuffered bytes of a body with a Content-Length, within upstream.MaxBufferTime. If memory
// for them can't be reserved it reads none. The memory is reserved until Response.ReleaseMemory drops the buffer.
func (s *responseStream) bufferStart(response *engine.Response) error {
	size := min(s.length, maxLargeBuffered)
	t := s.conn.host.transport
	if !t.reserveLargeBytes(size) {
		s.streamAfter(nil, response)
		return nil
	}
	free := func() { t.releaseLargeBytes(size) }
	buffered := make([]byte, size)
	s.conn.readTimeout = 0
	s.conn.SetReadDeadline(time.Now().Add(upstream.MaxBufferTime))
	n, err := io.ReadFull(s.reader, buffered)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		free()
		return err
	}
	response.OnRelease = free
	if err == nil && size == s.length {
		response.Body = body.NewBuffered(buffered)
		return nil
	}
	s.streamAfter(buffered[:n], response)
	return nil
}

// bufferUnknownLength reads up to maxSmallBytes of a body of unknown length, as far as they arrive within
// upstream.MaxBufferTime.
func (s *responseStream) bufferUnknownLength(response *engine.Response) error {
	page := body.AllocPage(maxSmallBytes)
	n, err := s.fillWithin(page, upstream.MaxBufferTime)
	atEnd := err == io.EOF
	if err != nil && !atEnd {
		body.FreePage(page)
		return bodyError(err)
	}
	response.OnRelease = func() { body.FreePage(page) }
	if atEnd {
		response.Body = body.NewBuffered(page[:n])
		return nil
	}
	s.streamAfter(page[:n], response)
	return nil
}

// fillWithin reads until p is full, the body ends, or limit has passed.
func (s *responseStream) fillWithin(p []byte, limit time.Duration) (n int, err error) {
	s.conn.readTimeout = 0
	s.conn.SetReadDeadline(time.Now().Add(limit))
	for n < len(p) && err == nil {
		var part int
		part, err = s.readAvailable(p[n:])
		n += part
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = nil
	}
	return n, err
}

// bodyError returns the error of a body that could not be read because of err: err if it is an error of the connection,
// or errMalformedResponse if a chunk is invalid.
func bodyError(err error) error {
	var netErr net.Error
	if err == io.ErrUnexpectedEOF || errors.As(err, &netErr) {
		return err
	}
	return errMalformedResponse
}

// readAvailable reads what has arrived, and waits only if that is nothing. A host may pause at any byte, so what has
// arrived must not wait for more. An exceeded deadline is not final: a later call goes on.
func (s *responseStream) readAvailable(p []byte) (int, error) {
	if s.decoder == nil {
		return s.reader.Read(p)
	}
	n := 0
	for n < len(p) && !s.decoder.Done() {
		if s.conn.in.Buffered() == 0 && n > 0 {
			return n, nil
		}
		part, err := s.readChunked(p[n:])
		n += part
		if err != nil {
			return n, err
		}
	}
	if n == 0 && s.decoder.Done() {
		return 0, io.EOF
	}
	return n, nil
}

// readChunked waits until a byte has arrived, and decodes some of what has. It may return no content, as the bytes may all
// be framing. The content of a long chunk is read without a copy in the connection's buffer.
func (s *responseStream) readChunked(p []byte) (int, error) {
	in := s.conn.in
	if remaining := s.decoder.Remaining(); remaining > 0 && in.Buffered() == 0 {
		n, err := in.Read(p[:min(int64(len(p)), remaining)])
		s.decoder.Consume(int64(n))
		return n, unexpectedEOF(err)
	}
	if _, err := in.Peek(1); err != nil {
		return 0, unexpectedEOF(err)
	}
	encoded, _ := in.Peek(in.Buffered())
	used, content, err := s.decoder.Next(encoded[:min(len(encoded), len(p))])
	n := copy(p, content)
	in.Discard(used)
	return n, err
}

// unexpectedEOF converts io.EOF, which means that the connection ended within the body, to io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Read reads the next part of the body, and fails if the host does not keep the pace. It returns an error other than
// io.EOF if the body is truncated.
func (s *responseStream) Read(p []byte) (int, error) {
	startedAt := time.Now()
	timeout := s.meter.Timeout()
	// LazyDeadline may exceed the timeout by a quarter, so it is used only while due is well beyond that.
	if s.due.IsZero() || s.due.Sub(startedAt) > 2*timeout {
		s.deadline.Reset(startedAt, timeout)
	} else {
		s.conn.SetReadDeadline(s.due)
	}
	n, err := s.readAvailable(p)
	s.readBytes += int64(n)
	tooSlow := s.meter.Record(n, time.Since(startedAt))
	if err == nil {
		err = tooSlow
	}
	if err != io.EOF {
		return n, err
	}
	if s.length >= 0 && s.readBytes < s.length {
		return n, io.ErrUnexpectedEOF
	}
	return n, io.EOF
}

// Trailer returns the trailer section (RFC 9112, 7.1.2), once Read has returned io.EOF.
func (s *responseStream) Trailer() http.Header {
	if s.decoder == nil {
		return nil
	}
	return s.decoder.Trailer
}

// Close releases the connection. complete reports whether the body was read to its end; only then is the connection
// kept, if it can carry another request.
func (s *responseStream) Close(complete bool) {
	reusable := complete && !s.endsWithConn && s.conn.reusableAfter(s.header)
	s.conn.finish(s.upload, reusable)
}
