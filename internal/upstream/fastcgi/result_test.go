package fastcgi

import (
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/engine"
	"dunemoor/internal/fastcgi"
	"dunemoor/internal/testutil"
)

// responseOutcomes is the table of docs/design/fastcgi.md: what a responder does, and the outcome of the attempt.
var responseOutcomes = []struct {
	name     string
	respond  func(c net.Conn, id uint16)
	want     balancer.Result // OK if there is a response
	wantText string
}{
	{"response", func(c net.Conn, id uint16) { c.Write(okRecords(id, "good")) }, balancer.OK, "good"},
	{"without end of STDOUT", func(c net.Conn, id uint16) { c.Write(completedRecords(id, "X: y\n\ngood")) }, balancer.OK, "good"},
	{"with exit status", func(c net.Conn, id uint16) {
		c.Write(append(stdoutRecords(id, "X: y\n\ngood"), endRecord(id, fastcgi.EndRequestBody{AppStatus: 7})...))
	}, balancer.OK, "good"},
	{"in pieces, with STDERR between", func(c net.Conn, id uint16) {
		for _, s := range []string{"X: y", "\r\n\r", "\ngo", "od"} {
			c.Write(append(stdoutRecords(id, s), fastcgi.AppendRecord(nil, fastcgi.Stderr, id, []byte("note"))...))
			time.Sleep(time.Millisecond)
		}
		c.Write(endRecord(id, fastcgi.EndRequestBody{}))
	}, balancer.OK, "good"},
	{"right length", func(c net.Conn, id uint16) { c.Write(completedRecords(id, "Content-Length: 4\n\ngood")) }, balancer.OK, "good"},
	{"wrong length", func(c net.Conn, id uint16) { c.Write(completedRecords(id, "Content-Length: 5\n\ngood")) }, balancer.InvalidResponse, ""},
	{"two lengths", func(c net.Conn, id uint16) {
		c.Write(completedRecords(id, "Content-Length: 4\nContent-Length: 4\n\ngood"))
	}, balancer.InvalidResponse, ""},
	{"overloaded", func(c net.Conn, id uint16) {
		c.Write(endRecord(id, fastcgi.EndRequestBody{ProtocolStatus: fastcgi.Overloaded}))
	}, balancer.Full, ""},
	{"can't multiplex", func(c net.Conn, id uint16) {
		c.Write(endRecord(id, fastcgi.EndRequestBody{ProtocolStatus: fastcgi.CantMultiplex}))
	}, balancer.Full, ""},
	{"unknown role", func(c net.Conn, id uint16) {
		c.Write(endRecord(id, fastcgi.EndRequestBody{ProtocolStatus: fastcgi.UnknownRole}))
	}, balancer.Full, ""},
	{"overloaded after half a header", func(c net.Conn, id uint16) {
		c.Write(append(stdoutRecords(id, "X: "), endRecord(id, fastcgi.EndRequestBody{ProtocolStatus: fastcgi.Overloaded})...))
	}, balancer.InvalidResponse, ""},
	{"complete without output", func(c net.Conn, id uint16) { c.Write(endRecord(id, fastcgi.EndRequestBody{AppStatus: 1})) }, balancer.InvalidResponse, ""},
	{"STDERR only", func(c net.Conn, id uint16) {
		c.Write(append(fastcgi.AppendRecord(nil, fastcgi.Stderr, id, []byte("oh")), endRecord(id, fastcgi.EndRequestBody{AppStatus: 1})...))
	}, balancer.InvalidResponse, ""},
	{"malformed header", func(c net.Conn, id uint16) { c.Write(completedRecords(id, "good\n\n")) }, balancer.InvalidResponse, ""},
	{"incomplete header", func(c net.Conn, id uint16) { c.Write(completedRecords(id, "X: y\n")) }, balancer.InvalidResponse, ""},
	{"closed at once", func(c net.Conn, id uint16) { c.Close() }, balancer.Reset, ""},
	{"reset at once", func(c net.Conn, id uint16) { c.(*net.TCPConn).SetLinger(0); c.Close() }, balancer.Reset, ""},
	{"closed within a record", func(c net.Conn, id uint16) { c.Write(stdoutRecords(id, "X: y\n\ngood")[:14]); c.Close() }, balancer.Reset, ""},
	{"closed between records", func(c net.Conn, id uint16) { c.Write(stdoutRecords(id, "X: y\n")); c.Close() }, balancer.Reset, ""},
	{"closed after the header", func(c net.Conn, id uint16) { c.Write(stdoutRecords(id, "X: y\n\ngo")); c.Close() }, balancer.Reset, ""},
	{"other version", func(c net.Conn, id uint16) { c.Write([]byte("HTTP/1.1 200 OK\r\n\r\n")) }, balancer.Reset, ""},
}

