package fastcgi

import (
	"errors"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/body"
	"dunemoor/internal/body/bodytest"
	"dunemoor/internal/engine"
	"dunemoor/internal/fastcgi"
	"dunemoor/internal/testutil"
)

const (
	uploadStart = "start of the body, " // the buffered part
	uploadEnd   = "end of the body"     // the streamed part
)

// resettingResponder resets its connection once it has received a part of a request's body.
type resettingResponder struct {
	conn      net.Conn
	bytesLeft int  // bytes of content before the reset
	atEnd     bool // the reset comes after the end of STDIN
}

func (r *resettingResponder) Request(uint16, []byte, bool, error) {}
func (r *resettingResponder) Abort(uint16)                        {}
func (r *resettingResponder) Reply([]byte)                        {}

func (r *resettingResponder) Body(_ uint16, part []byte, end bool) {
	r.bytesLeft -= len(part)
	if end == r.atEnd && r.bytesLeft <= 0 {
		testutil.ResetConnection(r.conn, nil, 0)
		r.conn.Close()
	}
}

// serveReset serves connections with resettingResponders.
func serveReset(t *testing.T, bodyBytes int, atEnd bool) (addr string) {
	t.Helper()
	ln := testutil.Listen(t, "127.0.0.1:0", nil)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go feedResponder(c, &resettingResponder{conn: c, bytesLeft: bodyBytes, atEnd: atEnd})
		}
	}()
	return ln.Addr().String()
}

func feedResponder(c net.Conn, handler fastcgi.ServerHandler) {
	defer c.Close()
	server := fastcgi.NewServer(handler, 1)
	b := make([]byte, 4096)
	for {
		n, err := c.Read(b)
		if server.Feed(b[:n]) != nil || err != nil {
			return
		}
	}
}

// A responder that knows the length of the body may run the request before STDIN ends. Guards against a rejection or a
// retry of such a request, which would run it twice.
func TestResetDuringUploadIsResetIfResponderHasLastByte(t *testing.T) {
	const total = len(uploadStart) + len(uploadEnd)
	for _, test := range []struct {
		name   string
		length int64
		ends   bool // whether the client ends the body, and the responder waits for that
		want   balancer.Result
	}{
		{"known length", int64(total), true, balancer.Reset},
		{"known length, body not ended by the client", int64(total), false, balancer.Reset},
		{"known length, last byte missing", int64(total) + 1, false, balancer.ConnectFailed},
		{"unknown length", -1, true, balancer.Reset},
		{"unknown length, body not ended by the client", -1, false, balancer.ConnectFailed},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, h := newTestHost(t, serveReset(t, total, test.ends))
			x := newTestRequest("POST", "/", "")
			source := bodytest.NewSource(test.ends, uploadEnd)
			x.Body = body.NewStreamed([]byte(uploadStart), body.NewStream(source, test.length))
			result, _, _ := attempt(h, x)
			if result.HasResponse || result.Outcome != test.want {
				t.Errorf("got response %t, outcome %v, want %v", result.HasResponse, result.Outcome, test.want)
			}
		})
	}
}

// errShortWrite is the error of shortWriteConn.
var errShortWrite = errors.New("write failed before its last byte")

// shortWriteConn is a connection whose first write sends all but the last missing bytes.
type shortWriteConn struct {
	net.Conn
	missing int
}

func (c *shortWriteConn) Write(p []byte) (int, error) { return len(p) - c.missing, errShortWrite }

// The responder of a buffered request may run it without the record that ends STDIN. Guards against a second attempt after
// a write that failed within that record.
func TestFailedWriteOfEndOfStdinIsReset(t *testing.T) {
	for _, test := range []struct {
		name    string
		text    string
		missing int // bytes
		want    balancer.Result
	}{
		{"last byte of the end", "one booking", 1, balancer.Reset},
		{"all of the end", "one booking", fastcgi.HeaderBytes, balancer.Reset},
		{"last byte of the content", "one booking", fastcgi.HeaderBytes + 1, balancer.ConnectFailed},
		{"all of the end, without content", "", fastcgi.HeaderBytes, balancer.Reset},
		{"last byte of the parameters", "", fastcgi.HeaderBytes + 1, balancer.ConnectFailed},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, h := newTestHost(t, "127.0.0.1:9")
			near, far := net.Pipe()
			defer far.Close()
			c := newConn(h, &shortWriteConn{Conn: near, missing: test.missing}, h.generation)
			c.inFlight = 1
			result := c.RoundTrip(t.Context(), newTestRequest("POST", "/", test.text))
			if result.HasResponse || result.Outcome != test.want {
				t.Errorf("got response %t, outcome %v, want %v", result.HasResponse, result.Outcome, test.want)
			}
		})
	}
}

// A responder hangs within an upload, with as much of the body in the sockets as they hold. Guards against a response that
// is late by the pace that responders may have otherwise.
func TestUploadToHangingResponderEndsWithinTimeout(t *testing.T) {
	ln := testutil.Listen(t, "127.0.0.1:0", nil)
	defer ln.Close()
	_, h := newTestHost(t, ln.Addr().String())
	part := strings.Repeat("x", 32<<10)
	const parts = 1024 // more than the sockets hold
	x := newTestRequest("POST", "/", "")
	source := bodytest.NewSource(true, slices.Repeat([]string{part}, parts)...)
	x.Body = body.NewStreamed([]byte(uploadStart), body.NewStream(source, int64(len(uploadStart)+parts*len(part))))
	x.Timeout = 100 * time.Millisecond
	x.Route = &engine.Route{Streams: &engine.Streams{Pace: body.Pace{IdleTimeout: 2 * testutil.WaitTimeout}}}
	result, _, _ := attempt(h, x)
	if result.HasResponse || result.Outcome != balancer.ConnectFailed {
		t.Errorf("got response %t, outcome %v, want ConnectFailed", result.HasResponse, result.Outcome)
	}
}
