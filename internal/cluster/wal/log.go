// Package wal is the write-ahead log of a gateway's replicas: one log for all Raft groups, in one segment at a
// time, with one write and one fsync per batch.
//
// A data directory has an identity, so that a directory that was emptied, or restored from a copy, is
// recognized as another disk: Raft relies on a disk never losing data that was written.
package wal

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"dunemoor/internal/cluster/failpoint"
	"dunemoor/internal/cluster/multiraft"
)

const (
	// FormatVersion is the version of all files. Files of other versions are not read.
	FormatVersion = 1
	// minRotateBytes is the minimum length at which a segment is replaced by a new one that starts with a copy
	// of the data in use. A segment is also at least twice as long as its data in use by then, so that each
	// byte is written at most twice.
	minRotateBytes = 4 << 20
)

// Errors of a disk that must not be used. The directory is left as it is.
var (
	// ErrCopied means that the disk is a copy: the original may have been written to since it was copied.
	ErrCopied = errors.New("the disk is a copy: writes of the original may be missing")
	// ErrCorrupt means that data on the disk differs from what was written.
	ErrCorrupt = errors.New("the log is corrupt")
	// ErrForeign means that the disk belongs to another gateway or fleet.
	ErrForeign = errors.New("the disk belongs to another gateway")
	errClosed  = errors.New("the log is closed")
)

// FormatError is returned for a disk with another format version.
type FormatError struct{ Found int }

func (e *FormatError) Error() string {
	return fmt.Sprintf("the disk has format %d, this build reads format %d", e.Found, FormatVersion)
}

// Log is an open log. It is used by one goroutine.
type Log struct {
	fs      FS
	id      Identity
	file    File   // current segment
	seq     uint64 // sequence number of the current segment
	length  int64  // length of the current segment
	groups  map[multiraft.Group]*multiraft.PersistedGroup
	failure error // error of a write, after which nothing more is written
	buf     []byte

	// BytesWritten and Syncs are counted since the log was opened.
	BytesWritten, Syncs uint64
}

// Open opens the disk of a gateway of a fleet, or creates it in an empty directory. draw returns random IDs.
// Open returns the data of each group on the disk.
func Open(fs FS, fleet, name string, draw func() uint64) (*Log, map[multiraft.Group]multiraft.PersistedGroup, error) {
	names, err := fs.Names()
	if err != nil {
		return nil, nil, err
	}
	l := &Log{fs: fs, groups: map[multiraft.Group]*multiraft.PersistedGroup{}}
	var segments []uint64
	for _, file := range names {
		if seq, ok := parseSegmentName(file); ok {
			segments = append(segments, seq)
		}
	}
	slices.Sort(segments)
	if err := l.openIdentity(slices.Contains(names, identityFile), len(segments) > 0, fleet, name, draw); err != nil {
		return nil, nil, err
	}
	if err := l.loadNewest(segments); err != nil {
		return nil, nil, err
	}
	// The segment is created before the identity is saved. Its boot count is that of the identity, or one ahead
	// of it if the process ends in between.
	l.id.Boots++
	if err := l.rotate(); err != nil {
		return nil, nil, err
	}
	if err := l.saveIdentity(); err != nil {
		return nil, nil, err
	}
	return l, l.clone(), nil
}

// openIdentity reads the identity, or creates it for an empty directory.
func (l *Log) openIdentity(exists, hasSegments bool, fleet, name string, draw func() uint64) (err error) {
	switch {
	case exists:
		l.id, err = readIdentity(l.fs, fleet, name)
		return err
	case hasSegments:
		return fmt.Errorf("%w: %s is missing", ErrCorrupt, identityFile)
	}
	l.id = newIdentity(fleet, name, draw)
	return l.saveIdentity()
}

// loadNewest loads the newest segment whose first batch is complete, which has all data in use. A newer segment
// is left over from an interrupted rotation.
func (l *Log) loadNewest(segments []uint64) error {
	if len(segments) == 0 {
		return nil
	}
	l.seq = segments[len(segments)-1]
	for _, seq := range slices.Backward(segments) {
		loaded, err := l.load(segmentName(seq))
		if err != nil {
			return fmt.Errorf("%s: %w", segmentName(seq), err)
		}
		if loaded {
			return nil
		}
	}
	if l.id.Boots > 0 {
		return fmt.Errorf("%w: no segment has a complete batch", ErrCorrupt)
	}
	return nil
}

// load loads a segment. It returns false if not even the first batch is complete.
func (l *Log) load(name string) (loaded bool, err error) {
	b, err := l.fs.Read(name)
	if err != nil {
		return false, err
	}
	s, err := ReadSegment(b)
	if err != nil {
		return false, err
	}
	if s.Batches == 0 {
		return false, nil
	}
	stamp, err := l.fs.Stamp(name)
	if err != nil {
		return false, err
	}
	h := &s.header
	sameBoot := h.Boots == l.id.Boots || h.Boots == l.id.Boots+1
	if (h.Stamp != stamp || h.ReplicaID != l.id.ReplicaID || !sameBoot) && !failpoint.Enabled(failpoint.AcceptOldDisk) {
		return false, ErrCopied
	}
	l.id.Boots = h.Boots
	l.groups = s.Groups
	return true, nil
}

