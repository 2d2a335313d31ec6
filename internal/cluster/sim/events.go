package sim

import (
	"container/heap"
	"time"
)

// event is a function that runs at a virtual time. Events with the same time run in the order in which they
// were scheduled.
type event struct {
	at       time.Duration
	sequence uint64
	do       func()
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(*event)) }

func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// afterFunc schedules do to run after a delay in virtual time.
func (w *World) afterFunc(d time.Duration, do func()) {
	w.scheduled++
	heap.Push(&w.events, &event{w.Now + d, w.scheduled, do})
}

// drawDuration returns a random duration from low to high, both inclusive.
func (w *World) drawDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rng.Int64N(int64(high-low)+1))
}

// Run runs the simulation for a duration of virtual time, or until an invariant is violated.
func (w *World) Run(d time.Duration) error {
	end := w.Now + d
	for w.Violation == nil && len(w.events) > 0 && w.events[0].at <= end {
		e := heap.Pop(&w.events).(*event)
		w.Now = e.at
		e.do()
	}
	if w.Violation == nil {
		w.Now = end
	}
	return w.Violation
}
