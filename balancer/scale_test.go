package balancer

import (
	"fmt"
	"math/rand"
	"runtime"
	"testing"
	"time"
)

// walked is what pick would choose among for a class if it walked all hosts drawn from, as
// it did before there were sets; suspected ones where no other is ready. It is the
// obvious way, and the judge of the other.
func walked(b *Balancer, class int, ready []*host) []*host {
	listed, out, excluded, broken := 0, 0, 0, 0
	from := b.sets[setSubset].list
	open := func(h *host) bool { return h.State == Ready && !h.slowStart.paced(b.now) && !b.atLimit(h) }
	for _, h := range from {
		switch {
		case h.State != Ready:
		case b.excludedFor(h, class):
			excluded++
		case b.ejected(h):
			listed++
			out++
			if h.ejection.cause == CauseConnectionsFailed {
				broken++
			}
		default:
			listed++
			if open(h) {
				ready = append(ready, h)
			}
		}
	}
	for _, h := range from {
		switch {
		case listed == 0 && excluded > 0 && open(h),
			2*out > listed && b.ejected(h) && !b.excludedFor(h, class) && open(h) && (h.ejection.cause != CauseConnectionsFailed || broken == listed):
			ready = append(ready, h)
		}
	}
	if len(ready) == 0 && b.settings.Classes[class].Idempotency != NonIdempotent {
		for _, h := range from {
			// Patience may have shrunk since it was looked at; the next sweep sees that.
			seen := h.sets.readySet == setDoubtful || h.recheckEntry.at <= b.now
			if seen && h.State == Ready && !b.excludedFor(h, class) && !b.ejected(h) && !h.slowStart.paced(b.now) && b.suspected(h) {
				ready = append(ready, h)
			}
		}
	}
	return ready
}

// walk is the choice by a walk.
func walk(b *Balancer, r *request) *host {
	b.candidates = walked(b, r.Class, b.candidates[:0])
	return b.chooseCandidate(r)
}

// checkSets holds the sets against a walk, after any event and at the time of the next.
func checkSets(t *testing.T, b *Balancer) {
	t.Helper()
	b.refreshSubset()
	used, listed := 0, 0
	for _, h := range b.sets[setSubset].list {
		if h.State != Ready {
			t.Fatalf("host %d is drawn from though it is not ready", h.ID)
		}
		listed++
		if b.isInUse(h) {
			used++
		}
	}
	if used != b.counts.inUse || listed != b.counts.ready {
		t.Fatalf("%d drawn from, %d of them in use; counted %+v", listed, used, b.counts)
	}
	busy := 0
	for _, h := range b.hosts {
		if (h.inFlight > 0) != (h.sets.position[setBusy] > 0) {
			t.Fatalf("host %d has %d attempts out, busy: %v", h.ID, h.inFlight, h.sets.position[setBusy])
		}
		busy += h.inFlight
	}
	for class := range b.settings.Classes {
		r := &request{Request: Request{Class: class}, class: &b.settings.Classes[class]}
		want := map[*host]bool{}
		for _, h := range walked(b, class, nil) {
			want[h] = true
		}
		rng := b.random.state
		got := map[*host]bool{}
		for range 40 * (len(want) + 1) { // what is drawn, again and again
			if b.sendRate.limit > 0 {
				b.sendRate.tokens, b.sendRate.refilledAt = sendRateBurstAttempts, b.now
			}
			if h := b.pick(r); h != nil {
				got[h] = true
			}
		}
		for h := range got {
			if !want[h] {
				t.Fatalf("class %d: host %d is drawn, a walk does not find it", class, h.ID)
			}
		}
		if len(got) == 0 && len(want) > 0 {
			t.Fatalf("class %d: none is drawn of %d that a walk finds", class, len(want))
		}
		b.random.state = rng
	}
}

