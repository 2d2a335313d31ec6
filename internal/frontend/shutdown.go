package frontend

import "time"

// Schedule of a graceful shutdown, which the servers of all protocols follow. "Kill" is the time at which the process is
// expected to be killed.
//
//	SIGTERM                         all responses are due at kill - 0.2 s, the health check fails
//	SIGTERM + 0.6 s                 listeners are closed                      BacklogGrace
//	kill - 0.3 s                    connections without a request are closed  responseMargin + CloseIdleTime
//	kill - 0.2 s                    all responses are due                     responseMargin
//	kill - 0.05 s                   the servers have stopped                  exitMargin
//	kill: SIGTERM + 0.7 s + the longest deadline (at most 3 s)                killGrace, maxKillDeadline
const (
	// BacklogGrace is how long after SIGTERM the servers of all protocols continue to accept connections. New clients may
	// connect for up to 0.4 s after SIGTERM, and connections in a listener's backlog count as accepted.
	BacklogGrace = 600 * time.Millisecond
	// CloseIdleTime is the time before all responses are due at which connections without a request are closed. Most of
	// the requests that are in flight at that time can still be answered.
	CloseIdleTime = 100 * time.Millisecond

	// The process is killed after SIGTERM plus killGrace plus the longest deadline, which counts as maxKillDeadline at
	// most.
	killGrace       = 700 * time.Millisecond
	maxKillDeadline = 3 * time.Second
	// responseMargin is the time before the kill at which all responses are due. It leaves time to write them even if
	// the process shares a core.
	responseMargin = 200 * time.Millisecond
	// exitMargin is the time before the kill at which the servers have stopped, even if some responses are incomplete.
	exitMargin = 50 * time.Millisecond
)

// ShutdownSchedule has the times of the steps of a shutdown that depend on the longest deadline.
type ShutdownSchedule struct {
	CloseIdle    time.Time // connections without a request are closed
	ResponsesDue time.Time // all responses are due
	Exit         time.Time // the servers have stopped
}

// SetLongestDeadline sets the longest deadline of all classes.
func (a *Admission) SetLongestDeadline(d time.Duration) { a.longestDeadline.Store(int64(d)) }

// ScheduleShutdown returns the schedule of a shutdown that begins now.
func (a *Admission) ScheduleShutdown() ShutdownSchedule {
	longestDeadline := time.Duration(a.longestDeadline.Load())
	kill := time.Now().Add(killGrace + min(longestDeadline, maxKillDeadline))
	due := kill.Add(-responseMargin)
	return ShutdownSchedule{CloseIdle: due.Add(-CloseIdleTime), ResponsesDue: due, Exit: kill.Add(-exitMargin)}
}
