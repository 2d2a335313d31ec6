package disk

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

// FS is what a Disk needs of a file system: files that grow at their end and are read whole.
// Whatever is not synced may be lost or be there in part.
type FS interface {
	// Create makes a file that is not there.
	Create(name string) (File, error)
	// Append opens a file at its end, cut to a length.
	Append(name string, length int64) (File, error)
	Read(name string) ([]byte, error)
	// Names lists the files there.
	Names() ([]string, error)
	Rename(from, to string) error
	Remove(name string) error
	// Sync makes last which files there are.
	Sync() error
	// Stamp tells a file from any copy of it.
	Stamp(name string) (string, error)
}

// File is one that is written.
type File interface {
	Write(b []byte) (int, error)
	Sync() error
	Close() error
}

// Dir is a directory of the system's file system. One process has it at a time.
type Dir struct {
	path string
	lock *os.File
}

// lockName is the file whose lock says that the directory is in use.
const lockName = "lock"

// OpenDir makes a directory, where there is none, and takes it for this process.
func OpenDir(path string) (*Dir, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, err
	}
	f, err := os.OpenFile(filepath.Join(path, lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, fmt.Errorf("%s: another process uses it", path)
		}
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &Dir{path, f}, nil
}

// Close lets the directory go.
func (d *Dir) Close() error { return d.lock.Close() }

func (d *Dir) at(name string) string { return filepath.Join(d.path, name) }

// Create is of FS.
func (d *Dir) Create(name string) (File, error) {
	return os.OpenFile(d.at(name), os.O_CREATE|os.O_EXCL|os.O_WRONLY|os.O_APPEND, 0o600)
}

// Append is of FS.
func (d *Dir) Append(name string, length int64) (File, error) {
	f, err := os.OpenFile(d.at(name), os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	if err := f.Truncate(length); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// Read is of FS.
func (d *Dir) Read(name string) ([]byte, error) { return os.ReadFile(d.at(name)) }

// Names is of FS.
func (d *Dir) Names() ([]string, error) {
	list, err := os.ReadDir(d.path)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range list {
		if e.Type().IsRegular() && e.Name() != lockName {
			names = append(names, e.Name())
		}
	}
	slices.Sort(names)
	return names, nil
}

// Rename is of FS.
func (d *Dir) Rename(from, to string) error { return os.Rename(d.at(from), d.at(to)) }

// Remove is of FS.
func (d *Dir) Remove(name string) error {
	if err := os.Remove(d.at(name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}

// Sync is of FS.
func (d *Dir) Sync() error {
	f, err := os.Open(d.path)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// Stamp is the file's inode and the time at which that was made. A copy has another of one or
// both, whoever made it; where the file system knows no such time, the inode alone.
func (d *Dir) Stamp(name string) (string, error) {
	var st unix.Statx_t
	if err := unix.Statx(unix.AT_FDCWD, d.at(name), 0, unix.STATX_INO|unix.STATX_BTIME, &st); err != nil {
		return "", fmt.Errorf("%s: %w", d.at(name), err)
	}
	if st.Mask&unix.STATX_BTIME == 0 {
		return fmt.Sprintf("%x", st.Ino), nil
	}
	return fmt.Sprintf("%x.%x.%x", st.Ino, st.Btime.Sec, st.Btime.Nsec), nil
}
