package config

import (
	"strings"
	"testing"
)

func TestTextFindsLinesOfKeys(t *testing.T) {
	text := NewText("f", `# a = 1
name = "x"
long = """
[[route]]
path = 1
"""

[limits]
  memory_mb = 5

[[route]]
path = "/a" # = b
[[route]]
"path" = "/b"
[route.headers]
X-A = "1"
[[route]]
name = "c"
`)
	for _, c := range []struct {
		table string
		index int
		key   string
		want  int
	}{
		{"", 0, "name", 2}, {"", 0, "a", 0}, {"limits", 0, "memory_mb", 9}, {"route", 0, "path", 12}, {"route", 1, "path", 14},
		{"route", 2, "path", 17}, {"route", 3, "path", 0}, {"route.headers", 0, "X-A", 16}, {"none", 0, "x", 0},
	} {
		if got := text.Line(c.table, c.index, c.key); got != c.want {
			t.Errorf("table %q %d, key %s: line %d, want %d", c.table, c.index, c.key, got, c.want)
		}
	}
	for key, want := range map[string]int{"name": 2, "limits.memory_mb": 9, "route.path": 12, "route.headers.X-A": 16, "limits": 8, "none.x": 0} {
		if got := text.firstLine(key); got != want {
			t.Errorf("first line of %s: %d, want %d", key, got, want)
		}
	}
}

func TestDecodeErrorNamesLineAndField(t *testing.T) {
	type form struct {
		Name  string
		Limit Duration
		Route []struct{ Path string }
	}
	for text, want := range map[string]string{
		"nmae = \"x\"":               "f:1: nmae: there is no such setting",
		"\n[[route]]\npaht = \"/\"":  "f:3: route.paht: there is no such setting",
		"name = 5":                   "f:1: name: ",
		"[[route]]\n\npath = 5":      "f:3: route.path: ",
		"name = \"x":                 "f:1: name: ",
		"limit = \"5 parsecs\"":      "f:1: limit: ",
		"name = \"x\"\nname = \"y\"": "f:2: ",
		"[[route]]\npath = 1\n[[route]]\npath = \"/\"\n":                          "f:2: route.path: ",
		"[[route]]\npath = \"/\"\n[[route]]\npath = 1\n[[route]]\npath = \"/\"\n": "f:4: route.path: ",
		"[routes]\npath = \"/\"":                                                  "f:1: routes: there is no such setting",
	} {
		var v form
		err := NewText("f", text).Decode(&v)
		if err == nil || !strings.HasPrefix(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: error %v, want %q", text, err, want)
		}
	}
	var v form
	if err := NewText("f", "name = \"x\"\nlimit = \"2s\"").Decode(&v); err != nil || v.Limit != Duration(2e9) {
		t.Errorf("decoded %+v, error %v, want a limit of 2s", v, err)
	}
}
