package http1

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/testutil"
)

// After the end of Run, idle connections are closed at once and those in use after their attempts, so that a pool that
// is no longer in the configuration leaves no connections open.
func TestRunClosesAllConnectionsAtEnd(t *testing.T) {
	release := make(chan struct{})
	server := testutil.NewHost(t, func(c net.Conn, _ *http.Request, n int) bool {
		if n == 1 {
			<-release
		}
		io.WriteString(c, testutil.OKResponse)
		return true
	})
	transport := newTestTransport()
	h := newTestHost(transport, server.Addr())
	ctx, cancel := context.WithCancel(context.Background())
	runEnded := make(chan struct{})
	go func() {
		transport.Run(ctx)
		close(runEnded)
	}()
	attempt(t, h, newTestRequest("b"))
	c, err := transport.getConn(context.Background(), h)
	if err != nil {
		t.Fatal(err)
	}
	outcome := make(chan balancer.Result, 1)
	go func() {
		got, _ := attempt(t, h, newTestRequest("b"))
		outcome <- got
	}()
	testutil.WaitUntil(t, "the second request is sent", func() bool { return requestCount(server) == 2 })
	transport.tryPutIdle(c)
	cancel()
	<-runEnded
	close(release)
	if got := <-outcome; got != balancer.OK {
		t.Errorf("request in flight: got outcome %v, want OK", got)
	}
	testutil.WaitUntil(t, "all connections have ended", func() bool {
		_, accepted, ended := server.Counts()
		return accepted == 2 && ended == 2
	})
	checkConnCounts(t, "afterwards", h, 0, 0)
}

// A connection that the host closed while it was idle must not make a request fail.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	server := testutil.NewHost(t, func(c net.Conn, _ *http.Request, _ int) bool {
		io.WriteString(c, testutil.OKResponse)
		return false
	})
	transport := newTestTransport()
	h := newTestHost(transport, server.Addr())
	for i := range 3 {
		if got, _ := attempt(t, h, newTestRequest("b")); got != balancer.OK {
			t.Fatalf("attempt %d: got outcome %v, want OK", i, got)
		}
		c := firstIdle(h)
		testutil.WaitUntil(t, "the close of the idle connection is detected", func() bool { return !isReusableNow(c) })
	}
	transport.closeExpired()
	checkConnCounts(t, "after closeExpired", h, 0, 0)
}

// An idle connection on which the host has sent bytes can't carry a request: they would be taken for its response.
func TestIdleConnectionWithUnsolicitedResponseIsNotUsed(t *testing.T) {
	server := testutil.NewHost(t, func(c net.Conn, _ *http.Request, n int) bool {
		io.WriteString(c, testutil.OKResponse)
		return true
	})
	h := newTestHost(newTestTransport(), server.Addr())
	attempt(t, h, newTestRequest("b"))
	c := firstIdle(h)
	// isReusable needs the file descriptor of the connection.
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil || raw == nil {
		t.Fatal(err)
	}
	c.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n")) // the test does not read the response
	testutil.WaitUntil(t, "the response has arrived", func() bool { return !isReusableNow(c) })
	if got, _ := attempt(t, h, newTestRequest("b")); got != balancer.OK {
		t.Errorf("got outcome %v, want OK", got)
	}
	if accepted := acceptedCount(server); accepted != 2 {
		t.Errorf("got %d connections, want a second one", accepted)
	}
}

// Once a host has sent an unsolicited response, connections stay idle for a time after a response before they carry
// another request. Bytes that arrive in that time, a second response or a part of one, make the transport close the
// connection: they must not be taken for the response to the next request.
func TestReuseIsDelayedAfterUnsolicitedResponse(t *testing.T) {
	for _, unsolicited := range []string{testutil.OKResponse, "HTTP/1.1 2"} {
		transport := newTestTransport()
		transport.reuseDelay = 500 * time.Millisecond
		connInUse := make(chan struct{})
		server := testutil.NewHost(t, func(c net.Conn, _ *http.Request, n int) bool {
			switch n {
			case 0:
				io.WriteString(c, testutil.OKResponse+unsolicited) // one write, so that both are detected together
			case 1:
				io.WriteString(c, testutil.OKResponse)
				<-connInUse
				io.WriteString(c, unsolicited)
			default:
				io.WriteString(c, strings.Replace(testutil.OKResponse, "good", "next", 1))
			}
			return true
		})
		h := newTestHost(transport, server.Addr())
		for n := range 2 {
			if got, _ := attempt(t, h, newTestRequest("b")); got != balancer.OK {
				t.Fatalf("attempt %d: got outcome %v, want OK", n, got)
			}
		}
		if _, idle := connCounts(h); idle != 1 {
			t.Fatalf("got %d idle connections, want 1", idle)
		}
		go func() {
			for _, idle := connCounts(h); idle != 0; _, idle = connCounts(h) {
				time.Sleep(testutil.PollInterval)
			}
			close(connInUse)
		}()
		startedAt := time.Now()
		got, response := attempt(t, h, newTestRequest("b"))
		if text := string(response.Body.Bytes()); got != balancer.OK || text != "next" {
			t.Errorf("%q: got body %q, outcome %v after %v, want \"next\", OK", unsolicited, text, got, time.Since(startedAt))
		}
		if accepted := acceptedCount(server); accepted != 3 {
			t.Errorf("%q: got %d connections, want a third one", unsolicited, accepted)
		}
	}
}

