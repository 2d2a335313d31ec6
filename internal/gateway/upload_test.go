package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dunemoor/internal/testutil"
)

// startChecksumHost starts a host that returns the checksum and the trailer of each request body in headers. The query
// parameter back sets the size of the response body. If there is a parameter chunked, the response is chunked and has a
// trailer.
func startChecksumHost(t *testing.T) (addr string) {
	t.Helper()
	addr, _ = startHTTPHost(t, func(w http.ResponseWriter, r *http.Request) {
		got, n, err := checksum(r.Body)
		if err != nil {
			t.Error(err)
		}
		back, _ := strconv.ParseInt(r.URL.Query().Get("back"), 10, 64)
		w.Header().Set("X-Sum", fmt.Sprintf("%s %d", got, n))
		w.Header().Set("X-Trailer-Was", r.Trailer.Get("X-After"))
		if r.URL.Query().Get("chunked") == "" {
			w.Header().Set("Content-Length", fmt.Sprint(back))
		} else {
			w.Header().Set("Trailer", "X-Tail")
			defer func() {
				w.Header().Set("X-Tail", "the end")
				w.Header().Set(http.TrailerPrefix+"Content-Length", "5")
			}()
		}
		io.Copy(w, randomBytes(9, back))
	})
	return addr
}

// newUpload returns a request to a startChecksumHost with a body of n bytes, which requests a response body of the same
// size. If it is chunked, it has a trailer.
func newUpload(t *testing.T, url string, n int64, chunked bool) *http.Request {
	t.Helper()
	query := fmt.Sprintf("/?back=%d", n)
	if chunked {
		query += "&chunked=1"
	}
	r, err := http.NewRequest("POST", url+query, randomBytes(7, n))
	if err != nil {
		t.Fatal(err)
	}
	switch {
	case chunked:
		r.ContentLength = -1
		r.Trailer = http.Header{"X-After": nil}
		r.Body = io.NopCloser(io.MultiReader(randomBytes(7, n), setTrailerAtEOF(r)))
	case n == 0:
		r.ContentLength = 0
		r.Body = http.NoBody
	default:
		r.ContentLength = n
	}
	return r
}

// Bodies arrive unchanged in both directions, with any size and framing.
func TestBodiesOfAnySizeArriveUnchanged(t *testing.T) {
	g := startAppliance(t, singleRouteConfig("max_body = \"64MiB\"", startChecksumHost(t)))
	client := &http.Client{Timeout: testutil.WaitTimeout}
	defer client.CloseIdleConnections()
	for _, n := range []int64{0, 1, 65535, 65536, 65537, 1 << 20, 20 << 20} {
		for _, chunked := range []bool{false, true} {
			resp, err := client.Do(newUpload(t, g.urls[0], n, chunked))
			if err != nil {
				t.Fatalf("%d bytes, chunked %t: error %v, want a response", n, chunked, err)
			}
			got, m, err := checksum(resp.Body)
			resp.Body.Close()
			if err != nil || m != n || got != randomChecksum(9, n) {
				t.Errorf("%d bytes, chunked %t: response of %d bytes, error %v, want the bytes of the host",
					n, chunked, m, err)
			}
			if want := fmt.Sprintf("%s %d", randomChecksum(7, n), n); resp.Header.Get("X-Sum") != want {
				t.Errorf("%d bytes, chunked %t: checksum %q at the host, want %q",
					n, chunked, resp.Header.Get("X-Sum"), want)
			}
			if chunked && n > 65536 && resp.Header.Get("X-Trailer-Was") != "kept" {
				t.Errorf("%d bytes: trailer %q at the host, want kept", n, resp.Header.Get("X-Trailer-Was"))
			}
			if chunked && (resp.Trailer.Get("X-Tail") != "the end" || resp.Trailer.Get("Content-Length") != "") {
				t.Errorf("%d bytes: trailer %v of the response, want only X-Tail", n, resp.Trailer)
			}
			if !chunked && resp.ContentLength != n {
				t.Errorf("%d bytes: Content-Length %d, want it equal", n, resp.ContentLength)
			}
		}
	}
	testutil.WaitUntil(t, "no buffered body", func() bool { return g.maxBufferedBytes() == 0 })
	if resp, _ := fetch(t, "POST", g.urls[0]+"/", "x"); resp.StatusCode != 200 {
		t.Errorf("short upload: status %d, want 200", resp.StatusCode)
	}
}

// setTrailerAtEOF returns an empty reader that sets the trailer of the request when it is read.
func setTrailerAtEOF(r *http.Request) io.Reader {
	return readerFunc(func([]byte) (int, error) {
		r.Trailer.Set("X-After", "kept")
		return 0, io.EOF
	})
}

