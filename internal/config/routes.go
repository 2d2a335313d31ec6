package config

import (
	"cmp"
	"fmt"
	"math"
	"net/textproto"
	"slices"
	"strings"
	"time"

	"dunemoor/internal/engine"
	"dunemoor/internal/httpwire"
	"dunemoor/internal/route"
)

// Defaults and bounds of routes.
const (
	defaultTimeout     = 10 * time.Second
	defaultRetryShare  = 0.2
	defaultRetryFloor  = 1
	defaultBufferBytes = 64 << 10 // the same as in the platform's protocol
	maxBufferBytes     = 1 << 20  // with a higher maximum, a few requests would fill the memory for bodies
	defaultIdleTimeout = 30 * time.Second
	maxIdleTimeout     = 24 * time.Hour
	defaultMinRate     = 256 // bytes per second
	maxTunnels         = 1 << 16
	maxRetryShare      = 3
)

// fixedHeaders are headers that determine how a message is parsed, or that are set by the gateway itself.
var fixedHeaders = []string{
	"Connection", "Content-Length", "Expect", "Host", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "X-Timeout",
}

// readRoutes reads the routes and compiles their rules to the routing table.
func (c *checker) readRoutes(a *Appliance, f *applianceFile) {
	if len(f.Route) == 0 {
		c.addErrorf("", 0, "route", "is missing: at least one [[route]] is required")
	}
	var rules []route.Rule
	for i := range f.Route {
		x := &f.Route[i]
		a.Routes = append(a.Routes, c.readRoute(i, x, a.Classes))
		c.checkName("route", i, x.Name)
		rules = append(rules, c.readRule(i, x))
	}
	var pools []string
	for _, p := range a.Pools {
		pools = append(pools, p.Name)
	}
	table, problems := route.Compile(rules, pools)
	for _, p := range problems {
		text := p.Text
		if p.Other > 0 {
			text += fmt.Sprintf(" (line %d)", p.Other)
		}
		c.errors = append(c.errors, c.Errorf(p.Line, fmt.Sprintf("route %q", p.Rule), "%s", text))
	}
	a.Table = table
	c.checkPoolsUsed(a, rules)
}

// readRoute reads the settings that a route applies to its requests.
func (c *checker) readRoute(i int, x *routeFile, classes []Class) Route {
	r := Route{
		Class: x.Class, Timeout: cmp.Or(time.Duration(x.Timeout), defaultTimeout), RetryableMethods: x.Repeatable,
		BufferBytes: orDefault(x.Hold, defaultBufferBytes), MinRate: orDefault(x.LeastRate, defaultMinRate),
		MaxBodyBytes: int64(x.MaxBody), HeaderDeadlineOnly: x.Stream, MaxTunnels: x.Upgrades,
		IdleTimeout: cmp.Or(time.Duration(x.Idle), defaultIdleTimeout),
		RetryShare:  defaultRetryShare, RetryFloor: defaultRetryFloor, FailureStatuses: x.Failures,
	}
	c.checkRange("route", i, "hold", float64(r.BufferBytes), 0, maxBufferBytes)
	c.checkRange("route", i, "idle", r.IdleTimeout.Seconds(), 0.1, maxIdleTimeout.Seconds())
	c.checkRange("route", i, "upgrades", float64(r.MaxTunnels), 0, maxTunnels)
	r.RequestHeaders = c.readHeaderRules(i, "request", x.Request)
	r.ResponseHeaders = c.readHeaderRules(i, "answer", x.Answer)
	c.checkPlatformRoute(i, x, &r)
	if x.Failures == nil {
		r.FailureStatuses = route.DefaultFailureStatuses
	}
	for _, status := range x.Failures {
		if status < 400 || status > 599 {
			c.addErrorf("route", i, "failures", "%d is not between 400 and 599", status)
		}
	}
	c.checkRange("route", i, "timeout", r.Timeout.Seconds(), 0.001, maxTimeout.Seconds())
	if x.RetryShare != nil {
		r.RetryShare = *x.RetryShare
	}
	if x.RetryFloor != nil {
		r.RetryFloor = *x.RetryFloor
	}
	c.checkRange("route", i, "retry_share", r.RetryShare, 0, maxRetryShare)
	c.checkRange("route", i, "retry_floor", r.RetryFloor, 0, math.MaxInt32)
	if x.Class != "" && !slices.ContainsFunc(classes, func(k Class) bool { return k.Name == x.Class }) {
		c.addErrorf("route", i, "class", "%q: there is no class with this name", x.Class)
	}
	for _, m := range x.Repeatable {
		if m != "PUT" && m != "DELETE" {
			c.addErrorf("route", i, "repeatable", "%q: only PUT and DELETE can be made repeatable; GET, HEAD and OPTIONS always are, POST never is", m)
		}
	}
	return r
}

