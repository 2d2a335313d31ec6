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

// sample is n bytes that differ.
func sample(n int) []byte {
	b, _ := io.ReadAll(noise(uint64(n), int64(n)))
	return b
}

// message writes a request of a class, head and body in pieces of a size, and reads its final
// answer. A 100 before it may come in the same read, so that one reader takes both.
func (g *testGateway) message(class, framing string, body []byte, piece int) (*http.Response, net.Conn, error) {
	g.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(g.url, "http://"))
	if err != nil {
		g.Fatal(err)
	}
	g.Cleanup(func() { c.Close() })
	var all bytes.Buffer
	fmt.Fprintf(&all, "POST /api/1 HTTP/1.1\r\nHost: a\r\nX-Priority-Class: %s\r\nX-Timeout: 60\r\nX-Request-ID: %s\r\nIdempotency-Key: k\r\n%s\r\n",
		class, testutil.NewID(), framing)
	all.Write(body)
	for rest := all.Bytes(); len(rest) > 0; rest = rest[min(piece, len(rest)):] {
		if _, err := c.Write(rest[:min(piece, len(rest))]); err != nil {
			return nil, c, err
		}
	}
	r := bufio.NewReader(c)
	resp, err := http.ReadResponse(r, nil)
	for err == nil && resp.StatusCode == http.StatusContinue {
		resp, err = http.ReadResponse(r, nil)
	}
	return resp, c, err
}

func chunks(body []byte, size int, trailer string) []byte {
	var b bytes.Buffer
	for rest := body; len(rest) > 0; rest = rest[min(size, len(rest)):] {
		fmt.Fprintf(&b, "%x;ext=\"1\"\r\n", min(size, len(rest)))
		b.Write(rest[:min(size, len(rest))])
		b.WriteString("\r\n")
	}
	b.WriteString("0\r\n" + trailer + "\r\n")
	return b.Bytes()
}

// What clients send in our protocol reaches a host whole, in any framing and at any length up to
// the longest, and only once.
func TestLongRequests(t *testing.T) {
	var sums atomic.Value
	var ran atomic.Int64
	host := testutil.NewHost(t, func(c net.Conn, r *http.Request, _ int) bool { return false })
	host.Close()
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
	cfg := testConfig(host)
	cfg.Known.Servers[0].Addr = ln.Addr().String()
	g := startGateway(t, cfg)
	for _, n := range []int{1, frontend.MaxBufferedBytes - 1, frontend.MaxBufferedBytes, frontend.MaxBufferedBytes + 1, 3 << 20} {
		body := sample(n)
		want := fmt.Sprintf("%d %x", n, sha256.Sum256(body))
		for _, f := range []struct {
			name, framing string
			body          []byte
			piece         int
		}{
			{"a length", fmt.Sprintf("Content-Length: %d\r\n", n), body, 1 << 20},
			{"a length, in pieces", fmt.Sprintf("Content-Length: %d\r\n", n), body, max(n/50, 1)},
			{"chunks", "Transfer-Encoding: chunked\r\n", chunks(body, 5000, ""), 1 << 20},
			{"chunks with a trailer, in pieces", "Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n", chunks(body, max(n/3, 1), "X-Sum: 1\r\n"), max(n/50, 1)},
			{"asked for", fmt.Sprintf("Content-Length: %d\r\nExpect: 100-continue\r\n", n), body, 1 << 20},
		} {
			before := ran.Load()
			resp, _, err := g.message("book", f.framing, f.body, f.piece)
			if err != nil || resp.StatusCode != 200 {
				t.Errorf("%d bytes, %s: %v, %v", n, f.name, resp, err)
				continue
			}
			if got := sums.Load(); got != want || ran.Load() != before+1 {
				t.Errorf("%d bytes, %s: the host has %v, %d times", n, f.name, got, ran.Load()-before)
			}
		}
	}
}

