package sim

import (
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"

	"dunemoor/internal/cluster/wal"
)

// memFS is an in-memory wal.FS. When its machine crashes, names and data that were not synced may be lost.
type memFS struct {
	rng     *rand.Rand
	files   map[string]*memFile
	durable map[string]*memFile // directory entries as of the last Sync
	stamps  *int                // number of files created in all file systems, from which file identities are assigned
	full    bool                // whether writes fail for lack of space
	syncErr error               // error that syncs return; nil: they succeed
}

// memFile is a file in a memFS.
type memFile struct {
	data   []byte
	synced int // length of the durable prefix of data
	stamp  int // identity of the file, like an inode number
}

func newFS(rng *rand.Rand, stamps *int) *memFS {
	return &memFS{rng: rng, files: map[string]*memFile{}, durable: map[string]*memFile{}, stamps: stamps}
}

var errFull = errors.New("no space left on device")

// memHandle is an open file.
type memHandle struct {
	fs   *memFS
	file *memFile
}

func (h *memHandle) Write(b []byte) (int, error) {
	if h.fs.full {
		n := h.fs.rng.IntN(len(b) + 1)
		h.file.data = append(h.file.data, b[:n]...)
		return n, errFull
	}
	h.file.data = append(h.file.data, b...)
	return len(b), nil
}

func (h *memHandle) Sync() error {
	if h.fs.syncErr != nil {
		return h.fs.syncErr
	}
	h.file.synced = len(h.file.data)
	return nil
}

func (h *memHandle) Close() error { return nil }

func (m *memFS) Create(name string) (wal.File, error) {
	if m.files[name] != nil {
		return nil, fs.ErrExist
	}
	*m.stamps++
	f := &memFile{stamp: *m.stamps}
	m.files[name] = f
	return &memHandle{m, f}, nil
}

func (m *memFS) Read(name string) ([]byte, error) {
	f := m.files[name]
	if f == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(f.data), nil
}

func (m *memFS) Names() ([]string, error) { return slices.Sorted(maps.Keys(m.files)), nil }

func (m *memFS) Rename(from, to string) error {
	f := m.files[from]
	if f == nil {
		return fs.ErrNotExist
	}
	delete(m.files, from)
	m.files[to] = f
	return nil
}

func (m *memFS) Remove(name string) error {
	delete(m.files, name)
	return nil
}

func (m *memFS) Sync() error {
	if m.syncErr != nil {
		return m.syncErr
	}
	m.durable = maps.Clone(m.files)
	return nil
}

func (m *memFS) Stamp(name string) (string, error) {
	f := m.files[name]
	if f == nil {
		return "", fs.ErrNotExist
	}
	return fmt.Sprint(f.stamp), nil
}

// crash simulates a crash of the machine: synced names and bytes are kept, and a random part of the others.
func (m *memFS) crash() {
	for _, name := range slices.Sorted(maps.Keys(m.files)) {
		if f := m.files[name]; m.durable[name] != f && m.rng.IntN(2) == 0 {
			delete(m.files, name)
			if earlier := m.durable[name]; earlier != nil {
				m.files[name] = earlier
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(m.durable)) {
		if m.files[name] == nil && m.rng.IntN(2) == 0 {
			m.files[name] = m.durable[name] // the removal or rename was not durable
		}
	}
	for _, name := range slices.Sorted(maps.Keys(m.files)) {
		f := m.files[name]
		f.data = f.data[:f.synced+m.rng.IntN(len(f.data)-f.synced+1)]
	}
	m.durable = maps.Clone(m.files)
	m.full, m.syncErr = false, nil
}

// clone returns a copy of the file system: new files, with other identities, and the same contents.
func (m *memFS) clone() *memFS {
	clone := newFS(m.rng, m.stamps)
	for _, name := range slices.Sorted(maps.Keys(m.files)) {
		f := m.files[name]
		*m.stamps++
		clone.files[name] = &memFile{slices.Clone(f.data), len(f.data), *m.stamps}
	}
	clone.durable = maps.Clone(clone.files)
	return clone
}
