package faulttest

import (
	"os"
	"path/filepath"
	"testing"
)

// copyLiveDir succeeds while another goroutine replaces a file by renaming a new one, as a gateway does with its
// overrides.
func TestCopyLiveDir(t *testing.T) {
	from := t.TempDir()
	to := filepath.Join(t.TempDir(), "copy")
	file := filepath.Join(from, "words")
	replace := func() error {
		if err := os.WriteFile(file+".new", []byte("text"), 0o600); err != nil {
			return err
		}
		return os.Rename(file+".new", file)
	}
	if err := replace(); err != nil {
		t.Fatal(err)
	}
	stop := make(chan struct{})
	done := make(chan error, 1)
	go func() {
		for {
			select {
			case <-stop:
				done <- nil
				return
			default:
			}
			if err := replace(); err != nil {
				done <- err
				return
			}
		}
	}()
	defer func() {
		close(stop)
		if err := <-done; err != nil {
			t.Error(err)
		}
	}()
	for range 200 {
		if err := copyLiveDir(to, from); err != nil {
			t.Fatal(err)
		}
		if text, err := os.ReadFile(filepath.Join(to, "words")); err != nil || string(text) != "text" {
			t.Fatalf("got %q, %v; want the contents of the original file", text, err)
		}
	}
}
