//go:build failpoints

package sim

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"dunemoor/internal/cluster/failpoint"
	"dunemoor/internal/cluster/lease"
	"dunemoor/internal/testkit"
)

// Each failpoint is enabled in turn, and a story has to find the fault.
func TestEachFailpoint(t *testing.T) {
	testkit.EachFailpoint(t, failpoint.Cluster, failpoint.Enable, 600, func(seed uint64) error {
		stories := map[string]func(uint64) error{"mixed": playMixed, "calm": Calm, "flicker": Flicker, "put-back": PutBack, "words": Words, "again": playAgain}
		for name, play := range stories {
			if err := play(seed); err != nil {
				return fmt.Errorf("%s: %w", name, firstLine(err))
			}
		}
		return nil
	})
	testkit.EachFailpoint(t, failpoint.Relay, failpoint.Enable, 600, func(seed uint64) error {
		if err := Relays(seed); err != nil {
			return firstLine(err)
		}
		return nil
	})
}

// playAgain has commands come again behind others: each has its one effect, and its first answer.
func playAgain(seed uint64) error {
	s := lease.NewState(1)
	s.Apply(1, &lease.Command{Op: lease.OpOpenSession, Open: &lease.OpenRequest{Name: "g", DiskID: 1, OpenSequence: 1}})
	claim := lease.Command{Op: lease.OpAcquire, Session: 1, Request: 1, Lease: "d"}
	first := s.Apply(2, &claim)
	s.Apply(3, &lease.Command{Op: lease.OpRelease, Session: 1, Request: 2, Lease: "d", Token: first.Token})
	if again := s.Apply(4, &claim); again != first || s.Leases["d"].HolderSession != 0 {
		return fmt.Errorf("seed %d: a claim that came again was answered %+v after %+v, and %d owns the duty", seed, again, first, s.Leases["d"].HolderSession)
	}
	return nil
}

func playMixed(seed uint64) error {
	_, err := Play(Mixed(seed), 30*time.Second)
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
