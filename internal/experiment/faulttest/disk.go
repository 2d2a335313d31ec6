package faulttest

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
)

// logFiles returns the files of the gateway's write-ahead log.
func (g *Gateway) logFiles() ([]string, error) {
	files, err := filepath.Glob(filepath.Join(g.dir, "log-*"))
	if err != nil {
		return nil, err
	}
	if len(files) == 0 {
		return nil, fmt.Errorf("no log in %s", g.dir)
	}
	return files, nil
}

// SetDiskFull simulates a full disk, on which the gateway's write-ahead log can't grow, or ends that.
func (g *Gateway) SetDiskFull(full bool) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.process == nil {
		return nil
	}
	if !full {
		return g.process.LimitFileSize(-1)
	}
	files, err := g.logFiles()
	if err != nil {
		return err
	}
	info, err := os.Stat(files[0])
	if err != nil {
		return err
	}
	g.fleet.History.addFault("full", g.Name)
	return g.process.LimitFileSize(info.Size())
}

// hungSyncFile returns the path of a file. While it exists, fsync hangs in a binary with the build tag failpoints.
func (g *Gateway) hungSyncFile() string { return g.file + ".stuck" }

// SetSyncHung makes fsync hang, or ends that. The binary must be built with the tag failpoints.
func (g *Gateway) SetSyncHung(hung bool) error {
	if !hung {
		return os.Remove(g.hungSyncFile())
	}
	g.fleet.History.addFault("stuck", g.Name)
	return os.WriteFile(g.hungSyncFile(), nil, 0o600)
}

// WipeDisk empties the disk of a gateway that is down.
func (g *Gateway) WipeDisk() error {
	g.fleet.History.addFault("wipe", g.Name)
	return os.RemoveAll(g.dir)
}

// diskCopy returns the directory to which CopyDisk copies the disk.
func (g *Gateway) diskCopy() string { return g.dir + ".copy" }

// CopyDisk copies the current files of the disk, for RestoreDisk.
func (g *Gateway) CopyDisk() error { return copyLiveDir(g.diskCopy(), g.dir) }

// maxCopyAttempts is the maximum number of attempts to copy a directory whose files are removed meanwhile.
const maxCopyAttempts = 100

// copyLiveDir copies the directory of a running gateway. The gateway replaces files by renaming new ones; if a file is
// removed by that while it is copied, the whole directory is copied again.
func copyLiveDir(to, from string) (err error) {
	for range maxCopyAttempts {
		if err := os.RemoveAll(to); err != nil {
			return err
		}
		if err = os.CopyFS(to, os.DirFS(from)); !errors.Is(err, fs.ErrNotExist) {
			return err
		}
	}
	return err
}

// RestoreDisk replaces the disk of a gateway that is down by the copy of CopyDisk.
func (g *Gateway) RestoreDisk() error {
	g.fleet.History.addFault("restore", g.Name)
	if err := os.RemoveAll(g.dir); err != nil {
		return err
	}
	return os.CopyFS(g.dir, os.DirFS(g.diskCopy()))
}

// overwriteDisk overwrites the files of the disk with those of the copy. As the inodes stay the same, the gateway can't
// detect the restore from the disk.
func (g *Gateway) overwriteDisk() error {
	files, err := filepath.Glob(filepath.Join(g.diskCopy(), "*"))
	if err != nil {
		return err
	}
	if len(files) == 0 {
		return errors.New("no copy of the disk of " + g.Name)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(g.dir, filepath.Base(file)), text, 0o600); err != nil {
			return err
		}
	}
	return nil
}
