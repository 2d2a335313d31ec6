package balancer

// Queues of requests that wait for a host.

const (
	duplicateWeight = 0.5      // priority of a client's duplicate in the queues, as a share: it may come late
	maxWaitShare    = 0.2      // of its objective that a request waits at most, by the instances at a host
	sweepShare      = 1.0 / 16 // interval between checks of queues and silent hosts, in shortest objectives
)

// enqueue queues a request, a retry at the front. It may wait for a small share of its objective, the
// smaller the more instances share a host, as capacity there then becomes free by responses to others, which
// are not seen here. Rejected early, a client may still be served in time elsewhere or later.
func (b *Balancer) enqueue(r *request, front bool) {
	r.waitUntil = r.arrived + Time(maxWaitShare*float64(r.class.LatencyObjective)/b.sharingInstances())
	b.lastUnserved = b.now
	b.addToQueue(r, front)
	b.scheduleSweep()
}

// dispatchWaiting rejects what has waited too long and sends what waits, by priority, as far as hosts are
// ready.
func (b *Balancer) dispatchWaiting() {
	for i := range b.queues {
		for n := b.queues[i].head; n != nil && b.now >= n.item.waitUntil; n = b.queues[i].head {
			b.log(logRefuse, "refusing: hosts are full, %d requests wait", b.queued)
			b.answer(n.item, CauseQueueTimeout)
		}
	}
	for i := range b.queues {
		if full := b.dispatchQueue(&b.queues[i]); full {
			break
		}
	}
	b.scheduleSweep()
}

// dispatchQueue sends what waits in a queue. A retry that is bound to its scope does not hold up those
// behind it. It reports whether no host is ready for a request that was not sent yet.
func (b *Balancer) dispatchQueue(q *linkedList[request]) (full bool) {
	for n := q.head; n != nil; {
		r, next := n.item, n.next
		if h := b.pick(r); h != nil {
			b.dequeue(r)
			b.send(r, h)
		} else if r.firstThatMayRun() == nil {
			return true
		}
		n = next
	}
	return false
}

// scheduleSweep makes sure that queues and busy hosts are checked again.
func (b *Balancer) scheduleSweep() {
	if b.sweepAt == 0 && (b.queued > 0 || b.inFlight > 0) {
		b.sweepAt = b.now + max(b.set.Step, Time(float64(b.shortestObjective)*sweepShare))
		b.wake(b.sweepAt, tokenSweep<<tokenShift)
	}
}
