package gateway

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/textproto"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lynxspool"
)

const (
	maxBody    = 64 << 10 // of a request, and of an answer that needs no leave
	maxAnswer  = 1 << 20  // of an answer: some hold 400 KB, whatever the protocol says
	maxHead    = 16 << 10 // of an answer: many times what a host has to say there
	idleShare  = 0.5      // of the hosts' idle limit that we keep a connection: its end must not cross a request
	sweepEvery = time.Second
	// connectTime is for a connection to come up. In the same hall that takes a fraction
	// of a millisecond, unless the machine is gone; the proof that nothing ran must come
	// while there is time for another attempt, and before half of the request's is over.
	connectTime = 100 * time.Millisecond
	// unheardLeast is how long a host must have answered nothing for its idle connections
	// to be closed: several times what most answers take.
	unheardLeast = 250 * time.Millisecond
	// largeShare is the part of the memory limit that answers beyond maxBody may fill, all
	// together, until their clients have them.
	largeShare = 1.0 / 4
	// answerTime is for an answer to come whole once it has begun. Hosts write theirs at
	// once; a lost segment is sent again after some 200 ms.
	answerTime = 250 * time.Millisecond

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

	unheardLeast time.Duration

	large    atomic.Int64 // bytes of answers beyond maxBody that are held
	largeMax int64

	mu   sync.Mutex
	open int               // connections, in use, idle and being dialled
	idle map[*host][]*conn // the one idle longest first
}

// host is where attempts go. The loop creates it and updates it through the Pool;
// Pool.mu guards addr, started and heard.
type host struct {
	id      string
	zone    string // zone and kind are the loop's
	kind    string
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
	text    *textproto.Reader // reads heads from in
	idleAt  time.Time
}

