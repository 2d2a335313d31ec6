package body

import (
	"errors"
	"io"
	"time"
)

func isEOF(err error) bool { return err == io.EOF }

// Pace says how slow a peer may be. Only the time in which it is waited for counts: a reader
// that is slow makes nobody else too slow.
type Pace struct {
	Idle  time.Duration // without a byte
	Least int64         // bytes a second, over paceWindow; 0: any
}

// paceWindow is the time waited for a peer over which its rate counts: long enough for a
// retransmission or two, and a link that was lost for a moment.
const paceWindow = 10 * time.Second

// ErrSlow says that a peer is slower than its pace.
var ErrSlow = errors.New("body: the peer is too slow")

// Meter holds a peer to its pace. It reads no clock.
type Meter struct {
	Pace
	waited time.Duration // in this window
	moved  int64
}

// Wait is how long the next operation may take.
func (m *Meter) Wait() time.Duration {
	if m.Least == 0 {
		return m.Idle
	}
	return min(m.Idle, max(paceWindow-m.waited, time.Millisecond))
}

// Moved enters that n bytes took so long, and says whether the peer keeps its pace.
func (m *Meter) Moved(n int, took time.Duration) error {
	m.waited += took
	m.moved += int64(n)
	if m.waited < paceWindow {
		return nil
	}
	slow := float64(m.moved) < float64(m.Least)*m.waited.Seconds()
	m.waited, m.moved = 0, 0
	if slow {
		return ErrSlow
	}
	return nil
}

// Alarm keeps a deadline that need not be exact: it is set anew only when a quarter of its
// time has passed, as setting one costs about as much as moving a kilobyte.
type Alarm struct {
	Set func(at time.Time) error
	at  time.Time
}

// Within has the deadline between wait and 5/4 of it from now.
func (a *Alarm) Within(now time.Time, wait time.Duration) {
	if a.at.Sub(now) >= wait && a.at.Sub(now) <= wait+wait/4 {
		return
	}
	a.at = now.Add(wait + wait/4)
	a.Set(a.at) // it fails only where the connection has ended, which the next use says
}
