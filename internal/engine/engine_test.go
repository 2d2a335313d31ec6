package engine

import (
	"context"
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/body"
	"dunemoor/internal/discovery"
	"dunemoor/internal/flightrecorder"
	"dunemoor/internal/route"
)

// The tests here run in virtual time, on transports without sockets.

// fake is a Transport whose hosts follow a script. It records what was sent.
type fake struct {
	name   string
	mu     sync.Mutex
	script func(ctx context.Context, host string, x *Request) Result
	sent   map[*Request]int // attempts by request
	total  int
	hosts  map[string]int
	times  map[string][]time.Time // of attempts, by host
}

func newFake(name string, script func(ctx context.Context, host string, x *Request) Result) *fake {
	return &fake{name: name, script: script, sent: map[*Request]int{}, hosts: map[string]int{}, times: map[string][]time.Time{}}
}

func (f *fake) Run(ctx context.Context) { <-ctx.Done() }

func (f *fake) Host(id string) Endpoint { return &fakeHost{f: f, id: id} }

func (f *fake) is(script func(ctx context.Context, host string, x *Request) Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.script = script
}

func (f *fake) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.total
}

// of returns how often a request was sent.
func (f *fake) of(x *Request) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sent[x]
}

type fakeHost struct {
	f  *fake
	id string
}

func (h *fakeHost) Update(string, int64, bool) {}
func (h *fakeHost) CloseIdle()                 {}
func (h *fakeHost) Attempt(ctx context.Context, x *Request) Result {
	h.f.mu.Lock()
	h.f.sent[x]++
	h.f.total++
	h.f.hosts[h.id]++
	h.f.times[h.id] = append(h.f.times[h.id], time.Now())
	script := h.f.script
	h.f.mu.Unlock()
	return script(ctx, h.id, x)
}

// says responds with a status after a time.
func says(status int, after time.Duration) func(context.Context, string, *Request) Result {
	return func(ctx context.Context, host string, _ *Request) Result {
		select {
		case <-time.After(after):
			return Result{HasResponse: true, Response: Response{Kind: Served, Status: status, Body: body.NewBuffered([]byte(host))}}
		case <-ctx.Done():
			if ctx.Err() == context.DeadlineExceeded {
				return Ended(balancer.TimedOut)
			}
			return Ended(balancer.Canceled)
		}
	}
}

// ends ends attempts without a response.
func ends(outcome balancer.Result) func(context.Context, string, *Request) Result {
	return func(context.Context, string, *Request) Result {
		time.Sleep(time.Millisecond)
		return Ended(outcome)
	}
}

const (
	look = iota
	book
	report
)

// world is an engine in virtual time.
type world struct {
	*testing.T
	*Engine
	cancel context.CancelFunc
	ended  map[string]int // pools that were stopped
}

func inWorld(t *testing.T, f func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := &world{T: t, Engine: New(5), cancel: cancel, ended: map[string]int{}}
		go w.Engine.Run(ctx)
		defer w.Wait(time.Minute) // also where f ends the test
		defer cancel()
		f(w)
	})
}

var testClasses = []balancer.Class{
	{LatencyObjective: time.Second, Deadline: 4 * time.Second},
	{LatencyObjective: time.Second, Deadline: 4 * time.Second, Idempotency: balancer.NonIdempotent, PriorityWeight: 5},
	{LatencyObjective: time.Second, Deadline: 4 * time.Second, Idempotency: balancer.IdempotentWithKey, DedupScope: balancer.ScopeCell, DedupWindow: 2500 * time.Millisecond, PriorityWeight: 2},
}

func members(n int, started time.Time) discovery.MemberList {
	list := discovery.MemberList{Full: true}
	for i := range n {
		m := discovery.Member{ID: fmt.Sprintf("h-%d", i), Addr: "127.0.0.1:9", State: "ready", Cell: i / 3}
		if !started.IsZero() {
			m.StartedMS = started.UnixMilli()
		}
		list.Servers = append(list.Servers, m)
	}
	return list
}

