package simulator

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"

	"dunemoor/balancer"
)

// Events are popped by time, and events at the same time in the order in which they were pushed.
func TestEventQueueOrder(t *testing.T) {
	const seed = 3
	rng := rand.New(rand.NewPCG(seed, 0))
	var q eventQueue
	last := event{at: -1}
	for range 20_000 {
		if len(q.heap) == 0 || rng.IntN(5) < 3 {
			q.push(event{at: balancer.Time(rng.IntN(50)) + max(last.at, 0)})
			continue
		}
		e := q.pop()
		if !before(&last, &e) && last.at >= 0 {
			t.Fatalf("seed %d: got %v after %v, want events in order", seed, e, last)
		}
		last = e
	}
}

// binaryHeap is the same queue implemented with container/heap.
type binaryHeap []event

func (q binaryHeap) Len() int           { return len(q) }
func (q binaryHeap) Less(i, j int) bool { return before(&q[i], &q[j]) }
func (q binaryHeap) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *binaryHeap) Push(x any)        { *q = append(*q, x.(event)) }
func (q *binaryHeap) Pop() any {
	e := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return e
}

// BenchmarkEventQueue pops and pushes an event in a queue of n events, and compares with container/heap.
func BenchmarkEventQueue(b *testing.B) {
	for _, n := range []int{1000, 100_000} {
		b.Run(fmt.Sprint("eventQueue/", n), func(b *testing.B) {
			rng := rand.New(rand.NewPCG(1, 2))
			var q eventQueue
			for range n {
				q.push(event{at: balancer.Time(rng.IntN(1e9))})
			}
			for b.Loop() {
				e := q.pop()
				e.at += balancer.Time(rng.IntN(1e9))
				q.push(e)
			}
		})
		b.Run(fmt.Sprint("container-heap/", n), func(b *testing.B) {
			rng := rand.New(rand.NewPCG(1, 2))
			var q binaryHeap
			for i := range n {
				heap.Push(&q, event{at: balancer.Time(rng.IntN(1e9)), sequence: uint64(i)})
			}
			for b.Loop() {
				e := heap.Pop(&q).(event)
				e.at += balancer.Time(rng.IntN(1e9))
				heap.Push(&q, e)
			}
		})
	}
}
