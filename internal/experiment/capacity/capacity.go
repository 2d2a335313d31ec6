// Package capacity checks the arithmetic of docs/CAPACITY.md: products of slopes and sizes, what is allowed, and what
// breaks first. It does no I/O.
package capacity

import (
	"fmt"
	"math"
)

// Check evaluates a page again with the slopes as they were measured, and returns what disagrees, a line each.
//
// A table with the columns "name" and "value" has inputs. One with "name", "slope" and "intercept" has slopes: each
// must be a measured one, with its figures ("error", "shape" and "reach" too, where there are such columns). A formula
// knows a slope by its name, the intercept by name_0, and what was measured at the largest size by name_most; of a
// slope that is no line it knows the last one alone. A table with "formula" and "product" has products; with "allowed"
// and "verdict" too, the verdict must be "holds" or "broken" as the product is under or over. One with "formula" and
// "breaks at" is a ranking: its rows grow.
func Check(page string, measured []Slope) []string {
	tables, err := Tables(page)
	if err != nil {
		return []string{err.Error()}
	}
	c := &checker{figures: map[string]float64{}, slopes: map[string]Slope{}}
	for _, s := range measured {
		c.slopes[s.Name] = s
	}
	for _, t := range tables {
		c.table(t)
	}
	if c.products == 0 {
		c.findings = append(c.findings, "the page has no product")
	}
	return c.findings
}

// checker is the state of a check.
type checker struct {
	figures  map[string]float64 // that formulas know, by name
	slopes   map[string]Slope   // as measured
	products int
	findings []string
}

// checkedRow is a row under check.
type checkedRow struct {
	*checker
	table *Table
	Row
}

func (r *checkedRow) errorf(format string, args ...any) {
	r.findings = append(r.findings, fmt.Sprintf("line %d: %s", r.Line, fmt.Sprintf(format, args...)))
}

// number reads the number in a column.
func (r *checkedRow) number(column string) float64 {
	x, err := Number(r.Cells[column])
	if err != nil {
		r.errorf("%s: %v", column, err)
	}
	return x
}

// table checks the rows of a table by its columns. Other tables are not checked.
func (c *checker) table(t *Table) {
	previous := math.Inf(-1) // of a ranking
	for _, row := range t.Rows {
		r := &checkedRow{checker: c, table: t, Row: row}
		switch {
		case t.Has("name", "slope", "intercept"):
			r.slope()
		case t.Has("name", "value"):
			r.input()
		case t.Has("formula", "product"):
			r.product()
		case t.Has("formula", "breaks at"):
			previous = r.rank(previous)
		}
	}
}

func (r *checkedRow) slope() {
	name := r.Cells["name"]
	s, ok := r.slopes[name]
	if !ok {
		r.errorf("%s was not measured", name)
		return
	}
	r.measuredFigure(name, "slope", s.Slope)
	r.measuredFigure(name, "intercept", s.Intercept)
	r.measuredFigure(name, "error", s.Error)
	r.measuredFigure(name, "reach", s.Reach)
	if r.table.Has("shape") && r.Cells["shape"] != s.Shape {
		r.errorf("%s: shape %s, measured %s", name, r.Cells["shape"], s.Shape)
	}
	if s.isLine() {
		r.figures[name] = s.Slope
		r.figures[name+"_0"] = s.Intercept
	}
	r.figures[name+"_most"] = s.Largest
}

// measuredFigure checks a figure of a slope, if the table has the column.
func (r *checkedRow) measuredFigure(name, column string, measured float64) {
	if !r.table.Has(column) {
		return
	}
	if x := r.number(column); !Near(x, measured) {
		r.errorf("%s: %s %s, measured %.4g", name, column, r.Cells[column], measured)
	}
}

func (r *checkedRow) input() {
	name := r.Cells["name"]
	if _, exists := r.figures[name]; exists {
		r.errorf("%s stands twice", name)
	}
	r.figures[name] = r.number("value")
}

// evaluate evaluates the formula in a column. It returns false where that fails.
func (r *checkedRow) evaluate(column string) (float64, bool) {
	x, err := Eval(r.Cells[column], r.figures)
	if err != nil {
		r.errorf("%v", err)
		return 0, false
	}
	return x, true
}

// formula checks the result of the row's formula, which is shown in a column.
func (r *checkedRow) formula(resultColumn string) (float64, bool) {
	r.products++
	x, ok := r.evaluate("formula")
	if !ok {
		return 0, false
	}
	if shown := r.number(resultColumn); !Near(shown, x) {
		r.errorf("%s is %.4g, not %s", r.Cells["formula"], x, r.Cells[resultColumn])
	}
	return x, true
}

func (r *checkedRow) product() {
	x, ok := r.formula("product")
	if !ok {
		return
	}
	if name := r.Cells["name"]; name != "" && name != "-" {
		r.figures[name] = x
	}
	if r.table.Has("allowed", "verdict") {
		r.verdict(x)
	}
}

// verdict checks whether a product is allowed.
func (r *checkedRow) verdict(product float64) {
	want := "holds"
	if r.Cells["allowed"] == "-" {
		want = "-"
	} else if product > r.number("allowed") {
		want = "broken"
	}
	if got := r.Cells["verdict"]; got != want {
		r.errorf("%.4g beside %s allowed: %s, not %s", product, r.Cells["allowed"], want, got)
	}
}

// rank checks that a row of a ranking, by its column "share" if there is one, breaks after the row before. It returns
// the figure by which the next row is compared.
func (r *checkedRow) rank(previous float64) float64 {
	x, ok := r.formula("breaks at")
	if !ok {
		return previous
	}
	if r.table.Has("share") {
		if x, ok = r.evaluate("share"); !ok {
			return previous
		}
	}
	if x < previous {
		r.errorf("it breaks before what stands above it")
	}
	return x
}
