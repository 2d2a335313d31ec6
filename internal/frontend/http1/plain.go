package http1

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"dunemoor/internal/body"
	"dunemoor/internal/engine"
	"dunemoor/internal/frontend"
	"dunemoor/internal/httpwire"
)

// lingerUpload is how long a client is heard that is still sending its body when its answer is
// out, however much that is: what follows may have filled every buffer on the way.
const (
	lingerUpload = 2 * time.Second
	noLimit      = 1<<63 - 1
)

// readStreams reads the part of the body that is held. What is more flows.
func (s *Server) readStreams(c *clientConn, x *frontend.Entry) error {
	plain, streams := x.Route.Plain, x.Route.Streams
	n := c.req.ContentLength
	// Hosts that speak our protocol do not ask for a body: it is asked for here, by reading it.
	asks := c.req.ExpectContinue && plain != nil
	most := x.HoldMost()
	source := &clientSource{
		c: c, body: c.body, x: x, meter: body.Meter{Pace: streams.Upload}, most: streams.MaxBodyBytes,
		alarm: body.LazyDeadline{SetDeadline: c.SetReadDeadline},
	}
	if n > 0 && n <= most && !asks {
		held, err := x.Page(n)
		if err != nil {
			return err
		}
		if k, err := source.fill(held); int64(k) < n {
			return source.bad(err)
		}
		x.Body = body.NewBuffered(held)
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
			x.Body = body.NewBuffered(held) // short after all
			return nil
		case err != nil:
			return source.bad(err)
		}
	}
	c.flows = source
	x.Body = body.NewStreamed(held, body.NewStream(source, n))
	return nil
}

// clientSource is where a request's body flows from.
type clientSource struct {
	c     *clientConn
	body  *bodyReader
	x     *frontend.Entry
	meter body.Meter
	alarm body.LazyDeadline
	most  int64 // bytes; 0: any

	busy   sync.Mutex // held by the Read that is on
	mu     sync.Mutex // guards closed, and the read deadline with it
	closed bool
	read   int64

	whole atomic.Bool // the last byte has come
	gone  func()      // called if the client has left by then, or leaves later
}

var errTooLong = errors.New("the body is longer than the route takes")

// arm sets how long the next read may take, unless the source is closed.
func (s *clientSource) arm(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.alarm.Reset(now, s.meter.Timeout())
	}
	return !s.closed
}

