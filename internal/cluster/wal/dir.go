package wal

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"syscall"

	"golang.org/x/sys/unix"
)

// FS is the file system of a Log. Data that was not synced may be lost, or be there only in part, after a
// crash.
type FS interface {
	// Create creates a file, which must not exist.
	Create(name string) (File, error)
	// Read returns the contents of a file.
	Read(name string) ([]byte, error)
	// Names lists the files, sorted.
	Names() ([]string, error)
	Rename(from, to string) error
	// Remove removes a file, if it exists.
	Remove(name string) error
	// Sync makes durable which files exist, and under which names.
	Sync() error
	// Stamp returns a text that identifies a file. It differs between a file and any copy of it.
	Stamp(name string) (string, error)
}

// File is a file that is open for writing.
type File interface {
	// Write appends to the file.
	Write(b []byte) (int, error)
	// Sync makes the contents durable.
	Sync() error
	Close() error
}

// Dir is a directory of the operating system's file system. One process uses it at a time.
type Dir struct {
	path string
	lock *os.File
}

// lockFile is locked while the directory is in use.
const lockFile = "lock"

// ErrInUse is returned if another process uses the directory.
var ErrInUse = errors.New("another process uses the directory")

// OpenDir locks a directory for this process. It creates the directory if that does not exist.
func OpenDir(path string) (*Dir, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, err
	}
	f, err := os.OpenFile(filepath.Join(path, lockFile), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			err = ErrInUse
		}
		return nil, fmt.Errorf("lock %s: %w", path, err)
	}
	return &Dir{path, f}, nil
}

// Close unlocks the directory.
func (d *Dir) Close() error { return d.lock.Close() }

func (d *Dir) join(name string) string { return filepath.Join(d.path, name) }

// Create implements FS.
func (d *Dir) Create(name string) (File, error) {
	return os.OpenFile(d.join(name), os.O_CREATE|os.O_EXCL|os.O_WRONLY|os.O_APPEND, 0o600)
}

// Read implements FS.
func (d *Dir) Read(name string) ([]byte, error) { return os.ReadFile(d.join(name)) }

// Names implements FS.
func (d *Dir) Names() ([]string, error) {
	list, err := os.ReadDir(d.path)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range list {
		if e.Type().IsRegular() && e.Name() != lockFile {
			names = append(names, e.Name())
		}
	}
	slices.Sort(names)
	return names, nil
}

// Rename implements FS.
func (d *Dir) Rename(from, to string) error { return os.Rename(d.join(from), d.join(to)) }

// Remove implements FS.
func (d *Dir) Remove(name string) error {
	if err := os.Remove(d.join(name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}

// Sync implements FS.
func (d *Dir) Sync() error {
	f, err := os.Open(d.path)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// Stamp returns the file's inode and creation time. A copy differs in at least one of them, however it was
// made. On a file system without creation times, Stamp returns only the inode.
func (d *Dir) Stamp(name string) (string, error) {
	var st unix.Statx_t
	if err := unix.Statx(unix.AT_FDCWD, d.join(name), 0, unix.STATX_INO|unix.STATX_BTIME, &st); err != nil {
		return "", fmt.Errorf("%s: %w", d.join(name), err)
	}
	if st.Mask&unix.STATX_BTIME == 0 {
		return fmt.Sprintf("%x", st.Ino), nil
	}
	return fmt.Sprintf("%x.%x.%x", st.Ino, st.Btime.Sec, st.Btime.Nsec), nil
}
