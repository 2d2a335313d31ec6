package balancer

import "sort"

const (
	// duplicateWeight is the priority of a client's duplicate in the queues, as a share of its class's:
	// it may come too late.
	duplicateWeight = 0.5
	// maxQueueTimeObjectives is how long after its arrival a request may still wait, in latency objectives of
	// its class, divided by the instances that share a host.
	maxQueueTimeObjectives = 0.2
	// sweepIntervalObjectives is the time between checks of the queues and of busy hosts, in shortest latency
	// objectives.
	sweepIntervalObjectives = 1.0 / 16
)

// classPart is a part of a class that has a queue of its own. Its bits may both be set.
type classPart int

// Bits of a part.
const (
	partOverQuota classPart = 1 << iota // beyond the tenant's quota
	partDuplicate                       // the client has sent the request before

	classParts = 4
)

// requestQueues decides in which order waiting requests are sent: by the priority weight of their class, and
// lower for those beyond their tenant's quota and for duplicates. Within a queue the oldest is first, except
// that a retry goes to the front. A request that has provably never run and finds no host holds up all behind
// it, in its own queue and in all lower ones, also requests that could use other hosts (dispatchQueue).
type requestQueues struct {
	byPriority   []linkedList[request] // the highest first
	bandOf       [][classParts]int     // index of the queue by class and part
	length       int                   // waiting requests
	lastUnserved Time                  // when a request last found no host; 0: never
}

// classifyArrival returns the part of its class that a request belongs to. It takes a token from the tenant's
// quota, and so is called once for a request: when it arrives.
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

// orderQueues makes the queues, one for each part of each class, by weight. Of equal weights, the one
// with the tighter latency objective is first.
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
	b.queues.bandOf = make([][classParts]int, len(b.settings.Classes))
	b.queues.byPriority = make([]linkedList[request], len(queues))
	for band, queue := range queues {
		b.queues.bandOf[queue.class][queue.part] = band
	}
}

// pushBack adds a request behind the others of its queue.
func (q *requestQueues) pushBack(request *request) {
	q.countQueued(request)
	q.byPriority[request.band].pushBack(&request.link)
}

// pushFront adds a request ahead of the others of its queue.
func (q *requestQueues) pushFront(request *request) {
	q.countQueued(request)
	q.byPriority[request.band].pushFront(&request.link)
}

func (q *requestQueues) countQueued(request *request) {
	request.queued = true
	request.link.item = request
	q.length++
}

// remove removes a request from its queue, if it is in one.
func (q *requestQueues) remove(request *request) {
	if !request.queued {
		return
	}
	q.byPriority[request.band].remove(&request.link)
	request.queued = false
	q.length--
}

// maxQueueTime returns how long after its arrival a request may wait for a host. A retry has no time of its
// own: one that finds no host later than that after the request's arrival is rejected at once. The time is a
// small share of the latency objective, the smaller the more instances share a host, as capacity there then
// becomes free by responses to others, which are not seen here. Rejected early, a client may still be served
// in time elsewhere or later.
func (b *Balancer) maxQueueTime(class *Class) Time {
	return Time(maxQueueTimeObjectives * float64(class.LatencyObjective) / b.sharingInstances())
}

// enqueue queues a request, a retry at the front.
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

// dispatchWaiting rejects what has waited too long and sends what waits, by priority, as far as hosts are
// ready.
func (b *Balancer) dispatchWaiting() {
	for band := range b.queues.byPriority {
		b.rejectExpired(&b.queues.byPriority[band])
	}
	for band := range b.queues.byPriority {
		noneReady := b.dispatchQueue(&b.queues.byPriority[band])
		if noneReady {
			break
		}
	}
	b.scheduleSweep()
}

// rejectExpired rejects the requests of a queue that have waited too long. The oldest is at the front.
func (b *Balancer) rejectExpired(queue *linkedList[request]) {
	for queue.head != nil && b.now >= queue.head.item.waitUntil {
		b.log(logRejecting, "rejecting requests: hosts at their limits, %d queued", b.queues.length)
		b.answer(queue.head.item, CauseQueueTimeout)
	}
}

// dispatchQueue sends what waits in a queue. It stops at the first request that has provably never run and
// finds no host, and reports that: the caller then sends nothing of the lower queues either. A request that
// may have run, such as a retry that is bound to its scope, does not hold up those behind it.
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

// sweep is the periodic check of queues and busy hosts, which runs while there are any.
type sweep struct {
	at       Time // when it is due; 0: none is scheduled
	inFlight int  // attempts in flight at the last sweep, and sent since
}

// scheduleSweep makes sure that queues and busy hosts are checked again.
func (b *Balancer) scheduleSweep() {
	needed := b.queues.length > 0 || b.sweep.inFlight > 0
	if b.sweep.at != 0 || !needed {
		return
	}
	interval := Time(float64(b.shortestObjective) * sweepIntervalObjectives)
	b.sweep.at = b.now + max(b.settings.Step, interval)
	b.wake(b.sweep.at, tokenSweep<<tokenShift)
}

// sweepDue checks queues and busy hosts if that is due.
func (b *Balancer) sweepDue() {
	if b.now < b.sweep.at {
		return
	}
	b.sweep.at = 0
	b.checkBusyHosts()
	b.dispatchWaiting()
}
