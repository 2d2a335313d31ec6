package http1

import (
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
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/body"
	"dunemoor/internal/engine"
)

const (
	// headTime is for the head of an answer to come whole once it has begun, on plain routes.
	headTime = 5 * time.Second
	// expectTime is how long a host is waited for to ask for a body that it was told to
	// expect: some servers never do (RFC 9110, 10.1.1 has the client not wait for ever).
	expectTime = time.Second
	// chunkRoom is left in a buffer ahead of what is read, for the size of the chunk.
	chunkRoom = 8
)

// plain says whether the route's hosts speak plain HTTP, and not our protocol.
func plain(x *engine.Request) bool { return x.Route != nil && x.Route.Plain != nil }

// begun says whether some of what flows has been let go: it can't be sent again.
func begun(x *engine.Request) bool { return !x.Body.Buffered() && x.Body.Stream().Consumed() }

// streams is how bodies flow on the request's route.
func streams(x *engine.Request) *engine.Streams {
	if x.Route == nil || x.Route.Streams == nil {
		return &heldWhole
	}
	return x.Route.Streams
}

// heldWhole is for routes that say nothing of how bodies flow: answers do, at any pace.
var heldWhole = engine.Streams{HeadDeadlineOnly: true, Pace: body.Pace{IdleTimeout: headTime}}

// expects says whether the host is to be asked before the body is sent: where nothing of it
// has been asked of the client yet.
func expects(x *engine.Request) bool {
	return !x.Body.Buffered() && len(x.Body.Bytes()) == 0
}

// upload sends the part of a request's body that flows, while the answer is waited for.
type upload struct {
	t       *Transport
	c       *conn
	x       *engine.Request
	proceed chan struct{} // the host wants it
	quit    chan struct{}
	once    sync.Once
	done    chan struct{} // closed when nothing more is sent

	err    error // why it ended early
	client bool  // ... by the client's doing
}

func (p *Transport) newUpload(c *conn, x *engine.Request) *upload {
	u := &upload{t: p, c: c, x: x, proceed: make(chan struct{}, 1), quit: make(chan struct{}), done: make(chan struct{})}
	if x.Body.Buffered() {
		close(u.done)
	} else {
		go u.run()
	}
	return u
}

// stop ends the upload, if it is still on, and says whether all had been sent.
func (u *upload) stop() bool {
	select {
	case <-u.done:
		return u.err == nil
	default:
	}
	u.once.Do(func() {
		close(u.quit)
		u.x.Body.Stream().Close() // a read of the client's that waits ends
		u.c.Conn.Close()          // and so does a write to the host
	})
	<-u.done
	return false
}

func (u *upload) run() {
	defer close(u.done)
	if expects(u.x) {
		select {
		case <-u.proceed:
		case <-time.After(expectTime):
		case <-u.quit:
			u.err = body.ErrConsumed
			return
		}
	}
	flow := u.x.Body.Stream()
	if u.err = flow.Consume(); u.err != nil {
		return
	}
	buf := u.t.bodies.AcquireBuffer()
	if buf == nil {
		u.err = errNoMemory
		u.c.Conn.Close()
		return
	}
	defer u.t.bodies.ReleaseBuffer(buf)
	chunked := u.x.Body.Len() < 0
	meter, alarm := body.Meter{Pace: streams(u.x).Pace}, body.LazyDeadline{SetDeadline: u.c.SetWriteDeadline}
	b := *buf
	for {
		n, err := flow.Read(b[chunkRoom : len(b)-2])
		if n > 0 {
			out := b[chunkRoom : chunkRoom+n]
			if chunked {
				size := strconv.AppendInt(nil, int64(n), 16)
				at := chunkRoom - 2 - len(size)
				copy(b[at:], size)
				b[chunkRoom-2], b[chunkRoom-1] = '\r', '\n'
				b[chunkRoom+n], b[chunkRoom+n+1] = '\r', '\n'
				out = b[at : chunkRoom+n+2]
			}
			began := time.Now()
			alarm.Reset(began, meter.Timeout())
			if _, u.err = u.c.Write(out); u.err == nil {
				u.err = meter.Record(n, time.Since(began))
			}
			if u.err == body.ErrTooSlow || errors.Is(u.err, os.ErrDeadlineExceeded) {
				u.c.Conn.Close() // nobody would end the wait for an answer
			}
			if u.err != nil {
				return // the host may have said why
			}
		}
		switch {
		case err == io.EOF:
			if chunked {
				u.c.SetWriteDeadline(time.Now().Add(meter.Timeout()))
				_, u.err = u.c.Write(lastChunk(flow.Trailer()))
			}
			return
		case err != nil:
			// Half a body is none: the host must not take it for whole.
			u.err, u.client = err, err != body.ErrConsumed // that is our own doing
			u.c.Conn.Close()
			return
		}
	}
}