// A request in chunks may hide another behind a length: no host gets either.
func TestLongRequestsAreFramedOnce(t *testing.T) {
	host := testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse))
	g := startGateway(t, testConfig(host))
	for _, framing := range []string{
		"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
		"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", "Content-Length: 5\r\nContent-Length: 6\r\n",
		"Transfer-Encoding: gzip, chunked\r\n", "Transfer-Encoding: chunked\nX: y\r\n", fmt.Sprintf("Content-Length: %d\r\n", frontend.MaxBodyBytes+1),
	} {
		resp, _, err := g.message("book", framing, []byte("0\r\n\r\nGET /api/2 HTTP/1.1\r\nHost: a\r\n\r\n"), 1<<20)
		if err != nil || resp.StatusCode < 400 || !resp.Close {
			t.Errorf("%q: %v, %v", framing, resp, err)
		}
	}
	if n, _, _ := host.Counts(); n != 0 {
		t.Errorf("%d requests went on", n)
	}
}

// An upload takes as long as it takes: the time of a request counts from its last byte.
func TestUploadIsNotTimed(t *testing.T) {
	host := testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse))
	cfg := testConfig(host)
	for i := range cfg.Settings.Classes {
		cfg.Settings.Classes[i].LatencyObjective, cfg.Settings.Classes[i].Deadline = 200*time.Millisecond, 200*time.Millisecond
	}
	g := startGateway(t, cfg)
	const n = 2 * frontend.MaxBufferedBytes
	c, err := net.Dial("tcp", strings.TrimPrefix(g.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "POST /api/1 HTTP/1.1\r\nHost: a\r\nX-Priority-Class: book\r\nX-Timeout: 0.2\r\nX-Request-ID: %s\r\nContent-Length: %d\r\n\r\n", testutil.NewID(), n)
	body := sample(n)
	for i := range 8 { // 0.8 s in all
		c.Write(body[i*n/8 : (i+1)*n/8])
		time.Sleep(100 * time.Millisecond)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != 200 {
		t.Errorf("%v, %v", resp, err)
	}
}

// A host breaks off in the middle of a body: it has not run, as its last byte never went out,
// and the client is told that trying again is harmless. Nothing is sent anywhere else.
func TestUploadBrokenOff(t *testing.T) {
	var conns atomic.Int64
	ln := testutil.Listen(t, "127.0.0.1:0", nil)
	defer ln.Close()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go func() {
				io.CopyN(io.Discard, c, 1<<20)
				c.(*net.TCPConn).SetLinger(0)
				c.Close()
			}()
		}
	}()
	cfg := testConfig(testutil.NewHost(t, testutil.NeverRespond))
	cfg.Known.Servers[0].Addr = ln.Addr().String()
	g := startGateway(t, cfg)
	const n = 24 << 20 // more than all buffers on the way take
	resp, _, err := g.message("book", fmt.Sprintf("Content-Length: %d\r\n", n), sample(n), 1<<20)
	if err == nil && resp.StatusCode != 503 {
		t.Errorf("%v", resp)
	}
	// The reset may reach a client that is still writing before the answer does; it must not
	// be another answer, and no second attempt.
	testutil.WaitUntil(t, "it is over", func() bool { return g.openRequests() == 0 })
	if got := conns.Load(); got != 1 {
		t.Errorf("%d attempts", got)
	}
}

// Long answers in any framing come through whole, at the pace of a client that takes its time,
// and without being held.
func TestLongAnswers(t *testing.T) {
	const n = 3 << 20
	body := sample(n)
	for _, f := range []struct{ name, head, text string }{
		{"a length", fmt.Sprintf("Content-Length: %d\r\n", n), string(body)},
		{"chunks", "Transfer-Encoding: chunked\r\n", string(chunks(body, 7000, ""))},
		{"one chunk and a trailer", "Transfer-Encoding: chunked\r\n", string(chunks(body, n, "X-Sum: 1\r\n"))},
		{"the end of the connection", "Connection: close\r\n", string(body)},
	} {
		t.Run(f.name, func(t *testing.T) {
			host := testutil.NewHost(t, func(c net.Conn, _ *http.Request, _ int) bool {
				io.WriteString(c, "HTTP/1.1 200 OK\r\n"+f.head+"\r\n")
				for rest := f.text; rest != ""; rest = rest[min(len(rest), 100_000):] {
					if _, err := io.WriteString(c, rest[:min(len(rest), 100_000)]); err != nil {
						return false
					}
					time.Sleep(time.Millisecond)
				}
				return f.head[0] != 'C' || strings.HasPrefix(f.head, "Content")
			})
			g := startGateway(t, testConfig(host))
			for range 3 {
				resp, _, err := g.message("book", "Content-Length: 1\r\n", []byte("x"), 100)
				if err != nil || resp.StatusCode != 200 {
					t.Fatal(resp, err)
				}
				got, err := io.ReadAll(resp.Body)
				if err != nil || !bytes.Equal(got, body) {
					t.Errorf("%d bytes of %d, %v", len(got), n, err)
				}
			}
			testutil.WaitUntil(t, "it is over", func() bool { return g.openRequests() == 0 })
		})
	}
}

