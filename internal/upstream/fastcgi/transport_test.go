package fastcgi

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/fcgi"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/body"
	"dunemoor/internal/engine"
	"dunemoor/internal/fastcgi"
	"dunemoor/internal/testutil"
)

// responder is one whose answers are written by a script, byte by byte.
type responder struct {
	net.Listener
	values string // what it answers to a GET_VALUES: "mpx", "", or "end"
	script func(c net.Conn, id uint16, vars map[string]string, body string)
	runs   atomic.Int64 // requests that came whole
	conns  atomic.Int64
	aborts atomic.Int64
}

// heard makes a script's requests of records.
type heard struct {
	r      *responder
	c      net.Conn
	in     *fastcgi.Server
	vars   map[uint16]map[string]string
	bodies map[uint16][]byte
}

func (h *heard) Request(id uint16, params []byte, _ bool, _ error) {
	vars := map[string]string{}
	fastcgi.ForEachParam(params, func(name, value []byte) error { vars[string(name)] = string(value); return nil })
	h.vars[id] = vars
}
func (h *heard) Body(id uint16, part []byte, end bool) {
	h.bodies[id] = append(h.bodies[id], part...)
	if end {
		h.r.runs.Add(1)
		body := string(h.bodies[id])
		delete(h.bodies, id)
		if h.vars[id]["REQUEST_URI"] != "/held" { // that one stays open
			h.in.RequestEnded(id)
		}
		h.r.script(h.c, id, h.vars[id], body)
	}
}
func (h *heard) Abort(uint16) { h.r.aborts.Add(1) }
func (h *heard) Reply(b []byte) {
	switch h.r.values {
	case "mpx":
		h.c.Write(fastcgi.AppendRecord(nil, fastcgi.GetValuesResult, 0, fastcgi.AppendPair(fastcgi.AppendPair(nil, fastcgi.MpxsConns, "1"), fastcgi.MaxReqs, "10")))
	case "end":
		h.c.Close()
	default:
		h.c.Write(fastcgi.AppendRecord(nil, fastcgi.GetValuesResult, 0, nil))
	}
}

func startResponder(t testing.TB, values string, script func(c net.Conn, id uint16, vars map[string]string, body string)) *responder {
	r := &responder{Listener: testutil.Listen(t, "127.0.0.1:0", nil), values: values, script: script}
	t.Cleanup(func() { r.Close() })
	go func() {
		for {
			c, err := r.Accept()
			if err != nil {
				return
			}
			r.conns.Add(1)
			go func() {
				defer c.Close()
				h := &heard{r: r, c: c, vars: map[uint16]map[string]string{}, bodies: map[uint16][]byte{}}
				h.in = fastcgi.NewServer(h, 10)
				b := make([]byte, 4096)
				for {
					n, err := c.Read(b)
					if h.in.Feed(b[:n]) != nil || err != nil {
						return
					}
				}
			}()
		}
	}()
	return r
}

// good is a whole answer.
func good(id uint16, text string) []byte {
	out := fastcgi.AppendStream(nil, fastcgi.Stdout, id, []byte("Content-Type: text/plain\r\n\r\n"+text))
	return fastcgi.AppendEndRequest(fastcgi.AppendStreamEnd(out, fastcgi.Stdout, id), id, fastcgi.EndRequestBody{})
}

func out(id uint16, text string) []byte {
	return fastcgi.AppendStream(nil, fastcgi.Stdout, id, []byte(text))
}

func endOf(id uint16, e fastcgi.EndRequestBody) []byte { return fastcgi.AppendEndRequest(nil, id, e) }

func hostAt(t *testing.T, addr string) (*Transport, *host) {
	tr := NewTransport(Options{Sockets: 64, DocumentRoot: "/srv/www", Params: map[string]string{"APP_ENV": "test"}})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go tr.Run(ctx)
	h := tr.Host("x").(*host)
	h.Update(addr, 0, true)
	return tr, h
}

func ask(method, target, text string) *engine.Request {
	x := &engine.Request{Method: method, Target: target, Host: "calendar.example.org", Deadline: time.Now().Add(testutil.WaitTimeout),
		Header: http.Header{"X-Request-Id": {testutil.NewID()}, "Content-Type": {"text/plain"}, "Bad_Name": {"x"}, "Proxy": {"http://evil"}, "Cookie": {"a=1", "b=2"}}}
	x.Body = body.NewBuffered([]byte(text))
	return x
}

