package http1

import (
	"context"
	"time"

	"dunemoor/internal/drain"
	"dunemoor/internal/frontend"
)

// Steps of Shutdown besides those of frontend.ShutdownSchedule. The steps after the listeners are closed happen earlier if
// no connection is in use any more. With SharedListeners, the listeners are closed at SIGTERM, and from then on
// connections are closed after their current or next response.
const (
	// defaultLastRequestsTime is the time before all responses are due from which connections are closed after their
	// current or next response, and at which tunnels are closed. It is short because clients use their connections for as
	// long as they are open, and may have no other gateway. It is long enough that most connections in use carry a
	// request in this time.
	defaultLastRequestsTime = 300 * time.Millisecond
	// shutdownPollInterval is the interval at which Shutdown checks whether it can proceed to the next step.
	shutdownPollInterval = 10 * time.Millisecond
	// drainCloseInterval is the interval at which a drain closes connections without a request.
	drainCloseInterval = 20 * time.Millisecond
)

// Shutdown stops the server gracefully. It accepts connections for frontend.BacklogGrace, in which new clients may
// still connect, and serves all open connections until shortly before the kill. Then it closes each connection after
// its current or next response, closes those without a request, and waits for the rest. With SharedListeners it stops
// accepting immediately, and from then on closes each connection after its current or next response; clients that
// reconnect are accepted by the process that takes over.
func (s *Server) Shutdown() {
	schedule := s.admission.ScheduleShutdown()
	s.admission.Stop(schedule.ResponsesDue)
	s.shuttingDown.Store(true)
	if s.sharedListeners {
		s.shutdownEndsConns.Store(true)
	} else {
		time.Sleep(frontend.BacklogGrace)
	}
	s.closeListeners()
	waitWhile(s.conns.inUse, schedule.ResponsesDue.Add(-s.lastRequestsTime))
	s.shutdownEndsConns.Store(true)
	if s.sharedListeners {
		s.conns.closeWaiting()
	}
	close(s.endTunnelsAndDelays)
	waitWhile(s.conns.inUse, schedule.CloseIdle)
	waitWhile(func() bool {
		s.conns.closeWaiting()
		return s.conns.busy()
	}, schedule.Exit)
	s.resetUnfinishedResponses()
}

// closeListeners closes all listeners. It holds mu, so that a concurrent Serve either has added its listener before or
// closes it.
func (s *Server) closeListeners() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners.CloseAll()
}

// resetUnfinishedResponses makes the kernel reset all connections with an unfinished close-delimited response when the
// process exits. With a regular close, clients could not detect that the response is truncated.
func (s *Server) resetUnfinishedResponses() {
	s.mu.Lock()
	watcher := s.watcher
	s.mu.Unlock()
	if watcher == nil {
		return
	}
	for _, c := range watcher.open() {
		if c.closeDelimited.Load() {
			c.SetLinger(0)
		}
	}
}

// waitWhile waits until a condition no longer holds, or until the given time.
func waitWhile(holds func() bool, until time.Time) {
	ticker := time.NewTicker(shutdownPollInterval)
	defer ticker.Stop()
	for holds() && time.Now().Before(until) {
		<-ticker.C
	}
}

// RunDrain closes connections without a request whenever a drain is in the state drain.Closing. It returns when ctx is
// canceled. The other effects of a drain are evaluated at each request.
func (s *Server) RunDrain(ctx context.Context) {
	for {
		state, remaining := s.admission.Draining()
		var next <-chan time.Time
		switch state {
		case drain.Closing:
			s.conns.closeWaiting()
			next = time.After(drainCloseInterval)
		case drain.HealthCheckFailing, drain.Leaving:
			next = time.After(remaining)
		}
		select {
		case <-ctx.Done():
			return
		case <-s.admission.DrainStarted():
		case <-next:
		}
	}
}
