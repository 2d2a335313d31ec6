package http1

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"dunemoor/internal/frontend"
	"dunemoor/internal/httpwire"
)

var (
	// errNoRequest is returned by readRequest if no complete header section arrives. No response is sent for it.
	errNoRequest = errors.New("read request: connection has ended")
	// errHeaderTooLong is the error of a request whose header section is longer than Options.MaxHeaderBytes.
	errHeaderTooLong = frontend.NewRequestError(http.StatusRequestHeaderFieldsTooLarge, "the head is too long")
)

// hostFields is the number of fields that don't count towards the limit of header fields: Host.
const hostFields = 1

// readRequest reads and parses the header section of the next request. The error is errNoRequest, or an error whose
// text is sent to the client.
func (s *Server) readRequest(c *clientConn, first bool) error {
	c.body = nil
	c.upload = nil
	c.streamsBody.Store(false)
	c.closeAfter = false
	c.responseStarted = false
	c.request = httpwire.Request{}
	if c.in.buffered() == 0 {
		s.releaseReadAhead(c)
	}
	size, err := s.readHeaderSection(c, first)
	if err != nil {
		return err
	}
	section := c.in.unread()[:size]
	if limit := s.admission.HeaderLimit(); httpwire.CountFields(section) > limit+hostFields {
		c.in.consume(size)
		return frontend.NewTooManyHeadersError(limit)
	}
	err = httpwire.ParseRequest(section, &c.request)
	c.in.consume(size)
	if err != nil {
		c.request = httpwire.Request{}
		return frontend.NewRequestError(httpwire.StatusForError(err), "%v", err)
	}
	if c.request.ContentLength != 0 {
		c.body = newBodyReader(c)
	}
	c.closeAfter = c.request.Close
	return nil
}

// readHeaderSection reads a complete header section into the buffer and returns its size in bytes. It sets the read
// deadline unless deadlineSet is true, as it is for the first request of a connection.
func (s *Server) readHeaderSection(c *clientConn, deadlineSet bool) (size int, err error) {
	scanned := 0
	for {
		if scanned == 0 && c.in.buffered() > 0 {
			c.in.consume(httpwire.LeadingEmptyLine(c.in.unread()))
		}
		if size := httpwire.HeaderEnd(c.in.unread(), scanned); size >= 0 {
			if size > s.maxHeaderBytes {
				return 0, errHeaderTooLong
			}
			return size, nil
		}
		scanned = c.in.buffered()
		if scanned > s.maxHeaderBytes {
			return 0, errHeaderTooLong
		}
		if !deadlineSet {
			deadlineSet = true
			c.setRequestDeadline()
		}
		if !c.in.readMore() {
			return 0, errNoRequest
		}
	}
}

// setRequestDeadline sets the read deadline for the current header section or body to requestTimeout from now.
func (c *clientConn) setRequestDeadline() {
	c.idleDeadline = time.Time{}
	c.SetReadDeadline(time.Now().Add(requestTimeout))
}

// finishBody reads and discards the unread rest of a request's body after the response, and reports whether the next
// request can be read from the connection.
func (c *clientConn) finishBody() bool {
	b := c.body
	if b == nil {
		return true
	}
	c.idleDeadline = time.Time{} // reading the body has set other read deadlines
	if b.err == nil {
		if b.decoder != nil || b.remaining > frontend.MaxBufferedBytes {
			return false
		}
		c.setRequestDeadline()
		if _, err := io.Copy(io.Discard, b); err != nil {
			return false
		}
	}
	return b.err == io.EOF
}

// bodyReader reads the body of a request from its connection.
type bodyReader struct {
	c              *clientConn
	remaining      int64                    // unread bytes of a body with a Content-Length
	decoder        *httpwire.ChunkedDecoder // nil if the body has a Content-Length
	expectContinue bool                     // the client waits for 100 Continue before it sends the body
	err            error                    // final error: io.EOF once the whole body has been read
}

// newBodyReader returns a reader for the body of a connection's current request.
func newBodyReader(c *clientConn) *bodyReader {
	b := &bodyReader{c: c, remaining: c.request.ContentLength, expectContinue: c.request.ExpectContinue}
	if c.request.ContentLength < 0 {
		b.decoder = &httpwire.ChunkedDecoder{}
	}
	return b
}

// continueResponse is the interim response that makes the client send the body (RFC 9110, 15.2.1).
var continueResponse = []byte("HTTP/1.1 100 Continue\r\n\r\n")

// Read implements io.Reader. It returns io.EOF with or after the last byte, and only if the body is complete. All
// errors except exceeded deadlines are final.
func (b *bodyReader) Read(p []byte) (n int, err error) {
	if b.err != nil {
		return 0, b.err
	}
	if len(p) == 0 {
		return 0, nil
	}
	if b.expectContinue {
		b.expectContinue = false
		if err := b.c.writeBeforeResponse(continueResponse); err != nil {
			return 0, err
		}
	}
	if b.decoder != nil {
		n, err = b.readChunked(p)
	} else {
		n, err = b.readUpTo(p, b.remaining)
		b.remaining -= int64(n)
		if b.remaining == 0 {
			err = io.EOF
		}
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		b.err = err
	}
	return n, err
}

// readUpTo reads at most limit bytes. If the buffer is empty and p is large, it reads directly from the connection.
func (b *bodyReader) readUpTo(p []byte, limit int64) (int, error) {
	in := &b.c.in
	p = p[:min(int64(len(p)), limit)]
	if in.buffered() == 0 && len(p) < bufferSize {
		if err := in.fill(); err != nil {
			return 0, unexpectedEOF(err)
		}
	}
	n, err := in.Read(p)
	return n, unexpectedEOF(err)
}

// readChunked reads content of a chunked body.
func (b *bodyReader) readChunked(p []byte) (int, error) {
	in := &b.c.in
	for !b.decoder.Done() {
		if remaining := b.decoder.Remaining(); remaining > 0 && in.buffered() == 0 {
			n, err := b.readUpTo(p, remaining)
			b.decoder.Consume(int64(n))
			return n, err
		}
		if in.buffered() == 0 {
			if err := in.fill(); err != nil {
				return 0, unexpectedEOF(err)
			}
		}
		encoded := in.unread()
		used, content, err := b.decoder.Next(encoded[:min(len(encoded), len(p))])
		n := copy(p, content)
		in.consume(used)
		if err != nil || n > 0 {
			return n, err
		}
	}
	return 0, io.EOF
}

// unexpectedEOF converts io.EOF, which means that the connection ended within the body, to io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Trailer returns the trailer section. It must not be called before Read has returned io.EOF.
func (b *bodyReader) Trailer() http.Header {
	if b.decoder == nil {
		return nil
	}
	return b.decoder.Trailer
}
