//go:build failpoints

package idempotency

import (
	"testing"

	"dunemoor/internal/cluster/failpoint"
	"dunemoor/internal/testutil"
)

// TestEachFailpoint enables each failpoint in turn and checks that the simulation detects it.
func TestEachFailpoint(t *testing.T) {
	testutil.EachFailpoint(t, failpoint.Idempotency, failpoint.Enable, 400, func(seed uint64) error {
		_, err := simulate(seed)
		return err
	})
}
