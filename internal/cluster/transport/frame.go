package transport

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
)

// A frame consists of the length of the body (4 bytes), the kind (1 byte), a CRC-32C of kind and body (4
// bytes), and the body. Numbers are little-endian.
const (
	frameKindOffset  = 4
	frameSumOffset   = 5
	frameHeaderBytes = 9
	// maxFrameBytes is the maximum size of the body of a frame, which has the messages of one turn of the loop
	// to one gateway. Snapshots may be larger and are sent in chunks.
	maxFrameBytes = 8 << 20
	// kindKeepalive is the kind of a frame without content, which shows that the sender is alive.
	kindKeepalive = 0
)

// Errors of ReadFrame. After one of them, the rest of the connection can't be parsed as frames.
var (
	ErrFrameTooLarge = errors.New("frame exceeds the maximum size")
	ErrFrameChecksum = errors.New("frame checksum mismatch")
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// frameSum returns the checksum of a frame's kind and body.
func frameSum(kind byte, body []byte) uint32 {
	return crc32.Update(crc32.Checksum([]byte{kind}, crcTable), crcTable, body)
}

// AppendFrame appends a frame to dst.
func AppendFrame(dst []byte, kind byte, body []byte) []byte {
	return append(appendFrameHeader(dst, kind, body), body...)
}

// appendFrameHeader appends the header of a frame.
func appendFrameHeader(dst []byte, kind byte, body []byte) []byte {
	dst = binary.LittleEndian.AppendUint32(dst, uint32(len(body)))
	dst = append(dst, kind)
	return binary.LittleEndian.AppendUint32(dst, frameSum(kind, body))
}

// ReadFrame reads a frame.
func ReadFrame(r *bufio.Reader) (kind byte, body []byte, err error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, nil, err
	}
	length := binary.LittleEndian.Uint32(header[:])
	if length > maxFrameBytes {
		return 0, nil, ErrFrameTooLarge
	}
	body, err = readExactly(r, int(length))
	if err != nil {
		return 0, nil, err
	}
	kind = header[frameKindOffset]
	if frameSum(kind, body) != binary.LittleEndian.Uint32(header[frameSumOffset:]) {
		return 0, nil, ErrFrameChecksum
	}
	return kind, body, nil
}

// readExactly reads n bytes. It allocates memory only as data arrives, because the sender may claim any length.
func readExactly(r io.Reader, n int) ([]byte, error) {
	const step = 64 << 10
	b := make([]byte, 0, min(n, step))
	for len(b) < n {
		start := len(b)
		b = append(b, make([]byte, min(n-start, step))...)
		if _, err := io.ReadFull(r, b[start:]); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
	return b, nil
}

// readPrefixed reads bytes after their length, which has 2 bytes, little-endian, and must not exceed limit.
func readPrefixed(r io.Reader, limit int) ([]byte, error) {
	var prefix [2]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return nil, err
	}
	n := int(binary.LittleEndian.Uint16(prefix[:]))
	if n > limit {
		return nil, fmt.Errorf("handshake text has %d bytes, the limit is %d", n, limit)
	}
	return readExactly(r, n)
}

// appendPrefixed appends bytes after their length.
func appendPrefixed(dst, b []byte) []byte {
	return append(binary.LittleEndian.AppendUint16(dst, uint16(len(b))), b...)
}
