package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dunemoor/internal/engine"
	"dunemoor/internal/fastcgi"
	"dunemoor/internal/frontend"
	"dunemoor/internal/testutil"
)

// FastCGI requests are validated like HTTP requests, and valid ones are forwarded to hosts in the same way.
func TestFastCGIRequestsAreCheckedLikeHTTP(t *testing.T) {
	var got atomic.Pointer[http.Request]
	addr, hits := startHTTPHost(t, func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(strings.NewReader(string(b)))
		got.Store(r)
		w.Header().Set("X-Here", "yes")
		w.WriteHeader(201)
		fmt.Fprintf(w, "%s %s %d", r.Method, r.RequestURI, len(b))
	})
	g := startAppliance(t, singleRouteConfig("max_body = 3000000", addr)+fastCGIListener)
	w := dialFastCGI(t, g.fastCGIAddr())
	params := fastCGIParams("POST", "/a?b=%20", "CONTENT_LENGTH", "4", "HTTP_HOST", "h.example.org", "HTTP_X_THING", "v",
		"HTTP_PROXY", "http://evil", "REMOTE_ADDR", "192.0.2.4", "CONTENT_TYPE", "text/plain",
		"HTTP_CONNECTION", "keep-alive", "HTTP_TRANSFER_ENCODING", "chunked")
	if status, text := w.send(1, params, "four"); status != 201 || text != "POST /a?b=%20 4" {
		t.Errorf("status %d, body %q, want 201 with the request", status, text)
	}
	r := got.Load()
	for name, want := range map[string]string{"X-Thing": "v", "Proxy": "", "X-Forwarded-For": "192.0.2.4", "Content-Type": "text/plain"} {
		if v := r.Header.Get(name); v != want {
			t.Errorf("header %s: %q, want %q", name, v, want)
		}
	}
	if r.Host != "h.example.org" {
		t.Errorf("host %q, want h.example.org", r.Host)
	}
	checkInvalidFastCGIRequests(t, w, hits)
	// The connection is still usable, for bodies of any size.
	for _, n := range []int{0, 1, frontend.MaxBufferedBytes, frontend.MaxBufferedBytes + 1, 2_000_000} {
		stdin := strings.Repeat("y", n)
		want := fmt.Sprintf("POST / %d", n)
		if status, text := w.send(3, fastCGIParams("POST", "/", "CONTENT_LENGTH", fmt.Sprint(n)), stdin); status != 201 || text != want {
			t.Errorf("%d bytes: status %d, body %q, want 201 and %q", n, status, text, want)
		}
		if status, text := w.send(4, fastCGIParams("POST", "/"), stdin); status != 201 || text != want {
			t.Errorf("%d bytes without a length: status %d, body %q, want 201 and %q", n, status, text, want)
		}
	}
	w.Write(fastcgi.AppendRecord(nil, fastcgi.GetValues, 0, fastcgi.AppendPair(nil, fastcgi.MpxsConns, "")))
	w.send(5, fastCGIParams("GET", "/"), "")
	if string(w.reply) != string(fastcgi.AppendPair(nil, fastcgi.MpxsConns, "1")) {
		t.Errorf("GET_VALUES result %q, want that requests are multiplexed", w.reply)
	}
	for id, e := range w.ended {
		if len(e) == 0 {
			t.Errorf("request %d has %d ends, want one or more", id, len(e))
		}
	}
}

