//go:build failpoints

package placement

import (
	"errors"
	"testing"

	"dunemoor/internal/cluster/failpoint"
	"dunemoor/internal/testutil"
)

// TestEachFailpoint enables each failpoint in turn and checks that the simulations detect it.
func TestEachFailpoint(t *testing.T) {
	testutil.EachFailpoint(t, failpoint.Placement, failpoint.Enable, 60, func(seed uint64) error {
		_, _, err := simulate(seed)
		return errors.Join(err, simulateFewMachines(seed))
	})
}
