package body

import "testing"

// A page has less than twice the memory that is counted for it, so that small bodies can't hold memory that no
// budget counts.
func TestPageIsLessThanTwiceItsLength(t *testing.T) {
	for _, n := range []int64{1, 2048, 2049, 4096, 4097, 5 << 10, 8 << 10, 33 << 10, MaxPooledPage, MaxPooledPage + 1} {
		for _, from := range []string{"new", "pooled"} {
			page := AllocPage(n)
			if int64(len(page)) != n || int64(cap(page)) >= max(2*n, smallBufferSize+1) {
				t.Errorf("%s page of %d bytes: length %d, memory %d", from, n, len(page), cap(page))
			}
			FreePage(page)
		}
	}
}

func TestFreePageIgnoresMemoryOfOtherSizes(t *testing.T) {
	FreePage(make([]byte, 10))
	if page := AllocPage(minPooledPage); len(page) != minPooledPage {
		t.Errorf("page of %d bytes, want %d", len(page), minPooledPage)
	}
}
