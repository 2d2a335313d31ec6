package peer

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
)

// A frame is, in bytes: 4 of length of what it carries, 1 of kind, 4 of a CRC-32C of the kind and
// what it carries, and that; numbers little-endian.
const (
	frameHead = 9
	// frameMost bounds what a frame carries: the messages of one turn to one gateway. What is
	// longer is a snapshot, and goes in pieces.
	frameMost = 8 << 20
	// kindIdle is of a frame that says only that the sender is there.
	kindIdle = 0
)

var (
	errOversized = errors.New("a frame is larger than any that is sent")
	errGarbled   = errors.New("a frame's checksum is wrong")
)

var table = crc32.MakeTable(crc32.Castagnoli)

// AppendFrame appends a frame to dst.
func AppendFrame(dst []byte, kind byte, body []byte) []byte {
	return append(appendHead(dst, kind, body), body...)
}

// appendHead appends what stands before a frame's body.
func appendHead(dst []byte, kind byte, body []byte) []byte {
	dst = binary.LittleEndian.AppendUint32(dst, uint32(len(body)))
	dst = append(dst, kind)
	return binary.LittleEndian.AppendUint32(dst, crc32.Update(crc32.Checksum([]byte{kind}, table), table, body))
}

// ReadFrame reads a frame. One that is oversized or garbled is an error: what follows on the
// connection can't be trusted to begin where it seems to.
func ReadFrame(r *bufio.Reader) (kind byte, body []byte, err error) {
	var head [frameHead]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, nil, err
	}
	n := binary.LittleEndian.Uint32(head[:])
	if n > frameMost {
		return 0, nil, errOversized
	}
	body, err = readExactly(r, int(n))
	if err != nil {
		return 0, nil, err
	}
	if crc32.Update(crc32.Checksum(head[4:5], table), table, body) != binary.LittleEndian.Uint32(head[5:]) {
		return 0, nil, errGarbled
	}
	return head[4], body, nil
}

// readExactly reads n bytes, taking memory only for what has come: a length is only a claim.
func readExactly(r io.Reader, n int) ([]byte, error) {
	const step = 64 << 10
	b := make([]byte, 0, min(n, step))
	for len(b) < n {
		k := min(n-len(b), step)
		at := len(b)
		b = append(b, make([]byte, k)...)
		if _, err := io.ReadFull(r, b[at:]); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
	return b, nil
}

// readShort reads what a handshake carries: 2 bytes of length, little-endian, and as many bytes.
func readShort(r io.Reader, most int) ([]byte, error) {
	var head [2]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	n := int(binary.LittleEndian.Uint16(head[:]))
	if n > most {
		return nil, fmt.Errorf("%d bytes in a handshake, %d at most", n, most)
	}
	return readExactly(r, n)
}

func appendShort(dst, b []byte) []byte {
	return append(binary.LittleEndian.AppendUint16(dst, uint16(len(b))), b...)
}
