package balancer

import (
	"fmt"
	"time"
)

// TakeActions appends the actions decided since the last call to dst and returns the extended slice. The
// Balancer keeps no reference to it.
func (b *Balancer) TakeActions(dst []Action) []Action {
	dst = append(dst, b.actions...)
	b.actions = b.actions[:0]
	return dst
}

// act adds an action to those that the next TakeActions returns.
func (b *Balancer) act(action Action) { b.actions = append(b.actions, action) }

// tokenShift is the position of the kind in a timer token. The bits below it hold the request ID, if any.
const tokenShift = 56

// Kinds of timer tokens.
const (
	tokenSweep  = iota + 1 // check the queues and the hosts with attempts in flight
	tokenPoll              // poll discovery
	tokenAnswer            // send the final response of a request at its deadline
)

// wake requests a timer event with the token at a time.
func (b *Balancer) wake(at Time, token uint64) {
	b.act(Action{Kind: Wake, At: at, Token: token})
}

// logKind is a kind of log line. Each kind has a rate limit of its own.
type logKind int

// Kinds of log lines.
const (
	logEjected logKind = iota
	logExcluded
	logReadmitted
	logFailOpen
	logRejecting
	logEndpointsLost
	logEndpointsRegained
	logKinds
)

// logInterval is the minimum time between two log lines of the same kind.
const logInterval = 10 * time.Second

// logLimiter limits the rate of the log lines of one kind.
type logLimiter struct {
	at         Time // time at which the last line was logged
	logged     bool // a line of this kind was logged before
	suppressed int  // lines suppressed since the last one logged
}

// log emits a log line, at most one of each kind per logInterval. If one of the arguments is a HostID, the
// action names that host. docs/on-call.md explains each line. Recordings store the texts and replays
// compare them: a change to a text must keep its stored form in internal/flightrecorder/logtext.go.
func (b *Balancer) log(kind logKind, format string, args ...any) {
	limiter := &b.logs[kind]
	if limiter.logged && b.now-limiter.at < logInterval {
		limiter.suppressed++
		return
	}
	text := fmt.Sprintf(format, args...)
	if limiter.suppressed > 0 {
		text += fmt.Sprintf(" (%d similar lines suppressed)", limiter.suppressed)
	}
	*limiter = logLimiter{at: b.now, logged: true}
	var about HostID
	for _, arg := range args {
		if id, ok := arg.(HostID); ok {
			about = id
		}
	}
	b.act(Action{Kind: Log, Text: text, Host: about})
}
