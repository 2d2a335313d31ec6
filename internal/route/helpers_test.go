package route

import (
	"strings"
	"testing"
)

// newRule returns a rule that sends requests of the path to pool p, changed by the options.
func newRule(name, path string, options ...func(*Rule)) Rule {
	r := Rule{Name: name, Path: path, Split: []Share{{"p", 1}}}
	for _, option := range options {
		option(&r)
	}
	return r
}

func withHosts(hosts ...string) func(*Rule) { return func(r *Rule) { r.Hosts = hosts } }

func withMethods(methods ...string) func(*Rule) { return func(r *Rule) { r.Methods = methods } }

func withHeader(name, value string) func(*Rule) {
	return func(r *Rule) { r.Headers = append(r.Headers, Header{name, value}) }
}

func atLine(line int) func(*Rule) { return func(r *Rule) { r.Line = line } }

func withSplit(split ...Share) func(*Rule) { return func(r *Rule) { r.Split = split } }

// joinProblems returns the texts of problems, one a line.
func joinProblems(list []*Problem) (s string) {
	for _, p := range list {
		s += p.Error() + "\n"
	}
	return s
}

// mustCompile returns the table of the rules over the pools p, q and r.
func mustCompile(t testing.TB, rules ...Rule) *Table {
	t.Helper()
	table, problems := Compile(rules, []string{"p", "q", "r"})
	if len(problems) > 0 {
		t.Fatal(joinProblems(problems))
	}
	return table
}

// matchedRoute returns the name of the route of "METHOD host/path", with headers as name=value, or "".
func matchedRoute(t *Table, request string, headers ...string) string {
	method, rest, _ := strings.Cut(request, " ")
	i := strings.IndexByte(rest, '/')
	q := &Request{Host: rest[:i], Path: rest[i:], Method: method, Header: func(name string) (string, bool) {
		for _, h := range headers {
			if n, v, _ := strings.Cut(h, "="); strings.EqualFold(n, name) {
				return v, true
			}
		}
		return "", false
	}}
	if r := t.Match(q); r != nil {
		return r.Name
	}
	return ""
}
