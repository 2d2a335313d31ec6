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

// Parts run hollow gateways in processes of their own program, which here is the test.
func init() {
	if hidden := []string{"scale", "hollow-host"}; slices.Equal(os.Args[1:], hidden) {
		if err := rootCommand().Execute(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
}

// value returns the value of a series of a report at a size.
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

// Each part that measures fleets counts, at its small sizes, what the code must send and keep.
func TestScaleFleetPartsCountWhatTheCodeSends(t *testing.T) {
	if testing.Short() {
		t.Skip("fleets of processes")
	}
	for name, check := range map[string]func(t *testing.T, r *scaletest.Report, sizes []int){
		"mesh":          checkRest,
		"mesh-real":     checkRest,
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
			t.Parallel() // they mostly wait
			part := scaleParts[name]
			if part == nil {
				t.Fatal("there is no such part")
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

// checkRest checks a report of fleets at rest.
func checkRest(t *testing.T, r *scaletest.Report, sizes []int) {
	for _, n := range sizes {
		for _, role := range []string{roleLeader, roleMember} {
			// One connection each way between two.
			if x := value(t, r, role, "connections", float64(n)); x != float64(2*(n-1)) {
				t.Errorf("%d gateways: got %v connections of the %s, want %d", n, x, role, 2*(n-1))
			}
			// The payload that a process sends is less than what both directions have with headers.
			bytes, carried := value(t, r, role, "bytes/s", float64(n)), value(t, r, role, "bytes/s carried, out", float64(n))
			if carried <= 0 || bytes <= carried {
				t.Errorf("%d gateways: got %v bytes/s sent by the %s, and %v in both directions with headers, want more", n, carried, role, bytes)
			}
		}
	}
}

// checkLeases checks a report by endpoint lists: a lease for each list, and housekeeping. The bytes a second are not
// compared: soon after the start of so few lists they depend on the machine.
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

// checkJoins checks a report of gateways that join a fleet.
func checkJoins(t *testing.T, r *scaletest.Report, sizes []int) {
	for _, n := range sizes {
		// Two connections to each other gateway, three segments to open each and four at least
		// of the transport's own handshake.
		if x := value(t, r, "one that comes back", "packets until it has all connections and a view", float64(n)); x < float64(2*(n-1)*7) {
			t.Errorf("%d gateways: got %v packets of one that comes back, want at least %d", n, x, 2*(n-1)*7)
		}
		if x := value(t, r, "all at once", "KB on the loopback, a gateway", float64(n)); x <= 0 {
			t.Errorf("%d gateways: got %v KB on the loopback, want some", n, x)
		}
	}
}

// checkOverrideChanges checks a report by changes of overrides a second.
func checkOverrideChanges(t *testing.T, r *scaletest.Report, sizes []int) {
	for _, n := range sizes {
		if x := value(t, r, roleLeader, "fsyncs/s", float64(n)); x <= 0 {
			t.Errorf("%d changes a second: got %v fsyncs/s, want some", n, x)
		}
	}
	for _, note := range r.Notes {
		if strings.Contains(note, ": 0 carried out") {
			t.Errorf("got %q, want some overrides applied", note)
		}
	}
}

// checkLostGateways checks a report of gateways that are killed.
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

// checkRelays checks a report of fleets with relays.
func checkRelays(t *testing.T, r *scaletest.Report, sizes []int) {
	for _, n := range sizes {
		// One stream at any size.
		if x := value(t, r, roleGateway, "connections", float64(n)); x != 1 {
			t.Errorf("%d gateways: got %v connections of one, want 1", n, x)
		}
		half, all := value(t, r, "an operator's word", "s until half of the gateways go by it", float64(n)), value(t, r, "an operator's word", "s until the last", float64(n))
		if half <= 0 || all < half {
			t.Errorf("%d gateways: got an override at half after %v s, at the last after %v, want them to ascend from 0", n, half, all)
		}
	}
}

// checkLostRelays checks a report of fleets whose relays are restarted.
func checkLostRelays(t *testing.T, r *scaletest.Report, sizes []int) {
	for _, n := range sizes {
		if x := value(t, r, "all relays restarted", "gateways that moved", float64(n)); x != float64(n) {
			t.Errorf("all relays restarted: got %v of %d gateways with a new stream, want all", x, n)
		}
	}
	for _, note := range r.Notes {
		if !strings.Contains(note, "without a relay at last 0;") {
			t.Errorf("got %q, want no gateway without a relay", note)
		}
	}
}

// checkPositive returns a check that a series is above 0 at every size.
func checkPositive(name, unit string) func(t *testing.T, r *scaletest.Report, sizes []int) {
	return func(t *testing.T, r *scaletest.Report, sizes []int) {
		for _, n := range sizes {
			if x := value(t, r, name, unit, float64(n)); x <= 0 {
				t.Errorf("%d gateways: got %v %s, want some", n, x, unit)
			}
		}
	}
}
