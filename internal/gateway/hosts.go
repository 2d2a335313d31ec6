package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lynxspool"
)

const (
	maxBody    = 64 << 10 // of a request or an answer
	maxHead    = 64 << 10 // of an answer
	idleShare  = 0.5      // of the hosts' idle limit that we keep a connection: its end must not cross a request
	sweepEvery = time.Second

	headNotProcessed = "X-Not-Processed" // "1" proves that the attempt never ran
)

// Headers of requests, as net/http spells them.
const (
	headID      = "X-Request-Id"
	headClass   = "X-Priority-Class"
	headTenant  = "X-Tenant-Id"
	headTimeout = "X-Timeout"
	headRetried = "X-Retried"
	headKey     = "Idempotency-Key"
)

// Pool makes the attempts and keeps the connections to all hosts. http.Transport
// would not do: it sends requests again by itself and dials more connections than
// it is asked for. Here an attempt writes its request whole once at most.
type Pool struct {
	dialer  net.Dialer
	maxIdle time.Duration
	budget  int // connections at most, all hosts together

	mu   sync.Mutex
	open int               // connections, in use, idle and being dialled
	idle map[*host][]*conn // the warmest last
}

// host is where attempts go. The loop creates it and updates it through the Pool;
// Pool.mu guards addr, started and heard.
type host struct {
	id      string
	usable  atomic.Bool // it takes new requests: not so when draining or gone
	addr    string
	started int64     // no connection outlives the process it was made to
	heard   time.Time // last whole answer
}

// conn is a connection to a host. It belongs to one attempt or, while idle, to the
// Pool.
type conn struct {
	net.Conn
	host    *host
	addr    string
	started int64
	reused  bool
	limit   *io.LimitedReader // guards against an answer without end
	in      *bufio.Reader
	idleAt  time.Time
}

// NewPool returns a Pool that keeps to the limits of cfg.
func NewPool(cfg *Config) *Pool {
	return &Pool{
		dialer:  net.Dialer{Timeout: cfg.DialTimeout},
		maxIdle: time.Duration(idleShare * float64(cfg.ConnIdle)),
		budget:  cfg.Sockets * hostSockets / 100,
		idle:    map[*host][]*conn{},
	}
}

// Run closes idle connections that hosts have closed or soon will, until ctx ends.
func (p *Pool) Run(ctx context.Context) {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			p.sweep()
		}
	}
}

func (p *Pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for h, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if time.Since(c.idleAt) < p.maxIdle && c.quiet() {
				kept = append(kept, c)
			} else {
				p.close(c)
			}
		}
		clear(list[len(kept):])
		if len(kept) == 0 {
			delete(p.idle, h)
		} else {
			p.idle[h] = kept
		}
	}
}

// update takes over what the list says of a host. Idle connections to one that
// takes nothing new, that has moved or that was started anew are of no more use.
func (p *Pool) update(h *host, addr string, started int64, usable bool) {
	p.mu.Lock()
	h.usable.Store(usable)
	stale := !usable || h.addr != addr || h.started != started
	h.addr, h.started = addr, started
	p.mu.Unlock()
	if stale {
		p.closeIdle(h)
	}
}

// unheard follows an attempt that was given up. If the host has answered nothing
// since, its idle connections may be half-dead: a machine that has vanished leaves
// them open and silent, and what is written there may have run for all we know. A dial
// fails soon, which proves that nothing ran.
func (p *Pool) unheard(h *host, wrote time.Time) {
	p.mu.Lock()
	silent := h.heard.Before(wrote)
	p.mu.Unlock()
	if silent {
		p.closeIdle(h)
	}
}

// closeIdle closes the idle connections to a host.
func (p *Pool) closeIdle(h *host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[h] {
		p.close(c)
	}
	delete(p.idle, h)
}

// close closes a connection; p.mu is held.
func (p *Pool) close(c *conn) {
	c.Conn.Close()
	p.open--
}

