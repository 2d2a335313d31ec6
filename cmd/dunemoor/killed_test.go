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

// silent is the address of a discovery service that takes connections and says nothing.
func silent(t *testing.T) string {
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

// booking is a request in the protocol's form.
func booking(path string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: a\r\nX-Priority-Class: book\r\nX-Timeout: 2\r\nX-Request-ID: " +
		fmt.Sprintf("%016x", lastID.Add(1)) + "\r\nContent-Length: 1\r\n\r\nx"
}

// A gateway is killed right behind a connection that it may have accepted, and with a request out. The
// client sees an end or an answer, and the next process at the address serves whoever comes first,
// though nobody at discovery speaks: it guards against one that listens and serves nobody.
func TestKilledBehindAnAccept(t *testing.T) {
	var held atomic.Int64
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/hold" {
			io.ReadAll(r.Body)
			held.Add(1)
			<-r.Context().Done()
			return
		}
		io.WriteString(w, "done")
	}))
	defer host.Close()
	for name, discovery := range map[string]string{"down": unusedAddr, "hung": silent(t)} {
		for _, platform := range []bool{false, true} {
			what := name + ", a socket of its own"
			if platform {
				what = name + ", the platform's socket"
			}
			t.Run(what, func(t *testing.T) {
				text := strings.ReplaceAll(platformConfig(strings.TrimPrefix(host.URL, "http://")), unusedAddr, discovery)
				addr, tmp := freeAddr(t), t.TempDir()
				path := filepath.Join(tmp, "config.json")
				if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
				var socket *os.File
				if platform {
					var ln net.Listener
					ln, socket = heldSocket(t)
					addr = ln.Addr().String()
				}
				begin := func() *program {
					if platform {
						return startBeside(t, socket, text, freeAddr(t), tmp)
					}
					return startBy(t, discovery, path, addr)
				}
				dial := func() (c net.Conn) {
					until(t, "a connection is taken", func() (ok bool) {
						var err error
						c, err = net.Dial("tcp", addr)
						return err == nil
					})
					t.Cleanup(func() { c.Close() })
					c.SetDeadline(time.Now().Add(patience))
					return c
				}
				answer := func(c net.Conn) (string, error) {
					resp, err := http.ReadResponse(bufio.NewReader(c), nil)
					if err != nil {
						return "", err
					}
					defer resp.Body.Close()
					text, err := io.ReadAll(resp.Body)
					return string(text), err
				}
				var left []net.Conn
				for _, path := range []string{"/api/1", "/hold"} {
					before := held.Load()
					p := begin()
					c := dial()
					io.WriteString(c, booking(path)) // it fails where the process has gone
					if path == "/hold" {
						until(t, "the host has it", func() bool { return held.Load() > before })
					}
					p.Process.Kill()
					<-p.exited
					left = append(left, c)
				}
				p := begin()
				c := dial()
				if _, err := io.WriteString(c, booking("/api/1")); err != nil {
					t.Fatal(err)
				}
				if text, err := answer(c); text != "done" || err != nil {
					t.Errorf("%q, %v\n%s", text, err, p.out.String())
				}
				for i, c := range left { // a platform's socket keeps who has not been accepted
					if text, err := answer(c); err != nil && os.IsTimeout(err) || err == nil && text != "done" {
						t.Errorf("client %d of a process that was killed: %q, %v", i, text, err)
					}
				}
			})
		}
	}
}
