package config

import (
	"errors"
	"fmt"
	"reflect"
	"regexp"
	"strings"

	"github.com/BurntSushi/toml"
)

// Error is an error in a configuration file.
type Error struct {
	Path  string
	Line  int    // counted from 1; 0 if it is not known
	Field string // dotted key; "" if the error concerns no particular field
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

// Text is a TOML text with the line numbers of its tables and keys, which the TOML library does not report. It finds bare
// and quoted keys and table headers that begin a line. Keys in other places, such as inline tables, have no line number.
type Text struct {
	path    string
	data    string
	tables  []table
	skipped map[int]bool // numbers of the lines that DecodeAll has skipped
}

// table is a table header with the keys below it. The first table of a Text has the top-level keys.
type table struct {
	name string // such as "route" or "class.extra"
	line int
	keys map[string]int // line of the first occurrence, by key
}

// NewText returns the Text of a file, with the line numbers of its tables and keys. path is used in errors.
func NewText(path, data string) *Text {
	t := &Text{path: path, data: data, tables: []table{{keys: map[string]int{}}}}
	quote := "" // closing quote of the current multi-line string; "" outside of such strings
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

// addLine records the table header or key of a line. If a multi-line string begins on the line, it returns the closing
// quote of that string.
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

// Line returns the line of a key in the n-th table with the given name, counted from 0. If the table has no such key, it
// returns the line of the table header; if there is no such table, it returns 0. The name "" stands for the top-level
// keys.
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

// firstLine returns the first line of a dotted key in any table. For "a.b.c" it looks for a table with that name, then for
// the key "c" in a table "a.b", then for "b.c" in a table "a", and finally for the top-level key "a.b.c".
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

// lineIn returns the line of a key in the first table with the given name that has the key. If the key is "", it returns
// the line of the first such table.
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

// typeErrorPattern matches the library's message for a value of a wrong type, for which it has no error type.
var typeErrorPattern = regexp.MustCompile(`^toml: line (\d+) \(last key "([^"]*)"\): (.*)$`)

// Decode decodes the text into v and returns the first error. A key without a field in v is an error.
func (t *Text) Decode(v any) error {
	if errs := t.DecodeAll(v); len(errs) > 0 {
		return errs[0]
	}
	return nil
}

// maxDecodeErrors is the maximum number of errors of the TOML library that DecodeAll reports. After that many it does not
// set v.
const maxDecodeErrors = 20

// DecodeAll decodes the text into v and returns all errors. After an error in a line that is a complete setting by itself,
// such as a value of a wrong type, it decodes the text again without that line, so that one error does not hide the
// others. Skipped reports such lines.
func (t *Text) DecodeAll(v any) (errs []error) {
	data := t.data
	defer func() { t.data = data }()
	targetType := reflect.TypeOf(v).Elem()
	for range maxDecodeErrors {
		into := reflect.New(targetType)
		into.Elem().Set(reflect.ValueOf(v).Elem()) // v has the defaults
		meta, err := toml.Decode(t.data, into.Interface())
		if err != nil {
			line, located := t.locate(err, targetType)
			errs = append(errs, located)
			if !t.skipLine(line) {
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

// skipLine blanks a line that is a complete setting by itself, and reports whether it did.
func (t *Text) skipLine(line int) bool {
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
	if t.skipped == nil {
		t.skipped = map[int]bool{}
	}
	t.skipped[line] = true
	return true
}

// Skipped reports whether DecodeAll has skipped a line because of an error in it.
func (t *Text) Skipped(line int) bool { return t.skipped[line] }

// locate converts an error of the TOML library to an Error with its line. line is 0 if the library does not report it.
func (t *Text) locate(err error, targetType reflect.Type) (line int, located error) {
	line, key, text, ok := parseLibraryError(err)
	if !ok {
		return 0, fmt.Errorf("%s: %w", t.path, err)
	}
	if invalid := t.firstInvalidLine(key, targetType); invalid > 0 {
		line = invalid
	}
	return line, t.Errorf(line, key, "%s", text)
}

// parseLibraryError returns the line, the dotted key and the text of an error of the TOML library.
func parseLibraryError(err error) (line int, key, text string, ok bool) {
	var parseError toml.ParseError
	if errors.As(err, &parseError) {
		return parseError.Position.Line, parseError.LastKey, parseError.Message, true
	}
	m := typeErrorPattern.FindStringSubmatch(err.Error())
	if m == nil {
		return 0, "", "", false
	}
	fmt.Sscan(m[1], &line)
	return line, m[2], m[3], true
}

// firstInvalidLine returns the line of the first invalid value of a dotted key in an array of tables. The library reports
// the line of the last table of the array, so firstInvalidLine decodes the key of each table separately. It returns 0 if
// there are fewer than two tables with the name, or if each value is valid by itself.
func (t *Text) firstInvalidLine(dotted string, targetType reflect.Type) int {
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
		if _, err := toml.Decode(alone, reflect.New(targetType).Interface()); err != nil {
			return keyLine
		}
	}
	return 0
}

// count returns the number of tables with the given name.
func (t *Text) count(name string) (n int) {
	for i := range t.tables {
		if t.tables[i].name == name {
			n++
		}
	}
	return n
}
