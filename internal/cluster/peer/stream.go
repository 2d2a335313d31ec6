package peer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"dunemoor/internal/cluster/node"
	"dunemoor/internal/cluster/relay"
)

// Of streams.
const (
	// stuckMost is how long a write of a stream may take while more than relay.QueueMost wait
	// behind it: a list of hosts may be larger than that, and goes at once where its taker reads.
	stuckMost = 100 * time.Millisecond
	// streamBuffer is what is read at once of a stream, and streamSend bounds what the system
	// keeps of what is sent: a relay has 1,200.
	streamBuffer = 4 << 10
	streamSend   = 64 << 10
	// sharedLeast is from where on a body is sent as it is: what goes to all is not copied for
	// each.
	sharedLeast = 4 << 10
	// refusalsMost bounds what is remembered of the refusals that were said.
	refusalsMost = 64
)

// Streams takes what comes by streams. Calls come from many goroutines, those of one stream in
// order.
type Streams interface {
	// Frame brings a frame; the first of a stream that came in is its join, and the first of one
	// that was dialled the answer.
	Frame(s *Stream, kind node.Kind, body []byte)
	// Ended comes last, once.
	Ended(s *Stream, why error)
}

// Stream is a connection between a gateway and its relay, both ways.
type Stream struct {
	Name string // of the other side
	// Replica is the other side's, as its hello says; at a relay only, which took the stream.
	Replica uint64

	c      *Carrier
	cancel context.CancelFunc // of the dial

	mu      sync.Mutex
	conn    net.Conn // nil until it is dialled
	queue   net.Buffers
	frames  int
	bytes   int
	began   time.Time // of the write that is on
	writing bool
	last    bool  // it ends behind what waits
	why     error // it has ended
}

// Why a stream was ended from here.
var (
	// ErrBehind is of a stream whose other side is too far behind with what was sent.
	ErrBehind = errors.New("too much waits for it")
	errClosed = errors.New("it was closed here")
)

// Send has a frame sent. Where too much waits the stream is ended. The body must not be changed
// any more.
func (s *Stream) Send(kind node.Kind, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.why != nil || s.conn == nil || s.last {
		return
	}
	size := frameHead + len(body)
	waits := s.bytes + size
	if s.bytes > 0 && waits > queueBytes || waits > relay.QueueMost && s.writing && time.Since(s.began) > stuckMost || len(body) > frameMost {
		s.end(ErrBehind)
		s.c.Counts.StreamsBehind.Add(1)
		return
	}
	if len(body) < sharedLeast {
		s.queue = append(s.queue, AppendFrame(make([]byte, 0, size), byte(kind), body))
	} else {
		s.queue = append(s.queue, appendHead(make([]byte, 0, frameHead), byte(kind), body), body)
	}
	s.frames++
	s.bytes = waits
	if !s.writing {
		s.writing, s.began = true, time.Now()
		go s.write()
	}
}

// write sends what waits: it runs only while there is something.
func (s *Stream) write() {
	for {
		s.mu.Lock()
		if s.why != nil || len(s.queue) == 0 {
			s.writing = false
			if s.last {
				s.end(errClosed)
			}
			s.mu.Unlock()
			return
		}
		out, frames, bytes := s.queue, s.frames, s.bytes
		s.queue, s.frames, s.bytes, s.began = nil, 0, 0, time.Now()
		s.mu.Unlock()
		s.conn.SetWriteDeadline(time.Now().Add(writeTime))
		if _, err := out.WriteTo(s.conn); err != nil {
			s.mu.Lock()
			s.end(err)
			s.mu.Unlock()
			continue
		}
		s.c.Counts.Sent.Add(uint64(frames))
		s.c.Counts.SentBytes.Add(uint64(bytes))
	}
}

// Close ends the stream.
func (s *Stream) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end(errClosed)
}

// Finish ends it behind what waits.
func (s *Stream) Finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.last = true; !s.writing {
		s.end(errClosed)
	}
}

// end ends it, once; the lock is held.
func (s *Stream) end(why error) {
	if s.why != nil {
		return
	}
	s.why, s.queue = why, nil
	if s.cancel != nil {
		s.cancel()
	}
	if s.conn != nil {
		s.conn.Close()
	}
}

// ended is why it has ended; by is what was seen if nothing has ended it before.
func (s *Stream) ended(by error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end(by)
	return s.why
}

