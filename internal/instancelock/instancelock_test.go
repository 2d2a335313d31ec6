package instancelock

import (
	"context"
	"os"
	"os/exec"
	"testing"
	"time"
)

// lockVariable has the test binary take the lock of a directory, write lockedText, and hold the lock until it is killed.
const (
	lockVariable = "DUNEMOOR_TEST_LOCK_DIR"
	lockedText   = "locked"
)

// TestMain lets the test binary be the other process.
func TestMain(m *testing.M) {
	if dir := os.Getenv(lockVariable); dir != "" {
		if _, ok, err := TryLock(dir); !ok || err != nil {
			os.Exit(1)
		}
		os.Stdout.WriteString(lockedText)
		time.Sleep(time.Minute) // it is killed
		return
	}
	os.Exit(m.Run())
}

// startHolder starts a process that holds the lock of a directory. It is killed by kill, or at the end of the test.
func startHolder(t *testing.T, dir string) (kill func()) {
	t.Helper()
	holder := exec.Command(os.Args[0])
	holder.Env = append(os.Environ(), lockVariable+"="+dir)
	out, err := holder.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := holder.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		holder.Process.Kill()
		holder.Wait()
	})
	if _, err := out.Read(make([]byte, len(lockedText))); err != nil {
		t.Fatal(err)
	}
	return func() { holder.Process.Kill() }
}

// A process that waits gets the lock when its holder is killed: it guards against a gateway that keeps to half of a
// machine for good.
func TestWaitLockGetsTheLockOfAKilledProcess(t *testing.T) {
	dir := t.TempDir()
	kill := startHolder(t, dir)
	if _, ok, err := TryLock(dir); ok || err != nil {
		t.Fatalf("while another process holds the lock: got it %t, error %v, want neither", ok, err)
	}
	got := make(chan error, 1)
	go func() {
		lock, err := WaitLock(context.Background(), dir)
		if err == nil {
			lock.Release()
		}
		got <- err
	}()
	kill()
	if err := <-got; err != nil {
		t.Fatal(err)
	}
	mustLock(t, dir)
}

// mustLock takes the lock of a directory, which must be free, until the end of the test.
func mustLock(t *testing.T, dir string) {
	t.Helper()
	lock, ok, err := TryLock(dir)
	if !ok || err != nil {
		t.Fatalf("free lock: got it %t, error %v, want it and no error", ok, err)
	}
	t.Cleanup(lock.Release)
}

func TestWaitLockEndsWithItsContext(t *testing.T) {
	dir := t.TempDir()
	mustLock(t, dir)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := WaitLock(ctx, dir); err != context.Canceled {
		t.Errorf("canceled wait: got error %v, want %v", err, context.Canceled)
	}
}

func TestTryLockReportsAMissingDirectory(t *testing.T) {
	if _, _, err := TryLock(t.TempDir() + "/none"); err == nil {
		t.Error("missing directory: got no error")
	}
}
