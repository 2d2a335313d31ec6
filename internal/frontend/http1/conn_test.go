package http1

import (
	"bufio"
	"container/list"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"dunemoor/internal/testutil"
)

// Requests that come all at once are answered one after the other, in their order.
func TestPipelined(t *testing.T) {
	server := testutil.NewHost(t, func(c net.Conn, r *http.Request, _ int) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(r.URL.Path), r.URL.Path)
		return true
	})
	g := startGateway(t, withHosts(server))
	for _, piece := range []int{1 << 20, 61} { // all at once, and cut anywhere
		c := g.dial()
		c.SetDeadline(time.Now().Add(testutil.WaitTimeout))
		var text strings.Builder
		for i := range 8 {
			fmt.Fprintf(&text, "POST /api/%d HTTP/1.1\r\nHost: a\r\nX-Priority-Class: book\r\nX-Timeout: 60\r\nX-Request-ID: %s\r\nContent-Length: 4\r\n\r\nbody", i, testutil.NewID())
		}
		go func() {
			for s := text.String(); s != ""; {
				n := min(piece, len(s))
				io.WriteString(c, s[:n])
				s = s[n:]
			}
		}()
		in := bufio.NewReader(c)
		for i := range 8 {
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				t.Fatal(err)
			}
			if got, err := io.ReadAll(resp.Body); string(got) != fmt.Sprint("/api/", i) || err != nil {
				t.Fatalf("answer %d: %q, %v", i, got, err)
			}
		}
	}
	server.Mu.Lock()
	defer server.Mu.Unlock()
	for i, b := range server.Bodies {
		if b != "body" {
			t.Errorf("body %d: %q", i, b)
		}
	}
}

// A client that leaves while it waits is seen, also where there is more that nobody has read yet:
// it guards against sending on for it, to its deadline a minute later.
func TestLeavingIsSeenBehindMore(t *testing.T) {
	server := testutil.NewHost(t, testutil.NeverRespond)
	g := startGateway(t, withHosts(server))
	for i, more := range []string{"", "GET ", strings.Repeat("x", 64<<10)} {
		c := g.dial()
		io.WriteString(c, testutil.LookRequest(testutil.NewID())+more)
		testutil.WaitUntil(t, "the host has the request", func() bool { n, _, _ := server.Counts(); return n == i+1 })
		c.Close()
		testutil.WaitUntil(t, "it is given up", func() bool { return g.gate.OpenIDs() == 0 })
		testutil.WaitUntil(t, "its connection is closed", func() bool {
			g.server.clients.mu.Lock()
			defer g.server.clients.mu.Unlock()
			return g.server.clients.open == 0 && len(g.server.leavers.all()) == 0
		})
	}
}

// A connection that waits for a request, or for its answer, holds no buffer: thousands cost little.
func TestIdleConnectionsHoldNothing(t *testing.T) {
	g := startGateway(t, withHosts(testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse))))
	var conns []net.Conn
	for range 4 {
		c := g.dial()
		if err := testutil.RoundTrip(c); err != nil {
			t.Fatal(err)
		}
		conns = append(conns, c)
	}
	idle := func() (n int) {
		g.server.clients.mu.Lock()
		defer g.server.clients.mu.Unlock()
		for e := g.server.clients.idle.Front(); e != nil; e = e.Next() {
			if c := e.Value.(*clientConn); c.buf == nil { // its own goroutine waits
				n++
			}
		}
		return n
	}
	testutil.WaitUntil(t, "all wait and hold nothing", func() bool { return idle() == len(conns) })
}

// HTTP/1.0 without a word on the connection ends it with the answer, and with one keeps it. What is
// our protocol comes in HTTP/1.1, so health is asked here.
func TestOldClients(t *testing.T) {
	g := startGateway(t, withHosts(testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse))))
	for line, keeps := range map[string]bool{"": false, "Connection: keep-alive\r\n": true} {
		c := g.dial()
		c.SetDeadline(time.Now().Add(testutil.WaitTimeout))
		in := bufio.NewReader(c)
		for round := range 2 {
			io.WriteString(c, "GET /_health HTTP/1.0\r\n"+line+"\r\n")
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				if round == 0 || keeps {
					t.Errorf("%q, round %d: %v", line, round, err)
				}
				break
			}
			if text, _ := io.ReadAll(resp.Body); string(text) != "ok\n" || resp.ProtoMinor != 0 || resp.Close == keeps {
				t.Errorf("%q: %q, %s, close %v", line, text, resp.Proto, resp.Close)
			}
		}
	}
}

