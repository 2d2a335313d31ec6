package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Each part measures a point at each of its small sizes, and reports the rejection of sizes beyond the limits of the
// program.
func TestScalePartsMeasureTheirSmallSizes(t *testing.T) {
	file := filepath.Join(t.TempDir(), "scale.json")
	parts := []string{"routes", "pools", "hosts", "module", "tenants", "changes"}
	out, err := runCommandLine(append([]string{"scale", "--small", "--json", file}, parts...)...)
	if err != nil {
		t.Fatal(err, "\n", out)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var reports []struct {
		Part, Command string
		Series        []struct {
			Name   string
			Points []struct{ Size, Value float64 }
			Fit    *struct{ Slope float64 }
		}
		Breaks []struct{ What, Where string }
	}
	if err := json.Unmarshal(text, &reports); err != nil || len(reports) != len(parts) {
		t.Fatalf("got %d reports, error %v, want %d\n%s", len(reports), err, len(parts), text)
	}
	for i, r := range reports {
		if r.Part != parts[i] || !strings.Contains(r.Command, r.Part+" --small") || len(r.Series) == 0 {
			t.Errorf("got %+v, want a report of %s at its small sizes", r, parts[i])
		}
		for _, s := range r.Series {
			if len(s.Points) != len(scaleParts[r.Part].smallSizes) || s.Fit == nil {
				t.Errorf("%s, %s: got %+v, want a fit of %d points", r.Part, s.Name, s, len(scaleParts[r.Part].smallSizes))
				continue
			}
			// The limiter needs 24 bytes per tenant. Memory that the measurement itself allocates must not be
			// included.
			if last := s.Points[len(s.Points)-1]; s.Name == "the shares alone: memory" && (last.Value < 24*last.Size/1024*0.9 || last.Value > 24*last.Size/1024*3) {
				t.Errorf("%s: got %v KB for %v tenants, want between 24 bytes and three times that for each", s.Name, last.Value, last.Size)
			}
		}
		if r.Part == "pools" || r.Part == "hosts" || r.Part == "tenants" {
			if len(r.Breaks) == 0 || !strings.Contains(r.Breaks[0].What, "more than") {
				t.Errorf("%s: got breaks %+v, want a rejection beyond the limit", r.Part, r.Breaks)
			}
		}
	}
}

// The help describes each part. Unknown parts, and sizes for several parts or with --small, are errors.
func TestScaleHelpAndArguments(t *testing.T) {
	out, err := runCommandLine("scale", "--help")
	if err != nil {
		t.Fatal(out, err)
	}
	for name, p := range scaleParts {
		if !strings.Contains(out, name+": "+p.about) || !strings.Contains(out, joinInts(p.sizes)) || !strings.Contains(out, "about "+p.duration) {
			t.Errorf("%s: got no explanation in\n%s", name, out)
		}
	}
	for _, args := range [][]string{{"scale", "none"}, {"scale", "routes", "pools", "--sizes", "1,2"}, {"scale", "routes", "--small", "--sizes", "1,2"}} {
		if out, err := runCommandLine(args...); err == nil {
			t.Errorf("%v: got no error and\n%s", args, out)
		}
	}
}
