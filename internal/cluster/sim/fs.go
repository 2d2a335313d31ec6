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

// memFS is a file system in memory that forgets what was not synced when its machine stops.
type memFS struct {
	rng     *rand.Rand
	files   map[string]*memFile
	lasting map[string]*memFile // names as of the last Sync
	stamps  *int
	full    bool  // writes fail for want of room
	broken  error // syncs fail
}

type memFile struct {
	data   []byte
	synced int // how much of it lasts
	stamp  int
}

func newFS(rng *rand.Rand, stamps *int) *memFS {
	return &memFS{rng: rng, files: map[string]*memFile{}, lasting: map[string]*memFile{}, stamps: stamps}
}

var errFull = errors.New("no space left on device")

type handle struct {
	fs *memFS
	f  *memFile
}

func (h *handle) Write(b []byte) (int, error) {
	if h.fs.full {
		n := h.fs.rng.IntN(len(b) + 1)
		h.f.data = append(h.f.data, b[:n]...)
		return n, errFull
	}
	h.f.data = append(h.f.data, b...)
	return len(b), nil
}

func (h *handle) Sync() error {
	if h.fs.broken != nil {
		return h.fs.broken
	}
	h.f.synced = len(h.f.data)
	return nil
}

func (h *handle) Close() error { return nil }

func (m *memFS) Create(name string) (wal.File, error) {
	if m.files[name] != nil {
		return nil, fs.ErrExist
	}
	*m.stamps++
	f := &memFile{stamp: *m.stamps}
	m.files[name] = f
	return &handle{m, f}, nil
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
	m.lasting = maps.Clone(m.files)
	return nil
}

func (m *memFS) Stamp(name string) (string, error) {
	f := m.files[name]
	if f == nil {
		return "", fs.ErrNotExist
	}
	return fmt.Sprint(f.stamp), nil
}

// crash is what a machine's stop leaves: names and bytes that were synced, and of the others what
// chance will have.
func (m *memFS) crash() {
	for _, name := range slices.Sorted(maps.Keys(m.files)) {
		if f := m.files[name]; m.lasting[name] != f && m.rng.IntN(2) == 0 {
			delete(m.files, name)
			if was := m.lasting[name]; was != nil {
				m.files[name] = was
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(m.lasting)) {
		if m.files[name] == nil && m.rng.IntN(2) == 0 {
			m.files[name] = m.lasting[name] // it was removed or renamed, and that did not last
		}
	}
	for _, name := range slices.Sorted(maps.Keys(m.files)) {
		f := m.files[name]
		f.data = f.data[:f.synced+m.rng.IntN(len(f.data)-f.synced+1)]
	}
	m.lasting = maps.Clone(m.files)
	m.full, m.broken = false, nil
}

// copied is a copy of all that is there: other files with the same bytes.
func (m *memFS) copied() *memFS {
	c := newFS(m.rng, m.stamps)
	for _, name := range slices.Sorted(maps.Keys(m.files)) {
		f := m.files[name]
		*m.stamps++
		c.files[name] = &memFile{slices.Clone(f.data), len(f.data), *m.stamps}
	}
	c.lasting = maps.Clone(c.files)
	return c
}
