package http1

import (
	"sync"
	"time"
)

const (
	// maxClientBuffer is the most that a client's send buffer holds, in bytes, by the default of Linux (tcp_wmem).
	maxClientBuffer = 4 << 20
	// minClientWait is the shortest wait for bytes that shows that the client had none to send. A client whose send buffer
	// was full sends more within the round trip that opens the receive window again.
	minClientWait = 5 * time.Millisecond
)

// bodyArrival tells how much of a request's streamed body the client may have sent. It implements engine.BodyArrival. The
// last byte of the body may be in three places that the gateway has not read: the receive buffer of its socket, the
// network, and the client's send buffer. The last can only hold bytes while the receive window is closed, and holds
// maxClientBuffer at most.
type bodyArrival struct {
	input  socketInput
	length int64 // Content-Length; -1: unknown

	mu           sync.Mutex // guards the fields below
	bytesRead    int64      // bytes of the body that were read
	unread       int        // bytes in the buffer of the connection after the last read
	readingSince time.Time  // when the read in progress began; zero: none is in progress
	incompleteAt time.Time  // when the last byte had provably not been sent, the latest such time that is known
	checkpoint   arrivalCheckpoint
}

// arrivalCheckpoint is how many bytes of a body may have been sent at a time.
type arrivalCheckpoint struct {
	at   time.Time
	sent int64
}

// start begins to record the arrival of a body of which a part was read at the given time.
func (a *bodyArrival) start(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.incompleteAt = now
	a.setCheckpoint(now)
}

// beginRead is called before a read of the body.
func (a *bodyArrival) beginRead(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readingSince = now
}

// endRead is called after a read of n bytes of the body. unread is how many bytes the buffer of the connection holds.
func (a *bodyArrival) endRead(now time.Time, n, unread int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	hasWaited := now.Sub(a.readingSince) >= minClientWait
	a.readingSince = time.Time{}
	a.bytesRead += int64(n)
	a.unread = unread
	if hasWaited {
		a.incompleteAt = now
	}
	if a.bytesRead > a.checkpoint.sent {
		// The body goes on after the last byte that may have been sent at the checkpoint.
		a.advance(a.checkpoint.at)
		a.setCheckpoint(now)
	}
}

// setCheckpoint sets the checkpoint to what may have been sent by now. The caller holds mu.
func (a *bodyArrival) setCheckpoint(now time.Time) {
	a.checkpoint = arrivalCheckpoint{now, a.bytesRead + int64(a.unread) + int64(max(a.input.unread(), 0)) + maxClientBuffer}
}

// advance sets incompleteAt to a time, unless a later one is known. The caller holds mu.
func (a *bodyArrival) advance(at time.Time) {
	if at.After(a.incompleteAt) {
		a.incompleteAt = at
	}
}

// lastByteSent returns the earliest time at which the last byte may have been sent, once it has been read.
func (a *bodyArrival) lastByteSent() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.incompleteAt
}

// EarliestEnd implements engine.BodyArrival.
func (a *bodyArrival) EarliestEnd(now time.Time) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.isIncomplete(now) {
		a.incompleteAt = now
	}
	return a.incompleteAt
}

// isIncomplete reports whether the last byte has provably not been sent. The caller holds mu.
func (a *bodyArrival) isIncomplete(now time.Time) bool {
	received := a.input.unread()
	if received == unreadUnknown {
		return false
	}
	isWaiting := !a.readingSince.IsZero() && now.Sub(a.readingSince) >= minClientWait
	if isWaiting && received == 0 {
		return true
	}
	if a.length < 0 {
		return a.unread == 0 && received == 0
	}
	notReceived := a.length - a.bytesRead - int64(a.unread) - int64(received)
	return notReceived > maxClientBuffer || notReceived > 0 && a.input.isWindowOpen(received)
}
