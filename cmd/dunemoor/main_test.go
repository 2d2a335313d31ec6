package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"dunemoor/internal/flightrecorder"
)

const patience = 30 * time.Second // for a condition: long, as machines are noisy

// comeTime is how long clients come after SIGTERM at the least.
const comeTime = 400 * time.Millisecond

// unusedAddr is where discovery is said to be at the start; nothing listens there.
const unusedAddr = "127.0.0.1:1"

// TestMain lets the test binary stand in for the program, so that signals and exit
// codes are those of a process.
func TestMain(m *testing.M) {
	if os.Getenv("DUNEMOOR_AS_PROGRAM") != "" {
		boundFiles()
		go tellAllocations()
		main()
		return
	}
	os.Exit(m.Run())
}

type program struct {
	*exec.Cmd
	url    string
	config string // path of the file
	out    output
	exited chan struct{}
}

// output is what a process has written so far.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *output) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(b)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// until waits for a condition.
func until(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("gave up waiting: %s", what)
		}
	}
}

// start runs the program with a configuration.
func start(t *testing.T, config, listen string, args ...string) *program {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	return startAs(t, path, listen, args...)
}

// startAs runs the program with the configuration at a path.
func startAs(t testing.TB, path, listen string, args ...string) *program {
	t.Helper()
	return startBy(t, unusedAddr, path, listen, args...)
}

// startBy is startAs with discovery at an address.
func startBy(t testing.TB, discovery, path, listen string, args ...string) *program {
	t.Helper()
	p := &program{Cmd: exec.Command(os.Args[0], args...), url: "http://" + listen, config: path, exited: make(chan struct{})}
	p.Env = append(os.Environ(), "DUNEMOOR_AS_PROGRAM=1", "GW_CONFIG="+path, "GW_LISTEN="+listen, "GW_DISCOVERY="+discovery)
	p.Stdout, p.Stderr = &p.out, &p.out
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		p.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		p.Process.Kill()
		<-p.exited
	})
	return p
}

// ready waits until the program reports that it can serve.
func (p *program) ready(t testing.TB) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if resp, err := http.Get(p.url + "/_health"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == 200 {
				return
			}
		}
	}
	t.Fatalf("the program does not get ready: %s", p.out.String())
}

// freeAddr is a loopback address that was free just now; nothing else here uses that
// IP address, so that it stays free.
func freeAddr(t testing.TB) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.83:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

func platformConfig(hosts ...string) string {
	type member map[string]any
	list := []member{}
	for i, addr := range hosts {
		list = append(list, member{"id": fmt.Sprint("s-", i), "addr": addr, "state": "ready"})
	}
	text, _ := json.Marshal(member{
		"name": "n0", "discovery": unusedAddr, "seed": "1f",
		"limits": member{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known":  member{"version": 1, "full": true, "servers": list},
		"settings": member{
			"balancers": 1, "step": 5000, "caps": member{"cancel": true, "max_attempts": 4},
			"classes": []member{{"name": "book", "effect": "at_most_once", "hard_limit": 2000000, "promise": 2000000}},
		},
	})
	return string(text)
}

var lastID atomic.Int64

// ask sends a request on a connection of its own. The error tells whether there was
// a connection: one that is refused has taken nothing.
func ask(url string) (taken bool, err error) {
	nc, err := net.DialTimeout("tcp", strings.TrimPrefix(url, "http://"), patience)
	if err != nil {
		return false, err
	}
	client := http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext:       func(context.Context, string, string) (net.Conn, error) { return nc, nil },
	}, Timeout: patience}
	r, err := http.NewRequest(http.MethodPost, url+"/api/1", strings.NewReader("body"))
	if err != nil {
		return false, err
	}
	r.Header.Set("X-Priority-Class", "book")
	r.Header.Set("X-Request-ID", fmt.Sprintf("%016x", lastID.Add(1)))
	r.Header.Set("X-Timeout", "2")
	resp, err := client.Do(r)
	if err != nil {
		return true, err
	}
	defer resp.Body.Close()
	if text, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != 200 || string(text) != "done" {
		return true, fmt.Errorf("answer %d %q, %v", resp.StatusCode, text, err)
	}
	return true, nil
}

