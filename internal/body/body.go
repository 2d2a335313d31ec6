// Package body represents the bodies of requests and responses. A body is either buffered, which means that all of it
// is in memory, or streamed, which means that only its first part is in memory and the rest is read once, as fast as
// the receiver takes it. The package also bounds the memory that bodies use, and the time that a peer may take to
// send or receive one. It reads no clock, except to wait in Pipe, and performs no I/O of its own.
package body

// Body is the body of a request or a response. The zero Body is empty.
type Body struct {
	buffered []byte
	stream   *Stream
}

// NewBuffered returns a Body that is in memory as a whole. It retains the slice.
func NewBuffered(b []byte) Body { return Body{buffered: b} }

// NewStreamed returns a Body of which only the first part is in memory. The stream is the rest.
func NewStreamed(buffered []byte, stream *Stream) Body { return Body{buffered, stream} }

// Buffered reports whether the whole body is in memory.
func (b Body) Buffered() bool { return b.stream == nil }

// Bytes returns the part that is in memory. It must not be changed.
func (b Body) Bytes() []byte { return b.buffered }

// Stream returns the part that follows the one in memory, or nil if there is none.
func (b Body) Stream() *Stream { return b.stream }

// Len returns the length of the whole body in bytes, or -1 if it is unknown.
func (b Body) Len() int64 {
	if b.stream != nil {
		return b.stream.length
	}
	return int64(len(b.buffered))
}
