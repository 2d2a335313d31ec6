// Package capacity reads docs/CAPACITY.md and works its arithmetic out again: products of slopes
// and sizes, what is allowed, and what breaks first. It does no I/O.
package capacity

import (
	"encoding/json"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"math"
	"strconv"
	"strings"
	"unicode"
)

// Table is one of a page's: the cells of its head in lower case, and its rows.
type Table struct {
	Head []string
	Rows []Row
}

// Row is a line of a table, its cells by the head's names.
type Row struct {
	Line  int // in the page, from 1
	Cells map[string]string
}

// Tables reads the tables of a page in Markdown. A row with more or fewer cells than its head is an
// error that names its line.
func Tables(page string) (list []*Table, err error) {
	var t *Table
	for i, line := range strings.Split(page, "\n") {
		line = strings.TrimSpace(line)
		if !strings.HasPrefix(line, "|") {
			t = nil
			continue
		}
		cells := strings.Split(strings.Trim(line, "|"), "|")
		for k := range cells {
			cells[k] = strings.TrimSpace(cells[k])
		}
		switch {
		case t == nil:
			t = &Table{}
			for _, c := range cells {
				t.Head = append(t.Head, strings.ToLower(c))
			}
			list = append(list, t)
		case strings.Trim(line, "|-: ") == "":
			// the rule under the head
		case len(cells) != len(t.Head):
			return nil, fmt.Errorf("line %d: %d cells under %d heads", i+1, len(cells), len(t.Head))
		default:
			r := Row{i + 1, map[string]string{}}
			for k, c := range cells {
				r.Cells[t.Head[k]] = strings.TrimSuffix(strings.TrimPrefix(strings.Trim(c, "`"), "**"), "**")
			}
			t.Rows = append(t.Rows, r)
		}
	}
	return list, nil
}

// Has says whether a table has all of these columns.
func (t *Table) Has(columns ...string) bool {
	for _, c := range columns {
		found := false
		for _, h := range t.Head {
			found = found || h == c
		}
		if !found {
			return false
		}
	}
	return true
}

// scale is what the letters behind a number stand for.
var scale = map[byte]float64{'k': 1e3, 'M': 1e6, 'G': 1e9}

// Number reads a figure of the page: "4,700", "0.36", "3 k", "15M".
func Number(text string) (float64, error) {
	s := strings.NewReplacer(",", "", " ", "", "~", "").Replace(text)
	by := 1.0
	if n := len(s); n > 0 && scale[s[n-1]] != 0 {
		s, by = s[:n-1], scale[s[n-1]]
	}
	x, err := strconv.ParseFloat(s, 64)
	if err != nil {
		return 0, fmt.Errorf("%q is no figure", text)
	}
	return x * by, nil
}

// Eval works a formula out: numbers, names of known figures, + - * / and brackets, as in Go.
func Eval(formula string, known map[string]float64) (float64, error) {
	e, err := parser.ParseExpr(formula)
	if err != nil {
		return 0, fmt.Errorf("%q is no formula", formula)
	}
	return eval(e, known)
}

func eval(e ast.Expr, known map[string]float64) (float64, error) {
	switch e := e.(type) {
	case *ast.BasicLit:
		if e.Kind != token.INT && e.Kind != token.FLOAT {
			return 0, fmt.Errorf("%s is no number", e.Value)
		}
		return strconv.ParseFloat(e.Value, 64)
	case *ast.Ident:
		x, ok := known[e.Name]
		if !ok {
			return 0, fmt.Errorf("%s is no figure of the page", e.Name)
		}
		return x, nil
	case *ast.ParenExpr:
		return eval(e.X, known)
	case *ast.BinaryExpr:
		x, err := eval(e.X, known)
		if err != nil {
			return 0, err
		}
		y, err := eval(e.Y, known)
		if err != nil {
			return 0, err
		}
		switch e.Op {
		case token.ADD:
			return x + y, nil
		case token.SUB:
			return x - y, nil
		case token.MUL:
			return x * y, nil
		case token.QUO:
			return x / y, nil
		}
	}
	return 0, fmt.Errorf("a formula has numbers, names, + - * / and brackets")
}

// near is how far a figure that is shown may be from the one worked out: it is shown rounded.
const near = 0.03

// Near says whether a shown figure stands for an exact one.
func Near(shown, exact float64) bool {
	return math.Abs(shown-exact) <= near*math.Abs(exact)+1e-12
}

// Slope is what was measured of a part by its size, with the line through it.
type Slope struct {
	Name                    string
	Slope, Error, Intercept float64 // error: the slope's standard error
	Shape                   string  // "line", "flat"; of any other there is no product
	Reach                   float64 // the size asked for over the largest measured
	Largest                 float64 // what was measured at the largest size
}

// line says whether products of the slope mean anything.
func (s *Slope) line() bool { return s.Shape == "line" || s.Shape == "flat" }