// pool returns a pool of n hosts, none of them warming up.
func (w *world) pool(f *fake, n int) *Pool {
	w.Helper()
	p, err := w.NewPool(PoolConfig{
		Name: f.name, Transport: f, Seed: 3, Stop: func() { w.ended[f.name]++ },
		Settings: balancer.Settings{
			Instances: 1, Classes: testClasses, Step: 5 * time.Millisecond, MaxAttempts: 4, Cancel: true, MaxRetryAfter: 5 * time.Second,
			SlowStartShare: 0.4, SlowStartWindow: 6 * time.Second, OverloadFactor: 2.5, OverloadWindow: 1500 * time.Millisecond,
		},
	})
	if err != nil {
		w.Fatal(err)
	}
	p.UpdateEndpoints(balancer.ListFull, members(n, time.Time{}))
	return p
}

// testRoute returns a route of the platform's protocol, or a plain one.
func testRoute(plain bool) *Route {
	r := &Route{Name: "r", Classes: testClasses, Classify: func(a *Response) balancer.Result {
		return route.ClassifyProtocol(a.Status, a.Header.Get("X-Not-Processed") == "1")
	}}
	if plain {
		r.ForwardsFailures, r.Plain = true, &Plain{Class: look, NonIdempotentClass: book, Timeout: 4 * time.Second}
		r.Classify = func(a *Response) balancer.Result {
			return route.ClassifyPlain(a.Status, false, route.DefaultFailureStatuses)
		}
	}
	return r
}

// use puts a Snapshot of one route into use: the first pool, with the others as fallback.
func (w *world) use(r *Route, retry *Retries, pools ...*Pool) *Snapshot {
	uses := []PoolUse{{Pool: pools[0], MinShare: route.DefaultMinShare}}
	for _, p := range pools[1:] {
		uses[0].Fallback = append(uses[0].Fallback, p.Name)
		uses = append(uses, PoolUse{Pool: p, MinShare: route.DefaultMinShare})
	}
	var retries []Retries
	if retry != nil {
		retries = []Retries{*retry}
	}
	rules := []route.Rule{{Name: "r", Split: []route.Share{{Pool: pools[0].Name, Weight: 1}}}}
	table, wrong := route.Compile(rules, []string{pools[0].Name})
	if len(wrong) > 0 {
		w.Fatal(wrong[0])
	}
	plan := w.NewSnapshot(table, []*Route{r}, retries, uses...)
	w.Use(plan)
	return plan
}

// ask makes a request on the Snapshot in use, and waits for its response.
func (w *world) ask(class int) (*Request, Response) {
	plan := w.Snapshot()
	defer plan.Release()
	x := &Request{Method: "GET", Target: "/", Route: plan.routes[0], Class: class, Deadline: time.Now().Add(testClasses[class].Deadline)}
	a, there := w.Do(context.Background(), x)
	if !there {
		w.Error("no answer though the client waits")
	}
	return x, a
}

// tally counts what became of requests.
type tally struct {
	mu      sync.Mutex
	kinds   map[Kind]int
	slowest time.Duration
	advised int
}

// load makes requests at a rate for a time, and waits for all responses.
func (w *world) load(rate int, span time.Duration, class func(i int) int) *tally {
	t := &tally{kinds: map[Kind]int{}}
	var all sync.WaitGroup
	every := time.Second / time.Duration(rate)
	for i := range int(span / every) {
		time.Sleep(every)
		all.Go(func() {
			began := time.Now()
			_, a := w.ask(class(i))
			t.mu.Lock()
			defer t.mu.Unlock()
			t.kinds[a.Kind]++
			if a.Kind == Rejected {
				t.slowest = max(t.slowest, time.Since(began))
				if a.RetryAfter > 0 {
					t.advised++
				}
			}
			a.Release()
		})
	}
	all.Wait()
	return t
}

func mixed(i int) int {
	return []int{look, look, look, look, book, book, book, report, look, report}[i%10]
}

// A request that may have run in one pool never goes to a fallback: hosts there do not know it, and would run it
// again.
func TestWhatMayHaveRunStaysInItsPool(t *testing.T) {
	for _, outcome := range []balancer.Result{balancer.Reset, balancer.TimedOut, balancer.InvalidResponse, balancer.Canceled} {
		for _, class := range []int{book, report} {
			inWorld(t, func(w *world) {
				a, b := newFake("a", ends(outcome)), newFake("b", says(200, time.Millisecond))
				w.use(testRoute(false), nil, w.pool(a, 3), w.pool(b, 3))
				for range 20 {
					if x, _ := w.ask(class); b.of(x) > 0 && a.of(x) > 0 {
						t.Errorf("%v, class %d: sent %d times to the one and %d to the other", outcome, class, a.of(x), b.of(x))
					}
				}
				if a.total == 0 {
					t.Error("nothing went to the first pool")
				}
			})
		}
	}
}

