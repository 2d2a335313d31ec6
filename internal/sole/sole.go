// Package sole tells a process whether it is the only one of its kind in a folder, as where
// one takes over from another and the two share what a machine has.
package sole

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
	name = "dunemoor.lock"
	// lookEvery is how often it is looked whether the other has gone: what is shared is given
	// free within it.
	lookEvery = 100 * time.Millisecond
)

// Claim is the word that no other process runs. The kernel takes it back however its holder
// ends, so that nobody waits for one that was killed.
type Claim struct{ file *os.File }

// Try claims to be the only process in the folder; ok is false where another is.
func Try(dir string) (c *Claim, ok bool, err error) {
	f, err := os.OpenFile(filepath.Join(dir, name), os.O_CREATE|os.O_RDWR|syscall.O_CLOEXEC, 0o600)
	if err != nil {
		return nil, false, fmt.Errorf("sole: %w", err)
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
		return nil, false, fmt.Errorf("sole: %w", err)
	}
	return &Claim{f}, true, nil
}

// Release gives the claim up.
func (c *Claim) Release() { c.file.Close() }

// Wait waits until the process is the only one, or ctx ends.
func Wait(ctx context.Context, dir string) (*Claim, error) {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for {
		if c, ok, err := Try(dir); ok || err != nil {
			return c, err
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-tick.C:
		}
	}
}
