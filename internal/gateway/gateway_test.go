package gateway

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lynxspool"
	"lynxspool/internal/discovery"
)

// testGateway is a gateway in this process, on loopback.
type testGateway struct {
	*testing.T
	cfg    *Config
	loop   *Loop
	server *Server
	url    string
	stop   context.CancelFunc
}

// testConfig knows the hosts and has one class of each effect.
func testConfig(hosts ...*testHost) *Config {
	second := time.Second
	cfg := &Config{
		Sockets: 1024, ConnIdle: time.Minute, DialTimeout: patience, Seed: 7,
		Classes: map[string]int{"look": 0, "book": 1, "report": 2},
		Zones:   map[string]int{}, Kinds: map[string]int{},
		Settings: lynxspool.Settings{
			Instances: 1, MaxAttempts: 4, Cancel: true, MaxRetryAfter: second, Step: 5 * time.Millisecond,
			Classes: []lynxspool.Class{
				{Aim: 10 * second, Deadline: 60 * second},
				{Aim: 10 * second, Deadline: 60 * second, Effect: lynxspool.Unsafe},
				{Aim: 10 * second, Deadline: 60 * second, Effect: lynxspool.Keyed, Window: 30 * second},
			},
		},
	}
	for i, h := range hosts {
		cfg.Known.Servers = append(cfg.Known.Servers, discovery.Member{ID: fmt.Sprint("s-", i), Addr: h.addr(), State: "ready"})
	}
	return cfg
}

// startGateway starts one; each of before is called with its loop before that runs.
func startGateway(t *testing.T, cfg *Config, before ...func(*Loop)) *testGateway {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	pool := NewPool(cfg)
	loop, err := NewLoop(cfg, pool, func() {})
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range before {
		f(loop)
	}
	g := &testGateway{T: t, cfg: cfg, loop: loop, server: NewServer(cfg, loop), stop: cancel}
	ln := listen(t, "127.0.0.1:0", nil)
	g.url = "http://" + ln.Addr().String()
	go pool.Run(ctx)
	go loop.Run(ctx)
	g.server.Listen(ln)
	go g.server.Serve()
	loop.Members(lynxspool.ListSaved, cfg.Known)
	t.Cleanup(func() {
		g.server.http.Close()
		cancel()
		<-loop.done
	})
	return g
}

var lastID atomic.Int64

// newID is an id that no request here has had.
func newID() string { return fmt.Sprintf("%016x", lastID.Add(1)) }

// ask sends a request and returns the status and body of its answer.
func (g *testGateway) ask(class, path, body string, headers ...string) (*http.Response, string) {
	g.Helper()
	method := http.MethodPost
	if class == "look" {
		method = http.MethodGet
	}
	r, err := http.NewRequest(method, g.url+path, strings.NewReader(body))
	if err != nil {
		g.Fatal(err)
	}
	r.Header.Set("X-Priority-Class", class)
	r.Header.Set("X-Request-ID", newID())
	r.Header.Set("X-Timeout", "60")
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: patience}).Do(r)
	if err != nil {
		g.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		g.Fatal(err)
	}
	return resp, string(text)
}

func (g *testGateway) openRequests() int {
	n := make(chan int, 1)
	g.loop.post(func(lynxspool.Time) { n <- len(g.loop.open) })
	return <-n
}

