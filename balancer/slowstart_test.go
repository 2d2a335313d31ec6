package balancer

import (
	"math/rand"
	"testing"
	"time"
)

func TestSlowStartPacesWarmingHost(t *testing.T) {
	settings := testSettings()
	g := newTestGateway(t, settings, testHosts(3)...)
	// Two warm hosts at 50 responses a second each, then the third restarts.
	serve := func(n int) map[HostID]int { return g.serve(n, 0, func(HostID) time.Duration { return 10 * ms }) }
	serve(600)
	rate := g.b.pacer.warmHostRate.mean
	h := testHosts(3)[2]
	h.Started = g.now
	g.updateEndpoints(ListChanges, h)
	got := serve(100) // one second
	most := rate*settings.OverloadFactor*0.4*slowStartBudgetShare + 2
	if n := float64(got[3]); n > most || n == 0 {
		t.Errorf("%v requests sent in the first second at a warm rate of %.0f, want 1 to %.0f", n, rate, most)
	}
	serve(900)
	if got := serve(300); got[3] < 60 {
		t.Errorf("requests by host %v once warm, want 60 or more to host 3", got)
	}
}

// All instances together stay within the slow-start budget of a warming host, however many they are.
func TestSlowStartBudgetHoldsAcrossInstances(t *testing.T) {
	for _, instances := range []int{1, 30, 300, 1200} {
		for _, learnt := range []bool{false, true} {
			settings := testSettings()
			settings.Instances = instances
			list := testHosts(max(2, instances/6))
			starting := list[0].ID
			users, sends, capacity := 0, 0, 60.0 // responses a second of a warm host
			for rank := range instances {
				settings.Rank = rank
				g := newTestGateway(t, settings, list...)
				if learnt {
					g.b.pacer.warmHostRate.add(capacity / g.b.sharingInstances())
				}
				g.updateEndpoints(ListChanges, Host{ID: starting, Cell: list[0].Cell, Zone: list[0].Zone, Started: g.now})
				for range 40 { // an overload window, with more requests than the warming host can do
					id := g.request(0, time.Second)
					if len(g.actions) == 1 && g.actions[0].Kind == Send {
						if g.actions[0].Host == starting {
							sends++
						}
						g.attemptEnded(id, 0, Full, ms)
					}
					g.advance(settings.OverloadWindow / 40)
				}
				if g.b.byID[starting].inSubset() {
					users++
				}
			}
			if users == 0 {
				t.Errorf("%d instances: no subset contains the warming host, want one or more", instances)
			}
			if budget := capacity * settings.SlowStartShare * settings.OverloadFactor; float64(sends) > budget {
				t.Errorf("%d instances, learnt %v: %d requests sent in an overload window, want at most %.0f",
					instances, learnt, sends, budget)
			}
		}
	}
}

func TestSlowStartBudgetCountsRejectedAttempts(t *testing.T) {
	settings := testSettings()
	list := testHosts(1)
	list[0].Started = time.Hour - time.Second
	g := newTestGateway(t, settings, list...)
	g.advance(settings.OverloadWindow * 3 / 2)
	id := g.request(0, time.Second)
	g.onlyAction(Send)
	g.attemptEnded(id, 0, Full, ms)
	if len(g.actions) != 0 {
		t.Errorf("actions %v at once, want none while no rate of warm hosts is known", g.actions)
	}
}

// A learnt rate that has decayed to almost nothing still paces a warming host.
func TestSlowStartPacesHostAfterLongIdleTime(t *testing.T) {
	g := newTestGateway(t, testSettings(), Host{ID: 1})
	g.serve(20, 0, func(HostID) time.Duration { return 10 * ms })
	for _, idle := range []time.Duration{time.Minute, 10 * time.Minute, time.Hour} {
		g.now += idle
		g.updateEndpoints(ListFull, Host{ID: 1}, Host{ID: 2, Started: g.now})
		h := g.b.byID[2]
		if gap := h.slowStart.nextSend - g.now; gap <= 0 || gap > g.b.settings.OverloadWindow*3/2 {
			t.Errorf("next send to the warming host %v from now after %v, want at most one and a half overload windows",
				gap, idle)
		}
		g.updateEndpoints(ListFull, Host{ID: 1})
	}
}

// The only host of a site is paced by the rate learnt before it left, as there is no warm host to
// learn from.
func TestSlowStartOfOnlyHostUsesLearntRate(t *testing.T) {
	g := newTestGateway(t, testSettings(), testHosts(1)...)
	g.serve(300, 0, func(HostID) time.Duration { return 10 * ms })
	h := testHosts(1)[0]
	g.updateEndpoints(ListFull)
	h.Started = g.now
	g.updateEndpoints(ListFull, h)
	sends := 0
	for end := g.now + time.Second; g.now < end; {
		g.request(0, 500*ms)
		sent := g.actions
		for _, a := range append(append([]Action(nil), sent...), g.advance(10*ms)...) {
			if a.Kind == Send {
				sends++
				g.attemptEnded(a.Request, 0, OK, 10*ms)
			}
		}
	}
	// A warm host took 100 a second; the budget is 2.5 x 0.3 of that, half used.
	if sends < 10 || sends > 50 {
		t.Errorf("%d requests sent in the first second, want 10 to 50", sends)
	}
}

