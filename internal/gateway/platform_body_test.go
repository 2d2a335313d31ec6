package gateway

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dunemoor/internal/frontend"
	"dunemoor/internal/testutil"
)

// Requests in the platform's protocol reach a host completely and exactly once, with any framing and up to
// the maximum body size.
func TestLongRequestsArriveUnchanged(t *testing.T) {
	var sums atomic.Value
	var ran atomic.Int64
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h := sha256.New()
		n, err := io.Copy(h, r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		ran.Add(1)
		sums.Store(fmt.Sprintf("%d %x", n, h.Sum(nil)))
		io.WriteString(w, "good")
	})}
	ln := testutil.Listen(t, "127.0.0.1:0", nil)
	go server.Serve(ln)
	defer server.Close()
	g := startGateway(t, testConfigAt(ln.Addr().String()))
	for _, n := range []int{1, frontend.MaxBufferedBytes - 1, frontend.MaxBufferedBytes, frontend.MaxBufferedBytes + 1, 3 << 20} {
		body := randomBody(n)
		want := fmt.Sprintf("%d %x", n, sha256.Sum256(body))
		for _, f := range []struct {
			name, framing string
			body          []byte
			piece         int
		}{
			{"length", fmt.Sprintf("Content-Length: %d\r\n", n), body, 1 << 20},
			{"length, in pieces", fmt.Sprintf("Content-Length: %d\r\n", n), body, max(n/50, 1)},
			{"chunks", "Transfer-Encoding: chunked\r\n", chunkedBody(body, 5000, ""), 1 << 20},
			{"chunks with a trailer, in pieces", "Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n", chunkedBody(body, max(n/3, 1), "X-Sum: 1\r\n"), max(n/50, 1)},
			{"100-continue", fmt.Sprintf("Content-Length: %d\r\nExpect: 100-continue\r\n", n), body, 1 << 20},
		} {
			before := ran.Load()
			resp, _, err := g.sendRaw("book", f.framing, f.body, f.piece)
			if err != nil || resp.StatusCode != 200 {
				t.Errorf("%d bytes, %s: response %v, error %v, want 200", n, f.name, resp, err)
				continue
			}
			if got := sums.Load(); got != want || ran.Load() != before+1 {
				t.Errorf("%d bytes, %s: body %v at the host, %d times, want %s once",
					n, f.name, got, ran.Load()-before, want)
			}
		}
	}
}

// A request with conflicting framing may hide a second request. Neither may reach a host.
func TestConflictingFramingReachesNoHost(t *testing.T) {
	host := testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse))
	g := startGateway(t, testConfig(host))
	for _, framing := range []string{
		"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
		"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", "Content-Length: 5\r\nContent-Length: 6\r\n",
		"Transfer-Encoding: gzip, chunked\r\n", "Transfer-Encoding: chunked\nX: y\r\n", fmt.Sprintf("Content-Length: %d\r\n", frontend.MaxBodyBytes+1),
	} {
		resp, _, err := g.sendRaw("book", framing, []byte("0\r\n\r\nGET /api/2 HTTP/1.1\r\nHost: a\r\n\r\n"), 1<<20)
		if err != nil || resp.StatusCode < 400 || !resp.Close {
			t.Errorf("%q: response %v, error %v, want a rejection that closes the connection", framing, resp, err)
		}
	}
	if n, _, _ := host.Counts(); n != 0 {
		t.Errorf("%d requests at the host, want 0", n)
	}
}

