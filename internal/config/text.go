package config

import (
	"errors"
	"fmt"
	"reflect"
	"regexp"
	"strings"

	"github.com/BurntSushi/toml"
)

// Error is an error in a file, at a line and field.
type Error struct {
	Path  string
	Line  int    // 0: not known
	Field string // dotted; "": none
	Text  string
}

func (e *Error) Error() string {
	text := e.Text
	if e.Field != "" {
		text = e.Field + ": " + text
	}
	if e.Line == 0 {
		return e.Path + ": " + text
	}
	return fmt.Sprintf("%s:%d: %s", e.Path, e.Line, text)
}

// Text is a TOML text that knows the lines of its tables and keys, which the library does not report. It finds plain keys
// and headers; what is written otherwise has no line.
type Text struct {
	path    string
	data    string
	tables  []table
	leftOut map[int]bool // lines that DecodeAll has left out
}

// table is a header with the keys below it. The first is the top of the file.
type table struct {
	name string // "route", "class.extra"
	line int
	keys map[string]int // by name: the line
}

// NewText finds the tables and keys of a text.
func NewText(path, data string) *Text {
	t := &Text{path: path, data: data, tables: []table{{keys: map[string]int{}}}}
	quote := "" // that ends the multi-line string that is open
	for i, l := range strings.Split(data, "\n") {
		line := strings.TrimSpace(l)
		if quote != "" {
			if strings.Contains(line, quote) {
				quote = ""
			}
			continue
		}
		quote = t.addLine(i+1, line)
	}
	return t
}

// addLine adds the table or key of a line. It returns the quote of a multi-line string that begins there.
func (t *Text) addLine(n int, line string) (quote string) {
	if strings.HasPrefix(line, "[") && !strings.Contains(line, "=") {
		name, _, _ := strings.Cut(strings.TrimLeft(line, "[ "), "]")
		t.tables = append(t.tables, table{strings.TrimSpace(name), n, map[string]int{}})
		return ""
	}
	key, value, ok := strings.Cut(line, "=")
	if !ok || strings.HasPrefix(line, "#") {
		return ""
	}
	key = strings.Trim(strings.TrimSpace(key), `"'`)
	last := &t.tables[len(t.tables)-1]
	if last.keys[key] == 0 {
		last.keys[key] = n
	}
	for _, q := range []string{`"""`, "'''"} {
		if strings.Count(value, q) == 1 {
			quote = q
		}
	}
	return quote
}

// Line returns the line of a key of the n-th table of a name, counted from 0; of the table where it has no such key, and 0
// where there is no such table. "" is the top of the file.
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

// firstLine returns the first line of a dotted key, in any table. Of "a.b.c" it looks for a table of that name, then for
// the key "c" in a table "a.b", then for "b.c" in "a", and at last for the whole key at the top of the file.
func (t *Text) firstLine(dotted string) int {
	name := dotted
	key := ""
	for {
		if line := t.lineIn(name, key); line > 0 {
			return line
		}
		lastDot := strings.LastIndexByte(name, '.')
		if lastDot < 0 {
			return t.tables[0].keys[dotted]
		}
		key = strings.TrimSuffix(name[lastDot+1:]+"."+key, ".")
		name = name[:lastDot]
	}
}

// lineIn returns the line of a key in the first table of a name that has it, or of the table where the key is "".
func (t *Text) lineIn(name, key string) int {
	for i := range t.tables {
		x := &t.tables[i]
		if x.name != name {
			continue
		}
		if key == "" {
			return x.line
		}
		if x.keys[key] > 0 {
			return x.keys[key]
		}
	}
	return 0
}

// Errorf returns an Error at a line and field.
func (t *Text) Errorf(line int, field, format string, args ...any) error {
	return &Error{t.path, line, field, fmt.Sprintf(format, args...)}
}

