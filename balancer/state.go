package balancer

import (
	"math"
	"sort"
)

// Balancer decides for one pool of one gateway. It is not safe for concurrent use.
type Balancer struct {
	set     Settings
	rng     uint64
	now     Time
	actions []Action

	// Hosts.
	hosts    []*host // in an order that does not depend on that of a map
	byID     map[HostID]*host
	sets     [setCount]hostSet // the subset, and the ready hosts in it
	rechecks []*host           // a heap by host.recheckTime
	counts   subsetCounts      // of the subset
	excluded []subsetCounts    // ... and excluded for a class, by class
	touched  []*host           // scratch of UpdateEndpoints

	// The ring and the subset.
	byKind        []kindList // all hosts, from which the ring is built
	ring          []*host    // the same order at every instance; built when it is needed
	ringBuilt     bool       // the ring is up to date
	ringPlace     int        // this instance's place, among the hosts that count
	ringStart     int        // ... and on the ring
	readyHosts    [2]int     // warm and warming ones
	subsetCurrent bool       // the pass over the ring is of the present ring
	scanned       int        // hosts of the ring, from this instance's place on, that were visited
	nextMove      Time       // when a host that is far may be given up
	scopes        map[scopeKey][]*host
	scopesBuilt   bool // the scopes are up to date

	// Requests.
	requests     decayingRate // of this instance
	open         map[RequestID]*request
	queues       []linkedList[request] // by priority, the highest first
	bandOf       [][4]int              // queue by class and part
	queued       int
	lastUnserved Time // when a request last found no host; before 0: never
	inFlight     int  // attempts at the last sweep, and sent since

	// Derived from the settings.
	shortestObjective Time // of any class
	decay             float64
	penalty           float64 // RTT of an error, in seconds

	// Learnt.
	starvation   []decayingShare // share that found no host of late, by class
	classRTT     []movingAverage // of good responses, by class
	anyRTT       movingAverage   // ... of any class
	kindRTT      []movingAverage // ... as of a typical class, by kind of host
	warmHostRate movingAverage   // good responses of a warm host a second
	successes    decayingRate
	// unansweredShare is the share of stalled attempts that are never answered.
	unansweredShare float64

	// Admission.
	quota           []tokenBucket // by tenant
	pressure        movingAverage // RTT of the last responses from any host, in targets
	sendRate        float64       // limit a second; 0: there is none
	sendRateCutAt   Time
	sendRateGrownAt Time
	sendTokens      float64 // sends that are saved up
	tokensAt        Time    // when they were last refilled
	sends           decayingRate

	sweepAt      Time    // 0: no sweep is scheduled
	candidates   []*host // scratch of pick
	freeRequests []*request
	freeAttempts []*attempt

	// Polls for the endpoint list.
	polling      bool
	pollAt       Time
	pollFailures int

	logs [logKinds]logState
}

// host is what this instance knows of one host.
type host struct {
	Host
	index           int           // in Balancer.hosts
	position        [setCount]int // in each set, counted from 1
	readySet        int           // which of the first four sets it is in
	counted         standing      // what the counts have of it
	recheckTime     Time
	recheckPosition int // in Balancer.rechecks, counted from 1

	rtt          float64 // peak EWMA in seconds, as of rttAt
	rttAt        Time
	sampled      bool // else rtt is not set
	inFlight     int
	attempts     linkedList[attempt] // in flight, in the order sent
	lastResponse Time                // of any kind

	concurrencyLimit float64       // attempts that it may hold from this instance
	recentRTT        movingAverage // of responses and timeouts, in objectives, not decayed
	limitCutAt       Time
	restingUntil     Time // with a limit below one: when it may be used again

	class           []classErrors // by class
	hasErrors       bool          // it has answered a class with errors
	brokenResponses int           // broken responses and resets since the last good one
	ejections       int           // since the last good response
	ejectCause      Cause         // of the last ejection
	ejectedUntil    Time
	trialOut        bool // the one attempt of an ejected host is in flight
	backoffCut      bool // its backoff was cut short since it last responded

	ringHash  uint64 // orders the hosts of a kind
	ringPlace int    // counted as that of the instance is
	ranked    int    // rank that it is counted under: see rank

	warming           bool // it started less than SlowStartWindow ago
	startedAt         Time
	nextSlowStartSend Time // earliest next send while it is warming
}

