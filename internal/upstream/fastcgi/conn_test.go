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
	"testing"
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/engine"
	"dunemoor/internal/fastcgi"
	"dunemoor/internal/testutil"
)

// A connection that its responder closes after a response must not make the next request fail.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	r := startResponder(t, emptyValues, func(c net.Conn, id uint16, _ map[string]string, _ string) {
		c.Write(okRecords(id, "good"))
		c.Close()
	})
	transport, h := newTestHost(t, r.Addr().String())
	for i := range 20 {
		result, text, err := attempt(h, newTestRequest("POST", "/", "x"))
		if result.HasResponse && text == "good" && err == nil {
			continue
		}
		// The connection may be closed while the next request is being written. That request may have run.
		if result.Outcome != balancer.Reset || r.requests.Load() > int64(i+1) {
			t.Errorf("request %d: got outcome %v, body %q, error %v, want a response", i, result.Outcome, text, err)
		}
	}
	waitUntilNoneOpen(t, transport)
}

// serveUppercase is a handler that responds with the body in upper case.
func serveUppercase(w http.ResponseWriter, r *http.Request) {
	var text []byte
	var err error
	if r.ContentLength != 0 { // net/http/fcgi shares one empty body, which two requests must not read at once
		text, err = io.ReadAll(r.Body)
	}
	if err != nil || r.Header.Get("X-Request-Id") == "" || r.Method != "POST" {
		w.WriteHeader(500)
		return
	}
	w.Header().Set("X-Path", r.URL.Path)
	w.WriteHeader(201)
	w.Write(bytes.ToUpper(text))
}

// The transport interoperates with the standard library's implementation of FastCGI: request and response bodies of all
// sizes, and many requests at once on a few connections, as the values of that implementation allow.
func TestMultiplexingWithNetHTTP(t *testing.T) {
	ln := testutil.Listen(t, "127.0.0.1:0", nil)
	defer ln.Close()
	go fcgi.Serve(ln, http.HandlerFunc(serveUppercase))
	transport, h := newTestHost(t, ln.Addr().String())
	transport.dialer.Timeout = testutil.WaitTimeout // 200 requests at once may exceed the dial limit on a busy machine; the limit has tests of its own
	waitForMultiplexing(t, transport, h)
	var attempts sync.WaitGroup
	for i := range 200 {
		attempts.Go(func() {
			text := strings.Repeat("abc", []int{0, 1, 1000, 30_000, 70_000}[i%5])
			path := fmt.Sprintf("/p/%d", i)
			result, got, err := attempt(h, newTestRequest("POST", path, text))
			response := result.Response
			if !result.HasResponse || response.Status != 201 || response.Header.Get("X-Path") != path {
				t.Errorf("request %d: got outcome %v, status %d, path %q, want status 201, path %q", i, result.Outcome, response.Status, response.Header.Get("X-Path"), path)
			}
			if got != strings.ToUpper(text) || err != nil {
				t.Errorf("request %d: got %d bytes, error %v, want %d bytes in upper case", i, len(got), err, len(text))
			}
		})
	}
	attempts.Wait()
	transport.mu.Lock()
	defer transport.mu.Unlock()
	if open, most := transport.conns.NumOpen(), 200/maxRequestsPerConn+4; open > most {
		t.Errorf("got %d connections, want at most %d", open, most)
	}
}

// On a connection with several requests, output for a request that has ended does not affect the others, and the
// connection accepts no more requests.
func TestUnsolicitedOutputDrainsConnection(t *testing.T) {
	var mu sync.Mutex
	waiting := map[uint16]net.Conn{}
	responded := make(chan struct{})
	r := startResponder(t, multiplexing, func(c net.Conn, id uint16, params map[string]string, _ string) {
		if params["REQUEST_URI"] == "/first" {
			c.Write(okRecords(id, "good"))
			return
		}
		mu.Lock()
		defer mu.Unlock()
		waiting[id] = c
		if len(waiting) < 2 {
			return
		}
		var ids []uint16
		for id := range waiting {
			ids = append(ids, id)
		}
		a, b := ids[0], ids[1]
		if waiting[a] != waiting[b] {
			t.Error("got the requests on two connections, want one")
		}
		c.Write(bytes.Join([][]byte{
			okRecords(a, fmt.Sprint("for ", a)), stdoutRecords(a, "late"),
			stdoutRecords(b, "X: y\n\nfor "), stdoutRecords(a, "later"), stdoutRecords(b, fmt.Sprint(b)), endRecord(b, fastcgi.EndRequestBody{}),
		}, nil))
		close(responded)
	})
	transport, h := newTestHost(t, r.Addr().String())
	waitForMultiplexing(t, transport, h)
	results := make(chan string, 2)
	for range 2 {
		go func() {
			result, text, err := attempt(h, newTestRequest("POST", "/", ""))
			results <- fmt.Sprint(result.HasResponse, text, err)
		}()
	}
	<-responded
	a, b := <-results, <-results
	if a == b || !strings.HasPrefix(a, "truefor ") || !strings.HasPrefix(b, "truefor ") {
		t.Errorf("got responses %s and %s, want those of two requests", a, b)
	}
	waitUntilNoneOpen(t, transport)
}

