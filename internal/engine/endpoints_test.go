package engine

import (
	"fmt"
	"strings"
	"testing"

	"dunemoor/balancer"
)

// An ID maps to the same number at every gateway and after a restart, and different IDs map to different numbers.
func TestHostIDIsStableAndUnique(t *testing.T) {
	seen := map[balancer.HostID]string{}
	for i := range 1000 {
		id := fmt.Sprintf("s-%08x", i)
		got, again := hostID(id), hostID(strings.Clone(id))
		if got != again {
			t.Fatalf("hostID(%q): got %x, then %x, want the same", id, got, again)
		}
		if seen[got] != "" {
			t.Fatalf("hostID(%q): got %x, want a number other than that of %q", id, got, seen[got])
		}
		seen[got] = id
	}
	// The published FNV-1a hash of "a". Builds must not differ in the mapping.
	const want = 0xaf63dc4c8601ec8c
	if got := hostID("a"); got != want {
		t.Errorf("hostID(%q): got %x, want %x", "a", got, uint64(want))
	}
}
