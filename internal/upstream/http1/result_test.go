package http1

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/engine"
	"dunemoor/internal/testutil"
)

// responseOutcomes lists what a host may send, with the outcome of the attempt.
var responseOutcomes = []struct {
	name, response string
	want           balancer.Result
	wantKept       int // connections kept for the next attempt
}{
	{"good", testutil.OKResponse, balancer.OK, 1},
	{"good after 100", "HTTP/1.1 100 Continue\r\n\r\n" + testutil.OKResponse, balancer.OK, 1},
	{"good, chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n", balancer.OK, 1},
	{"good, with Connection: close", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\ngood", balancer.OK, 0},
	{"error", testutil.ErrorResponse, balancer.Failed, 1},
	{"rejected", testutil.RejectedResponse, balancer.Full, 1},
	{"rejected after the deadline", "HTTP/1.1 504 Over\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n", balancer.Full, 1},
	{"503 without X-Not-Processed", "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", balancer.Failed, 1},
	{"X-Not-Processed with another status", "HTTP/1.1 500 Oops\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n", balancer.Failed, 1},
	{"X-Not-Processed with another value", "HTTP/1.1 503 Full\r\nX-Not-Processed: 0\r\nContent-Length: 0\r\n\r\n", balancer.Failed, 1},
	{"good after informational responses", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + testutil.OKResponse, balancer.OK, 1},
	{"good with malformed load report", "HTTP/1.1 200 OK\r\nX-Server-Load: \x80;;=\r\nContent-Length: 4\r\n\r\ngood", balancer.OK, 1},
	{"good and a second response", testutil.OKResponse + testutil.OKResponse, balancer.OK, 0},
	{"good and invalid bytes", testutil.OKResponse + "\x80\x01HTTP\r\n\r\n", balancer.OK, 0},
	{"good, chunked, and invalid bytes", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n\x80", balancer.OK, 0},
	{"good, chunked, with trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;a=b\r\ngood\r\n0\r\nX-Sum: 1\r\n\r\n", balancer.OK, 1},
	{"length of 3 GB", "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\ngood", balancer.InvalidResponse, 0},
	{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\ngood", balancer.InvalidResponse, 0},
	{"negative length", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\ngood", balancer.InvalidResponse, 0},
	{"length and chunks", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n", balancer.InvalidResponse, 0},
	{"no length", "HTTP/1.1 200 OK\r\n\r\ngood", balancer.InvalidResponse, 0},
	{"length not reached", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\ngood", balancer.InvalidResponse, 0},
	{"invalid chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\nzz\r\ngood\r\n0\r\n\r\n", balancer.InvalidResponse, 0},
	{"invalid chunk after many", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("4\r\ngood\r\n", maxSmallBytes/8) + "zz\r\n", balancer.InvalidResponse, 0},
	{"negative chunk size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n-4\r\ngood\r\n0\r\n\r\n", balancer.InvalidResponse, 0},
	{"endless header", "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Pad: pppp\r\n", maxHeaderBytes), balancer.InvalidResponse, 0},
	{"incomplete header", "HTTP/1.1 200 OK\r\nContent-Le", balancer.InvalidResponse, 0},
	{"invalid bytes", "\x80\x01\xff\r\n\r\n", balancer.InvalidResponse, 0},
	{"invalid bytes without line end", "\x80", balancer.InvalidResponse, 0},
	{"invalid status", "HTTP/1.1 2x0 OK\r\nContent-Length: 4\r\n\r\ngood", balancer.InvalidResponse, 0},
	{"no status", "HTTP/1.1 OK 200\r\nContent-Length: 4\r\n\r\ngood", balancer.InvalidResponse, 0},
	{"other protocol", "ICY 200 OK\r\nContent-Length: 4\r\n\r\ngood", balancer.InvalidResponse, 0},
	{"invalid field line", "HTTP/1.1 200 OK\r\nno colon\r\nContent-Length: 4\r\n\r\ngood", balancer.InvalidResponse, 0},
}

// With a wrong outcome, a request that is not idempotent could be retried and run twice.
func TestOutcomeOfResponse(t *testing.T) {
	for _, test := range responseOutcomes {
		t.Run(test.name, func(t *testing.T) {
			transport := newTestTransport()
			server := testutil.NewHost(t, testutil.RespondWith(test.response))
			h := newTestHost(transport, server.Addr())
			got, response := attempt(t, h, newTestRequest("b"))
			if got != test.want {
				t.Errorf("got outcome %v, want %v", got, test.want)
			}
			if text := string(response.Body.Bytes()); (got == balancer.OK) != (text == "good") {
				t.Errorf("got body %q with outcome %v, want the body \"good\" if and only if the outcome is OK", text, got)
			}
			checkConnCounts(t, "afterwards", h, test.wantKept, test.wantKept)
			if requests := requestCount(server); requests != 1 {
				t.Errorf("the host got %d requests, want 1", requests)
			}
			if n := transport.largeBytes.Load(); n != 0 {
				t.Errorf("got %d bytes reserved for large responses, want 0", n)
			}
		})
	}
}

// If the host closes the connection before its response is complete, the response is not served: the outcome is Reset.
func TestTruncatedResponseIsReset(t *testing.T) {
	for name, text := range map[string]string{
		"with length": "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\ngood",
		"chunked":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n",
		"header":      "HTTP/1.1 200 OK\r\n",
		"no response": "",
	} {
		server := testutil.NewHost(t, func(c net.Conn, _ *http.Request, _ int) bool {
			io.WriteString(c, text)
			return false
		})
		h := newTestHost(newTestTransport(), server.Addr())
		if got, _ := attempt(t, h, newTestRequest("b")); got != balancer.Reset {
			t.Errorf("%s: got outcome %v, want Reset", name, got)
		}
		if open, _ := connCounts(h); open != 0 {
			t.Errorf("%s: got %d open connections, want 0", name, open)
		}
	}
}

// Where a response is delimited by the end of its connection, a reset is not taken for that end, regardless of how much
// arrived before it and of whether that is buffered or streamed.
func TestResetIsNotEndOfResponse(t *testing.T) {
	const header = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
	for name, test := range map[string]struct {
		text     string
		streamed bool // whether the reset comes after the buffered part
	}{
		"after the header":   {header, false},
		"in the body":        {header + "go", false},
		"after all of it":    {header + "good", false},
		"in a long body":     {header + strings.Repeat("good", maxSmallBytes/8), false},
		"in a streamed body": {header + "go", true},
		"in chunks":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n", false},
		"in streamed chunks": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			attemptDone := make(chan struct{})
			server := testutil.NewHost(t, func(c net.Conn, r *http.Request, n int) bool {
				io.WriteString(c, test.text)
				if test.streamed {
					<-attemptDone
				} else if err := waitUntilReceived(c); err != nil {
					t.Error(err)
				}
				return testutil.ResetConnection(c, r, n)
			})
			h := newTestHost(newTestTransport(), server.Addr())
			got, response := attempt(t, h, newTestRequest("b"))
			close(attemptDone)
			if !test.streamed {
				if got != balancer.Reset {
					t.Errorf("got outcome %v, want Reset", got)
				}
				return
			}
			if got != balancer.OK || response.Body.Buffered() {
				t.Fatalf("got outcome %v, buffered %t, want OK with a streamed body", got, response.Body.Buffered())
			}
			stream := response.Body.Stream()
			if err := stream.Consume(); err != nil {
				t.Fatal(err)
			}
			b := make([]byte, 64)
			n, err := stream.Read(b)
			for n > 0 && err == nil {
				n, err = stream.Read(b)
			}
			if err == nil || err == io.EOF {
				t.Errorf("the stream ended with %v, want an error", err)
			}
			response.Release()
		})
	}
}

func TestRefusedConnectionIsConnectFailed(t *testing.T) {
	ln := testutil.Listen(t, "127.0.0.1:0", nil)
	h := newTestHost(newTestTransport(), ln.Addr().String())
	ln.Close()
	if got, _ := attempt(t, h, newTestRequest("b")); got != balancer.ConnectFailed {
		t.Errorf("got outcome %v, want ConnectFailed", got)
	}
	if open, _ := connCounts(h); open != 0 {
		t.Errorf("got %d connections counted as open, want 0", open)
	}
}

// listenWithFullBacklog returns the address of a socket to which dials time out, as they do to a machine that has failed.
func listenWithFullBacklog(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: name.(*syscall.SockaddrInet4).Port}).String()
	// No connection is accepted, so the backlog is full once one is established.
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	established := make(chan struct{}, 8)
	for range cap(established) {
		go func() {
			if c, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr); err == nil {
				defer c.Close()
				established <- struct{}{}
				<-ctx.Done()
			}
		}()
	}
	<-established
	return addr
}

