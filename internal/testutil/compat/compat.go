// Package compat compares data formats with files that an earlier build wrote. Go identifiers may change, but
// bytes that other builds or processes read, or that are stored on disk, may not. The files are in
// testdata/compat of the package that owns the format: a test compares what this build writes with them, and
// decodes them. Only tests import this package.
//
// The file of a new format is created by running its test once with -compat.write. Installed builds depend on
// an existing file: it is changed only together with the version of the format.
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

// path returns the path of the file called name.
func path(name string) string { return filepath.Join("testdata", "compat", name) }

// Bytes compares got with the file called name.
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
		t.Errorf("%s: bytes differ from those of earlier builds from offset %d on\n got %q\nwant %q", name, at, excerpt(got, at), excerpt(want, at))
	}
}

// firstDifference returns the index of the first byte that differs, or -1 if a and b are equal.
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

// excerpt returns up to 60 bytes on either side of an index, for an error message.
func excerpt(b []byte, at int) []byte {
	const shown = 60
	return b[max(0, at-shown):min(len(b), at+shown)]
}

// Read returns the contents of the file called name.
func Read(t testing.TB, name string) []byte {
	t.Helper()
	b, err := os.ReadFile(path(name))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// JSON sets the fields of *v by Fill, compares the JSON encoding of *v with the file called name, and checks
// that the file decodes to the same value.
func JSON(t testing.TB, name string, v any) {
	t.Helper()
	WriteOnlyJSON(t, name, v)
	decoded := reflect.New(reflect.TypeOf(v).Elem())
	decoder := json.NewDecoder(bytes.NewReader(Read(t, name)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(decoded.Interface()); err != nil {
		t.Errorf("%s: decode: %v", name, err)
	} else if !reflect.DeepEqual(decoded.Interface(), v) {
		t.Errorf("%s: the file decodes to another value\n got %+v\nwant %+v", name, decoded.Elem(), reflect.ValueOf(v).Elem())
	}
}

// WriteOnlyJSON sets the fields of *v by Fill, and compares the JSON encoding of *v with the file called name.
// It is for formats that the program writes and doesn't read.
func WriteOnlyJSON(t testing.TB, name string, v any) {
	t.Helper()
	Fill(v)
	got, err := json.MarshalIndent(v, "", "\t")
	if err != nil {
		t.Fatal(err)
	}
	Bytes(t, name, append(got, '\n'))
}

// Values compares a list of values, such as all codes of a type, with the file called name, which has one value
// per line.
func Values(t testing.TB, name string, values ...any) {
	t.Helper()
	var b strings.Builder
	for _, v := range values {
		fmt.Fprintf(&b, "%v\n", v)
	}
	Bytes(t, name, []byte(b.String()))
}

// Keys compares the keys that a decoder accepts for v with the file called name, which has one line per key, with
// the kind of its value. The keys are those in struct tags named tagName; a field without such a tag is listed by
// its Go name in lower case.
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

// list lists the keys of a type below prefix. enclosing are the struct types that contain it; a recursive type is
// listed once.
func (l *keyLister) list(prefix string, t reflect.Type, enclosing []reflect.Type) {
	prefix, t = elementType(prefix, t)
	if slices.Contains(enclosing, t) {
		return
	}
	if t.Kind() != reflect.Struct {
		fmt.Fprintf(&l.out, "%s %s\n", strings.TrimPrefix(prefix, "."), t.Kind())
		return
	}
	enclosing = append(enclosing, t)
	for i := range t.NumField() {
		l.listField(prefix, t.Field(i), enclosing)
	}
}

func (l *keyLister) listField(prefix string, f reflect.StructField, enclosing []reflect.Type) {
	if !f.IsExported() && !f.Anonymous {
		return
	}
	key, _, _ := strings.Cut(f.Tag.Get(l.tagName), ",")
	switch {
	case key == "-":
	case key == "" && f.Anonymous: // the fields of an embedded struct are promoted to the enclosing one
		l.list(prefix, f.Type, enclosing)
	case key == "":
		l.list(prefix+"."+strings.ToLower(f.Name), f.Type, enclosing)
	default:
		l.list(prefix+"."+key, f.Type, enclosing)
	}
}

// elementType returns the type of the elements of pointers, slices, arrays and maps, at any depth. Each map adds ".*"
// to the prefix.
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

// Fill sets each exported field below *v to a non-zero value, and fields of types with enough values to different
// ones. The values depend on the order of the fields, not on their names.
func Fill(v any) {
	f := filler{}
	f.fill(reflect.ValueOf(v).Elem(), nil)
}

// filler sets values. count is the number of values set so far.
type filler struct{ count int }

// fill sets a value and all values below it. enclosing are the pointer types that contain it; in a recursive type,
// a pointer of a type that already contains it stays nil.
func (f *filler) fill(v reflect.Value, enclosing []reflect.Type) {
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
		f.fillPointer(v, enclosing)
	case reflect.Slice:
		slice := reflect.MakeSlice(v.Type(), 1, 1)
		f.fill(slice.Index(0), enclosing)
		v.Set(slice)
	case reflect.Array:
		for i := range v.Len() {
			f.fill(v.Index(i), enclosing)
		}
	case reflect.Map:
		f.fillMap(v, enclosing)
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				f.fill(v.Field(i), enclosing)
			}
		}
	}
}

func (f *filler) fillPointer(v reflect.Value, enclosing []reflect.Type) {
	if slices.Contains(enclosing, v.Type()) {
		return
	}
	target := reflect.New(v.Type().Elem())
	f.fill(target.Elem(), append(enclosing, v.Type()))
	v.Set(target)
}

// fillMap sets a map with one entry.
func (f *filler) fillMap(v reflect.Value, enclosing []reflect.Type) {
	key := reflect.New(v.Type().Key()).Elem()
	value := reflect.New(v.Type().Elem()).Elem()
	f.fill(key, enclosing)
	f.fill(value, enclosing)
	m := reflect.MakeMap(v.Type())
	m.SetMapIndex(key, value)
	v.Set(m)
}