// NewPool returns a Pool that keeps to the limits of cfg.
func NewPool(cfg *Config) *Pool {
	return &Pool{
		dialer:  net.Dialer{Timeout: min(cfg.DialTimeout, connectTime)},
		maxIdle: time.Duration(idleShare * float64(cfg.ConnIdle)),
		budget:  cfg.Sockets * hostSockets / 100,

		unheardLeast: unheardLeast,

		largeMax: int64(largeShare * float64(cfg.memory())),
		idle:     map[*host][]*conn{},
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

// unheard follows an attempt that was given up after unheardLeast or more. If the host
// has answered nothing since, its idle connections may be half-dead: a machine that has vanished leaves
// them open and silent, and what is written there may have run for all we know. A dial
// fails soon, which proves that nothing ran.
func (p *Pool) unheard(h *host, wrote time.Time) {
	if time.Since(wrote) < p.unheardLeast {
		return // a client has left: that tells nothing of the host
	}
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

// get returns the connection to a host that has been idle longest, or dials one. It
// guards against hosts that end a connection some milliseconds behind an answer: what is
// written meanwhile fails, and may have run. By its turn the end of such a one has come.
// The dial is counted before it is made, so that the budget holds.
func (p *Pool) get(ctx context.Context, h *host) (*conn, error) {
	p.mu.Lock()
	for list := p.idle[h]; len(list) > 0; list = p.idle[h] {
		c := list[0]
		list[0] = nil
		if p.idle[h] = list[1:]; len(list) == 1 {
			delete(p.idle, h)
		}
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
	c.text = textproto.NewReader(c.in)
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
	out := x.encode()
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
	status, a, keep, err := c.read(p)
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
	case errors.Is(err, errSpoilt):
		return lynxspool.Spoilt, answer{}
	default:
		return lynxspool.Reset, answer{}
	}
	if status == http.StatusOK {
		return lynxspool.OK, a
	}
	p.release(a)
	switch {
	case (status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout) &&
		a.header.Get(headNotProcessed) == "1":
		return lynxspool.Full, answer{}
	}
	return lynxspool.Failed, answer{}
}

var errSpoilt = errors.New("gateway: the answer is spoilt")

// read reads one whole answer and says whether the connection can carry another
// request. What comes but is no answer that is sure to be whole is errSpoilt, at once
// where it can be told: it guards clients against being served with what no host made.
func (c *conn) read(p *Pool) (status int, a answer, keep bool, err error) {
	began := false
	defer func() {
		// Where the connection ends within an answer the host has gone; where it stays
		// open and no answer comes of what it brings, that is all there will be.
		if err != nil {
			p.release(a)
		}
		if began && (c.limit.N <= 0 || errors.Is(err, os.ErrDeadlineExceeded)) {
			err = errSpoilt
		}
	}()
	var proto string
	var header http.Header
	for {
		c.limit.N = maxHead
		first, err := c.in.Peek(1)
		if err != nil {
			return 0, a, false, err
		}
		began = true
		c.SetReadDeadline(time.Now().Add(answerTime))
		// Noise may lack a line's end: it need not be waited for.
		first, _ = c.in.Peek(min(c.in.Buffered(), len(protoPrefix)))
		if !strings.HasPrefix(protoPrefix, string(first)) {
			return 0, a, false, errSpoilt
		}
		if proto, status, header, err = c.readHead(); err != nil {
			return 0, a, false, err
		}
		c.SetReadDeadline(time.Time{})
		if status >= 200 {
			break
		}
		began = false // those below come ahead of the answer, which may take its time
	}
	c.SetReadDeadline(time.Now().Add(answerTime))
	c.limit.N = maxAnswer + maxHead
	if a.held, err = p.hold(header); err != nil {
		return 0, a, false, err
	}
	if a.body, err = c.readBody(status, header); err != nil {
		return 0, a, false, err
	}
	c.SetReadDeadline(time.Time{})
	// What comes behind a whole answer is not part of it: traced, it was a second copy
	// or noise where the one length fitted, and lengths that did not fit were
	// contradictory, beyond all bounds or broken chunks. The connection is of no use then.
	keep = c.in.Buffered() == 0 && proto == "HTTP/1.1" && !strings.Contains(strings.ToLower(header.Get("Connection")), "close")
	a.kind, a.header = served, header
	return status, a, keep, nil
}

// hold takes leave for an answer that announces more than maxBody. It guards the memory
// limit; release gives back what was held.
func (p *Pool) hold(header http.Header) (int64, error) {
	length := header.Get("Content-Length")
	n, err := strconv.ParseUint(length, 10, 63)
	switch {
	case length == "" || err == nil && n <= maxBody:
		return 0, nil
	case err != nil || n > maxAnswer:
		return 0, errSpoilt
	case p.large.Add(int64(n)) > p.largeMax:
		p.large.Add(-int64(n))
		return 0, errSpoilt // for want of room it is of no use to us
	}
	return int64(n), nil
}

// release is told of each answer that is not needed any more.
func (p *Pool) release(a answer) { p.large.Add(-a.held) }

const protoPrefix = "HTTP/1."

// readHead reads a status line and the headers. net/http's own reader would not do: it
// drops a length that stands beside an encoding.
func (c *conn) readHead() (proto string, status int, header http.Header, err error) {
	line, err := c.text.ReadLine()
	if err != nil {
		return "", 0, nil, err
	}
	proto, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err = strconv.Atoi(code)
	if err != nil || len(code) != 3 || status < 100 || status == http.StatusSwitchingProtocols ||
		proto != "HTTP/1.1" && proto != "HTTP/1.0" {
		return "", 0, nil, errSpoilt
	}
	fields, err := c.text.ReadMIMEHeader()
	var malformed textproto.ProtocolError
	if errors.As(err, &malformed) {
		err = errSpoilt
	}
	return proto, status, http.Header(fields), err
}

// readBody reads the body as the headers frame it; two that disagree frame nothing.
func (c *conn) readBody(status int, header http.Header) ([]byte, error) {
	lengths, encodings := header["Content-Length"], header["Transfer-Encoding"]
	switch {
	case len(lengths)+len(encodings) > 1:
		return nil, errSpoilt
	case len(lengths) == 1:
		n, err := strconv.ParseUint(lengths[0], 10, 63)
		if err != nil {
			return nil, errSpoilt
		}
		body := make([]byte, n)
		_, err = io.ReadFull(c.in, body)
		return body, err
	case len(encodings) == 1 && strings.EqualFold(encodings[0], "chunked"):
		body, err := io.ReadAll(io.LimitReader(httputil.NewChunkedReader(c.in), maxBody+1))
		var broken net.Error
		switch {
		case len(body) > maxBody:
			return nil, errSpoilt
		case err == io.ErrUnexpectedEOF || errors.As(err, &broken):
			return nil, err
		case err != nil:
			return nil, errSpoilt // a chunk that is none
		}
		if end, err := c.text.ReadLine(); err != nil || end != "" {
			return nil, cmp.Or(err, errSpoilt)
		}
		return body, nil
	case status == http.StatusNoContent || status == http.StatusNotModified:
		return nil, nil
	}
	return nil, errSpoilt // nothing would tell a whole body from a cut one
}

// hopByHop are the headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// endToEnd takes out the headers that are not passed on.
func endToEnd(h http.Header) http.Header {
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
	return h
}

// encode is the request as it goes to a host, with the time left as of now. The path
// and query are put out just as they came.
func (x *exchange) encode() []byte {
	uri := x.uri
	if !strings.HasPrefix(uri, "/") {
		uri = x.url.RequestURI() // it came with a host's name
	}
	left := max(0, time.Until(x.deadline))
	var buf bytes.Buffer
	buf.Grow(encodedHead + len(x.body))
	for _, s := range []string{x.method, " ", uri, " HTTP/1.1\r\nHost: ", x.host, "\r\n"} {
		buf.WriteString(s)
	}
	x.header.Write(&buf) // to a Buffer, which takes all
	b := buf.AvailableBuffer()
	b = append(b, headTimeout+": "...)
	b = strconv.AppendFloat(b, left.Seconds(), 'f', 3, 64)
	if len(x.body) > 0 || x.method != http.MethodGet {
		b = append(b, "\r\nContent-Length: "...)
		b = strconv.AppendInt(b, int64(len(x.body)), 10)
	}
	b = append(b, "\r\n\r\n"...)
	buf.Write(b)
	buf.Write(x.body)
	return buf.Bytes()
}

// encodedHead is room for the head of most requests.
const encodedHead = 512
