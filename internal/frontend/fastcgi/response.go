package fastcgi

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"dunemoor/internal/body"
	"dunemoor/internal/engine"
	"dunemoor/internal/fastcgi"
	"dunemoor/internal/frontend"
)

const (
	// maxContentPerWrite is the maximum number of content bytes in one write. Between two writes, other responses can
	// be written to the same connection.
	maxContentPerWrite = 16 << 10
	// recordOverhead is the space in bytes for the headers and padding of the records of one write.
	recordOverhead = 1024
	// truncatedAppStatus is the application status in the END_REQUEST of a response that could not be written
	// completely.
	truncatedAppStatus = 1
)

// errNoMemory is the error of a response that can't be streamed because there is no memory for a buffer.
var errNoMemory = errors.New("forward response: no memory for a buffer")

// outputBuffers is a pool of buffers for records to be written.
var outputBuffers = sync.Pool{New: func() any {
	b := make([]byte, 0, maxContentPerWrite+recordOverhead)
	return &b
}}

// fail writes an error response to a request that is not forwarded, or whose body can't be read, and ends the request.
// No response is written if the web server has aborted the request or closed the connection.
func (r *request) fail(err error) {
	if err == errPeerGone || err == body.ErrConsumed {
		r.finish(nil)
		return
	}
	status := frontend.StatusCode(err)
	retryAfter := ""
	var rejected *frontend.RejectedError
	if errors.As(err, &rejected) {
		retryAfter = frontend.FormatRetryAfter(rejected.RetryAfter, true)
	} else if status == http.StatusServiceUnavailable {
		retryAfter = frontend.FormatRetryAfter(frontend.UnavailableRetryAfter, true)
	}
	r.finish(errorResponse(status, retryAfter, err.Error()))
}

// errorResponse returns a response that the gateway itself generates, with a line of text. retryAfter is the value of
// its Retry-After header, "" for no such header.
func errorResponse(status int, retryAfter, text string) []byte {
	var b strings.Builder
	b.WriteString(statusLine(status))
	b.WriteString("Content-Type: text/plain; charset=utf-8\r\nX-Content-Type-Options: nosniff\r\n")
	if retryAfter != "" {
		b.WriteString("Retry-After: " + retryAfter + "\r\n")
	}
	b.WriteString("Content-Length: " + strconv.Itoa(len(text)+len("\n")) + "\r\n\r\n")
	b.WriteString(text + "\n")
	return []byte(b.String())
}

// statusLine returns the Status header, which replaces the status line (RFC 3875, 6.3.3).
func statusLine(status int) string {
	return "Status: " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n"
}

// forward writes the response of a host.
func (r *request) forward(t *frontend.Ticket, resp *engine.Response) {
	header := responseHeader(t, resp)
	idleTimeout := stallTimeout
	if t.Route.Streams != nil {
		idleTimeout = t.Route.Streams.Pace.IdleTimeout
	}
	if buffered := resp.Body.Bytes(); resp.Body.Buffered() && len(header)+len(buffered) <= maxContentPerWrite {
		r.finish(append(header, buffered...))
		return
	}
	err := r.write(header, idleTimeout)
	if err == nil {
		err = r.write(resp.Body.Bytes(), idleTimeout)
	}
	if stream := resp.Body.Stream(); err == nil && stream != nil {
		resp.ReleaseMemory()
		err = r.forwardStream(stream, idleTimeout)
	}
	r.truncated = err != nil
	if r.truncated {
		t.LogEvent(frontend.EventResponseCutOff, "status", resp.Status, "err", err)
	}
	r.finish(nil)
}

// responseHeader returns the header section of a host's response as it is sent to the web server.
func responseHeader(t *frontend.Ticket, resp *engine.Response) []byte {
	h := frontend.RemoveHopByHopHeaders(resp.Header.Clone())
	if plain := t.Route.Plain; plain != nil {
		plain.ResponseHeaders.Apply(h)
	}
	delete(h, "Status")
	setContentLength(h, t.Method, resp)
	var b strings.Builder
	b.WriteString(statusLine(resp.Status))
	h.Write(&b) // writing to a strings.Builder can't fail
	b.WriteString("\r\n")
	return []byte(b.String())
}

// setContentLength sets the Content-Length of a response, if it is known. For a response to HEAD it is the
// Content-Length in the host's response.
func setContentLength(h http.Header, method string, resp *engine.Response) {
	length := resp.Body.Len()
	isHead := method == http.MethodHead
	mayHaveBody := !isHead && resp.Status != http.StatusNoContent && resp.Status != http.StatusNotModified
	isEmpty := resp.Body.Buffered() && mayHaveBody
	if length > 0 || isEmpty {
		h["Content-Length"] = []string{strconv.FormatInt(length, 10)}
	} else if values := resp.Header["Content-Length"]; len(values) == 1 && isHead {
		h["Content-Length"] = values
	}
}

// forwardStream writes the streamed part of a response.
func (r *request) forwardStream(stream *body.Stream, idleTimeout time.Duration) error {
	bodies := r.c.server.admission.Bodies
	buf := bodies.AcquireBuffer()
	if buf == nil {
		return errNoMemory
	}
	defer bodies.ReleaseBuffer(buf)
	if err := stream.Consume(); err != nil {
		return err
	}
	for {
		n, err := stream.Read((*buf)[:min(len(*buf), maxContentPerWrite)])
		if r.ctx.Err() != nil {
			return r.ctx.Err()
		}
		if n > 0 {
			if err := r.write((*buf)[:n], idleTimeout); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// write writes a part of the response in pieces of at most maxContentPerWrite, so that other responses can be written
// to the same connection in between.
func (r *request) write(content []byte, timeout time.Duration) error {
	buf := outputBuffers.Get().(*[]byte)
	defer outputBuffers.Put(buf)
	for len(content) > 0 {
		if r.aborted.Load() {
			return errPeerGone
		}
		n := min(len(content), maxContentPerWrite)
		*buf = fastcgi.AppendRecord((*buf)[:0], fastcgi.Stdout, r.id, content[:n])
		if err := r.c.write(*buf, timeout); err != nil {
			return err
		}
		content = content[n:]
	}
	return nil
}

// finish ends a request with the last part of its response and a single END_REQUEST, after which nothing is sent for
// the request. A truncated response must be detectable as such. If the connection carries no other request, it is closed
// without the END_REQUEST. Otherwise the application status of the END_REQUEST is not 0, which is the only other way to
// report it in FastCGI.
func (r *request) finish(last []byte) {
	c := r.c
	buf := outputBuffers.Get().(*[]byte)
	defer outputBuffers.Put(buf)
	aborted := r.aborted.Load()
	truncated := r.truncated && !aborted
	out := (*buf)[:0]
	if !aborted {
		out = fastcgi.AppendStream(out, fastcgi.Stdout, r.id, last)
	}
	end := fastcgi.EndRequestBody{}
	if truncated {
		end.AppStatus = truncatedAppStatus
	} else {
		out = fastcgi.AppendStreamEnd(out, fastcgi.Stdout, r.id)
	}
	out = fastcgi.AppendEndRequest(out, r.id, end)
	alone := c.startEnding(r)
	if c.beforeLastWrite != nil {
		c.beforeLastWrite(r.id)
	}
	if truncated && alone {
		c.withholdEnd(out)
	} else {
		c.write(out, stallTimeout)
	}
	c.ended()
}
