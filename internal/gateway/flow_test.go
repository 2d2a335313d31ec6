package gateway

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"net/textproto"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dunemoor/internal/body"
	"dunemoor/internal/testutil"
)

// peer is a host made of net/http's server, which knows nothing of the gateway's code.
func peer(t *testing.T, handle http.HandlerFunc) (addr string, requests *atomic.Int64) {
	t.Helper()
	requests = new(atomic.Int64)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		handle(w, r)
	}))
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return s.Listener.Addr().String(), requests
}

// noise is a body of n bytes that can be told from any other, without holding it.
func noise(seed uint64, n int64) io.Reader {
	var key [32]byte
	key[0], key[1] = byte(seed), byte(seed>>8)
	return io.LimitReader(rand.NewChaCha8(key), n)
}

func sum(r io.Reader) (string, int64, error) {
	h := sha256.New()
	n, err := io.Copy(h, r)
	return fmt.Sprintf("%x", h.Sum(nil)), n, err
}

func sumOf(seed uint64, n int64) string { s, _, _ := sum(noise(seed, n)); return s }

// uploads is a plain route to these hosts.
func uploads(more string, nodes ...string) string {
	return head + poolText("p", "", nodes...) + routeText("r", "pool = \"p\"\nclass = \"lookup\"\ntimeout = \"15s\"\nrepeatable = [\"PUT\"]\n"+more)
}

// What is sent and what is answered arrive byte for byte, whatever the size and the framing.
func TestBodiesOfAnySize(t *testing.T) {
	addr, _ := peer(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Framing", fmt.Sprint(r.ContentLength))
		got, n, err := sum(r.Body)
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
		io.Copy(w, noise(9, back))
	})
	g := startAppliance(t, uploads("max_body = \"64MiB\"", addr))
	client := &http.Client{Timeout: testutil.WaitTimeout}
	defer client.CloseIdleConnections()
	for _, n := range []int64{0, 1, 65535, 65536, 65537, 1 << 20, 20 << 20} {
		for _, chunked := range []bool{false, true} {
			r, err := http.NewRequest("POST", fmt.Sprintf("%s/?back=%d&chunked=%s", g.urls[0], n, strings.Repeat("1", map[bool]int{true: 1}[chunked])), noise(7, n))
			if err != nil {
				t.Fatal(err)
			}
			if !chunked {
				r.ContentLength = n
				if n == 0 {
					r.Body = http.NoBody
				}
			} else {
				r.ContentLength = -1
				r.Trailer = http.Header{"X-After": nil}
				r.Body = io.NopCloser(io.MultiReader(noise(7, n), trailing(r)))
			}
			resp, err := client.Do(r)
			if err != nil {
				t.Fatalf("%d bytes, chunked %t: %v", n, chunked, err)
			}
			got, m, err := sum(resp.Body)
			resp.Body.Close()
			if err != nil || m != n || got != sumOf(9, n) {
				t.Errorf("%d bytes, chunked %t: %d came back, %v", n, chunked, m, err)
			}
			if want := fmt.Sprintf("%s %d", sumOf(7, n), n); resp.Header.Get("X-Sum") != want {
				t.Errorf("%d bytes, chunked %t: the host got %q, want %q", n, chunked, resp.Header.Get("X-Sum"), want)
			}
			if chunked && n > 65536 && resp.Header.Get("X-Trailer-Was") != "kept" {
				t.Errorf("%d bytes: the host's trailer is %q", n, resp.Header.Get("X-Trailer-Was"))
			}
			if chunked && (resp.Trailer.Get("X-Tail") != "the end" || resp.Trailer.Get("Content-Length") != "") {
				t.Errorf("%d bytes: trailers %v", n, resp.Trailer)
			}
			if !chunked && resp.ContentLength != n {
				t.Errorf("%d bytes: the answer's length is %d", n, resp.ContentLength)
			}
		}
	}
	testutil.WaitUntil(t, "nothing is held", func() bool {
		for c := range 3 {
			if used, _ := g.gate.Bodies.Used(bodyCause(c)); used != 0 {
				return false
			}
		}
		return true
	})
	if resp, _ := fetch(t, "POST", g.urls[0]+"/", "x"); resp.StatusCode != 200 {
		t.Errorf("a short one: %d", resp.StatusCode)
	}
}

