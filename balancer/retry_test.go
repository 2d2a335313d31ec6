package balancer

import (
	"reflect"
	"testing"
	"time"
)

func TestRetryDecision(t *testing.T) {
	retry := []ActionKind{Send}
	tests := []struct {
		class  int
		result Result
		want   []ActionKind
	}{
		{0, OK, nil},
		{0, Failed, retry}, {0, TimedOut, retry}, {0, Reset, retry}, {0, Full, retry}, {0, ConnectFailed, retry},
		{1, Failed, retry}, {1, ConnectFailed, retry},
		{2, Failed, []ActionKind{Fail}}, {2, TimedOut, []ActionKind{Fail}}, {2, Reset, []ActionKind{Fail}},
		{2, Canceled, []ActionKind{Fail}},
		{2, Full, retry}, {2, ConnectFailed, retry}, {2, NotSent, retry},
	}
	for _, tt := range tests {
		g := newTestGateway(t, testSettings(), testHosts(2)...)
		id := g.request(tt.class, time.Second)
		g.advance(20 * ms)
		g.attemptEnded(id, 0, tt.result, 20*ms)
		var got []ActionKind
		for _, a := range g.actions {
			got = append(got, a.Kind)
		}
		if !reflect.DeepEqual(got, tt.want) {
			t.Errorf("class %d after result %d: actions %v, want %v", tt.class, tt.result, got, tt.want)
		}
	}
}

func TestRetryStopsAtMaxAttempts(t *testing.T) {
	settings := testSettings()
	settings.MaxAttempts = 3
	g := newTestGateway(t, settings, testHosts(8)...)
	id := g.request(2, time.Second)
	for n := range 3 {
		g.onlyAction(Send)
		g.attemptEnded(id, n, Full, ms)
	}
	g.onlyAction(Reject)
}

// A retry goes to a host that the request has not been sent to, while one is ready.
func TestRetryPrefersUntriedHost(t *testing.T) {
	for seed := range uint64(200) {
		b, err := New(testSettings(), seed)
		if err != nil {
			t.Fatal(err)
		}
		g := &testGateway{T: t, b: b, now: time.Hour}
		b.Start(g.now)
		g.updateEndpoints(ListSaved, testHosts(3)...)
		id := g.request(0, time.Second)
		tried := map[HostID]bool{}
		for n := range 3 {
			if len(g.actions) != 1 || g.actions[0].Kind != Send {
				t.Fatalf("seed %d: attempt %d: actions %v, want one Send", seed, n, g.actions)
			}
			if tried[g.actions[0].Host] {
				t.Fatalf("seed %d: attempt %d goes to host %d again, want an untried one", seed, n, g.actions[0].Host)
			}
			tried[g.actions[0].Host] = true
			g.attemptEnded(id, n, Failed, ms)
		}
		if len(g.actions) != 1 || g.actions[0].Kind != Send {
			t.Fatalf("seed %d: with all hosts tried: actions %v, want one Send", seed, g.actions)
		}
	}
}

func TestRetryWithKeyStaysInDedupScope(t *testing.T) {
	for scope, same := range map[DedupScope]func(a, b Host) bool{
		ScopeAll:  func(a, b Host) bool { return true },
		ScopeZone: func(a, b Host) bool { return a.Zone == b.Zone },
		ScopeCell: func(a, b Host) bool { return a.Cell == b.Cell },
	} {
		settings := testSettings()
		settings.Classes[1].DedupScope = scope
		list := []Host{{ID: 1, Zone: 0, Cell: 0}, {ID: 2, Zone: 0, Cell: 1}, {ID: 3, Zone: 1, Cell: 2},
			{ID: 4, Zone: 0, Cell: 0}, {ID: 5, Zone: 0, Cell: 1}, {ID: 6, Zone: 1, Cell: 2}}
		other := 0
		for range 30 {
			g := newTestGateway(t, settings, list...)
			g.b.random.state += uint64(other)*977 + 1
			id := g.request(1, time.Second)
			first := list[g.onlyAction(Send).Host-1]
			g.attemptEnded(id, 0, Failed, ms)
			second := list[g.onlyAction(Send).Host-1]
			if !same(first, second) {
				t.Fatalf("scope %d: sent to %+v, then to %+v, want a host of the same scope", scope, first, second)
			}
			other++
		}
	}
}

