package http1

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"dunemoor/internal/body"
	"dunemoor/internal/frontend"
	"dunemoor/internal/testutil"
)

// maxInvalidRequestTime is the maximum time until a client that sends an invalid request gets an error or a close: 3 s,
// plus 2 s for a busy machine. Other timeouts that would close the connection are far longer.
const maxInvalidRequestTime = 3*time.Second + 2*time.Second

// isTimeout reports whether an error was caused by an exceeded deadline.
func isTimeout(err error) bool {
	netErr, ok := err.(net.Error)
	return ok && netErr.Timeout()
}

// invalidRequest is a request that must not be forwarded.
type invalidRequest struct {
	name, request string
	status        string // expected status of the response; "" means that a close without a response is also allowed
}

// invalidRequests returns requests that are each invalid for a single reason.
func invalidRequests() []invalidRequest {
	header := func(first string, lines ...string) string {
		return first + "\r\nHost: a\r\n" + strings.Join(lines, "\r\n") + "\r\n\r\n"
	}
	const class, timeout = "X-Priority-Class: book", "X-Timeout: 60"
	id := func() string { return "X-Request-ID: " + testutil.NewID() }
	const post = "POST /api/1 HTTP/1.1"
	smuggled := "0\r\n\r\n" + testutil.LookRequest(testutil.NewID())
	lengthLine := fmt.Sprintf("Content-Length: %d", len(smuggled))
	return []invalidRequest{
		{"length and encoding", header(post, class, timeout, id(), lengthLine, "Transfer-Encoding: chunked") + smuggled, "400"},
		{"encoding and length", header(post, class, timeout, id(), "Transfer-Encoding: chunked", lengthLine) + smuggled, "400"},
		{"length and encoding in HTTP/1.0", header("POST /api/1 HTTP/1.0", class, timeout, id(), lengthLine, "Transfer-Encoding: chunked") + smuggled, "400"},
		{"unknown encoding", header(post, class, timeout, id(), lengthLine, "Transfer-Encoding: xchunked") + smuggled, "501"},
		{"chunked on a route without Streams", header(post, class, timeout, id(), "Transfer-Encoding: chunked") + "1\r\na\r\n0\r\n\r\n", "400"},
		{"no id", header(post, class, timeout, "Content-Length: 1") + "b", "400"},
		{"empty id", header(post, class, timeout, "X-Request-ID: ", "Content-Length: 1") + "b", "400"},
		{"malformed id", header(post, class, timeout, "X-Request-ID: a b;c", "Content-Length: 1") + "b", "400"},
		{"id too long", header(post, class, timeout, "X-Request-ID: "+strings.Repeat("a", 64+1), "Content-Length: 1") + "b", "400"},
		{"two ids", header(post, class, timeout, id(), id(), "Content-Length: 1") + "b", "400"},
		{"two keys", header(post, class, timeout, id(), "Idempotency-Key: a", "Idempotency-Key: b", "Content-Length: 1") + "b", "400"},
		{"no timeout", header(post, class, id(), "Content-Length: 1") + "b", "400"},
		{"negative timeout", header(post, class, "X-Timeout: -1", id(), "Content-Length: 1") + "b", "400"},
		{"timeout that is no number", header(post, class, "X-Timeout: NaN", id(), "Content-Length: 1") + "b", "400"},
		{"infinite timeout", header(post, class, "X-Timeout: inf", id(), "Content-Length: 1") + "b", "400"},
		{"no class", header(post, timeout, id(), "Content-Length: 1") + "b", "400"},
		{"method of another class", header("GET /api/1 HTTP/1.1", class, timeout, id()), "400"},
		{"negative length", header(post, class, timeout, id(), "Content-Length: -1") + "b", "400"},
		{"two lengths", header(post, class, timeout, id(), "Content-Length: 1", "Content-Length: 2") + "bb", "400"},
		{"binary data", strings.Repeat("\x00\xff\x03", 100) + "\r\n\r\n", "400"},
		{"endless header section", post + "\r\n" + strings.Repeat("X-Pad: pppppppppppppppppppppppp\r\n", 4000), "431"},
		{"body of 60 MB", header(post, class, timeout, id(), "Content-Length: 62914560"), "413"},
		{"partial header section", post + "\r\nHost: a\r\nX-Prio", ""},
		{"partial body", header(post, class, timeout, id(), "Content-Length: 10") + "half", "400"},
		{"no bytes", "", ""},
	}
}

