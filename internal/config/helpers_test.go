package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// readExample returns the text of an example configuration.
func readExample(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// replaceFirst replaces the first occurrence of old in a text. It fails the test if that changes nothing.
func replaceFirst(t *testing.T, text, old, new string) string {
	t.Helper()
	replaced := strings.Replace(text, old, new, 1)
	if replaced == text {
		t.Fatalf("text does not contain %q, or the replacement %q is the same", old, new)
	}
	return replaced
}

// writeTempFile writes a text to a file in a new temporary directory and returns its path.
func writeTempFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// checkRejected checks that the text of an appliance file is rejected, that one of the errors contains want, and that each
// error is one line that begins with the file. change describes in failure messages how the text differs from a valid one.
func checkRejected(t *testing.T, change, text, want string) {
	t.Helper()
	_, errs := ParseAppliance("f.toml", text)
	found := false
	for _, err := range errs {
		message := err.Error()
		if !strings.HasPrefix(message, "f.toml:") || strings.Contains(message, "\n") {
			t.Errorf("%s: error %q, want one line that begins with f.toml:", change, message)
		}
		found = found || strings.Contains(message, want)
	}
	if !found {
		t.Errorf("%s: errors %v, want %q", change, errs, want)
	}
}
