package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"dunemoor/internal/testutil"
)

// scriptedDiscovery is a discovery service on a loopback socket. Each call is passed to the test, which
// writes the response and ends the call.
type scriptedDiscovery struct {
	addr  string
	calls chan *discoveryCall
}

// discoveryCall is one call of scriptedDiscovery.
type discoveryCall struct {
	index string
	w     http.ResponseWriter
	ended chan struct{}
}

func newScriptedDiscovery(t *testing.T) *scriptedDiscovery {
	s := &scriptedDiscovery{calls: make(chan *discoveryCall)}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := &discoveryCall{r.FormValue("index"), w, make(chan struct{})}
		select {
		case s.calls <- c:
		case <-r.Context().Done():
			return
		}
		select {
		case <-c.ended:
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	s.addr = strings.TrimPrefix(server.URL, "http://")
	return s
}

// nextCall waits for the next call.
func (s *scriptedDiscovery) nextCall(t *testing.T) *discoveryCall {
	t.Helper()
	select {
	case c := <-s.calls:
		return c
	case <-time.After(testutil.WaitTimeout):
		t.Fatal("no call to discovery, want one")
		return nil
	}
}

func (c *discoveryCall) line(text string) {
	io.WriteString(c.w, text+"\n")
	c.w.(http.Flusher).Flush()
}

func memberJSON(id string, h *testutil.Host, state string) string {
	return fmt.Sprintf(`{"id":%q,"addr":%q,"state":%q}`, id, h.Addr(), state)
}

func fullListJSON(version int, entries ...string) string {
	return fmt.Sprintf(`{"version":%d,"full":true,"servers":[%s]}`, version, strings.Join(entries, ","))
}

// bodyOf returns a body for a request of the class. Lookups have none.
func bodyOf(class string) string {
	if class == "look" {
		return ""
	}
	return "b"
}

// listed reports whether the host is in the list that the pool uses.
func (g *testGateway) listed(id string) bool { return g.pool.Address(id) != "" }

// startSlowRequests sends a request of each class to which the host responds only when it is released. It returns a channel
// that receives the result of each request, nil if it was served.
func (g *testGateway) startSlowRequests(classes []string) <-chan error {
	responses := make(chan error, len(classes))
	for _, class := range classes {
		go func() {
			resp, text := g.send(class, "/api/slow", bodyOf(class), "Idempotency-Key", "k-"+class)
			if resp.StatusCode != 200 || text != "good" {
				responses <- fmt.Errorf("%s: status %d, body %q, want 200 and body good", class, resp.StatusCode, text)
				return
			}
			responses <- nil
		}()
	}
	return responses
}

// expectServed sends a request of each class to which the host responds immediately, and expects status 200.
func (g *testGateway) expectServed(classes []string) {
	g.Helper()
	for _, class := range classes {
		resp, _ := g.send(class, "/api/quick", bodyOf(class), "Idempotency-Key", testutil.NewID())
		if resp.StatusCode != 200 {
			g.Errorf("%s: status %d, want 200", class, resp.StatusCode)
		}
	}
}

// A watch ends without reporting that a host drains, and the next full list omits that host. The host gets
// no new requests, even on open connections, and its requests in flight complete. It is used again when it
// is listed again.
func TestFullListWithoutDrainingHostRemovesIt(t *testing.T) {
	release := make(chan struct{})
	releaseSlow := sync.OnceFunc(func() { close(release) })
	defer releaseSlow()
	draining := testutil.NewHost(t, func(c net.Conn, r *http.Request, _ int) bool {
		if strings.HasSuffix(r.URL.Path, "/slow") {
			<-release
		}
		io.WriteString(c, testutil.OKResponse)
		return true
	})
	other := testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse))
	list := newScriptedDiscovery(t)
	cfg := testConfig()
	cfg.Discovery = list.addr
	g := startGateway(t, cfg)

	watch := list.nextCall(t)
	watch.line(fullListJSON(41, memberJSON("s-1", draining, "ready")))
	testutil.WaitUntil(t, "the host in the list", func() bool { return g.listed("s-1") })
	if resp, _ := g.send("look", "/api/quick", ""); resp.StatusCode != 200 { // leaves an idle connection
		t.Fatalf("status %d, want 200", resp.StatusCode)
	}
	classes := []string{"look", "book", "report"}
	responses := g.startSlowRequests(classes)
	testutil.WaitUntil(t, "three requests in flight", func() bool { n, _, _ := draining.Counts(); return n == 1+len(classes) })

	close(watch.ended)
	watch = list.nextCall(t)
	if watch.index != "41" {
		t.Errorf("watch from version %s, want 41", watch.index)
	}
	watch.line(fullListJSON(43, memberJSON("s-2", other, "ready")))
	testutil.WaitUntil(t, "the list applied", func() bool { return g.listed("s-2") })
	for range 4 {
		g.expectServed(classes)
	}
	if n, _, _ := draining.Counts(); n != 1+len(classes) {
		t.Errorf("%d requests at the removed host, want the %d from before", n, 1+len(classes))
	}
	releaseSlow()
	for range classes {
		if err := <-responses; err != nil {
			t.Errorf("in flight at the removed host: %v", err)
		}
	}
	testutil.WaitUntil(t, "its connections closed", func() bool { _, opened, ended := draining.Counts(); return opened == ended })

	watch.line(fullListJSON(44, memberJSON("s-1", draining, "ready")))
	testutil.WaitUntil(t, "the list applied", func() bool { return g.listed("s-1") })
	if resp, _ := g.send("look", "/api/quick", ""); resp.StatusCode != 200 {
		t.Errorf("listed again: status %d, want 200", resp.StatusCode)
	}
	if n, _, _ := draining.Counts(); n != 2+len(classes) {
		t.Errorf("listed again: %d requests in all, want %d", n, 2+len(classes))
	}
}

// A silent watch is replaced even during a shutdown, and the new list is applied while clients still use
// their connections.
func TestEndpointListIsAppliedDuringShutdown(t *testing.T) {
	draining, other := testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse)), testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse))
	list := newScriptedDiscovery(t)
	cfg := testConfig()
	cfg.Discovery = list.addr
	g := startGateway(t, cfg)
	watch := list.nextCall(t)
	watch.line(fullListJSON(41, memberJSON("s-1", draining, "ready")))
	testutil.WaitUntil(t, "the host in the list", func() bool { return g.listed("s-1") })
	send, _ := dialClient(t, g)
	if resp, err := send(); err != nil || resp.StatusCode != 200 {
		t.Fatalf("response %v, error %v, want status 200", resp, err)
	}
	watch = list.nextCall(t) // the first one stays silent
	stopped := make(chan struct{})
	go func() { g.Stop(0); close(stopped) }()
	testutil.WaitUntil(t, "the gateway to stop", func() bool { return !g.ready() })
	watch.line(fullListJSON(43, memberJSON("s-1", draining, "draining"), memberJSON("s-2", other, "ready")))
	testutil.WaitUntil(t, "the list applied", func() bool { return g.listed("s-2") && !g.listed("s-1") })
	if resp, err := send(); err != nil || resp.StatusCode != 200 {
		t.Fatalf("response %v, error %v, want status 200", resp, err)
	}
	if n, _, _ := draining.Counts(); n != 1 {
		t.Errorf("%d requests at the draining host, want the 1 from before", n)
	}
	if n, _, _ := other.Counts(); n != 1 {
		t.Errorf("%d requests at the other host, want 1", n)
	}
	<-stopped
}