// Where connections to a whole pool are refused nothing has run, so each request fails over to the next one, once,
// with four attempts at most in all.
func TestRefusedConnectionsFailOver(t *testing.T) {
	inWorld(t, func(w *world) {
		a, b := newFake("a", ends(balancer.ConnectFailed)), newFake("b", says(200, time.Millisecond))
		w.use(testRoute(false), nil, w.pool(a, 3), w.pool(b, 3))
		served := 0
		for i := range 200 {
			x, answer := w.ask(mixed(i))
			if answer.Kind == Served {
				served++
			}
			if n := a.of(x) + b.of(x); n > MaxAttempts || b.of(x) > 1 {
				t.Fatalf("%d attempts, %d of them in the second pool", n, b.of(x))
			}
			time.Sleep(10 * time.Millisecond)
		}
		if served < 190 {
			t.Errorf("%d of 200 served", served)
		}
	})
	inWorld(t, func(w *world) { // both pools are down: refused at once, with advice, never sent a fifth time
		a, b := newFake("a", ends(balancer.ConnectFailed)), newFake("b", ends(balancer.ConnectFailed))
		w.use(testRoute(false), nil, w.pool(a, 3), w.pool(b, 3))
		for i := range 100 {
			began := time.Now()
			x, answer := w.ask(mixed(i))
			if took := time.Since(began); answer.Kind != Rejected || answer.RetryAfter == 0 || took > 250*time.Millisecond {
				t.Errorf("response %d after %v, Retry-After %v", answer.Kind, took, answer.RetryAfter)
			}
			if n := a.of(x) + b.of(x); n > MaxAttempts {
				t.Errorf("%d attempts", n)
			}
		}
	})
}

// Rejections of a pool that is full stand: it guards against overloading the next one with what the first could not
// take.
func TestFullPoolDoesNotSpill(t *testing.T) {
	inWorld(t, func(w *world) {
		full := func(context.Context, string, *Request) Result { return Ended(balancer.Full) }
		a, b := newFake("a", full), newFake("b", says(200, time.Millisecond))
		w.use(testRoute(false), nil, w.pool(a, 3), w.pool(b, 3))
		w.load(100, 2*time.Second, func(int) int { return book })
		first := a.count()
		if first == 0 {
			t.Fatal("nothing went to the first pool")
		}
		if n := b.count(); n > first/20 {
			t.Errorf("%d attempts at the pool that is full, %d spilled over", first, n)
		}
	})
}

