// Package disk keeps what a gateway's replicas must not forget: one log for all groups, in one
// file at a time, with one write and one fsync for a batch. It has an identity of its own: a
// directory that was emptied, or put back from a copy, is another disk.
package disk

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"slices"
	"strings"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"dunemoor/internal/cluster/failpoint"
	"dunemoor/internal/cluster/multiraft"
)

// Bounds.
const (
	// Format is of all that is written here. Another is not read.
	Format = 1
	// rotateBytes is how long a file gets before what is still in use is written into a new one:
	// as long again for each byte in use, so that each is written twice at most.
	rotateBytes = 4 << 20
	// recordMost bounds one record: a snapshot is the largest.
	recordMost = 1 << 30
)

// Identity is which disk this is.
type Identity struct {
	Format  int    `json:"format"`
	Fleet   string `json:"fleet"`
	Name    string `json:"name"`
	Replica uint64 `json:"replica"` // drawn when the disk was made
	Birth   uint64 `json:"birth"`   // drawn when the fleet was formed; 0: not known yet
	Boots   uint64 `json:"boots"`   // how often it was opened
}

// Errors of a disk that must not be used. The directory is left as it is.
var (
	// ErrCopy is a copy of a disk: the original may have promised more since.
	ErrCopy = errors.New("this is a copy of a disk, not the disk: a copy may have forgotten what it promised")
	// ErrDamaged is a disk with bytes that are not as they were written.
	ErrDamaged = errors.New("the log is damaged")
	// ErrOther is the disk of another gateway or fleet.
	ErrOther = errors.New("the disk is another's")
)

const (
	identityName = "identity.json"
	freshName    = "identity.new"
	segPrefix    = "log-"
)

// Kinds of records.
const (
	kindHead     = 1 // of a file: JSON, a head
	kindEntry    = 2
	kindHard     = 3
	kindSnapshot = 4 // taken from a leader: the log before it is gone
	kindOurs     = 5 // made here: entries behind it stay
	kindEnd      = 6 // of a batch: its number
)

// head begins a file.
type head struct {
	Format  int    `json:"format"`
	Replica uint64 `json:"replica"`
	Stamp   string `json:"stamp"`
	Boots   uint64 `json:"boots"` // as of its beginning
}

// Disk is an open one. It is used by one goroutine.
type Disk struct {
	fs     FS
	id     Identity
	file   File
	seq    uint64
	length int64
	live   map[multiraft.Group]*multiraft.PersistedGroup
	failed error
	buf    []byte

	// Written counts bytes, Synced fsyncs, both since it was opened.
	Written, Synced uint64
}

// Open opens the disk of a gateway of a fleet, or makes it where the directory is empty, with
// draw for its identity. What it held is returned by group.
func Open(fs FS, fleet, name string, draw func() uint64) (*Disk, map[multiraft.Group]multiraft.PersistedGroup, error) {
	names, err := fs.Names()
	if err != nil {
		return nil, nil, err
	}
	d := &Disk{fs: fs, live: map[multiraft.Group]*multiraft.PersistedGroup{}}
	var segments []uint64
	for _, n := range names {
		if rest, ok := strings.CutPrefix(n, segPrefix); ok {
			var seq uint64
			if _, err := fmt.Sscanf(rest, "%016x", &seq); err == nil {
				segments = append(segments, seq)
			}
		}
	}
	slices.Sort(segments)
	if !slices.Contains(names, identityName) {
		if len(segments) > 0 {
			return nil, nil, fmt.Errorf("%w: %s is missing", ErrDamaged, identityName)
		}
		d.id = Identity{Format: Format, Fleet: fleet, Name: name, Replica: draw() >> 1} // the upper half is the library's
		for d.id.Replica == 0 {
			d.id.Replica = draw() >> 1
		}
		if err := d.saveIdentity(); err != nil {
			return nil, nil, err
		}
	} else {
		b, err := fs.Read(identityName)
		if err != nil {
			return nil, nil, err
		}
		if err := json.Unmarshal(b, &d.id); err != nil || d.id.Replica == 0 {
			return nil, nil, fmt.Errorf("%w: %s can't be read", ErrDamaged, identityName)
		}
		if d.id.Format != Format {
			return nil, nil, fmt.Errorf("the disk has format %d, this build reads %d", d.id.Format, Format)
		}
		if d.id.Fleet != fleet || d.id.Name != name {
			return nil, nil, fmt.Errorf("%w: of %s in fleet %s", ErrOther, d.id.Name, d.id.Fleet)
		}
	}
	// The newest file that is whole in its first batch has all that is in use; an older one is
	// left of a change of files that did not end.
	for i := len(segments) - 1; i >= 0; i-- {
		ok, err := d.load(segments[i])
		if err != nil {
			return nil, nil, fmt.Errorf("%s: %w", segmentName(segments[i]), err)
		}
		if ok {
			d.seq = segments[i]
			break
		}
		if i == 0 && d.id.Boots > 0 {
			return nil, nil, fmt.Errorf("%w: no file of it is whole", ErrDamaged)
		}
	}
	if len(segments) > 0 {
		d.seq = max(d.seq, segments[len(segments)-1])
	}
	// The file goes first: its count is that of the identity, or one ahead where we end between.
	d.id.Boots++
	if err := d.rotate(); err != nil {
		return nil, nil, err
	}
	if err := d.saveIdentity(); err != nil {
		return nil, nil, err
	}
	stored := map[multiraft.Group]multiraft.PersistedGroup{}
	for g, s := range d.live {
		c := *s
		c.Entries = slices.Clone(s.Entries)
		if s.HardState != nil {
			c.HardState = proto.Clone(s.HardState).(*pb.HardState)
		}
		stored[g] = c
	}
	return d, stored, nil
}

