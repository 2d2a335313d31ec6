package frontend

import (
	"strings"
	"time"

	"dunemoor/internal/drain"
	"dunemoor/internal/engine"
)

// drainTimes are the times of a drain. Load balancers are expected to poll the health check every 0.1 s and to send
// clients for 0.2 s after it has failed. After 4 s only connections with a request of the first 2 s may be open.
// Clients may have no other gateway, so their connections are kept for most of these 2 s. A request that is received
// in the rest ends its connection with its response.
var drainTimes = drain.Times{Leave: 1500 * time.Millisecond, Close: 1900 * time.Millisecond}

// SetNotReady makes the health check fail until SetReady.
func (a *Admission) SetNotReady() { a.notReady.Store(true) }

// SetReady undoes SetNotReady.
func (a *Admission) SetReady() { a.notReady.Store(false) }

// StartDrain starts a drain. If one is in progress it does nothing.
func (a *Admission) StartDrain() {
	d := drain.Drain{}.Quiesce(wallClock(), drainTimes)
	if !a.drain.CompareAndSwap(nil, &d) {
		return
	}
	select {
	case a.drainStarted <- struct{}{}:
	default: // the last start has not been received yet
	}
}

// DrainStarted receives when a drain has started. It is for one receiver.
func (a *Admission) DrainStarted() <-chan struct{} { return a.drainStarted }

// CancelDrain ends the drain in progress, if any.
func (a *Admission) CancelDrain() { a.drain.Store(nil) }

// Draining returns the state of the drain and how long it lasts; 0: until CancelDrain.
func (a *Admission) Draining() (drain.State, time.Duration) {
	d := a.drain.Load()
	if d == nil {
		return drain.Serving, 0
	}
	now := wallClock()
	state := d.State(now)
	next, never := d.Next(now)
	if never {
		return state, 0
	}
	return state, max(next-now, 1)
}

// DrainEndsConnections reports whether a drain has reached the state in which connections end with their responses.
func (a *Admission) DrainEndsConnections() bool {
	state, _ := a.Draining()
	return state >= drain.Leaving
}

// wallClock returns the time since 1970.
func wallClock() time.Duration { return time.Duration(time.Now().UnixNano()) }

// Health reports whether requests can be served, with the text of the health check: why not, or which pools can't
// serve theirs.
func (a *Admission) Health() (healthy bool, text string) {
	if a.stopping.Load() {
		return false, "stopping\n"
	}
	if state, _ := a.Draining(); state != drain.Serving {
		return false, "draining: " + state.String() + "\n"
	}
	if a.notReady.Load() {
		return false, "starting\n"
	}
	snapshot := a.Engine.Snapshot()
	if snapshot == nil {
		return false, "starting\n"
	}
	defer snapshot.Release()
	return poolHealth(snapshot)
}

// poolHealth reports whether any pool has hosts that take requests, and names the pools that have none.
func poolHealth(snapshot *engine.Snapshot) (healthy bool, text string) {
	var unavailable strings.Builder
	snapshot.Pools(func(p *engine.Pool) {
		if p.Ready() {
			healthy = true
		} else if p.Name != "" {
			unavailable.WriteString("pool " + p.Name + ": no host takes requests\n")
		}
	})
	switch {
	case unavailable.Len() > 0:
		return healthy, unavailable.String()
	case healthy:
		return true, "ok\n"
	default:
		return false, "no hosts known\n"
	}
}
