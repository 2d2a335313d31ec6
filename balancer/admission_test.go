package balancer

import (
	"math/rand"
	"testing"
	"time"
)

// Responses are compared with the usual RTT of their class too: a fleet can be overloaded while
// responses are far within the latency objective.
func TestSendRateIsReducedAboveUsualRTT(t *testing.T) {
	set := testSettings()
	set.Instances = 100
	g := newTestGateway(t, set, testHosts(10)...)
	quick := func(HostID) time.Duration { return 40 * ms }
	g.serve(100, 0, quick)
	if p := g.b.pressure.mean; p > 1 || g.b.sendRate != 0 {
		t.Fatalf("pressure %v, bound %v at usual answers, want neither over", p, g.b.sendRate)
	}
	g.serve(12, 0, func(HostID) time.Duration { return 100 * ms }) // a quarter of the latency objective
	if g.b.sendRate == 0 {
		t.Errorf("no bound at two and a half times the usual RTT, pressure %v", g.b.pressure.mean)
	}
	if l := g.b.classRTT[0].mean; l > 0.05 {
		t.Errorf("usual RTT %v after a short jam, want about 0.04", l)
	}
}

// An attempt that is out for unusually long raises the pressure before its response arrives, as the
// hosts left after a crash are overloaded before the first late response.
func TestOverdueAttemptRaisesPressure(t *testing.T) {
	set := testSettings()
	set.Instances = 100
	g := newTestGateway(t, set, testHosts(10)...)
	g.serve(60, 0, func(HostID) time.Duration { return 20 * ms })
	before := g.b.pressure.mean
	g.request(0, time.Second)
	g.onlyAction(Send)
	g.advance(300 * ms)
	if p := g.b.pressure.mean; p <= before {
		t.Errorf("pressure %v after 300 ms without an answer, %v before", p, before)
	}
}

// In a fleet where each instance has less than one attempt at a host, limits per host cannot bound the
// load, so the send rate has to.
func TestOverloadReducesSendRateByPriorityWeight(t *testing.T) {
	set := testSettings()
	set.Instances = 200
	g := newTestGateway(t, set, testHosts(20)...)
	run := func(objectives float64) (low, high int) {
		for range 100 {
			for _, class := range []int{0, 2} {
				id := g.request(class, time.Second)
				if len(g.acts) == 1 && g.acts[0].Kind == Send {
					if class == 0 {
						low++
					} else {
						high++
					}
					g.attemptEnded(id, 0, OK, Time(objectives*400)*ms)
				}
				for _, h := range g.b.hosts { // keeps the hosts' own limits out of this
					h.concurrencyLimit, h.restingUntil = 10, 0
				}
				g.advance(400 * ms)
			}
		}
		return low, high
	}
	if low, high := run(0.1); low != 100 || high != 100 {
		t.Fatalf("%d and %d of 100 sent while answers are quick, want all", low, high)
	}
	low, high := run(0.9)
	if low > 50 || high < 2*low {
		t.Errorf("%d of low and %d of high weight sent while responses are late, want few and more", low, high)
	}
	run(0.1)
	if low, high := run(0.1); low != 100 || high != 100 {
		t.Errorf("%d and %d of 100 sent after the overload, want all", low, high)
	}
}

func TestOverQuotaRequestWaitsBehindOthers(t *testing.T) {
	set := testSettings()
	set.Tenants = []Tenant{{Quota: 1}, {Quota: 1000}}
	set.OverQuotaWeight = 0.05
	g := newTestGateway(t, set)
	ask := func(tenant int) RequestID {
		g.next++
		g.b.Request(g.now, Request{ID: g.next, Tenant: tenant, Remaining: time.Second})
		return g.next
	}
	ask(0)
	over := ask(0)
	within := ask(1)
	list := testHosts(1)
	g.b.discardActions()
	g.updateEndpoints(ListFull, list...)
	order := map[RequestID]int{}
	for i, a := range g.acts {
		order[a.Request] = i
	}
	if len(order) != 3 || order[within] > order[over] {
		t.Errorf("order %v, want %d before %d", g.acts, within, over)
	}
}

// discardActions drops the pending actions.
func (b *Balancer) discardActions() { b.actions = b.actions[:0] }