// Measured reads what `experiment scale --json` wrote. A slope's name is made of part, series and unit, in
// lower case and with _ for whatever is no letter or digit: mesh_member_bytes_s.
func Measured(report []byte) (list []Slope, err error) {
	var parts []struct {
		Part   string `json:"part"`
		Series []struct {
			Name   string `json:"name"`
			Unit   string `json:"unit"`
			Points []struct {
				Size  float64 `json:"size"`
				Value float64 `json:"value"`
			} `json:"points"`
			Fit *struct {
				Slope     float64 `json:"slope"`
				Error     float64 `json:"slope_error"`
				Intercept float64 `json:"intercept"`
				Shape     string  `json:"shape"`
				Reach     float64 `json:"reach"`
			} `json:"fit"`
		} `json:"series"`
	}
	if err := json.Unmarshal(report, &parts); err != nil {
		return nil, err
	}
	for _, p := range parts {
		for _, s := range p.Series {
			x := Slope{Name: slug(p.Part + " " + s.Name + " " + s.Unit), Shape: "not fitted"}
			if f := s.Fit; f != nil {
				x.Slope, x.Error, x.Intercept, x.Shape, x.Reach = f.Slope, f.Error, f.Intercept, f.Shape, f.Reach
			}
			size := math.Inf(-1)
			for _, q := range s.Points {
				if q.Size > size {
					size, x.Largest = q.Size, q.Value
				}
			}
			list = append(list, x)
		}
	}
	return list, nil
}

// slug makes a name for formulas.
func slug(text string) string {
	words := strings.FieldsFunc(strings.ToLower(text), func(r rune) bool { return !unicode.IsLetter(r) && !unicode.IsDigit(r) })
	return strings.Join(words, "_")
}

// Check works the page out again, against the slopes as they were measured, and returns what does
// not agree, a line each.
//
// A table with the columns "name" and "value" gives inputs. One with "name", "slope" and
// "intercept" has slopes: each must be a measured one, with its figures ("error", "shape" and
// "reach" too, where there are such columns); a formula knows it as name, its intercept as name_0
// and what was measured at the largest size as name_most; what is no line has name_most only. One with "formula" and "product" has products; with "allowed" and
// "verdict" too, the verdict must be "holds" or "broken" as the product is under or over. One with
// "formula" and "breaks at" ranks: its rows grow.
func Check(page string, measured []Slope) (wrong []string) {
	bad := func(line int, format string, args ...any) {
		wrong = append(wrong, fmt.Sprintf("line %d: %s", line, fmt.Sprintf(format, args...)))
	}
	tables, err := Tables(page)
	if err != nil {
		return []string{err.Error()}
	}
	known := map[string]float64{}
	byName := map[string]Slope{}
	for _, s := range measured {
		byName[s.Name] = s
	}
	products := 0
	for _, t := range tables {
		last := math.Inf(-1)
		for _, r := range t.Rows {
			number := func(column string) float64 {
				x, err := Number(r.Cells[column])
				if err != nil {
					bad(r.Line, "%s: %v", column, err)
				}
				return x
			}
			name := r.Cells["name"]
			switch {
			case t.Has("name", "slope", "intercept"):
				s, ok := byName[name]
				if !ok {
					bad(r.Line, "%s was not measured", name)
					continue
				}
				if x := number("slope"); !Near(x, s.Slope) {
					bad(r.Line, "%s: slope %s, measured %.4g", name, r.Cells["slope"], s.Slope)
				}
				if x := number("intercept"); !Near(x, s.Intercept) {
					bad(r.Line, "%s: intercept %s, measured %.4g", name, r.Cells["intercept"], s.Intercept)
				}
				if t.Has("error") {
					if x := number("error"); !Near(x, s.Error) {
						bad(r.Line, "%s: error %s, measured %.4g", name, r.Cells["error"], s.Error)
					}
				}
				if t.Has("reach") {
					if x := number("reach"); !Near(x, s.Reach) {
						bad(r.Line, "%s: reach %s, measured %.4g", name, r.Cells["reach"], s.Reach)
					}
				}
				if t.Has("shape") && r.Cells["shape"] != s.Shape {
					bad(r.Line, "%s: shape %s, measured %s", name, r.Cells["shape"], s.Shape)
				}
				if s.line() {
					known[name], known[name+"_0"] = s.Slope, s.Intercept
				}
				known[name+"_most"] = s.Largest
			case t.Has("name", "value"):
				if _, twice := known[name]; twice {
					bad(r.Line, "%s stands twice", name)
				}
				known[name] = number("value")
			case t.Has("formula", "product"):
				products++
				x, err := Eval(r.Cells["formula"], known)
				if err != nil {
					bad(r.Line, "%v", err)
					continue
				}
				if shown := number("product"); !Near(shown, x) {
					bad(r.Line, "%s is %.4g, not %s", r.Cells["formula"], x, r.Cells["product"])
				}
				if name != "" && name != "-" {
					known[name] = x
				}
				if !t.Has("allowed", "verdict") {
					continue
				}
				want := "holds"
				if a := r.Cells["allowed"]; a == "-" {
					want = "-"
				} else if x > number("allowed") {
					want = "broken"
				}
				if got := r.Cells["verdict"]; got != want {
					bad(r.Line, "%.4g beside %s allowed: %s, not %s", x, r.Cells["allowed"], want, got)
				}
			case t.Has("formula", "breaks at"):
				products++
				x, err := Eval(r.Cells["formula"], known)
				if err != nil {
					bad(r.Line, "%v", err)
					continue
				}
				if shown := number("breaks at"); !Near(shown, x) {
					bad(r.Line, "%s is %.4g, not %s", r.Cells["formula"], x, r.Cells["breaks at"])
				}
				if t.Has("share") {
					x, err = Eval(r.Cells["share"], known)
					if err != nil {
						bad(r.Line, "%v", err)
						continue
					}
				}
				if x < last {
					bad(r.Line, "it breaks before what stands above it")
				}
				last = x
			}
		}
	}
	if products == 0 {
		wrong = append(wrong, "the page has no product")
	}
	return wrong
}