// classErrors is what a host's errors in a class say of it.
type classErrors struct {
	share         float64 // of its last responses
	at            Time    // of the last error
	exclusions    int     // since it last recovered
	excludedAt    Time    // last time
	excludedUntil Time
	counted       bool // Balancer.excluded counts it
}

// standing is what a host counts as in the subset.
type standing struct{ ready, inUse, ejected, broken, unrecovered bool }

// subsetCounts counts the hosts of the subset: those that are ready; neither warming nor ejected; ejected;
// ejected as connections to them fail; and those without a response since they were ejected.
type subsetCounts struct{ ready, inUse, ejected, broken, unrecovered int }

func (t *subsetCounts) add(s standing, n int) {
	for _, f := range [...]struct {
		is    bool
		count *int
	}{{s.ready, &t.ready}, {s.inUse, &t.inUse}, {s.ejected, &t.ejected}, {s.broken, &t.broken}, {s.unrecovered, &t.unrecovered}} {
		if f.is {
			*f.count += n
		}
	}
}

// request is a client's request with its attempts. It is kept until it has its response and all its
// attempts have ended.
type request struct {
	Request
	class     *Class
	arrived   Time
	deadline  Time
	waitUntil Time // while it is queued: too late to be answered within its objective
	band      int  // its queue
	inFlight  int
	done      bool
	timedOut  bool // it was answered for want of time or hosts
	streaming bool // a response is being streamed: the request belongs to that attempt
	queued    bool
	link      listNode[request] // in its queue
	attempts  []*attempt
}

// attempt is one try of a request at a host.
type attempt struct {
	req           *request
	host          *host
	sent          Time
	ended         bool
	result        Result
	trial         bool              // its host was ejected when it was sent
	overtakenBy   int               // responses of its host to attempts sent after it
	countedSilent bool              // it was counted as a sign of overload before it ended
	canceledStuck bool              // it was canceled so that its request can be retried
	link          listNode[attempt] // at its host
}

// New returns a Balancer for the settings, or an error if they are invalid.
func New(set Settings, seed uint64) (*Balancer, error) {
	if err := check(&set); err != nil {
		return nil, err
	}
	b := &Balancer{
		set: set, rng: seed, byID: map[HostID]*host{}, open: map[RequestID]*request{}, scopes: map[scopeKey][]*host{},
		excluded: make([]subsetCounts, len(set.Classes)), starvation: make([]decayingShare, len(set.Classes)),
		classRTT: make([]movingAverage, len(set.Classes)),
	}
	b.derive()
	b.orderQueues()
	return b, nil
}

// derive computes what follows from the settings alone.
func (b *Balancer) derive() {
	b.shortestObjective, b.penalty = forever, 0
	for _, c := range b.set.Classes {
		if c.Retired {
			continue
		}
		b.shortestObjective = min(b.shortestObjective, c.LatencyObjective)
		b.penalty = max(b.penalty, errorPenaltyObjectives*c.LatencyObjective.Seconds())
	}
	b.decay = decayObjectives * b.shortestObjective.Seconds()
	for _, t := range b.set.Tenants {
		rate := t.Quota / float64(b.set.Instances)
		b.quota = append(b.quota, tokenBucket{tokens: rate * quotaBurst, rate: rate})
	}
}

// orderQueues orders the queues: each class has one within quota and one beyond it, and the same again for
// duplicates. The one with the highest priority is served first; of equal ones, the one with the tighter
// objective.
func (b *Balancer) orderQueues() {
	type queue struct {
		class, part int
		weight      float64
	}
	var queues []queue
	for i, c := range b.set.Classes {
		for part := range 4 {
			weight := c.PriorityWeight
			if part&overQuota != 0 {
				weight *= b.set.OverQuotaWeight
			}
			if part&isDuplicate != 0 {
				weight *= duplicateWeight
			}
			queues = append(queues, queue{i, part, weight})
		}
	}
	sort.SliceStable(queues, func(i, j int) bool {
		if queues[i].weight != queues[j].weight {
			return queues[i].weight > queues[j].weight
		}
		return b.set.Classes[queues[i].class].LatencyObjective < b.set.Classes[queues[j].class].LatencyObjective
	})
	b.bandOf = make([][4]int, len(b.set.Classes))
	b.queues = make([]linkedList[request], len(queues))
	for k, q := range queues {
		b.bandOf[q.class][q.part] = k
	}
}