// A dial is limited to 100 ms even if the configured timeout is longer. Its failure proves that nothing ran.
func TestUnansweredDialIsConnectFailed(t *testing.T) {
	transport := NewTransport(Options{DialTimeout: testutil.WaitTimeout, MaxConns: 1024, MaxLargeBytes: 16 << 20})
	h := newTestHost(transport, listenWithFullBacklog(t))
	startedAt := time.Now()
	if got, _ := attempt(t, h, newTestRequest("b")); got != balancer.ConnectFailed {
		t.Errorf("got outcome %v, want ConnectFailed", got)
	}
	if took := time.Since(startedAt); took > testutil.WaitTimeout/2 {
		t.Errorf("the dial took %v, want at most %v", took, testutil.WaitTimeout/2)
	}
}

func TestResetBeforeLastByteIsConnectFailed(t *testing.T) {
	ln := testutil.Listen(t, "127.0.0.1:0", shrinkBuffer(syscall.SO_RCVBUF))
	defer ln.Close()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			c.Read(make([]byte, 1))
			testutil.ResetConnection(c, nil, 0)
			c.Close()
		}
	}()
	transport := newTestTransport()
	transport.dialer.Control = shrinkBuffer(syscall.SO_SNDBUF)
	h := newTestHost(transport, ln.Addr().String())
	if got, _ := attempt(t, h, newTestRequest(strings.Repeat("x", maxSmallBytes))); got != balancer.ConnectFailed {
		t.Errorf("got outcome %v, want ConnectFailed", got)
	}
}

