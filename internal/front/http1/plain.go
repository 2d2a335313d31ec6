package http1

import (
	"bytes"
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"lynxspool/internal/body"
	"lynxspool/internal/engine"
	"lynxspool/internal/front"
)

// lingerUpload is how long a client is heard that is still sending when its answer is out: a
// close with bytes unread resets the connection, and the reset may overtake the answer.
const lingerUpload = 2 * time.Second

// readStreams checks what net/http lets pass, and reads the part of the body that is held. What
// is more flows.
func (s *Server) readStreams(c *clientConn, w http.ResponseWriter, r *http.Request, x *front.Entry, raw []byte, asked asked) error {
	if err := framed(r, raw); err != nil {
		return err
	}
	plain, streams := x.Route.Plain, x.Route.Streams
	if plain != nil && plain.Upgrades > 0 && r.ContentLength == 0 {
		x.Upgrade = asked.upgrade
	}
	n := r.ContentLength
	if n == 0 {
		return nil
	}
	// Hosts that speak our protocol do not ask for a body: it is asked for here, by reading it.
	asks := asked.leave && plain != nil
	most := x.HoldMost()
	source := &clientSource{
		c: c, r: r, x: x, meter: body.Meter{Pace: streams.Upload}, most: streams.MaxBody,
		alarm: body.Alarm{Set: c.SetReadDeadline},
	}
	if n > 0 && n <= most && !asks {
		held, err := x.Page(n)
		if err != nil {
			return err
		}
		if k, err := source.fill(held); int64(k) < n {
			return source.bad(err)
		}
		x.Body = body.Held(held)
		return nil
	}
	var held []byte
	if !asks {
		buf, err := x.Page(most)
		if err != nil {
			return err
		}
		k, err := source.fill(buf)
		held = buf[:k]
		switch {
		case err == io.EOF:
			x.Body = body.Held(held) // short after all
			return nil
		case err != nil:
			return source.bad(err)
		}
	}
	// The answer may begin while the body is still coming. If net/http can't, it will wait.
	http.NewResponseController(w).EnableFullDuplex()
	x.Body = body.Flowing(held, body.NewFlow(source, n))
	return nil
}

// framed refuses what readers of HTTP disagree on: it guards against one request hidden in
// another (RFC 9112, 11.2). net/http settles some of it unsaid, so the head is looked at as it
// came.
func framed(r *http.Request, raw []byte) error {
	odd := len(r.TransferEncoding) > 0
	if !bytes.HasPrefix(raw, []byte(r.Method+" "+r.RequestURI+" "+r.Proto)) {
		raw = nil // a part of it came with what was before it
	}
	if raw == nil {
		if odd {
			return front.Bad(http.StatusBadRequest, "the head can't be checked")
		}
		return nil
	}
	lengths, encodings := 0, 0
	for rest := raw; len(rest) > 0; {
		i := bytes.IndexByte(rest, '\n')
		if i < 0 {
			break
		}
		if i == 0 || rest[i-1] != '\r' {
			return front.Bad(http.StatusBadRequest, "a line of the head ends without CR")
		}
		line := rest[:i-1]
		rest = rest[i+1:]
		name, _, _ := bytes.Cut(line, []byte(":"))
		switch {
		case len(name) > 0 && (name[0] == ' ' || name[0] == '\t'):
			return front.Bad(http.StatusBadRequest, "a line of the head goes on with the next")
		case bytes.EqualFold(name, []byte("Content-Length")):
			lengths++
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			encodings++
		}
	}
	if lengths+encodings > 1 || encodings > 0 && (!r.ProtoAtLeast(1, 1) || !odd) {
		return front.Bad(http.StatusBadRequest, "the body is framed in more than one way")
	}
	return nil
}

// asked is what a request asks of the connection.
type asked struct {
	leave   bool   // to send its body (Expect: 100-continue)
	upgrade string // to go over to this protocol; "": it does not
}

func asksFor(r *http.Request) asked {
	return asked{strings.EqualFold(r.Header.Get("Expect"), "100-continue"), upgrade(r)}
}

func upgrade(r *http.Request) string {
	if v := r.Header["Upgrade"]; len(v) == 1 && r.ProtoAtLeast(1, 1) {
		for _, c := range r.Header["Connection"] {
			for name := range strings.SplitSeq(c, ",") {
				if strings.EqualFold(strings.TrimSpace(name), "upgrade") {
					return v[0]
				}
			}
		}
	}
	return ""
}

// clientSource is where a request's body flows from.
type clientSource struct {
	c     *clientConn
	r     *http.Request
	x     *front.Entry
	meter body.Meter
	alarm body.Alarm
	most  int64 // bytes; 0: any

	busy   sync.Mutex // held by the Read that is on
	mu     sync.Mutex // guards closed, and the read deadline with it
	closed bool
	read   int64
}

var errTooLong = errors.New("the body is longer than the route takes")

// arm sets how long the next read may take, unless the source is closed.
func (s *clientSource) arm(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.alarm.Within(now, s.meter.Wait())
	}
	return !s.closed
}