// A host must get the request as the client sent it.
func TestRequestGoesOnUnchanged(t *testing.T) {
	server := newHost(t, says(good))
	g := startGateway(t, testConfig(server))
	paths := []string{"/api/a%2Fb//c/../d/?q=1&q=%20&", "//api/x", "/api/?", "/api/%7e~;a=b|"}
	for i, path := range paths {
		c, err := net.Dial("tcp", strings.TrimPrefix(g.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: id-%d\r\nX-Priority-Class: report\r\n"+
			"Idempotency-Key: key-1\r\nX-Timeout: 30\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody", path, i)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		if text, _ := io.ReadAll(resp.Body); resp.StatusCode != 200 || string(text) != "good" {
			t.Errorf("%s: answer %d %q", path, resp.StatusCode, text)
		}
		c.Close()
	}
	server.mu.Lock()
	defer server.mu.Unlock()
	for i, r := range server.requests {
		if r.RequestURI != paths[i] || r.Method != "POST" || server.bodies[i] != "body" || r.Host != "service.internal" {
			t.Errorf("the host got %s %s %s %q, want the path %s", r.Method, r.Host, r.RequestURI, server.bodies[i], paths[i])
		}
		if r.Header.Get("X-Request-ID") != fmt.Sprint("id-", i) || r.Header.Get("Idempotency-Key") != "key-1" {
			t.Errorf("the host got the headers %v", r.Header)
		}
		var left float64
		if _, err := fmt.Sscan(r.Header.Get("X-Timeout"), &left); err != nil || left <= 0 || left >= 30 {
			t.Errorf("the host was told %q of 30 s left", r.Header.Get("X-Timeout"))
		}
	}
}

func TestBadRequestsReachNoHost(t *testing.T) {
	server := newHost(t, says(good))
	g := startGateway(t, testConfig(server))
	long := strings.Repeat("x", maxBody+1)
	for _, tt := range []struct {
		name, class, body string
		headers           []string
		want              int
	}{
		{"unknown class", "other", "b", nil, 400},
		{"no key", "report", "b", []string{"Idempotency-Key", ""}, 400},
		{"odd time-out", "book", "b", []string{"X-Timeout", "soon"}, 400},
		{"oversize", "book", long, nil, 413},
	} {
		if resp, _ := g.ask(tt.class, "/api/1", tt.body, tt.headers...); resp.StatusCode != tt.want {
			t.Errorf("%s: status %d, want %d", tt.name, resp.StatusCode, tt.want)
		}
	}
	if resp, _ := g.ask("book", "/api/1", long[1:]); resp.StatusCode != 200 {
		t.Errorf("the longest body: status %d", resp.StatusCode)
	}
	if requests, _, _ := server.counts(); requests != 1 {
		t.Errorf("the host got %d requests, want that with the longest body alone", requests)
	}
}

// An unsafe request runs once: it goes out again only after a proof that it did not.
func TestUnsafeRequestRunsOnce(t *testing.T) {
	for _, tt := range []struct {
		name     string
		first    func(net.Conn, *http.Request, int) bool
		status   int
		requests int
	}{
		{"500", says(errored), 502, 1},
		{"reset", breakOff, 502, 1},
		{"turned away", func(c net.Conn, r *http.Request, n int) bool {
			io.WriteString(c, []string{turnedAway, good}[min(n, 1)])
			return true
		}, 200, 2},
	} {
		server := newHost(t, tt.first)
		g := startGateway(t, testConfig(server))
		if resp, _ := g.ask("book", "/api/1", "b", "Idempotency-Key", "a client's own"); resp.StatusCode != tt.status {
			t.Errorf("%s: status %d, want %d", tt.name, resp.StatusCode, tt.status)
		}
		if requests, _, _ := server.counts(); requests != tt.requests {
			t.Errorf("%s: the host got %d requests, want %d", tt.name, requests, tt.requests)
		}
	}
}

// A safe request that failed is tried again; 4 attempts are the most.
func TestSafeRequestIsTriedAgain(t *testing.T) {
	server := newHost(t, says(errored))
	g := startGateway(t, testConfig(server))
	if resp, _ := g.ask("look", "/api/1", ""); resp.StatusCode != 503 {
		t.Errorf("status %d, want a refusal, as trying again is harmless", resp.StatusCode)
	} else if resp.Header.Get("Retry-After") == "" {
		t.Error("the refusal does not tell when to come back")
	}
	if requests, _, _ := server.counts(); requests != 4 {
		t.Errorf("%d attempts, want 4", requests)
	}
}

// When the client has gone, the attempt is called off and the request forgotten.
func TestClientGone(t *testing.T) {
	server := newHost(t, hang)
	g := startGateway(t, testConfig(server))
	for _, head := range []string{
		"GET /api/1 HTTP/1.1\r\nHost: a\r\nX-Priority-Class: look\r\nX-Timeout: 60\r\nX-Request-ID: " + newID() + "\r\n\r\n",
		"POST /api/1 HTTP/1.1\r\nHost: a\r\nX-Priority-Class: book\r\nX-Timeout: 60\r\nX-Request-ID: " + newID() + "\r\nContent-Length: 4\r\n\r\nbody",
	} {
		before, _, _ := server.counts()
		c, err := net.Dial("tcp", strings.TrimPrefix(g.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(c, head)
		until(t, "the host has the request", func() bool {
			requests, _, _ := server.counts()
			return requests == before+1
		})
		c.Close()
		until(t, "the host sees its connection end", func() bool {
			_, accepted, ended := server.counts()
			return accepted == ended
		})
		until(t, "the request is forgotten", func() bool { return g.openRequests() == 0 })
		if requests, _, _ := server.counts(); requests != before+1 {
			t.Error("it went out again with nobody waiting")
		}
	}
}

// X-Timeout, not the deadline of the class (a minute here), says when to answer.
func TestDeadline(t *testing.T) {
	server := newHost(t, hang)
	g := startGateway(t, testConfig(server))
	resp, _ := g.ask("book", "/api/1", "b", "X-Timeout", "0.3")
	if requests, _, _ := server.counts(); requests == 1 && resp.StatusCode != 502 || requests > 1 {
		t.Errorf("%d requests at the host, status %d", requests, resp.StatusCode)
	}
	until(t, "the host sees its connection end", func() bool {
		_, accepted, ended := server.counts()
		return accepted == ended
	})
	until(t, "the request is forgotten", func() bool { return g.openRequests() == 0 })
}

// The client has its one answer in time even if the loop is stuck.
func TestAnswerWhenTheLoopIsLate(t *testing.T) {
	server := newHost(t, says(good))
	g := startGateway(t, testConfig(server))
	stuck := make(chan struct{})
	release := sync.OnceFunc(func() { close(stuck) })
	t.Cleanup(release) // with no answer the test ends here, and the gateway waits for its loop
	g.loop.post(func(lynxspool.Time) { <-stuck })
	resp, _ := g.ask("look", "/api/1", "", "X-Timeout", "0.2")
	if resp.StatusCode != 502 {
		t.Errorf("status %d, want a failure", resp.StatusCode)
	}
	release()
	until(t, "the request is forgotten", func() bool { return g.openRequests() == 0 })
	if requests, _, _ := server.counts(); requests != 0 {
		t.Error("it went out after its answer")
	}
}

// A front may send clients only when there are hosts to serve them.
func TestHealth(t *testing.T) {
	g := startGateway(t, testConfig())
	get := func() int { resp, _ := g.ask("look", "/_health", ""); return resp.StatusCode }
	if status := get(); status != 503 {
		t.Errorf("with no hosts: status %d", status)
	}
	g.loop.Members(lynxspool.ListChanges, discovery.MemberList{Servers: []discovery.Member{{ID: "s-1", Addr: "127.0.0.1:1", State: "ready"}}})
	until(t, "health is good with a host", func() bool { return get() == 200 })
	g.loop.Members(lynxspool.ListChanges, discovery.MemberList{Servers: []discovery.Member{{ID: "s-1", Addr: "127.0.0.1:1", State: "draining"}}})
	until(t, "health is bad with the last host draining", func() bool { return get() == 503 })
	g.server.stopping.Store(true)
	g.loop.Members(lynxspool.ListChanges, discovery.MemberList{Servers: []discovery.Member{{ID: "s-1", Addr: "127.0.0.1:1", State: "ready"}}})
	if status := get(); status != 503 {
		t.Errorf("while stopping: status %d", status)
	}
}

// Nothing new goes to a host that the list calls draining or gone, nor to its old
// address when it has moved.
func TestListIsFollowed(t *testing.T) {
	first, second := newHost(t, says(good)), newHost(t, says(good))
	g := startGateway(t, testConfig(first, second))
	member := func(id string, h *testHost, state string) discovery.Member {
		return discovery.Member{ID: id, Addr: h.addr(), State: state}
	}
	asks := func(what string, kind lynxspool.ListKind, want *testHost, list ...discovery.Member) {
		g.loop.Members(kind, discovery.MemberList{Servers: list})
		a, _, _ := first.counts()
		b, _, _ := second.counts()
		for range 8 {
			if resp, _ := g.ask("look", "/api/1", ""); resp.StatusCode != 200 {
				t.Errorf("%s: status %d", what, resp.StatusCode)
			}
		}
		x, _, _ := first.counts()
		y, _, _ := second.counts()
		if x-a > 0 && want != first || y-b > 0 && want != second {
			t.Errorf("%s: %d and %d requests", what, x-a, y-b)
		}
	}
	asks("draining", lynxspool.ListChanges, second, member("s-0", first, "draining"))
	asks("a state unheard of", lynxspool.ListChanges, first, member("s-1", second, "asleep"), member("s-0", first, "ready"))
	asks("gone", lynxspool.ListChanges, second, member("s-0", first, "gone"), member("s-1", second, "ready"))
	asks("absent from a full list", lynxspool.ListFull, first, member("s-0", first, "ready"))
	asks("moved", lynxspool.ListChanges, second, member("s-0", second, "ready"))
}

// Ids must map alike at every gateway and after a restart, and apart from one another.
func TestHostIDs(t *testing.T) {
	seen := map[lynxspool.HostID]string{}
	for i := range 1000 {
		id := fmt.Sprintf("s-%08x", i)
		if hostID(id) != hostID(strings.Clone(id)) || seen[hostID(id)] != "" {
			t.Fatalf("%s maps to %x, as does %q", id, hostID(id), seen[hostID(id)])
		}
		seen[hostID(id)] = id
	}
	// FNV-1a of "a" as its authors publish it: another build must agree.
	if got := hostID("a"); got != 0xaf63dc4c8601ec8c {
		t.Errorf("%x is not the published hash", got)
	}
}

// started_ms is Unix time, and the module's clock must agree with it.
func TestStartTimesAreOnTheModulesClock(t *testing.T) {
	c := clock{time.Now()}
	at := time.Now().Add(-3 * time.Second)
	started := lynxspool.Time(at.UnixMilli()) * lynxspool.Time(time.Millisecond)
	if off := c.at(at) - started; off < 0 || off >= time.Millisecond {
		t.Errorf("a host started 3 s ago is %v off", off)
	}
	if got := c.time(c.at(at)); !got.Equal(at) {
		t.Errorf("%v became %v", at, got)
	}
}

// garbled is a line that cannot be read.
const garbled = "no list"

// watchServer is discovery on a loopback socket: what is sent on lines goes to the
// watch that is on; an empty string ends it.
type watchServer struct {
	*httptest.Server
	lines chan string
	mu    sync.Mutex
	index []string // as asked for
}

func newWatchServer(t *testing.T) *watchServer {
	s := &watchServer{lines: make(chan string)}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.index = append(s.index, r.URL.Path+" "+r.FormValue("stream")+" "+r.FormValue("index"))
		s.mu.Unlock()
		w.(http.Flusher).Flush()
		for {
			select {
			case line := <-s.lines:
				if line == "" {
					return
				}
				fmt.Fprintln(w, line)
				w.(http.Flusher).Flush()
				if line == garbled {
					return
				}
			case <-r.Context().Done():
				return
			}
		}
	}))
	t.Cleanup(s.CloseClientConnections)
	return s
}

