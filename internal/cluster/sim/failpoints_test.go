//go:build failpoints

package sim

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"dunemoor/internal/cluster/failpoint"
	"dunemoor/internal/cluster/lease"
	"dunemoor/internal/testutil"
)

// Each failpoint is enabled in turn; at least one scenario must detect the fault that it causes.
func TestEachFailpoint(t *testing.T) {
	testutil.EachFailpoint(t, failpoint.Cluster, failpoint.Enable, 600, func(seed uint64) error {
		scenarios := map[string]func(uint64) error{"mixed": runMixed, "calm": ToleratedFaults, "flicker": QuorumLoss, "put-back": RestoredDisks, "overrides": Overrides, "duplicates": applyDuplicate}
		for name, run := range scenarios {
			if err := run(seed); err != nil {
				return fmt.Errorf("%s: %w", name, firstLine(err))
			}
		}
		return nil
	})
	testutil.EachFailpoint(t, failpoint.Relay, failpoint.Enable, 600, func(seed uint64) error {
		if err := Relays(seed); err != nil {
			return firstLine(err)
		}
		return nil
	})
}

// applyDuplicate applies a command a second time after other commands, and returns an error unless the duplicate has
// no effect and returns the result of the first application.
func applyDuplicate(seed uint64) error {
	s := lease.NewState(1)
	s.Apply(1, &lease.Command{Op: lease.OpOpenSession, Open: &lease.OpenRequest{Name: "g", DiskID: 1, OpenSequence: 1}})
	acquire := lease.Command{Op: lease.OpAcquire, Session: 1, Request: 1, Lease: "d"}
	first := s.Apply(2, &acquire)
	s.Apply(3, &lease.Command{Op: lease.OpRelease, Session: 1, Request: 2, Lease: "d", Token: first.Token})
	if again := s.Apply(4, &acquire); again != first || s.Leases["d"].HolderSession != 0 {
		return fmt.Errorf("seed %d: a duplicate acquisition had the result %+v after %+v, and session %d holds the lease", seed, again, first, s.Leases["d"].HolderSession)
	}
	return nil
}

func runMixed(seed uint64) error {
	_, err := Run(Mixed(seed), 30*time.Second)
	return err
}

func firstLine(err error) error {
	s := fmt.Sprint(err)
	for i, r := range s {
		if r == '\n' {
			return errors.New(s[:i])
		}
	}
	return err
}
