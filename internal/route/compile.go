package route

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Compile returns the table of the rules, and all their problems. pools are the names of the pools that exist.
//
// Of the routes that match a request the most specific one is used, in the order of the Gateway API's HTTPRoute: a
// route with an exact host comes before one with a longer suffix, and that before one for any host; then one with a
// longer path, then one with methods, then one with more headers. Two routes that this does not order and that can
// match the same request are ambiguous, which is a problem.
func Compile(rules []Rule, pools []string) (*Table, []*Problem) {
	c := &compiler{
		table: &Table{exact: map[string]*node{}, suffix: map[string]*node{}, any: &node{}},
		pools: pools, named: map[string]*Rule{},
	}
	for i := range rules {
		c.add(i, &rules[i])
	}
	return c.table, c.problems
}

// compiler is the state of Compile.
type compiler struct {
	table    *Table
	pools    []string
	named    map[string]*Rule
	problems []*Problem
}

// report records a problem of a rule. other is another rule that it conflicts with, or nil.
func (c *compiler) report(r, other *Rule, format string, args ...any) {
	p := &Problem{Line: r.Line, Rule: r.Name, Text: fmt.Sprintf(format, args...)}
	if other != nil {
		p.Other = other.Line
	}
	c.problems = append(c.problems, p)
}

// add adds the route of a rule to the table.
func (c *compiler) add(index int, rule *Rule) {
	r := &Route{Rule: *rule, Index: index}
	if first := c.named[r.Name]; first != nil {
		c.report(&r.Rule, first, "duplicate route name")
		return
	}
	c.named[r.Name] = rule
	if err := r.normalize(c.pools); err != nil {
		c.report(&r.Rule, nil, "%s", err)
		return
	}
	c.table.routes = append(c.table.routes, r)
	for _, root := range c.table.roots(r.Hosts) {
		n := root.descend(r.Path)
		for _, other := range n.routes {
			if r.specificity() == other.specificity() && overlap(r, other) {
				c.report(&r.Rule, &other.Rule, "a request can match this and route %q alike", other.Name)
				break
			}
		}
		n.routes = append(n.routes, r)
		slices.SortStableFunc(n.routes, func(x, y *Route) int { return y.specificity() - x.specificity() })
	}
}

// descend returns the node of a path, which it creates if there is none.
func (n *node) descend(path string) *node {
	for s := range segments(path) {
		if n.next == nil {
			n.next = map[string]*node{}
		}
		if n.next[s] == nil {
			n.next[s] = &node{}
		}
		n = n.next[s]
	}
	return n
}

// normalize checks a route independently of other routes, and converts it to normal form.
func (r *Route) normalize(pools []string) error {
	if r.Name == "" {
		return errors.New("the route has no name")
	}
	if r.Path == "" {
		r.Path = "/"
	}
	path, err := NormalizePath(r.Path)
	if err != nil {
		return fmt.Errorf("path %q: %w", r.Path, err)
	}
	r.Path = path
	for _, step := range []func() error{r.normalizeHosts, r.checkMethods, r.checkHeaders, func() error { return r.checkSplit(pools) }} {
		if err := step(); err != nil {
			return err
		}
	}
	r.pools = weightedPools(r.Split)
	return nil
}

func (r *Route) normalizeHosts() error {
	hosts := make([]string, 0, len(r.Hosts))
	for _, h := range r.Hosts {
		name, isSuffix := strings.CutPrefix(h, suffixPrefix)
		host, err := NormalizeHost(name)
		if err != nil || strings.Contains(name, ":") {
			return fmt.Errorf("host %q: is not a host name, nor \"*.\" followed by one", h)
		}
		if isSuffix {
			host = suffixPrefix + host
		}
		if slices.Contains(hosts, host) {
			return fmt.Errorf("host %q: is listed twice", h)
		}
		hosts = append(hosts, host)
	}
	r.Hosts = hosts
	return nil
}

func (r *Route) checkMethods() error {
	for _, m := range r.Methods {
		if m == "" || strings.ToUpper(m) != m || strings.Trim(m, "ABCDEFGHIJKLMNOPQRSTUVWXYZ-") != "" {
			return fmt.Errorf("method %q: is not an upper-case method name such as \"GET\"", m)
		}
		if slices.Contains(r.methods, m) {
			return fmt.Errorf("method %q: is listed twice", m)
		}
		r.methods = append(r.methods, m)
	}
	return nil
}

func (r *Route) checkHeaders() error {
	if len(r.Headers) > maxHeaders {
		return fmt.Errorf("%d headers are listed, %d are allowed", len(r.Headers), maxHeaders)
	}
	for i, h := range r.Headers {
		if h.Name == "" {
			return errors.New("a header has no name")
		}
		if slices.ContainsFunc(r.Headers[:i], func(o Header) bool { return strings.EqualFold(o.Name, h.Name) }) {
			return fmt.Errorf("header %q: is listed twice", h.Name)
		}
	}
	return nil
}

func (r *Route) checkSplit(pools []string) error {
	if len(r.Split) == 0 {
		return errors.New("the route has no pool")
	}
	sum := 0
	for i, s := range r.Split {
		switch {
		case !slices.Contains(pools, s.Pool):
			return fmt.Errorf("pool %q: there is none of that name", s.Pool)
		case s.Weight < 0 || s.Weight > maxWeight:
			return fmt.Errorf("pool %q: weight %d is not between 0 and %d", s.Pool, s.Weight, maxWeight)
		case slices.ContainsFunc(r.Split[:i], func(o Share) bool { return o.Pool == s.Pool }):
			return fmt.Errorf("pool %q: is listed twice", s.Pool)
		}
		sum += s.Weight
	}
	if sum == 0 {
		return errors.New("all weights of the split are 0")
	}
	return nil
}