// The first pool fails whole under load and comes back; the hosts of its fallback are warming up. No non-idempotent
// request runs twice, rejections come at once with Retry-After, the warming hosts are not overloaded, and traffic
// goes back once.
func TestWholePoolFails(t *testing.T) {
	inWorld(t, func(w *world) {
		const rate = 100
		a, b := newFake("a", says(200, 20*time.Millisecond)), newFake("b", says(200, 20*time.Millisecond))
		pa, pb := w.pool(a, 8), w.pool(b, 2)
		w.use(testRoute(false), nil, pa, pb)
		if got := w.load(rate, 5*time.Second, mixed); got.kinds[Served] != 5*rate || b.count() != 0 {
			t.Fatalf("while all is well: %v, %d went to the second pool", got.kinds, b.count())
		}
		a.is(ends(balancer.ConnectFailed))
		pb.UpdateEndpoints(balancer.ListFull, members(2, time.Now()))
		got := w.load(rate, 6*time.Second, mixed)
		if got.slowest > 250*time.Millisecond || got.advised != got.kinds[Rejected] || got.kinds[Failed] > 0 {
			t.Errorf("rejections took up to %v, %d of %d with Retry-After; %v", got.slowest, got.advised, got.kinds[Rejected], got.kinds)
		}
		// A host carries an eighth of the load and what a pool needs beyond it. A warming one starts with 0.4 of that
		// and is overloaded by 2.5 times what it can do, kept up for 1.5 s.
		const most = 26 // of 25.2: 100 / 8 x 1.4 x 0.4 x 2.5 x 1.5
		for id, times := range b.times {
			for i := range times {
				n := 0
				for _, at := range times[i:] {
					if at.Sub(times[i]) < 1500*time.Millisecond {
						n++
					}
				}
				if n > most {
					t.Fatalf("warming host %s has had %d attempts in 1.5 s, %d overload it", id, n, most)
				}
			}
		}
		if got := w.load(rate, 3*time.Second, mixed); got.kinds[Served] < 3*rate*95/100 {
			t.Errorf("with the second pool warm: %v", got.kinds)
		}
		a.is(says(200, 20*time.Millisecond))
		// Which pool serves, second by second: it must change once, in steps.
		before, turned, last := b.count(), 0, -1
		for range 40 {
			w.load(rate, time.Second, mixed)
			n := b.count() - before
			before = b.count()
			if last >= 0 && n > last+rate/4 {
				turned++
			}
			last = n
		}
		if last != 0 || turned > 0 {
			t.Errorf("at the end %d a second still go to the second pool; %d times traffic went there again", last, turned)
		}
		for _, f := range []*fake{a, b} {
			for x, n := range f.sent {
				if x.Class == book && n > 1 && f == b {
					t.Errorf("a non-idempotent request was sent %d times in %s", n, f.name)
				}
			}
		}
	})
}

// 200 requests are in flight at a reload that removes their pool: each ends there, the pool is closed with the last of
// them, once, and new requests go to the new pool.
func TestReloadUnderLoad(t *testing.T) {
	inWorld(t, func(w *world) {
		release := make(chan struct{})
		a, b := newFake("a", func(context.Context, string, *Request) Result {
			<-release
			return Result{HasResponse: true, Response: Response{Kind: Served, Status: 200}}
		}), newFake("b", says(200, time.Millisecond))
		pa := w.pool(a, 120)
		w.use(testRoute(false), nil, pa)
		var all sync.WaitGroup
		var served [2]int
		var mu sync.Mutex
		ask := func(i int) {
			all.Go(func() {
				if _, got := w.ask(look); got.Kind == Served {
					mu.Lock()
					served[i]++
					mu.Unlock()
				}
			})
		}
		for range 200 {
			ask(0)
			time.Sleep(100 * time.Microsecond)
		}
		synctest.Wait()
		if n := pa.OpenRequests(); n != 200 {
			t.Fatalf("%d in flight", n)
		}
		held := w.Snapshot() // a client whose body is still coming
		pb := w.pool(b, 6)
		w.use(testRoute(false), nil, pb)
		for range 50 {
			ask(1)
			time.Sleep(time.Millisecond)
		}
		synctest.Wait()
		if served[1] != 50 || b.count() != 50 || w.ended["a"] != 0 {
			t.Errorf("after the reload: %d served, %d by the new pool, the old one ended %d times", served[1], b.count(), w.ended["a"])
		}
		close(release)
		all.Wait()
		synctest.Wait()
		if served[0] != 200 || w.ended["a"] != 0 {
			t.Errorf("of those in flight %d were served; the pool ended %d times while a request may still come to it", served[0], w.ended["a"])
		}
		x := &Request{Method: "GET", Target: "/", Route: held.routes[0], Class: look, Deadline: time.Now().Add(time.Second)}
		if got, _ := w.Do(context.Background(), x); got.Kind != Served || a.of(x) != 1 {
			t.Errorf("the last request on the old Snapshot: %+v", got)
		}
		held.Release()
		synctest.Wait()
		if w.ended["a"] != 1 || w.ended["b"] != 0 {
			t.Errorf("pools ended: %v", w.ended)
		}
		done := make(chan struct{})
		w.post(func(balancer.Time) {
			if len(w.pools) != 1 || len(w.superseded) != 0 || len(w.requests) != 0 {
				t.Errorf("left behind: %d pools, %d Snapshots, %d requests", len(w.pools), len(w.superseded), len(w.requests))
			}
			close(done)
		})
		<-done
	})
}

