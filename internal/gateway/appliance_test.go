package gateway

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"dunemoor/internal/experiment/fakes"
	"dunemoor/internal/testutil"
)

// startStatusAppliance starts a gateway with a plain route for /address, and its host. The host responds with the status in
// the path, or 200 if there is none. The body contains the path, unless the status or the method does not allow a body.
func startStatusAppliance(t *testing.T) (*testAppliance, *testutil.Host) {
	t.Helper()
	host := testutil.NewHost(t, func(c net.Conn, r *http.Request, _ int) bool {
		status, text := 200, "text of "+r.URL.Path
		fmt.Sscanf(r.URL.Path, "/address/%d", &status)
		if r.Method == "HEAD" || status == 204 || status == 304 {
			text = ""
		}
		length := ""
		if status != 204 && status != 304 {
			length = fmt.Sprintf("Content-Length: %d\r\n", len(text))
		}
		fmt.Fprintf(c, "HTTP/1.1 %d X\r\n%sLocation: /elsewhere\r\nX-A: 1\r\nX-A: 2\r\n\r\n%s", status, length, text)
		return true
	})
	g := startAppliance(t, baseConfig+poolConfig("address", "", host.Addr())+routeConfig("address", `
path = "/address"
pool = "address"
class = "lookup"
timeout = "10s"
repeatable = ["PUT"]`))
	return g, host
}

// Requests of plain clients, which send none of the platform's headers, reach the pool of their route, and any status of a
// host is returned unchanged.
func TestPlainClientReachesRoutedPool(t *testing.T) {
	g, _ := startStatusAppliance(t)
	for _, status := range []int{200, 201, 204, 205, 301, 304, 404, 418, 501, 599} {
		resp, text := fetch(t, "GET", fmt.Sprintf("%s/address/%d", g.urls[0], status), "")
		if resp.StatusCode != status || resp.Header.Get("Location") != "/elsewhere" || len(resp.Header["X-A"]) != 2 {
			t.Errorf("host status %d: got %d with headers %v, want the same status with Location and two X-A",
				status, resp.StatusCode, resp.Header)
		}
		if want := fmt.Sprintf("text of /address/%d", status); status != 204 && status != 304 && status != 205 && text != want {
			t.Errorf("host status %d: body %q, want %q", status, text, want)
		}
	}
	if resp, text := fetch(t, "HEAD", g.urls[0]+"/address/x", ""); resp.StatusCode != 200 || text != "" {
		t.Errorf("HEAD: status %d, body %q, want 200 without a body", resp.StatusCode, text)
	}
	if resp, text := fetch(t, "GET", g.urls[0]+"/other", ""); resp.StatusCode != 404 {
		t.Errorf("no route: status %d, body %q, want 404", resp.StatusCode, text)
	}
}

// Hosts receive the target, ID and timeout of a plain client. If the client sends no ID or timeout, the gateway adds them.
// Hop-by-hop headers are not forwarded.
func TestPlainRequestReachesHostWithIDAndTimeout(t *testing.T) {
	g, host := startStatusAppliance(t)
	lastRequest := func() *http.Request {
		host.Mu.Lock()
		defer host.Mu.Unlock()
		return host.Requests[len(host.Requests)-1]
	}
	timeoutOf := func(r *http.Request) (seconds float64) {
		fmt.Sscan(r.Header.Get("X-Timeout"), &seconds)
		return seconds
	}

	fetch(t, "PUT", g.urls[0]+"/address/x?a=%2F%zz", "a body", "X-Request-Id", "mine-1", "X-Timeout", "2.5", "Connection", "X-Hop", "X-Hop", "1")
	got := lastRequest()
	if got.RequestURI != "/address/x?a=%2F%zz" || got.Header.Get("X-Request-Id") != "mine-1" || got.Header.Get("X-Hop") != "" {
		t.Errorf("the host got %s with headers %v, want the target and id of the client and no X-Hop",
			got.RequestURI, got.Header)
	}
	if seconds := timeoutOf(got); seconds <= 1 || seconds > 2.5 {
		t.Errorf("X-Timeout %q at the host, want 1 to 2.5 s", got.Header.Get("X-Timeout"))
	}

	fetch(t, "GET", g.urls[0]+"/address/x", "")
	got = lastRequest()
	if id := got.Header.Get("X-Request-Id"); len(id) != 16 {
		t.Errorf("generated id %q, want 16 characters", id)
	}
	if seconds := timeoutOf(got); seconds <= 5 || seconds > 10 {
		t.Errorf("X-Timeout %q at the host, want 5 to the 10 s of the route", got.Header.Get("X-Timeout"))
	}

	// Plain routes allow repeated IDs, as clients may use them for tracing.
	for range 2 {
		if resp, _ := fetch(t, "GET", g.urls[0]+"/address/x", "", "X-Request-Id", "trace-7"); resp.StatusCode != 200 {
			t.Errorf("repeated id: status %d, want 200", resp.StatusCode)
		}
	}
}

