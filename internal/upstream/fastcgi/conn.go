package fastcgi

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/body"
	"dunemoor/internal/engine"
	"dunemoor/internal/fastcgi"
)

// conn is a connection to a responder. One goroutine reads it from its start to its end, also
// while it is idle, so that its end is known at once.
type conn struct {
	net.Conn
	host *host
	age  int
	in   *fastcgi.Client

	// Transport.mu guards these.
	held    int  // requests it has, from before they are sent until they are done with
	used    bool // it has carried a request
	leaving bool // it takes no more
	gone    bool // it has been closed, and counts no more
	idleAt  time.Time

	wmu    sync.Mutex // held while records go out
	broken error      // of writing; wmu guards it

	mu    sync.Mutex
	calls map[uint16]*call
	err   error // why it has ended
}

// call is a request on a connection.
type call struct {
	id   uint16
	out  *body.Pipe // STDOUT
	lost bool       // nobody takes its output any more; conn.mu guards it
	end  fastcgi.EndRequestBody
	over chan struct{} // closed when END_REQUEST has come, or the connection has ended
	cut  error         // why there was no END_REQUEST; set before over is closed
	sent bool          // the last byte went out; conn.mu guards it
}

func newConn(h *host, nc net.Conn, age int) *conn {
	c := &conn{Conn: nc, host: h, age: age, calls: map[uint16]*call{}, idleAt: time.Now()}
	c.in = fastcgi.NewClient(c)
	return c
}

// room is how many requests the connection may carry at once; Transport.mu is held.
func (c *conn) room() int {
	if !c.host.can.Multiplexes || c.age != c.host.age {
		return 1
	}
	if n := c.host.can.MaxRequests; n > 0 {
		return min(n, reqsMost)
	}
	return reqsMost
}

// read takes in what the responder says, until the connection ends.
func (c *conn) read() {
	b := make([]byte, readSize)
	for {
		n, err := c.Conn.Read(b)
		if n > 0 {
			if bad := c.in.Feed(b[:n]); bad != nil {
				err = bad
			}
		}
		if err != nil {
			c.end(err)
			return
		}
	}
}

// end is the end of the connection: all its calls end with it.
func (c *conn) end(err error) {
	if err == io.EOF && !c.in.AtRecordBoundary() {
		err = io.ErrUnexpectedEOF
	}
	c.Conn.Close()
	t := c.host.t
	t.mu.Lock()
	c.leaving = true
	if !c.gone {
		c.gone = true
		t.open--
		c.host.conns = slices.DeleteFunc(c.host.conns, func(o *conn) bool { return o == c })
	}
	t.mu.Unlock()
	c.mu.Lock()
	c.err = err
	calls := c.calls
	c.calls = nil
	c.mu.Unlock()
	for _, k := range calls {
		k.cut = err
		k.out.CloseWrite(errCut)
		close(k.over)
	}
}

// errCut says that a connection has ended within an answer.
var errCut = errors.New("fastcgi: the responder has ended the connection")

// retire has the connection take no more requests, and closes it when it has none.
func (c *conn) retire() {
	t := c.host.t
	t.mu.Lock()
	c.leaving = true
	none := c.held == 0
	t.mu.Unlock()
	if none {
		c.Conn.Close() // read sees it, and ends
	}
}

// release gives up the place of a request that is done with.
func (c *conn) release() {
	t := c.host.t
	t.mu.Lock()
	c.held--
	c.idleAt = time.Now()
	done := c.held == 0 && (c.leaving || t.closed || c.age != c.host.age || !c.host.usable.Load())
	t.mu.Unlock()
	if done {
		c.Conn.Close()
	}
}

// Stdout passes on what a responder puts out. Where nobody takes it, it waits for a moment if
// others are on the connection, and then gives the request up: they must not be held up.
func (c *conn) Stdout(id uint16, part []byte) {
	c.mu.Lock()
	k, wait := c.calls[id], stallAlone
	if len(c.calls) > 1 {
		wait = stallTime
	}
	lost := k == nil || k.lost
	c.mu.Unlock()
	if lost {
		return
	}
	if k.out.Write(part, wait) == body.ErrPipeFull {
		k.out.CloseWrite(body.ErrPipeFull)
		c.abort(k)
	}
}

// Stderr is what a responder says for its operators; it has its own log.
func (c *conn) Stderr(uint16, []byte) {}

