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
	upstreamhttp1 "dunemoor/internal/upstream/http1"
)

// testGateway is a frontend on loopback with an engine and its hosts.
type testGateway struct {
	*testing.T
	admission *frontend.Admission
	server    *Server
	url       string
	close     func() // closes the gateway immediately, including its connections to hosts
}

// testConfig contains the settings of a testGateway that differ between tests.
type testConfig struct {
	hosts    []*testutil.Host
	sockets  int             // limit of file descriptors, from which the connection limits are computed
	streams  *engine.Streams // nil means that all bodies are buffered
	classify func()          // if set, called in the engine's loop for each response of a host
}

func withHosts(hosts ...*testutil.Host) *testConfig {
	return &testConfig{hosts: hosts, sockets: 1024}
}

// withHealthyHost returns the config of a gateway with one host that answers each request with OKResponse.
func withHealthyHost(t *testing.T) *testConfig {
	return withHosts(testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse)))
}

// newBlockingHost returns a host that does not answer its requests until release is closed.
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

// startGateway starts a gateway with a single route for requests in the platform's protocol.
func startGateway(t *testing.T, cfg *testConfig) *testGateway {
	t.Helper()
	e := engine.New(7)
	ctx, cancel := context.WithCancel(context.Background())
	// A slow dial on a busy machine must not count as a failure of the host.
	dialer := net.Dialer{Timeout: testutil.WaitTimeout}
	transport := upstreamhttp1.NewTransport(upstreamhttp1.Options{MaxConns: 1024, DialContext: dialer.DialContext})
	// Queued requests are rejected after a fifth of the objective. Before the first response of a class, a host counts
	// as silent after half of the objective, and later after a time that depends on the RTTs of the class. A test that
	// delays requests must therefore not have received responses of their class before.
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
	g.server = New(g.admission, Options{ // the percentages are those of package gateway
		MaxConns: cfg.sockets * 48 / 100, SpareConns: cfg.sockets * 2 / 100,
	})
	g.admission.SetLongestDeadline(objective)
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

// send sends a request on a new connection and returns the response and its body.
func (g *testGateway) send(class, path, body string, headers ...string) (*http.Response, string) {
	g.Helper()
	return testutil.SendRequest(g, g.url, class, path, body, headers...)
}

// dial opens a connection that is closed at the end of the test.
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

// acceptPair returns both ends of a loopback connection. The server's end is a clientConn that is not part of a Server.
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

// queuedBytes returns the number of bytes in a connection's kernel buffer: those that have been received but not read
// (TIOCINQ), or those that have been sent but not acknowledged by the peer (TIOCOUTQ).
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

// readLastResponse reads a response and checks that it is successful and is followed by the end of the connection.
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

// closingRequest returns a request with the header Connection: close.
func closingRequest() string {
	return strings.Replace(testutil.LookRequest(testutil.NewID()), "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1)
}
