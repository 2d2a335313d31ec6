package fastcgi

import (
	"io"
	"time"

	"dunemoor/internal/body"
	"dunemoor/internal/engine"
	"dunemoor/internal/fastcgi"
	"dunemoor/internal/upstream"
)

// upload sends the streamed part of a request's body while the gateway waits for the response. It runs in a goroutine of
// its own, which stop ends. That goroutine does not read the buffered part, which is freed when the attempt has ended.
type upload struct {
	request        *engine.Request
	progress       upstream.UploadProgress // what was written to the responder; used only by the upload's goroutine
	done           chan struct{}           // closed when the upload has ended
	failedByClient bool                    // whether the body could not be read from the client; set before done is closed
}

// startUpload starts the upload of a request. If the body is buffered there is nothing to send, and the upload has ended.
func startUpload(c *conn, k *call, x *engine.Request) *upload {
	u := &upload{request: x, progress: upstream.NewUploadProgress(x.Body), done: make(chan struct{})}
	if x.Body.Buffered() {
		close(u.done)
	} else {
		go u.run(c, k)
	}
	return u
}

// stop ends the upload if it is still running.
func (u *upload) stop() {
	select {
	case <-u.done:
		return
	default:
	}
	u.request.Body.Stream().Close() // ends a read from the client
	<-u.done
}

func (u *upload) run(c *conn, k *call) {
	defer close(u.done)
	stream := u.request.Body.Stream()
	if stream.Consume() != nil {
		return
	}
	budget := c.host.transport.bodyBudget
	buf := budget.AcquireBuffer()
	if buf == nil {
		c.abandon(k)
		return
	}
	defer budget.ReleaseBuffer(buf)
	u.copyStream(c, k, *buf)
}

// copyStream sends the stream to its end, through buf. A failed write closes the connection, which readLoop detects.
func (u *upload) copyStream(c *conn, k *call, buf []byte) {
	stream := u.request.Body.Stream()
	timeout := upstream.UploadPace(u.request, &defaultStreams).IdleTimeout
	content := buf[fastcgi.HeaderBytes:min(len(buf), fastcgi.HeaderBytes+fastcgi.MaxUnpaddedBytes)]
	for {
		n, err := stream.Read(content)
		if n > 0 {
			written, writeErr := writeStdin(c, k, buf, n, timeout)
			u.progress.ContentWritten(written)
			u.reportProgress(c, k)
			if writeErr != nil {
				return
			}
		}
		if err == io.EOF {
			written, _ := c.write(fastcgi.AppendStreamEnd(buf[:0], fastcgi.Stdin, k.id), timeout)
			u.progress.EndWritten(written)
			u.reportProgress(c, k)
			return
		}
		if err != nil {
			// The responder must not take an incomplete body for a complete one.
			u.failedByClient = err != body.ErrConsumed
			c.abandon(k)
			k.stdout.CloseWrite(err)
			return
		}
	}
}

// reportProgress calls setSent once the responder may have received the whole request.
func (u *upload) reportProgress(c *conn, k *call) {
	if u.progress.MayBeComplete() {
		c.setSent(k)
	}
}

// writeStdin writes a STDIN record with n bytes of content, and returns how much of the content was written. In buf the
// content follows the space for the record header.
func writeStdin(c *conn, k *call, buf []byte, n int, timeout time.Duration) (written int, err error) {
	fastcgi.AppendHeader(buf[:0], fastcgi.Header{Type: fastcgi.Stdin, ID: k.id, ContentBytes: n})
	recordBytes, err := c.write(buf[:fastcgi.HeaderBytes+n], timeout)
	return max(0, recordBytes-fastcgi.HeaderBytes), err
}