// EndRequest is the end of a request.
func (c *conn) EndRequest(id uint16, e fastcgi.EndRequestBody) {
	c.mu.Lock()
	k := c.calls[id]
	delete(c.calls, id)
	c.mu.Unlock()
	if k == nil {
		return
	}
	k.end = e
	k.out.CloseWrite(io.EOF)
	close(k.over)
}

// Values is for those who ask; nobody has.
func (c *conn) Values(fastcgi.Values) {}

// UnsolicitedRecord has a connection whose responder has lost track take no more requests.
func (c *conn) UnsolicitedRecord() { c.retire() }

// abort calls a request off. With others on the connection that is an ABORT_REQUEST, after which
// the responder has endTime to end it; else it is the end of the connection.
func (c *conn) abort(k *call) {
	c.mu.Lock()
	was := k.lost
	k.lost = true
	alone := len(c.calls) <= 1
	c.mu.Unlock()
	if was && !alone {
		return // it has been
	}
	if alone {
		c.Conn.Close()
		return
	}
	go func() {
		c.write(fastcgi.AppendStreamEnd(nil, fastcgi.AbortRequest, k.id), time.Second)
		select {
		case <-k.over:
		case <-time.After(endTime):
			c.retire()
			// Its id stays taken: what comes for it still belongs to nobody else.
		}
	}()
}

// write puts records out whole, and says how many bytes went. One that fails ends the connection,
// as its responder would take what follows for the rest of a record.
func (c *conn) write(b []byte, within time.Duration) (int, error) {
	c.wmu.Lock()
	defer c.wmu.Unlock()
	return c.put(b, within)
}

// begin is write for the first records of a request, which may have waited long for those of others:
// may is asked when their turn has come.
func (c *conn) begin(b []byte, within time.Duration, may func() bool) (int, error) {
	c.wmu.Lock()
	defer c.wmu.Unlock()
	if !may() {
		return 0, errMayNot
	}
	return c.put(b, within)
}

// errMayNot says that a request must not go out any more.
var errMayNot = errors.New("fastcgi: the request may not be written")

// put is write; wmu is held.
func (c *conn) put(b []byte, within time.Duration) (int, error) {
	if c.broken != nil {
		return 0, c.broken
	}
	c.SetWriteDeadline(time.Now().Add(within))
	n, err := c.Conn.Write(b)
	if err != nil {
		c.broken = err
		c.Conn.Close()
	}
	return n, err
}

// exchange sends a request and reads the head of its answer, with the part of the body that is
// held; what follows flows.
func (c *conn) exchange(ctx context.Context, x *engine.Request) engine.Result {
	k := &call{id: c.in.OpenRequest(), out: body.NewPipe(outputMost), over: make(chan struct{})}
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		c.release()
		return engine.Result{Outcome: balancer.ConnectFailed} // it has ended meanwhile
	}
	c.calls[k.id] = k
	c.mu.Unlock()
	out, params := c.host.t.encode(k.id, x)
	whole := x.Body.Buffered()
	if whole {
		out = fastcgi.AppendStreamEnd(out, fastcgi.Stdin, k.id)
	}
	// The dial may have taken long, or others that write: look again whether the request may go out.
	n, err := c.begin(out, pace(x).IdleTimeout, func() bool { return x.MayWrite() && c.host.usable.Load() && c.host.t.current(c) })
	if err == errMayNot {
		c.forget(k)
		return engine.Ended(balancer.NotSent)
	}
	if n == len(out) && whole {
		c.mu.Lock()
		k.sent = true
		c.mu.Unlock()
	}
	if err != nil {
		c.done(k, false)
		return c.unanswered(ctx, x, k, n >= params)
	}
	up := c.upload(k, x)
	head, status, header, err := k.head(ctx)
	if err != nil {
		up.stop()
		c.done(k, false)
		return c.failed(ctx, x, k, up, err)
	}
	a := engine.Response{Kind: engine.Served, Status: status, Header: header}
	length, err := fastcgi.ContentLength(header)
	if err != nil {
		up.stop()
		c.done(k, false)
		return engine.Ended(balancer.InvalidResponse)
	}
	s := &answer{c: c, k: k, up: up, length: length, meter: body.Meter{Pace: pace(x)}, header: header}
	if st := streams(x); st.HeadDeadlineOnly {
		s.meter.MinRate = 0
	} else if due, known := x.Due(); known {
		s.due = due
	}
	bodyless := x.Method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
	s.bodyless = bodyless
	held, ended, err := s.hold(ctx, head)
	switch {
	case err != nil:
		s.Close(false)
		return c.failed(ctx, x, k, up, err)
	case ended:
		s.Close(true)
		a.Body = body.NewBuffered(held)
	default:
		a.Body = body.NewStreamed(held, body.NewStream(s, length))
	}
	return engine.Result{HasResponse: true, Response: a}
}

