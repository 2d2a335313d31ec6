package balancer

import (
	"maps"
	"math"
	"slices"
)

// Balancer decides for one pool of one gateway. It is not safe for concurrent use.
//
// Each rule is a type of its own, or a few functions, in a file of its name:
//
//	selection.go    which of two random hosts gets a request, and when to fail open
//	rtt.go          the RTT estimate of each host, by which it is chosen
//	standing.go     which hosts are ready, as the rules below say
//	concurrency.go  how many attempts a host may have in flight
//	slowstart.go    how often a host is sent to that has just started
//	ejection.go     when a host is ejected, and when it is tried again
//	silence.go      when a host counts as silent
//	stalled.go      when an attempt on a silent connection is canceled
//	exclusion.go    when a host is excluded for a class that it answers with errors
//	sendrate.go     how many attempts are sent to all hosts together
//	starvation.go   when a request yields to a class of higher priority
//	quota.go        which requests are beyond their tenant's quota
//	queue.go        how long requests wait for a host, and in which order
//	deadline.go     when a request is answered at the latest
//	retry.go        whether a request has another attempt
//	response.go     the final response, and its Retry-After
//	attempt.go      what is learnt from the end of an attempt
//	subset.go       which part of the hosts this instance uses
//	ring.go         the order of hosts that all instances share
//	endpoints.go    what a new endpoint list changes
//	polling.go      when discovery is polled for it
//	scope.go        which hosts drop duplicates of a request with an idempotency key
//	averages.go     what weight samples have in means
//
// This file has the events. The types of its API are in api.go.
type Balancer struct {
	settings Settings
	scales
	now     Time // of the event that is being handled
	random  randomSource
	actions []Action
	logs    [logKinds]logLimiter

	// Hosts.
	hosts        []*host // in an order that does not depend on that of a map
	byID         map[HostID]*host
	sets         hostSets       // the subset, and the ready hosts in it
	dueStandings dueHeap        // hosts by the time when their standing may change
	counts       subsetCounts   // of the subset
	excluded     []subsetCounts // of the hosts excluded for a class, by class
	ring         hostRing
	subset       subset
	scopes       dedupScopes

	// Requests.
	open     map[RequestID]*request
	arrivals decayingRate // requests a second
	queues   requestQueues
	sweep    sweep

	// Rules that are not about one host.
	typicalRTT typicalRTTs
	sendRate   sendRateController
	quotas     tenantQuotas
	starvation starvationTracker
	pacer      slowStartPacer
	stalled    stalledAttempts
	poller     endpointPoller

	// Memory that is used again.
	touched      []*host // of UpdateEndpoints
	candidates   []*host // of pick
	freeRequests freeList[request]
	freeAttempts freeList[attempt]
}

// scales are the units of the rules, which follow from the settings.
type scales struct {
	shortestObjective Time    // latency objective
	errorPenalty      float64 // RTT that an error counts as, in seconds
	minEstimateDecay  float64 // decay of RTT estimates with enough traffic, in seconds
}

// forever is a time that never comes.
const forever Time = math.MaxInt64

// New returns a Balancer for the settings, or an error if they are invalid. All its random decisions follow
// from the seed.
func New(settings Settings, seed uint64) (*Balancer, error) {
	if err := check(&settings); err != nil {
		return nil, err
	}
	classes := len(settings.Classes)
	b := &Balancer{
		settings:   settings,
		random:     randomSource{state: seed},
		byID:       map[HostID]*host{},
		open:       map[RequestID]*request{},
		scopes:     dedupScopes{hosts: map[scopeKey][]*host{}},
		excluded:   make([]subsetCounts, classes),
		starvation: starvationTracker{unserved: make([]decayingShare, classes)},
		typicalRTT: typicalRTTs{byClass: make([]movingAverage, classes)},
	}
	b.configure()
	b.orderQueues()
	return b, nil
}

// configure gives the rules what follows from the settings alone.
func (b *Balancer) configure() {
	b.scales = scalesOf(b.settings.Classes)
	b.sendRate.rateSpan = b.rateSpan()
	b.sendRate.growthTime = sendRateGrowthDecays * b.minEstimateDecay
	b.starvation.span = starvationSpanWindows * b.settings.OverloadWindow.Seconds()
	b.quotas.configure(b.settings.Tenants, b.settings.Instances)
}

