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

// memFS is a file system in memory that loses what was not synced when its machine crashes. It is a wal.FS.
type memFS struct {
	rng     *rand.Rand
	files   map[string]*memFile
	durable map[string]*memFile // names as of the last Sync
	stamps  *int                // files created so far in all file systems: the identity of a file
	full    bool                // writes fail for lack of space
	broken  error               // syncs fail with it
}

// memFile is a file with its data.
type memFile struct {
	data   []byte
	synced int // how much of it is durable
	stamp  int // its identity
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
	if h.fs.broken != nil {
		return h.fs.broken
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
	if m.broken != nil {
		return m.broken
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

// crash leaves what a crash of the machine does: names and bytes that were synced, and of the others what
// chance leaves.
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
			m.files[name] = m.durable[name] // it was removed or renamed, which was not durable
		}
	}
	for _, name := range slices.Sorted(maps.Keys(m.files)) {
		f := m.files[name]
		f.data = f.data[:f.synced+m.rng.IntN(len(f.data)-f.synced+1)]
	}
	m.durable = maps.Clone(m.files)
	m.full, m.broken = false, nil
}

// copied returns a copy: other files with the same bytes.
func (m *memFS) copied() *memFS {
	copied := newFS(m.rng, m.stamps)
	for _, name := range slices.Sorted(maps.Keys(m.files)) {
		f := m.files[name]
		*m.stamps++
		copied.files[name] = &memFile{slices.Clone(f.data), len(f.data), *m.stamps}
	}
	copied.durable = maps.Clone(copied.files)
	return copied
}
