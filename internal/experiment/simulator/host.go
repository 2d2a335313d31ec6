package simulator

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"dunemoor/balancer"
)

// host is a simulated host. The requests in service share its cores evenly, so all of them receive service at the
// same rate. It is therefore enough to keep one number for the service given to each request so far, and a heap of
// the values of that number at which the requests are done.
type host struct {
	HostGroup
	id          int
	cell        int
	random      *rand.Rand // decides which responses are errors or get lost
	running     bool
	startedAt   balancer.Time // 0: it was started before the run
	incarnation uint32        // incremented at each stop

	activeFaults []int // indexes in Config.Faults
	impairment         // effect of activeFaults; set only by changeHostFaults
	replaced     bool

	congested bool
	// congestedSince is when the host began to hold CongestionStart requests per core. 0: it holds fewer, or
	// CongestionDelay is 0.
	congestedSince balancer.Time

	// serviceGiven is the service given so far to each request in service, summed up over the run, in seconds of a core
	// of speed 1.
	serviceGiven     float64
	serviceRate      float64 // growth of serviceGiven per second
	advancedAt       balancer.Time
	inService        jobHeap
	waiting          []job
	completionNumber uint64 // number of the latest event for the next completion; events with earlier numbers are ignored

	connections    int
	workDone       float64 // total of all requests, in seconds of a core of speed 1
	state          balancer.HostState
	drainNoticeAt  []balancer.Time // time when each gateway was notified that the host drains; 0: it may send requests
	warmingWork    []sentWork      // attempts sent to the host while warming up, within the overload window
	warmingWorkSum float64
}

// sentWork is the time and the work of an attempt that was sent to a host.
type sentWork struct {
	at   balancer.Time
	work float64
}

// job is an attempt that is in service or waiting at a host.
type job struct {
	request       *request
	attemptNumber int
	work          float64 // service that the attempt takes, in seconds of a core of speed 1
	doneAt        float64 // value of the host's serviceGiven at which the job is done; set when its service begins
}

// jobHeap orders jobs by doneAt.
type jobHeap []job

func (j jobHeap) Len() int           { return len(j) }
func (j jobHeap) Less(a, b int) bool { return j[a].doneAt < j[b].doneAt }
func (j jobHeap) Swap(a, b int)      { j[a], j[b] = j[b], j[a] }

// Push implements heap.Interface.
func (j *jobHeap) Push(x any) { *j = append(*j, x.(job)) }

// Pop implements heap.Interface.
func (j *jobHeap) Pop() any {
	last := len(*j) - 1
	x := (*j)[last]
	*j = (*j)[:last]
	return x
}

const (
	// warmingSteps is the number of steps in which the speed of a warming host grows.
	warmingSteps = 20
	// serviceTolerance is the service, in seconds, that may be missing when a job counts as done, because event times
	// are whole nanoseconds.
	serviceTolerance = 1e-9
)

// addHost adds a host without starting it.
func (s *simulation) addHost(group HostGroup, cell int) *host {
	id := len(s.hosts)
	h := &host{HostGroup: group, id: id, cell: cell, random: newStream(s.config.Seed, streamErrors, id), impairment: unimpaired}
	s.hosts = append(s.hosts, h)
	return h
}

// startHost starts a host's process, which begins to warm up.
func (s *simulation) startHost(h *host) {
	h.running = true
	h.startedAt = s.now
	h.advancedAt = s.now
	window := s.config.Settings.SlowStartWindow
	for i := range warmingSteps {
		at := s.now + window*time.Duration(i+1)/warmingSteps
		s.scheduleSpeedChange(h, at)
	}
	s.reschedule(h)
}

// stopHost stops a host's process. With resets set, gateways get a reset for each attempt at the host; otherwise they
// get no reply.
func (s *simulation) stopHost(h *host, resets bool) {
	s.advance(h)
	if resets && !h.silent {
		for _, jobs := range [][]job{h.inService, h.waiting} {
			for _, j := range jobs {
				at := s.now + s.networkDelay(j.request.gateway)
				s.scheduleResult(at, balancer.Reset, j.attemptNumber, j.request)
			}
		}
	}
	h.inService = nil
	h.waiting = nil
	h.running = false
	h.congested = false
	h.congestedSince = 0
	h.incarnation++
	h.connections = 0
	s.reschedule(h)
}

// warmShare returns the share of its capacity that a host has currently: below 1 while it warms up.
func (s *simulation) warmShare(h *host) float64 {
	settings := &s.config.Settings
	if h.startedAt == 0 || settings.SlowStartWindow == 0 {
		return 1
	}
	age := float64(s.now-h.startedAt) / float64(settings.SlowStartWindow)
	initial := settings.SlowStartShare
	if initial == 0 {
		initial = 1
	}
	return min(1, initial+(1-initial)*age)
}

// nominalSpeed returns the speed of a core when the host is warm and healthy.
func (h *host) nominalSpeed() float64 {
	if h.Speed == 0 {
		return 1
	}
	return h.Speed
}

