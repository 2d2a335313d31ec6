package transport

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

const (
	// maxWriteStall is how long a write on a stream may take while more than relay.MaxQueueBytes are queued. An
	// endpoint list may be larger than that, and is sent at once if its receiver reads.
	maxWriteStall = 100 * time.Millisecond
	// streamReadBuffer is the size of a stream's read buffer, and streamSendBuffer that of its send buffer in
	// the operating system. They are small because a relay has 1,200 streams.
	streamReadBuffer = 4 << 10
	streamSendBuffer = 64 << 10
	// minSharedBody is the size from which on a body is queued without a copy: a body that is sent on all
	// streams is shared by them.
	minSharedBody = 4 << 10
	// maxLoggedRejections is the maximum number of logged rejections that are remembered.
	maxLoggedRejections = 64
)

// StreamHandler handles the frames and the end of streams. It is called by several goroutines, but in order for
// each stream.
type StreamHandler interface {
	// StreamFrame is called with each frame. The first frame of an accepted stream is a join request, and the
	// first of a dialled stream is the reply to it.
	StreamFrame(s *Stream, kind node.Kind, body []byte)
	// StreamEnded is the last call for a stream. It is called once.
	StreamEnded(s *Stream, err error)
}

// Stream is a bidirectional connection between a gateway and its relay.
type Stream struct {
	Name string // name of the other side
	// ReplicaID is that of the other side's hello. It is set on the relay, which has accepted the stream.
	ReplicaID uint64

	transport *Transport
	cancel    context.CancelFunc // cancels the dial; nil for an accepted stream

	mu          sync.Mutex
	conn        net.Conn // nil until the dial has succeeded
	queue       net.Buffers
	queueFrames int
	queueBytes  int
	writing     bool      // a goroutine is writing the queue
	writeBegan  time.Time // start of the current write
	finishing   bool      // the stream ends once the queue is empty
	err         error     // why the stream has ended; nil while it is open
}

// Errors of a stream that this side has ended.
var (
	// ErrStreamOverrun is the error of a stream whose other side reads too slowly.
	ErrStreamOverrun = errors.New("too many bytes are queued for the other side")
	// ErrStreamClosed is the error of a stream that this side has closed.
	ErrStreamClosed = errors.New("the stream was closed")
)

// Send queues a frame. It does not block: if too much is queued, it ends the stream. The body must not be
// changed afterwards.
func (s *Stream) Send(kind node.Kind, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil || s.conn == nil || s.finishing {
		return
	}
	size := frameHeaderBytes + len(body)
	if s.overrun(size) || len(body) > maxFrameBytes {
		s.end(ErrStreamOverrun)
		s.transport.Counters.StreamsOverrun.Add(1)
		return
	}
	if len(body) < minSharedBody {
		s.queue = append(s.queue, AppendFrame(make([]byte, 0, size), byte(kind), body))
	} else {
		s.queue = append(s.queue, appendFrameHeader(make([]byte, 0, frameHeaderBytes), byte(kind), body), body)
	}
	s.queueFrames++
	s.queueBytes += size
	if !s.writing {
		s.writing, s.writeBegan = true, time.Now()
		go s.writeQueue()
	}
}

// overrun reports whether size more bytes exceed the limits of the queue. The caller must hold mu.
func (s *Stream) overrun(size int) bool {
	waiting := s.queueBytes + size
	stalled := s.writing && time.Since(s.writeBegan) > maxWriteStall
	return s.queueBytes > 0 && waiting > maxQueueBytes || waiting > relay.MaxQueueBytes && stalled
}

// writeQueue writes the queued frames until there are none.
func (s *Stream) writeQueue() {
	for {
		s.mu.Lock()
		if s.err != nil || len(s.queue) == 0 {
			s.writing = false
			if s.finishing {
				s.end(ErrStreamClosed)
			}
			s.mu.Unlock()
			return
		}
		queue, frames, bytes := s.queue, s.queueFrames, s.queueBytes
		s.queue, s.queueFrames, s.queueBytes, s.writeBegan = nil, 0, 0, time.Now()
		s.mu.Unlock()
		s.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := queue.WriteTo(s.conn); err != nil {
			s.endWith(err)
			continue
		}
		s.transport.Counters.FramesSent.Add(uint64(frames))
		s.transport.Counters.BytesSent.Add(uint64(bytes))
	}
}

// Close ends the stream.
func (s *Stream) Close() { s.endWith(ErrStreamClosed) }

// Finish ends the stream once all queued frames are sent.
func (s *Stream) Finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finishing = true
	if !s.writing {
		s.end(ErrStreamClosed)
	}
}