func attempt(h *host, x *engine.Request) (engine.Result, string, error) {
	ctx, cancel := context.WithDeadline(context.Background(), x.Deadline)
	defer cancel()
	r := h.Attempt(ctx, x)
	text := append([]byte(nil), r.Response.Body.Bytes()...)
	var err error
	if f := r.Response.Body.Stream(); f != nil {
		f.Consume()
		var rest []byte
		rest, err = io.ReadAll(f)
		text = append(text, rest...)
	}
	r.Response.Release()
	return r, string(text), err
}

// What a responder does decides whether the request may have run: the table of proofs. A wrong
// result here would let an unsafe request run twice.
func TestResults(t *testing.T) {
	for _, c := range []struct {
		name   string
		script func(c net.Conn, id uint16)
		want   balancer.Result // OK: answered
		text   string
	}{
		{"an answer", func(c net.Conn, id uint16) { c.Write(good(id, "good")) }, balancer.OK, "good"},
		{"with no end of STDOUT", func(c net.Conn, id uint16) {
			c.Write(append(out(id, "X: y\n\ngood"), endOf(id, fastcgi.EndRequestBody{})...))
		}, balancer.OK, "good"},
		{"with an exit status", func(c net.Conn, id uint16) {
			c.Write(append(out(id, "X: y\n\ngood"), endOf(id, fastcgi.EndRequestBody{AppStatus: 7})...))
		}, balancer.OK, "good"},
		{"in pieces, with errors between", func(c net.Conn, id uint16) {
			for _, s := range []string{"X: y", "\r\n\r", "\ngo", "od"} {
				c.Write(append(out(id, s), fastcgi.AppendRecord(nil, fastcgi.Stderr, id, []byte("note"))...))
				time.Sleep(time.Millisecond)
			}
			c.Write(endOf(id, fastcgi.EndRequestBody{}))
		}, balancer.OK, "good"},
		{"a length that fits", func(c net.Conn, id uint16) {
			c.Write(append(out(id, "Content-Length: 4\n\ngood"), endOf(id, fastcgi.EndRequestBody{})...))
		}, balancer.OK, "good"},
		{"a length that does not", func(c net.Conn, id uint16) {
			c.Write(append(out(id, "Content-Length: 5\n\ngood"), endOf(id, fastcgi.EndRequestBody{})...))
		}, balancer.InvalidResponse, ""},
		{"two lengths", func(c net.Conn, id uint16) {
			c.Write(append(out(id, "Content-Length: 4\nContent-Length: 4\n\ngood"), endOf(id, fastcgi.EndRequestBody{})...))
		}, balancer.InvalidResponse, ""},
		{"overloaded", func(c net.Conn, id uint16) {
			c.Write(endOf(id, fastcgi.EndRequestBody{ProtocolStatus: fastcgi.Overloaded}))
		}, balancer.Full, ""},
		{"can't multiplex", func(c net.Conn, id uint16) {
			c.Write(endOf(id, fastcgi.EndRequestBody{ProtocolStatus: fastcgi.CantMultiplex}))
		}, balancer.Full, ""},
		{"unknown role", func(c net.Conn, id uint16) {
			c.Write(endOf(id, fastcgi.EndRequestBody{ProtocolStatus: fastcgi.UnknownRole}))
		}, balancer.Full, ""},
		{"overloaded, and yet half a head", func(c net.Conn, id uint16) {
			c.Write(append(out(id, "X: "), endOf(id, fastcgi.EndRequestBody{ProtocolStatus: fastcgi.Overloaded})...))
		}, balancer.InvalidResponse, ""},
		{"complete, and nothing", func(c net.Conn, id uint16) { c.Write(endOf(id, fastcgi.EndRequestBody{AppStatus: 1})) }, balancer.InvalidResponse, ""},
		{"STDERR only", func(c net.Conn, id uint16) {
			c.Write(append(fastcgi.AppendRecord(nil, fastcgi.Stderr, id, []byte("oh")), endOf(id, fastcgi.EndRequestBody{AppStatus: 1})...))
		}, balancer.InvalidResponse, ""},
		{"a head that is none", func(c net.Conn, id uint16) {
			c.Write(append(out(id, "good\n\n"), endOf(id, fastcgi.EndRequestBody{})...))
		}, balancer.InvalidResponse, ""},
		{"a head that does not end", func(c net.Conn, id uint16) {
			c.Write(append(out(id, "X: y\n"), endOf(id, fastcgi.EndRequestBody{})...))
		}, balancer.InvalidResponse, ""},
		{"closed at once", func(c net.Conn, id uint16) { c.Close() }, balancer.Reset, ""},
		{"reset at once", func(c net.Conn, id uint16) { c.(*net.TCPConn).SetLinger(0); c.Close() }, balancer.Reset, ""},
		{"closed within a record", func(c net.Conn, id uint16) { c.Write(out(id, "X: y\n\ngood")[:14]); c.Close() }, balancer.Reset, ""},
		{"closed between records", func(c net.Conn, id uint16) { c.Write(out(id, "X: y\n")); c.Close() }, balancer.Reset, ""},
		{"closed behind a whole head, before its end", func(c net.Conn, id uint16) { c.Write(out(id, "X: y\n\ngo")); c.Close() }, balancer.Reset, ""},
		{"another version", func(c net.Conn, id uint16) { c.Write([]byte("HTTP/1.1 200 OK\r\n\r\n")) }, balancer.Reset, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := startResponder(t, "", func(nc net.Conn, id uint16, _ map[string]string, _ string) { c.script(nc, id) })
			_, h := hostAt(t, r.Addr().String())
			res, text, err := attempt(h, ask("POST", "/book", "one booking"))
			if (c.want == balancer.OK) != res.HasResponse || !res.HasResponse && res.Outcome != c.want || text != c.text || err != nil {
				t.Errorf("%v, answered %t with %q, %v; want %v with %q", res.Outcome, res.HasResponse, text, err, c.want, c.text)
			}
			if n := r.runs.Load(); n != 1 {
				t.Errorf("it came %d times", n)
			}
		})
	}
}

