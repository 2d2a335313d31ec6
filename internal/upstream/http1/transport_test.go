package http1

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"dunemoor/balancer"
	"dunemoor/internal/body"
	"dunemoor/internal/engine"
	"dunemoor/internal/route"
	"dunemoor/internal/testutil"
)

func newTestPool() *Transport {
	return NewTransport(Options{DialTimeout: testutil.WaitTimeout, MaxConns: 1024, MaxLargeBytes: 16 << 20})
}

// pooled is a host as the loop keeps it.
func pooled(p *Transport, addr string) *host {
	h := p.Host("s-1").(*host)
	h.Update(addr, 0, true)
	return h
}

func newExchange(text string) *engine.Request {
	return &engine.Request{
		Method: http.MethodPost, Target: "/api/1", Host: "service.internal", Header: http.Header{},
		Body: body.NewBuffered([]byte(text)), Deadline: time.Now().Add(testutil.WaitTimeout),
	}
}

// told is what a Result tells the module, by the rule of the platform's protocol.
func told(r engine.Result) (balancer.Result, engine.Response) {
	if !r.HasResponse {
		return r.Outcome, r.Response
	}
	return route.ClassifyProtocol(r.Response.Status, r.Response.Header.Get("X-Not-Processed") == "1"), r.Response
}

// tryOnce makes one attempt with plenty of time.
func tryOnce(t *testing.T, p *Transport, h *host, x *engine.Request) (balancer.Result, engine.Response) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testutil.WaitTimeout)
	defer cancel()
	return told(p.attempt(ctx, h, x))
}

func (p *Transport) counts(h *host) (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, len(p.idle[h])
}