// The host of a non-idempotent upload of 50 MiB closes the connection after 20 MiB. The request is not
// retried, and the client gets a 502 and the end of the connection while it is still sending.
func TestNonIdempotentUploadCutByHostFailsOnce(t *testing.T) {
	const uploadBytes, readBytes = 50 << 20, 20 << 20
	var attempts atomic.Int64
	handle := func(w http.ResponseWriter, r *http.Request) {
		attempts.Add(1)
		io.CopyN(io.Discard, r.Body, readBytes)
		c, _, _ := http.NewResponseController(w).Hijack()
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	a, _ := startHTTPHost(t, handle)
	b, _ := startHTTPHost(t, handle)
	g := startAppliance(t, singleRouteConfig("", a, b))
	c := dialURL(t, g.urls[0])
	c.SetDeadline(time.Now().Add(testutil.WaitTimeout))
	fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", uploadBytes)
	sent := make(chan int64, 1)
	go func() {
		n, _ := io.Copy(c, io.LimitReader(randomBytes(1, uploadBytes), uploadBytes-1<<20)) // 1 MiB less, never complete
		sent <- n
	}()
	in := bufio.NewReader(c)
	resp, err := http.ReadResponse(in, nil)
	if err != nil || resp.StatusCode != http.StatusBadGateway || !resp.Close {
		t.Fatalf("response %+v, error %v, want 502 that closes the connection", resp, err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Errorf("read response body: %v", err)
	}
	if _, err := in.ReadByte(); err != io.EOF {
		t.Errorf("end of the connection: error %v, want EOF", err)
	}
	c.Close()
	<-sent
	if n := attempts.Load(); n != 1 {
		t.Errorf("%d attempts, want 1", n)
	}
}

// A request whose body fits into the buffer can be retried. A request with a longer body cannot once a byte
// has been dropped from the buffer, even if its method is repeatable on the route.
func TestRetryNeedsBufferedBody(t *testing.T) {
	const bufferBytes = 8 << 10
	for _, c := range []struct {
		n, attempts int64
		status      int
	}{{bufferBytes, 4, 500}, {bufferBytes + 1, 1, 500}, {1 << 20, 1, 500}} {
		var attempts atomic.Int64
		var nodes []string
		for range 4 {
			addr, _ := startHTTPHost(t, func(w http.ResponseWriter, r *http.Request) {
				attempts.Add(1)
				if got, n, _ := checksum(r.Body); n != c.n || got != randomChecksum(5, c.n) {
					t.Errorf("%d bytes at a host, want the %d of the upload", n, c.n)
				}
				http.Error(w, "no", 500)
			})
			nodes = append(nodes, addr)
		}
		g := startAppliance(t, singleRouteConfig("hold = \"8KiB\"\nretry_share = 3.0\nretry_floor = 100.0", nodes...))
		r, _ := http.NewRequest("PUT", g.urls[0]+"/", randomBytes(5, c.n))
		r.ContentLength = c.n
		resp, err := (&http.Client{Timeout: testutil.WaitTimeout}).Do(r)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != c.status || attempts.Load() != c.attempts {
			t.Errorf("%d bytes: status %d after %d attempts, want %d after %d",
				c.n, resp.StatusCode, attempts.Load(), c.status, c.attempts)
		}
		g.Close()
	}
}

// A refused connection proves that the request did not run, so it is retried even while its body is still
// arriving.
func TestRefusedConnectionIsRetriedDuringUpload(t *testing.T) {
	const bufferBytes = 8 << 10
	ln := testutil.Listen(t, "127.0.0.1:0", nil)
	dead := ln.Addr().String()
	ln.Close()
	var requests atomic.Int64
	alive, _ := startHTTPHost(t, func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		got, _, _ := checksum(r.Body)
		io.WriteString(w, got)
	})
	g := startAppliance(t, singleRouteConfig("hold = \"8KiB\"", dead, alive))
	for i := range 6 {
		in, out := io.Pipe()
		go func() {
			io.CopyN(out, randomBytes(6, 1<<20), bufferBytes)
			time.Sleep(30 * time.Millisecond) // lets an attempt at the dead host fail
			rest := randomBytes(6, 1<<20)
			io.CopyN(io.Discard, rest, bufferBytes)
			io.Copy(out, rest)
			out.Close()
		}()
		r, _ := http.NewRequest("POST", g.urls[0]+"/", in)
		r.ContentLength = 1 << 20
		resp, err := (&http.Client{Timeout: testutil.WaitTimeout}).Do(r)
		if err != nil {
			t.Fatal(err)
		}
		text, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if resp.StatusCode != 200 || string(text) != randomChecksum(6, 1<<20) {
			t.Errorf("upload %d: status %d, body %q, want 200 and the checksum as body", i, resp.StatusCode, text)
		}
	}
	if requests.Load() != 6 {
		t.Errorf("%d requests at the host, want 6", requests.Load())
	}
}

// A response that arrives before the end of the request body is forwarded while the client is still sending,
// and the connection is closed gracefully.
func TestEarlyResponseReachesClientDuringUpload(t *testing.T) {
	for _, reads := range []bool{false, true} {
		var requests atomic.Int64
		host := startRawHost(t, func(c net.Conn) {
			in := bufio.NewReader(c)
			if _, err := http.ReadRequest(in); err != nil {
				return
			}
			requests.Add(1)
			io.WriteString(c, "HTTP/1.1 413 Too Much\r\nContent-Length: 5\r\nX-A: b\r\n\r\nno, n")
			if reads {
				io.Copy(io.Discard, in)
			} else {
				time.Sleep(testutil.WaitTimeout / 20)
			}
		})
		g := startAppliance(t, singleRouteConfig("", host))
		c := dialURL(t, g.urls[0])
		c.SetDeadline(time.Now().Add(testutil.WaitTimeout))
		fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", 30<<20)
		go io.Copy(c, randomBytes(1, 20<<20))
		in := bufio.NewReader(c)
		resp, err := http.ReadResponse(in, nil)
		if err != nil || resp.StatusCode != 413 || resp.Header.Get("X-A") != "b" {
			t.Fatalf("host reads on %t: response %+v, error %v, want 413", reads, resp, err)
		}
		if text, err := io.ReadAll(resp.Body); string(text) != "no, n" || err != nil {
			t.Errorf("host reads on %t: body %q, error %v, want all of it", reads, text, err)
		}
		if _, err := in.ReadByte(); err != io.EOF {
			t.Errorf("host reads on %t: end of the connection: error %v, want EOF", reads, err)
		}
		c.Close()
		if requests.Load() != 1 {
			t.Errorf("%d requests at the host, want 1", requests.Load())
		}
		g.Close()
	}
}

// A client that waits for a 100 gets the response of the host: either the 100, or the final response before
// it has sent a byte of the body.
func TestExpectContinueIsAnsweredByHost(t *testing.T) {
	addr, _ := startHTTPHost(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Want") == "no" {
			w.WriteHeader(http.StatusExpectationFailed)
			return
		}
		got, _, _ := checksum(r.Body)
		io.WriteString(w, got)
	})
	g := startAppliance(t, singleRouteConfig("", addr))
	for _, want := range []string{"yes", "no"} {
		var read, continues atomic.Int64
		r, _ := http.NewRequest("POST", g.urls[0]+"/", readerFunc(nil))
		body := randomBytes(3, 1<<20)
		r.Body = io.NopCloser(readerFunc(func(p []byte) (int, error) {
			n, err := body.Read(p)
			read.Add(int64(n))
			return n, err
		}))
		r.ContentLength = 1 << 20
		r.Header.Set("Expect", "100-continue")
		r.Header.Set("X-Want", want)
		r = r.WithContext(httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{Got100Continue: func() { continues.Add(1) }}))
		client := &http.Client{Timeout: testutil.WaitTimeout, Transport: &http.Transport{ExpectContinueTimeout: testutil.WaitTimeout, DisableKeepAlives: true}}
		resp, err := client.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		text, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if want == "yes" && (resp.StatusCode != 200 || string(text) != randomChecksum(3, 1<<20) || continues.Load() != 1) {
			t.Errorf("status %d, body %q, %d times 100, want 200 and the checksum as body after one 100",
				resp.StatusCode, text, continues.Load())
		}
		if want == "no" && (resp.StatusCode != http.StatusExpectationFailed || read.Load() != 0 || continues.Load() != 0) {
			t.Errorf("status %d, %d bytes sent, %d times 100, want 417 without any",
				resp.StatusCode, read.Load(), continues.Load())
		}
	}
}

