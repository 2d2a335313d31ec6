package http1

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"dunemoor/internal/body"
	"dunemoor/internal/engine"
	"dunemoor/internal/httpwire"
	"dunemoor/internal/upstream"
)

// maxContinueWait is how long an upload waits for the host's 100 response. Some servers never send one, and a client must
// not wait indefinitely (RFC 9110, 10.1.1).
const maxContinueWait = time.Second

// errNoMemory is returned if no memory is available for the buffer of an upload.
var errNoMemory = errors.New("http1: no memory for a streamed body")

// upload sends the streamed part of a request's body while the gateway waits for the response. It runs in a goroutine of
// its own, which stop ends. That goroutine does not read the buffered part, which is freed when the attempt has ended.
type upload struct {
	conn    *conn
	request *engine.Request
	// needsContinue is whether the upload waits for a 100 response of the host.
	needsContinue bool

	continued chan struct{} // receives an item when the host has sent a 100 response
	quit      chan struct{} // closed by stop
	quitOnce  sync.Once
	done      chan struct{} // closed when the upload has ended

	// The following are set before done is closed.

	progress       upstream.UploadProgress // what was written to the host
	err            error                   // why the upload ended before the end of the body; nil: the whole body was sent
	failedByClient bool                    // whether the body could not be read from the client
}

// startUpload starts the upload of a request. If the body is buffered there is nothing to send, and the upload has ended.
func startUpload(c *conn, x *engine.Request) *upload {
	u := &upload{
		conn: c, request: x, needsContinue: expectsContinue(x), progress: upstream.NewUploadProgress(x.Body),
		continued: make(chan struct{}, 1), quit: make(chan struct{}), done: make(chan struct{}),
	}
	if x.Body.Buffered() {
		close(u.done)
	} else {
		go u.run()
	}
	return u
}

// allowContinue lets the upload begin, as the host has sent a 100 response.
func (u *upload) allowContinue() {
	select {
	case u.continued <- struct{}{}:
	default: // a 100 response was received before
	}
}

// stop ends the upload if it is still running, by closing its connection, and reports whether it had sent the whole body
// before, so that the connection can carry another request. A host may have received the whole request even if stop
// returns false, see progress.
func (u *upload) stop() bool {
	select {
	case <-u.done:
		return u.err == nil
	default:
	}
	u.quitOnce.Do(func() {
		close(u.quit)
		u.request.Body.Stream().Close() // ends a read from the client
		u.conn.Conn.Close()             // ends a write to the host
	})
	<-u.done
	return false
}

func (u *upload) run() {
	defer close(u.done)
	if u.needsContinue && !u.awaitContinue() {
		u.err = body.ErrConsumed
		return
	}
	stream := u.request.Body.Stream()
	if u.err = stream.Consume(); u.err != nil {
		return
	}
	budget := u.conn.host.transport.bodyBudget
	buf := budget.AcquireBuffer()
	if buf == nil {
		u.err = errNoMemory
		u.conn.Conn.Close()
		return
	}
	defer budget.ReleaseBuffer(buf)
	u.err = u.copyStream(stream, *buf)
}

// awaitContinue waits until the body may be sent, and returns false if the upload was stopped before.
func (u *upload) awaitContinue() bool {
	select {
	case <-u.continued:
	case <-time.After(maxContinueWait):
	case <-u.quit:
		return false
	}
	return true
}

// copyStream sends a stream to its end, through buf.
func (u *upload) copyStream(stream *body.Stream, buf []byte) error {
	meter := body.Meter{Pace: upstream.UploadPace(u.request, &defaultStreams)}
	deadline := body.LazyDeadline{SetDeadline: u.conn.SetWriteDeadline}
	isChunked := u.request.Body.Len() < 0
	content := buf[httpwire.ChunkPrefixBytes : len(buf)-httpwire.ChunkSuffixBytes]
	for {
		n, readErr := stream.Read(content)
		if n > 0 {
			part := content[:n]
			if isChunked {
				part = httpwire.FrameChunk(buf, n)
			}
			startedAt := time.Now()
			deadline.Reset(startedAt, meter.Timeout())
			written, err := u.conn.Write(part)
			u.progress.ContentWritten(written)
			if err == nil {
				err = meter.Record(n, time.Since(startedAt))
			}
			if err != nil {
				return u.writeFailed(err)
			}
		}
		if readErr == io.EOF {
			if !isChunked {
				return nil
			}
			u.conn.SetWriteDeadline(time.Now().Add(meter.Timeout()))
			written, err := u.conn.Write(lastChunk(stream.Trailer()))
			u.progress.EndWritten(written)
			return err
		}
		if readErr != nil {
			// The host must not take an incomplete body for a complete one.
			u.failedByClient = readErr != body.ErrConsumed
			u.conn.Conn.Close()
			return readErr
		}
	}
}

// writeFailed handles the error of a write, and returns it. The connection of a host that is too slow is closed, as
// nothing else would end the wait for a response. After other errors it stays open, as the host may have sent a response
// with the reason.
func (u *upload) writeFailed(err error) error {
	if err == body.ErrTooSlow || errors.Is(err, os.ErrDeadlineExceeded) {
		u.conn.Conn.Close()
	}
	return err
}

// lastChunk returns the end of a chunked body with its trailer section. The trailer fields are sorted by name.
func lastChunk(trailer http.Header) []byte {
	var b strings.Builder
	b.WriteString("0\r\n")
	trailer.Write(&b) // a strings.Builder returns no error
	b.WriteString("\r\n")
	return []byte(b.String())
}
