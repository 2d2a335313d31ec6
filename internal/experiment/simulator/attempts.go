package simulator

import (
	"time"

	"dunemoor/balancer"
)

// attempt is one attempt of a gateway to serve a request at a host.
type attempt struct {
	host            *host
	hostIncarnation uint32 // incarnation of the host when the attempt arrived
	sentAt          balancer.Time
	ended           bool // the result has been reported to the gateway's balancer
	canceled        bool
	newConnection   bool
}

// send executes a Send action of a gateway's balancer: it starts an attempt.
func (s *simulation) send(g *gateway, a *balancer.Action) {
	r := g.openRequests[a.Request]
	h := s.hosts[hostIndex(a.Host)]
	if r == nil || r.done {
		s.violation(RuleLost, "request %d is sent to a host after its final response", a.Request)
		return
	}
	s.checkSend(g, r, h)
	s.countSend(h)
	number := len(r.attempts)
	r.attempts = append(r.attempts, attempt{host: h, sentAt: s.now})
	s.queue.push(event{at: r.deadline, kind: eventAttemptTimeout, number: uint64(number), request: r})
	delay := s.networkDelay(g)
	set := g.idleConnections[h.id]
	if set.count > 0 && set.incarnation == h.incarnation {
		set.count--
		g.idleConnections[h.id] = set
		s.sendOnIdleConnection(r, number, delay)
		return
	}
	r.attempts[number].newConnection = true
	s.sendOnNewConnection(g, r, number, delay)
}

// countSend updates the counts of the Summary for an attempt at h.
func (s *simulation) countSend(h *host) {
	if s.warmShare(h) < 1 {
		s.currentSecond().WarmingAttempts++
	}
	if !h.running || h.silent || h.hung || h.responsesLost || h.partitioned {
		s.currentSecond().UnavailableAttempts++
	}
	s.summary.Attempts++
}

func (s *simulation) sendOnIdleConnection(r *request, number int, delay time.Duration) {
	h := r.attempts[number].host
	if h.silent || h.partitioned {
		s.checkExecution(h, r, number) // the execution can't be ruled out, because no response arrives
		return
	}
	s.queue.push(event{at: s.now + delay, kind: eventAttemptArrives, number: uint64(number), request: r})
}

// sendOnNewConnection opens a connection, which takes a round trip, and sends the attempt on it.
func (s *simulation) sendOnNewConnection(g *gateway, r *request, number int, delay time.Duration) {
	h := r.attempts[number].host
	const roundTrip = 2 // number of one-way delays in a round trip
	noReply := h.silent || (h.partitioned && !g.seesResets())
	full := h.MaxConnections > 0 && h.connections >= h.MaxConnections
	switch {
	case noReply:
		s.scheduleResult(s.now+s.config.Network.ConnectTimeout, balancer.ConnectFailed, number, r)
	case !h.running || h.partitioned || full:
		s.scheduleResult(s.now+roundTrip*delay, balancer.ConnectFailed, number, r)
	default:
		h.connections++
		s.summary.ConnectionsPerHost++
		s.currentSecond().Handshakes++
		s.queue.push(event{at: s.now + (roundTrip+1)*delay, kind: eventAttemptArrives, number: uint64(number), request: r})
	}
}

// scheduleResult schedules the arrival of an attempt's result at its gateway.
func (s *simulation) scheduleResult(at balancer.Time, result balancer.Result, number int, r *request) {
	s.queue.push(event{at: at, kind: eventAttemptResult, index: int32(result), number: uint64(number), request: r})
}

// networkDelay draws the one-way delay of a gateway's network.
func (s *simulation) networkDelay(g *gateway) time.Duration {
	delay := s.config.Network.Delay
	if spread := s.config.Network.DelaySpread; spread > 0 {
		delay += time.Duration(float64(delay) * spread * g.networkRandom.ExpFloat64())
	}
	return delay
}

// cancel executes a Cancel action of a gateway's balancer: the result of the attempt is Canceled.
func (s *simulation) cancel(g *gateway, a *balancer.Action) {
	r := g.openRequests[a.Request]
	if r == nil {
		return
	}
	attempt := &r.attempts[a.Attempt]
	if attempt.ended || attempt.canceled {
		return
	}
	attempt.canceled = true
	s.scheduleResult(s.now, balancer.Canceled, a.Attempt, r)
}

// attemptArrives handles the arrival of an attempt at its host.
func (s *simulation) attemptArrives(r *request, number int) {
	a := &r.attempts[number]
	h := a.host
	canceledOnItsWay := a.canceled && !a.ended
	switch {
	case canceledOnItsWay:
	case h.silent || h.partitioned:
		s.checkExecution(h, r, number) // the execution can't be ruled out, because no response arrives
	case !h.running:
		// The connection was established, so the reset may have been sent after the host received the last byte of
		// the request.
		s.scheduleResult(s.now+s.networkDelay(r.gateway), balancer.Reset, number, r)
	default:
		s.receive(h, r, number)
	}
}

// attemptResult handles the arrival of an attempt's result at its gateway.
func (s *simulation) attemptResult(r *request, number int, result balancer.Result) {
	gatewayStopped := !r.gateway.running || r.gateway.incarnation != r.gatewayIncarnation
	if r.attempts[number].ended || gatewayStopped {
		return
	}
	s.endAttempt(r, number, result)
}

// attemptTimeout ends an attempt that has no result at the request's deadline.
func (s *simulation) attemptTimeout(r *request, number int) {
	if r.attempts[number].ended || r.gateway.incarnation != r.gatewayIncarnation {
		return
	}
	s.endAttempt(r, number, balancer.TimedOut)
}

// endAttempt ends an attempt: it delivers a successful response to the client unless the request is done, and reports
// the result to the balancer. The attempt must not have ended before.
func (s *simulation) endAttempt(r *request, number int, result balancer.Result) {
	a := &r.attempts[number]
	a.ended = true
	s.releaseConnection(r.gateway, a, result)
	if result == balancer.OK && !r.done {
		s.respond(r, outcomeServed, 0)
	}
	s.deliver(r.gateway, func() {
		r.gateway.balancer.AttemptEnded(s.now, balancer.Outcome{
			Request: r.id,
			Attempt: number,
			Result:  result,
			Elapsed: s.now - a.sentAt,
			Closed:  r.done,
		})
	})
	s.removeIfDone(r)
}

// releaseConnection returns the connection of an attempt with a response to the idle connections, and closes it after
// a timeout or a cancellation.
func (s *simulation) releaseConnection(g *gateway, a *attempt, result balancer.Result) {
	h := a.host
	switch result {
	case balancer.OK, balancer.Failed, balancer.Full:
		if a.hostIncarnation != h.incarnation || !h.running {
			return
		}
		set := g.idleConnections[h.id]
		if set.incarnation != h.incarnation {
			set = connectionSet{incarnation: h.incarnation}
		}
		set.count++
		g.idleConnections[h.id] = set
	case balancer.TimedOut, balancer.Canceled:
		if h.running && h.connections > 0 {
			h.connections--
		}
	}
}