// After SIGTERM clients still come for a while, and all that was taken is answered;
// then the program ends by itself with exit code 0. It guards against closing the
// listener at once, which loses what waits in its backlog.
func TestStopUnderLoad(t *testing.T) {
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(50 * time.Millisecond) // so that some are out at any time
		io.WriteString(w, "done")
	}))
	defer host.Close()
	p := start(t, platformConfig(strings.TrimPrefix(host.URL, "http://")), freeAddr(t))
	p.ready(t)
	var served, after atomic.Int64
	var stopAt atomic.Int64 // Unix time in ns of the signal, 0 before it
	var clients sync.WaitGroup
	for range 2 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for {
				stop := stopAt.Load()
				taken, err := ask(p.url)
				if err == nil && stop > 0 {
					after.Add(1)
				}
				switch {
				case stop > 0 && time.Since(time.Unix(0, stop)) > comeTime:
					return // the last one may have come too late
				case taken && err != nil:
					t.Errorf("lost: %v", err)
				case err != nil:
					t.Errorf("not taken, though clients still come: %v", err)
				}
				served.Add(1)
			}
		}()
	}
	for end := time.Now().Add(patience); served.Load() < 10 && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	stopAt.Store(time.Now().UnixNano())
	if err := p.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	clients.Wait()
	if after.Load() == 0 {
		t.Error("nothing was served after SIGTERM")
	}
	select {
	case <-p.exited:
	case <-time.After(patience):
		t.Fatal("the program does not end")
	}
	if code := p.ProcessState.ExitCode(); code != 0 {
		t.Errorf("exit code %d: %s", code, p.out.String())
	}
}

// What was taken just before the listener closed has its answer before the exit.
func TestStopFinishesWhatIsOut(t *testing.T) {
	got, release := make(chan struct{}), make(chan struct{})
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(got)
		<-release
		io.WriteString(w, "done")
	}))
	defer host.Close()
	p := start(t, platformConfig(strings.TrimPrefix(host.URL, "http://")), freeAddr(t))
	p.ready(t)
	answer := make(chan error, 1)
	go func() {
		_, err := ask(p.url)
		answer <- err
	}()
	<-got
	if err := p.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(patience); ; time.Sleep(5 * time.Millisecond) {
		nc, err := net.Dial("tcp", strings.TrimPrefix(p.url, "http://"))
		if errors.Is(err, syscall.ECONNREFUSED) {
			break // the listener is closed, the request still out
		} else if err == nil {
			nc.Close()
		}
		if time.Now().After(end) {
			t.Fatal("the listener stays open")
		}
	}
	close(release)
	if err := <-answer; err != nil {
		t.Errorf("lost: %v", err)
	}
	<-p.exited
	if code := p.ProcessState.ExitCode(); code != 0 {
		t.Errorf("exit code %d: %s", code, p.out.String())
	}
}

// A request that was out before SIGTERM, with more time left than the gateway has, is answered
// before the exit though its host hangs.
func TestStopAnswersWhatHangs(t *testing.T) {
	got := make(chan struct{})
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body) // a server sees its client leave behind the body only
		close(got)
		<-r.Context().Done()
	}))
	defer host.Close()
	text := strings.ReplaceAll(platformConfig(strings.TrimPrefix(host.URL, "http://")), "2000000", "60000000")
	p := start(t, text, freeAddr(t))
	p.ready(t)
	c, err := net.Dial("tcp", strings.TrimPrefix(p.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(patience))
	io.WriteString(c, "POST /api/1 HTTP/1.1\r\nHost: a\r\nX-Request-ID: hang-1\r\nX-Priority-Class: book\r\n"+
		"X-Timeout: 60\r\nContent-Length: 1\r\n\r\nx")
	<-got
	if err := p.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("lost: %v", err)
	}
	if _, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != 502 {
		t.Errorf("status %d, %v", resp.StatusCode, err)
	}
	<-p.exited
	if code := p.ProcessState.ExitCode(); code != 0 {
		t.Errorf("exit code %d: %s", code, p.out.String())
	}
}

// A gateway that was killed starts again from nothing under its address, and serves
// from the list it last had, though discovery is down.
func TestRestart(t *testing.T) {
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, "done")
	}))
	defer host.Close()
	addr, text := freeAddr(t), platformConfig(strings.TrimPrefix(host.URL, "http://"))
	for i := range 2 {
		p := start(t, text, addr)
		p.ready(t)
		if _, err := ask(p.url); err != nil {
			t.Errorf("start %d: %v", i, err)
		}
		p.Process.Kill()
		<-p.exited
	}
}

// discovery is a list of one host at a loopback address.
func discoveryAt(t *testing.T, id, addr string) (at string, watches *atomic.Int64) {
	watches = new(atomic.Int64)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.FormValue("index") != "0" {
			return // a version of another address means nothing here
		}
		fmt.Fprintf(w, `{"version":7,"full":true,"servers":[{"id":%q,"addr":%q,"state":"ready"}]}`+"\n", id, addr)
		w.(http.Flusher).Flush()
		watches.Add(1)
		<-r.Context().Done()
	}))
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return strings.TrimPrefix(s.URL, "http://"), watches
}

