package engine

import (
	"sync/atomic"
	"time"

	"dunemoor/balancer"
)

// shutdown is the time by which all responses are due when the gateway shuts down.
type shutdown struct {
	deadline atomic.Pointer[time.Time]
	begun    chan struct{} // closed once the deadline is set
}

// time returns the deadline, or nil if none is set.
func (s *shutdown) time() *time.Time {
	if s == nil {
		return nil
	}
	return s.deadline.Load()
}

// Stop sets the time by which all responses are due: those of open requests, also while the body is still arriving,
// and those of later requests. Further calls have no effect.
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

// beforeShutdown returns the given time, or the deadline of the shutdown if that is earlier.
func (e *Engine) beforeShutdown(at time.Time) time.Time {
	if by := e.shutdown.time(); by != nil && at.After(*by) {
		return *by
	}
	return at
}
