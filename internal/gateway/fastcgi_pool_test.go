package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dunemoor/internal/experiment/fakes"
	"dunemoor/internal/fastcgi"
	"dunemoor/internal/testutil"
)

// HTTP and FastCGI clients send requests to HTTP and FastCGI pools with crashing hosts. Each combination of
// protocols is served equally well, no booking runs twice, and every request gets a response.
func TestMixedProtocolsUnderFaults(t *testing.T) {
	ledger := fakes.NewLedger()
	work := 2 * time.Millisecond
	nodes, err := fakes.StartService("n", 4, 5, fakes.Behaviour{Work: work, Cores: 8}, ledger)
	if err != nil {
		t.Fatal(err)
	}
	defer nodes.Close()
	var responders []*fakes.Responder
	var addrs []string
	for i := range 4 {
		r, err := fakes.StartResponder(fmt.Sprint("r-", i), "r", ledger, uint64(i), work)
		if err != nil {
			t.Fatal(err)
		}
		defer r.Crash()
		responders = append(responders, r)
		addrs = append(addrs, r.Addr())
	}
	text := baseConfig + poolConfig("http", "", nodes.Addrs()...) + fastCGIPoolConfig("cgi", "", addrs...)
	for _, pool := range []string{"http", "cgi"} {
		text += routeConfig(pool, "path = \"/"+pool+"\"\npool = \""+pool+"\"\nretry_share = 1.0")
	}
	g := startAppliance(t, text+fastCGIListener)
	// Enough connections for the requests that queue up on a slow machine.
	web := &fakes.WebServer{Addr: g.fastCGIAddr(), MaxConnections: 10}
	defer web.Close()
	var loads sync.WaitGroup
	const rate, count = 60, 240 // per combination; the rate is low enough for a slow machine
	for i, by := range []http.RoundTripper{nil, web} {
		for k, pool := range []string{"http", "cgi"} {
			classes := fakes.DefaultClasses()
			for n := range classes {
				c := &classes[n]
				c.ClassHeader = c.Name
				c.Name = fmt.Sprintf("%s by %s at %s", c.Name, []string{"http", "cgi"}[i], pool)
				c.Path = "/" + pool + "/x"
				c.Timeout = 20 * time.Second
			}
			load := fakes.Load{
				URL: g.urls[0], Rate: rate, Count: count, Classes: classes,
				Seed: uint64(10*i + k), Retries: 2, Transport: by,
			}
			loads.Go(func() {
				if err := load.Run(context.Background(), ledger); err != nil {
					t.Error(err)
				}
			})
		}
	}
	loadsDone := make(chan struct{})
	go func() {
		loads.Wait()
		close(loadsDone)
	}()
	for i := 0; stillRunningAfter(loadsDone, 300*time.Millisecond); i++ {
		crashFor(t, 200*time.Millisecond, nodes.Nodes[i%4], responders[(i+1)%4])
	}
	checkMixedLedger(t, ledger)
}

// stillRunningAfter waits for d, or until done is closed, and reports whether done is still open.
func stillRunningAfter(done chan struct{}, d time.Duration) bool {
	select {
	case <-done:
		return false
	case <-time.After(d):
		return true
	}
}

// crashFor stops a node and a responder for the given time and restarts them on their addresses. If a
// connection of another process has taken a port in the meantime, the host stays down until it is free.
func crashFor(t *testing.T, d time.Duration, node *fakes.Node, responder *fakes.Responder) {
	t.Helper()
	node.Crash()
	responder.Crash()
	time.Sleep(d)
	testutil.WaitUntil(t, "the node on its address again", func() bool { return node.Start() == nil })
	testutil.WaitUntil(t, "the responder on its address again", func() bool { return responder.Start() == nil })
}

// checkMixedLedger checks that the ledger has no violations, and that at least 80% of the requests of each
// combination were served.
func checkMixedLedger(t *testing.T, ledger *fakes.Ledger) {
	t.Helper()
	c := ledger.Count()
	if violations := c.Violations(); violations != "" {
		t.Errorf("violations %s, want none; ran twice %v, rejected after execution %v, not requested %v",
			violations, c.RanTwice, c.RejectedAfterExecution, c.Unrequested)
	}
	shares := map[string]float64{}
	for name, outcomes := range c.ByClass {
		total := 0
		for _, n := range outcomes {
			total += n
		}
		shares[name] = 100 * float64(outcomes[fakes.Served]) / float64(total)
		if shares[name] < 80 {
			t.Errorf("%s: %.1f%% of %d served, want 80%% or more: %v", name, shares[name], total, outcomes)
		}
	}
	t.Logf("%d requests, outcomes %v, served in percent %v", c.Requests, c.Outcomes, shares)
}