func segmentName(seq uint64) string { return fmt.Sprintf("%s%016x", segPrefix, seq) }

// Identity is which disk it is.
func (d *Disk) Identity() Identity { return d.id }

// SetBirth notes which forming of the fleet the disk belongs to.
func (d *Disk) SetBirth(birth uint64) error {
	if d.id.Birth == birth {
		return nil
	}
	d.id.Birth = birth
	return d.saveIdentity()
}

func (d *Disk) saveIdentity() error {
	b, err := json.Marshal(d.id)
	if err != nil {
		return err
	}
	if err := d.fs.Remove(freshName); err != nil {
		return err
	}
	f, err := d.fs.Create(freshName)
	if err != nil {
		return err
	}
	_, err = f.Write(b)
	if err == nil {
		err = f.Sync()
	}
	if err := errors.Join(err, f.Close()); err != nil {
		return err
	}
	if err := d.fs.Rename(freshName, identityName); err != nil {
		return err
	}
	return d.fs.Sync()
}

var table = crc32.MakeTable(crc32.Castagnoli)

// A record is, in bytes: 4 of length of what it carries, 4 of group, 1 of kind, 4 of a checksum
// of these, 4 of a checksum of what it carries, and that; numbers little-endian, CRC-32C.
const recordHead = 17

func appendRecord(b []byte, g multiraft.Group, kind byte, carries []byte) []byte {
	at := len(b)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(carries)))
	b = binary.LittleEndian.AppendUint32(b, uint32(g))
	b = append(b, kind)
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(b[at:], table))
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(carries, table))
	return append(b, carries...)
}

// errTorn is the end of a write that did not come to its end.
var errTorn = errors.New("torn")

// readRecord reads the record that b begins with. The two ways in which it can be wrong are told
// apart: torn, as a write that was cut off leaves it, and damaged.
func readRecord(b []byte) (g multiraft.Group, kind byte, carries, rest []byte, err error) {
	if len(b) < recordHead {
		return 0, 0, nil, nil, errTorn
	}
	if binary.LittleEndian.Uint32(b[9:]) != crc32.Checksum(b[:9], table) {
		if !slices.ContainsFunc(b, func(x byte) bool { return x != 0 }) {
			return 0, 0, nil, nil, errTorn // the length was there before the bytes
		}
		return 0, 0, nil, nil, ErrDamaged
	}
	n := int64(binary.LittleEndian.Uint32(b))
	if n > recordMost {
		return 0, 0, nil, nil, ErrDamaged
	}
	if int64(len(b)) < recordHead+n {
		return 0, 0, nil, nil, errTorn
	}
	carries, rest = b[recordHead:recordHead+n], b[recordHead+n:]
	if binary.LittleEndian.Uint32(b[13:]) != crc32.Checksum(carries, table) {
		if len(rest) == 0 || !slices.ContainsFunc(carries, func(x byte) bool { return x != 0 }) && !slices.ContainsFunc(rest, func(x byte) bool { return x != 0 }) {
			return 0, 0, nil, nil, errTorn
		}
		return 0, 0, nil, nil, ErrDamaged
	}
	return multiraft.Group(binary.LittleEndian.Uint32(b[4:])), b[8], carries, rest, nil
}

