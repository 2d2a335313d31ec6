// Package compat holds formats to the files that an earlier build wrote. Names in Go may change;
// bytes that other builds, other processes or a disk hold may not. The files lie in testdata/compat
// of the package that owns the format; a test compares what this build writes with them, and reads
// them back. Only tests import it.
//
// A new format gets its file by running its test once with -compat.write. A file that exists is a
// promise to installed builds: it is changed only together with the format's version.
package compat

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

var write = flag.Bool("compat.write", false, "write the files in testdata/compat instead of comparing with them")

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
		t.Errorf("%s: this build writes other bytes than earlier builds, from byte %d on\n got %q\nwant %q", name, at, around(got, at), around(want, at))
	}
}

// firstDifference returns the index of the first byte that differs; -1: none does.
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

// around returns the bytes around an index, for an error.
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

// JSON compares the JSON encoding of *v, with each exported field set to a value of its own, with
// the file of that name, and checks that the file decodes to the same value.
func JSON(t testing.TB, name string, v any) {
	t.Helper()
	Fill(v)
	got, err := json.MarshalIndent(v, "", "\t")
	if err != nil {
		t.Fatal(err)
	}
	Bytes(t, name, append(got, '\n'))
	back := reflect.New(reflect.TypeOf(v).Elem())
	dec := json.NewDecoder(bytes.NewReader(Read(t, name)))
	dec.DisallowUnknownFields()
	if err := dec.Decode(back.Interface()); err != nil {
		t.Errorf("%s: %v", name, err)
	} else if !reflect.DeepEqual(back.Interface(), v) {
		t.Errorf("%s: it decodes to another value\n got %+v\nwant %+v", name, back.Elem(), reflect.ValueOf(v).Elem())
	}
}

// Written compares the JSON encoding of *v, filled as by JSON, with the file of that name. It is
// for formats that the program only writes.
func Written(t testing.TB, name string, v any) {
	t.Helper()
	Fill(v)
	got, err := json.MarshalIndent(v, "", "\t")
	if err != nil {
		t.Fatal(err)
	}
	Bytes(t, name, append(got, '\n'))
}

// Values compares a list of values, such as all codes of a type, with the file of that name.
func Values(t testing.TB, name string, values ...any) {
	t.Helper()
	var b strings.Builder
	for _, v := range values {
		fmt.Fprintf(&b, "%v\n", v)
	}
	Bytes(t, name, []byte(b.String()))
}

// Keys compares the keys that a decoder accepts for v, taken from the tags named key, with the
// file of that name. A field without a tag is listed by its own name, in lower case.
func Keys(t testing.TB, name, key string, v any) {
	t.Helper()
	var b strings.Builder
	keys(&b, "", key, reflect.TypeOf(v), nil)
	Bytes(t, name, []byte(b.String()))
}

func keys(b *strings.Builder, prefix, key string, t reflect.Type, within []reflect.Type) {
	for {
		switch t.Kind() {
		case reflect.Pointer, reflect.Slice, reflect.Array:
			t = t.Elem()
			continue
		case reflect.Map:
			prefix += ".*"
			t = t.Elem()
			continue
		}
		break
	}
	for _, outer := range within {
		if outer == t {
			return
		}
	}
	if t.Kind() != reflect.Struct {
		fmt.Fprintf(b, "%s %s\n", strings.TrimPrefix(prefix, "."), t.Kind())
		return
	}
	for i := range t.NumField() {
		f := t.Field(i)
		if !f.IsExported() && !f.Anonymous {
			continue
		}
		tag, _, _ := strings.Cut(f.Tag.Get(key), ",")
		switch {
		case tag == "-":
			continue
		case tag == "" && f.Anonymous:
			keys(b, prefix, key, f.Type, append(within, t))
			continue
		case tag == "":
			tag = strings.ToLower(f.Name)
		}
		keys(b, prefix+"."+tag, key, f.Type, append(within, t))
	}
}

// Fill sets each exported field below *v to a value of its own, in the order of the fields: the
// same for any names that they have.
func Fill(v any) {
	f := filler{}
	f.fill(reflect.ValueOf(v).Elem(), nil)
}

type filler struct{ n int }

func (f *filler) fill(v reflect.Value, within []reflect.Type) {
	f.n++
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.String:
		v.SetString(fmt.Sprintf("s%d", f.n))
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(f.n))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(f.n))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(f.n) + 0.5)
	case reflect.Pointer:
		for _, outer := range within {
			if outer == v.Type() {
				return
			}
		}
		p := reflect.New(v.Type().Elem())
		f.fill(p.Elem(), append(within, v.Type()))
		v.Set(p)
	case reflect.Slice:
		s := reflect.MakeSlice(v.Type(), 1, 1)
		f.fill(s.Index(0), within)
		v.Set(s)
	case reflect.Array:
		for i := range v.Len() {
			f.fill(v.Index(i), within)
		}
	case reflect.Map:
		m := reflect.MakeMap(v.Type())
		k, x := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		f.fill(k, within)
		f.fill(x, within)
		m.SetMapIndex(k, x)
		v.Set(m)
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				f.fill(v.Field(i), within)
			}
		}
	}
}
