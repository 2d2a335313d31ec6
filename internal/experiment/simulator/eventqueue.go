package simulator

import "dunemoor/balancer"

// eventKind is a kind of event; it says what the fields of an event mean.
type eventKind uint8

const (
	eventFirstRequest      eventKind = iota // a client of class index sends its first request
	eventRetry                              // a client sends request again
	eventAttemptArrives                     // attempt number of request arrives at its host
	eventAttemptResult                      // the result index of attempt number of request arrives at its gateway
	eventAttemptTimeout                     // attempt number of request times out at its gateway
	eventClientLeaves                       // the client of request leaves; number 1: early
	eventTimer                              // a timer of gateway index; number is its token
	eventServiceDone                        // host index has served a request
	eventHostSpeed                          // the speed of host index may have changed
	eventFault                              // fault index begins (number 1) or ends (number 0)
	eventEndpointUpdate                     // gateway index learns of host number
	eventFaultStep                          // fault index reaches target number in its steps
	eventDrained                            // the gateway or host number that fault index drains stops
	eventPollDone                           // a poll of gateway index ends; number 1: with a list
	eventSecond                             // a second has passed
	eventPartitionDetected                  // discovery notices that host index is partitioned
)

// event is an event to come. What its fields mean depends on its kind.
type event struct {
	at          balancer.Time
	sequence    uint64 // orders events at the same instant: first scheduled, first run
	kind        eventKind
	index       int32  // a gateway, a host, a class, a fault or a result
	incarnation uint32 // of the gateway that set a timer
	poll        uint32 // number of a poll, counted by its gateway
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

// eventQueue holds the events to come, the next one first. It is a heap with four children a node, which has
// half the levels of a binary heap, and the four share one or two cache lines.
type eventQueue struct {
	heap         []event
	lastSequence uint64
}

// heapArity is the number of children of a node.
const heapArity = 4

// next returns the time of the next event; ok is false where there is none.
func (q *eventQueue) next() (at balancer.Time, ok bool) {
	if len(q.heap) == 0 {
		return 0, false
	}
	return q.heap[0].at, true
}

// push schedules an event.
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

// siftDown places e, starting from a free root.
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
