package relay

import (
	"encoding/binary"

	"dunemoor/internal/cluster/failpoint"
	"dunemoor/internal/cluster/node"
)

// Record is a message from one node to another, or to all. The relay that has the sender's stream sets From,
// ReplicaID, Epoch and Seq. Receivers drop records that are not newer than the last one of the same sender.
type Record struct {
	To, From              string // To is empty on the stream of the receiver
	ReplicaID, Epoch, Seq uint64 // set together with From
	Kind                  node.Kind
	Body                  []byte
}

// maxRecordHeader is the maximum size of a record's header, with the longest names.
const maxRecordHeader = 2*MaxNameBytes + 64

// senderNumbersBytes is the encoded size of ReplicaID and Epoch.
const senderNumbersBytes = 16

// AppendRecord appends the encoding of a record: its length, its kind, the names To and From with a length
// each, ReplicaID, Epoch and Seq if it has a sender, and the body. Lengths and Seq are varints; ReplicaID and
// Epoch have 8 bytes, little-endian.
func AppendRecord(dst []byte, r *Record) []byte {
	var buf [maxRecordHeader]byte
	header := append(buf[:0], byte(r.Kind))
	header = appendName(appendName(header, r.To), r.From)
	if r.From != "" {
		header = binary.LittleEndian.AppendUint64(header, r.ReplicaID)
		header = binary.LittleEndian.AppendUint64(header, r.Epoch)
		header = binary.AppendUvarint(header, r.Seq)
	}
	dst = binary.AppendUvarint(dst, uint64(len(header)+len(r.Body)))
	return append(append(dst, header...), r.Body...)
}

func appendName(dst []byte, name string) []byte {
	return append(binary.AppendUvarint(dst, uint64(len(name))), name...)
}

// ReadRecords calls each for the valid records of a frame, and returns the number of malformed ones. A
// malformed record does not affect the others. The bodies alias b.
func ReadRecords(b []byte, each func(*Record)) (malformed int) {
	for len(b) > 0 {
		length, n := binary.Uvarint(b)
		if n <= 0 || length > uint64(len(b)-n) {
			return malformed + 1 // the start of the next record is unknown
		}
		r, ok := readRecord(b[n : n+int(length)])
		b = b[n+int(length):]
		if ok {
			each(&r)
			continue
		}
		malformed++
		if failpoint.Enabled(failpoint.DropRestOfBatch) {
			return malformed
		}
	}
	return malformed
}

func readRecord(b []byte) (r Record, ok bool) {
	if len(b) == 0 {
		return r, false
	}
	r.Kind, b = node.Kind(b[0]), b[1:]
	if r.To, b, ok = readName(b); !ok {
		return r, false
	}
	if r.From, b, ok = readName(b); !ok {
		return r, false
	}
	if r.From != "" {
		if b, ok = readSenderNumbers(&r, b); !ok {
			return r, false
		}
	}
	r.Body = b
	// Relays forward only messages of nodes, with bodies of at most MaxRecordBytes.
	return r, r.Kind == node.KindMessage && len(b) <= MaxRecordBytes
}

func readSenderNumbers(r *Record, b []byte) (rest []byte, ok bool) {
	if len(b) <= senderNumbersBytes {
		return nil, false
	}
	r.ReplicaID, r.Epoch = binary.LittleEndian.Uint64(b), binary.LittleEndian.Uint64(b[8:])
	b = b[senderNumbersBytes:]
	seq, n := binary.Uvarint(b)
	if n <= 0 {
		return nil, false
	}
	r.Seq = seq
	return b[n:], true
}

func readName(b []byte) (name string, rest []byte, ok bool) {
	length, n := binary.Uvarint(b)
	if n <= 0 || length > MaxNameBytes || length > uint64(len(b)-n) {
		return "", nil, false
	}
	return string(b[n : n+int(length)]), b[n+int(length):], true
}
