package testutil

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
)

// Host is an HTTP host on a loopback socket. Its responses are written by a Script.
type Host struct {
	net.Listener
	script Script

	Mu       sync.Mutex // guards the fields below
	Requests []*http.Request
	Bodies   []string // bodies of Requests
	accepted int      // number of connections accepted
	closed   int      // number of connections that the client has closed
}

// Script writes the response to a request on its connection. n is the number of the request, counted from 0
// over all connections. keep reports whether the connection stays open.
type Script func(c net.Conn, r *http.Request, n int) (keep bool)

// NewHost starts a host on a free port. It stops at the end of the test.
func NewHost(t testing.TB, script Script) *Host {
	t.Helper()
	return NewHostOn(t, Listen(t, "127.0.0.1:0", nil), script)
}

// NewHostOn starts a host on a listener. It stops at the end of the test.
func NewHostOn(t testing.TB, ln net.Listener, script Script) *Host {
	h := &Host{Listener: ln, script: script}
	t.Cleanup(func() { h.Close() })
	go h.acceptConnections()
	return h
}

func (h *Host) acceptConnections() {
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
}

// serve reads requests and runs the script for each.
func (h *Host) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			h.Mu.Lock()
			h.closed++
			h.Mu.Unlock()
			return
		}
		body, _ := io.ReadAll(r.Body) // a truncated body is recorded as received
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

// Addr returns the address that the host listens on.
func (h *Host) Addr() string { return h.Listener.Addr().String() }

// Counts returns the number of complete requests, of connections accepted, and of connections that the client
// has closed.
func (h *Host) Counts() (requests, accepted, closed int) {
	h.Mu.Lock()
	defer h.Mu.Unlock()
	return len(h.Requests), h.accepted, h.closed
}

// Responses for RespondWith.
const (
	OKResponse       = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood"
	ErrorResponse    = "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"
	RejectedResponse = "HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
)

// RespondWith returns a script that writes the same response to each request.
func RespondWith(response string) Script {
	return func(c net.Conn, _ *http.Request, _ int) bool {
		io.WriteString(c, response)
		return true
	}
}

// NeverRespond is a script that writes nothing. The host continues to read, so that it detects when the client
// closes the connection.
func NeverRespond(net.Conn, *http.Request, int) bool { return true }

// ResetConnection is a script that resets the connection.
func ResetConnection(c net.Conn, _ *http.Request, _ int) bool {
	c.(*net.TCPConn).SetLinger(0)
	return false
}