// streams is how bodies flow on the request's route.
func streams(x *engine.Request) *engine.Streams {
	if x.Route == nil || x.Route.Streams == nil {
		return &engine.Streams{HeadDeadlineOnly: true, Pace: body.Pace{IdleTimeout: stallAlone}}
	}
	return x.Route.Streams
}

// forget gives up the place of a call of which nothing was written.
func (c *conn) forget(k *call) {
	c.mu.Lock()
	delete(c.calls, k.id)
	c.mu.Unlock()
	c.in.ForgetRequest(k.id)
	k.out.CloseRead()
	c.release()
}

// done gives up the place of a call. One that has not ended is called off.
func (c *conn) done(k *call, whole bool) {
	select {
	case <-k.over:
	default:
		if !whole {
			c.abort(k)
		}
	}
	k.out.CloseRead()
	c.release()
}

// wasSent says whether the last byte of a request went out.
func (c *conn) wasSent(k *call) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return k.sent
}

// unanswered is the result of an attempt whose last byte did not go out; told says that its
// parameters did, by which some programs begin.
func (c *conn) unanswered(ctx context.Context, x *engine.Request, k *call, told bool) engine.Result {
	if c.wasSent(k) {
		return engine.Ended(balancer.Reset)
	}
	if ctx.Err() != nil && (!told || !plain(x)) {
		return engine.Ended(unsent(ctx))
	}
	if ctx.Err() != nil {
		return engine.Ended(balancer.Canceled)
	}
	return engine.Result{Outcome: balancer.ConnectFailed, PartlySent: told}
}

// failed is the result of an attempt that brought no answer.
func (c *conn) failed(ctx context.Context, x *engine.Request, k *call, up *upload, err error) engine.Result {
	sent := c.wasSent(k)
	switch {
	case up.client:
		return engine.Ended(balancer.Canceled)
	case ctx.Err() != nil && !sent:
		return engine.Ended(balancer.Canceled)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return engine.Ended(balancer.TimedOut)
	case ctx.Err() != nil:
		return engine.Ended(balancer.Canceled)
	case errors.Is(err, fastcgi.ErrMalformedResponse):
		return engine.Ended(balancer.InvalidResponse)
	case err == io.EOF:
		return ended(k.end)
	case !sent:
		return engine.Result{Outcome: balancer.ConnectFailed, PartlySent: true}
	}
	return engine.Ended(balancer.Reset)
}

// ended is the result of a request that ended with nothing put out. By the specification (5.5)
// the three refusals reject a request that was not run; REQUEST_COMPLETE says that it was.
func ended(e fastcgi.EndRequestBody) engine.Result {
	switch e.ProtocolStatus {
	case fastcgi.Overloaded, fastcgi.CantMultiplex, fastcgi.UnknownRole:
		return engine.Ended(balancer.Full)
	}
	return engine.Ended(balancer.InvalidResponse)
}

// head reads the head of the answer; rest is what came behind it. io.EOF says that the request
// has ended with nothing put out.
func (k *call) head(ctx context.Context) (rest []byte, status int, header http.Header, err error) {
	stop := context.AfterFunc(ctx, k.out.CloseRead) // nobody waits
	defer stop()
	buf := make([]byte, 0, 2<<10)
	for {
		buf = slices.Grow(buf, 1)
		n, err := k.out.Read(buf[len(buf):cap(buf)], time.Hour) // the context has the time
		buf = buf[:len(buf)+n]
		if n > 0 {
			var at int
			if status, header, at, err = fastcgi.ParseResponseHeader(buf); err != nil || at > 0 {
				return buf[at:], status, header, err
			}
			continue
		}
		if ctx.Err() != nil {
			return nil, 0, nil, ctx.Err()
		}
		if err == io.EOF && len(buf) > 0 {
			err = fastcgi.ErrMalformedResponse // it has ended within its head
		}
		return nil, 0, nil, err
	}
}

// holdTime is how long an answer is held in the hope that all of it comes.
const holdTime = 25 * time.Millisecond