// checkInvalidFastCGIRequests sends invalid requests and checks that they are rejected and reach no host.
func checkInvalidFastCGIRequests(t *testing.T, w *fastCGIClient, hits *atomic.Int64) {
	t.Helper()
	before := hits.Load()
	long := strings.Repeat("x", 100_000)
	for _, c := range []struct {
		name   string
		params []byte
		stdin  string
		want   int
	}{
		{"STDIN shorter than its length", fastCGIParams("POST", "/", "CONTENT_LENGTH", "5"), "four", 400},
		{"STDIN longer than its length", fastCGIParams("POST", "/", "CONTENT_LENGTH", "3"), "four", 400},
		{"body without a length", fastCGIParams("GET", "/"), "four", 400},
		{"negative length", fastCGIParams("POST", "/", "CONTENT_LENGTH", "-1"), "", 400},
		{"repeated parameter", fastCGIParams("POST", "/", "HTTP_A", "1", "HTTP_A", "2"), "", 400},
		{"two parameters for one header", fastCGIParams("POST", "/", "HTTP_A", "1", "HTTP_a", "2"), "", 400},
		{"no method", fastCGIParams("", "/"), "", 400},
		{"line break in a value", fastCGIParams("POST", "/", "HTTP_A", "1\r\nEvil: x"), "", 400},
		{"truncated parameters", []byte("\x05\x05abc"), "", 400},
		{"too long parameters", fastCGIParams("POST", "/", "HTTP_A", long), "", 431},
		{"dot segments", fastCGIParams("POST", "/a/../b"), "", 400},
		{"too long body", fastCGIParams("POST", "/", "CONTENT_LENGTH", "3000001"), "", 413},
		{"too many headers", fastCGIParams("POST", "/", manyHeaderParams(200)...), "", 431},
	} {
		if status, text := w.send(2, c.params, c.stdin); status != c.want {
			t.Errorf("%s: status %d, body %q, want %d", c.name, status, text, c.want)
		}
	}
	if n := hits.Load() - before; n != 0 {
		t.Errorf("%d invalid requests at the host, want 0", n)
	}
}

// An abort at any time cancels the attempt and leads to exactly one END_REQUEST, with no later records of
// the request. Other requests on the connection get their responses.
func TestFastCGIAbortEndsOnlyItsRequest(t *testing.T) {
	var held, left atomic.Int64
	addr, _ := startHTTPHost(t, func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		if r.URL.Path == "/hold" {
			held.Add(1)
			<-r.Context().Done()
			left.Add(1)
			return
		}
		io.WriteString(w, "good")
	})
	g := startAppliance(t, singleRouteConfig("", addr, addr)+fastCGIListener)
	w := dialFastCGI(t, g.fastCGIAddr())
	w.SetDeadline(time.Now().Add(10 * time.Second)) // shorter than the route's timeout, as an abort must not wait for it
	abort := func(id uint16) { w.Write(fastcgi.AppendStreamEnd(nil, fastcgi.AbortRequest, id)) }
	check := func(what string, id uint16) {
		t.Helper()
		text, ok := w.readUntilEnd(id)
		if !ok || strings.Contains(text, "good") {
			t.Errorf("%s: output %q, ended %t, want an end without a response", what, text, ok)
		}
		w.out[id] = endedOutput
		if status, text := w.send(id+100, fastCGIParams("GET", "/"), ""); status != 200 || text != "good" {
			t.Errorf("%s: next request: status %d, body %q, want 200 and body good", what, status, text)
		}
		if n := len(w.ended[id]); n != 1 {
			t.Errorf("%s: %d ends, want 1", what, n)
		}
	}
	w.Write(fastCGIRequest(1, fastcgi.KeepConn, fastCGIParams("POST", "/hold", "CONTENT_LENGTH", "1"), "x", true))
	testutil.WaitUntil(t, "the request at the host", func() bool { return held.Load() == 1 })
	abort(1)
	check("in flight", 1)
	testutil.WaitUntil(t, "the attempt canceled", func() bool { return left.Load() == 1 })
	w.Write(fastCGIRequest(2, fastcgi.KeepConn, fastCGIParams("POST", "/", "CONTENT_LENGTH", "100"), "half", false))
	abort(2)
	check("within STDIN", 2)
	w.Write(append(fastcgi.AppendBeginRequest(nil, 3, fastcgi.BeginRequestBody{Role: fastcgi.Responder, Flags: 1}), fastcgi.AppendStream(nil, fastcgi.Params, 3, fastCGIParams("POST", "/"))...))
	abort(3)
	check("within the parameters", 3)
	for id := uint16(10); id < 60; id++ { // aborts at about the time of the response
		w.Write(fastCGIRequest(id, fastcgi.KeepConn, fastCGIParams("GET", "/"), "", true))
		time.Sleep(time.Duration(id) * 10 * time.Microsecond)
		abort(id)
		if _, ok := w.readUntilEnd(id); !ok || len(w.ended[id]) != 1 {
			t.Fatalf("request %d has %d ends, want 1", id, len(w.ended[id]))
		}
		w.out[id] = endedOutput
	}
	w.Write(fastCGIRequest(5, fastcgi.KeepConn, fastCGIParams("GET", "/hold"), "", true))
	testutil.WaitUntil(t, "the request at the host", func() bool { return held.Load() == 2 })
	w.Close()
	testutil.WaitUntil(t, "the attempt canceled by the end of the connection", func() bool { return left.Load() == 2 })
	testutil.WaitUntil(t, "no buffered body", func() bool { return g.maxBufferedBytes() == 0 })
}