// load reads a file; ok is false where not even its first batch is whole.
func (d *Disk) load(seq uint64) (ok bool, err error) {
	name := segmentName(seq)
	b, err := d.fs.Read(name)
	if err != nil {
		return false, err
	}
	live, h, whole, err := ReadLog(b)
	if err != nil {
		return false, err
	}
	if whole == 0 {
		return false, nil
	}
	stamp, err := d.fs.Stamp(name)
	if err != nil {
		return false, err
	}
	if !failpoint.Enabled(failpoint.AcceptOldDisk) && (h.Stamp != stamp || h.Replica != d.id.Replica || h.Boots != d.id.Boots && h.Boots != d.id.Boots+1) {
		return false, ErrCopy
	}
	d.id.Boots = h.Boots
	d.live = live
	return true, nil
}

// ReadLog reads the bytes of a file: what is in use at the end of its last whole batch, and how
// many batches are whole. What is torn behind that is left out; what is damaged is an error.
func ReadLog(b []byte) (live map[multiraft.Group]*multiraft.PersistedGroup, h head, whole int, err error) {
	type record struct {
		g    multiraft.Group
		kind byte
		b    []byte
	}
	var batch []record
	live = map[multiraft.Group]*multiraft.PersistedGroup{}
	for first := true; len(b) > 0; first = false {
		g, kind, carries, rest, err := readRecord(b)
		if errors.Is(err, errTorn) {
			return live, h, whole, nil
		}
		if err != nil {
			return nil, h, whole, err
		}
		b = rest
		switch {
		case first:
			if kind != kindHead || json.Unmarshal(carries, &h) != nil || h.Format != Format {
				return nil, h, 0, fmt.Errorf("%w: it does not begin with a head of format %d", ErrDamaged, Format)
			}
		case kind == kindEnd:
			for _, r := range batch {
				s := live[r.g]
				if s == nil {
					s = &multiraft.PersistedGroup{}
					live[r.g] = s
				}
				if err := keepBytes(s, r.kind, r.b); err != nil {
					return nil, h, whole, err
				}
			}
			batch = batch[:0]
			whole++
		default:
			batch = append(batch, record{g, kind, carries})
		}
	}
	return live, h, whole, nil
}

// keepBytes takes a record over into what is in use.
func keepBytes(s *multiraft.PersistedGroup, kind byte, b []byte) error {
	r := multiraft.LogRecord{}
	var err error
	switch kind {
	case kindEntry:
		e := &pb.Entry{}
		err = proto.Unmarshal(b, e)
		r.Entries = []*pb.Entry{e}
	case kindHard:
		r.HardState = &pb.HardState{}
		err = proto.Unmarshal(b, r.HardState)
	case kindSnapshot, kindOurs:
		r.Snapshot, r.LocalSnapshot = &pb.Snapshot{}, kind == kindOurs
		err = proto.Unmarshal(b, r.Snapshot)
	default:
		err = fmt.Errorf("a record of kind %d", kind)
	}
	if err == nil {
		err = keep(s, &r)
	}
	if err != nil {
		return fmt.Errorf("%w: %v", ErrDamaged, err)
	}
	return nil
}

// keep takes a record over into what is in use.
func keep(s *multiraft.PersistedGroup, r *multiraft.LogRecord) error {
	if r.Snapshot != nil {
		at := r.Snapshot.GetMetadata().GetIndex()
		s.Snapshot = r.Snapshot
		if !r.LocalSnapshot {
			s.Entries = nil
		}
		i := 0
		for i < len(s.Entries) && s.Entries[i].GetIndex() <= at {
			i++
		}
		s.Entries = slices.Clone(s.Entries[i:])
	}
	for _, e := range r.Entries {
		next := uint64(0)
		if s.Snapshot != nil {
			next = s.Snapshot.GetMetadata().GetIndex()
		}
		next += uint64(len(s.Entries)) + 1
		switch at := e.GetIndex(); {
		case at > next:
			return fmt.Errorf("entry %d follows %d", at, next-1)
		case at == next:
			s.Entries = append(s.Entries, e)
		case next-at <= uint64(len(s.Entries)):
			s.Entries = append(s.Entries[:uint64(len(s.Entries))-(next-at):uint64(len(s.Entries))-(next-at)], e)
		} // else the snapshot has it
	}
	if r.HardState != nil {
		s.HardState = r.HardState
	}
	return nil
}

