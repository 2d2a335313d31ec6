package body

import (
	"errors"
	"time"
)

// Pace is how slowly a peer may send or receive a body. Only the time that is spent waiting for this peer counts.
type Pace struct {
	IdleTimeout time.Duration // without a byte
	MinRate     int64         // bytes a second, over paceWindow; 0: any rate will do
}

// paceWindow is how much waiting a peer's rate is measured over. It is long enough for a few retransmissions.
const paceWindow = 10 * time.Second

// minTimeout is the shortest timeout of an operation.
const minTimeout = time.Millisecond

// ErrTooSlow is returned when a peer stays below the minimum rate of its pace.
var ErrTooSlow = errors.New("body: peer is below the minimum rate")

// Meter checks that a peer keeps its pace. It reads no clock.
type Meter struct {
	Pace
	waited time.Duration // in this window
	bytes  int64         // in this window
}

// Timeout returns how long the next read or write may take.
func (m *Meter) Timeout() time.Duration {
	if m.MinRate == 0 {
		return m.IdleTimeout
	}
	return min(m.IdleTimeout, max(paceWindow-m.waited, minTimeout))
}

// Record counts n bytes that took a time to read or write. It returns ErrTooSlow if the peer was too slow in the
// window that ends with them.
func (m *Meter) Record(n int, took time.Duration) error {
	m.waited += took
	m.bytes += int64(n)
	if m.waited < paceWindow {
		return nil
	}
	tooSlow := float64(m.bytes) < float64(m.MinRate)*m.waited.Seconds()
	m.waited = 0
	m.bytes = 0
	if tooSlow {
		return ErrTooSlow
	}
	return nil
}

// LazyDeadline sets the deadline of a connection for many short operations in turn. It sets a deadline that is up to
// a quarter later than asked for and keeps it while it is right within that, since a call to set one costs about as
// much as a kilobyte of data.
type LazyDeadline struct {
	SetDeadline func(t time.Time) error
	deadline    time.Time
}

// Reset makes the deadline pass between timeout and 5/4 of timeout from now. An error of SetDeadline is left to the
// next operation, since it means that the connection is closed.
func (d *LazyDeadline) Reset(now time.Time, timeout time.Duration) {
	slack := timeout / 4
	left := d.deadline.Sub(now)
	if timeout <= left && left <= timeout+slack {
		return
	}
	d.deadline = now.Add(timeout + slack)
	d.SetDeadline(d.deadline)
}
