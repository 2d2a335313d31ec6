// Package http1 makes attempts at hosts by HTTP/1.1, and keeps the connections to them.
package http1

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/body"
	"dunemoor/internal/engine"
)

const (
	maxBody    = 64 << 10 // of a request, and of an answer that needs no leave
	maxAnswer  = 64 << 20 // of an answer in our protocol: twice what hosts say; beyond it is noise
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
	// answerGap is how long a host that speaks our protocol may say nothing within the part of
	// an answer that is held. Most write theirs at once, some in pieces; a lost segment is sent
	// again after some 200 ms.
	answerGap = 250 * time.Millisecond

	// strayRest is how long a connection rests behind an answer before it carries another request,
	// for strayMemory after a host has said something unasked: a second answer comes some
	// milliseconds behind the first, and would be taken for the next. With none about nothing rests.
	strayRest   = 10 * time.Millisecond
	strayMemory = time.Minute
)

// headTimeout tells a host how long we wait, in seconds, as net/http spells it.
const headTimeout = "X-Timeout"

// Options are what a Transport is told. The zero value of each but Sockets and Memory stands
// for its default.
type Options struct {
	MaxConns        int           // connections at most, all hosts together
	MaxLargeBytes   int64         // bytes that answers beyond maxBody may hold, all together
	HostIdleTimeout time.Duration // a host closes a connection that was idle this long
	DialTimeout     time.Duration // a connection that is not up by then has failed
	BodyBudget      *body.Budget  // of the buffers of what flows; nil: one of its own
}

// defaultMemory is what the buffers of a Transport without a Budget are a share of.
const defaultMemory = 64 << 20

// DefaultConnIdle is shorter than what common servers keep an idle connection for.
const DefaultConnIdle = time.Minute

// Transport makes the attempts and keeps the connections to all hosts of a pool. http.Transport
// would not do: it sends requests again by itself and dials more connections than
// it is asked for. Here an attempt writes its request whole once at most.
type Transport struct {
	dialer  net.Dialer
	maxIdle time.Duration
	budget  int

	unheardLeast time.Duration
	strayRest    time.Duration

	bodies *body.Budget

	large    atomic.Int64 // bytes of answers beyond maxBody that are held
	largeMax atomic.Int64

	mu     sync.Mutex
	open   int               // connections, in use, idle and being dialled
	idle   map[*host][]*conn // the one idle longest first
	closed bool              // Run has ended: nothing is kept
	stray  time.Time         // when a host last said something unasked
}

// host is where attempts go. Transport.mu guards addr, started and heard.
type host struct {
	t       *Transport
	usable  atomic.Bool // it takes new requests: not so when draining or gone
	addr    string
	started int64     // no connection outlives the process it was made to
	heard   time.Time // last whole answer
}

// Host makes an Endpoint; it can be used once Update has named an address.
func (p *Transport) Host(string) engine.Endpoint { return &host{t: p} }

// Update takes over what the list says of a host.
func (h *host) Update(addr string, started int64, usable bool) { h.t.update(h, addr, started, usable) }

// CloseIdle closes the idle connections to the host.
func (h *host) CloseIdle() { h.t.closeIdle(h) }

// Attempt sends a request once at most.
func (h *host) Attempt(ctx context.Context, x *engine.Request) engine.Result {
	return h.t.attempt(ctx, h, x)
}

// conn is a connection to a host. It belongs to one attempt or, while idle, to the
// Transport.
type conn struct {
	net.Conn
	host    *host
	addr    string
	started int64
	reused  bool
	gap     time.Duration     // that a read may take; 0: any
	broken  error             // why nothing can be read any more, once a read has said so
	limit   *io.LimitedReader // guards against an answer without end
	in      *bufio.Reader
	proto   string            // of the answer read last
	text    *textproto.Reader // reads heads from in
	idleAt  time.Time
}

// Read reads from the connection, within the gap if one is set. The kernel tells of a reset once,
// and says end of file to the reads behind it; buffers drop an error that a look ahead has met. So
// it is kept: where the end of the connection is the end of the answer, a reset must not pass for it.
func (c *conn) Read(b []byte) (int, error) {
	if c.broken != nil {
		return 0, c.broken
	}
	if c.gap > 0 {
		c.SetReadDeadline(time.Now().Add(c.gap))
	}
	n, err := c.Conn.Read(b)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.broken = err
	}
	return n, err
}

