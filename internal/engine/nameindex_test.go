package engine

import (
	"fmt"
	"testing"
)

// A name that was dropped gets a new number when it is listed again, never a number that another name has had. The
// test guards against a retry with an idempotency key that leaves its deduplication scope: while attempts at hosts in
// the old zone are in flight, another zone with the same number would be treated as the same scope.
func TestNameIndexNeverReusesNumbers(t *testing.T) {
	index := newNameIndex(map[string]int{"a": 0})
	seen := map[int]string{0: "a"}
	for i := range 1000 {
		name := fmt.Sprint("zone-", i)
		number := index.number(name)
		if other, used := seen[number]; used {
			t.Fatalf("number of %s: got %d, want a number other than that of %s", name, number, other)
		}
		seen[number] = name
		if got := index.number(name); got != number {
			t.Fatalf("number of %s, second call: got %d, want %d", name, got, number)
		}
		if got := index.number("a"); got != 0 {
			t.Fatalf("number of a: got %d, want 0", got)
		}
		index.prune(nil, nil)
	}
	if got := len(index.other); got > maxUnusedNames {
		t.Errorf("names kept: got %d, want %d at most", got, maxUnusedNames)
	}
}
