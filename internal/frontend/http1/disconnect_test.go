package http1

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"dunemoor/internal/body"
	"dunemoor/internal/engine"
	"dunemoor/internal/testutil"
)

// maxInFlightPerHost is the number of requests that are sent to a host before it has answered any: the balancer's initial
// limit of attempts in flight at a host (initialLimitAttempts).
const maxInFlightPerHost = 4

// disconnects are the ways in which a client can disconnect.
var disconnects = map[string]func(c *net.TCPConn){
	"close":      func(c *net.TCPConn) { c.Close() },
	"half close": func(c *net.TCPConn) { c.CloseWrite() },
	"reset":      func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
}

// disconnectNames are the keys of disconnects in a fixed order, for tests that use each of them in turn.
var disconnectNames = []string{"close", "half close", "reset"}

// stopWatcher stops the goroutine that detects disconnects, as if it were not scheduled on a busy machine.
func (g *testGateway) stopWatcher() {
	g.Helper()
	w := g.server.watcher
	if err := w.file.SetReadDeadline(time.Unix(1, 0)); err != nil {
		g.Fatal(err)
	}
	<-w.done
}

// disconnected returns the number of open connections on which a close by the client has arrived.
func (g *testGateway) disconnected() (n int) {
	for _, c := range g.server.watcher.open() {
		c.raw.Control(func(fd uintptr) {
			fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
			if events, _ := unix.Poll(fds, 0); events > 0 {
				n++
			}
		})
	}
	return n
}

// After a client has disconnected, no further attempt is sent, however the first attempt ends and however the client
// has disconnected. The check before the first byte of an attempt must detect this even if the watcher has not run.
func TestNoFurtherAttemptAfterDisconnect(t *testing.T) {
	responses := map[string]testutil.Script{
		"error":    testutil.RespondWith(testutil.ErrorResponse),
		"rejected": testutil.RespondWith(testutil.RejectedResponse),
		"reset":    testutil.ResetConnection,
		"noise":    testutil.RespondWith("\x00noise\r\n\r\n"),
		"truncated": func(c net.Conn, _ *http.Request, _ int) bool {
			io.WriteString(c, testutil.OKResponse[:len(testutil.OKResponse)-1])
			return false
		},
	}
	for how, disconnect := range disconnects {
		for what, respond := range responses {
			t.Run(how+", "+what, func(t *testing.T) {
				received, release := make(chan struct{}, 1), make(chan struct{})
				var attempts atomic.Int64
				script := func(c net.Conn, r *http.Request, n int) bool {
					if attempts.Add(1) > 1 {
						io.WriteString(c, testutil.OKResponse)
						return true
					}
					received <- struct{}{}
					<-release
					return respond(c, r, n)
				}
				g := startGateway(t, withHosts(testutil.NewHost(t, script), testutil.NewHost(t, script)))
				c := g.dial().(*net.TCPConn)
				io.WriteString(c, testutil.LookRequest(testutil.NewID()))
				<-received
				g.stopWatcher()
				disconnect(c)
				testutil.WaitUntil(t, "the client's close has arrived", func() bool { return g.disconnected() == 1 })
				close(release)
				testutil.WaitUntil(t, "the request has ended", func() bool { return g.admission.OpenIDs() == 0 })
				if n := attempts.Load(); n != 1 {
					t.Errorf("got %d attempts, want 1", n)
				}
			})
		}
	}
}