// trailing sets the trailer of a request when its body has been read.
func trailing(r *http.Request) io.Reader {
	return readerFunc(func([]byte) (int, error) {
		r.Trailer.Set("X-After", "kept")
		return 0, io.EOF
	})
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// An unsafe upload of 50 MiB whose host closes at 20 MiB: one failure, nothing goes to the other
// host, the client is told while it is still sending, and sees the end of the connection.
func TestUploadBreaksHalfWay(t *testing.T) {
	const all, until = 50 << 20, 20 << 20
	var attempts atomic.Int64
	handle := func(w http.ResponseWriter, r *http.Request) {
		attempts.Add(1)
		io.CopyN(io.Discard, r.Body, until)
		c, _, _ := http.NewResponseController(w).Hijack()
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	a, _ := peer(t, handle)
	b, _ := peer(t, handle)
	g := startAppliance(t, uploads("", a, b))
	c, err := net.Dial("tcp", strings.TrimPrefix(g.urls[0], "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(testutil.WaitTimeout))
	fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", all)
	sent := make(chan int64, 1)
	go func() {
		n, _ := io.Copy(c, io.LimitReader(noise(1, all), all-1<<20)) // never whole
		sent <- n
	}()
	in := bufio.NewReader(c)
	resp, err := http.ReadResponse(in, nil)
	if err != nil || resp.StatusCode != http.StatusBadGateway || !resp.Close {
		t.Fatalf("%+v, %v", resp, err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Error(err)
	}
	if _, err := in.ReadByte(); err != io.EOF {
		t.Errorf("the connection ends with %v", err)
	}
	c.Close()
	<-sent
	if n := attempts.Load(); n != 1 {
		t.Errorf("%d attempts", n)
	}
}

// A body of just what is held can be sent again; of one byte more nothing can, once a byte has
// been let go, even by a method that the route calls repeatable.
func TestHeldBodiesAreSentAgain(t *testing.T) {
	const hold = 8 << 10
	for _, c := range []struct {
		n, attempts int64
		status      int
	}{{hold, 4, 500}, {hold + 1, 1, 500}, {1 << 20, 1, 500}} {
		var attempts atomic.Int64
		var nodes []string
		for range 4 {
			addr, _ := peer(t, func(w http.ResponseWriter, r *http.Request) {
				attempts.Add(1)
				if got, n, _ := sum(r.Body); n != c.n || got != sumOf(5, c.n) {
					t.Errorf("a host got %d bytes of %d", n, c.n)
				}
				http.Error(w, "no", 500)
			})
			nodes = append(nodes, addr)
		}
		g := startAppliance(t, uploads("hold = \"8KiB\"\nretry_share = 3.0\nretry_floor = 100.0", nodes...))
		r, _ := http.NewRequest("PUT", g.urls[0]+"/", noise(5, c.n))
		r.ContentLength = c.n
		resp, err := (&http.Client{Timeout: testutil.WaitTimeout}).Do(r)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != c.status || attempts.Load() != c.attempts {
			t.Errorf("%d bytes: answered %d after %d attempts, want %d", c.n, resp.StatusCode, attempts.Load(), c.attempts)
		}
		g.Close()
	}
	// Connections that are refused prove that nothing ran, also while the body is still coming.
	ln := testutil.Listen(t, "127.0.0.1:0", nil)
	dead := ln.Addr().String()
	ln.Close()
	var requests atomic.Int64
	alive, _ := peer(t, func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		got, _, _ := sum(r.Body)
		io.WriteString(w, got)
	})
	g := startAppliance(t, uploads("hold = \"8KiB\"", dead, alive))
	for i := range 6 {
		in, out := io.Pipe()
		go func() {
			io.CopyN(out, noise(6, 1<<20), hold)
			time.Sleep(30 * time.Millisecond) // an attempt is made and fails meanwhile
			rest := noise(6, 1<<20)
			io.CopyN(io.Discard, rest, hold)
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
		if resp.StatusCode != 200 || string(text) != sumOf(6, 1<<20) {
			t.Errorf("upload %d: %d %q", i, resp.StatusCode, text)
		}
	}
	if requests.Load() != 6 {
		t.Errorf("%d requests of 6", requests.Load())
	}
}

// A safe request answered in part, and then the host dies: the client sees that it is not whole,
// in whatever framing, and nothing of another host's answer is glued to it.
func TestAnswerBreaksHalfWay(t *testing.T) {
	for name, text := range map[string]string{
		"length":                  "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" + strings.Repeat("x", 200_000),
		"chunks":                  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("4\r\nxxxx\r\n", 50_000) + "4\r\nxx",
		"a size line that is cut": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("4\r\nxxxx\r\n", 50_000) + "4",
		"no last chunk":           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("4\r\nxxxx\r\n", 50_000),
		"broken chunks":           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("4\r\nxxxx\r\n", 50_000) + "zz\r\n",
	} {
		var hosts []*testutil.Host
		for range 2 {
			hosts = append(hosts, testutil.NewHost(t, func(c net.Conn, _ *http.Request, _ int) bool {
				io.WriteString(c, text)
				return false
			}))
		}
		g := startAppliance(t, uploads("", hosts[0].Addr(), hosts[1].Addr()))
		resp, err := http.Get(g.urls[0] + "/")
		if err != nil {
			t.Fatal(name, err)
		}
		n, err := io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if err == nil {
			t.Errorf("%s: taken for whole with %d bytes", name, n)
		}
		if n > 200_004 {
			t.Errorf("%s: %d bytes of one host's 200,000", name, n)
		}
		a, _, _ := hosts[0].Counts()
		b, _, _ := hosts[1].Counts()
		if a+b != 1 {
			t.Errorf("%s: %d requests went out", name, a+b)
		}
		g.Close()
	}
	// One that is ended by its connection is whole when that ends in order, and not when it is
	// reset.
	for _, reset := range []bool{false, true} {
		host := testutil.NewHost(t, func(c net.Conn, _ *http.Request, _ int) bool {
			io.WriteString(c, "HTTP/1.0 200 OK\r\n\r\n"+strings.Repeat("x", 100_000))
			if reset {
				time.Sleep(100 * time.Millisecond) // else the reset takes the bytes with it
				c.(*net.TCPConn).SetLinger(0)
			}
			return false
		})
		g := startAppliance(t, uploads("", host.Addr()))
		resp, err := http.Get(g.urls[0] + "/")
		if err != nil {
			t.Fatal(err)
		}
		n, err := io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if reset != (err != nil) || !reset && n != 100_000 {
			t.Errorf("reset %t: %d bytes, %v", reset, n, err)
		}
		g.Close()
	}
}

// An answer that comes before the body is whole reaches the client while it is still sending,
// and the connection ends in order.
func TestEarlyAnswer(t *testing.T) {
	for _, reads := range []bool{false, true} {
		var requests atomic.Int64
		host := testutil.Listen(t, "127.0.0.1:0", nil)
		defer host.Close()
		go func() {
			for {
				c, err := host.Accept()
				if err != nil {
					return
				}
				go func() {
					defer c.Close()
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
				}()
			}
		}()
		g := startAppliance(t, uploads("", host.Addr().String()))
		c, err := net.Dial("tcp", strings.TrimPrefix(g.urls[0], "http://"))
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(testutil.WaitTimeout))
		fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", 30<<20)
		go io.Copy(c, noise(1, 20<<20))
		in := bufio.NewReader(c)
		resp, err := http.ReadResponse(in, nil)
		if err != nil || resp.StatusCode != 413 || resp.Header.Get("X-A") != "b" {
			t.Fatalf("host reads on %t: %+v, %v", reads, resp, err)
		}
		if text, err := io.ReadAll(resp.Body); string(text) != "no, n" || err != nil {
			t.Errorf("host reads on %t: %q, %v", reads, text, err)
		}
		if _, err := in.ReadByte(); err != io.EOF {
			t.Errorf("host reads on %t: the connection ends with %v", reads, err)
		}
		c.Close()
		if requests.Load() != 1 {
			t.Errorf("%d requests", requests.Load())
		}
		g.Close()
	}
}

// Nothing grows between a host that writes fast and a client that does not read, nor between a
// client that sends fast and a host that does not read.
func TestBackPressure(t *testing.T) {
	var wrote, read atomic.Int64
	stop := make(chan struct{})
	addr, _ := peer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == "GET" {
			b := make([]byte, 64<<10)
			for wrote.Load() < 256<<20 {
				n, err := w.Write(b)
				if wrote.Add(int64(n)); err != nil {
					return
				}
			}
			return
		}
		<-stop
	})
	defer close(stop)
	g := startAppliance(t, uploads("", addr))
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
				if read.Add(int64(n)); err != nil {
					return
				}
			}
		}()
	}
	testutil.WaitUntil(t, "both stand still", func() bool {
		a, b := wrote.Load(), read.Load()
		time.Sleep(100 * time.Millisecond)
		return a > 0 && b > 0 && a == wrote.Load() && b == read.Load()
	})
	// What the kernel's buffers hold at either end is some MB; the rest must still be unsent.
	if a, b := wrote.Load(), read.Load(); a > 64<<20 || b > 64<<20 {
		t.Errorf("%d MB came from the host, %d MB from the client, and nobody read them", a>>20, b>>20)
	}
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	if m.HeapInuse > 64<<20 {
		t.Errorf("%d MB of heap", m.HeapInuse>>20)
	}
}

