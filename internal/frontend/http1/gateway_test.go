package http1

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"dunemoor/balancer"
	"dunemoor/internal/body"
	"dunemoor/internal/discovery"
	"dunemoor/internal/engine"
	"dunemoor/internal/frontend"
	"dunemoor/internal/route"
	"dunemoor/internal/testutil"
	hosts "dunemoor/internal/upstream/http1"
)

// testGateway is a frontend with an engine and hosts behind it, on loopback.
type testGateway struct {
	*testing.T
	admission *frontend.Admission
	server    *Server
	url       string
	close     func() // ends it at once, with its connections to hosts
}

// testConfig is what tests change of a testGateway.
type testConfig struct {
	hosts    []*testutil.Host
	sockets  int
	streams  *engine.Streams // nil: all bodies are buffered
	classify func()          // if set, called in the engine's loop with each response of a host
}

func withHosts(hosts ...*testutil.Host) *testConfig {
	return &testConfig{hosts: hosts, sockets: 1024}
}

// withHealthyHost returns the config of a gateway with a host that answers each request.
func withHealthyHost(t *testing.T) *testConfig {
	return withHosts(testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse)))
}

// newBlockingHost returns a host that answers its requests once release is closed.
func newBlockingHost(t *testing.T) (host *testutil.Host, release chan struct{}) {
	t.Helper()
	release = make(chan struct{})
	host = testutil.NewHost(t, func(c net.Conn, _ *http.Request, _ int) bool {
		<-release
		io.WriteString(c, testutil.OKResponse)
		return true
	})
	return host, release
}

// startGateway starts a gateway with one route, whose requests are in the platform's protocol.
func startGateway(t *testing.T, cfg *testConfig) *testGateway {
	t.Helper()
	e := engine.New(7)
	ctx, cancel := context.WithCancel(context.Background())
	// A connection that comes up late on a busy machine must not count as a host's failure.
	dialer := net.Dialer{Timeout: testutil.WaitTimeout}
	transport := hosts.NewTransport(hosts.Options{MaxConns: 1024, DialContext: dialer.DialContext})
	// Queued requests are rejected after a fifth of the objective. A host counts as silent after half of it until its
	// class has a response, and then by the RTTs of the class: a test that holds requests back must not have had
	// responses of their class.
	const objective = 5 * time.Minute
	settings := balancer.Settings{
		Instances: 1, MaxAttempts: 4, Cancel: true, MaxRetryAfter: time.Second, Step: 5 * time.Millisecond,
		Classes: []balancer.Class{
			{LatencyObjective: objective, Deadline: objective},
			{LatencyObjective: objective, Deadline: objective, Idempotency: balancer.NonIdempotent},
			{LatencyObjective: objective, Deadline: objective, Idempotency: balancer.IdempotentWithKey, DedupWindow: 30 * time.Second},
		},
	}
	pool, err := e.NewPool(engine.PoolConfig{Settings: settings, Transport: transport})
	if err != nil {
		t.Fatal(err)
	}
	go transport.Run(ctx)
	go e.Run(ctx)
	var endpoints discovery.MemberList
	for i, h := range cfg.hosts {
		endpoints.Servers = append(endpoints.Servers, discovery.Member{ID: fmt.Sprint("s-", i), Addr: h.Addr(), State: "ready"})
	}
	pool.UpdateEndpoints(balancer.ListFull, endpoints)
	e.Use(e.NewSnapshot(nil, []*engine.Route{{
		Classes: settings.Classes, ClassNames: map[string]int{"look": 0, "book": 1, "report": 2},
		Streams: cfg.streams,
		Classify: func(resp *engine.Response) balancer.Result {
			if cfg.classify != nil {
				cfg.classify()
			}
			return route.ClassifyProtocol(resp.Status, resp.Header.Get("X-Not-Processed") == "1")
		},
	}}, nil, engine.PoolUse{Pool: pool, MinShare: 1}))
	g := &testGateway{T: t, admission: frontend.NewAdmission(e, body.NewBudget(64<<20))}
	g.server = New(g.admission, Options{
		MaxConns: cfg.sockets * 48 / 100, SpareConns: cfg.sockets * 2 / 100, LongestDeadline: objective,
	})
	ln := testutil.Listen(t, "127.0.0.1:0", nil)
	g.url = "http://" + ln.Addr().String()
	go g.server.Serve(ln)
	g.close = func() {
		g.server.Close()
		cancel()
		e.Wait(testutil.WaitTimeout)
	}
	t.Cleanup(g.close)
	return g
}

// send sends a request on a connection of its own and returns its response and the response's body.
func (g *testGateway) send(class, path, body string, headers ...string) (*http.Response, string) {
	g.Helper()
	return testutil.SendRequest(g, g.url, class, path, body, headers...)
}

// dial opens a connection that is closed with the test.
func (g *testGateway) dial() net.Conn {
	g.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(g.url, "http://"))
	if err != nil {
		g.Fatal(err)
	}
	g.Cleanup(func() { c.Close() })
	return c
}

// dialWithTimeout opens a connection whose reads and writes fail after testutil.WaitTimeout.
func (g *testGateway) dialWithTimeout() net.Conn {
	g.Helper()
	c := g.dial()
	c.SetDeadline(time.Now().Add(testutil.WaitTimeout))
	return c
}

// acceptPair returns both ends of a loopback connection; the server's as a clientConn that no Server knows.
func acceptPair(t *testing.T) (client *net.TCPConn, c *clientConn) {
	t.Helper()
	ln := testutil.Listen(t, "127.0.0.1:0", nil)
	defer ln.Close()
	nc, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	accepted, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { accepted.Close() })
	c, err = newClientConn(accepted.(*net.TCPConn), &ListenOptions{})
	if err != nil {
		t.Fatal(err)
	}
	return nc.(*net.TCPConn), c
}

// queuedBytes returns how many bytes a connection has received that are not read (TIOCINQ), or has sent that the peer has
// not acknowledged (TIOCOUTQ).
func queuedBytes(t *testing.T, c *net.TCPConn, which uint) (n int) {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), which) })
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// readLastResponse reads a good response that is the last of its connection.
func readLastResponse(c net.Conn) error {
	in := bufio.NewReader(c)
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return err
	}
	content, _ := io.ReadAll(resp.Body)
	_, err = in.ReadByte()
	if resp.StatusCode != 200 || string(content) != "good" || !resp.Close || err != io.EOF {
		return fmt.Errorf("got status %d, body %q, close %t, then %v, want 200, good, true, then EOF", resp.StatusCode, content, resp.Close, err)
	}
	return nil
}

// closingRequest returns a request that asks for the connection to be closed after the response.
func closingRequest() string {
	return strings.Replace(testutil.LookRequest(testutil.NewID()), "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1)
}