// A client that waits to be asked for its body, and is refused before, ends with the answer: what it
// sends then may be the body or the next request.
func TestRefusedBeforeItsBody(t *testing.T) {
	server := testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse))
	g := startGateway(t, withHosts(server))
	c := g.dial()
	c.SetDeadline(time.Now().Add(testutil.WaitTimeout))
	hidden := testutil.LookRequest(testutil.NewID())
	fmt.Fprintf(c, "POST /api/1 HTTP/1.1\r\nHost: a\r\nX-Priority-Class: none\r\nX-Timeout: 60\r\nX-Request-ID: %s\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", testutil.NewID(), len(hidden))
	in := bufio.NewReader(c)
	resp, err := http.ReadResponse(in, nil)
	if err != nil || resp.StatusCode != 400 || !resp.Close {
		t.Fatalf("%+v, %v", resp, err)
	}
	io.WriteString(c, hidden)
	if rest, err := io.ReadAll(in); err != nil || strings.Contains(string(rest), "HTTP/1.1") {
		t.Errorf("then it got %q, %v", rest, err)
	}
	if n, _, _ := server.Counts(); n != 0 {
		t.Errorf("the host got %d requests", n)
	}
}

// shortListener fails as one does that has no descriptors left.
type shortListener struct {
	net.Listener
	fails atomic.Int32
}

func (l *shortListener) Accept() (net.Conn, error) {
	if l.fails.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// A listener that fails for want of descriptors goes on when there are some again.
func TestAcceptGoesOn(t *testing.T) {
	g := startGateway(t, withHosts(testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse))))
	ln := &shortListener{Listener: testutil.Listen(t, "127.0.0.1:0", nil)}
	ln.fails.Store(3)
	ended := make(chan error, 1)
	go func() { ended <- g.server.Serve(ln) }()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := testutil.RoundTrip(c); err != nil {
		t.Fatal(err)
	}
	g.server.CloseListener(ln)
	if err := <-ended; err != nil {
		t.Errorf("it ended with %v", err)
	}
	if err := testutil.RoundTrip(c); err != nil { // who came by it is served on
		t.Error(err)
	}
}

// endings are the ways in which connections that rest are told to end; mu is held.
var endings = map[string]func(s *clients){
	"to make room": func(s *clients) {
		was := s.budget
		s.budget = 0
		if c := s.makeRoom(); c != nil {
			c.SetReadDeadline(longAgo) // as enter does
		}
		s.budget = was
	},
	"by a drain": func(s *clients) { s.endResting() },
}

// aged has all connections be of no use for long; mu is held.
func (s *clients) aged() {
	for _, l := range []*list.List{&s.silent, &s.idle} {
		for e := l.Front(); e != nil; e = e.Next() {
			e.Value.(*clientConn).since = time.Time{}
		}
	}
}

// queued is how many bytes a connection has that are not read, or not taken by the other side.
func queued(t *testing.T, c *net.TCPConn, which int) (n int) {
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), uint(which)) })
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// answeredLast reads a good answer that is the last of its connection.
func answeredLast(c net.Conn) error {
	in := bufio.NewReader(c)
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return err
	}
	text, _ := io.ReadAll(resp.Body)
	if _, err := in.ReadByte(); resp.StatusCode != 200 || string(text) != "good" || !resp.Close || err != io.EOF {
		return fmt.Errorf("%d %q, close %t, and then %v", resp.StatusCode, text, resp.Close, err)
	}
	return nil
}