// A client that asks before it sends its body is answered by the host: told to go on, or given
// the final answer with nothing sent.
func TestExpectContinue(t *testing.T) {
	addr, _ := peer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Want") == "no" {
			w.WriteHeader(http.StatusExpectationFailed)
			return
		}
		got, _, _ := sum(r.Body)
		io.WriteString(w, got)
	})
	g := startAppliance(t, uploads("", addr))
	for _, want := range []string{"yes", "no"} {
		var read, told atomic.Int64
		r, _ := http.NewRequest("POST", g.urls[0]+"/", readerFunc(nil))
		body := noise(3, 1<<20)
		r.Body = io.NopCloser(readerFunc(func(p []byte) (int, error) {
			n, err := body.Read(p)
			read.Add(int64(n))
			return n, err
		}))
		r.ContentLength = 1 << 20
		r.Header.Set("Expect", "100-continue")
		r.Header.Set("X-Want", want)
		r = r.WithContext(httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{Got100Continue: func() { told.Add(1) }}))
		client := &http.Client{Timeout: testutil.WaitTimeout, Transport: &http.Transport{ExpectContinueTimeout: testutil.WaitTimeout, DisableKeepAlives: true}}
		resp, err := client.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		text, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if want == "yes" && (resp.StatusCode != 200 || string(text) != sumOf(3, 1<<20) || told.Load() != 1) {
			t.Errorf("%d %q, told to go on %d times", resp.StatusCode, text, told.Load())
		}
		if want == "no" && (resp.StatusCode != http.StatusExpectationFailed || read.Load() != 0 || told.Load() != 0) {
			t.Errorf("%d, %d bytes were sent, told to go on %d times", resp.StatusCode, read.Load(), told.Load())
		}
	}
}

