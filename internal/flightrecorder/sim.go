package flightrecorder

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"dunemoor/balancer"
)

// A Sim plays arrivals against modelled hosts in virtual time, with a module to decide.
// Each host works on one request after the other, in the order they came: simple, and
// enough to tell two builds of the module apart on the same day.
type Sim struct {
	Settings balancer.Settings
	Arrivals []Arrival // in the order of time
	Lists    []List    // likewise
	Hosts    map[balancer.HostID]*SimHost
	Rand     *rand.Rand // draws errors; the same seed and module lead to the same day

	now   balancer.Time
	queue simQueue
	seq   int
	reqs  map[balancer.RequestID]*simRequest
	acts  []balancer.Action
	sum   Summary
}

// Arrival is one request of a client.
type Arrival struct {
	Request balancer.Request // with Left as of At
	At      balancer.Time
	GoneAt  balancer.Time // the client leaves then if it has no answer; 0: it stays
	Work    time.Duration // what it takes a host of speed 1
}

// List is news of the hosts.
type List struct {
	At    balancer.Time
	Kind  balancer.ListKind
	Hosts []balancer.Host
}

// SimHost is a modelled host.
type SimHost struct {
	Speed  float64   // work done in a unit of time; 0 counts as 1
	Errors []float64 // share of answers that are errors, by class
	Down   []Span    // connections are refused
	Silent []Span    // requests are taken and not answered
	Mute   float64   // share of attempts that are never answered, whatever the host does

	jobs []*simJob // the first is being worked on
}

// Span is a stretch of time.
type Span struct{ From, To balancer.Time }

func within(list []Span, t balancer.Time) bool {
	return slices.ContainsFunc(list, func(s Span) bool { return s.From <= t && t < s.To })
}

// Summary is what became of the requests.
type Summary struct {
	Classes  []ClassSummary
	Attempts int
	Twice    int // unsafe requests that ran more than once: a broken rule
	Unheard  int // requests with no final answer at the end: a broken rule
}

// ClassSummary is what became of a class.
type ClassSummary struct {
	Asked, InTime, Late, Refused, Failed, Left int
	Why                                        [8]int // of those refused or failed, by Cause
	Took                                       []time.Duration
}

type simRequest struct {
	Arrival
	deadline balancer.Time
	done     bool
	ran      int
	jobs     []*simJob
}

type simJob struct {
	req     *simRequest
	n       int
	host    *SimHost
	sent    balancer.Time
	until   balancer.Time
	running int // counts the times it was begun, so that an old end is known
	ended   bool
}

type simEvent struct {
	at  balancer.Time
	seq int
	do  func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	e := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return e
}

// afterLast is how long a day goes on after its last arrival, beyond the longest deadline.
const afterLast = time.Second

// Run plays the day with a module that has been told nothing yet.
func (s *Sim) Run(m Balancer, start balancer.Time) *Summary {
	s.now, s.queue, s.seq = start, nil, 0
	s.reqs = map[balancer.RequestID]*simRequest{}
	s.sum = Summary{Classes: make([]ClassSummary, len(s.Settings.Classes))}
	if s.Rand == nil {
		s.Rand = rand.New(rand.NewPCG(1, 2))
	}
	for _, h := range s.Hosts {
		h.jobs = nil
	}
	end := start
	for i := range s.Lists {
		l := &s.Lists[i]
		s.at(l.At, func() { s.tell(m, func() { m.UpdateEndpoints(s.now, l.Kind, l.Hosts) }) })
	}
	for i := range s.Arrivals {
		a := &s.Arrivals[i]
		end = max(end, a.At)
		s.at(a.At, func() { s.arrive(m, a) })
	}
	for _, c := range s.Settings.Classes {
		end = max(end, s.lastArrival()+c.Deadline+afterLast)
	}
	s.tell(m, func() { m.Start(s.now) })
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = max(s.now, e.at)
		e.do()
	}
	for _, r := range s.reqs {
		if !r.done {
			s.sum.Unheard++
		}
		if r.ran > 1 && s.Settings.Classes[r.Request.Class].Idempotency == balancer.NonIdempotent {
			s.sum.Twice++
		}
	}
	return &s.sum
}

func (s *Sim) lastArrival() balancer.Time {
	if len(s.Arrivals) == 0 {
		return s.now
	}
	return s.Arrivals[len(s.Arrivals)-1].At
}

func (s *Sim) at(t balancer.Time, do func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{t, s.seq, do})
}

