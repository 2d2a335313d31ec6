package gateway

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// Spans of time in the path of a request are measured by the monotonic clock. Guards against deadlines, drains and overload
// control that follow a step of the wall clock.
func TestRequestPathDoesNotReadTheWallClock(t *testing.T) {
	wallClock := regexp.MustCompile(`time\.Now\(\)\.Unix|time\.Unix\(0`)
	for _, root := range []string{".", "../frontend", "../upstream", "../body", "../overload", "../ratelimit", "../drain"} {
		err := filepath.WalkDir(root, func(path string, _ os.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			text, err := os.ReadFile(path)
			if match := wallClock.Find(text); match != nil {
				t.Errorf("%s: %s reads the wall clock, want the monotonic clock", path, match)
			}
			return err
		})
		if err != nil {
			t.Error(err)
		}
	}
}