// drop closes a connection that an attempt is done with.
func (p *Pool) drop(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.close(c)
}

// put keeps a connection for the next attempt.
func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := c.host
	if !h.usable.Load() || c.addr != h.addr || c.started != h.started {
		p.close(c)
		return
	}
	c.reused, c.idleAt = true, time.Now()
	p.idle[h] = append(p.idle[h], c)
}

var errNoSockets = errors.New("gateway: too many connections to hosts")

// get returns the warmest idle connection to a host, or dials one. The dial is
// counted before it is made, so that the budget holds.
func (p *Pool) get(ctx context.Context, h *host) (*conn, error) {
	p.mu.Lock()
	for list := p.idle[h]; len(list) > 0; list = p.idle[h] {
		c := list[len(list)-1]
		p.idle[h] = list[:len(list)-1]
		if c.quiet() {
			p.mu.Unlock()
			return c, nil
		}
		p.close(c)
	}
	if p.open >= p.budget && !p.closeColdest() {
		p.mu.Unlock()
		return nil, errNoSockets
	}
	p.open++
	c := &conn{host: h, addr: h.addr, started: h.started}
	p.mu.Unlock()
	nc, err := p.dialer.DialContext(ctx, "tcp", c.addr)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, err
	}
	c.Conn = nc
	c.limit = &io.LimitedReader{R: nc}
	c.in = bufio.NewReader(c.limit)
	return c, nil
}

// closeColdest makes room by closing the connection that was idle longest; p.mu is
// held.
func (p *Pool) closeColdest() bool {
	var coldest *conn
	for _, list := range p.idle {
		if len(list) > 0 && (coldest == nil || list[0].idleAt.Before(coldest.idleAt)) {
			coldest = list[0]
		}
	}
	if coldest == nil {
		return false
	}
	p.idle[coldest.host] = p.idle[coldest.host][1:]
	p.close(coldest)
	return true
}

// quiet says whether an idle connection is open with nothing to read: one that the
// host has closed, or on which it said something unasked, carries no request.
func (c *conn) quiet() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN
		return true
	})
	return err == nil && open
}

// attempt sends a request to a host once and says how that ended. ctx ends when the
// attempt is to be given up, by its deadline or by being called off.
func (p *Pool) attempt(ctx context.Context, h *host, x *exchange) (lynxspool.Result, answer) {
	for {
		c, err := p.get(ctx, h)
		switch {
		case ctx.Err() != nil:
			if err == nil {
				p.put(c) // nothing was written to it
			}
			return unsent(ctx), answer{}
		case err == errNoSockets || errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE):
			return lynxspool.NotSent, answer{} // the want is ours, not the host's
		case err != nil:
			return lynxspool.ConnectFailed, answer{}
		}
		// The dial may have taken long: look again whether the request may go out. It
		// guards against sending to a host that drains by now, or what has its answer.
		if x.over.Load() || !h.usable.Load() {
			p.put(c)
			return lynxspool.NotSent, answer{}
		}
		reused := c.reused
		result, a := p.exchange(ctx, c, x)
		if result == lynxspool.ConnectFailed && reused && ctx.Err() == nil {
			// It closed after the look and before the last byte: nothing ran, and
			// that tells nothing of the host. Each round uses up one idle connection.
			continue
		}
		return result, a
	}
}

// unsent is the result of an attempt that was given up before its last byte.
func unsent(ctx context.Context) lynxspool.Result {
	if errors.Is(ctx.Err(), context.Canceled) {
		return lynxspool.Canceled
	}
	return lynxspool.NotSent
}

