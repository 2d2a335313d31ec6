package http1

import (
	"context"
	"time"

	"dunemoor/internal/upstream"
)

// getConn returns the connection to a host that has been idle longest, or dials a new one. Using the connections in
// turn gives a host that closes a connection some milliseconds after a response the time to do so: a request written in
// between would fail, and might have run. If ctx ends during the reuse delay, the connection is returned nevertheless.
func (t *Transport) getConn(ctx context.Context, h *host) (*conn, error) {
	t.mu.Lock()
	for {
		c := t.popReusable(h)
		if c == nil {
			break
		}
		delay := t.remainingReuseDelay(c)
		if delay <= 0 {
			t.mu.Unlock()
			return c, nil
		}
		t.mu.Unlock()
		if !sleep(ctx, delay) {
			return c, nil
		}
		t.mu.Lock()
		if t.isReusable(c) {
			t.mu.Unlock()
			return c, nil
		}
		t.closeConnLocked(c)
	}
	if !t.makeRoom() {
		t.mu.Unlock()
		return nil, upstream.ErrTooManyConns
	}
	t.idle.CountOpened()
	current := h.process
	t.mu.Unlock()
	return t.dial(ctx, h, current)
}

// popReusable removes the reusable connection to a host that has been idle longest from the pool, and returns it, or nil
// if there is none. It closes connections that have been idle longer and are not reusable. t.mu is held.
func (t *Transport) popReusable(h *host) *conn {
	for {
		c, ok := t.idle.PopFirst(h)
		if !ok {
			return nil
		}
		if t.isReusable(c) {
			return c
		}
		t.closeConnLocked(c)
	}
}

// remainingReuseDelay returns how long a connection must stay idle before it carries another request. Zero or less means
// that it may carry one now. t.mu is held.
func (t *Transport) remainingReuseDelay(c *conn) time.Duration {
	if t.lastUnsolicited.IsZero() || time.Since(t.lastUnsolicited) >= unsolicitedWindow {
		return 0
	}
	return t.reuseDelay - time.Since(c.idleSince)
}

// sleep waits for a duration, and returns false if ctx ends before.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// makeRoom reports whether another connection may be opened. At the limit it closes the connection that has been idle
// longest, and returns false if none is idle. t.mu is held.
func (t *Transport) makeRoom() bool {
	if !t.idle.Full() {
		return true
	}
	h, longest, ok := t.idle.LongestIdle()
	if ok {
		t.idle.Remove(h, longest)
		t.closeConnLocked(longest)
	}
	return ok
}

// dial establishes a connection, which the caller has counted as open.
func (t *Transport) dial(ctx context.Context, h *host, target upstream.Process) (*conn, error) {
	netConn, err := t.dialContext(ctx, "tcp", target.Addr)
	if err != nil {
		t.mu.Lock()
		t.idle.CountClosed()
		t.mu.Unlock()
		return nil, err
	}
	return newConn(netConn, h, target), nil
}

// tryPutIdle puts a connection into the pool, or closes it if the transport is closed or the host no longer accepts
// requests on it.
func (t *Transport) tryPutIdle(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed || !c.isCurrentLocked() {
		t.closeConnLocked(c)
		return
	}
	c.wasIdle = true
	c.idleSince = time.Now()
	t.idle.Add(c.host, c)
}

// closeExpired closes idle connections that have been idle for maxIdle, as their hosts may soon close them, and those
// for which isReusable returns false.
func (t *Transport) closeExpired() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.idle.RemoveIf(func(c *conn) bool {
		keep := time.Since(c.idleSince) < t.maxIdle && t.isReusable(c)
		if !keep {
			t.closeConnLocked(c)
		}
		return !keep
	})
}

// close closes all idle connections, and marks the transport as closed so that those in use are closed after their
// attempts.
func (t *Transport) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	t.idle.RemoveIf(func(c *conn) bool {
		t.closeConnLocked(c)
		return true
	})
}

// closeConn closes a connection after an attempt.
func (t *Transport) closeConn(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closeConnLocked(c)
}

// closeConnLocked closes a connection that is not in the pool. t.mu is held.
func (t *Transport) closeConnLocked(c *conn) {
	c.Conn.Close()
	t.idle.CountClosed()
}

// isReusable reports whether an idle connection is open and has nothing to read. A connection that the host has closed, or
// on which it has sent an unsolicited response, can't carry a request. t.mu is held.
func (t *Transport) isReusable(c *conn) bool {
	isOpen, readable := c.peek()
	if readable {
		t.lastUnsolicited = time.Now()
	}
	return isOpen && !readable
}

// unsolicitedReceived records that a host has sent bytes after its response.
func (t *Transport) unsolicitedReceived() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastUnsolicited = time.Now()
}

// responseReceived records that a host has responded.
func (t *Transport) responseReceived(h *host) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h.lastResponse = time.Now()
}

// attemptAbandoned is called when an attempt is abandoned whose request was written at writtenAt. If that was minSilence
// or more ago, and the host has sent no response since, it closes the idle connections to the host. A machine that has
// failed leaves its connections open and silent, and whether a request that is written to one of them has run is not
// known. A dial to it fails soon, which proves that nothing ran.
func (t *Transport) attemptAbandoned(h *host, writtenAt time.Time) {
	if time.Since(writtenAt) < t.minSilence {
		return // too early to be evidence that the host has failed, for example because the client disconnected
	}
	t.mu.Lock()
	isSilent := h.lastResponse.Before(writtenAt)
	t.mu.Unlock()
	if isSilent {
		h.CloseIdle()
	}
}