// A watch that ends is begun anew from the version told last; a line that cannot be
// read has lost something, so that the whole list is asked for.
func TestWatchLost(t *testing.T) {
	first, second := newHost(t, says(good)), newHost(t, says(good))
	cfg := testConfig(first)
	cfg.Known.Version = 41
	disco := newWatchServer(t)
	cfg.Discovery = strings.TrimPrefix(disco.URL, "http://")
	g := startGateway(t, cfg)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		discovery.NewWatcher(cfg.Discovery, cfg.Settings.Ask, cfg.Known.Version).Run(ctx, g.loop)
		close(done)
	}()
	t.Cleanup(func() { cancel(); <-done })
	tell := func(version int, full bool, m ...discovery.Member) {
		var list []string
		for _, m := range m {
			list = append(list, fmt.Sprintf(`{"id":%q,"addr":%q,"zone":"a","kind":"m2","cell":3,"state":%q,"weight":1.0,"started_ms":0}`,
				m.ID, m.Addr, m.State))
		}
		disco.lines <- fmt.Sprintf(`{"version":%d,"full":%t,"servers":[%s]}`, version, full, strings.Join(list, ","))
	}
	reaches := func(what string, h *testHost) {
		before, _, _ := h.counts()
		until(t, what, func() bool {
			g.ask("look", "/api/1", "")
			n, _, _ := h.counts()
			return n > before
		})
	}
	tell(42, false, discovery.Member{ID: "s-1", Addr: second.addr(), State: "ready"})
	reaches("a host among the changes is used", second)
	disco.lines <- ""
	tell(43, false, discovery.Member{ID: "s-1", Addr: second.addr(), State: "gone"})
	reaches("the host that stays is used", first)
	disco.lines <- garbled
	tell(44, true, discovery.Member{ID: "s-1", Addr: second.addr(), State: "ready"})
	reaches("the host of the whole list is used", second)
	disco.mu.Lock()
	defer disco.mu.Unlock()
	if got, want := strings.Join(disco.index, ", "), discovery.PathMembers+" 1 41, "+discovery.PathMembers+" 1 42, "+discovery.PathMembers+" 1 0"; got != want {
		t.Errorf("watches of %s, want %s", got, want)
	}
}

