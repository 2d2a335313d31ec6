package route

import (
	"fmt"
	"slices"
	"strings"
)

// Rule is a route as configured.
type Rule struct {
	Name    string
	Line    int      // line in the configuration file, for error messages
	Hosts   []string // exact, or "*.example.org" for all names below; none: any host
	Path    string   // prefix of whole segments; "" is "/"
	Methods []string // none: any
	Headers []Header // all of them must match
	Split   []Share  // the pools that the requests go to
	SplitBy string   // header whose value selects the pool of a client; "": random
}

// Header is a condition on a header.
type Header struct {
	Name  string
	Value string // exact; "": any
}

// Share is a pool's share of the requests of a route.
type Share struct {
	Pool   string
	Weight int // 0 to maxWeight; 0: nothing
}

const (
	maxWeight  = 1_000_000 // limited so that sums and quotients stay exact
	maxHeaders = 16        // conditions on headers in a rule
	// suffixPrefix is the prefix of hosts that match all names below a name.
	suffixPrefix = "*."
)

// Request has the properties of a request that select its route.
type Request struct {
	Host   string // host in normal form
	Path   string // path in normal form
	Method string
	Header func(name string) (value string, ok bool) // nil: the request has none
}

// Route is a compiled rule.
type Route struct {
	Rule
	Index   int // index of the rule
	methods []string
	pools   []weightedPool // the pools of Split with a weight above 0
}

// Table maps requests to routes. It is immutable.
type Table struct {
	exact  map[string]*node // root nodes of exact hosts, by host
	suffix map[string]*node // root nodes of hosts such as "*.example.org", by "example.org"
	any    *node            // root node of rules without hosts
	routes []*Route
}

// node is a node in a tree of path segments.
type node struct {
	next   map[string]*node // children by segment
	routes []*Route         // routes whose path ends here, the most specific first; the first that matches is used
}

// Problem describes why a rule can't be used. Line is the line of the rule, and Other that of another rule that it
// conflicts with, or 0.
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

// roots returns the root nodes of the hosts of a rule, and creates those that are missing.
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

// specificity returns a number by which routes of the same host and path are ordered, the highest first: a route with
// methods comes before one with any number of headers.
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

// segments yields the segments of a path in normal form. An empty last segment is omitted: the prefix "/a/" is the
// same as "/a".
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

// match returns the route that matches a request and has the longest path, of the routes below a root node.
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

// matches reports whether the method and the headers of a request match the route.
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
