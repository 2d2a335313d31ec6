package transport

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// peerConn is the outgoing connection to one peer, with the queue of frames for it.
type peerConn struct {
	name, addr string
	wake       chan struct{} // signals that a frame was added to the queue

	mu         sync.Mutex
	queue      [][]byte
	queueBytes int
	conn       net.Conn // nil until the first connection

	logged string // last logged state; used by maintain only
}

// enqueue adds a frame to the queue. It returns false if there is no room for it.
func (p *peerConn) enqueue(kind byte, body []byte) bool {
	f := AppendFrame(nil, kind, body)
	p.mu.Lock()
	full := p.queueBytes+len(f) > maxQueueBytes || len(body) > maxFrameBytes
	if !full {
		p.queue = append(p.queue, f)
		p.queueBytes += len(f)
	}
	p.mu.Unlock()
	if full {
		return false
	}
	select {
	case p.wake <- struct{}{}:
	default: // a signal is pending already
	}
	return true
}

// takeQueue empties the queue and returns its frames.
func (p *peerConn) takeQueue() (frames net.Buffers, bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	frames, bytes = p.queue, p.queueBytes
	p.queue, p.queueBytes = nil, 0
	return frames, bytes
}

func (p *peerConn) setConn(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conn = conn
}

// close closes the current connection.
func (p *peerConn) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		p.conn.Close()
	}
}

// maintain keeps a connection to a peer, and dials again with an increasing delay after a failure.
func (t *Transport) maintain(p *peerConn) {
	delay := minRedialDelay
	for t.ctx.Err() == nil {
		dialledAt := time.Now()
		err := t.runConn(p)
		if t.ctx.Err() != nil {
			return
		}
		t.handler.Unreachable(p.name)
		lost, _ := p.takeQueue() // the queued frames are of no use to the next process at that address
		t.Counters.FramesLost.Add(uint64(len(lost)))
		t.logState(p, err)
		if time.Since(dialledAt) > maxRedialDelay {
			delay = minRedialDelay
		}
		select {
		case <-t.ctx.Done():
		case <-time.After(delay/2 + rand.N(delay)):
		}
		delay = min(2*delay, maxRedialDelay)
	}
}

// stateDown is the logged state of a peer that can't be reached. It replaces the error of the operating system,
// which contains a port number and so differs each time.
const stateDown = "down"

// connState returns the state to log for an error, and whether the connection was rejected.
func connState(err error) (state string, rejected bool) {
	if isRejection(err) {
		return err.Error(), true
	}
	return stateDown, false
}

// logState logs that a connection to a peer has failed, if the state has changed.
func (t *Transport) logState(p *peerConn, err error) {
	state, rejected := connState(err)
	if rejected {
		t.Counters.ConnsRejected.Add(1)
	}
	if state == p.logged {
		return
	}
	p.logged = state
	level := slog.LevelInfo
	if rejected {
		level = slog.LevelWarn
	}
	slog.Log(t.ctx, level, "connection to peer failed, retrying", "gateway", p.name, "address", p.addr, "why", err.Error())
}

// dialPeer opens a connection to a peer.
func (t *Transport) dialPeer(p *peerConn, purpose byte) (net.Conn, error) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(t.ctx, "tcp", p.addr)
	if err != nil {
		return nil, err
	}
	h, err := handshakeDial(conn, t.cfg.Key, purpose, time.Now().Add(handshakeTimeout), t.cfg.Hello, t.cfg.Validate)
	if err == nil && h.Name != p.name {
		err = &RejectedError{Reason: fmt.Sprintf("the gateway at %s is %s", p.addr, h.Name)}
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return conn, nil
}

// errConnEnded is the error of a connection that its peer has closed.
var errConnEnded = errors.New("connection closed by the peer")

// runConn connects to a peer and sends the frames that are queued for it until the connection fails.
func (t *Transport) runConn(p *peerConn) error {
	conn, err := t.dialPeer(p, purposeFrames)
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(t.ctx, func() { conn.Close() })()
	t.Counters.Dials.Add(1)
	p.logged = ""
	p.setConn(conn)
	if o, ok := t.handler.(ConnObserver); ok {
		o.Connected(p.name)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		var b [1]byte
		conn.Read(b[:]) // the peer sends nothing on this connection: Read returns when it ends
	}()
	keepalive := time.NewTicker(keepaliveInterval)
	defer keepalive.Stop()
	for {
		if frames, bytes := p.takeQueue(); len(frames) > 0 {
			if err := t.writeFrames(conn, frames, bytes); err != nil {
				return err
			}
			continue
		}
		select {
		case <-t.ctx.Done():
			return t.ctx.Err()
		case <-ended:
			return errConnEnded
		case <-p.wake:
		case <-keepalive.C:
			f := AppendFrame(nil, kindKeepalive, nil)
			if err := t.writeFrames(conn, net.Buffers{f}, len(f)); err != nil {
				return err
			}
		}
	}
}

// writeFrames writes frames with a total size of bytes in one call.
func (t *Transport) writeFrames(conn net.Conn, frames net.Buffers, bytes int) error {
	n := len(frames)
	conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := frames.WriteTo(conn); err != nil {
		return err
	}
	t.Counters.FramesSent.Add(uint64(n))
	t.Counters.BytesSent.Add(uint64(bytes))
	return nil
}