// end ends the stream, unless it has ended already. The caller must hold mu.
func (s *Stream) end(err error) {
	if s.err != nil {
		return
	}
	s.err, s.queue = err, nil
	if s.cancel != nil {
		s.cancel()
	}
	if s.conn != nil {
		s.conn.Close()
	}
}

// endWith ends the stream and returns why it has ended: err, or an earlier error.
func (s *Stream) endWith(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end(err)
	return s.err
}

// readLoop receives frames until the stream ends. The first frame must arrive before the deadline.
func (s *Stream) readLoop(deadline time.Time) {
	t := s.transport
	in := bufio.NewReaderSize(s.conn, streamReadBuffer)
	for {
		s.conn.SetReadDeadline(deadline)
		kind, body, err := ReadFrame(in)
		if err != nil {
			t.countMalformed(s.Name, err)
			t.cfg.StreamHandler.StreamEnded(s, s.endWith(err))
			return
		}
		t.Counters.FramesReceived.Add(1)
		t.Counters.StreamBytesReceived.Add(uint64(frameHeaderBytes + len(body)))
		t.cfg.StreamHandler.StreamFrame(s, node.Kind(kind), body)
		deadline = time.Now().Add(silenceTimeout)
	}
}

// serveStream serves an accepted stream.
func (t *Transport) serveStream(conn net.Conn, h *node.Hello) {
	t.Counters.StreamsAccepted.Add(1)
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetWriteBuffer(streamSendBuffer)
	}
	s := &Stream{transport: t, Name: h.Name, ReplicaID: h.ReplicaID, conn: conn}
	s.readLoop(time.Now().Add(handshakeTimeout))
}

// Dial opens a stream to a relay and sends its first frame. The stream ends unless the relay sends a frame
// within relay.DialTimeout.
func (t *Transport) Dial(name, addr string, kind node.Kind, first []byte) *Stream {
	ctx, cancel := context.WithCancel(t.ctx)
	s := &Stream{transport: t, Name: name, cancel: cancel}
	deadline := time.Now().Add(relay.DialTimeout)
	t.run(func() {
		defer cancel()
		conn, err := t.connectStream(ctx, s, addr, deadline)
		if err != nil {
			err = s.endWith(err)
			t.logStreamState(name, addr, err)
			t.cfg.StreamHandler.StreamEnded(s, err)
			return
		}
		t.logStreamState(name, addr, nil)
		t.Counters.Dials.Add(1)
		defer context.AfterFunc(t.ctx, func() { conn.Close() })()
		s.Send(kind, first)
		s.readLoop(deadline)
	})
	return s
}

// connectStream opens the connection of a stream and performs the handshake.
func (t *Transport) connectStream(ctx context.Context, s *Stream, addr string, deadline time.Time) (net.Conn, error) {
	conn, err := (&net.Dialer{Deadline: deadline}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	h, err := handshakeDial(conn, t.cfg.Key, purposeStream, deadline, t.cfg.Hello, t.cfg.ValidateStream)
	if err == nil && h.Name != s.Name {
		err = &RejectedError{Reason: fmt.Sprintf("the gateway at %s is %s", addr, h.Name)}
	}
	if err == nil {
		err = s.setConn(conn)
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return conn, nil
}

// setConn sets the connection. It returns an error if the stream has ended.
func (s *Stream) setConn(conn net.Conn) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == nil {
		s.conn = conn
	}
	return s.err
}

// logStreamState logs that a stream to a relay has failed, if the state has changed. err is nil if the stream
// was opened.
func (t *Transport) logStreamState(name, addr string, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err == nil {
		delete(t.loggedRelays, name)
		return
	}
	state, rejected := connState(err)
	if rejected {
		t.Counters.ConnsRejected.Add(1)
	}
	if t.loggedRelays[name] == state || errors.Is(err, ErrStreamClosed) || t.ctx.Err() != nil {
		return
	}
	t.loggedRelays[name] = state
	level := slog.LevelInfo
	if rejected {
		level = slog.LevelWarn
	}
	slog.Log(t.ctx, level, "stream to relay failed, retrying", "relay", name, "address", addr, "why", err.Error())
}

// logRejectedStream counts a rejected stream, and logs one for each address and reason: a rejected gateway
// keeps dialling.
func (t *Transport) logRejectedStream(from net.Addr, err error) {
	t.Counters.ConnsRejected.Add(1)
	host, _, _ := net.SplitHostPort(from.String())
	key := host + " " + err.Error()
	t.mu.Lock()
	_, logged := t.loggedRejections[key]
	if !logged {
		if len(t.loggedRejections) >= maxLoggedRejections {
			clear(t.loggedRejections)
		}
		t.loggedRejections[key] = struct{}{}
	}
	t.mu.Unlock()
	if !logged {
		slog.Warn("incoming stream rejected", "from", from.String(), "why", err.Error())
	}
}
