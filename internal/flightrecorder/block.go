package flightrecorder

import (
	"encoding/binary"
	"hash/crc32"

	"dunemoor/balancer"
)

// Version is the version of the format. A Reader rejects other versions with a *VersionError.
const Version = 1

const (
	// magic begins each block. Its first byte isn't ASCII, so that no log line is mistaken for a block.
	magic = "\xd1FLY"
	// headerSize is the size of a block's header, in bytes.
	headerSize = 40
	// summedHeaderSize is the part of the header that its own checksum covers, in bytes.
	summedHeaderSize = 36
	// maxPayload is the largest payload that a Reader accepts, in bytes. A checkpoint with 5,000 hosts and
	// 10,000 requests takes less than 2 MB.
	maxPayload = 16 << 20
	// blockSize is the payload size at which a block of records is closed, in bytes. A crash loses the block being
	// filled, which has about 700 events, and the blocks that File has queued.
	blockSize = 16 << 10
	// maxRecord is the maximum size in bytes of a text, of a host in a view, and of any record other than an endpoint
	// list, a view, a name and a Log action.
	maxRecord = 128
)

// Kinds of block.
const (
	blockStart      = 1 // a session starts; the payload is a SessionStart in JSON
	blockCheckpoint = 2 // the payload is a checkpoint of the balancer
	blockRecords    = 3 // the payload is records
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// header is the header of a block:
//
//	0  magic       4 bytes
//	4  version     1
//	5  kind        1
//	6  reserved    2  0
//	8  session     8  the same in all blocks of a session
//	16 number      4  index of the block in its session, from 0
//	20 length      4  size of the payload, in bytes
//	24 time        8  base of the times of the block's records, on the balancer's clock, in ns
//	32 sum         4  CRC-32C of the payload
//	36 header sum  4  CRC-32C of bytes 0 to 35
//
// All numbers are little-endian.
type header struct {
	kind    byte
	version byte
	session uint64
	number  uint32
	length  uint32
	base    balancer.Time
	sum     uint32
}

// encode writes the header of a block with the given payload to b.
func (h *header) encode(b, payload []byte) {
	copy(b, magic)
	b[4] = Version
	b[5] = h.kind
	b[6] = 0
	b[7] = 0
	binary.LittleEndian.PutUint64(b[8:], h.session)
	binary.LittleEndian.PutUint32(b[16:], h.number)
	binary.LittleEndian.PutUint32(b[20:], uint32(len(payload)))
	binary.LittleEndian.PutUint64(b[24:], uint64(h.base))
	binary.LittleEndian.PutUint32(b[32:], crc32.Checksum(payload, castagnoli))
	binary.LittleEndian.PutUint32(b[36:], crc32.Checksum(b[:summedHeaderSize], castagnoli))
}

// decode reads the header at the start of b. It returns false if there is no valid header.
func (h *header) decode(b []byte) bool {
	if string(b[:len(magic)]) != magic {
		return false
	}
	if crc32.Checksum(b[:summedHeaderSize], castagnoli) != binary.LittleEndian.Uint32(b[36:]) {
		return false
	}
	*h = header{
		version: b[4],
		kind:    b[5],
		session: binary.LittleEndian.Uint64(b[8:]),
		number:  binary.LittleEndian.Uint32(b[16:]),
		length:  binary.LittleEndian.Uint32(b[20:]),
		base:    balancer.Time(binary.LittleEndian.Uint64(b[24:])),
		sum:     binary.LittleEndian.Uint32(b[32:]),
	}
	return true
}
