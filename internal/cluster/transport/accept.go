package transport

import (
	"bufio"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"dunemoor/internal/cluster/node"
)

const (
	// acceptRetryDelay is the delay after a connection could not be accepted.
	acceptRetryDelay = 50 * time.Millisecond
	// frameReadBuffer is the size of the read buffer of a connection for frames.
	frameReadBuffer = 64 << 10
)

// remotePeer is the gateway at the other end of an incoming connection for frames.
type remotePeer struct {
	name       string
	replicaID  uint64
	receivedAt atomic.Int64 // arrival time of the last frame, in nanoseconds since Transport.startedAt
}

// acceptLoop accepts connections and serves each on a goroutine of its own.
func (t *Transport) acceptLoop() {
	for {
		conn, err := t.listener.Accept()
		if t.ctx.Err() != nil {
			return
		}
		if err != nil {
			slog.Warn("accepting connections failed, retrying", "err", err)
			select {
			case <-t.ctx.Done():
				return
			case <-time.After(acceptRetryDelay):
			}
			continue
		}
		if !t.addConn(conn) {
			conn.Close()
			continue
		}
		started := t.run(func() {
			t.serve(conn)
			conn.Close()
			t.removeConn(conn)
		})
		if !started {
			conn.Close()
			return
		}
	}
}

// addConn registers an incoming connection. It returns false if there are too many.
func (t *Transport) addConn(conn net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.conns) >= maxConns {
		return false
	}
	t.conns[conn] = nil
	return true
}

func (t *Transport) removeConn(conn net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, conn)
}

// validate returns why a connection for a purpose is rejected, or nil. In addition to the checks of Config, a
// name belongs to one gateway: while a gateway with another disk is connected under the name, a second one is
// rejected.
func (t *Transport) validate(purpose byte, h *node.Hello) error {
	if purpose == purposeStream {
		if !t.cfg.AcceptStreams {
			return fmt.Errorf("%s is not a relay", t.cfg.Name)
		}
		return t.cfg.ValidateStream(h)
	}
	if err := t.cfg.Validate(h); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.conns {
		if r == nil || r.name != h.Name || r.replicaID == h.ReplicaID {
			continue
		}
		if t.sinceStart()-time.Duration(r.receivedAt.Load()) < silenceTimeout {
			return fmt.Errorf("another gateway with the name %s is connected", h.Name)
		}
	}
	return nil
}

// serve serves an incoming connection until it ends.
func (t *Transport) serve(conn net.Conn) {
	purpose, h, err := handshakeAccept(conn, t.cfg.Key, t.cfg.Hello, t.validate)
	if err != nil {
		t.logRejected(conn, purpose, err)
		return
	}
	switch purpose {
	case purposeSnapshot:
		t.receiveSnapshot(conn, h)
	case purposeStream:
		t.serveStream(conn, h)
	default:
		t.serveFrames(conn, h)
	}
}

// logRejected counts and logs a connection that was rejected. Other failures of a handshake are not logged.
func (t *Transport) logRejected(conn net.Conn, purpose byte, err error) {
	if !isRejection(err) {
		return
	}
	if purpose == purposeStream {
		t.logRejectedStream(conn.RemoteAddr(), err)
		return
	}
	t.Counters.ConnsRejected.Add(1)
	slog.Warn("incoming connection rejected", "from", conn.RemoteAddr().String(), "why", err.Error())
}

// serveFrames receives frames until the connection ends.
func (t *Transport) serveFrames(conn net.Conn, h *node.Hello) {
	remote := t.replaceConn(conn, h)
	t.handler.ReceiveHello(*h)
	if o, ok := t.handler.(ConnObserver); ok {
		defer o.Disconnected(h.Name)
	}
	in := bufio.NewReaderSize(conn, frameReadBuffer)
	for {
		conn.SetReadDeadline(time.Now().Add(silenceTimeout))
		kind, body, err := ReadFrame(in)
		if err != nil {
			t.countMalformed(h.Name, err)
			return
		}
		remote.receivedAt.Store(int64(t.sinceStart()))
		if kind == kindKeepalive {
			continue
		}
		t.Counters.FramesReceived.Add(1)
		t.handler.Receive(h.Name, node.Kind(kind), body)
	}
}

// replaceConn makes a connection the only one from its gateway. It closes an earlier one, which may be from a
// process that has ended.
func (t *Transport) replaceConn(conn net.Conn, h *node.Hello) *remotePeer {
	remote := &remotePeer{name: h.Name, replicaID: h.ReplicaID}
	remote.receivedAt.Store(int64(t.sinceStart()))
	t.mu.Lock()
	defer t.mu.Unlock()
	for previous, r := range t.conns {
		if r != nil && r.name == h.Name {
			previous.Close()
		}
	}
	t.conns[conn] = remote
	return remote
}

// countMalformed counts and logs an error that a malformed frame has caused.
func (t *Transport) countMalformed(gateway string, err error) {
	if errors.Is(err, ErrFrameChecksum) || errors.Is(err, ErrFrameTooLarge) {
		t.Counters.FramesMalformed.Add(1)
		slog.Warn("malformed frame, connection closed", "gateway", gateway, "why", err.Error())
	}
}
