package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"dunemoor/internal/drain"
	"dunemoor/internal/testutil"
)

// dialClient opens a connection to the gateway and returns a function that sends a request on it.
func dialClient(t *testing.T, g *testGateway) (send func() (*http.Response, error), c net.Conn) {
	t.Helper()
	c = dialURL(t, g.url)
	in := bufio.NewReader(c)
	return func() (*http.Response, error) {
		fmt.Fprintf(c, "GET /api/1 HTTP/1.1\r\nHost: x\r\nX-Request-ID: %s\r\nX-Priority-Class: look\r\nX-Timeout: 30\r\n\r\n", testutil.NewID())
		resp, err := http.ReadResponse(in, nil)
		if err == nil {
			resp.Body.Close()
		}
		return resp, err
	}, c
}

// During a drain the health check fails immediately, connections stay usable for a while and are then
// closed after a response, and idle connections are closed. Canceling the drain restores normal operation.
func TestDrainClosesConnectionsAndCanBeCanceled(t *testing.T) {
	g := startGateway(t, testConfig(testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse))))
	g.Resume() // has no effect without a drain
	if got := g.health(); got != 200 {
		t.Fatalf("health %d before the drain, want 200", got)
	}
	send, _ := dialClient(t, g)
	sendIdle, idle := dialClient(t, g)
	for _, f := range []func() (*http.Response, error){send, sendIdle} {
		if resp, err := f(); err != nil || resp.StatusCode != 200 || resp.Close {
			t.Fatalf("response %v, error %v, want status 200", resp, err)
		}
	}
	g.Quiesce()
	if got := g.health(); got != 503 {
		t.Errorf("health %d during the drain, want 503", got)
	}
	if ok, _ := g.Ready(); ok {
		t.Error("ready during the drain, want not ready")
	}
	if resp, err := send(); err != nil || resp.StatusCode != 200 {
		t.Errorf("open connection at the start of the drain: response %v, error %v, want 200", resp, err)
	}
	testutil.WaitUntil(t, "the drain to close connections after a response", func() bool { s, _ := g.admission.Draining(); return s >= drain.Leaving })
	if resp, err := send(); err != nil || resp.StatusCode != 200 || !resp.Close {
		t.Errorf("while the drain closes connections: response %v, error %v, want 200 with Connection: close", resp, err)
	}
	idle.SetReadDeadline(time.Now().Add(testutil.WaitTimeout))
	if _, err := idle.Read(make([]byte, 1)); err == nil || strings.Contains(err.Error(), "timeout") {
		t.Errorf("idle connection: error %v, want it closed", err)
	}
	g.Resume()
	if got := g.health(); got != 200 {
		t.Errorf("health %d after the drain, want 200", got)
	}
	send, kept := dialClient(t, g)
	for range 2 {
		if resp, err := send(); err != nil || resp.StatusCode != 200 || resp.Close {
			t.Errorf("after the drain: response %v, error %v, want 200 on an open connection", resp, err)
		}
	}
	// The connection stays open, although the drain would have closed it by now.
	kept.SetReadDeadline(time.Now().Add(250 * time.Millisecond)) // more than ten times drainCloseInterval of http1
	if _, err := kept.Read(make([]byte, 1)); err == nil || !strings.Contains(err.Error(), "timeout") {
		t.Errorf("open connection after the drain: error %v, want a timeout", err)
	}
}

// A request that is in flight when a drain closes connections gets its response.
func TestDrainWaitsForRequestsInFlight(t *testing.T) {
	release := make(chan struct{})
	host := testutil.NewHost(t, func(c net.Conn, _ *http.Request, _ int) bool {
		<-release
		_, err := c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
		return err == nil
	})
	g := startGateway(t, testConfig(host))
	result := make(chan error, 1)
	send, _ := dialClient(t, g)
	go func() {
		resp, err := send()
		if err == nil && (resp.StatusCode != 200 || !resp.Close) {
			err = fmt.Errorf("status %d, close %t", resp.StatusCode, resp.Close)
		}
		result <- err
	}()
	testutil.WaitUntil(t, "the request in flight", func() bool { return g.openRequests() == 1 })
	g.Quiesce()
	testutil.WaitUntil(t, "connections to be closed", func() bool { s, _ := g.admission.Draining(); return s == drain.Closing })
	close(release)
	if err := <-result; err != nil {
		t.Errorf("request in flight during the drain: %v, want a response with Connection: close", err)
	}
}
