package http1

import (
	"context"
	"time"

	"dunemoor/internal/upstream"
)

// getConn returns the connection to a host that has been idle longest, or dials one. Using connections in turn
// gives a host that closes one some milliseconds after a response the time to do so: a request that is written
// meanwhile fails and may have run. If ctx ends while the connection rests, it is returned nevertheless.
func (t *Transport) getConn(ctx context.Context, h *host) (*conn, error) {
	t.mu.Lock()
	for {
		c := t.popQuiet(h)
		if c == nil {
			break
		}
		rest := t.remainingRest(c)
		if rest <= 0 {
			t.mu.Unlock()
			return c, nil
		}
		t.mu.Unlock()
		if !sleep(ctx, rest) {
			return c, nil
		}
		t.mu.Lock()
		if t.isQuiet(c) {
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

// popQuiet takes the connection to a host that has been idle longest and is quiet, and closes those before it. It
// returns nil if there is none. t.mu is held.
func (t *Transport) popQuiet(h *host) *conn {
	for {
		c, ok := t.idle.PopFirst(h)
		if !ok {
			return nil
		}
		if t.isQuiet(c) {
			return c
		}
		t.closeConnLocked(c)
	}
}

// remainingRest returns how long a connection has to rest before it carries another request. t.mu is held.
func (t *Transport) remainingRest(c *conn) time.Duration {
	if t.lastUnsolicited.IsZero() || time.Since(t.lastUnsolicited) >= unsolicitedMemory {
		return 0
	}
	return t.restAfterResponse - time.Since(c.idleSince)
}

// sleep waits for a duration, and returns false if ctx has ended before.
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

// makeRoom closes the connection that has been idle longest if there may be no further one. It returns false if
// none is idle. t.mu is held.
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

// dial establishes a connection that has been counted as open.
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

// tryPutIdle keeps a connection for the next attempt, or closes it if its host does not accept requests on it any
// more.
func (t *Transport) tryPutIdle(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed || !c.isCurrentLocked() {
		t.closeConnLocked(c)
		return
	}
	c.reused = true
	c.idleSince = time.Now()
	t.idle.Add(c.host, c)
}

// closeExpired closes idle connections that their hosts have closed or soon will.
func (t *Transport) closeExpired() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.idle.RemoveIf(func(c *conn) bool {
		keep := time.Since(c.idleSince) < t.maxIdle && t.isQuiet(c)
		if !keep {
			t.closeConnLocked(c)
		}
		return !keep
	})
}

// close closes all idle connections, and has those in use closed after their attempts.
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

// isQuiet reports whether an idle connection is open and has nothing to read. One that the host has closed, or on
// which it has sent an unsolicited response, can't carry a request. t.mu is held.
func (t *Transport) isQuiet(c *conn) bool {
	isOpen, readable := c.peek()
	if readable {
		t.lastUnsolicited = time.Now()
	}
	return isOpen && !readable
}

// unsolicitedReceived remembers that a host has sent bytes after its response.
func (t *Transport) unsolicitedReceived() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastUnsolicited = time.Now()
}

// responseReceived remembers that a host responds.
func (t *Transport) responseReceived(h *host) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h.lastResponse = time.Now()
}

// attemptGivenUp closes the idle connections to a host that has sent no response since a request was written at
// writtenAt, minSilence or more ago. A machine that has vanished leaves its connections open and silent, and a
// request that is written to one may have run for all that is known. A dial fails soon, which is proof that
// nothing ran.
func (t *Transport) attemptGivenUp(h *host, writtenAt time.Time) {
	if time.Since(writtenAt) < t.minSilence {
		return // a client has left, which says nothing about the host
	}
	t.mu.Lock()
	isSilent := h.lastResponse.Before(writtenAt)
	t.mu.Unlock()
	if isSilent {
		h.CloseIdle()
	}
}
