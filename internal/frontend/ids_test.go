package frontend

import (
	"fmt"
	"testing"
	"time"
)

// An id can't be used again while its request is open and a moment after, and is forgotten later: its memory must not
// grow with the number of requests.
func TestRequestIDsAreForgotten(t *testing.T) {
	ids := &requestIDs{}
	now := time.Now()
	const id = "an id"
	if !ids.start(id, now) {
		t.Error("a new id: got in use, want free")
	}
	if ids.start(id, now) {
		t.Error("an open id: got free, want in use")
	}
	ids.end(id)
	if ids.start(id, now) {
		t.Error("an id that has just ended: got free, want in use")
	}
	for i := range 10000 {
		now = now.Add(time.Millisecond)
		other := fmt.Sprint(i)
		if !ids.start(other, now) {
			t.Fatalf("id %s: got in use, want free", other)
		}
		ids.end(other)
	}
	remembered := len(ids.recent) + len(ids.older)
	limit := 2*int(idMemory/time.Millisecond) + 2
	if open := ids.numOpen(); open != 0 || remembered > limit {
		t.Errorf("%d ids open and %d remembered, want 0 and at most %d", open, remembered, limit)
	}
	if !ids.start(id, now) {
		t.Error("an id that has ended long ago: got in use, want free")
	}
}
