// Package config reads the files that an appliance is run by, strictly: what is unknown,
// misspelt or out of bounds is one line that names file, line and field.
package config

import (
	"errors"
	"fmt"
	"reflect"
	"regexp"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

// Text is a TOML text that knows on which line its tables and keys stand, which the library
// does not tell. It reads plain keys and headers; what is written otherwise has no line.
type Text struct {
	path   string
	data   string
	tables []table
}

// table is a header with the keys below it. The first is the top of the file.
type table struct {
	name string // "route", "class.extra"
	line int
	keys map[string]int
}

// NewText takes a text apart.
func NewText(path, data string) *Text {
	t := &Text{path: path, data: data, tables: []table{{keys: map[string]int{}}}}
	quote := "" // the end of a text over several lines that is open
	for i, l := range strings.Split(data, "\n") {
		line := strings.TrimSpace(l)
		if quote != "" {
			if strings.Contains(line, quote) {
				quote = ""
			}
			continue
		}
		if strings.HasPrefix(line, "[") && !strings.Contains(line, "=") {
			name, _, _ := strings.Cut(strings.TrimLeft(line, "[ "), "]")
			t.tables = append(t.tables, table{strings.TrimSpace(name), i + 1, map[string]int{}})
			continue
		}
		key, value, ok := strings.Cut(line, "=")
		if !ok || strings.HasPrefix(line, "#") {
			continue
		}
		last := &t.tables[len(t.tables)-1]
		if key = strings.Trim(strings.TrimSpace(key), `"'`); last.keys[key] == 0 {
			last.keys[key] = i + 1
		}
		for _, q := range []string{`"""`, "'''"} {
			if strings.Count(value, q) == 1 {
				quote = q
			}
		}
	}
	return t
}

// Line is the line of a key of the n-th table of a name, counted from 0; of the table where
// it has no such key, and 0 where there is no such table. "" is the top of the file.
func (t *Text) Line(name string, n int, key string) int {
	for i := range t.tables {
		x := &t.tables[i]
		if x.name != name {
			continue
		}
		if n > 0 {
			n--
			continue
		}
		if line := x.keys[key]; line > 0 {
			return line
		}
		return x.line
	}
	return 0
}

// anyLine is the first line of a dotted key, in whatever table.
func (t *Text) anyLine(key string) int {
	for name, last := key, ""; ; {
		for i := range t.tables {
			x := &t.tables[i]
			if x.name == name && (last == "" || x.keys[last] > 0) {
				if last == "" {
					return x.line
				}
				return x.keys[last]
			}
		}
		i := strings.LastIndexByte(name, '.')
		if i < 0 {
			if last == "" {
				last = name
			} else {
				last = name + "." + last
			}
			return t.tables[0].keys[last]
		}
		if last == "" {
			last = name[i+1:]
		} else {
			last = name[i+1:] + "." + last
		}
		name = name[:i]
	}
}

// Error is a line that names file, line and field.
func (t *Text) Error(line int, field, format string, args ...any) error {
	text := fmt.Sprintf(format, args...)
	if field != "" {
		text = field + ": " + text
	}
	if line == 0 {
		return fmt.Errorf("%s: %s", t.path, text)
	}
	return fmt.Errorf("%s:%d: %s", t.path, line, text)
}

// decodeError is how the library words a value of the wrong type; it has no type of its
// own for that.
var decodeError = regexp.MustCompile(`^toml: line (\d+) \(last key "([^"]*)"\): (.*)$`)

// Decode reads the text into v; what v has no place for is an error.
func (t *Text) Decode(v any) error {
	meta, err := toml.Decode(t.data, v)
	if err != nil {
		return t.decodeError(err, reflect.TypeOf(v).Elem())
	}
	if odd := meta.Undecoded(); len(odd) > 0 {
		key := odd[0].String()
		return t.Error(t.anyLine(key), key, "there is no such setting")
	}
	return nil
}

// decodeError words an error of the library. Of a value of the wrong type in one of several
// tables of a name it gives the line of the last of them; so the text is read again up to
// each table, and the first that fails has it.
func (t *Text) decodeError(err error, form reflect.Type) error {
	line, key, text := 0, "", ""
	var at toml.ParseError
	if errors.As(err, &at) {
		line, key, text = at.Position.Line, at.LastKey, at.Message
	} else if m := decodeError.FindStringSubmatch(err.Error()); m != nil {
		fmt.Sscan(m[1], &line)
		key, text = m[2], m[3]
	} else {
		return fmt.Errorf("%s: %w", t.path, err)
	}
	i := strings.LastIndexByte(key, '.')
	if i < 0 || t.count(key[:i]) < 2 {
		return t.Error(line, key, "%s", text)
	}
	lines := strings.SplitAfter(t.data, "\n")
	for k := range t.tables {
		end := len(lines)
		if k+1 < len(t.tables) {
			end = t.tables[k+1].line - 1
		}
		if _, err := toml.Decode(strings.Join(lines[:end], ""), reflect.New(form).Interface()); err != nil {
			if found := t.tables[k].keys[key[i+1:]]; found > 0 && t.tables[k].name == key[:i] {
				line = found
			}
			break
		}
	}
	return t.Error(line, key, "%s", text)
}

// count is the number of tables of a name.
func (t *Text) count(name string) (n int) {
	for i := range t.tables {
		if t.tables[i].name == name {
			n++
		}
	}
	return n
}

// Span is a time as it stands in a file, like "250ms".
type Span time.Duration

// UnmarshalText reads a Span.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no time like \"250ms\"", text)
	}
	*s = Span(d)
	return nil
}
