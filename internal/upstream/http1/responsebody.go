package http1

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/textproto"
	"os"
	"strings"
	"time"

	"dunemoor/internal/body"
	"dunemoor/internal/engine"
	"dunemoor/internal/httpwire"
	"dunemoor/internal/upstream"
)

// How much of a response body is buffered before any of it is passed on, and for how long that may take. A response whose
// buffered part is malformed or incomplete fails its attempt, and the request can have another.
//
//	route      framing                               buffered                  within
//	platform   Content-Length up to maxSmallBytes    all                       maxResponseGap a read
//	plain      Content-Length up to maxSmallBytes    all                       the idle timeout of the route's Pace
//	platform   Content-Length above maxSmallBytes    maxLargeBuffered at most  upstream.MaxBufferTime
//	platform   chunked, or ended by the connection   maxSmallBytes at most     upstream.MaxBufferTime
//	plain      any other                             nothing
//
// If the memory for large responses is used up, nothing is buffered of a body with a Content-Length above maxSmallBytes.
const (
	// maxSmallBytes is the longest body that is always buffered. Longer ones take memory that is accounted for.
	maxSmallBytes = 64 << 10
	// maxPlatformBytes is the greatest Content-Length that is accepted in the platform's protocol, twice what hosts
	// send. A greater one is taken for noise, and its response is malformed.
	maxPlatformBytes = 64 << 20
	// maxLargeBuffered limits, with upstream.MaxBufferTime, how much of a response in the platform's protocol that is
	// longer than maxSmallBytes is buffered before any of it is passed on. Most malformed responses show by then,
	// and the request can have another attempt.
	maxLargeBuffered = 512 << 10
	// maxChunkWait is how much of a chunk is waited for, if more has arrived than is buffered.
	maxChunkWait = 16 << 10
)

// readBody determines how the body of a response ends (RFC 9112, 6.3) and reads the part that is buffered. It
// returns nil if that is all of it. A body that is framed in two ways is malformed, as the next recipient could
// interpret it differently.
func (c *conn) readBody(x *engine.Request, up *upload, response *engine.Response) (*responseStream, error) {
	c.headerLimit.N = unlimitedBytes
	if httpwire.ResponseHasNoBody(x.Method, response.Status) {
		return nil, nil
	}
	s := newResponseStream(c, x, up, response.Header)
	isPlatform := !upstream.IsPlain(x)
	lengths := response.Header["Content-Length"]
	codings := response.Header["Transfer-Encoding"]
	switch {
	case len(lengths)+len(codings) > 1:
		return nil, errMalformedResponse
	case len(lengths) == 1:
		return s.startWithLength(response, lengths[0], isPlatform)
	case len(codings) == 1:
		if !strings.EqualFold(strings.TrimSpace(codings[0]), "chunked") {
			return nil, errMalformedResponse
		}
		s.isChunked = true
		s.reader = httputil.NewChunkedReader(c.in)
	default:
		if isPlatform && !announcesClose(response.Header) {
			return nil, errMalformedResponse // nothing would tell a complete body from a truncated one
		}
		s.endsWithConn = true
		s.reader = c.in
	}
	if isPlatform {
		return s.bufferUnknownLength(response)
	}
	return s, nil
}

// responseStream is the source of a streamed response body.
type responseStream struct {
	conn     *conn
	upload   *upload
	header   http.Header
	meter    body.Meter
	deadline body.LazyDeadline
	due      time.Time // when the last byte is due; zero: only the pace counts

	buffered     []byte // what has been read before the body is streamed
	reader       io.Reader
	length       int64 // -1: unknown
	readBytes    int64
	isChunked    bool
	endsWithConn bool // the body ends with the connection
	trailer      http.Header
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

// startWithLength reads the buffered part of a body with a Content-Length.
func (s *responseStream) startWithLength(response *engine.Response, value string, isPlatform bool) (*responseStream, error) {
	length, ok := httpwire.ParseResponseLength(value)
	if !ok || isPlatform && length > maxPlatformBytes {
		return nil, errMalformedResponse
	}
	if length <= maxSmallBytes {
		return nil, s.readSmall(response, length, isPlatform)
	}
	s.length = length
	s.reader = io.LimitReader(s.conn.in, length)
	if isPlatform {
		return s.bufferStart(response)
	}
	return s, nil
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
	response.Free = func() { body.FreePage(text) }
	return nil
}

// bufferStart reads up to maxLargeBuffered bytes of a body with a length, within upstream.MaxBufferTime. If memory is short
// it reads none. It returns nil if that is the whole body.
func (s *responseStream) bufferStart(response *engine.Response) (*responseStream, error) {
	size := min(s.length, maxLargeBuffered)
	t := s.conn.host.transport
	if !t.reserveLargeBytes(size) {
		return s, nil
	}
	free := func() { t.releaseLargeBytes(size) }
	buffered := make([]byte, size)
	s.conn.readGap = 0
	s.conn.SetReadDeadline(time.Now().Add(upstream.MaxBufferTime))
	n, err := io.ReadFull(s.reader, buffered)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		free()
		return nil, err
	}
	response.Free = free
	if err == nil && size == s.length {
		response.Body = body.NewBuffered(buffered)
		return nil, nil
	}
	s.buffered = buffered[:n]
	s.readBytes = int64(n)
	return s, nil
}

