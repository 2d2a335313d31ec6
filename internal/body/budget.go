package body

import "sync/atomic"

// Purpose is what memory for bodies is reserved for.
type Purpose uint8

// Purposes of memory, with the names of String.
const (
	// RequestBodies are buffered parts of request bodies; "requests".
	RequestBodies Purpose = iota
	// ResponseBodies are buffered parts of response bodies that are longer than 64 KiB; "answers". upstream/http1
	// reserves memory for them here, within a limit that each Transport has besides (Transport.maxLargeBytes).
	ResponseBodies
	// StreamBuffers are buffers that streams are copied through; "flows".
	StreamBuffers
	purposeCount
)

var purposeNames = [purposeCount]string{"requests", "answers", "flows"}

// Purposes returns all purposes.
func Purposes() []Purpose { return []Purpose{RequestBodies, ResponseBodies, StreamBuffers} }

// String returns the name that the purpose has in metrics and in the admin status.
func (p Purpose) String() string { return purposeNames[p] }

// purposeShares are the shares of the process's memory limit by purpose. A buffered body may exist twice while it is
// in flight, as received and as sent, but is counted once; a stream buffer exists once.
var purposeShares = [purposeCount]float64{
	RequestBodies:  1.0 / 8,
	ResponseBodies: 1.0 / 4,
	StreamBuffers:  1.0 / 8,
}

// Budget bounds the memory that bodies in flight use. Each purpose has a limit of its own, so that one can't use
// up the memory of another. What is reserved must be released after the last reference to the memory was dropped, and
// not when it was read for the last time. The methods of a Budget may be called by any goroutine.
type Budget struct {
	used, limit [purposeCount]atomic.Int64 // bytes
}

// NewBudget returns a Budget for a process with a memory limit in bytes.
func NewBudget(memoryLimit int64) *Budget {
	b := &Budget{}
	b.SetMemoryLimit(memoryLimit)
	return b
}

// SetMemoryLimit changes the memory limit in bytes, as while two processes share it. What is reserved stays reserved.
func (b *Budget) SetMemoryLimit(memoryLimit int64) {
	for p, share := range purposeShares {
		b.limit[p].Store(int64(share * float64(memoryLimit)))
	}
}

// Reserve reserves n bytes and reports whether they were available. If they were not it reserves nothing.
func (b *Budget) Reserve(p Purpose, n int64) bool {
	if b.used[p].Add(n) > b.limit[p].Load() {
		b.used[p].Add(-n)
		return false
	}
	return true
}

// Release returns n reserved bytes.
func (b *Budget) Release(p Purpose, n int64) { b.used[p].Add(-n) }

// Used returns how many bytes are reserved for a purpose, and how many may be.
func (b *Budget) Used(p Purpose) (used, limit int64) { return b.used[p].Load(), b.limit[p].Load() }

// Memory for a purpose is scarce while more than nearLimitNumerator / nearLimitDenominator of its limit is in use.
const (
	nearLimitNumerator   = 3
	nearLimitDenominator = 4
)

// NearLimit reports whether memory for a purpose is scarce. Less of each body is buffered then, and streams get small
// buffers.
func (b *Budget) NearLimit(p Purpose) bool {
	used, limit := b.Used(p)
	return used*nearLimitDenominator > limit*nearLimitNumerator
}

// AcquireBuffer returns a buffer to copy a stream through, or nil if there is no memory for one. A small one is
// returned while memory is scarce: it copies at about half the rate, with a sixteenth of the memory.
func (b *Budget) AcquireBuffer() *[]byte {
	if !b.NearLimit(StreamBuffers) && b.Reserve(StreamBuffers, largeBufferSize) {
		return largeBuffers.Get().(*[]byte)
	}
	if b.Reserve(StreamBuffers, smallBufferSize) {
		return smallBuffers.Get().(*[]byte)
	}
	return nil
}

// ReleaseBuffer releases a buffer that AcquireBuffer has returned.
func (b *Budget) ReleaseBuffer(buf *[]byte) {
	b.Release(StreamBuffers, int64(len(*buf)))
	if len(*buf) == largeBufferSize {
		largeBuffers.Put(buf)
		return
	}
	smallBuffers.Put(buf)
}
