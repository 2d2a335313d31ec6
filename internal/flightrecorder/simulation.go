package flightrecorder

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"dunemoor/balancer"
)

// Simulation simulates in virtual time how a balancer distributes requests among modelled hosts. Each host serves one
// request at a time, in the order of arrival. This is sufficient to compare two builds of the balancer on the same
// traffic.
type Simulation struct {
	Settings  balancer.Settings
	Arrivals  []Arrival        // ordered by time
	Endpoints []EndpointUpdate // ordered by time
	Hosts     map[balancer.HostID]*SimulatedHost
	Random    *rand.Rand // source of the hosts' errors; the same seed and balancer give the same result

	balancer Balancer
	now      balancer.Time
	queue    simulationQueue
	sequence int
	requests map[balancer.RequestID]*simulatedRequest
	actions  []balancer.Action
	summary  Summary
}

// Arrival is a request of a client.
type Arrival struct {
	Request balancer.Request
	At      balancer.Time
	GoneAt  balancer.Time // time at which the client disconnects if it has no response; 0: it doesn't disconnect
	Work    time.Duration // service time at a host of speed 1
}

// EndpointUpdate is an update of the endpoint list.
type EndpointUpdate struct {
	At    balancer.Time
	Kind  balancer.ListKind
	Hosts []balancer.Host
}

// SimulatedHost is a modelled host.
type SimulatedHost struct {
	Speed           float64   // work done per unit of time; 0 means 1
	ErrorShares     []float64 // share of responses that are errors, by class
	Down            []Span    // connections are refused
	Silent          []Span    // requests are received and never answered
	UnansweredShare float64   // share of attempts that are never answered, also outside of Silent

	jobs []*simulatedAttempt // the first one is being served
}

// Span is a span of time that includes From and excludes To.
type Span struct{ From, To balancer.Time }

func inAnySpan(spans []Span, t balancer.Time) bool {
	return slices.ContainsFunc(spans, func(s Span) bool { return s.From <= t && t < s.To })
}

// Summary is the outcome of the requests.
type Summary struct {
	Classes  []ClassSummary
	Attempts int
	// RepeatedExecutions is the number of non-idempotent requests that were sent more than once to hosts that were not
	// down: a fault of the balancer.
	RepeatedExecutions int
	Unanswered         int // requests without a final response at the end: a fault of the balancer
}

// ClassSummary is the outcome of a class.
type ClassSummary struct {
	Requests  int
	InTime    int // served within the latency objective
	Late      int // served after the latency objective
	Rejected  int
	Failed    int
	Abandoned int             // requests whose client disconnected before the response
	Causes    [causeCount]int // number of Rejected and Failed requests by balancer.Cause
	Latencies []time.Duration // latencies of the InTime and Late requests
}

const (
	// gracePeriod is the time for which a simulation continues after the last deadline.
	gracePeriod = time.Second
	// connectFailureTime is the time after which an attempt at a host that is down fails.
	connectFailureTime = time.Millisecond
)

// countServed counts a request that was served, against the latency objective of the class.
func (c *ClassSummary) countServed(latency, objective time.Duration) {
	c.Latencies = append(c.Latencies, latency)
	if latency <= objective {
		c.InTime++
	} else {
		c.Late++
	}
}

// countNotServed counts a request that the action rejects or fails. The cause in a recording may be unknown to this
// build or damaged; the remainder keeps the index within the array.
func (c *ClassSummary) countNotServed(a *balancer.Action) {
	c.Causes[int(a.Cause)%causeCount]++
	if a.Kind == balancer.Reject {
		c.Rejected++
	} else {
		c.Failed++
	}
}

// simulatedRequest is a request and its attempts.
type simulatedRequest struct {
	Arrival
	deadline   balancer.Time
	done       bool // the request has a final response, or its client has disconnected
	executions int  // number of attempts at hosts that were not down
	attempts   []*simulatedAttempt
}

// simulatedAttempt is an attempt at a host.
type simulatedAttempt struct {
	request  *simulatedRequest
	number   int
	host     *SimulatedHost
	sentAt   balancer.Time
	deadline balancer.Time
	ended    bool
}