// lastChunk is the end of a chunked body, with its trailer.
func lastChunk(trailer http.Header) []byte {
	var b strings.Builder
	b.WriteString("0\r\n")
	trailer.Write(&b) // to a Builder, which takes all
	b.WriteString("\r\n")
	return []byte(b.String())
}

var errNoMemory = errors.New("http1: no memory for what flows")

// exchange writes a request to a connection and reads the head of its answer, with the part of
// the body that is held; what follows flows. By our protocol a request never ran whose last byte
// did not go out; by plain HTTP nothing proves that once a byte of it is out.
func (p *Transport) exchange(ctx context.Context, c *conn, x *engine.Request) engine.Result {
	// Giving up an attempt is closing its connection.
	stop := context.AfterFunc(ctx, func() { c.Conn.Close() })
	held, tail, strict := x.Body.Bytes(), []byte(nil), !plain(x)
	if x.Body.Len() < 0 && len(held) > 0 {
		tail = crlf // of the chunk that is held
	}
	head := encodeHead(x, joinMost)
	all := len(head) + len(held) + len(tail)
	until := x.WriteBy
	if !strict || !x.Body.Buffered() {
		if idle := time.Now().Add(streams(x).Pace.IdleTimeout); until.IsZero() || idle.Before(until) {
			until = idle
		}
	}
	if !until.IsZero() {
		c.SetWriteDeadline(until)
	}
	if n, err := c.writeAll(head, held, tail); n < all || err != nil {
		stop()
		p.drop(c)
		switch {
		case n == all && (x.Body.Buffered() || !strict):
			return engine.Ended(balancer.Reset)
		case ctx.Err() != nil && (n == 0 || strict):
			return engine.Ended(unsent(ctx))
		case ctx.Err() != nil:
			return engine.Ended(balancer.Canceled)
		}
		return engine.Result{Outcome: balancer.ConnectFailed, PartlySent: n > 0}
	}
	wrote := time.Now()
	up := p.newUpload(c, x)
	a, rest, err := c.readAnswer(p, x, up)
	if err == nil && !stop() {
		err = ctx.Err() // it was given up just now
	}
	if err != nil {
		stop()
		whole := up.stop() // the last byte went out
		p.drop(c)
		a.FreeHeld()
		if ctx.Err() != nil && whole {
			p.unheard(c.host, wrote)
		}
		switch {
		case up.client || ctx.Err() != nil && !whole:
			return engine.Ended(balancer.Canceled)
		case !whole && strict:
			return engine.Result{Outcome: balancer.ConnectFailed, PartlySent: true}
		case errors.Is(ctx.Err(), context.DeadlineExceeded):
			return engine.Ended(balancer.TimedOut)
		case ctx.Err() != nil:
			return engine.Ended(balancer.Canceled)
		case errors.Is(err, errMalformed):
			return engine.Ended(balancer.InvalidResponse)
		}
		return engine.Ended(balancer.Reset)
	}
	p.mu.Lock()
	c.host.heard = time.Now()
	p.mu.Unlock()
	switch {
	case a.Status == http.StatusSwitchingProtocols:
		c.limit.N = noLimit
		c.SetReadDeadline(time.Time{})
		c.SetWriteDeadline(time.Time{})
		a.Tunnel = &tunnel{conn: c, t: p}
	case rest != nil:
		a.Body = body.NewStreamed(rest.held, body.NewStream(rest, rest.length))
	default:
		c.settle(p, up, keeps(a.Header, c))
	}
	return engine.Result{HasResponse: true, Response: a}
}

