package engine

import (
	"time"

	"dunemoor/balancer"
)

// clock is the balancers' clock. It starts at the Unix time at which the engine was created, and then advances with
// the monotonic clock. So started_ms of a host always converts to the same time, whenever it is converted, and a step
// of the wall clock has no effect.
type clock struct {
	start time.Time
}

func (c clock) now() balancer.Time { return c.at(time.Now()) }

// at converts an instant to a time on the balancers' clock.
func (c clock) at(t time.Time) balancer.Time {
	return balancer.Time(c.start.UnixNano()) + t.Sub(c.start)
}

// time converts a time on the balancers' clock to an instant with a monotonic reading.
func (c clock) time(t balancer.Time) time.Time {
	return c.start.Add(t - balancer.Time(c.start.UnixNano()))
}

// timer is a timer that the balancer of a pool has requested by the action Wake.
type timer struct {
	at    balancer.Time
	token uint64
	pool  *Pool
}

// timerQueue is a heap of timers, the earliest first.
type timerQueue []timer

func (q timerQueue) Len() int           { return len(q) }
func (q timerQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q timerQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *timerQueue) Push(t any)        { *q = append(*q, t.(timer)) }
func (q *timerQueue) Pop() any {
	last := len(*q) - 1
	t := (*q)[last]
	(*q)[last] = timer{}
	*q = (*q)[:last]
	return t
}