// What a host has given of an answer reaches the client though the host rests in the middle of a
// chunk: it guards against holding back what has come.
func TestNothingIsHeldBack(t *testing.T) {
	const n = 300_000
	body := sample(n)
	for _, head := range []string{fmt.Sprintf("Content-Length: %d\r\n\r\n", n), fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", n), "Connection: close\r\n\r\n"} {
		rest := make(chan struct{})
		host := testutil.NewHost(t, func(c net.Conn, _ *http.Request, _ int) bool {
			io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head)
			c.Write(body[:n/2])
			<-rest
			c.Write(body[n/2:])
			if strings.HasPrefix(head, "T") {
				io.WriteString(c, "\r\n0\r\n\r\n")
			}
			return !strings.HasPrefix(head, "Conn")
		})
		g := startGateway(t, testConfig(host))
		resp, c, err := g.message("book", "Content-Length: 1\r\n", []byte("x"), 100)
		if err != nil || resp.StatusCode != 200 {
			t.Fatal(resp, err)
		}
		c.SetReadDeadline(time.Now().Add(testutil.WaitTimeout))
		if _, err := io.ReadFull(resp.Body, make([]byte, n/2)); err != nil {
			t.Errorf("%q: of what has come: %v", head, err)
		}
		close(rest)
		if got, err := io.ReadAll(resp.Body); err != nil || !bytes.Equal(got, body[n/2:]) {
			t.Errorf("%q: %d bytes more, %v", head, len(got), err)
		}
	}
}

// An answer whose host breaks off is seen to be cut by the client, whatever its framing, and is
// never glued to another.
func TestLongAnswerBrokenOff(t *testing.T) {
	for _, head := range []string{"Content-Length: 4000000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n3d0900\r\n"} {
		host := testutil.NewHost(t, func(c net.Conn, _ *http.Request, _ int) bool {
			io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head)
			c.Write(sample(2_000_000))
			return false
		})
		g := startGateway(t, testConfig(host))
		resp, _, err := g.message("look", "Content-Length: 0\r\n", nil, 1000)
		if resp != nil && resp.StatusCode == 400 { // a safe class comes by GET
			resp, err = http.DefaultClient.Do(lookup(g.url))
		}
		if err != nil || resp.StatusCode != 200 {
			t.Fatal(resp, err)
		}
		if got, err := io.ReadAll(resp.Body); err == nil {
			t.Errorf("%q: %d bytes were taken for whole", head, len(got))
		}
		if n, _, _ := host.Counts(); n != 1 {
			t.Errorf("%q: %d attempts", head, n)
		}
	}
}

func lookup(url string) *http.Request {
	r, _ := http.NewRequest("GET", url+"/api/1", nil)
	r.Header.Set("X-Priority-Class", "look")
	r.Header.Set("X-Timeout", "60")
	r.Header.Set("X-Request-ID", testutil.NewID())
	return r
}

// A short answer that stops short is a failed attempt that another host makes good, one that
// comes in pieces is an answer.
func TestShortAnswersInPieces(t *testing.T) {
	var first atomic.Bool
	host := func() *testutil.Host {
		return testutil.NewHost(t, func(c net.Conn, _ *http.Request, _ int) bool {
			if first.CompareAndSwap(false, true) {
				io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ngo") // and no more
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
	if resp, text := g.ask("look", "/api/1", ""); resp.StatusCode != 200 || text != "good" {
		t.Errorf("%d %q", resp.StatusCode, text)
	}
}