// A pool that is made while requests leave the old Snapshot is there for the next: it guards against its being swept
// with the rest.
func TestNewPoolIsNotSwept(t *testing.T) {
	inWorld(t, func(w *world) {
		w.use(testRoute(false), nil, w.pool(newFake("a", says(200, 0)), 3))
		held := w.Snapshot()
		w.use(testRoute(false), nil, w.pool(newFake("b", says(200, 0)), 3))
		c := w.pool(newFake("c", says(200, 0)), 3)
		held.Release()
		synctest.Wait()
		w.use(testRoute(false), nil, c)
		if _, got := w.ask(look); got.Kind != Served {
			t.Errorf("the new pool: %+v", got)
		}
		d := w.pool(newFake("d", says(200, 0)), 3) // a reload that fails drops what it has made
		w.DropUnused()
		synctest.Wait()
		if w.ended["a"] != 1 || w.ended["b"] != 1 || w.ended["c"] != 0 || w.ended["d"] != 1 || d.OpenRequests() != 0 {
			t.Errorf("ended: %v", w.ended)
		}
	})
}

// A Snapshot that changes nothing keeps the state: it guards against a reload that gives a dead pool its traffic back,
// or fills a spent budget.
func TestSnapshotsAdoptState(t *testing.T) {
	inWorld(t, func(w *world) {
		a, b := newFake("a", ends(balancer.ConnectFailed)), newFake("b", says(200, time.Millisecond))
		pa, pb := w.pool(a, 4), w.pool(b, 4)
		old := w.use(testRoute(false), &Retries{Share: 0.2, Floor: 1}, pa, pb)
		w.load(100, 3*time.Second, mixed)
		before := a.count()
		next := w.use(testRoute(false), &Retries{Share: 0.2, Floor: 1}, pa, pb)
		w.load(100, time.Second, mixed)
		if n := a.count() - before; n > 8 {
			t.Errorf("%d attempts at the dead pool in the second after the reload", n)
		}
		if next.routes[0].budget != old.routes[0].budget || next.chains[0].state != old.chains[0].state {
			t.Error("budget or failover chain begin anew though nothing has changed")
		}
		other := w.use(testRoute(false), &Retries{Share: 0.5, Floor: 1}, pa, pb)
		if other.routes[0].budget == next.routes[0].budget {
			t.Error("a budget of other figures keeps the old state")
		}
	})
}

// Retries stay within the route's budget however many attempts fail, and each request has its response.
func TestRetryBudgetHolds(t *testing.T) {
	for _, retry := range []Retries{{0, 0}, {0.2, 1}, {3, 0}} {
		inWorld(t, func(w *world) {
			f := newFake("a", says(500, time.Millisecond))
			w.use(testRoute(false), &retry, w.pool(f, 6))
			got := w.load(50, 20*time.Second, func(int) int { return look })
			tries := len(f.sent)
			retries := f.total - tries
			most := retry.Share*float64(tries) + 20*retry.Floor + max(1, retry.Floor)
			if float64(retries) > most {
				t.Errorf("%+v: %d retries of %d attempts, %.0f at most", retry, retries, tries, most)
			}
			if retry.Share > 0 && float64(retries) < most/4 {
				t.Errorf("%+v: only %d retries of %d attempts", retry, retries, tries)
			}
			if n := got.kinds[Rejected] + got.kinds[Failed]; n != 1000 {
				t.Errorf("%+v: responses %v", retry, got.kinds)
			}
		})
	}
}

// On a plain route the client gets a host's response: one that is no failure at once, and the last failure when there
// is no other attempt.
func TestPlainRouteForwardsFailures(t *testing.T) {
	for _, c := range []struct {
		status, class, attempts int
	}{
		{200, look, 1}, {201, book, 1}, {204, look, 1}, {301, look, 1}, {304, look, 1}, {404, look, 1}, {418, book, 1},
		{500, look, 4}, {503, look, 4}, {503, book, 1}, {429, book, 1}, {599, book, 1},
	} {
		inWorld(t, func(w *world) {
			var freed atomic.Int64
			f := newFake("a", func(context.Context, string, *Request) Result {
				return Result{HasResponse: true, Response: Response{Kind: Served, Status: c.status, Free: func() { freed.Add(1) }}}
			})
			w.use(testRoute(true), nil, w.pool(f, 6))
			x, got := w.ask(c.class)
			got.Release()
			synctest.Wait()
			if got.Kind != Served || got.Status != c.status || f.of(x) != c.attempts {
				t.Errorf("%d: responded %+v after %d attempts, want %d", c.status, got, f.of(x), c.attempts)
			}
			if freed.Load() != int64(c.attempts) {
				t.Errorf("%d: %d responses of %d were released", c.status, freed.Load(), c.attempts)
			}
		})
	}
}

