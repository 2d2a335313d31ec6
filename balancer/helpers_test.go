package balancer

import (
	"testing"
	"time"
)

// ms is the unit of most durations in these tests.
const ms = time.Millisecond

// testSettings returns settings of a small deployment with one class of each idempotency.
func testSettings() Settings {
	return Settings{
		Instances: 1, Step: ms, MaxAttempts: 4, Cancel: true, MaxRetryAfter: time.Second,
		Classes: []Class{
			{LatencyObjective: 400 * ms, Deadline: time.Second, PriorityWeight: 1},
			{LatencyObjective: 400 * ms, Deadline: time.Second, PriorityWeight: 2, Idempotency: IdempotentWithKey, DedupScope: ScopeCell, DedupWindow: 600 * ms},
			{LatencyObjective: 400 * ms, Deadline: time.Second, PriorityWeight: 5, Idempotency: NonIdempotent},
		},
		SlowStartShare: 0.3, SlowStartWindow: 9 * time.Second, OverloadFactor: 2.5, OverloadWindow: time.Second,
	}
}

// lookupAndBookingClasses returns a class of lookups and a class of bookings. Bookings have five times the
// weight, a tight latency objective, and are not retried once they may have run.
func lookupAndBookingClasses() []Class {
	return []Class{
		{LatencyObjective: 380 * ms, Deadline: 1340 * ms, PriorityWeight: 1},
		{LatencyObjective: 130 * ms, Deadline: 400 * ms, PriorityWeight: 5, Idempotency: NonIdempotent},
	}
}

// testHosts returns n ready hosts, two to a cell and zone.
func testHosts(n int) []Host {
	var list []Host
	for i := range n {
		list = append(list, Host{ID: HostID(i + 1), Cell: i / 2, Zone: i / 2})
	}
	return list
}

// testGateway is a gateway that passes events to a Balancer, with a clock, and collects the actions.
type testGateway struct {
	*testing.T
	b       *Balancer
	now     Time
	next    RequestID
	actions []Action // actions after the last event, except for timers, logs and closed connections
	logs    []string
	timers  []Action // pending timers

	closed []HostID // hosts whose idle connections were to be closed
}

// updateEndpoints reports an endpoint list.
func (g *testGateway) updateEndpoints(kind ListKind, hosts ...Host) {
	g.b.UpdateEndpoints(g.now, kind, hosts)
	g.takeActions()
}

// request reports a request of the class with the given remaining time, and returns its ID.
func (g *testGateway) request(class int, left time.Duration) RequestID {
	g.next++
	g.b.Request(g.now, Request{ID: g.next, Class: class, Remaining: left})
	g.takeActions()
	return g.next
}

// attemptEnded reports the end of attempt n of a request.
func (g *testGateway) attemptEnded(id RequestID, n int, r Result, took time.Duration) {
	g.b.AttemptEnded(g.now, Outcome{Request: id, Attempt: n, Result: r, Elapsed: took, Closed: r == OK})
	g.takeActions()
}

// advance moves the clock by d, fires the timers that are due in order of time, and returns the actions
// that they caused.
func (g *testGateway) advance(d time.Duration) []Action {
	var done []Action
	for end := g.now + d; ; {
		best := -1
		for i, w := range g.timers {
			if w.At <= end && (best < 0 || w.At < g.timers[best].At) {
				best = i
			}
		}
		if best < 0 {
			g.now = end
			return done
		}
		w := g.timers[best]
		g.timers = append(g.timers[:best], g.timers[best+1:]...)
		g.now = max(g.now, w.At)
		g.b.Timer(g.now, w.Token)
		g.takeActions()
		done = append(done, g.actions...)
	}
}

// onlyAction returns the only action after the last event. It fails the test if there is not exactly one,
// or if it is of another kind.
func (g *testGateway) onlyAction(kind ActionKind) Action {
	g.Helper()
	if len(g.actions) != 1 || g.actions[0].Kind != kind {
		g.Fatalf("actions %v, want one of kind %d", g.actions, kind)
	}
	return g.actions[0]
}