// bufferUnknownLength reads up to maxSmallBytes of a body without a length, as long as more of it arrives within
// upstream.MaxBufferTime. It returns nil if that is the whole body.
func (s *responseStream) bufferUnknownLength(response *engine.Response) (*responseStream, error) {
	page := body.AllocPage(maxSmallBytes)
	n, err := s.fillWithin(page, upstream.MaxBufferTime)
	atEnd := err == io.EOF
	if atEnd {
		err = nil
		if s.isChunked {
			_, err = s.conn.readTrailer() // the platform's protocol does not use it
		}
	}
	if err != nil {
		body.FreePage(page)
		return nil, bodyError(err)
	}
	response.Free = func() { body.FreePage(page) }
	if atEnd {
		response.Body = body.NewBuffered(page[:n])
		return nil, nil
	}
	s.buffered = page[:n]
	s.readBytes = int64(n)
	return s, nil
}

// fillWithin reads until p is full, the body ends or nothing more has arrived within limit.
func (s *responseStream) fillWithin(p []byte, limit time.Duration) (n int, err error) {
	c := s.conn
	until := time.Now().Add(limit)
	for n < len(p) && err == nil {
		if c.in.Buffered() == 0 {
			c.readGap = 0
			c.SetReadDeadline(until)
			if _, err := c.in.Peek(1); errors.Is(err, os.ErrDeadlineExceeded) {
				return n, nil
			}
			c.readGap = maxResponseGap
		}
		var part int
		part, err = s.readAvailable(p[n:])
		n += part
	}
	return n, err
}

// bodyError returns the error of a body that can't be read: that of the connection, or errMalformedResponse if a
// chunk is invalid.
func bodyError(err error) error {
	var netErr net.Error
	if err == io.ErrUnexpectedEOF || errors.As(err, &netErr) {
		return err
	}
	return errMalformedResponse
}

// readAvailable reads what is buffered, or what arrives next. A chunked reader would read on until p is full or the
// chunk has ended, however slowly that arrives.
func (s *responseStream) readAvailable(p []byte) (int, error) {
	if s.isChunked {
		p = p[:min(len(p), s.availableOfChunk(len(p)))]
	}
	return s.reader.Read(p)
}

// availableOfChunk returns how many bytes can be read without a long wait, given that most are wanted.
func (s *responseStream) availableOfChunk(most int) int {
	in := s.conn.in
	if in.Buffered() >= in.Size() {
		return maxChunkWait
	}
	if _, err := in.Peek(1); err != nil {
		return most // the read returns the error
	}
	return in.Buffered()
}

// Read reads the next part of the body, within the pace that the host must keep. It returns an error if the body
// is truncated.
func (s *responseStream) Read(p []byte) (int, error) {
	startedAt := time.Now()
	timeout := s.meter.Timeout()
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
	if s.isChunked {
		s.trailer, err = s.conn.readTrailer()
		if err != nil {
			return n, err
		}
	}
	return n, io.EOF
}

// readTrailer reads the trailer section (RFC 9112, 7.1.2), which follows the last chunk.
func (c *conn) readTrailer() (http.Header, error) {
	c.headerLimit.N = maxHeaderBytes
	defer func() { c.headerLimit.N = unlimitedBytes }()
	start, err := c.in.Peek(len(crlf))
	if err != nil {
		return nil, io.ErrUnexpectedEOF
	}
	if string(start) == "\r\n" {
		c.in.Discard(len(crlf))
		return nil, nil
	}
	fields, err := textproto.NewReader(c.in).ReadMIMEHeader()
	if err != nil {
		return nil, errMalformedResponse
	}
	return http.Header(fields), nil
}

// Trailer returns the trailer section, once Read has returned io.EOF.
func (s *responseStream) Trailer() http.Header { return s.trailer }

// Close gives up the connection. complete tells that the body was read to its end; then the connection is kept if
// it can carry another request.
func (s *responseStream) Close(complete bool) {
	reusable := complete && !s.endsWithConn && s.conn.canBeReused(s.header)
	s.conn.finish(s.upload, reusable)
}