// newHostLimit is the number of concurrent attempts that the balancer allows for a new host.
const newHostLimit = 4

// fillHost sends requests until the only host is at its limit. The requests stay in flight at the host,
// which counts them in inFlight.
func (w *fastCGIClient) fillHost(inFlight *atomic.Int64) {
	w.Helper()
	for id := range uint16(newHostLimit) {
		w.Write(fastCGIRequest(id+1, fastcgi.KeepConn, fastCGIParams("POST", "/hold", "CONTENT_LENGTH", "0"), "", true))
	}
	testutil.WaitUntil(w, "the host at its limit", func() bool { return inFlight.Load() == newHostLimit })
}

// openRequests returns the number of open requests in all pools.
func (a *testAppliance) openRequests() (n int64) {
	snapshot := a.engine.Snapshot()
	defer snapshot.Release()
	snapshot.Pools(func(p *engine.Pool) { n += p.OpenRequests() })
	return n
}

// A request that is aborted while it is queued reaches no host.
func TestFastCGIAbortOfQueuedRequestReachesNoHost(t *testing.T) {
	var inFlight, queued atomic.Int64
	addr, _ := startHTTPHost(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/queued" {
			queued.Add(1)
			return
		}
		inFlight.Add(1)
		<-r.Context().Done()
	})
	g := startAppliance(t, singleRouteConfig("", addr)+fastCGIListener)
	w := dialFastCGI(t, g.fastCGIAddr())
	w.fillHost(&inFlight)
	w.Write(fastCGIRequest(50, fastcgi.KeepConn, fastCGIParams("POST", "/queued", "CONTENT_LENGTH", "0"), "", true))
	testutil.WaitUntil(t, "the request queued", func() bool { return g.openRequests() == newHostLimit+1 })
	w.Write(fastcgi.AppendStreamEnd(nil, fastcgi.AbortRequest, 50))
	if text, ok := w.readUntilEnd(50); !ok || text != "" {
		t.Errorf("output %q, ended %t, want an end without output", text, ok)
	}
	testutil.WaitUntil(t, "the request removed from the pool", func() bool { return g.openRequests() == newHostLimit })
	if n := queued.Load(); n != 0 {
		t.Errorf("%d requests at the host, want 0", n)
	}
}

// A web server closes its connection while a request is queued. The close arrives after body bytes that the
// gateway has not read yet. The request must not reach a host.
func TestFastCGICloseDuringQueuedBodyReachesNoHost(t *testing.T) {
	var inFlight, queued atomic.Int64
	hold := make(chan struct{})
	release := sync.OnceFunc(func() { close(hold) })
	addr, _ := startHTTPHost(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/queued" {
			queued.Add(1)
			return
		}
		inFlight.Add(1)
		<-hold
	})
	t.Cleanup(release)
	g := startAppliance(t, singleRouteConfig("", addr)+fastCGIListener)
	w := dialFastCGI(t, g.fastCGIAddr())
	w.fillHost(&inFlight)
	leaving := dialFastCGI(t, g.fastCGIAddr())
	body := strings.Repeat("x", 160<<10) // more than the gateway buffers and reads ahead on one connection
	// Without KEEP_CONN the body may block reading for long.
	leaving.Write(fastCGIRequest(1, 0, fastCGIParams("POST", "/queued", "CONTENT_LENGTH", "1000000"), body, false))
	testutil.WaitUntil(t, "the request queued", func() bool { return g.openRequests() == newHostLimit+1 })
	leaving.Close()
	testutil.WaitUntil(t, "the close at the gateway", func() bool { return closeWait(t, leaving) })
	release()
	testutil.WaitUntil(t, "all requests ended", func() bool { return g.openRequests() == 0 })
	if status, _ := w.send(50, fastCGIParams("GET", "/"), ""); status != 200 {
		t.Errorf("status %d, want 200", status)
	}
	if n := queued.Load(); n != 0 {
		t.Errorf("%d requests at the host, want 0", n)
	}
}