// A burst of 404s does not eject a host; a burst of 500s does.
func TestNotFoundEjectsNobody(t *testing.T) {
	for status, shunned := range map[int]bool{404: false, 500: true} {
		inWorld(t, func(w *world) {
			f := newFake("a", func(ctx context.Context, host string, x *Request) Result {
				if host == "h-0" {
					return says(status, 5*time.Millisecond)(ctx, host, x)
				}
				return says(200, 5*time.Millisecond)(ctx, host, x)
			})
			w.use(testRoute(true), nil, w.pool(f, 3))
			w.load(100, 5*time.Second, func(int) int { return look })
			if n := f.hosts["h-0"]; (n < 50) != shunned {
				t.Errorf("%d: the host had %d of 500 requests", status, n)
			}
		})
	}
}

// A response that nobody waits for is released, and so is one that a better one replaced: it guards the memory that
// large responses hold.
func TestResponsesAreReleased(t *testing.T) {
	inWorld(t, func(w *world) {
		var freed atomic.Int64
		f := newFake("a", func(context.Context, string, *Request) Result {
			time.Sleep(time.Second)
			return Result{HasResponse: true, Response: Response{Kind: Served, Status: 200, Free: func() { freed.Add(1) }}}
		})
		p := w.pool(f, 3)
		w.use(testRoute(false), nil, p)
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		defer cancel()
		plan := w.Snapshot()
		x := &Request{Route: plan.routes[0], Class: look, Deadline: time.Now().Add(4 * time.Second)}
		if _, there := w.Do(ctx, x); there {
			t.Error("a response after the client has gone")
		}
		plan.Release()
		time.Sleep(2 * time.Second)
		if freed.Load() != 1 || p.OpenRequests() != 0 {
			t.Errorf("%d responses were released, %d requests are kept", freed.Load(), p.OpenRequests())
		}
	})
}

// A request whose client had gone when it was read is not begun, and its memory is returned.
func TestClientGoneBeforeItsRequestIsRead(t *testing.T) {
	inWorld(t, func(w *world) {
		f := newFake("a", says(200, time.Second))
		p := w.pool(f, 3)
		plan := w.use(testRoute(false), nil, p)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		done := 0
		x := &Request{Method: "GET", Target: "/", Route: plan.routes[0], Deadline: time.Now().Add(time.Second), Done: func() { done++ }}
		if _, there := w.Do(ctx, x); there {
			t.Error("it has a response")
		}
		if synctest.Wait(); f.count() != 0 || done != 1 || p.OpenRequests() != 0 {
			t.Errorf("%d attempts, released %d times, %d open", f.count(), done, p.OpenRequests())
		}
	})
}

// leavingAfter is a Balancer whose client leaves right after the end of an attempt.
type leavingAfter struct {
	flightrecorder.Balancer
	leave func()
}

func (m leavingAfter) AttemptEnded(now balancer.Time, o balancer.Outcome) {
	m.Balancer.AttemptEnded(now, o)
	m.leave()
}

// A client leaves while the end of an attempt is handled, which calls for another: the request is kept until its leaving
// is handled too. It guards against an attempt of a request that was forgotten, which ends the process.
func TestClientLeavesAsItsAttemptEnds(t *testing.T) {
	inWorld(t, func(w *world) {
		f := newFake("a", ends(balancer.Full))
		p := w.pool(f, 3)
		plan := w.use(testRoute(false), nil, p)
		ctx, leave := context.WithCancel(context.Background())
		x := &Request{Method: "GET", Target: "/", Route: plan.routes[0], Class: look, Deadline: time.Now().Add(time.Second)}
		p.do(func(balancer.Time) {
			p.balancer = leavingAfter{p.balancer, func() {
				leave()
				for !x.Finished() {
					runtime.Gosched() // it is finished by a goroutine of its own
				}
			}}
		})
		if _, there := w.Do(ctx, x); there {
			t.Error("it has a response")
		}
		time.Sleep(time.Second) // the attempt that was begun, which the fake host does not call off, ends
		if synctest.Wait(); p.OpenRequests() != 0 {
			t.Errorf("%d open", p.OpenRequests())
		}
	})
}