// named is a host that counts its requests.
func named(t *testing.T) (addr string, requests *atomic.Int64) {
	requests = new(atomic.Int64)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		requests.Add(1)
		io.WriteString(w, "done")
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://"), requests
}

// SIGHUP takes over the address of discovery from the file, though GW_DISCOVERY named
// another; a bad file changes nothing, and nor does SIGHUP while the program stops. It
// guards against the signal's default, which ends the process, and against watching the
// new address from a version of the old.
func TestReload(t *testing.T) {
	oldHost, oldRequests := named(t)
	newHost, newRequests := named(t)
	text := platformConfig(oldHost)
	p := start(t, text, freeAddr(t))
	p.ready(t)
	serves := func() {
		t.Helper()
		if _, err := ask(p.url); err != nil {
			t.Fatalf("%v; log: %s", err, p.out.String())
		}
	}
	hangUp := func(file string) {
		t.Helper()
		if err := os.WriteFile(p.config, []byte(file), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := p.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	hangUp(text[:len(text)/2])
	until(t, "the bad file is logged", func() bool { return strings.Contains(p.out.String(), "not reloaded") })
	serves()
	if oldRequests.Load() != 1 {
		t.Error("the list of before does not serve after a bad file")
	}
	for i := range 2 { // more than once, each time to another address
		addr, watches := discoveryAt(t, fmt.Sprint("s-", 7+i), newHost)
		hangUp(strings.Replace(text, `"discovery":"`+unusedAddr, `"discovery":"`+addr, 1))
		until(t, "the new address is watched", func() bool { return watches.Load() > 0 })
		before := newRequests.Load()
		until(t, "the new list is used", func() bool { serves(); return newRequests.Load() > before })
	}
	if err := p.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	until(t, "the program stops", func() bool { return strings.Contains(p.out.String(), "stopping") })
	p.Process.Signal(syscall.SIGHUP)
	<-p.exited
	if code := p.ProcessState.ExitCode(); code != 0 {
		t.Errorf("exit code %d: %s", code, p.out.String())
	}
}

// Bad configuration ends the program with one line that names the field, and 1.
func TestBadConfiguration(t *testing.T) {
	p := start(t, strings.Replace(platformConfig(), `"hard_limit":2000000`, `"hard_limit":0`, 1), "127.0.0.1:0")
	select {
	case <-p.exited:
	case <-time.After(patience):
		t.Fatal("the program does not end")
	}
	if code := p.ProcessState.ExitCode(); code != 1 {
		t.Errorf("exit code %d", code)
	}
	if out := p.out.String(); !strings.Contains(out, "deadline") || strings.Count(out, "\n") != 1 {
		t.Errorf("said %q, want one line that names the field", out)
	}
}

// SIGUSR1 has the flight recorder's ring written, and the end the rest of its file; both
// can be read whole.
func TestFlightRecorder(t *testing.T) {
	dir := t.TempDir()
	settings, file := filepath.Join(dir, "flight.toml"), filepath.Join(dir, "all.dmf")
	text := fmt.Sprintf("ring_kb = 128\ndir = %q\nfile = %q\n", dir, file)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	addr, _ := named(t)
	p := start(t, platformConfig(addr), freeAddr(t), "-flight", settings)
	p.ready(t)
	if taken, err := ask(p.url); !taken || err != nil {
		t.Fatal(taken, err)
	}
	p.Process.Signal(syscall.SIGUSR1)
	var dumps []string
	until(t, "the ring is written", func() bool {
		dumps, _ = filepath.Glob(filepath.Join(dir, "flight-n0-*.dmf"))
		return len(dumps) == 1
	})
	p.Process.Signal(syscall.SIGTERM)
	<-p.exited
	if code := p.ProcessState.ExitCode(); code != 0 {
		t.Errorf("exit code %d: %s", code, p.out.String())
	}
	for _, path := range append(dumps, file) {
		f, err := os.Open(path)
		if err != nil {
			t.Fatal(err)
		}
		rep, err := flightrecorder.Replay(flightrecorder.NewReader(f), nil, nil)
		f.Close()
		if err != nil || rep.Divergence != nil || len(rep.Losses) > 0 || rep.Events < 4 {
			t.Errorf("%s: %+v, %v", filepath.Base(path), rep, err)
		}
	}
	if err := os.WriteFile(settings, []byte("ring_kb = 1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	p = start(t, platformConfig(addr), freeAddr(t), "-flight", settings)
	<-p.exited
	if want := "dunemoor: " + settings + ":1: ring_kb: "; p.ProcessState.ExitCode() != 1 || !strings.Contains(p.out.String(), want) {
		t.Errorf("exit code %d, wants %q in: %s", p.ProcessState.ExitCode(), want, p.out.String())
	}
}
