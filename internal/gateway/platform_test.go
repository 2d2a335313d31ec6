package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/discovery"
	"dunemoor/internal/frontend"
	"dunemoor/internal/testutil"
)

// A host receives the request as the client sent it, except that X-Timeout has the remaining time.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	server := testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse))
	g := startGateway(t, testConfig(server))
	paths := []string{"/api/a%2Fb//c/../d/?q=1&q=%20&", "//api/x", "/api/?", "/api/%7e~;a=b|"}
	for i, path := range paths {
		c := dialURL(t, g.url)
		fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: id-%d\r\nX-Priority-Class: report\r\n"+
			"Idempotency-Key: key-1\r\nX-Timeout: 30\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody", path, i)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		if text, _ := io.ReadAll(resp.Body); resp.StatusCode != 200 || string(text) != "good" {
			t.Errorf("%s: status %d, body %q, want 200 and body good", path, resp.StatusCode, text)
		}
		c.Close()
	}
	server.Mu.Lock()
	defer server.Mu.Unlock()
	for i, r := range server.Requests {
		if r.RequestURI != paths[i] || r.Method != "POST" || server.Bodies[i] != "body" || r.Host != "service.internal" {
			t.Errorf("request %s %s %s with body %q at the host, want POST with path %s",
				r.Method, r.Host, r.RequestURI, server.Bodies[i], paths[i])
		}
		if r.Header.Get("X-Request-ID") != fmt.Sprint("id-", i) || r.Header.Get("Idempotency-Key") != "key-1" {
			t.Errorf("headers %v at the host, want id and key of the client", r.Header)
		}
		var left float64
		if _, err := fmt.Sscan(r.Header.Get("X-Timeout"), &left); err != nil || left <= 0 || left >= 30 {
			t.Errorf("X-Timeout %q at the host, want below 30 s", r.Header.Get("X-Timeout"))
		}
	}
}

func TestInvalidRequestsReachNoHost(t *testing.T) {
	server := testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse))
	g := startGateway(t, testConfig(server))
	long := strings.Repeat("x", frontend.MaxBodyBytes+1)
	for _, tt := range []struct {
		name, class, body string
		headers           []string
		want              int
	}{
		{"unknown class", "other", "b", nil, 400},
		{"no key", "report", "b", []string{"Idempotency-Key", ""}, 400},
		{"malformed timeout", "book", "b", []string{"X-Timeout", "soon"}, 400},
	} {
		if resp, _ := g.send(tt.class, "/api/1", tt.body, tt.headers...); resp.StatusCode != tt.want {
			t.Errorf("%s: status %d, want %d", tt.name, resp.StatusCode, tt.want)
		}
	}
	// Only the beginning of a too long body is sent, as a client that continues to send may get a connection
	// error before it reads the response.
	resp, _, err := g.sendRaw("book", fmt.Sprintf("Content-Length: %d\r\n", len(long)), []byte(long[:1000]), 1000)
	if err != nil || resp.StatusCode != 413 {
		t.Errorf("too long body: response %v, error %v, want 413", resp, err)
	}
	if resp, _ := g.send("book", "/api/1", long[1:]); resp.StatusCode != 200 {
		t.Errorf("longest body: status %d, want 200", resp.StatusCode)
	}
	if requests, _, _ := server.Counts(); requests != 1 {
		t.Errorf("%d requests at the host, want 1 with the longest body", requests)
	}
}

// A non-idempotent request is retried only if it is proven that it did not run.
func TestNonIdempotentRequestRunsOnce(t *testing.T) {
	for _, tt := range []struct {
		name     string
		first    func(net.Conn, *http.Request, int) bool
		status   int
		requests int
	}{
		{"500", testutil.RespondWith(testutil.ErrorResponse), 502, 1},
		{"reset", testutil.ResetConnection, 502, 1},
		{"rejected", func(c net.Conn, r *http.Request, n int) bool {
			io.WriteString(c, []string{testutil.RejectedResponse, testutil.OKResponse}[min(n, 1)])
			return true
		}, 200, 2},
	} {
		server := testutil.NewHost(t, tt.first)
		g := startGateway(t, testConfig(server))
		if resp, _ := g.send("book", "/api/1", "b", "Idempotency-Key", "a client's own"); resp.StatusCode != tt.status {
			t.Errorf("%s: status %d, want %d", tt.name, resp.StatusCode, tt.status)
		}
		if requests, _, _ := server.Counts(); requests != tt.requests {
			t.Errorf("%s: %d requests at the host, want %d", tt.name, requests, tt.requests)
		}
	}
}

// An idempotent request that failed is retried, up to 4 attempts.
func TestIdempotentRequestIsRetriedUpToMaxAttempts(t *testing.T) {
	server := testutil.NewHost(t, testutil.RespondWith(testutil.ErrorResponse))
	g := startGateway(t, testConfig(server))
	if resp, _ := g.send("look", "/api/1", ""); resp.StatusCode != 503 {
		t.Errorf("status %d, want 503, as a retry is harmless", resp.StatusCode)
	} else if resp.Header.Get("Retry-After") == "" {
		t.Error("rejection without Retry-After, want one")
	}
	if requests, _, _ := server.Counts(); requests != 4 {
		t.Errorf("%d attempts, want 4", requests)
	}
}

