package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// maxListBytes bounds a list, without white space.
const maxListBytes = 16 << 20

// errLongList reports a list over maxListBytes.
var errLongList = fmt.Errorf("discovery's list is longer than %d bytes", maxListBytes)

// stream reads a watch: lists in JSON, indented or not, and empty lines between them as heartbeats. The bytes of a list are no
// sign of life before it is complete.
type stream struct {
	from        io.Reader
	onHeartbeat func()
	inLine      bool // the line has something in it
	listBytes   int  // received since the last list, without white space
}

// listDecoded notes that the bytes received so far were a complete list.
func (s *stream) listDecoded() { s.listBytes = 0 }

// Read implements io.Reader.
func (s *stream) Read(b []byte) (int, error) {
	n, err := s.from.Read(b)
	for _, c := range b[:n] {
		switch {
		case c == '\n' && !s.inLine:
			s.onHeartbeat()
		case c == '\n':
			s.inLine = false
		case c != ' ' && c != '\t' && c != '\r':
			s.inLine = true
			s.listBytes++
		}
	}
	if s.listBytes > maxListBytes {
		return 0, errLongList
	}
	return n, err
}

// isMalformed reports whether an error is of the list itself; otherwise the connection has failed.
func isMalformed(err error) bool {
	var syntaxError *json.SyntaxError
	var typeError *json.UnmarshalTypeError
	return errors.As(err, &syntaxError) || errors.As(err, &typeError)
}
