package fakes

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/fcgi"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"dunemoor/internal/fastcgi"
)

// Responder is a node that speaks FastCGI, by the standard library's implementation of it.
type Responder struct {
	Name, Group string
	ledger      *Ledger
	work        time.Duration

	mu    sync.Mutex
	addr  string
	ln    net.Listener
	conns map[net.Conn]struct{}
	rng   *rand.Rand
}

// StartResponder starts one on a free port of 127.0.0.1. Work is the mean of what a request takes.
func StartResponder(name, group string, ledger *Ledger, seed uint64, work time.Duration) (*Responder, error) {
	return StartResponderAt("127.0.0.1:0", name, group, ledger, seed, work)
}

// StartResponderAt starts one at an address, which must be a loopback one.
func StartResponderAt(addr, name, group string, ledger *Ledger, seed uint64, work time.Duration) (*Responder, error) {
	if !loopback(addr) {
		return nil, fmt.Errorf("standin: %q is no loopback address", addr)
	}
	r := &Responder{Name: name, Group: group, ledger: ledger, work: work, addr: addr, rng: rand.New(rand.NewPCG(seed, 3))}
	return r, r.Start()
}

// Addr is where it listens; it stays the same over a crash.
func (r *Responder) Addr() string { return r.addr }

// Start brings it up, also after a Crash.
func (r *Responder) Start() error {
	ln, err := net.Listen("tcp", r.addr)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.ln, r.addr, r.conns = ln, ln.Addr().String(), map[net.Conn]struct{}{}
	r.mu.Unlock()
	go fcgi.Serve(&tracked{ln, r}, http.HandlerFunc(r.serve))
	return nil
}

// Crash ends it as a process that dies.
func (r *Responder) Crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ln == nil {
		return
	}
	r.ln.Close()
	r.ln = nil
	for c := range r.conns {
		reset(c)
	}
}

// tracked notes the connections of a listener.
type tracked struct {
	net.Listener
	r *Responder
}

func (t *tracked) Accept() (net.Conn, error) {
	c, err := t.Listener.Accept()
	if err != nil {
		return nil, err
	}
	t.r.mu.Lock()
	defer t.r.mu.Unlock()
	if t.r.ln != t.Listener {
		reset(c)
		return nil, net.ErrClosed
	}
	t.r.conns[c] = struct{}{}
	return c, nil
}

func (r *Responder) serve(w http.ResponseWriter, q *http.Request) {
	if q.ContentLength != 0 { // all empty bodies there are one, which is not to be read by two
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return // its last byte has not come: it never ran
		}
	}
	id := q.Header.Get("X-Request-Id")
	r.mu.Lock()
	work := time.Duration(r.rng.ExpFloat64() * float64(r.work))
	r.mu.Unlock()
	if !r.ledger.Ran(Execution{ID: id, Key: q.Header.Get("Idempotency-Key"), Node: r.Name, Group: r.Group, At: time.Now()}) {
		time.Sleep(work)
	}
	answer := Answer(id)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	io.WriteString(w, answer)
}

// WebServer is a web server that passes its clients' requests on by FastCGI, many at once on a few
// connections: an http.RoundTripper, so that what asks by HTTP can ask by it.
type WebServer struct {
	Addr           string
	MaxConnections int // 0: 4; a gateway refuses what more than fastcgi.ReqsMost ask at once on one

	mu     sync.Mutex
	conns  []*webConn
	next   int
	Aborts atomic.Int64
}

// errEnded says that a request ended without an answer that can be told from a whole one.
var errEnded = errors.New("standin: the answer is cut")

// webConn is a connection of a WebServer.
type webConn struct {
	net.Conn
	in  *fastcgi.Client
	wmu sync.Mutex

	mu    sync.Mutex
	calls map[uint16]*webCall
	err   error
}

type webCall struct {
	out  bytes.Buffer
	end  fastcgi.EndRequestBody
	err  error
	done chan struct{}
}

