package balancer

import (
	"testing"
	"time"
)

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

// A retry with a key that may have run stays in the deduplication scope and uses all hosts of the scope,
// even if they are many.
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
	t.Fatal("no attempt sent, want one")
	return 0
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