// Buffers are bounded between a fast host and a client that does not read, and between a fast client and a
// host that does not read.
func TestBackPressureBoundsBuffers(t *testing.T) {
	var wrote, read atomic.Int64
	stop := make(chan struct{})
	addr, _ := startHTTPHost(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == "GET" {
			b := make([]byte, 64<<10)
			for wrote.Load() < 256<<20 {
				n, err := w.Write(b)
				wrote.Add(int64(n))
				if err != nil {
					return
				}
			}
			return
		}
		<-stop
	})
	defer close(stop)
	g := startAppliance(t, singleRouteConfig("", addr))
	target := strings.TrimPrefix(g.urls[0], "http://")
	for i := range 2 {
		c, err := net.Dial("tcp", target)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i == 0 {
			io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			continue
		}
		go func() {
			fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", 256<<20)
			b := make([]byte, 64<<10)
			for {
				n, err := c.Write(b)
				read.Add(int64(n))
				if err != nil {
					return
				}
			}
		}()
	}
	testutil.WaitUntil(t, "both transfers blocked", func() bool {
		a, b := wrote.Load(), read.Load()
		time.Sleep(100 * time.Millisecond)
		return a > 0 && b > 0 && a == wrote.Load() && b == read.Load()
	})
	// The socket buffers of the kernel hold a few MB at either end. The rest must not have been sent.
	if a, b := wrote.Load(), read.Load(); a > 64<<20 || b > 64<<20 {
		t.Errorf("%d MB sent by the host, %d MB by the client, want at most 64 of each while the other side does not read",
			a>>20, b>>20)
	}
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	if m.HeapInuse > 64<<20 {
		t.Errorf("heap of %d MB, want at most 64", m.HeapInuse>>20)
	}
}

