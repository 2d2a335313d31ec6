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

// value is what a report has of a series at a size.
func value(t *testing.T, r *scaletest.Report, name, unit string, size float64) float64 {
	t.Helper()
	for _, s := range r.Series {
		for _, p := range s.Points {
			if s.Name == name && s.Unit == unit && p.Size == size {
				return p.Value
			}
		}
	}
	t.Fatalf("nothing of %s, %s at %v: %+v", name, unit, size, r.Series)
	return 0
}

// Each part of the fleet at its small sizes: what is counted has the shape that the code gives it.
func TestScaleFleet(t *testing.T) {
	if testing.Short() {
		t.Skip("fleets of processes")
	}
	for name, check := range map[string]func(t *testing.T, r *scaletest.Report, sizes []int){
		"mesh":      checkRest,
		"mesh-real": checkRest,
		"duties": func(t *testing.T, r *scaletest.Report, sizes []int) {
			for _, n := range sizes {
				// A list each, and housekeeping. What is told of them in a second is not compared: at a
				// start of two and of four lists that goes by the machine.
				if x := value(t, r, "the record", "duties", float64(n)); x != float64(n+1) {
					t.Errorf("%v duties with %d lists", x, n)
				}
				if x := value(t, r, "gateway (median)", "bytes/s", float64(n)); x <= 0 {
					t.Errorf("%v bytes/s with %d lists", x, n)
				}
			}
		},
		"joins": func(t *testing.T, r *scaletest.Report, sizes []int) {
			for _, n := range sizes {
				// Two connections to each other gateway, three segments to open each and four at least
				// of the carrier's own handshake.
				if x := value(t, r, "one that comes back", "packets until it has all connections and a view", float64(n)); x < float64(2*(n-1)*7) {
					t.Errorf("%d gateways: one came back by %v packets", n, x)
				}
				if x := value(t, r, "all at once", "KB on the loopback, a gateway", float64(n)); x <= 0 {
					t.Errorf("%d gateways: %v KB", n, x)
				}
			}
		},
		"fleet-changes": func(t *testing.T, r *scaletest.Report, sizes []int) {
			for _, n := range sizes {
				if x := value(t, r, "leader", "fsyncs/s", float64(n)); x <= 0 {
					t.Errorf("%d changes a second: %v fsyncs", n, x)
				}
			}
			for _, note := range r.Notes {
				if strings.Contains(note, ": 0 carried out") {
					t.Error(note)
				}
			}
		},
		"lost": func(t *testing.T, r *scaletest.Report, sizes []int) {
			for _, n := range sizes {
				for unit, name := range map[string]string{
					"s until another leads": "leader killed", "s until their sessions have lapsed everywhere": "a tenth killed", "s until they have sessions again": "a tenth killed",
				} {
					if x := value(t, r, name, unit, float64(n)); x <= 0 {
						t.Errorf("%d gateways: %v %s", n, x, unit)
					}
				}
			}
		},
		"relays": func(t *testing.T, r *scaletest.Report, sizes []int) {
			for _, n := range sizes {
				// One stream, whatever the size.
				if x := value(t, r, "gateway", "connections", float64(n)); x != 1 {
					t.Errorf("%d gateways: one has %v connections", n, x)
				}
				half, all := value(t, r, "an operator's word", "s until half of the gateways go by it", float64(n)), value(t, r, "an operator's word", "s until the last", float64(n))
				if half <= 0 || all < half {
					t.Errorf("%d gateways: a word at half after %v s, at the last after %v", n, half, all)
				}
			}
		},
		"relays-lost": func(t *testing.T, r *scaletest.Report, sizes []int) {
			for _, n := range sizes {
				if x := value(t, r, "all relays restarted", "gateways that moved", float64(n)); x != float64(n) {
					t.Errorf("%v of %d gateways came back to relays that were all restarted", x, n)
				}
			}
			for _, note := range r.Notes {
				if !strings.Contains(note, "without a relay at last 0;") {
					t.Error(note)
				}
			}
		},
		"record": func(t *testing.T, r *scaletest.Report, sizes []int) {
			for _, n := range sizes {
				if x := value(t, r, "a whole view", "KB of JSON", float64(n)); x <= 0 {
					t.Errorf("%d gateways: %v KB", n, x)
				}
			}
		},
		"sim": func(t *testing.T, r *scaletest.Report, sizes []int) {
			for _, n := range sizes {
				if x := value(t, r, "a fleet played", "s", float64(n)); x <= 0 {
					t.Errorf("%d gateways: %v s", n, x)
				}
			}
		},
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

func checkRest(t *testing.T, r *scaletest.Report, sizes []int) {
	for _, n := range sizes {
		for _, role := range []string{"leader", "member"} {
			// One connection each way between two.
			if x := value(t, r, role, "connections", float64(n)); x != float64(2*(n-1)) {
				t.Errorf("%d gateways: %s has %v connections", n, role, x)
			}
			// What is carried is less than what goes over the wire with headers, and the carrier's own
			// counter not more than what its connections carried, but for what was out as it was looked at.
			bytes, carried := value(t, r, role, "bytes/s", float64(n)), value(t, r, role, "bytes/s carried, out", float64(n))
			if carried <= 0 || bytes <= carried {
				t.Errorf("%d gateways: %s sends %v bytes/s, with headers and both ways %v", n, role, carried, bytes)
			}
		}
	}
}