// Answers ahead of the final one are passed on, and are not the final one's headers.
func TestEarlyHints(t *testing.T) {
	addr, _ := peer(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Link", "</a>; rel=preload")
		w.WriteHeader(http.StatusEarlyHints)
		w.Header().Del("Link")
		io.WriteString(w, "done")
	})
	g := startAppliance(t, uploads("", addr))
	var hints []string
	r, _ := http.NewRequest("GET", g.urls[0]+"/", nil)
	r = r.WithContext(httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
		Got1xxResponse: func(code int, h textproto.MIMEHeader) error {
			hints = append(hints, fmt.Sprint(code, h.Get("Link")))
			return nil
		},
	}))
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	text, _ := io.ReadAll(resp.Body)
	resp.Body.Close()
	if len(hints) != 1 || hints[0] != "103</a>; rel=preload" || string(text) != "done" || resp.Header.Get("Link") != "" {
		t.Errorf("%q, %q, %v", hints, text, resp.Header)
	}
}

// What readers of HTTP disagree on goes to no host: each case hides a request, or might.
func TestSmuggling(t *testing.T) {
	host := testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse))
	g := startAppliance(t, uploads("max_body = \"1MiB\"", host.Addr()))
	post := "POST / HTTP/1.1\r\nHost: a\r\n"
	hidden := "0\r\n\r\nGET /hidden HTTP/1.1\r\nHost: a\r\n\r\n"
	for name, text := range map[string]string{
		"a length beside chunks":     post + fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n%s", len(hidden), hidden),
		"chunks beside a length":     post + fmt.Sprintf("Transfer-Encoding: chunked\r\nContent-Length: %d\r\n\r\n%s", len(hidden), hidden),
		"two lengths that differ":    post + "Content-Length: 1\r\nContent-Length: 5\r\n\r\naaaaa",
		"two lengths alike":          post + "Content-Length: 5\r\nContent-Length: 5\r\n\r\naaaaa",
		"a length twice in one":      post + "Content-Length: 5, 5\r\n\r\naaaaa",
		"a length with a sign":       post + "Content-Length: +5\r\n\r\naaaaa",
		"an encoding twice":          post + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n" + hidden,
		"another encoding":           post + "Transfer-Encoding: gzip, chunked\r\n\r\n" + hidden,
		"an encoding in HTTP/1.0":    "POST / HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + hidden,
		"both in HTTP/1.0":           "POST / HTTP/1.0\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n" + hidden,
		"a space before the colon":   post + "Transfer-Encoding : chunked\r\n\r\n" + hidden,
		"a line that ends in LF":     "POST / HTTP/1.1\r\nHost: a\nContent-Length: 1\r\n\r\nb",
		"a head that ends in LF":     "POST / HTTP/1.1\nHost: a\nContent-Length: 1\n\nb",
		"a folded line":              post + "X-A: b\r\n Transfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\nb",
		"a chunk size that is none":  post + "Transfer-Encoding: chunked\r\n\r\nxyz\r\n",
		"a chunk size below 0":       post + "Transfer-Encoding: chunked\r\n\r\n-1\r\n",
		"a huge chunk size":          post + "Transfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\n",
		"an extension of a megabyte": post + "Transfer-Encoding: chunked\r\n\r\n1;" + strings.Repeat("x", 1<<20) + "\r\na\r\n0\r\n\r\n",
		"a chunk longer than said":   post + "Transfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n0\r\n\r\n",
		"no host":                    "POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\nb",
		"two hosts":                  post + "Host: b\r\nContent-Length: 1\r\n\r\nb",
	} {
		c, err := net.Dial("tcp", strings.TrimPrefix(g.urls[0], "http://"))
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(testutil.WaitTimeout))
		io.WriteString(c, text)
		c.(*net.TCPConn).CloseWrite()
		in := bufio.NewReader(c)
		answers := 0
		for {
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				break
			}
			io.Copy(io.Discard, resp.Body)
			if answers++; resp.StatusCode < 400 {
				t.Errorf("%s: answered %d", name, resp.StatusCode)
			}
		}
		c.Close()
		if answers > 1 {
			t.Errorf("%s: %d answers", name, answers)
		}
	}
	host.Mu.Lock()
	defer host.Mu.Unlock()
	for _, r := range host.Requests {
		t.Errorf("the host got %s %s %v", r.Method, r.URL, r.Header)
	}
}