// A request is retried only if both its class and its method allow it.
func TestRetriesNeedIdempotentMethodAndClass(t *testing.T) {
	for _, c := range []struct {
		method, class string
		headers       []string
		want          int // requests at the hosts, which all respond with 500
	}{
		{"GET", "lookup", nil, 4}, {"HEAD", "lookup", nil, 4}, {"OPTIONS", "lookup", nil, 4},
		{"POST", "lookup", nil, 1}, {"PATCH", "lookup", nil, 1}, {"DELETE", "lookup", nil, 1},
		{"PUT", "lookup", nil, 4}, // repeatable on this route
		{"GET", "book", nil, 1}, {"PUT", "book", nil, 1},
		{"POST", "report", nil, 1}, {"POST", "report", []string{"Idempotency-Key", "k"}, 2},
	} {
		var hosts []string
		var list []*testutil.Host
		for range 6 {
			h := testutil.NewHost(t, testutil.RespondWith(testutil.ErrorResponse))
			list = append(list, h)
			hosts = append(hosts, h.Addr())
		}
		requests := func() (n int) {
			for _, h := range list {
				k, _, _ := h.Counts()
				n += k
			}
			return n
		}
		g := startAppliance(t, baseConfig+poolConfig("p", "", hosts...)+routeConfig("r", `
pool = "p"
repeatable = ["PUT"]
retry_share = 3.0
retry_floor = 100.0
class = "`+c.class+`"`))
		if resp, _ := fetch(t, c.method, g.urls[0]+"/", "", c.headers...); resp.StatusCode != 500 {
			t.Errorf("%s of class %s: status %d, want the 500 of the hosts", c.method, c.class, resp.StatusCode)
		}
		n := requests()
		if c.want == 2 && n < 2 || c.want != 2 && n != c.want {
			t.Errorf("%s of class %s: %d attempts, want %d", c.method, c.class, n, c.want)
		}
		g.Close()
	}
}

// An ambiguous target is rejected with 400 on any route. Other targets reach the host unchanged.
func TestAmbiguousTargetsAreRejected(t *testing.T) {
	host := testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse))
	secret := testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse))
	g := startAppliance(t, baseConfig+poolConfig("open", "", host.Addr())+poolConfig("secret", "", secret.Addr())+
		routeConfig("all", "pool = \"open\"\nclass = \"lookup\"\nhosts = [\"h.org\"]")+
		routeConfig("secret", "pool = \"secret\"\nclass = \"lookup\"\npath = \"/secret\"\nhosts = [\"h.org\"]"))
	addr := strings.TrimPrefix(g.urls[0], "http://")
	for _, c := range []struct {
		target, host string
		want         int
	}{
		{"/a", "h.org", 200}, {"/a", "H.Org.:8080", 200}, {"http://h.org/a", "h.org", 200}, {"/%61?x=/../", "h.org", 200},
		{"/a", "other.org", 404}, {"http://other.org/a", "h.org", 400}, {"/open/../secret", "h.org", 400},
		{"/open/%2e%2e/secret", "h.org", 400}, {"/open/..;/secret", "h.org", 400}, {"/open%2Fx", "h.org", 400}, {"//secret", "h.org", 400},
		{"/a\\b", "h.org", 400}, {"/secre%74/x", "h.org", 200},
	} {
		before, _, _ := host.Counts()
		beforeSecret, _, _ := secret.Counts()
		nc, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(nc, "GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", c.target, c.host)
		resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
		nc.Close()
		if err != nil || resp.StatusCode != c.want {
			t.Errorf("%s at %s: response %v, error %v, want %d", c.target, c.host, resp, err, c.want)
			continue
		}
		n, _, _ := host.Counts()
		m, _, _ := secret.Counts()
		if got := n - before + m - beforeSecret; got != c.want/200%2 {
			t.Errorf("%s at %s: %d requests at the hosts, want %d", c.target, c.host, got, c.want/200%2)
		}
		if strings.HasPrefix(c.target, "/secre") != (m > beforeSecret) {
			t.Errorf("%s at %s: sent to the wrong pool", c.target, c.host)
		}
	}
	host.Mu.Lock()
	defer host.Mu.Unlock()
	if got := host.Requests[3].RequestURI; got != "/%61?x=/../" {
		t.Errorf("target %q at the host, want it unchanged", got)
	}
}

