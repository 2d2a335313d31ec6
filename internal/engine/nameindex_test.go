package engine

import (
	"fmt"
	"testing"
)

// A name that was forgotten gets a new number, never that of another: attempts at hosts in the old zone may still be in
// flight, and a request with an idempotency key must not leave its scope.
func TestNameIndexNeverReusesNumbers(t *testing.T) {
	index := newNameIndex(map[string]int{"a": 0})
	seen := map[int]string{0: "a"}
	for i := range 1000 {
		name := fmt.Sprint("zone-", i)
		number := index.number(name)
		if other, used := seen[number]; used {
			t.Fatalf("number of %s: got %d, want another than that of %s", name, number, other)
		}
		seen[number] = name
		if got := index.number(name); got != number {
			t.Fatalf("number of %s, second call: got %d, want %d", name, got, number)
		}
		if got := index.number("a"); got != 0 {
			t.Fatalf("number of a: got %d, want 0", got)
		}
		index.forget(nil, nil)
	}
	if got := len(index.other); got > maxSpareNames {
		t.Errorf("names kept: got %d, want %d at most", got, maxSpareNames)
	}
}