// scalesOf returns the scales of the classes that are not retired.
func scalesOf(classes []Class) scales {
	result := scales{shortestObjective: forever}
	for _, class := range classes {
		if class.Retired {
			continue
		}
		objective := class.LatencyObjective
		result.shortestObjective = min(result.shortestObjective, objective)
		result.errorPenalty = max(result.errorPenalty, errorPenaltyObjectives*objective.Seconds())
	}
	result.minEstimateDecay = estimateDecayObjectives * result.shortestObjective.Seconds()
	return result
}

// Start is the first event: the gateway has started. Where the endpoint list has to be polled, polling begins
// here.
func (b *Balancer) Start(now Time) {
	b.now = now
	if b.settings.Poll {
		b.startPolling()
	}
}

// Request is a client's request, which is owed one final response from here on. One with an ID that is in
// use, or of an unknown class, is ignored.
func (b *Balancer) Request(now Time, arrived Request) {
	b.now = now
	unknownClass := arrived.Class < 0 || arrived.Class >= len(b.settings.Classes)
	if b.open[arrived.ID] != nil || unknownClass {
		return
	}
	request := b.openRequest(arrived)
	b.arrivals.add(now, b.rateSpan())
	b.scheduleAnswer(request.ID, request.deadline)
	switch {
	case b.tooLateToSend(request):
		b.answer(request, CauseArrivedLate)
	case b.yieldsToStarving(request):
		b.answer(request, CauseLowerPriority)
	default:
		b.dispatch(request, false)
	}
}

// openRequest returns a request that has just arrived.
func (b *Balancer) openRequest(arrived Request) *request {
	request := b.freeRequests.take()
	request.Request = arrived
	request.class = &b.settings.Classes[arrived.Class]
	request.arrived = b.now
	request.deadline = b.now + min(max(arrived.Remaining, 0), request.class.Deadline)
	request.band = b.queues.bandOf[arrived.Class][b.classifyArrival(request)]
	b.open[arrived.ID] = request
	return request
}

// AttemptStarted reports that the response of an attempt has begun to be streamed to the client, not that the
// attempt was sent: the request belongs to that attempt from here on, which still counts as in flight at its
// host. Attempts of a request are numbered from 0. It is for callers that stream within an attempt, as the
// simulator does; the engine ends the attempt instead (internal/engine, beginStreaming).
func (b *Balancer) AttemptStarted(now Time, id RequestID, number int) {
	b.now = now
	attempt := b.attemptAt(id, number)
	if attempt == nil || attempt.request.done {
		return
	}
	attempt.request.streaming = true
	b.cancelOthers(attempt.request, attempt)
}

// AttemptEnded reports the end of an attempt.
func (b *Balancer) AttemptEnded(now Time, outcome Outcome) {
	b.now = now
	attempt := b.attemptAt(outcome.Request, outcome.Attempt)
	if attempt == nil || attempt.ended {
		return
	}
	host := attempt.host
	b.endAttempt(attempt, outcome.Result)
	b.learnStalled(attempt)
	elapsed := max(outcome.Elapsed, 1) // a mean of 0 would be no divisor
	b.observe(attempt, elapsed.Seconds())
	b.updateStanding(host)
	b.afterAttempt(attempt.request, attempt, outcome.Closed) // it may free the attempt
	b.dropRemoved(host)
	b.dispatchWaiting()
}

// ClientGone reports that no client waits for the request any more.
func (b *Balancer) ClientGone(now Time, id RequestID) {
	b.now = now
	request := b.open[id]
	if request != nil && !request.done {
		b.closeRequest(request)
	}
}

// Shutdown reports that the gateway ends: open requests are due by then, however long their clients would
// wait. The time is not kept: for requests that arrive later, the caller sets Remaining so that they are due
// by then too.
func (b *Balancer) Shutdown(now, by Time) {
	b.now = now
	for _, id := range slices.Sorted(maps.Keys(b.open)) {
		request := b.open[id]
		if request.done || request.deadline <= by {
			continue
		}
		request.deadline = max(now, by)
		b.scheduleAnswer(id, by)
	}
}

// Timer reports that the time of a Wake action has come.
func (b *Balancer) Timer(now Time, token uint64) {
	b.now = now
	switch token >> tokenShift {
	case tokenSweep:
		b.sweepDue()
	case tokenPoll:
		b.pollDue()
	case tokenAnswer:
		b.answerDue(RequestID(token & (1<<tokenShift - 1)))
	}
}