// A watch on which nothing comes, not even an empty line, is begun anew: discovery
// may have gone without a word.
func TestSilentWatch(t *testing.T) {
	cfg := testConfig()
	disco := newWatchServer(t)
	cfg.Discovery = strings.TrimPrefix(disco.URL, "http://")
	g := startGateway(t, cfg)
	d := discovery.NewWatcher(cfg.Discovery, cfg.Settings.Ask, cfg.Known.Version)
	d.Silence = 50 * time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go d.Run(ctx, g.loop)
	until(t, "a second watch", func() bool {
		disco.mu.Lock()
		defer disco.mu.Unlock()
		return len(disco.index) > 1
	})
}

// Where the list must be asked for, the module decides when, and hears of failures.
func TestWatchOnlyWhenAsked(t *testing.T) {
	cfg := testConfig()
	cfg.Settings.Ask = true
	disco := newWatchServer(t)
	cfg.Discovery = strings.TrimPrefix(disco.URL, "http://")
	g := startGateway(t, cfg)
	d := discovery.NewWatcher(cfg.Discovery, cfg.Settings.Ask, cfg.Known.Version)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go d.Run(ctx, g.loop)
	for n := 1; n <= 2; n++ {
		d.Watch()
		disco.lines <- ""
		disco.mu.Lock()
		if len(disco.index) != n {
			t.Errorf("%d watches after asking %d times", len(disco.index), n)
		}
		disco.mu.Unlock()
	}
}

func TestMemberStates(t *testing.T) {
	var list discovery.MemberList
	err := json.Unmarshal([]byte(`{"version":41,"full":true,"servers":[{"id":"s-5be2a07c","addr":"10.1.0.18:9000",
		"zone":"a","kind":"m2","cell":3,"state":"ready","weight":1.0,"started_ms":7}]}`), &list)
	want := discovery.Member{ID: "s-5be2a07c", Addr: "10.1.0.18:9000", Zone: "a", Kind: "m2", Cell: 3, State: "ready", StartedMS: 7}
	if err != nil || list.Version != 41 || !list.Full || len(list.Servers) != 1 || list.Servers[0] != want {
		t.Errorf("%+v, %v", list, err)
	}
}