// Answers whose framing is in doubt are spoilt: the client gets a failure of ours, or no whole
// answer, and never another's bytes.
func TestSpoiltAnswersOnPlainRoutes(t *testing.T) {
	for name, text := range map[string]string{
		"two lengths":       "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\ngood",
		"length and chunks": "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n",
		"a length below 0":  "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\ngood",
		"a signed length":   "HTTP/1.1 200 OK\r\nContent-Length: +4\r\n\r\ngood",
		"another encoding":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\ngood",
		"not asked for":     "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
		"noise":             "\x80\x01\x02",
	} {
		host := testutil.NewHost(t, testutil.RespondWith(text))
		g := startAppliance(t, uploads("", host.Addr()))
		if resp, body := fetch(t, "POST", g.urls[0]+"/", "b"); resp.StatusCode != 502 {
			t.Errorf("%s: %d %q", name, resp.StatusCode, body)
		}
		if n, _, _ := host.Counts(); n != 1 {
			t.Errorf("%s: %d requests", name, n)
		}
		g.Close()
	}
}

// A peer that is too slow is cut off: a client that sends nothing for the idle time is told, one
// that does not read loses its connection, and a host that goes silent half way is a broken answer.
func TestIdlePeers(t *testing.T) {
	addr, _ := peer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == "POST" {
			io.Copy(io.Discard, r.Body)
			return
		}
		w.Header().Set("Content-Length", "1000000")
		io.Copy(w, noise(1, 200_000))
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	})
	g := startAppliance(t, uploads("idle = \"200ms\"\nstream = true", addr))
	for what, text := range map[string]string{"a held body": "10", "one that flows": "1000000"} {
		c, err := net.Dial("tcp", strings.TrimPrefix(g.urls[0], "http://"))
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(testutil.WaitTimeout))
		fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %s\r\n\r\nabc", text)
		if text != "10" {
			c.Write(make([]byte, 100_000))
		}
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode != http.StatusRequestTimeout {
			t.Errorf("%s: %+v, %v", what, resp, err)
		}
		c.Close()
	}
	resp, err := http.Get(g.urls[0] + "/")
	if err != nil {
		t.Fatal(err)
	}
	if n, err := io.Copy(io.Discard, resp.Body); err == nil || n > 200_000 {
		t.Errorf("a host that goes silent: %d bytes, %v", n, err)
	}
	resp.Body.Close()
}

