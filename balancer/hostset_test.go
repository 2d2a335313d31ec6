package balancer

import (
	"math/rand"
	"testing"
	"time"
)

// scanCandidates is the reference for the host sets. It scans the whole subset for the hosts that pick may
// choose for a class: the ready hosts, the ejected ones if selection fails open, the excluded ones if all
// are excluded, or, if none of these accepts an attempt, the suspected ones.
func scanCandidates(b *Balancer, class int, candidates []*host) []*host {
	notExcluded, ejected, excluded, unreachable := 0, 0, 0, 0
	hosts := b.sets[setSubset].list
	accepts := func(h *host) bool { return h.State == Ready && !h.slowStart.paced(b.now) && b.acceptsAttempts(h) }
	for _, h := range hosts {
		switch {
		case h.State != Ready:
		case b.excludedFor(h, class):
			excluded++
		case b.ejected(h):
			notExcluded++
			ejected++
			if h.ejection.cause == CauseConnectionsFailed {
				unreachable++
			}
		default:
			notExcluded++
			if accepts(h) {
				candidates = append(candidates, h)
			}
		}
	}
	for _, h := range hosts {
		allExcluded := notExcluded == 0 && excluded > 0
		failOpen := 2*ejected > notExcluded && b.ejected(h) && !b.excludedFor(h, class)
		usable := h.ejection.cause != CauseConnectionsFailed || unreachable == notExcluded
		if (allExcluded || failOpen && usable) && accepts(h) {
			candidates = append(candidates, h)
		}
	}
	if len(candidates) > 0 || b.settings.Classes[class].Idempotency == NonIdempotent {
		return candidates
	}
	for _, h := range hosts {
		// The silence timeout may have become shorter since the last update of the host. Such a host is
		// moved to the set of suspected hosts by the next sweep.
		suspicionKnown := h.sets.selectionSet == setSuspected || h.nextUpdate.at <= b.now
		mayBeSuspected := h.State == Ready && !b.excludedFor(h, class) && !b.ejected(h) && !h.slowStart.paced(b.now)
		if suspicionKnown && mayBeSuspected && b.suspected(h) {
			candidates = append(candidates, h)
		}
	}
	return candidates
}

// pickByScan is pick with scanCandidates instead of the host sets.
func pickByScan(b *Balancer, r *request) *host {
	b.candidates = scanCandidates(b, r.Class, b.candidates[:0])
	return b.chooseCandidate(r)
}

// checkHostSets compares the host sets and counts with a scan of all hosts.
func checkHostSets(t *testing.T, b *Balancer) {
	t.Helper()
	b.refreshSubset()
	used, listed := 0, 0
	for _, h := range b.sets[setSubset].list {
		if h.State != Ready {
			t.Fatalf("host %d in state %d is in the subset, want only ready hosts", h.ID, h.State)
		}
		listed++
		if b.isInUse(h) {
			used++
		}
	}
	if used != b.counts.inUse || listed != b.counts.ready {
		t.Fatalf("%d hosts in the subset, %d of them in use; want the counts %+v", listed, used, b.counts)
	}
	busy := 0
	for _, h := range b.hosts {
		if (h.inFlight > 0) != (h.sets.position[setBusy] > 0) {
			t.Fatalf("host %d has %d attempts in flight and position %v in the set of busy hosts, want a position if and only if it has attempts in flight",
				h.ID, h.inFlight, h.sets.position[setBusy])
		}
		busy += h.inFlight
	}
	for class := range b.settings.Classes {
		r := &request{Request: Request{Class: class}, class: &b.settings.Classes[class]}
		want := map[*host]bool{}
		for _, h := range scanCandidates(b, class, nil) {
			want[h] = true
		}
		rng := b.random.state
		got := map[*host]bool{}
		for range 40 * (len(want) + 1) { // draws are random
			if b.sendRate.limit > 0 {
				b.sendRate.tokens = sendRateBurstAttempts
				b.sendRate.refilledAt = b.now
			}
			if h := b.pick(r); h != nil {
				got[h] = true
			}
		}
		for h := range got {
			if !want[h] {
				t.Fatalf("class %d: host %d picked, want a host found by the scan", class, h.ID)
			}
		}
		if len(got) == 0 && len(want) > 0 {
			t.Fatalf("class %d: no host picked, want one of the %d found by the scan", class, len(want))
		}
		b.random.state = rng
	}
}

