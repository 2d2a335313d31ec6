//go:build planted

package sim

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"dunemoor/internal/cluster/guard"
	"dunemoor/internal/cluster/lease"
)

// Each guard is taken out in turn, and something here has to find it: a checker that can't fail
// is none.
func TestEachGuard(t *testing.T) {
	for _, g := range guard.All {
		t.Run(string(g), func(t *testing.T) {
			guard.Take(g)
			defer guard.Take("")
			for seed := uint64(1); seed <= 600; seed++ {
				for name, play := range map[string]func(uint64) error{"mixed": playMixed, "calm": Calm, "flicker": Flicker, "put-back": PutBack, "words": Words, "again": playAgain} {
					if err := play(seed); err != nil {
						t.Logf("found by %s: %v", name, firstLine(err))
						return
					}
				}
			}
			t.Error("nothing finds it")
		})
	}
	for _, g := range guard.Relays {
		t.Run(string(g), func(t *testing.T) {
			guard.Take(g)
			defer guard.Take("")
			for seed := uint64(1); seed <= 600; seed++ {
				if err := Relays(seed); err != nil {
					t.Logf("found by relays: %v", firstLine(err))
					return
				}
			}
			t.Error("nothing finds it")
		})
	}
}

// playAgain has commands come again behind others: each has its one effect, and its first answer.
func playAgain(seed uint64) error {
	s := lease.NewState(1)
	s.Apply(1, &lease.Command{Op: lease.Open, Open: &lease.Opens{Name: "g", Disk: 1, Opening: 1}})
	claim := lease.Command{Op: lease.Claim, Session: 1, Request: 1, Duty: "d"}
	first := s.Apply(2, &claim)
	s.Apply(3, &lease.Command{Op: lease.Resign, Session: 1, Request: 2, Duty: "d", Token: first.Token})
	if again := s.Apply(4, &claim); again != first || s.Duties["d"].Owner != 0 {
		return fmt.Errorf("seed %d: a claim that came again was answered %+v after %+v, and %d owns the duty", seed, again, first, s.Duties["d"].Owner)
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
