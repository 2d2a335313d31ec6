package http1

import (
	"bufio"
	"container/list"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/body"
	"dunemoor/internal/discovery"
	"dunemoor/internal/engine"
	"dunemoor/internal/frontend"
	"dunemoor/internal/route"
	"dunemoor/internal/testutil"
	hosts "dunemoor/internal/upstream/http1"
)

// owed is how long a bad client may be left without an error or a close. A busy machine
// gets some more here; the limits that this guards against are far longer.
const owed = 3*time.Second + 2*time.Second

// testGateway is a front with all that is behind it, on loopback.
type testGateway struct {
	*testing.T
	gate   *frontend.Admission
	server *Server
	url    string
	end    func() // ends it at once, with its connections to hosts
}

// testConfig is what these tests change of it.
type testConfig struct {
	hosts   []*testutil.Host
	Sockets int
	streams *engine.Streams // how bodies flow; nil: all are held
	judged  func()          // called in the engine's loop with each answer of a host; nil: it isn't
}

func withHosts(hosts ...*testutil.Host) *testConfig { return &testConfig{hosts: hosts, Sockets: 1024} }

// startGateway starts one of the platform's form: one route, whose requests say their class.
func startGateway(t *testing.T, cfg *testConfig) *testGateway {
	t.Helper()
	e := engine.New(7)
	ctx, cancel := context.WithCancel(context.Background())
	transport := hosts.NewTransport(hosts.Options{MaxConns: 1024, DialTimeout: testutil.WaitTimeout})
	second := time.Second
	set := balancer.Settings{
		Instances: 1, MaxAttempts: 4, Cancel: true, MaxRetryAfter: second, Step: 5 * time.Millisecond,
		Classes: []balancer.Class{
			{LatencyObjective: 10 * second, Deadline: 60 * second},
			{LatencyObjective: 10 * second, Deadline: 60 * second, Idempotency: balancer.NonIdempotent},
			{LatencyObjective: 10 * second, Deadline: 60 * second, Idempotency: balancer.IdempotentWithKey, DedupWindow: 30 * second},
		},
	}
	pool, err := e.NewPool(engine.PoolConfig{Settings: set, Transport: transport})
	if err != nil {
		t.Fatal(err)
	}
	go transport.Run(ctx)
	go e.Run(ctx)
	var list discovery.MemberList
	for i, h := range cfg.hosts {
		list.Servers = append(list.Servers, discovery.Member{ID: fmt.Sprint("s-", i), Addr: h.Addr(), State: "ready"})
	}
	pool.UpdateEndpoints(balancer.ListFull, list)
	e.Use(e.NewSnapshot(nil, []*engine.Route{{
		Classes: set.Classes, ClassNames: map[string]int{"look": 0, "book": 1, "report": 2},
		Streams: cfg.streams,
		Classify: func(a *engine.Response) balancer.Result {
			if cfg.judged != nil {
				cfg.judged()
			}
			return route.ClassifyProtocol(a.Status, a.Header.Get("X-Not-Processed") == "1")
		},
	}}, nil, engine.PoolUse{Pool: pool, MinShare: 1}))
	g := &testGateway{T: t, gate: frontend.NewAdmission(e, body.NewBudget(64<<20))}
	g.server = New(g.gate, Options{MaxConns: cfg.Sockets * 48 / 100, SpareConns: cfg.Sockets * 2 / 100, LongestDeadline: 60 * second})
	ln := testutil.Listen(t, "127.0.0.1:0", nil)
	g.url = "http://" + ln.Addr().String()
	go g.server.Serve(ln)
	g.end = func() {
		g.server.Close()
		cancel()
		e.Wait(testutil.WaitTimeout)
	}
	t.Cleanup(g.end)
	return g
}

// ask sends a request and returns its answer.
func (g *testGateway) ask(class, path, body string, headers ...string) (*http.Response, string) {
	g.Helper()
	return testutil.SendRequest(g, g.url, class, path, body, headers...)
}

func (g *testGateway) dial() net.Conn {
	g.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(g.url, "http://"))
	if err != nil {
		g.Fatal(err)
	}
	g.Cleanup(func() { c.Close() })
	return c
}

