package body

import (
	"io"
	"net/http"
	"testing"
)

// fakeSource has a number of bytes to read and records the calls of Close.
type fakeSource struct {
	left   int
	closed []bool
}

func (s *fakeSource) Read(p []byte) (int, error) {
	if s.left == 0 {
		return 0, io.EOF
	}
	n := min(len(p), s.left)
	s.left -= n
	return n, nil
}

func (s *fakeSource) Trailer() http.Header { return nil }

func (s *fakeSource) Close(complete bool) { s.closed = append(s.closed, complete) }

// A stream has one reader, which is reported before the first byte is read, and is closed once. The test guards
// against a second attempt that sends a body of which the first has already read a part.
func TestStreamIsConsumedOnce(t *testing.T) {
	source := &fakeSource{left: 10}
	stream := NewStream(source, 10)
	calls := 0
	stream.OnConsume(func() {
		calls++
		if source.left != 10 {
			t.Errorf("%d bytes left when OnConsume is called, want 10", source.left)
		}
	})
	if stream.Consumed() {
		t.Error("Consumed before Consume: got true, want false")
	}
	if err := stream.Consume(); err != nil {
		t.Errorf("first Consume: got %v, want nil", err)
	}
	if err := stream.Consume(); err != ErrConsumed {
		t.Errorf("second Consume: got %v, want %v", err, ErrConsumed)
	}
	if !stream.Consumed() || calls != 1 {
		t.Errorf("consumed %t, OnConsume called %d times, want true and 1", stream.Consumed(), calls)
	}
	n, err := io.Copy(io.Discard, stream)
	if n != 10 || err != nil || stream.Err() != io.EOF {
		t.Errorf("read %d bytes, %v, stream error %v, want 10, nil, EOF", n, err, stream.Err())
	}
	stream.Close()
	stream.Close()
	if len(source.closed) != 1 || !source.closed[0] {
		t.Errorf("source closed %v, want once as complete", source.closed)
	}
}

func TestClosedStreamCannotBeConsumed(t *testing.T) {
	source := &fakeSource{left: 10}
	stream := NewStream(source, 10)
	stream.Close()
	if err := stream.Consume(); err != ErrConsumed {
		t.Errorf("Consume: got %v, want %v", err, ErrConsumed)
	}
	if len(source.closed) != 1 || source.closed[0] {
		t.Errorf("source closed %v, want once as incomplete", source.closed)
	}
}

func TestBodyReportsLengthAndWhetherItIsBuffered(t *testing.T) {
	stream := NewStream(&fakeSource{left: 10}, 10)
	for _, tt := range []struct {
		name     string
		body     Body
		buffered bool
		length   int64
		bytes    int
	}{
		{"streamed", NewStreamed([]byte("ab"), stream), false, 10, 2},
		{"buffered", NewBuffered([]byte("ab")), true, 2, 2},
		{"empty", NewBuffered(nil), true, 0, 0},
	} {
		b := tt.body
		if b.Buffered() != tt.buffered || b.Len() != tt.length || len(b.Bytes()) != tt.bytes {
			t.Errorf("%s: buffered %t, length %d, %d bytes in memory, want %t, %d, %d",
				tt.name, b.Buffered(), b.Len(), len(b.Bytes()), tt.buffered, tt.length, tt.bytes)
		}
	}
}
