package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/textproto"
	"os"
	"syscall"
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/engine"
	"dunemoor/internal/upstream"
)

// conn is a connection to a host. It belongs to one attempt or, while it is idle, to the Transport.
type conn struct {
	net.Conn
	host    *host
	process upstream.Process // that it leads to

	reused    bool      // it has carried a request
	idleSince time.Time // of its last request; guarded by Transport.mu while the connection is in the pool

	readGap      time.Duration     // limit of the time of a single read; 0: none
	readErr      error             // the first error of a read other than a timeout
	headerLimit  *io.LimitedReader // limits the length of a response's header section
	in           *bufio.Reader     // buffers headerLimit
	headerReader *textproto.Reader // reads header sections from in
	lastProto    string            // HTTP version of the last response
}

func newConn(netConn net.Conn, h *host, target upstream.Process) *conn {
	c := &conn{Conn: netConn, host: h, process: target}
	c.headerLimit = &io.LimitedReader{R: c, N: maxHeaderBytes}
	c.in = bufio.NewReader(c.headerLimit)
	c.headerReader = textproto.NewReader(c.in)
	return c
}

// IdleSince returns when the connection was put into the pool.
func (c *conn) IdleSince() (at time.Time, ok bool) { return c.idleSince, true }

// Release keeps the connection, to which nothing was written, for another attempt.
func (c *conn) Release() { c.host.transport.tryPutIdle(c) }

// RoundTrip sends the request and receives the header section of its response, with the part of the body that is
// buffered. The dial may have taken long, so it checks first whether the request may still be sent: not to a host
// that is draining or whose process has changed, and not after the response, the client or the time to write it
// has gone. NotSent is proof that the request never ran, as nothing was written.
func (c *conn) RoundTrip(ctx context.Context, x *engine.Request) engine.Result {
	if !x.MayWrite() || !c.isCurrent() {
		c.Release()
		return engine.Ended(balancer.NotSent)
	}
	return c.roundTrip(ctx, x)
}

// isCurrent reports whether the connection leads to the process that the endpoint list names now, and that process
// accepts requests.
func (c *conn) isCurrent() bool {
	c.host.transport.mu.Lock()
	defer c.host.transport.mu.Unlock()
	return c.isCurrentLocked()
}

// isCurrentLocked is isCurrent with Transport.mu held.
func (c *conn) isCurrentLocked() bool {
	return c.host.usable.Load() && c.process == c.host.process
}

// Read reads from the connection, within readGap if that is set. The kernel reports a reset once and then the end
// of the stream, and a bufio.Reader drops an error that a Peek has met. The first error is therefore kept: where a
// response ends with its connection, a reset must not be taken for the end.
func (c *conn) Read(b []byte) (int, error) {
	if c.readErr != nil {
		return 0, c.readErr
	}
	if c.readGap > 0 {
		c.SetReadDeadline(time.Now().Add(c.readGap))
	}
	n, err := c.Conn.Read(b)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.readErr = err
	}
	return n, err
}

// setReadGap limits the time of each of the following reads; 0 removes the limit.
func (c *conn) setReadGap(gap time.Duration) {
	if c.readGap > 0 && gap == 0 {
		c.SetReadDeadline(time.Time{})
	}
	c.readGap = gap
}

// peek reports whether the connection is open, and whether there are bytes to read. It does not wait.
func (c *conn) peek() (isOpen, readable bool) {
	syscallConn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false, false
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return false, false
	}
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		readable = n > 0
		isOpen = err == syscall.EAGAIN || readable
		return true
	})
	return err == nil && isOpen, readable
}