// joinMost is up to which size the held part of a body is copied behind the head: beyond, one
// system call for both costs less.
const joinMost = 2 << 10

var crlf = []byte("\r\n")

// writeAll writes the parts of a request by one call.
func (c *conn) writeAll(head, held, tail []byte) (int, error) {
	if len(held) <= joinMost {
		return c.Write(append(append(head, held...), tail...))
	}
	parts := net.Buffers{head, held, tail}
	n, err := parts.WriteTo(c.Conn)
	return int(n), err
}

// noLimit is for what may go on for ever.
const noLimit = 1<<63 - 1

// keeps says whether the connection can carry another request behind this answer.
func keeps(h http.Header, c *conn) bool {
	if c.in.Buffered() > 0 {
		t := c.host.t
		t.mu.Lock()
		t.stray = time.Now()
		t.mu.Unlock()
		return false
	}
	return c.proto == "HTTP/1.1" && !closes(h)
}

// settle gives a connection back behind a whole answer. An upload that is still on ends: the
// host has said all that it will.
func (c *conn) settle(t *Transport, up *upload, keep bool) {
	if up.stop() && keep {
		c.SetReadDeadline(time.Time{})
		c.SetWriteDeadline(time.Time{})
		t.put(c)
	} else {
		t.drop(c)
	}
}

// readAnswer reads the head of the final answer, and its body where that is short; else rest
// is where the body flows from. What comes but is no answer that is sure to be whole is errMalformed,
// at once where it can be told: it guards clients against being served with what no host made.
func (c *conn) readAnswer(t *Transport, x *engine.Request, up *upload) (a engine.Response, rest *answerSource, err error) {
	began := false
	defer func() {
		c.within(0)
		// Where the connection ends within an answer the host has gone; where it stays open
		// and no answer comes of what it brings, that is all there will be.
		if began && err != nil && (c.limit.N <= 0 || errors.Is(err, os.ErrDeadlineExceeded)) {
			err = errMalformed
		}
	}()
	for {
		c.limit.N = maxHead
		if _, err := c.in.Peek(1); err != nil {
			return a, nil, err
		}
		began = true
		if plain(x) {
			c.SetReadDeadline(time.Now().Add(headTime))
		} else {
			c.within(answerGap)
		}
		// Noise may lack a line's end: it need not be waited for.
		first, _ := c.in.Peek(min(c.in.Buffered(), len(protoPrefix)))
		if !strings.HasPrefix(protoPrefix, string(first)) {
			return a, nil, errMalformed
		}
		if c.proto, a.Status, a.Header, err = c.readHead(); err != nil {
			return a, nil, err
		}
		if plain(x) {
			c.SetReadDeadline(time.Time{})
		}
		switch {
		case a.Status == http.StatusContinue:
			select {
			case up.proceed <- struct{}{}:
			default: // said before
			}
		case a.Status == http.StatusSwitchingProtocols:
			if x.Upgrade == "" || !x.Body.Buffered() {
				return a, nil, errMalformed // nobody has asked for that
			}
			a.Kind = engine.Served
			return a, nil, nil
		case a.Status >= 200:
			a.Kind = engine.Served
			rest, err = c.frame(t, x, up, &a)
			return a, rest, err
		case x.Inform != nil:
			x.Inform(a.Status, a.Header)
		}
		began = false // those come ahead of the answer, which may take its time
		c.within(0)
	}
}

