package hollow

import (
	"context"
	"fmt"
	"time"
)

const (
	// completeInterval is the shortest interval between two checks of whether a fleet is complete.
	completeInterval = 100 * time.Millisecond
	// completeIntervalPerMember is the interval by the fleet's size, which keeps the checks from being a large
	// fleet's main load.
	completeIntervalPerMember = 200 * time.Microsecond
)

// Complete reports whether each member of a process that runs has a session and knows those of all others, and
// each lease has a holder. In a fleet with relays the leader's status decides, as gateways know no list of the
// others.
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

// WaitComplete waits until the fleet is complete. It returns an error when that takes longer than the timeout, or
// ctx's when ctx ends.
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

// Leader returns the process of the leader, which has no other members; nil where there is no leader.
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

// leaderStatus returns the leader's status; nil where there is no leader.
func (f *Fleet) leaderStatus() *Status {
	leader := f.Leader()
	if leader == nil {
		return nil
	}
	return leader.firstStatus()
}

// firstStatus returns the status of a process's first member; nil where it can't be read.
func (p *Process) firstStatus() *Status {
	all, err := p.Status(false)
	if err != nil {
		return nil
	}
	return all[p.Names[0]]
}

// LeaseCounts returns how many leases each member holds, by its name, as the leader knows it; none without a leader.
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
