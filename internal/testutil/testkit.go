// Package testutil has what tests of several packages share: hosts on loopback sockets whose
// answers are written by a script, and waiting on conditions. Only tests import it.
package testutil

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// How long tests wait, and how often they look.
const (
	WaitTimeout  = 20 * time.Second // for a condition: long, as machines are noisy
	PollInterval = 2 * time.Millisecond
)

// WaitUntil waits for a condition.
func WaitUntil(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(WaitTimeout); !ok(); time.Sleep(PollInterval) {
		if time.Now().After(end) {
			t.Fatalf("gave up waiting: %s", what)
		}
	}
}

// Host is a host on a loopback socket whose answers are written by a script.
type Host struct {
	net.Listener
	script Script

	Mu       sync.Mutex // guards the rest
	accepted int
	ended    int // connections that the gateway has closed
	Requests []*http.Request
	Bodies   []string
}

// Script writes to the connection for each request, counted from 0 over all connections, and
// says whether it stays open.
type Script func(c net.Conn, r *http.Request, n int) (keep bool)

// NewHost starts a host on a free port.
func NewHost(t testing.TB, script Script) *Host {
	t.Helper()
	return NewHostOn(t, Listen(t, "127.0.0.1:0", nil), script)
}

// NewHostOn starts a host on a listener.
func NewHostOn(t testing.TB, ln net.Listener, script Script) *Host {
	h := &Host{Listener: ln, script: script}
	t.Cleanup(func() { h.Close() })
	go func() {
		for {
			c, err := h.Accept()
			if err != nil {
				return
			}
			h.Mu.Lock()
			h.accepted++
			h.Mu.Unlock()
			go h.serve(c)
		}
	}()
	return h
}

// Listen opens a listener.
func Listen(t testing.TB, addr string, control func(string, string, syscall.RawConn) error) net.Listener {
	t.Helper()
	ln, err := (&net.ListenConfig{Control: control}).Listen(context.Background(), "tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

func (h *Host) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			h.Mu.Lock()
			h.ended++
			h.Mu.Unlock()
			return
		}
		body, _ := io.ReadAll(r.Body)
		h.Mu.Lock()
		n := len(h.Requests)
		h.Requests = append(h.Requests, r)
		h.Bodies = append(h.Bodies, string(body))
		h.Mu.Unlock()
		if !h.script(c, r, n) {
			return
		}
	}
}

// Addr is where it listens.
func (h *Host) Addr() string { return h.Listener.Addr().String() }

// Counts returns the requests that came whole, the connections accepted and those
// that the gateway has ended.
func (h *Host) Counts() (requests, accepted, ended int) {
	h.Mu.Lock()
	defer h.Mu.Unlock()
	return len(h.Requests), h.accepted, h.ended
}

// RespondWith is a script that writes the same answer each time.
func RespondWith(text string) Script {
	return func(c net.Conn, _ *http.Request, _ int) bool {
		io.WriteString(c, text)
		return true
	}
}

// Answers.
const (
	OKResponse       = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood"
	ErrorResponse    = "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"
	RejectedResponse = "HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
)

// NeverRespond answers nothing; the host goes on reading, and so sees the connection end.
func NeverRespond(net.Conn, *http.Request, int) bool { return true }

// ResetConnection resets the connection.
func ResetConnection(c net.Conn, _ *http.Request, _ int) bool {
	c.(*net.TCPConn).SetLinger(0)
	return false
}

var lastID atomic.Int64

// NewID is an id that no request here has had.
func NewID() string { return fmt.Sprintf("%016x", lastID.Add(1)) }

// SendRequest sends a request in the protocol's form, on a connection of its own, and returns its answer
// and the answer's body.
func SendRequest(t testing.TB, url, class, path, body string, headers ...string) (*http.Response, string) {
	t.Helper()
	method := http.MethodPost
	if class == "look" {
		method = http.MethodGet
	}
	r, err := http.NewRequest(method, url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("X-Priority-Class", class)
	r.Header.Set("X-Request-ID", NewID())
	r.Header.Set("X-Timeout", "60")
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: WaitTimeout}).Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(text)
}

// LookRequest is a good request of the class look.
func LookRequest(id string) string {
	return "GET /api/1 HTTP/1.1\r\nHost: a\r\nX-Priority-Class: look\r\nX-Timeout: 60\r\nX-Request-ID: " + id + "\r\n\r\n"
}

// RoundTrip asks on a connection and says whether a good answer came.
func RoundTrip(c net.Conn) error {
	if _, err := io.WriteString(c, LookRequest(NewID())); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	if text, err := io.ReadAll(resp.Body); string(text) != "good" {
		return fmt.Errorf("%d %q, %v", resp.StatusCode, text, err)
	}
	return nil
}