// frame finds how the body of an answer ends (RFC 9112, 6.3), and reads the part that is held.
// Two ways that disagree are none: what is passed on so would be read otherwise by the next in
// the chain.
func (c *conn) frame(t *Transport, x *engine.Request, up *upload, a *engine.Response) (*answerSource, error) {
	c.limit.N = noLimit
	if bodyless(x.Method, a.Status) {
		return nil, nil
	}
	flow, strict := streams(x), !plain(x)
	lengths, encodings := a.Header["Content-Length"], a.Header["Transfer-Encoding"]
	s := &answerSource{t: t, c: c, x: x, up: up, header: a.Header, length: -1, meter: body.Meter{Pace: flow.Pace}}
	s.alarm.SetDeadline = c.SetReadDeadline
	if due, known := x.Due(); flow.HeadDeadlineOnly {
		s.meter.MinRate = 0 // an event stream says something when there is something to say
	} else if known {
		s.due = due
	}
	switch {
	case len(lengths)+len(encodings) > 1:
		return nil, errMalformed
	case len(lengths) == 1:
		n, err := strconv.ParseInt(lengths[0], 10, 64)
		if err != nil || n < 0 || strings.Trim(lengths[0], "0123456789") != "" || strict && n > maxAnswer {
			return nil, errMalformed
		}
		if n <= maxBody {
			text := body.AllocPage(n)
			if !strict && int64(c.in.Buffered()) < n {
				c.SetReadDeadline(time.Now().Add(s.meter.Timeout()))
			}
			if _, err := io.ReadFull(c.in, text); err != nil {
				return nil, err
			}
			a.Body, a.Free = body.NewBuffered(text), func() { body.FreePage(text) }
			return nil, nil
		}
		s.length, s.reader = n, io.LimitReader(c.in, n)
		if strict {
			return c.holdSome(s, a, min(n, holdMost), n)
		}
	case len(encodings) == 1:
		if !strings.EqualFold(strings.TrimSpace(encodings[0]), "chunked") {
			return nil, errMalformed
		}
		s.chunked, s.reader = true, httputil.NewChunkedReader(c.in)
		if strict {
			return c.holdOpen(s, a)
		}
	case strict && !closes(a.Header):
		return nil, errMalformed // nothing would tell a whole body from a cut one
	default:
		s.toEnd, s.reader = true, c.in
		if strict {
			return c.holdOpen(s, a)
		}
	}
	return s, nil
}

// closes says whether a host has said that the connection ends with its answer.
func closes(h http.Header) bool {
	return strings.Contains(strings.ToLower(h.Get("Connection")), "close")
}

const (
	// Of an answer in our protocol that is longer than maxBody, so much is held before any of it
	// goes on, if it comes within holdTime: most that are malformed show by then, and the request
	// can have another attempt. The time of an answer is that of its first bytes.
	holdMost = 512 << 10
	holdTime = 25 * time.Millisecond
)

// holdSome reads up to k of the n bytes of an answer. If that is all, or memory is short, it is
// as if there were no other way.
func (c *conn) holdSome(s *answerSource, a *engine.Response, k, n int64) (*answerSource, error) {
	if !s.t.take(k) {
		return s, nil
	}
	free := func() { s.t.large.Add(-k) }
	held := make([]byte, k)
	c.gap = 0
	c.SetReadDeadline(time.Now().Add(holdTime))
	got, err := io.ReadFull(s.reader, held)
	switch {
	case err == nil && k == n:
		a.Body, a.Free = body.NewBuffered(held), free
		return nil, nil
	case err != nil && !errors.Is(err, os.ErrDeadlineExceeded):
		free()
		return nil, err
	}
	s.held, s.read, a.Free = held[:got], int64(got), free
	return s, nil
}

// holdOpen reads up to maxBody of an answer whose length is not known, for as long as more of it
// is there or comes within holdTime: whether it will be a long one can't be told, and then its
// time is that of its first bytes.
func (c *conn) holdOpen(s *answerSource, a *engine.Response) (*answerSource, error) {
	held := body.AllocPage(maxBody)
	got, err, until := 0, error(nil), time.Now().Add(holdTime)
	for got < len(held) && err == nil {
		if c.in.Buffered() == 0 {
			c.gap = 0
			c.SetReadDeadline(until)
			if _, err := c.in.Peek(1); errors.Is(err, os.ErrDeadlineExceeded) {
				break // it goes on as it comes
			}
			c.gap = answerGap
		}
		var n int
		n, err = s.some(held[got:])
		got += n
	}
	if err == io.EOF {
		if s.chunked {
			_, err = c.readTrailer() // nothing that our protocol passes on
		} else {
			err = nil
		}
		if err == nil {
			a.Body, a.Free = body.NewBuffered(held[:got]), func() { body.FreePage(held) }
			return nil, nil
		}
	}
	if err != nil {
		body.FreePage(held)
		var broken net.Error
		if err != io.ErrUnexpectedEOF && !errors.As(err, &broken) {
			err = errMalformed // a chunk that is none
		}
		return nil, err
	}
	s.held, s.read, a.Free = held[:got], int64(got), func() { body.FreePage(held) }
	return s, nil
}

