// Package instancelock tells a process whether it is the only one of its kind in a directory, as where one takes over
// from another and the two share what a machine has.
package instancelock

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

const (
	fileName = "dunemoor.lock"
	// pollInterval is how often a lock that another process holds is tried again: what the two share is free within it.
	pollInterval = 100 * time.Millisecond
)

// Lock is held by the only process. The kernel releases it however its holder ends, so that nobody waits for a process
// that was killed.
type Lock struct{ file *os.File }

// TryLock tries to become the only process in the directory; ok is false where another holds the lock.
func TryLock(dir string) (l *Lock, ok bool, err error) {
	f, err := os.OpenFile(filepath.Join(dir, fileName), os.O_CREATE|os.O_RDWR|syscall.O_CLOEXEC, 0o600)
	if err != nil {
		return nil, false, fmt.Errorf("instance lock: %w", err)
	}
	for {
		err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if !errors.Is(err, syscall.EINTR) {
			break
		}
	}
	if err != nil {
		f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, false, nil
		}
		return nil, false, fmt.Errorf("instance lock: %w", err)
	}
	return &Lock{f}, true, nil
}

// Release releases the lock.
func (l *Lock) Release() { l.file.Close() }

// WaitLock waits until the process is the only one, or ctx ends.
func WaitLock(ctx context.Context, dir string) (*Lock, error) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		if l, ok, err := TryLock(dir); ok || err != nil {
			return l, err
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-tick.C:
		}
	}
}
