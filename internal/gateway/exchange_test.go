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

// exchangePlan is one request of the random test, with its bodies and faults.
type exchangePlan struct {
	id              string
	method          string
	requestBytes    int64 // size of the request body
	requestChunked  bool
	responseBytes   int64         // size of the response body
	responseFraming string        // "length", "chunked" or "close"
	hostCutRead     int64         // number of bytes after which the host closes while reading; -1 for never
	hostCutWrite    int64         // number of bytes after which the host closes while writing; -1 for never
	clientCut       int64         // number of bytes after which the client closes while writing; -1 for never
	hostPause       time.Duration // pause before the response
	clientPause     time.Duration // pause within the request body
}

// exchangeLedger records the requests received by hosts.
type exchangeLedger struct {
	mu         sync.Mutex
	started    map[string]int    // number of attempts received, by request ID
	complete   map[string]string // checksums of the bodies that arrived complete, by request ID
	plans      map[string]*exchangePlan
	violations []string
}

// Connections are closed and delayed at random points by clients and hosts. A response that a client takes
// for complete is complete and from a single host, a request that a host takes for complete is equal to
// what the client sent, no POST is started twice, and each request ends.
func TestRandomExchangesStayIntact(t *testing.T) {
	const seed, requests = 20261201, 240
	t.Logf("seed %d", seed)
	l := &exchangeLedger{started: map[string]int{}, complete: map[string]string{}, plans: map[string]*exchangePlan{}}
	var nodes []string
	for i := range 3 {
		name := fmt.Sprint("host-", i)
		nodes = append(nodes, startRawHost(t, func(c net.Conn) { l.serve(c, name) }))
	}
	g := startAppliance(t, singleRouteConfig("hold = \"16KiB\"\nretry_share = 3.0\nretry_floor = 1000.0\nidle = \"5s\"", nodes...))
	rng := rand.New(rand.NewPCG(seed, 1))
	sizes := []int64{0, 1, 100, 16383, 16384, 16385, 65536, 65537, 300_000, 2_000_000}
	cutAfter := func(n int64) int64 {
		if n == 0 || rng.IntN(4) > 0 {
			return -1
		}
		return rng.Int64N(n)
	}
	var all sync.WaitGroup
	slots := make(chan struct{}, 16)
	for i := range requests {
		p := &exchangePlan{
			id:              fmt.Sprintf("p-%04d", i),
			method:          []string{"GET", "POST", "POST", "PUT"}[rng.IntN(4)],
			responseBytes:   sizes[rng.IntN(len(sizes))],
			requestChunked:  rng.IntN(2) == 0,
			responseFraming: []string{"length", "chunked", "close"}[rng.IntN(3)],
		}
		if p.method != "GET" {
			p.requestBytes = sizes[rng.IntN(len(sizes))]
		}
		p.hostCutRead = cutAfter(p.requestBytes)
		p.hostCutWrite = cutAfter(p.responseBytes)
		p.clientCut = cutAfter(p.requestBytes)
		p.clientPause = time.Duration(rng.IntN(3)) * time.Millisecond
		p.hostPause = time.Duration(rng.IntN(3)) * time.Millisecond
		l.mu.Lock()
		l.plans[p.id] = p
		l.mu.Unlock()
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			if err := l.send(strings.TrimPrefix(g.urls[0], "http://"), p); err != nil {
				t.Errorf("%+v: %v", *p, err)
			}
		})
	}
	all.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, n := range l.started {
		if p := l.plans[id]; p.method == "POST" && n > 1 {
			t.Errorf("%+v: started %d times, want once", *p, n)
		}
	}
	for _, s := range l.violations {
		t.Error(s)
	}
	if len(l.complete) < requests/4 {
		t.Errorf("%d of %d requests complete at a host, want a quarter or more", len(l.complete), requests)
	}
}

// exchangeBody returns the body of a request (direction "up"), or of a host's response to it ("down" and
// the name of the host).
func exchangeBody(id, direction string, n int64) io.Reader {
	sum := sha256.Sum256([]byte(id + direction))
	return io.LimitReader(rand.NewChaCha8(sum), n)
}

