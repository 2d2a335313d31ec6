package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"dunemoor/internal/config"
	"dunemoor/internal/experiment/fakes"
	"dunemoor/internal/testutil"
)

// parse reads an appliance's file that has to be right.
func parse(t *testing.T, text string) *config.Appliance {
	t.Helper()
	a, wrong := config.ParseAppliance("test.toml", text)
	if len(wrong) > 0 {
		t.Fatal(wrong)
	}
	return a
}

// appliance is a gateway by a file, in this process.
type testAppliance struct {
	*Gateway
	urls []string
}

func startAppliance(t *testing.T, text string) *testAppliance {
	t.Helper()
	file := parse(t, text)
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

// head is the part of the file that all these tests share. The gateway does not watch itself in
// them: on a machine that has little time for them it would turn away what they wait for.
const head = headTop + "overload = false\n" + headRest

// watching is head with a gateway that watches itself, for tests of just that.
const watching = headTop + headRest

const headTop = `
name = "box"
[limits]
sockets = 1024
`

const headRest = `[[listener]]
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

// poolText is a pool of static members.
func poolText(name, more string, nodes ...string) string {
	var list []string
	for i, addr := range nodes {
		list = append(list, fmt.Sprintf("{ id = \"%s-%d\", address = %q, cell = %d }", name, i, addr, i/3))
	}
	return fmt.Sprintf("[[pool]]\nname = %q\nmembers = [%s]\n%s\n", name, strings.Join(list, ", "), more)
}

func routeText(name, more string) string {
	return fmt.Sprintf("[[route]]\nname = %q\n%s\n", name, more)
}

// fetch asks as an ordinary client, with a connection of its own.
func fetch(t *testing.T, method, url, text string, headers ...string) (*http.Response, string) {
	t.Helper()
	r, err := http.NewRequest(method, url, strings.NewReader(text))
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
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(body)
}

// Plain clients bring none of our headers: they reach the service that the route names, the
// host gets what it needs to know, and any status comes back as it is.
func TestPlainClients(t *testing.T) {
	var last *http.Request
	var mu sync.Mutex
	host := testutil.NewHost(t, func(c net.Conn, r *http.Request, _ int) bool {
		mu.Lock()
		last = r
		mu.Unlock()
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
	g := startAppliance(t, head+poolText("address", "", host.Addr())+routeText("address", `
path = "/address"
pool = "address"
class = "lookup"
timeout = "10s"
repeatable = ["PUT"]`))
	for _, status := range []int{200, 201, 204, 205, 301, 304, 404, 418, 501, 599} {
		resp, text := fetch(t, "GET", fmt.Sprintf("%s/address/%d", g.urls[0], status), "")
		if resp.StatusCode != status || resp.Header.Get("Location") != "/elsewhere" || len(resp.Header["X-A"]) != 2 {
			t.Errorf("%d: answered %d, %v", status, resp.StatusCode, resp.Header)
		}
		if want := fmt.Sprintf("text of /address/%d", status); status != 204 && status != 304 && status != 205 && text != want {
			t.Errorf("%d: %q", status, text)
		}
	}
	if resp, text := fetch(t, "HEAD", g.urls[0]+"/address/x", ""); resp.StatusCode != 200 || text != "" {
		t.Errorf("HEAD: %d %q", resp.StatusCode, text)
	}
	fetch(t, "PUT", g.urls[0]+"/address/x?a=%2F%zz", "a body", "X-Request-Id", "mine-1", "X-Timeout", "2.5", "Connection", "X-Hop", "X-Hop", "1")
	mu.Lock()
	if last.RequestURI != "/address/x?a=%2F%zz" || last.Header.Get("X-Request-Id") != "mine-1" || last.Header.Get("X-Hop") != "" {
		t.Errorf("the host got %s, %v", last.RequestURI, last.Header)
	}
	var left float64
	if fmt.Sscan(last.Header.Get("X-Timeout"), &left); left <= 1 || left > 2.5 {
		t.Errorf("the host is told %q of 2.5 s", last.Header.Get("X-Timeout"))
	}
	mu.Unlock()
	fetch(t, "GET", g.urls[0]+"/address/x", "")
	mu.Lock()
	if id := last.Header.Get("X-Request-Id"); len(id) != 16 {
		t.Errorf("the gateway made the id %q", id)
	}
	if fmt.Sscan(last.Header.Get("X-Timeout"), &left); left <= 5 || left > 10 {
		t.Errorf("the host is told %q of the route's 10 s", last.Header.Get("X-Timeout"))
	}
	mu.Unlock()
	if resp, text := fetch(t, "GET", g.urls[0]+"/other", ""); resp.StatusCode != 404 {
		t.Errorf("no route: %d %q", resp.StatusCode, text)
	}
	// The same id again, as tracing clients do, is no matter on a plain route.
	for range 2 {
		if resp, _ := fetch(t, "GET", g.urls[0]+"/address/x", "", "X-Request-Id", "trace-7"); resp.StatusCode != 200 {
			t.Errorf("an id used before: %d", resp.StatusCode)
		}
	}
}

// What may be sent again is what both the class and the method allow.
func TestMethodsDecideTheEffect(t *testing.T) {
	for _, c := range []struct {
		method, class string
		headers       []string
		want          int // requests at the hosts, of which each answers 500
	}{
		{"GET", "lookup", nil, 4}, {"HEAD", "lookup", nil, 4}, {"OPTIONS", "lookup", nil, 4},
		{"POST", "lookup", nil, 1}, {"PATCH", "lookup", nil, 1}, {"DELETE", "lookup", nil, 1},
		{"PUT", "lookup", nil, 4}, // the route says so
		{"GET", "book", nil, 1}, {"PUT", "book", nil, 1},
		{"POST", "report", nil, 1}, {"POST", "report", []string{"Idempotency-Key", "k"}, 2},
	} {
		var hosts []string
		var list []*testutil.Host
		for range 6 {
			h := testutil.NewHost(t, testutil.RespondWith(testutil.ErrorResponse))
			list, hosts = append(list, h), append(hosts, h.Addr())
		}
		requests := func() (n int) {
			for _, h := range list {
				k, _, _ := h.Counts()
				n += k
			}
			return n
		}
		g := startAppliance(t, head+poolText("p", "", hosts...)+routeText("r", `
pool = "p"
repeatable = ["PUT"]
retry_share = 3.0
retry_floor = 100.0
class = "`+c.class+`"`))
		if resp, _ := fetch(t, c.method, g.urls[0]+"/", "", c.headers...); resp.StatusCode != 500 {
			t.Errorf("%s of class %s: answered %d, the hosts say 500", c.method, c.class, resp.StatusCode)
		}
		n := requests()
		if c.want == 2 && n < 2 || c.want != 2 && n != c.want {
			t.Errorf("%s of class %s: %d attempts, want %d", c.method, c.class, n, c.want)
		}
		g.Close()
	}
}

// A path that can't be matched without doubt is 400, whatever the routes; what is matched goes
// to the host byte for byte.
func TestPathTricksOnSockets(t *testing.T) {
	host := testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse))
	secret := testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse))
	g := startAppliance(t, head+poolText("open", "", host.Addr())+poolText("secret", "", secret.Addr())+
		routeText("all", "pool = \"open\"\nclass = \"lookup\"\nhosts = [\"h.org\"]")+
		routeText("secret", "pool = \"secret\"\nclass = \"lookup\"\npath = \"/secret\"\nhosts = [\"h.org\"]"))
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
			t.Errorf("%s at %s: %v %v, want %d", c.target, c.host, resp, err, c.want)
			continue
		}
		n, _, _ := host.Counts()
		m, _, _ := secret.Counts()
		if got := n - before + m - beforeSecret; got != c.want/200%2 {
			t.Errorf("%s at %s: %d requests at the hosts", c.target, c.host, got)
		}
		if strings.HasPrefix(c.target, "/secre") != (m > beforeSecret) {
			t.Errorf("%s at %s: went to the wrong pool", c.target, c.host)
		}
	}
	host.Mu.Lock()
	defer host.Mu.Unlock()
	if got := host.Requests[3].RequestURI; got != "/%61?x=/../" {
		t.Errorf("the host got %q", got)
	}
}

// Three services with two pools each behind one gateway, under load, while one pool's nodes
// crash whole, another's hang, and the file is read anew time and again: nothing that must not
// runs twice, nothing is unanswered, and what can be served is.
func TestThreeServices(t *testing.T) {
	healthy := fakes.Behaviour{Work: 2 * time.Millisecond, Cores: 8}
	names := []string{"calendar", "address", "remind"}
	text, later := head, head
	var ledgers []*fakes.Ledger
	var firsts []*fakes.Fleet
	for _, name := range names {
		ledger := fakes.NewLedger()
		var fleets [2]*fakes.Fleet
		for i := range fleets {
			var err error
			if fleets[i], err = fakes.StartService(fmt.Sprint(name, i), 4, uint64(i), healthy, ledger); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(fleets[i].Close)
		}
		a, b := fleets[0], fleets[1]
		pools := poolText(name, "fallback = [\""+name+"-old\"]", a.Addrs()...) + poolText(name+"-old", "", b.Addrs()...)
		route := routeText(name, "path = \"/"+name+"\"\npool = \""+name+"\"")
		text += pools + route
		later += pools + route + routeText(name+"-more", "path = \"/"+name+"/more\"\npool = \""+name+"-old\"\nclass = \"lookup\"")
		ledgers, firsts = append(ledgers, ledger), append(firsts, a)
	}
	g := startAppliance(t, text)
	var wait sync.WaitGroup
	for i, name := range names {
		classes := fakes.DefaultClasses()
		for k := range classes {
			classes[k].Path, classes[k].Timeout = "/"+name+"/x", 20*time.Second
		}
		load := fakes.Load{URL: g.urls[0], Rate: 100, Count: 500, Classes: classes, Seed: uint64(i + 1), Retries: 2}
		wait.Add(1)
		go func() {
			defer wait.Done()
			if err := load.Run(context.Background(), ledgers[i]); err != nil {
				t.Error(err)
			}
		}()
	}
	served := func(i, n int) {
		t.Helper()
		testutil.WaitUntil(t, "requests are served", func() bool {
			c := ledgers[i].Count()
			return c.Outcomes[fakes.Served] >= n
		})
	}
	served(0, 50)
	for _, n := range firsts[0].Nodes {
		n.Crash() // all of the first pool
	}
	hang := healthy
	hang.Mode, hang.Share = fakes.ResetAt, 0.3
	firsts[1].Nodes[0].Behave(hang)
	for round := range 6 {
		next := text
		if round%2 == 0 {
			next = later
		}
		if err := g.Reload(parse(t, next)); err != nil {
			t.Fatal(err)
		}
		served(2, 60*(round+1))
	}
	for _, n := range firsts[0].Nodes {
		if err := n.Start(); err != nil {
			t.Fatal(err)
		}
	}
	wait.Wait()
	for i, name := range names {
		c := ledgers[i].Count()
		if broken := c.Violations(); broken != "" {
			t.Errorf("%s: rules broken: %s; twice %v, harm %v", name, broken, c.RanTwice, c.RejectedAfterExecution)
		}
		if c.Outcomes[fakes.Served]*100 < 85*c.Requests {
			t.Errorf("%s: of %d asked %v", name, c.Requests, c.Outcomes)
		}
		t.Logf("%s: of %d asked %v", name, c.Requests, c.Outcomes)
	}
}

// A reload opens and closes listeners, keeps the pools that stand, ends those that are out with
// all their connections and goroutines, and one that can't be done changes nothing.
func TestReloadLeavesNothingBehind(t *testing.T) {
	host := testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse))
	other := testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse))
	base := head + poolText("p", "", host.Addr()) + routeText("r", "pool = \"p\"\nclass = \"lookup\"")
	g := startAppliance(t, base)
	second := testutil.Listen(t, "127.0.0.1:0", nil)
	free := second.Addr().String()
	second.Close()
	wide := strings.Replace(base, "[[class]]", "[[listener]]\nname = \"more\"\naddress = \""+free+"\"\n[[class]]", 1) +
		poolText("q", "", other.Addr()) + routeText("s", "path = \"/q\"\npool = \"q\"\nclass = \"lookup\"")
	get := func(url string, want int) {
		t.Helper()
		if resp, text := fetch(t, "GET", url, ""); resp.StatusCode != want {
			t.Errorf("%s: %d %q, want %d", url, resp.StatusCode, text, want)
		}
	}
	pool := g.appliance.pools["p"].Pool
	get(g.urls[0]+"/q", 200)
	var goroutines int
	for round := range 5 {
		if err := g.Reload(parse(t, wide)); err != nil {
			t.Fatal(err)
		}
		get("http://"+free+"/q", 200)
		if n, _, _ := other.Counts(); n != round+1 {
			t.Errorf("the new pool's host has had %d requests", n)
		}
		// A file that can't be served: its listener is taken. Nothing changes.
		taken := strings.Replace(wide, "[[class]]", "[[listener]]\nname = \"third\"\naddress = \""+host.Addr()+"\"\n[[class]]", 1) +
			poolText("z", "", other.Addr()) + routeText("z", "path = \"/z\"\npool = \"z\"\nclass = \"lookup\"")
		if err := g.Reload(parse(t, taken)); err == nil || !strings.Contains(err.Error(), "listener third") {
			t.Errorf("a listener that is taken: %v", err)
		}
		get("http://"+free+"/q", 200)
		other.Mu.Lock()
		other.Requests = other.Requests[:round+1]
		other.Mu.Unlock()
		if err := g.Reload(parse(t, base)); err != nil {
			t.Fatal(err)
		}
		testutil.WaitUntil(t, "the listener is closed", func() bool {
			c, err := net.Dial("tcp", free)
			if err == nil {
				c.Close()
			}
			return err != nil
		})
		get(g.urls[0]+"/q", 200) // served by p again
		testutil.WaitUntil(t, "the connections of the pool that is out have ended", func() bool {
			_, accepted, ended := other.Counts()
			return accepted == ended
		})
		if g.appliance.pools["p"].Pool != pool {
			t.Error("a pool in which nothing has changed was made anew")
		}
		if round == 1 {
			goroutines = runtime.NumGoroutine()
		}
	}
	testutil.WaitUntil(t, "no goroutine is left of what was taken out", func() bool { return runtime.NumGoroutine() <= goroutines })
}

// Members of a file are followed, also from one file to another, and a reload to a file that
// can't be read changes nothing.
func TestMembersFromFiles(t *testing.T) {
	first, second := testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse)), testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse))
	dir := t.TempDir()
	write := func(name string, h *testutil.Host) string {
		path := filepath.Join(dir, name)
		text := fmt.Sprintf("{\"servers\":[{\"id\":%q,\"addr\":%q,\"state\":\"ready\"}]}", h.Addr(), h.Addr())
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	text := func(path string) string {
		return head + "[[pool]]\nname = \"p\"\nmembers_file = \"" + path + "\"\n" + routeText("r", "pool = \"p\"\nclass = \"lookup\"")
	}
	one := write("one.json", first)
	g := startAppliance(t, text(one))
	reaches := func(what string, h *testutil.Host) {
		t.Helper()
		testutil.WaitUntil(t, what, func() bool {
			before, _, _ := h.Counts()
			resp, _ := fetch(t, "GET", g.urls[0]+"/", "")
			after, _, _ := h.Counts()
			return resp.StatusCode == 200 && after > before
		})
	}
	reaches("the file's host is used", first)
	write("one.json", second)
	reaches("the host of the changed file is used", second)
	if err := g.Reload(parse(t, text(filepath.Join(dir, "none.json")))); err == nil || !strings.Contains(err.Error(), "pool p") {
		t.Errorf("a file that is not there: %v", err)
	}
	reaches("the old file is still followed", second)
	if err := g.Reload(parse(t, text(write("two.json", first)))); err != nil {
		t.Fatal(err)
	}
	reaches("the other file is followed", first)
	write("one.json", second)
	time.Sleep(1200 * time.Millisecond) // the old file would have been looked at by now
	reaches("the old file is followed no more", first)
}

// With discovery down at the start the pool refuses at once, health names it, and it serves as
// soon as discovery has told.
func TestDiscoveryDownAtTheStart(t *testing.T) {
	fleet, err := fakes.StartService("s", 3, 3, fakes.Behaviour{}, fakes.NewLedger())
	if err != nil {
		t.Fatal(err)
	}
	defer fleet.Close()
	static := testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse))
	ln := testutil.Listen(t, "127.0.0.1:0", nil)
	addr := ln.Addr().String()
	ln.Close()
	g := startAppliance(t, head+"[[pool]]\nname = \"told\"\ndiscovery = \""+addr+"\"\n"+poolText("static", "", static.Addr())+
		routeText("r", "path = \"/told\"\npool = \"told\"\nclass = \"lookup\"")+routeText("s", "pool = \"static\"\nclass = \"lookup\""))
	began := time.Now()
	resp, _ := fetch(t, "GET", g.urls[0]+"/told", "")
	if resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" || strings.Contains(resp.Header.Get("Retry-After"), ".") {
		t.Errorf("answered %d, Retry-After %q", resp.StatusCode, resp.Header.Get("Retry-After"))
	}
	if took := time.Since(began); took > testutil.WaitTimeout/4 {
		t.Errorf("it took %v", took)
	}
	if resp, text := fetch(t, "GET", g.urls[0]+"/_health", ""); resp.StatusCode != 200 || !strings.Contains(text, "pool told: no host") {
		t.Errorf("health: %d %q", resp.StatusCode, text)
	}
	if resp, _ := fetch(t, "GET", g.urls[0]+"/else", ""); resp.StatusCode != 200 {
		t.Errorf("the other service: %d", resp.StatusCode)
	}
	disco, err := net.Listen("tcp", addr)
	if err != nil {
		t.Skip("the address was taken meanwhile:", err)
	}
	defer disco.Close()
	go http.Serve(disco, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		m := fleet.Nodes[0]
		fmt.Fprintf(w, "{\"version\":1,\"full\":true,\"servers\":[{\"id\":%q,\"addr\":%q,\"state\":\"ready\"}]}\n", m.Name, m.Addr())
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	testutil.WaitUntil(t, "the pool serves", func() bool {
		resp, _ := fetch(t, "GET", g.urls[0]+"/told", "")
		return resp.StatusCode == 200
	})
	if _, text := fetch(t, "GET", g.urls[0]+"/_health", ""); text != "ok\n" {
		t.Errorf("health: %q", text)
	}
}
