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

// Each way in which a page can be wrong is planted in a right one, and is told with its line.
func TestCheck(t *testing.T) {
	if wrong := Check(page, measured); len(wrong) > 0 {
		t.Fatalf("a right page: %q", wrong)
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
		{"verdict", "**broken**", "holds", "line 13: 9.933e+05 beside 3 k allowed: broken, not holds"},
		{"verdict of what holds", "| 400 | 3 k | holds", "| 400 | 3 k | broken", "line 14: 400 beside 3 k allowed: holds, not broken"},
		{"unknown name", "2*200", "2*streams", "line 14: streams is no figure of the page"},
		{"no formula", "2*200", "2*", `line 14: "2*" is no formula`},
		{"a call", "2*200", "f(2)", "line 14: a formula has"},
		{"no figure", "| 400 |", "| four |", `line 14: product: "four" is no figure`},
		{"order", "total/1000", "total/1000000", "line 19: "},
		{"cells", "| 2*200 |", "| 2 | 200 |", "line 14: 7 cells under 6 heads"},
		{"twice", "| allowed | 3 k", "| gateways | 3 k", "line 5: gateways stands twice"},
	} {
		changed := strings.Replace(page, c.old, c.new, 1)
		if changed == page {
			t.Fatalf("%s: nothing was planted", c.name)
		}
		if wrong := strings.Join(Check(changed, measured), "\n"); !strings.Contains(wrong, c.want) {
			t.Errorf("%s: told %q, not %q", c.name, wrong, c.want)
		}
	}
	curved := []Slope{measured[0]}
	curved[0].Shape = "power"
	if wrong := strings.Join(Check(strings.Replace(page, "| line |", "| power |", 1), curved), "\n"); !strings.Contains(wrong, "line 13: mesh_0 is no figure of the page") {
		t.Errorf("a product of what is no line: %q", wrong)
	}
	if wrong := Check("no table\n", nil); len(wrong) != 1 {
		t.Errorf("a page without a product: %q", wrong)
	}
}

func TestMeasured(t *testing.T) {
	list, err := Measured([]byte(`[{"part": "mesh-real", "series": [
		{"name": "member", "unit": "bytes/s", "points": [{"size": 80, "value": 7}, {"size": 8, "value": 1}],
		 "fit": {"slope": 2, "slope_error": 0.5, "intercept": 3, "shape": "line", "reach": 58.75}},
		{"name": "member", "unit": "MB", "points": [{"size": 8, "value": 1}]}]}]`))
	want := []Slope{
		{Name: "mesh_real_member_bytes_s", Slope: 2, Error: 0.5, Intercept: 3, Shape: "line", Reach: 58.75, Largest: 7},
		{Name: "mesh_real_member_mb", Shape: "not fitted", Largest: 1},
	}
	if err != nil || !slices.Equal(list, want) {
		t.Errorf("%+v, %v", list, err)
	}
	if _, err := Measured([]byte("{")); err == nil {
		t.Error("half a report is taken")
	}
}

// The page agrees with itself and with what was measured, which is kept beside it as lab scale wrote it.
func TestPage(t *testing.T) {
	const docs = "../../../docs"
	text, err := os.ReadFile(filepath.Join(docs, "CAPACITY.md"))
	if err != nil {
		t.Fatal(err)
	}
	files, err := filepath.Glob(filepath.Join(docs, "capacity", "*.json"))
	if err != nil || len(files) == 0 {
		t.Fatalf("nothing that was measured: %v", err)
	}
	var all []Slope
	for _, file := range files {
		b, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		list, err := Measured(b)
		if err != nil {
			t.Fatalf("%s: %v", file, err)
		}
		all = append(all, list...)
	}
	for i, s := range all {
		if slices.ContainsFunc(all[:i], func(o Slope) bool { return o.Name == s.Name }) {
			t.Errorf("%s was measured twice: which one counts?", s.Name)
		}
	}
	for _, wrong := range Check(string(text), all) {
		t.Errorf("docs/CAPACITY.md: %s", wrong)
	}
}
