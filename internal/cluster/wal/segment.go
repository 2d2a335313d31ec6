package wal

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"dunemoor/internal/cluster/multiraft"
)

// segmentPrefix is the prefix of the names of segments. The sequence number follows, in hexadecimal.
const segmentPrefix = "log-"

func segmentName(seq uint64) string { return fmt.Sprintf("%s%016x", segmentPrefix, seq) }

// parseSegmentName returns the sequence number of a segment. ok is false if the name is not that of a segment.
func parseSegmentName(name string) (seq uint64, ok bool) {
	digits, ok := strings.CutPrefix(name, segmentPrefix)
	if !ok {
		return 0, false
	}
	_, err := fmt.Sscanf(digits, "%016x", &seq)
	return seq, err == nil
}

// segmentHeader is the first record of a segment.
type segmentHeader struct {
	Format    int    `json:"format"`
	ReplicaID uint64 `json:"replica"`
	Stamp     string `json:"stamp"` // stamp of the file, see FS.Stamp
	Boots     uint64 `json:"boots"` // boot count of the disk when the segment was created
}

// Segment is the content of a segment.
type Segment struct {
	header  segmentHeader
	Groups  map[multiraft.Group]*multiraft.PersistedGroup // data at the end of the last complete batch
	Batches int                                           // number of complete batches
}

// ReadSegment decodes a segment. It ignores a torn end. Its errors wrap ErrCorrupt.
func ReadSegment(b []byte) (*Segment, error) {
	s := &Segment{Groups: map[multiraft.Group]*multiraft.PersistedGroup{}}
	var batch []record
	for first := true; len(b) > 0; first = false {
		r, rest, err := readRecord(b)
		if errors.Is(err, errTorn) {
			return s, nil
		}
		if err != nil {
			return nil, err
		}
		b = rest
		switch {
		case first:
			if r.kind != kindHeader || json.Unmarshal(r.payload, &s.header) != nil || s.header.Format != FormatVersion {
				return nil, fmt.Errorf("%w: segment does not start with a header of format %d", ErrCorrupt, FormatVersion)
			}
		case r.kind == kindCommit:
			if err := s.commit(batch); err != nil {
				return nil, err
			}
			batch = batch[:0]
		default:
			batch = append(batch, r)
		}
	}
	return s, nil
}

// commit applies a complete batch.
func (s *Segment) commit(batch []record) error {
	for i := range batch {
		change, err := batch[i].decode()
		if err != nil {
			return err
		}
		if err := applyRecord(groupOf(s.Groups, change.Group), change); err != nil {
			return err
		}
	}
	s.Batches++
	return nil
}

// groupOf returns a group, and adds it if it is missing.
func groupOf(groups map[multiraft.Group]*multiraft.PersistedGroup, id multiraft.Group) *multiraft.PersistedGroup {
	g := groups[id]
	if g == nil {
		g = &multiraft.PersistedGroup{}
		groups[id] = g
	}
	return g
}
