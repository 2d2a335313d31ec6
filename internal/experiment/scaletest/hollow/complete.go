package hollow

import (
	"context"
	"fmt"
	"time"
)

const (
	// completeInterval is the shortest interval between two checks of whether a fleet is complete.
	completeInterval = 100 * time.Millisecond
	// completeIntervalPerMember is the shortest interval per member of the fleet, so that the checks are not the main
	// load of a large fleet.
	completeIntervalPerMember = 200 * time.Microsecond
)

// Complete reports whether each member of each running process has a session and the sessions of all others in its
// state, and each lease has a holder. In a fleet with relays only the leader's status is checked, because gateways
// have no list of the others.
func (f *Fleet) Complete() bool {
	members := 0
	for _, p := range f.Processes {
		if p.IsRunning() {
			members += len(p.Names)
		}
	}
	if f.Relays > 0 {
		status := f.leaderStatus()
		return status != nil && status.complete(members, f.Pools)
	}
	for _, p := range f.Processes {
		if p.IsRunning() && !p.complete(members, f.Pools) {
			return false
		}
	}
	return true
}

// complete reports whether the status of each member of a process is complete.
func (p *Process) complete(members, pools int) bool {
	all, err := p.Status(false)
	if err != nil || len(all) != len(p.Names) {
		return false
	}
	for _, s := range all {
		if !s.complete(members, pools) {
			return false
		}
	}
	return true
}

// WaitComplete waits until the fleet is complete. It returns an error after the timeout, or the error of ctx if ctx
// ends.
func (f *Fleet) WaitComplete(ctx context.Context, timeout time.Duration) error {
	interval := max(completeInterval, time.Duration(len(f.Names()))*completeIntervalPerMember)
	end := time.Now().Add(timeout)
	for !f.Complete() {
		if time.Now().After(end) {
			return fmt.Errorf("wait for fleet: not complete after %v", timeout)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(interval):
		}
	}
	return nil
}

// Leader returns the process of the leader, or nil if there is no leader. Processes with several members are ignored.
func (f *Fleet) Leader() *Process {
	for _, p := range f.Processes {
		if !p.IsRunning() || len(p.Names) > 1 {
			continue
		}
		status := p.firstStatus()
		if status != nil && status.Role == roleLeader {
			return p
		}
	}
	return nil
}

// leaderStatus returns the leader's status, or nil if there is no leader.
func (f *Fleet) leaderStatus() *Status {
	leader := f.Leader()
	if leader == nil {
		return nil
	}
	return leader.firstStatus()
}

// firstStatus returns the status of a process's first member, or nil if it can't be read.
func (p *Process) firstStatus() *Status {
	all, err := p.Status(false)
	if err != nil {
		return nil
	}
	return all[p.Names[0]]
}

// LeaseCounts returns the number of leases of each holder by the name of the member, from the leader's status. It is
// empty if there is no leader.
func (f *Fleet) LeaseCounts() map[string]int {
	counts := map[string]int{}
	status := f.leaderStatus()
	if status == nil {
		return counts
	}
	for _, lease := range status.Leases {
		counts[lease.Holder]++
	}
	return counts
}
