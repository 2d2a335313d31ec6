package fleet

import (
	"testing"

	"dunemoor/internal/fleet/endpoints"
	"dunemoor/internal/testutil/compat"
)

// What holders of leases send to the gateways of their fleet.
func TestCompatBodies(t *testing.T) {
	compat.JSON(t, "list.json", &endpointPublication{})
	compat.JSON(t, "hosts.json", &hostReport{})
	compat.Values(t, "headers.txt", HeaderLease, HeaderToken)
	compat.Values(t, "kinds.txt", endpoints.KindHeartbeat, endpoints.KindFull, endpoints.KindChanges)
}

func TestCompatPaths(t *testing.T) {
	compat.Values(t, "paths.txt", PathFleet, PathMetrics, PathTransfer, PathRelease, PathAddReplica, PathRemoveReplica, PathDrain, PathUndrain)
}
