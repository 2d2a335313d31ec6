package fastcgi

import (
	"encoding/binary"
	"fmt"
)

// The length of a name or value is encoded in one byte up to maxShortLength, and in four bytes with longLengthFlag set
// otherwise (3.4).
const (
	maxShortLength  = 1<<7 - 1
	longLengthBytes = 4
	longLengthFlag  = 1 << 31
)

// AppendPair appends a name-value pair (3.4) to b and returns the extended slice.
func AppendPair(b []byte, name, value string) []byte {
	b = appendLength(b, len(name))
	b = appendLength(b, len(value))
	b = append(b, name...)
	return append(b, value...)
}

func appendLength(b []byte, n int) []byte {
	if n <= maxShortLength {
		return append(b, byte(n))
	}
	return binary.BigEndian.AppendUint32(b, uint32(n)|longLengthFlag)
}

// CutPair decodes the first name-value pair in b and returns the rest of b. The results are subslices of b. ok is false
// if the pair is incomplete.
func CutPair(b []byte) (name, value, rest []byte, ok bool) {
	nameBytes, b, ok := cutLength(b)
	if !ok {
		return nil, nil, nil, false
	}
	valueBytes, b, ok := cutLength(b)
	if !ok || nameBytes > len(b) || valueBytes > len(b)-nameBytes {
		return nil, nil, nil, false
	}
	end := nameBytes + valueBytes
	return b[:nameBytes], b[nameBytes:end], b[end:], true
}

func cutLength(b []byte) (n int, rest []byte, ok bool) {
	if len(b) == 0 {
		return 0, nil, false
	}
	if b[0] <= maxShortLength {
		return int(b[0]), b[1:], true
	}
	if len(b) < longLengthBytes {
		return 0, nil, false
	}
	return int(binary.BigEndian.Uint32(b) &^ longLengthFlag), b[longLengthBytes:], true
}

// ForEachParam calls f for each parameter of a request. name and value are subslices of params. It stops at the first
// error of f and returns it. Other errors wrap ErrBody, and their text is sent to clients in response bodies.
func ForEachParam(params []byte, f func(name, value []byte) error) error {
	for len(params) > 0 {
		name, value, rest, ok := CutPair(params)
		if !ok {
			return fmt.Errorf("%w: the parameters end within a pair", ErrBody)
		}
		if err := f(name, value); err != nil {
			return err
		}
		params = rest
	}
	return nil
}
