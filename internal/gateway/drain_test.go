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

// dialClient is a client with a connection of its own.
func dialClient(t *testing.T, g *testGateway) (ask func() (*http.Response, error), c net.Conn) {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(g.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
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

func (g *testGateway) health() int {
	resp, err := http.Get(g.url + "/_health")
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// A drain: health says no at once, connections that are kept stay of use for a while and then
// end with their answers, those without a request are closed, and a call later all is as before.
func TestDrain(t *testing.T) {
	g := startGateway(t, testConfig(testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse))))
	g.Resume() // no drain is on: it changes nothing
	if got := g.health(); got != 200 {
		t.Fatalf("health: %d", got)
	}
	ask, _ := dialClient(t, g)
	askIdle, idle := dialClient(t, g)
	for _, f := range []func() (*http.Response, error){ask, askIdle} {
		if resp, err := f(); err != nil || resp.StatusCode != 200 || resp.Close {
			t.Fatal(resp, err)
		}
	}
	g.Quiesce()
	if got := g.health(); got != 503 {
		t.Errorf("health while draining: %d", got)
	}
	if ok, _ := g.Ready(); ok {
		t.Error("it is ready while it drains")
	}
	if resp, err := ask(); err != nil || resp.StatusCode != 200 {
		t.Errorf("a kept connection just after the call: %v, %v", resp, err)
	}
	testutil.WaitUntil(t, "connections leave", func() bool { s, _ := g.gate.Draining(); return s >= drain.Leaving })
	if resp, err := ask(); err != nil || resp.StatusCode != 200 || !resp.Close {
		t.Errorf("once connections leave: %v, %v", resp, err)
	}
	idle.SetReadDeadline(time.Now().Add(testutil.WaitTimeout))
	if _, err := idle.Read(make([]byte, 1)); err == nil || strings.Contains(err.Error(), "timeout") {
		t.Errorf("a connection without a request is held: %v", err)
	}
	g.Resume()
	if got := g.health(); got != 200 {
		t.Errorf("health after the drain: %d", got)
	}
	ask, kept := dialClient(t, g)
	for range 2 {
		if resp, err := ask(); err != nil || resp.StatusCode != 200 || resp.Close {
			t.Errorf("after the drain: %v, %v", resp, err)
		}
	}
	// It stays, though the drain before would close it by now.
	kept.SetReadDeadline(time.Now().Add(10 * closeEveryTest))
	if _, err := kept.Read(make([]byte, 1)); err == nil || !strings.Contains(err.Error(), "timeout") {
		t.Errorf("after the drain a kept connection ends: %v", err)
	}
}

// closeEveryTest is how often a drain closes connections without a request, and some.
const closeEveryTest = 25 * time.Millisecond

// A request that is out when connections are closed has its answer: it guards against a drain
// that cuts what it should wait for.
func TestDrainWaitsForWhatIsOut(t *testing.T) {
	release := make(chan struct{})
	host := testutil.NewHost(t, func(c net.Conn, _ *http.Request, _ int) bool {
		<-release
		_, err := c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
		return err == nil
	})
	g := startGateway(t, testConfig(host))
	answer := make(chan error, 1)
	ask, _ := dialClient(t, g)
	go func() {
		resp, err := ask()
		if err == nil && (resp.StatusCode != 200 || !resp.Close) {
			err = fmt.Errorf("status %d, close %t", resp.StatusCode, resp.Close)
		}
		answer <- err
	}()
	testutil.WaitUntil(t, "it is out", func() bool { return g.openRequests() == 1 })
	g.Quiesce()
	testutil.WaitUntil(t, "connections are closed", func() bool { s, _ := g.gate.Draining(); return s == drain.Closing })
	close(release)
	if err := <-answer; err != nil {
		t.Error(err)
	}
}
