package body

import "time"

const (
	// maxReadDelay is the longest time for which the reader of a connection waits for the readers of its streams while
	// other streams may wait to be read. A response may be 0.5 s later than its request's timeout; the rest is the time to
	// process a request that was read so late.
	maxReadDelay = 400 * time.Millisecond
	// minSharedRate is the rate, in bytes a second, at which the streams of a connection must be read so that its reader may
	// go on waiting for them beyond maxReadDelay.
	minSharedRate = 4 << 20
)

// WaitBudget bounds how long the goroutine that reads a connection with several streams waits for the readers of these
// streams: what the peer sends for one stream has to be taken before what it has sent for another can be read. The
// waits are counted together, so that many short ones can't add up to a long one: while n bytes are passed on, they take
// no longer than maxReadDelay and n / minSharedRate. It reads no clock. The zero WaitBudget is full.
type WaitBudget struct {
	spent time.Duration
}

// Left returns how long the reader may wait now.
func (b *WaitBudget) Left() time.Duration { return max(0, maxReadDelay-b.spent) }

// Spend counts a wait.
func (b *WaitBudget) Spend(wait time.Duration) { b.spent += wait }

// Earn counts bytes that were passed on to the reader of a stream.
func (b *WaitBudget) Earn(n int) {
	b.spent = max(0, b.spent-time.Duration(n)*time.Second/minSharedRate)
}

// Reset makes the budget full again: nothing waits to be read on the connection, or there is no other stream.
func (b *WaitBudget) Reset() { b.spent = 0 }