// tell tells the module of an event and carries out what it decides.
func (s *Sim) tell(m Balancer, event func()) {
	event()
	s.acts = m.TakeActions(s.acts[:0])
	for _, a := range s.acts {
		switch a.Kind {
		case balancer.Send:
			s.send(m, a)
		case balancer.Cancel:
			if r := s.reqs[a.Request]; r != nil && a.Attempt < len(r.jobs) {
				j := r.jobs[a.Attempt]
				s.at(s.now, func() { s.end(m, j, balancer.Canceled) })
			}
		case balancer.Reject, balancer.Fail:
			if r := s.reqs[a.Request]; r != nil && !r.done {
				r.done = true
				c := &s.sum.Classes[r.Request.Class]
				c.Why[int(a.Cause)%len(c.Why)]++
				if a.Kind == balancer.Reject {
					c.Refused++
				} else {
					c.Failed++
				}
			}
		case balancer.Wake:
			token := a.Token
			s.at(max(a.At, s.now), func() { s.tell(m, func() { m.Timer(s.now, token) }) })
		}
	}
}

func (s *Sim) arrive(m Balancer, a *Arrival) {
	r := &simRequest{Arrival: *a, deadline: a.At + a.Request.Remaining}
	s.reqs[a.Request.ID] = r
	s.sum.Classes[a.Request.Class].Asked++
	if a.GoneAt > 0 {
		s.at(a.GoneAt, func() {
			if !r.done {
				r.done = true
				s.sum.Classes[r.Request.Class].Left++
				s.tell(m, func() { m.ClientGone(s.now, r.Request.ID) })
			}
		})
	}
	s.tell(m, func() { m.Request(s.now, a.Request) })
}

func (s *Sim) send(m Balancer, a balancer.Action) {
	r, h := s.reqs[a.Request], s.Hosts[a.Host]
	if h == nil {
		h = &SimHost{}
		s.Hosts[a.Host] = h
	}
	j := &simJob{req: r, n: len(r.jobs), host: h, sent: s.now, until: r.deadline}
	if a.At > 0 {
		j.until = min(j.until, a.At)
	}
	r.jobs = append(r.jobs, j)
	s.sum.Attempts++
	switch {
	case within(h.Down, s.now):
		s.at(s.now+connectFails, func() { s.end(m, j, balancer.ConnectFailed) })
		return
	case within(h.Silent, s.now), h.Mute > 0 && s.Rand.Float64() < h.Mute:
		r.ran++
	default:
		r.ran++
		h.jobs = append(h.jobs, j)
		if len(h.jobs) == 1 {
			s.begin(m, h)
		}
	}
	s.at(j.until, func() { s.end(m, j, balancer.TimedOut) })
}

// connectFails is how soon a refused connection is known.
const connectFails = time.Millisecond

// begin has a host work on the first of its jobs.
func (s *Sim) begin(m Balancer, h *SimHost) {
	if len(h.jobs) == 0 {
		return
	}
	j := h.jobs[0]
	j.running++
	n, speed := j.running, h.Speed
	if speed == 0 {
		speed = 1
	}
	s.at(s.now+balancer.Time(float64(j.req.Work)/speed), func() {
		if j.ended || j.running != n {
			return
		}
		result := balancer.OK
		if c := j.req.Request.Class; c < len(h.Errors) && s.Rand.Float64() < h.Errors[c] {
			result = balancer.Failed
		}
		s.end(m, j, result)
	})
}

// end ends an attempt, once.
func (s *Sim) end(m Balancer, j *simJob, result balancer.Result) {
	if j.ended {
		return
	}
	j.ended = true
	h, r := j.host, j.req
	if i := slices.Index(h.jobs, j); i >= 0 {
		h.jobs = slices.Delete(h.jobs, i, i+1)
		if i == 0 {
			s.begin(m, h)
		}
	}
	if result == balancer.OK && !r.done {
		r.done = true
		c := &s.sum.Classes[r.Request.Class]
		took := s.now - r.At
		c.Took = append(c.Took, took)
		if took <= s.aim(r.Request.Class) {
			c.InTime++
		} else {
			c.Late++
		}
	}
	s.tell(m, func() {
		m.AttemptEnded(s.now, balancer.Outcome{
			Request: r.Request.ID, Attempt: j.n, Result: result, Elapsed: s.now - j.sent, Closed: r.done,
		})
	})
}

func (s *Sim) aim(class int) time.Duration {
	c := &s.Settings.Classes[class]
	if c.LatencyObjective == 0 || c.LatencyObjective > c.Deadline {
		return c.Deadline
	}
	return c.LatencyObjective
}