// A retry with a key that may have run stays in the dedup scope and uses all hosts of it, however many
// they are.
func TestRetryWithKeyStaysInLargeDedupScope(t *testing.T) {
	for _, scope := range []DedupScope{ScopeCell, ScopeZone} {
		settings := testSettings()
		settings.Classes[1].DedupScope = scope
		g, _ := newBenchGateway(t, 2000, settings)
		seen := map[HostID]bool{}
		for range 200 {
			g.next++
			g.now += ms
			g.b.Request(g.now, Request{ID: g.next, Class: 1, Remaining: time.Second})
			first := onlySend(t, g.b)
			g.b.AttemptEnded(g.now, Outcome{Request: g.next, Result: Reset, Elapsed: ms})
			again := onlySend(t, g.b)
			x, y := g.b.byID[first], g.b.byID[again]
			if scope == ScopeCell && x.Cell != y.Cell || scope == ScopeZone && x.Zone != y.Zone {
				t.Fatalf("sent to host %d, then to %d, want a host of the same scope", first, again)
			}
			seen[again] = true
			g.b.AttemptEnded(g.now, Outcome{Request: g.next, Attempt: 1, Elapsed: ms, Closed: true})
			g.b.TakeActions(nil)
		}
		if len(seen) < 100 {
			t.Errorf("200 retries went to %d hosts, want 100 or more", len(seen))
		}
	}
}

// onlySend returns the host of the first Send among the pending actions.
func onlySend(t *testing.T, b *Balancer) HostID {
	t.Helper()
	for _, a := range b.TakeActions(nil) {
		if a.Kind == Send {
			return a.Host
		}
	}
	t.Fatal("no attempt is sent, want one")
	return 0
}

func TestRetryWithKeyStopsAfterDedupWindow(t *testing.T) {
	g := newTestGateway(t, testSettings(), testHosts(2)...)
	id := g.request(1, time.Second)
	g.advance(599 * ms)
	g.attemptEnded(id, 0, Failed, 599*ms)
	g.onlyAction(Fail)
}

// The Send of a retry carries the time by which it has to be out, so that the time that a dial takes
// counts too. The window starts with the first attempt that may have run; every other attempt may go
// out at any time.
func TestRetryCarriesEndOfDedupWindow(t *testing.T) {
	for class := range testSettings().Classes {
		g := newTestGateway(t, testSettings(), testHosts(4)...)
		id, began := g.request(class, time.Second), g.now
		if at := g.onlyAction(Send).At; at != 0 {
			t.Errorf("class %d: the first attempt has to be out by %v, want no bound", class, at-began)
		}
		g.advance(100 * ms)
		g.attemptEnded(id, 0, ConnectFailed, ms)
		if at := g.onlyAction(Send).At; at != 0 {
			t.Errorf("class %d: the second attempt has to be out by %v, want no bound, as the first never ran",
				class, at-began)
		}
		second := g.now
		g.advance(100 * ms)
		g.attemptEnded(id, 1, Reset, ms)
		if class == 2 {
			continue // it may not be retried
		}
		want := Time(0)
		if class == 1 {
			want = second + 600*ms - dedupMarginSteps*g.b.settings.Step
		}
		if at := g.onlyAction(Send).At; at != want {
			t.Errorf("class %d: the retry has to be out by %v, want %v", class, at-began, want-began)
		}
	}
}

func TestRetryWithKeyFailsWithoutHostInDedupScope(t *testing.T) {
	g := newTestGateway(t, testSettings(), testHosts(4)...)
	id := g.request(1, time.Second)
	cell := int(g.onlyAction(Send).Host-1) / 2
	var left []Host
	for _, h := range testHosts(4) {
		if h.Cell != cell {
			left = append(left, h)
		}
	}
	g.updateEndpoints(ListFull, left...)
	g.attemptEnded(id, 0, Reset, ms)
	actions := append(append([]Action(nil), g.actions...), g.advance(time.Second)...)
	if len(actions) != 1 || actions[0].Kind != Fail {
		t.Errorf("actions %v, want one Fail", actions)
	}
}

func TestStreamedRequestIsNotRetried(t *testing.T) {
	g := newTestGateway(t, testSettings(), testHosts(2)...)
	id := g.request(0, 500*ms)
	g.b.AttemptStarted(g.now, id, 0)
	if done := g.advance(2 * time.Second); len(done) != 0 {
		t.Errorf("actions %v past the deadline of a stream that has begun, want none", done)
	}
	g.b.AttemptEnded(g.now, Outcome{Request: id, Result: Reset, Closed: true})
	g.takeActions()
	if len(g.actions) != 0 || len(g.b.open) != 0 {
		t.Errorf("actions %v after a broken stream, %d requests open, want none", g.actions, len(g.b.open))
	}
}

