package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"dunemoor/internal/experiment/scaletest"
)

// Parts start hollow gateways by running their own executable again, which is the test binary here.
func init() {
	if hidden := []string{"scale", "hollow-host"}; slices.Equal(os.Args[1:], hidden) {
		if err := rootCommand().Execute(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
}

// value returns the value of a series at a size, and fails the test if the report has none.
func value(t *testing.T, r *scaletest.Report, name, unit string, size float64) float64 {
	t.Helper()
	for _, s := range r.Series {
		for _, p := range s.Points {
			if s.Name == name && s.Unit == unit && p.Size == size {
				return p.Value
			}
		}
	}
	t.Fatalf("got no point of %s, %s at %v in %+v", name, unit, size, r.Series)
	return 0
}

// Each part that measures fleets reports, at its small sizes, the connections, traffic and leases that follow from
// the code.
func TestScaleFleetPartsMatchExpectedCounts(t *testing.T) {
	if testing.Short() {
		t.Skip("fleets of processes")
	}
	for name, check := range map[string]func(t *testing.T, r *scaletest.Report, sizes []int){
		"mesh":          checkFleetAtRest,
		"mesh-real":     checkFleetAtRest,
		"duties":        checkLeases,
		"joins":         checkJoins,
		"fleet-changes": checkOverrideChanges,
		"lost":          checkLostGateways,
		"relays":        checkRelays,
		"relays-lost":   checkLostRelays,
		"record":        checkPositive("a whole view", "KB of JSON"),
		"sim":           checkPositive("a fleet played", "s"),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel() // the parts mostly wait
			part := scaleParts[name]
			if part == nil {
				t.Fatal("part is not registered")
			}
			var progress strings.Builder
			env := &scaleEnv{dir: t.TempDir(), progress: &progress, small: true}
			r, err := part.measure(context.Background(), env, nil)
			if err != nil {
				t.Fatal(err, progress.String())
			}
			check(t, r, part.smallSizes)
		})
	}
}

// checkFleetAtRest checks the report of a part that measures fleets at rest.
func checkFleetAtRest(t *testing.T, r *scaletest.Report, sizes []int) {
	for _, n := range sizes {
		for _, role := range []string{roleLeader, roleMember} {
			// Each pair of gateways has one connection in each direction.
			if x := value(t, r, role, "connections", float64(n)); x != float64(2*(n-1)) {
				t.Errorf("%d gateways: got %v connections of the %s, want %d", n, x, role, 2*(n-1))
			}
			// The payload that a process sends must be less than the traffic in both directions including headers.
			bytes, carried := value(t, r, role, "bytes/s", float64(n)), value(t, r, role, "bytes/s carried, out", float64(n))
			if carried <= 0 || bytes <= carried {
				t.Errorf("%d gateways: got %v bytes/s sent by the %s, and %v in both directions with headers, want more", n, carried, role, bytes)
			}
		}
	}
}

// checkLeases checks a report by the number of endpoint lists: there is a lease for each list, and one for
// housekeeping. The bytes per second of different sizes are not compared: with so few lists, shortly after the start,
// they depend on the machine.
func checkLeases(t *testing.T, r *scaletest.Report, sizes []int) {
	for _, n := range sizes {
		if x := value(t, r, "the record", "duties", float64(n)); x != float64(n+1) {
			t.Errorf("%d lists: got %v leases, want %d", n, x, n+1)
		}
		if x := value(t, r, "gateway (median)", "bytes/s", float64(n)); x <= 0 {
			t.Errorf("%d lists: got %v bytes/s, want some", n, x)
		}
	}
}

// checkJoins checks the report of gateways that join a fleet.
func checkJoins(t *testing.T, r *scaletest.Report, sizes []int) {
	for _, n := range sizes {
		// There are two connections to each other gateway. Each takes three segments to open, and at least four for
		// the handshake of the transport.
		if x := value(t, r, "one that comes back", "packets until it has all connections and a view", float64(n)); x < float64(2*(n-1)*7) {
			t.Errorf("%d gateways: got %v packets of one that comes back, want at least %d", n, x, 2*(n-1)*7)
		}
		if x := value(t, r, "all at once", "KB on the loopback, a gateway", float64(n)); x <= 0 {
			t.Errorf("%d gateways: got %v KB on the loopback, want some", n, x)
		}
	}
}

// checkOverrideChanges checks a report by the number of changes of overrides per second.
func checkOverrideChanges(t *testing.T, r *scaletest.Report, sizes []int) {
	for _, n := range sizes {
		if x := value(t, r, roleLeader, "fsyncs/s", float64(n)); x <= 0 {
			t.Errorf("%d changes a second: got %v fsyncs/s, want some", n, x)
		}
	}
	for _, note := range r.Notes {
		if strings.Contains(note, ": 0 applied") {
			t.Errorf("got %q, want some overrides applied", note)
		}
	}
}

// checkLostGateways checks the report of gateways that are killed.
func checkLostGateways(t *testing.T, r *scaletest.Report, sizes []int) {
	for _, n := range sizes {
		for unit, name := range map[string]string{
			"s until another leads": "leader killed", "s until their sessions have lapsed everywhere": "a tenth killed", "s until they have sessions again": "a tenth killed",
		} {
			if x := value(t, r, name, unit, float64(n)); x <= 0 {
				t.Errorf("%d gateways, %s: got %v %s, want some", n, name, x, unit)
			}
		}
	}
}

// checkRelays checks the report of fleets with relays.
func checkRelays(t *testing.T, r *scaletest.Report, sizes []int) {
	for _, n := range sizes {
		// A gateway has one stream at any fleet size.
		if x := value(t, r, roleGateway, "connections", float64(n)); x != 1 {
			t.Errorf("%d gateways: got %v connections of one, want 1", n, x)
		}
		half, all := value(t, r, "an operator's word", "s until half of the gateways go by it", float64(n)), value(t, r, "an operator's word", "s until the last", float64(n))
		if half <= 0 || all < half {
			t.Errorf("%d gateways: got an override at half of the gateways after %v s and at the last one after %v s, want ascending times above 0", n, half, all)
		}
	}
}

// checkLostRelays checks the report of fleets whose relays fail and are restarted.
func checkLostRelays(t *testing.T, r *scaletest.Report, sizes []int) {
	for _, n := range sizes {
		if x := value(t, r, "all relays restarted", "gateways that moved", float64(n)); x != float64(n) {
			t.Errorf("all relays restarted: got %v of %d gateways with a new stream, want all", x, n)
		}
	}
	for _, note := range r.Notes {
		if !strings.Contains(note, "without a relay at the end: 0;") {
			t.Errorf("got %q, want no gateway without a relay", note)
		}
	}
}

// checkPositive returns a check that the values of a series are above 0 at every size.
func checkPositive(name, unit string) func(t *testing.T, r *scaletest.Report, sizes []int) {
	return func(t *testing.T, r *scaletest.Report, sizes []int) {
		for _, n := range sizes {
			if x := value(t, r, name, unit, float64(n)); x <= 0 {
				t.Errorf("%d gateways: got %v %s, want some", n, x, unit)
			}
		}
	}
}
