// Package leaseholder runs a gateway's work under leases: it starts the work of a lease when the lease
// is granted, stops it when the grant ends, and lets the work check its lease before each act.
package leaseholder

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"dunemoor/internal/cluster/failpoint"
)

// Now returns the time on a clock that nobody sets and that runs on while the process or the machine
// sleeps (CLOCK_BOOTTIME). The runtime's monotonic clock stops with the machine: a lease holder that
// slept would still consider itself one on waking.
func Now() time.Duration {
	if failpoint.Enabled(failpoint.UseWallClock) {
		return failpoint.WallTime()
	}
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // Linux has this clock since 2.6.39
	}
	return time.Duration(t.Nano())
}

// Lease is a lease that work runs under.
type Lease struct {
	Name  string
	Token uint64 // fencing token of the grant

	deadline atomic.Int64 // on the clock of Now
	ended    atomic.Bool
}

// Valid reports whether the holder may act now. It is to be called directly before each act. What
// happens between this check and the act is left to the fences of those who receive the act.
func (l *Lease) Valid() bool {
	valid := !l.ended.Load() && (int64(Now()) < l.deadline.Load() || failpoint.Enabled(failpoint.IgnoreDeadline))
	if valid {
		failpoint.StopAt("acting", l.Name)
	}
	return valid
}
