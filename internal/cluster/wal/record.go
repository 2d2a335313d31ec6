package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"slices"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"dunemoor/internal/cluster/multiraft"
)

// Kinds of records.
const (
	kindHeader        = 1 // header of a segment: a segmentHeader in JSON
	kindEntry         = 2
	kindHardState     = 3
	kindSnapshot      = 4 // snapshot from a leader: it replaces the log
	kindLocalSnapshot = 5 // snapshot of this replica: entries after it are kept
	kindCommit        = 6 // end of a batch, with its number
)

// A record consists of the length of the payload (4 bytes), the group (4 bytes), the kind (1 byte), a checksum
// of these fields (4 bytes), a checksum of the payload (4 bytes), and the payload. Numbers are little-endian,
// checksums are CRC-32C.
const (
	groupOffset       = 4
	kindOffset        = 8
	headerSumOffset   = 9
	payloadSumOffset  = 13
	recordHeaderBytes = 17
	maxRecordBytes    = 1 << 30 // snapshots are the largest records
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

func checksum(b []byte) uint32 { return crc32.Checksum(b, crcTable) }

func appendRecord(b []byte, g multiraft.Group, kind byte, payload []byte) []byte {
	start := len(b)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint32(b, uint32(g))
	b = append(b, kind)
	b = binary.LittleEndian.AppendUint32(b, checksum(b[start:]))
	b = binary.LittleEndian.AppendUint32(b, checksum(payload))
	return append(b, payload...)
}

// record is a record that was read.
type record struct {
	group   multiraft.Group
	kind    byte
	payload []byte
}

// errTorn is returned at the end of a segment whose last write is incomplete.
var errTorn = errors.New("the last write is incomplete")

// readRecord reads the record at the start of b. It distinguishes a record that is torn, as an interrupted
// write leaves it, from one that is corrupt.
func readRecord(b []byte) (r record, rest []byte, err error) {
	if len(b) < recordHeaderBytes {
		return r, nil, errTorn
	}
	if binary.LittleEndian.Uint32(b[headerSumOffset:]) != checksum(b[:headerSumOffset]) {
		if allZero(b) {
			return r, nil, errTorn // the file was extended before its data was written
		}
		return r, nil, fmt.Errorf("%w: record header checksum mismatch", ErrCorrupt)
	}
	length := int64(binary.LittleEndian.Uint32(b))
	if length > maxRecordBytes {
		return r, nil, fmt.Errorf("%w: record length of %d bytes exceeds the limit", ErrCorrupt, length)
	}
	if int64(len(b)) < recordHeaderBytes+length {
		return r, nil, errTorn
	}
	payload := b[recordHeaderBytes : recordHeaderBytes+length]
	rest = b[recordHeaderBytes+length:]
	if binary.LittleEndian.Uint32(b[payloadSumOffset:]) != checksum(payload) {
		if len(rest) == 0 || allZero(payload) && allZero(rest) {
			return r, nil, errTorn
		}
		return r, nil, fmt.Errorf("%w: record payload checksum mismatch", ErrCorrupt)
	}
	return record{multiraft.Group(binary.LittleEndian.Uint32(b[groupOffset:])), b[kindOffset], payload}, rest, nil
}

func allZero(b []byte) bool {
	return !slices.ContainsFunc(b, func(x byte) bool { return x != 0 })
}

// decode returns the change that a record describes.
func (r *record) decode() (*multiraft.LogRecord, error) {
	change := &multiraft.LogRecord{Group: r.group}
	var m proto.Message
	switch r.kind {
	case kindEntry:
		e := &raftpb.Entry{}
		change.Entries, m = []*raftpb.Entry{e}, e
	case kindHardState:
		change.HardState = &raftpb.HardState{}
		m = change.HardState
	case kindSnapshot, kindLocalSnapshot:
		change.Snapshot, change.LocalSnapshot = &raftpb.Snapshot{}, r.kind == kindLocalSnapshot
		m = change.Snapshot
	default:
		return nil, fmt.Errorf("%w: unknown record kind %d", ErrCorrupt, r.kind)
	}
	if err := proto.Unmarshal(r.payload, m); err != nil {
		return nil, fmt.Errorf("%w: decode record of kind %d: %w", ErrCorrupt, r.kind, err)
	}
	return change, nil
}

// appendGroup appends the records of a group. The snapshot is marked as a local one if local is set.
func appendGroup(b []byte, g multiraft.Group, s *multiraft.PersistedGroup, local bool) []byte {
	if s.Snapshot != nil {
		kind := byte(kindSnapshot)
		if local {
			kind = kindLocalSnapshot
		}
		b = appendMessage(b, g, kind, s.Snapshot)
	}
	for _, e := range s.Entries {
		b = appendMessage(b, g, kindEntry, e)
	}
	if s.HardState != nil {
		b = appendMessage(b, g, kindHardState, s.HardState)
	}
	return b
}

func appendMessage(b []byte, g multiraft.Group, kind byte, m proto.Message) []byte {
	payload, err := proto.Marshal(m)
	if err != nil {
		panic(err) // these messages can always be encoded
	}
	return appendRecord(b, g, kind, payload)
}

// applyRecord applies a change to the data of a group.
func applyRecord(s *multiraft.PersistedGroup, r *multiraft.LogRecord) error {
	if r.Snapshot != nil {
		s.Snapshot = r.Snapshot
		if !r.LocalSnapshot {
			s.Entries = nil
		}
		covered := 0
		for covered < len(s.Entries) && s.Entries[covered].GetIndex() <= r.Snapshot.GetMetadata().GetIndex() {
			covered++
		}
		s.Entries = slices.Clone(s.Entries[covered:])
	}
	for _, e := range r.Entries {
		if err := applyEntry(s, e); err != nil {
			return err
		}
	}
	if r.HardState != nil {
		s.HardState = r.HardState
	}
	return nil
}

// applyEntry appends an entry. It replaces existing entries from the index of that entry on.
func applyEntry(s *multiraft.PersistedGroup, e *raftpb.Entry) error {
	next := uint64(len(s.Entries)) + 1
	if s.Snapshot != nil {
		next += s.Snapshot.GetMetadata().GetIndex()
	}
	index := e.GetIndex()
	if index > next {
		return fmt.Errorf("%w: entry %d follows entry %d", ErrCorrupt, index, next-1)
	}
	replaced := next - index
	if replaced > uint64(len(s.Entries)) {
		return nil // the snapshot includes the entry
	}
	kept := uint64(len(s.Entries)) - replaced
	if replaced > 0 {
		s.Entries = slices.Clip(s.Entries[:kept]) // clipped because others may still use the replaced entries
	}
	s.Entries = append(s.Entries, e)
	return nil
}
