package main

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// After SIGTERM clients can still connect for some time, and all accepted requests get a response. Then the program exits
// with code 0. If the listener were closed at once, the connections in its backlog would be lost.
func TestGracefulShutdownUnderLoadLosesNothing(t *testing.T) {
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(50 * time.Millisecond) // so that some requests are in flight at any time
		io.WriteString(w, "done")
	}))
	defer host.Close()
	p := start(t, platformConfig(strings.TrimPrefix(host.URL, "http://")), freeAddress(t))
	p.waitReady(t)
	var served, servedAfterStop atomic.Int64
	var stopAt atomic.Int64 // Unix time in ns of the signal, 0 before it
	var clients sync.WaitGroup
	for range 2 {
		clients.Go(func() {
			for {
				stop := stopAt.Load()
				accepted, err := sendRequest(p.url)
				if err == nil && stop > 0 {
					servedAfterStop.Add(1)
				}
				switch {
				case stop > 0 && time.Since(time.Unix(0, stop)) > minAcceptAfterStop:
					return // the last connection may have been opened after the listener was closed
				case accepted && err != nil:
					t.Errorf("request lost: %v", err)
				case err != nil:
					t.Errorf("connection refused while the program must accept clients: %v", err)
				}
				served.Add(1)
			}
		})
	}
	for end := time.Now().Add(waitTimeout); served.Load() < 10 && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	stopAt.Store(time.Now().UnixNano())
	if err := p.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	clients.Wait()
	if servedAfterStop.Load() == 0 {
		t.Error("got no request served after SIGTERM")
	}
	select {
	case <-p.exited:
	case <-time.After(waitTimeout):
		t.Fatalf("the program still runs after %v", waitTimeout)
	}
	p.mustExitCleanly(t)
}

// A request that was accepted just before the listener was closed gets its response before the program exits.
func TestGracefulShutdownFinishesRequestsInFlight(t *testing.T) {
	got, release := make(chan struct{}), make(chan struct{})
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(got)
		<-release
		io.WriteString(w, "done")
	}))
	defer host.Close()
	p := start(t, platformConfig(strings.TrimPrefix(host.URL, "http://")), freeAddress(t))
	p.waitReady(t)
	result := make(chan error, 1)
	go func() {
		_, err := sendRequest(p.url)
		result <- err
	}()
	<-got
	if err := p.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "the listener is closed", func() bool { // the request is still in flight
		nc, err := net.Dial("tcp", p.address())
		if err == nil {
			nc.Close()
		}
		return errors.Is(err, syscall.ECONNREFUSED)
	})
	close(release)
	if err := <-result; err != nil {
		t.Errorf("request lost: %v", err)
	}
	p.mustExitCleanly(t)
}

// A request in flight at a hung host, with more time left than the gateway takes to shut down, gets a response before the
// program exits.
func TestGracefulShutdownEndsRequestsAtHungHosts(t *testing.T) {
	got := make(chan struct{})
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body) // net/http detects that a client has disconnected only after its body was read
		close(got)
		<-r.Context().Done()
	}))
	defer host.Close()
	text := strings.ReplaceAll(platformConfig(strings.TrimPrefix(host.URL, "http://")), "2000000", "60000000")
	p := start(t, text, freeAddress(t))
	p.waitReady(t)
	c, err := net.Dial("tcp", p.address())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(waitTimeout))
	io.WriteString(c, "POST /api/1 HTTP/1.1\r\nHost: a\r\nX-Request-ID: hang-1\r\nX-Priority-Class: book\r\n"+
		"X-Timeout: 60\r\nContent-Length: 1\r\n\r\nx")
	<-got
	if err := p.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("request lost: %v", err)
	}
	if _, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != 502 {
		t.Errorf("got status %d, error %v, want 502", resp.StatusCode, err)
	}
	p.mustExitCleanly(t)
}
