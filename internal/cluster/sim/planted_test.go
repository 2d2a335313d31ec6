//go:build planted

package sim

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"lynxspool/internal/cluster/guard"
)

// Each guard is taken out in turn, and something here has to find it: a checker that can't fail
// is none.
func TestEachGuard(t *testing.T) {
	for _, g := range guard.All {
		t.Run(string(g), func(t *testing.T) {
			guard.Take(g)
			defer guard.Take("")
			for seed := uint64(1); seed <= 600; seed++ {
				for name, play := range map[string]func(uint64) error{"mixed": playMixed, "calm": Calm} {
					if err := play(seed); err != nil {
						t.Logf("found by %s: %v", name, firstLine(err))
						return
					}
				}
			}
			t.Error("nothing finds it")
		})
	}
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
