package compare

import (
	"encoding/binary"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2"
	"go.etcd.io/bbolt"
	pb "go.etcd.io/raft/v3/raftpb"

	"dunemoor/internal/cluster/multiraft"
	"dunemoor/internal/cluster/wal"
)

// store makes commits durable. A commit has consecutive entries of a replicated log and its hard state.
type store interface {
	commit(index uint64, entries [][]byte) error
	close() error
}

// keepEntries is the number of entries that a store keeps. A commit removes older ones, like a snapshot of the
// log.
const keepEntries = 4096

func key(index uint64) []byte { return binary.BigEndian.AppendUint64([]byte("e"), index) }

type walStore struct {
	d   *wal.Log
	dir *wal.Dir
}

func openWAL(path string) (store, error) {
	dir, err := wal.OpenDir(path)
	if err != nil {
		return nil, err
	}
	d, _, err := wal.Open(dir, "f", "g", func() uint64 { return 7 })
	return &walStore{d, dir}, err
}

func (s *walStore) commit(index uint64, entries [][]byte) error {
	r := multiraft.LogRecord{Group: multiraft.Group(1), HardState: &pb.HardState{Term: new(uint64(1)), Vote: new(uint64(1)), Commit: new(index)}}
	for i, data := range entries {
		r.Entries = append(r.Entries, &pb.Entry{Term: new(uint64(1)), Index: new(index + uint64(i)), Data: data})
	}
	b := &multiraft.Batch{ID: index, Records: []multiraft.LogRecord{r}}
	if index%keepEntries < uint64(len(entries)) {
		b.Records = append(b.Records, multiraft.LogRecord{Group: 1, LocalSnapshot: true, Snapshot: &pb.Snapshot{Metadata: &pb.SnapshotMetadata{Index: new(index), Term: new(uint64(1)), ConfState: &pb.ConfState{}}}})
	}
	return s.d.Write(b)
}

func (s *walStore) close() error {
	s.d.Close()
	return s.dir.Close()
}

type boltStore struct{ db *bbolt.DB }

func openBolt(path string) (store, error) {
	db, err := bbolt.Open(filepath.Join(path, "db"), 0o600, nil)
	if err != nil {
		return nil, err
	}
	return &boltStore{db}, db.Update(func(tx *bbolt.Tx) error {
		_, err := tx.CreateBucketIfNotExists([]byte("log"))
		return err
	})
}

func (s *boltStore) commit(index uint64, entries [][]byte) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		b := tx.Bucket([]byte("log"))
		b.FillPercent = 0.9 // keys are inserted in ascending order
		for i, data := range entries {
			at := index + uint64(i)
			if err := b.Put(key(at), data); err != nil {
				return err
			}
			if at > keepEntries {
				if err := b.Delete(key(at - keepEntries)); err != nil {
					return err
				}
			}
		}
		return b.Put([]byte("hard"), key(index))
	})
}

func (s *boltStore) close() error { return s.db.Close() }

type pebbleStore struct{ db *pebble.DB }

func openPebble(path string) (store, error) {
	db, err := pebble.Open(path, &pebble.Options{Logger: quietLogger{}})
	return &pebbleStore{db}, err
}

type quietLogger struct{}

func (quietLogger) Infof(string, ...any)              {}
func (quietLogger) Errorf(format string, args ...any) { fmt.Fprintf(os.Stderr, format+"\n", args...) }
func (quietLogger) Fatalf(format string, args ...any) { panic(fmt.Sprintf(format, args...)) }

func (s *pebbleStore) commit(index uint64, entries [][]byte) error {
	b := s.db.NewBatch()
	defer b.Close()
	for i, data := range entries {
		at := index + uint64(i)
		b.Set(key(at), data, nil)
		if at%keepEntries == 0 && at > keepEntries {
			b.DeleteRange(key(0), key(at-keepEntries), nil)
		}
	}
	b.Set([]byte("hard"), key(index), nil)
	return b.Commit(pebble.Sync)
}

func (s *pebbleStore) close() error { return s.db.Close() }

// diskWrites returns how many bytes the process has written to disks, as the kernel counts them.
func diskWrites(b *testing.B) uint64 { return procField(b, "/proc/self/io", "write_bytes: ", 1) }

// anonMemory returns the process's anonymous resident memory, in bytes.
func anonMemory(b *testing.B) uint64 { return procField(b, "/proc/self/status", "RssAnon:", 1<<10) }

func procField(b *testing.B, path, name string, unit uint64) uint64 {
	text, err := os.ReadFile(path)
	if err != nil {
		b.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, name); ok {
			n, err := strconv.ParseUint(strings.Fields(rest)[0], 10, 64)
			if err != nil {
				b.Fatal(err)
			}
			return n * unit
		}
	}
	b.Fatalf("%s has no %s", path, name)
	return 0
}

// BenchmarkCommit commits entries of 512 bytes, one or sixteen per commit. Each commit is durable before the
// next one.
func BenchmarkCommit(b *testing.B) {
	for _, s := range []struct {
		name string
		open func(path string) (store, error)
	}{{"own", openWAL}, {"bbolt", openBolt}, {"pebble", openPebble}} {
		for _, n := range []int{1, 16} {
			b.Run(fmt.Sprintf("%s/entries=%d", s.name, n), func(b *testing.B) {
				st, err := s.open(b.TempDir())
				if err != nil {
					b.Fatal(err)
				}
				defer st.close()
				entries := make([][]byte, n)
				for i := range entries {
					entries[i] = make([]byte, 512)
				}
				var latencies []time.Duration
				next, writtenBefore, memoryBefore := uint64(1), diskWrites(b), anonMemory(b)
				for b.Loop() {
					began := time.Now()
					if err := st.commit(next, entries); err != nil {
						b.Fatal(err)
					}
					latencies = append(latencies, time.Since(began))
					next += uint64(n)
				}
				slices.Sort(latencies)
				b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds()), "p50-us")
				b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "p99-us")
				b.ReportMetric(float64(diskWrites(b)-writtenBefore)/float64(next-1)/512, "bytes/byte")
				b.ReportMetric(float64(int64(anonMemory(b))-int64(memoryBefore))/(1<<20), "MB")
			})
		}
	}
}