// Idle connections are used again, as handshakes take CPU time of the hosts. They are used in turn, which avoids those
// that their hosts are about to close after a response.
func TestIdleConnectionsAreUsedInTurn(t *testing.T) {
	server := testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse))
	transport := newTestTransport()
	h := newTestHost(transport, server.Addr())
	ctx := context.Background()
	first, firstErr := transport.getConn(ctx, h)
	second, secondErr := transport.getConn(ctx, h)
	if firstErr != nil || secondErr != nil {
		t.Fatal(firstErr, secondErr)
	}
	transport.tryPutIdle(first)
	transport.tryPutIdle(second)
	for i, want := range []*conn{first, second, first} {
		c, err := transport.getConn(ctx, h)
		if err != nil || c != want {
			t.Fatalf("turn %d: got error %v or a connection that is not the one idle longest", i, err)
		}
		transport.tryPutIdle(c)
	}
	attempt(t, h, newTestRequest("b"))
	attempt(t, h, newTestRequest("b"))
	testutil.WaitUntil(t, "both dials are accepted", func() bool { return acceptedCount(server) == 2 })
	checkConnCounts(t, "after two attempts", h, 2, 2)
	transport.maxIdle = 0
	transport.closeExpired()
	if open, _ := connCounts(h); open != 0 {
		t.Errorf("got %d open connections, want 0, as all were idle too long", open)
	}
}

func TestIdleConnectionsAreClosedWhenProcessChanges(t *testing.T) {
	for name, change := range map[string]func(h *host){
		"restarted": func(h *host) { h.Update(h.process.Addr, 1, true) },
		"moved":     func(h *host) { h.Update("127.0.0.1:1", 0, true) },
		"draining":  func(h *host) { h.Update(h.process.Addr, 0, false) },
	} {
		server := testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse))
		h := newTestHost(newTestTransport(), server.Addr())
		attempt(t, h, newTestRequest("b"))
		change(h)
		checkConnCounts(t, name, h, 0, 0)
		testutil.WaitUntil(t, name+": the connection to the host is closed", func() bool {
			_, _, ended := server.Counts()
			return ended == 1
		})
	}
}

// A machine that has failed leaves its connections open and silent. When an attempt is abandoned and no response has
// arrived since its request was written, the idle connections are closed. They are kept if other requests got responses
// in the meantime.
func TestIdleConnectionsOfSilentHostAreClosed(t *testing.T) {
	for _, othersRespond := range []bool{false, true} {
		transport := newTestTransport()
		transport.minSilence = 0
		server := testutil.NewHost(t, func(c net.Conn, r *http.Request, _ int) bool {
			if r.URL.Path != "/hang" {
				io.WriteString(c, testutil.OKResponse)
			}
			return true
		})
		h := newTestHost(transport, server.Addr())
		first, firstErr := transport.getConn(context.Background(), h)
		second, secondErr := transport.getConn(context.Background(), h)
		if firstErr != nil || secondErr != nil {
			t.Fatal(firstErr, secondErr)
		}
		transport.tryPutIdle(first)
		transport.tryPutIdle(second)
		ctx, cancel := context.WithCancel(context.Background())
		outcome := make(chan balancer.Result, 1)
		go func() {
			x := newTestRequest("b")
			x.Target = "/hang"
			got, _ := classify(h.Attempt(ctx, x))
			outcome <- got
		}()
		testutil.WaitUntil(t, "the host has received the request", func() bool { return requestCount(server) == 1 })
		if othersRespond {
			attempt(t, h, newTestRequest("b"))
		}
		cancel()
		if got := <-outcome; got != balancer.Canceled {
			t.Errorf("got outcome %v, want Canceled", got)
		}
		wantIdle := 0
		if othersRespond {
			wantIdle = 1
		}
		if _, idle := connCounts(h); idle != wantIdle {
			t.Errorf("other responses %t: got %d idle connections, want %d", othersRespond, idle, wantIdle)
		}
	}
}

// At the limit an idle connection is closed to make room. If there is none the request is not sent, which proves that
// it did not run.
func TestConnectionLimit(t *testing.T) {
	responding := testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse))
	silent := testutil.NewHost(t, testutil.NeverRespond)
	transport := newTestTransport()
	transport.SetLimits(1, transport.maxLargeBytes.Load())
	respondingHost, silentHost := newTestHost(transport, responding.Addr()), newTestHost(transport, silent.Addr())
	attempt(t, respondingHost, newTestRequest("b"))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		silentHost.Attempt(ctx, newTestRequest("b"))
		close(done)
	}()
	testutil.WaitUntil(t, "the second host gets its request", func() bool { return requestCount(silent) == 1 })
	if got, _ := attempt(t, respondingHost, newTestRequest("b")); got != balancer.NotSent {
		t.Errorf("beyond the limit: got outcome %v, want NotSent", got)
	}
	cancel()
	<-done
	if got, _ := attempt(t, respondingHost, newTestRequest("b")); got != balancer.OK {
		t.Errorf("with room again: got outcome %v, want OK", got)
	}
}
