package fastcgi

import (
	"sync"
	"time"
)

// minPeerWait is the shortest wait for bytes that shows that the web server had none to send. One whose send buffer was full
// sends more within the round trip that opens the receive window again.
const minPeerWait = 5 * time.Millisecond

// unreadInput records since when bytes of a connection may have waited to be read, as reading was blocked. It implements
// engine.BodyArrival for all requests of the connection. The zero value is ready for use.
type unreadInput struct {
	mu           sync.Mutex // guards the fields below
	since        time.Time  // zero: all that was sent has been read
	readingSince time.Time  // when the read in progress began; zero: none is in progress
}

// blocked is called when reading is blocked by a body.
func (u *unreadInput) blocked(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.since.IsZero() {
		u.since = now
	}
}

// beginRead is called before a read from the connection.
func (u *unreadInput) beginRead(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.readingSince = now
}

// endRead is called after a read.
func (u *unreadInput) endRead(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.hasCaughtUp(now) {
		u.since = time.Time{}
	}
	u.readingSince = time.Time{}
}

// hasCaughtUp reports whether the read in progress has waited for so long that nothing was left to read before. The caller
// holds mu.
func (u *unreadInput) hasCaughtUp(now time.Time) bool {
	return !u.readingSince.IsZero() && now.Sub(u.readingSince) >= minPeerWait
}

// oldest returns since when bytes that have just been read may have waited. ok is false if they have not.
func (u *unreadInput) oldest() (since time.Time, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.since, !u.since.IsZero()
}

// EarliestEnd implements engine.BodyArrival.
func (u *unreadInput) EarliestEnd(now time.Time) time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.since.IsZero() || u.hasCaughtUp(now) {
		return now
	}
	return u.since
}
