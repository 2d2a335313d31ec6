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

// Every scenario of the library is right, says what it is about, and keeps the rules and what it
// expects, with one seed.
func TestLibrary(t *testing.T) {
	paths, err := filepath.Glob("../../../scenarios/*.toml")
	if err != nil || len(paths) < 20 {
		t.Fatalf("%d scenarios, %v", len(paths), err)
	}
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".toml"), func(t *testing.T) {
			t.Parallel()
			s, wrong := Load(path)
			if len(wrong) > 0 {
				t.Fatal(wrong)
			}
			if s.About == "" || s.Expect == (Expect{}) {
				t.Error("it does not say what it is about, or expects nothing")
			}
			s.Model.Seed = max(s.Seed, 1)
			sum, err := simulator.Run(s.Model)
			if err != nil {
				t.Fatal(err)
			}
			if missed := s.Missed(sum); len(missed) > 0 {
				t.Errorf("seed %d: %q, %q", s.Model.Seed, missed, sum.Why)
			}
		})
	}
}

// A scenario that is written is read as the same one: it guards against a find of a search that
// can't be played again.
func TestTextIsReadAsTheSame(t *testing.T) {
	paths, err := filepath.Glob("../../../scenarios/*.toml")
	if err != nil || len(paths) < 20 {
		t.Fatalf("%d scenarios, %v", len(paths), err)
	}
	for _, path := range paths {
		s, wrong := Load(path)
		if len(wrong) > 0 {
			t.Fatal(wrong)
		}
		s.Seed = 7
		text, err := s.Text()
		if err != nil {
			t.Fatal(err)
		}
		again, wrong := Parse(path, text)
		if len(wrong) > 0 {
			t.Fatalf("%s: %v in\n%s", path, wrong, text)
		}
		if !reflect.DeepEqual(s, again) {
			t.Errorf("%s: %+v was written as\n%s", path, s, text)
		}
	}
}

// Mistakes are all said at once, each with its line and field.
func TestMistakes(t *testing.T) {
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
			t.Fatalf("the scenario lacks %q", c[0])
		}
		bad = strings.Replace(bad, c[0], c[1], 1)
	}
	_, wrong := Parse("f.toml", bad)
	var all []string
	for _, err := range wrong {
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
			t.Errorf("%q is said %d times in\n%s", want, n, strings.Join(all, "\n"))
		}
	}
	if len(all) != 9 {
		t.Errorf("%d mistakes of 9:\n%s", len(all), strings.Join(all, "\n"))
	}
}

// What is expected is held against a run: it guards against an expectation that nothing misses.
func TestMissed(t *testing.T) {
	sum := &simulator.Summary{
		Classes: []simulator.ClassSummary{{Asked: 60, InTime: 60, Worth: 1}, {Asked: 40, InTime: 30, Worth: 5}},
		Seconds: []simulator.Second{{Asked: 50, InTime: 50}, {Asked: 50, InTime: 40, Handshakes: 7, ColdSends: 7, DeadSends: 7, ListCalls: 7}},
	}
	for _, tt := range []struct {
		expect Expect
		broken int
		want   int
	}{
		{Expect{InTime: 0.9}, 0, 0}, {Expect{InTime: 0.91}, 0, 1}, {Expect{EndFrom: time.Second, EndInTime: 0.8}, 0, 0},
		{Expect{EndFrom: time.Second, EndInTime: 0.81}, 0, 1}, {Expect{InTime: 0.95, EndInTime: 0.95}, 3, 3},
		{Expect{Worth: 0.8}, 0, 0}, {Expect{Worth: 0.82}, 0, 1}, {Expect{Class: 0.75}, 0, 0}, {Expect{Class: 0.76}, 0, 1},
		{Expect{Most: Budget{7, 7, 7, 7}}, 0, 0}, {Expect{Most: Budget{Handshakes: 6}}, 0, 1}, {Expect{Most: Budget{ColdSends: 6}}, 0, 1},
		{Expect{Most: Budget{DeadSends: 6}}, 0, 1}, {Expect{Most: Budget{ListCalls: 6}}, 0, 1},
	} {
		sum.Broken[simulator.RuleDrain] = tt.broken
		if got := (&Scenario{Expect: tt.expect}).Missed(sum); len(got) != tt.want {
			t.Errorf("%+v, %d broken: %q", tt.expect, tt.broken, got)
		}
	}
}
