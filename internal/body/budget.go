package body

import (
	"math/bits"
	"sync"
	"sync/atomic"
)

// Cause is what memory for bodies is taken for.
type Cause uint8

// Causes.
const (
	Requests Cause = iota // held parts of requests
	Answers               // answers held whole beyond 64 KiB
	Flows                 // buffers of what flows
	causes
)

var causeNames = [...]string{"requests", "answers", "flows"}

// Causes are all of them.
func Causes() []Cause { return []Cause{Requests, Answers, Flows} }

// String names the cause, for counters.
func (c Cause) String() string { return causeNames[c] }

// Shares of the process's memory that bodies may take, by cause. A request out holds its body
// and a copy as sent, an answer as much again; buffers are used once.
var shares = [causes]float64{Requests: 1.0 / 8, Answers: 1.0 / 4, Flows: 1.0 / 8}

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

// Take takes n bytes, or none and says so.
func (b *Budget) Take(c Cause, n int64) bool {
	if b.used[c].Add(n) > b.most[c].Load() {
		b.used[c].Add(-n)
		return false
	}
	return true
}

// Give gives n bytes back.
func (b *Budget) Give(c Cause, n int64) { b.used[c].Add(-n) }

// Used is how many bytes are taken for a cause, and how many may be.
func (b *Budget) Used(c Cause) (used, most int64) { return b.used[c].Load(), b.most[c].Load() }

// Near says whether a cause's part is three quarters used: then less is held of each body.
func (b *Budget) Near(c Cause) bool {
	used, most := b.Used(c)
	return used*4 > most*3
}

// Buffer sizes. A small one is used when memory for flows is near its end: half the rate of
// a large one on loopback, a sixteenth of its memory.
const (
	largeBuffer = 64 << 10
	smallBuffer = 4 << 10
)

// PageMost is the largest Page that is pooled.
const PageMost = largeBuffer

// pages are pools of memory for bodies that are held, of smallBuffer bytes and twice that and so
// on up to PageMost. It guards against counting a body of a few KiB and holding a large buffer for
// it: what is held is less than twice what is counted.
var pages [pageSizes]sync.Pool

const pageSizes = 5

// pageOf is the place of the least page that n bytes fit.
func pageOf(n int64) int { return max(0, bits.Len64(uint64(n-1))-bits.Len64(smallBuffer-1)) }

// Page takes memory for n bytes to be held, of a pool where that pays. What it belongs to is
// accounted by the caller.
func Page(n int64) []byte {
	if n <= smallBuffer/2 || n > PageMost {
		return make([]byte, n)
	}
	i := pageOf(n)
	if p, ok := pages[i].Get().(*[]byte); ok {
		return (*p)[:n]
	}
	return make([]byte, smallBuffer<<i)[:n]
}

// Recycle gives a Page back. Nobody may look at it any more.
func Recycle(b []byte) {
	if n := int64(cap(b)); n >= smallBuffer && n <= PageMost && n&(n-1) == 0 {
		b = b[:n]
		pages[pageOf(n)].Put(&b)
	}
}

var large, small = sync.Pool{New: func() any { b := make([]byte, largeBuffer); return &b }},
	sync.Pool{New: func() any { b := make([]byte, smallBuffer); return &b }}

// Buffer takes a buffer to copy a flow by, nil if there is no memory for one.
func (b *Budget) Buffer() *[]byte {
	switch {
	case !b.Near(Flows) && b.Take(Flows, largeBuffer):
		return large.Get().(*[]byte)
	case b.Take(Flows, smallBuffer):
		return small.Get().(*[]byte)
	}
	return nil
}

// Return gives a buffer back.
func (b *Budget) Return(buf *[]byte) {
	b.Give(Flows, int64(len(*buf)))
	if len(*buf) == largeBuffer {
		large.Put(buf)
	} else {
		small.Put(buf)
	}
}