// A bad client has an error or a close soon, and with it its connection ends; no host
// sees anything of it. Each case guards against one thing that a peer must not be
// trusted with.
func TestBadClients(t *testing.T) {
	server := testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse))
	g := startGateway(t, withHosts(server))
	head := func(first string, lines ...string) string {
		return first + "\r\nHost: a\r\n" + strings.Join(lines, "\r\n") + "\r\n\r\n"
	}
	const class, timeout = "X-Priority-Class: book", "X-Timeout: 60"
	id := func() string { return "X-Request-ID: " + testutil.NewID() }
	const post = "POST /api/1 HTTP/1.1"
	hidden := "0\r\n\r\n" + testutil.LookRequest(testutil.NewID())
	long := fmt.Sprintf("Content-Length: %d", len(hidden))
	for _, tt := range []struct {
		name, text string
		status     string // as it may begin; empty: a close with no answer will do
	}{
		{"a length and an encoding", head(post, class, timeout, id(), long, "Transfer-Encoding: chunked") + hidden, "400"},
		{"an encoding and a length", head(post, class, timeout, id(), "Transfer-Encoding: chunked", long) + hidden, "400"},
		{"the same in HTTP/1.0", head("POST /api/1 HTTP/1.0", class, timeout, id(), long, "Transfer-Encoding: chunked") + hidden, "400"},
		{"an odd encoding", head(post, class, timeout, id(), long, "Transfer-Encoding: xchunked") + hidden, "501"},
		{"chunked", head(post, class, timeout, id(), "Transfer-Encoding: chunked") + "1\r\na\r\n0\r\n\r\n", "400"},
		{"no id", head(post, class, timeout, "Content-Length: 1") + "b", "400"},
		{"an empty id", head(post, class, timeout, "X-Request-ID: ", "Content-Length: 1") + "b", "400"},
		{"an id that is none", head(post, class, timeout, "X-Request-ID: a b;c", "Content-Length: 1") + "b", "400"},
		{"an id too long", head(post, class, timeout, "X-Request-ID: "+strings.Repeat("a", 64+1), "Content-Length: 1") + "b", "400"},
		{"two ids", head(post, class, timeout, id(), id(), "Content-Length: 1") + "b", "400"},
		{"two keys", head(post, class, timeout, id(), "Idempotency-Key: a", "Idempotency-Key: b", "Content-Length: 1") + "b", "400"},
		{"no time-out", head(post, class, id(), "Content-Length: 1") + "b", "400"},
		{"a time-out below 0", head(post, class, "X-Timeout: -1", id(), "Content-Length: 1") + "b", "400"},
		{"a time-out that is no number", head(post, class, "X-Timeout: NaN", id(), "Content-Length: 1") + "b", "400"},
		{"a time-out without end", head(post, class, "X-Timeout: inf", id(), "Content-Length: 1") + "b", "400"},
		{"no class", head(post, timeout, id(), "Content-Length: 1") + "b", "400"},
		{"the method of another class", head("GET /api/1 HTTP/1.1", class, timeout, id()), "400"},
		{"a length below 0", head(post, class, timeout, id(), "Content-Length: -1") + "b", "400"},
		{"two lengths", head(post, class, timeout, id(), "Content-Length: 1", "Content-Length: 2") + "bb", "400"},
		{"noise", strings.Repeat("\x00\xff\x03", 100) + "\r\n\r\n", "400"},
		{"a head without end", post + "\r\n" + strings.Repeat("X-Pad: pppppppppppppppppppppppp\r\n", 4000), "431"},
		{"60 MB to come", head(post, class, timeout, id(), "Content-Length: 62914560"), "413"},
		{"half a head", post + "\r\nHost: a\r\nX-Prio", ""},
		{"half a body", head(post, class, timeout, id(), "Content-Length: 10") + "half", "400"},
		{"nothing", "", ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c, err := net.Dial("tcp", strings.TrimPrefix(g.url, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(owed))
			go io.WriteString(c, tt.text) // it may end before all is written
			got, err := io.ReadAll(c)
			if ne, ok := err.(net.Error); ok && ne.Timeout() {
				t.Fatalf("neither an error nor a close; it has %q", got)
			}
			if want := " " + tt.status; tt.status != "" && (len(got) < 8 || !strings.HasPrefix(string(got[8:]), want)) {
				t.Errorf("answer %.80q (%v), want %s", got, err, want)
			}
			if n := strings.Count(string(got), "HTTP/1.1 "); n > 1 {
				t.Errorf("%d answers", n)
			}
		})
	}
	if requests, accepted, _ := server.Counts(); requests+accepted != 0 {
		t.Errorf("the host got %d requests on %d connections", requests, accepted)
	}
	if n, _ := g.gate.Bodies.Used(body.RequestBodies); n != 0 {
		t.Errorf("%d bytes of bodies are counted as held", n)
	}
	if n := g.gate.OpenIDs(); n != 0 {
		t.Errorf("%d ids are still open", n)
	}
}