// If the connection of an abandoned request carries other requests, only the abandoned one is aborted.
func TestAbandoningAbortsOneRequest(t *testing.T) {
	release := make(chan struct{})
	r := startResponder(t, multiplexing, func(c net.Conn, id uint16, params map[string]string, _ string) {
		if params["REQUEST_URI"] == "/first" {
			c.Write(okRecords(id, "good"))
			return
		}
		go func() {
			if params["REQUEST_URI"] == "/other" {
				<-release
				c.Write(okRecords(id, "other"))
			}
		}()
	})
	transport, h := newTestHost(t, r.Addr().String())
	waitForMultiplexing(t, transport, h)
	otherText := make(chan string, 1)
	go func() {
		_, text, _ := attempt(h, newTestRequest("POST", "/other", ""))
		otherText <- text
	}()
	testutil.WaitUntil(t, "the other request is sent", func() bool { return r.requests.Load() == 2 })
	ctx, cancel := context.WithCancel(context.Background())
	abandoned := make(chan engine.Result, 1)
	go func() { abandoned <- h.Attempt(ctx, newTestRequest("POST", openTarget, "")) }()
	testutil.WaitUntil(t, "the request to be abandoned is sent", func() bool { return r.requests.Load() == 3 })
	cancel()
	if result := <-abandoned; result.HasResponse || result.Outcome != balancer.Canceled {
		t.Errorf("abandoned request: got %+v, want Canceled", result)
	}
	testutil.WaitUntil(t, "the request is aborted", func() bool { return r.aborts.Load() == 1 })
	close(release)
	if got := <-otherText; got != "other" {
		t.Errorf("other request: got body %q, want \"other\"", got)
	}
}

// A request whose records wait for the writes of other requests, on a connection that its responder does not read, is
// checked right before they are written: it must not be sent long after its client has disconnected.
func TestRequestIsCheckedAgainAfterWritesOfOthers(t *testing.T) {
	release := make(chan struct{})
	var late atomic.Int64
	r := startResponder(t, multiplexing, func(c net.Conn, id uint16, params map[string]string, _ string) {
		switch params["REQUEST_URI"] {
		case "/stall":
			<-release // the connection is not read
		case "/late":
			late.Add(1)
		}
		c.Write(okRecords(id, "good"))
	})
	transport, h := newTestHost(t, r.Addr().String())
	waitForMultiplexing(t, transport, h)
	c := waitForOnlyConn(t, transport, h)
	transport.SetLimits(1, 0) // otherwise the late request may get a connection of its own
	var others sync.WaitGroup
	others.Go(func() { checkGoodResponse(t, h, "/stall", "") })
	testutil.WaitUntil(t, "the first request is sent", func() bool { return r.requests.Load() == 2 })
	others.Go(func() { checkGoodResponse(t, h, "/big", strings.Repeat("x", 32<<20)) }) // more than the socket buffers hold
	testutil.WaitUntil(t, "the long request is being written", func() bool { return isWriting(c) && c.client.NumOpen() == 2 })
	client := &disconnectedClient{}
	x := newTestRequest("POST", "/late", "")
	x.Client = client
	lateResult := make(chan engine.Result, 1)
	go func() {
		result, _, _ := attempt(h, x)
		lateResult <- result
	}()
	testutil.WaitUntil(t, "the late request waits to be written", func() bool { return c.client.NumOpen() == 3 })
	client.gone.Store(true)
	close(release)
	if result := <-lateResult; result.HasResponse || result.Outcome != balancer.NotSent {
		t.Errorf("got %+v, want NotSent", result)
	}
	others.Wait()
	if n := late.Load(); n != 0 {
		t.Errorf("the responder got the late request %d times, want 0", n)
	}
	checkGoodResponse(t, h, "/", "")
}

// A responder that does not support GET_VALUES, or closes the connection on receiving it, gets one request at a time on
// each connection.
func TestNoMultiplexingWithoutValues(t *testing.T) {
	for _, values := range []valuesBehavior{emptyValues, closeConnection} {
		t.Run(string(values), func(t *testing.T) {
			r := startResponder(t, values, func(c net.Conn, id uint16, _ map[string]string, _ string) {
				time.Sleep(5 * time.Millisecond)
				c.Write(okRecords(id, "good"))
			})
			_, h := newTestHost(t, r.Addr().String())
			var attempts sync.WaitGroup
			for range 10 {
				attempts.Go(func() { checkGoodResponse(t, h, "/", "") })
			}
			attempts.Wait()
			if conns := r.conns.Load(); conns < 5 {
				t.Errorf("got %d connections for ten requests at once, want at least 5", conns)
			}
		})
	}
}

// No request is started on a connection that is closed because its only request was abandoned. Guards against a request
// that is sent between the check for other requests and the close, and may have run.
func TestNoRequestIsStartedOnConnectionThatIsClosed(t *testing.T) {
	c, responder := newPipeConn(t)
	received := make(chan struct{})
	go func() {
		responder.Read(make([]byte, 1))
		close(received)
	}()
	c.inFlight = 2
	abandoned := c.startCall()
	ended := make(chan engine.Result, 1)
	c.beforeClose = func() {
		c.beforeClose = nil
		go func() { ended <- c.RoundTrip(t.Context(), newTestRequest("POST", "/", "")) }()
		select {
		case result := <-ended:
			if result.HasResponse || result.Outcome != balancer.ConnectFailed || result.PartlySent {
				t.Errorf("got %+v, want ConnectFailed with nothing sent", result)
			}
		case <-received:
			t.Error("the responder has received a request on a connection that is closed")
		}
	}
	c.abandon(abandoned)
}
