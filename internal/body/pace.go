package body

import (
	"errors"
	"time"
)

// Pace is the slowest rate at which a peer may send or receive a body. Only the time spent waiting for this peer
// counts.
type Pace struct {
	IdleTimeout time.Duration // longest wait without a byte
	MinRate     int64         // minimum of bytes a second, measured over paceWindow; 0: none
}

// paceWindow is the waiting time over which a peer's rate is measured. It is long enough for a few retransmissions.
const paceWindow = 10 * time.Second

// minTimeout is the shortest timeout of an operation.
const minTimeout = time.Millisecond

// ErrTooSlow is returned when a peer stays below the minimum rate of its pace.
var ErrTooSlow = errors.New("body: peer is below the minimum rate")

// Meter checks that a peer keeps its pace. It reads no clock.
type Meter struct {
	Pace
	waited time.Duration // waiting time in this window
	bytes  int64         // bytes transferred in this window
}

// Timeout returns how long the next read or write may take.
func (m *Meter) Timeout() time.Duration {
	if m.MinRate == 0 {
		return m.IdleTimeout
	}
	return min(m.IdleTimeout, max(paceWindow-m.waited, minTimeout))
}

// Record counts n bytes whose read or write took the given time. It returns ErrTooSlow if the peer was too slow in
// the window that ends with them.
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

// lazySlackDivisor is the part of a timeout by which a LazyDeadline may be later: one in lazySlackDivisor.
const lazySlackDivisor = 4

// LazyDeadline sets the deadline of a connection for many short operations in turn. It sets a deadline that is up to
// a quarter later than requested, and keeps it while it is within that tolerance, since setting a deadline costs
// about as much as transferring a kilobyte of data.
type LazyDeadline struct {
	SetDeadline func(t time.Time) error
	deadline    time.Time
}

// LazyTimeout returns the timeout with which a LazyDeadline is never later than limit.
func LazyTimeout(limit time.Duration) time.Duration {
	return limit * lazySlackDivisor / (lazySlackDivisor + 1)
}

// Reset ensures that the deadline is between timeout and 5/4 of timeout from now. An error of SetDeadline is ignored:
// it means that the connection is closed, and the next operation returns it.
func (d *LazyDeadline) Reset(now time.Time, timeout time.Duration) {
	slack := timeout / lazySlackDivisor
	left := d.deadline.Sub(now)
	if timeout <= left && left <= timeout+slack {
		return
	}
	d.deadline = now.Add(timeout + slack)
	d.SetDeadline(d.deadline)
}
