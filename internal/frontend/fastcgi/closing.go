package fastcgi

import (
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"dunemoor/internal/fastcgi"
)

// A connection that is to be closed carries its requests to their end first. It carries a request from the first byte of
// its BEGIN_REQUEST until its END_REQUEST is written, so neither an empty map of requests nor a decoder without open
// requests is enough: the last records of several requests are written one after the other.
//
// Only the goroutine that reads the connection can tell whether a part of a request has been read. It therefore closes
// the connection; the others set closing and interrupt its read. It then reads once more without waiting, and a request
// that has arrived is still served. Then it closes the connection for writing first: closing a connection with unread
// bytes resets it, and the web server may see the reset before it has read the last response.

const (
	// lingerTimeout and maxLingerBytes bound the input that is read and discarded after the last response.
	lingerTimeout  = 500 * time.Millisecond
	maxLingerBytes = 256 << 10
	// maxEnding is the maximum number of requests of a connection whose last records wait to be written.
	maxEnding = fastcgi.MaxRequestsPerConn
	// pollTimeout is the time for which read waits for input that has arrived already, on a connection without a file
	// descriptor.
	pollTimeout = time.Millisecond
)

// deadlinePassed is a read deadline in the past, which interrupts a blocked read.
var deadlinePassed = time.Unix(1, 0)

// carriesNothing reports whether the connection has no request whose parameters are complete and whose END_REQUEST is
// not written. The caller holds mu.
func (c *conn) carriesNothing() bool { return len(c.requests) == 0 && c.ending == 0 }

// isIdle reports whether the connection carries no complete request and is not being closed, and since when nothing has
// been read from it.
func (c *conn) isIdle() (since time.Time, idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastRead, c.carriesNothing() && !c.closing
}

// startEnding removes a request whose last records are about to be written. alone reports whether the connection
// carries no other request.
func (c *conn) startEnding(r *request) (alone bool) {
	c.mu.Lock()
	alone = len(c.requests) == 1 && c.ending == 0
	delete(c.requests, r.id)
	c.ending++
	if !r.keepConn || c.server.endsAfterResponse() {
		c.closing = true
	}
	c.mu.Unlock()
	// RequestEnded must precede the write: the web server may reuse the id as soon as it has read the END_REQUEST.
	c.decoder.RequestEnded(r.id)
	return alone && c.decoder.NumOpen() == 0
}

// withholdEnd makes the end of the connection mark the end of a truncated response, in place of its END_REQUEST. The
// END_REQUEST is written after all if another request arrives before the connection is closed.
func (c *conn) withholdEnd(end []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	c.withheldEnd = append([]byte(nil), end...)
}

// ended is called when the last records of a request have been written.
func (c *conn) ended() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending--
	c.endingDone.Signal()
	c.interruptRead()
}

// awaitLastWrites waits while the last records of too many requests are not written yet. A web server that does not read its
// responses is not read from, so that it can't make the gateway hold more and more of them. The writes have timeouts.
func (c *conn) awaitLastWrites() {
	start := time.Now()
	c.mu.Lock()
	mustWait := c.ending >= maxEnding
	for c.ending >= maxEnding {
		c.endingDone.Wait()
	}
	c.mu.Unlock()
	if mustWait {
		c.unread.blocked(start)
		c.setLastRead(time.Now()) // the time in which nothing was read times out no incomplete request
	}
}

// closeWhenIdle closes the connection once it carries no request.
func (c *conn) closeWhenIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	c.interruptRead()
}

// evict closes an idle connection in order to free its descriptor. A request that has arrived by then is still served.
// A connection that is being closed already is left alone.
func (c *conn) evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return
	}
	c.closing = true
	c.evicted = true
	c.interruptRead()
}

// interruptRead makes serve check at once whether the connection may be closed. The caller holds mu.
func (c *conn) interruptRead() {
	if c.closing && c.carriesNothing() {
		c.interrupted = true
		c.nc.SetReadDeadline(deadlinePassed)
	}
}

// read reads from the connection, and waits for input for up to checkInterval. If the connection may be closed it only
// reads what has arrived.
func (c *conn) read(buf []byte) (int, error) {
	for !c.mayClose() {
		if c.startRead() {
			return c.nc.Read(buf)
		}
	}
	c.closeWhenIdle() // from now on it can't be evicted, which would interrupt the read
	return readAvailable(c.nc, buf)
}

// startRead sets the deadline of a read. It returns false if the read has been interrupted since the last call of
// mayClose.
func (c *conn) startRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.interrupted {
		c.nc.SetReadDeadline(time.Now().Add(checkInterval))
	}
	return !c.interrupted
}

// mayClose reports whether the connection is to be closed and carries no request, not even a part of one. It is only
// called by the goroutine of serve.
func (c *conn) mayClose() bool {
	c.mu.Lock()
	c.interrupted = false
	closing := c.closing
	evicted := c.evicted
	busy := !c.carriesNothing()
	sinceLastRead := time.Since(c.lastRead)
	c.mu.Unlock()
	hasPartialRequest := !evicted && !c.discardInput && c.hasPartialRequest() && sinceLastRead < requestTimeout
	switch {
	case busy || hasPartialRequest:
		return false
	case closing || sinceLastRead > idleTimeout:
		return true
	default:
		return sinceLastRead >= checkInterval && c.server.endsAfterResponse()
	}
}

// hasPartialRequest reports whether a request without all of its parameters has been read, or a part of a record that
// may begin one.
func (c *conn) hasPartialRequest() bool {
	return c.decoder.NumOpen() > 0 || c.decoder.MayBeginRequest()
}

// lingeringClose closes a connection for writing, reads and discards input for a while so that the web server can read
// the last response, and then closes the connection. Errors mean that the web server has closed it.
func (c *conn) lingeringClose() {
	defer c.nc.Close()
	c.mu.Lock()
	evicted := c.evicted
	c.mu.Unlock()
	half, ok := c.nc.(interface{ CloseWrite() error })
	if evicted || !ok {
		return
	}
	half.CloseWrite()
	c.nc.SetReadDeadline(time.Now().Add(lingerTimeout))
	io.CopyN(io.Discard, c.nc, maxLingerBytes)
}

// readAvailable reads what has arrived on a connection. If there is nothing the error is os.ErrDeadlineExceeded.
func readAvailable(nc net.Conn, buf []byte) (int, error) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		nc.SetReadDeadline(time.Now().Add(pollTimeout))
		return nc.Read(buf)
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	nc.SetReadDeadline(time.Time{}) // a deadline that has passed would prevent the read
	n, readErr := 0, error(nil)
	err = raw.Read(func(fd uintptr) bool {
		n, readErr = readNonblocking(fd, buf)
		return true
	})
	if err != nil {
		return 0, err // the gateway has closed the connection
	}
	return n, readErr
}

// readNonblocking calls read(2) on a non-blocking descriptor. The error is os.ErrDeadlineExceeded if there is nothing to
// read, and io.EOF at the end of the connection.
func readNonblocking(fd uintptr, buf []byte) (int, error) {
	for {
		n, err := syscall.Read(int(fd), buf)
		switch {
		case err == syscall.EINTR:
			continue
		case err == syscall.EAGAIN:
			return 0, os.ErrDeadlineExceeded
		case err != nil:
			return 0, os.NewSyscallError("read", err)
		case n == 0:
			return 0, io.EOF
		}
		return n, nil
	}
}
