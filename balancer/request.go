package balancer

// request is a client's request with its attempts. It is kept until it has its response and all its attempts
// have ended.
type request struct {
	Request
	class              *Class
	arrived            Time
	deadline           Time
	waitUntil          Time // while it is queued: it is rejected from then on
	band               int  // index of its queue
	inFlight           int  // attempts
	done               bool // it has its final response
	answeredByBalancer bool // its response is the balancer's, for whatever Cause
	streaming          bool // a response is being streamed: the request belongs to that attempt
	queued             bool
	link               listNode[request] // in its queue
	attempts           []*attempt        // in the order sent
}

// attempt is one attempt of a request at a host.
type attempt struct {
	request         *request
	host            *host
	sentAt          Time
	ended           bool
	result          Result            // once it has ended
	trial           bool              // its host was ejected when it was sent
	overtakenBy     int               // responses of its host to attempts sent after it
	countedSilent   bool              // it was counted as a sign of overload before it ended
	canceledStalled bool              // it was canceled as stalled, so that its request can be retried
	link            listNode[attempt] // at its host
}

// tried reports whether a request has had an attempt at a host.
func (r *request) tried(host *host) bool {
	for _, attempt := range r.attempts {
		if attempt.host == host {
			return true
		}
	}
	return false
}

// firstThatMayRun returns the earliest attempt that may have run or is in flight; nil: there is none.
func (r *request) firstThatMayRun() *attempt {
	for _, attempt := range r.attempts {
		if !attempt.ended || attempt.result.MayHaveRun() {
			return attempt
		}
	}
	return nil
}

// attemptAt returns an attempt of a request by its number; nil: there is none.
func (b *Balancer) attemptAt(id RequestID, number int) *attempt {
	request := b.open[id]
	if request == nil || number < 0 || number >= len(request.attempts) {
		return nil
	}
	return request.attempts[number]
}

// freeList holds items that are no longer used, so that in steady state none is allocated.
type freeList[T any] struct{ items []*T }

// take returns an item that is not used: one that was put back, or a new one.
func (l *freeList[T]) take() *T {
	last := len(l.items) - 1
	if last < 0 {
		return new(T)
	}
	item := l.items[last]
	l.items = l.items[:last]
	return item
}

// recycle takes back a request with its attempts, as empty ones.
func (b *Balancer) recycle(unused *request) {
	for _, ended := range unused.attempts {
		*ended = attempt{} // it must not keep a host that is gone
	}
	b.freeAttempts.items = append(b.freeAttempts.items, unused.attempts...)
	clear(unused.attempts)
	*unused = request{attempts: unused.attempts[:0]}
	b.freeRequests.items = append(b.freeRequests.items, unused)
}

// releaseRequest forgets a closed request once its last attempt has ended.
func (b *Balancer) releaseRequest(request *request) {
	if !request.done || request.inFlight > 0 {
		return
	}
	delete(b.open, request.ID)
	b.recycle(request)
}
