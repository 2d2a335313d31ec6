// Package leaseholder runs a gateway's work under leases. It starts the work of a lease when the lease is
// granted and stops it when the grant ends. The work checks its lease before each action.
package leaseholder

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"dunemoor/internal/cluster/failpoint"
)

// Now returns the time of CLOCK_BOOTTIME, which can't be set and continues while the process or the machine
// is suspended. The monotonic clock of the Go runtime stops while the machine is suspended, so after
// resuming a former holder would still treat its expired lease as valid.
func Now() time.Duration {
	if failpoint.Enabled(failpoint.UseWallClock) {
		return failpoint.WallTime()
	}
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // unreachable: Linux has supported this clock since 2.6.39
	}
	return time.Duration(t.Nano())
}

// Lease is a lease under which work runs.
type Lease struct {
	Name  string
	Token uint64 // fencing token of the grant

	deadline atomic.Int64 // time until which the lease is valid, in nanoseconds on the clock of Now
	ended    atomic.Bool
}

// Valid reports whether the holder may act now. It must be called immediately before each action. If the
// lease ends between this check and the action, the receiver of the action rejects it by its fencing token.
func (l *Lease) Valid() bool {
	valid := !l.ended.Load() && (int64(Now()) < l.deadline.Load() || failpoint.Enabled(failpoint.IgnoreDeadline))
	if valid {
		failpoint.StopAt("acting", l.Name)
	}
	return valid
}
