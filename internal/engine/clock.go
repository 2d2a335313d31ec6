package engine

import (
	"time"

	"dunemoor/balancer"
)

// clock is the module's: Unix time as it was at the start, monotonic from then
// on. So started_ms converts without reference to now, the same each time it is
// told, and a step of the wall clock moves nothing.
type clock struct {
	start time.Time
}

func (c clock) now() balancer.Time { return c.at(time.Now()) }

func (c clock) at(t time.Time) balancer.Time {
	return balancer.Time(c.start.UnixNano()) + t.Sub(c.start)
}

// time is the instant of a module time, with a monotonic reading.
func (c clock) time(t balancer.Time) time.Time {
	return c.start.Add(t - balancer.Time(c.start.UnixNano()))
}

// wake is a timer of a Balancer.
type wake struct {
	at    balancer.Time
	token uint64
	pool  *Pool
}

// timers is a heap, the next one first.
type timers []wake

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(w any)        { *t = append(*t, w.(wake)) }
func (t *timers) Pop() any {
	last := len(*t) - 1
	w := (*t)[last]
	(*t)[last] = wake{}
	*t = (*t)[:last]
	return w
}
