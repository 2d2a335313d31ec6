package frontend

import "io"

// Fill reads from r until buf is full. Unlike io.ReadFull it returns io.EOF whenever r has ended, so that its caller can
// tell a complete body from one whose end was not expected.
func Fill(r io.Reader, buf []byte) (n int, err error) {
	for n < len(buf) && err == nil {
		var k int
		k, err = r.Read(buf[n:])
		n += k
	}
	return n, err
}