// RoundTrip asks, and reads the whole answer.
func (s *WebServer) RoundTrip(r *http.Request) (*http.Response, error) {
	var body []byte
	if r.Body != nil {
		var err error
		if body, err = io.ReadAll(r.Body); err != nil {
			return nil, err
		}
		r.Body.Close()
	}
	c, err := s.conn()
	if err != nil {
		return nil, err
	}
	id := c.in.OpenRequest()
	k := &webCall{done: make(chan struct{})}
	c.mu.Lock()
	if err = c.err; err == nil {
		c.calls[id] = k
	}
	c.mu.Unlock()
	if err != nil {
		return nil, err
	}
	out := fastcgi.AppendBeginRequest(nil, id, fastcgi.BeginRequestBody{Role: fastcgi.Responder, Flags: fastcgi.KeepConn})
	out = fastcgi.AppendStream(out, fastcgi.Params, id, Params(r, len(body)))
	out = fastcgi.AppendStreamEnd(out, fastcgi.Params, id)
	out = fastcgi.AppendStream(out, fastcgi.Stdin, id, body)
	out = fastcgi.AppendStreamEnd(out, fastcgi.Stdin, id)
	if err := c.write(out); err != nil {
		return nil, err
	}
	select {
	case <-k.done:
	case <-r.Context().Done():
		s.Aborts.Add(1)
		c.write(fastcgi.AppendStreamEnd(nil, fastcgi.AbortRequest, id))
		return nil, r.Context().Err()
	}
	if k.err != nil {
		return nil, k.err
	}
	if k.end.ProtocolStatus == fastcgi.Overloaded && k.out.Len() == 0 {
		// It has an answer: no.
		return &http.Response{StatusCode: http.StatusServiceUnavailable, Header: http.Header{}, Body: http.NoBody, Request: r}, nil
	}
	status, header, n, err := fastcgi.ParseResponseHeader(k.out.Bytes())
	if err != nil || n == 0 || k.end.AppStatus != 0 || k.end.ProtocolStatus != fastcgi.RequestComplete {
		return nil, fmt.Errorf("%w: %v, %v, %d bytes", errEnded, k.end, err, k.out.Len())
	}
	text := k.out.Bytes()[n:]
	if length, err := fastcgi.ContentLength(header); err != nil || length >= 0 && length != int64(len(text)) && r.Method != http.MethodHead {
		return nil, fmt.Errorf("%w: %d bytes of %d", errEnded, len(text), length)
	}
	return &http.Response{StatusCode: status, Header: header, Body: io.NopCloser(bytes.NewReader(text)), Request: r}, nil
}

// Params are the parameters of a request, as a web server tells them.
func Params(r *http.Request, length int) (b []byte) {
	host := r.Host
	if host == "" {
		host = r.URL.Host
	}
	for _, p := range [][2]string{
		{"GATEWAY_INTERFACE", "CGI/1.1"}, {"SERVER_PROTOCOL", "HTTP/1.1"}, {"REQUEST_METHOD", r.Method},
		{"REQUEST_URI", r.URL.RequestURI()}, {"HTTP_HOST", host}, {"REMOTE_ADDR", "127.0.0.9"}, {"CONTENT_LENGTH", strconv.Itoa(length)},
	} {
		b = fastcgi.AppendPair(b, p[0], p[1])
	}
	for name, v := range r.Header {
		if key := fastcgi.ParamName(name); key != "" {
			b = fastcgi.AppendPair(b, key, v[0])
		}
	}
	return b
}

// conn is the next connection in turn; one that has ended is dialled anew.
func (s *WebServer) conn() (*webConn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = make([]*webConn, max(s.MaxConnections, 1))
		if s.MaxConnections == 0 {
			s.conns = make([]*webConn, 4)
		}
	}
	s.next = (s.next + 1) % len(s.conns)
	if c := s.conns[s.next]; c != nil {
		c.mu.Lock()
		err := c.err
		c.mu.Unlock()
		if err == nil {
			return c, nil
		}
	}
	if !loopback(s.Addr) {
		return nil, fmt.Errorf("standin: %q is no loopback address", s.Addr)
	}
	nc, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", s.Addr)
	if err != nil {
		return nil, err
	}
	c := &webConn{Conn: nc, calls: map[uint16]*webCall{}}
	c.in = fastcgi.NewClient(c)
	s.conns[s.next] = c
	go c.read()
	return c, nil
}

// Close ends the connections.
func (s *WebServer) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		if c != nil {
			c.Conn.Close()
		}
	}
}

func (c *webConn) write(b []byte) error {
	c.wmu.Lock()
	defer c.wmu.Unlock()
	_, err := c.Conn.Write(b)
	return err
}

func (c *webConn) read() {
	b := make([]byte, 16<<10)
	for {
		n, err := c.Conn.Read(b)
		if bad := c.in.Feed(b[:n]); bad != nil {
			err = bad
		}
		if err != nil {
			c.Conn.Close()
			c.mu.Lock()
			c.err = err
			calls := c.calls
			c.calls = map[uint16]*webCall{}
			c.mu.Unlock()
			for _, k := range calls {
				k.err = fmt.Errorf("standin: the connection ended: %w", err)
				close(k.done)
			}
			return
		}
	}
}

func (c *webConn) find(id uint16) *webCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls[id]
}

// Stdout is part of an answer.
func (c *webConn) Stdout(id uint16, part []byte) {
	if k := c.find(id); k != nil {
		k.out.Write(part)
	}
}

// Stderr is what would go into a log.
func (c *webConn) Stderr(uint16, []byte) {}

// EndRequest is the end of an answer.
func (c *webConn) EndRequest(id uint16, e fastcgi.EndRequestBody) {
	c.mu.Lock()
	k := c.calls[id]
	delete(c.calls, id)
	c.mu.Unlock()
	if k != nil {
		k.end = e
		close(k.done)
	}
}

// Values is not asked for.
func (c *webConn) Values(fastcgi.Values) {}

// UnsolicitedRecord is what must not come.
func (c *webConn) UnsolicitedRecord() { c.Conn.Close() }