// Many clients disconnect while the engine's loop is blocked. Error responses that would cause further attempts are
// queued for the loop, and other requests wait for their first attempt. No attempt is sent for these clients.
func TestNoAttemptAfterBurstOfDisconnectsWhileLoopIsBusy(t *testing.T) {
	const hosts, clients = 8, 200
	var attempts, responses atomic.Int64
	respond, loopBusy, release := make(chan struct{}), make(chan struct{}), make(chan struct{})
	cfg := withHosts()
	for range hosts {
		cfg.hosts = append(cfg.hosts, testutil.NewHost(t, func(c net.Conn, _ *http.Request, _ int) bool {
			attempts.Add(1)
			<-respond
			io.WriteString(c, testutil.ErrorResponse)
			responses.Add(1)
			return true
		}))
	}
	var once sync.Once
	cfg.classify = func() {
		once.Do(func() {
			close(loopBusy)
			<-release
		})
	}
	g := startGateway(t, cfg)
	conns := make([]*net.TCPConn, clients)
	for i := range conns {
		conns[i] = g.dial().(*net.TCPConn)
		io.WriteString(conns[i], testutil.LookRequest(testutil.NewID()))
	}
	const inFlight = maxInFlightPerHost * hosts
	testutil.WaitUntil(t, "all requests are admitted and as many as possible are in flight", func() bool {
		return g.admission.OpenIDs() == clients && attempts.Load() == inFlight
	})
	close(respond)
	<-loopBusy
	testutil.WaitUntil(t, "the hosts have written all error responses", func() bool { return responses.Load() == inFlight })
	g.stopWatcher()
	for i, c := range conns {
		disconnects[disconnectNames[i%len(disconnectNames)]](c)
	}
	testutil.WaitUntil(t, "the closes of all clients have arrived", func() bool { return g.disconnected() == clients })
	close(release)
	testutil.WaitUntil(t, "all requests have ended", func() bool { return g.admission.OpenIDs() == 0 })
	if n := attempts.Load(); n != inFlight {
		t.Errorf("got %d attempts for disconnected clients, want 0", n-inFlight)
	}
}

// If a client disconnects during the upload of a streamed body while its request waits for a host, the request ends
// immediately, and no part of the body is sent to a host. Nothing is sent either if the watcher has not detected the
// disconnect yet.
func TestDisconnectDuringUploadOfQueuedRequest(t *testing.T) {
	for how, disconnect := range disconnects {
		for _, watcherStopped := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, watcher stopped %t", how, watcherStopped), func(t *testing.T) {
				host, release := newBlockingHost(t)
				cfg := withHosts(host)
				pace := body.Pace{IdleTimeout: testutil.WaitTimeout}
				cfg.streams = &engine.Streams{BufferBytes: 64 << 10, Pace: pace, Upload: pace}
				g := startGateway(t, cfg)
				startUpload := func(length, sent int) *net.TCPConn {
					c := g.dial().(*net.TCPConn)
					fmt.Fprintf(c, "POST /api/1 HTTP/1.1\r\nHost: a\r\nX-Priority-Class: book\r\nX-Timeout: 60\r\nX-Request-ID: %s\r\nContent-Length: %d\r\n\r\n%s",
						testutil.NewID(), length, strings.Repeat("x", sent))
					return c
				}
				for range maxInFlightPerHost {
					startUpload(1, 1)
				}
				testutil.WaitUntil(t, "the host has no more capacity", func() bool { n, _, _ := host.Counts(); return n == maxInFlightPerHost })
				c := startUpload(1<<20, 100<<10)
				testutil.WaitUntil(t, "the request waits for a host", func() bool { return g.openRequests() == maxInFlightPerHost+1 })
				if watcherStopped {
					g.stopWatcher()
				}
				disconnect(c)
				if watcherStopped {
					testutil.WaitUntil(t, "the client's close has arrived", func() bool { return g.disconnected() == 1 })
				} else {
					testutil.WaitUntil(t, "the request has ended", func() bool { return g.openRequests() == maxInFlightPerHost })
					c.SetReadDeadline(time.Now().Add(testutil.WaitTimeout))
					if got, _ := io.ReadAll(c); len(got) > 0 { // a half-closed client could still read a response
						t.Errorf("client received %q, want no response", got)
					}
				}
				close(release)
				testutil.WaitUntil(t, "all requests have ended", func() bool { return g.openRequests() == 0 })
				g.close()
				testutil.WaitUntil(t, "all connections to the host have ended", func() bool { _, accepted, ended := host.Counts(); return accepted == ended })
				if n, _, _ := host.Counts(); n != maxInFlightPerHost {
					t.Errorf("host received %d requests, want %d", n, maxInFlightPerHost)
				}
			})
		}
	}
}

// openRequests returns the number of open requests in the engine.
func (g *testGateway) openRequests() (n int64) {
	snapshot := g.admission.Engine.Snapshot()
	defer snapshot.Release()
	snapshot.Pools(func(p *engine.Pool) { n = p.OpenRequests() })
	return n
}

