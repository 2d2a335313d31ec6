// Package bodytest has bodies for tests.
package bodytest

import (
	"io"
	"net/http"
	"sync"

	"dunemoor/internal/body"
)

// Source is a body that its client sends in parts. It implements body.Source.
type Source struct {
	parts  []string
	ends   bool // whether the client ends the body after the last part
	closed chan struct{}
	once   sync.Once
}

// NewSource returns a Source with the given parts. If ends is false the client does not end the body: after the last part,
// Read blocks until Close, and then returns body.ErrConsumed.
func NewSource(ends bool, parts ...string) *Source {
	return &Source{parts: parts, ends: ends, closed: make(chan struct{})}
}

// Read returns the next part, which must fit into p.
func (s *Source) Read(p []byte) (int, error) {
	if len(s.parts) > 0 {
		n := copy(p, s.parts[0])
		s.parts = s.parts[1:]
		return n, nil
	}
	if !s.ends {
		<-s.closed
		return 0, body.ErrConsumed
	}
	return 0, io.EOF
}

// Trailer returns nil.
func (s *Source) Trailer() http.Header { return nil }

// Close ends a Read in progress.
func (s *Source) Close(bool) { s.once.Do(func() { close(s.closed) }) }
