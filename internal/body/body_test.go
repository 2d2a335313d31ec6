package body

import (
	"testing"
	"weak"

	"dunemoor/internal/testutil"
)

// All copies of a body drop their buffered part at once, so that memory that is returned to a Budget is not kept by a copy.
// Length and framing stay as they were.
func TestReleaseDropsBufferedPartOfAllCopies(t *testing.T) {
	const size = 100 << 10
	stream := NewStream(&fakeSource{}, 2*size)
	for name, b := range map[string]Body{
		"buffered": NewBuffered(make([]byte, size)),
		"streamed": NewStreamed(make([]byte, size), stream),
	} {
		length := b.Len()
		buffered := b.Buffered()
		memory := weak.Make(&b.Bytes()[0])
		other := b
		other.Release()
		other.Release() // a second call does nothing
		if b.Bytes() != nil || other.Bytes() != nil {
			t.Errorf("%s: got %d and %d bytes after Release, want none", name, len(b.Bytes()), len(other.Bytes()))
		}
		if b.Len() != length || b.Buffered() != buffered {
			t.Errorf("%s: length %d, buffered %t after Release, want %d and %t", name, b.Len(), b.Buffered(), length, buffered)
		}
		testutil.CheckCollected(t, name+" part", memory)
	}
	Body{}.Release()
}
