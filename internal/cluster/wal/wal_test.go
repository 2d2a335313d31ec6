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

// batch returns n entries of a group from an index on.
func batch(id uint64, g multiraft.Group, from uint64, n int) *multiraft.Batch {
	r := multiraft.LogRecord{Group: g, HardState: &raftpb.HardState{Term: new(uint64(1)), Vote: new(uint64(2)), Commit: new(from - 1)}}
	for i := range n {
		index := from + uint64(i)
		r.Entries = append(r.Entries, &raftpb.Entry{Term: new(uint64(1)), Index: new(index), Data: fmt.Appendf(nil, "entry %d", index)})
	}
	return &multiraft.Batch{ID: id, Records: []multiraft.LogRecord{r}}
}

// writeSegment writes a log of several batches and returns the bytes of its segment.
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

// contents returns what groups hold as text.
func contents(groups map[multiraft.Group]*multiraft.PersistedGroup) (text string) {
	for _, g := range slices.Sorted(maps.Keys(groups)) {
		text += fmt.Sprint(g, groups[g].HardState.GetCommit(), ":")
		for _, e := range groups[g].Entries {
			text += fmt.Sprint(e.GetIndex(), string(e.GetData()), " ")
		}
	}
	return text
}

// A segment that ends anywhere is read up to its last complete batch. One with a bit flipped anywhere is
// corrupt, or loses its last batch at most, as a write that was cut off does. It never has other contents
// than were written.
func TestTornAndFlipped(t *testing.T) {
	b := writeSegment(t, t.TempDir(), 8)
	states := map[string]int{} // batches by contents, at some time
	last := 0
	for n := range len(b) + 1 {
		s, err := ReadSegment(b[:n])
		if err != nil || s.Batches < last {
			t.Fatalf("cut at %d: after %d batches %+v, %v", n, last, s, err)
		}
		states[contents(s.Groups)], last = s.Batches, s.Batches
	}
	if last != 9 {
		t.Fatalf("%d complete batches, want 8 and the first", last)
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
			t.Fatalf("byte %d flipped: %v", i, err)
		}
		if batches, ok := states[contents(s.Groups)]; !ok || batches != s.Batches || s.Batches < last-1 {
			t.Fatalf("byte %d flipped: %d of %d batches", i, s.Batches, last)
		}
	}
	if corrupt < len(b)/2 {
		t.Errorf("%d of %d flips are noticed", corrupt, len(b))
	}
}

// A disk returns what was written, counts its boots, and is told apart from a copy, of the whole directory
// or of a segment alone.
func TestIdentity(t *testing.T) {
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
		t.Errorf("%+v, %d entries", id, len(stored[0].Entries))
	}
	if _, err := OpenDir(path); !errors.Is(err, ErrInUse) {
		t.Errorf("a directory that is open: %v", err)
	}
	l.Close()
	dir.Close()
	if _, _, _, err := open(t, path+".copy"); !errors.Is(err, ErrCopied) {
		t.Errorf("a copy: %v", err)
	}
	if dir, err = OpenDir(path); err != nil {
		t.Fatal(err)
	}
	if _, _, err := Open(dir, "f", "g2", rand.Uint64); !errors.Is(err, ErrForeign) {
		t.Errorf("the disk of another gateway: %v", err)
	}
	dir.Close()
	// An older segment with the current identity.
	segments, _ := filepath.Glob(filepath.Join(path, segmentPrefix+"*"))
	older, _ := filepath.Glob(filepath.Join(path+".copy", segmentPrefix+"*"))
	b, err := os.ReadFile(older[0])
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(segments[0], b, 0o600); err != nil { // in place: the same inode
		t.Fatal(err)
	}
	if _, _, _, err := open(t, path); !errors.Is(err, ErrCopied) {
		t.Errorf("an older segment in place: %v", err)
	}
}

// A disk of another format is refused with both formats.
func TestFormat(t *testing.T) {
	path := t.TempDir()
	if err := os.WriteFile(filepath.Join(path, identityFile), []byte(`{"format":2,"fleet":"f","name":"g1","replica":5}`), 0o600); err != nil {
		t.Fatal(err)
	}
	var format *FormatError
	if _, _, _, err := open(t, path); !errors.As(err, &format) || format.Found != 2 {
		t.Errorf("a disk of format 2: %v", err)
	}
}

// The log continues in a new segment once the old one is long, with all that is in use and nothing else.
func TestRotate(t *testing.T) {
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
		t.Errorf("%d segments, the first has %d bytes", len(names), info.Size())
	}
	l, dir, stored, err := open(t, path)
	if err != nil {
		t.Fatal(err)
	}
	defer dir.Close()
	defer l.Close()
	s := stored[0]
	if s.Snapshot.GetMetadata().GetIndex() != 38 || len(s.Entries) != 2 || s.Entries[1].GetIndex() != 40 {
		t.Errorf("snapshot at %d, %d entries", s.Snapshot.GetMetadata().GetIndex(), len(s.Entries))
	}
}

// Reading any bytes ends, and yields no more than there is.
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
			t.Fatalf("%d batches and %d groups in %d bytes", s.Batches, len(s.Groups), len(b))
		}
	})
}

// The time of a write with its fsync, by the number of entries.
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