func TestResetAfterLastByteIsReset(t *testing.T) {
	server := testutil.NewHost(t, testutil.ResetConnection)
	h := newTestHost(newTestTransport(), server.Addr())
	if got, _ := attempt(t, h, newTestRequest("b")); got != balancer.Reset {
		t.Errorf("got outcome %v, want Reset", got)
	}
	if requests := requestCount(server); requests != 1 {
		t.Errorf("the host got %d requests, want 1", requests)
	}
}

// Abandoning an attempt closes its connection, so that the host can stop processing the request and nothing else is sent
// on the connection.
func TestAbandonedAttemptClosesConnection(t *testing.T) {
	for _, test := range []struct {
		name       string
		newContext func() (context.Context, context.CancelFunc)
		want       balancer.Result
	}{
		{"deadline", func() (context.Context, context.CancelFunc) {
			return context.WithTimeout(context.Background(), 300*time.Millisecond)
		}, balancer.TimedOut},
		{"canceled", func() (context.Context, context.CancelFunc) {
			return context.WithCancel(context.Background())
		}, balancer.Canceled},
	} {
		server := testutil.NewHost(t, testutil.NeverRespond)
		h := newTestHost(newTestTransport(), server.Addr())
		ctx, cancel := test.newContext()
		if test.want == balancer.Canceled {
			go func() {
				for requestCount(server) == 0 {
					time.Sleep(testutil.PollInterval)
				}
				cancel()
			}()
		}
		got, _ := classify(h.Attempt(ctx, newTestRequest("b")))
		want := test.want
		if requestCount(server) == 0 {
			want = balancer.NotSent // nothing was sent before the deadline, as the machine is slow
		}
		if got != want {
			t.Errorf("%s: got outcome %v, want %v", test.name, got, want)
		}
		cancel()
		testutil.WaitUntil(t, test.name+": the host detects the end of the connection", func() bool {
			_, accepted, ended := server.Counts()
			return accepted == ended
		})
		checkConnCounts(t, test.name, h, 0, 0)
	}
}

// If the endpoint list changes or the request ends during a dial, nothing is sent.
func TestRequestIsCheckedAgainAfterDial(t *testing.T) {
	for name, change := range map[string]func(h *host, x *engine.Request){
		"host drains":        func(h *host, _ *engine.Request) { h.Update(h.process.Addr, 0, false) },
		"host moves":         func(h *host, _ *engine.Request) { h.Update("127.0.0.1:9", 0, true) },
		"host restarts":      func(h *host, _ *engine.Request) { h.Update(h.process.Addr, 7, true) },
		"request finishes":   func(_ *host, x *engine.Request) { x.Close() },
		"client disconnects": func(_ *host, x *engine.Request) { x.Client = disconnectedClient{} },
		"write time expires": func(_ *host, x *engine.Request) { x.WriteBy = time.Now() },
	} {
		transport := newTestTransport()
		server := testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse))
		h, x := newTestHost(transport, server.Addr()), newTestRequest("b")
		transport.dialer.Control = func(_, _ string, _ syscall.RawConn) error {
			change(h, x)
			return nil
		}
		if got, _ := attempt(t, h, x); got != balancer.NotSent {
			t.Errorf("%s: got outcome %v, want NotSent", name, got)
		}
		h.CloseIdle()
		testutil.WaitUntil(t, name+": the connection ends", func() bool {
			_, accepted, ended := server.Counts()
			return accepted == 1 && ended == 1
		})
		if requests := requestCount(server); requests != 0 {
			t.Errorf("%s: the host got %d requests, want 0", name, requests)
		}
	}
}

// A write to a host that reads nothing ends at WriteBy. As the host has not received the last byte, the request did not
// run.
func TestWriteEndsAtWriteBy(t *testing.T) {
	ln := testutil.Listen(t, "127.0.0.1:0", shrinkBuffer(syscall.SO_RCVBUF))
	transport := newTestTransport()
	transport.dialer.Control = shrinkBuffer(syscall.SO_SNDBUF)
	h := newTestHost(transport, ln.Addr().String())
	x := newTestRequest(strings.Repeat("x", maxSmallBytes))
	x.WriteBy = time.Now().Add(100 * time.Millisecond)
	if got, _ := attempt(t, h, x); got != balancer.ConnectFailed {
		t.Errorf("got outcome %v, want ConnectFailed", got)
	}
	if open, _ := connCounts(h); open != 0 {
		t.Errorf("got %d connections counted as open, want 0", open)
	}
}
