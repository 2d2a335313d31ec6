// Package compat compares formats with the files that an earlier build wrote. Names in Go may change; bytes
// that other builds, other processes or a disk hold may not. The files are in testdata/compat of the package
// that owns the format: a test compares what this build writes with them, and reads them back. Only tests
// import it.
//
// A new format gets its file by running its test once with -compat.write. An existing file is a promise to
// installed builds: it is changed only together with the format's version.
package compat

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
)

var write = flag.Bool("compat.write", false, "write the files in testdata/compat instead of comparing with them")

// path returns the path of the file of that name.
func path(name string) string { return filepath.Join("testdata", "compat", name) }

// Bytes compares got with the file of that name.
func Bytes(t testing.TB, name string, got []byte) {
	t.Helper()
	if *write {
		if err := os.MkdirAll(filepath.Dir(path(name)), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path(name), got, 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want := Read(t, name)
	if at := firstDifference(got, want); at >= 0 {
		t.Errorf("%s: other bytes than those of earlier builds, from byte %d on\n got %q\nwant %q", name, at, around(got, at), around(want, at))
	}
}

// firstDifference returns the index of the first byte that differs, or -1 where none does.
func firstDifference(a, b []byte) int {
	for i := range min(len(a), len(b)) {
		if a[i] != b[i] {
			return i
		}
	}
	if len(a) != len(b) {
		return min(len(a), len(b))
	}
	return -1
}

// around returns the bytes around an index, for an error message.
func around(b []byte, at int) []byte {
	const shown = 60
	return b[max(0, at-shown):min(len(b), at+shown)]
}

// Read returns the contents of the file of that name.
func Read(t testing.TB, name string) []byte {
	t.Helper()
	b, err := os.ReadFile(path(name))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// JSON compares the JSON encoding of *v, with each exported field set to a value of its own, with the file of
// that name, and checks that the file decodes to the same value.
func JSON(t testing.TB, name string, v any) {
	t.Helper()
	Written(t, name, v)
	back := reflect.New(reflect.TypeOf(v).Elem())
	decoder := json.NewDecoder(bytes.NewReader(Read(t, name)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(back.Interface()); err != nil {
		t.Errorf("%s: decode: %v", name, err)
	} else if !reflect.DeepEqual(back.Interface(), v) {
		t.Errorf("%s: decodes to another value\n got %+v\nwant %+v", name, back.Elem(), reflect.ValueOf(v).Elem())
	}
}

// Written compares the JSON encoding of *v, filled as by JSON, with the file of that name. It is for formats
// that the program writes and doesn't read.
func Written(t testing.TB, name string, v any) {
	t.Helper()
	Fill(v)
	got, err := json.MarshalIndent(v, "", "\t")
	if err != nil {
		t.Fatal(err)
	}
	Bytes(t, name, append(got, '\n'))
}

// Values compares a list of values, such as all codes of a type, with the file of that name, one a line.
func Values(t testing.TB, name string, values ...any) {
	t.Helper()
	var b strings.Builder
	for _, v := range values {
		fmt.Fprintf(&b, "%v\n", v)
	}
	Bytes(t, name, []byte(b.String()))
}

// Keys compares the keys that a decoder accepts for v with the file of that name: a line for each, with the
// kind of its value. The keys are those of struct tags named tagName; a field without a tag is listed by its
// own name, in lower case.
func Keys(t testing.TB, name, tagName string, v any) {
	t.Helper()
	l := keyLister{tagName: tagName}
	l.list("", reflect.TypeOf(v), nil)
	Bytes(t, name, []byte(l.out.String()))
}

// keyLister lists the keys of a type.
type keyLister struct {
	tagName string
	out     strings.Builder
}

// list lists the keys of a type below prefix. outer are the structs around it: a type within itself is listed
// once.
func (l *keyLister) list(prefix string, t reflect.Type, outer []reflect.Type) {
	prefix, t = elementType(prefix, t)
	if slices.Contains(outer, t) {
		return
	}
	if t.Kind() != reflect.Struct {
		fmt.Fprintf(&l.out, "%s %s\n", strings.TrimPrefix(prefix, "."), t.Kind())
		return
	}
	outer = append(outer, t)
	for i := range t.NumField() {
		l.listField(prefix, t.Field(i), outer)
	}
}

func (l *keyLister) listField(prefix string, f reflect.StructField, outer []reflect.Type) {
	if !f.IsExported() && !f.Anonymous {
		return
	}
	key, _, _ := strings.Cut(f.Tag.Get(l.tagName), ",")
	switch {
	case key == "-":
	case key == "" && f.Anonymous: // its fields count as those of the struct around it
		l.list(prefix, f.Type, outer)
	case key == "":
		l.list(prefix+"."+strings.ToLower(f.Name), f.Type, outer)
	default:
		l.list(prefix+"."+key, f.Type, outer)
	}
}

// elementType returns the type of the elements of pointers, lists and maps. A map adds ".*" to the prefix.
func elementType(prefix string, t reflect.Type) (string, reflect.Type) {
	for {
		switch t.Kind() {
		case reflect.Pointer, reflect.Slice, reflect.Array:
		case reflect.Map:
			prefix += ".*"
		default:
			return prefix, t
		}
		t = t.Elem()
	}
}

// Fill sets each exported field below *v to a value of its own. The values depend on the order of the fields,
// not on their names.
func Fill(v any) {
	f := filler{}
	f.fill(reflect.ValueOf(v).Elem(), nil)
}

// filler counts the values set so far.
type filler struct{ count int }

// fill sets a value and all below it. outer are the pointer types around it: a pointer to a type within itself
// stays nil.
func (f *filler) fill(v reflect.Value, outer []reflect.Type) {
	f.count++
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.String:
		v.SetString(fmt.Sprintf("s%d", f.count))
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(f.count))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(f.count))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(f.count) + 0.5)
	case reflect.Pointer:
		f.fillPointer(v, outer)
	case reflect.Slice:
		slice := reflect.MakeSlice(v.Type(), 1, 1)
		f.fill(slice.Index(0), outer)
		v.Set(slice)
	case reflect.Array:
		for i := range v.Len() {
			f.fill(v.Index(i), outer)
		}
	case reflect.Map:
		f.fillMap(v, outer)
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				f.fill(v.Field(i), outer)
			}
		}
	}
}

func (f *filler) fillPointer(v reflect.Value, outer []reflect.Type) {
	if slices.Contains(outer, v.Type()) {
		return
	}
	target := reflect.New(v.Type().Elem())
	f.fill(target.Elem(), append(outer, v.Type()))
	v.Set(target)
}

// fillMap sets a map with one entry.
func (f *filler) fillMap(v reflect.Value, outer []reflect.Type) {
	key := reflect.New(v.Type().Key()).Elem()
	value := reflect.New(v.Type().Elem()).Elem()
	f.fill(key, outer)
	f.fill(value, outer)
	m := reflect.MakeMap(v.Type())
	m.SetMapIndex(key, value)
	v.Set(m)
}