// Where nobody listens, or a connection ends ahead of the last byte, nothing ran.
func TestNeverRan(t *testing.T) {
	ln := testutil.Listen(t, "127.0.0.1:0", nil)
	addr := ln.Addr().String()
	ln.Close()
	_, h := hostAt(t, addr)
	if r, _, _ := attempt(h, ask("POST", "/", "x")); r.HasResponse || r.Outcome != balancer.ConnectFailed || r.PartlySent {
		t.Errorf("nobody listens: %+v", r)
	}
	ln = testutil.Listen(t, "127.0.0.1:0", nil)
	defer ln.Close()
	go func() { // reads a part and resets
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
	_, h = hostAt(t, ln.Addr().String())
	r, _, _ := attempt(h, ask("POST", "/", strings.Repeat("x", 24<<20)))
	if r.HasResponse || r.Outcome != balancer.ConnectFailed || !r.PartlySent {
		t.Errorf("reset within the body: answered %t, %v, part %t", r.HasResponse, r.Outcome, r.PartlySent)
	}
}

// A connection that its responder ends behind an answer costs the next request nothing.
func TestKeptConnectionEnds(t *testing.T) {
	r := startResponder(t, "", func(c net.Conn, id uint16, _ map[string]string, _ string) {
		c.Write(good(id, "good"))
		c.Close()
	})
	tr, h := hostAt(t, r.Addr().String())
	for i := range 20 {
		if res, text, err := attempt(h, ask("POST", "/", "x")); !res.HasResponse || text != "good" || err != nil {
			// The end may come just as the next request is written: then it may have run.
			if res.Outcome != balancer.Reset || r.runs.Load() > int64(i+1) {
				t.Errorf("request %d: %v %q %v", i, res.Outcome, text, err)
			}
		}
	}
	testutil.WaitUntil(t, "connections are counted down", func() bool {
		tr.mu.Lock()
		defer tr.mu.Unlock()
		return tr.open == 0
	})
}

// The parameters are those that a program expects, and none that leads it astray.
func TestParams(t *testing.T) {
	var got map[string]string
	r := startResponder(t, "", func(c net.Conn, id uint16, vars map[string]string, _ string) {
		got = vars
		c.Write(good(id, "good"))
	})
	_, h := hostAt(t, r.Addr().String())
	x := ask("POST", "/a%20b/../../etc/passwd?x=1&y=%32", "four")
	x.Host = "calendar.example.org:8080"
	x.Header.Set("X-Forwarded-For", "10.1.2.3, 192.0.2.7")
	x.Header.Set("X-Forwarded-Proto", "https")
	attempt(h, x)
	for name, want := range map[string]string{
		"REQUEST_METHOD": "POST", "REQUEST_URI": "/a%20b/../../etc/passwd?x=1&y=%32", "QUERY_STRING": "x=1&y=%32",
		"SCRIPT_NAME": "/a b/../../etc/passwd", "SCRIPT_FILENAME": "/srv/www/etc/passwd", "DOCUMENT_ROOT": "/srv/www",
		"CONTENT_LENGTH": "4", "CONTENT_TYPE": "text/plain", "SERVER_NAME": "calendar.example.org", "SERVER_PORT": "8080",
		"HTTP_HOST": "calendar.example.org:8080", "HTTP_COOKIE": "a=1; b=2", "REMOTE_ADDR": "192.0.2.7", "HTTPS": "on",
		"APP_ENV": "test", "GATEWAY_INTERFACE": "CGI/1.1",
	} {
		if got[name] != want {
			t.Errorf("%s: %q, want %q", name, got[name], want)
		}
	}
	for _, name := range []string{"HTTP_PROXY", "HTTP_BAD_NAME", "HTTP_CONTENT_TYPE"} {
		if v, there := got[name]; there {
			t.Errorf("%s is told: %q", name, v)
		}
	}
}

// The standard library's implementation of the protocol understands us, and we it: bodies of
// all sizes both ways, many at once on a few connections, as it says that it can.
func TestStandardPeer(t *testing.T) {
	ln := testutil.Listen(t, "127.0.0.1:0", nil)
	defer ln.Close()
	go fcgi.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var b []byte
		var err error
		if r.ContentLength != 0 { // all empty bodies there are one, which is not to be read by two
			b, err = io.ReadAll(r.Body)
		}
		if err != nil || r.Header.Get("X-Request-Id") == "" || r.Method != "POST" {
			w.WriteHeader(500)
			return
		}
		w.Header().Set("X-Path", r.URL.Path)
		w.WriteHeader(201)
		w.Write(bytes.ToUpper(b))
	}))
	tr, h := hostAt(t, ln.Addr().String())
	attempt(h, ask("POST", "/", "first"))
	testutil.WaitUntil(t, "it has said what it can", func() bool {
		tr.mu.Lock()
		defer tr.mu.Unlock()
		return h.can.Multiplexes
	})
	var all sync.WaitGroup
	for i := range 200 {
		all.Go(func() {
			text := strings.Repeat("abc", []int{0, 1, 1000, 30_000, 70_000}[i%5])
			res, got, err := attempt(h, ask("POST", fmt.Sprintf("/p/%d", i), text))
			if !res.HasResponse || res.Response.Status != 201 || got != strings.ToUpper(text) || err != nil || res.Response.Header.Get("X-Path") != fmt.Sprintf("/p/%d", i) {
				t.Errorf("request %d: %v, %d, %d bytes of %d, %v", i, res.Outcome, res.Response.Status, len(got), len(text), err)
			}
		})
	}
	all.Wait()
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if tr.open > 200/reqsMost+4 {
		t.Errorf("%d connections", tr.open)
	}
}