// What a host answers decides whether the request may have run: a wrong result here
// would let an unsafe request run twice.
func TestAnswersAndTheirResults(t *testing.T) {
	tests := []struct {
		name, answer string
		want         balancer.Result
		kept         int // connections kept for the next attempt
	}{
		{"good", testutil.OKResponse, balancer.OK, 1},
		{"good after 100", "HTTP/1.1 100 Continue\r\n\r\n" + testutil.OKResponse, balancer.OK, 1},
		{"good, chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n", balancer.OK, 1},
		{"good, then closing", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\ngood", balancer.OK, 0},
		{"error", testutil.ErrorResponse, balancer.Failed, 1},
		{"turned away", testutil.RejectedResponse, balancer.Full, 1},
		{"turned away as over", "HTTP/1.1 504 Over\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n", balancer.Full, 1},
		{"503 without the proof", "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", balancer.Failed, 1},
		{"proof on another status", "HTTP/1.1 500 Oops\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n", balancer.Failed, 1},
		{"proof that is none", "HTTP/1.1 503 Full\r\nX-Not-Processed: 0\r\nContent-Length: 0\r\n\r\n", balancer.Failed, 1},
		{"good after others", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + testutil.OKResponse, balancer.OK, 1},
		{"good with an odd report", "HTTP/1.1 200 OK\r\nX-Server-Load: \x80;;=\r\nContent-Length: 4\r\n\r\ngood", balancer.OK, 1},
		{"good, and a second copy", testutil.OKResponse + testutil.OKResponse, balancer.OK, 0},
		{"good, and noise", testutil.OKResponse + "\x80\x01HTTP\r\n\r\n", balancer.OK, 0},
		{"good and chunked, and noise", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n\x80", balancer.OK, 0},
		{"good, chunked, with a trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;a=b\r\ngood\r\n0\r\nX-Sum: 1\r\n\r\n", balancer.OK, 1},
		{"3 GB announced", "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\ngood", balancer.InvalidResponse, 0},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\ngood", balancer.InvalidResponse, 0},
		{"a length below 0", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\ngood", balancer.InvalidResponse, 0},
		{"a length and chunks", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n", balancer.InvalidResponse, 0},
		{"no length", "HTTP/1.1 200 OK\r\n\r\ngood", balancer.InvalidResponse, 0},
		{"a length that is not reached", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\ngood", balancer.InvalidResponse, 0},
		{"broken chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\nzz\r\ngood\r\n0\r\n\r\n", balancer.InvalidResponse, 0},
		{"broken chunks behind long ones", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("4\r\ngood\r\n", maxBody/8) + "zz\r\n", balancer.InvalidResponse, 0},
		{"a chunk below 0", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n-4\r\ngood\r\n0\r\n\r\n", balancer.InvalidResponse, 0},
		{"head without end", "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Pad: pppp\r\n", maxHead), balancer.InvalidResponse, 0},
		{"half a head", "HTTP/1.1 200 OK\r\nContent-Le", balancer.InvalidResponse, 0},
		{"noise", "\x80\x01\xff\r\n\r\n", balancer.InvalidResponse, 0},
		{"noise with no end of line", "\x80", balancer.InvalidResponse, 0},
		{"a status that is none", "HTTP/1.1 2x0 OK\r\nContent-Length: 4\r\n\r\ngood", balancer.InvalidResponse, 0},
		{"no status", "HTTP/1.1 OK 200\r\nContent-Length: 4\r\n\r\ngood", balancer.InvalidResponse, 0},
		{"another protocol", "ICY 200 OK\r\nContent-Length: 4\r\n\r\ngood", balancer.InvalidResponse, 0},
		{"a header that is none", "HTTP/1.1 200 OK\r\nno colon\r\nContent-Length: 4\r\n\r\ngood", balancer.InvalidResponse, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, server := newTestPool(), testutil.NewHost(t, testutil.RespondWith(tt.answer))
			h := pooled(p, server.Addr())
			got, a := tryOnce(t, p, h, newExchange("b"))
			if got != tt.want {
				t.Errorf("result %v, want %v", got, tt.want)
			}
			if text := string(a.Body.Bytes()); (got == balancer.OK) != (text == "good") {
				t.Errorf("result %v with the body %q", got, text)
			}
			if open, idle := p.counts(h); open != tt.kept || idle != tt.kept {
				t.Errorf("%d connections open and %d idle, want %d", open, idle, tt.kept)
			}
			if requests, _, _ := server.Counts(); requests != 1 {
				t.Errorf("the host got %d requests", requests)
			}
			if n := p.large.Load(); n != 0 {
				t.Errorf("%d bytes are held", n)
			}
		})
	}
}

// Answers beyond 64 KiB are passed on, whatever room there is: what comes at once is held, within
// a share of the memory limit, and the rest flows. What was held is given back with the answer,
// whoever has it.
func TestLargeAnswers(t *testing.T) {
	const n = 400 << 10
	text := strings.Repeat("0123456789abcdef", n/16)
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for rest := text; rest != ""; rest = rest[min(len(rest), 10000):] {
		part := rest[:min(len(rest), 10000)]
		chunked += fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
	}
	for _, large := range []string{fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", n, text), chunked + "0\r\n\r\n"} {
		p, server := newTestPool(), testutil.NewHost(t, testutil.RespondWith(large))
		h := pooled(p, server.Addr())
		for _, room := range []int64{0, n - 1, 10 * n} {
			p.SetLimits(1024, room)
			got, a := tryOnce(t, p, h, newExchange("b"))
			if got != balancer.OK {
				t.Fatalf("with room for %d: result %v", room, got)
			}
			if held := p.large.Load(); held > room {
				t.Errorf("%d bytes are held of %d", held, room)
			}
			whole := append([]byte(nil), a.Body.Bytes()...)
			if f := a.Body.Stream(); f != nil {
				if err := f.Consume(); err != nil {
					t.Fatal(err)
				}
				rest, err := io.ReadAll(f)
				if err != nil {
					t.Errorf("with room for %d: %v", room, err)
				}
				whole = append(whole, rest...)
			}
			if string(whole) != text {
				t.Errorf("with room for %d: %d bytes came, of %d", room, len(whole), n)
			}
			a.Release()
			a.Release() // a second time gives back nothing
			if held := p.large.Load(); held != 0 {
				t.Errorf("%d bytes are held", held)
			}
			if open, idle := p.counts(h); open != 1 || idle != 1 {
				t.Errorf("%d connections open and %d idle, want 1", open, idle)
			}
		}
	}
}

// A long answer that its host does not end is seen to be cut, and its connection is not used
// again.
func TestLargeAnswerCut(t *testing.T) {
	p, server := newTestPool(), testutil.NewHost(t, func(c net.Conn, _ *http.Request, _ int) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 4<<20, strings.Repeat("x", 2<<20))
		return false
	})
	h := pooled(p, server.Addr())
	got, a := tryOnce(t, p, h, newExchange("b"))
	f := a.Body.Stream()
	if got != balancer.OK || f == nil || f.Consume() != nil {
		t.Fatalf("result %v, flow %v", got, f)
	}
	rest, err := io.ReadAll(f)
	if len(a.Body.Bytes())+len(rest) > 2<<20 || err == nil {
		t.Errorf("%d bytes came, and %v", len(a.Body.Bytes())+len(rest), err)
	}
	a.Release()
	if open, idle := p.counts(h); open != 0 || idle != 0 {
		t.Errorf("%d connections open and %d idle, want none", open, idle)
	}
}

// What follows the head of an answer is not its body where there is none, whatever its length
// says (RFC 9112, 6.3): it guards against waiting for it, and against taking the next answer
// for it.
func TestAnswersWithoutBody(t *testing.T) {
	for _, c := range []struct{ method, answer string }{
		{"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n"},
		{"HEAD", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"},
		{"GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\n"},
		{"DELETE", "HTTP/1.1 204 No Content\r\n\r\n"},
	} {
		p, server := newTestPool(), testutil.NewHost(t, testutil.RespondWith(c.answer))
		h := pooled(p, server.Addr())
		x := newExchange("")
		x.Method = c.method
		for range 2 {
			ctx, cancel := context.WithTimeout(context.Background(), testutil.WaitTimeout)
			r := p.attempt(ctx, h, x)
			cancel()
			if !r.HasResponse || r.Response.Body.Len() != 0 {
				t.Errorf("%s %q: %+v", c.method, c.answer, r)
			}
		}
		if open, idle := p.counts(h); open != 1 || idle != 1 {
			t.Errorf("%s %q: %d connections, %d idle", c.method, c.answer, open, idle)
		}
	}
}

// Once Run has ended nothing stays open: what is idle is closed, and what is in use behind its
// attempt. It guards against connections of a pool that a reload took out.
func TestNothingStaysOpen(t *testing.T) {
	release := make(chan struct{})
	p, server := newTestPool(), testutil.NewHost(t, func(c net.Conn, _ *http.Request, n int) bool {
		if n == 1 {
			<-release
		}
		io.WriteString(c, testutil.OKResponse)
		return true
	})
	h := pooled(p, server.Addr())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { p.Run(ctx); close(done) }()
	tryOnce(t, p, h, newExchange("b"))
	c, err := p.get(context.Background(), h)
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan balancer.Result, 1)
	go func() {
		got, _ := tryOnce(t, p, h, newExchange("b"))
		ended <- got
	}()
	testutil.WaitUntil(t, "the second request is out", func() bool { n, _, _ := server.Counts(); return n == 2 })
	p.put(c)
	cancel()
	<-done
	close(release)
	if got := <-ended; got != balancer.OK {
		t.Errorf("the request that was out: %v", got)
	}
	testutil.WaitUntil(t, "all connections have ended", func() bool {
		_, accepted, ended := server.Counts()
		return accepted == 2 && ended == 2
	})
	if open, idle := p.counts(h); open != 0 || idle != 0 {
		t.Errorf("%d connections, %d idle", open, idle)
	}
}

// A body that ends early, or with nothing to tell its length, is not served.
func TestCutShortBody(t *testing.T) {
	for name, text := range map[string]string{
		"announced": "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\ngood",
		"chunked":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n",
		"head":      "HTTP/1.1 200 OK\r\n",
		"no answer": "",
	} {
		p := newTestPool()
		server := testutil.NewHost(t, func(c net.Conn, _ *http.Request, _ int) bool {
			io.WriteString(c, text)
			return false
		})
		h := pooled(p, server.Addr())
		if got, _ := tryOnce(t, p, h, newExchange("b")); got != balancer.Reset {
			t.Errorf("%s: result %v, want Reset", name, got)
		}
		if open, _ := p.counts(h); open != 0 {
			t.Errorf("%s: %d connections left open", name, open)
		}
	}
}

// Where the end of the connection is that of the answer, a reset is none: however much has come
// before it, within what is held or behind it, it is not served as whole.
func TestResetIsNoEndOfAnAnswer(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
	for name, tt := range map[string]struct {
		text  string
		flows bool // the part that is held has come to an end before the reset
	}{
		"behind the head":    {head, false},
		"in the body":        {head + "go", false},
		"behind all of it":   {head + "good", false},
		"in a long one":      {head + strings.Repeat("good", maxBody/8), false},
		"in one that flows":  {head + "go", true},
		"in chunks":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n", false},
		"in chunks, flowing": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			p, flows := newTestPool(), make(chan struct{})
			server := testutil.NewHost(t, func(c net.Conn, r *http.Request, n int) bool {
				io.WriteString(c, tt.text)
				if tt.flows {
					<-flows
				} else if err := unread(c); err != nil {
					t.Error(err)
				}
				return testutil.ResetConnection(c, r, n)
			})
			h := pooled(p, server.Addr())
			got, a := tryOnce(t, p, h, newExchange("b"))
			close(flows)
			if !tt.flows {
				if got != balancer.Reset {
					t.Errorf("result %v, want Reset", got)
				}
				return
			}
			if got != balancer.OK || a.Body.Buffered() {
				t.Fatalf("result %v, want OK with a body that flows", got)
			}
			flow := a.Body.Stream()
			if err := flow.Consume(); err != nil {
				t.Fatal(err)
			}
			b := make([]byte, 64)
			n, err := flow.Read(b)
			for n > 0 && err == nil {
				n, err = flow.Read(b)
			}
			if err == nil || err == io.EOF {
				t.Errorf("it ends with %v", err)
			}
			a.Release()
		})
	}
}

