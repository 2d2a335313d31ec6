package kit2

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Request is what a client saw of one request.
type Request struct {
	ID      string
	Written time.Time // when its last byte was written; zero: it was not
	Ended   time.Time // when the answer was whole, or the connection ended
	Status  int       // 0: no whole answer
	Body    string
	Err     error // why there is no whole answer
	OnFresh bool  // whether it was the first of its connection
}

// Load is a number of clients that send one request after the other, each on a connection that it keeps.
type Load struct {
	c       *Case
	addr    string
	path    string
	header  string
	pause   time.Duration
	name    string
	stop    atomic.Bool
	noDials atomic.Bool
	running sync.WaitGroup
	lastID  atomic.Int64

	mu       sync.Mutex
	requests []*Request
}

// NewLoad starts clients. Each waits for pause between an answer and its next request, and gives up nothing.
func (c *Case) NewLoad(name, addr, path, header string, clients int, pause time.Duration) *Load {
	l := &Load{c: c, addr: addr, path: path, header: header, pause: pause, name: name}
	for range clients {
		l.running.Go(l.client)
	}
	return l
}

// Stop ends the clients after their requests, and returns all requests.
func (l *Load) Stop() []*Request {
	l.stop.Store(true)
	l.running.Wait()
	return l.Requests()
}

// KeepConns lets the clients use only the connections that they have; one without a connection ends.
func (l *Load) KeepConns() { l.noDials.Store(true) }

// Requests returns the requests that have ended.
func (l *Load) Requests() []*Request {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*Request(nil), l.requests...)
}

func (l *Load) client() {
	var conn net.Conn
	var in *bufio.Reader
	for !l.stop.Load() {
		r := &Request{ID: fmt.Sprintf("%s-%d", l.name, l.lastID.Add(1))}
		if conn == nil && l.noDials.Load() {
			return
		}
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", l.addr, time.Second); err != nil {
				conn = nil
				time.Sleep(50 * time.Millisecond)
				continue
			}
			in, r.OnFresh = bufio.NewReader(conn), true
		}
		if !l.exchange(conn, in, r) {
			conn.Close()
			conn = nil
		}
		l.mu.Lock()
		l.requests = append(l.requests, r)
		l.mu.Unlock()
		l.c.Logf("client %s: written %v, status %d, %q %v", r.ID, l.c.At(r.Written), r.Status, r.Body, errText(r.Err))
		time.Sleep(l.pause)
	}
	if conn != nil {
		conn.Close()
	}
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// exchange makes one request, and reports whether the connection stays open.
func (l *Load) exchange(conn net.Conn, in *bufio.Reader, r *Request) bool {
	head := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: a\r\nX-Request-ID: %s\r\n%s\r\n", l.path, r.ID, l.header)
	if _, r.Err = io.WriteString(conn, head); r.Err != nil {
		r.Ended = time.Now()
		return false
	}
	r.Written = time.Now()
	conn.SetReadDeadline(r.Written.Add(30 * time.Second))
	resp, err := http.ReadResponse(in, nil)
	if err == nil {
		var b []byte
		b, err = io.ReadAll(resp.Body)
		r.Body = string(b)
	}
	r.Ended, r.Err = time.Now(), err
	if err != nil {
		return false
	}
	r.Status = resp.StatusCode
	return !resp.Close
}
