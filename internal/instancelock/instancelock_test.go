package instancelock

import (
	"context"
	"os"
	"os/exec"
	"testing"
	"time"
)

// TestMain lets the test binary be the other process: it takes the lock of a directory, says so, and stays.
func TestMain(m *testing.M) {
	if dir := os.Getenv("SOLE_TEST_DIR"); dir != "" {
		if _, ok, err := TryLock(dir); !ok || err != nil {
			os.Exit(1)
		}
		os.Stdout.WriteString("claimed")
		time.Sleep(time.Minute) // it is killed
		return
	}
	os.Exit(m.Run())
}

// A process that waits gets the lock when the other is killed: it guards against a gateway that keeps to half of a
// machine for good.
func TestClaimOutlivesNoProcess(t *testing.T) {
	dir := t.TempDir()
	other := exec.Command(os.Args[0])
	other.Env = append(os.Environ(), "SOLE_TEST_DIR="+dir)
	out, err := other.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := other.Start(); err != nil {
		t.Fatal(err)
	}
	defer other.Wait()
	defer other.Process.Kill()
	if _, err := out.Read(make([]byte, 16)); err != nil {
		t.Fatal(err)
	}
	if _, ok, err := TryLock(dir); ok || err != nil {
		t.Fatalf("two processes hold the lock: %t, %v", ok, err)
	}
	got := make(chan error, 1)
	go func() {
		c, err := WaitLock(context.Background(), dir)
		if err == nil {
			c.Release()
		}
		got <- err
	}()
	other.Process.Kill()
	if err := <-got; err != nil {
		t.Fatal(err)
	}
	c, ok, err := TryLock(dir)
	if !ok || err != nil {
		t.Fatalf("a lock that was released is not free: %t, %v", ok, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := WaitLock(ctx, dir); err != context.Canceled {
		t.Errorf("a canceled wait returns %v", err)
	}
	c.Release()
	if _, _, err := TryLock(dir + "/none"); err == nil {
		t.Error("a directory that does not exist can be locked")
	}
}