// The response to an invalid request is an error or a close within maxInvalidRequestTime. The connection is closed, no
// part of the request is sent to a host, and no resources stay reserved.
func TestInvalidRequestGetsErrorOrClose(t *testing.T) {
	host := testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse))
	g := startGateway(t, withHosts(host))
	for _, tt := range invalidRequests() {
		t.Run(tt.name, func(t *testing.T) {
			c, err := net.Dial("tcp", strings.TrimPrefix(g.url, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(maxInvalidRequestTime))
			go io.WriteString(c, tt.request) // fails if the response is sent before all is written
			got, err := io.ReadAll(c)
			if isTimeout(err) {
				t.Fatalf("got %q and then a timeout, want an error or a close", got)
			}
			if want := " " + tt.status; tt.status != "" && (len(got) < 8 || !strings.HasPrefix(string(got[8:]), want)) {
				t.Errorf("got response %.80q (%v), want status %s", got, err, want)
			}
			if n := strings.Count(string(got), "HTTP/1.1 "); n > 1 {
				t.Errorf("got %d responses, want one at most", n)
			}
		})
	}
	if requests, accepted, _ := host.Counts(); requests+accepted != 0 {
		t.Errorf("host received %d requests on %d connections, want none", requests, accepted)
	}
	if n, _ := g.admission.Bodies.Used(body.RequestBodies); n != 0 {
		t.Errorf("got %d bytes reserved for bodies, want 0", n)
	}
	if n := g.admission.OpenIDs(); n != 0 {
		t.Errorf("got %d open ids, want 0", n)
	}
}

// A client that sends a body of 60 MB and reads only afterwards is not blocked for long: the gateway closes the
// connection instead of reading a body that it does not accept.
func TestConnectionWithHugeBodyIsClosedSoon(t *testing.T) {
	g := startGateway(t, withHosts())
	c := g.dial()
	c.SetDeadline(time.Now().Add(2 * maxInvalidRequestTime))
	io.WriteString(c, "POST /api/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 62914560\r\n\r\n")
	part := make([]byte, 1<<16)
	var err error
	for sent := 0; err == nil && sent < 62914560; sent += len(part) {
		_, err = c.Write(part)
	}
	if isTimeout(err) {
		t.Errorf("write the body: got timeout %v, want success or a close", err)
	}
}

// A request with the id of an open request, or of one that has just ended, is rejected.
func TestRequestIDInUseIsRejected(t *testing.T) {
	received, release := make(chan struct{}, 1), make(chan struct{})
	host := testutil.NewHost(t, func(c net.Conn, _ *http.Request, _ int) bool {
		received <- struct{}{}
		<-release
		io.WriteString(c, testutil.OKResponse)
		return true
	})
	g := startGateway(t, withHosts(host))
	first, id := g.dial(), testutil.NewID()
	io.WriteString(first, testutil.LookRequest(id))
	<-received
	sendAgain := func(when string) {
		t.Helper()
		c := g.dial()
		io.WriteString(c, testutil.LookRequest(id))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode != 409 || !resp.Close {
			t.Errorf("%s: got %+v, %v, want status 409 and a close", when, resp, err)
		}
	}
	sendAgain("while the request is open")
	close(release)
	if resp, err := http.ReadResponse(bufio.NewReader(first), nil); err != nil || resp.StatusCode != 200 {
		t.Fatalf("first request: got %+v, %v, want status 200", resp, err)
	}
	sendAgain("just after the request has ended")
	if requests, _, _ := host.Counts(); requests != 1 {
		t.Errorf("host received %d requests, want 1", requests)
	}
}

// While the memory budget for bodies is exhausted, a request with a body is rejected with a Retry-After, and a request
// without a body is served. Once the memory is released, a request with a body is served again.
func TestRequestBodyBeyondBudgetIsRejected(t *testing.T) {
	g := startGateway(t, withHealthyHost(t))
	ticket, err := g.admission.Admit(&frontend.Message{Method: "GET", Target: "/", Host: "a", Header: http.Header{
		"X-Request-Id": {testutil.NewID()}, "X-Priority-Class": {"look"}, "X-Timeout": {"60"}}}, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	_, limit := g.admission.Bodies.Used(body.RequestBodies)
	if err := ticket.ReserveBody(limit); err != nil {
		t.Fatalf("reserve the whole budget for bodies: got %v, want nil", err)
	}
	if resp, _ := g.send("book", "/api/1", "b"); resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" {
		t.Errorf("with a body: got status %d, headers %v, want 503 with a Retry-After", resp.StatusCode, resp.Header)
	}
	if resp, _ := g.send("look", "/api/1", ""); resp.StatusCode != 200 {
		t.Errorf("without a body: got status %d, want 200", resp.StatusCode)
	}
	ticket.Discard()
	if resp, _ := g.send("book", "/api/1", "b"); resp.StatusCode != 200 {
		t.Errorf("with a body, after the memory was released: got status %d, want 200", resp.StatusCode)
	}
	testutil.WaitUntil(t, "no memory is reserved for bodies", func() bool {
		used, _ := g.admission.Bodies.Used(body.RequestBodies)
		return used == 0
	})
}

