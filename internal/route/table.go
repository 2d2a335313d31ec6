package route

import (
	"fmt"
	"slices"
	"strings"
)

// Rule is one route as it stands in a file.
type Rule struct {
	Name    string
	Line    int      // in the file, for errors
	Hosts   []string // exact, or "*.example.org" for all below; none: any host
	Path    string   // prefix by whole segments; "" is "/"
	Methods []string // none: any
	Headers []Header // all of them
	Split   []Share  // the pools that it goes to
	SplitBy string   // header whose value keeps a client at one pool; "": chance
}

// Header is a condition on a header.
type Header struct {
	Name  string
	Value string // exact; "": it must be there
}

// Share is a pool's part of a route.
type Share struct {
	Pool   string
	Weight int // 0 to maxWeight; 0: nothing for now
}

const (
	maxWeight  = 1_000_000 // so that sums and quotients stay exact
	maxHeaders = 16        // of a rule: more is a mistake
)

// Request is what a route is chosen by.
type Request struct {
	Host   string // as Host gives it
	Path   string // as Path gives it
	Method string
	Header func(name string) (value string, ok bool) // nil: there are none
}

// Route is a compiled rule.
type Route struct {
	Rule
	Index   int // its place among the rules
	methods []string
	shares  []share
}

// Table finds routes. It is read-only once compiled.
type Table struct {
	exact  map[string]*node // by host
	below  map[string]*node // "*.example.org" by "example.org"
	any    *node
	routes []*Route
}

// node is a segment of paths.
type node struct {
	next   map[string]*node
	routes []*Route // that end here, the first that matches is taken
}

// Problem is a rule that can't be served, with the line of another that it is at odds with
// if there is one.
type Problem struct {
	Line, Other int
	Rule        string
	Text        string
}

func (p *Problem) Error() string {
	if p.Other > 0 {
		return fmt.Sprintf("line %d: route %q: %s (line %d)", p.Line, p.Rule, p.Text, p.Other)
	}
	return fmt.Sprintf("line %d: route %q: %s", p.Line, p.Rule, p.Text)
}

// Compile makes a table, or says all that is wrong. pools are those that there are.
//
// Of the routes that match a request the most particular is taken, in the order of the
// Gateway API's HTTPRoute: an exact host before a longer suffix before any host, then the
// longer path, then a named method, then more headers. Two routes between which that does
// not decide, and that one request can match, are ambiguous: an error, not the first.
func Compile(rules []Rule, pools []string) (*Table, []*Problem) {
	t := &Table{exact: map[string]*node{}, below: map[string]*node{}, any: &node{}}
	var problems []*Problem
	wrong := func(r *Rule, other *Rule, format string, args ...any) {
		p := &Problem{Line: r.Line, Rule: r.Name, Text: fmt.Sprintf(format, args...)}
		if other != nil {
			p.Other = other.Line
		}
		problems = append(problems, p)
	}
	named := map[string]*Rule{}
	for i := range rules {
		r := &Route{Rule: rules[i], Index: i}
		if first := named[r.Name]; first != nil {
			wrong(&r.Rule, first, "the name is taken")
			continue
		}
		named[r.Name] = &rules[i]
		if !t.check(r, pools, wrong) {
			continue
		}
		t.routes = append(t.routes, r)
		for _, root := range t.roots(r.Hosts) {
			n := root
			for s := range segments(r.Path) {
				if n.next == nil {
					n.next = map[string]*node{}
				}
				if n.next[s] == nil {
					n.next[s] = &node{}
				}
				n = n.next[s]
			}
			for _, other := range n.routes {
				if rank(r) == rank(other) && together(r, other) {
					wrong(&r.Rule, &other.Rule, "a request can match this and route %q alike", other.Name)
					break
				}
			}
			n.routes = append(n.routes, r)
			slices.SortStableFunc(n.routes, func(x, y *Route) int { return rank(y) - rank(x) })
		}
	}
	return t, problems
}

