package frontend

import (
	"fmt"
	"testing"
	"time"
)

// An id is rejected while its request is open and for idRetention afterwards, and is then dropped. The test guards
// against a table of ids that grows with the number of requests.
func TestRequestIDsAreDropped(t *testing.T) {
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
	retained := len(ids.recent) + len(ids.older)
	limit := 2*int(idRetention/time.Millisecond) + 2
	if open := ids.numOpen(); open != 0 || retained > limit {
		t.Errorf("got %d open and %d retained ids, want 0 and at most %d", open, retained, limit)
	}
	if !ids.start(id, now) {
		t.Error("an id whose retention has passed: got in use, want free")
	}
}
