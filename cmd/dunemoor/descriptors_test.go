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

// descriptorsVariable limits the descriptors of a test binary that runs as the program.
const descriptorsVariable = "DUNEMOOR_FILES"

// limitDescriptors limits the descriptors of the process as descriptorsVariable says.
func limitDescriptors() {
	n, err := strconv.ParseUint(os.Getenv(descriptorsVariable), 10, 64)
	if err != nil {
		return
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: n, Max: n}); err != nil {
		panic(err)
	}
}

// descriptors is the number of descriptors that a program has open.
func (p *program) descriptors() int {
	list, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Process.Pid))
	return len(list)
}

// While discovery is down, requests hang at all known hosts, and idle clients use up the descriptors of the process. Once
// discovery is up its list arrives: no more requests go to hosts that it lacks, those in flight there end normally, and
// new ones are served by the host that it has. The descriptors for discovery are reserved, with as many descriptors as
// the configuration says and with fewer.
func TestEndpointListArrivesWithoutFreeDescriptors(t *testing.T) {
	for _, tt := range []struct {
		name        string
		descriptors int // of the process
		configured  int // by the configuration
		clients     int
		members     int
	}{
		{"as configured", 64, 64, 40, 30},
		{"fewer than configured", 128, 1024, 90, 60},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Setenv(descriptorsVariable, fmt.Sprint(tt.descriptors))
			var hung atomic.Int64
			release := make(chan struct{})
			old := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				io.Copy(io.Discard, r.Body)
				hung.Add(1)
				<-release
				io.WriteString(w, "done")
			}))
			t.Cleanup(old.Close)
			releaseHosts := sync.OnceFunc(func() { close(release) })
			t.Cleanup(releaseHosts)
			newHost, newRequests := countingHost(t)
			members := make([]string, tt.members)
			for i := range members {
				members[i] = strings.TrimPrefix(old.URL, "http://")
			}
			discovery := freeAddress(t) // not started yet
			text := strings.NewReplacer(`"sockets":1024`, fmt.Sprintf(`"sockets":%d`, tt.configured), "2000000", "60000000").Replace(platformConfig(members...))
			p := start(t, text, freeAddress(t))
			p.waitReady(t)
			if err := os.WriteFile(p.config, []byte(strings.Replace(text, `"discovery":"`+unusedAddress, `"discovery":"`+discovery, 1)), 0o600); err != nil {
				t.Fatal(err)
			}
			if err := p.Process.Signal(syscall.SIGHUP); err != nil {
				t.Fatal(err)
			}
			waitUntil(t, "discovery address reloaded", func() bool { return strings.Contains(p.out.String(), "configuration reloaded") })

			var ended, served atomic.Int64 // requests; served are those with a response of a host
			var clients sync.WaitGroup
			connect := func(request string) net.Conn {
				c, err := net.Dial("tcp", strings.TrimPrefix(p.url, "http://"))
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { c.Close() })
				c.SetDeadline(time.Now().Add(2 * waitTimeout))
				io.WriteString(c, request)
				return c
			}
			for i := range tt.clients {
				c := connect(fmt.Sprintf("POST /api/1 HTTP/1.1\r\nHost: a\r\nX-Request-ID: crowd-%d\r\nX-Priority-Class: book\r\n"+
					"X-Timeout: 60\r\nContent-Length: 1\r\n\r\nx", i))
				clients.Go(func() {
					defer ended.Add(1)
					if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
						if text, err := io.ReadAll(resp.Body); err == nil && resp.StatusCode == 200 && string(text) == "done" {
							served.Add(1)
						}
					}
				})
			}
			waitUntil(t, "as many requests in flight as possible", func() bool {
				return hung.Load()+ended.Load() >= int64(tt.clients) || p.descriptors() >= tt.descriptors-1
			})
			for range tt.descriptors {
				connect("")
			}
			inFlight := hung.Load()
			t.Logf("%d requests in flight, %d of %d descriptors", inFlight, p.descriptors(), tt.descriptors)

			ln, err := net.Listen("tcp", discovery)
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
			sendLine := func(line string) {
				t.Helper()
				select {
				case lines <- line:
				case <-time.After(waitTimeout):
					t.Fatalf("discovery: got no call, with %d of %d descriptors open: %s", p.descriptors(), tt.descriptors, p.out.String())
				}
			}
			healthStatus := func() (status int) { // 0 where the connection is closed for lack of descriptors
				if resp, err := http.Get(p.url + "/_health"); err == nil {
					resp.Body.Close()
					status = resp.StatusCode
				}
				return status
			}
			sendLine(`{"version":7,"full":true,"servers":[]}`)
			waitUntil(t, "the list is in use", func() bool { return healthStatus() == 503 })
			releaseHosts()
			clients.Wait()
			sendLine(fmt.Sprintf(`{"version":8,"full":true,"servers":[{"id":"s-new","addr":%q,"state":"ready"}]}`, newHost))
			waitUntil(t, "new requests are served", func() bool {
				sendRequest(p.url)
				return newRequests.Load() > 0
			})
			if hung.Load() != inFlight {
				t.Errorf("got %d requests at hosts that the list lacks, want %d as when it came", hung.Load(), inFlight)
			}
			if served.Load() != inFlight {
				t.Errorf("got %d requests in flight there served, want %d", served.Load(), inFlight)
			}
		})
	}
}
