package scenario

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"dunemoor/internal/experiment/simulator"
)

// Every scenario of the library is valid, has a description, and meets its expectations with its own seed.
func TestLibraryScenariosMeetTheirExpectations(t *testing.T) {
	paths, err := filepath.Glob("../../../scenarios/*.toml")
	if err != nil || len(paths) < 20 {
		t.Fatalf("got %d scenarios and error %v, want at least 20", len(paths), err)
	}
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".toml"), func(t *testing.T) {
			t.Parallel()
			s, errs := Load(path)
			if len(errs) > 0 {
				t.Fatal(errs)
			}
			if s.About == "" || s.Expected == (Expectations{}) {
				t.Error("got no description or no expectation, want both")
			}
			s.Config.Seed = max(s.Seed, 1)
			sum, err := simulator.Run(s.Config)
			if err != nil {
				t.Fatal(err)
			}
			if missed := s.Missed(sum); len(missed) > 0 {
				t.Errorf("seed %d: got %q, want no missed expectation: %q", s.Config.Seed, missed, sum.ViolationDetails)
			}
		})
	}
}

// Parse reads the text that Format returns as the same scenario, so that a finding of a search can be run again.
func TestFormatRoundTrip(t *testing.T) {
	paths, err := filepath.Glob("../../../scenarios/*.toml")
	if err != nil || len(paths) < 20 {
		t.Fatalf("got %d scenarios and error %v, want at least 20", len(paths), err)
	}
	for _, path := range paths {
		s, errs := Load(path)
		if len(errs) > 0 {
			t.Fatal(errs)
		}
		s.Seed = 7
		text, err := s.Format()
		if err != nil {
			t.Fatal(err)
		}
		again, errs := Parse(path, text)
		if len(errs) > 0 {
			t.Fatalf("%s: got errors %v in\n%s", path, errs, text)
		}
		if !reflect.DeepEqual(s, again) {
			t.Errorf("%s:\ngot  %+v\nwant %+v from\n%s", path, again, s, text)
		}
	}
}

// Parse returns all errors, each with its file, line and field.
func TestParseReturnsAllErrors(t *testing.T) {
	text, err := os.ReadFile("../../../scenarios/a-fifth-of-the-hosts-die.toml")
	if err != nil {
		t.Fatal(err)
	}
	bad := string(text)
	for _, c := range [][2]string{
		{`gateways = 4`, `gateways = 0`}, {`cores = 2`, `cores = 0`}, {`effect = "unsafe"`, `effect = "unsave"`},
		{`dist = "lognormal"`, `dist = "normal"`}, {`jitter = 0.5`, `jitter = 5.0`}, {`kind = "crash"`, `kind = "crush"`},
		{`end_in_time = 0.99`, `end_in_time = 99.0`}, {`retries = 2`, `retrys = 2`}, {`delay = "200us"`, `delay = 200`},
	} {
		if !strings.Contains(bad, c[0]) {
			t.Fatalf("scenario without %q", c[0])
		}
		bad = strings.Replace(bad, c[0], c[1], 1)
	}
	_, errs := Parse("f.toml", bad)
	var all []string
	for _, err := range errs {
		all = append(all, err.Error())
	}
	for _, want := range []string{
		"gateways: 0 is not", "hosts.cores: 0 is", `class.effect: "unsave"`, `class.dist: "normal"`, "clients.jitter: 5 is", `trouble.kind: "crush"`,
		"expect.end_in_time: 99 is", "clients.retrys", "net.delay",
	} {
		n := 0
		for _, s := range all {
			if strings.Contains(s, want) && strings.HasPrefix(s, "f.toml:") {
				n++
			}
		}
		if n != 1 {
			t.Errorf("got %d errors with %q, want 1:\n%s", n, want, strings.Join(all, "\n"))
		}
	}
	if len(all) != 9 {
		t.Errorf("got %d errors, want 9:\n%s", len(all), strings.Join(all, "\n"))
	}
}

// Missed reports each kind of expectation if it isn't met, and only then.
func TestMissedReportsEachExpectation(t *testing.T) {
	sum := &simulator.Summary{
		Classes: []simulator.ClassSummary{{FirstRequests: 60, InTime: 60, PriorityWeight: 1}, {FirstRequests: 40, InTime: 30, PriorityWeight: 5}},
		Seconds: []simulator.Second{{FirstRequests: 50, InTime: 50}, {FirstRequests: 50, InTime: 40, Handshakes: 7, WarmingAttempts: 7, UnavailableAttempts: 7, Polls: 7}},
	}
	for _, tt := range []struct {
		expected   Expectations
		violations int
		want       int
	}{
		{Expectations{InTimeShare: 0.9}, 0, 0},
		{Expectations{InTimeShare: 0.91}, 0, 1},
		{Expectations{EndFrom: time.Second, EndInTimeShare: 0.8}, 0, 0},
		{Expectations{EndFrom: time.Second, EndInTimeShare: 0.81}, 0, 1},
		{Expectations{InTimeShare: 0.95, EndInTimeShare: 0.95}, 3, 3},
		{Expectations{WeightedInTimeShare: 0.8}, 0, 0},
		{Expectations{WeightedInTimeShare: 0.82}, 0, 1},
		{Expectations{ClassInTimeShare: 0.75}, 0, 0},
		{Expectations{ClassInTimeShare: 0.76}, 0, 1},
		{Expectations{PerSecond: Budget{7, 7, 7, 7}}, 0, 0},
		{Expectations{PerSecond: Budget{Handshakes: 6}}, 0, 1},
		{Expectations{PerSecond: Budget{WarmingAttempts: 6}}, 0, 1},
		{Expectations{PerSecond: Budget{UnavailableAttempts: 6}}, 0, 1},
		{Expectations{PerSecond: Budget{Polls: 6}}, 0, 1},
	} {
		sum.Violations[simulator.RuleDrain] = tt.violations
		if got := (&Scenario{Expected: tt.expected}).Missed(sum); len(got) != tt.want {
			t.Errorf("%+v, %d violations: got %q, want %d missed", tt.expected, tt.violations, got, tt.want)
		}
	}
}
