package fleet

import (
	"testing"

	"dunemoor/internal/fleet/lists"
	"dunemoor/internal/testkit/compat"
)

// What holders of leases send to the gateways of their fleet.
func TestCompatBodies(t *testing.T) {
	compat.JSON(t, "list.json", &told{})
	compat.JSON(t, "hosts.json", &good{})
	compat.Values(t, "headers.txt", HeaderDuty, HeaderToken)
	compat.Values(t, "kinds.txt", lists.Beat, lists.Whole, lists.Changes)
}

func TestCompatPaths(t *testing.T) {
	compat.Values(t, "paths.txt", PathFleet, PathMetrics, PathMove, PathResign, PathAdd, PathRemove, PathDrain, PathUndrain)
}