// serve serves a connection to a host and follows the plan of each request.
func (l *exchangeLedger) serve(c net.Conn, name string) {
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		id := r.Header.Get("X-Request-Id")
		l.mu.Lock()
		l.started[id]++
		p := l.plans[id]
		l.mu.Unlock()
		h := sha256.New()
		if p.hostCutRead >= 0 {
			io.CopyN(h, r.Body, p.hostCutRead)
			return
		}
		n, err := io.Copy(h, r.Body)
		if err != nil {
			return
		}
		l.recordComplete(p, name, fmt.Sprintf("%x", h.Sum(nil)), n)
		time.Sleep(p.hostPause)
		if !p.respond(c, name) {
			return
		}
	}
}

// recordComplete records a request that a host has received completely, and checks its body.
func (l *exchangeLedger) recordComplete(p *exchangePlan, host, sum string, n int64) {
	want, _, _ := checksum(exchangeBody(p.id, "up", p.requestBytes))
	l.mu.Lock()
	defer l.mu.Unlock()
	if sum != want || n != p.requestBytes {
		l.violations = append(l.violations, fmt.Sprintf("%+v: %s received a complete body of %d bytes that is not the one sent", *p, host, n))
	}
	l.complete[p.id] = sum
}

// respond writes the response of a host, and reports whether the connection stays open.
func (p *exchangePlan) respond(c net.Conn, host string) (keepAlive bool) {
	var w io.Writer = c
	header := "HTTP/1.1 200 OK\r\nX-Host: " + host + "\r\n"
	switch p.responseFraming {
	case "length":
		header += "Content-Length: " + strconv.FormatInt(p.responseBytes, 10) + "\r\n\r\n"
	case "chunked":
		header += "Transfer-Encoding: chunked\r\n\r\n"
		w = chunkWriter{c}
	default:
		header += "Connection: close\r\n\r\n"
	}
	io.WriteString(c, header)
	from := exchangeBody(p.id, "down"+host, p.responseBytes)
	if p.hostCutWrite >= 0 {
		io.CopyN(w, from, p.hostCutWrite)
		c.(*net.TCPConn).SetLinger(0)
		return false
	}
	if _, err := io.Copy(w, from); err != nil {
		return false
	}
	if p.responseFraming == "chunked" {
		io.WriteString(c, "0\r\n\r\n")
	}
	return p.responseFraming != "close"
}

// send sends the request of a plan as its client, and checks the response.
func (l *exchangeLedger) send(addr string, p *exchangePlan) error {
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
	case p.requestChunked:
		io.WriteString(c, "Transfer-Encoding: chunked\r\n\r\n")
		w = chunkWriter{c}
	default:
		fmt.Fprintf(c, "Content-Length: %d\r\n\r\n", p.requestBytes)
	}
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		from := exchangeBody(p.id, "up", p.requestBytes)
		if p.clientCut >= 0 {
			io.CopyN(w, from, p.clientCut)
			c.Close()
			return
		}
		if p.clientPause > 0 {
			io.CopyN(w, from, p.requestBytes/2)
			time.Sleep(p.clientPause)
		}
		if _, err := io.Copy(w, from); err == nil && p.requestChunked && p.method != "GET" {
			io.WriteString(c, "0\r\n\r\n")
		}
	}()
	defer func() { c.Close(); <-sent }()
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: p.method})
	if err != nil {
		if p.clientCut < 0 {
			return fmt.Errorf("no response: %w", err)
		}
		return nil
	}
	got, n, err := checksum(resp.Body)
	if err != nil || resp.StatusCode != 200 {
		return nil // the client notices that the response is incomplete
	}
	if p.responseFraming == "close" && p.hostCutWrite >= 0 {
		// The reset by the host must reach the client as a reset.
		return fmt.Errorf("complete response of %d bytes, want an error as the host closed at %d", n, p.hostCutWrite)
	}
	want, _, _ := checksum(exchangeBody(p.id, "down"+resp.Header.Get("X-Host"), p.responseBytes))
	if got != want || n != p.responseBytes {
		return fmt.Errorf("complete response of %d bytes, want the body of host %s with %d bytes",
			n, resp.Header.Get("X-Host"), p.responseBytes)
	}
	return nil
}
