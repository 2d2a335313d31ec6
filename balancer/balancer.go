package balancer

import (
	"maps"
	"math"
	"slices"
)

// Balancer makes the load balancing decisions for one pool of one gateway. It is not safe for concurrent
// use.
//
// Each rule is a type or a few functions in the file of that name:
//
//	selection.go    which of two random hosts is chosen, and when selection fails open
//	rtt.go          the RTT estimate of each host, on which the choice is based
//	standing.go     which hosts are ready according to the rules below
//	concurrency.go  how many attempts a host may have in flight
//	slowstart.go    how often a recently started host is sent an attempt
//	ejection.go     when a host is ejected and when it gets a trial request
//	silence.go      when a host is considered silent
//	stalled.go      when an attempt on a silent connection is canceled
//	exclusion.go    when a host is excluded for a class because of error responses
//	sendrate.go     how many attempts are sent to all hosts together
//	starvation.go   when a request is rejected in favor of a class of higher priority
//	quota.go        which requests exceed the quota of their tenant
//	queue.go        how long and in which order requests wait for a host
//	deadline.go     when a request is answered at the latest
//	retry.go        whether a request gets another attempt
//	response.go     the final response and its Retry-After
//	attempt.go      how the end of an attempt updates the state
//	subset.go       which part of the hosts this instance uses
//	ring.go         the order of hosts that is the same in all instances
//	endpoints.go    how an endpoint list is applied
//	polling.go      when discovery is polled for the endpoint list
//	scope.go        which hosts drop duplicates of a request with an idempotency key
//	averages.go     the weights of samples in moving averages
//
// This file contains the event methods, except UpdateEndpoints (endpoints.go), HealthCheckPassed
// (ejection.go) and Retune (retune.go). The types of the API are in api.go, except HostView (view.go).
type Balancer struct {
	settings Settings
	scales
	now     Time // time of the event being handled
	random  randomSource
	actions []Action
	logs    [logKinds]logLimiter

	// Hosts.
	hosts        []*host // all hosts, in an order that does not depend on map iteration
	byID         map[HostID]*host
	sets         hostSets       // the subset, and the ready hosts in it
	dueStandings dueHeap        // hosts by the time that nextStandingChange returned
	counts       subsetCounts   // counts of hosts in the subset
	excluded     []subsetCounts // the same for the hosts excluded for a class, by class
	ring         hostRing
	subset       subset
	scopes       dedupScopes

	// Requests.
	open     map[RequestID]*request
	arrivals decayingRate // requests per second
	queues   requestQueues
	sweep    sweep

	// State of the rules that do not concern a single host.
	typicalRTT typicalRTTs
	sendRate   sendRateController
	quotas     tenantQuotas
	starvation starvationTracker
	pacer      slowStartPacer
	stalled    stalledAttempts
	poller     endpointPoller

	// Buffers and free lists, reused to avoid allocations.
	touched      []*host // hosts that UpdateEndpoints may have changed
	candidates   []*host // hosts that pick chooses from
	freeRequests freeList[request]
	freeAttempts freeList[attempt]
}

// scales are reference values that several rules derive their constants from. They depend only on the
// settings.
type scales struct {
	shortestObjective Time    // shortest latency objective of all classes
	errorPenalty      float64 // RTT assumed for an error, in seconds
	minEstimateDecay  float64 // time constant of RTT estimates while there is enough traffic, in seconds
}

// forever is later than any event. It stands for a time that is not set or never comes.
const forever Time = math.MaxInt64

// New returns a Balancer with the given settings, or an error if they are invalid. The seed determines all
// its random decisions.
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

// configure computes the parameters of the rules that depend only on the settings.
func (b *Balancer) configure() {
	b.scales = scalesOf(b.settings.Classes)
	b.sendRate.rateSpan = b.rateSpan()
	b.sendRate.growthTime = sendRateGrowthDecays * b.minEstimateDecay
	b.starvation.span = starvationSpanWindows * b.settings.OverloadWindow.Seconds()
	b.quotas.configure(b.settings.Tenants, b.settings.Instances)
}

// scalesOf returns the scales for the classes that are not retired.
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

// Start is the first event: the gateway has started. If the settings require polling, the first poll of the
// endpoint list is scheduled.
func (b *Balancer) Start(now Time) {
	b.now = now
	if b.settings.Poll {
		b.startPolling()
	}
}

// Request reports a client's request. From then on the Balancer ensures that it gets exactly one final
// response. A request with an ID in use or of an unknown class is ignored.
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

// openRequest returns the state of a request that has just arrived.
func (b *Balancer) openRequest(arrived Request) *request {
	request := b.freeRequests.take()
	request.Request = arrived
	request.class = &b.settings.Classes[arrived.Class]
	request.arrived = b.now
	request.deadline = b.now + min(max(arrived.Remaining, 0), request.class.Deadline)
	request.queueIndex = b.queues.queueOf[arrived.Class][b.classifyArrival(request)]
	b.open[arrived.ID] = request
	return request
}

// ResponseStarted reports that the gateway has begun to stream the response of an attempt to the client (not
// that the attempt was sent). From then on no other attempt can serve the request; the attempt still counts
// as in flight at its host. number is the index of the attempt, from 0. It is for callers that keep the
// attempt open while they stream, such as the simulator; the engine ends the attempt instead
// (internal/engine, beginStreaming).
func (b *Balancer) ResponseStarted(now Time, id RequestID, number int) {
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
	b.observeStalled(attempt)
	elapsed := max(outcome.Elapsed, 1) // a mean of 0 could not be used as a divisor
	b.observe(attempt, elapsed.Seconds())
	b.updateStanding(host)
	b.afterAttempt(attempt.request, attempt, outcome.Closed) // may free the attempt
	b.dropRemoved(host)
	b.dispatchWaiting()
}

// ClientGone reports that the client no longer waits for the response to a request.
func (b *Balancer) ClientGone(now Time, id RequestID) {
	b.now = now
	request := b.open[id]
	if request != nil && !request.done {
		b.closeRequest(request)
	}
}

// Shutdown reports that the gateway stops at the time by: open requests get their final response by then,
// even if their deadlines are later; a request whose response is being streamed is left to finish. The time
// is not stored: the caller must set Remaining of requests that arrive later so that they are due by then
// as well.
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
