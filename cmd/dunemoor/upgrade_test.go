package main

import (
	"context"
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
)

// startOnSocket runs the program on a socket that the test holds as the platform would, with an admin address.
func startOnSocket(t *testing.T, socket *os.File, config, admin, tmp string) *program {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	p := &program{Cmd: exec.Command(os.Args[0]), config: path, exited: make(chan struct{})}
	p.Env = append(os.Environ(), programVariable+"=1", "GW_CONFIG="+path, "GW_LISTEN="+freeAddress(t),
		"GW_FD=3", "GW_ADMIN="+admin, "TMPDIR="+tmp)
	p.ExtraFiles = []*os.File{socket}
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

// openSocket opens a socket for clients as the platform does, and a file of it for processes to inherit.
func openSocket(t *testing.T) (net.Listener, *os.File) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	socket, err := ln.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { socket.Close() })
	return ln, socket
}

// configWithDiscovery returns a configuration whose discovery service has a list with a host.
func configWithDiscovery(t *testing.T, addr string) string {
	list, _ := startDiscovery(t, "s-0", addr)
	return strings.NewReplacer(unusedAddress, list, `"version":1`, `"version":0`).Replace(platformConfig(addr))
}

// call makes an admin call and returns its status; 0: there was no response.
func call(method, admin, path string) int {
	r, _ := http.NewRequest(method, "http://"+admin+path, nil)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// Three times under load a new process takes over from an old one on the same socket. Each request has one response,
// on persistent and on new connections, and the old processes end by themselves: an old one must neither accept new
// connections nor close the socket, and a new one must not report ready before it can serve.
func TestUpgradeUnderLoadLosesNothing(t *testing.T) {
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(5 * time.Millisecond) // so that some are in flight at any time
		io.WriteString(w, "done")
	}))
	defer host.Close()
	addr := strings.TrimPrefix(host.URL, "http://")
	config := configWithDiscovery(t, addr)
	ln, socket := openSocket(t)
	url, tmp := "http://"+ln.Addr().String(), t.TempDir()
	startNew := func() (*program, string) {
		admin := freeAddress(t)
		p := startOnSocket(t, socket, config, admin, tmp)
		waitUntil(t, "the new process is ready", func() bool { return call("GET", admin, "/admin/health") == 200 })
		return p, admin
	}
	old, _ := startNew()
	ctx, cancel := context.WithCancel(context.Background())
	var served atomic.Int64
	var clients sync.WaitGroup
	for i := range 4 {
		client := &http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: i == 0}}
		clients.Go(func() {
			for ctx.Err() == nil {
				r, _ := http.NewRequest(http.MethodPost, url+"/api/1", strings.NewReader("body"))
				r.Header.Set("X-Priority-Class", "book")
				r.Header.Set("X-Request-ID", fmt.Sprintf("%016x", lastID.Add(1)))
				r.Header.Set("X-Timeout", "2")
				resp, err := client.Do(r)
				if err != nil {
					t.Errorf("request lost: %v", err)
					return
				}
				text, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				if err != nil || resp.StatusCode != 200 || string(text) != "done" {
					t.Errorf("got status %d, body %q, error %v, want 200 and \"done\"", resp.StatusCode, text, err)
				}
				served.Add(1)
			}
		})
	}
	for range 3 {
		next, admin := startNew()
		before := served.Load()
		if err := old.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		<-old.exited
		if code := old.ProcessState.ExitCode(); code != 0 {
			t.Errorf("got exit code %d, want 0: %s", code, old.out.String())
		}
		waitUntil(t, "requests served after the upgrade", func() bool { return served.Load() > before+50 || t.Failed() })
		if got := call("GET", admin, "/admin/health"); got != 200 {
			t.Errorf("health of the new process: got %d, want 200: %s", got, next.out.String())
		}
		old = next
	}
	cancel()
	clients.Wait()
}

