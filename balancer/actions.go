package balancer

import (
	"fmt"
	"time"
)

// TakeActions appends the actions decided since the last call to dst. The Balancer keeps no reference to
// what it returns.
func (b *Balancer) TakeActions(dst []Action) []Action {
	dst = append(dst, b.actions...)
	b.actions = b.actions[:0]
	return dst
}

func (b *Balancer) act(action Action) { b.actions = append(b.actions, action) }

// tokenShift is the number of bits of a timer's token below its kind. They hold the request's ID.
const tokenShift = 56

// Kinds of timer tokens.
const (
	tokenSweep  = iota + 1 // check queues and busy hosts
	tokenPoll              // poll discovery
	tokenAnswer            // answer a request
)

func (b *Balancer) wake(at Time, token uint64) {
	b.act(Action{Kind: Wake, At: at, Token: token})
}

// logKind is a kind of log line. Each kind is limited by itself.
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

// logInterval is the minimum time between two lines of a kind.
const logInterval = 10 * time.Second

// logLimiter limits the log lines of one kind.
type logLimiter struct {
	at         Time // of the last line
	logged     bool // there was one
	suppressed int  // lines since
}

// log logs a line, at most one of a kind in logInterval. A HostID among the arguments is the host that the
// line is about. docs/on-call.md explains each line. Recordings store the texts, and replays compare them:
// whoever changes one keeps its stored form in internal/flightrecorder/logtext.go.
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
