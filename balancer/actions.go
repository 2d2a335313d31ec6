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

func (b *Balancer) act(a Action) { b.actions = append(b.actions, a) }

// A timer's token is its kind above the request ID.
const tokenShift = 56

// Kinds of tokens.
const (
	tokenSweep  = iota + 1 // check queues and busy hosts
	tokenPoll              // poll discovery
	tokenAnswer            // answer a request
)

func (b *Balancer) wake(at Time, token uint64) {
	b.act(Action{Kind: Wake, At: at, Token: token})
}

// Kinds of log lines. Each is limited by itself.
const (
	logEject = iota
	logErrors
	logReturn
	logFailOpen
	logRefuse
	logLost
	logFound
	logKinds
)

// logInterval is the least time between two lines of a kind.
const logInterval = 10 * time.Second

// logState is what was logged of a kind.
type logState struct {
	at         Time
	logged     bool
	suppressed int // lines since
}

// log logs a line, at most one of a kind in logInterval.
func (b *Balancer) log(kind int, format string, args ...any) {
	l := &b.logs[kind]
	if l.logged && b.now-l.at < logInterval {
		l.suppressed++
		return
	}
	text := fmt.Sprintf(format, args...)
	var about HostID
	for _, a := range args {
		if id, ok := a.(HostID); ok {
			about = id
		}
	}
	if l.suppressed > 0 {
		text += fmt.Sprintf(" (%d more such lines held back)", l.suppressed)
	}
	*l = logState{at: b.now, logged: true}
	b.act(Action{Kind: Log, Text: text, Host: about})
}

// nextRand is splitmix64: small, seeded, and the same everywhere.
func (b *Balancer) nextRand() uint64 {
	b.rng += 0x9e3779b97f4a7c15
	return mix(b.rng)
}

// mix spreads the bits of z.
func mix(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// rand returns a random number below n.
func (b *Balancer) rand(n int) int { return int(b.nextRand() >> 33 % uint64(n)) }

// float returns a random number in [0, 1).
func (b *Balancer) float() float64 { return float64(b.nextRand()>>11) / (1 << 53) }
