// Package body holds what messages carry behind their heads: a part that is in memory, and
// behind it a flow of what is not, read once and as slowly as whoever takes it.
package body

import (
	"errors"
	"net/http"
	"sync"
)

// Body is what a request or an answer carries. The zero Body is empty. Whoever makes one
// says how it is kept; those who pass it on ask only what they need.
type Body struct {
	held []byte
	flow *Stream
}

// NewBuffered is a Body that is in memory whole. It keeps the slice.
func NewBuffered(b []byte) Body { return Body{held: b} }

// NewStreamed is a Body of which only the first part is in memory.
func NewStreamed(held []byte, f *Stream) Body { return Body{held, f} }

// Buffered says whether all of it is in memory.
func (b Body) Buffered() bool { return b.flow == nil }

// Bytes is the part that is in memory; it must not be changed.
func (b Body) Bytes() []byte { return b.held }

// Stream is what comes behind that part, nil for nothing.
func (b Body) Stream() *Stream { return b.flow }

// Len is the number of bytes in all, -1 where that is not known.
func (b Body) Len() int64 {
	if b.flow != nil {
		return b.flow.length
	}
	return int64(len(b.held))
}

// Source is where a flow comes from. Its methods are called one at a time, but for Close,
// which ends a Read that waits.
type Source interface {
	// Read is io.Reader's. It says io.EOF only behind the last byte of a body that came whole.
	Read(p []byte) (int, error)
	// Trailer is what came behind the last byte, once Read has said io.EOF.
	Trailer() http.Header
	// Close gives back what the source holds. whole says that Read has said io.EOF.
	Close(whole bool)
}

// ErrConsumed says that a flow has been begun by another, or has ended.
var ErrConsumed = errors.New("body: what flows is read once")

// Stream is the part of a body that is not in memory. It is taken once: what has been let go
// does not come again.
type Stream struct {
	source Source
	length int64

	mu     sync.Mutex
	begin  func() // called once, before the first byte is read
	taken  bool
	closed bool
	eof    bool
	err    error // that reading ended with, but for io.EOF
}

// NewStream returns a flow of a body of a length in all, -1 where that is not known.
func NewStream(source Source, length int64) *Stream { return &Stream{source: source, length: length} }

// OnConsume has f called before the first byte is let go. It is set before the flow is passed on.
func (f *Stream) OnConsume(begin func()) { f.begin = begin }

// Consume makes the caller the one who reads the flow. Whoever comes second gets ErrTaken.
func (f *Stream) Consume() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.taken || f.closed {
		return ErrConsumed
	}
	f.taken = true
	if f.begin != nil {
		f.begin()
	}
	return nil
}

// Consumed says whether the flow has been begun: from then on nothing can be sent again.
func (f *Stream) Consumed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.taken
}

// Read reads on. Only who has taken the flow calls it.
func (f *Stream) Read(p []byte) (int, error) {
	n, err := f.source.Read(p)
	if err != nil {
		f.mu.Lock()
		f.eof, f.err = isEOF(err), err
		f.mu.Unlock()
	}
	return n, err
}

// Err is what reading ended with: nil while it goes on, io.EOF if the body came whole.
func (f *Stream) Err() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.err
}

// Trailer is what came behind the last byte.
func (f *Stream) Trailer() http.Header { return f.source.Trailer() }

// Close ends the flow; a Read that waits ends with an error. Further calls do nothing.
func (f *Stream) Close() {
	f.mu.Lock()
	if f.closed {
		f.mu.Unlock()
		return
	}
	f.closed = true
	whole := f.eof
	f.mu.Unlock()
	f.source.Close(whole)
}
