package wal

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"go.etcd.io/raft/v3/raftpb"

	"dunemoor/internal/cluster/multiraft"
)

// open opens a directory as the disk of gateway g1 in fleet f.
func open(t testing.TB, path string) (*Log, *Dir, map[multiraft.Group]multiraft.PersistedGroup, error) {
	t.Helper()
	dir, err := OpenDir(path)
	if err != nil {
		t.Fatal(err)
	}
	l, stored, err := Open(dir, "f", "g1", rand.Uint64)
	if err != nil {
		dir.Close()
	}
	return l, dir, stored, err
}

// batch returns a batch with n entries of a group that start at an index.
func batch(id uint64, g multiraft.Group, from uint64, n int) *multiraft.Batch {
	r := multiraft.LogRecord{Group: g, HardState: &raftpb.HardState{Term: new(uint64(1)), Vote: new(uint64(2)), Commit: new(from - 1)}}
	for i := range n {
		index := from + uint64(i)
		r.Entries = append(r.Entries, &raftpb.Entry{Term: new(uint64(1)), Index: new(index), Data: fmt.Appendf(nil, "entry %d", index)})
	}
	return &multiraft.Batch{ID: id, Records: []multiraft.LogRecord{r}}
}

// writeSegment writes a log of several batches, and returns the bytes of its segment.
func writeSegment(t testing.TB, path string, batches int) []byte {
	t.Helper()
	l, dir, _, err := open(t, path)
	if err != nil {
		t.Fatal(err)
	}
	defer dir.Close()
	for i := range batches {
		if err := l.Write(batch(uint64(i+1), multiraft.Group(i%2), uint64(i/2*3+1), 3)); err != nil {
			t.Fatal(err)
		}
	}
	l.Close()
	b, err := os.ReadFile(filepath.Join(path, segmentName(l.seq)))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// contents returns the commit indexes and entries of groups as text.
func contents(groups map[multiraft.Group]*multiraft.PersistedGroup) (text string) {
	for _, g := range slices.Sorted(maps.Keys(groups)) {
		text += fmt.Sprint(g, groups[g].HardState.GetCommit(), ":")
		for _, e := range groups[g].Entries {
			text += fmt.Sprint(e.GetIndex(), string(e.GetData()), " ")
		}
	}
	return text
}

// A segment that is truncated anywhere is read up to its last complete batch. A segment with any bit flipped is
// reported as corrupt, or loses at most its last batch, as after an interrupted write. Neither is ever read
// with contents that were not written.
func TestReadSegmentDetectsTruncationAndFlippedBits(t *testing.T) {
	b := writeSegment(t, t.TempDir(), 8)
	states := map[string]int{} // number of batches by contents, after each batch
	last := 0
	for n := range len(b) + 1 {
		s, err := ReadSegment(b[:n])
		if err != nil || s.Batches < last {
			t.Fatalf("truncated at %d, want at least %d batches and no error: got %+v, error %v", n, last, s, err)
		}
		states[contents(s.Groups)], last = s.Batches, s.Batches
	}
	if last != 9 {
		t.Fatalf("complete batches: got %d, want 9, as the first one has the header", last)
	}
	corrupt := 0
	for i := range b {
		flipped := slices.Clone(b)
		flipped[i] ^= 1 << (i % 8)
		s, err := ReadSegment(flipped)
		if errors.Is(err, ErrCorrupt) {
			corrupt++
			continue
		}
		if err != nil {
			t.Fatalf("bit of byte %d flipped: got error %v, want ErrCorrupt or none", i, err)
		}
		if batches, ok := states[contents(s.Groups)]; !ok || batches != s.Batches || s.Batches < last-1 {
			t.Fatalf("bit of byte %d flipped: got %d of %d batches, want all or all but the last, as they were written", i, s.Batches, last)
		}
	}
	if corrupt < len(b)/2 {
		t.Errorf("flipped bits that are detected: got %d of %d, want at least half", corrupt, len(b))
	}
}

// A disk returns what was written and counts its boots. Opening it fails while it is open, as another gateway, as
// a copy of the directory, and after its segment was replaced by an older one.
func TestOpenChecksIdentity(t *testing.T) {
	path := filepath.Join(t.TempDir(), "d")
	writeSegment(t, path, 4)
	if err := os.CopyFS(path+".copy", os.DirFS(path)); err != nil {
		t.Fatal(err)
	}
	l, dir, stored, err := open(t, path)
	if err != nil {
		t.Fatal(err)
	}
	if id := l.Identity(); id.Boots != 2 || len(stored[0].Entries) != 6 || stored[1].HardState.GetVote() != 2 {
		t.Errorf("got identity %+v and %d entries of group 0, want 2 boots, 6 entries and vote 2 of group 1", id, len(stored[0].Entries))
	}
	if _, err := OpenDir(path); !errors.Is(err, ErrInUse) {
		t.Errorf("OpenDir of a directory that is open: got %v, want ErrInUse", err)
	}
	l.Close()
	dir.Close()
	if _, _, _, err := open(t, path+".copy"); !errors.Is(err, ErrCopied) {
		t.Errorf("Open of a copy: got %v, want ErrCopied", err)
	}
	if dir, err = OpenDir(path); err != nil {
		t.Fatal(err)
	}
	if _, _, err := Open(dir, "f", "g2", rand.Uint64); !errors.Is(err, ErrForeign) {
		t.Errorf("Open of the disk of another gateway: got %v, want ErrForeign", err)
	}
	dir.Close()
	// Replace the segment by an older one, and keep the identity.
	segments, _ := filepath.Glob(filepath.Join(path, segmentPrefix+"*"))
	older, _ := filepath.Glob(filepath.Join(path+".copy", segmentPrefix+"*"))
	b, err := os.ReadFile(older[0])
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(segments[0], b, 0o600); err != nil { // written in place, so that the inode is the same
		t.Fatal(err)
	}
	if _, _, _, err := open(t, path); !errors.Is(err, ErrCopied) {
		t.Errorf("Open with an older segment: got %v, want ErrCopied", err)
	}
}

// A disk with another format version is rejected, and the error has that version.
func TestOpenRejectsOtherFormat(t *testing.T) {
	path := t.TempDir()
	if err := os.WriteFile(filepath.Join(path, identityFile), []byte(`{"format":2,"fleet":"f","name":"g1","replica":5}`), 0o600); err != nil {
		t.Fatal(err)
	}
	var format *FormatError
	if _, _, _, err := open(t, path); !errors.As(err, &format) || format.Found != 2 {
		t.Errorf("Open of a disk with format 2: got %v, want a FormatError with it", err)
	}
}

// When a segment is long, the log continues in a new one that has all data in use and nothing else.
func TestWriteRotatesLongSegment(t *testing.T) {
	path := t.TempDir()
	l, dir, _, err := open(t, path)
	if err != nil {
		t.Fatal(err)
	}
	data := make([]byte, 256<<10)
	for i := range uint64(40) {
		b := batch(i+1, 0, i+1, 1)
		b.Records[0].Entries[0].Data = data
		if i%8 == 7 {
			b.Records = append(b.Records, multiraft.LogRecord{Group: 0, LocalSnapshot: true, Snapshot: &raftpb.Snapshot{
				Data:     []byte("all"),
				Metadata: &raftpb.SnapshotMetadata{Index: new(i - 1), Term: new(uint64(1)), ConfState: &raftpb.ConfState{}},
			}})
		}
		if err := l.Write(b); err != nil {
			t.Fatal(err)
		}
	}
	l.Close()
	dir.Close()
	names, _ := filepath.Glob(filepath.Join(path, segmentPrefix+"*"))
	info, err := os.Stat(names[0])
	if err != nil || len(names) != 1 || info.Size() > 3*minRotateBytes {
		t.Errorf("got %d segments, the first with %d bytes, want 1 segment with 3*minRotateBytes at most", len(names), info.Size())
	}
	l, dir, stored, err := open(t, path)
	if err != nil {
		t.Fatal(err)
	}
	defer dir.Close()
	defer l.Close()
	s := stored[0]
	if s.Snapshot.GetMetadata().GetIndex() != 38 || len(s.Entries) != 2 || s.Entries[1].GetIndex() != 40 {
		t.Errorf("got snapshot at index %d and %d entries, want index 38 and the entries 39 and 40", s.Snapshot.GetMetadata().GetIndex(), len(s.Entries))
	}
}

// Reading arbitrary bytes ends, and returns no more batches and groups than the input can contain.
func FuzzReadSegment(f *testing.F) {
	f.Add(writeSegment(f, f.TempDir(), 3))
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := ReadSegment(b)
		if errors.Is(err, ErrCorrupt) {
			return
		}
		if err != nil {
			t.Fatal(err)
		}
		if s.Batches*recordHeaderBytes > len(b) || len(s.Groups) > len(b) {
			t.Fatalf("got %d batches and %d groups from %d bytes, which is more than they can contain", s.Batches, len(s.Groups), len(b))
		}
	})
}

// BenchmarkWrite measures a write with its fsync, by the number of entries.
func BenchmarkWrite(b *testing.B) {
	for _, n := range []int{1, 16} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			l, dir, _, err := open(b, b.TempDir())
			if err != nil {
				b.Fatal(err)
			}
			defer dir.Close()
			data := make([]byte, 512)
			next := uint64(1)
			for b.Loop() {
				x := batch(next, 0, next, n)
				for _, e := range x.Records[0].Entries {
					e.Data = data
				}
				next += uint64(n)
				if next%4096 < uint64(n) {
					x.Records = append(x.Records, multiraft.LogRecord{LocalSnapshot: true, Snapshot: &raftpb.Snapshot{
						Metadata: &raftpb.SnapshotMetadata{Index: new(next - 1), Term: new(uint64(1)), ConfState: &raftpb.ConfState{}},
					}})
				}
				if err := l.Write(x); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(l.BytesWritten)/float64(next-1)/512, "bytes/byte")
			b.ReportMetric(float64(l.Syncs)/float64(b.N), "fsyncs/op")
		})
	}
}