// Records out of order end the connection, but only after complete requests have got their responses.
func TestFastCGIRecordsOutOfOrderEndConnection(t *testing.T) {
	release := make(chan struct{})
	addr, hits := startHTTPHost(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		io.WriteString(w, "good")
	})
	g := startAppliance(t, singleRouteConfig("", addr)+fastCGIListener)
	w := dialFastCGI(t, g.fastCGIAddr())
	w.Write(fastCGIRequest(1, fastcgi.KeepConn, fastCGIParams("GET", "/"), "", true))
	testutil.WaitUntil(t, "the request at the host", func() bool { return hits.Load() == 1 })
	w.Write(fastCGIRequest(2, fastcgi.KeepConn, fastCGIParams("POST", "/", "CONTENT_LENGTH", "9"), "half", false))
	w.Write(fastcgi.AppendBeginRequest(nil, 1, fastcgi.BeginRequestBody{Role: fastcgi.Responder}))
	if text, ok := w.readUntilEnd(2); !ok || !strings.HasPrefix(text, "Status: 400") {
		t.Errorf("incomplete request on the connection: %q, want status 400", text)
	}
	close(release)
	if text, ok := w.readUntilEnd(1); !ok || !strings.HasSuffix(text, "good") {
		t.Errorf("complete request on the connection: %q, want good", text)
	}
	if _, err := w.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("end of the connection: error %v, want EOF", err)
	}
	if n := hits.Load(); n != 1 {
		t.Errorf("%d requests at the host, want 1", n)
	}
}

// Without KEEP_CONN the connection is closed after the response. After a truncated response it is closed
// without END_REQUEST, so that the response is not taken for complete.
func TestFastCGIConnectionClosesAfterResponse(t *testing.T) {
	addr, _ := startHTTPHost(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/cut" {
			io.WriteString(w, strings.Repeat("x", 200_000))
			w.(http.Flusher).Flush()
			c, _, _ := http.NewResponseController(w).Hijack()
			c.Close()
			return
		}
		io.WriteString(w, "good")
	})
	g := startAppliance(t, singleRouteConfig("stream = true", addr)+fastCGIListener)
	w := dialFastCGI(t, g.fastCGIAddr())
	w.Write(fastCGIRequest(1, 0, fastCGIParams("GET", "/"), "", true))
	if text, ok := w.readUntilEnd(1); !ok || !strings.HasSuffix(text, "good") {
		t.Errorf("output %q, want good", text)
	}
	if _, err := w.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("without KEEP_CONN: error %v, want EOF", err)
	}
	w = dialFastCGI(t, g.fastCGIAddr())
	w.Write(fastCGIRequest(1, fastcgi.KeepConn, fastCGIParams("GET", "/cut"), "", true))
	if text, ok := w.readUntilEnd(1); ok || len(text) < 100_000 {
		t.Errorf("truncated response: %d bytes, ended %t, want 100000 or more without an end", len(text), ok)
	}
}