// decodeError matches how the library reports a value of the wrong type, for which it has no error type.
var decodeError = regexp.MustCompile(`^toml: line (\d+) \(last key "([^"]*)"\): (.*)$`)

// Decode reads the text into v. A key that v has no field for is an error.
func (t *Text) Decode(v any) error {
	if errs := t.DecodeAll(v); len(errs) > 0 {
		return errs[0]
	}
	return nil
}

// maxTypeErrors is how many values of a wrong type are reported.
const maxTypeErrors = 20

// DecodeAll reads the text into v and returns all errors: after a value of a wrong type it goes on without that line, so
// that one error does not hide the others. LeftOut reports such lines.
func (t *Text) DecodeAll(v any) (errs []error) {
	data := t.data
	defer func() { t.data = data }()
	form := reflect.TypeOf(v).Elem()
	for range maxTypeErrors {
		into := reflect.New(form)
		into.Elem().Set(reflect.ValueOf(v).Elem()) // its defaults
		meta, err := toml.Decode(t.data, into.Interface())
		if err != nil {
			line, located := t.locate(err, form)
			errs = append(errs, located)
			if !t.leaveOut(line) {
				return errs
			}
			continue
		}
		reflect.ValueOf(v).Elem().Set(into.Elem())
		for _, unknown := range meta.Undecoded() {
			key := unknown.String()
			errs = append(errs, t.Errorf(t.firstLine(key), key, "there is no such setting"))
		}
		return errs
	}
	return errs
}

// leaveOut removes a line that is a setting by itself, and reports whether it did.
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
	if t.leftOut == nil {
		t.leftOut = map[int]bool{}
	}
	t.leftOut[line] = true
	return true
}

// LeftOut reports whether DecodeAll has left a line out.
func (t *Text) LeftOut(line int) bool { return t.leftOut[line] }

// locate converts an error of the library to an Error at its line. line is 0 if the library names none.
func (t *Text) locate(err error, form reflect.Type) (line int, located error) {
	line, key, text, ok := parseLibraryError(err)
	if !ok {
		return 0, fmt.Errorf("%s: %w", t.path, err)
	}
	if invalid := t.firstInvalidLine(key, form); invalid > 0 {
		line = invalid
	}
	return line, t.Errorf(line, key, "%s", text)
}

// parseLibraryError returns the line, the dotted key and the text of an error of the library.
func parseLibraryError(err error) (line int, key, text string, ok bool) {
	var parseError toml.ParseError
	if errors.As(err, &parseError) {
		return parseError.Position.Line, parseError.LastKey, parseError.Message, true
	}
	m := decodeError.FindStringSubmatch(err.Error())
	if m == nil {
		return 0, "", "", false
	}
	fmt.Sscan(m[1], &line)
	return line, m[2], m[3], true
}

// firstInvalidLine returns the line of the first invalid value of a dotted key that several tables of one name may have,
// and 0 if there is one such table, or if no value is invalid by itself. The library reports the line of the last of the
// tables; so each of them is read by itself, with that key alone.
func (t *Text) firstInvalidLine(dotted string, form reflect.Type) int {
	lastDot := strings.LastIndexByte(dotted, '.')
	if lastDot < 0 {
		return 0
	}
	name, key := dotted[:lastDot], dotted[lastDot+1:]
	if t.count(name) < 2 {
		return 0
	}
	lines := strings.Split(t.data, "\n")
	for i := range t.tables {
		table := &t.tables[i]
		keyLine := table.keys[key]
		if table.name != name || keyLine == 0 {
			continue
		}
		alone := lines[table.line-1] + "\n" + lines[keyLine-1]
		if _, err := toml.Decode(alone, reflect.New(form).Interface()); err != nil {
			return keyLine
		}
	}
	return 0
}

// count returns the number of tables of a name.
func (t *Text) count(name string) (n int) {
	for i := range t.tables {
		if t.tables[i].name == name {
			n++
		}
	}
	return n
}