// When the client disconnects, the attempt is canceled and the request removed from the pool.
func TestClientGoneCancelsAttempt(t *testing.T) {
	server := testutil.NewHost(t, testutil.NeverRespond)
	g := startGateway(t, testConfig(server))
	for _, text := range []string{
		"GET /api/1 HTTP/1.1\r\nHost: a\r\nX-Priority-Class: look\r\nX-Timeout: 60\r\nX-Request-ID: " + testutil.NewID() + "\r\n\r\n",
		"POST /api/1 HTTP/1.1\r\nHost: a\r\nX-Priority-Class: book\r\nX-Timeout: 60\r\nX-Request-ID: " + testutil.NewID() + "\r\nContent-Length: 4\r\n\r\nbody",
	} {
		before, _, _ := server.Counts()
		c := dialURL(t, g.url)
		io.WriteString(c, text)
		testutil.WaitUntil(t, "the request at the host", func() bool {
			requests, _, _ := server.Counts()
			return requests == before+1
		})
		c.Close()
		testutil.WaitUntil(t, "the connection to the host closed", func() bool {
			_, accepted, ended := server.Counts()
			return accepted == ended
		})
		testutil.WaitUntil(t, "the request removed from the pool", func() bool { return g.openRequests() == 0 })
		if requests, _, _ := server.Counts(); requests != before+1 {
			t.Errorf("%d requests at the host, want %d: no retry without a client", requests, before+1)
		}
	}
}

// X-Timeout sets the deadline of a request, not the class deadline, which is a minute here.
func TestDeadlineComesFromTimeoutHeader(t *testing.T) {
	server := testutil.NewHost(t, testutil.NeverRespond)
	g := startGateway(t, testConfig(server))
	resp, _ := g.send("book", "/api/1", "b", "X-Timeout", "0.3")
	if requests, _, _ := server.Counts(); requests == 1 && resp.StatusCode != 502 || requests > 1 {
		t.Errorf("%d requests at the host, status %d, want at most one and a 502 for it", requests, resp.StatusCode)
	}
	testutil.WaitUntil(t, "the connection to the host closed", func() bool {
		_, accepted, ended := server.Counts()
		return accepted == ended
	})
	testutil.WaitUntil(t, "the request removed from the pool", func() bool { return g.openRequests() == 0 })
}

// The health check succeeds only while there are hosts, and fails during a shutdown.
func TestHealthReflectsHostsAndShutdown(t *testing.T) {
	g := startGateway(t, testConfig())
	get := func() int { resp, _ := g.send("look", "/_health", ""); return resp.StatusCode }
	if status := get(); status != 503 {
		t.Errorf("health without hosts: status %d, want 503", status)
	}
	g.pool.UpdateEndpoints(balancer.ListChanges, discovery.MemberList{Servers: []discovery.Member{{ID: "s-1", Addr: "127.0.0.1:1", State: "ready"}}})
	testutil.WaitUntil(t, "the health check to succeed with a host", func() bool { return get() == 200 })
	g.pool.UpdateEndpoints(balancer.ListChanges, discovery.MemberList{Servers: []discovery.Member{{ID: "s-1", Addr: "127.0.0.1:1", State: "draining"}}})
	testutil.WaitUntil(t, "the health check to fail with the last host draining", func() bool { return get() == 503 })
	g.admission.Stop(time.Now().Add(time.Minute))
	g.pool.UpdateEndpoints(balancer.ListChanges, discovery.MemberList{Servers: []discovery.Member{{ID: "s-1", Addr: "127.0.0.1:1", State: "ready"}}})
	if status := get(); status != 503 {
		t.Errorf("health during a shutdown: status %d, want 503", status)
	}
}

// No request is sent to a host that is draining or gone in the endpoint list, nor to the previous address of
// a host.
func TestEndpointListChangesAreApplied(t *testing.T) {
	first, second := testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse)), testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse))
	g := startGateway(t, testConfig(first, second))
	member := func(id string, h *testutil.Host, state string) discovery.Member {
		return discovery.Member{ID: id, Addr: h.Addr(), State: state}
	}
	expectAllAt := func(what string, kind balancer.ListKind, want *testutil.Host, list ...discovery.Member) {
		g.pool.UpdateEndpoints(kind, discovery.MemberList{Servers: list})
		a, _, _ := first.Counts()
		b, _, _ := second.Counts()
		for range 8 {
			if resp, _ := g.send("look", "/api/1", ""); resp.StatusCode != 200 {
				t.Errorf("%s: status %d, want 200", what, resp.StatusCode)
			}
		}
		x, _, _ := first.Counts()
		y, _, _ := second.Counts()
		if x-a > 0 && want != first || y-b > 0 && want != second {
			t.Errorf("%s: %d and %d requests, want all at the same host", what, x-a, y-b)
		}
	}
	expectAllAt("draining", balancer.ListChanges, second, member("s-0", first, "draining"))
	expectAllAt("unknown state", balancer.ListChanges, first, member("s-1", second, "asleep"), member("s-0", first, "ready"))
	expectAllAt("gone", balancer.ListChanges, second, member("s-0", first, "gone"), member("s-1", second, "ready"))
	expectAllAt("absent from a full list", balancer.ListFull, first, member("s-0", first, "ready"))
	expectAllAt("moved", balancer.ListChanges, second, member("s-0", second, "ready"))
}