// A client that sends 60 MB sees the answer or a close soon, though it reads only when
// it has written. It guards against reading what is not wanted.
func TestHugeBody(t *testing.T) {
	g := startGateway(t, withHosts())
	c := g.dial()
	c.SetDeadline(time.Now().Add(2 * owed)) // 6 s are owed
	io.WriteString(c, "POST /api/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 62914560\r\n\r\n")
	part := make([]byte, 1<<16)
	var err error
	for sent := 0; err == nil && sent < 62914560; sent += len(part) {
		_, err = c.Write(part)
	}
	if ne, ok := err.(net.Error); ok && ne.Timeout() {
		t.Error("it can neither go on nor stop")
	}
}

// The id of an open request, or of one that ended a moment ago, opens no other one; and
// what is remembered of ids shrinks again.
func TestIDsInUse(t *testing.T) {
	got, release := make(chan struct{}, 1), make(chan struct{})
	server := testutil.NewHost(t, func(c net.Conn, _ *http.Request, _ int) bool {
		got <- struct{}{}
		<-release
		io.WriteString(c, testutil.OKResponse)
		return true
	})
	g := startGateway(t, withHosts(server))
	first, id := g.dial(), testutil.NewID()
	io.WriteString(first, testutil.LookRequest(id))
	<-got
	again := func(when string) {
		t.Helper()
		c := g.dial()
		io.WriteString(c, testutil.LookRequest(id))
		if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != 409 || !resp.Close {
			t.Errorf("%s: %+v, %v", when, resp, err)
		}
	}
	again("while it is open")
	close(release)
	if resp, err := http.ReadResponse(bufio.NewReader(first), nil); err != nil || resp.StatusCode != 200 {
		t.Fatal(resp, err)
	}
	again("just after its end")
	if requests, _, _ := server.Counts(); requests != 1 {
		t.Errorf("the host got %d requests", requests)
	}
}

// With the memory for bodies used up a request is turned away, harmlessly, and told when
// to come back; with room again it is served.
func TestBodiesAreBounded(t *testing.T) {
	server := testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse))
	g := startGateway(t, withHosts(server))
	x, err := g.gate.Begin(&frontend.Message{Method: "GET", Target: "/", Host: "a", Header: http.Header{
		"X-Request-Id": {testutil.NewID()}, "X-Priority-Class": {"look"}, "X-Timeout": {"60"}}}, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	if _, most := g.gate.Bodies.Used(body.RequestBodies); x.Hold(most) != nil {
		t.Fatal("no leave to hold all there is")
	}
	if resp, _ := g.ask("book", "/api/1", "b"); resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" {
		t.Errorf("status %d, headers %v", resp.StatusCode, resp.Header)
	}
	if resp, _ := g.ask("look", "/api/1", ""); resp.StatusCode != 200 {
		t.Errorf("one without a body: status %d", resp.StatusCode)
	}
	x.Drop()
	if resp, _ := g.ask("book", "/api/1", "b"); resp.StatusCode != 200 {
		t.Errorf("with room again: status %d", resp.StatusCode)
	}
	testutil.WaitUntil(t, "no body is counted any more", func() bool { held, _ := g.gate.Bodies.Used(body.RequestBodies); return held == 0 })
}

// In a crowd of clients that ask once and keep their connections each one is served: it
// guards against waiting for those used a moment ago to have been idle for long.
func TestCrowd(t *testing.T) {
	cfg := withHosts(testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse)))
	cfg.Sockets = 64
	g := startGateway(t, cfg)
	for i := range 8 * g.server.clients.budget {
		if err := testutil.RoundTrip(g.dial()); err != nil {
			t.Fatalf("client %d: %v", i, err)
		}
	}
}

