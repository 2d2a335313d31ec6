package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// A key file that is accessible by others than its owner, or whose key is too short or too long, is rejected. A key of the
// minimum length is read.
func TestReadKeyChecksModeAndLength(t *testing.T) {
	path := filepath.Join(t.TempDir(), "key")
	for _, c := range []struct {
		text string
		mode os.FileMode
		want string
	}{
		{strings.Repeat("k", minKeyBytes) + "\n", 0o600, ""},
		{strings.Repeat("k", minKeyBytes), 0o640, "accessible by others than its owner"},
		{strings.Repeat("k", minKeyBytes-1) + "\n", 0o600, "31 bytes, the minimum is 32"},
		{strings.Repeat("k", maxKeyBytes+1), 0o600, "the maximum is 4096"},
	} {
		os.Remove(path)
		if err := os.WriteFile(path, []byte(c.text), c.mode); err != nil {
			t.Fatal(err)
		}
		if key, err := ReadKey(path); (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) || err == nil && len(key) != minKeyBytes {
			t.Errorf("file of %d bytes with mode %o: key of %d bytes, error %v, want %q",
				len(c.text), c.mode, len(key), err, c.want)
		}
	}
}
