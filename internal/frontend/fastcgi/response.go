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
	// maxContentPerWrite is how much of a response is written at once, in bytes, before others on the connection have
	// their turn.
	maxContentPerWrite = 16 << 10
	// recordOverhead is room for the headers and padding of the records of one write, in bytes.
	recordOverhead = 1024
	// truncatedAppStatus is the exit status of a response that could not be written to its end.
	truncatedAppStatus = 1
)

// errNoMemory is the error of a response that can't be streamed for want of memory.
var errNoMemory = errors.New("forward response: no memory for a buffer")

// outputBuffers are buffers for records to write.
var outputBuffers = sync.Pool{New: func() any {
	b := make([]byte, 0, maxContentPerWrite+recordOverhead)
	return &b
}}

// fail answers a request that is not forwarded, or whose body can't be read. Nothing is written if the web server has
// left.
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
		retryAfter = frontend.FormatRetryAfter(frontend.FullRetryAfter, true)
	}
	r.finish(errorResponse(status, retryAfter, err.Error()))
}

// errorResponse returns a response of the gateway's own, with a line of text. retryAfter is the value of its Retry-After
// header; "": none.
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

// statusLine returns the Status header, which stands for the status line (RFC 3875, 6.3.3).
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
	buffered := resp.Body.Bytes()
	if resp.Body.Buffered() && len(header)+len(buffered) <= maxContentPerWrite {
		r.finish(append(header, buffered...))
		return
	}
	err := r.write(header, idleTimeout)
	if err == nil {
		err = r.write(buffered, idleTimeout)
	}
	if stream := resp.Body.Stream(); err == nil && stream != nil {
		resp.FreeHeld()
		err = r.forwardStream(stream, idleTimeout)
	}
	r.truncated = err != nil
	r.finish(nil)
}

// responseHeader returns the header section of a host's response as the web server gets it.
func responseHeader(t *frontend.Ticket, resp *engine.Response) []byte {
	h := frontend.RemoveHopByHopHeaders(resp.Header.Clone())
	if plain := t.Route.Plain; plain != nil {
		plain.ResponseHeaders.Apply(h)
	}
	delete(h, "Status")
	setContentLength(h, t.Method, resp)
	var b strings.Builder
	b.WriteString(statusLine(resp.Status))
	h.Write(&b) // no error, as a Builder has none
	b.WriteString("\r\n")
	return []byte(b.String())
}

// setContentLength sets the Content-Length of a response, if it is known. A response to HEAD has the length that the host
// says.
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

// write writes a part of the response, in pieces between which others on the connection have their turn.
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

// finish ends a request with the last part of its response. Each request gets one END_REQUEST, and nothing after it. A
// truncated response must not look complete: if it is alone on its connection that is closed, and otherwise the exit
// status says so, as FastCGI has no other way.
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
	alone, closing := c.removeRequest(r)
	// The web server may use the id again as soon as it has read the record.
	c.records.RequestEnded(r.id)
	if truncated && alone {
		c.nc.Close()
		return
	}
	c.write(out, stallTimeout)
	if alone && closing && c.records.NumOpen() == 0 {
		c.nc.Close()
	}
}

// removeRequest removes a request that ends. It returns whether there is no other, and whether the connection ends with
// the requests that it has.
func (c *conn) removeRequest(r *request) (alone, closing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.requests, r.id)
	if !r.keepConn || c.server.endsAfterResponse() {
		c.closing = true
	}
	return len(c.requests) == 0, c.closing
}