// Read reads on, with the pace that the client must keep.
func (s *clientSource) Read(p []byte) (int, error) {
	s.busy.Lock()
	defer s.busy.Unlock()
	began := time.Now()
	if s.body.chunks != nil || s.c.buffered() == 0 { // else nothing is waited for
		if !s.arm(began) {
			return 0, body.ErrConsumed
		}
	}
	n, err := s.body.Read(p)
	s.read += int64(n)
	if slow := s.meter.Record(n, time.Since(began)); slow != nil && err == nil {
		err = slow
	}
	if s.most > 0 && s.read > s.most {
		return 0, errTooLong
	}
	if err != nil && err != io.EOF {
		s.mu.Lock()
		if s.closed {
			err = body.ErrConsumed // our own doing: it tells nothing of the client
		}
		s.mu.Unlock()
	}
	if err == io.EOF && !s.x.Body.Buffered() {
		s.x.ArrivedLate(time.Now())
		s.whole.Store(true)
		if s.gone != nil && s.c.ctx.Err() != nil {
			s.gone()
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
func (s *clientSource) Trailer() http.Header { return frontend.Trailer(s.body.Trailer()) }

// Close ends a Read that waits, and returns once none is on: the connection is its own again.
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
		return frontend.Bad(http.StatusRequestEntityTooLarge, "the body is longer than %d bytes", s.most)
	case err == body.ErrTooSlow || errors.Is(err, os.ErrDeadlineExceeded):
		return frontend.Bad(http.StatusRequestTimeout, "the body comes too slowly")
	}
	return frontend.Bad(http.StatusBadRequest, "the body did not arrive, or can't be read")
}

// serveStreams has a request answered, with what flows either way, and says whether the connection
// may go on.
func (s *Server) serveStreams(c *clientConn, x *frontend.Entry) bool {
	if x.Upgrade != "" {
		if n := x.Route.Plain.Tunnels.Add(1); n > int64(x.Route.Plain.MaxTunnels) {
			x.Route.Plain.Tunnels.Add(-1)
			s.turnAway(c, frontend.Bad(http.StatusServiceUnavailable, "too many connections have gone over to another protocol"))
			return false
		}
		defer x.Route.Plain.Tunnels.Add(-1)
	}
	if x.Route.Plain != nil {
		x.Inform = c.inform
	}
	flow, ctx := x.Body.Stream(), c.ctx
	if flow != nil {
		// A client that ends its side with its body half sent is told, where that is on its way to a
		// host; what has yet to go there is not sent.
		own, cancel := context.WithCancel(context.WithoutCancel(ctx))
		defer cancel()
		source := c.flows
		source.gone = cancel
		defer context.AfterFunc(ctx, func() {
			if source.whole.Load() || !flow.Consumed() {
				cancel()
			}
		})()
		ctx = own
	}
	a, there := s.gate.Engine.Do(ctx, &x.Request)
	defer a.Release()
	if !there {
		return false
	}
	sending := flow != nil && flow.Err() != io.EOF // the client is
	if sending || s.stopping.Load() && !a.Body.Buffered() || s.leaves() {
		c.close = true
	}
	switch {
	case a.Tunnel != nil:
		s.tunnel(c, x, &a)
		return false
	case flow != nil && a.Kind == engine.Failed && flow.Err() != nil && sending:
		err := flow.Err()
		if err == body.ErrConsumed {
			break
		}
		err = (&clientSource{most: x.Route.Streams.MaxBodyBytes}).bad(err)
		if c.fail(frontend.Status(err), err.Error(), "") == nil {
			s.linger(c, flow)
		}
		return false
	}
	if a.Body.Buffered() {
		if s.write(c, &x.Request, &a) != nil {
			return false
		}
	} else if err := s.pass(ctx, c, x, &a); err != nil {
		// The client must see that this is not all.
		if flow != nil {
			flow.Close()
		}
		c.SetLinger(0)
		return false
	}
	if sending {
		s.linger(c, flow)
	}
	return !sending
}

// linger ends a connection whose client is still sending its body.
func (s *Server) linger(c *clientConn, flow *body.Stream) {
	flow.Close()
	s.lingeringClose(c, lingerUpload, noLimit)
}

// chunkRoom is left in a buffer ahead of what is read, for the size of the chunk.
const chunkRoom = 8

// pass passes on an answer as it comes. An error says that it could not be finished.
func (s *Server) pass(ctx context.Context, c *clientConn, x *frontend.Entry, a *engine.Response) error {
	buf := s.gate.Bodies.AcquireBuffer()
	if buf == nil {
		a.Release() // the host has done it: no refusal, which would promise that it has not
		return c.fail(http.StatusBadGateway, "too much is being held, it may have been done", "")
	}
	defer s.gate.Bodies.ReleaseBuffer(buf)
	flow := a.Body.Stream()
	h := frontend.EndToEnd(a.Header)
	if x.Route.Plain != nil {
		x.Route.Plain.ResponseHeaders.Apply(h)
	}
	if err := flow.Consume(); err != nil {
		return err
	}
	meter, alarm := body.Meter{Pace: x.Route.Streams.Pace}, body.LazyDeadline{SetDeadline: c.SetWriteDeadline}
	defer func() { c.out = body.LazyDeadline{SetDeadline: c.out.SetDeadline} }() // its deadline stands no more
	length, chunked := a.Body.Len(), false
	if length < 0 {
		length, chunked = inChunks, !c.req.HTTP10
	}
	if length < 0 && !chunked {
		c.toEnd.Store(true)
		defer c.toEnd.Store(false)
	}
	held := a.Body.Bytes()
	head := c.head(make([]byte, 0, inputSize), time.Now(), a.Status, h, length)
	if chunked && len(held) > 0 {
		head = append(strconv.AppendInt(head, int64(len(held)), 16), "\r\n"...)
	}
	alarm.Reset(time.Now(), meter.Timeout())
	parts := net.Buffers{head, held}
	if chunked && len(held) > 0 {
		parts = append(parts, crlf)
	}
	if _, err := parts.WriteTo(c.TCPConn); err != nil {
		return err
	}
	a.FreeHeld()
	b := *buf
	for {
		n, err := flow.Read(b[chunkRoom : len(b)-len(crlf)])
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if n > 0 {
			out := b[chunkRoom : chunkRoom+n]
			if chunked {
				out = asChunk(b, n)
			}
			began := time.Now()
			alarm.Reset(began, meter.Timeout())
			if _, err := c.TCPConn.Write(out); err != nil {
				return err
			}
			if err := meter.Record(n, time.Since(began)); err != nil {
				return err
			}
		}
		if err == io.EOF && chunked {
			c.SetWriteDeadline(time.Now().Add(writeTimeout))
			_, err = c.TCPConn.Write(lastChunk(nil, frontend.Trailer(flow.Trailer())))
			return err
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

var crlf = []byte("\r\n")

// asChunk makes a chunk of the n bytes that stand chunkRoom behind b's start.
func asChunk(b []byte, n int) []byte {
	var size [chunkRoom]byte
	text := append(strconv.AppendInt(size[:0], int64(n), 16), crlf...)
	at := chunkRoom - len(text)
	copy(b[at:], text)
	copy(b[chunkRoom+n:], crlf)
	return b[at : chunkRoom+n+len(crlf)]
}

// tunnel passes bytes both ways between a client and a host that have gone over to another
// protocol, until both have ended, one breaks, or the gateway stops.
func (s *Server) tunnel(c *clientConn, x *frontend.Entry, a *engine.Response) {
	s.clients.gone(c) // it counts no more
	nc := c.TCPConn
	h := a.Header
	protocol := h.Get("Upgrade")
	frontend.EndToEnd(h)
	h.Set("Upgrade", protocol)
	head := append(c.beginHead(nil, http.StatusSwitchingProtocols), "Connection: Upgrade\r\n"...)
	head = append(httpwire.AppendHeader(head, h), crlf...)
	nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := nc.Write(head); err != nil {
		return
	}
	idle := x.Route.Streams.Pace.IdleTimeout
	touch := func() { // the last byte of either side keeps both
		until := time.Now().Add(idle)
		nc.SetDeadline(until)
		a.Tunnel.SetDeadline(until)
	}
	touch()
	var both sync.WaitGroup
	copyOn := func(to io.Writer, from io.Reader, end func() error) {
		buf := s.gate.Bodies.AcquireBuffer()
		if buf == nil {
			nc.Close()
			a.Tunnel.Close()
			return
		}
		defer s.gate.Bodies.ReleaseBuffer(buf)
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
	both.Go(func() { copyOn(a.Tunnel, c, a.Tunnel.CloseWrite) })
	both.Go(func() { copyOn(nc, a.Tunnel, c.CloseWrite) })
	both.Wait()
}
