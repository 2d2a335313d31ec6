package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// startOnSocket runs the program on a socket that the test has opened, as the platform does, and with an admin address.
func startOnSocket(t *testing.T, socket *os.File, config, admin, tmp string) *program {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	writeFile(t, path, config)
	p := newProgram(path, freeAddress(t))
	p.Env = append(p.Env, "GW_FD=3", "GW_ADMIN="+admin, "TMPDIR="+tmp)
	p.ExtraFiles = []*os.File{socket}
	p.run(t)
	return p
}

// openSocket opens a socket for clients as the platform does. It returns its listener, and a file of the socket that
// processes can inherit.
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

// configWithDiscovery returns a configuration whose discovery service has a list with one host.
func configWithDiscovery(t *testing.T, addr string) string {
	list, _ := startDiscovery(t, "s-0", addr)
	return strings.NewReplacer(unusedAddress, list, `"version":1`, `"version":0`).Replace(platformConfig(addr))
}

// requestStatus sends a request without a body to an address. It returns the status of the response, or 0 if there was no
// response, for example because the connection was closed.
func requestStatus(method, address, path string) int {
	r, _ := http.NewRequest(method, "http://"+address+path, nil)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// upgrades starts successive processes that share a socket.
type upgrades struct {
	listener net.Listener
	socket   *os.File
	tmp      string // temporary directory in which the processes share the instance lock
}

func newUpgrades(t *testing.T) *upgrades {
	ln, socket := openSocket(t)
	return &upgrades{listener: ln, socket: socket, tmp: t.TempDir()}
}

// url returns the URL of the socket.
func (u *upgrades) url() string { return "http://" + u.listener.Addr().String() }

// startReady starts the next process and waits until it is ready. It returns the process and its admin address.
func (u *upgrades) startReady(t *testing.T, config string) (p *program, admin string) {
	t.Helper()
	admin = freeAddress(t)
	p = startOnSocket(t, u.socket, config, admin, u.tmp)
	waitUntil(t, "the new process is ready", func() bool { return requestStatus("GET", admin, "/admin/health") == 200 })
	return p, admin
}

// Three times under load, a new process takes over from an old one on the same socket. Each request gets one response, on
// persistent and on new connections, and the old processes exit by themselves. An old process must neither accept new
// connections nor close the socket, and a new one must not report that it is ready before it can serve requests.
func TestUpgradeUnderLoadLosesNothing(t *testing.T) {
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(5 * time.Millisecond) // so that some requests are in flight at any time
		io.WriteString(w, "done")
	}))
	defer host.Close()
	config := configWithDiscovery(t, strings.TrimPrefix(host.URL, "http://"))
	u := newUpgrades(t)
	old, _ := u.startReady(t, config)
	ctx, cancel := context.WithCancel(context.Background())
	var served atomic.Int64
	var clients sync.WaitGroup
	for i := range 4 {
		client := &http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: i == 0}}
		clients.Go(func() { sendUntilDone(ctx, t, client, u.url(), &served) })
	}
	for range 3 {
		next, admin := u.startReady(t, config)
		before := served.Load()
		if err := old.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		old.mustExitCleanly(t)
		waitUntil(t, "requests served after the upgrade", func() bool { return served.Load() > before+50 || t.Failed() })
		if got := requestStatus("GET", admin, "/admin/health"); got != 200 {
			t.Errorf("health of the new process: got %d, want 200: %s", got, next.out.String())
		}
		old = next
	}
	cancel()
	clients.Wait()
}

// sendUntilDone sends requests, one after the other, until ctx ends or a request gets no response. served counts those
// with a response.
func sendUntilDone(ctx context.Context, t *testing.T, client *http.Client, url string, served *atomic.Int64) {
	for ctx.Err() == nil {
		status, body, err := postBook(client, url+"/api/1")
		if err != nil && status == 0 {
			t.Errorf("request lost: %v", err)
			return
		}
		if err != nil || status != 200 || body != "done" {
			t.Errorf("got status %d, body %q, error %v, want 200 and \"done\"", status, body, err)
		}
		served.Add(1)
	}
}

// postBook sends a request of class "book". status is 0 if there was no response. If a response is truncated, both its
// status and an error are returned.
func postBook(client *http.Client, url string) (status int, body string, err error) {
	r, err := newBookRequest(url)
	if err != nil {
		return 0, "", err
	}
	resp, err := client.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err
}

// A new process is not ready until it has received the endpoint list. Before that it would use a saved list, which may be
// stale, while the old process has the current one. If discovery is down the new process becomes ready after some time,
// so that an upgrade doesn't depend on discovery.
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
	waitUntil(t, "the admin address responds", func() bool { return requestStatus("GET", admin, "/admin/health") != 0 })
	if got := requestStatus("GET", admin, "/admin/health"); got != 503 {
		t.Errorf("health before the endpoint list: got %d, want 503", got)
	}
	close(respond)
	waitUntil(t, "ready with the endpoint list", func() bool { return requestStatus("GET", admin, "/admin/health") == 200 })

	admin = freeAddress(t)
	startOnSocket(t, socket, platformConfig("127.0.0.1:1"), admin, tmp) // nothing listens at its discovery address
	waitUntil(t, "ready without discovery", func() bool { return requestStatus("GET", admin, "/admin/health") == 200 })
}

// After SIGTERM the old process accepts no new connections, although it still has a request in flight: it would have no
// time left to serve them.
func TestOldProcessAcceptsNoNewConnections(t *testing.T) {
	release := make(chan struct{})
	u := newUpgrades(t)
	post := func(path string) string {
		client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: waitTimeout}
		status, body, err := postBook(&client, u.url()+path)
		if err != nil && status == 0 {
			return err.Error()
		}
		return body
	}
	// With a discovery service a process is ready at once. Otherwise the request in flight might time out before the
	// second process is ready.
	old, _ := u.startReady(t, configWithDiscovery(t, startNamedHost(t, "old", release)))
	slow := make(chan string, 1)
	go func() { slow <- post("/api/slow") }()
	if got := post("/api/1"); got != "old" {
		t.Fatalf("got body %q, want \"old\"", got)
	}
	u.startReady(t, configWithDiscovery(t, startNamedHost(t, "new", release)))
	if err := old.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	old.waitForLog(t, "stopping", 1)
	consecutive := 0
	for n := 0; n < 100 && consecutive < 20; n++ { // the program logs "stopping" shortly before it stops accepting
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

// startNamedHost starts a host that responds with its name. It responds to "/api/slow" only after release is closed.
func startNamedHost(t *testing.T, name string, release <-chan struct{}) (addr string) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/api/slow" {
			<-release
		}
		io.WriteString(w, name)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}