// orDefault returns a size from the file, or the default if the file does not set it.
func orDefault(s *Size, defaultValue int64) int64 {
	if s == nil {
		return defaultValue
	}
	return int64(*s)
}

// checkPlatformRoute checks that a route without a class, whose requests use the platform's protocol, has no settings for
// plain requests.
func (c *checker) checkPlatformRoute(i int, x *routeFile, r *Route) {
	if x.Class != "" {
		return
	}
	for key, set := range map[string]bool{
		"request": !isEmpty(&r.RequestHeaders) || !isEmpty(&r.ResponseHeaders), "hold": x.Hold != nil, "max_body": x.MaxBody != 0, "stream": x.Stream,
		"idle": x.Idle != 0, "least_rate": x.LeastRate != nil, "upgrades": x.Upgrades != 0, "failures": x.Failures != nil,
	} {
		if set {
			c.addErrorf("route", i, key, "is for routes with a class")
		}
	}
}

func isEmpty(r *engine.HeaderRules) bool { return len(r.Set)+len(r.Add)+len(r.Remove) == 0 }

// readRule reads the matching rule of a route and the pools to which its requests are split.
func (c *checker) readRule(i int, x *routeFile) route.Rule {
	rule := route.Rule{
		Name: x.Name, Line: c.Line("route", i, ""), Hosts: x.Hosts, Path: x.Path, Methods: x.Methods, SplitBy: x.SplitBy,
	}
	for name, value := range x.Headers {
		rule.Headers = append(rule.Headers, route.Header{Name: name, Value: value})
	}
	slices.SortFunc(rule.Headers, func(p, q route.Header) int { return strings.Compare(p.Name, q.Name) })
	switch {
	case x.Pool != "" && len(x.Split) > 0:
		c.addErrorf("route", i, "pool", "can't be combined with split")
	case x.Pool != "":
		rule.Split = []route.Share{{Pool: x.Pool, Weight: 1}}
	}
	for name, weight := range x.Split {
		rule.Split = append(rule.Split, route.Share{Pool: name, Weight: weight})
	}
	slices.SortFunc(rule.Split, func(p, q route.Share) int { return strings.Compare(p.Pool, q.Pool) })
	return rule
}

// checkPoolsUsed checks that each pool is used by a route, or is a fallback of a pool that is used.
func (c *checker) checkPoolsUsed(a *Appliance, rules []route.Rule) {
	used := map[string]bool{}
	for _, rule := range rules {
		for _, s := range rule.Split {
			used[s.Pool] = true
		}
	}
	for _, p := range a.Pools {
		if used[p.Name] {
			for _, name := range p.Fallback {
				used[name] = true
			}
		}
	}
	for i, p := range a.Pools {
		if !used[p.Name] && p.Name != "" {
			c.addErrorf("pool", i, "name", "no route uses %q, and it is not a fallback of a pool that is used", p.Name)
		}
	}
}

// readHeaderRules reads the header rules of a route for requests or responses.
func (c *checker) readHeaderRules(n int, key string, f headersFile) (r engine.HeaderRules) {
	r.Set = c.readHeaderValues(n, key, f.Set)
	r.Add = c.readHeaderValues(n, key, f.Add)
	for _, s := range f.Remove {
		r.Remove = append(r.Remove, c.readHeaderName(n, key, s))
	}
	return r
}

func (c *checker) readHeaderName(n int, key, s string) string {
	if !httpwire.IsToken(s) {
		c.addErrorf("route", n, key, "%q is not a header name", s)
	}
	canonical := textproto.CanonicalMIMEHeaderKey(s)
	if slices.Contains(fixedHeaders, canonical) {
		c.addErrorf("route", n, key, "%q can't be changed: it determines how a message is parsed, or is set by the gateway", s)
	}
	return canonical
}

func (c *checker) readHeaderValues(n int, key string, from map[string]string) map[string]string {
	to := map[string]string{}
	for s, v := range from {
		if strings.ContainsFunc(v, func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }) {
			c.addErrorf("route", n, key, "%s: %q contains a control character", s, v)
		}
		to[c.readHeaderName(n, key, s)] = v
	}
	return to
}