// answer is where the body of an answer flows from.
type answer struct {
	c        *conn
	k        *call
	up       *upload
	header   http.Header
	length   int64 // -1: not known
	read     int64
	bodyless bool
	meter    body.Meter
	due      time.Time

	once sync.Once
}

// hold reads what comes within holdTime, or all where the length says that it is short. ended says
// that it is the whole body.
func (s *answer) hold(ctx context.Context, first []byte) (held []byte, ended bool, err error) {
	stop := context.AfterFunc(ctx, s.k.out.CloseRead)
	defer stop()
	held = first
	s.read = int64(len(first))
	until := time.Now().Add(holdTime)
	for len(held) < outputMost {
		wait := time.Until(until)
		if s.bodyless || s.length >= 0 && s.length <= outputMost {
			wait = s.meter.Timeout() // it is short: all of it is waited for
		}
		held = slices.Grow(held, 512)
		n, err := s.k.out.Read(held[len(held):cap(held)], wait)
		held, s.read = held[:len(held)+n], s.read+int64(n)
		switch {
		case ctx.Err() != nil:
			return nil, false, ctx.Err()
		case err == io.EOF:
			if s.bodyless {
				return nil, true, nil
			}
			if s.length >= 0 && s.length != s.read {
				return nil, false, fastcgi.ErrMalformedResponse // the one length does not fit
			}
			return held, true, nil
		case errors.Is(err, os.ErrDeadlineExceeded) && wait < s.meter.Timeout():
			return held, false, nil // it goes on as it comes
		case err != nil:
			return nil, false, err
		}
	}
	return held, false, nil
}

// Read reads on, with the pace that the host must keep.
func (s *answer) Read(p []byte) (int, error) {
	wait := s.meter.Timeout()
	if !s.due.IsZero() {
		wait = min(wait, time.Until(s.due))
	}
	began := time.Now()
	n, err := s.k.out.Read(p, max(wait, time.Nanosecond))
	s.read += int64(n)
	if slow := s.meter.Record(n, time.Since(began)); slow != nil && err == nil {
		err = slow
	}
	if s.length >= 0 && (s.read > s.length || err == io.EOF && s.read < s.length) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// Trailer is none: CGI has no such thing.
func (s *answer) Trailer() http.Header { return nil }

// Close gives the connection back; a request that has not ended is called off.
func (s *answer) Close(whole bool) {
	s.once.Do(func() {
		s.up.stop()
		s.c.done(s.k, whole)
	})
}

// upload sends the part of a body that flows, while the answer is waited for.
type upload struct {
	x      *engine.Request
	done   chan struct{}
	client bool // it ended early by the client's doing
}

func (c *conn) upload(k *call, x *engine.Request) *upload {
	u := &upload{x: x, done: make(chan struct{})}
	if x.Body.Buffered() {
		close(u.done)
	} else {
		go u.run(c, k)
	}
	return u
}

// stop ends the upload, if it is still on.
func (u *upload) stop() {
	select {
	case <-u.done:
		return
	default:
	}
	u.x.Body.Stream().Close() // a read of the client's that waits ends
	<-u.done
}

func (u *upload) run(c *conn, k *call) {
	defer close(u.done)
	flow := u.x.Body.Stream()
	if flow.Consume() != nil {
		return
	}
	buf := c.host.t.o.BodyBudget.AcquireBuffer()
	if buf == nil {
		c.abort(k)
		return
	}
	defer c.host.t.o.BodyBudget.ReleaseBuffer(buf)
	b, idle := *buf, pace(u.x).IdleTimeout
	for {
		n, err := flow.Read(b[fastcgi.HeaderBytes:min(len(b), fastcgi.HeaderBytes+fastcgi.MaxUnpaddedBytes)])
		if n > 0 {
			fastcgi.AppendHeader(b[:0], fastcgi.Header{Type: fastcgi.Stdin, ID: k.id, ContentBytes: n})
			if _, werr := c.write(b[:fastcgi.HeaderBytes+n], idle); werr != nil {
				return // whoever reads sees the end of the connection
			}
		}
		switch {
		case err == io.EOF:
			if n, _ := c.write(fastcgi.AppendStreamEnd(b[:0], fastcgi.Stdin, k.id), idle); n == fastcgi.HeaderBytes {
				c.mu.Lock()
				k.sent = true
				c.mu.Unlock()
			}
			return
		case err != nil:
			// Half a body is none: the responder must not take it for whole.
			u.client = err != body.ErrConsumed
			c.abort(k)
			k.out.CloseWrite(err)
			return
		}
	}
}
