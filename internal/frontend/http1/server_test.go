package http1

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"dunemoor/internal/testutil"
)

// isRefused reports whether a connection to an address is refused.
func isRefused(addr string) bool {
	c, err := net.Dial("tcp", addr)
	if err == nil {
		c.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// Clients with a connection are served on it long after Shutdown is called, as they may have no other gateway. Shortly before
// the exit the connection ends with a response, and no request fails.
func TestShutdownServesOpenConnections(t *testing.T) {
	// How long a client may pause at the end without losing its connection between two requests.
	if got := lastRequestsTime - closeIdleTime; got != 200*time.Millisecond {
		t.Errorf("connections end with their responses for %v before idle ones are closed, want 200ms", got)
	}
	g := startGateway(t, withHealthyHost(t))
	// A client that sends nothing in this time loses its connection; no pause of a busy machine may take as long.
	g.server.connsEndBeforeDue = 1500 * time.Millisecond
	c := g.dialWithTimeout()
	in := bufio.NewReader(c)
	// A listener that Serve gets only after Shutdown is closed, and with it what waits to be accepted.
	testutil.WaitUntil(t, "the connection is accepted", func() bool { return g.server.ConnCounts().Open == 1 })
	stopped := make(chan struct{})
	go func() {
		g.server.Shutdown()
		close(stopped)
	}()
	served := 0 // since the listener was closed
	for {
		io.WriteString(c, testutil.LookRequest(testutil.NewID()))
		resp, err := http.ReadResponse(in, nil)
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("after %d requests: got %+v, %v, want status 200", served, resp, err)
		}
		io.Copy(io.Discard, resp.Body)
		if resp.Close {
			break
		}
		if served > 0 || isRefused(strings.TrimPrefix(g.url, "http://")) {
			served++
		}
		time.Sleep(testutil.PollInterval)
	}
	if served == 0 {
		t.Error("the connection was closed as soon as the listener, want requests served after that")
	}
	if _, err := in.ReadByte(); err != io.EOF {
		t.Errorf("end of the connection: got %v, want EOF", err)
	}
	<-stopped
}

// A listener that comes after Shutdown is called is closed, as its clients would not be served to the end.
func TestServeAfterShutdownClosesListener(t *testing.T) {
	host, release := newBlockingHost(t)
	g := startGateway(t, withHosts(host))
	// While it has a request, Shutdown lasts for seconds: a Serve that returns before has not waited for its end.
	io.WriteString(g.dial(), testutil.LookRequest(testutil.NewID()))
	testutil.WaitUntil(t, "the host has the request", func() bool { n, _, _ := host.Counts(); return n == 1 })
	stopped := make(chan struct{})
	go func() {
		g.server.Shutdown()
		close(stopped)
	}()
	testutil.WaitUntil(t, "Shutdown has begun", g.server.shuttingDown.Load)
	ln := &countingListener{Listener: testutil.Listen(t, "127.0.0.1:0", nil)}
	served := make(chan error, 1)
	go func() { served <- g.server.Serve(ln) }()
	select {
	case err := <-served:
		if err != nil {
			t.Errorf("Serve: got %v, want nil", err)
		}
	case <-stopped:
		t.Error("Serve goes on until Shutdown has ended, want it to return")
	}
	close(release)
	// One that goes on may return when Shutdown closes all listeners.
	if n := ln.accepts.Load(); n != 0 {
		t.Errorf("Serve goes on: got %d calls of Accept, want none", n)
	}
	if _, err := net.Dial("tcp", ln.Addr().String()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("dial the listener: got %v, want %v", err, syscall.ECONNREFUSED)
	}
	<-stopped
}

// countingListener counts the calls of Accept.
type countingListener struct {
	net.Listener
	accepts atomic.Int32
}

func (l *countingListener) Accept() (net.Conn, error) {
	l.accepts.Add(1)
	return l.Listener.Accept()
}

// emfileListener fails a number of times as if there were no descriptors left.
type emfileListener struct {
	net.Listener
	failures atomic.Int32
}

func (l *emfileListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// A listener that fails for want of descriptors goes on when there are some again, and its connections are served on after
// CloseListener.
func TestServeContinuesAfterAcceptFailures(t *testing.T) {
	g := startGateway(t, withHealthyHost(t))
	ln := &emfileListener{Listener: testutil.Listen(t, "127.0.0.1:0", nil)}
	ln.failures.Store(3)
	served := make(chan error, 1)
	go func() { served <- g.server.Serve(ln) }()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := testutil.RoundTrip(c); err != nil {
		t.Fatal(err)
	}
	g.server.CloseListener(ln)
	if err := <-served; err != nil {
		t.Errorf("Serve: got %v, want nil", err)
	}
	if err := testutil.RoundTrip(c); err != nil {
		t.Errorf("after CloseListener: got %v, want a response", err)
	}
}
