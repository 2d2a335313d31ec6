package fastcgi

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"dunemoor/internal/body"
	"dunemoor/internal/fastcgi"
	"dunemoor/internal/testutil"
)

const (
	// partBytes is the length of the parts of a body in these tests.
	partBytes = 16 << 10
	// maxTestDelay is the longest time for which other requests may wait behind a body that its host does not read: a
	// response may be 0.5 s late.
	maxTestDelay = 500 * time.Millisecond
)

// newUpload adds a request to a connection, of whose body nothing is read unless the test does.
func newUpload(t *testing.T, c *conn, id uint16, keepConn bool) *request {
	t.Helper()
	r := &request{c: c, id: id, keepConn: keepConn, stdin: c.newStdinPipe(keepConn)}
	r.ctx, r.cancel = context.WithCancel(t.Context())
	c.requests[id] = r
	return r
}

// fill writes parts to a request's body until there is no room.
func fill(t *testing.T, c *conn, r *request) {
	t.Helper()
	for range 1000 {
		if len(r.stdin.TryWrite(make([]byte, partBytes))) > 0 {
			return
		}
	}
	t.Fatal("there is room for 1000 parts, want a bound")
}

// A body whose host does not read it is given up before another request, which may have been sent meanwhile, is late. The
// test guards against a wait that is long because the connection carried no other request when it began.
func TestUnreadBodyDoesNotDelayLaterRequest(t *testing.T) {
	testutil.VirtualTime(t, func(t *testing.T) {
		c, _ := newTestConn(t, newTestServer(8))
		upload := newUpload(t, c, 1, true)
		fill(t, c, upload)
		start := time.Now()
		c.Body(upload.id, make([]byte, partBytes), false)
		if delay := time.Since(start); delay > maxTestDelay {
			t.Errorf("reading was blocked for %v, want at most %v", delay, maxTestDelay)
		}
		if upload.ctx.Err() == nil || upload.cancelReason.Load() == nil {
			t.Error("the upload goes on, want it given up with an error")
		}
		// The timeout of a request that is read next starts when reading was blocked.
		if got := c.arrivalTimeAfterRead(); !got.Equal(start) {
			t.Errorf("the next request counts as received %v after reading was blocked, want 0", got.Sub(start))
		}
		if got := c.arrivalTimeAfterRead(); got.Equal(start) {
			t.Error("the request after it counts as received when reading was blocked, want the time of its read")
		}
	})
}

// arrivalTimeAfterRead ends the decoding of one read and returns the arrival time of a request in the next.
func (c *conn) arrivalTimeAfterRead() time.Time {
	c.updateBehindSince(true)
	c.setLastRead(time.Now())
	return c.arrivalTime()
}

// While another request is open, the waits for a slow body are counted together. The test guards against many short
// waits that add up to a long one.
func TestSlowBodyDoesNotDelayOtherRequests(t *testing.T) {
	const interval = 200 * time.Millisecond // a body of 80 KiB a second
	testutil.VirtualTime(t, func(t *testing.T) {
		c, _ := newTestConn(t, newTestServer(8))
		upload := newUpload(t, c, 1, true)
		other := fastcgi.AppendBeginRequest(nil, 2, fastcgi.BeginRequestBody{Role: fastcgi.Responder, Flags: fastcgi.KeepConn})
		other = fastcgi.AppendBeginRequest(other, 3, fastcgi.BeginRequestBody{Role: fastcgi.Responder, Flags: fastcgi.KeepConn})
		if err := c.decoder.Feed(other); err != nil {
			t.Fatal(err)
		}
		var reader sync.WaitGroup
		reader.Go(func() { readSlowly(upload, interval) })
		start := time.Now()
		for range 1000 {
			c.Body(upload.id, make([]byte, partBytes), false)
			if upload.ctx.Err() != nil {
				break
			}
		}
		if delay := time.Since(start); delay > maxTestDelay {
			t.Errorf("reading was blocked for %v in all, want at most %v", delay, maxTestDelay)
		}
		upload.cancel()
		reader.Wait()
	})
}

// readSlowly reads a part of a request's body in each interval until the request is canceled.
func readSlowly(r *request, interval time.Duration) {
	defer r.stdin.CloseRead()
	b := make([]byte, partBytes)
	for r.ctx.Err() == nil {
		time.Sleep(interval)
		r.stdin.Read(b, time.Nanosecond)
	}
}

// A host may read the body of the only request of a connection slowly, and may pause for long if the connection is closed
// after the request.
func TestSlowBodyAloneIsNotGivenUp(t *testing.T) {
	for _, test := range []struct {
		name     string
		keepConn bool
		interval time.Duration
	}{
		{"KEEP_CONN, slow", true, maxTestDelay / 2},
		{"no KEEP_CONN, long pauses", false, soleStallTimeout / 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			testutil.VirtualTime(t, func(t *testing.T) {
				c, _ := newTestConn(t, newTestServer(8))
				upload := newUpload(t, c, 1, test.keepConn)
				var reader sync.WaitGroup
				reader.Go(func() { readSlowly(upload, test.interval) })
				for part := range 100 {
					c.Body(upload.id, make([]byte, partBytes), false)
					if upload.ctx.Err() != nil {
						t.Errorf("the upload was given up at part %d", part)
						break
					}
				}
				upload.cancel()
				reader.Wait()
			})
		})
	}
}

// The time for which a body blocks reading does not count against a request that is incomplete meanwhile. Guards against a
// timeout of the web server where the host of another request was slow.
func TestBlockedReadingTimesOutNoIncompleteRequest(t *testing.T) {
	testutil.VirtualTime(t, func(t *testing.T) {
		c, web := newTestConn(t, newTestServer(8))
		upload := newUpload(t, c, 1, false)
		begin := fastcgi.AppendBeginRequest(nil, 2, fastcgi.BeginRequestBody{Role: fastcgi.Responder})
		if err := c.decoder.Feed(begin); err != nil {
			t.Fatal(err)
		}
		fill(t, c, upload)
		time.AfterFunc(2*requestTimeout, func() { upload.stdin.Read(make([]byte, partBytes), time.Nanosecond) })
		c.setLastRead(time.Now())
		c.Body(upload.id, make([]byte, partBytes), false)
		c.updateBehindSince(true)
		go io.Copy(io.Discard, web)
		c.endOverdueRequests()
		if c.decoder.NumOpen() != 1 {
			t.Error("the incomplete request has timed out while reading was blocked")
		}
		time.Sleep(requestTimeout)
		c.endOverdueRequests()
		if c.decoder.NumOpen() != 0 {
			t.Error("the incomplete request does not time out")
		}
		web.Close()
	})
}

// The memory of a body that its host does not read is bounded, and is released when the request ends.
func TestUnreadBodyIsBounded(t *testing.T) {
	s := newTestServer(8)
	c, _ := newTestConn(t, s)
	upload := newUpload(t, c, 1, true)
	fill(t, c, upload)
	if n := upload.stdin.Len(); n > maxPipedBody+maxPipeExtension {
		t.Errorf("%d bytes are buffered, want at most %d", n, maxPipedBody+maxPipeExtension)
	}
	used, _ := s.admission.Bodies.Used(body.RequestBodies)
	if want := int64(upload.stdin.Len() - maxPipedBody); used != want || want == 0 {
		t.Errorf("%d bytes are reserved, want the %d beyond the capacity of the pipe", used, want)
	}
	upload.stdin.CloseRead()
	if used, _ := s.admission.Bodies.Used(body.RequestBodies); used != 0 {
		t.Errorf("%d bytes are reserved after the end of the request, want 0", used)
	}
}