// coreSpeed returns the current speed of a core.
func (s *simulation) coreSpeed(h *host) float64 {
	speed := h.nominalSpeed() * s.warmShare(h)
	if h.slowdown > 1 {
		speed /= h.slowdown
	}
	if h.congested {
		speed /= h.CongestionSlowdown
	}
	return speed
}

// advance accounts for the service given since the last call. It must be called before a change of anything that
// determines serviceRate.
func (s *simulation) advance(h *host) {
	given := h.serviceRate * (s.now - h.advancedAt).Seconds()
	h.serviceGiven += given
	h.workDone += given * float64(len(h.inService))
	h.advancedAt = s.now
}

// reschedule starts the service of waiting jobs and schedules the next completion. It must be called after a change
// of anything that determines serviceRate.
func (s *simulation) reschedule(h *host) {
	for len(h.waiting) > 0 && h.servesMore() {
		next := h.waiting[0]
		h.waiting[0] = job{}
		h.waiting = h.waiting[1:]
		h.beginService(next)
	}
	s.updateCongestion(h)
	h.completionNumber++
	h.serviceRate = 0
	count := len(h.inService)
	if count == 0 || h.hung {
		return
	}
	h.serviceRate = s.coreSpeed(h) * min(1, float64(h.Cores)/float64(count))
	seconds := max(0, h.inService[0].doneAt-h.serviceGiven) / h.serviceRate
	at := s.now + balancer.Time(seconds*1e9) + 1
	s.queue.push(event{at: at, kind: eventServiceDone, index: int32(h.id), number: h.completionNumber})
}

// servesMore reports whether a host can begin to serve another job immediately.
func (h *host) servesMore() bool { return h.MaxConcurrent == 0 || len(h.inService) < h.MaxConcurrent }

// beginService begins to serve a job.
func (h *host) beginService(j job) {
	j.doneAt = h.serviceGiven + j.work
	heap.Push(&h.inService, j)
}

// updateCongestion updates whether a host is congested, from the number of requests that it holds.
func (s *simulation) updateCongestion(h *host) {
	if h.CongestionStart <= 0 {
		return
	}
	perCore := float64(len(h.inService)+len(h.waiting)) / float64(h.Cores)
	switch {
	case perCore < h.CongestionStart:
		h.congestedSince = 0
		h.congested = h.congested && perCore > h.CongestionEnd
	case h.CongestionDelay == 0:
		h.congested = true
	case h.congestedSince == 0:
		h.congestedSince = s.now
		s.scheduleSpeedChange(h, s.now+h.CongestionDelay)
	case s.now-h.congestedSince >= h.CongestionDelay:
		h.congested = true
	}
}

// scheduleSpeedChange schedules an event at a time at which a host's speed may change.
func (s *simulation) scheduleSpeedChange(h *host, at balancer.Time) {
	s.queue.push(event{at: at, kind: eventHostSpeed, index: int32(h.id), number: uint64(h.incarnation)})
}

// serviceDone responds to the requests whose service is complete.
func (s *simulation) serviceDone(h *host) {
	s.advance(h)
	for len(h.inService) > 0 && h.inService[0].doneAt <= h.serviceGiven+serviceTolerance {
		j := heap.Pop(&h.inService).(job)
		s.respondFromHost(h, j.request, j.attemptNumber, balancer.OK)
	}
	s.reschedule(h)
}

// receive handles the arrival of an attempt's last byte at a running host.
func (s *simulation) receive(h *host, r *request, attemptNumber int) {
	a := &r.attempts[attemptNumber]
	a.hostIncarnation = h.incarnation
	queueFull := h.MaxQueued >= 0 && len(h.waiting) >= h.MaxQueued
	if !h.servesMore() && queueFull {
		s.respondFromHost(h, r, attemptNumber, balancer.Full)
		return
	}
	s.checkExecution(h, r, attemptNumber)
	if h.errorShare > 0 && h.random.Float64() < h.errorShare {
		s.respondFromHost(h, r, attemptNumber, balancer.Failed)
		return
	}
	s.advance(h)
	work := r.work
	if a.newConnection {
		work += s.config.Network.HandshakeWork.Seconds()
	}
	j := job{request: r, attemptNumber: attemptNumber, work: work}
	if h.servesMore() {
		h.beginService(j)
	} else {
		h.waiting = append(h.waiting, j)
	}
	s.reschedule(h)
}

// respondFromHost sends the result of an attempt to its gateway, unless the response is lost.
func (s *simulation) respondFromHost(h *host, r *request, attemptNumber int, result balancer.Result) {
	if h.responsesLost || h.silent || h.partitioned {
		return
	}
	if h.lossyShare > 0 && h.random.Float64() < h.lossyShare {
		lost := h.random.IntN(2) == 0
		if lost {
			return
		}
		result = balancer.Reset
	}
	s.scheduleResult(s.now+s.networkDelay(r.gateway), result, attemptNumber, r)
}
