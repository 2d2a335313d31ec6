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

// startBeside runs the program on a socket that the test holds, as the platform would, with a
// second address.
func startBeside(t *testing.T, socket *os.File, config, admin, tmp string) *program {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	p := &program{Cmd: exec.Command(os.Args[0]), config: path, exited: make(chan struct{})}
	p.Env = append(os.Environ(), "DUNEMOOR_AS_PROGRAM=1", "GW_CONFIG="+path, "GW_LISTEN="+freeAddr(t),
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

// heldSocket is a socket that listens for clients, as the platform holds one, and what processes
// inherit of it.
func heldSocket(t *testing.T) (net.Listener, *os.File) {
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

// told is a configuration whose discovery names a host at once.
func told(t *testing.T, addr string) string {
	list, _ := discoveryAt(t, "s-0", addr)
	return strings.NewReplacer(unusedAddr, list, `"version":1`, `"version":0`).Replace(platformConfig(addr))
}

func call(method, admin, path string) int {
	r, _ := http.NewRequest(method, "http://"+admin+path, nil)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// Three times under load a new process takes over from an old one on the same socket: every
// request has its one answer, whether on a connection that is kept or a new one, and the old
// ones end by themselves. It guards against an old process that takes what comes new or
// closes the socket, and against a new one that is ready before it can serve.
func TestUpgradeUnderLoad(t *testing.T) {
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(5 * time.Millisecond) // so that some are out at any time
		io.WriteString(w, "done")
	}))
	defer host.Close()
	addr := strings.TrimPrefix(host.URL, "http://")
	config := told(t, addr)
	ln, socket := heldSocket(t)
	url, tmp := "http://"+ln.Addr().String(), t.TempDir()
	newOne := func() (*program, string) {
		admin := freeAddr(t)
		p := startBeside(t, socket, config, admin, tmp)
		until(t, "the new process says yes", func() bool { return call("GET", admin, "/admin/health") == 200 })
		return p, admin
	}
	old, _ := newOne()
	ctx, cancel := context.WithCancel(context.Background())
	var served atomic.Int64
	var clients sync.WaitGroup
	for i := range 4 {
		kept := &http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: i == 0}}
		clients.Go(func() {
			for ctx.Err() == nil {
				r, _ := http.NewRequest(http.MethodPost, url+"/api/1", strings.NewReader("body"))
				r.Header.Set("X-Priority-Class", "book")
				r.Header.Set("X-Request-ID", fmt.Sprintf("%016x", lastID.Add(1)))
				r.Header.Set("X-Timeout", "2")
				resp, err := kept.Do(r)
				if err != nil {
					t.Errorf("lost: %v", err)
					return
				}
				text, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				if err != nil || resp.StatusCode != 200 || string(text) != "done" {
					t.Errorf("answer %d %q, %v", resp.StatusCode, text, err)
				}
				served.Add(1)
			}
		})
	}
	for range 3 {
		next, admin := newOne()
		before := served.Load()
		if err := old.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		<-old.exited
		if code := old.ProcessState.ExitCode(); code != 0 {
			t.Errorf("exit code %d: %s", code, old.out.String())
		}
		until(t, "requests are served after the change", func() bool { return served.Load() > before+50 || t.Failed() })
		if got := call("GET", admin, "/admin/health"); got != 200 {
			t.Errorf("the process that stays says %d: %s", got, next.out.String())
		}
		old = next
	}
	cancel()
	clients.Wait()
}

// A new process says no until discovery has spoken, and yes without it after a while: it
// guards against serving by an old list while another process serves by the right one, and
// against a release that hangs on discovery.
func TestUpgradeWaitsForTheList(t *testing.T) {
	_, socket := heldSocket(t)
	speak := make(chan struct{})
	list := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-speak:
			io.WriteString(w, `{"version":2,"full":true,"servers":[{"id":"s-0","addr":"127.0.0.1:1","state":"ready"}]}`+"\n")
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		case <-r.Context().Done():
		}
	}))
	defer list.Close()
	defer list.CloseClientConnections()
	admin, tmp := freeAddr(t), t.TempDir()
	config := strings.ReplaceAll(platformConfig("127.0.0.1:1"), unusedAddr, strings.TrimPrefix(list.URL, "http://"))
	startBeside(t, socket, config, admin, tmp)
	until(t, "the second address answers", func() bool { return call("GET", admin, "/admin/health") != 0 })
	if got := call("GET", admin, "/admin/health"); got != 503 {
		t.Errorf("before discovery has spoken it says %d", got)
	}
	close(speak)
	until(t, "it says yes once discovery has", func() bool { return call("GET", admin, "/admin/health") == 200 })

	admin = freeAddr(t)
	startBeside(t, socket, platformConfig("127.0.0.1:1"), admin, tmp) // nobody is at its discovery
	until(t, "it says yes without discovery", func() bool { return call("GET", admin, "/admin/health") == 200 })
}

// From SIGTERM on the old process takes nothing that comes new, though it still has a request
// out: it guards against connections that it accepts and has no time left to serve.
func TestOldProcessTakesNothingNew(t *testing.T) {
	release := make(chan struct{})
	says := func(text string) *httptest.Server {
		host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/api/slow" {
				<-release
			}
			io.WriteString(w, text)
		}))
		t.Cleanup(host.Close)
		return host
	}
	ln, socket := heldSocket(t)
	post := func(path string) string {
		c := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: patience}
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
	begin := func(host *httptest.Server) *program {
		admin := freeAddr(t)
		addr := strings.TrimPrefix(host.URL, "http://")
		p := startBeside(t, socket, told(t, addr), admin, tmp) // at once: what is out must not time out meanwhile
		until(t, "it says yes", func() bool { return call("GET", admin, "/admin/health") == 200 })
		return p
	}
	old := begin(says("old"))
	slow := make(chan string, 1)
	go func() { slow <- post("/api/slow") }()
	if got := post("/api/1"); got != "old" {
		t.Fatalf("answer %q", got)
	}
	begin(says("new"))
	if err := old.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	until(t, "the old one stops", func() bool { return strings.Contains(old.out.String(), "stopping") })
	run := 0
	for n := 0; n < 100 && run < 20; n++ { // the line comes a moment ahead of the deed
		if run++; post("/api/1") != "new" {
			run = 0
		}
	}
	if run < 20 {
		t.Error("the old process goes on taking what comes new")
	}
	select {
	case <-old.exited:
		t.Error("it has left with a request out")
	default:
	}
	close(release)
	if got := <-slow; got != "old" {
		t.Errorf("what was out got %q\n%s", got, old.out.String())
	}
}
