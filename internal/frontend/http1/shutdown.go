package http1

import (
	"context"
	"time"

	"dunemoor/internal/drain"
	"dunemoor/internal/frontend"
)

// Schedule of Shutdown. "Kill" is the time at which the process is expected to be killed. The steps after the listeners
// are closed happen earlier if no connection is in use any more. With SharedListeners, the listeners are closed at
// SIGTERM, and from then on connections are closed after their current or next response.
//
//	SIGTERM                         all responses are due at kill - 0.2 s, the health check fails
//	SIGTERM + 0.6 s                 listeners are closed                      frontend.BacklogGrace
//	kill - 0.5 s                    connections are closed after their        responseMargin + defaultLastRequestsTime
//	                                current or next response, tunnels are
//	                                closed
//	kill - 0.3 s                    connections without a request are closed  responseMargin + closeIdleTime
//	kill - 0.2 s                    all responses are due                     responseMargin
//	kill - 0.05 s                   Shutdown returns                          exitMargin
//	kill: SIGTERM + 0.7 s + the longest deadline (at most 3 s)                killGrace, maxKillDeadline
//
// The FastCGI server uses a fixed time instead, shutdownTimeout in package fastcgi.
const (
	// The process is killed after SIGTERM plus killGrace plus the longest deadline, which counts as maxKillDeadline at
	// most.
	killGrace       = 700 * time.Millisecond
	maxKillDeadline = 3 * time.Second
	// responseMargin is the time before the kill at which all responses are due. It leaves time to write them even if
	// the process shares a core.
	responseMargin = 200 * time.Millisecond
	// exitMargin is the time before the kill at which Shutdown returns, even if some responses are incomplete.
	exitMargin = 50 * time.Millisecond

	// defaultLastRequestsTime is the time before all responses are due from which connections are closed after their
	// current or next response. It is short because clients use their connections for as long as they are open, and may
	// have no other gateway. It is long enough that most connections in use carry a request in this time.
	defaultLastRequestsTime = 300 * time.Millisecond
	// closeIdleTime is the time before all responses are due at which connections without a request are closed. Most of
	// the requests that are in flight at that time can still be answered.
	closeIdleTime = 100 * time.Millisecond

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
	longestDeadline := time.Duration(s.longestDeadline.Load())
	kill := time.Now().Add(killGrace + min(longestDeadline, maxKillDeadline))
	responsesDue := kill.Add(-responseMargin)
	s.admission.Stop(responsesDue)
	s.shuttingDown.Store(true)
	if s.sharedListeners {
		s.shutdownEndsConns.Store(true)
	} else {
		time.Sleep(frontend.BacklogGrace)
	}
	s.closeListeners()
	waitWhile(s.conns.inUse, responsesDue.Add(-s.lastRequestsTime))
	s.shutdownEndsConns.Store(true)
	if s.sharedListeners {
		s.conns.closeWaiting()
	}
	close(s.endTunnelsAndDelays)
	waitWhile(s.conns.inUse, responsesDue.Add(-closeIdleTime))
	waitWhile(func() bool {
		s.conns.closeWaiting()
		return s.conns.busy()
	}, kill.Add(-exitMargin))
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
