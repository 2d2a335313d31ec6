// Package instancelock provides a lock file that shows whether another instance of the process is running. During a
// takeover two instances run at the same time and have to share the resources of the machine.
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
	// pollInterval is the interval at which WaitLock retries to lock, and thus the maximum delay until the resources of
	// the other process are used.
	pollInterval = 100 * time.Millisecond
)

// Lock is an exclusive lock on a file in a directory. The kernel releases it when its process ends, even if the process is
// killed.
type Lock struct{ file *os.File }

// TryLock tries to acquire the lock of a directory. ok is false if another process holds it.
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

// WaitLock waits until it has acquired the lock of a directory, or ctx is done.
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
