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

// Lengths of response bodies that are not known, or are none.
const (
	lengthUnknown = -1 // the body is in chunks, or ends with the connection
	noLength      = -2 // the response has no body and no Content-Length
)

// maxCopiedBody is the longest body that is copied after the header section to be written with it. For longer ones a
// vectored write costs less.
const maxCopiedBody = 16 << 10

// outputBuffers are buffers for header sections and short responses.
var outputBuffers = sync.Pool{New: func() any {
	b := make([]byte, 0, bufferSize)
	return &b
}}

var (
	crlf            = []byte("\r\n")
	plainTextHeader = http.Header{"Content-Type": {"text/plain; charset=utf-8"}}
)

// writeBeforeResponse writes an informational response, unless the final response has been started.
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

// forwardInformational forwards an informational response of a host. There are none in HTTP/1.0 (RFC 9110, 15.2). An
// error means that the client has left, which is noticed otherwise.
func (c *clientConn) forwardInformational(status int, header http.Header) {
	if c.request.HTTP10 {
		return
	}
	b := httpwire.AppendStatusLine(nil, false, status)
	b = httpwire.AppendHeader(b, frontend.RemoveHopByHopHeaders(header.Clone()))
	c.writeBeforeResponse(append(b, crlf...))
}

// startResponse notes that the final response is started, and appends its status line.
func (c *clientConn) startResponse(b []byte, status int) []byte {
	c.mu.Lock()
	c.responseStarted = true
	c.mu.Unlock()
	return httpwire.AppendStatusLine(b, c.request.HTTP10, status)
}

// appendFraming appends the headers of the body's framing and of the connection, and ends the header section. An HTTP/1.0
// client sees the end of a body of unknown length by the end of the connection.
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

// appendResponseHeader starts the final response and appends its header section, with a Date if it has none.
func (c *clientConn) appendResponseHeader(b []byte, now time.Time, status int, h http.Header, length int64) []byte {
	b = c.startResponse(b, status)
	b = httpwire.AppendHeader(b, h)
	if _, found := h["Date"]; !found {
		b = httpwire.AppendDate(b, now)
	}
	return c.appendFraming(b, length)
}

// writeResponse writes a whole response.
func (c *clientConn) writeResponse(status int, h http.Header, length int64, content []byte) error {
	buf := outputBuffers.Get().(*[]byte)
	now := time.Now()
	header := c.appendResponseHeader((*buf)[:0], now, status, h, length)
	return c.flush(buf, header, content, now)
}

// writeError writes a response of the gateway's own, with a line of text. retryAfter is the value of its Retry-After
// header; "": none.
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

// flush writes a header section and content. The header section is in buf, a buffer of outputBuffers, or has outgrown it.
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

// appendLastChunk appends the end of a body in chunks, with its trailer section, whose fields are in any order.
func appendLastChunk(b []byte, trailer http.Header) []byte {
	b = append(b, "0\r\n"...)
	b = httpwire.AppendHeader(b, trailer)
	return append(b, crlf...)
}
