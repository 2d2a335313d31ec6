package frontend

import (
	"strings"
	"time"

	"dunemoor/internal/drain"
	"dunemoor/internal/engine"
)

// drainTimes are the times, after the start of a drain, at which it enters its later states. Load balancers are
// expected to poll the health check every 0.1 s and to send new clients for up to 0.2 s after it has failed. After 4 s,
// only connections with a request that was received in the first 2 s may still be open. Connections are kept for most
// of these 2 s, because clients may have no other gateway to connect to. In the remaining time each connection is
// closed after its next response.
var drainTimes = drain.Times{Leave: 1500 * time.Millisecond, Close: 1900 * time.Millisecond}

// SetNotReady makes the health check fail until SetReady.
func (a *Admission) SetNotReady() { a.notReady.Store(true) }

// SetReady reverts SetNotReady.
func (a *Admission) SetReady() { a.notReady.Store(false) }

// StartDrain starts a drain. It does nothing if a drain is in progress.
func (a *Admission) StartDrain() {
	d := drain.Drain{}.Quiesce(monotonicNow(), drainTimes)
	if !a.drain.CompareAndSwap(nil, &d) {
		return
	}
	select {
	case a.drainStarted <- struct{}{}:
	default: // the channel still holds the notification of an earlier start
	}
}

// DrainStarted returns a channel that receives an item when a drain has started. It supports a single receiver.
func (a *Admission) DrainStarted() <-chan struct{} { return a.drainStarted }

// CancelDrain cancels the drain in progress, if there is one.
func (a *Admission) CancelDrain() { a.drain.Store(nil) }

// Draining returns the state of the drain and the time until the next state, 0 if this state lasts until CancelDrain.
func (a *Admission) Draining() (drain.State, time.Duration) {
	d := a.drain.Load()
	if d == nil {
		return drain.Serving, 0
	}
	now := monotonicNow()
	state := d.State(now)
	next, never := d.Next(now)
	if never {
		return state, 0
	}
	return state, max(next-now, 1)
}

// DrainEndsConnections reports whether a drain has reached the state in which connections are closed after their
// current response.
func (a *Admission) DrainEndsConnections() bool {
	state, _ := a.Draining()
	return state >= drain.Leaving
}

// clockStart is the origin of monotonicNow.
var clockStart = time.Now()

// monotonicNow returns the time since the start of the process. Steps of the wall clock have no effect on it.
func monotonicNow() time.Duration { return time.Since(clockStart) }

// Health reports whether requests can be served. The text is the body of the health check's response: the reason why
// requests cannot be served, or the list of pools without an available host.
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

// poolHealth reports whether any pool is ready. The text lists the named pools that are not.
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