// A reload and a drain with ten streams open: each goes on to its end, or to the exit, and what
// the reload took out is gone once they have ended.
func TestStreamsOverReloadAndDrain(t *testing.T) {
	next := make(chan struct{})
	addr, requests := peer(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for i := range 3 {
			fmt.Fprintf(w, "data: %d\n\n", i)
			w.(http.Flusher).Flush()
			if i < 2 {
				<-next
			}
		}
	})
	other := testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse))
	g := startAppliance(t, uploads("stream = true\ntimeout = \"1s\"", addr)[:0]+strings.Replace(uploads("stream = true", addr), "timeout = \"15s\"", "timeout = \"1s\"", 1))
	var streams []*bufio.Reader
	for range 10 {
		resp, err := http.Get(g.urls[0] + "/")
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		streams = append(streams, bufio.NewReader(resp.Body))
	}
	event := func(want string) {
		t.Helper()
		for i, s := range streams {
			if line, err := s.ReadString('\n'); err != nil || line != "data: "+want+"\n" {
				t.Fatalf("stream %d: %q, %v", i, line, err)
			}
			s.ReadString('\n')
		}
	}
	event("0")
	if requests.Load() != 10 {
		t.Errorf("%d requests", requests.Load())
	}
	if err := g.Reload(parse(t, head+poolText("q", "", other.Addr())+routeText("r", "pool = \"q\"\nclass = \"lookup\""))); err != nil {
		t.Fatal(err)
	}
	if resp, text := fetch(t, "GET", g.urls[0]+"/", ""); resp.StatusCode != 200 || text != "good" {
		t.Errorf("after the reload: %d %q", resp.StatusCode, text)
	}
	time.Sleep(1200 * time.Millisecond) // beyond the route's time, which was for the head
	for range 10 {
		next <- struct{}{}
	}
	event("1")
	for range 10 {
		next <- struct{}{}
	}
	event("2")
	for i, s := range streams {
		if _, err := s.ReadByte(); err != io.EOF {
			t.Errorf("stream %d ends with %v", i, err)
		}
	}
}