// answerSource is where the body of an answer flows from.
type answerSource struct {
	t      *Transport
	c      *conn
	x      *engine.Request
	up     *upload
	header http.Header
	meter  body.Meter
	alarm  body.LazyDeadline
	due    time.Time // of the last byte; zero: it has its pace only

	held    []byte // what has been read of it already
	reader  io.Reader
	length  int64 // -1: not known
	read    int64
	chunked bool
	toEnd   bool // the end of the connection is that of the body
	trailer http.Header
}

// some reads what is there, or what comes next. A reader of chunks would go on until p is full or
// a chunk has ended, however slowly that comes.
func (s *answerSource) some(p []byte) (int, error) {
	in := s.c.in
	if s.chunked && in.Buffered() < in.Size() {
		if _, err := in.Peek(1); err == nil {
			p = p[:min(len(p), in.Buffered())]
		}
	} else if s.chunked {
		p = p[:min(len(p), chunkStep)] // more has come than is buffered
	}
	return s.reader.Read(p)
}

// chunkStep is how much of a chunk is waited for at most where it comes fast.
const chunkStep = 16 << 10

// Read reads on, with the pace that the host must keep.
func (s *answerSource) Read(p []byte) (int, error) {
	began := time.Now()
	if wait := s.meter.Timeout(); s.due.IsZero() || s.due.Sub(began) > 2*wait {
		s.alarm.Reset(began, wait)
	} else {
		s.c.SetReadDeadline(s.due) // the whole answer has its time, and that is near
	}
	n, err := s.some(p)
	s.read += int64(n)
	if slow := s.meter.Record(n, time.Since(began)); slow != nil && err == nil {
		err = slow
	}
	if err != io.EOF {
		return n, err
	}
	switch {
	case s.length >= 0 && s.read < s.length:
		return n, io.ErrUnexpectedEOF
	case s.chunked:
		if s.trailer, err = s.c.readTrailer(); err != nil {
			return n, err
		}
	}
	return n, io.EOF
}

// readTrailer reads what stands behind the last chunk.
func (c *conn) readTrailer() (http.Header, error) {
	c.limit.N = maxHead
	defer func() { c.limit.N = noLimit }()
	first, err := c.in.Peek(2)
	if err != nil {
		return nil, io.ErrUnexpectedEOF
	}
	if string(first) == "\r\n" {
		c.in.Discard(2)
		return nil, nil
	}
	h, err := textproto.NewReader(c.in).ReadMIMEHeader()
	if err != nil {
		return nil, errMalformed
	}
	return http.Header(h), nil
}

// Trailer is what stood behind the last chunk.
func (s *answerSource) Trailer() http.Header { return s.trailer }

// Close gives the connection back, if it can carry another request.
func (s *answerSource) Close(whole bool) {
	s.c.settle(s.t, s.up, whole && !s.toEnd && keeps(s.header, s.c))
}

// tunnel is a connection that has gone over to another protocol.
type tunnel struct {
	*conn
	t    *Transport
	once sync.Once
}

func (u *tunnel) Read(p []byte) (int, error)     { return u.in.Read(p) }
func (u *tunnel) SetDeadline(at time.Time) error { return u.Conn.SetDeadline(at) }

func (u *tunnel) CloseWrite() error {
	if c, ok := u.Conn.(interface{ CloseWrite() error }); ok {
		return c.CloseWrite()
	}
	return u.Close()
}

func (u *tunnel) Close() error {
	u.once.Do(func() { u.t.drop(u.conn) })
	return nil
}
