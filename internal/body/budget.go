package body

import (
	"math/bits"
	"sync"
	"sync/atomic"
)

// Purpose is what memory for bodies is taken for.
type Purpose uint8

// Causes.
const (
	RequestBodies  Purpose = iota // held parts of requests
	ResponseBodies                // answers held whole beyond 64 KiB
	StreamBuffers                 // buffers of what flows
	causes
)

var causeNames = [...]string{"requests", "answers", "flows"}

// Purposes are all of them.
func Purposes() []Purpose { return []Purpose{RequestBodies, ResponseBodies, StreamBuffers} }

// String names the cause, for counters.
func (c Purpose) String() string { return causeNames[c] }

// Shares of the process's memory that bodies may take, by cause. A request out holds its body
// and a copy as sent, an answer as much again; buffers are used once.
var shares = [causes]float64{RequestBodies: 1.0 / 8, ResponseBodies: 1.0 / 4, StreamBuffers: 1.0 / 8}

// Budget is the one owner of the memory that bodies in flight take. Each cause has its part:
// downloads can't keep out bookings.
type Budget struct {
	used, most [causes]atomic.Int64
}

// NewBudget returns a Budget of a process that may fill so many bytes.
func NewBudget(memory int64) *Budget {
	b := &Budget{}
	for c, s := range shares {
		b.most[c].Store(int64(s * float64(memory)))
	}
	return b
}

// Reserve takes n bytes, or none and says so.
func (b *Budget) Reserve(c Purpose, n int64) bool {
	if b.used[c].Add(n) > b.most[c].Load() {
		b.used[c].Add(-n)
		return false
	}
	return true
}

// Release gives n bytes back.
func (b *Budget) Release(c Purpose, n int64) { b.used[c].Add(-n) }

// Used is how many bytes are taken for a cause, and how many may be.
func (b *Budget) Used(c Purpose) (used, most int64) { return b.used[c].Load(), b.most[c].Load() }

// NearLimit says whether a cause's part is three quarters used: then less is held of each body.
func (b *Budget) NearLimit(c Purpose) bool {
	used, most := b.Used(c)
	return used*4 > most*3
}

// Buffer sizes. A small one is used when memory for flows is near its end: half the rate of
// a large one on loopback, a sixteenth of its memory.
const (
	largeBuffer = 64 << 10
	smallBuffer = 4 << 10
)

// MaxPooledPage is the largest Page that is pooled.
const MaxPooledPage = largeBuffer

// pages are pools of memory for bodies that are held, of smallBuffer bytes and twice that and so
// on up to PageMost. It guards against counting a body of a few KiB and holding a large buffer for
// it: what is held is less than twice what is counted.
var pages [pageSizes]sync.Pool

const pageSizes = 5

// pageOf is the place of the least page that n bytes fit.
func pageOf(n int64) int { return max(0, bits.Len64(uint64(n-1))-bits.Len64(smallBuffer-1)) }

// AllocPage takes memory for n bytes to be held, of a pool where that pays. What it belongs to is
// accounted by the caller.
func AllocPage(n int64) []byte {
	if n <= smallBuffer/2 || n > MaxPooledPage {
		return make([]byte, n)
	}
	i := pageOf(n)
	if p, ok := pages[i].Get().(*[]byte); ok {
		return (*p)[:n]
	}
	return make([]byte, smallBuffer<<i)[:n]
}

// FreePage gives a Page back. Nobody may look at it any more.
func FreePage(b []byte) {
	if n := int64(cap(b)); n >= smallBuffer && n <= MaxPooledPage && n&(n-1) == 0 {
		b = b[:n]
		pages[pageOf(n)].Put(&b)
	}
}

var large, small = sync.Pool{New: func() any { b := make([]byte, largeBuffer); return &b }},
	sync.Pool{New: func() any { b := make([]byte, smallBuffer); return &b }}

// AcquireBuffer takes a buffer to copy a flow by, nil if there is no memory for one.
func (b *Budget) AcquireBuffer() *[]byte {
	switch {
	case !b.NearLimit(StreamBuffers) && b.Reserve(StreamBuffers, largeBuffer):
		return large.Get().(*[]byte)
	case b.Reserve(StreamBuffers, smallBuffer):
		return small.Get().(*[]byte)
	}
	return nil
}

// ReleaseBuffer gives a buffer back.
func (b *Budget) ReleaseBuffer(buf *[]byte) {
	b.Release(StreamBuffers, int64(len(*buf)))
	if len(*buf) == largeBuffer {
		large.Put(buf)
	} else {
		small.Put(buf)
	}
}
