package balancer

import (
	"math/rand"
	"testing"
	"time"
)

func TestSlowStartPacesWarmingHost(t *testing.T) {
	settings := testSettings()
	g := newTestGateway(t, settings, testHosts(3)...)
	// The hosts are warm and respond to 100 requests per second together; then the third one restarts.
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
		for _, rateKnown := range []bool{false, true} {
			settings := testSettings()
			settings.Instances = instances
			list := testHosts(max(2, instances/6))
			starting := list[0].ID
			users, sends, capacity := 0, 0, 60.0 // capacity is the responses per second of a warm host
			for rank := range instances {
				settings.Rank = rank
				g := newTestGateway(t, settings, list...)
				if rateKnown {
					g.b.pacer.warmHostRate.add(capacity / g.b.sharingInstances())
				}
				g.updateEndpoints(ListChanges, Host{ID: starting, Cell: list[0].Cell, Zone: list[0].Zone, Started: g.now})
				for range 40 { // one overload window, with more requests than the warming host can serve
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
				t.Errorf("%d instances, rate known %v: %d requests sent in an overload window, want at most %.0f",
					instances, rateKnown, sends, budget)
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
		t.Errorf("actions %v at once, want none before a rate of warm hosts is known", g.actions)
	}
}

// A measured rate that has decayed to almost nothing must still limit the interval between attempts at a
// warming host.
func TestSlowStartPacesHostAfterLongIdleTime(t *testing.T) {
	g := newTestGateway(t, testSettings(), Host{ID: 1})
	g.serve(20, 0, func(HostID) time.Duration { return 10 * ms })
	for _, idle := range []time.Duration{time.Minute, 10 * time.Minute, time.Hour} {
		g.now += idle
		g.updateEndpoints(ListFull, Host{ID: 1}, Host{ID: 2, Started: g.now})
		h := g.b.byID[2]
		if gap := h.slowStart.nextSend - g.now; gap <= 0 || gap > g.b.settings.OverloadWindow*3/2 {
			t.Errorf("next attempt at the warming host in %v after an idle time of %v, want at most one and a half overload windows",
				gap, idle)
		}
		g.updateEndpoints(ListFull, Host{ID: 1})
	}
}

// If there is only one host, it is paced after a restart by the rate measured before it left the list,
// because no warm host exists from which a rate could be measured.
func TestSlowStartOfOnlyHostUsesPreviousRate(t *testing.T) {
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
	// The warm host served 100 requests per second; the budget is 2.5 x 0.3 of that, half of which is used.
	if sends < 10 || sends > 50 {
		t.Errorf("%d requests sent in the first second, want 10 to 50", sends)
	}
}

// A warming host that leaves the list and returns is still paced.
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

// The hosts of a zone leave the list and return warming to 80 gateways: what all gateways together send to
// each of these hosts must stay within the slow-start budget in every overload window, and use a good part
// of it.
func TestSlowStartBudgetHoldsForReturningZone(t *testing.T) {
	settings := testSettings()
	const gatewayCount, hostCount, lostHosts = 80, 60, 20
	const rate = 20 // requests per second and gateway
	list := testHosts(hostCount)
	for i := range list {
		list[i].Zone = i % 3
		list[i].Kind = 0
	}
	p := &fleetSimulation{
		random: rand.New(rand.NewSource(9)), fleet: newGatewayFleet(t, settings, gatewayCount, list),
		rate: rate, rtt: 20 * ms, sends: map[HostID][]Time{},
	}
	p.run(5 * time.Second)
	var removed, returned []Host
	for _, h := range list {
		if h.Zone == 0 {
			h.State = Removed
			removed = append(removed, h)
		}
	}
	p.fleet.updateEndpoints(removed...)
	p.run(3 * time.Second)
	started := p.fleet.gateways[0].now
	for _, h := range removed {
		h.State = Ready
		h.Started = started
		returned = append(returned, h)
	}
	p.fleet.updateEndpoints(returned...)
	clear(p.sends)
	p.run(settings.SlowStartWindow)
	capacity := float64(gatewayCount*rate) / (hostCount - lostHosts) // lowest rate of a warm host during the slow start
	used, budget := 0.0, 0.0
	for _, h := range returned {
		times := p.sends[h.ID]
		checkSlowStartBudget(t, settings, h, times, capacity)
		if len(times) == 0 {
			t.Errorf("host %d received no requests while warming, want some", h.ID)
		}
		used += float64(len(times))
		budget += capacity * (1 + settings.SlowStartShare) / 2 * settings.OverloadFactor * settings.SlowStartWindow.Seconds()
	}
	t.Logf("%.0f requests sent to warming hosts of a budget of %.0f", used, budget)
	if used < 0.15*budget {
		t.Errorf("%.0f requests sent to warming hosts of a budget of %.0f, want 15%% or more", used, budget)
	}
}

// checkSlowStartBudget compares the number of requests sent to a warming host in each overload window with
// its budget. capacity is the capacity of a warm host in requests per second.
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

// fleetSimulation sends requests through a fleet, all with the same RTT, and records the times at which
// each host was sent one.
type fleetSimulation struct {
	random   *rand.Rand
	fleet    *gatewayFleet
	rate     float64 // requests per second and gateway
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

// run advances the simulation by d.
func (p *fleetSimulation) run(d time.Duration) {
	const step = 10 * ms
	for ; d > 0; d -= step {
		p.endAttempts()
		for _, g := range p.fleet.gateways {
			p.recordSends(g, g.advance(step))
			if p.random.Float64() < p.rate*step.Seconds() {
				g.request(0, time.Second)
				p.recordSends(g, g.actions)
			}
		}
	}
}

// endAttempts ends the attempts that have been in flight for the RTT.
func (p *fleetSimulation) endAttempts() {
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
		p.recordSends(a.gateway, a.gateway.actions)
	}
}

func (p *fleetSimulation) recordSends(g *testGateway, actions []Action) {
	for _, a := range actions {
		if a.Kind == Send {
			p.inFlight = append(p.inFlight, fleetAttempt{g, a.Request, g.now})
			p.sends[a.Host] = append(p.sends[a.Host], g.now)
		}
	}
}