// read takes what comes until the stream ends; within is for the first frame.
func (s *Stream) read(within time.Time) {
	in := bufio.NewReaderSize(s.conn, streamBuffer)
	for {
		s.conn.SetReadDeadline(within)
		kind, body, err := ReadFrame(in)
		if err != nil {
			if errors.Is(err, errGarbled) || errors.Is(err, errOversized) {
				s.c.Counts.Garbled.Add(1)
				slog.Warn("a frame of the fleet dropped, and its connection", "gateway", s.Name, "why", err.Error())
			}
			s.c.cfg.Streams.Ended(s, s.ended(err))
			return
		}
		s.c.Counts.Received.Add(1)
		s.c.Counts.ReceivedBytes.Add(uint64(frameHead + len(body)))
		s.c.cfg.Streams.Frame(s, node.Kind(kind), body)
		within = time.Now().Add(silentMost)
	}
}

// takeStream serves a stream that came in.
func (c *Carrier) takeStream(conn net.Conn, h *node.Hello) {
	c.Counts.Streams.Add(1)
	if t, ok := conn.(*net.TCPConn); ok {
		t.SetWriteBuffer(streamSend)
	}
	(&Stream{c: c, Name: h.Name, Replica: h.ReplicaID, conn: conn}).read(time.Now().Add(handshakeTime))
}

// Dial opens a stream to a relay and sends its first frame; the first that comes back comes within
// relay.DialMost, or it ends.
func (c *Carrier) Dial(name, addr string, kind node.Kind, first []byte) *Stream {
	ctx, cancel := context.WithCancel(c.ctx)
	s := &Stream{c: c, Name: name, cancel: cancel}
	within := time.Now().Add(relay.DialMost)
	c.all.Go(func() {
		defer cancel()
		conn, err := c.connect(ctx, s, addr, within)
		if err != nil {
			err = s.ended(err)
			c.saidStream(name, addr, err)
			c.cfg.Streams.Ended(s, err)
			return
		}
		c.saidStream(name, addr, nil)
		c.Counts.Connects.Add(1)
		defer context.AfterFunc(c.ctx, func() { conn.Close() })()
		s.Send(kind, first)
		s.read(within)
	})
	return s
}

// connect makes a stream's connection.
func (c *Carrier) connect(ctx context.Context, s *Stream, addr string, within time.Time) (net.Conn, error) {
	conn, err := (&net.Dialer{Deadline: within}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	undo := context.AfterFunc(ctx, func() { conn.Close() })
	defer undo()
	h, err := dial(conn, c.cfg.Key, purposeStream, within, c.cfg.Hello, c.judgeRelay)
	if err == nil && h.Name != s.Name {
		err = &refusal{false, fmt.Sprintf("at %s is %s", addr, h.Name)}
	}
	if err == nil {
		s.mu.Lock()
		if err = s.why; err == nil {
			s.conn = conn
		}
		s.mu.Unlock()
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return conn, nil
}

// judgeRelay judges whom a gateway has dialled.
func (c *Carrier) judgeRelay(h *node.Hello) string { return c.cfg.JudgeStream(h) }

// saidStream logs that a relay can't be had, once, and a refusal whenever it says something else.
func (c *Carrier) saidStream(name, addr string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		delete(c.said, name)
		return
	}
	var r *refusal
	refused := errors.As(err, &r) || errors.Is(err, errKey)
	text := "down"
	if refused {
		c.Counts.Refused.Add(1)
		text = err.Error()
	}
	if c.said[name] == text || errors.Is(err, errClosed) || c.ctx.Err() != nil {
		return
	}
	c.said[name] = text
	if refused {
		slog.Warn("no stream to a relay of the fleet", "relay", name, "address", addr, "why", text)
	} else {
		slog.Info("no stream to a relay of the fleet", "relay", name, "address", addr, "why", err.Error())
	}
}

// refusedStream logs a stream that was refused, once for each address and cause: who is refused
// comes again and again.
func (c *Carrier) refusedStream(from net.Addr, why error) {
	c.Counts.Refused.Add(1)
	host, _, _ := net.SplitHostPort(from.String())
	key := host + " " + why.Error()
	c.mu.Lock()
	_, said := c.refused[key]
	if !said {
		if len(c.refused) >= refusalsMost {
			clear(c.refused)
		}
		c.refused[key] = struct{}{}
	}
	c.mu.Unlock()
	if !said {
		slog.Warn("a stream to the fleet refused", "from", from.String(), "why", why.Error())
	}
}