// The timeout of a request starts when the last byte of its body has arrived.
func TestTimeoutStartsAfterUpload(t *testing.T) {
	const timeout = 500 * time.Millisecond // long enough for a response on a busy machine
	host := testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse))
	cfg := testConfig(host)
	for i := range cfg.Settings.Classes {
		cfg.Settings.Classes[i].LatencyObjective = timeout
		cfg.Settings.Classes[i].Deadline = timeout
	}
	g := startGateway(t, cfg)
	const n = 2 * frontend.MaxBufferedBytes
	c := dialURL(t, g.url)
	fmt.Fprintf(c, "POST /api/1 HTTP/1.1\r\nHost: a\r\nX-Priority-Class: book\r\nX-Timeout: %v\r\nX-Request-ID: %s\r\nContent-Length: %d\r\n\r\n", timeout.Seconds(), testutil.NewID(), n)
	body := randomBody(n)
	const parts = 8
	for i := range parts {
		c.Write(body[i*n/parts : (i+1)*n/parts])
		time.Sleep(4 * timeout / parts) // four times the timeout in total; there is no event to wait for instead
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != 200 {
		t.Errorf("response %v, error %v, want 200", resp, err)
	}
}

// A host that closes the connection within the request body has not run the request, as the last byte was
// not sent. The client gets a 503, which means that a retry is harmless, and the gateway does not retry.
func TestUploadCutByHostIsNotRetried(t *testing.T) {
	var conns atomic.Int64
	addr := startRawHost(t, func(c net.Conn) {
		conns.Add(1)
		io.CopyN(io.Discard, c, 1<<20)
		c.(*net.TCPConn).SetLinger(0)
	})
	g := startGateway(t, testConfigAt(addr))
	const n = 24 << 20 // more than the buffers between client and host can hold
	resp, _, err := g.sendRaw("book", fmt.Sprintf("Content-Length: %d\r\n", n), randomBody(n), 1<<20)
	if err == nil && resp.StatusCode != 503 {
		t.Errorf("response %v, want 503", resp)
	}
	// A client that is still writing may receive the reset before the response, so that err is set. Another
	// response or a second attempt would be wrong.
	testutil.WaitUntil(t, "the request ended", func() bool { return g.openRequests() == 0 })
	if got := conns.Load(); got != 1 {
		t.Errorf("%d attempts, want 1", got)
	}
	if got, want := g.Status().(Status).Uploads, (Uploads{NeverRan: 1}); got != want {
		t.Errorf("counted %+v, want %+v", got, want)
	}
}

// Long responses arrive completely with any framing, at the pace of the client, and without being buffered
// as a whole.
func TestLongResponsesArriveUnchanged(t *testing.T) {
	const n = 3 << 20
	body := randomBody(n)
	for _, f := range []struct{ name, header, text string }{
		{"length", fmt.Sprintf("Content-Length: %d\r\n", n), string(body)},
		{"chunks", "Transfer-Encoding: chunked\r\n", string(chunkedBody(body, 7000, ""))},
		{"one chunk and a trailer", "Transfer-Encoding: chunked\r\n", string(chunkedBody(body, n, "X-Sum: 1\r\n"))},
		{"end of the connection", "Connection: close\r\n", string(body)},
	} {
		t.Run(f.name, func(t *testing.T) {
			host := testutil.NewHost(t, func(c net.Conn, _ *http.Request, _ int) bool {
				io.WriteString(c, "HTTP/1.1 200 OK\r\n"+f.header+"\r\n")
				for rest := f.text; rest != ""; rest = rest[min(len(rest), 100_000):] {
					if _, err := io.WriteString(c, rest[:min(len(rest), 100_000)]); err != nil {
						return false
					}
					time.Sleep(time.Millisecond)
				}
				return f.header[0] != 'C' || strings.HasPrefix(f.header, "Content")
			})
			g := startGateway(t, testConfig(host))
			for range 3 {
				resp, _, err := g.sendRaw("book", "Content-Length: 1\r\n", []byte("x"), 100)
				if err != nil || resp.StatusCode != 200 {
					t.Fatalf("response %v, error %v, want status 200", resp, err)
				}
				got, err := io.ReadAll(resp.Body)
				if err != nil || !bytes.Equal(got, body) {
					t.Errorf("%d bytes, error %v, want %d bytes", len(got), err, n)
				}
			}
			testutil.WaitUntil(t, "the request ended", func() bool { return g.openRequests() == 0 })
		})
	}
}

