package wal

import (
	"errors"
	"io/fs"
	"maps"
	"slices"
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/encoding/prototext"
	"google.golang.org/protobuf/proto"

	"dunemoor/internal/cluster/multiraft"
	"dunemoor/internal/testutil/compat"
)

// memory is a directory in memory, in which each file has one stamp: that of the directory that
// the files in testdata are of.
type memory map[string][]byte

type memoryFile struct {
	m    memory
	name string
}

func (f *memoryFile) Write(b []byte) (int, error) {
	f.m[f.name] = append(f.m[f.name], b...)
	return len(b), nil
}
func (f *memoryFile) Sync() error  { return nil }
func (f *memoryFile) Close() error { return nil }

func (m memory) Create(name string) (File, error) {
	if _, ok := m[name]; ok {
		return nil, fs.ErrExist
	}
	m[name] = nil
	return &memoryFile{m, name}, nil
}

func (m memory) Read(name string) ([]byte, error) {
	b, ok := m[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return b, nil
}

func (m memory) Names() ([]string, error) { return slices.Sorted(maps.Keys(m)), nil }

func (m memory) Rename(from, to string) error {
	m[to] = m[from]
	delete(m, from)
	return nil
}

func (m memory) Remove(name string) error {
	delete(m, name)
	return nil
}
func (m memory) Sync() error                  { return nil }
func (m memory) Stamp(string) (string, error) { return "1f.5e0be100.0", nil }

func entry(term, index uint64, data string) *pb.Entry {
	return &pb.Entry{Term: new(term), Index: new(index), Data: []byte(data)}
}

func hard(term, vote, commit uint64) *pb.HardState {
	return &pb.HardState{Term: new(term), Vote: new(vote), Commit: new(commit)}
}

func snapshot(index uint64, data string) *pb.Snapshot {
	conf := &pb.ConfState{Voters: []uint64{11, 12}, Learners: []uint64{13}}
	return &pb.Snapshot{Data: []byte(data), Metadata: &pb.SnapshotMetadata{ConfState: conf, Index: new(index), Term: new(uint64(1))}}
}

// describe is the contents of a disk as text.
func describe(t *testing.T, stored map[multiraft.Group]multiraft.PersistedGroup) []any {
	t.Helper()
	var list []any
	text := func(m proto.Message) any {
		b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	for _, g := range slices.Sorted(maps.Keys(stored)) {
		s := stored[g]
		list = append(list, g, text(s.HardState), text(s.Snapshot))
		for _, e := range s.Entries {
			list = append(list, text(e))
		}
	}
	return list
}

// A directory of an earlier build, whose last write was cut off, is read, and written anew as that
// build would have.
func TestCompatDirectory(t *testing.T) {
	const segment = "log-0000000000000001"
	m := memory{}
	d, _, err := Open(m, "fleet", "g1", func() uint64 { return 22 })
	if err != nil {
		t.Fatal(err)
	}
	if err := d.SetClusterID(77); err != nil {
		t.Fatal(err)
	}
	for i, records := range [][]multiraft.LogRecord{
		{{Group: 0, Snapshot: snapshot(1, `{"index":1}`), LocalSnapshot: true, HardState: hard(1, 0, 1)}},
		{{Group: 0, Entries: []*pb.Entry{entry(1, 2, "two"), entry(1, 3, "three")}}, {Group: 4, Entries: []*pb.Entry{entry(1, 1, "one")}, HardState: hard(1, 11, 0)}},
		{{Group: 0, Entries: []*pb.Entry{entry(2, 3, "three again"), entry(2, 4, "four")}, HardState: hard(2, 12, 3)}},
		{{Group: 4, Snapshot: snapshot(9, `{"index":9}`), HardState: hard(3, 12, 9)}},
	} {
		if err := d.Write(&multiraft.Batch{ID: uint64(i + 1), Records: records}); err != nil {
			t.Fatal(err)
		}
	}
	compat.Bytes(t, "disk/"+identityFile, m[identityFile])
	torn := appendRecord(slices.Clone(m[segment]), 0, kindEntry, []byte("a batch that did not come to its end"))
	compat.Bytes(t, "disk/"+segment, torn[:len(torn)-9])

	old := memory{identityFile: slices.Clone(compat.Read(t, "disk/"+identityFile)), segment: slices.Clone(compat.Read(t, "disk/"+segment))}
	back, stored, err := Open(old, "fleet", "g1", func() uint64 { return 0 })
	if err != nil {
		t.Fatal(err)
	}
	if id := back.Identity(); id != (Identity{Format: 1, Fleet: "fleet", Name: "g1", ReplicaID: 11, ClusterID: 77, Boots: 2}) {
		t.Errorf("identity: %+v", id)
	}
	compat.Values(t, "stored.txt", describe(t, stored)...)
	compat.Bytes(t, "disk-opened/log-0000000000000002", old["log-0000000000000002"])
	compat.Bytes(t, "disk-opened/"+identityFile, old[identityFile])
	if e := stored[0].Entries; len(e) != 3 || string(e[1].GetData()) != "three again" || stored[0].HardState.GetCommit() != 3 {
		t.Errorf("group 0: %s", prototext.Format(stored[0].HardState))
	}
	if _, _, err := Open(old, "fleet", "g2", func() uint64 { return 0 }); !errors.Is(err, ErrForeign) {
		t.Errorf("as another gateway: %v", err)
	}
	delete(old, identityFile)
	if _, _, err := Open(old, "fleet", "g1", func() uint64 { return 0 }); !errors.Is(err, ErrCorrupt) {
		t.Errorf("without its identity: %v", err)
	}
}
