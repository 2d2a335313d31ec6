//go:build failpoints

package placement

import (
	"errors"
	"testing"

	"dunemoor/internal/cluster/failpoint"
	"dunemoor/internal/testutil"
)

// Each failpoint is enabled in turn, and the plays find it.
func TestEachFailpoint(t *testing.T) {
	testutil.EachFailpoint(t, failpoint.Placement, failpoint.Enable, 60, func(seed uint64) error {
		_, _, err := play(seed)
		return errors.Join(err, playFew(seed))
	})
}
