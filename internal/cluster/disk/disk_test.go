package disk

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"

	"dunemoor/internal/cluster/multiraft"
)

// open opens a directory as g1's disk in fleet f.
func open(t testing.TB, path string) (*Disk, *Dir, map[multiraft.Group]multiraft.PersistedGroup, error) {
	t.Helper()
	dir, err := OpenDir(path)
	if err != nil {
		t.Fatal(err)
	}
	d, stored, err := Open(dir, "f", "g1", rand.Uint64)
	if err != nil {
		dir.Close()
	}
	return d, dir, stored, err
}

// batch is entries of a group, from an index on.
func batch(id uint64, g multiraft.Group, from uint64, n int) *multiraft.Batch {
	r := multiraft.LogRecord{Group: g, HardState: &pb.HardState{Term: new(uint64(1)), Vote: new(uint64(2)), Commit: new(from - 1)}}
	for i := range n {
		r.Entries = append(r.Entries, &pb.Entry{Term: new(uint64(1)), Index: new(from + uint64(i)), Data: fmt.Appendf(nil, "entry %d", from+uint64(i))})
	}
	return &multiraft.Batch{ID: id, Records: []multiraft.LogRecord{r}}
}

// written makes a disk of several batches and returns the bytes of its file.
func written(t testing.TB, path string, batches int) []byte {
	t.Helper()
	d, dir, _, err := open(t, path)
	if err != nil {
		t.Fatal(err)
	}
	defer dir.Close()
	for i := range batches {
		if err := d.Write(batch(uint64(i+1), multiraft.Group(i%2), uint64(i/2*3+1), 3)); err != nil {
			t.Fatal(err)
		}
	}
	d.Close()
	b, err := os.ReadFile(filepath.Join(path, segmentName(d.seq)))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// said is what a log says, as text.
func said(live map[multiraft.Group]*multiraft.PersistedGroup) (text string) {
	for _, g := range slices.Sorted(maps.Keys(live)) {
		text += fmt.Sprint(g, live[g].HardState.GetCommit(), ":")
		for _, e := range live[g].Entries {
			text += fmt.Sprint(e.GetIndex(), string(e.GetData()), " ")
		}
	}
	return text
}

// A log that ends anywhere is read up to its last whole batch; one with a bit flipped anywhere is
// refused, or loses its last batch at most, as a write that was cut off does. It never says
// anything else than was written.
func TestTornAndFlipped(t *testing.T) {
	b := written(t, t.TempDir(), 8)
	states := map[string]int{} // what was whole at some time
	last := 0
	for n := range len(b) + 1 {
		live, _, whole, err := ReadLog(b[:n])
		if err != nil || whole < last {
			t.Fatalf("cut at %d: %d batches after %d, %v", n, whole, last, err)
		}
		states[said(live)], last = whole, whole
	}
	if last != 9 {
		t.Fatalf("%d whole batches, want 8 and the first", last)
	}
	damaged := 0
	for i := range b {
		flipped := slices.Clone(b)
		flipped[i] ^= 1 << (i % 8)
		live, _, whole, err := ReadLog(flipped)
		if errors.Is(err, ErrDamaged) {
			damaged++
			continue
		}
		if at, ok := states[said(live)]; err != nil || !ok || at != whole || whole < last-1 {
			t.Fatalf("byte %d flipped: %d of %d batches, %v", i, whole, last, err)
		}
	}
	if damaged < len(b)/2 {
		t.Errorf("%d of %d flips are said", damaged, len(b))
	}
}

// The disk comes back with what was written, counts its starts, and is known from a copy of it, as
// a whole or of its log alone.
func TestIdentity(t *testing.T) {
	path := filepath.Join(t.TempDir(), "d")
	written(t, path, 4)
	if err := os.CopyFS(path+".copy", os.DirFS(path)); err != nil {
		t.Fatal(err)
	}
	d, dir, stored, err := open(t, path)
	if err != nil {
		t.Fatal(err)
	}
	if id := d.Identity(); id.Boots != 2 || len(stored[0].Entries) != 6 || stored[1].HardState.GetVote() != 2 {
		t.Errorf("%+v, %d entries", id, len(stored[0].Entries))
	}
	if _, err := OpenDir(path); err == nil {
		t.Error("a directory is open twice")
	}
	d.Close()
	dir.Close()
	if _, _, _, err := open(t, path+".copy"); !errors.Is(err, ErrCopy) {
		t.Errorf("a copy: %v", err)
	}
	if dir, err := OpenDir(path); err != nil {
		t.Fatal(err)
	} else {
		if _, _, err := Open(dir, "f", "g2", rand.Uint64); !errors.Is(err, ErrOther) {
			t.Errorf("another's disk: %v", err)
		}
		dir.Close()
	}
	// An older log under the identity of now.
	logs, _ := filepath.Glob(filepath.Join(path, segPrefix+"*"))
	old, _ := filepath.Glob(filepath.Join(path+".copy", segPrefix+"*"))
	b, err := os.ReadFile(old[0])
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(logs[0], b, 0o600); err != nil { // in place: the same inode
		t.Fatal(err)
	}
	if _, _, _, err := open(t, path); !errors.Is(err, ErrCopy) {
		t.Errorf("an older log in place: %v", err)
	}
}

// The log goes on in a new file once the old is long, with all that is in use and nothing else.
func TestRotate(t *testing.T) {
	path := t.TempDir()
	d, dir, _, err := open(t, path)
	if err != nil {
		t.Fatal(err)
	}
	data := make([]byte, 256<<10)
	for i := range uint64(40) {
		b := batch(i+1, 0, i+1, 1)
		b.Records[0].Entries[0].Data = data
		if i%8 == 7 {
			b.Records = append(b.Records, multiraft.LogRecord{Group: 0, LocalSnapshot: true, Snapshot: &pb.Snapshot{Data: []byte("all"), Metadata: &pb.SnapshotMetadata{
				Index: new(i - 1), Term: new(uint64(1)), ConfState: &pb.ConfState{}}}})
		}
		if err := d.Write(b); err != nil {
			t.Fatal(err)
		}
	}
	d.Close()
	dir.Close()
	names, _ := filepath.Glob(filepath.Join(path, segPrefix+"*"))
	info, err := os.Stat(names[0])
	if err != nil || len(names) != 1 || info.Size() > 3*rotateBytes {
		t.Errorf("%d files, %v", len(names), info.Size())
	}
	d, dir, stored, err := open(t, path)
	if err != nil {
		t.Fatal(err)
	}
	defer dir.Close()
	defer d.Close()
	s := stored[0]
	if s.Snapshot.GetMetadata().GetIndex() != 38 || len(s.Entries) != 2 || s.Entries[1].GetIndex() != 40 {
		t.Errorf("snapshot at %d, %d entries", s.Snapshot.GetMetadata().GetIndex(), len(s.Entries))
	}
}

// Whatever the bytes are, reading them ends, and says no more than there is.
func FuzzReadLog(f *testing.F) {
	f.Add(written(f, f.TempDir(), 3))
	f.Fuzz(func(t *testing.T, b []byte) {
		live, _, whole, err := ReadLog(b)
		if err != nil && !errors.Is(err, ErrDamaged) {
			t.Fatal(err)
		}
		if whole*recordHead > len(b) || len(live) > len(b) {
			t.Fatalf("%d batches and %d groups in %d bytes", whole, len(live), len(b))
		}
	})
}

// What a write with its fsync takes, by how much there is in it.
func BenchmarkWrite(b *testing.B) {
	for _, n := range []int{1, 16} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			d, dir, _, err := open(b, b.TempDir())
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
					x.Records = append(x.Records, multiraft.LogRecord{LocalSnapshot: true, Snapshot: &pb.Snapshot{Metadata: &pb.SnapshotMetadata{Index: new(next - 1), Term: new(uint64(1)), ConfState: &pb.ConfState{}}}})
				}
				if err := d.Write(x); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(d.Written)/float64(next-1)/512, "bytes/byte")
			b.ReportMetric(float64(d.Synced)/float64(b.N), "fsyncs/op")
		})
	}
}