// unread waits until the other side has taken all that was written to a connection: a reset would
// go past what it has not.
func unread(c net.Conn) error {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return err
	}
	for left, until := 1, time.Now().Add(testutil.WaitTimeout); left > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			return errors.New("what was written stays unread")
		}
		var bad error
		if err := raw.Control(func(fd uintptr) { left, bad = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) }); err != nil || bad != nil {
			return errors.Join(err, bad)
		}
	}
	return nil
}

func TestConnectionRefused(t *testing.T) {
	p := newTestPool()
	ln := testutil.Listen(t, "127.0.0.1:0", nil)
	h := pooled(p, ln.Addr().String())
	ln.Close()
	if got, _ := tryOnce(t, p, h, newExchange("b")); got != balancer.ConnectFailed {
		t.Errorf("result %v, want ConnectFailed", got)
	}
	if open, _ := p.counts(h); open != 0 {
		t.Errorf("%d connections are counted as open", open)
	}
}

// A machine that has vanished does not answer a dial: it must end by the dial's own
// time-out, as proof that nothing ran.
func TestSilentConnect(t *testing.T) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer syscall.Close(fd)
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
	// Nobody accepts, so once one connection is up the backlog is full.
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	up := make(chan struct{}, 8)
	for range cap(up) {
		go func() {
			if c, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr); err == nil {
				defer c.Close()
				up <- struct{}{}
				<-ctx.Done()
			}
		}()
	}
	<-up
	p, began := newTestPool(), time.Now()
	if got, _ := tryOnce(t, p, pooled(p, addr), newExchange("b")); got != balancer.ConnectFailed {
		t.Errorf("result %v, want ConnectFailed", got)
	}
	// A longer limit in the settings must not keep the proof back.
	if took := time.Since(began); took > testutil.WaitTimeout/2 {
		t.Errorf("it took %v to give up the dial", took)
	}
}

