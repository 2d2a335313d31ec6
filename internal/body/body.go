// Package body holds what messages carry behind their heads.
package body

// Body is what a request or an answer carries. The zero Body is empty. Whoever makes one
// says how it is kept; those who pass it on ask only what they need.
type Body struct {
	held []byte
}

// Held is a Body that is in memory whole. It keeps the slice.
func Held(b []byte) Body { return Body{held: b} }

// Len is the number of bytes.
func (b Body) Len() int64 { return int64(len(b.held)) }

// Bytes is all of it; it must not be changed.
func (b Body) Bytes() []byte { return b.held }
