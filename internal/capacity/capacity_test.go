package capacity

import (
	"strings"
	"testing"
)

const page = `
| name | value | unit |
| --- | --- | --- |
| gateways | 4,700 | |
| allowed | 3 k | B/s |

| name | slope | intercept | by |
| --- | --- | --- | --- |
| mesh | 210 | 4,400 | gateways |

| what | name | formula | product | allowed | verdict |
| --- | --- | --- | --- | --- | --- |
| bytes of the mesh | total | mesh_0 + mesh*gateways | 991 k | 3 k | **broken** |
| a stream | - | 2*200 | 400 | 3 k | holds |

| what | formula | breaks at |
| --- | --- | --- |
| bytes | (allowed-mesh_0)/mesh+10 | 3.44 |
| sum | total/1000 | 991 |
`

var measured = []Slope{{Name: "mesh", Slope: 210.4, Intercept: 4380, Largest: 72, Line: true}}

// Each way in which a page can be wrong is planted in a right one, and is told with its line.
func TestCheck(t *testing.T) {
	if wrong := Check(page, measured); len(wrong) > 0 {
		t.Fatalf("a right page: %q", wrong)
	}
	for _, c := range []struct{ name, old, new, want string }{
		{"slope", "| mesh | 210 |", "| mesh | 180 |", "line 9: mesh: slope"},
		{"intercept", "| 4,400 |", "| 5,400 |", "line 9: mesh: intercept"},
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
	if wrong := Check("no table\n", nil); len(wrong) != 1 {
		t.Errorf("a page without a product: %q", wrong)
	}
}
