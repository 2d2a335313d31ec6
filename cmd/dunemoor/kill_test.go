package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// hungDiscovery returns the address of a discovery service that accepts connections and never responds.
func hungDiscovery(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
		}
	}()
	return ln.Addr().String()
}

// bookRequest returns a request with the headers of the platform.
func bookRequest(path string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: a\r\nX-Priority-Class: book\r\nX-Timeout: 2\r\nX-Request-ID: " +
		fmt.Sprintf("%016x", lastID.Add(1)) + "\r\nContent-Length: 1\r\n\r\nx"
}

// A gateway is killed right after a connection that it may have accepted, and with a request in flight. The client sees
// the end of the connection or a response. The next process at the address serves the first client, though discovery
// doesn't respond.
func TestKillAfterAccept(t *testing.T) {
	var inFlight atomic.Int64
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/hold" {
			io.ReadAll(r.Body)
			inFlight.Add(1)
			<-r.Context().Done()
			return
		}
		io.WriteString(w, "done")
	}))
	defer host.Close()
	for name, discovery := range map[string]string{"down": unusedAddress, "hung": hungDiscovery(t)} {
		for _, platform := range []bool{false, true} {
			test := "discovery " + name + ", own socket"
			if platform {
				test = "discovery " + name + ", the platform's socket"
			}
			t.Run(test, func(t *testing.T) {
				text := strings.ReplaceAll(platformConfig(strings.TrimPrefix(host.URL, "http://")), unusedAddress, discovery)
				addr, tmp := freeAddress(t), t.TempDir()
				path := filepath.Join(tmp, "config.json")
				if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
				var socket *os.File
				if platform {
					var ln net.Listener
					ln, socket = openSocket(t)
					addr = ln.Addr().String()
				}
				startProgram := func() *program {
					if platform {
						return startOnSocket(t, socket, text, freeAddress(t), tmp)
					}
					return startWithDiscovery(t, discovery, path, addr)
				}
				dial := func() (c net.Conn) {
					waitUntil(t, "connection", func() (ok bool) {
						var err error
						c, err = net.Dial("tcp", addr)
						return err == nil
					})
					t.Cleanup(func() { c.Close() })
					c.SetDeadline(time.Now().Add(waitTimeout))
					return c
				}
				readResponse := func(c net.Conn) (string, error) {
					resp, err := http.ReadResponse(bufio.NewReader(c), nil)
					if err != nil {
						return "", err
					}
					defer resp.Body.Close()
					text, err := io.ReadAll(resp.Body)
					return string(text), err
				}
				var killed []net.Conn
				for _, path := range []string{"/api/1", "/hold"} {
					before := inFlight.Load()
					p := startProgram()
					c := dial()
					io.WriteString(c, bookRequest(path)) // it fails where the process has ended
					if path == "/hold" {
						waitUntil(t, "request at the host", func() bool { return inFlight.Load() > before })
					}
					p.Process.Kill()
					<-p.exited
					killed = append(killed, c)
				}
				p := startProgram()
				c := dial()
				if _, err := io.WriteString(c, bookRequest("/api/1")); err != nil {
					t.Fatal(err)
				}
				if text, err := readResponse(c); text != "done" || err != nil {
					t.Errorf("got body %q, error %v, want \"done\"\n%s", text, err, p.out.String())
				}
				for i, c := range killed { // the platform's socket keeps connections that were not accepted
					text, err := readResponse(c)
					timedOut := err != nil && os.IsTimeout(err)
					wrongBody := err == nil && text != "done"
					if timedOut || wrongBody {
						t.Errorf("client %d of a killed process: got %q, %v, want the end of the connection or a response", i, text, err)
					}
				}
			})
		}
	}
}