// small makes a socket's buffer so small that a long request does not fit.
func small(option int) func(string, string, syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) (err error) {
		cerr := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, option, 4096)
		})
		if cerr != nil {
			return cerr
		}
		return err
	}
}

func TestResetBeforeTheLastByte(t *testing.T) {
	ln := testutil.Listen(t, "127.0.0.1:0", small(syscall.SO_RCVBUF))
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
	p := newTestPool()
	p.dialer.Control = small(syscall.SO_SNDBUF)
	h := pooled(p, ln.Addr().String())
	if got, _ := tryOnce(t, p, h, newExchange(strings.Repeat("x", maxBody))); got != balancer.ConnectFailed {
		t.Errorf("result %v, want ConnectFailed", got)
	}
}

func TestResetAfterTheLastByte(t *testing.T) {
	p, server := newTestPool(), testutil.NewHost(t, testutil.ResetConnection)
	if got, _ := tryOnce(t, p, pooled(p, server.Addr()), newExchange("b")); got != balancer.Reset {
		t.Errorf("result %v, want Reset", got)
	}
	if requests, _, _ := server.Counts(); requests != 1 {
		t.Errorf("the host got %d requests", requests)
	}
}

// A connection that the host closed while it was idle must not cost a request.
func TestStaleIdleConnection(t *testing.T) {
	p := newTestPool()
	server := testutil.NewHost(t, func(c net.Conn, _ *http.Request, _ int) bool {
		io.WriteString(c, testutil.OKResponse)
		return false
	})
	h := pooled(p, server.Addr())
	for i := range 3 {
		if got, _ := tryOnce(t, p, h, newExchange("b")); got != balancer.OK {
			t.Fatalf("attempt %d: result %v", i, got)
		}
		p.mu.Lock()
		c := p.idle[h][0]
		p.mu.Unlock()
		testutil.WaitUntil(t, "the idle connection is seen to be closed", func() bool { return !p.isQuiet(c) })
	}
	p.sweep()
	if open, idle := p.counts(h); open != 0 || idle != 0 {
		t.Errorf("%d connections open and %d idle after a sweep", open, idle)
	}
}

