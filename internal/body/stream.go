package body

import (
	"errors"
	"io"
	"net/http"
	"sync"
)

// ErrConsumed is returned when a stream has another reader already, or is closed.
var ErrConsumed = errors.New("body: stream is consumed or closed")

// Source is what a Stream reads from. Its methods are called one at a time, except for Close, which may be called
// during a Read and ends it.
type Source interface {
	// Read is as in io.Reader. It returns io.EOF only after the last byte of a complete body.
	Read(p []byte) (int, error)
	// Trailer returns the trailer section, once Read has returned io.EOF.
	Trailer() http.Header
	// Close releases the resources of the source. complete reports whether Read has returned io.EOF.
	Close(complete bool)
}

// Stream is the part of a body that is not in memory. It is read once, by one reader, and can't be sent again.
type Stream struct {
	source    Source
	length    int64
	onConsume func() // set before the stream is shared

	mu       sync.Mutex // guards all below
	consumed bool
	closed   bool
	err      error // error that reading has ended with, io.EOF included
	bytes    int64 // bytes read
}

// NewStream returns the stream of a body that is length bytes long as a whole, or of unknown length if length is -1.
func NewStream(source Source, length int64) *Stream { return &Stream{source: source, length: length} }

// OnConsume sets a function that is called before the first byte is read. It must be called before the stream is
// passed on.
func (s *Stream) OnConsume(f func()) { s.onConsume = f }

// Consume makes the caller the only reader of the stream. It returns ErrConsumed if there is a reader already or
// the stream is closed.
func (s *Stream) Consume() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.consumed || s.closed {
		return ErrConsumed
	}
	s.consumed = true
	if s.onConsume != nil {
		s.onConsume()
	}
	return nil
}

// Consumed reports whether the stream has a reader. From then on its message can't be sent again.
func (s *Stream) Consumed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.consumed
}

// Read is as in io.Reader. Only the caller whose Consume succeeded may call it.
func (s *Stream) Read(p []byte) (int, error) {
	n, err := s.source.Read(p)
	s.mu.Lock()
	s.bytes += int64(n)
	if err != nil {
		s.err = err
	}
	s.mu.Unlock()
	return n, err
}

// BytesRead returns how many bytes of the stream were read, without the part of the body that is in memory.
func (s *Stream) BytesRead() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytes
}

// Err returns the error that reading ended with: nil while reading is in progress, io.EOF if the body is complete.
func (s *Stream) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

// Trailer returns the trailer section, once Read has returned io.EOF.
func (s *Stream) Trailer() http.Header { return s.source.Trailer() }

// Close closes the stream. A Read in progress ends with an error. Further calls do nothing.
func (s *Stream) Close() {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.closed = true
	complete := s.err == io.EOF
	s.mu.Unlock()
	s.source.Close(complete)
}
