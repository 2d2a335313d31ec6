// Package body represents the bodies of requests and responses. A body is either buffered, which means that all of it
// is in memory, or streamed, which means that only its first part is in memory and the rest is read once, as fast as
// the receiver takes it. The package also bounds the memory that bodies use, and the time that a peer may take to
// send or receive one. It reads no clock, except to wait in Pipe, and performs no I/O of its own.
package body

// Body is the body of a request or a response. The zero Body is empty. All copies of a Body share its buffered part, so
// that Release frees it for all of them.
type Body struct {
	buffer *buffer // nil: nothing is buffered
	stream *Stream
}

// buffer is the buffered part of a body.
type buffer struct {
	bytes  []byte // nil after Release
	length int64  // length of bytes before Release
}

func newBodyBuffer(b []byte) *buffer {
	if len(b) == 0 {
		return nil
	}
	return &buffer{b, int64(len(b))}
}

// NewBuffered returns a Body that is in memory as a whole. It retains the slice until Release.
func NewBuffered(b []byte) Body { return Body{buffer: newBodyBuffer(b)} }

// NewStreamed returns a Body of which only the first part is in memory. It retains that part until Release. The stream is
// the rest.
func NewStreamed(buffered []byte, stream *Stream) Body { return Body{newBodyBuffer(buffered), stream} }

// Buffered reports whether the whole body is in memory, or was before Release.
func (b Body) Buffered() bool { return b.stream == nil }

// Bytes returns the part that is in memory, and nil after Release. It must not be changed.
func (b Body) Bytes() []byte {
	if b.buffer == nil {
		return nil
	}
	return b.buffer.bytes
}

// Stream returns the part that follows the one in memory, or nil if there is none.
func (b Body) Stream() *Stream { return b.stream }

// Len returns the length of the whole body in bytes, or -1 if it is unknown. Release does not change it.
func (b Body) Len() int64 {
	if b.stream != nil {
		return b.stream.length
	}
	if b.buffer == nil {
		return 0
	}
	return b.buffer.length
}

// Release drops the reference to the part that is in memory. It must be called before that memory is returned to a Budget:
// until then the memory counts, although nobody reads it any more. Bytes must not be called at the same time, and slices
// that it has returned must no longer be used.
func (b Body) Release() {
	if b.buffer != nil {
		b.buffer.bytes = nil
	}
}
