package frontend

import (
	"fmt"
	"testing"
	"time"
)

// What is remembered of ids shrinks again: it guards against memory that grows with the day.
func TestIDsAreForgotten(t *testing.T) {
	ids, now := &ids{}, time.Now()
	const id = "an id"
	if !ids.start(id, now) || ids.start(id, now) {
		t.Error("an id is opened twice, or not at all")
	}
	ids.end(id)
	if ids.start(id, now) {
		t.Error("an id is opened again just after its end")
	}
	for i := range 10000 {
		now = now.Add(time.Millisecond)
		if id := fmt.Sprint(i); !ids.start(id, now) {
			t.Fatal(id)
		} else {
			ids.end(id)
		}
	}
	if open, kept := len(ids.open), len(ids.ended)+len(ids.older); open != 0 || kept > 2*int(idMemory/time.Millisecond)+2 {
		t.Errorf("%d ids open and %d remembered", open, kept)
	}
	if !ids.start(id, now) {
		t.Error("an id is remembered for good")
	}
}
