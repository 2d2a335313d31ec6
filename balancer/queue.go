package balancer

import "sort"

const (
	// duplicateWeight is the factor applied to the priority weight of a request that the client has sent
	// before. Its response may come too late.
	duplicateWeight = 0.5
	// maxQueueTimeObjectives is the maximum time from its arrival that a request may wait, in latency
	// objectives of its class, divided by the number of instances that share a host.
	maxQueueTimeObjectives = 0.2
	// sweepIntervalObjectives is the interval of the checks of queues and busy hosts, in shortest latency
	// objectives.
	sweepIntervalObjectives = 1.0 / 16
)

// classPart is a part of a class that has its own queue. It is a bit set.
type classPart int

// Bits of a classPart.
const (
	partOverQuota classPart = 1 << iota // over the quota of the tenant
	partDuplicate                       // the client has sent the request before

	classParts = 4
)

// requestQueues determines the order in which waiting requests are sent: by the priority weight of their
// class, which is reduced for requests over their tenant's quota and for duplicates. Within a queue the
// oldest request is first, except that a retry goes to the front. A request that has certainly never run
// and finds no host blocks all requests behind it, in its own queue and in all queues of lower priority,
// including requests that could use other hosts (dispatchQueue).
type requestQueues struct {
	byPriority   []linkedList[request] // highest priority first
	queueOf      [][classParts]int     // index in byPriority, by class and part
	length       int                   // number of waiting requests
	lastUnserved Time                  // time at which a request was last queued; 0 if none ever was
}

// classifyArrival returns the part of its class that a new request belongs to. It takes a token from the
// quota of the tenant and therefore must be called only once per request, on arrival.
func (b *Balancer) classifyArrival(arrived *request) classPart {
	var part classPart
	withinQuota := b.quotas.take(b.now, arrived.Tenant)
	if !withinQuota {
		part |= partOverQuota
	}
	if arrived.Duplicate {
		part |= partDuplicate
	}
	return part
}

// partWeight returns the priority weight of a part of a class.
func (b *Balancer) partWeight(class *Class, part classPart) float64 {
	weight := class.PriorityWeight
	if part&partOverQuota != 0 {
		weight *= b.settings.OverQuotaWeight
	}
	if part&partDuplicate != 0 {
		weight *= duplicateWeight
	}
	return weight
}

// orderQueues creates the queues, one for each part of each class, ordered by weight. Of queues with equal
// weights, the one with the tighter latency objective comes first.
func (b *Balancer) orderQueues() {
	type queue struct {
		class  int
		part   classPart
		weight float64
	}
	var queues []queue
	for class := range b.settings.Classes {
		for part := range classPart(classParts) {
			weight := b.partWeight(&b.settings.Classes[class], part)
			queues = append(queues, queue{class, part, weight})
		}
	}
	objective := func(i int) Time { return b.settings.Classes[queues[i].class].LatencyObjective }
	sort.SliceStable(queues, func(i, j int) bool {
		if queues[i].weight != queues[j].weight {
			return queues[i].weight > queues[j].weight
		}
		return objective(i) < objective(j)
	})
	b.queues.queueOf = make([][classParts]int, len(b.settings.Classes))
	b.queues.byPriority = make([]linkedList[request], len(queues))
	for index, queue := range queues {
		b.queues.queueOf[queue.class][queue.part] = index
	}
}

// pushBack adds a request to the back of its queue.
func (q *requestQueues) pushBack(request *request) {
	q.countQueued(request)
	q.byPriority[request.queueIndex].pushBack(&request.link)
}

// pushFront adds a request to the front of its queue.
func (q *requestQueues) pushFront(request *request) {
	q.countQueued(request)
	q.byPriority[request.queueIndex].pushFront(&request.link)
}

func (q *requestQueues) countQueued(request *request) {
	request.queued = true
	request.link.item = request
	q.length++
}

// remove removes a request from its queue, if it is queued.
func (q *requestQueues) remove(request *request) {
	if !request.queued {
		return
	}
	q.byPriority[request.queueIndex].remove(&request.link)
	request.queued = false
	q.length--
}

// maxQueueTime returns how long after its arrival a request may wait for a host. Retries get no additional
// time: a retry that finds no host later than that after the arrival of the request is rejected at once.
// The time is a small share of the latency objective, and the smaller the more instances share a host,
// because the capacity of the host is then mostly freed by responses to other instances, which this
// instance does not see. After an early rejection the client can still be served in time elsewhere or
// later.
func (b *Balancer) maxQueueTime(class *Class) Time {
	return Time(maxQueueTimeObjectives * float64(class.LatencyObjective) / b.sharingInstances())
}

// enqueue adds a request to its queue, a retry at the front.
func (b *Balancer) enqueue(request *request, isRetry bool) {
	request.waitUntil = request.arrived + b.maxQueueTime(request.class)
	b.queues.lastUnserved = b.now
	if isRetry {
		b.queues.pushFront(request)
	} else {
		b.queues.pushBack(request)
	}
	b.scheduleSweep()
}

// dispatchWaiting rejects requests that have waited too long and sends waiting requests in order of
// priority while hosts are ready.
func (b *Balancer) dispatchWaiting() {
	for index := range b.queues.byPriority {
		b.rejectExpired(&b.queues.byPriority[index])
	}
	for index := range b.queues.byPriority {
		noneReady := b.dispatchQueue(&b.queues.byPriority[index])
		if noneReady {
			break
		}
	}
	b.scheduleSweep()
}

// rejectExpired rejects the requests of a queue that have waited too long. It stops at the first request
// that may still wait: an older one behind a retry is rejected after that retry has left the queue.
func (b *Balancer) rejectExpired(queue *linkedList[request]) {
	for queue.head != nil && b.now >= queue.head.item.waitUntil {
		b.log(logRejecting, "rejecting requests: hosts at their limits, %d queued", b.queues.length)
		b.answer(queue.head.item, CauseQueueTimeout)
	}
}

// dispatchQueue sends the waiting requests of a queue. It stops at the first request that has certainly
// never run and finds no host, and returns true, so that the caller sends nothing from queues of lower
// priority either. A request that may have run, such as a retry that is restricted to a deduplication
// scope, does not block those behind it.
func (b *Balancer) dispatchQueue(queue *linkedList[request]) (noneReady bool) {
	node := queue.head
	for node != nil {
		request := node.item
		next := node.next
		host := b.pick(request)
		switch {
		case host != nil:
			b.queues.remove(request)
			b.send(request, host)
		case request.firstThatMayRun() == nil:
			return true
		}
		node = next
	}
	return false
}

// sweep is the state of the periodic check of queues and busy hosts. The check runs while any exist.
type sweep struct {
	at       Time // time of the next sweep; 0 if none is scheduled
	inFlight int  // attempts in flight at the last sweep plus those sent since
}

// scheduleSweep schedules the next sweep if one is needed and none is scheduled.
func (b *Balancer) scheduleSweep() {
	needed := b.queues.length > 0 || b.sweep.inFlight > 0
	if b.sweep.at != 0 || !needed {
		return
	}
	interval := Time(float64(b.shortestObjective) * sweepIntervalObjectives)
	b.sweep.at = b.now + max(b.settings.Step, interval)
	b.wake(b.sweep.at, tokenSweep<<tokenShift)
}

// sweepDue checks the queues and busy hosts if a sweep is due.
func (b *Balancer) sweepDue() {
	if b.now < b.sweep.at {
		return
	}
	b.sweep.at = 0
	b.checkBusyHosts()
	b.dispatchWaiting()
}