// Read reads on, with the pace that the client must keep.
func (s *clientSource) Read(p []byte) (int, error) {
	s.busy.Lock()
	defer s.busy.Unlock()
	began := time.Now()
	if !s.arm(began) {
		return 0, body.ErrTaken
	}
	n, err := s.r.Body.Read(p)
	s.read += int64(n)
	if slow := s.meter.Moved(n, time.Since(began)); slow != nil && err == nil {
		err = slow
	}
	if s.most > 0 && s.read > s.most {
		return 0, errTooLong
	}
	if err != nil && err != io.EOF {
		s.mu.Lock()
		if s.closed {
			err = body.ErrTaken // our own doing: it tells nothing of the client
		}
		s.mu.Unlock()
	}
	if err == io.EOF {
		s.mu.Lock()
		s.c.SetReadDeadline(time.Time{}) // left standing it would end the wait for the answer
		s.mu.Unlock()
		if !s.x.Body.Whole() {
			s.x.ArrivedLate(time.Now())
		}
	}
	return n, err
}

// fill reads until the buffer is full, or the body ends: then it says io.EOF.
func (s *clientSource) fill(buf []byte) (n int, err error) {
	for n < len(buf) && err == nil {
		var k int
		k, err = s.Read(buf[n:])
		n += k
	}
	return n, err
}

// Trailer is what came behind the body.
func (s *clientSource) Trailer() http.Header { return front.Trailer(s.r.Trailer) }

// Close ends a Read that waits, and returns once none is on: the request is net/http's again.
func (s *clientSource) Close(whole bool) {
	s.mu.Lock()
	s.closed = true
	if !whole {
		s.c.SetReadDeadline(time.Unix(1, 0))
	}
	s.mu.Unlock()
	s.busy.Lock()
	defer s.busy.Unlock()
}

// bad words why a body can't be read.
func (s *clientSource) bad(err error) error {
	switch {
	case err == errTooLong:
		return front.Bad(http.StatusRequestEntityTooLarge, "the body is longer than %d bytes", s.most)
	case err == body.ErrSlow || errors.Is(err, os.ErrDeadlineExceeded):
		return front.Bad(http.StatusRequestTimeout, "the body comes too slowly")
	}
	return front.Bad(http.StatusBadRequest, "the body did not arrive, or can't be read")
}

// serveStreams has a request answered, with what flows either way.
func (s *Server) serveStreams(w http.ResponseWriter, r *http.Request, c *clientConn, x *front.Entry) {
	if x.Upgrade != "" {
		if n := x.Route.Plain.Tunnels.Add(1); n > int64(x.Route.Plain.Upgrades) {
			x.Route.Plain.Tunnels.Add(-1)
			s.turnAway(w, r, c, front.Bad(http.StatusServiceUnavailable, "too many connections have gone over to another protocol"))
			return
		}
		defer x.Route.Plain.Tunnels.Add(-1)
	}
	var ahead *informer
	if x.Route.Plain != nil {
		ahead = &informer{w: w}
		x.Inform = ahead.inform
	}
	flow := x.Body.Flow()
	ctx := r.Context()
	if flow != nil {
		// net/http ends the context of a request also when reading it fails, as where the
		// client is too slow. Then it is still there, and is told.
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(context.WithoutCancel(ctx))
		defer cancel()
		defer context.AfterFunc(r.Context(), func() {
			if flow.Err() == io.EOF {
				cancel()
			}
		})()
	}
	a, there := s.gate.Engine.Do(ctx, &x.Request)
	if ahead != nil {
		ahead.stop()
	}
	defer a.Release()
	if !there {
		panic(http.ErrAbortHandler) // net/http would answer 200
	}
	sending := flow != nil && flow.Err() != io.EOF // the client is
	if sending || s.stopping.Load() && !a.Body.Whole() || s.leaves() {
		w.Header().Set("Connection", "close")
	}
	switch {
	case a.Tunnel != nil:
		s.tunnel(w, c, x, &a)
		return
	case flow != nil && a.Kind == engine.Failed && flow.Err() != nil && sending:
		err := flow.Err()
		if err == body.ErrTaken {
			break
		}
		err = (&clientSource{most: x.Route.Streams.MaxBody}).bad(err)
		fail(w, err.Error(), front.Status(err))
		s.linger(w, r, c, flow)
		return
	}
	if a.Body.Whole() {
		write(w, &x.Request, &a)
	} else if err := s.pass(ctx, w, c, x, &a); err != nil {
		// The client must see that this is not all.
		if flow != nil {
			flow.Close()
		}
		c.SetLinger(0)
		panic(http.ErrAbortHandler)
	}
	if sending {
		s.linger(w, r, c, flow)
	}
}

// linger ends a connection whose client is still sending: the answer goes out, then our end,
// and what still comes is read for a while. If a part of this fails the client has gone.
func (s *Server) linger(w http.ResponseWriter, r *http.Request, c *clientConn, flow *body.Flow) {
	flow.Close()
	http.NewResponseController(w).Flush()
	s.clients.spend(c)
	c.CloseWrite()
	c.SetReadDeadline(time.Now().Add(lingerUpload))
	io.Copy(io.Discard, c.TCPConn)
}