// serve sends n requests one after another, each of which gets a response after took, and returns the
// number of requests by host.
func (g *testGateway) serve(n int, class int, took func(HostID) time.Duration) map[HostID]int {
	g.Helper()
	got := map[HostID]int{}
	for range n {
		id := g.request(class, time.Second)
		h := g.onlyAction(Send).Host
		got[h]++
		d := took(h)
		g.advance(d)
		g.attemptEnded(id, 0, OK, d)
	}
	return got
}

// requestUntilSentTo sends requests until one is sent to the host, and returns that one with its attempt in
// flight. The other requests get a response after took.
func (g *testGateway) requestUntilSentTo(host HostID, took time.Duration) RequestID {
	g.Helper()
	for {
		id := g.request(0, time.Second)
		if g.onlyAction(Send).Host == host {
			return id
		}
		g.attemptEnded(id, 0, OK, took)
	}
}

// newTestGateway returns a gateway that has started with a saved list of the given hosts.
func newTestGateway(t *testing.T, settings Settings, hosts ...Host) *testGateway {
	t.Helper()
	return newSeededTestGateway(t, settings, 7, hosts...)
}

// newSeededTestGateway is newTestGateway with a seed for the Balancer's random decisions.
func newSeededTestGateway(t *testing.T, settings Settings, seed uint64, hosts ...Host) *testGateway {
	t.Helper()
	b, err := New(settings, seed)
	if err != nil {
		t.Fatal(err)
	}
	g := &testGateway{T: t, b: b, now: time.Hour}
	b.Start(g.now)
	g.updateEndpoints(ListSaved, hosts...)
	return g
}

// takeActions takes the actions decided since the last event and sorts them by kind into the fields of g.
func (g *testGateway) takeActions() {
	g.actions = g.actions[:0]
	for _, a := range g.b.TakeActions(nil) {
		switch a.Kind {
		case Log:
			g.logs = append(g.logs, a.Text)
		case Wake:
			g.timers = append(g.timers, a)
		case Close:
			g.closed = append(g.closed, a.Host)
		default:
			g.actions = append(g.actions, a)
		}
	}
}

// gatewayFleet is several gateways, each with its own Balancer, that use the same hosts.
type gatewayFleet struct {
	t        *testing.T
	gateways []*testGateway
}

// updateEndpoints reports the changes to every gateway and refreshes the subsets.
func (f *gatewayFleet) updateEndpoints(changes ...Host) {
	for _, g := range f.gateways {
		g.updateEndpoints(ListChanges, changes...)
		g.b.refreshSubset()
	}
}

// advance moves the clock of every gateway by d and refreshes the subsets every 100 ms.
func (f *gatewayFleet) advance(d time.Duration) {
	const step = 100 * time.Millisecond
	for ; d > 0; d -= step {
		for _, g := range f.gateways {
			g.advance(min(d, step))
			g.b.now = g.now // every event method of the Balancer sets it too
			g.b.refreshSubset()
		}
	}
}

// gatewaysByHost returns how many gateways have each host in their subset.
func (f *gatewayFleet) gatewaysByHost() map[HostID]int {
	n := map[HostID]int{}
	for _, g := range f.gateways {
		for _, h := range g.b.sets[setSubset].list {
			n[h.ID]++
		}
	}
	return n
}

// subset returns the hosts in the subset of gateway i.
func (f *gatewayFleet) subset(i int) map[HostID]bool {
	is := map[HostID]bool{}
	for _, h := range f.gateways[i].b.sets[setSubset].list {
		is[h.ID] = true
	}
	return is
}

// newGatewayFleet returns n gateways that have started with the same saved list.
func newGatewayFleet(t *testing.T, settings Settings, n int, list []Host) *gatewayFleet {
	f := &gatewayFleet{t: t}
	settings.Instances = n
	for settings.Rank = range n {
		seed := uint64(settings.Rank) + 1 // each has its own seed, as in production
		f.gateways = append(f.gateways, newSeededTestGateway(t, settings, seed, list...))
	}
	return f
}
