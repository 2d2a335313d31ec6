package route

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
)

func TestMatchPrefersMostSpecificRoute(t *testing.T) {
	table := mustCompile(t,
		newRule("all", "/"),
		newRule("api", "/api"),
		newRule("api-v2", "/api/v2"),
		newRule("api-post", "/api", withMethods("POST")),
		newRule("api-beta", "/api", withHeader("X-Beta", "1")),
		newRule("api-beta-any", "/api", withHeader("X-Beta", "1"), withHeader("X-Team", "")),
		newRule("sub", "/", withHosts("*.example.org")),
		newRule("subsub", "/", withHosts("*.b.example.org")),
		newRule("exact", "/only", withHosts("a.example.org", "c.example.org")),
	)
	for _, c := range []struct {
		request, want string
		headers       []string
	}{
		{"GET x.org/", "all", nil},
		{"GET x.org/apis", "all", nil}, // a prefix matches only whole segments
		{"GET x.org/api", "api", nil},
		{"GET x.org/api/", "api", nil},
		{"GET x.org/api/v2/x", "api-v2", nil},
		{"POST x.org/api/v2/x", "api-v2", nil}, // a longer path comes before a method
		{"POST x.org/api/x", "api-post", nil},
		{"POST x.org/api/x", "api-post", []string{"X-Beta=1"}}, // a method comes before headers
		{"GET x.org/api/x", "api-beta", []string{"x-beta=1"}},
		{"GET x.org/api/x", "api", []string{"X-Beta=2"}},
		{"GET x.org/api/x", "api-beta-any", []string{"X-Beta=1", "X-Team=any"}},
		{"GET a.example.org/only", "exact", nil},
		{"GET a.example.org/api", "sub", nil}, // a host comes before a path
		{"GET b.example.org/x", "sub", nil},
		{"GET a.b.example.org/x", "subsub", nil},
		{"GET example.org/x", "all", nil}, // a wildcard matches only names below it
		{"GET notexample.org/x", "all", nil},
	} {
		if got := matchedRoute(table, c.request, c.headers...); got != c.want {
			t.Errorf("%s %v: route %q, want %q", c.request, c.headers, got, c.want)
		}
	}
	if got := matchedRoute(mustCompile(t, newRule("a", "/a")), "GET x/b"); got != "" {
		t.Errorf("GET x/b: route %q, want none", got)
	}
}

// matchByScan compares each rule with the request and returns the most specific match. It is the
// reference for the table.
func matchByScan(routes []*Route, q *Request) *Route {
	var best *Route
	var bestScore [4]int
	for _, r := range routes {
		host := 0
		for _, h := range r.Hosts {
			if h == q.Host {
				host = max(host, 1000)
			} else if below, ok := strings.CutPrefix(h, "*"); ok && strings.HasSuffix(q.Host, below) {
				host = max(host, len(below))
			}
		}
		prefix := strings.TrimSuffix(r.Path, "/")
		if len(r.Hosts) > 0 && host == 0 || q.Path != prefix && !strings.HasPrefix(q.Path, prefix+"/") || !r.matches(q) {
			continue
		}
		method := 0
		if len(r.Methods) > 0 {
			method = 1
		}
		score := [4]int{host, len(prefix), method, len(r.Headers)}
		if best == nil || slices.Compare(score[:], bestScore[:]) > 0 {
			best = r
			bestScore = score
		}
	}
	return best
}

// FuzzMatch compares the table with matchByScan over random rules and requests.
func FuzzMatch(f *testing.F) {
	for seed := range uint64(64) {
		f.Add(seed, uint8(20))
	}
	f.Fuzz(func(t *testing.T, seed uint64, n uint8) {
		g := &generator{random: rand.New(rand.NewPCG(seed, 1))}
		table, _ := Compile(g.rules(int(n)), []string{"p"})
		for _, route := range table.routes {
			q := requestFor(route)
			if got := table.Match(q); got != route {
				t.Fatalf("seed %d: want route %+v for %s %s%s, got %+v",
					seed, route.Rule, q.Method, q.Host, q.Path, got)
			}
		}
		for range 200 {
			q, values := g.request()
			if got, want := table.Match(q), matchByScan(table.routes, q); got != want {
				t.Fatalf("seed %d: %s %s%s %v: route %+v, want %+v",
					seed, q.Method, q.Host, q.Path, values, got, want)
			}
		}
	})
}

