package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// descriptorsVariable is the environment variable with the limit of file descriptors for a test binary that runs as the
// program.
const descriptorsVariable = "DUNEMOOR_FILES"

// limitDescriptors limits the file descriptors of the process to the value of descriptorsVariable, if that is set.
func limitDescriptors() {
	n, err := strconv.ParseUint(os.Getenv(descriptorsVariable), 10, 64)
	if err != nil {
		return
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: n, Max: n}); err != nil {
		panic(err)
	}
}

// descriptors returns the number of file descriptors that a program has open.
func (p *program) descriptors() int {
	list, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Process.Pid))
	return len(list)
}

// While discovery is down, requests hang at all hosts of the saved list, and idle clients use up the file descriptors of
// the process. Once discovery is up its list must still arrive: no more requests go to hosts that are not in it, requests
// in flight there end normally, and new ones are served by the host in the list. The descriptors for discovery are
// reserved, both if the process has as many descriptors as are configured and if it has fewer.
func TestEndpointListArrivesWithoutFreeDescriptors(t *testing.T) {
	for _, tt := range []descriptorsCase{
		{name: "as configured", descriptors: 64, configured: 64, clients: 40, members: 30},
		{name: "fewer than configured", descriptors: 128, configured: 1024, clients: 90, members: 60},
	} {
		t.Run(tt.name, tt.run)
	}
}

// descriptorsCase is a case of TestEndpointListArrivesWithoutFreeDescriptors.
type descriptorsCase struct {
	name        string
	descriptors int // descriptor limit of the process
	configured  int // limit in the configuration
	clients     int // number of clients with one request each
	members     int // number of hosts in the saved list, all at one address
}

func (tt descriptorsCase) run(t *testing.T) {
	t.Setenv(descriptorsVariable, fmt.Sprint(tt.descriptors))
	oldHost := startHangingHost(t)
	newHost, newRequests := startCountingHost(t)
	discoveryAddress := freeAddress(t) // discovery starts later on this address
	p := tt.start(t, oldHost.addr, discoveryAddress)
	group := clientGroup{program: p}
	for i := range tt.clients {
		group.sendRequest(t, i)
	}
	waitUntil(t, "as many requests in flight as possible", func() bool {
		return oldHost.requests.Load()+group.ended.Load() >= int64(tt.clients) || p.descriptors() >= tt.descriptors-1
	})
	for range tt.descriptors {
		group.connect(t)
	}
	inFlight := oldHost.requests.Load()
	t.Logf("%d requests in flight, %d of %d descriptors", inFlight, p.descriptors(), tt.descriptors)

	discovery := startLineDiscovery(t, discoveryAddress)
	sendLine := func(line string) {
		t.Helper()
		select {
		case discovery <- line:
		case <-time.After(waitTimeout):
			t.Fatalf("discovery: got no watch, with %d of %d descriptors open: %s", p.descriptors(), tt.descriptors, p.out.String())
		}
	}
	sendLine(`{"version":7,"full":true,"servers":[]}`)
	waitUntil(t, "the list is in use", func() bool { return requestStatus("GET", p.address(), "/_health") == 503 })
	oldHost.release()
	group.clients.Wait()
	sendLine(fmt.Sprintf(`{"version":8,"full":true,"servers":[{"id":"s-new","addr":%q,"state":"ready"}]}`, newHost))
	waitUntil(t, "new requests are served", func() bool {
		sendRequest(p.url)
		return newRequests.Load() > 0
	})
	if got := oldHost.requests.Load(); got != inFlight {
		t.Errorf("got %d requests at hosts that are not in the list, want %d, as many as when it arrived", got, inFlight)
	}
	if got := group.served.Load(); got != inFlight {
		t.Errorf("got %d of the requests in flight served, want %d", got, inFlight)
	}
}

// start runs the program with a saved list whose entries all have the address host, and waits until it has reloaded the
// address of discovery.
func (tt descriptorsCase) start(t *testing.T, host, discovery string) *program {
	t.Helper()
	members := make([]string, tt.members)
	for i := range members {
		members[i] = host
	}
	sockets := fmt.Sprintf(`"sockets":%d`, tt.configured)
	text := strings.NewReplacer(`"sockets":1024`, sockets, "2000000", "60000000").Replace(platformConfig(members...))
	p := start(t, text, freeAddress(t))
	p.waitReady(t)
	writeFile(t, p.config, strings.Replace(text, `"discovery":"`+unusedAddress, `"discovery":"`+discovery, 1))
	if err := p.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	p.waitForLog(t, "configuration reloaded", 1)
	return p
}

// hangingHost is a host that responds to no request before release is called.
type hangingHost struct {
	addr     string
	requests atomic.Int64 // number of requests received
	release  func()
}

func startHangingHost(t *testing.T) *hangingHost {
	released := make(chan struct{})
	h := &hangingHost{release: sync.OnceFunc(func() { close(released) })}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		h.requests.Add(1)
		<-released
		io.WriteString(w, "done")
	}))
	t.Cleanup(server.Close)
	t.Cleanup(h.release)
	h.addr = strings.TrimPrefix(server.URL, "http://")
	return h
}

// clientGroup is a group of clients of a program, each with a connection of its own.
type clientGroup struct {
	program *program
	clients sync.WaitGroup // clients whose request has not ended
	ended   atomic.Int64   // number of requests that have ended
	served  atomic.Int64   // number of requests in ended that got a host's response
}

// connect opens a connection, which stays open until the end of the test.
func (c *clientGroup) connect(t *testing.T) net.Conn {
	t.Helper()
	nc, err := net.Dial("tcp", c.program.address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(2 * waitTimeout))
	return nc
}

// sendRequest sends the i-th request, and counts it when it ends.
func (c *clientGroup) sendRequest(t *testing.T, i int) {
	t.Helper()
	nc := c.connect(t)
	fmt.Fprintf(nc, "POST /api/1 HTTP/1.1\r\nHost: a\r\nX-Request-ID: client-%d\r\nX-Priority-Class: book\r\n"+
		"X-Timeout: 60\r\nContent-Length: 1\r\n\r\nx", i)
	c.clients.Go(func() {
		defer c.ended.Add(1)
		resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
		if err != nil {
			return
		}
		text, err := io.ReadAll(resp.Body)
		if err == nil && resp.StatusCode == 200 && string(text) == "done" {
			c.served.Add(1)
		}
	})
}

// startLineDiscovery starts a discovery service at an address. It responds to a watch with the lines that are sent to the
// channel. The channel is unbuffered, so a send succeeds only if there is a watch to write the line to.
func startLineDiscovery(t *testing.T, addr string) chan<- string {
	t.Helper()
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	lines := make(chan string)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for {
			select {
			case line := <-lines:
				io.WriteString(w, line+"\n")
				w.(http.Flusher).Flush()
			case <-r.Context().Done():
				return
			}
		}
	})}
	go server.Serve(ln)
	t.Cleanup(func() { server.Close() })
	return lines
}