// A new process is not ready until it has the endpoint list, as it would serve by an old one while another process has
// the current one. Without discovery it is ready after a while, so that an upgrade doesn't depend on it.
func TestUpgradeWaitsForTheEndpointList(t *testing.T) {
	_, socket := openSocket(t)
	respond := make(chan struct{})
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-respond:
			io.WriteString(w, `{"version":2,"full":true,"servers":[{"id":"s-0","addr":"127.0.0.1:1","state":"ready"}]}`+"\n")
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		case <-r.Context().Done():
		}
	}))
	defer discovery.Close()
	defer discovery.CloseClientConnections()
	admin, tmp := freeAddress(t), t.TempDir()
	config := strings.ReplaceAll(platformConfig("127.0.0.1:1"), unusedAddress, strings.TrimPrefix(discovery.URL, "http://"))
	startOnSocket(t, socket, config, admin, tmp)
	waitUntil(t, "the admin address responds", func() bool { return call("GET", admin, "/admin/health") != 0 })
	if got := call("GET", admin, "/admin/health"); got != 503 {
		t.Errorf("health before the endpoint list: got %d, want 503", got)
	}
	close(respond)
	waitUntil(t, "ready with the endpoint list", func() bool { return call("GET", admin, "/admin/health") == 200 })

	admin = freeAddress(t)
	startOnSocket(t, socket, platformConfig("127.0.0.1:1"), admin, tmp) // nothing listens at its discovery address
	waitUntil(t, "ready without discovery", func() bool { return call("GET", admin, "/admin/health") == 200 })
}

// From SIGTERM on the old process accepts no new connection while it still has a request in flight: it would have no
// time left to serve it.
func TestOldProcessAcceptsNoNewConnections(t *testing.T) {
	release := make(chan struct{})
	startHost := func(body string) *httptest.Server {
		host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/api/slow" {
				<-release
			}
			io.WriteString(w, body)
		}))
		t.Cleanup(host.Close)
		return host
	}
	ln, socket := openSocket(t)
	post := func(path string) string {
		c := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: waitTimeout}
		r, _ := http.NewRequest(http.MethodPost, "http://"+ln.Addr().String()+path, strings.NewReader("x"))
		r.Header.Set("X-Priority-Class", "book")
		r.Header.Set("X-Request-ID", fmt.Sprintf("%016x", lastID.Add(1)))
		r.Header.Set("X-Timeout", "2")
		resp, err := c.Do(r)
		if err != nil {
			return err.Error()
		}
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body)
		return string(text)
	}
	tmp := t.TempDir()
	startProgram := func(host *httptest.Server) *program {
		admin := freeAddress(t)
		addr := strings.TrimPrefix(host.URL, "http://")
		p := startOnSocket(t, socket, configWithDiscovery(t, addr), admin, tmp) // ready at once: the request in flight must not time out meanwhile
		waitUntil(t, "ready", func() bool { return call("GET", admin, "/admin/health") == 200 })
		return p
	}
	old := startProgram(startHost("old"))
	slow := make(chan string, 1)
	go func() { slow <- post("/api/slow") }()
	if got := post("/api/1"); got != "old" {
		t.Fatalf("got body %q, want \"old\"", got)
	}
	startProgram(startHost("new"))
	if err := old.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "the old process stops", func() bool { return strings.Contains(old.out.String(), "stopping") })
	consecutive := 0
	for n := 0; n < 100 && consecutive < 20; n++ { // the log line comes a moment before the end of accepting
		if post("/api/1") == "new" {
			consecutive++
		} else {
			consecutive = 0
		}
	}
	if consecutive < 20 {
		t.Error("the old process still accepts new connections")
	}
	select {
	case <-old.exited:
		t.Error("the old process ended with a request in flight")
	default:
	}
	close(release)
	if got := <-slow; got != "old" {
		t.Errorf("request in flight: got body %q, want \"old\"\n%s", got, old.out.String())
	}
}