// An idle connection on which the host has said something carries no request: the
// answer would be taken for another's.
func TestUnaskedAnswerIsNotTakenForAnothers(t *testing.T) {
	p := newTestPool()
	server := testutil.NewHost(t, func(c net.Conn, _ *http.Request, n int) bool {
		io.WriteString(c, testutil.OKResponse)
		return true
	})
	h := pooled(p, server.Addr())
	tryOnce(t, p, h, newExchange("b"))
	p.mu.Lock()
	c := p.idle[h][0]
	p.mu.Unlock()
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil || raw == nil {
		t.Fatal(err)
	}
	c.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n")) // brings an answer that nobody reads
	testutil.WaitUntil(t, "the answer is there", func() bool { return !p.isQuiet(c) })
	if got, _ := tryOnce(t, p, h, newExchange("b")); got != balancer.OK {
		t.Errorf("result %v", got)
	}
	if _, accepted, _ := server.Counts(); accepted != 2 {
		t.Errorf("%d connections, want a new one", accepted)
	}
}

func (p *Transport) isQuiet(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.quiet(c)
}

// Once a host has said something unasked, connections rest behind an answer before they carry
// another request, and what comes meanwhile, a second answer or a part of one, ends them: the next
// request is not served it.
func TestStrayBehindAnAnswer(t *testing.T) {
	for _, stray := range []string{testutil.OKResponse, "HTTP/1.1 2"} {
		p, taken := newTestPool(), make(chan struct{})
		p.strayRest = 500 * time.Millisecond
		server := testutil.NewHost(t, func(c net.Conn, _ *http.Request, n int) bool {
			switch n {
			case 0:
				io.WriteString(c, testutil.OKResponse+stray) // at once: this is how it is learnt
			case 1:
				io.WriteString(c, testutil.OKResponse)
				<-taken
				io.WriteString(c, stray)
			default:
				io.WriteString(c, strings.Replace(testutil.OKResponse, "good", "next", 1))
			}
			return true
		})
		h := pooled(p, server.Addr())
		for n := range 2 {
			if got, _ := tryOnce(t, p, h, newExchange("b")); got != balancer.OK {
				t.Fatalf("attempt %d: result %v", n, got)
			}
		}
		if _, idle := p.counts(h); idle != 1 {
			t.Fatalf("%d connections are kept", idle)
		}
		go func() {
			for _, idle := p.counts(h); idle != 0; _, idle = p.counts(h) {
				time.Sleep(testutil.PollInterval)
			}
			close(taken)
		}()
		began := time.Now()
		got, a := tryOnce(t, p, h, newExchange("b"))
		if text := string(a.Body.Bytes()); got != balancer.OK || text != "next" {
			t.Errorf("%q: served %q, result %v, after %v", stray, text, got, time.Since(began))
		}
		if _, accepted, _ := server.Counts(); accepted != 3 {
			t.Errorf("%q: %d connections, want a new one", stray, accepted)
		}
	}
}