// A request that has come when its connection is told to end, but was not read, is one like any
// other: its connection ends behind its answer. So is one that comes in the instant in which the
// time of a connection is up.
func TestRequestInTheInstantOfAnEnd(t *testing.T) {
	endings := maps.Clone(endings)
	endings["by its time"] = func(s *clients) { s.silent.Front().Value.(*clientConn).SetReadDeadline(longAgo) }
	for how, end := range endings {
		g := startGateway(t, withHosts(testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse))))
		s := g.server
		testutil.RoundTrip(g.dial()) // it serves, and knows its leavers
		testutil.WaitUntil(t, "that rests", func() bool { return s.ConnCounts().Idle == 1 })
		// One whose goroutine is yet to run: all of it has happened by then.
		ln := testutil.Listen(t, "127.0.0.1:0", nil)
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(testutil.WaitTimeout))
		nc, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		k, err := newClientConn(nc.(*net.TCPConn), &ListenOptions{})
		if err != nil {
			t.Fatal(err)
		}
		if err := s.leavers.add(k); err != nil || !s.clients.enter(k) {
			t.Fatalf("it is not taken in: %v", err)
		}
		io.WriteString(c, strings.Replace(testutil.LookRequest(testutil.NewID()), "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1))
		testutil.WaitUntil(t, "it is there", func() bool { return queued(t, k.TCPConn, unix.TIOCINQ) > 0 })
		s.clients.mu.Lock()
		s.clients.aged()
		end(&s.clients)
		s.clients.mu.Unlock()
		go s.run(k)
		if err := answeredLast(c); err != nil {
			t.Errorf("%s: %v", how, err)
		}
		c.Close()
		testutil.WaitUntil(t, how+": all is counted", func() bool {
			s.clients.mu.Lock()
			defer s.clients.mu.Unlock()
			return s.clients.open == s.clients.idle.Len() && s.clients.ending == 0
		})
	}
}

// A request that was read when its connection is told to end is answered: it guards against bytes
// that are read off the socket and dropped.
func TestRequestReadAsItsConnectionIsToldToEnd(t *testing.T) {
	for how, end := range endings {
		g := startGateway(t, withHosts(testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse))))
		clients := &g.server.clients
		c := g.dial()
		c.SetDeadline(time.Now().Add(testutil.WaitTimeout))
		if err := testutil.RoundTrip(c); err != nil {
			t.Fatal(err)
		}
		testutil.WaitUntil(t, "it rests", func() bool { return g.server.ConnCounts().Idle == 1 })
		k := g.server.leavers.all()[0]
		clients.mu.Lock() // it can't say that it holds a request
		io.WriteString(c, testutil.LookRequest(testutil.NewID()))
		testutil.WaitUntil(t, "it is read", func() bool {
			return queued(t, c.(*net.TCPConn), unix.TIOCOUTQ) == 0 && queued(t, k.TCPConn, unix.TIOCINQ) == 0
		})
		clients.aged()
		end(clients)
		clients.mu.Unlock()
		if err := answeredLast(c); err != nil {
			t.Errorf("%s: %v", how, err)
		}
		c.Close()
		testutil.WaitUntil(t, how+": all is counted", func() bool {
			clients.mu.Lock()
			defer clients.mu.Unlock()
			return clients.open == 0 && clients.ending == 0
		})
	}
}

// What comes behind the end of a connection goes to no host, and does not reset it while its client
// is still heard: the client sees an orderly end.
func TestRequestBehindTheEnd(t *testing.T) {
	server := testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse))
	g := startGateway(t, withHosts(server))
	for how, end := range endings {
		for _, first := range []bool{true, false} {
			c := g.dial()
			c.SetDeadline(time.Now().Add(testutil.WaitTimeout))
			if !first {
				if err := testutil.RoundTrip(c); err != nil {
					t.Fatal(err)
				}
			}
			waits := func() int {
				g.server.clients.mu.Lock()
				defer g.server.clients.mu.Unlock()
				return g.server.clients.silent.Len() + g.server.clients.idle.Len()
			}
			testutil.WaitUntil(t, "it waits", func() bool { return waits() == 1 })
			before, _, _ := server.Counts()
			g.server.clients.mu.Lock()
			g.server.clients.aged()
			end(&g.server.clients)
			g.server.clients.mu.Unlock()
			if _, err := c.Read(make([]byte, 1)); err != io.EOF {
				t.Fatalf("%s, first %t: it ends with %v", how, first, err)
			}
			io.WriteString(c, testutil.LookRequest(testutil.NewID()))
			c.(*net.TCPConn).CloseWrite()
			testutil.WaitUntil(t, "it is closed", func() bool { return g.server.ConnCounts().Open == 0 })
			if n, _, _ := server.Counts(); n != before {
				t.Errorf("%s, first %t: a host got what came behind the end", how, first)
			}
		}
	}
}