// clone returns a copy of the groups that the caller may modify.
func (l *Log) clone() map[multiraft.Group]multiraft.PersistedGroup {
	groups := map[multiraft.Group]multiraft.PersistedGroup{}
	for id, g := range l.groups {
		c := *g
		c.Entries = slices.Clone(g.Entries)
		if g.HardState != nil {
			c.HardState = proto.Clone(g.HardState).(*raftpb.HardState)
		}
		groups[id] = c
	}
	return groups
}

// Identity returns the identity of the disk.
func (l *Log) Identity() Identity { return l.id }

// SetClusterID stores the ID of the fleet's bootstrap to which the disk belongs.
func (l *Log) SetClusterID(id uint64) error {
	if l.id.ClusterID == id {
		return nil
	}
	l.id.ClusterID = id
	return l.saveIdentity()
}

// Write makes a batch durable. After an error nothing more is written, because the contents of the segment are
// unknown.
func (l *Log) Write(b *multiraft.Batch) error {
	if l.failure != nil {
		return l.failure
	}
	l.buf = l.buf[:0]
	for i := range b.Records {
		r := &b.Records[i]
		l.buf = appendGroup(l.buf, r.Group, &multiraft.PersistedGroup{Snapshot: r.Snapshot, Entries: r.Entries, HardState: r.HardState}, r.LocalSnapshot)
		if err := applyRecord(groupOf(l.groups, r.Group), r); err != nil {
			return l.fail(err)
		}
	}
	if err := l.flush(b.ID); err != nil {
		return l.fail(err)
	}
	if l.length > minRotateBytes && l.length > 2*l.bytesInUse() {
		if err := l.rotate(); err != nil {
			return l.fail(err)
		}
	}
	return nil
}

func (l *Log) fail(err error) error {
	l.failure = fmt.Errorf("write log: %w", err)
	return l.failure
}

// flush writes the buffer as a batch and syncs it.
func (l *Log) flush(batch uint64) error {
	l.buf = appendRecord(l.buf, 0, kindCommit, binary.LittleEndian.AppendUint64(nil, batch))
	n, err := l.file.Write(l.buf)
	l.length += int64(n)
	l.BytesWritten += uint64(n)
	if err != nil {
		return err
	}
	if cap(l.buf) > minRotateBytes {
		l.buf = nil
	}
	if failpoint.Enabled(failpoint.SkipFsync) {
		return nil
	}
	l.Syncs++
	failpoint.Block("fsync")
	return l.file.Sync()
}

// bytesInUse returns the approximate length of a segment with only the data in use.
func (l *Log) bytesInUse() (n int64) {
	for _, g := range l.groups {
		if g.Snapshot != nil {
			n += int64(len(g.Snapshot.GetData()))
		}
		for _, e := range g.Entries {
			n += int64(len(e.GetData())) + 2*recordHeaderBytes
		}
	}
	return n
}

// rotate starts a new segment with all data in use, and removes the older ones.
func (l *Log) rotate() error {
	previous := l.file
	l.seq++
	name := segmentName(l.seq)
	f, header, err := l.createSegment(name)
	if err != nil {
		return err
	}
	l.buf = appendRecord(l.buf[:0], 0, kindHeader, header)
	for _, id := range slices.Sorted(maps.Keys(l.groups)) {
		l.buf = appendGroup(l.buf, id, l.groups[id], false)
	}
	l.file, l.length = f, 0
	if err := l.flush(0); err != nil {
		return err
	}
	if err := l.fs.Sync(); err != nil {
		return err
	}
	if previous != nil {
		previous.Close()
	}
	return l.removeBefore(name)
}

// createSegment creates the file of a segment and returns it with its encoded header.
func (l *Log) createSegment(name string) (f File, header []byte, err error) {
	f, err = l.fs.Create(name)
	if err != nil {
		return nil, nil, err
	}
	stamp, err := l.fs.Stamp(name)
	if err == nil {
		header, err = json.Marshal(segmentHeader{FormatVersion, l.id.ReplicaID, stamp, l.id.Boots})
	}
	if err != nil {
		f.Close()
		return nil, nil, err
	}
	return f, header, nil
}

// removeBefore removes the segments before the one with the given name.
func (l *Log) removeBefore(name string) error {
	names, err := l.fs.Names()
	if err != nil {
		return err
	}
	for _, other := range names {
		if strings.HasPrefix(other, segmentPrefix) && other < name {
			if err := l.fs.Remove(other); err != nil {
				return err
			}
		}
	}
	return nil
}

// Close closes the current segment. Batches that were written are durable.
func (l *Log) Close() error {
	l.failure = errors.Join(l.failure, errClosed)
	return l.file.Close()
}
