package fastcgi

import (
	"context"
	"io"
	"sync"
	"time"

	"dunemoor/internal/body"
	"dunemoor/internal/engine"
	"dunemoor/internal/fastcgi"
	"dunemoor/internal/upstream"
)

// upload sends the streamed part of a request's body while the gateway waits for the response. It runs in a goroutine of
// its own, which stop ends. That goroutine does not read the buffered part, which is freed when the attempt has ended.
type upload struct {
	conn           *conn
	call           *call
	request        *engine.Request
	timeout        time.Duration           // of a write
	progress       upstream.UploadProgress // what was written to the responder; used only by the upload's goroutine
	failedByClient bool                    // whether the body could not be read from the client; set before done is closed

	ctx    context.Context // ends when the upload is stopped
	cancel context.CancelFunc
	done   chan struct{} // closed when the upload has ended

	mu      sync.Mutex // guards the fields below
	writing bool       // a write is in progress
	stopped bool       // no further write may begin
}

// startUpload starts the upload of a request. If the body is buffered there is nothing to send, and the upload has ended.
func startUpload(c *conn, k *call, x *engine.Request) *upload {
	u := &upload{
		conn:     c,
		call:     k,
		request:  x,
		timeout:  upstream.UploadPace(x, &defaultStreams).IdleTimeout,
		progress: upstream.NewUploadProgress(x.Body),
		done:     make(chan struct{}),
	}
	u.ctx, u.cancel = context.WithCancel(context.Background())
	if x.Body.Buffered() {
		u.cancel()
		close(u.done)
	} else {
		go u.run()
	}
	return u
}

// stop ends the upload if it is still running. A write in progress can't be taken back: the connection is closed if it
// carries no other request, and otherwise stop waits for the write or its timeout.
func (u *upload) stop() {
	select {
	case <-u.done:
		return
	default:
	}
	u.request.Body.Stream().Close() // ends a read from the client
	u.cancel()                      // ends the wait for the writes of other requests
	u.mu.Lock()
	u.stopped = true
	isWriting := u.writing
	u.mu.Unlock()
	if isWriting {
		u.conn.closeUnlessShared(u.call)
	}
	<-u.done
}

func (u *upload) run() {
	defer close(u.done)
	defer u.cancel()
	if u.request.Body.Stream().Consume() != nil {
		return
	}
	budget := u.conn.host.transport.bodyBudget
	buf := budget.AcquireBuffer()
	if buf == nil {
		u.conn.abandon(u.call)
		return
	}
	defer budget.ReleaseBuffer(buf)
	u.copyStream(*buf)
}

// copyStream sends the stream to its end, through buf. A failed write closes the connection, which readLoop detects.
func (u *upload) copyStream(buf []byte) {
	stream := u.request.Body.Stream()
	content := buf[fastcgi.HeaderBytes:min(len(buf), fastcgi.HeaderBytes+fastcgi.MaxUnpaddedBytes)]
	for {
		n, err := stream.Read(content)
		if n > 0 {
			written, writeErr := u.writeStdin(buf, n)
			u.progress.ContentWritten(written)
			u.reportProgress()
			if writeErr != nil {
				return
			}
		}
		if err == io.EOF {
			written, _ := u.write(fastcgi.AppendStreamEnd(buf[:0], fastcgi.Stdin, u.call.id))
			u.progress.EndWritten(written)
			u.reportProgress()
			return
		}
		if err != nil {
			// The responder must not take an incomplete body for a complete one.
			u.failedByClient = err != body.ErrConsumed
			u.conn.abandon(u.call)
			u.call.stdout.CloseWrite(err)
			return
		}
	}
}

// reportProgress calls setSent once the responder may have received the whole request.
func (u *upload) reportProgress() {
	if u.progress.MayBeComplete() {
		u.conn.setSent(u.call)
	}
}

// writeStdin writes a STDIN record with n bytes of content, and returns how much of the content was written. In buf the
// content follows the space for the record header.
func (u *upload) writeStdin(buf []byte, n int) (written int, err error) {
	fastcgi.AppendHeader(buf[:0], fastcgi.Header{Type: fastcgi.Stdin, ID: u.call.id, ContentBytes: n})
	recordBytes, err := u.write(buf[:fastcgi.HeaderBytes+n])
	return max(0, recordBytes-fastcgi.HeaderBytes), err
}

// write writes a record, unless the upload has been stopped.
func (u *upload) write(record []byte) (int, error) {
	defer u.endWrite()
	return u.conn.writeIf(u.ctx, u.startWrite, record, u.timeout)
}

// startWrite is called right before a write, and reports whether it may begin.
func (u *upload) startWrite() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.writing = !u.stopped
	return u.writing
}

func (u *upload) endWrite() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.writing = false
}
