package balancer

import (
	"bytes"
	"testing"
	"time"
)

// retunedSettings is testSettings with the first class retired and one class more.
func retunedSettings() Settings {
	set := testSettings()
	set.Classes[0].Retired = true
	set.Classes = append(set.Classes, Class{LatencyObjective: 400 * ms, Deadline: time.Second, PriorityWeight: 1, Idempotency: NonIdempotent})
	return set
}

// Requests under way keep the rules of their class, new ones get the new classes, and what was learnt
// of the hosts stays.
func TestRetuneKeepsRequestsAndLearntState(t *testing.T) {
	g := newTestGateway(t, testSettings(), testHosts(3)...)
	for range 50 {
		id := g.request(0, time.Second)
		g.now += 10 * ms
		g.attemptEnded(id, 0, OK, 10*ms)
	}
	before := g.b.hosts[0].rtt
	old := g.request(0, time.Second)
	if err := g.b.Retune(g.now, retunedSettings(), []int{0, 1, 2, 0}); err != nil {
		t.Fatal(err)
	}
	if got := g.b.hosts[0].rtt; got != before || !g.b.classRTT[3].seen || g.b.classRTT[3] != g.b.classRTT[0] {
		t.Errorf("learnt before: rtt %v, now %v; latency of the class that goes on %v", before, got, g.b.classRTT[3])
	}
	if acts := g.b.TakeActions(nil); len(acts) > 0 {
		t.Errorf("it has decided: %v", acts)
	}
	g.attemptEnded(old, 0, Reset, 10*ms) // safe as it came: it may have another
	if len(g.acts) != 1 || g.acts[0].Kind != Send {
		t.Errorf("a safe request under way, after a reset: %v", g.acts)
	}
	strict := g.request(3, time.Second)
	g.attemptEnded(strict, 0, Reset, 10*ms)
	if len(g.acts) != 1 || g.acts[0].Kind != Fail {
		t.Errorf("a non-idempotent one of the new class, after a reset: %v", g.acts)
	}
	g.attemptEnded(old, 1, OK, 10*ms)
	if len(g.b.open) != 0 {
		t.Errorf("%d requests are left", len(g.b.open))
	}
}

// Fewer attempts apply to requests under way too.
func TestRetuneLowersMaxAttempts(t *testing.T) {
	g := newTestGateway(t, testSettings(), testHosts(3)...)
	id := g.request(0, time.Second)
	g.attemptEnded(id, 0, Failed, ms)
	set := testSettings()
	set.MaxAttempts = 2
	if err := g.b.Retune(g.now, set, []int{0, 1, 2}); err != nil {
		t.Fatal(err)
	}
	g.attemptEnded(id, 1, Failed, ms)
	if len(g.acts) != 1 || g.acts[0].Kind != Reject {
		t.Errorf("after the second of two: %v", g.acts)
	}
}

// Queued requests are served in the order of the new weights, in order of arrival within a queue, and
// duplicates stay behind first attempts: none is lost between the old queues and the new ones.
func TestRetuneKeepsQueuedRequests(t *testing.T) {
	g := newTestGateway(t, testSettings())
	var ids []RequestID
	for _, class := range []int{0, 1, 2, 0, 2} {
		ids = append(ids, g.request(class, time.Second))
	}
	g.next++
	g.b.Request(g.now, Request{ID: g.next, Class: 0, Remaining: time.Second, Duplicate: true})
	duplicate := g.next
	g.takeActions()
	set := retunedSettings()
	set.Classes[1].PriorityWeight = 9 // not what requests are under: rejected
	if err := g.b.Retune(g.now, set, []int{0, 1, 2, -1}); err == nil {
		t.Fatal("rules of a class with requests under way have changed")
	}
	if err := g.b.Retune(g.now, retunedSettings(), []int{0, 1, 2, -1}); err != nil {
		t.Fatal(err)
	}
	if g.b.queued != len(ids)+1 || len(g.b.open) != len(ids)+1 {
		t.Fatalf("%d wait, %d are known", g.b.queued, len(g.b.open))
	}
	g.updateEndpoints(ListChanges, testHosts(6)...)
	var order []RequestID
	for _, a := range g.acts {
		if a.Kind == Send {
			order = append(order, a.Request)
		}
	}
	want := []RequestID{ids[2], ids[4], ids[1], ids[0], ids[3], duplicate}
	if len(order) != len(want) {
		t.Fatalf("sent %v, want %v", order, want)
	}
	for i := range want {
		if order[i] != want[i] {
			t.Fatalf("sent %v, want %v", order, want)
		}
	}
}

func TestRetuneRejectsInvalidSettings(t *testing.T) {
	g := newTestGateway(t, testSettings(), testHosts(3)...)
	none := testSettings()
	for i := range none.Classes {
		none.Classes[i].Retired = true
	}
	late := testSettings()
	late.Classes[0].Deadline = 0
	for _, c := range []struct {
		name string
		set  Settings
		from []int
	}{
		{"too few origins", testSettings(), []int{0, 1}}, {"an origin that is none", testSettings(), []int{0, 1, 3}},
		{"all retired", none, []int{0, 1, 2}}, {"no deadline", late, []int{0, 1, 2}},
	} {
		before := g.b.Checkpoint(nil)
		if err := g.b.Retune(g.now, c.set, c.from); err == nil {
			t.Errorf("%s: taken", c.name)
		}
		if !bytes.Equal(before, g.b.Checkpoint(nil)) {
			t.Errorf("%s: the state has changed", c.name)
		}
	}
}

// Retuning to the same settings leaves the state the same byte for byte, except that all hosts are due
// for a recheck.
func TestRetuneToSameSettingsChangesNothing(t *testing.T) {
	g := newTestGateway(t, testSettings(), testHosts(5)...)
	for i := range 200 {
		id := g.request(i%3, time.Second)
		g.now += 3 * ms
		if i%7 == 0 {
			g.attemptEnded(id, 0, Failed, 5*ms)
		} else if i%2 == 0 {
			g.attemptEnded(id, 0, OK, 5*ms)
		}
	}
	g.b.subsetCurrent, g.b.now = false, g.now
	for _, h := range g.b.hosts {
		g.b.recheck(h)
	}
	before := g.b.Checkpoint(nil)
	if err := g.b.Retune(g.now, testSettings(), []int{0, 1, 2}); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(before, g.b.Checkpoint(nil)) {
		t.Error("the state has changed")
	}
	back, err := Restore(testSettings(), g.b.Checkpoint(nil))
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(back.Checkpoint(nil), g.b.Checkpoint(nil)) {
		t.Error("it is restored as another")
	}
}