// On a connection with several requests, output for one that has ended leaves the other answers
// right, and the connection takes no more.
func TestStrayOutput(t *testing.T) {
	var mu sync.Mutex
	waiting := map[uint16]net.Conn{}
	both := make(chan struct{})
	r := startResponder(t, "mpx", func(c net.Conn, id uint16, vars map[string]string, _ string) {
		if vars["REQUEST_URI"] == "/first" {
			c.Write(good(id, "good"))
			return
		}
		mu.Lock()
		defer mu.Unlock()
		if waiting[id] = c; len(waiting) < 2 {
			return
		}
		var ids []uint16
		for id := range waiting {
			ids = append(ids, id)
		}
		a, b := ids[0], ids[1]
		if waiting[a] != waiting[b] {
			t.Error("they came on two connections")
		}
		c.Write(bytes.Join([][]byte{good(a, fmt.Sprint("for ", a)), out(a, "late"), out(b, "X: y\n\nfor "), out(a, "later"), out(b, fmt.Sprint(b)), endOf(b, fastcgi.EndRequestBody{})}, nil))
		close(both)
	})
	tr, h := hostAt(t, r.Addr().String())
	attempt(h, ask("POST", "/first", "")) // it learns that it can
	testutil.WaitUntil(t, "it has said what it can", func() bool {
		tr.mu.Lock()
		defer tr.mu.Unlock()
		return h.can.Multiplexes
	})
	texts := make(chan string, 2)
	for range 2 {
		go func() {
			res, text, err := attempt(h, ask("POST", "/", ""))
			texts <- fmt.Sprint(res.HasResponse, text, err)
		}()
	}
	<-both
	a, b := <-texts, <-texts
	if a == b || !strings.HasPrefix(a, "truefor ") || !strings.HasPrefix(b, "truefor ") {
		t.Errorf("%s and %s", a, b)
	}
	testutil.WaitUntil(t, "the connection is gone", func() bool {
		tr.mu.Lock()
		defer tr.mu.Unlock()
		return tr.open == 0
	})
}