// The behavior of a responder determines whether the request may have run. With a wrong outcome, a request that is not
// idempotent could be retried and run twice.
func TestOutcomeOfResponse(t *testing.T) {
	for _, test := range responseOutcomes {
		t.Run(test.name, func(t *testing.T) {
			r := startResponder(t, emptyValues, func(c net.Conn, id uint16, _ map[string]string, _ string) { test.respond(c, id) })
			_, h := newTestHost(t, r.Addr().String())
			result, text, err := attempt(h, newTestRequest("POST", "/book", "one booking"))
			wantResponse := test.want == balancer.OK
			if result.HasResponse != wantResponse || !wantResponse && result.Outcome != test.want {
				t.Errorf("got response %t, outcome %v, want %v", result.HasResponse, result.Outcome, test.want)
			}
			if text != test.wantText || err != nil {
				t.Errorf("got body %q, error %v, want %q", text, err, test.wantText)
			}
			if n := r.requests.Load(); n != 1 {
				t.Errorf("the responder got %d requests, want 1", n)
			}
		})
	}
}

func TestRefusedConnectionIsConnectFailed(t *testing.T) {
	ln := testutil.Listen(t, "127.0.0.1:0", nil)
	addr := ln.Addr().String()
	ln.Close()
	_, h := newTestHost(t, addr)
	result, _, _ := attempt(h, newTestRequest("POST", "/", "x"))
	if result.HasResponse || result.Outcome != balancer.ConnectFailed || result.PartlySent {
		t.Errorf("got %+v, want ConnectFailed without a byte sent", result)
	}
}

func TestResetBeforeLastByteIsConnectFailed(t *testing.T) {
	ln := testutil.Listen(t, "127.0.0.1:0", nil)
	defer ln.Close()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				io.CopyN(io.Discard, c, 300_000)
				c.(*net.TCPConn).SetLinger(0)
				c.Close()
			}()
		}
	}()
	_, h := newTestHost(t, ln.Addr().String())
	result, _, _ := attempt(h, newTestRequest("POST", "/", strings.Repeat("x", 24<<20)))
	if result.HasResponse || result.Outcome != balancer.ConnectFailed || !result.PartlySent {
		t.Errorf("got response %t, outcome %v, partly sent %t, want ConnectFailed, partly sent", result.HasResponse, result.Outcome, result.PartlySent)
	}
}

// A dial may take long. After it nothing is sent if the host drains, has moved or was restarted in the meantime, or if
// the request is finished, its client has disconnected or the time to write it has expired.
func TestRequestIsCheckedAgainAfterDial(t *testing.T) {
	client := &disconnectedClient{}
	client.gone.Store(true)
	for name, change := range map[string]func(h *host, x *engine.Request){
		"host drains":        func(h *host, _ *engine.Request) { h.Update(h.process.Addr, 0, false) },
		"host moves":         func(h *host, _ *engine.Request) { h.Update("127.0.0.1:9", 0, true) },
		"host restarts":      func(h *host, _ *engine.Request) { h.Update(h.process.Addr, 7, true) },
		"request finishes":   func(_ *host, x *engine.Request) { x.Close() },
		"client disconnects": func(_ *host, x *engine.Request) { x.Client = client },
		"write time expires": func(_ *host, x *engine.Request) { x.WriteBy = time.Now() },
	} {
		r := startResponder(t, closeConnection, func(c net.Conn, id uint16, _ map[string]string, _ string) { c.Write(okRecords(id, "yes")) })
		transport, h := newTestHost(t, r.Addr().String())
		x := newTestRequest("POST", "/", "x")
		transport.dialer.Control = func(_, _ string, _ syscall.RawConn) error {
			change(h, x)
			return nil
		}
		if result, _, _ := attempt(h, x); result.HasResponse || result.Outcome != balancer.NotSent {
			t.Errorf("%s: got %+v, want NotSent", name, result)
		}
		if n := r.requests.Load(); n != 0 {
			t.Errorf("%s: the responder got %d requests, want 0", name, n)
		}
	}
}

// A long response is streamed, and a truncated one is detected.
func TestLongResponses(t *testing.T) {
	text := strings.Repeat("0123456789", 300_000)
	for _, test := range []struct {
		name     string
		header   string
		complete bool // whether END_REQUEST is sent
		wantErr  bool
	}{
		{"complete", "X: y\n\n", true, false},
		{"with length", fmt.Sprintf("Content-Length: %d\n\n", len(text)), true, false},
		{"connection closed", "X: y\n\n", false, true},
		{"shorter than its length", fmt.Sprintf("Content-Length: %d\n\n", len(text)+1), true, true},
	} {
		r := startResponder(t, emptyValues, func(c net.Conn, id uint16, _ map[string]string, _ string) {
			c.Write(stdoutRecords(id, test.header+text))
			if test.complete {
				c.Write(endRecord(id, fastcgi.EndRequestBody{}))
			} else {
				c.Close()
			}
		})
		_, h := newTestHost(t, r.Addr().String())
		result, got, err := attempt(h, newTestRequest("POST", "/", ""))
		if !result.HasResponse || (err != nil) != test.wantErr {
			t.Errorf("%s: got response %t, error %v, want a response, error %t", test.name, result.HasResponse, err, test.wantErr)
		}
		if err == nil && got != text {
			t.Errorf("%s: got %d bytes, want the %d of the response", test.name, len(got), len(text))
		}
	}
}
