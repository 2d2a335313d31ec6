package route

import (
	"fmt"
	"slices"
	"strings"
)

// Rule is a route as files have it.
type Rule struct {
	Name    string
	Line    int      // in the file, for errors
	Hosts   []string // exact, or "*.example.org" for all below; none: any host
	Path    string   // prefix of whole segments; "" is "/"
	Methods []string // none: any
	Headers []Header // all of them
	Split   []Share  // the pools that it goes to
	SplitBy string   // header whose value keeps a client at one pool; "": random
}

// Header is a condition on a header.
type Header struct {
	Name  string
	Value string // exact; "": any
}

// Share is a pool's share of a route.
type Share struct {
	Pool   string
	Weight int // 0 to maxWeight; 0: nothing
}

const (
	maxWeight  = 1_000_000 // so that sums and quotients stay exact
	maxHeaders = 16        // of a rule
	// suffixPrefix begins hosts that stand for all names below.
	suffixPrefix = "*."
)

// Request is what a route is chosen by.
type Request struct {
	Host   string // in normal form
	Path   string // in normal form
	Method string
	Header func(name string) (value string, ok bool) // nil: the request has none
}

// Route is a compiled rule.
type Route struct {
	Rule
	Index   int // among the rules
	methods []string
	pools   []weightedPool // of Split, those with a weight
}

// Table finds the routes of requests. It is immutable.
type Table struct {
	exact  map[string]*node // by host
	suffix map[string]*node // "*.example.org" by "example.org"
	any    *node
	routes []*Route
}

// node is a segment of paths.
type node struct {
	next   map[string]*node
	routes []*Route // that end here; the first that matches is taken
}

// Problem is a rule that can't be used, with the line of another that it conflicts with if there is one.
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

// roots returns the trees of the hosts of a rule.
func (t *Table) roots(hosts []string) []*node {
	if len(hosts) == 0 {
		return []*node{t.any}
	}
	var roots []*node
	for _, h := range hosts {
		in, name := t.exact, h
		if suffix, ok := strings.CutPrefix(h, suffixPrefix); ok {
			in, name = t.suffix, suffix
		}
		if in[name] == nil {
			in[name] = &node{}
		}
		roots = append(roots, in[name])
	}
	return roots
}

// specificity orders routes of the same host and path, the highest first: one with a named method before one with any
// number of headers.
func (r *Route) specificity() int {
	specificity := len(r.Headers)
	if len(r.methods) > 0 {
		specificity += maxHeaders + 1
	}
	return specificity
}

// overlap reports whether a request can match both of two routes of the same host and path.
func overlap(x, y *Route) bool {
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

// segments yields the segments of a path in normal form. A last empty one does not count: the prefix "/a/" is the prefix
// "/a".
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

// Routes returns the routes of the table in the order of their rules.
func (t *Table) Routes() []*Route { return t.routes }

// Match returns the route of a request, nil if there is none. It does not allocate.
func (t *Table) Match(q *Request) *Route {
	if n := t.exact[q.Host]; n != nil {
		if r := n.match(q); r != nil {
			return r
		}
	}
	if len(t.suffix) > 0 {
		if r := t.matchSuffix(q); r != nil {
			return r
		}
	}
	return t.any.match(q)
}

// matchSuffix returns the route of the longest suffix of a request's host that has one, nil if there is none.
func (t *Table) matchSuffix(q *Request) *Route {
	rest := q.Host
	for {
		i := strings.IndexByte(rest, '.')
		if i < 0 {
			return nil
		}
		rest = rest[i+1:]
		n := t.suffix[rest]
		if n == nil {
			continue
		}
		if r := n.match(q); r != nil {
			return r
		}
	}
}

// match returns the matching route with the longest path of a host.
func (n *node) match(q *Request) *Route {
	var visited [maxSegments + 1]*node
	visited[0] = n
	depth := 0
	rest := q.Path[1:]
	for rest != "" && depth < maxSegments {
		segment, after, _ := strings.Cut(rest, "/")
		next := visited[depth].next[segment]
		if next == nil {
			break
		}
		depth++
		visited[depth] = next
		rest = after
	}
	for ; depth >= 0; depth-- {
		for _, r := range visited[depth].routes {
			if r.matches(q) {
				return r
			}
		}
	}
	return nil
}

// matches reports whether method and headers match.
func (r *Route) matches(q *Request) bool {
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
