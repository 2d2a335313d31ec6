package http1

import (
	"bufio"
	"dunemoor/internal/frontend"
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

// isRefused reports whether connecting to an address fails with ECONNREFUSED.
func isRefused(addr string) bool {
	c, err := net.Dial("tcp", addr)
	if err == nil {
		c.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// After Shutdown is called, requests on open connections are still served for long, because clients may have no other
// gateway. Shortly before the exit the connection is closed after a response, and no request fails.
func TestShutdownServesOpenConnections(t *testing.T) {
	// The difference is the time that a client may pause between two requests without seeing an unannounced close.
	if got := defaultLastRequestsTime - frontend.CloseIdleTime; got != 200*time.Millisecond {
		t.Errorf("got %v between closing connections after their response and closing idle ones, want 200ms", got)
	}
	g := startGateway(t, withHealthyHost(t))
	// If the client sends no request in this time, the connection is closed without a last response. The time must be
	// longer than any pause of a busy machine.
	g.server.lastRequestsTime = 1500 * time.Millisecond
	c := g.dialWithTimeout()
	in := bufio.NewReader(c)
	// If Serve were called only after Shutdown, it would close the listener and the connections in its backlog.
	testutil.WaitUntil(t, "the connection is accepted", func() bool { return g.server.ConnCounts().Open == 1 })
	stopped := make(chan struct{})
	go func() {
		g.server.Shutdown()
		close(stopped)
	}()
	served := 0 // number of requests served since the listener was closed
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
		t.Error("the connection was closed at the same time as the listener, want requests served after that")
	}
	if _, err := in.ReadByte(); err != io.EOF {
		t.Errorf("end of the connection: got %v, want EOF", err)
	}
	<-stopped
}

// A listener that is passed to Serve after Shutdown was called is closed, because its clients could not be served until
// the end.
func TestServeAfterShutdownClosesListener(t *testing.T) {
	host, release := newBlockingHost(t)
	g := startGateway(t, withHosts(host))
	// While a request is open, Shutdown lasts for seconds. If Serve returns earlier, it has not waited for Shutdown.
	io.WriteString(g.dial(), testutil.LookRequest(testutil.NewID()))
	testutil.WaitUntil(t, "the host has received the request", func() bool { n, _, _ := host.Counts(); return n == 1 })
	stopped := make(chan struct{})
	go func() {
		g.server.Shutdown()
		close(stopped)
	}()
	testutil.WaitUntil(t, "Shutdown has started", g.server.shuttingDown.Load)
	ln := &countingListener{Listener: testutil.Listen(t, "127.0.0.1:0", nil)}
	served := make(chan error, 1)
	go func() { served <- g.server.Serve(ln) }()
	select {
	case err := <-served:
		if err != nil {
			t.Errorf("Serve: got %v, want nil", err)
		}
	case <-stopped:
		t.Error("Serve runs until Shutdown has ended, want it to return immediately")
	}
	close(release)
	// A Serve that accepts connections may also have returned early, when Shutdown closed all listeners.
	if n := ln.accepts.Load(); n != 0 {
		t.Errorf("Serve after Shutdown: got %d calls of Accept, want none", n)
	}
	if _, err := net.Dial("tcp", ln.Addr().String()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("dial the listener: got %v, want %v", err, syscall.ECONNREFUSED)
	}
	<-stopped
}

// countingListener is a listener that counts the calls of Accept.
type countingListener struct {
	net.Listener
	accepts atomic.Int32
}

func (l *countingListener) Accept() (net.Conn, error) {
	l.accepts.Add(1)
	return l.Listener.Accept()
}

// emfileListener is a listener whose Accept fails with EMFILE the given number of times.
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

// Serve continues after Accept has failed for lack of file descriptors, and the connections of a listener continue to
// be served after CloseListener.
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
