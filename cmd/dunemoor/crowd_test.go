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

// filesVariable bounds the descriptors of a test binary that stands in for the program.
const filesVariable = "DUNEMOOR_FILES"

// boundFiles lets the process have no more descriptors than it was told.
func boundFiles() {
	n, err := strconv.ParseUint(os.Getenv(filesVariable), 10, 64)
	if err != nil {
		return
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: n, Max: n}); err != nil {
		panic(err)
	}
}

func (p *program) files() int {
	list, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Process.Pid))
	return len(list)
}

// While discovery is down, requests hang at all the hosts that are known and clients that say nothing
// fill the descriptors, all that the system lets the process have. Once discovery is back its list is
// heard, nothing more goes to the hosts that it leaves out, what is under way there ends as ever, and
// what is new is served by the host that it names. It guards the descriptors that neither clients nor
// hosts may take, without which no call to discovery comes up; once with as many as the
// configuration says, once with fewer.
func TestListIsHeardBehindACrowd(t *testing.T) {
	for _, tt := range []struct {
		name             string
		files, says      int
		clients, members int
	}{
		{"as configured", 64, 64, 40, 30},
		{"fewer than configured", 128, 1024, 90, 60},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Setenv(filesVariable, fmt.Sprint(tt.files))
			var hung atomic.Int64
			release := make(chan struct{})
			old := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				io.Copy(io.Discard, r.Body)
				hung.Add(1)
				<-release
				io.WriteString(w, "done")
			}))
			t.Cleanup(old.Close)
			once := sync.OnceFunc(func() { close(release) })
			t.Cleanup(once)
			newHost, newRequests := named(t)
			members := make([]string, tt.members)
			for i := range members {
				members[i] = strings.TrimPrefix(old.URL, "http://")
			}
			list := freeAddr(t) // nobody is there yet
			text := strings.NewReplacer(`"sockets":1024`, fmt.Sprintf(`"sockets":%d`, tt.says), "2000000", "60000000").Replace(platformConfig(members...))
			p := start(t, text, freeAddr(t))
			p.ready(t)
			if err := os.WriteFile(p.config, []byte(strings.Replace(text, `"discovery":"`+unusedAddr, `"discovery":"`+list, 1)), 0o600); err != nil {
				t.Fatal(err)
			}
			if err := p.Process.Signal(syscall.SIGHUP); err != nil {
				t.Fatal(err)
			}
			until(t, "discovery has moved", func() bool { return strings.Contains(p.out.String(), "configuration reloaded") })

			var ended, served atomic.Int64 // requests, and those of them that a host has answered
			var clients sync.WaitGroup
			connect := func(says string) net.Conn {
				c, err := net.Dial("tcp", strings.TrimPrefix(p.url, "http://"))
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { c.Close() })
				c.SetDeadline(time.Now().Add(2 * patience))
				io.WriteString(c, says)
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
			until(t, "all that may be out is out", func() bool {
				return hung.Load()+ended.Load() >= int64(tt.clients) || p.files() >= tt.files-1
			})
			for range tt.files {
				connect("")
			}
			out := hung.Load()
			t.Logf("%d requests out, %d of %d descriptors", out, p.files(), tt.files)

			ln, err := net.Listen("tcp", list)
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
			says := func(line string) {
				t.Helper()
				select {
				case lines <- line:
				case <-time.After(patience):
					t.Fatalf("discovery is not called, %d of %d descriptors: %s", p.files(), tt.files, p.out.String())
				}
			}
			healthy := func() (status int) { // a connection may be closed unread in a crowd
				if resp, err := http.Get(p.url + "/_health"); err == nil {
					resp.Body.Close()
					status = resp.StatusCode
				}
				return status
			}
			says(`{"version":7,"full":true,"servers":[]}`)
			until(t, "the list is in use", func() bool { return healthy() == 503 })
			once()
			clients.Wait()
			says(fmt.Sprintf(`{"version":8,"full":true,"servers":[{"id":"s-new","addr":%q,"state":"ready"}]}`, newHost))
			until(t, "what is new is served", func() bool {
				ask(p.url)
				return newRequests.Load() > 0
			})
			if hung.Load() != out {
				t.Errorf("%d requests at hosts that the list leaves out, %d when it came", hung.Load(), out)
			}
			if served.Load() != out {
				t.Errorf("%d of %d requests that were under way there are served", served.Load(), out)
			}
		})
	}
}
