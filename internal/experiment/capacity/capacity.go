// Package capacity checks the arithmetic of docs/CAPACITY.md: products of slopes and sizes, their comparison with
// limits, and the order in which limits are reached. It does no I/O.
package capacity

import (
	"fmt"
	"math"
)

// Check recomputes the figures of a page from the measured slopes, and returns a line for each discrepancy.
//
// The columns of a table determine how its rows are checked. A table with the columns "name" and "value" contains
// inputs. A table with "name", "slope" and "intercept" contains slopes: each must have been measured, with the same
// figures (including "error", "shape" and "reach" if there are such columns). Formulas refer to a slope by its name,
// to its intercept by name_0, and to the value measured at the largest size by name_most. If the shape is neither a
// line nor flat, only name_most is defined. A table with "formula" and "product" contains products. If it also has
// "allowed" and "verdict", the verdict must be "holds" or "broken", depending on whether the product is within the
// allowed value. A table with "formula" and "breaks at" is a ranking: its values must be in ascending order.
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
		c.findings = append(c.findings, "the page contains no product")
	}
	return c.findings
}

// checker is the state of a check.
type checker struct {
	figures  map[string]float64 // values that formulas can use, by name
	slopes   map[string]Slope   // measured slopes, by name
	products int
	findings []string
}

// checkedRow is a row that is being checked.
type checkedRow struct {
	*checker
	table *Table
	Row
}

func (r *checkedRow) errorf(format string, args ...any) {
	r.findings = append(r.findings, fmt.Sprintf("line %d: %s", r.Line, fmt.Sprintf(format, args...)))
}

// number parses the number in a column.
func (r *checkedRow) number(column string) float64 {
	x, err := Number(r.Cells[column])
	if err != nil {
		r.errorf("%s: %v", column, err)
	}
	return x
}

// table checks the rows of a table according to its columns. Tables with other columns are not checked.
func (c *checker) table(t *Table) {
	previous := math.Inf(-1) // value of the previous row of a ranking
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
		r.errorf("%s: shape is %s, but %s was measured", name, r.Cells["shape"], s.Shape)
	}
	if s.isLine() {
		r.figures[name] = s.Slope
		r.figures[name+"_0"] = s.Intercept
	}
	r.figures[name+"_most"] = s.Largest
}

// measuredFigure compares a figure of a slope with the measured one, if the table has the column.
func (r *checkedRow) measuredFigure(name, column string, measured float64) {
	if !r.table.Has(column) {
		return
	}
	if x := r.number(column); !Near(x, measured) {
		r.errorf("%s: %s is %s, but %.4g was measured", name, column, r.Cells[column], measured)
	}
}

func (r *checkedRow) input() {
	name := r.Cells["name"]
	if _, exists := r.figures[name]; exists {
		r.errorf("%s is defined twice", name)
	}
	r.figures[name] = r.number("value")
}

// evaluate evaluates the formula in a column. It returns false if that fails.
func (r *checkedRow) evaluate(column string) (float64, bool) {
	x, err := Eval(r.Cells[column], r.figures)
	if err != nil {
		r.errorf("%v", err)
		return 0, false
	}
	return x, true
}

// formula checks the value in a column against the result of the row's formula, and returns the result.
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

// verdict checks the verdict of a row against its product and the allowed value.
func (r *checkedRow) verdict(product float64) {
	want := "holds"
	if r.Cells["allowed"] == "-" {
		want = "-"
	} else if product > r.number("allowed") {
		want = "broken"
	}
	if got := r.Cells["verdict"]; got != want {
		r.errorf("%.4g with %s allowed: the verdict must be %s, not %s", product, r.Cells["allowed"], want, got)
	}
}

// rank checks that the value of a row of a ranking is not less than that of the previous row. The value is the
// formula in the column "share" if there is one, and otherwise the one in "formula". rank returns the value for the
// comparison with the next row.
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
		r.errorf("its value is less than that of the row above it")
	}
	return x
}