// A retry of a request with an idempotency key has the end of its window, counted from the first attempt that may have
// run, and is not sent after it. An idempotent request may be retried at any time.
func TestRetryIsSentWithinItsWindow(t *testing.T) {
	inWorld(t, func(w *world) {
		var by []time.Time
		f := newFake("a", nil)
		f.is(func(_ context.Context, _ string, x *Request) Result {
			by = append(by, x.WriteBy)
			if len(by)%2 == 1 {
				time.Sleep(time.Second)
				return Ended(balancer.Reset)
			}
			if time.Sleep(1400 * time.Millisecond); x.MayWrite() { // a dial that is slow
				return Result{HasResponse: true, Response: Response{Kind: Served, Status: 200}}
			}
			return Ended(balancer.NotSent)
		})
		w.use(testRoute(false), nil, w.pool(f, 3))
		for _, tt := range []struct {
			class  int
			closes time.Duration
		}{{report, testClasses[report].DedupWindow - 10*time.Millisecond}, {look, 0}} {
			by = nil
			began := time.Now()
			_, a := w.ask(tt.class)
			if a.Kind != Served || len(by) != 2 || !by[0].IsZero() || by[1].IsZero() != (tt.closes == 0) || tt.closes > 0 && by[1].Sub(began) != tt.closes {
				t.Errorf("class %d: %+v, by %v", tt.class, a, by)
			}
		}
		f.is(func(_ context.Context, _ string, x *Request) Result {
			if x.WriteBy.IsZero() {
				time.Sleep(time.Second)
				return Ended(balancer.Reset)
			}
			if time.Sleep(1500 * time.Millisecond); x.MayWrite() {
				t.Error("a retry may be sent after its window")
			}
			return Ended(balancer.NotSent)
		})
		if _, a := w.ask(report); a.Kind != Failed {
			t.Errorf("%+v", a)
		}
	})
}

// endless is a body of which one byte has arrived, and no other will.
type endless struct{ closed chan struct{} }

func (s *endless) Read([]byte) (int, error) { <-s.closed; return 0, body.ErrConsumed }
func (s *endless) Trailer() http.Header     { return nil }
func (s *endless) Close(bool)               { close(s.closed) }

// Once the gateway ends all responses are due by its deadline: of attempts at hosts that do not respond, of requests
// whose body is incomplete, and of later requests. The balancer knows, and rejects what can be sent elsewhere.
func TestShutdownDeadlineHoldsForAll(t *testing.T) {
	inWorld(t, func(w *world) {
		f := newFake("a", says(200, time.Hour))
		p := w.pool(f, 3)
		w.use(testRoute(false), nil, p)
		began, most := time.Now(), time.Second
		var all sync.WaitGroup
		ask := func(what string, class int, b body.Body, want Kind) {
			all.Go(func() {
				plan := w.Snapshot()
				defer plan.Release()
				x := &Request{Method: "POST", Route: plan.routes[0], Class: class, Body: b, Deadline: time.Now().Add(4 * time.Second)}
				a, there := w.Do(context.Background(), x)
				if took := time.Since(began); !there || a.Kind != want || took > most || took < most/2 {
					t.Errorf("%s: %t, kind %d, want %d, after %v", what, there, a.Kind, want, took)
				}
			})
		}
		ask("safe", look, body.Body{}, Rejected)
		ask("unsafe", book, body.Body{}, Failed)
		slow := body.NewStream(&endless{make(chan struct{})}, 1<<20)
		ask("on its way", book, body.NewStreamed([]byte("x"), slow), Failed)
		synctest.Wait()
		w.Stop(began.Add(most))
		ask("behind", look, body.Body{}, Rejected)
		all.Wait()
		slow.Close()
		if synctest.Wait(); p.OpenRequests() != 0 {
			t.Errorf("%d requests are kept", p.OpenRequests())
		}
	})
}