// The timeout of a request starts at its last byte, so the body may take longer to arrive than the timeout.
func TestTimeoutStartsAtLastByte(t *testing.T) {
	// The body is complete after 1.5 s, which is 1 s before requestTimeout, and 1.2 s then remain for the response. So
	// the test tolerates a pause of the machine of 1 s before and after the end of the body.
	const timeout = 1200 * time.Millisecond
	g := startGateway(t, withHealthyHost(t))
	c := g.dial()
	fmt.Fprintf(c, "POST /api/1 HTTP/1.1\r\nHost: a\r\nX-Priority-Class: book\r\nX-Timeout: %v\r\nX-Request-ID: %s\r\n"+
		"Content-Length: 4\r\n\r\nbo", timeout.Seconds(), testutil.NewID())
	time.Sleep(timeout + timeout/4) // longer than the timeout; there is no event to wait for instead
	io.WriteString(c, "dy")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != 200 {
		t.Errorf("got %+v, %v, want status 200", resp, err)
	}
}

// A client whose body is too long can read the error response and sees a regular close. If the gateway closed the
// connection with unread bytes, the kernel would reset it, possibly before the client has read the response.
func TestClientWithTooLongBodyReadsError(t *testing.T) {
	g := startGateway(t, withHealthyHost(t))
	content := strings.Repeat("x", frontend.MaxBufferedBytes+1)
	for _, line := range []string{"", "Connection: close\r\n"} {
		c := g.dialWithTimeout()
		fmt.Fprintf(c, "POST /api/1 HTTP/1.1\r\nHost: a\r\nX-Priority-Class: book\r\nX-Timeout: 60\r\n"+
			"X-Request-ID: %s\r\nContent-Length: %d\r\n%s\r\n%s", testutil.NewID(), len(content), line, content[:frontend.MaxBufferedBytes/2])
		in := bufio.NewReader(c)
		resp, err := http.ReadResponse(in, nil)
		if err != nil || resp.StatusCode != http.StatusRequestEntityTooLarge {
			t.Fatalf("%q: got %+v, %v, want status 413 after half of the body", line, resp, err)
		}
		if _, err := io.WriteString(c, content[frontend.MaxBufferedBytes/2:]); err != nil {
			t.Errorf("%q: write the rest of the body: got %v, want nil", line, err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			t.Errorf("%q: read the response: got %v, want nil", line, err)
		}
		if _, err := in.ReadByte(); err != io.EOF {
			t.Errorf("%q: end of the connection: got %v, want EOF", line, err)
		}
	}
}

// Pipelined requests are answered in order, regardless of how they are split into packets.
func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	host := testutil.NewHost(t, func(c net.Conn, r *http.Request, _ int) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(r.URL.Path), r.URL.Path)
		return true
	})
	g := startGateway(t, withHosts(host))
	for _, piece := range []int{1 << 20, 61} { // all requests in one write, and split at arbitrary positions
		c := g.dialWithTimeout()
		var requests strings.Builder
		for i := range 8 {
			fmt.Fprintf(&requests, "POST /api/%d HTTP/1.1\r\nHost: a\r\nX-Priority-Class: book\r\nX-Timeout: 60\r\nX-Request-ID: %s\r\nContent-Length: 4\r\n\r\nbody", i, testutil.NewID())
		}
		go func() {
			for s := requests.String(); s != ""; {
				n := min(piece, len(s))
				io.WriteString(c, s[:n])
				s = s[n:]
			}
		}()
		in := bufio.NewReader(c)
		for i := range 8 {
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				t.Fatalf("pieces of %d bytes: read response %d: %v", piece, i, err)
			}
			want := fmt.Sprint("/api/", i)
			if got, err := io.ReadAll(resp.Body); string(got) != want || err != nil {
				t.Fatalf("pieces of %d bytes: response %d: got %q, %v, want %q", piece, i, got, err, want)
			}
		}
	}
	host.Mu.Lock()
	defer host.Mu.Unlock()
	for i, got := range host.Bodies {
		if got != "body" {
			t.Errorf("body %d: got %q, want %q", i, got, "body")
		}
	}
}