// Giving up one of several requests on a connection aborts it alone; alone on a connection it
// ends that.
func TestGivingUp(t *testing.T) {
	hold := make(chan struct{})
	r := startResponder(t, "mpx", func(c net.Conn, id uint16, vars map[string]string, _ string) {
		if vars["REQUEST_URI"] == "/first" {
			c.Write(good(id, "good"))
			return
		}
		go func() {
			if vars["REQUEST_URI"] == "/kept" {
				<-hold
				c.Write(good(id, "kept"))
			}
		}()
	})
	tr, h := hostAt(t, r.Addr().String())
	attempt(h, ask("POST", "/first", ""))
	testutil.WaitUntil(t, "it has said what it can", func() bool {
		tr.mu.Lock()
		defer tr.mu.Unlock()
		return h.can.Multiplexes
	})
	kept := make(chan string, 1)
	go func() {
		_, text, _ := attempt(h, ask("POST", "/kept", ""))
		kept <- text
	}()
	testutil.WaitUntil(t, "it is out", func() bool { return r.runs.Load() == 2 })
	ctx, cancel := context.WithCancel(context.Background())
	given := make(chan engine.Result, 1)
	go func() { given <- h.Attempt(ctx, ask("POST", "/held", "")) }()
	testutil.WaitUntil(t, "the other is out", func() bool { return r.runs.Load() == 3 })
	cancel()
	if res := <-given; res.HasResponse || res.Outcome != balancer.Canceled {
		t.Errorf("given up: %+v", res)
	}
	testutil.WaitUntil(t, "it is aborted", func() bool { return r.aborts.Load() == 1 })
	close(hold)
	if got := <-kept; got != "kept" {
		t.Errorf("the other got %q", got)
	}
}

// leaver is a client that may leave.
type leaver struct{ left atomic.Bool }

func (l *leaver) Gone() bool { return l.left.Load() }

// A request whose records wait behind those of others on a connection that its responder does not read is
// looked at when their turn has come: it guards against one that goes out long behind its client.
func TestLookAgainBehindOthersRecords(t *testing.T) {
	hold := make(chan struct{})
	var late atomic.Int64
	r := startResponder(t, "mpx", func(c net.Conn, id uint16, vars map[string]string, _ string) {
		switch vars["REQUEST_URI"] {
		case "/stall":
			<-hold // whoever reads is held up
		case "/late":
			late.Add(1)
		}
		c.Write(good(id, "good"))
	})
	tr, h := hostAt(t, r.Addr().String())
	attempt(h, ask("POST", "/first", ""))
	testutil.WaitUntil(t, "it has said what it can", func() bool {
		tr.mu.Lock()
		defer tr.mu.Unlock()
		return h.can.Multiplexes && len(h.conns) == 1
	})
	tr.mu.Lock()
	c := h.conns[0]
	tr.mu.Unlock()
	var all sync.WaitGroup
	others := func(target string, n int) {
		all.Go(func() {
			if _, text, err := attempt(h, ask("POST", target, strings.Repeat("x", n))); text != "good" || err != nil {
				t.Errorf("%s: %q, %v", target, text, err)
			}
		})
	}
	others("/stall", 0)
	testutil.WaitUntil(t, "it is out", func() bool { return r.runs.Load() == 2 })
	others("/big", 32<<20) // more than all buffers on the way take
	testutil.WaitUntil(t, "it is being written", func() bool {
		if c.wmu.TryLock() {
			c.wmu.Unlock()
			return false
		}
		return c.in.NumOpen() == 2
	})
	client := &leaver{}
	x := ask("POST", "/late", "")
	x.Client = client
	result := make(chan engine.Result, 1)
	go func() { res, _, _ := attempt(h, x); result <- res }()
	testutil.WaitUntil(t, "it waits for its turn", func() bool { return c.in.NumOpen() == 3 })
	client.left.Store(true)
	close(hold)
	if res := <-result; res.HasResponse || res.Outcome != balancer.NotSent {
		t.Errorf("%+v, want NotSent", res)
	}
	all.Wait()
	if n := late.Load(); n != 0 {
		t.Errorf("it went out %d times", n)
	}
	if _, text, err := attempt(h, ask("POST", "/", "")); text != "good" || err != nil {
		t.Errorf("the next: %q, %v", text, err)
	}
}

