package balancer

// request is the state of a client's request and its attempts. It is kept until the request has its final
// response and all its attempts have ended.
type request struct {
	Request
	class              *Class
	arrived            Time
	deadline           Time
	waitUntil          Time // while it is queued: the time at which it is rejected
	queueIndex         int  // index of its queue in requestQueues.byPriority
	inFlight           int  // number of attempts in flight
	done               bool // the request has its final response, or needs none
	answeredByBalancer bool // the final response is from the balancer, not from a host
	streaming          bool // a response is being streamed to the client; no other attempt can serve it
	queued             bool
	link               listNode[request] // node in its queue
	attempts           []*attempt        // all attempts in the order they were sent
}

// attempt is one attempt of a request at a host.
type attempt struct {
	request         *request
	host            *host
	zone            int // zone and cell of the host's process; a later process may be in others
	cell            int
	sentAt          Time
	ended           bool
	result          Result            // valid once ended is set
	trial           bool              // sent while the host had not responded since its last ejection
	overtakenBy     int               // successful responses of the host to attempts that were sent later
	countedSilent   bool              // reported to the send rate controller as slow before the attempt ended
	canceledStalled bool              // the attempt was canceled as stalled, so its request can be retried
	link            listNode[attempt] // node in host.attempts
}

// tried reports whether an attempt of the request was sent to the host.
func (r *request) tried(host *host) bool {
	for _, attempt := range r.attempts {
		if attempt.host == host {
			return true
		}
	}
	return false
}

// firstThatMayRun returns the earliest attempt that is in flight or may have run, or nil if there is none.
func (r *request) firstThatMayRun() *attempt {
	for _, attempt := range r.attempts {
		if !attempt.ended || attempt.result.MayHaveRun() {
			return attempt
		}
	}
	return nil
}

// attemptAt returns the attempt of a request with the given index, or nil if there is none.
func (b *Balancer) attemptAt(id RequestID, number int) *attempt {
	request := b.open[id]
	if request == nil || number < 0 || number >= len(request.attempts) {
		return nil
	}
	return request.attempts[number]
}

// freeList holds unused items for reuse, so that nothing is allocated in the steady state.
type freeList[T any] struct{ items []*T }

// take returns an unused item from the list, or a new one if the list is empty.
func (l *freeList[T]) take() *T {
	last := len(l.items) - 1
	if last < 0 {
		return new(T)
	}
	item := l.items[last]
	l.items = l.items[:last]
	return item
}

// recycle resets a request and its attempts and returns them to the free lists.
func (b *Balancer) recycle(unused *request) {
	for _, ended := range unused.attempts {
		*ended = attempt{} // avoids retaining a removed host
	}
	b.freeAttempts.items = append(b.freeAttempts.items, unused.attempts...)
	clear(unused.attempts)
	*unused = request{attempts: unused.attempts[:0]}
	b.freeRequests.items = append(b.freeRequests.items, unused)
}

// releaseRequest deletes a closed request once its last attempt has ended.
func (b *Balancer) releaseRequest(request *request) {
	if !request.done || request.inFlight > 0 {
		return
	}
	delete(b.open, request.ID)
	b.recycle(request)
}
