package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"dunemoor/internal/fastcgi"
)

// maxForwardDelay is how long after the departure of a client an attempt may begin.
const maxForwardDelay = 100 * time.Millisecond

// arrivals records when requests arrive at a host.
type arrivals struct {
	mu   sync.Mutex
	at   []time.Time
	byID map[string]int
}

// startRecordingHost starts a host that responds after the given work, and records its requests.
func startRecordingHost(t testing.TB, work time.Duration) (addr string, recorded *arrivals) {
	recorded = &arrivals{byID: map[string]int{}}
	addr = startScriptedHost(t, func(c net.Conn) {
		in := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			recorded.mu.Lock()
			recorded.at = append(recorded.at, time.Now())
			recorded.byID[r.Header.Get("X-Request-Id")]++
			recorded.mu.Unlock()
			time.Sleep(work)
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood")
		}
	})
	return addr, recorded
}

// after returns how many requests have arrived after a time.
func (a *arrivals) after(at time.Time) (n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, arrived := range a.at {
		if arrived.After(at) {
			n++
		}
	}
	return n
}

// pipelinedRequests returns n requests for one connection.
func pipelinedRequests(n int) string {
	var b strings.Builder
	for range n {
		b.WriteString(testClasses[1].requestHeader(fmt.Sprintf("left-%d", lastID.Add(1))) + "Content-Length: 1\r\n\r\nx")
	}
	return b.String()
}

// Nothing more is sent to a host once a client has closed its connection, however many of its requests are unread. The end of
// the connection may be behind them in the client's send buffer.
func TestRequestsOfDepartedClientReachNoHost(t *testing.T) {
	const requests = 60_000 // more than the receive buffer holds
	for _, test := range []struct {
		name  string
		leave func(c *net.TCPConn)
	}{
		{"close", func(c *net.TCPConn) { c.Close() }},
		{"half-close", func(c *net.TCPConn) { c.CloseWrite() }},
		{"reset", func(c *net.TCPConn) { c.SetLinger(0); c.Close() }},
	} {
		for _, reads := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, reads responses %t", test.name, reads), func(t *testing.T) {
				t.Parallel()
				addr, recorded := startRecordingHost(t, time.Millisecond)
				p := start(t, configWithClasses(addr), freeAddress(t))
				p.waitReady(t)
				nc, err := net.Dial("tcp", p.address())
				if err != nil {
					t.Fatal(err)
				}
				c := nc.(*net.TCPConn)
				defer c.Close()
				if reads {
					go io.Copy(io.Discard, c)
				}
				c.SetWriteDeadline(time.Now().Add(300 * time.Millisecond)) // when the buffers are full
				io.WriteString(c, pipelinedRequests(requests))
				test.leave(c)
				left := time.Now()
				time.Sleep(10 * maxForwardDelay)
				if n := recorded.after(left.Add(maxForwardDelay)); n > 0 {
					t.Errorf("%d requests reached the host more than %v after the client had left, want 0", n, maxForwardDelay)
				}
			})
		}
	}
}

// The same for a web server that closes its connection with many requests unread.
func TestRequestsOfDepartedWebServerReachNoHost(t *testing.T) {
	addr, recorded := startRecordingHost(t, time.Millisecond)
	web, cgi := freeAddress(t), freeAddress(t)
	path := t.TempDir() + "/appliance.toml"
	writeFile(t, path, floodConfig(web, cgi, addr))
	p := startWithFile(t, path, web, "-appliance", path)
	p.waitReady(t)
	nc, err := net.Dial("tcp", cgi)
	if err != nil {
		t.Fatal(err)
	}
	c := nc.(*net.TCPConn)
	go io.Copy(io.Discard, c)
	var b []byte
	for n := range uint64(30_000) {
		b = append(b, cgiLookup(nextRequestID(n), lastIDAfter(1))...)
	}
	b = append(b, fastcgi.AppendRecord(nil, fastcgi.GetValues, 0, nil)...)
	c.SetWriteDeadline(time.Now().Add(300 * time.Millisecond))
	c.Write(b)
	waitUntil(t, "requests at the host", func() bool { return recorded.after(time.Time{}) > 10 })
	c.Close()
	left := time.Now()
	time.Sleep(10 * maxForwardDelay)
	if n := recorded.after(left.Add(maxForwardDelay)); n > 0 {
		t.Errorf("%d requests reached the host more than %v after the web server had left, want 0", n, maxForwardDelay)
	}
}

// lastIDAfter returns a new number for an ID.
func lastIDAfter(n int64) uint64 { return uint64(lastID.Add(n)) }
