package http1

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"dunemoor/internal/frontend"
	"dunemoor/internal/httpwire"
)

// Special values for the length of a response body.
const (
	lengthUnknown = -1 // the body is chunked, or is ended by closing the connection
	noLength      = -2 // the response has no body and no Content-Length
)

// maxCopiedBody is the maximum length of a body that is copied into the buffer of the header section, to write both at
// once. For longer bodies a vectored write is cheaper.
const maxCopiedBody = 16 << 10

// outputBuffers is a pool of buffers for header sections and short responses.
var outputBuffers = sync.Pool{New: func() any {
	b := make([]byte, 0, bufferSize)
	return &b
}}

var (
	crlf            = []byte("\r\n")
	plainTextHeader = http.Header{"Content-Type": {"text/plain; charset=utf-8"}}
)

// writeBeforeResponse writes an informational (1xx) response, unless the final response has been started.
func (c *clientConn) writeBeforeResponse(response []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.responseStarted {
		return nil
	}
	c.writeDeadline.Reset(time.Now(), writeTimeout)
	_, err := c.TCPConn.Write(response)
	return err
}

// forwardInformational forwards an informational response from a host, except to HTTP/1.0 clients, for which they are
// not defined (RFC 9110, 15.2). Write errors are ignored: the disconnectWatcher detects that the client has
// disconnected.
func (c *clientConn) forwardInformational(status int, header http.Header) {
	if c.request.HTTP10 {
		return
	}
	b := httpwire.AppendStatusLine(nil, false, status)
	b = httpwire.AppendHeader(b, frontend.RemoveHopByHopHeaders(header.Clone()))
	c.writeBeforeResponse(append(b, crlf...))
}

// startResponse marks the final response as started, and appends its status line to b.
func (c *clientConn) startResponse(b []byte, status int) []byte {
	c.mu.Lock()
	c.responseStarted = true
	c.mu.Unlock()
	return httpwire.AppendStatusLine(b, c.request.HTTP10, status)
}

// appendFraming appends the headers for the framing of the body and for the connection, and ends the header section. A
// body of unknown length is ended by closing the connection if the client uses HTTP/1.0.
func (c *clientConn) appendFraming(b []byte, length int64) []byte {
	switch {
	case length >= 0:
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, length, 10)
		b = append(b, crlf...)
	case length == lengthUnknown && c.request.HTTP10:
		c.closeAfter = true
	case length == lengthUnknown:
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	}
	switch {
	case c.closeAfter:
		b = append(b, "Connection: close\r\n"...)
	case c.request.HTTP10:
		b = append(b, "Connection: keep-alive\r\n"...)
	}
	return append(b, crlf...)
}

// appendResponseHeader starts the final response and appends its header section. It adds a Date header if h has none.
func (c *clientConn) appendResponseHeader(b []byte, now time.Time, status int, h http.Header, length int64) []byte {
	b = c.startResponse(b, status)
	b = httpwire.AppendHeader(b, h)
	if _, found := h["Date"]; !found {
		b = httpwire.AppendDate(b, now)
	}
	return c.appendFraming(b, length)
}

// writeResponse writes a response whose body is completely available. length is as in appendFraming.
func (c *clientConn) writeResponse(status int, h http.Header, length int64, content []byte) error {
	buf := outputBuffers.Get().(*[]byte)
	now := time.Now()
	header := c.appendResponseHeader((*buf)[:0], now, status, h, length)
	return c.flush(buf, header, content, now)
}

// writeError writes a response that the gateway itself generates, with a line of text. retryAfter is the value of its
// Retry-After header, "" for no such header.
func (c *clientConn) writeError(status int, text, retryAfter string) error {
	buf := outputBuffers.Get().(*[]byte)
	b := c.startResponse((*buf)[:0], status)
	b = append(b, "Content-Type: text/plain; charset=utf-8\r\nX-Content-Type-Options: nosniff\r\n"...)
	if retryAfter != "" {
		b = append(b, "Retry-After: "...)
		b = append(b, retryAfter...)
		b = append(b, crlf...)
	}
	now := time.Now()
	b = httpwire.AppendDate(b, now)
	b = c.appendFraming(b, int64(len(text)+len("\n")))
	if c.request.Method != http.MethodHead {
		b = append(b, text...)
		b = append(b, '\n')
	}
	return c.flush(buf, b, nil, now)
}

// flush writes a header section and the content, and returns buf to outputBuffers. The header section was appended to
// buf and may have outgrown it.
func (c *clientConn) flush(buf *[]byte, header, content []byte, now time.Time) error {
	c.writeDeadline.Reset(now, writeTimeout)
	var err error
	if len(content) <= maxCopiedBody {
		header = append(header, content...)
		_, err = c.TCPConn.Write(header)
	} else {
		parts := net.Buffers{header, content}
		_, err = parts.WriteTo(c.TCPConn)
	}
	if cap(header) <= 2*maxCopiedBody {
		*buf = header
		outputBuffers.Put(buf)
	}
	return err
}

// appendLastChunk appends the last chunk of a chunked body and its trailer section, with the fields in any order.
func appendLastChunk(b []byte, trailer http.Header) []byte {
	b = append(b, "0\r\n"...)
	b = httpwire.AppendHeader(b, trailer)
	return append(b, crlf...)
}
