package fleet

import (
	"bytes"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/common/expfmt"

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

// Names and labels of the metrics of each pool, which dashboards and alerts read. Help texts may change.
func TestCompatPoolMetrics(t *testing.T) {
	f := &Fleet{endpointLists: map[string]*endpointList{"web": {}}, healthChecks: []*healthCheck{{pool: "web"}}}
	r := prometheus.NewRegistry()
	f.registerPoolMetrics(r)
	families, err := r.Gather()
	if err != nil {
		t.Fatal(err)
	}
	var text bytes.Buffer
	for _, family := range families {
		family.Help = nil
		if _, err := expfmt.MetricFamilyToText(&text, family); err != nil {
			t.Fatal(err)
		}
	}
	compat.Bytes(t, "pool-metrics.txt", text.Bytes())
}