// Write makes a batch last. An error is for good: nothing is written any more, as what the file
// holds is not known.
func (d *Disk) Write(b *multiraft.Batch) error {
	if d.failed != nil {
		return d.failed
	}
	d.buf = d.buf[:0]
	for i := range b.Records {
		if err := d.add(&b.Records[i]); err != nil {
			return d.fail(err)
		}
	}
	if err := d.flush(b.ID); err != nil {
		return d.fail(err)
	}
	if d.length > rotateBytes && d.length > 2*d.inUse() {
		if err := d.rotate(); err != nil {
			return d.fail(err)
		}
	}
	return nil
}

func (d *Disk) fail(err error) error {
	d.failed = fmt.Errorf("the disk is not used any more: %w", err)
	return d.failed
}

// add puts a record into the buffer and takes it over.
func (d *Disk) add(r *multiraft.LogRecord) error {
	s := d.live[r.Group]
	if s == nil {
		s = &multiraft.PersistedGroup{}
		d.live[r.Group] = s
	}
	d.put(r.Group, &multiraft.PersistedGroup{Snapshot: r.Snapshot, Entries: r.Entries, HardState: r.HardState}, r.LocalSnapshot)
	return keep(s, r)
}

func (d *Disk) put(g multiraft.Group, s *multiraft.PersistedGroup, ours bool) {
	if s.Snapshot != nil {
		kind := byte(kindSnapshot)
		if ours {
			kind = kindOurs
		}
		d.message(g, kind, s.Snapshot)
	}
	for _, e := range s.Entries {
		d.message(g, kindEntry, e)
	}
	if s.HardState != nil {
		d.message(g, kindHard, s.HardState)
	}
}

func (d *Disk) message(g multiraft.Group, kind byte, m proto.Message) {
	b, err := proto.Marshal(m)
	if err != nil {
		panic(err) // it has no field that could fail
	}
	d.buf = appendRecord(d.buf, g, kind, b)
}

// flush writes the buffer as a batch and makes it last.
func (d *Disk) flush(id uint64) error {
	d.buf = appendRecord(d.buf, 0, kindEnd, binary.LittleEndian.AppendUint64(nil, id))
	n, err := d.file.Write(d.buf)
	d.length += int64(n)
	d.Written += uint64(n)
	if err != nil {
		return err
	}
	if cap(d.buf) > rotateBytes {
		d.buf = nil
	}
	if failpoint.Enabled(failpoint.SkipFsync) {
		return nil
	}
	d.Synced++
	failpoint.Block("fsync")
	return d.file.Sync()
}

func (d *Disk) inUse() (n int64) {
	for _, s := range d.live {
		if s.Snapshot != nil {
			n += int64(len(s.Snapshot.GetData()))
		}
		for _, e := range s.Entries {
			n += int64(len(e.GetData())) + 2*recordHead
		}
	}
	return n
}

// rotate goes on in a new file that begins with all that is in use.
func (d *Disk) rotate() error {
	old := d.file
	d.seq++
	name := segmentName(d.seq)
	f, err := d.fs.Create(name)
	if err != nil {
		return err
	}
	stamp, err := d.fs.Stamp(name)
	if err != nil {
		f.Close()
		return err
	}
	h, err := json.Marshal(head{Format, d.id.Replica, stamp, d.id.Boots})
	if err != nil {
		f.Close()
		return err
	}
	d.buf = appendRecord(d.buf[:0], 0, kindHead, h)
	groups := make([]multiraft.Group, 0, len(d.live))
	for g := range d.live {
		groups = append(groups, g)
	}
	slices.Sort(groups)
	for _, g := range groups {
		d.put(g, d.live[g], false)
	}
	d.file, d.length = f, 0
	if err := d.flush(0); err != nil {
		return err
	}
	if err := d.fs.Sync(); err != nil {
		return err
	}
	if old != nil {
		old.Close()
	}
	names, err := d.fs.Names()
	if err != nil {
		return err
	}
	for _, n := range names {
		if strings.HasPrefix(n, segPrefix) && n < name {
			if err := d.fs.Remove(n); err != nil {
				return err
			}
		}
	}
	return nil
}

// Close closes the file; nothing that was told as written is lost.
func (d *Disk) Close() error {
	d.failed = errors.Join(d.failed, errors.New("the disk is closed"))
	return d.file.Close()
}
