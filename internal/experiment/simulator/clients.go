package simulator

import (
	"cmp"
	"slices"
	"time"

	"dunemoor/balancer"
)

// request is one request of a client. A retry is a separate request.
type request struct {
	id          balancer.RequestID
	class       int
	client      uint64 // random number that identifies the client and determines its behavior
	retries     int    // number of earlier requests of the client for the same first request
	firstSentAt balancer.Time
	sentAt      balancer.Time
	deadline    balancer.Time
	work        float64 // CPU time, in seconds of a core of speed 1

	gateway            *gateway
	gatewayIncarnation uint32
	done               bool // the client has its final response, or has disconnected
	disconnectedEarly  bool // the client disconnected before its deadline and doesn't retry
	responses          int
	attempts           []attempt

	executions int
	executedAt balancer.Time // time of the first execution
	executedBy *host         // host of the first execution
}

const (
	// earlyDisconnectDivisor sets when a client that disconnects early does so: after its deadline divided by this number.
	earlyDisconnectDivisor = 4
	// immediateRetryFactor multiplies the maximum number of retries of clients that retry immediately, and divides
	// their backoff.
	immediateRetryFactor = 4
	// maxBackoffDoublings is how often the backoff is doubled at most.
	maxBackoffDoublings = 16
)

// outcome is the final result of a request for its client.
type outcome uint8

const (
	outcomeServed outcome = iota
	outcomeRejected
	outcomeFailed
	outcomeAbandoned
)

// scheduleFirstRequest schedules the next first request of a class. Arrivals are a Poisson process at the highest
// rate, thinned to the current rate, so that the time of a burst doesn't change the arrivals outside the burst.
func (s *simulation) scheduleFirstRequest(class int) {
	rate := s.config.Classes[class].Rate
	if rate <= 0 {
		return
	}
	maxRate := rate * s.maxBurstFactor(class)
	at := s.now
	random := s.arrivalRandom[class]
	for {
		at += balancer.Time(random.ExpFloat64() / maxRate * 1e9)
		if at >= s.config.Length {
			return
		}
		if random.Float64()*maxRate < rate*s.burstFactor(class, at) {
			break
		}
	}
	s.queue.push(event{at: at, kind: eventFirstRequest, index: int32(class)})
}

// burstFactor returns the factor by which bursts multiply the rate of a class at a time.
func (s *simulation) burstFactor(class int, at balancer.Time) float64 {
	factor := 1.0
	for _, b := range s.config.Bursts {
		active := at >= b.At && at < b.At+b.Duration
		if active && s.burstOfClass(&b, class) {
			factor *= b.Factor
		}
	}
	return factor
}

// maxBurstFactor returns an upper bound of burstFactor for a class.
func (s *simulation) maxBurstFactor(class int) float64 {
	factor := 1.0
	for _, b := range s.config.Bursts {
		if b.Factor > 1 && s.burstOfClass(&b, class) {
			factor *= b.Factor
		}
	}
	return factor
}

func (s *simulation) burstOfClass(b *Burst, class int) bool {
	return b.Class == "" || b.Class == s.config.Classes[class].Name
}

// firstRequest sends the first request of a new client.
func (s *simulation) firstRequest(class int) {
	s.scheduleFirstRequest(class)
	t := &s.config.Classes[class]
	cv := cmp.Or(t.CV, 1)
	distribution := cmp.Or(t.Distribution, Exponential)
	r := &request{
		class:       class,
		firstSentAt: s.now,
		client:      s.clientRandom.Uint64(),
		work:        distribution.draw(s.workRandom[class], t.MeanWork.Seconds(), cv),
	}
	s.summary.Classes[class].FirstRequests++
	s.summary.Seconds[int(s.now.Seconds())].FirstRequests++
	s.sendRequest(r)
}

// sendRequest sends a request of a client to a gateway.
func (s *simulation) sendRequest(r *request) {
	s.lastRequestID++
	r.id = s.lastRequestID
	r.sentAt = s.now
	r.deadline = s.now + s.config.Settings.Classes[r.class].Deadline
	s.summary.Classes[r.class].Requests++
	g := s.pickGateway()
	if g == nil || !g.running {
		s.clientDone(r, outcomeAbandoned, 0) // no gateway accepts the connection
		return
	}
	r.gateway = g
	r.gatewayIncarnation = g.incarnation
	s.summary.Gateways[g.id].Requests++
	g.openRequests[r.id] = r
	s.queue.push(event{at: r.deadline + responseGracePeriod, kind: eventClientDisconnects, request: r})
	if share := s.config.Clients.DisconnectEarly; share > 0 && s.earlyDisconnectRandom.Float64() < share {
		at := s.now + (r.deadline-s.now)/earlyDisconnectDivisor
		s.queue.push(event{at: at, kind: eventClientDisconnects, number: 1, request: r})
	}
	s.deliver(g, func() {
		g.balancer.Request(s.now, balancer.Request{
			ID:        r.id,
			Class:     r.class,
			Remaining: r.deadline - s.now,
			Duplicate: r.retries > 0,
		})
	})
}

