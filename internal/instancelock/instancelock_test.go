package instancelock

import (
	"context"
	"os"
	"os/exec"
	"testing"
	"time"
)

const (
	// lockVariable is the environment variable that makes the test binary acquire the lock of the directory that it names,
	// write lockedText, and hold the lock until it is killed.
	lockVariable = "DUNEMOOR_TEST_LOCK_DIR"
	lockedText   = "locked"
)

// TestMain runs the tests, or acts as the process that holds the lock if lockVariable is set.
func TestMain(m *testing.M) {
	if dir := os.Getenv(lockVariable); dir != "" {
		if _, ok, err := TryLock(dir); !ok || err != nil {
			os.Exit(1)
		}
		os.Stdout.WriteString(lockedText)
		time.Sleep(time.Minute) // the test kills the process meanwhile
		return
	}
	os.Exit(m.Run())
}

// startHolder starts a process that holds the lock of a directory. The process is killed by kill, or at the end of the
// test.
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

// A waiting process acquires the lock when its holder is killed. Otherwise a gateway would be limited to half of the
// machine forever.
func TestWaitLockAcquiresLockOfKilledProcess(t *testing.T) {
	dir := t.TempDir()
	kill := startHolder(t, dir)
	if _, ok, err := TryLock(dir); ok || err != nil {
		t.Fatalf("lock held by another process: acquired %t, error %v, want neither", ok, err)
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

// mustLock acquires the lock of a directory, which must be free, and holds it until the end of the test.
func mustLock(t *testing.T, dir string) {
	t.Helper()
	lock, ok, err := TryLock(dir)
	if !ok || err != nil {
		t.Fatalf("free lock: acquired %t, error %v, want it acquired without error", ok, err)
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

func TestTryLockReportsMissingDirectory(t *testing.T) {
	if _, _, err := TryLock(t.TempDir() + "/none"); err == nil {
		t.Error("missing directory: got no error, want one")
	}
}
