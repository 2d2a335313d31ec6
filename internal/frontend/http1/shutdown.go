package http1

import (
	"context"
	"time"

	"dunemoor/internal/drain"
	"dunemoor/internal/frontend"
)

// The times of a Shutdown. The steps after the listeners are closed come sooner if no connection is in use any more. With
// SharedListeners the listeners are closed, and connections begin to end with their responses, at SIGTERM.
//
//	SIGTERM                         all responses are due at kill - 0.2 s, the health check fails
//	SIGTERM + 0.6 s                 listeners are closed                      frontend.BacklogGrace
//	kill - 0.5 s                    connections end with their responses,     responseMargin + lastRequestsTime
//	                                tunnels end
//	kill - 0.3 s                    connections without a request are closed  responseMargin + closeIdleTime
//	kill - 0.2 s                    all responses are due                     responseMargin
//	kill - 0.05 s                   Shutdown returns                          exitMargin
//	kill: SIGTERM + 0.7 s + the longest deadline, 3 s at most                 killGrace, maxKillDeadline
//
// The FastCGI server has another rule: shutdownTimeout there.
const (
	// The process is killed killGrace and the longest deadline, but at most maxKillDeadline, after SIGTERM.
	killGrace       = 700 * time.Millisecond
	maxKillDeadline = 3 * time.Second
	// responseMargin is how long before the kill all responses are due, so that they can be written on a shared core.
	responseMargin = 200 * time.Millisecond
	// exitMargin is how long before the kill the process exits, whatever clients have still to receive.
	exitMargin = 50 * time.Millisecond

	// Clients use their connections for as long as they are open, and may have no other gateway. So connections end
	// with their responses only for lastRequestsTime before all responses are due, in which most of those in use carry
	// a request.
	lastRequestsTime = 300 * time.Millisecond
	// closeIdleTime is how long before all responses are due connections without a request are closed. Most requests in
	// flight then are still answered.
	closeIdleTime = 100 * time.Millisecond

	// shutdownPollInterval is how often Shutdown looks whether it can go on.
	shutdownPollInterval = 10 * time.Millisecond
	// drainCloseInterval is how often a drain closes connections without a request.
	drainCloseInterval = 20 * time.Millisecond
)

// Shutdown ends the service gracefully. It accepts connections until no new client comes, serves those that are open
// until shortly before the kill, then lets each end with its response, closes those without a request, and waits for the
// rest. With SharedListeners it accepts nothing from the start, and connections end with their next response: a client
// that comes back meets the process that takes over.
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
	waitWhile(s.conns.inUse, responsesDue.Add(-s.connsEndBeforeDue))
	s.shutdownEndsConns.Store(true)
	if s.sharedListeners {
		s.conns.closeWaiting()
	}
	close(s.endTunnels)
	waitWhile(s.conns.inUse, responsesDue.Add(-closeIdleTime))
	waitWhile(func() bool {
		s.conns.closeWaiting()
		return s.conns.busy()
	}, kill.Add(-exitMargin))
	s.resetUnfinishedResponses()
}

// closeListeners closes all listeners, in order with Serve.
func (s *Server) closeListeners() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners.CloseAll()
}

// resetUnfinishedResponses makes the connections of responses that end with their connection end with a reset when the
// process exits, so that clients see that these responses are incomplete.
func (s *Server) resetUnfinishedResponses() {
	s.mu.Lock()
	watcher := s.watcher
	s.mu.Unlock()
	if watcher == nil {
		return
	}
	for _, c := range watcher.open() {
		if c.responseUntilClose.Load() {
			c.SetLinger(0)
		}
	}
}

// waitWhile waits until a condition no longer holds, or for a time.
func waitWhile(holds func() bool, until time.Time) {
	ticker := time.NewTicker(shutdownPollInterval)
	defer ticker.Stop()
	for holds() && time.Now().Before(until) {
		<-ticker.C
	}
}

// RunDrain closes connections without a request while a drain is in that state, until ctx is canceled. The rest of a
// drain follows from its state at each request.
func (s *Server) RunDrain(ctx context.Context) {
	for {
		state, remaining := s.admission.Draining()
		var next <-chan time.Time
		switch state {
		case drain.Closing:
			s.conns.closeWaiting()
			next = time.After(drainCloseInterval)
		case drain.Noticed, drain.Leaving:
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
