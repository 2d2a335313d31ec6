package body

import (
	"math/bits"
	"sync"
)

// Sizes of the buffers that streams are copied through, in bytes.
const (
	largeBufferSize = 64 << 10
	smallBufferSize = 4 << 10
)

var (
	largeBuffers = sync.Pool{New: func() any { return newBuffer(largeBufferSize) }}
	smallBuffers = sync.Pool{New: func() any { return newBuffer(smallBufferSize) }}
)

func newBuffer(size int) *[]byte {
	b := make([]byte, size)
	return &b
}

const (
	// minPooledPage is the size of the smallest pooled page, in bytes.
	minPooledPage = 4 << 10
	// MaxPooledPage is the size of the largest pooled page, in bytes.
	MaxPooledPage = 64 << 10
	// pageSizeClasses is the number of powers of two from minPooledPage to MaxPooledPage.
	pageSizeClasses = 5
)

// pagePools has a pool for each power of two from minPooledPage to MaxPooledPage. The sizes are so close that a
// page has less than twice the memory that a Budget counts for it.
var pagePools [pageSizeClasses]sync.Pool

// pageSizeClass returns the index of the pool with the smallest pages that hold n bytes.
func pageSizeClass(n int64) int {
	return max(0, bits.Len64(uint64(n-1))-bits.Len64(minPooledPage-1))
}

// AllocPage returns n bytes of memory for a buffered body. They come from a pool if n is large enough to make that
// worthwhile. The bytes are not zeroed. The caller accounts for them in a Budget.
func AllocPage(n int64) []byte {
	if n <= minPooledPage/2 || n > MaxPooledPage {
		return make([]byte, n)
	}
	class := pageSizeClass(n)
	if page, ok := pagePools[class].Get().(*[]byte); ok {
		return (*page)[:n]
	}
	return make([]byte, minPooledPage<<class)[:n]
}

// FreePage releases memory that AllocPage has returned; it must not be used any more. Memory of a size that no pool
// has is left to the garbage collector.
func FreePage(b []byte) {
	n := int64(cap(b))
	isPowerOfTwo := n&(n-1) == 0
	if n < minPooledPage || n > MaxPooledPage || !isPowerOfTwo {
		return
	}
	b = b[:n]
	pagePools[pageSizeClass(n)].Put(&b)
}