// simulationEvent is a function that is scheduled for a time.
type simulationEvent struct {
	at       balancer.Time
	sequence int
	run      func()
}

// simulationQueue is a heap of events by time. Events for the same time run in the order in which they were scheduled.
type simulationQueue []simulationEvent

func (q simulationQueue) Len() int { return len(q) }

func (q simulationQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}

func (q simulationQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *simulationQueue) Push(x any) { *q = append(*q, x.(simulationEvent)) }

// Pop implements heap.Interface.
func (q *simulationQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// Run simulates the traffic from start on, with a balancer that has not received any event.
func (s *Simulation) Run(b Balancer, start balancer.Time) *Summary {
	s.reset(b, start)
	end := s.scheduleTraffic(start)
	s.deliver(func() { b.Start(s.now) })
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(simulationEvent)
		s.now = max(s.now, e.at)
		e.run()
	}
	s.countFaults()
	return &s.summary
}

func (s *Simulation) reset(b Balancer, start balancer.Time) {
	s.balancer = b
	s.now = start
	s.queue = nil
	s.sequence = 0
	s.requests = map[balancer.RequestID]*simulatedRequest{}
	s.summary = Summary{Classes: make([]ClassSummary, len(s.Settings.Classes))}
	if s.Random == nil {
		s.Random = rand.New(rand.NewPCG(1, 2))
	}
	for _, h := range s.Hosts {
		h.jobs = nil
	}
}

// scheduleTraffic schedules the arrivals and the endpoint updates. It returns the end of the simulation.
func (s *Simulation) scheduleTraffic(start balancer.Time) balancer.Time {
	for i := range s.Endpoints {
		update := &s.Endpoints[i]
		s.schedule(update.At, func() {
			s.deliver(func() { s.balancer.UpdateEndpoints(s.now, update.Kind, update.Hosts) })
		})
	}
	end := start
	lastArrival := start
	for i := range s.Arrivals {
		arrival := &s.Arrivals[i]
		end = max(end, arrival.At)
		lastArrival = arrival.At
		s.schedule(arrival.At, func() { s.arrive(arrival) })
	}
	for _, class := range s.Settings.Classes {
		end = max(end, lastArrival+class.Deadline+gracePeriod)
	}
	return end
}

// countFaults counts the faults of the balancer: unanswered requests and repeated executions.
func (s *Simulation) countFaults() {
	for _, r := range s.requests {
		if !r.done {
			s.summary.Unanswered++
		}
		class := &s.Settings.Classes[r.Request.Class]
		if r.executions > 1 && class.Idempotency == balancer.NonIdempotent {
			s.summary.RepeatedExecutions++
		}
	}
}

func (s *Simulation) schedule(at balancer.Time, run func()) {
	s.sequence++
	heap.Push(&s.queue, simulationEvent{at, s.sequence, run})
}

// deliver passes an event to the balancer and executes the resulting actions.
func (s *Simulation) deliver(event func()) {
	event()
	s.actions = s.balancer.TakeActions(s.actions[:0])
	for _, a := range s.actions {
		s.execute(a)
	}
}

// execute executes an action. Polls, closed connections and log lines have no effect in a simulation.
func (s *Simulation) execute(a balancer.Action) {
	switch a.Kind {
	case balancer.Send:
		s.send(a)
	case balancer.Cancel:
		if r := s.requests[a.Request]; r != nil && a.Attempt < len(r.attempts) {
			attempt := r.attempts[a.Attempt]
			s.schedule(s.now, func() { s.endAttempt(attempt, balancer.Canceled) })
		}
	case balancer.Reject, balancer.Fail:
		s.reject(a)
	case balancer.Wake:
		s.schedule(max(a.At, s.now), func() {
			s.deliver(func() { s.balancer.Timer(s.now, a.Token) })
		})
	}
}

// reject ends a request that the balancer rejects or fails.
func (s *Simulation) reject(a balancer.Action) {
	r := s.requests[a.Request]
	if r == nil || r.done {
		return
	}
	r.done = true
	s.summary.Classes[r.Request.Class].countNotServed(&a)
}

