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

// SetDiskFull has the gateway's write-ahead log not grow any more, or ends that.
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

// hungSyncFile is the file during whose existence fsync hangs, in a build with the tag failpoints.
func (g *Gateway) hungSyncFile() string { return g.file + ".stuck" }

// SetSyncHung has fsync hang, or ends that, in a build with the tag failpoints.
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

// diskCopy is where CopyDisk copies the disk to.
func (g *Gateway) diskCopy() string { return g.dir + ".copy" }

// CopyDisk copies the disk as it is.
func (g *Gateway) CopyDisk() error { return copyLiveDir(g.diskCopy(), g.dir) }

// maxCopyAttempts bounds the copies of a directory whose files vanish meanwhile.
const maxCopyAttempts = 100

// copyLiveDir copies the directory of a running gateway, which replaces files by renaming new ones: where one vanishes
// while it is copied, the directory is copied again.
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

// RestoreDisk replaces the disk of a gateway that is down by its copy.
func (g *Gateway) RestoreDisk() error {
	g.fleet.History.addFault("restore", g.Name)
	if err := os.RemoveAll(g.dir); err != nil {
		return err
	}
	return os.CopyFS(g.dir, os.DirFS(g.diskCopy()))
}

// overwriteDisk writes the files of the copy over those of the disk, so that the disk has the same inodes and no sign of
// a restore.
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