// The sets hold what a walk over all hosts finds, at every event of random histories.
func TestSetsHoldWhatAWalkFinds(t *testing.T) {
	for seed := range int64(12) {
		r := rand.New(rand.NewSource(seed))
		data := make([]byte, 1500)
		r.Read(data)
		h := newHistory(t, data[:8])
		n := 0
		h.after = func() {
			if n++; n%3 == 0 {
				checkSets(t, h.b)
			}
		}
		h.play(data[8:])
	}
}

// fleet is a Balancer with n hosts, as one gateway of a large site; all have been used.
func fleet(tb testing.TB, n int, set Settings) (*gatewayOf, []Host) {
	b, err := New(set, 1)
	if err != nil {
		tb.Fatal(err)
	}
	list := make([]Host, n)
	for i := range list {
		list[i] = Host{ID: HostID(i + 1), Cell: i / 8, Zone: i % 4, Kind: i % 3}
	}
	g := &gatewayOf{b: b, now: time.Hour}
	b.Start(g.now)
	b.UpdateEndpoints(g.now, ListFull, list)
	g.acts = b.TakeActions(g.acts[:0])
	return g, list
}

// gatewayOf keeps some requests in flight.
type gatewayOf struct {
	b    *Balancer
	now  Time
	next RequestID
	acts []Action
	out  []RequestID
}

// round is a request, and the end of the one sent inFlight requests ago.
func (g *gatewayOf) round(inFlight int) {
	g.next++
	g.now += 200 * time.Microsecond
	g.b.Request(g.now, Request{ID: g.next, Remaining: time.Second})
	g.acts = g.b.TakeActions(g.acts[:0])
	for _, a := range g.acts {
		if a.Kind == Send {
			g.out = append(g.out, a.Request)
		}
	}
	if len(g.out) > inFlight {
		id := g.out[0]
		copy(g.out, g.out[1:])
		g.out = g.out[:len(g.out)-1]
		g.b.AttemptEnded(g.now, Outcome{Request: id, Elapsed: 5 * ms, Closed: true})
		g.acts = g.b.TakeActions(g.acts[:0])
	}
	if g.next%32 == 0 {
		g.b.Timer(g.now, tokenSweep<<tokenShift)
		g.acts = g.b.TakeActions(g.acts[:0])
	}
}

// Five thousand hosts: half leave at once and 2,000 new ones start in the same event;
// then all are ejected; then one is ready; then a class is excluded at all but a few.
func TestLargeListTurnsOver(t *testing.T) {
	g, list := fleet(t, 5000, basic())
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
			t.Fatal("sent to one that has left")
		}
	}
	sent := map[HostID]int{}
	for range 3000 {
		g.round(64)
		for _, a := range g.acts {
			if a.Kind == Send {
				sent[a.Host]++
				if a.Host <= 2500 {
					t.Fatal("sent to one that has left")
				}
			}
		}
	}
	for len(g.out) > 0 {
		g.b.AttemptEnded(g.now, Outcome{Request: g.out[0], Elapsed: ms, Closed: true})
		g.out = g.out[1:]
	}
	if n := len(g.b.hosts); n != 4500 || len(g.b.byID) != n {
		t.Fatalf("%d hosts are kept, %d by id", n, len(g.b.byID))
	}
	checkSets(t, g.b)

	for _, h := range g.b.hosts {
		g.b.eject(h, CauseSilent)
		g.b.recheck(h)
	}
	checkSets(t, g.b) // all ejected: fail open
	for _, h := range g.b.hosts {
		h.ejection.cause = CauseConnectionsFailed
		g.b.recheck(h)
	}
	checkSets(t, g.b)
	for _, h := range g.b.hosts[1:] {
		h.ejection.count, h.limiter.restingUntil = 0, g.now+time.Minute
		g.b.recheck(h)
	}
	g.b.hosts[0].ejection.count = 0
	g.b.recheck(g.b.hosts[0])
	checkSets(t, g.b) // one ready
	for i, h := range g.b.hosts {
		h.limiter.restingUntil, h.hasErrors = 0, true
		for c := range h.errors {
			if i%2 == c%2 || c == 0 && i > 10 {
				h.errors[c].excludedUntil = g.now + time.Minute
			}
		}
		g.b.recheck(h)
	}
	checkSets(t, g.b) // every class excluded somewhere, one nearly everywhere
}

