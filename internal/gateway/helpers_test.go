package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/config"
	"dunemoor/internal/discovery"
	"dunemoor/internal/engine"
	"dunemoor/internal/testutil"
)

// testGateway is a platform gateway that runs in the test process on a loopback address.
type testGateway struct {
	*testing.T
	*Gateway
	cfg  *config.Platform
	pool *engine.Pool
	url  string
}

// send sends a request in the platform's protocol and returns its response and body.
func (g *testGateway) send(class, path, body string, headers ...string) (*http.Response, string) {
	g.Helper()
	return testutil.SendRequest(g, g.url, class, path, body, headers...)
}

func (g *testGateway) openRequests() int64 { return g.pool.OpenRequests() }

// health returns the status of a health request, or 0 if there is no response.
func (g *testGateway) health() int {
	resp, err := http.Get(g.url + "/_health")
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

func (g *testGateway) ready() bool { ok, _ := g.Ready(); return ok }

// sendRaw writes a request with the given framing headers and body in pieces of a size, and reads the final
// response. All responses are read with the same reader, as a 100 and the final response may arrive in the
// same read.
func (g *testGateway) sendRaw(class, framing string, body []byte, piece int) (*http.Response, net.Conn, error) {
	g.Helper()
	c := dialURL(g, g.url)
	var all bytes.Buffer
	fmt.Fprintf(&all, "POST /api/1 HTTP/1.1\r\nHost: a\r\nX-Priority-Class: %s\r\nX-Timeout: 60\r\nX-Request-ID: %s\r\nIdempotency-Key: k\r\n%s\r\n",
		class, testutil.NewID(), framing)
	all.Write(body)
	for rest := all.Bytes(); len(rest) > 0; rest = rest[min(piece, len(rest)):] {
		if _, err := c.Write(rest[:min(piece, len(rest))]); err != nil {
			return nil, c, err
		}
	}
	r := bufio.NewReader(c)
	resp, err := http.ReadResponse(r, nil)
	for err == nil && resp.StatusCode == http.StatusContinue {
		resp, err = http.ReadResponse(r, nil)
	}
	return resp, c, err
}

// testConfig returns a platform configuration with the hosts and one class of each idempotency.
func testConfig(hosts ...*testutil.Host) *config.Platform {
	var addrs []string
	for _, h := range hosts {
		addrs = append(addrs, h.Addr())
	}
	return testConfigAt(addrs...)
}

// testConfigAt is testConfig with the addresses of the hosts.
func testConfigAt(addrs ...string) *config.Platform {
	second := time.Second
	cfg := &config.Platform{
		Sockets: 1024, ConnIdle: time.Minute, DialTimeout: testutil.WaitTimeout, Seed: 7,
		Classes: map[string]int{"look": 0, "book": 1, "report": 2},
		Zones:   map[string]int{}, Kinds: map[string]int{},
		Settings: balancer.Settings{
			Instances: 1, MaxAttempts: 4, Cancel: true, MaxRetryAfter: second, Step: 5 * time.Millisecond,
			Classes: []balancer.Class{
				{LatencyObjective: 10 * second, Deadline: 60 * second},
				{LatencyObjective: 10 * second, Deadline: 60 * second, Idempotency: balancer.NonIdempotent},
				{LatencyObjective: 10 * second, Deadline: 60 * second, Idempotency: balancer.IdempotentWithKey, DedupWindow: 30 * second},
			},
		},
	}
	for i, addr := range addrs {
		cfg.Known.Servers = append(cfg.Known.Servers, discovery.Member{ID: fmt.Sprint("s-", i), Addr: addr, State: "ready"})
	}
	return cfg
}

// startGateway starts a platform gateway. Unless cfg sets the address of the discovery service, connections
// to it are refused.
func startGateway(t *testing.T, cfg *config.Platform, recording ...*engine.RecordingConfig) *testGateway {
	t.Helper()
	if cfg.Discovery == "" {
		cfg.Discovery = "127.0.0.1:1"
	}
	var recordingConfig *engine.RecordingConfig
	if len(recording) > 0 {
		recordingConfig = recording[0]
	}
	ln := testutil.Listen(t, "127.0.0.1:0", nil)
	gw, err := StartPlatform(cfg, recordingConfig, ln)
	if err != nil {
		t.Fatal(err)
	}
	g := &testGateway{T: t, Gateway: gw, cfg: cfg, url: "http://" + ln.Addr().String()}
	snapshot := gw.engine.Snapshot()
	snapshot.Pools(func(p *engine.Pool) { g.pool = p })
	snapshot.Release()
	t.Cleanup(gw.Close)
	return g
}

// mustParse parses the text of a valid appliance file.
func mustParse(t *testing.T, text string) *config.Appliance {
	t.Helper()
	a, errs := config.ParseAppliance("test.toml", text)
	if len(errs) > 0 {
		t.Fatal(errs)
	}
	return a
}

// testAppliance is an appliance that runs in the test process.
type testAppliance struct {
	*Gateway
	urls []string // URLs of the listeners
}

// startAppliance starts an appliance with the given file, and closes it at the end of the test.
func startAppliance(t *testing.T, text string) *testAppliance {
	t.Helper()
	file := mustParse(t, text)
	g, err := StartAppliance(file, nil, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	a := &testAppliance{Gateway: g}
	for _, l := range file.Listeners {
		a.urls = append(a.urls, "http://"+g.appliance.listeners[listenerKey(l)].Addr().String())
	}
	return a
}

// baseConfig is the part of the configuration that most tests share. Overload control is off, as on a busy
// machine it would reject requests that the tests expect to be served.
const baseConfig = configStart + "overload = false\n" + configRest

// overloadConfig is baseConfig with overload control.
const overloadConfig = configStart + configRest

const configStart = `
name = "depot"
[limits]
sockets = 1024
`

const configRest = `[[listener]]
name = "web"
address = "127.0.0.1:0"
[[class]]
name = "lookup"
effect = "safe"
aim = "5s"
deadline = "20s"
[[class]]
name = "book"
effect = "unsafe"
aim = "5s"
deadline = "20s"
worth = 5
[[class]]
name = "report"
effect = "keyed"
group = "cell"
window = "2500ms"
aim = "5s"
deadline = "20s"
worth = 2
`

// poolConfig returns the configuration of a pool with static members. options has further lines.
func poolConfig(name, options string, nodes ...string) string {
	var list []string
	for i, addr := range nodes {
		list = append(list, fmt.Sprintf("{ id = \"%s-%d\", address = %q, cell = %d }", name, i, addr, i/3))
	}
	return fmt.Sprintf("[[pool]]\nname = %q\nmembers = [%s]\n%s\n", name, strings.Join(list, ", "), options)
}

// routeConfig returns the configuration of a route. options has further lines.
func routeConfig(name, options string) string {
	return fmt.Sprintf("[[route]]\nname = %q\n%s\n", name, options)
}

// singleRouteConfig returns a configuration with one plain route to the hosts.
func singleRouteConfig(options string, nodes ...string) string {
	return baseConfig + poolConfig("p", "", nodes...) + routeConfig("r", "pool = \"p\"\nclass = \"lookup\"\ntimeout = \"15s\"\nrepeatable = [\"PUT\"]\n"+options)
}

// fetch sends a request like an ordinary client, on a new connection.
func fetch(t *testing.T, method, url, body string, headers ...string) (*http.Response, string) {
	t.Helper()
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(headers); i += 2 {
		if headers[i] == "Host" {
			r.Host = headers[i+1]
		} else {
			r.Header.Set(headers[i], headers[i+1])
		}
	}
	client := http.Client{
		Transport: &http.Transport{DisableKeepAlives: true}, Timeout: testutil.WaitTimeout,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	resp, err := client.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(text)
}

// startRawHost starts a host and returns its address. Each connection is passed to serve, and closed when
// serve returns.
func startRawHost(t testing.TB, serve func(net.Conn)) string {
	t.Helper()
	ln := testutil.Listen(t, "127.0.0.1:0", nil)
	t.Cleanup(func() { ln.Close() })
	go serveConns(ln, serve)
	return ln.Addr().String()
}

// serveConns serves each connection in a separate goroutine until the listener is closed.
func serveConns(ln net.Listener, serve func(net.Conn)) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			serve(c)
		}()
	}
}

// dialURL opens a connection to the host of an http URL and closes it at the end of the test.
func dialURL(t testing.TB, url string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// startHTTPHost starts a host with the server of net/http, which shares no code with the gateway. It returns
// the address of the host and the counter of its requests.
func startHTTPHost(t *testing.T, handle http.HandlerFunc) (addr string, requests *atomic.Int64) {
	t.Helper()
	requests = new(atomic.Int64)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		handle(w, r)
	}))
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return s.Listener.Addr().String(), requests
}