// Requests whose framing is interpreted differently by different parsers reach no host. Each case may hide a
// second request.
func TestRequestSmugglingReachesNoHost(t *testing.T) {
	host := testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse))
	g := startAppliance(t, singleRouteConfig("max_body = \"1MiB\"", host.Addr()))
	post := "POST / HTTP/1.1\r\nHost: a\r\n"
	hidden := "0\r\n\r\nGET /hidden HTTP/1.1\r\nHost: a\r\n\r\n"
	for name, text := range map[string]string{
		"length before chunks":           post + fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n%s", len(hidden), hidden),
		"chunks before a length":         post + fmt.Sprintf("Transfer-Encoding: chunked\r\nContent-Length: %d\r\n\r\n%s", len(hidden), hidden),
		"two different lengths":          post + "Content-Length: 1\r\nContent-Length: 5\r\n\r\naaaaa",
		"two equal lengths":              post + "Content-Length: 5\r\nContent-Length: 5\r\n\r\naaaaa",
		"two lengths in one header":      post + "Content-Length: 5, 5\r\n\r\naaaaa",
		"signed length":                  post + "Content-Length: +5\r\n\r\naaaaa",
		"repeated encoding":              post + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n" + hidden,
		"another encoding":               post + "Transfer-Encoding: gzip, chunked\r\n\r\n" + hidden,
		"encoding in HTTP/1.0":           "POST / HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + hidden,
		"both in HTTP/1.0":               "POST / HTTP/1.0\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n" + hidden,
		"space before the colon":         post + "Transfer-Encoding : chunked\r\n\r\n" + hidden,
		"line that ends in LF":           "POST / HTTP/1.1\r\nHost: a\nContent-Length: 1\r\n\r\nb",
		"header section that ends in LF": "POST / HTTP/1.1\nHost: a\nContent-Length: 1\n\nb",
		"folded line":                    post + "X-A: b\r\n Transfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\nb",
		"malformed chunk size":           post + "Transfer-Encoding: chunked\r\n\r\nxyz\r\n",
		"negative chunk size":            post + "Transfer-Encoding: chunked\r\n\r\n-1\r\n",
		"huge chunk size":                post + "Transfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\n",
		"chunk extension of a megabyte":  post + "Transfer-Encoding: chunked\r\n\r\n1;" + strings.Repeat("x", 1<<20) + "\r\na\r\n0\r\n\r\n",
		"chunk longer than its size":     post + "Transfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n0\r\n\r\n",
		"no host":                        "POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\nb",
		"two hosts":                      post + "Host: b\r\nContent-Length: 1\r\n\r\nb",
	} {
		c := dialURL(t, g.urls[0])
		c.SetDeadline(time.Now().Add(testutil.WaitTimeout))
		io.WriteString(c, text)
		c.(*net.TCPConn).CloseWrite()
		in := bufio.NewReader(c)
		responses := 0
		for {
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				break
			}
			io.Copy(io.Discard, resp.Body)
			responses++
			if resp.StatusCode < 400 {
				t.Errorf("%s: status %d, want 400 or more", name, resp.StatusCode)
			}
		}
		c.Close()
		if responses > 1 {
			t.Errorf("%s: %d responses, want at most 1", name, responses)
		}
	}
	host.Mu.Lock()
	defer host.Mu.Unlock()
	for _, r := range host.Requests {
		t.Errorf("request %s %s with headers %v at the host, want none", r.Method, r.URL, r.Header)
	}
}