// Checks the host sets against a full scan after the events of random histories.
func TestHostSetsMatchFullScan(t *testing.T) {
	for seed := range int64(12) {
		r := rand.New(rand.NewSource(seed))
		data := make([]byte, 1500)
		r.Read(data)
		h := newHistory(t, data[:8])
		n := 0
		h.afterEvent = func() {
			n++
			if n%3 == 0 {
				checkHostSets(t, h.b)
			}
		}
		h.run(data[8:])
	}
}

// newGatewayAfterReplacement returns a gateway with 5,000 hosts, half of which are then removed while 2,000
// new ones start in the same event. It checks that the removed hosts receive nothing.
func newGatewayAfterReplacement(t *testing.T) *benchGateway {
	t.Helper()
	g, list := newBenchGateway(t, 5000, testSettings())
	for range 2000 {
		g.round(64)
	}
	now := append([]Host(nil), list[2500:]...)
	for i := range 2000 {
		now = append(now, Host{ID: HostID(10_000 + i), Cell: i / 8, Zone: i % 4, Kind: i % 3, Started: g.now - time.Second})
	}
	g.b.UpdateEndpoints(g.now, ListFull, now)
	for _, a := range g.b.TakeActions(nil) {
		if a.Kind == Send && a.Host <= 2500 {
			t.Fatalf("attempt sent to host %d, which was removed", a.Host)
		}
	}
	for range 3000 {
		g.round(64)
		for _, a := range g.actions {
			if a.Kind == Send && a.Host <= 2500 {
				t.Fatalf("attempt sent to host %d, which was removed", a.Host)
			}
		}
	}
	for len(g.pending) > 0 {
		g.b.AttemptEnded(g.now, Outcome{Request: g.pending[0], Elapsed: ms, Closed: true})
		g.pending = g.pending[1:]
	}
	if n := len(g.b.hosts); n != 4500 || len(g.b.byID) != n {
		t.Fatalf("%d hosts, %d by ID, want 4500", n, len(g.b.byID))
	}
	return g
}

// Checks the host sets against a full scan after a large replacement of hosts: first as they are, then with
// all hosts ejected, then with only one ready, then with every class excluded at some hosts and one class
// at nearly all.
func TestHostSetsMatchFullScanOfLargeList(t *testing.T) {
	g := newGatewayAfterReplacement(t)
	checkHostSets(t, g.b)

	for _, h := range g.b.hosts {
		g.b.eject(h, CauseSilent)
		g.b.updateStanding(h)
	}
	checkHostSets(t, g.b) // all hosts ejected: fails open
	for _, h := range g.b.hosts {
		h.ejection.cause = CauseConnectionsFailed
		g.b.updateStanding(h)
	}
	checkHostSets(t, g.b)
	for _, h := range g.b.hosts[1:] {
		h.ejection.count = 0
		h.limiter.restingUntil = g.now + time.Minute
		g.b.updateStanding(h)
	}
	g.b.hosts[0].ejection.count = 0
	g.b.updateStanding(g.b.hosts[0])
	checkHostSets(t, g.b) // one host ready
	for i, h := range g.b.hosts {
		h.limiter.restingUntil = 0
		h.hasErrors = true
		for c := range h.errors {
			if i%2 == c%2 || c == 0 && i > 10 {
				h.errors[c].excludedUntil = g.now + time.Minute
			}
		}
		g.b.updateStanding(h)
	}
	checkHostSets(t, g.b) // every class excluded at some hosts, one class at nearly all
}