// A listener on a Unix socket replaces a stale socket file, but not one that is in use.
func TestFastCGIOverUnixSockets(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "cgi.sock")
	stale, err := net.ListenUnix("unix", &net.UnixAddr{Name: path})
	if err != nil {
		t.Fatal(err)
	}
	stale.SetUnlinkOnClose(false)
	stale.Close()
	r, err := fakes.StartResponder("r", "r", fakes.NewLedger(), 1, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Crash()
	text := baseConfig + fastCGIPoolConfig("p", "script_root = \"/srv\"\nparams = { APP = \"x\" }\n", r.Addr()) + routeConfig("r", "pool = \"p\"\nclass = \"lookup\"") +
		"\n[[listener]]\nname = \"cgi\"\naddress = \"unix:" + path + "\"\nprotocol = \"fastcgi\"\n"
	g := startAppliance(t, text)
	c, err := net.Dial("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(testutil.WaitTimeout))
	w := &fastCGIClient{T: t, Conn: c, out: map[uint16]string{}, ended: map[uint16][]fastcgi.EndRequestBody{}}
	defer c.Close()
	if status, text := w.send(1, fastCGIParams("GET", "/", "HTTP_X_REQUEST_ID", "abc"), ""); status != 200 || text != "done abc" {
		t.Errorf("status %d, body %q, want 200 with the id", status, text)
	}
	if _, err := StartAppliance(mustParse(t, text), nil, nil, nil); err == nil {
		t.Error("second gateway on the socket started, want an error")
	}
	if err := g.Reload(t.Context(), mustParse(t, strings.Replace(text, "cgi.sock", "other.sock", 1))); err != nil {
		t.Fatal(err)
	}
	if _, err := net.Dial("unix", path); err == nil {
		t.Error("removed listener accepts a connection, want an error")
	}
	if status, _ := w.send(2, fastCGIParams("GET", "/"), ""); status != 200 {
		t.Errorf("connection from before the reload: status %d, want 200", status)
	}
}

// A responder closes the connection within a record of its response to a booking. As the booking may have
// run, it is not retried, and the client gets a 502. A lookup is retried at the other responder.
func TestFastCGITruncatedResponseIsRetriedOnlyIfIdempotent(t *testing.T) {
	var runs atomic.Int64
	serve := func(c net.Conn) {
		var got []byte
		b := make([]byte, 4096)
		end := fastcgi.AppendStreamEnd(nil, fastcgi.Stdin, 1)
		for !strings.HasSuffix(string(got), string(end)) { // each request is the first on its connection
			n, err := c.Read(b)
			if got = append(got, b[:n]...); err != nil {
				return // a connection with only GET_VALUES, or without any request
			}
		}
		n := runs.Add(1)
		response := fastcgi.AppendStream(nil, fastcgi.Stdout, 1, []byte("Status: 200\r\n\r\ngood"))
		if strings.Contains(string(got), "GET") && n > 2 {
			c.Write(fastcgi.AppendEndRequest(response, 1, fastcgi.EndRequestBody{}))
			return
		}
		c.Write(response[:len(response)-3])
	}
	addrs := []string{startRawHost(t, serve), startRawHost(t, serve)}
	const retries = "\nretry_share = 3.0\nretry_floor = 100.0"
	text := baseConfig + fastCGIPoolConfig("p", "", addrs...) +
		routeConfig("book", "path = \"/book\"\npool = \"p\"\nclass = \"book\""+retries) +
		routeConfig("look", "pool = \"p\"\nclass = \"lookup\""+retries) + fastCGIListener
	g := startAppliance(t, text)
	if resp, text := fetch(t, "POST", g.urls[0]+"/book", "one booking"); resp.StatusCode != 502 {
		t.Errorf("booking: status %d, body %q, want 502", resp.StatusCode, text)
	}
	if n := runs.Load(); n != 1 {
		t.Errorf("booking sent %d times, want once", n)
	}
	if resp, text := fetch(t, "GET", g.urls[0]+"/", ""); resp.StatusCode != 200 || text != "good" {
		t.Errorf("lookup: status %d, body %q, want 200 and body good", resp.StatusCode, text)
	}
	if n := runs.Load(); n != 3 {
		t.Errorf("lookup sent %d times, want twice", n-1)
	}
}
