package frontend

import "io"

// Fill reads from r until buf is full or an error occurs. Unlike io.ReadFull it returns r's own error, even if some
// bytes were read: io.EOF if the body is complete, and a different error, such as io.ErrUnexpectedEOF, if it is
// truncated.
func Fill(r io.Reader, buf []byte) (n int, err error) {
	for n < len(buf) && err == nil {
		var k int
		k, err = r.Read(buf[n:])
		n += k
	}
	return n, err
}