// A connection goes over to another protocol where the route allows it, bytes pass both ways,
// their number is bounded, and at a drain WebSocket's clients are told.
func TestUpgrade(t *testing.T) {
	echo := testutil.Listen(t, "127.0.0.1:0", nil)
	defer echo.Close()
	go func() {
		for {
			c, err := echo.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				r, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				if !strings.EqualFold(r.Header.Get("Connection"), "upgrade") || r.Header.Get("Upgrade") != "websocket" {
					io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno")
					return
				}
				io.WriteString(c, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Accept: x\r\n\r\nhi")
				io.Copy(c, in)
			}()
		}
	}()
	g := startAppliance(t, head+poolText("p", "", echo.Addr().String())+
		routeText("ws", "path = \"/ws\"\npool = \"p\"\nclass = \"lookup\"\nupgrades = 2")+
		routeText("plain", "pool = \"p\"\nclass = \"lookup\""))
	open := func(path string) (net.Conn, *bufio.Reader, *http.Response) {
		t.Helper()
		c, err := net.Dial("tcp", strings.TrimPrefix(g.urls[0], "http://"))
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(testutil.WaitTimeout))
		fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: a\r\nConnection: keep-alive, Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Key: y\r\n\r\n", path)
		in := bufio.NewReader(c)
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		return c, in, resp
	}
	says := func(c net.Conn, in *bufio.Reader, text string) {
		t.Helper()
		io.WriteString(c, text)
		got := make([]byte, len(text))
		if _, err := io.ReadFull(in, got); err != nil || string(got) != text {
			t.Errorf("%q came back as %q, %v", text, got, err)
		}
	}
	if c, _, resp := open("/"); resp.StatusCode != 200 {
		t.Errorf("where it is not allowed: %d", resp.StatusCode)
	} else {
		c.Close()
	}
	a, inA, resp := open("/ws")
	if resp.StatusCode != 101 || resp.Header.Get("Sec-WebSocket-Accept") != "x" || resp.Header.Get("Upgrade") != "websocket" {
		t.Fatalf("%+v", resp)
	}
	got := make([]byte, 2)
	if io.ReadFull(inA, got); string(got) != "hi" {
		t.Errorf("what came with the head: %q", got)
	}
	says(a, inA, "one")
	b, inB, _ := open("/ws")
	io.ReadFull(inB, got)
	says(b, inB, strings.Repeat("two", 100_000))
	if c, _, resp := open("/ws"); resp.StatusCode != 503 {
		t.Errorf("a third of two: %d", resp.StatusCode)
	} else {
		c.Close()
	}
	b.(*net.TCPConn).CloseWrite()
	if rest, err := io.ReadAll(inB); err != nil || len(rest) > 0 {
		t.Errorf("the end of one side: %q, %v", rest, err)
	}
	b.Close()
	testutil.WaitUntil(t, "there is room again", func() bool {
		c, in, resp := open("/ws")
		defer c.Close()
		if resp.StatusCode == 101 {
			io.ReadFull(in, got)
			return true
		}
		return false
	})
	done := make(chan struct{})
	go func() { g.server.Shutdown(); close(done) }()
	rest, err := io.ReadAll(inA)
	if !bytes.HasPrefix(rest, []byte{0x88, 0x02, 0x03, 0xe9}) {
		t.Errorf("at a drain: %x, %v", rest, err)
	}
	a.Close()
	<-done
}

// Clients that leave half way up, half way down or at once leave nothing behind.
func TestClientsThatLeave(t *testing.T) {
	addr, _ := peer(t, func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Length", "30000000")
		io.Copy(w, noise(1, 30_000_000))
	})
	g := startAppliance(t, uploads("", addr))
	before := runtime.NumGoroutine()
	var all sync.WaitGroup
	for i := range 30 {
		all.Go(func() {
			c, err := net.Dial("tcp", strings.TrimPrefix(g.urls[0], "http://"))
			if err != nil {
				t.Error(err)
				return
			}
			switch i % 3 {
			case 0:
				fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n%s", strings.Repeat("x", 500_000))
			case 1:
				io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
				io.CopyN(io.Discard, c, 1_000_000)
			case 2:
				fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n%s", strings.Repeat("x", 100_000))
			}
			c.Close()
		})
	}
	all.Wait()
	pool := g.appliance.pools["p"]
	testutil.WaitUntil(t, "no request is kept", func() bool { return pool.OpenRequests() == 0 })
	for c := range 3 {
		testutil.WaitUntil(t, "no memory is held", func() bool { used, _ := g.gate.Bodies.Used(bodyCause(c)); return used == 0 })
	}
	testutil.WaitUntil(t, "no goroutine is left", func() bool {
		http.DefaultClient.CloseIdleConnections()
		return runtime.NumGoroutine() <= before+8 // idle connections to the host
	})
	if resp, err := http.Post(g.urls[0]+"/", "", strings.NewReader("x")); err != nil || resp.StatusCode != 200 {
		t.Error(resp, err)
	} else {
		resp.Body.Close()
	}
}

func bodyCause(i int) body.Purpose { return body.Purpose(i) }

