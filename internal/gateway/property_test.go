package gateway

import (
	"bufio"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"dunemoor/internal/testutil"
)

// exchangePlan is one request of the property test, drawn from a seed: what goes up, what comes
// down, and what goes wrong where.
type exchangePlan struct {
	id               string
	method           string
	up, down         int64
	upChunked        bool
	downFraming      string // length, chunked, close
	hostCutUp        int64  // the host goes when it has read so much; -1: never
	hostCutDown      int64  // ... or written so much
	clientCut        int64  // the client goes when it has sent so much
	hostPause, pause time.Duration
}

// ledger is what hosts saw of each request: how many began it, and of what content.
type ledger struct {
	mu     sync.Mutex
	began  map[string]int
	whole  map[string]string // sums of bodies that came whole
	plans  map[string]*exchangePlan
	broken []string
}

// Whatever is cut, slowed and sized on both sides: what a client takes for whole is whole and of
// one host, what a host takes for whole is what the client sent, nothing unsafe begins twice, and
// each request that waits has an answer or an end. The seed is printed.
func TestFlowsProperty(t *testing.T) {
	const seed, requests = 20261201, 240
	t.Logf("seed %d", seed)
	l := &ledger{began: map[string]int{}, whole: map[string]string{}, plans: map[string]*exchangePlan{}}
	var nodes []string
	for i := range 3 {
		ln := testutil.Listen(t, "127.0.0.1:0", nil)
		t.Cleanup(func() { ln.Close() })
		nodes = append(nodes, ln.Addr().String())
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				go l.serve(c, fmt.Sprint("host-", i))
			}
		}()
	}
	g := startAppliance(t, uploads("hold = \"16KiB\"\nretry_share = 3.0\nretry_floor = 1000.0\nidle = \"5s\"", nodes...))
	rng := rand.New(rand.NewPCG(seed, 1))
	sizes := []int64{0, 1, 100, 16383, 16384, 16385, 65536, 65537, 300_000, 2_000_000}
	cut := func(n int64) int64 {
		if n == 0 || rng.IntN(4) > 0 {
			return -1
		}
		return rng.Int64N(n)
	}
	var all sync.WaitGroup
	slots := make(chan struct{}, 16)
	for i := range requests {
		p := &exchangePlan{
			id: fmt.Sprintf("p-%04d", i), method: []string{"GET", "POST", "POST", "PUT"}[rng.IntN(4)],
			down: sizes[rng.IntN(len(sizes))], upChunked: rng.IntN(2) == 0, downFraming: []string{"length", "chunked", "close"}[rng.IntN(3)],
		}
		if p.method != "GET" {
			p.up = sizes[rng.IntN(len(sizes))]
		}
		p.hostCutUp, p.hostCutDown, p.clientCut = cut(p.up), cut(p.down), cut(p.up)
		p.pause, p.hostPause = time.Duration(rng.IntN(3))*time.Millisecond, time.Duration(rng.IntN(3))*time.Millisecond
		l.mu.Lock()
		l.plans[p.id] = p
		l.mu.Unlock()
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			if err := l.ask(strings.TrimPrefix(g.urls[0], "http://"), p); err != nil {
				t.Errorf("%+v: %v", *p, err)
			}
		})
	}
	all.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, n := range l.began {
		if p := l.plans[id]; p.method == "POST" && n > 1 {
			t.Errorf("%+v: began %d times", *p, n)
		}
	}
	for _, s := range l.broken {
		t.Error(s)
	}
	if len(l.whole) < requests/4 {
		t.Errorf("only %d of %d came whole to a host", len(l.whole), requests)
	}
}

// content is the body of a request, or of a host's answer to it.
func content(id, of string, n int64) io.Reader {
	sum := sha256.Sum256([]byte(id + of))
	return io.LimitReader(rand.NewChaCha8(sum), n)
}