// playOverload plays twelve seconds of twice the load that the hosts can serve, a third of it bookings
// with a tight latency objective and five times the weight. It returns by class how many requests came
// and how many were served in time in the last ten seconds.
func playOverload(t *testing.T, seed int64) (asked, served [2]int) {
	const gates, n = 20, 15
	set := testSettings()
	set.Step, set.Instances = ms, gates
	set.Classes = []Class{
		{LatencyObjective: 380 * ms, Deadline: 1340 * ms, PriorityWeight: 1},
		{LatencyObjective: 130 * ms, Deadline: 400 * ms, PriorityWeight: 5, Idempotency: NonIdempotent},
	}
	r := rand.New(rand.NewSource(seed))
	f := newGatewayFleet(t, set, gates, testHosts(n))
	type job struct {
		gate      *testGateway
		id        RequestID
		class     int
		sent, end Time
	}
	out := make([][]job, n+1) // by host; each serves one at a time, in turn
	class := map[*testGateway]map[RequestID]int{}
	take := func(g *testGateway, acts []Action) {
		for _, a := range acts {
			if a.Kind == Send {
				line := out[a.Host]
				from := g.now
				if len(line) > 0 {
					from = max(from, line[len(line)-1].end)
				}
				took := Time(float64(30*ms) * r.ExpFloat64())
				out[a.Host] = append(line, job{g, a.Request, class[g][a.Request], g.now, from + took})
			}
		}
	}
	for _, g := range f.gates {
		class[g] = map[RequestID]int{}
	}
	for step := range 12_000 {
		counts := step > 2000
		for h := range out {
			for len(out[h]) > 0 && out[h][0].end <= f.gates[0].now {
				j := out[h][0]
				out[h] = out[h][1:]
				if counts && j.gate.now-j.sent <= set.Classes[j.class].LatencyObjective {
					served[j.class]++
				}
				j.gate.attemptEnded(j.id, 0, OK, j.gate.now-j.sent)
				take(j.gate, j.gate.acts)
			}
		}
		for _, g := range f.gates {
			take(g, g.advance(ms))
			if r.Float64() >= 0.05 {
				continue
			}
			c := 0
			if r.Intn(3) == 0 {
				c = 1
			}
			if counts {
				asked[c]++
			}
			class[g][g.next+1] = c
			g.request(c, set.Classes[c].Deadline)
			take(g, g.acts)
		}
	}
	return asked, served
}

// Requests of low weight leave capacity to those of high weight, which would otherwise be rejected
// first because their tight latency objective lets them wait the least.
func TestOverloadServesHighPriorityWeightFirst(t *testing.T) {
	var asked, served [2]int
	for seed := range int64(2) {
		a, s := playOverload(t, seed)
		for c := range a {
			asked[c], served[c] = asked[c]+a[c], served[c]+s[c]
		}
	}
	low, high := float64(served[0])/float64(asked[0]), float64(served[1])/float64(asked[1])
	t.Logf("lookups %.2f, bookings %.2f in time", low, high)
	if high < 1.2*low || low < 0.1 {
		t.Errorf("lookups %.2f, bookings %.2f in time, want bookings first and some lookups", low, high)
	}
}

// A class that finds hosts claims no capacity from others, and no class yields to itself.
func TestRequestsDoNotYieldWhileHostsAreAvailable(t *testing.T) {
	g := newTestGateway(t, testSettings(), testHosts(3)...)
	for range 200 {
		for class := range 3 {
			id := g.request(class, time.Second)
			g.onlyAction(Send)
			g.attemptEnded(id, 0, OK, 10*ms)
		}
	}
	g.b.starvation[0].share = 1 // the lowest weight can't claim capacity from others
	for range 50 {
		id := g.request(0, time.Second)
		g.onlyAction(Send)
		g.attemptEnded(id, 0, OK, 10*ms)
		g.b.starvation[0].share = 1
	}
}

// Requests that found no host claim capacity only if others held it, and the claim decays: a class
// with few requests must not keep the others out.
func TestStarvationGrowsOnlyWhileOthersHoldCapacity(t *testing.T) {
	g := newTestGateway(t, testSettings())
	for range 50 {
		g.request(2, time.Second)
		g.advance(time.Second)
	}
	if x := g.b.starvation[2].share; x != 0 {
		t.Errorf("with no host there is, %.2f is asked for", x)
	}
	g.updateEndpoints(ListFull, testHosts(1)...)
	for range 20 { // one holds the only host at a time, the others wait in vain
		var sent []RequestID
		note := func(acts []Action) {
			for _, a := range acts {
				if a.Kind == Send {
					sent = append(sent, a.Request)
				}
			}
		}
		for k := range 9 {
			g.request(min(k, 1)*2, time.Second)
			note(g.acts)
		}
		note(g.advance(200 * ms))
		for len(sent) > 0 {
			id := sent[0]
			sent = sent[1:]
			g.attemptEnded(id, 0, OK, 200*ms)
			note(g.acts)
		}
	}
	if x := g.b.starvation[2].share; x < maxStarvation {
		t.Fatalf("behind a full host %.2f is asked for", x)
	}
	g.advance(time.Duration(5e9 * g.b.starvationSpan()))
	for range 50 {
		id := g.request(0, time.Second)
		g.onlyAction(Send)
		g.attemptEnded(id, 0, OK, 10*ms)
	}
}
