package simwire

import (
	"encoding/binary"
	"time"

	"dunemoor/balancer"
)

// fieldReader reads little-endian fields. If data is missing, truncated is set, and the missing field and all further
// fields are zero.
type fieldReader struct {
	data      []byte
	truncated bool
}

func (f *fieldReader) bytes(n uint64) []byte {
	if uint64(len(f.data)) < n {
		f.truncated = true
		f.data = nil
		return nil
	}
	value := f.data[:n]
	f.data = f.data[n:]
	return value
}

func (f *fieldReader) uint8() uint8 {
	if b := f.bytes(1); b != nil {
		return b[0]
	}
	return 0
}

func (f *fieldReader) uint16() uint16 {
	if b := f.bytes(2); b != nil {
		return binary.LittleEndian.Uint16(b)
	}
	return 0
}

func (f *fieldReader) uint32() uint32 {
	if b := f.bytes(4); b != nil {
		return binary.LittleEndian.Uint32(b)
	}
	return 0
}

func (f *fieldReader) uint64() uint64 {
	if b := f.bytes(8); b != nil {
		return binary.LittleEndian.Uint64(b)
	}
	return 0
}

func (f *fieldReader) duration() time.Duration { return time.Duration(f.uint32()) * timeUnit }

// skipFloats skips a list of 32-bit floats: its length in one byte, then the numbers.
func (f *fieldReader) skipFloats() { f.bytes(4 * uint64(f.uint8())) }

// host reads an address of four bytes and a port of two, which a HostID combines in one number.
func (f *fieldReader) host() balancer.HostID {
	address := f.uint32()
	return balancer.HostID(address) | balancer.HostID(f.uint16())<<32
}
