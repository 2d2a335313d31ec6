package sole

import (
	"context"
	"os"
	"os/exec"
	"testing"
	"time"
)

// TestMain lets the test binary be the other process: it claims a folder, says so, and stays.
func TestMain(m *testing.M) {
	if dir := os.Getenv("SOLE_TEST_DIR"); dir != "" {
		if _, ok, err := Try(dir); !ok || err != nil {
			os.Exit(1)
		}
		os.Stdout.WriteString("claimed")
		time.Sleep(time.Minute) // it is killed
		return
	}
	os.Exit(m.Run())
}

// Whoever waits comes to its claim when the other is killed: it guards against a gateway that
// makes do with half of a machine for good.
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
	if _, ok, err := Try(dir); ok || err != nil {
		t.Fatalf("two processes are the only one: %t, %v", ok, err)
	}
	got := make(chan error, 1)
	go func() {
		c, err := Wait(context.Background(), dir)
		if err == nil {
			c.Release()
		}
		got <- err
	}()
	other.Process.Kill()
	if err := <-got; err != nil {
		t.Fatal(err)
	}
	c, ok, err := Try(dir)
	if !ok || err != nil {
		t.Fatalf("a claim that was given up is not free: %t, %v", ok, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := Wait(ctx, dir); err != context.Canceled {
		t.Errorf("who leaves off waiting gets %v", err)
	}
	c.Release()
	if _, _, err := Try(dir + "/none"); err == nil {
		t.Error("a folder that is not there can be claimed")
	}
}