// generator generates random rules and requests that often match.
type generator struct{ random *rand.Rand }

func (g *generator) pick(values ...string) string { return values[g.random.IntN(len(values))] }

// path returns a path of up to three segments, or "".
func (g *generator) path() (path string) {
	for range g.random.IntN(4) {
		path += "/" + g.pick("a", "b", "c", "ab")
	}
	return path + g.pick("", "/")
}

// rules returns up to n rules. It leaves out those that are ambiguous together with earlier ones.
func (g *generator) rules(n int) (rules []Rule) {
	for i := range n {
		rule := g.rule(fmt.Sprint(i))
		if _, problems := Compile(append(slices.Clone(rules), rule), []string{"p"}); len(problems) == 0 {
			rules = append(rules, rule)
		}
	}
	return rules
}

func (g *generator) rule(name string) Rule {
	rule := newRule(name, cmp.Or(g.path(), "/"))
	for range g.random.IntN(3) {
		host := g.pick("x.org", "*.org", "*.x.org", "a.x.org", "y")
		if !slices.Contains(rule.Hosts, host) {
			rule.Hosts = append(rule.Hosts, host)
		}
	}
	if g.random.IntN(2) == 0 {
		rule.Methods = []string{g.pick("GET", "POST")}
	}
	for _, header := range []string{"A", "B"} {
		if g.random.IntN(3) == 0 {
			rule.Headers = append(rule.Headers, Header{header, g.pick("", "1", "2")})
		}
	}
	return rule
}

// request returns a request and the values of its headers.
func (g *generator) request() (*Request, map[string]string) {
	values := map[string]string{}
	for _, name := range []string{"A", "B"} {
		if value := g.pick("", "1", "2", "3"); value != "" {
			values[name] = value
		}
	}
	host := g.pick("x.org", "a.x.org", "b.a.x.org", "org", "y", "z")
	path := cmp.Or(g.path(), "/")
	method := g.pick("GET", "POST", "PUT")
	return &Request{Host: host, Path: path, Method: method, Header: func(name string) (string, bool) {
		value, ok := values[name]
		return value, ok
	}}, values
}

// requestFor returns a request that the route matches, and that other routes match only by wildcards or prefixes.
func requestFor(route *Route) *Request {
	q := &Request{Host: "fresh", Path: route.Path, Method: "PROPFIND", Header: func(name string) (string, bool) {
		for _, h := range route.Headers {
			if h.Name == name {
				return cmp.Or(h.Value, "fresh"), true
			}
		}
		return "", false
	}}
	if len(route.Hosts) > 0 {
		q.Host = strings.Replace(route.Hosts[0], "*", "fresh", 1)
	}
	if len(route.Methods) > 0 {
		q.Method = route.Methods[0]
	}
	return q
}

// BenchmarkMatch compares a lookup with that of http.ServeMux with the same patterns.
func BenchmarkMatch(b *testing.B) {
	for _, n := range []int{10, 1000, 10_000} {
		var rules []Rule
		mux := http.NewServeMux()
		for i := range n {
			path := fmt.Sprintf("/area%d/item%d", i%100, i)
			rules = append(rules, newRule(fmt.Sprint(i), path))
			mux.Handle(path+"/", http.NotFoundHandler())
		}
		table := mustCompile(b, rules...)
		requests := make([]*http.Request, 64)
		matches := make([]*Request, 64)
		r := rand.New(rand.NewPCG(1, 1))
		for i := range requests {
			k := r.IntN(n)
			path := fmt.Sprintf("/area%d/item%d/x", k%100, k)
			requests[i], _ = http.NewRequest("GET", "http://example.org"+path, nil)
			matches[i] = &Request{Host: "example.org", Path: path, Method: "GET"}
		}
		b.Run(fmt.Sprintf("routes=%d/table", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if table.Match(matches[i%64]) == nil {
					b.Fatal("no route")
				}
			}
		})
		b.Run(fmt.Sprintf("routes=%d/target+table", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				q := Request{Method: "GET"}
				var err error
				if q.Host, q.Path, err = ParseTarget(matches[i%64].Path, "example.org"); err != nil || table.Match(&q) == nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprintf("routes=%d/ServeMux", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if _, p := mux.Handler(requests[i%64]); p == "" {
					b.Fatal("no route")
				}
			}
		})
	}
}
