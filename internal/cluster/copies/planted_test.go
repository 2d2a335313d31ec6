//go:build planted

package copies

import (
	"errors"
	"testing"

	"dunemoor/internal/cluster/guard"
	"dunemoor/internal/testkit"
)

// Each guard is taken out in turn, and the plays find it.
func TestEachGuard(t *testing.T) {
	testkit.EachGuard(t, guard.Copies, guard.Take, 60, func(seed uint64) error {
		_, _, err := play(seed)
		return errors.Join(err, playFew(seed))
	})
}
