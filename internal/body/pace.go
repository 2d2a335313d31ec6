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
	IdleTimeout time.Duration // without a byte
	MinRate     int64         // bytes a second, over paceWindow; 0: any
}

// paceWindow is the time waited for a peer over which its rate counts: long enough for a
// retransmission or two, and a link that was lost for a moment.
const paceWindow = 10 * time.Second

// ErrTooSlow says that a peer is slower than its pace.
var ErrTooSlow = errors.New("body: the peer is too slow")

// Meter holds a peer to its pace. It reads no clock.
type Meter struct {
	Pace
	waited time.Duration // in this window
	moved  int64
}

// Timeout is how long the next operation may take.
func (m *Meter) Timeout() time.Duration {
	if m.MinRate == 0 {
		return m.IdleTimeout
	}
	return min(m.IdleTimeout, max(paceWindow-m.waited, time.Millisecond))
}

// Record enters that n bytes took so long, and says whether the peer keeps its pace.
func (m *Meter) Record(n int, took time.Duration) error {
	m.waited += took
	m.moved += int64(n)
	if m.waited < paceWindow {
		return nil
	}
	slow := float64(m.moved) < float64(m.MinRate)*m.waited.Seconds()
	m.waited, m.moved = 0, 0
	if slow {
		return ErrTooSlow
	}
	return nil
}

// LazyDeadline keeps a deadline that need not be exact: it is set anew only when a quarter of its
// time has passed, as setting one costs about as much as moving a kilobyte.
type LazyDeadline struct {
	SetDeadline func(at time.Time) error
	at          time.Time
}

// Reset has the deadline between wait and 5/4 of it from now.
func (a *LazyDeadline) Reset(now time.Time, wait time.Duration) {
	if a.at.Sub(now) >= wait && a.at.Sub(now) <= wait+wait/4 {
		return
	}
	a.at = now.Add(wait + wait/4)
	a.SetDeadline(a.at) // it fails only where the connection has ended, which the next use says
}
