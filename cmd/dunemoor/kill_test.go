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

// startHungDiscovery starts a discovery service that accepts connections and never responds. It returns its address.
func startHungDiscovery(t *testing.T) string {
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

// bookRequest returns the bytes of a request of class "book" with the headers of the platform.
func bookRequest(path string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: a\r\nX-Priority-Class: book\r\nX-Timeout: 2\r\nX-Request-ID: " +
		fmt.Sprintf("%016x", lastID.Add(1)) + "\r\nContent-Length: 1\r\n\r\nx"
}

// A gateway is killed right after a client has connected, and again with a request in flight. The clients get either the
// end of the connection or a response. The next process at the address serves its first client although discovery
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
	addr := strings.TrimPrefix(host.URL, "http://")
	for name, discovery := range map[string]string{"down": unusedAddress, "hung": startHungDiscovery(t)} {
		t.Run("discovery "+name+", the program's own socket", func(t *testing.T) {
			listen := freeAddress(t)
			path := filepath.Join(t.TempDir(), "config.json")
			writeFile(t, path, strings.ReplaceAll(platformConfig(addr), unusedAddress, discovery))
			checkKillAfterAccept(t, listen, &inFlight, func() *program { return startWithDiscovery(t, discovery, path, listen) })
		})
		t.Run("discovery "+name+", the platform's socket", func(t *testing.T) {
			text := strings.ReplaceAll(platformConfig(addr), unusedAddress, discovery)
			ln, socket := openSocket(t)
			tmp := t.TempDir()
			checkKillAfterAccept(t, ln.Addr().String(), &inFlight, func() *program {
				return startOnSocket(t, socket, text, freeAddress(t), tmp)
			})
		})
	}
}

// checkKillAfterAccept kills two processes that serve at an address, the second one with a request in flight, and sends
// a request to the third. inFlight counts the requests to "/hold" that have reached the host.
func checkKillAfterAccept(t *testing.T, addr string, inFlight *atomic.Int64, startProgram func() *program) {
	t.Helper()
	var killed []net.Conn
	for _, path := range []string{"/api/1", "/hold"} {
		before := inFlight.Load()
		p := startProgram()
		c := dialUntilConnected(t, addr)
		io.WriteString(c, bookRequest(path)) // an error means that the process has ended
		if path == "/hold" {
			waitUntil(t, "request at the host", func() bool { return inFlight.Load() > before })
		}
		p.Process.Kill()
		<-p.exited
		killed = append(killed, c)
	}
	p := startProgram()
	c := dialUntilConnected(t, addr)
	if _, err := io.WriteString(c, bookRequest("/api/1")); err != nil {
		t.Fatal(err)
	}
	if text, err := readResponse(c); text != "done" || err != nil {
		t.Errorf("got body %q, error %v, want \"done\"\n%s", text, err, p.out.String())
	}
	for i, c := range killed { // connections that were not accepted stay on the platform's socket, for the next process
		text, err := readResponse(c)
		timedOut := err != nil && os.IsTimeout(err)
		wrongBody := err == nil && text != "done"
		if timedOut || wrongBody {
			t.Errorf("client %d of a killed process: got body %q, error %v, want the end of the connection or a response", i, text, err)
		}
	}
}

// dialUntilConnected connects to an address at which a process is about to listen.
func dialUntilConnected(t *testing.T, addr string) net.Conn {
	t.Helper()
	var c net.Conn
	waitUntil(t, "connection", func() bool {
		var err error
		c, err = net.Dial("tcp", addr)
		return err == nil
	})
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(waitTimeout))
	return c
}

// readResponse reads a response and returns its body.
func readResponse(c net.Conn) (string, error) {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return string(text), err
}