// pickGateway returns a gateway for a request of a client, among those that are not known to be down or draining. It
// returns nil if there is none.
func (s *simulation) pickGateway() *gateway {
	first := 0
	if s.config.TrafficSkew > 0 {
		total := s.trafficShares[len(s.trafficShares)-1]
		first, _ = slices.BinarySearch(s.trafficShares, s.gatewayChoiceRandom.Float64()*total)
	} else {
		first = s.gatewayChoiceRandom.IntN(len(s.gateways))
	}
	for i := range s.gateways {
		g := s.gateways[(first+i)%len(s.gateways)]
		if s.receivesClients(g) {
			return g
		}
	}
	return nil
}

// receivesClients reports whether new requests of clients are routed to a gateway. A stopped or draining gateway
// still receives requests until its state is noticed.
func (s *simulation) receivesClients(g *gateway) bool {
	if !g.running {
		return s.now < g.stoppedAt+s.config.Clients.FailoverDelay
	}
	return g.drainingSince == 0 || s.now < g.drainingSince+drainNoticeDelay
}

// respond delivers the final response to a request.
func (s *simulation) respond(r *request, o outcome, retryAfter time.Duration) {
	r.responses++
	if r.responses > 1 || (r.done && o != outcomeServed) {
		s.violation(RuleLost, "request %d is done and gets response %d", r.id, r.responses)
		return
	}
	if s.now > r.deadline+responseGracePeriod {
		s.violation(RuleLost, "request %d gets its response %v after its deadline", r.id, s.now-r.deadline)
	}
	r.done = true
	if o == outcomeRejected {
		s.summary.Gateways[r.gateway.id].Rejected++
	}
	s.clientDone(r, o, retryAfter)
}

// clientDone handles the end of a request at its client: the client retries, or the outcome is counted as final.
func (s *simulation) clientDone(r *request, o outcome, retryAfter time.Duration) {
	if o == outcomeRejected {
		s.currentSecond().Rejected++
	}
	immediate := s.retriesImmediately(r.client)
	limit := s.config.Clients.MaxRetries
	if immediate {
		limit *= immediateRetryFactor
	}
	if o == outcomeServed || r.disconnectedEarly || r.retries >= limit {
		s.countOutcome(r, o)
		return
	}
	at := s.now + s.retryDelay(r, retryAfter, immediate)
	next := &request{class: r.class, firstSentAt: r.firstSentAt, client: r.client, work: r.work, retries: r.retries + 1}
	s.queue.push(event{at: at, kind: eventRetry, request: next})
}

// retriesImmediately reports whether a client belongs to the share Clients.RetryImmediately. It uses the lower 32
// bits of the client's number, honorsRetryAfter the upper 53.
func (s *simulation) retriesImmediately(client uint64) bool {
	share := s.config.Clients.RetryImmediately
	return share > 0 && float64(client&(1<<32-1))/(1<<32) < share
}

func (s *simulation) honorsRetryAfter(client uint64) bool {
	return float64(client>>11)/(1<<53) < s.config.Clients.HonorRetryAfter
}

// retryDelay returns how long a client waits before its next request. The jitter is drawn for every retry, even if it
// isn't used, so that later draws don't depend on the behavior of clients.
func (s *simulation) retryDelay(r *request, retryAfter time.Duration, immediate bool) time.Duration {
	c := &s.config.Clients
	delay := c.Backoff << min(r.retries, maxBackoffDoublings)
	if c.Jitter > 0 {
		delay = time.Duration(float64(delay) * (1 + c.Jitter*(2*s.clientRandom.Float64()-1)))
	}
	if immediate {
		return c.Backoff / immediateRetryFactor
	}
	if retryAfter > delay && s.honorsRetryAfter(r.client) {
		return retryAfter
	}
	return delay
}

// countOutcome counts the final outcome of a client's request.
func (s *simulation) countOutcome(r *request, o outcome) {
	class := &s.summary.Classes[r.class]
	switch o {
	case outcomeServed:
		s.countServed(r, class)
	case outcomeRejected:
		class.Rejected++
	case outcomeFailed:
		class.Failed++
	default:
		class.Abandoned++
	}
}

func (s *simulation) countServed(r *request, class *ClassSummary) {
	latency := s.now - r.firstSentAt
	class.Latency.RecordValue(max(1, latency.Microseconds())) // fails only for values above maxLatency
	settings := &s.config.Settings.Classes[r.class]
	objective := cmp.Or(settings.LatencyObjective, settings.Deadline)
	if latency > objective {
		class.Late++
		return
	}
	class.InTime++
	s.summary.Seconds[int(r.firstSentAt.Seconds())].InTime++
}

// clientDisconnects disconnects the client of a request, early or after its deadline, unless the client has its response.
func (s *simulation) clientDisconnects(r *request, early bool) {
	if r.done || r.gateway.incarnation != r.gatewayIncarnation {
		return
	}
	if !early {
		s.violation(RuleLost, "request %d has no response at its deadline", r.id)
	}
	r.done = true
	r.disconnectedEarly = early
	s.deliver(r.gateway, func() { r.gateway.balancer.ClientGone(s.now, r.id) })
	s.clientDone(r, outcomeAbandoned, 0)
	if early {
		s.removeIfDone(r)
	}
}