// A request with a key that may have run is sent again only inside its scope, whichever host
// of it, and however large it is.
func TestKeyedStaysInALargeGroup(t *testing.T) {
	for _, group := range []DedupScope{ScopeCell, ScopeZone} {
		set := basic()
		set.Classes[1].DedupScope = group
		g, _ := fleet(t, 2000, set)
		seen := map[HostID]bool{}
		for range 200 {
			g.next++
			g.now += ms
			g.b.Request(g.now, Request{ID: g.next, Class: 1, Remaining: time.Second})
			first := onlySend(t, g.b)
			g.b.AttemptEnded(g.now, Outcome{Request: g.next, Result: Reset, Elapsed: ms})
			again := onlySend(t, g.b)
			x, y := g.b.byID[first], g.b.byID[again]
			if group == ScopeCell && x.Cell != y.Cell || group == ScopeZone && x.Zone != y.Zone {
				t.Fatalf("sent to host %d, then to %d of another group", first, again)
			}
			seen[again] = true
			g.b.AttemptEnded(g.now, Outcome{Request: g.next, Attempt: 1, Elapsed: ms, Closed: true})
			g.b.TakeActions(nil)
		}
		if len(seen) < 100 {
			t.Errorf("200 duplicates went to %d hosts only", len(seen))
		}
	}
}

func onlySend(t *testing.T, b *Balancer) HostID {
	t.Helper()
	for _, a := range b.TakeActions(nil) {
		if a.Kind == Send {
			return a.Host
		}
	}
	t.Fatal("nothing is sent")
	return 0
}

var sizes = []int{10, 100, 1000, 5000}

// BenchmarkScale is a request from its arrival to its end with 16 in flight.
func BenchmarkScale(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			g, _ := fleet(b, n, basic())
			for range 20000 {
				g.round(16)
			}
			b.ReportAllocs()
			for b.Loop() {
				g.round(16)
			}
		})
	}
}

// BenchmarkPick is the choice alone, by the sets and by a walk.
func BenchmarkPick(b *testing.B) {
	for _, n := range sizes {
		g, _ := fleet(b, n, basic())
		for range 20000 {
			g.round(16)
		}
		r := &request{class: &g.b.settings.Classes[0]}
		for name, pick := range map[string]func() *host{
			"sets": func() *host { return g.b.pick(r) },
			"walk": func() *host { return walk(g.b, r) },
		} {
			b.Run(fmt.Sprintf("hosts=%d/%s", n, name), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					if pick() == nil {
						b.Fatal("no host")
					}
				}
			})
		}
	}
}

// BenchmarkListChange is a change of one host, with the request that follows it.
func BenchmarkListChange(b *testing.B) {
	for _, instances := range []int{1, 100} { // all hosts drawn from, and a part of them
		for _, n := range sizes {
			b.Run(fmt.Sprintf("instances=%d/hosts=%d", instances, n), func(b *testing.B) {
				set := basic()
				set.Instances = instances
				g, list := fleet(b, n, set)
				for range 1000 {
					g.round(16)
				}
				one := list[n/2 : n/2+1]
				for i := 0; b.Loop(); i++ {
					one[0].ID = HostID(1_000_000 + i)
					g.b.UpdateEndpoints(g.now, ListChanges, one)
					one[0].State = Removed
					g.round(16)
					g.b.UpdateEndpoints(g.now, ListChanges, one)
					one[0].State = Ready
				}
			})
		}
	}
}

// BenchmarkMemory is what a list takes on the heap, a host.
func BenchmarkMemory(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			var before, after runtime.MemStats
			var kept []*gatewayOf
			runtime.GC()
			runtime.ReadMemStats(&before)
			for b.Loop() {
				g, _ := fleet(b, n, basic())
				g.round(0)
				kept = append(kept, g)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n*len(kept)), "B/host")
			runtime.KeepAlive(kept)
		})
	}
}
