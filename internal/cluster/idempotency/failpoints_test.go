//go:build failpoints

package idempotency

import (
	"testing"

	"dunemoor/internal/cluster/failpoint"
	"dunemoor/internal/testutil"
)

// Each failpoint is enabled in turn, and the histories find it.
func TestEachFailpoint(t *testing.T) {
	testutil.EachFailpoint(t, failpoint.Idempotency, failpoint.Enable, 400, func(seed uint64) error {
		_, err := play(seed)
		return err
	})
}
