package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// listedHost is an entry of an endpoint list.
type listedHost struct {
	ID      string `json:"id"`
	Addr    string `json:"addr"`
	Cell    int    `json:"cell"`
	State   string `json:"state"`
	Started int64  `json:"started_ms"`
}

// startChangingDiscovery starts a discovery service that sends each list to the open watch.
func startChangingDiscovery(t *testing.T, lists <-chan []listedHost) (address string) {
	version := 1
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for {
			select {
			case list := <-lists:
				version++
				text, _ := json.Marshal(map[string]any{"version": version, "full": true, "servers": list})
				fmt.Fprintf(w, "%s\n", text)
			case <-time.After(500 * time.Millisecond):
				io.WriteString(w, "\n")
			case <-r.Context().Done():
				return
			}
			w.(http.Flusher).Flush()
		}
	}))
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return strings.TrimPrefix(s.URL, "http://")
}

// A new process comes up at the address of a host that has gone, under another id or with a later start. A request with a key
// that was in flight at the old process is not sent to the new one, which does not know the key.
func TestRetryDoesNotReachNewProcessAtSameAddress(t *testing.T) {
	for _, test := range []struct {
		name string
		next listedHost
	}{
		{"another id in another cell", listedHost{ID: "s-9", Cell: 2, State: "ready"}},
		{"the same id in another cell", listedHost{ID: "s-0", Cell: 2, State: "ready", Started: time.Now().UnixMilli()}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			arrived := make(chan struct{}, 1)
			replaced := make(chan struct{})
			var old net.Listener
			var atNew atomic.Int64
			old, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			addr := old.Addr().String()
			go func() {
				for {
					c, err := old.Accept()
					if err != nil {
						return
					}
					go func() {
						if _, err := readRequest(c); err == nil {
							arrived <- struct{}{}
						}
						<-replaced
						c.(*net.TCPConn).SetLinger(0)
						c.Close()
					}()
				}
			}()
			lists := make(chan []listedHost, 4)
			lists <- []listedHost{{ID: "s-0", Addr: addr, Cell: 1, State: "ready"}}
			config := strings.Replace(configWithClasses(), `"group":"all"`, `"group":"cell"`, -1)
			path := t.TempDir() + "/config.json"
			writeFile(t, path, config)
			p := startWithDiscovery(t, startChangingDiscovery(t, lists), path, freeAddress(t))
			p.waitReady(t)
			response := make(chan int, 1)
			go func() {
				status, _, _ := sendShortRequest(p.address(), testClasses[2])
				response <- status
			}()
			<-arrived
			old.Close()
			next, err := net.Listen("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			defer next.Close()
			go func() {
				for {
					c, err := next.Accept()
					if err != nil {
						return
					}
					go func() {
						defer c.Close()
						in := bufio.NewReader(c)
						for {
							r, err := http.ReadRequest(in)
							if err != nil {
								return
							}
							io.Copy(io.Discard, r.Body)
							atNew.Add(1)
							io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood")
						}
					}()
				}
			}()
			test.next.Addr = addr
			lists <- []listedHost{test.next}
			// A new request is served by the new process, so the gateway has the list.
			waitUntil(t, "the new process serves requests", func() bool {
				status, _, _ := sendShortRequest(p.address(), testClasses[2])
				return status == 200
			})
			before := atNew.Load()
			close(replaced)
			if status := <-response; status == 200 || atNew.Load() != before {
				t.Errorf("got status %d, and %d requests at the new process, want a failure and none", status, atNew.Load()-before)
			}
		})
	}
}