func (s *Simulation) arrive(a *Arrival) {
	r := &simulatedRequest{Arrival: *a, deadline: a.At + a.Request.Remaining}
	s.requests[a.Request.ID] = r
	s.summary.Classes[a.Request.Class].Requests++
	if a.GoneAt > 0 {
		s.schedule(a.GoneAt, func() { s.clientLeaves(r) })
	}
	s.deliver(func() { s.balancer.Request(s.now, a.Request) })
}

func (s *Simulation) clientLeaves(r *simulatedRequest) {
	if r.done {
		return
	}
	r.done = true
	s.summary.Classes[r.Request.Class].Abandoned++
	s.deliver(func() { s.balancer.ClientGone(s.now, r.Request.ID) })
}

func (s *Simulation) send(a balancer.Action) {
	r := s.requests[a.Request]
	h := s.Hosts[a.Host]
	if h == nil {
		h = &SimulatedHost{}
		s.Hosts[a.Host] = h
	}
	attempt := &simulatedAttempt{request: r, number: len(r.attempts), host: h, sentAt: s.now, deadline: r.deadline}
	if a.At > 0 {
		attempt.deadline = min(attempt.deadline, a.At)
	}
	r.attempts = append(r.attempts, attempt)
	s.summary.Attempts++
	if inAnySpan(h.Down, s.now) {
		s.schedule(s.now+connectFailureTime, func() { s.endAttempt(attempt, balancer.ConnectFailed) })
		return
	}
	r.executions++
	unanswered := inAnySpan(h.Silent, s.now) || (h.UnansweredShare > 0 && s.Random.Float64() < h.UnansweredShare)
	if !unanswered {
		h.jobs = append(h.jobs, attempt)
		if len(h.jobs) == 1 {
			s.beginService(h)
		}
	}
	s.schedule(attempt.deadline, func() { s.endAttempt(attempt, balancer.TimedOut) })
}

// beginService starts the service of a host's first job. It is called once for each job, when the job becomes the first.
func (s *Simulation) beginService(h *SimulatedHost) {
	if len(h.jobs) == 0 {
		return
	}
	attempt := h.jobs[0]
	speed := h.Speed
	if speed == 0 {
		speed = 1
	}
	doneAt := s.now + balancer.Time(float64(attempt.request.Work)/speed)
	s.schedule(doneAt, func() {
		if !attempt.ended {
			s.endAttempt(attempt, s.drawResult(attempt))
		}
	})
}

// drawResult decides at random whether the response to an attempt is an error.
func (s *Simulation) drawResult(attempt *simulatedAttempt) balancer.Result {
	class := attempt.request.Request.Class
	shares := attempt.host.ErrorShares
	if class < len(shares) && s.Random.Float64() < shares[class] {
		return balancer.Failed
	}
	return balancer.OK
}

// endAttempt ends an attempt, unless it has ended already.
func (s *Simulation) endAttempt(attempt *simulatedAttempt, result balancer.Result) {
	if attempt.ended {
		return
	}
	attempt.ended = true
	s.removeJob(attempt)
	r := attempt.request
	if result == balancer.OK && !r.done {
		r.done = true
		class := r.Request.Class
		s.summary.Classes[class].countServed(s.now-r.At, latencyObjective(&s.Settings, class))
	}
	s.deliver(func() {
		s.balancer.AttemptEnded(s.now, balancer.Outcome{
			Request: r.Request.ID,
			Attempt: attempt.number,
			Result:  result,
			Elapsed: s.now - attempt.sentAt,
			Closed:  r.done,
		})
	})
}

// removeJob removes an attempt from the jobs of its host. If it was being served, the host continues with the next one.
func (s *Simulation) removeJob(attempt *simulatedAttempt) {
	h := attempt.host
	i := slices.Index(h.jobs, attempt)
	if i < 0 {
		return
	}
	h.jobs = slices.Delete(h.jobs, i, i+1)
	if i == 0 {
		s.beginService(h)
	}
}

// latencyObjective returns the latency objective of a class, or its deadline if that is shorter or there is no
// objective.
func latencyObjective(settings *balancer.Settings, class int) time.Duration {
	c := &settings.Classes[class]
	if c.LatencyObjective == 0 || c.LatencyObjective > c.Deadline {
		return c.Deadline
	}
	return c.LatencyObjective
}
