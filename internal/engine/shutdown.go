package engine

import (
	"sync/atomic"
	"time"

	"dunemoor/balancer"
)

// shutdown is the time by which all responses are due, once the gateway ends.
type shutdown struct {
	deadline atomic.Pointer[time.Time]
	begun    chan struct{} // closed once the deadline is set
}

// time returns the deadline, or nil where none is set.
func (s *shutdown) time() *time.Time {
	if s == nil {
		return nil
	}
	return s.deadline.Load()
}

// Stop makes all responses due by a time: of open requests, also where the body is still on its way, and
// of those that are yet to come. A second call changes nothing.
func (e *Engine) Stop(by time.Time) {
	if !e.shutdown.deadline.CompareAndSwap(nil, &by) {
		return
	}
	close(e.shutdown.begun)
	e.post(func(now balancer.Time) {
		for p := range e.pools {
			p.balancer.Shutdown(now, e.clock.at(by))
			p.perform(now)
		}
	})
}

// beforeShutdown returns a time, or the deadline of the shutdown where that is earlier.
func (e *Engine) beforeShutdown(at time.Time) time.Time {
	if by := e.shutdown.time(); by != nil && at.After(*by) {
		return *by
	}
	return at
}