// pass passes on an answer as it comes. An error says that it could not be finished.
func (s *Server) pass(ctx context.Context, w http.ResponseWriter, c *clientConn, x *front.Entry, a *engine.Answer) error {
	buf := s.gate.Bodies.Buffer()
	if buf == nil {
		a.Release() // the host has done it: no refusal, which would promise that it has not
		fail(w, "too much is being held, it may have been done", http.StatusBadGateway)
		return nil
	}
	defer s.gate.Bodies.Return(buf)
	flow := a.Body.Flow()
	h := w.Header()
	maps.Copy(h, front.EndToEnd(a.Header))
	if x.Route.Plain != nil {
		x.Route.Plain.Answers.Apply(h)
	}
	if _, there := h["Content-Type"]; !there {
		h["Content-Type"] = nil // it is not ours to guess
	}
	if n := a.Body.Len(); n >= 0 {
		h.Set("Content-Length", strconv.FormatInt(n, 10))
	}
	control := http.NewResponseController(w)
	meter, alarm := body.Meter{Pace: x.Route.Streams.Pace}, body.Alarm{Set: c.SetWriteDeadline}
	if err := flow.Take(); err != nil {
		return err
	}
	w.WriteHeader(a.Status)
	if held := a.Body.Bytes(); len(held) > 0 {
		alarm.Within(time.Now(), meter.Wait())
		if _, err := w.Write(held); err != nil {
			return err
		}
		control.Flush()
		a.FreeHeld()
	} else if a.Body.Len() < 0 {
		control.Flush() // what follows may be long in coming
	}
	for {
		n, err := flow.Read(*buf)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if n > 0 {
			began := time.Now()
			alarm.Within(began, meter.Wait())
			if _, err := w.Write((*buf)[:n]); err != nil {
				return err
			}
			if n < len(*buf) {
				if err := control.Flush(); err != nil {
					return err
				}
			}
			if err := meter.Moved(n, time.Since(began)); err != nil {
				return err
			}
		}
		if err == io.EOF {
			for name, v := range front.Trailer(flow.Trailer()) {
				h[http.TrailerPrefix+name] = v
			}
			c.SetWriteDeadline(time.Now().Add(writeTimeout))
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// informer passes on answers that come ahead of the final one, until that is written.
type informer struct {
	mu sync.Mutex
	w  http.ResponseWriter
}

func (i *informer) inform(status int, header http.Header) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.w == nil {
		return
	}
	h := i.w.Header()
	maps.Copy(h, front.EndToEnd(header.Clone()))
	i.w.WriteHeader(status)
	clear(h) // they are not those of the final answer
}

func (i *informer) stop() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.w = nil
}

// tunnel passes bytes both ways between a client and a host that have gone over to another
// protocol, until both have ended, one breaks, or the gateway stops.
func (s *Server) tunnel(w http.ResponseWriter, c *clientConn, x *front.Entry, a *engine.Answer) {
	nc, rw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer nc.Close()
	nc.SetDeadline(time.Time{})
	var head bytes.Buffer
	head.WriteString("HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\n")
	h := a.Header
	protocol := h.Get("Upgrade")
	front.EndToEnd(h)
	h.Set("Upgrade", protocol)
	h.Write(&head) // to a Buffer, which takes all
	head.WriteString("\r\n")
	nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := nc.Write(head.Bytes()); err != nil {
		return
	}
	nc.SetWriteDeadline(time.Time{})
	idle := x.Route.Streams.Pace.Idle
	touch := func() { // the last byte of either side keeps both
		until := time.Now().Add(idle)
		nc.SetDeadline(until)
		a.Tunnel.SetDeadline(until)
	}
	touch()
	var both sync.WaitGroup
	copyOn := func(to io.Writer, from io.Reader, end func() error) {
		buf := s.gate.Bodies.Buffer()
		if buf == nil {
			nc.Close()
			a.Tunnel.Close()
			return
		}
		defer s.gate.Bodies.Return(buf)
		for {
			n, err := from.Read(*buf)
			if n > 0 {
				touch()
				if _, werr := to.Write((*buf)[:n]); werr != nil {
					err = werr
				}
			}
			if err == io.EOF {
				end()
				return
			}
			if err != nil {
				nc.Close()
				a.Tunnel.Close()
				return
			}
		}
	}
	ended := make(chan struct{})
	defer close(ended)
	s.tunnels.Go(func() {
		select {
		case <-ended:
		case <-s.leave:
			// WebSocket has a word for it: 1001, going away (RFC 6455, 7.4.1).
			if strings.EqualFold(protocol, "websocket") {
				nc.SetWriteDeadline(time.Now().Add(closeTime))
				nc.Write([]byte{0x88, 0x02, 0x03, 0xe9})
			}
			nc.Close()
			a.Tunnel.Close()
		}
	})
	both.Go(func() { copyOn(a.Tunnel, rw.Reader, a.Tunnel.CloseWrite) })
	both.Go(func() { copyOn(nc, a.Tunnel, c.CloseWrite) })
	both.Wait()
}
