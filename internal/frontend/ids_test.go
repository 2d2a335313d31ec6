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

// The table of ids is bounded however many requests end within the retention, and keeps the latest.
func TestRecentRequestIDsAreBounded(t *testing.T) {
	ids := &requestIDs{}
	now := time.Now()
	for i := range 5 * maxRecentIDs {
		id := fmt.Sprint(i)
		ids.start(id, now)
		ids.end(id)
		if retained := len(ids.recent) + len(ids.older); retained > 2*maxRecentIDs {
			t.Fatalf("got %d retained ids, want at most %d", retained, 2*maxRecentIDs)
		}
	}
	if ids.start(fmt.Sprint(4*maxRecentIDs+1), now) {
		t.Errorf("an id that has ended less than %d others ago: got free, want in use", maxRecentIDs)
	}
}

// The id of a request whose client has left is rejected as long as that client may send it again.
func TestRequestIDOfDepartedClientIsKept(t *testing.T) {
	const longestWait = 3 * time.Second
	ids := &requestIDs{}
	now := time.Now()
	ids.start("another", now)
	now = now.Add(1900 * time.Millisecond) // the table is rotated soon
	ids.start("first", now)
	ids.end("first")
	end := now
	for now.Sub(end) < longestWait {
		now = now.Add(100 * time.Millisecond)
		if ids.start("first", now) {
			t.Fatalf("%v after its end: got free, want in use", now.Sub(end))
		}
	}
}