// newHost adds a host that was not known.
func (b *Balancer) newHost(e Host) *host {
	h := &host{lastResponse: b.now, rttAt: b.now, class: make([]classErrors, len(b.set.Classes))}
	h.readySet, h.recheckTime = setNone, forever
	h.ringHash = mix(uint64(e.ID))
	h.index = len(b.hosts)
	b.byID[e.ID] = h
	b.hosts = append(b.hosts, h)
	h.ID, h.Kind = e.ID, e.Kind
	b.addToKind(h)
	return h
}

// dropRemoved forgets a removed host without attempts in flight.
func (b *Balancer) dropRemoved(h *host) {
	if h.State != Removed || h.inFlight > 0 || b.byID[h.ID] != h {
		return
	}
	delete(b.byID, h.ID)
	last := len(b.hosts) - 1
	b.hosts[h.index] = b.hosts[last]
	b.hosts[h.index].index = h.index
	b.hosts[last] = nil
	b.hosts = b.hosts[:last]
	b.removeFromKind(h)
	b.cancelRecheck(h)
	b.ringBuilt, b.scopesBuilt, b.subsetCurrent = false, false, false
}

// recordForClasses records a response with each class that it counts for: its own, and all non-idempotent
// ones.
func (b *Balancer) recordForClasses(a *attempt, record func(a *attempt, class int)) {
	for i := range a.host.class {
		if i == a.req.Class || b.set.Classes[i].Idempotency == NonIdempotent {
			record(a, i)
		}
	}
}

// errorLimit returns the share of errors above which a host is excluded for a class.
func (b *Balancer) errorLimit(class int) float64 {
	if b.set.Classes[class].Idempotency == NonIdempotent {
		return maxErrorShareNonIdempotent
	}
	return maxErrorShare
}

// releaseRequest forgets a closed request once its last attempt has ended.
func (b *Balancer) releaseRequest(r *request) {
	if !r.done || r.inFlight > 0 {
		return
	}
	delete(b.open, r.ID)
	for _, a := range r.attempts {
		*a = attempt{} // it must not keep a host that is gone
	}
	b.freeAttempts = append(b.freeAttempts, r.attempts...)
	clear(r.attempts)
	*r = request{attempts: r.attempts[:0]}
	b.freeRequests = append(b.freeRequests, r)
}

func (b *Balancer) newRequest() *request {
	n := len(b.freeRequests)
	if n == 0 {
		return &request{}
	}
	r := b.freeRequests[n-1]
	b.freeRequests = b.freeRequests[:n-1]
	return r
}

func (b *Balancer) newAttempt() *attempt {
	n := len(b.freeAttempts)
	if n == 0 {
		return &attempt{}
	}
	a := b.freeAttempts[n-1]
	b.freeAttempts = b.freeAttempts[:n-1]
	return a
}

// addToQueue adds a request to its queue, at the front or at the back.
func (b *Balancer) addToQueue(r *request, front bool) {
	r.queued, r.link.item = true, r
	b.queued++
	if front {
		b.queues[r.band].pushFront(&r.link)
	} else {
		b.queues[r.band].pushBack(&r.link)
	}
}

func (b *Balancer) dequeue(r *request) {
	if r.queued {
		b.queues[r.band].remove(&r.link)
		r.queued = false
		b.queued--
	}
}

// tried reports whether a request has had an attempt at a host.
func (r *request) tried(h *host) bool {
	for _, a := range r.attempts {
		if a.host == h {
			return true
		}
	}
	return false
}

// firstThatMayRun returns the earliest attempt that may have run or is in flight; nil: there is none.
func (r *request) firstThatMayRun() *attempt {
	for _, a := range r.attempts {
		if !a.ended || a.result.MayHaveRun() {
			return a
		}
	}
	return nil
}

// oldest returns the attempt in flight longest at a host that was not overtaken, and how many of those there
// are.
func (h *host) oldest() (a *attempt, notOvertaken int) {
	for n := h.attempts.head; n != nil; n = n.next {
		if n.item.overtaken() {
			continue
		}
		if a == nil {
			a = n.item
		}
		notOvertaken++
	}
	return a, notOvertaken
}

const forever Time = math.MaxInt64
