package route

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"
)

// to is a rule that goes to pool p.
func to(name, path string, more ...func(*Rule)) Rule {
	r := Rule{Name: name, Path: path, Split: []Share{{"p", 1}}}
	for _, f := range more {
		f(&r)
	}
	return r
}

func hosts(h ...string) func(*Rule)   { return func(r *Rule) { r.Hosts = h } }
func methods(m ...string) func(*Rule) { return func(r *Rule) { r.Methods = m } }
func header(n, v string) func(*Rule) {
	return func(r *Rule) { r.Headers = append(r.Headers, Header{n, v}) }
}
func line(n int) func(*Rule)       { return func(r *Rule) { r.Line = n } }
func pools(s ...Share) func(*Rule) { return func(r *Rule) { r.Split = s } }
func problems(list []*Problem) (s string) {
	for _, p := range list {
		s += p.Error() + "\n"
	}
	return s
}

func compile(t testing.TB, rules ...Rule) *Table {
	t.Helper()
	table, wrong := Compile(rules, []string{"p", "q", "r"})
	if len(wrong) > 0 {
		t.Fatal(problems(wrong))
	}
	return table
}

// matched is the name of the route of "METHOD host/path", with headers as name=value.
func matched(t *Table, request string, headers ...string) string {
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

func TestMostParticularWins(t *testing.T) {
	table := compile(t,
		to("all", "/"),
		to("api", "/api"),
		to("api-v2", "/api/v2"),
		to("api-post", "/api", methods("POST")),
		to("api-beta", "/api", header("X-Beta", "1")),
		to("api-beta-any", "/api", header("X-Beta", "1"), header("X-Team", "")),
		to("sub", "/", hosts("*.example.org")),
		to("subsub", "/", hosts("*.b.example.org")),
		to("exact", "/only", hosts("a.example.org", "c.example.org")),
	)
	for _, c := range []struct {
		request, want string
		headers       []string
	}{
		{"GET x.org/", "all", nil},
		{"GET x.org/apis", "all", nil}, // whole segments
		{"GET x.org/api", "api", nil},
		{"GET x.org/api/", "api", nil},
		{"GET x.org/api/v2/x", "api-v2", nil},
		{"POST x.org/api/v2/x", "api-v2", nil}, // the longer path before the method
		{"POST x.org/api/x", "api-post", nil},
		{"POST x.org/api/x", "api-post", []string{"X-Beta=1"}}, // the method before headers
		{"GET x.org/api/x", "api-beta", []string{"x-beta=1"}},
		{"GET x.org/api/x", "api", []string{"X-Beta=2"}},
		{"GET x.org/api/x", "api-beta-any", []string{"X-Beta=1", "X-Team=any"}},
		{"GET a.example.org/only", "exact", nil},
		{"GET a.example.org/api", "sub", nil}, // the host before the path
		{"GET b.example.org/x", "sub", nil},
		{"GET a.b.example.org/x", "subsub", nil},
		{"GET example.org/x", "all", nil}, // a suffix is of what lies below it
		{"GET notexample.org/x", "all", nil},
	} {
		if got := matched(table, c.request, c.headers...); got != c.want {
			t.Errorf("%s %v: route %q, want %q", c.request, c.headers, got, c.want)
		}
	}
	if got := matched(compile(t, to("a", "/a")), "GET x/b"); got != "" {
		t.Errorf("no route matches, got %q", got)
	}
}

// What can't be served is said with both lines, and all of it at once.
func TestCompileSaysWhatIsWrong(t *testing.T) {
	for _, c := range []struct {
		name  string
		rules []Rule
		want  string
	}{
		{"as particular as another", []Rule{to("a", "/", header("X", ""), line(3)), to("b", "/", header("X", "1"), line(9))}, "alike (line 3)"},
		{"same", []Rule{to("a", "/x", line(3)), to("b", "/x/", line(9))}, `line 9: route "b": a request can match this and route "a" alike (line 3)`},
		{"headers that may meet", []Rule{to("a", "/", header("A", "1"), line(3)), to("b", "/", header("B", "1"), line(9))}, "line 9: route \"b\": a request can match this and route \"a\" alike (line 3)"},
		{"methods that meet", []Rule{to("a", "/", methods("GET", "PUT"), line(3)), to("b", "/", methods("PUT"), line(9))}, "alike (line 3)"},
		{"name", []Rule{to("a", "/x", line(3)), to("a", "/y", line(9))}, `line 9: route "a": the name is taken (line 3)`},
		{"no name", []Rule{to("", "/", line(2))}, "line 2: route \"\": it has no name"},
		{"path", []Rule{to("a", "/x/../y", line(2))}, `line 2: route "a": path "/x/../y": the path can't be matched`},
		{"host", []Rule{to("a", "/", hosts("a..b"), line(2))}, `host "a..b": is no name`},
		{"host with a port", []Rule{to("a", "/", hosts("a:80"), line(2))}, `host "a:80": is no name`},
		{"star inside", []Rule{to("a", "/", hosts("a.*.b"), line(2))}, `host "a.*.b": is no name`},
		{"method", []Rule{to("a", "/", methods("get"), line(2))}, `method "get": is no method`},
		{"pool", []Rule{to("a", "/", pools(Share{"none", 1}), line(2))}, `pool "none": there is none of that name`},
		{"no pool", []Rule{to("a", "/", pools(), line(2))}, "goes to no pool"},
		{"weights", []Rule{to("a", "/", pools(Share{"p", 0}, Share{"q", 0}), line(2))}, "all its weights are 0"},
		{"weight", []Rule{to("a", "/", pools(Share{"p", -1}), line(2))}, "weight -1 is not between 0 and"},
		{"header twice", []Rule{to("a", "/", header("A", "1"), header("a", "2"), line(2))}, `header "a": is there twice`},
	} {
		_, wrong := Compile(c.rules, []string{"p", "q"})
		if got := problems(wrong); c.want == "" && got != "" || !strings.Contains(got, c.want) {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
	_, wrong := Compile([]Rule{to("", "/"), to("b", "x"), to("c", "/", hosts("?"))}, []string{"p"})
	if len(wrong) != 3 {
		t.Errorf("%d problems of 3: %s", len(wrong), problems(wrong))
	}
}

// Paths that one reader takes for another than the next are never matched.
func TestPathTricks(t *testing.T) {
	for path, want := range map[string]string{
		"/":                                 "/",
		"/a/b":                              "/a/b",
		"/a/":                               "/a/",
		"/%61%2D%7e":                        "/a-~",
		"/a%20b%c3%a9":                      "/a%20b%C3%A9",
		"/a;v=1,2":                          "/a;v=1,2",
		"/...":                              "/...",
		"/a%2Eb":                            "/a.b",
		"":                                  "",
		"a":                                 "",
		"*":                                 "",
		"/a/../b":                           "",
		"/a/..":                             "",
		"/./a":                              "",
		"/%2e%2E/a":                         "",
		"/.%2e":                             "",
		"/deep/..;/x":                       "",
		"/deep/.;a=1/x":                     "",
		"/deep/..;x":                        "",
		"/deep/%2e.;/x":                     "",
		"/deep/..%3b/x":                     "",
		"/deep/..a;/x":                      "/deep/..a;/x",
		"//a":                               "",
		"/a//b":                             "",
		"/a%2Fb":                            "",
		"/a%2fb":                            "",
		"/a%5cb":                            "",
		"/a\\b":                             "",
		"/a%00":                             "",
		"/a%0d%0a":                          "",
		"/a%":                               "",
		"/a%4":                              "",
		"/a%zz":                             "",
		"/a b":                              "",
		"/a\x00":                            "",
		"/é":                                "",
		"/a#b":                              "",
		strings.Repeat("/a", maxSegments+1): "",
	} {
		got, err := NormalizePath(path)
		if got != want || (err == nil) != (want != "") {
			t.Errorf("%q: %q, %v, want %q", path, got, err, want)
		}
	}
	for host, want := range map[string]string{
		"Example.ORG": "example.org", "a.b.": "a.b", "a:80": "a", "a:": "a", "[::1]:80": "[::1]", "[::A]": "[::a]", "127.0.0.1:9": "127.0.0.1",
		"": "", ".": "", "a..b": "", ".a": "", "a:b": "", "a:999999": "", "[::1": "", "[x]": "", "a b": "", "a/b": "", "u@h": "", "a%41": "",
		strings.Repeat("a", 254): "",
	} {
		got, err := NormalizeHost(host)
		if got != want || (err == nil) != (want != "") {
			t.Errorf("host %q: %q, %v, want %q", host, got, err, want)
		}
	}
	for _, c := range []struct {
		target, header, host, path string
		err                        error
	}{
		{"/a?x=/../", "H.org:80", "h.org", "/a", nil},
		{"http://h.org:80/a", "H.ORG", "h.org", "/a", nil},
		{"HTTP://h.org", "h.org", "h.org", "/", nil},
		{"http://h.org?q", "h.org", "h.org", "/", nil},
		{"http://other/a", "h.org", "", "", ErrConflictingHosts},
		{"ftp://h.org/a", "h.org", "", "", ErrAmbiguousPath},
		{"h.org:443", "h.org", "", "", ErrAmbiguousPath},
		{"*", "h.org", "", "", ErrAmbiguousPath},
		{"/a", "", "", "", ErrMalformedHost},
		{"http://u:p@h.org/", "h.org", "", "", ErrMalformedHost},
	} {
		host, path, err := ParseTarget(c.target, c.header)
		if !errors.Is(err, c.err) || err == nil && (host != c.host || path != c.path) {
			t.Errorf("%s at %s: %q %q %v, want %q %q %v", c.target, c.header, host, path, err, c.host, c.path, c.err)
		}
	}
}

// slow is the obvious matcher: each rule against the request, the most particular wins.
func slow(routes []*Route, q *Request) *Route {
	var best *Route
	var most [4]int
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
		if best == nil || slices.Compare(score[:], most[:]) > 0 {
			best, most = r, score
		}
	}
	return best
}

// FuzzMatch holds the table against the obvious matcher, over random rules and requests.
func FuzzMatch(f *testing.F) {
	for seed := range uint64(64) {
		f.Add(seed, uint8(20))
	}
	f.Fuzz(func(t *testing.T, seed uint64, n uint8) {
		r := rand.New(rand.NewPCG(seed, 1))
		pick := func(s ...string) string { return s[r.IntN(len(s))] }
		segment := func() string { return "/" + pick("a", "b", "c", "ab") }
		path := func() (p string) {
			for range r.IntN(4) {
				p += segment()
			}
			return p + pick("", "/")
		}
		var rules []Rule
		for i := range int(n) {
			rule := to(fmt.Sprint(i), path())
			if rule.Path == "" {
				rule.Path = "/"
			}
			for range r.IntN(3) {
				if h := pick("x.org", "*.org", "*.x.org", "a.x.org", "y"); !slices.Contains(rule.Hosts, h) {
					rule.Hosts = append(rule.Hosts, h)
				}
			}
			if r.IntN(2) == 0 {
				rule.Methods = []string{pick("GET", "POST")}
			}
			for _, name := range []string{"A", "B"} {
				if r.IntN(3) == 0 {
					rule.Headers = append(rule.Headers, Header{name, pick("", "1", "2")})
				}
			}
			// What is ambiguous beside those there already is left out, as a file would have to.
			if _, wrong := Compile(append(slices.Clone(rules), rule), []string{"p"}); len(wrong) == 0 {
				rules = append(rules, rule)
			}
		}
		table, _ := Compile(rules, []string{"p"})
		for _, route := range table.routes { // each is reached by the request it was made for
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
			if got := table.Match(q); got != route {
				t.Fatalf("seed %d: %+v is not reached by %s %s%s, %+v is", seed, route.Rule, q.Method, q.Host, q.Path, got)
			}
		}
		for range 200 {
			values := map[string]string{}
			for _, name := range []string{"A", "B"} {
				if v := pick("", "1", "2", "3"); v != "" {
					values[name] = v
				}
			}
			q := &Request{Host: pick("x.org", "a.x.org", "b.a.x.org", "org", "y", "z"), Path: path(), Method: pick("GET", "POST", "PUT"),
				Header: func(name string) (string, bool) { v, ok := values[name]; return v, ok }}
			if q.Path == "" {
				q.Path = "/"
			}
			if got, want := table.Match(q), slow(table.routes, q); got != want {
				t.Fatalf("seed %d: %s %s%s %v: %+v, want %+v", seed, q.Method, q.Host, q.Path, values, got, want)
			}
		}
	})
}

// A key goes the same way for good; a change of weights moves the keys of that part only.
func TestSplitIsStable(t *testing.T) {
	split := func(old, new int) *Route {
		return compile(t, to("r", "/", pools(Share{"p", old}, Share{"q", new}))).Routes()[0]
	}
	before, after := split(99, 1), split(95, 5)
	const n = 200_000
	var count [2]int
	moved, back := 0, 0
	for i := range n {
		key := fmt.Sprintf("household-%d", i)
		x, y := before.Pool(key, 0), after.Pool(key, 0)
		count[x]++
		if x != y {
			moved++
			if y == 0 {
				back++
			}
		}
	}
	if p := float64(count[1]) / n; math.Abs(p-0.01) > 0.001 {
		t.Errorf("%.4f go to the pool of 1%%", p)
	}
	if p := float64(moved) / n; math.Abs(p-0.04) > 0.002 || back > 0 {
		t.Errorf("%.4f moved when 1%% became 5%%, %d of them back", p, back)
	}
	// Known answers, so that a change of the hash is seen: keys must not move with a build.
	got := ""
	for i := range 24 {
		got += fmt.Sprint(split(50, 50).Pool(fmt.Sprintf("k%d", i), 0))
	}
	if got != knownSplit {
		t.Errorf("keys go %s, went %s", got, knownSplit)
	}
	// The order in the file does not matter, and a third pool takes from both alike.
	turned := compile(t, to("r", "/", pools(Share{"q", 5}, Share{"p", 95}))).Routes()[0]
	three := compile(t, to("r", "/", pools(Share{"p", 95}, Share{"q", 5}, Share{"r", 100}))).Routes()[0]
	for i := range 2000 {
		key := fmt.Sprint(i)
		if after.Pool(key, 0) == turned.Pool(key, 0) {
			t.Fatalf("key %s goes another way with the pools turned round", key)
		}
		if x, y := after.Pool(key, 0), three.Pool(key, 0); y != 2 && x != y {
			t.Fatalf("key %s moved from %d to %d as a third came", key, x, y)
		}
	}
	// Without a key chance decides.
	r := rand.New(rand.NewPCG(1, 2))
	count = [2]int{}
	for range n {
		count[after.Pool("", r.Uint64())]++
	}
	if p := float64(count[1]) / n; math.Abs(p-0.05) > 0.003 {
		t.Errorf("without a key %.4f go to the pool of 5%%", p)
	}
	if only := compile(t, to("r", "/", pools(Share{"p", 0}, Share{"q", 3}))).Routes()[0]; only.Pool("x", 0) != 1 {
		t.Error("a pool of weight 0 gets something")
	}
}

const knownSplit = "000111011011000011011001"

// Traffic moves as hosts go below what a pool needs, at once; it comes back late and slowly.
func TestFallback(t *testing.T) {
	c := NewChain(DefaultMinShare, DefaultMinShare)
	now := Time(time.Hour)
	share := func() float64 { return c.Shares(now, nil)[0] }
	near := func(what string, got, want float64) {
		t.Helper()
		if math.Abs(got-want) > 0.001 {
			t.Errorf("%s: the first gets %.3f, want %.3f", what, got, want)
		}
	}
	c.SetUsable(now, 0, 10, 10)
	c.SetUsable(now, 1, 4, 4)
	near("all well", share(), 1)
	c.SetUsable(now, 0, 8, 10)
	near("8 of 10 are enough", share(), 1)
	c.SetUsable(now, 0, 5, 10)
	near("5 of 10", share(), 0.7)
	c.SetUsable(now, 0, 0, 10)
	near("none", share(), 0)
	c.SetUsable(now, 0, 10, 10)
	near("back this instant", share(), 0)
	now += settleTime
	near("settled", share(), 0)
	now += returnTime / 2
	near("half way", share(), 0.5)
	c.SetUsable(now, 0, 0, 10)
	near("gone again", share(), 0)
	now += time.Hour
	c.SetUsable(now, 0, 10, 10)
	now += settleTime + returnTime
	near("long after", share(), 1)

	// A host that comes and goes within settleTime moves nothing back.
	c.SetUsable(now, 0, 0, 10)
	moved := false
	for range 50 {
		now += settleTime / 2
		c.SetUsable(now, 0, 10, 10)
		now += settleTime / 2
		c.SetUsable(now, 0, 0, 10)
		moved = moved || share() > 0
	}
	if moved {
		t.Error("traffic flaps with the hosts")
	}

	// Both weak: each gets its part of what they carry. Both gone: the first refuses.
	c.SetUsable(now, 1, 1, 4)
	near("the first gone, the second weak", share(), 0)
	c.SetUsable(now, 1, 0, 4)
	near("both gone", share(), 1)
	d := NewChain(1, 1)
	d.SetUsable(now, 0, 2, 10)
	d.SetUsable(now, 1, 1, 10)
	if s := d.Shares(now, nil); math.Abs(s[0]-2.0/3) > 1e-9 || math.Abs(s[0]+s[1]-1) > 1e-9 {
		t.Errorf("0.2 and 0.1 of what is needed: %v", s)
	}
	if e := NewChain(1); e.Choose(now, 0.999999) != 0 {
		t.Error("a pool of which nothing is known and that has no fallback")
	}
}

// Whatever the news, shares are shares; and of one key the pool moves only as they do.
func TestSharesAlways(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 4))
		c := NewChain(0.3+0.7*r.Float64(), 0.3+0.7*r.Float64(), 1)
		now := Time(time.Hour)
		for range 300 {
			news := r.IntN(3) == 0
			now += time.Duration(r.Int64N(int64(time.Second)))
			if news {
				hosts := r.IntN(12)
				c.SetUsable(now, r.IntN(3), r.IntN(hosts+1), hosts)
			}
			s := c.Shares(now, nil)
			sum := 0.0
			for _, x := range s {
				if x < 0 || x > 1 {
					t.Fatalf("seed %d: shares %v", seed, s)
				}
				sum += x
			}
			if math.Abs(sum-1) > 1e-9 {
				t.Fatalf("seed %d: shares %v", seed, s)
			}
			u := r.Float64()
			if i := c.Choose(now, u); s[i] == 0 {
				t.Fatalf("seed %d: pool %d is chosen with shares %v", seed, i, s)
			}
		}
	}
}

