package simulator

import (
	"slices"
	"time"

	"dunemoor/balancer"
)

// switchFault begins or ends a fault.
func (s *simulation) switchFault(index int, begins bool) {
	f := &s.config.Faults[index]
	if f.Kind == DiscoveryDown {
		s.changeDiscoveryOutages(begins)
		return
	}
	if begins {
		s.drawTargets(index)
	}
	targets := s.faultTargets[index]
	switch {
	case f.Kind.inSteps():
		if begins {
			s.scheduleSteps(index, targets)
		}
	case f.Kind == GatewayCrash:
		for _, target := range targets {
			s.changeOutages(s.gateways[target], begins)
		}
	default:
		for _, target := range targets {
			s.changeHostFaults(s.hosts[target], index, begins)
		}
	}
}

// drawTargets draws the target hosts or gateways of a fault that begins.
func (s *simulation) drawTargets(index int) {
	f := &s.config.Faults[index]
	if s.faultTargets == nil {
		s.faultTargets = make([][]int, len(s.config.Faults))
	}
	all := len(s.hosts)
	if f.Kind.targetsGateways() {
		all = len(s.gateways)
	}
	count := max(1, int(f.Share*float64(all)+0.5))
	s.faultTargets[index] = newStream(s.config.Seed, streamFaultTargets, index).Perm(all)[:count]
}

// scheduleSteps schedules the steps of a fault, with its targets spread over them.
func (s *simulation) scheduleSteps(index int, targets []int) {
	f := &s.config.Faults[index]
	steps := max(f.Steps, 1)
	interval := f.Duration / time.Duration(steps)
	for n, target := range targets {
		step := n * steps / len(targets)
		at := s.now + interval*time.Duration(step)
		s.queue.push(event{at: at, kind: eventFaultStep, index: int32(index), number: uint64(target)})
	}
}

// faultStep begins to drain a target of a fault with steps.
func (s *simulation) faultStep(index, target int) {
	if s.config.Faults[index].Kind == GatewayRestart {
		g := s.gateways[target]
		if !g.running || g.drainingSince != 0 {
			return
		}
		g.drainingSince = max(s.now, 1) // 0 means that it isn't draining
	} else {
		old := s.hosts[target]
		if old.replaced || !old.running || old.state != balancer.Ready {
			return // another fault affects it
		}
		s.replaceHost(old)
	}
	s.queue.push(event{
		at: s.now + s.longestDeadline() + drainMargin, kind: eventDrained, index: int32(index), number: uint64(target),
	})
}

// replaceHost starts a new host in place of another one, which begins to drain.
func (s *simulation) replaceHost(old *host) {
	old.replaced = true
	h := s.addHost(old.HostGroup, old.cell)
	s.startHost(h)
	s.setState(h, balancer.Ready, s.config.Endpoints.UpdateDelay)
	s.setState(old, balancer.Draining, s.config.Endpoints.UpdateDelay)
}

func (s *simulation) longestDeadline() time.Duration {
	longest := time.Duration(0)
	for _, class := range s.config.Settings.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}

// drained handles the end of the draining period of a target of a fault with steps.
func (s *simulation) drained(f *Fault, target int) {
	if f.Kind == GatewayRestart {
		s.gatewayDrained(s.gateways[target])
		return
	}
	h := s.hosts[target]
	s.stopHost(h, true)
	s.setState(h, balancer.Removed, s.config.Endpoints.UpdateDelay)
}

// impairment is the combined effect of all active faults of a host.
type impairment struct {
	down          bool // the host's process must not run
	silent        bool // packets to the host are lost
	draining      bool
	hung          bool
	responsesLost bool
	partitioned   bool
	slowdown      float64 // factor, at least 1
	errorShare    float64 // share of the responses that are immediate errors
	lossyShare    float64 // share of the responses that are lost or replaced by resets
}

// unimpaired is the impairment of a host without faults.
var unimpaired = impairment{slowdown: 1}