// A warming host that leaves the list and returns keeps its pacing.
func TestSlowStartPacingSurvivesEndpointFlapping(t *testing.T) {
	list := testHosts(1)
	list[0].Started = time.Hour - time.Second
	g := newTestGateway(t, testSettings(), list...)
	g.advance(1500 * ms)
	id := g.request(0, time.Second)
	g.onlyAction(Send)
	g.attemptEnded(id, 0, OK, ms)
	g.updateEndpoints(ListFull)
	g.updateEndpoints(ListFull, list...)
	g.request(0, time.Second)
	if len(g.actions) != 0 {
		t.Errorf("actions %v at once after the host returned, want none", g.actions)
	}
}

// A zone is lost and returns warming to 80 gateways: what all of them send to each of its hosts stays
// within the slow-start budget in every overload window, and uses a good part of it.
func TestSlowStartBudgetHoldsForReturningZone(t *testing.T) {
	settings := testSettings()
	const gatewayCount, hostCount, lostHosts = 80, 60, 20
	const rate = 20 // requests a second of a gateway
	list := testHosts(hostCount)
	for i := range list {
		list[i].Zone = i % 3
		list[i].Kind = 0
	}
	p := &fleetPlay{
		random: rand.New(rand.NewSource(9)), fleet: newGatewayFleet(t, settings, gatewayCount, list),
		rate: rate, rtt: 20 * ms, sends: map[HostID][]Time{},
	}
	p.play(5 * time.Second)
	var removed, returned []Host
	for _, h := range list {
		if h.Zone == 0 {
			h.State = Removed
			removed = append(removed, h)
		}
	}
	p.fleet.updateEndpoints(removed...)
	p.play(3 * time.Second)
	started := p.fleet.gateways[0].now
	for _, h := range removed {
		h.State = Ready
		h.Started = started
		returned = append(returned, h)
	}
	p.fleet.updateEndpoints(returned...)
	clear(p.sends)
	p.play(settings.SlowStartWindow)
	capacity := float64(gatewayCount*rate) / (hostCount - lostHosts) // least rate of a warm host meanwhile
	used, budget := 0.0, 0.0
	for _, h := range returned {
		times := p.sends[h.ID]
		checkSlowStartBudget(t, settings, h, times, capacity)
		if len(times) == 0 {
			t.Errorf("host %d received nothing while warming, want some requests", h.ID)
		}
		used += float64(len(times))
		budget += capacity * (1 + settings.SlowStartShare) / 2 * settings.OverloadFactor * settings.SlowStartWindow.Seconds()
	}
	t.Logf("%.0f requests sent to warming hosts of a budget of %.0f", used, budget)
	if used < 0.15*budget {
		t.Errorf("%.0f requests sent to warming hosts of a budget of %.0f, want 15%% or more", used, budget)
	}
}

// checkSlowStartBudget compares the requests sent to a warming host in each overload window with its
// budget, for a capacity in requests a second.
func checkSlowStartBudget(t *testing.T, settings Settings, h Host, sends []Time, capacity float64) {
	t.Helper()
	for first, at := range sends {
		end := first
		for end < len(sends) && sends[end] < at+settings.OverloadWindow {
			end++
		}
		age := at - h.Started
		share := settings.SlowStartShare + (1-settings.SlowStartShare)*float64(age)/float64(settings.SlowStartWindow)
		most := capacity * share * settings.OverloadFactor * settings.OverloadWindow.Seconds()
		if float64(end-first) > most {
			t.Fatalf("host %d: %d requests sent within an overload window, %v after its start, want at most %.0f",
				h.ID, end-first, age, most)
		}
	}
}

// fleetPlay sends requests through a fleet, each answered after the same time, and notes when each
// host was sent one.
type fleetPlay struct {
	random   *rand.Rand
	fleet    *gatewayFleet
	rate     float64 // requests a second of a gateway
	rtt      time.Duration
	inFlight []fleetAttempt
	sends    map[HostID][]Time
}

// fleetAttempt is an attempt in flight.
type fleetAttempt struct {
	gateway *testGateway
	id      RequestID
	sent    Time
}

// play lets the time pass.
func (p *fleetPlay) play(d time.Duration) {
	const step = 10 * ms
	for ; d > 0; d -= step {
		p.endAttempts()
		for _, g := range p.fleet.gateways {
			p.noteSends(g, g.advance(step))
			if p.random.Float64() < p.rate*step.Seconds() {
				g.request(0, time.Second)
				p.noteSends(g, g.actions)
			}
		}
	}
}

// endAttempts ends the attempts whose time has passed.
func (p *fleetPlay) endAttempts() {
	var due, remaining []fleetAttempt
	for _, a := range p.inFlight {
		if a.gateway.now-a.sent < p.rtt {
			remaining = append(remaining, a)
		} else {
			due = append(due, a)
		}
	}
	p.inFlight = remaining
	for _, a := range due {
		a.gateway.attemptEnded(a.id, 0, OK, p.rtt)
		p.noteSends(a.gateway, a.gateway.actions)
	}
}

func (p *fleetPlay) noteSends(g *testGateway, actions []Action) {
	for _, a := range actions {
		if a.Kind == Send {
			p.inFlight = append(p.inFlight, fleetAttempt{g, a.Request, g.now})
			p.sends[a.Host] = append(p.sends[a.Host], g.now)
		}
	}
}