// A wait for events that is interrupted by a signal is repeated, because edge-triggered events are reported only once.
func TestInterruptedWaitIsRepeated(t *testing.T) {
	calls := 0
	n := retryInterrupted(func() (int, error) {
		calls++
		if calls < 3 {
			return -1, syscall.EINTR
		}
		return 2, nil
	})
	if n != 2 || calls != 3 {
		t.Errorf("got %d events after %d calls, want 2 after 3", n, calls)
	}
	if n := retryInterrupted(func() (int, error) { return -1, syscall.EBADF }); n != 0 {
		t.Errorf("closed set: got %d events, want 0", n)
	}
}

// Many clients disconnect at the same time, in different ways, while their requests wait for a host. Nothing is sent
// for these requests, neither at that time nor when the host has capacity again.
func TestBurstOfDisconnectsWhileRequestsAreQueued(t *testing.T) {
	host, release := newBlockingHost(t)
	g := startGateway(t, withHosts(host))
	const clients = 200
	conns := map[string]*net.TCPConn{} // connections by request id
	for range clients {
		c, id := g.dial(), testutil.NewID()
		io.WriteString(c, testutil.LookRequest(id))
		conns[id] = c.(*net.TCPConn)
	}
	testutil.WaitUntil(t, "all requests are admitted and as many as possible are in flight", func() bool {
		n, _, _ := host.Counts()
		return g.admission.OpenIDs() == clients && n == maxInFlightPerHost
	})
	host.Mu.Lock()
	for _, r := range host.Requests {
		delete(conns, r.Header.Get("X-Request-Id")) // clients whose requests are in flight stay connected
	}
	host.Mu.Unlock()
	i := 0
	for _, c := range conns {
		disconnects[disconnectNames[i%len(disconnectNames)]](c)
		i++
	}
	testutil.WaitUntil(t, "all requests that are not in flight have ended", func() bool { return g.admission.OpenIDs() == maxInFlightPerHost })
	close(release)
	testutil.WaitUntil(t, "the requests in flight have been answered", func() bool { return g.admission.OpenIDs() == 0 })
	if resp, _ := g.send("look", "/api/1", ""); resp.StatusCode != 200 {
		t.Errorf("a further request: got status %d, want 200", resp.StatusCode)
	}
	if n, _, _ := host.Counts(); n != maxInFlightPerHost+1 {
		t.Errorf("host received %d requests of disconnected clients, want 0", n-maxInFlightPerHost-1)
	}
}

// A client that closes its side of the connection while it waits for the response counts as disconnected and receives
// no response, in particular no 200 that no host has sent.
func TestHalfClosedClientGetsNoResponse(t *testing.T) {
	host := testutil.NewHost(t, testutil.NeverRespond)
	g := startGateway(t, withHosts(host))
	c := g.dialWithTimeout()
	io.WriteString(c, testutil.LookRequest(testutil.NewID()))
	testutil.WaitUntil(t, "the host has received the request", func() bool { n, _, _ := host.Counts(); return n == 1 })
	c.(*net.TCPConn).CloseWrite()
	if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
		t.Errorf("got status %d, want no response", resp.StatusCode)
	}
}

// The disconnect of a waiting client is detected even if the client has sent further bytes that have not been read.
// Otherwise attempts would continue until the client's deadline, a minute later.
func TestDisconnectIsDetectedDespiteUnreadBytes(t *testing.T) {
	host := testutil.NewHost(t, testutil.NeverRespond)
	g := startGateway(t, withHosts(host))
	for i, more := range []string{"", "GET ", strings.Repeat("x", 64<<10)} {
		c := g.dialWithTimeout()
		if _, err := io.WriteString(c, testutil.LookRequest(testutil.NewID())+more); err != nil {
			t.Fatalf("write a request and %d more bytes into the kernel's buffers: %v", len(more), err)
		}
		testutil.WaitUntil(t, "the host has received the request", func() bool { n, _, _ := host.Counts(); return n == i+1 })
		c.Close()
		testutil.WaitUntil(t, "the request has ended", func() bool { return g.admission.OpenIDs() == 0 })
		testutil.WaitUntil(t, "the connection is closed", func() bool {
			return g.server.ConnCounts().Open == 0 && len(g.server.watcher.open()) == 0
		})
	}
}