// Room is made where it costs least: what is done with goes first, then what has brought
// nothing, then what was idle for long, and what has just come last.
func TestRoomIsMadeInOrder(t *testing.T) {
	clients := &clients{}
	names := map[*clientConn]string{}
	add := func(name string, line *list.List, age time.Duration) {
		c := &clientConn{}
		names[c] = name
		clients.open++
		clients.move(c, line)
		c.since = c.since.Add(-age)
	}
	add("idle a moment", &clients.idle, -time.Minute) // no pause of the machine ages it
	add("idle for long", &clients.idle, 2*idleLeast)
	clients.idle.MoveToFront(clients.idle.Back()) // the lines are in order of age
	add("silent for a while", &clients.silent, 2*silentLeast)
	add("has just come", &clients.silent, -time.Minute)
	add("done with", &clients.spent, 0)
	for _, want := range []string{"done with", "silent for a while", "idle for long", "has just come", ""} {
		if want == "has just come" {
			clients.silent.Front().Value.(*clientConn).since = time.Now()
		}
		got := ""
		if c := clients.makeRoom(); c != nil {
			got = names[c]
		}
		if got != want {
			t.Fatalf("closed %q, want %q", got, want)
		}
	}
}

// Connections that nobody has used for long, or ever, give way in a crowd, and with them
// the crowd ends: it guards against making all others pay for them, each request with a
// connection of its own.
func TestCrowdEnds(t *testing.T) {
	cfg := withHosts(testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse)))
	cfg.Sockets = 128
	g := startGateway(t, cfg)
	clients := &g.server.clients
	for i := 0; !clients.crowded(); i++ {
		if i > clients.budget {
			t.Fatal("no crowd")
		}
		if c := g.dial(); i%2 == 0 {
			if err := testutil.RoundTrip(c); err != nil {
				t.Fatal(err)
			}
		} else {
			open := func() int { clients.mu.Lock(); defer clients.mu.Unlock(); return clients.silent.Len() }
			testutil.WaitUntil(t, "it is accepted", func() bool { return open() > i/2 })
		}
	}
	clients.mu.Lock()
	for _, l := range []*list.List{&clients.idle, &clients.silent} {
		for e := l.Front(); e != nil; e = e.Next() {
			c := e.Value.(*clientConn)
			c.since = c.since.Add(-idleLeast)
		}
	}
	clients.mu.Unlock()
	for i := 0; clients.crowded(); i++ {
		if i > 2*clients.budget {
			t.Fatal("connections of no use keep up the crowd")
		}
		g.ask("look", "/api/1", "") // by a connection of its own
	}
}

// Clients with a connection are served on it long after the signal to stop, as they may
// have no other gateway; shortly before the exit they are asked to leave, and no request
// fails on the way. It guards against leaving them with nothing until the next start.
func TestStoppingServesOpenConnections(t *testing.T) {
	g := startGateway(t, withHosts(testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse))))
	c := g.dial()
	in := bufio.NewReader(c)
	c.SetDeadline(time.Now().Add(testutil.WaitTimeout))
	stopped := make(chan struct{})
	go func() {
		g.server.Shutdown()
		close(stopped)
	}()
	refused := func() bool {
		nc, err := net.Dial("tcp", strings.TrimPrefix(g.url, "http://"))
		if err == nil {
			nc.Close()
		}
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	served := 0 // once the listener was closed
	for {
		io.WriteString(c, testutil.LookRequest(testutil.NewID()))
		resp, err := http.ReadResponse(in, nil)
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("after %d requests: %v, %v", served, resp, err)
		}
		io.Copy(io.Discard, resp.Body)
		if resp.Close {
			break
		}
		if served > 0 || refused() {
			served++
		}
		time.Sleep(testutil.PollInterval)
	}
	if served == 0 {
		t.Error("asked to leave as soon as nobody new comes")
	}
	if _, err := in.ReadByte(); err != io.EOF {
		t.Errorf("the connection ends with %v", err)
	}
	<-stopped
}

