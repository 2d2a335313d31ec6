package simulator

import "dunemoor/balancer"

// eventKind is a kind of event. It determines the meaning of the event's fields.
type eventKind uint8

const (
	eventFirstRequest      eventKind = iota // a new client sends its first request of class index
	eventRetry                              // a client sends request again
	eventAttemptArrives                     // the attempt with this number of request arrives at its host
	eventAttemptResult                      // the result (index) of the attempt with this number of request arrives at its gateway
	eventAttemptTimeout                     // the attempt with this number of request times out at its gateway
	eventClientDisconnects                  // the client of request disconnects; number is 1 if it does so early
	eventTimer                              // a timer of gateway index fires; number is its token
	eventServiceDone                        // host index has served a request
	eventHostSpeed                          // the speed of host index may have changed
	eventFault                              // fault index begins (number is 1) or ends (number is 0)
	eventEndpointUpdate                     // gateway index receives the state of host number
	eventFaultStep                          // fault index begins to drain gateway or host number
	eventDrained                            // the draining period of gateway or host number, which fault index drains, ends
	eventPollDone                           // a poll of gateway index ends; number is 1 if it succeeded
	eventSecond                             // a full second of the run has passed
	eventPartitionDetected                  // discovery detects that host index is partitioned
)

// event is a scheduled event. The meaning of its fields depends on its kind.
type event struct {
	at          balancer.Time
	sequence    uint64 // orders events at the same time: the one scheduled first runs first
	kind        eventKind
	index       int32  // index of a gateway, host, class or fault, or a result
	incarnation uint32 // incarnation of the gateway that set a timer
	poll        uint32 // number of the poll at its gateway
	number      uint64
	request     *request
}

// before reports whether a runs before b.
func before(a, b *event) bool {
	if a.at != b.at {
		return a.at < b.at
	}
	return a.sequence < b.sequence
}

// eventQueue is a priority queue of scheduled events. It is a heap with four children per node: it has half the
// levels of a binary heap, and the four children are adjacent in memory.
type eventQueue struct {
	heap         []event
	lastSequence uint64
}

// heapArity is the number of children of a heap node.
const heapArity = 4

// next returns the time of the next event; ok is false if there is none.
func (q *eventQueue) next() (at balancer.Time, ok bool) {
	if len(q.heap) == 0 {
		return 0, false
	}
	return q.heap[0].at, true
}

// push adds an event.
func (q *eventQueue) push(e event) {
	q.lastSequence++
	e.sequence = q.lastSequence
	q.heap = append(q.heap, e)
	i := len(q.heap) - 1
	for i > 0 {
		parent := (i - 1) / heapArity
		if !before(&e, &q.heap[parent]) {
			break
		}
		q.heap[i] = q.heap[parent]
		i = parent
	}
	q.heap[i] = e
}

// pop removes and returns the next event. The queue must not be empty.
func (q *eventQueue) pop() event {
	first := q.heap[0]
	last := len(q.heap) - 1
	moved := q.heap[last]
	q.heap[last] = event{}
	q.heap = q.heap[:last]
	if last > 0 {
		q.siftDown(moved)
	}
	return first
}

// siftDown inserts e into a heap whose root is free.
func (q *eventQueue) siftDown(e event) {
	size := len(q.heap)
	i := 0
	for {
		child := heapArity*i + 1
		if child >= size {
			break
		}
		earliest := child
		for k := child + 1; k < min(child+heapArity, size); k++ {
			if before(&q.heap[k], &q.heap[earliest]) {
				earliest = k
			}
		}
		if !before(&q.heap[earliest], &e) {
			break
		}
		q.heap[i] = q.heap[earliest]
		i = earliest
	}
	q.heap[i] = e
}