// check looks at a rule by itself, and brings it into its one form.
func (t *Table) check(r *Route, pools []string, wrong func(*Rule, *Rule, string, ...any)) bool {
	bad := func(format string, args ...any) bool {
		wrong(&r.Rule, nil, format, args...)
		return false
	}
	if r.Name == "" {
		return bad("it has no name")
	}
	if r.Path == "" {
		r.Path = "/"
	}
	path, err := Path(r.Path)
	if err != nil {
		return bad("path %q: %v", r.Path, err)
	}
	r.Path = path
	hosts := make([]string, 0, len(r.Hosts))
	for _, h := range r.Hosts {
		name, star := strings.CutPrefix(h, "*.")
		host, err := Host(name)
		if err != nil || strings.Contains(name, ":") {
			return bad("host %q: is no name, nor \"*.\" and a name", h)
		}
		if star {
			host = "*." + host
		}
		if slices.Contains(hosts, host) {
			return bad("host %q: is there twice", h)
		}
		hosts = append(hosts, host)
	}
	r.Hosts = hosts
	for _, m := range r.Methods {
		if m == "" || strings.ToUpper(m) != m || strings.Trim(m, "ABCDEFGHIJKLMNOPQRSTUVWXYZ-") != "" {
			return bad("method %q: is no method, as in \"GET\"", m)
		}
		if slices.Contains(r.methods, m) {
			return bad("method %q: is there twice", m)
		}
		r.methods = append(r.methods, m)
	}
	if len(r.Headers) > maxHeaders {
		return bad("%d headers, %d at most", len(r.Headers), maxHeaders)
	}
	for i, h := range r.Headers {
		if h.Name == "" {
			return bad("a header has no name")
		}
		for _, other := range r.Headers[:i] {
			if strings.EqualFold(other.Name, h.Name) {
				return bad("header %q: is there twice", h.Name)
			}
		}
	}
	if len(r.Split) == 0 {
		return bad("it goes to no pool")
	}
	sum := 0
	for i, s := range r.Split {
		switch {
		case !slices.Contains(pools, s.Pool):
			return bad("pool %q: there is none of that name", s.Pool)
		case s.Weight < 0 || s.Weight > maxWeight:
			return bad("pool %q: weight %d is not between 0 and %d", s.Pool, s.Weight, maxWeight)
		case slices.ContainsFunc(r.Split[:i], func(o Share) bool { return o.Pool == s.Pool }):
			return bad("pool %q: is there twice", s.Pool)
		}
		sum += s.Weight
	}
	if sum == 0 {
		return bad("all its weights are 0")
	}
	r.shares = compileShares(r.Split)
	return true
}

// roots are the trees of the hosts of a rule.
func (t *Table) roots(hosts []string) []*node {
	if len(hosts) == 0 {
		return []*node{t.any}
	}
	var roots []*node
	for _, h := range hosts {
		in, name := t.exact, h
		if below, star := strings.CutPrefix(h, "*."); star {
			in, name = t.below, below
		}
		if in[name] == nil {
			in[name] = &node{}
		}
		roots = append(roots, in[name])
	}
	return roots
}

// rank orders routes of one host and path: a named method first, then more headers.
func rank(r *Route) int {
	n := len(r.Headers)
	if len(r.methods) > 0 {
		n += maxHeaders + 1
	}
	return n
}

// together says whether one request can match both of two routes of one host and path.
func together(x, y *Route) bool {
	if len(x.methods) > 0 && len(y.methods) > 0 &&
		!slices.ContainsFunc(x.methods, func(m string) bool { return slices.Contains(y.methods, m) }) {
		return false
	}
	for _, a := range x.Headers {
		for _, b := range y.Headers {
			if strings.EqualFold(a.Name, b.Name) && a.Value != b.Value && a.Value != "" && b.Value != "" {
				return false
			}
		}
	}
	return true
}

// segments are the segments of a path in its one form. A last empty one does not count:
// the prefix "/a/" is the prefix "/a".
func segments(path string) func(yield func(string) bool) {
	return func(yield func(string) bool) {
		for rest := path[1:]; rest != ""; {
			s, after, _ := strings.Cut(rest, "/")
			if !yield(s) {
				return
			}
			rest = after
		}
	}
}

// Routes are the routes of the table in the order of their rules.
func (t *Table) Routes() []*Route { return t.routes }

// Match finds the route of a request, nil if there is none. It allocates nothing.
func (t *Table) Match(q *Request) *Route {
	if n := t.exact[q.Host]; n != nil {
		if r := n.match(q); r != nil {
			return r
		}
	}
	if len(t.below) > 0 {
		for rest := q.Host; ; {
			i := strings.IndexByte(rest, '.')
			if i < 0 {
				break
			}
			rest = rest[i+1:]
			if n := t.below[rest]; n != nil {
				if r := n.match(q); r != nil {
					return r
				}
			}
		}
	}
	return t.any.match(q)
}

// match finds the route with the longest path below a host.
func (n *node) match(q *Request) *Route {
	var way [maxSegments + 1]*node
	depth := 0
	way[0] = n
	for rest := q.Path[1:]; rest != "" && n.next != nil && depth < maxSegments; {
		i := strings.IndexByte(rest, '/')
		s := rest
		if i >= 0 {
			s, rest = rest[:i], rest[i+1:]
		} else {
			rest = ""
		}
		if n = n.next[s]; n == nil {
			break
		}
		depth++
		way[depth] = n
	}
	for ; depth >= 0; depth-- {
		for _, r := range way[depth].routes {
			if r.takes(q) {
				return r
			}
		}
	}
	return nil
}

// takes says whether method and headers match.
func (r *Route) takes(q *Request) bool {
	if len(r.methods) > 0 && !slices.Contains(r.methods, q.Method) {
		return false
	}
	for i := range r.Headers {
		h := &r.Headers[i]
		if q.Header == nil {
			return false
		}
		if v, ok := q.Header(h.Name); !ok || h.Value != "" && v != h.Value {
			return false
		}
	}
	return true
}
