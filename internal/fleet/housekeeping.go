package fleet

import (
	"context"
	"log/slog"
	"time"

	"dunemoor/internal/cluster/lease"
	"dunemoor/internal/cluster/leaseholder"
)

const (
	// housekeepingLease is the lease to remove unused members and leases.
	housekeepingLease = "housekeeping"
	// housekeepingInterval is the time between two checks. retentionTime is how long a gateway without a
	// session, or a lease without a holder, is kept in the state.
	housekeepingInterval = 10 * time.Second
	retentionTime        = 15 * time.Minute
)

// collectGarbage is the work under the housekeeping lease. It removes members and leases that are unused for
// retentionTime.
func (f *Fleet) collectGarbage(ctx context.Context, l *leaseholder.Lease) {
	unusedSince := map[string]time.Duration{}
	tick := time.NewTicker(housekeepingInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := leaseholder.Now()
		f.trackUnused(unusedSince, now)
		for name, since := range unusedSince {
			if now < since+retentionTime || !l.Valid() {
				continue
			}
			unusedSince[name] = now
			c := lease.Command{Op: lease.OpCollectGarbage, Lease: housekeepingLease, Token: l.Token, Name: name}
			if r, err := f.cluster.Propose(ctx, c); err == nil && r.Code == lease.OK {
				slog.Info("garbage-collected", "name", name)
			}
		}
	}
}

// trackUnused updates the times since which members and leases are unused.
func (f *Fleet) trackUnused(unusedSince map[string]time.Duration, now time.Duration) {
	status := f.cluster.Status()
	unused := map[string]bool{}
	for _, m := range status.Members {
		unused[m.Name] = m.Session == 0
	}
	for _, l := range status.Leases {
		unused[l.Name] = l.Holder == ""
	}
	for name, isUnused := range unused {
		if !isUnused {
			delete(unusedSince, name)
		} else if unusedSince[name] == 0 {
			unusedSince[name] = now
		}
	}
	for name := range unusedSince {
		if _, known := unused[name]; !known {
			delete(unusedSince, name)
		}
	}
}
