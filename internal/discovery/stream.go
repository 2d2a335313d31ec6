package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// maxListBytes is the maximum size of a list, not counting white space.
const maxListBytes = 16 << 20

// errLongList is the error for a list longer than maxListBytes.
var errLongList = fmt.Errorf("list from discovery is longer than %d bytes", maxListBytes)

// stream reads the response body of a watch. The body has lists in JSON, which may be indented, and empty lines between
// them as heartbeats. The bytes of an incomplete list do not count as a heartbeat.
type stream struct {
	from        io.Reader
	onHeartbeat func()
	inLine      bool // the current line has non-space characters
	listBytes   int  // bytes received since the last complete list, not counting white space
}

// listDecoded records that the bytes received so far are a complete list.
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

// isMalformed reports whether an error was caused by a malformed list. Other errors are failures of the connection.
func isMalformed(err error) bool {
	var syntaxError *json.SyntaxError
	var typeError *json.UnmarshalTypeError
	return errors.As(err, &syntaxError) || errors.As(err, &typeError)
}