// within sets the gap of the reads that follow; 0: they may take any time.
func (c *conn) within(gap time.Duration) {
	if c.gap > 0 && gap == 0 {
		c.SetReadDeadline(time.Time{})
	}
	c.gap = gap
}

// NewTransport returns a Transport.
func NewTransport(o Options) *Transport {
	if o.BodyBudget == nil {
		o.BodyBudget = body.NewBudget(defaultMemory)
	}
	p := &Transport{
		bodies:  o.BodyBudget,
		dialer:  net.Dialer{Timeout: min(cmp.Or(o.DialTimeout, connectTime), connectTime)},
		maxIdle: time.Duration(idleShare * float64(cmp.Or(o.HostIdleTimeout, DefaultConnIdle))),
		budget:  o.MaxConns,

		unheardLeast: unheardLeast,
		strayRest:    strayRest,

		idle: map[*host][]*conn{},
	}
	p.largeMax.Store(o.MaxLargeBytes)
	return p
}

// SetLimits sets how many connections may be open, and the bytes that large answers may hold.
func (p *Transport) SetLimits(sockets int, memory int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget = sockets
	p.largeMax.Store(memory)
}

// Run closes idle connections that hosts have closed or soon will, until ctx ends; then all
// of them.
func (p *Transport) Run(ctx context.Context) {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			p.end()
			return
		case <-tick.C:
			p.sweep()
		}
	}
}

func (p *Transport) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for h, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if time.Since(c.idleAt) < p.maxIdle && p.quiet(c) {
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

// end closes what is idle, and has what is still in use closed behind its attempt.
func (p *Transport) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for h, list := range p.idle {
		for _, c := range list {
			p.close(c)
		}
		delete(p.idle, h)
	}
}

// update takes over what the list says of a host. Idle connections to one that
// takes nothing new, that has moved or that was started anew are of no more use.
func (p *Transport) update(h *host, addr string, started int64, usable bool) {
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
func (p *Transport) unheard(h *host, wrote time.Time) {
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
func (p *Transport) closeIdle(h *host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[h] {
		p.close(c)
	}
	delete(p.idle, h)
}

// close closes a connection; p.mu is held.
func (p *Transport) close(c *conn) {
	c.Conn.Close()
	p.open--
}

// drop closes a connection that an attempt is done with.
func (p *Transport) drop(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.close(c)
}

// current says whether a connection leads to its host as the list has it now.
func (p *Transport) current(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.fits()
}

// fits is current; p.mu is held.
func (c *conn) fits() bool {
	return c.host.usable.Load() && c.addr == c.host.addr && c.started == c.host.started
}

// put keeps a connection for the next attempt.
func (p *Transport) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := c.host
	if p.closed || !c.fits() {
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
func (p *Transport) get(ctx context.Context, h *host) (*conn, error) {
	p.mu.Lock()
	for list := p.idle[h]; len(list) > 0; list = p.idle[h] {
		c := list[0]
		list[0] = nil
		if p.idle[h] = list[1:]; len(list) == 1 {
			delete(p.idle, h)
		}
		if !p.quiet(c) {
			p.close(c)
			continue
		}
		rest := time.Duration(0)
		if !p.stray.IsZero() && time.Since(p.stray) < strayMemory {
			rest = p.strayRest - time.Since(c.idleAt)
		}
		if rest <= 0 {
			p.mu.Unlock()
			return c, nil
		}
		p.mu.Unlock()
		over := time.NewTimer(rest)
		select {
		case <-over.C:
		case <-ctx.Done(): // it is given back
			over.Stop()
			return c, nil
		}
		p.mu.Lock()
		if p.quiet(c) {
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
	c.limit = &io.LimitedReader{R: c, N: maxHead}
	c.in = bufio.NewReader(c.limit)
	c.text = textproto.NewReader(c.in)
	return c, nil
}

// closeColdest makes room by closing the connection that was idle longest; p.mu is
// held.
func (p *Transport) closeColdest() bool {
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
// host has closed, or on which it said something unasked, carries no request. p.mu is held.
func (p *Transport) quiet(c *conn) bool {
	open, says := c.look()
	if says {
		p.stray = time.Now()
	}
	return open && !says
}

// look says whether a connection is open, and whether there is something to read.
func (c *conn) look() (open, says bool) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false, false
	}
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open, says = err == syscall.EAGAIN || n > 0, n > 0
		return true
	})
	return err == nil && open, says
}

// attempt sends a request to a host once and says how that ended. ctx ends when the
// attempt is to be given up, by its deadline or by being called off.
func (p *Transport) attempt(ctx context.Context, h *host, x *engine.Request) engine.Result {
	for {
		c, err := p.get(ctx, h)
		switch {
		case ctx.Err() != nil:
			if err == nil {
				p.put(c) // nothing was written to it
			}
			return engine.Ended(unsent(ctx))
		case err == errNoSockets || errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE):
			return engine.Ended(balancer.NotSent) // the want is ours, not the host's
		case err != nil:
			return engine.Ended(balancer.ConnectFailed)
		}
		// The dial may have taken long: look again whether the request may go out. It
		// guards against sending to a host that drains by now, has moved or was started anew,
		// what has its answer, or a repeat that hosts would not know for one any more.
		if !x.MayWrite() || !p.current(c) {
			p.put(c)
			return engine.Ended(balancer.NotSent)
		}
		reused := c.reused
		r := p.exchange(ctx, c, x)
		if !r.HasResponse && r.Outcome == balancer.ConnectFailed && reused && ctx.Err() == nil && !(plain(x) && r.PartlySent) && !begun(x) {
			// It closed after the look and before the last byte: nothing ran, and
			// that tells nothing of the host. Each round uses up one idle connection.
			continue
		}
		return r
	}
}

// unsent is the result of an attempt that was given up before its last byte.
func unsent(ctx context.Context) balancer.Result {
	if errors.Is(ctx.Err(), context.Canceled) {
		return balancer.Canceled
	}
	return balancer.NotSent
}

var errMalformed = errors.New("gateway: the response is malformed")

// bodyless says whether an answer has no body, whatever its headers say (RFC 9112, 6.3).
func bodyless(method string, status int) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}