// Three services with two pools each are under load while the nodes of one pool crash, those of another
// reset connections, and the file is reloaded several times. No non-idempotent request runs twice, every
// request gets a response, and most are served.
func TestServicesUnderFaultsAndReloads(t *testing.T) {
	text, changedText := baseConfig, baseConfig
	var services []*testService
	for _, name := range []string{"calendar", "address", "remind"} {
		s := startTestService(t, name)
		services = append(services, s)
		text += s.config()
		changedText += s.config() + routeConfig(name+"-more", "path = \"/"+name+"/more\"\npool = \""+name+"-old\"\nclass = \"lookup\"")
	}
	g := startAppliance(t, text)
	var loads sync.WaitGroup
	for i, s := range services {
		loads.Go(func() {
			if err := s.load(g.urls[0], uint64(i+1)).Run(context.Background(), s.ledger); err != nil {
				t.Error(err)
			}
		})
	}
	services[0].waitServed(t, 50)
	for _, n := range services[0].primary.Nodes {
		n.Crash() // all nodes of the first pool
	}
	resetting := healthyHost
	resetting.Mode = fakes.ResetAt
	resetting.Share = 0.3
	services[1].primary.Nodes[0].Behave(resetting)
	for round := range 6 {
		next := text
		if round%2 == 0 {
			next = changedText
		}
		if err := g.Reload(t.Context(), mustParse(t, next)); err != nil {
			t.Fatal(err)
		}
		services[2].waitServed(t, 60*(round+1))
	}
	for _, n := range services[0].primary.Nodes {
		if err := n.Start(); err != nil {
			t.Fatal(err)
		}
	}
	loads.Wait()
	for _, s := range services {
		s.check(t)
	}
}

// healthyHost is the initial behaviour of the hosts of a testService.
var healthyHost = fakes.Behaviour{Work: 2 * time.Millisecond, Cores: 8}

// testService is a service with a primary pool and a fallback pool.
type testService struct {
	name              string
	ledger            *fakes.Ledger
	primary, fallback *fakes.Fleet
}

func startTestService(t *testing.T, name string) *testService {
	t.Helper()
	s := &testService{name: name, ledger: fakes.NewLedger()}
	for i, fleet := range []**fakes.Fleet{&s.primary, &s.fallback} {
		var err error
		if *fleet, err = fakes.StartService(fmt.Sprint(name, i), 4, uint64(i), healthyHost, s.ledger); err != nil {
			t.Fatal(err)
		}
		t.Cleanup((*fleet).Close)
	}
	return s
}

// config returns the configuration of the pools and the route of the service.
func (s *testService) config() string {
	return poolConfig(s.name, "fallback = [\""+s.name+"-old\"]", s.primary.Addrs()...) +
		poolConfig(s.name+"-old", "", s.fallback.Addrs()...) +
		routeConfig(s.name, "path = \"/"+s.name+"\"\npool = \""+s.name+"\"")
}

