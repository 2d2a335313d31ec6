package route

import (
	"strings"
	"testing"
)

// Compile reports all problems at once, each with its line and, for a conflict, with the line of the other rule.
func TestCompileReportsEveryProblem(t *testing.T) {
	for _, c := range []struct {
		name  string
		rules []Rule
		want  string
	}{
		{"as specific as another", []Rule{newRule("a", "/", withHeader("X", ""), atLine(3)), newRule("b", "/", withHeader("X", "1"), atLine(9))}, "alike (line 3)"},
		{"same", []Rule{newRule("a", "/x", atLine(3)), newRule("b", "/x/", atLine(9))}, `line 9: route "b": a request can match this and route "a" alike (line 3)`},
		{"headers that may meet", []Rule{newRule("a", "/", withHeader("A", "1"), atLine(3)), newRule("b", "/", withHeader("B", "1"), atLine(9))}, "line 9: route \"b\": a request can match this and route \"a\" alike (line 3)"},
		{"methods that meet", []Rule{newRule("a", "/", withMethods("GET", "PUT"), atLine(3)), newRule("b", "/", withMethods("PUT"), atLine(9))}, "alike (line 3)"},
		{"name", []Rule{newRule("a", "/x", atLine(3)), newRule("a", "/y", atLine(9))}, `line 9: route "a": duplicate route name (line 3)`},
		{"no name", []Rule{newRule("", "/", atLine(2))}, "line 2: route \"\": the route has no name"},
		{"path", []Rule{newRule("a", "/x/../y", atLine(2))}, `line 2: route "a": path "/x/../y": the path can't be matched`},
		{"host", []Rule{newRule("a", "/", withHosts("a..b"), atLine(2))}, `host "a..b": is not a host name`},
		{"host with a port", []Rule{newRule("a", "/", withHosts("a:80"), atLine(2))}, `host "a:80": is not a host name`},
		{"star inside", []Rule{newRule("a", "/", withHosts("a.*.b"), atLine(2))}, `host "a.*.b": is not a host name`},
		{"method", []Rule{newRule("a", "/", withMethods("get"), atLine(2))}, `method "get": is not an upper-case method name`},
		{"pool", []Rule{newRule("a", "/", withSplit(Share{"none", 1}), atLine(2))}, `pool "none": there is none of that name`},
		{"no pool", []Rule{newRule("a", "/", withSplit(), atLine(2))}, "the route has no pool"},
		{"weights", []Rule{newRule("a", "/", withSplit(Share{"p", 0}, Share{"q", 0}), atLine(2))}, "all weights of the split are 0"},
		{"weight", []Rule{newRule("a", "/", withSplit(Share{"p", -1}), atLine(2))}, "weight -1 is not between 0 and"},
		{"header twice", []Rule{newRule("a", "/", withHeader("A", "1"), withHeader("a", "2"), atLine(2))}, `header "a": is listed twice`},
	} {
		_, problems := Compile(c.rules, []string{"p", "q"})
		if got := joinProblems(problems); c.want == "" && got != "" || !strings.Contains(got, c.want) {
			t.Errorf("%s: problems %q, want one with %q", c.name, got, c.want)
		}
	}
	_, problems := Compile([]Rule{newRule("", "/"), newRule("b", "x"), newRule("c", "/", withHosts("?"))}, []string{"p"})
	if len(problems) != 3 {
		t.Errorf("%d problems, want 3: %s", len(problems), joinProblems(problems))
	}
}
