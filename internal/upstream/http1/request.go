package http1

import (
	"bytes"
	"net"
	"net/http"
	"strconv"
	"time"

	"dunemoor/internal/engine"
	"dunemoor/internal/httpwire"
	"dunemoor/internal/upstream"
)

const (
	// timeoutHeader is the request header with the time that the gateway waits for the response, in seconds.
	timeoutHeader = "X-Timeout"
	// usualHeaderBytes is enough for the header section of most requests.
	usualHeaderBytes = 512
	// maxJoinedBytes is the longest buffered body that is copied behind the header section, so that one write sends
	// both. Longer ones are written with it by writev, which costs less than the copy.
	maxJoinedBytes = 2 << 10
)

var crlf = []byte("\r\n")

// writeRequest writes a request, without the streamed part of its body. It returns the number of bytes written and the
// number of bytes that were to be written.
func (c *conn) writeRequest(x *engine.Request) (written, size int, err error) {
	header := encodeHeader(x, maxJoinedBytes)
	buffered := x.Body.Bytes()
	var chunkEnd []byte
	if x.Body.Len() < 0 && len(buffered) > 0 {
		chunkEnd = crlf
	}
	size = len(header) + len(buffered) + len(chunkEnd)
	if deadline := writeDeadline(x); !deadline.IsZero() {
		c.SetWriteDeadline(deadline)
	}
	if len(buffered) <= maxJoinedBytes {
		joined := append(append(header, buffered...), chunkEnd...)
		written, err = c.Write(joined)
		return written, size, err
	}
	parts := net.Buffers{header, buffered, chunkEnd}
	total, err := parts.WriteTo(c.Conn)
	return int(total), size, err
}

// writeDeadline returns the time by which the request, without the streamed part of its body, must be written: WriteBy
// or, if the route is plain or a streamed part follows, the idle timeout of the route's pace from now, whichever is
// earlier. It is zero if there is no limit.
func writeDeadline(x *engine.Request) time.Time {
	if !upstream.IsPlain(x) && x.Body.Buffered() {
		return x.WriteBy
	}
	byPace := time.Now().Add(upstream.UploadPace(x, &defaultStreams).IdleTimeout)
	if x.WriteBy.IsZero() || byPace.Before(x.WriteBy) {
		return byPace
	}
	return x.WriteBy
}

// encodeHeader returns the request line and header section of a request, with the time that remains now, and the size
// line of the first chunk if the body is chunked and a part of it is buffered. The slice has capacity for at least spare
// more bytes.
func encodeHeader(x *engine.Request, spare int) []byte {
	var buf bytes.Buffer
	buf.Grow(usualHeaderBytes + spare)
	for _, s := range []string{x.Method, " ", x.Target, " HTTP/1.1\r\nHost: ", x.Host, "\r\n"} {
		buf.WriteString(s)
	}
	x.Header.Write(&buf) // a bytes.Buffer returns no error
	b := buf.AvailableBuffer()
	b = append(b, timeoutHeader+": "...)
	b = strconv.AppendFloat(b, x.Remaining().Seconds(), 'f', 3, 64)
	length := x.Body.Len()
	isChunked := length < 0
	switch {
	case isChunked:
		b = append(b, "\r\nTransfer-Encoding: chunked"...)
	case length > 0 || !hasNoContentByDefault(x.Method):
		b = append(b, "\r\nContent-Length: "...)
		b = strconv.AppendInt(b, length, 10)
	}
	if expectsContinue(x) {
		b = append(b, "\r\nExpect: 100-continue"...)
	}
	if x.Upgrade != "" {
		b = append(b, "\r\nConnection: Upgrade\r\nUpgrade: "...)
		b = append(b, x.Upgrade...)
	}
	b = append(b, "\r\n\r\n"...)
	if buffered := x.Body.Bytes(); isChunked && len(buffered) > 0 {
		b = httpwire.AppendChunkSize(b, len(buffered))
	}
	buf.Write(b)
	return buf.Bytes()
}

// expectsContinue reports whether the request has the field Expect: 100-continue (RFC 9110, 10.1.1). It does if the body
// is streamed and none of it has been received from the client yet.
func expectsContinue(x *engine.Request) bool {
	return !x.Body.Buffered() && len(x.Body.Bytes()) == 0
}

// hasNoContentByDefault reports whether a request with this method is sent without a Content-Length if it has no body
// (RFC 9110, 8.6).
func hasNoContentByDefault(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodDelete, http.MethodTrace:
		return true
	}
	return false
}