// A slow request, or one whose host does not read its body, does not delay other requests on the
// connection, and neither do hundreds of incomplete requests on other connections.
func TestFastCGISlowRequestsDoNotDelayOthers(t *testing.T) {
	release := make(chan struct{})
	addr, _ := startHTTPHost(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-release // the body is not read
		}
		io.Copy(io.Discard, r.Body)
		io.WriteString(w, "good")
	})
	g := startAppliance(t, singleRouteConfig("least_rate = 0\nidle = \"60s\"", addr, addr, addr)+fastCGIListener)
	w := dialFastCGI(t, g.fastCGIAddr())
	w.Write(fastCGIRequest(1, fastcgi.KeepConn, fastCGIParams("GET", "/slow"), "", true))
	const long = 16 << 20 // more than the buffers between client and host can hold
	w.Write(fastCGIRequest(600, fastcgi.KeepConn, fastCGIParams("POST", "/slow", "CONTENT_LENGTH", fmt.Sprint(long)), strings.Repeat("x", long), true))
	if text, ok := w.readUntilEnd(600); !ok || !strings.HasPrefix(text, "Status: 502") {
		t.Errorf("body that its host does not read: %.100q, want status 502", text)
	}
	for i := range 20 {
		if status, _ := w.send(uint16(2+i), fastCGIParams("GET", "/"), ""); status != 200 {
			t.Errorf("during a slow request: status %d, want 200", status)
		}
	}
	for i := range 500 { // a flood of BEGIN records on connections that go silent
		h := dialFastCGI(t, g.fastCGIAddr())
		for id := range uint16(fastcgi.MaxRequestsPerConn + 5) {
			h.Write(fastcgi.AppendBeginRequest(nil, id+1, fastcgi.BeginRequestBody{Role: fastcgi.Responder, Flags: 1}))
			if id%2 == 0 {
				h.Write(fastcgi.AppendStream(nil, fastcgi.Params, id+1, fastCGIParams("POST", fmt.Sprint("/half/", i))))
			}
		}
	}
	for i := range 20 {
		if status, _ := w.send(500, fastCGIParams("GET", "/"), ""); status != 200 {
			t.Errorf("with incomplete requests on other connections: status %d, want 200", status)
		}
		fresh := dialFastCGI(t, g.fastCGIAddr()) // new connections are served too
		if status, text := fresh.send(1, fastCGIParams("GET", "/"), ""); status != 200 {
			t.Errorf("new connection %d: status %d, body %q, want 200", i, status, text)
		}
	}
	testutil.WaitUntil(t, "incomplete requests ended", func() bool { return g.maxBufferedBytes() <= 1<<20 })
	close(release)
	if text, ok := w.readUntilEnd(1); !ok || !strings.HasSuffix(text, "good") {
		t.Errorf("slow request: %q, want good", text)
	}
}

// A request behind the body of another one, whose host hangs, is answered while the host still hangs. The test guards
// against a connection that is not read for long because the body was alone on it at first.
func TestFastCGIHungUploadDoesNotDelayLaterRequest(t *testing.T) {
	release := make(chan struct{})
	addr, _ := startHTTPHost(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/hung" {
			<-release // the body is not read
		}
		io.WriteString(w, "good")
	})
	defer close(release)
	g := startAppliance(t, singleRouteConfig("least_rate = 0\nidle = \"60s\"", addr, addr)+fastCGIListener)
	w := dialFastCGI(t, g.fastCGIAddr())
	const long = 16 << 20 // more than the buffers between client and host can hold
	go func() {           // blocks while the gateway does not read
		w.Write(fastCGIRequest(1, fastcgi.KeepConn, fastCGIParams("POST", "/hung", "CONTENT_LENGTH", fmt.Sprint(long)), strings.Repeat("x", long), true))
		w.Write(fastCGIRequest(2, fastcgi.KeepConn, fastCGIParams("GET", "/"), "", true))
	}()
	if text, ok := w.readUntilEnd(2); !ok || !strings.HasSuffix(text, "good") {
		t.Errorf("request behind the upload: %.100q, ended %t, want good", text, ok)
	}
	if len(w.ended[1]) != 1 || !strings.HasPrefix(w.out[1], "Status: 502") {
		t.Errorf("upload to the hung host: %.100q, ended %d times, want status 502 and one end", w.out[1], len(w.ended[1]))
	}
}

// closeWait reports whether the peer of a TCP connection on this machine is in state CLOSE_WAIT, which means
// that it has received the close.
func closeWait(t *testing.T, c net.Conn) bool {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		t.Fatal(err)
	}
	ours := fmt.Sprintf(":%04X 08 ", c.LocalAddr().(*net.TCPAddr).Port)
	return strings.Contains(string(table), ours)
}
