package fastcgi

import (
	"sync/atomic"
	"time"

	"dunemoor/internal/body"
)

// maxWriteTime is the time after which a write that has not ended marks its connection as blocked.
const maxWriteTime = 100 * time.Millisecond

// congestion is what a connection records about clients that do not read their responses, and about a responder that does
// not read its requests. Both delay all requests on the connection.
type congestion struct {
	readBlocked  atomic.Bool               // reading waits for a client
	writeStarted atomic.Pointer[time.Time] // when the write in progress began; nil: no write is in progress

	joined chan struct{} // has an item if a request has been started since the last receive

	// The following are only used by readLoop.

	waits     body.WaitBudget // how long reading may wait for clients while there are other requests
	hasWaited bool            // whether reading has waited since the last read
}

// isBlocked reports whether a request that is started on the connection now may be delayed by others.
func (g *congestion) isBlocked() bool {
	started := g.writeStarted.Load()
	isWriteBlocked := started != nil && time.Since(*started) > maxWriteTime
	return isWriteBlocked || g.readBlocked.Load()
}

func (g *congestion) startWrite() {
	now := time.Now()
	g.writeStarted.Store(&now)
}

func (g *congestion) endWrite() { g.writeStarted.Store(nil) }

// requestStarted is called when a request has been started on the connection.
func (g *congestion) requestStarted() {
	select {
	case g.joined <- struct{}{}:
	default:
	}
}

// forwarded counts bytes of a response that were passed on to its client.
func (g *congestion) forwarded(n int, isShared bool) {
	if isShared {
		g.waits.Earn(n)
	} else {
		g.waits.Reset()
	}
}

// readEnded is called after the bytes of a read were handled. isAll reports whether they were all that had arrived.
func (g *congestion) readEnded(isAll bool) {
	if isAll && !g.hasWaited {
		g.waits.Reset()
	}
}

// awaitRoom writes the rest of a part of a response, and waits until its client has made room for it. It reports whether
// all of it was written in time. The time allowed is short while there are other requests on the connection, also if
// they are started during the wait.
func (c *conn) awaitRoom(k *call, rest []byte) bool {
	g := &c.congestion
	g.readBlocked.Store(true)
	defer g.readBlocked.Store(false)
	g.hasWaited = true
	singleUntil := time.Now().Add(maxStallSingle)
	var sharedSince time.Time
	for {
		if sharedSince.IsZero() && c.numCalls() > 1 {
			sharedSince = time.Now()
		}
		timeout := time.Until(singleUntil)
		if !sharedSince.IsZero() {
			timeout = g.waits.Left() - time.Since(sharedSince)
		}
		timer := time.NewTimer(timeout)
		select {
		case <-k.stdout.Writable():
			rest = k.stdout.TryWrite(rest)
		case <-g.joined:
		case <-timer.C:
			return false
		}
		timer.Stop()
		if len(rest) == 0 {
			if !sharedSince.IsZero() {
				g.waits.Spend(time.Since(sharedSince))
			}
			return true
		}
	}
}

// numCalls returns the number of open requests.
func (c *conn) numCalls() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.calls)
}