// The client has its one response in time even if the loop is stuck, and nothing is sent after it.
func TestResponseWhenTheLoopIsLate(t *testing.T) {
	inWorld(t, func(w *world) {
		var late []string // written by an attempt, read when all have ended
		f := newFake("a", nil)
		f.is(func(_ context.Context, host string, x *Request) Result {
			if x.Finished() {
				late = append(late, host) // a transport looks again, and sends nothing
				return Ended(balancer.NotSent)
			}
			return says(200, 0)(context.Background(), host, x)
		})
		p := w.pool(f, 3)
		w.use(testRoute(false), nil, p)
		stuck := make(chan struct{})
		w.post(func(balancer.Time) { <-stuck })
		began := time.Now()
		if _, got := w.ask(look); got.Kind != Failed || time.Since(began) > 4*time.Second {
			t.Errorf("response %+v after %v", got, time.Since(began))
		}
		close(stuck)
		synctest.Wait()
		if p.OpenRequests() != 0 || len(late) != f.total {
			t.Errorf("%d requests are kept; %d attempts, %d of them knew that it was finished", p.OpenRequests(), f.total, len(late))
		}
	})
}

// A pool without hosts rejects at once, with Retry-After, and is not ready.
func TestPoolWithoutHosts(t *testing.T) {
	inWorld(t, func(w *world) {
		f := newFake("a", says(200, 0))
		p := w.pool(f, 0)
		w.use(testRoute(false), nil, p)
		for what, list := range map[string]discovery.MemberList{
			"no member": {Full: true}, "all draining": {Full: true, Servers: []discovery.Member{{ID: "h-1", Addr: "127.0.0.1:9", State: "draining"}}},
		} {
			p.UpdateEndpoints(balancer.ListFull, list)
			for class := range testClasses {
				began := time.Now()
				if _, got := w.ask(class); got.Kind != Rejected || got.RetryAfter == 0 || time.Since(began) > 250*time.Millisecond {
					t.Errorf("%s: %+v after %v", what, got, time.Since(began))
				}
			}
			if p.Ready() || f.total > 0 {
				t.Errorf("%s: ready %t, %d attempts", what, p.Ready(), f.total)
			}
		}
		p.UpdateEndpoints(balancer.ListFull, members(1, time.Time{}))
		if _, got := w.ask(look); got.Kind != Served || !p.Ready() {
			t.Errorf("with a host: %+v", got)
		}
	})
}

// The shares of a split hold in the engine, and a key stays at one pool.
func TestSplitKeepsKeys(t *testing.T) {
	inWorld(t, func(w *world) {
		a, b := newFake("a", says(200, 0)), newFake("b", says(200, 0))
		pa, pb := w.pool(a, 3), w.pool(b, 3)
		rules := []route.Rule{{Name: "r", SplitBy: "X-Household", Split: []route.Share{{Pool: "a", Weight: 90}, {Pool: "b", Weight: 10}}}}
		table, wrong := route.Compile(rules, []string{"a", "b"})
		if len(wrong) > 0 {
			t.Fatal(wrong[0])
		}
		r := testRoute(true)
		w.Use(w.NewSnapshot(table, []*Route{r}, nil, PoolUse{Pool: pa, MinShare: 1}, PoolUse{Pool: pb, MinShare: 1}))
		if r.SplitBy() != "X-Household" {
			t.Errorf("split by %q", r.SplitBy())
		}
		went := map[string]string{}
		for i := range 1000 {
			x := &Request{Route: r, Class: look, Deadline: time.Now().Add(time.Second)}
			if i%2 == 0 {
				x.Key = fmt.Sprint("household ", i%50)
			}
			if got, _ := w.Do(context.Background(), x); got.Kind != Served {
				t.Fatal(got)
			}
			pool := strings.Repeat("a", a.of(x)) + strings.Repeat("b", b.of(x))
			if old := went[x.Key]; x.Key != "" && old != "" && old != pool {
				t.Errorf("%s went to %s and to %s", x.Key, old, pool)
			}
			went[x.Key] = pool
		}
		if b.total < 30 || b.total > 220 {
			t.Errorf("%d of 1000 went to the pool of a tenth", b.total)
		}
	})
}
