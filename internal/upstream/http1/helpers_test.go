package http1

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"dunemoor/balancer"
	"dunemoor/internal/body"
	"dunemoor/internal/engine"
	"dunemoor/internal/route"
	"dunemoor/internal/testutil"
)

// newTestTransport returns a Transport whose dial timeout is testutil.WaitTimeout, as the machine may be busy.
func newTestTransport() *Transport {
	transport := NewTransport(Options{MaxConns: 1024, MaxLargeBytes: 16 << 20})
	transport.dialer.Timeout = testutil.WaitTimeout
	return transport
}

// newTestHost returns a host of a Transport at an address.
func newTestHost(transport *Transport, addr string) *host {
	h := transport.Host("s-1").(*host)
	h.Update(addr, 0, true)
	return h
}

// newTestRequest returns a POST request of the platform's protocol with a buffered body.
func newTestRequest(text string) *engine.Request {
	return &engine.Request{
		Method: http.MethodPost, Target: "/api/1", Host: "service.internal", Header: http.Header{},
		Body: body.NewBuffered([]byte(text)), Deadline: time.Now().Add(testutil.WaitTimeout),
	}
}

// classify returns the outcome of an attempt, by the rules of the platform's protocol, and its response.
func classify(result engine.Result) (balancer.Result, engine.Response) {
	if !result.HasResponse {
		return result.Outcome, result.Response
	}
	neverRan := result.Response.Header.Get("X-Not-Processed") == "1"
	return route.ClassifyProtocol(result.Response.Status, neverRan), result.Response
}

// attempt makes one attempt with a timeout of testutil.WaitTimeout.
func attempt(t *testing.T, h *host, x *engine.Request) (balancer.Result, engine.Response) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testutil.WaitTimeout)
	defer cancel()
	return classify(h.Attempt(ctx, x))
}

// connCounts returns the number of open connections of a host's transport, and of idle connections to the host.
func connCounts(h *host) (open, idle int) {
	h.transport.mu.Lock()
	defer h.transport.mu.Unlock()
	return h.transport.idle.NumOpen(), len(h.transport.idle.Conns(h))
}

// checkConnCounts compares connCounts with the wanted numbers.
func checkConnCounts(t *testing.T, name string, h *host, wantOpen, wantIdle int) {
	t.Helper()
	if open, idle := connCounts(h); open != wantOpen || idle != wantIdle {
		t.Errorf("%s: got %d open and %d idle connections, want %d and %d", name, open, idle, wantOpen, wantIdle)
	}
}

// isReusableNow calls Transport.isReusable with the transport's mutex held.
func isReusableNow(c *conn) bool {
	transport := c.host.transport
	transport.mu.Lock()
	defer transport.mu.Unlock()
	return transport.isReusable(c)
}

// firstIdle returns the idle connection to a host that was added to the pool first.
func firstIdle(h *host) *conn {
	h.transport.mu.Lock()
	defer h.transport.mu.Unlock()
	return h.transport.idle.Conns(h)[0]
}

// requestCount returns how many requests a host has received.
func requestCount(server *testutil.Host) int {
	requests, _, _ := server.Counts()
	return requests
}

// acceptedCount returns how many connections a host has accepted.
func acceptedCount(server *testutil.Host) int {
	_, accepted, _ := server.Counts()
	return accepted
}

// waitUntilReceived waits until the peer's kernel has acknowledged all that was written to a connection. A peer does not
// receive what is still in flight when the connection is reset.
func waitUntilReceived(c net.Conn) error {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return err
	}
	deadline := time.Now().Add(testutil.WaitTimeout)
	for unacknowledged := 1; unacknowledged > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			return errors.New("timed out waiting for the peer to receive what was written")
		}
		var ioctlErr error
		err := raw.Control(func(fd uintptr) { unacknowledged, ioctlErr = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) })
		if err != nil || ioctlErr != nil {
			return errors.Join(err, ioctlErr)
		}
	}
	return nil
}

// shrinkBuffer returns a control function that makes the given buffer of a socket too small for a long request. option
// is SO_RCVBUF or SO_SNDBUF.
func shrinkBuffer(option int) func(string, string, syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) (err error) {
		controlErr := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, option, 4096)
		})
		if controlErr != nil {
			return controlErr
		}
		return err
	}
}

// disconnectedClient is a client that has disconnected.
type disconnectedClient struct{}

func (disconnectedClient) Gone() bool { return true }