// A listener that comes once the server is told to stop is closed, as nobody would be served to the
// end by it.
func TestNothingIsTakenOnceStopping(t *testing.T) {
	g := startGateway(t, withHosts(testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse))))
	stopped := make(chan struct{})
	go func() {
		g.server.Shutdown()
		close(stopped)
	}()
	testutil.WaitUntil(t, "it stops", g.server.stopping.Load)
	ln, served := testutil.Listen(t, "127.0.0.1:0", nil), make(chan error, 1)
	go func() { served <- g.server.Serve(ln) }()
	select {
	case err := <-served:
		if err != nil {
			t.Error(err)
		}
	case <-stopped:
		t.Error("it serves by it")
	}
	if _, err := net.Dial("tcp", ln.Addr().String()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("the listener stays open: %v", err)
	}
	<-stopped
}

// Hundreds of connections that say nothing leave room for those that bring requests, at
// the least number of descriptors in service; so do those idle for long, but none that
// was used a moment ago is closed.
func TestDescriptorsAreLeftForRequests(t *testing.T) {
	server := testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse))
	cfg := withHosts(server)
	cfg.Sockets = 256
	g := startGateway(t, cfg)
	clients := &g.server.clients
	open := func() int {
		clients.mu.Lock()
		defer clients.mu.Unlock()
		return clients.open
	}
	var usual []net.Conn
	for range clients.budget * crowdedShare / 100 {
		c := g.dial()
		if err := testutil.RoundTrip(c); err != nil {
			t.Fatal(err)
		}
		usual = append(usual, c)
	}
	for i := range 600 {
		g.dial()
		if i%20 == 0 {
			if err := testutil.RoundTrip(g.dial()); err != nil {
				t.Fatalf("a new client among %d silent ones: %v", i, err)
			}
		}
		if n := open(); n > clients.most {
			t.Fatalf("%d connections, %d at most", n, clients.most)
		}
	}
	clients.mu.Lock()
	kept := clients.idle.Len()
	clients.mu.Unlock()
	if kept < len(usual) {
		t.Errorf("of %d connections used a moment ago %d are left", len(usual), kept)
	}
	clients.mu.Lock()
	for e := clients.idle.Front(); e != nil; e = e.Next() {
		c := e.Value.(*clientConn)
		c.since = c.since.Add(-idleLeast)
	}
	before := clients.idle.Len()
	clients.mu.Unlock()
	// With no silent ones to make room with, each new connection ends an idle one; some
	// of those dialled above may still be accepted meanwhile.
	for range 2 * cfg.Sockets {
		clients.mu.Lock()
		for clients.silent.Len() > 0 {
			clients.move(clients.silent.Front().Value.(*clientConn), nil)
		}
		left := clients.idle.Len()
		clients.mu.Unlock()
		if left < before {
			return
		}
		g.dial()
		time.Sleep(testutil.PollInterval)
	}
	t.Error("connections idle for long are not closed to make room")
}

// A request's time counts from its last byte. It guards against giving up one whose
// body took longer to come than its client waits for the answer.
func TestTimeCountsFromTheLastByte(t *testing.T) {
	const timeout = 500 * time.Millisecond
	g := startGateway(t, withHosts(testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse))))
	c := g.dial()
	fmt.Fprintf(c, "POST /api/1 HTTP/1.1\r\nHost: a\r\nX-Priority-Class: book\r\nX-Timeout: %v\r\nX-Request-ID: %s\r\n"+
		"Content-Length: 4\r\n\r\nbo", timeout.Seconds(), testutil.NewID())
	time.Sleep(timeout + timeout/4) // the one thing that this can be told by
	io.WriteString(c, "dy")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != 200 {
		t.Errorf("%+v, %v", resp, err)
	}
}

