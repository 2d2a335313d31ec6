package balancer

import (
	"math/rand"
	"testing"
	"time"
)

// simulateOverload simulates twelve seconds of twice the load that the hosts can serve. A third of the
// requests are bookings, which have a tight latency objective and five times the weight. It returns, by
// class, the number of requests in the last ten seconds and how many of them were served in time.
func simulateOverload(t *testing.T, seed int64) (requested, served [2]int) {
	p := newOverloadSimulation(t, seed)
	for step := range 12_000 {
		p.counting = step > 2000
		p.endJobs()
		p.sendRequests()
	}
	return p.requested, p.served
}

// overloadSimulation is a fleet of gateways and hosts that each serve one request at a time.
type overloadSimulation struct {
	random   *rand.Rand
	settings Settings
	fleet    *gatewayFleet
	jobs     [][]overloadJob // queue of each host
	class    map[*testGateway]map[RequestID]int

	counting          bool
	requested, served [2]int // totals by class while counting is set
}

// overloadJob is an attempt at a host and the time at which the host completes it.
type overloadJob struct {
	gateway   *testGateway
	id        RequestID
	class     int
	sent, end Time
}

func newOverloadSimulation(t *testing.T, seed int64) *overloadSimulation {
	const gatewayCount, hostCount = 20, 15
	settings := testSettings()
	settings.Step = ms
	settings.Instances = gatewayCount
	settings.Classes = lookupAndBookingClasses()
	p := &overloadSimulation{
		random:   rand.New(rand.NewSource(seed)),
		settings: settings,
		fleet:    newGatewayFleet(t, settings, gatewayCount, testHosts(hostCount)),
		jobs:     make([][]overloadJob, hostCount+1),
		class:    map[*testGateway]map[RequestID]int{},
	}
	for _, g := range p.fleet.gateways {
		p.class[g] = map[RequestID]int{}
	}
	return p
}

// startJobs appends the attempts among the actions to the queues of their hosts, with a mean work of 30 ms.
func (p *overloadSimulation) startJobs(g *testGateway, actions []Action) {
	for _, a := range actions {
		if a.Kind != Send {
			continue
		}
		queue := p.jobs[a.Host]
		start := g.now
		if len(queue) > 0 {
			start = max(start, queue[len(queue)-1].end)
		}
		work := Time(float64(30*ms) * p.random.ExpFloat64())
		p.jobs[a.Host] = append(queue, overloadJob{g, a.Request, p.class[g][a.Request], g.now, start + work})
	}
}

// endJobs ends the jobs that are complete.
func (p *overloadSimulation) endJobs() {
	now := p.fleet.gateways[0].now
	for host := range p.jobs {
		for len(p.jobs[host]) > 0 && p.jobs[host][0].end <= now {
			j := p.jobs[host][0]
			p.jobs[host] = p.jobs[host][1:]
			took := j.gateway.now - j.sent
			if p.counting && took <= p.settings.Classes[j.class].LatencyObjective {
				p.served[j.class]++
			}
			j.gateway.attemptEnded(j.id, 0, OK, took)
			p.startJobs(j.gateway, j.gateway.actions)
		}
	}
}

// sendRequests moves the clocks by a millisecond and sends 0.05 requests per millisecond and gateway.
func (p *overloadSimulation) sendRequests() {
	for _, g := range p.fleet.gateways {
		p.startJobs(g, g.advance(ms))
		if p.random.Float64() >= 0.05 {
			continue
		}
		class := 0
		if p.random.Intn(3) == 0 {
			class = 1
		}
		if p.counting {
			p.requested[class]++
		}
		p.class[g][g.next+1] = class
		g.request(class, p.settings.Classes[class].Deadline)
		p.startJobs(g, g.actions)
	}
}

// Under overload, requests of low weight are rejected in favor of those of high weight. These would
// otherwise be rejected first, because their tight latency objective limits how long they may wait.
func TestOverloadServesHighPriorityWeightFirst(t *testing.T) {
	var requested, served [2]int
	for seed := range int64(2) {
		seedRequested, seedServed := simulateOverload(t, seed)
		for class := range seedRequested {
			requested[class] += seedRequested[class]
			served[class] += seedServed[class]
		}
	}
	low, high := float64(served[0])/float64(requested[0]), float64(served[1])/float64(requested[1])
	t.Logf("lookups %.2f, bookings %.2f in time", low, high)
	if high < 1.2*low || low < 0.1 {
		t.Errorf("served in time: lookups %.2f, bookings %.2f, want at least 0.1 of the lookups and 1.2 times that share of the bookings",
			low, high)
	}
}

// No requests are rejected in favor of a class that finds hosts, or of the lowest class itself.
func TestRequestsDoNotYieldWhileHostsAreAvailable(t *testing.T) {
	g := newTestGateway(t, testSettings(), testHosts(3)...)
	for range 200 {
		for class := range 3 {
			id := g.request(class, time.Second)
			g.onlyAction(Send)
			g.attemptEnded(id, 0, OK, 10*ms)
		}
	}
	g.b.starvation.unserved[0].share = 1 // the lowest class cannot displace others, nor itself
	for range 50 {
		id := g.request(0, time.Second)
		g.onlyAction(Send)
		g.attemptEnded(id, 0, OK, 10*ms)
		g.b.starvation.unserved[0].share = 1
	}
}

// Requests that found no host count as starved only if others occupied the hosts, and the share decays: a
// class with few requests must not displace the others permanently.
func TestStarvationGrowsOnlyWhileOthersOccupyHosts(t *testing.T) {
	g := newTestGateway(t, testSettings())
	for range 50 {
		g.request(2, time.Second)
		g.advance(time.Second)
	}
	if x := g.b.starvation.unserved[2].share; x != 0 {
		t.Errorf("without hosts: starvation %.2f, want 0", x)
	}
	g.updateEndpoints(ListFull, testHosts(1)...)
	for range 20 { // one request occupies the only host, and the others wait until they are rejected
		var sent []RequestID
		recordSent := func(actions []Action) {
			for _, a := range actions {
				if a.Kind == Send {
					sent = append(sent, a.Request)
				}
			}
		}
		for k := range 9 {
			g.request(min(k, 1)*2, time.Second)
			recordSent(g.actions)
		}
		recordSent(g.advance(200 * ms))
		for len(sent) > 0 {
			id := sent[0]
			sent = sent[1:]
			g.attemptEnded(id, 0, OK, 200*ms)
			recordSent(g.actions)
		}
	}
	if x := g.b.starvation.unserved[2].share; x < maxStarvationShare {
		t.Fatalf("behind a full host: starvation %.2f, want %v or more", x, maxStarvationShare)
	}
	g.advance(time.Duration(5e9 * g.b.starvation.span))
	for range 50 {
		id := g.request(0, time.Second)
		g.onlyAction(Send)
		g.attemptEnded(id, 0, OK, 10*ms)
	}
}