// Two hosts of three answer 503: a GET is served by the third, a POST is not sent again and its
// client gets what its host said.
func TestTwoOfThreeAreDown(t *testing.T) {
	var posts, gets atomic.Int64
	var nodes []string
	for i := range 3 {
		addr, _ := peer(t, func(w http.ResponseWriter, r *http.Request) {
			if r.Method == "POST" {
				posts.Add(1)
			} else {
				gets.Add(1)
			}
			if i < 2 {
				http.Error(w, "no: mending", http.StatusServiceUnavailable)
				return
			}
			io.WriteString(w, "yes")
		})
		nodes = append(nodes, addr)
	}
	g := startAppliance(t, uploads("retry_share = 3.0\nretry_floor = 100.0", nodes...))
	for i := range 20 {
		before := posts.Load()
		resp, text := fetch(t, "POST", g.urls[0]+"/", "x")
		if n := posts.Load() - before; n != 1 {
			t.Errorf("POST %d was sent %d times", i, n)
		}
		if resp.StatusCode == 503 && text != "no: mending\n" || resp.StatusCode != 503 && text != "yes" {
			t.Errorf("POST %d: %d %q", i, resp.StatusCode, text)
		}
		if resp, text := fetch(t, "GET", g.urls[0]+"/", ""); resp.StatusCode != 200 || text != "yes" {
			t.Errorf("GET %d: %d %q", i, resp.StatusCode, text)
		}
	}
}

// firstOfAStream says one thing, and then nothing more while its client stays.
func firstOfAStream(w http.ResponseWriter, r *http.Request) {
	io.WriteString(w, "data: 1\n\n")
	w.(http.Flusher).Flush()
	<-r.Context().Done()
}

// At the exit of a drain, streams that are still on end so that their clients can tell, and
// everything else has had its answer.
func TestStreamsAtTheExit(t *testing.T) {
	addr, _ := peer(t, firstOfAStream)
	g := startAppliance(t, uploads("stream = true", addr))
	var streams []io.ReadCloser
	for range 10 {
		resp, err := http.Get(g.urls[0] + "/")
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(resp.Body, make([]byte, 9)); err != nil {
			t.Fatal(err)
		}
		streams = append(streams, resp.Body)
	}
	done := make(chan struct{})
	go func() {
		g.Stop(time.Second)
		g.Gateway.Close() // as the end of the process does
		close(done)
	}()
	for i, s := range streams {
		if _, err := io.Copy(io.Discard, s); err == nil {
			t.Errorf("stream %d was taken for whole", i)
		}
		s.Close()
	}
	<-done
}

// A stream to an HTTP/1.0 client, to whom the connection's end is the answer's, is reset at the exit.
func TestOldClientsStreamAtTheExit(t *testing.T) {
	addr, _ := peer(t, firstOfAStream)
	g := startAppliance(t, uploads("stream = true", addr))
	c, err := net.Dial("tcp", strings.TrimPrefix(g.urls[0], "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(testutil.WaitTimeout))
	io.WriteString(c, "GET / HTTP/1.0\r\nHost: a\r\n\r\n")
	in := bufio.NewReader(c)
	for line := ""; line != "data: 1\n"; {
		if line, err = in.ReadString('\n'); err != nil {
			t.Fatal(err)
		}
	}
	done := make(chan struct{})
	go func() {
		g.Stop(time.Second)
		g.Gateway.Close() // as the end of the process does
		close(done)
	}()
	if _, err := io.Copy(io.Discard, in); err == nil {
		t.Error("it was taken for whole")
	}
	<-done
}

// To an HTTP/1.0 client the connection's end is the answer's: where the host breaks off it sees a
// reset, and never a clean end.
func TestOldClientSeesWhatBreaksOff(t *testing.T) {
	host := testutil.NewHost(t, func(c net.Conn, r *http.Request, _ int) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n")
		if r.URL.Path == "/whole" {
			io.WriteString(c, "0\r\n\r\n")
			return true
		}
		return false
	})
	g := startAppliance(t, head+poolText("p", "", host.Addr())+routeText("r", "pool = \"p\"\nclass = \"lookup\"\nstream = true"))
	for path, whole := range map[string]bool{"/whole": true, "/broken": false} {
		c, err := net.Dial("tcp", strings.TrimPrefix(g.urls[0], "http://"))
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(testutil.WaitTimeout))
		io.WriteString(c, "GET "+path+" HTTP/1.0\r\nHost: a\r\n\r\n")
		got, err := io.ReadAll(c)
		if (err == nil) != whole || whole && !strings.HasSuffix(string(got), "\r\n\r\nfirst") {
			t.Errorf("%s: %q, %v", path, got, err)
		}
		c.Close()
	}
}