// take takes leave to hold n bytes of answers beyond maxBody. It guards the memory limit.
func (p *Transport) take(n int64) bool {
	if p.large.Add(n) > p.largeMax.Load() {
		p.large.Add(-n)
		return false
	}
	return true
}

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
	if err != nil || len(code) != 3 || status < 100 ||
		proto != "HTTP/1.1" && proto != "HTTP/1.0" {
		return "", 0, nil, errMalformed
	}
	fields, err := c.text.ReadMIMEHeader()
	var malformed textproto.ProtocolError
	if errors.As(err, &malformed) {
		err = errMalformed
	}
	return proto, status, http.Header(fields), err
}

// encodeHead is the head of a request with the time left as of now, and the size of its first
// chunk where it goes in chunks. There is room for so many bytes more.
func encodeHead(x *engine.Request, room int) []byte {
	held := x.Body.Bytes()
	var buf bytes.Buffer
	buf.Grow(encodedHead + room)
	for _, s := range []string{x.Method, " ", x.Target, " HTTP/1.1\r\nHost: ", x.Host, "\r\n"} {
		buf.WriteString(s)
	}
	x.Header.Write(&buf) // to a Buffer, which takes all
	b := buf.AvailableBuffer()
	b = append(b, headTimeout+": "...)
	b = strconv.AppendFloat(b, x.Left().Seconds(), 'f', 3, 64)
	n := x.Body.Len()
	switch {
	case n < 0:
		b = append(b, "\r\nTransfer-Encoding: chunked"...)
	case n > 0 || !bare(x.Method):
		b = append(b, "\r\nContent-Length: "...)
		b = strconv.AppendInt(b, n, 10)
	}
	if expects(x) {
		b = append(b, "\r\nExpect: 100-continue"...)
	}
	if x.Upgrade != "" {
		b = append(b, "\r\nConnection: Upgrade\r\nUpgrade: "...)
		b = append(b, x.Upgrade...)
	}
	b = append(b, "\r\n\r\n"...)
	if n < 0 && len(held) > 0 {
		b = strconv.AppendInt(b, int64(len(held)), 16)
		b = append(b, "\r\n"...)
	}
	buf.Write(b)
	return buf.Bytes()
}

// bare says whether a request of the method has no length where it has no body (RFC 9110, 8.6).
func bare(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodDelete, http.MethodTrace:
		return true
	}
	return false
}

// encodedHead is room for the head of most requests.
const encodedHead = 512