// Handshakes cost hosts work, so idle connections are used again, in turn: it guards
// against writing to one that its host is about to end behind an answer.
func TestConnectionsAreUsedInTurn(t *testing.T) {
	p, server := newTestPool(), testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse))
	h := pooled(p, server.Addr())
	ctx := context.Background()
	a, errA := p.get(ctx, h)
	b, errB := p.get(ctx, h)
	if errA != nil || errB != nil {
		t.Fatal(errA, errB)
	}
	p.put(a)
	p.put(b)
	for i, want := range []*conn{a, b, a} {
		c, err := p.get(ctx, h)
		if err != nil || c != want {
			t.Fatalf("turn %d: not the connection that was idle longest (%v)", i, err)
		}
		p.put(c)
	}
	tryOnce(t, p, h, newExchange("b"))
	tryOnce(t, p, h, newExchange("b"))
	testutil.WaitUntil(t, "both dials are accepted", func() bool {
		_, accepted, _ := server.Counts()
		return accepted == 2
	})
	if open, idle := p.counts(h); open != 2 || idle != 2 {
		t.Errorf("%d connections open and %d idle, want the two dialled", open, idle)
	}
	p.maxIdle = 0
	p.sweep()
	if open, _ := p.counts(h); open != 0 {
		t.Errorf("%d connections open, all had been idle too long", open)
	}
}

// A restarted, moved or drained host gets none of its old connections' requests.
func TestIdleConnectionsEndWithTheHost(t *testing.T) {
	for name, change := range map[string]func(p *Transport, h *host){
		"restarted": func(p *Transport, h *host) { p.update(h, h.addr, 1, true) },
		"moved":     func(p *Transport, h *host) { p.update(h, "127.0.0.1:1", 0, true) },
		"draining":  func(p *Transport, h *host) { p.update(h, h.addr, 0, false) },
	} {
		p, server := newTestPool(), testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse))
		h := pooled(p, server.Addr())
		tryOnce(t, p, h, newExchange("b"))
		change(p, h)
		if open, idle := p.counts(h); open != 0 || idle != 0 {
			t.Errorf("%s: %d connections open and %d idle", name, open, idle)
		}
		testutil.WaitUntil(t, name+": the host sees its connection end", func() bool {
			_, _, ended := server.Counts()
			return ended == 1
		})
	}
}

// Giving up closes the connection, so that the host can stop, and nothing else is
// sent on it.
func TestHangIsGivenUp(t *testing.T) {
	for _, tt := range []struct {
		name string
		ctx  func() (context.Context, context.CancelFunc)
		want balancer.Result
	}{
		{"deadline", func() (context.Context, context.CancelFunc) {
			return context.WithTimeout(context.Background(), 300*time.Millisecond)
		}, balancer.TimedOut},
		{"called off", func() (context.Context, context.CancelFunc) {
			return context.WithCancel(context.Background())
		}, balancer.Canceled},
	} {
		p, server := newTestPool(), testutil.NewHost(t, testutil.NeverRespond)
		h := pooled(p, server.Addr())
		ctx, cancel := tt.ctx()
		if tt.want == balancer.Canceled {
			go func() {
				for requests := 0; requests == 0; requests, _, _ = server.Counts() {
					time.Sleep(testutil.PollInterval)
				}
				cancel()
			}()
		}
		got, _ := told(p.attempt(ctx, h, newExchange("b")))
		requests, _, _ := server.Counts()
		want := tt.want
		if requests == 0 {
			want = balancer.NotSent // the machine was so slow that nothing went out
		}
		if got != want {
			t.Errorf("%s: result %v, want %v", tt.name, got, want)
		}
		cancel()
		testutil.WaitUntil(t, tt.name+": the host sees the connection end", func() bool {
			_, accepted, ended := server.Counts()
			return accepted == ended
		})
		if open, idle := p.counts(h); open != 0 || idle != 0 {
			t.Errorf("%s: %d connections open and %d idle", tt.name, open, idle)
		}
	}
}

// A machine that vanished leaves its connections open and silent. Once an attempt was
// given up and nothing heard since, its idle ones carry no request any more; where
// others were answered meanwhile they do.
func TestHalfDeadIdleConnections(t *testing.T) {
	for _, answers := range []bool{false, true} {
		p := newTestPool()
		p.unheardLeast = 0
		server := testutil.NewHost(t, func(c net.Conn, r *http.Request, _ int) bool {
			if r.URL.Path != "/hang" {
				io.WriteString(c, testutil.OKResponse)
			}
			return true
		})
		h := pooled(p, server.Addr())
		a, errA := p.get(context.Background(), h)
		b, errB := p.get(context.Background(), h)
		if errA != nil || errB != nil {
			t.Fatal(errA, errB)
		}
		p.put(a)
		p.put(b)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan balancer.Result, 1)
		go func() {
			x := newExchange("b")
			x.Target = "/hang"
			got, _ := told(p.attempt(ctx, h, x))
			done <- got
		}()
		testutil.WaitUntil(t, "the host has the request", func() bool {
			requests, _, _ := server.Counts()
			return requests == 1
		})
		if answers {
			tryOnce(t, p, h, newExchange("b"))
		}
		cancel()
		if got := <-done; got != balancer.Canceled {
			t.Errorf("result %v, want Canceled", got)
		}
		want := 0
		if answers {
			want = 1
		}
		if _, idle := p.counts(h); idle != want {
			t.Errorf("other answers %t: %d idle connections are kept, want %d", answers, idle, want)
		}
	}
}