// load returns the load of the clients of the service.
func (s *testService) load(url string, seed uint64) *fakes.Load {
	classes := fakes.DefaultClasses()
	for i := range classes {
		classes[i].Path = "/" + s.name + "/x"
		classes[i].Timeout = 20 * time.Second
	}
	return &fakes.Load{URL: url, Rate: 100, Count: 500, Classes: classes, Seed: seed, Retries: 2}
}

// waitServed waits until n requests of the service are served.
func (s *testService) waitServed(t *testing.T, n int) {
	t.Helper()
	testutil.WaitUntil(t, "enough requests served", func() bool {
		return s.ledger.Count().Outcomes[fakes.Served] >= n
	})
}

// check checks that the ledger has no violations, and that at least 85% of the requests were served.
func (s *testService) check(t *testing.T) {
	t.Helper()
	c := s.ledger.Count()
	if violations := c.Violations(); violations != "" {
		t.Errorf("%s: violations %s, want none; ran twice %v, rejected after execution %v",
			s.name, violations, c.RanTwice, c.RejectedAfterExecution)
	}
	if c.Outcomes[fakes.Served]*100 < 85*c.Requests {
		t.Errorf("%s: outcomes of %d requests %v, want 85%% or more served", s.name, c.Requests, c.Outcomes)
	}
	t.Logf("%s: outcomes of %d requests %v", s.name, c.Requests, c.Outcomes)
}

// While discovery is down at the start, requests to the pool are rejected immediately, and the health
// check names the pool. The pool serves requests as soon as discovery has sent a list.
func TestPoolServesOnceDiscoveryIsReachable(t *testing.T) {
	fleet, err := fakes.StartService("s", 3, 3, fakes.Behaviour{}, fakes.NewLedger())
	if err != nil {
		t.Fatal(err)
	}
	defer fleet.Close()
	static := testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse))
	ln := testutil.Listen(t, "127.0.0.1:0", nil)
	addr := ln.Addr().String()
	ln.Close()
	g := startAppliance(t, baseConfig+"[[pool]]\nname = \"polled\"\ndiscovery = \""+addr+"\"\n"+poolConfig("static", "", static.Addr())+
		routeConfig("r", "path = \"/polled\"\npool = \"polled\"\nclass = \"lookup\"")+routeConfig("s", "pool = \"static\"\nclass = \"lookup\""))
	began := time.Now()
	resp, _ := fetch(t, "GET", g.urls[0]+"/polled", "")
	if resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" || strings.Contains(resp.Header.Get("Retry-After"), ".") {
		t.Errorf("status %d, Retry-After %q, want 503 with whole seconds",
			resp.StatusCode, resp.Header.Get("Retry-After"))
	}
	if took := time.Since(began); took > testutil.WaitTimeout/4 {
		t.Errorf("rejected after %v, want at most %v", took, testutil.WaitTimeout/4)
	}
	if resp, text := fetch(t, "GET", g.urls[0]+"/_health", ""); resp.StatusCode != 200 || !strings.Contains(text, "pool polled: no host") {
		t.Errorf("health: status %d, body %q, want 200 that names pool polled", resp.StatusCode, text)
	}
	if resp, _ := fetch(t, "GET", g.urls[0]+"/else", ""); resp.StatusCode != 200 {
		t.Errorf("the other service: status %d, want 200", resp.StatusCode)
	}
	disco, err := net.Listen("tcp", addr)
	if err != nil {
		t.Skip("the address is in use:", err)
	}
	defer disco.Close()
	go http.Serve(disco, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		m := fleet.Nodes[0]
		fmt.Fprintf(w, "{\"version\":1,\"full\":true,\"servers\":[{\"id\":%q,\"addr\":%q,\"state\":\"ready\"}]}\n", m.Name, m.Addr())
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	testutil.WaitUntil(t, "the pool to serve", func() bool {
		resp, _ := fetch(t, "GET", g.urls[0]+"/polled", "")
		return resp.StatusCode == 200
	})
	if _, text := fetch(t, "GET", g.urls[0]+"/_health", ""); text != "ok\n" {
		t.Errorf("health: body %q, want ok", text)
	}
}
