// Package config reads the files that an appliance is run by, strictly: what is unknown,
// misspelt or out of bounds is one line that names file, line and field.
package config

import (
	"errors"
	"fmt"
	"reflect"
	"regexp"
	"strconv"
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
	odd    map[int]bool // lines left out
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
	if wrong := t.DecodeAll(v); len(wrong) > 0 {
		return wrong[0]
	}
	return nil
}

// mistakesMost is how many values of a wrong type are looked for: who reads more at once?
const mistakesMost = 20

// DecodeAll reads the text into v and says all that is wrong: behind a value of a wrong type
// it goes on without that line, so that one slip does not hide the others. What was left out
// so is Odd.
func (t *Text) DecodeAll(v any) (wrong []error) {
	data := t.data
	defer func() { t.data = data }()
	form := reflect.TypeOf(v).Elem()
	for range mistakesMost {
		into := reflect.New(form)
		into.Elem().Set(reflect.ValueOf(v).Elem()) // its defaults
		meta, err := toml.Decode(t.data, into.Interface())
		if err != nil {
			line, text := t.decodeError(err, form)
			wrong = append(wrong, text)
			if !t.leaveOut(line) {
				return wrong
			}
			continue
		}
		reflect.ValueOf(v).Elem().Set(into.Elem())
		for _, odd := range meta.Undecoded() {
			key := odd.String()
			wrong = append(wrong, t.Error(t.anyLine(key), key, "there is no such setting"))
		}
		return wrong
	}
	return wrong
}

// leaveOut takes a line out that is a setting by itself, and says whether it did.
func (t *Text) leaveOut(line int) bool {
	lines := strings.SplitAfter(t.data, "\n")
	if line < 1 || line > len(lines) {
		return false
	}
	var alone map[string]any
	if _, err := toml.Decode(lines[line-1], &alone); err != nil || len(alone) != 1 {
		return false
	}
	lines[line-1] = "\n"
	t.data = strings.Join(lines, "")
	if t.odd == nil {
		t.odd = map[int]bool{}
	}
	t.odd[line] = true
	return true
}

// Odd says whether DecodeAll has left a line out.
func (t *Text) Odd(line int) bool { return t.odd[line] }

// decodeError words an error of the library. Of a value of the wrong type in one of several
// tables of a name it gives the line of the last of them; so each of them is read by itself,
// with that key alone, and the first that fails has it.
func (t *Text) decodeError(err error, form reflect.Type) (line int, wrong error) {
	key, text := "", ""
	var at toml.ParseError
	if errors.As(err, &at) {
		line, key, text = at.Position.Line, at.LastKey, at.Message
	} else if m := decodeError.FindStringSubmatch(err.Error()); m != nil {
		fmt.Sscan(m[1], &line)
		key, text = m[2], m[3]
	} else {
		return 0, fmt.Errorf("%s: %w", t.path, err)
	}
	i := strings.LastIndexByte(key, '.')
	if i < 0 || t.count(key[:i]) < 2 {
		return line, t.Error(line, key, "%s", text)
	}
	lines := strings.Split(t.data, "\n")
	for k := range t.tables {
		x := &t.tables[k]
		at := x.keys[key[i+1:]]
		if x.name != key[:i] || at == 0 {
			continue
		}
		alone := lines[x.line-1] + "\n" + lines[at-1]
		if _, err := toml.Decode(alone, reflect.New(form).Interface()); err != nil {
			line = at
			break
		}
	}
	return line, t.Error(line, key, "%s", text)
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

// MarshalText writes a Span as it is read.
func (s Span) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

// UnmarshalText reads a Span.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no time like \"250ms\"", text)
	}
	*s = Span(d)
	return nil
}

// Size is a number of bytes as it stands in a file: 500, "64KiB", "50MiB" or "1GiB".
type Size int64

// UnmarshalTOML reads a Size.
func (s *Size) UnmarshalTOML(v any) error {
	switch v := v.(type) {
	case int64:
		if v < 0 {
			return fmt.Errorf("%d is below 0", v)
		}
		*s = Size(v)
		return nil
	case string:
		for unit, shift := range map[string]int{"KiB": 10, "MiB": 20, "GiB": 30} {
			if number, ok := strings.CutSuffix(v, unit); ok {
				if n, err := strconv.ParseUint(number, 10, 32); err == nil {
					*s = Size(n << shift)
					return nil
				}
			}
		}
	}
	return fmt.Errorf("%v is no size like 500, \"64KiB\" or \"50MiB\"", v)
}