// serve is a host: it does to each request what its plan says.
func (l *ledger) serve(c net.Conn, name string) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		id := r.Header.Get("X-Request-Id")
		l.mu.Lock()
		l.began[id]++
		p := l.plans[id]
		l.mu.Unlock()
		h := sha256.New()
		if p.hostCutUp >= 0 {
			io.CopyN(h, r.Body, p.hostCutUp)
			return
		}
		n, err := io.Copy(h, r.Body)
		if err != nil {
			return
		}
		got := fmt.Sprintf("%x", h.Sum(nil))
		want, _, _ := sum(content(id, "up", p.up))
		l.mu.Lock()
		if got != want || n != p.up {
			l.broken = append(l.broken, fmt.Sprintf("%+v: %s took %d bytes for whole", *p, name, n))
		}
		l.whole[id] = got
		l.mu.Unlock()
		time.Sleep(p.hostPause)
		var w io.Writer = c
		head := "HTTP/1.1 200 OK\r\nX-Host: " + name + "\r\n"
		switch p.downFraming {
		case "length":
			head += "Content-Length: " + strconv.FormatInt(p.down, 10) + "\r\n\r\n"
		case "chunked":
			head += "Transfer-Encoding: chunked\r\n\r\n"
			w = chunker{c}
		default:
			head += "Connection: close\r\n\r\n"
		}
		io.WriteString(c, head)
		from := content(id, "down"+name, p.down)
		if p.hostCutDown >= 0 {
			io.CopyN(w, from, p.hostCutDown)
			c.(*net.TCPConn).SetLinger(0)
			return
		}
		if _, err := io.Copy(w, from); err != nil {
			return
		}
		if p.downFraming == "chunked" {
			io.WriteString(c, "0\r\n\r\n")
		}
		if p.downFraming == "close" {
			return
		}
	}
}

type chunker struct{ w io.Writer }

func (c chunker) Write(p []byte) (int, error) {
	if _, err := fmt.Fprintf(c.w, "%x\r\n%s\r\n", len(p), p); err != nil {
		return 0, err
	}
	return len(p), nil
}

// ask is the client of a plan.
func (l *ledger) ask(addr string, p *exchangePlan) error {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(testutil.WaitTimeout))
	var w io.Writer = c
	fmt.Fprintf(c, "%s / HTTP/1.1\r\nHost: a\r\nX-Request-Id: %s\r\n", p.method, p.id)
	switch {
	case p.method == "GET":
		io.WriteString(c, "\r\n")
	case p.upChunked:
		io.WriteString(c, "Transfer-Encoding: chunked\r\n\r\n")
		w = chunker{c}
	default:
		fmt.Fprintf(c, "Content-Length: %d\r\n\r\n", p.up)
	}
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		from := content(p.id, "up", p.up)
		if p.clientCut >= 0 {
			io.CopyN(w, from, p.clientCut)
			c.Close()
			return
		}
		if p.pause > 0 {
			io.CopyN(w, from, p.up/2)
			time.Sleep(p.pause)
		}
		if _, err := io.Copy(w, from); err == nil && p.upChunked && p.method != "GET" {
			io.WriteString(c, "0\r\n\r\n")
		}
	}()
	defer func() { c.Close(); <-sent }()
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: p.method})
	if err != nil {
		if p.clientCut < 0 {
			return fmt.Errorf("no answer: %w", err)
		}
		return nil
	}
	got, n, err := sum(resp.Body)
	if err != nil || resp.StatusCode != 200 {
		return nil // it can tell that this is no whole answer
	}
	if p.downFraming == "close" && p.hostCutDown >= 0 {
		// The reset of the host must have reached the client as one too.
		return fmt.Errorf("%d bytes were taken for whole, the host was cut off at %d", n, p.hostCutDown)
	}
	want, _, _ := sum(content(p.id, "down"+resp.Header.Get("X-Host"), p.down))
	if got != want || n != p.down {
		return fmt.Errorf("%d bytes were taken for whole, they are not %s's %d", n, resp.Header.Get("X-Host"), p.down)
	}
	return nil
}