// The received part of a response is forwarded to the client even if the host pauses within a chunk.
func TestPartialResponseIsForwardedAtOnce(t *testing.T) {
	const n = 300_000
	body := randomBody(n)
	for _, header := range []string{fmt.Sprintf("Content-Length: %d\r\n\r\n", n), fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", n), "Connection: close\r\n\r\n"} {
		rest := make(chan struct{})
		host := testutil.NewHost(t, func(c net.Conn, _ *http.Request, _ int) bool {
			io.WriteString(c, "HTTP/1.1 200 OK\r\n"+header)
			c.Write(body[:n/2])
			<-rest
			c.Write(body[n/2:])
			if strings.HasPrefix(header, "T") {
				io.WriteString(c, "\r\n0\r\n\r\n")
			}
			return !strings.HasPrefix(header, "Conn")
		})
		g := startGateway(t, testConfig(host))
		resp, c, err := g.sendRaw("book", "Content-Length: 1\r\n", []byte("x"), 100)
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("response %v, error %v, want status 200", resp, err)
		}
		c.SetReadDeadline(time.Now().Add(testutil.WaitTimeout))
		if _, err := io.ReadFull(resp.Body, make([]byte, n/2)); err != nil {
			t.Errorf("%q: first half of the body: error %v, want none", header, err)
		}
		close(rest)
		if got, err := io.ReadAll(resp.Body); err != nil || !bytes.Equal(got, body[n/2:]) {
			t.Errorf("%q: second half of the body: %d bytes, error %v, want the rest", header, len(got), err)
		}
	}
}

// If the host closes the connection within a response, the client can detect with any framing that the
// response is incomplete, and nothing is appended to it.
func TestTruncatedLongResponseIsSeenByClient(t *testing.T) {
	for _, header := range []string{"Content-Length: 4000000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n3d0900\r\n"} {
		host := testutil.NewHost(t, func(c net.Conn, _ *http.Request, _ int) bool {
			io.WriteString(c, "HTTP/1.1 200 OK\r\n"+header)
			c.Write(randomBody(2_000_000))
			return false
		})
		g := startGateway(t, testConfig(host))
		resp, _, err := g.sendRaw("look", "Content-Length: 0\r\n", nil, 1000)
		if resp != nil && resp.StatusCode == 400 { // an idempotent class requires a GET
			resp, err = http.DefaultClient.Do(lookupRequest(g.url))
		}
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("response %v, error %v, want status 200", resp, err)
		}
		if got, err := io.ReadAll(resp.Body); err == nil {
			t.Errorf("%q: complete response of %d bytes, want an error", header, len(got))
		}
		if n, _, _ := host.Counts(); n != 1 {
			t.Errorf("%q: %d attempts, want 1", header, n)
		}
	}
}

// lookupRequest returns an idempotent request in the platform's protocol.
func lookupRequest(url string) *http.Request {
	r, _ := http.NewRequest("GET", url+"/api/1", nil)
	r.Header.Set("X-Priority-Class", "look")
	r.Header.Set("X-Timeout", "60")
	r.Header.Set("X-Request-ID", testutil.NewID())
	return r
}

// A short response that is truncated counts as a failed attempt, and the request is retried at another
// host. A response that arrives in pieces is complete.
func TestShortResponseInPiecesIsForwarded(t *testing.T) {
	var first atomic.Bool
	host := func() *testutil.Host {
		return testutil.NewHost(t, func(c net.Conn, _ *http.Request, _ int) bool {
			if first.CompareAndSwap(false, true) {
				io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ngo") // 2 of 9 bytes
				return true
			}
			for _, b := range []byte(testutil.OKResponse) {
				c.Write([]byte{b})
				time.Sleep(time.Millisecond)
			}
			return true
		})
	}
	g := startGateway(t, testConfig(host(), host()))
	if resp, text := g.send("look", "/api/1", ""); resp.StatusCode != 200 || text != "good" {
		t.Errorf("status %d, body %q, want 200 and body good", resp.StatusCode, text)
	}
}