func TestClientGoneCancelsAndForgetsRequest(t *testing.T) {
	g := newTestGateway(t, testSettings(), testHosts(1)...)
	id := g.request(0, time.Second)
	g.b.ClientGone(g.now, id)
	g.takeActions()
	g.onlyAction(Cancel)
	g.attemptEnded(id, 0, Canceled, ms)
	if len(g.b.open) != 0 {
		t.Errorf("%d requests open after the client has gone, want none", len(g.b.open))
	}
}

// An attempt overtaken by later responses of its host neither keeps others from the host nor stays: it
// is canceled and, if its class allows it, sent again. One silent connection must not take a working
// host out of use.
func TestOvertakenAttemptIsCanceledAndRetried(t *testing.T) {
	for class, retried := range []bool{true, true, false} {
		g := newTestGateway(t, testSettings(), testHosts(1)...)
		h := g.b.hosts[0]
		h.limiter.limit = 8
		g.b.stalled.unansweredShare = 1 // as learnt from earlier attempts
		id := g.request(class, time.Second)
		g.advance(ms)
		for range overtakenResponses {
			g.attemptEnded(g.request(0, time.Second), 0, OK, ms)
			g.advance(ms)
		}
		var canceled []Action
		for range 20 {
			for _, a := range g.advance(15 * ms) {
				if a.Kind == Cancel {
					canceled = append(canceled, a)
				}
			}
			g.attemptEnded(g.request(0, time.Second), 0, OK, ms) // others are answered meanwhile
		}
		if g.b.hostOverdue(h) {
			t.Errorf("class %d: the host is overdue, want it in use", class)
		}
		if !retried {
			if len(canceled) > 0 {
				t.Errorf("class %d: canceled %v, want none", class, canceled)
			}
			continue
		}
		if len(canceled) != 1 || canceled[0].Request != id || canceled[0].Attempt != 0 {
			t.Fatalf("class %d: canceled %v, want the overtaken attempt once", class, canceled)
		}
		g.attemptEnded(id, 0, Canceled, 300*ms)
		if got := g.onlyAction(Send).Request; got != id {
			t.Errorf("class %d: request %d sent, want the canceled %d again", class, got, id)
		}
	}
}

// Overtaken attempts are canceled only where most of them stay unanswered: slow requests are answered
// in the end, and canceling them doubles their work.
func TestOvertakenAttemptIsKeptWhereOthersAreAnswered(t *testing.T) {
	for class, result := range map[int]Result{0: OK, 2: TimedOut} { // an idempotent one, a non-idempotent one
		g := newTestGateway(t, testSettings(), testHosts(1)...)
		g.b.hosts[0].limiter.limit = 8
		for range 8 {
			id := g.request(class, time.Second)
			g.advance(ms)
			for range overtakenResponses {
				g.attemptEnded(g.request(0, time.Second), 0, OK, ms)
				g.advance(ms)
			}
			for range 20 {
				for _, a := range g.advance(15 * ms) {
					if a.Kind == Cancel {
						t.Fatalf("class %d: canceled %v, want none", class, a)
					}
				}
				g.attemptEnded(g.request(0, time.Second), 0, OK, ms)
			}
			g.attemptEnded(id, 0, result, 300*ms)
			g.advance(time.Second)
		}
		if cancels := g.b.stalled.unansweredShare > maxUnansweredShare; cancels != (result == TimedOut) {
			t.Errorf("eight overtaken attempts ended with %d: canceling %v, unanswered share %v, want it only for timeouts",
				result, cancels, g.b.stalled.unansweredShare)
		}
	}
}

// An overtaken attempt does not count against the limit of its host while most such attempts stay
// unanswered, as it occupies a silent connection rather than the host. While most are answered it
// counts.
func TestOvertakenAttemptFreesLimitWhereOthersStayUnanswered(t *testing.T) {
	g := newTestGateway(t, testSettings(), testHosts(1)...)
	h := g.b.hosts[0]
	h.limiter.limit = 8
	g.request(0, time.Second)
	g.advance(ms)
	for range overtakenResponses {
		g.attemptEnded(g.request(0, time.Second), 0, OK, ms)
		g.advance(ms)
	}
	h.limiter.limit = 1
	for _, share := range []float64{0, 1} {
		g.b.stalled.unansweredShare = share
		if at, want := !g.b.acceptsAttempts(h), share == 0; at != want {
			t.Errorf("with an unanswered share of %v: at its limit %v, want %v", share, at, want)
		}
	}
}
