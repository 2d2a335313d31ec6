package simulator

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"dunemoor/balancer"
)

// gateway is a simulated gateway that runs the real balancer.
type gateway struct {
	id            int
	incarnation   uint32 // incremented at each stop
	running       bool
	activeOutages int           // number of active faults that keep it down
	stoppedAt     balancer.Time // time of the last stop, if it isn't running
	drainingSince balancer.Time // start of the draining period; 0: it isn't draining
	polls         uint32        // number of polls of the endpoint list so far
	watching      bool          // whether it receives changes of the endpoint list

	balancer        *balancer.Balancer
	networkRandom   *rand.Rand
	idleConnections map[int]connectionSet // by host id
	openRequests    map[balancer.RequestID]*request
}

// connectionSet counts the idle connections to an incarnation of a host.
type connectionSet struct {
	incarnation uint32
	count       int
}

const (
	// drainNoticeDelay is how long a draining gateway still receives new requests of clients.
	drainNoticeDelay = 300 * time.Millisecond
	// drainMargin is added to the longest deadline of a class: together they are the draining period of a gateway or
	// host.
	drainMargin = 700 * time.Millisecond
	// balancerSeedShift and incarnationBits place the run's seed, the gateway's id and its incarnation in the seed of
	// a balancer, so that each incarnation has its own seed.
	balancerSeedShift = 16
	incarnationBits   = 4
)

// startGateway starts a gateway with the current endpoint list, which is passed to its balancer as a list of the
// given kind.
func (s *simulation) startGateway(g *gateway, kind balancer.ListKind) error {
	settings := s.config.Settings
	settings.Rank = g.id
	seed := s.config.Seed<<balancerSeedShift + uint64(g.id)<<incarnationBits + uint64(g.incarnation)
	b, err := balancer.New(settings, seed)
	if err != nil {
		return err
	}
	g.balancer = b
	g.running = true
	g.drainingSince = 0
	g.watching = !s.config.Settings.Poll
	g.idleConnections = map[int]connectionSet{}
	g.openRequests = map[balancer.RequestID]*request{}
	list := s.endpointList()
	if settings.Poll {
		kind = balancer.ListSaved // only a poll returns a full list
	}
	s.deliver(g, func() {
		b.Start(s.now)
		b.UpdateEndpoints(s.now, kind, list)
	})
	return nil
}

// deliver passes an event to a gateway's balancer and executes the resulting actions.
func (s *simulation) deliver(g *gateway, event func()) {
	event()
	s.actions = g.balancer.TakeActions(s.actions[:0])
	for _, a := range s.actions {
		s.execute(g, &a)
	}
}

// execute executes an action that a gateway's balancer returned.
func (s *simulation) execute(g *gateway, a *balancer.Action) {
	switch a.Kind {
	case balancer.Send:
		s.send(g, a)
	case balancer.Cancel:
		s.cancel(g, a)
	case balancer.Reject:
		s.respondWithCause(g, a, outcomeRejected)
	case balancer.Fail:
		s.respondWithCause(g, a, outcomeFailed)
	case balancer.Wake:
		s.queue.push(event{
			at: max(a.At, s.now), kind: eventTimer, index: int32(g.id), incarnation: g.incarnation, number: a.Token,
		})
	case balancer.Close:
		s.closeIdleConnections(g, s.hosts[hostIndex(a.Host)])
	case balancer.Poll:
		s.poll(g)
	}
}

// respondWithCause delivers a rejection or a failure that the balancer decided on, and counts its cause.
func (s *simulation) respondWithCause(g *gateway, a *balancer.Action, o outcome) {
	r := g.openRequests[a.Request]
	if r == nil {
		return
	}
	if int(a.Cause) < causeCount {
		s.summary.Classes[r.class].Causes[a.Cause]++
	}
	retryAfter := time.Duration(0)
	if o == outcomeRejected {
		retryAfter = a.RetryAfter
	}
	s.respond(r, o, retryAfter)
	s.removeIfDone(r)
}

// timer passes a timer to the balancer, unless the gateway has stopped since it was set.
func (s *simulation) timer(g *gateway, incarnation uint32, token uint64) {
	if g.running && incarnation == g.incarnation {
		s.deliver(g, func() { g.balancer.Timer(s.now, token) })
	}
}

// removeIfDone removes a request from its gateway's open requests if it is done and has no attempt in flight.
func (s *simulation) removeIfDone(r *request) {
	if !r.done {
		return
	}
	for i := range r.attempts {
		if !r.attempts[i].ended {
			return
		}
	}
	delete(r.gateway.openRequests, r.id)
}

// closeIdleConnections closes a gateway's idle connections to a host.
func (s *simulation) closeIdleConnections(g *gateway, h *host) {
	if set := g.idleConnections[h.id]; set.incarnation == h.incarnation {
		h.connections -= set.count
	}
	delete(g.idleConnections, h.id)
}

// stopGateway stops a gateway immediately: its clients lose their connections.
func (s *simulation) stopGateway(g *gateway) {
	g.running = false
	g.stoppedAt = s.now
	g.incarnation++
	for id, set := range g.idleConnections {
		if h := s.hosts[id]; set.incarnation == h.incarnation {
			h.connections -= set.count
		}
	}
	open := g.openRequests
	g.openRequests = nil
	for _, r := range sortedByID(open) {
		for i := range r.attempts {
			if a := &r.attempts[i]; !a.ended && a.host.connections > 0 {
				a.host.connections--
			}
		}
		if !r.done {
			r.done = true
			s.clientDone(r, outcomeAbandoned, 0)
		}
	}
}

// restartGateway starts a gateway again, with its saved endpoint list.
func (s *simulation) restartGateway(g *gateway) {
	if err := s.startGateway(g, balancer.ListSaved); err != nil {
		panic(err) // the same settings were accepted before
	}
}

// changeOutages counts the start or the end of a fault that takes a gateway down. The gateway stops when the first
// such fault begins and restarts when the last one ends.
func (s *simulation) changeOutages(g *gateway, begins bool) {
	if begins {
		g.activeOutages++
		if g.activeOutages == 1 {
			s.stopGateway(g)
		}
		return
	}
	g.activeOutages--
	if g.activeOutages <= 0 {
		s.restartGateway(g)
	}
}

// gatewayDrained restarts a gateway at the end of its draining period, which is longer than any deadline. A request
// without a response by then is lost, which violates RuleLost.
func (s *simulation) gatewayDrained(g *gateway) {
	if !g.running || g.drainingSince == 0 {
		return // the gateway crashed while it was draining
	}
	for _, r := range sortedByID(g.openRequests) {
		if !r.done {
			s.violation(RuleLost, "request %d has no response when gateway %d stops after draining", r.id, g.id)
		}
	}
	s.changeOutages(g, true)
	s.changeOutages(g, false)
}

// seesResets reports whether a gateway gets resets from a partitioned host. Otherwise it gets no reply.
func (g *gateway) seesResets() bool { return g.id%2 == 1 }

// sortedByID returns requests sorted by id, because a run must not depend on the iteration order of a map.
func sortedByID(requests map[balancer.RequestID]*request) []*request {
	return slices.SortedFunc(maps.Values(requests), func(a, b *request) int { return cmp.Compare(a.id, b.id) })
}
