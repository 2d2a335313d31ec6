package faulttest

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"
)

// FaultCase is a test with real processes that detects whether a failpoint is enabled: its fault causes a violation with
// the failpoint, and none without.
type FaultCase struct {
	Failpoint string
	// NeedsClockOffset reports whether the binary must be built by BuildWithClockOffset.
	NeedsClockOffset bool
	// Run injects the fault and describes the violation that it causes, or returns "" if there is none.
	Run func(f *Fleet) (violation string, err error)
}

// FaultCases lists the cases. They need a fleet of three gateways whose binary is built with the tag failpoints.
var FaultCases = []FaultCase{
	{Failpoint: "pre-vote", Run: isolatedFollowerKeepsItsTerm},
	{Failpoint: "check-quorum", Run: isolatedLeaderStepsDown},
	{Failpoint: "deadline", Run: isolatedHolderReleasesLease},
	{Failpoint: "wall-clock", NeedsClockOffset: true, Run: clockOffsetsDoNotExtendLease},
	{Failpoint: "token-grows", Run: tokensGrow},
	{Failpoint: "disk-identity", Run: wipedDiskIsAnotherReplica},
	{Failpoint: "old-copy", Run: overwrittenDiskIsNoReplica},
}

// observationTime is how long a fault case waits for a violation.
const observationTime = 3 * sessionDuration

// isolatedFollowerKeepsItsTerm checks that an isolated replica starts no elections, which would raise its term.
func isolatedFollowerKeepsItsTerm(f *Fleet) (string, error) {
	g, err := pickFollower(f)
	if err != nil {
		return "", err
	}
	f.Isolate(g, true, true)
	before, err := g.Status()
	if err != nil {
		return "", err
	}
	violation := ""
	f.WaitUntil(context.Background(), "violation", observationTime, func() bool {
		now, err := g.Status()
		if err == nil && now.Term > before.Term+1 { // one election may have begun before the isolation
			violation = fmt.Sprintf("its term rose from %d to %d while it was isolated", before.Term, now.Term)
		}
		return violation != ""
	})
	return violation, nil
}

// isolatedLeaderStepsDown checks that an isolated leader steps down.
func isolatedLeaderStepsDown(f *Fleet) (string, error) {
	leader := f.Leader()
	if leader == nil {
		return "", errNoLeader
	}
	f.Isolate(leader, true, true)
	stillLeader := func() bool {
		s, err := leader.Status()
		return err == nil && s.Role == roleLeader
	}
	return persists(f, "it is still the leader while isolated", stillLeader), nil
}

// isolatedHolderReleasesLease checks that an isolated lease holder releases its lease.
func isolatedHolderReleasesLease(f *Fleet) (string, error) {
	return holdsLeaseInIsolation(f, f.LeaseHolder(endpointsLease))
}

// clockOffsetsDoNotExtendLease checks that an isolated lease holder releases its lease although its wall clock was set
// back and those of the other gateways ahead.
func clockOffsetsDoNotExtendLease(f *Fleet) (string, error) {
	const offset = 5 * time.Hour
	holder := f.LeaseHolder(endpointsLease)
	for _, g := range f.Gateways {
		by := offset
		if g == holder {
			by = -offset
		}
		if err := g.SetClockOffset(context.Background(), by); err != nil {
			return "", err
		}
	}
	return holdsLeaseInIsolation(f, holder)
}

// tokensGrow checks that the tokens of a lease increase over a transfer.
func tokensGrow(f *Fleet) (string, error) {
	_, err := f.TransferLease(context.Background(), HolderKilled, endpointsLease, nil)
	if violations := FindViolations(f.History.Events()); len(violations) > 0 {
		return violations[0], nil
	}
	return "", err
}

// wipedDiskIsAnotherReplica checks that a gateway whose disk was wiped returns as another replica.
func wipedDiskIsAnotherReplica(f *Fleet) (string, error) {
	anyStatus := func(*Status) bool { return true }
	return returnsAsSameReplica(f, (*Gateway).WipeDisk, anyStatus)
}

