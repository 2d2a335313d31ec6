package main

import (
	"bytes"
	"context"
	"encoding/json"
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
	"testing"
	"time"
)

// waitTimeout is how long tests wait for a condition. It is long because machines may be busy.
const waitTimeout = 30 * time.Second

// minAcceptAfterStop is the minimum time for which the program accepts new clients after SIGTERM.
const minAcceptAfterStop = 400 * time.Millisecond

// unusedAddress is the address of discovery in configurations; nothing listens there.
const unusedAddress = "127.0.0.1:1"

// TestMain runs the program instead of the tests if programVariable is set, so that tests can send signals to a process
// of the program and check its exit code.
func TestMain(m *testing.M) {
	if os.Getenv(programVariable) != "" {
		limitDescriptors()
		go reportAllocations()
		main()
		return
	}
	os.Exit(m.Run())
}

// programVariable is the environment variable that makes the test binary run as the program.
const programVariable = "DUNEMOOR_AS_PROGRAM"

// program is a process of the program.
type program struct {
	*exec.Cmd
	url    string
	config string // path of the configuration file
	out    output
	exited chan struct{} // closed when the process has ended
}

// address returns the address at which the program serves clients, or "" if it was started by startOnSocket.
func (p *program) address() string { return strings.TrimPrefix(p.url, "http://") }

// output collects the output of a process.
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

// waitUntil waits until condition returns true, and fails the test after waitTimeout. what describes the condition.
func waitUntil(t testing.TB, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %q after %v", what, waitTimeout)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// waitForLog waits until text occurs in the program's output at least the given number of times.
func (p *program) waitForLog(t testing.TB, text string, times int) {
	t.Helper()
	waitUntil(t, text, func() bool { return strings.Count(p.out.String(), text) >= times })
}

// writeFile writes a file, and overwrites an existing one.
func writeFile(t testing.TB, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// start runs the program with a configuration.
func start(t *testing.T, config, listen string, args ...string) *program {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	writeFile(t, path, config)
	return startWithFile(t, path, listen, args...)
}

// startWithFile runs the program with the configuration in a file.
func startWithFile(t testing.TB, path, listen string, args ...string) *program {
	t.Helper()
	return startWithDiscovery(t, unusedAddress, path, listen, args...)
}

// startWithDiscovery is startWithFile with GW_DISCOVERY set to an address.
func startWithDiscovery(t testing.TB, discovery, path, listen string, args ...string) *program {
	t.Helper()
	p := newProgram(path, listen, args...)
	p.url = "http://" + listen
	p.Env = append(p.Env, "GW_DISCOVERY="+discovery)
	p.run(t)
	return p
}

// newProgram returns a program with the configuration in a file and the address at which it will listen. It is not
// started yet.
func newProgram(path, listen string, args ...string) *program {
	p := &program{Cmd: exec.Command(os.Args[0], args...), config: path, exited: make(chan struct{})}
	p.Env = append(os.Environ(), programVariable+"=1", "GW_CONFIG="+path, "GW_LISTEN="+listen)
	p.Stdout = &p.out
	p.Stderr = &p.out
	return p
}

// run starts the process, and kills it at the end of the test.
func (p *program) run(t testing.TB) {
	t.Helper()
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
}

// mustExitCleanly waits for the end of the process, and reports an error unless its exit code is 0.
func (p *program) mustExitCleanly(t testing.TB) {
	t.Helper()
	<-p.exited
	if code := p.ProcessState.ExitCode(); code != 0 {
		t.Errorf("got exit code %d, want 0: %s", code, p.out.String())
	}
}

// waitReady waits until the program's health endpoint reports that it can serve requests.
func (p *program) waitReady(t testing.TB) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if resp, err := http.Get(p.url + "/_health"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == 200 {
				return
			}
		}
	}
	t.Fatalf("not ready after %v: %s", waitTimeout, p.out.String())
}

// freeAddress returns a free loopback address. No other tests use its IP address, so that it stays free.
func freeAddress(t testing.TB) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.83:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// platformConfig returns a platform configuration whose saved endpoint list has the given hosts.
func platformConfig(hosts ...string) string {
	type object map[string]any
	list := []object{}
	for i, addr := range hosts {
		list = append(list, object{"id": fmt.Sprint("s-", i), "addr": addr, "state": "ready"})
	}
	text, _ := json.Marshal(object{
		"name": "n0", "discovery": unusedAddress, "seed": "1f",
		"limits": object{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known":  object{"version": 1, "full": true, "servers": list},
		"settings": object{
			"balancers": 1, "step": 5000, "caps": object{"cancel": true, "max_attempts": 4},
			"classes": []object{{"name": "book", "effect": "at_most_once", "hard_limit": 2000000, "promise": 2000000}},
		},
	})
	return string(text)
}

var lastID atomic.Int64

// newBookRequest returns a request of class "book" with the headers of the platform.
func newBookRequest(url string) (*http.Request, error) {
	r, err := http.NewRequest(http.MethodPost, url, strings.NewReader("body"))
	if err != nil {
		return nil, err
	}
	r.Header.Set("X-Priority-Class", "book")
	r.Header.Set("X-Request-ID", fmt.Sprintf("%016x", lastID.Add(1)))
	r.Header.Set("X-Timeout", "2")
	return r, nil
}

// sendRequest sends a request on a connection of its own. accepted reports whether the connection was established.
func sendRequest(url string) (accepted bool, err error) {
	nc, err := net.DialTimeout("tcp", strings.TrimPrefix(url, "http://"), waitTimeout)
	if err != nil {
		return false, err
	}
	client := http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext:       func(context.Context, string, string) (net.Conn, error) { return nc, nil },
	}, Timeout: waitTimeout}
	r, err := newBookRequest(url + "/api/1")
	if err != nil {
		return false, err
	}
	resp, err := client.Do(r)
	if err != nil {
		return true, err
	}
	defer resp.Body.Close()
	if text, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != 200 || string(text) != "done" {
		return true, fmt.Errorf("got status %d, body %q, error %v, want 200 and \"done\"", resp.StatusCode, text, err)
	}
	return true, nil
}

// startDiscovery starts a discovery service whose list has one host. It returns the address of the service and the number
// of its watches.
func startDiscovery(t *testing.T, id, addr string) (address string, watches *atomic.Int64) {
	watches = new(atomic.Int64)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.FormValue("index") != "0" {
			return // the version is one of another discovery service
		}
		fmt.Fprintf(w, `{"version":7,"full":true,"servers":[{"id":%q,"addr":%q,"state":"ready"}]}`+"\n", id, addr)
		w.(http.Flusher).Flush()
		watches.Add(1)
		<-r.Context().Done()
	}))
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return strings.TrimPrefix(s.URL, "http://"), watches
}

// startCountingHost starts a host that counts its requests.
func startCountingHost(t *testing.T) (addr string, requests *atomic.Int64) {
	requests = new(atomic.Int64)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		requests.Add(1)
		io.WriteString(w, "done")
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://"), requests
}
