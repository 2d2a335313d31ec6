package simulator

import (
	"time"

	"dunemoor/balancer"
)

// pollTimeout is how long a poll waits to be served by discovery.
const pollTimeout = time.Second

// hostIndex returns the index in simulation.hosts of the host with an ID from an endpoint list. These IDs start at 1.
func hostIndex(id balancer.HostID) int { return int(id) - 1 }

// endpoint returns the entry of a host in endpoint lists.
func endpoint(h *host) balancer.Host {
	return balancer.Host{
		ID:      balancer.HostID(h.id + 1),
		Zone:    h.Zone,
		Cell:    h.cell,
		State:   h.state,
		Started: h.startedAt,
	}
}

// endpointList returns the full endpoint list.
func (s *simulation) endpointList() []balancer.Host {
	list := make([]balancer.Host, 0, len(s.hosts))
	for _, h := range s.hosts {
		if h.state != balancer.Removed {
			list = append(list, endpoint(h))
		}
	}
	return list
}

// setState changes the listed state of a host. Each gateway receives the change after delay plus a random part of
// EndpointLists.Spread.
func (s *simulation) setState(h *host, state balancer.HostState, delay time.Duration) {
	h.state = state
	for i := range s.gateways {
		at := s.now + delay
		if spread := s.config.Endpoints.Spread; spread > 0 {
			at += time.Duration(s.listDelayRandom.Float64() * float64(spread))
		}
		s.queue.push(event{at: at, kind: eventEndpointUpdate, index: int32(i), number: uint64(h.id)})
	}
}

// updateEndpoint delivers the current state of a host to a gateway.
func (s *simulation) updateEndpoint(g *gateway, h *host) {
	if g.watching || !s.config.Settings.Poll {
		s.recordDrainNotice(g, h)
	}
	if g.running && g.watching {
		s.deliver(g, func() {
			g.balancer.UpdateEndpoints(s.now, balancer.ListChanges, []balancer.Host{endpoint(h)})
		})
	}
}

// recordDrainNotice records, for RuleDrain, when a gateway was notified that a host no longer accepts requests.
func (s *simulation) recordDrainNotice(g *gateway, h *host) {
	if h.drainNoticeAt == nil {
		h.drainNoticeAt = make([]balancer.Time, len(s.gateways))
	}
	if h.state == balancer.Ready {
		h.drainNoticeAt[g.id] = 0
	} else if h.drainNoticeAt[g.id] == 0 {
		h.drainNoticeAt[g.id] = max(s.now, 1) // 0 means that there was no notice
	}
}

// poll starts a gateway's poll of the endpoint list. Discovery serves polls one at a time.
func (s *simulation) poll(g *gateway) {
	s.currentSecond().Polls++
	g.polls++
	e := event{kind: eventPollDone, index: int32(g.id), poll: g.polls}
	start := max(s.now, s.discoveryBusyUntil)
	switch {
	case s.discoveryOutages > 0:
		e.at = s.now + s.config.Network.Delay
	case start-s.now > pollTimeout:
		e.at = s.now + pollTimeout
	default:
		s.discoveryBusyUntil = start + s.config.Endpoints.PollTime
		e.at = s.discoveryBusyUntil
		e.number = 1
	}
	s.queue.push(e)
}

// pollDone handles the end of a poll, which is identified by its number. After a success the gateway receives the
// full list, and changes from then on. The end is ignored if the gateway has started another poll since.
func (s *simulation) pollDone(g *gateway, poll uint32, succeeded bool) {
	if !g.running || poll != g.polls {
		return
	}
	g.watching = succeeded && s.discoveryOutages == 0
	if !g.watching {
		s.endpointListFailed(g)
		return
	}
	for _, h := range s.hosts {
		s.recordDrainNotice(g, h)
	}
	list := s.endpointList()
	s.deliver(g, func() { g.balancer.UpdateEndpoints(s.now, balancer.ListFull, list) })
}

func (s *simulation) endpointListFailed(g *gateway) {
	s.deliver(g, func() { g.balancer.UpdateEndpoints(s.now, balancer.ListFailed, nil) })
}

// changeDiscoveryOutages counts the start or the end of a fault that makes discovery unavailable. The start ends the
// watches of all gateways.
func (s *simulation) changeDiscoveryOutages(begins bool) {
	if !begins {
		s.discoveryOutages--
		return
	}
	s.discoveryOutages++
	for _, g := range s.gateways {
		if g.running && s.config.Settings.Poll && g.watching {
			g.watching = false
			s.endpointListFailed(g)
		}
	}
}