// A responder that does not know the question, or ends the connection for it, carries one request
// at a time on each connection.
func TestNoMultiplexing(t *testing.T) {
	for _, values := range []string{"", "end"} {
		var most, now atomic.Int64
		r := startResponder(t, values, func(c net.Conn, id uint16, _ map[string]string, _ string) {
			most.Store(max(most.Load(), now.Add(1)))
			time.Sleep(5 * time.Millisecond)
			now.Add(-1)
			c.Write(good(id, "good"))
		})
		_, h := hostAt(t, r.Addr().String())
		var all sync.WaitGroup
		for range 10 {
			all.Go(func() {
				if _, text, err := attempt(h, ask("POST", "/", "")); text != "good" || err != nil {
					t.Errorf("%q, %v", text, err)
				}
			})
		}
		all.Wait()
		if c := r.conns.Load(); c < 5 {
			t.Errorf("%q: %d connections for ten at once", values, c)
		}
	}
}

// A long answer flows, whole or seen to be cut.
func TestLongAnswers(t *testing.T) {
	text := strings.Repeat("0123456789", 300_000)
	for _, c := range []struct {
		name  string
		head  string
		whole bool
	}{
		{"whole", "X: y\n\n", true}, {"with a length", fmt.Sprintf("Content-Length: %d\n\n", len(text)), true},
		{"cut", "X: y\n\n", false}, {"shorter than its length", fmt.Sprintf("Content-Length: %d\n\n", len(text)+1), true},
	} {
		r := startResponder(t, "", func(nc net.Conn, id uint16, _ map[string]string, _ string) {
			nc.Write(out(id, c.head+text))
			if c.whole {
				nc.Write(endOf(id, fastcgi.EndRequestBody{}))
			} else {
				nc.Close()
			}
		})
		_, h := hostAt(t, r.Addr().String())
		res, got, err := attempt(h, ask("POST", "/", ""))
		if !res.HasResponse || (err == nil) != (c.whole && c.name != "shorter than its length") || err == nil && got != text {
			t.Errorf("%s: answered %t, %d bytes, %v", c.name, res.HasResponse, len(got), err)
		}
	}
}

// gone is a client that has left.
type gone struct{}

func (gone) Gone() bool { return true }

// A dial may take long: nothing goes out behind it to a host that drains, has moved or was started
// anew meanwhile, nor for what is over or whose window has closed.
func TestLookAgainBehindADial(t *testing.T) {
	for name, change := range map[string]func(h *host, x *engine.Request){
		"drain":         func(h *host, _ *engine.Request) { h.Update(h.addr, 0, false) },
		"moved":         func(h *host, _ *engine.Request) { h.Update("127.0.0.1:9", 0, true) },
		"started anew":  func(h *host, _ *engine.Request) { h.Update(h.addr, 7, true) },
		"over":          func(_ *host, x *engine.Request) { x.Close() },
		"client gone":   func(_ *host, x *engine.Request) { x.Client = gone{} },
		"window closed": func(_ *host, x *engine.Request) { x.WriteBy = time.Now() },
	} {
		r := startResponder(t, "end", func(c net.Conn, id uint16, _ map[string]string, _ string) { c.Write(good(id, "yes")) })
		tr, h := hostAt(t, r.Addr().String())
		x := ask("POST", "/", "x")
		tr.dialer.Control = func(_, _ string, _ syscall.RawConn) error {
			change(h, x)
			return nil
		}
		if got, _, _ := attempt(h, x); got.HasResponse || got.Outcome != balancer.NotSent {
			t.Errorf("%s: %+v, want NotSent", name, got)
		}
		if n := r.runs.Load(); n != 0 {
			t.Errorf("%s: the host got %d requests", name, n)
		}
	}
}