// gone is a client that has left.
type gone struct{}

func (gone) Gone() bool { return true }

// The list may change, or the request end, while a dial is on: nothing goes out then.
func TestLookAgainBeforeTheWrite(t *testing.T) {
	for name, change := range map[string]func(p *Transport, h *host, x *engine.Request){
		"drain during a dial":             func(p *Transport, h *host, _ *engine.Request) { p.update(h, h.addr, 0, false) },
		"moved during a dial":             func(p *Transport, h *host, _ *engine.Request) { p.update(h, "127.0.0.1:9", 0, true) },
		"started anew during a dial":      func(p *Transport, h *host, _ *engine.Request) { p.update(h, h.addr, 7, true) },
		"over during a dial":              func(_ *Transport, _ *host, x *engine.Request) { x.Close() },
		"its client leaves during a dial": func(_ *Transport, _ *host, x *engine.Request) { x.Client = gone{} },
		"its window closes during a dial": func(_ *Transport, _ *host, x *engine.Request) { x.WriteBy = time.Now() },
	} {
		p, server := newTestPool(), testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse))
		h, x := pooled(p, server.Addr()), newExchange("b")
		p.dialer.Control = func(_, _ string, _ syscall.RawConn) error {
			change(p, h, x)
			return nil
		}
		if got, _ := tryOnce(t, p, h, x); got != balancer.NotSent {
			t.Errorf("%s: result %v, want NotSent", name, got)
		}
		p.closeIdle(h)
		testutil.WaitUntil(t, name+": the connection ends", func() bool {
			_, accepted, ended := server.Counts()
			return accepted == 1 && ended == 1
		})
		if requests, _, _ := server.Counts(); requests != 0 {
			t.Errorf("%s: the host got %d requests", name, requests)
		}
	}
}

// What has to be out by a time is not written behind it, also where its host takes the first bytes
// and then no more: it never had the last, which proves that it did not run.
func TestWriteEndsWithTheWindow(t *testing.T) {
	ln := testutil.Listen(t, "127.0.0.1:0", small(syscall.SO_RCVBUF))
	p := newTestPool()
	p.dialer.Control = small(syscall.SO_SNDBUF)
	h := pooled(p, ln.Addr().String())
	x := newExchange(strings.Repeat("x", maxBody))
	x.WriteBy = time.Now().Add(100 * time.Millisecond)
	if got, _ := tryOnce(t, p, h, x); got != balancer.ConnectFailed {
		t.Errorf("result %v, want ConnectFailed", got)
	}
	if open, _ := p.counts(h); open != 0 {
		t.Errorf("%d connections are counted as open", open)
	}
}

// Connections stay within the budget: an idle one makes room, and with none the
// attempt is not sent, which proves that it did not run.
func TestConnectionBudget(t *testing.T) {
	p, first, second := newTestPool(), testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse)), testutil.NewHost(t, testutil.NeverRespond)
	p.budget = 1
	a, b := pooled(p, first.Addr()), pooled(p, second.Addr())
	tryOnce(t, p, a, newExchange("b"))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan balancer.Result, 1)
	go func() {
		got, _ := told(p.attempt(ctx, b, newExchange("b")))
		done <- got
	}()
	testutil.WaitUntil(t, "the second host gets its request", func() bool {
		requests, _, _ := second.Counts()
		return requests == 1
	})
	if got, _ := tryOnce(t, p, a, newExchange("b")); got != balancer.NotSent {
		t.Errorf("beyond the budget: result %v, want NotSent", got)
	}
	cancel()
	<-done
	if got, _ := tryOnce(t, p, a, newExchange("b")); got != balancer.OK {
		t.Errorf("with room again: result %v", got)
	}
}