// An HTTP/1.0 connection is closed after the response unless the client sends Connection: keep-alive. The test uses the
// health check because the platform's protocol requires HTTP/1.1.
func TestHTTP10ConnectionIsKeptOnlyWithKeepAlive(t *testing.T) {
	g := startGateway(t, withHealthyHost(t))
	for line, keepAlive := range map[string]bool{"": false, "Connection: keep-alive\r\n": true} {
		c := g.dialWithTimeout()
		in := bufio.NewReader(c)
		for round := range 2 {
			io.WriteString(c, "GET /_health HTTP/1.0\r\n"+line+"\r\n")
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				if round == 0 || keepAlive {
					t.Errorf("%q, request %d: got %v, want a response", line, round, err)
				}
				break
			}
			text, _ := io.ReadAll(resp.Body)
			if string(text) != "ok\n" || resp.ProtoMinor != 0 || resp.Close == keepAlive {
				t.Errorf("%q: got %q, %s, close %t, want ok in HTTP/1.0, close %t", line, text, resp.Proto, resp.Close, !keepAlive)
			}
		}
	}
}

// After an error response to a client that waits for 100 Continue, the connection is closed: the bytes that the client
// sends next could be either the body or the next request.
func TestErrorBeforeContinueClosesConnection(t *testing.T) {
	host := testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse))
	g := startGateway(t, withHosts(host))
	c := g.dialWithTimeout()
	smuggled := testutil.LookRequest(testutil.NewID())
	fmt.Fprintf(c, "POST /api/1 HTTP/1.1\r\nHost: a\r\nX-Priority-Class: none\r\nX-Timeout: 60\r\nX-Request-ID: %s\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", testutil.NewID(), len(smuggled))
	in := bufio.NewReader(c)
	resp, err := http.ReadResponse(in, nil)
	if err != nil || resp.StatusCode != 400 || !resp.Close {
		t.Fatalf("got %+v, %v, want status 400 and a close", resp, err)
	}
	io.WriteString(c, smuggled)
	if rest, err := io.ReadAll(in); err != nil || strings.Contains(string(rest), "HTTP/1.1") {
		t.Errorf("after the error: got %q, %v, want no response and a regular close", rest, err)
	}
	if n, _, _ := host.Counts(); n != 0 {
		t.Errorf("host received %d requests, want 0", n)
	}
}

// A header section of the maximum size is accepted, and one that is a byte longer is rejected.
func TestHeaderSectionSizeIsLimited(t *testing.T) {
	g := startGateway(t, withHealthyHost(t))
	for _, tt := range []struct{ excess, status int }{{0, 200}, {1, 431}} {
		header := "GET /_health HTTP/1.1\r\nHost: a\r\nX-Pad: "
		header += strings.Repeat("x", defaultMaxHeaderBytes+tt.excess-len(header)-4) + "\r\n\r\n"
		c := g.dialWithTimeout()
		io.WriteString(c, header)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode != tt.status {
			t.Errorf("%d bytes over the limit: got %+v, %v, want status %d", tt.excess, resp, err, tt.status)
		}
	}
}

// A connection on which a partial header section arrives after a complete request is closed after requestTimeout, like
// a new connection, and not after the longer idleTimeout.
func TestPartialHeaderSectionAfterRequestTimesOut(t *testing.T) {
	g := startGateway(t, withHealthyHost(t))
	c := g.dial()
	if err := testutil.RoundTrip(c); err != nil {
		t.Fatal(err)
	}
	io.WriteString(c, "GET /api/1 HTTP/1.1\r\nHost: a\r\nX-Pri")
	c.SetDeadline(time.Now().Add(maxInvalidRequestTime))
	if got, err := io.ReadAll(c); err != nil || len(got) > 0 {
		t.Errorf("got %q, %v, want a close", got, err)
	}
}

// No informational response is written after the start of the final response, such as a 100 Continue if the body is
// read after that. None is sent to an HTTP/1.0 client (RFC 9110, 15.2).
func TestNoInformationalResponseAfterFinalOne(t *testing.T) {
	client, c := acceptPair(t)
	c.request.Method = "POST"
	b := &bodyReader{c: c, remaining: 4, expectContinue: true}
	if err := c.writeResponse(200, nil, 0, nil); err != nil {
		t.Fatal(err)
	}
	io.WriteString(client, "body")
	if n, err := b.Read(make([]byte, 4)); n != 4 || err != io.EOF {
		t.Errorf("read the body: got %d bytes, %v, want 4 and EOF", n, err)
	}
	c.forwardInformational(103, http.Header{"Link": {"a"}})
	c.responseStarted = false
	c.request.HTTP10 = true
	c.forwardInformational(103, http.Header{"Link": {"a"}})
	c.TCPConn.Close()
	got, err := io.ReadAll(client)
	if err != nil || strings.Count(string(got), "HTTP/1.1") != 1 {
		t.Errorf("client received %q, %v, want one response", got, err)
	}
}