// overwrittenDiskIsNoReplica checks that a gateway doesn't return as the same replica after the files of its disk were
// overwritten by an older copy. The gateway can't detect that from its own disk, but the other replicas can.
func overwrittenDiskIsNoReplica(f *Fleet) (string, error) {
	participates := func(s *Status) bool {
		isActive := s.Session != 0 && s.Role != roleStopped
		// A replica that has participated with the older files may have stopped since: its log lacks entries that the
		// leader has recorded as stored by it.
		return isActive || strings.Contains(s.Reason, "the log contradicts itself")
	}
	return returnsAsSameReplica(f, (*Gateway).overwriteDisk, participates)
}

// holdsLeaseInIsolation isolates the holder of the endpoint list's lease, and returns a violation if the holder does not
// release the lease.
func holdsLeaseInIsolation(f *Fleet, holder *Gateway) (string, error) {
	if holder == nil {
		return "", errors.New(endpointsLease + " has no holder")
	}
	first := f.History.Len()
	f.Isolate(holder, true, true)
	stillHolds := func() bool {
		for _, e := range f.History.Events()[first:] {
			if e.Kind == LeaseNoLongerHeld && e.Gateway == holder.Name && e.Lease == endpointsLease {
				return false
			}
		}
		return true
	}
	return persists(f, "it still holds the lease while isolated", stillHolds), nil
}

// pickFollower returns a replica that is not the leader.
func pickFollower(f *Fleet) (*Gateway, error) {
	leader := f.Leader()
	if leader == nil {
		return nil, errNoLeader
	}
	for _, g := range f.Gateways[:f.Replicas] {
		if g != leader {
			return g, nil
		}
	}
	return nil, errors.New("there is no replica other than the leader")
}

// persists waits for a condition to end. It returns a violation if it lasts longer than observationTime, else "".
func persists(f *Fleet, what string, condition func() bool) string {
	err := f.WaitUntil(context.Background(), "its end", observationTime, func() bool { return !condition() })
	if err == nil {
		return ""
	}
	return fmt.Sprintf("%s, for %v", what, observationTime)
}

// returnsAsSameReplica copies the disk of a follower, commits further entries, kills the follower, changes its disk and
// starts it again. It returns a violation if the gateway is the same replica as before when it participates again.
func returnsAsSameReplica(f *Fleet, changeDisk func(*Gateway) error, participates func(*Status) bool) (string, error) {
	g, err := pickFollower(f)
	if err != nil {
		return "", err
	}
	before, err := g.Status()
	if err != nil {
		return "", err
	}
	if err := g.CopyDisk(); err != nil {
		return "", err
	}
	if err := commitEntriesAfterCopy(f, g, before.Commit); err != nil {
		return "", err
	}
	g.Kill()
	if err := changeDisk(g); err != nil {
		return "", err
	}
	if err := g.Start(); err != nil {
		return "", err
	}
	var now *Status
	err = f.WaitUntil(context.Background(), g.Name+" participates", maxTransferTime, func() bool {
		s, err := g.Status()
		now = s
		return err == nil && (s.ReplicaID != before.ReplicaID || participates(s))
	})
	if err != nil {
		return "", err
	}
	if now.ReplicaID != before.ReplicaID {
		return "", nil
	}
	return fmt.Sprintf("it is replica %d again, as %s", now.ReplicaID, now.Role), nil
}

// commitEntriesAfterCopy transfers a lease several times, which commits entries that the copy of the disk lacks, and waits
// until the commit index of g is higher than commit, its commit index before the copy.
func commitEntriesAfterCopy(f *Fleet, g *Gateway, commit uint64) error {
	const transfers = 4
	for i := range transfers {
		if err := f.Gateways[0].transfer(housekeepingLease, f.Gateways[i%2]); err != nil {
			return err
		}
	}
	return f.WaitUntil(context.Background(), g.Name+" has a higher commit index than before the copy of its disk", maxTransferTime, func() bool {
		s, err := g.Status()
		return err == nil && s.Commit > commit
	})
}
