//go:build planted

package shelf

import (
	"testing"

	"dunemoor/internal/cluster/guard"
	"dunemoor/internal/testkit"
)

// Each guard is taken out in turn, and the histories find it.
func TestEachGuard(t *testing.T) {
	testkit.EachGuard(t, guard.Shelf, guard.Take, 400, func(seed uint64) error {
		_, err := play(seed)
		return err
	})
}
