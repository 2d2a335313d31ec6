package fastcgi

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/body"
	"dunemoor/internal/body/bodytest"
	"dunemoor/internal/engine"
	"dunemoor/internal/fastcgi"
	"dunemoor/internal/testutil"
)

const (
	// partBytes is the length of the parts of a response in these tests.
	partBytes = 16 << 10
	// maxTestDelay is the longest time for which a client that reads slowly may delay other responses.
	maxTestDelay = 500 * time.Millisecond
)

// newPipeConn returns a connection of a host, and its other end. Its records are not read by the gateway unless the test
// starts readLoop.
func newPipeConn(t *testing.T) (c *conn, responder net.Conn) {
	t.Helper()
	h := NewTransport(Options{MaxConns: 1}).Host("x").(*host)
	h.Update("127.0.0.1:9", 0, true)
	near, far := net.Pipe()
	return newConn(h, near, h.generation), far
}

// fill writes parts to the response of a call until there is no room.
func fill(t *testing.T, k *call) {
	t.Helper()
	for range 1000 {
		if len(k.stdout.TryWrite(make([]byte, partBytes))) > 0 {
			return
		}
	}
	t.Fatal("there is room for 1000 parts, want a bound")
}

// A client that does not read its response is cut off soon after another request was started on the connection. Guards
// against a wait that is long because the connection carried no other request when it began.
func TestUnreadResponseDoesNotDelayLaterRequest(t *testing.T) {
	testutil.VirtualTime(t, func(t *testing.T) {
		c, _ := newPipeConn(t)
		defer c.connectionEnded(io.EOF)
		unread := c.startCall()
		fill(t, unread)
		var blocked sync.WaitGroup
		blocked.Go(func() { c.Stdout(unread.id, make([]byte, partBytes)) })
		time.Sleep(maxStallSingle / 2)
		if !c.congestion.isBlocked() {
			t.Fatal("reading is not blocked by the only request, want it to wait for the client")
		}
		c.startCall()
		start := time.Now()
		blocked.Wait()
		if delay := time.Since(start); delay > maxTestDelay {
			t.Errorf("reading was blocked for %v after another request was started, want at most %v", delay, maxTestDelay)
		}
		if c.congestion.isBlocked() || !unread.abandoned {
			t.Error("the request whose client does not read is not abandoned")
		}
	})
}

// While there are other requests, the waits for a slow client are counted together. Guards against many short waits that
// add up to a long one.
func TestSlowClientDoesNotDelayOtherResponses(t *testing.T) {
	const interval = 200 * time.Millisecond // 80 KiB a second
	testutil.VirtualTime(t, func(t *testing.T) {
		c, _ := newPipeConn(t)
		defer c.connectionEnded(io.EOF)
		slow := c.startCall()
		c.startCall()
		fill(t, slow)
		var client sync.WaitGroup
		client.Go(func() {
			for !isAbandoned(slow, c) {
				time.Sleep(interval)
				slow.stdout.Read(make([]byte, partBytes), time.Nanosecond)
			}
		})
		start := time.Now()
		for range 1000 {
			c.Stdout(slow.id, make([]byte, partBytes))
			if isAbandoned(slow, c) {
				break
			}
		}
		if delay := time.Since(start); delay > maxTestDelay {
			t.Errorf("reading was blocked for %v in all, want at most %v", delay, maxTestDelay)
		}
		c.abandon(slow)
		client.Wait()
	})
}

func isAbandoned(k *call, c *conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return k.abandoned
}

// A request is not sent on a connection that other requests block, unless no other connection may be opened.
func TestBlockedConnectionGetsNoRequestIfAvoidable(t *testing.T) {
	r := startResponder(t, multiplexing, func(c net.Conn, id uint16, _ map[string]string, _ string) {
		c.Write(okRecords(id, "good"))
	})
	transport, h := newTestHost(t, r.Addr().String())
	waitForMultiplexing(t, transport, h)
	c := waitForOnlyConn(t, transport, h)
	conns := r.conns.Load()
	transport.mu.Lock()
	c.inFlight++ // the request that blocks the connection
	transport.mu.Unlock()
	defer c.Release()
	c.congestion.readBlocked.Store(true)
	transport.SetLimits(1, 0)
	checkGoodResponse(t, h, "/", "")
	if n := r.conns.Load() - conns; n != 0 {
		t.Errorf("at the limit of connections %d were opened, want the blocked one to be used", n)
	}
	transport.SetLimits(2, 0)
	checkGoodResponse(t, h, "/", "")
	if n := r.conns.Load() - conns; n != 1 {
		t.Errorf("below the limit %d connections were opened, want 1", n)
	}
	c.congestion.readBlocked.Store(false)
	c.congestion.startWrite()
	if c.congestion.isBlocked() {
		t.Error("a write that has just begun blocks its connection")
	}
	writeStarted := time.Now().Add(-2 * maxWriteTime)
	c.congestion.writeStarted.Store(&writeStarted)
	if !c.congestion.isBlocked() {
		t.Error("a write that does not end does not block its connection")
	}
}

// A canceled request waits neither for the writes of others nor, alone on its connection, for its own. Guards against an
// attempt that ends only when the responder reads again.
func TestCanceledRequestDoesNotWaitForWrites(t *testing.T) {
	for _, test := range []struct {
		name string
		hold bool // another request is being written
	}{{"of others", true}, {"of its own", false}} {
		t.Run(test.name, func(t *testing.T) {
			c, _ := newPipeConn(t)
			c.inFlight = 2
			if test.hold {
				c.writeLock <- struct{}{}
			}
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan engine.Result, 1)
			go func() { ended <- c.RoundTrip(ctx, newTestRequest("POST", "/", "")) }()
			testutil.WaitUntil(t, "the request waits", func() bool { return c.client.NumOpen() == 1 && isWriting(c) })
			cancel()
			select {
			case result := <-ended:
				if result.HasResponse || result.Outcome != balancer.Canceled {
					t.Errorf("got %+v, want Canceled", result)
				}
			case <-time.After(testutil.WaitTimeout):
				t.Fatal("the canceled request waits for a write")
			}
		})
	}
}

// A response that is complete is returned while its responder does not read the rest of the body. Guards against an
// attempt that waits for the timeout of a write whose request has ended.
func TestCompleteResponseDoesNotWaitForUpload(t *testing.T) {
	testutil.VirtualTime(t, func(t *testing.T) {
		c, responder := newPipeConn(t)
		c.inFlight = 1
		var reader sync.WaitGroup
		reader.Go(c.readLoop)
		go func() {
			b := make([]byte, 4096)
			responder.Read(b) // the parameters and the buffered part
			responder.Read(b[:fastcgi.HeaderBytes])
			responder.Write(okRecords(1, "refused"))
		}()
		x := newTestRequest("POST", "/", "")
		x.Body = body.NewStreamed([]byte(uploadStart), body.NewStream(bodytest.NewSource(true, uploadEnd), -1))
		start := time.Now()
		result := c.RoundTrip(t.Context(), x)
		text := string(result.Response.Body.Bytes())
		if took := time.Since(start); took > maxTestDelay || text != "refused" {
			t.Errorf("got body %q after %v, want \"refused\" at once", text, took)
		}
		reader.Wait()
	})
}