// exchange writes the request to the connection and reads its answer. The last byte
// goes out by the one Write: what fails before that never ran, after it it may have.
func (p *Pool) exchange(ctx context.Context, c *conn, x *exchange) (lynxspool.Result, answer) {
	// Giving up an attempt is closing its connection.
	stop := context.AfterFunc(ctx, func() { c.Conn.Close() })
	keep := false
	defer func() {
		if stop() && keep {
			p.put(c)
		} else {
			p.drop(c)
		}
	}()
	out, err := x.encode()
	if err != nil {
		return lynxspool.NotSent, answer{}
	}
	if n, err := c.Write(out); n < len(out) || err != nil {
		switch {
		case n == len(out):
			return lynxspool.Reset, answer{}
		case ctx.Err() != nil:
			return unsent(ctx), answer{}
		}
		return lynxspool.ConnectFailed, answer{}
	}
	wrote := time.Now()
	status, a, keep, err := c.read(x.method)
	if err != nil && ctx.Err() != nil {
		p.unheard(c.host, wrote)
	}
	switch {
	case err == nil:
		p.mu.Lock()
		c.host.heard = time.Now()
		p.mu.Unlock()
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return lynxspool.TimedOut, answer{}
	case ctx.Err() != nil:
		return lynxspool.Canceled, answer{}
	case errors.Is(err, errBadAnswer):
		return lynxspool.Failed, answer{}
	default:
		return lynxspool.Reset, answer{}
	}
	switch {
	case status == http.StatusOK:
		return lynxspool.OK, a
	case (status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout) &&
		a.header.Get(headNotProcessed) == "1":
		return lynxspool.Full, answer{}
	}
	return lynxspool.Failed, answer{}
}

var errBadAnswer = errors.New("gateway: answer cannot be passed on")

// read reads one whole answer and says whether the connection can carry another
// request. An answer that is not sure to be whole is an error: it is not served.
func (c *conn) read(method string) (status int, a answer, keep bool, err error) {
	c.limit.N = maxHead + maxBody
	var resp *http.Response
	for {
		resp, err = http.ReadResponse(c.in, &http.Request{Method: method})
		if err != nil {
			return 0, a, false, err
		}
		if resp.StatusCode >= 200 {
			break // those below come ahead of the answer
		}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	switch {
	case c.limit.N <= 0 || len(body) > maxBody:
		return 0, a, false, errBadAnswer // too long
	case err != nil:
		return 0, a, false, err
	case resp.ContentLength < 0 && len(resp.TransferEncoding) == 0:
		return 0, a, false, io.ErrUnexpectedEOF // nothing tells a whole body from a cut one
	case c.in.Buffered() > 0:
		return 0, a, false, errBadAnswer // more than it announced
	}
	return resp.StatusCode, answer{kind: served, header: resp.Header, body: body}, !resp.Close, nil
}

// hopByHop are the headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// endToEnd returns the headers that are passed on.
func endToEnd(in http.Header) http.Header {
	out := in.Clone()
	for _, v := range in.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}

// encode is the request as it goes to a host, with the time left as of now.
func (x *exchange) encode() ([]byte, error) {
	header := endToEnd(x.header)
	left := max(0, time.Until(x.deadline))
	header.Set(headTimeout, strconv.FormatFloat(left.Seconds(), 'f', 3, 64))
	if header.Get("User-Agent") == "" {
		header.Set("User-Agent", "") // else Write puts in one of its own
	}
	r := &http.Request{
		Method: x.method, URL: target(x.uri, x.url), Host: x.host, Header: header,
		ContentLength: int64(len(x.body)), ProtoMajor: 1, ProtoMinor: 1,
	}
	if len(x.body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(x.body))
	}
	var buf bytes.Buffer
	err := r.Write(&buf)
	return buf.Bytes(), err
}

// target makes Request.Write put out the path and query just as they came. A path
// that starts with two slashes would be taken for a host's name if passed opaque.
func target(uri string, parsed *url.URL) *url.URL {
	if strings.HasPrefix(uri, "/") && !strings.HasPrefix(uri, "//") {
		return &url.URL{Opaque: uri}
	}
	return &url.URL{
		Path: parsed.Path, RawPath: parsed.RawPath,
		RawQuery: parsed.RawQuery, ForceQuery: parsed.ForceQuery,
	}
}