// A client that sent too much sees the answer and an orderly end. It guards against
// closing with bytes unread: that resets the connection, at times before the answer.
func TestErrorIsSeenByWhoSentTooMuch(t *testing.T) {
	server := testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse))
	g := startGateway(t, withHosts(server))
	body := strings.Repeat("x", frontend.MaxBufferedBytes+1)
	for _, line := range []string{"", "Connection: close\r\n"} {
		c := g.dial()
		c.SetDeadline(time.Now().Add(testutil.WaitTimeout))
		fmt.Fprintf(c, "POST /api/1 HTTP/1.1\r\nHost: a\r\nX-Priority-Class: book\r\nX-Timeout: 60\r\n"+
			"X-Request-ID: %s\r\nContent-Length: %d\r\n%s\r\n%s", testutil.NewID(), len(body), line, body[:frontend.MaxBufferedBytes/2])
		in := bufio.NewReader(c)
		resp, err := http.ReadResponse(in, nil)
		if err != nil || resp.StatusCode != http.StatusRequestEntityTooLarge {
			t.Fatalf("%q: %v, %v, want 413 while half of the body is to come", line, resp, err)
		}
		if _, err := io.WriteString(c, body[frontend.MaxBufferedBytes/2:]); err != nil {
			t.Errorf("%q: the body: %v", line, err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			t.Errorf("%q: the answer: %v", line, err)
		}
		if _, err := in.ReadByte(); err != io.EOF {
			t.Errorf("%q: it ended with %v, want an orderly end", line, err)
		}
	}
}

// A look at who has left that is interrupted is made again: its events come only once.
func TestInterruptedLookAtWhoLeft(t *testing.T) {
	looks := 0
	n := ready(func() (int, error) {
		if looks++; looks < 3 {
			return -1, syscall.EINTR
		}
		return 2, nil
	})
	if n != 2 || looks != 3 {
		t.Errorf("%d events after %d looks", n, looks)
	}
	if n := ready(func() (int, error) { return -1, syscall.EBADF }); n != 0 {
		t.Errorf("%d events of a set that is closed", n)
	}
}

// Clients that leave in a burst while their requests wait for a host, by an end, a half end or a
// reset, are seen to have gone, and nothing goes out for them: neither then nor when the host
// has room.
func TestBurstLeavesWhileItWaits(t *testing.T) {
	release := make(chan struct{})
	server := testutil.NewHost(t, func(c net.Conn, _ *http.Request, _ int) bool {
		<-release
		io.WriteString(c, testutil.OKResponse)
		return true
	})
	g := startGateway(t, withHosts(server))
	const clients = 200
	conns := map[string]*net.TCPConn{}
	for range clients {
		c, id := g.dial(), testutil.NewID()
		io.WriteString(c, testutil.LookRequest(id))
		conns[id] = c.(*net.TCPConn)
	}
	const out = 4 // what a host gets at first
	testutil.WaitUntil(t, "all are taken, and most wait", func() bool {
		n, _, _ := server.Counts()
		return g.gate.OpenIDs() == clients && n == out
	})
	server.Mu.Lock()
	for _, r := range server.Requests {
		delete(conns, r.Header.Get("X-Request-Id")) // whoever is being served stays
	}
	server.Mu.Unlock()
	i := 0
	for _, c := range conns {
		switch i++; i % 3 {
		case 0:
			c.CloseWrite()
		case 1:
			c.SetLinger(0)
			fallthrough
		default:
			c.Close()
		}
	}
	testutil.WaitUntil(t, "all others have gone", func() bool { return g.gate.OpenIDs() == out })
	close(release)
	testutil.WaitUntil(t, "those are served", func() bool { return g.gate.OpenIDs() == 0 })
	if resp, _ := g.ask("look", "/api/1", ""); resp.StatusCode != 200 {
		t.Errorf("status %d", resp.StatusCode)
	}
	if n, _, _ := server.Counts(); n != out+1 {
		t.Errorf("the host got %d requests of clients that had gone", n-out-1)
	}
}

// A client that ends its side while it waits counts as gone, and gets no answer that no host
// made: it guards against net/http's 200 for a handler that writes nothing.
func TestHalfClosedClientGetsNoAnswer(t *testing.T) {
	server := testutil.NewHost(t, testutil.NeverRespond)
	g := startGateway(t, withHosts(server))
	c := g.dial()
	c.SetDeadline(time.Now().Add(testutil.WaitTimeout))
	io.WriteString(c, testutil.LookRequest(testutil.NewID()))
	testutil.WaitUntil(t, "the host has the request", func() bool { n, _, _ := server.Counts(); return n == 1 })
	c.(*net.TCPConn).CloseWrite()
	if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
		t.Errorf("answered %d", resp.StatusCode)
	}
}
