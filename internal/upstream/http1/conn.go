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

// conn is a connection to a host. It is owned by one attempt or, while it is idle, by the Transport.
type conn struct {
	net.Conn
	host    *host
	process upstream.Process // process at the other end

	wasIdle   bool      // whether the connection was in the pool: the host may have closed it meanwhile
	idleSince time.Time // when the connection was put into the pool; guarded by Transport.mu while it is there

	readTimeout  time.Duration     // time limit of each read; 0: none
	readErr      error             // first error of a read other than a timeout
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

// Release puts the connection, to which nothing was written, into the pool for another attempt.
func (c *conn) Release() { c.host.transport.tryPutIdle(c) }

// RoundTrip sends the request and receives the header section of its response, with the part of the body that is
// buffered. As the dial may have taken long, it first checks whether the request may still be sent: not if the host is
// draining or its process has changed, and not if the request has its response, its client has disconnected or the
// time to write it has expired. NotSent proves that the request never ran, as nothing was written.
func (c *conn) RoundTrip(ctx context.Context, x *engine.Request) engine.Result {
	if !x.MayWrite() || !c.isCurrent() {
		c.Release()
		return engine.Ended(balancer.NotSent)
	}
	return c.roundTrip(ctx, x)
}

// isCurrent reports whether the connection leads to the process that the endpoint list has for the host now, and that
// process accepts requests.
func (c *conn) isCurrent() bool {
	c.host.transport.mu.Lock()
	defer c.host.transport.mu.Unlock()
	return c.isCurrentLocked()
}

// isCurrentLocked is isCurrent with Transport.mu held.
func (c *conn) isCurrentLocked() bool {
	return c.host.usable.Load() && c.process == c.host.process
}

// Read reads from the connection, within readTimeout if that is set. The kernel reports a reset once and then the end of
// the stream, and a bufio.Reader discards an error after Peek has returned it. Read therefore keeps the first error and
// returns it again: where a response is delimited by the end of its connection, a reset must not be taken for that end.
func (c *conn) Read(b []byte) (int, error) {
	if c.readErr != nil {
		return 0, c.readErr
	}
	if c.readTimeout > 0 {
		c.SetReadDeadline(time.Now().Add(c.readTimeout))
	}
	n, err := c.Conn.Read(b)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.readErr = err
	}
	return n, err
}

// setReadTimeout sets the time limit of each of the following reads; 0 removes the limit.
func (c *conn) setReadTimeout(timeout time.Duration) {
	if c.readTimeout > 0 && timeout == 0 {
		c.SetReadDeadline(time.Time{})
	}
	c.readTimeout = timeout
}

// peek reports whether the connection is open, and whether there are bytes to read. It does not block.
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
