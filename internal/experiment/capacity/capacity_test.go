package capacity

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

const page = `
| name | value | unit |
| --- | --- | --- |
| gateways | 4,700 | |
| allowed | 3 k | B/s |

| name | slope | error | intercept | shape | reach |
| --- | --- | --- | --- | --- | --- |
| mesh | 210 | 7.4 | 4,400 | line | 65 |

| what | name | formula | product | allowed | verdict |
| --- | --- | --- | --- | --- | --- |
| bytes of the mesh | total | mesh_0 + mesh*gateways | 991 k | 3 k | **broken** |
| a stream | - | 2*200 | 400 | 3 k | holds |

| what | formula | breaks at |
| --- | --- | --- |
| bytes | (allowed-mesh_0)/mesh+10 | 3.44 |
| sum | total/1000 | 991 |
`

var measured = []Slope{{Name: "mesh", Slope: 210.4, Error: 7.4, Intercept: 4380, Shape: "line", Reach: 65.3, Largest: 16410}}

// Each kind of error that is introduced into a correct page is reported with its line.
func TestCheckReportsEachKindOfError(t *testing.T) {
	if findings := Check(page, measured); len(findings) > 0 {
		t.Fatalf("correct page: got findings %q, want none", findings)
	}
	for _, c := range []struct{ name, old, new, want string }{
		{"slope", "| mesh | 210 |", "| mesh | 180 |", "line 9: mesh: slope"},
		{"intercept", "| 4,400 |", "| 5,400 |", "line 9: mesh: intercept"},
		{"error", "| 7.4 |", "| 0.7 |", "line 9: mesh: error"},
		{"shape", "| line |", "| flat |", "line 9: mesh: shape"},
		{"reach", "| 65 |", "| 6.5 |", "line 9: mesh: reach"},
		{"not measured", "| mesh | 210", "| web | 210", "line 9: web was not measured"},
		{"product", "| 991 k | 3 k", "| 91 k | 3 k", "line 13: mesh_0 + mesh*gateways is"},
		{"input", "| 4,700 |", "| 470 |", "line 13: "},
		{"verdict", "**broken**", "holds", "line 13: 9.933e+05 with 3 k allowed: the verdict must be broken, not holds"},
		{"verdict of what holds", "| 400 | 3 k | holds", "| 400 | 3 k | broken", "line 14: 400 with 3 k allowed: the verdict must be holds, not broken"},
		{"unknown name", "2*200", "2*streams", "line 14: streams is not defined on the page"},
		{"no formula", "2*200", "2*", `line 14: "2*" is not a valid formula`},
		{"a call", "2*200", "f(2)", "line 14: a formula may only have"},
		{"no figure", "| 400 |", "| four |", `line 14: product: "four" is not a number`},
		{"order", "total/1000", "total/1000000", "line 19: "},
		{"cells", "| 2*200 |", "| 2 | 200 |", "line 14: 7 cells in a table with 6 columns"},
		{"twice", "| allowed | 3 k", "| gateways | 3 k", "line 5: gateways is defined twice"},
	} {
		changed := strings.Replace(page, c.old, c.new, 1)
		if changed == page {
			t.Fatalf("%s: the page doesn't contain the text to replace", c.name)
		}
		if findings := strings.Join(Check(changed, measured), "\n"); !strings.Contains(findings, c.want) {
			t.Errorf("%s: got %q, want %q", c.name, findings, c.want)
		}
	}
	curved := []Slope{measured[0]}
	curved[0].Shape = "power"
	if findings := strings.Join(Check(strings.Replace(page, "| line |", "| power |", 1), curved), "\n"); !strings.Contains(findings, "line 13: mesh_0 is not defined on the page") {
		t.Errorf("product of a slope that is not a line: got %q, want an undefined name", findings)
	}
	if findings := Check("no table\n", nil); len(findings) != 1 {
		t.Errorf("page without a product: got %q, want one finding", findings)
	}
}

// ParseReport returns slopes with names that can be used in formulas.
func TestParseReport(t *testing.T) {
	list, err := ParseReport([]byte(`[{"part": "mesh-real", "series": [
		{"name": "member", "unit": "bytes/s", "points": [{"size": 80, "value": 7}, {"size": 8, "value": 1}],
		 "fit": {"slope": 2, "slope_error": 0.5, "intercept": 3, "shape": "line", "reach": 58.75}},
		{"name": "member", "unit": "MB", "points": [{"size": 8, "value": 1}]}]}]`))
	want := []Slope{
		{Name: "mesh_real_member_bytes_s", Slope: 2, Error: 0.5, Intercept: 3, Shape: "line", Reach: 58.75, Largest: 7},
		{Name: "mesh_real_member_mb", Shape: "not fitted", Largest: 1},
	}
	if err != nil || !slices.Equal(list, want) {
		t.Errorf("got %+v, error %v, want %+v", list, err, want)
	}
	if _, err := ParseReport([]byte("{")); err == nil {
		t.Error("truncated report: got no error, want one")
	}
}

// The figures of docs/CAPACITY.md are consistent with each other and with the reports in docs/capacity.
func TestCapacityPage(t *testing.T) {
	const docs = "../../../docs"
	text, err := os.ReadFile(filepath.Join(docs, "CAPACITY.md"))
	if err != nil {
		t.Fatal(err)
	}
	files, err := filepath.Glob(filepath.Join(docs, "capacity", "*.json"))
	if err != nil || len(files) == 0 {
		t.Fatalf("got %d reports, error %v", len(files), err)
	}
	var all []Slope
	for _, file := range files {
		b, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		list, err := ParseReport(b)
		if err != nil {
			t.Fatalf("%s: %v", file, err)
		}
		all = append(all, list...)
	}
	for i, s := range all {
		if slices.ContainsFunc(all[:i], func(o Slope) bool { return o.Name == s.Name }) {
			t.Errorf("got two measurements of %s, want one", s.Name)
		}
	}
	for _, finding := range Check(string(text), all) {
		t.Errorf("docs/CAPACITY.md: %s", finding)
	}
}