// A budget lets a share of the first tries through, and a floor beside.
func TestBudget(t *testing.T) {
	b := NewBudget(0.2, 1)
	now := Time(time.Hour)
	got, tries := 0, 0
	for range 60_000 { // a minute of 1,000 first tries a second, each failing
		now += time.Millisecond
		b.FirstAttempt(now)
		tries++
		if b.Retry(now) {
			got++
		}
	}
	if want := 0.2*float64(tries) + 60; math.Abs(float64(got)-want) > 40 {
		t.Errorf("%d retries of %d tries, want about %.0f", got, tries, want)
	}
	now += time.Hour
	burst := 0
	for b.Retry(now) {
		burst++
	}
	if burst > 20 {
		t.Errorf("%d retries at once after a quiet hour", burst)
	}
	none := NewBudget(0, 0)
	none.FirstAttempt(now)
	if none.Retry(now) {
		t.Error("a budget of nothing lets one through")
	}
}

// BenchmarkMatch is a look-up beside net/http's, with the same patterns.
func BenchmarkMatch(b *testing.B) {
	for _, n := range []int{10, 1000, 10_000} {
		var rules []Rule
		mux := http.NewServeMux()
		for i := range n {
			path := fmt.Sprintf("/area%d/item%d", i%100, i)
			rules = append(rules, to(fmt.Sprint(i), path))
			mux.Handle(path+"/", http.NotFoundHandler())
		}
		table := compile(b, rules...)
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

// A pool that gets nothing is tried now and then, with what may be sent again; where nothing
// such comes, with anything. It guards against never seeing that a pool is back, and against
// risking more than that.
func TestTrials(t *testing.T) {
	now := Time(time.Hour)
	c := NewChain(1, 1)
	c.SetUsable(now, 0, 4, 4)
	c.SetUsable(now, 1, 4, 4)
	trials := func(span Time, safe func(i int) bool) (n int) {
		for i := range int(span / (10 * time.Millisecond)) {
			now += 10 * time.Millisecond
			if p, ok := c.Trial(now, safe(i)); ok {
				if p != 0 {
					t.Errorf("a trial of pool %d", p)
				}
				n++
			}
		}
		return n
	}
	always := func(bool) func(int) bool { return func(int) bool { return true } }(true)
	never := func(int) bool { return false }
	if n := trials(time.Minute, always); n != 0 {
		t.Errorf("%d trials of a pool that is well", n)
	}
	c.SetUsable(now, 0, 0, 4)
	if n := trials(10*time.Second, always); n < 35 || n > 41 {
		t.Errorf("%d trials in 10 s, one every %v is wanted", n, trialInterval)
	}
	if n := trials(30*time.Second, never); n < 4 || n > 6 {
		t.Errorf("%d trials in 30 s with what may not be sent again, one every %v is wanted", n, idempotentTrialTime)
	}
	c.SetUsable(now, 0, 0, 0)
	if n := trials(10*time.Second, always); n != 0 {
		t.Errorf("%d trials of a pool without hosts", n)
	}
	c.SetUsable(now, 0, 0, 4)
	c.SetUsable(now, 0, 1, 4)
	if n := trials(10*time.Second, always); n != 0 {
		t.Errorf("%d trials of a pool that is on its way back", n)
	}
	single := NewChain(1)
	single.SetUsable(now, 0, 0, 3)
	if _, ok := single.Next(now, 0, true); ok {
		t.Error("a pool by itself leads on")
	}
}

// From a pool that turned it away a request goes on to one behind it that gets something; a
// trial also to one before. It guards against a request that goes round.
func TestNext(t *testing.T) {
	now := Time(time.Hour)
	for _, x := range []struct {
		usable [3]int
		from   int
		trial  bool
		want   int // -1: none
	}{
		{[3]int{0, 3, 3}, 0, false, 1}, {[3]int{0, 0, 3}, 0, false, 2}, {[3]int{3, 0, 0}, 0, false, -1},
		{[3]int{3, 0, 3}, 1, false, 2}, {[3]int{3, 0, 0}, 1, false, -1}, {[3]int{3, 0, 0}, 1, true, 0},
		{[3]int{0, 0, 0}, 0, true, -1}, {[3]int{3, 3, 3}, 2, false, -1},
	} {
		c := NewChain(1, 1, 1)
		for i, n := range x.usable {
			c.SetUsable(now, i, n, 3)
		}
		got, ok := c.Next(now, x.from, x.trial)
		if !ok {
			got = -1
		}
		if got != x.want {
			t.Errorf("%+v: %d", x, got)
		}
	}
}

// Chains of which none carries anything have shares all the same: it guards against parts that
// are no numbers.
func TestNothingAnywhere(t *testing.T) {
	c := NewChain(1, 1)
	c.SetUsable(0, 0, 0, 4)
	c.SetUsable(0, 1, 0, 4)
	if s := c.Shares(time.Second, nil); s[0] != 1 || s[1] != 0 {
		t.Errorf("shares %v", s)
	}
}

// A budget is never above what may be saved up, however many first tries come, and an older
// time takes nothing away and gives nothing.
func TestBudgetBounds(t *testing.T) {
	b := NewBudget(0.5, 0)
	now := Time(time.Hour)
	for range 100_000 {
		b.FirstAttempt(now)
	}
	n := 0
	for b.Retry(now) {
		n++
	}
	if n != 0.5*maxSavedAttempts {
		t.Errorf("%d retries saved up, %v is the most", n, 0.5*maxSavedAttempts)
	}
	f := NewBudget(0, 1)
	f.Retry(now)
	if f.Retry(now - time.Minute); f.Retry(now) {
		t.Error("going back in time has filled it")
	}
	if f.filled != now {
		t.Errorf("its clock went back by %v", now-f.filled)
	}
	if !f.Retry(now + time.Second) {
		t.Error("a second later there is none")
	}
}
