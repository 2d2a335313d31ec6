package capacity

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Table is a table of a page. Columns has the texts of its header row in lower case.
type Table struct {
	Columns []string
	Rows    []Row
}

// Row is a line of a table.
type Row struct {
	Line  int               // line number on the page, starting at 1
	Cells map[string]string // texts of the cells, by column as in Table.Columns
}

// Tables parses the tables of a Markdown page. If a row has more or fewer cells than the header row, it returns an
// error with the line number.
func Tables(page string) ([]*Table, error) {
	var tables []*Table
	var current *Table // nil: the previous line was not part of a table
	for i, line := range strings.Split(page, "\n") {
		line = strings.TrimSpace(line)
		if !strings.HasPrefix(line, "|") {
			current = nil
			continue
		}
		cells := splitCells(line)
		isSeparator := strings.Trim(line, "|-: ") == ""
		switch {
		case current == nil:
			current = newTable(cells)
			tables = append(tables, current)
		case isSeparator:
		case len(cells) != len(current.Columns):
			return nil, fmt.Errorf("line %d: %d cells in a table with %d columns", i+1, len(cells), len(current.Columns))
		default:
			current.Rows = append(current.Rows, current.newRow(i+1, cells))
		}
	}
	return tables, nil
}

func splitCells(line string) []string {
	cells := strings.Split(strings.Trim(line, "|"), "|")
	for i := range cells {
		cells[i] = strings.TrimSpace(cells[i])
	}
	return cells
}

func newTable(heads []string) *Table {
	t := &Table{}
	for _, head := range heads {
		t.Columns = append(t.Columns, strings.ToLower(head))
	}
	return t
}

// newRow returns a row with the Markdown markup for code and bold text removed from its cells.
func (t *Table) newRow(line int, cells []string) Row {
	r := Row{Line: line, Cells: map[string]string{}}
	for i, cell := range cells {
		cell = strings.Trim(cell, "`")
		r.Cells[t.Columns[i]] = strings.TrimSuffix(strings.TrimPrefix(cell, "**"), "**")
	}
	return r
}

// Has reports whether a table has all of the given columns.
func (t *Table) Has(columns ...string) bool {
	for _, column := range columns {
		if !slices.Contains(t.Columns, column) {
			return false
		}
	}
	return true
}

// numberSuffixes are the factors of the suffixes of numbers.
var numberSuffixes = map[byte]float64{'k': 1e3, 'M': 1e6, 'G': 1e9}

// Number parses a number of a page, such as "4,700", "0.36", "3 k" or "15M".
func Number(text string) (float64, error) {
	digits := strings.NewReplacer(",", "", " ", "", "~", "").Replace(text)
	factor := 1.0
	if n := len(digits); n > 0 {
		if f, ok := numberSuffixes[digits[n-1]]; ok {
			digits = digits[:n-1]
			factor = f
		}
	}
	x, err := strconv.ParseFloat(digits, 64)
	if err != nil {
		return 0, fmt.Errorf("%q is not a number", text)
	}
	return x * factor, nil
}