// A last answer is seen by a client that has sent more meanwhile: the connection ends in order, not
// by a reset over bytes unread.
func TestLastAnswerBeforeMore(t *testing.T) {
	release := make(chan struct{})
	server := testutil.NewHost(t, func(c net.Conn, _ *http.Request, _ int) bool {
		<-release
		io.WriteString(c, testutil.OKResponse)
		return true
	})
	g := startGateway(t, withHosts(server))
	c := g.dial()
	c.SetDeadline(time.Now().Add(testutil.WaitTimeout))
	io.WriteString(c, strings.Replace(testutil.LookRequest(testutil.NewID()), "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1))
	testutil.WaitUntil(t, "it is out", func() bool { n, _, _ := server.Counts(); return n == 1 })
	io.WriteString(c, testutil.LookRequest(testutil.NewID()))
	k := g.server.leavers.all()[0]
	testutil.WaitUntil(t, "more is there, unread", func() bool { return queued(t, k.TCPConn, unix.TIOCINQ) > 0 })
	socket := 0 // stays when the server has closed its own
	if err := k.raw.Control(func(fd uintptr) { socket, _ = unix.Dup(int(fd)) }); err != nil || socket <= 0 {
		t.Fatal(err)
	}
	defer unix.Close(socket)
	close(release)
	got, err := io.ReadAll(c)
	if err != nil || !strings.HasSuffix(string(got), "\r\n\r\ngood") {
		t.Errorf("%q, %v", got, err)
	}
	c.Close()
	testutil.WaitUntil(t, "it is closed", func() bool { return g.server.ConnCounts().Open == 0 })
	if n, err := unix.IoctlGetInt(socket, unix.TIOCINQ); n != 0 || err != nil {
		t.Errorf("closed over %d bytes, %v", n, err)
	}
	if n, _, _ := server.Counts(); n != 1 {
		t.Errorf("%d requests at the host", n)
	}
}

// Nothing comes ahead of an answer that has been begun: it guards against a 100 within the bytes
// of an answer, where the body is asked for late.
func TestNothingAheadOfAnAnswer(t *testing.T) {
	ln := testutil.Listen(t, "127.0.0.1:0", nil)
	defer ln.Close()
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	nc, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c, err := newClientConn(nc.(*net.TCPConn), &ListenOptions{})
	if err != nil {
		t.Fatal(err)
	}
	c.req.Method = "POST"
	b := &bodyReader{c: c, left: 4, unasked: true}
	if err := c.send(200, nil, 0, nil); err != nil {
		t.Fatal(err)
	}
	io.WriteString(client, "body")
	if n, err := b.Read(make([]byte, 4)); n != 4 || err != io.EOF {
		t.Errorf("%d, %v", n, err)
	}
	c.inform(103, http.Header{"Link": {"a"}})
	// Nor to a client that has no such answers (RFC 9110, 15.2).
	c.answered, c.req.HTTP10 = false, true
	c.inform(103, http.Header{"Link": {"a"}})
	c.TCPConn.Close()
	text, err := io.ReadAll(client)
	if err != nil || strings.Count(string(text), "HTTP/1.1") != 1 {
		t.Errorf("%q, %v", text, err)
	}
}

// A head of just the bound is read and one of a byte more is not, however it comes.
func TestHeadBound(t *testing.T) {
	g := startGateway(t, withHosts(testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse))))
	for _, over := range []int{0, 1} {
		head := "GET /_health HTTP/1.1\r\nHost: a\r\nX-Pad: "
		head += strings.Repeat("x", maxRequestHead+over-len(head)-4) + "\r\n\r\n"
		c := g.dial()
		c.SetDeadline(time.Now().Add(testutil.WaitTimeout))
		io.WriteString(c, head)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if want := []int{200, 431}[over]; err != nil || resp.StatusCode != want {
			t.Errorf("%d bytes over: %+v, %v, want %d", over, resp, err, want)
		}
	}
}

// A connection that has been of use and then brings half a head is closed as soon as a new one
// would be: it guards against holding it for as long as one that says nothing between requests.
func TestHalfHeadBehindARequest(t *testing.T) {
	g := startGateway(t, withHosts(testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse))))
	c := g.dial()
	if err := testutil.RoundTrip(c); err != nil {
		t.Fatal(err)
	}
	io.WriteString(c, "GET /api/1 HTTP/1.1\r\nHost: a\r\nX-Pri")
	c.SetDeadline(time.Now().Add(owed))
	if got, err := io.ReadAll(c); err != nil || len(got) > 0 {
		t.Errorf("%q, %v, want a close", got, err)
	}
}