// listedState returns the state that a running host has in endpoint lists.
func (i *impairment) listedState() balancer.HostState {
	if i.draining {
		return balancer.Draining
	}
	return balancer.Ready
}

// impairmentOf combines the active faults of a host, which may overlap. The host is down until the last fault that
// takes it down has ended, and the largest slowdown and shares apply.
func (s *simulation) impairmentOf(h *host) impairment {
	result := unimpaired
	for _, index := range h.activeFaults {
		f := &s.config.Faults[index]
		switch f.Kind {
		case Crash:
			result.down = true
		case Vanish:
			result.down = true
			result.silent = true
		case Drain:
			result.draining = true
		case Hang:
			result.hung = true
		case ResponsesLost:
			result.responsesLost = true
		case Partition:
			result.partitioned = true
		case LossyResponses:
			result.lossyShare = max(result.lossyShare, f.Severity)
		case Slow:
			result.slowdown = max(result.slowdown, f.Severity)
		case Errors:
			result.errorShare = max(result.errorShare, f.Severity)
		}
	}
	return result
}

// changeHostFaults adds a fault to the active faults of a host, or removes it, and applies the change.
func (s *simulation) changeHostFaults(h *host, index int, begins bool) {
	s.advance(h)
	before := h.impairment
	if begins {
		h.activeFaults = append(h.activeFaults, index)
	} else {
		h.activeFaults = slices.DeleteFunc(h.activeFaults, func(active int) bool { return active == index })
	}
	now := s.impairmentOf(h)
	s.changeProcess(h, &before, &now, s.config.Faults[index].Kind)
	h.impairment = now
	s.changePartition(h, &before, &now)
	s.reschedule(h)
}

// changeProcess stops or starts a host's process and changes its listed state if a change of its faults requires it.
// kind is the kind of the fault that begins or ends.
func (s *simulation) changeProcess(h *host, before, now *impairment, kind FaultKind) {
	lists := &s.config.Endpoints
	switch {
	case now.down && before.down:
	case now.down:
		s.stopHost(h, kind == Crash)
		s.setState(h, balancer.Removed, lists.FailureDelay)
	case before.down:
		s.startHost(h)
		s.setState(h, now.listedState(), lists.UpdateDelay)
	case now.draining && !before.draining:
		s.setState(h, balancer.Draining, lists.UpdateDelay)
	case before.draining && !now.draining:
		s.stopHost(h, true)
		s.startHost(h)
		s.setState(h, balancer.Ready, lists.UpdateDelay)
	}
}

// changePartition partitions a host, or ends its partition.
func (s *simulation) changePartition(h *host, before, now *impairment) {
	if now.partitioned && !before.partitioned {
		s.partition(h)
	}
	connectedAgain := before.partitioned && !now.partitioned
	if connectedAgain && !now.down && h.state == balancer.Removed {
		s.setState(h, now.listedState(), s.config.Endpoints.UpdateDelay)
	}
}

// partition makes a host unreachable. Gateways that see resets lose their connections and attempts to it immediately.
func (s *simulation) partition(h *host) {
	for _, g := range s.gateways {
		if !g.running || !g.seesResets() {
			continue
		}
		s.closeIdleConnections(g, h)
		for _, r := range sortedByID(g.openRequests) {
			for i := range r.attempts {
				if a := &r.attempts[i]; !a.ended && a.host == h {
					s.scheduleResult(s.now+s.networkDelay(g), balancer.Reset, i, r)
				}
			}
		}
	}
	at := s.now + s.config.Endpoints.FailureDelay
	s.queue.push(event{at: at, kind: eventPartitionDetected, index: int32(h.id)})
}

// partitionDetected removes a host from the endpoint lists if it is still partitioned.
func (s *simulation) partitionDetected(h *host) {
	if h.partitioned && h.state == balancer.Ready {
		s.setState(h, balancer.Removed, 0)
	}
}
