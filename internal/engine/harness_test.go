package engine

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/body"
	"dunemoor/internal/discovery"
	"dunemoor/internal/route"
	"dunemoor/internal/testutil"
)

// The tests of this package run in virtual time, on transports without sockets.

// script returns the result of an attempt at a host.
type script func(ctx context.Context, host string, request *Request) Result

// scriptedTransport is a Transport whose hosts follow a script. It records the attempts.
type scriptedTransport struct {
	name string

	mu             sync.Mutex
	script         script
	attempts       map[*Request]int
	total          int
	attemptsByHost map[string]int
	attemptTimes   map[string][]time.Time // times of the attempts, by host
}

func newScriptedTransport(name string, script script) *scriptedTransport {
	return &scriptedTransport{
		name:           name,
		script:         script,
		attempts:       map[*Request]int{},
		attemptsByHost: map[string]int{},
		attemptTimes:   map[string][]time.Time{},
	}
}

func (s *scriptedTransport) Run(ctx context.Context) { <-ctx.Done() }

func (s *scriptedTransport) Host(id string) Endpoint {
	return &scriptedEndpoint{transport: s, host: id}
}

// setScript replaces the script for later attempts.
func (s *scriptedTransport) setScript(script script) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.script = script
}

// attemptCount returns the number of attempts at all hosts.
func (s *scriptedTransport) attemptCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// attemptsOf returns the number of attempts of a request.
func (s *scriptedTransport) attemptsOf(request *Request) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.attempts[request]
}

// scriptedEndpoint is a host of a scriptedTransport.
type scriptedEndpoint struct {
	transport *scriptedTransport
	host      string
}

func (e *scriptedEndpoint) Update(string, int64, bool) {}
func (e *scriptedEndpoint) CloseIdle()                 {}

func (e *scriptedEndpoint) Attempt(ctx context.Context, request *Request) Result {
	s := e.transport
	s.mu.Lock()
	s.attempts[request]++
	s.total++
	s.attemptsByHost[e.host]++
	s.attemptTimes[e.host] = append(s.attemptTimes[e.host], time.Now())
	script := s.script
	s.mu.Unlock()
	return script(ctx, e.host, request)
}

// respondWith returns a script that responds with a status after a delay.
func respondWith(status int, delay time.Duration) script {
	return func(ctx context.Context, host string, _ *Request) Result {
		select {
		case <-time.After(delay):
			return Result{HasResponse: true, Response: Response{Kind: Served, Status: status, Body: body.NewBuffered([]byte(host))}}
		case <-ctx.Done():
			if ctx.Err() == context.DeadlineExceeded {
				return Ended(balancer.TimedOut)
			}
			return Ended(balancer.Canceled)
		}
	}
}

// endWith returns a script that ends each attempt without a response, after a millisecond.
func endWith(outcome balancer.Result) script {
	return func(context.Context, string, *Request) Result {
		time.Sleep(time.Millisecond)
		return Ended(outcome)
	}
}

// Indexes into testClasses.
const (
	classIdempotent = iota
	classNonIdempotent
	classWithKey
)

var testClasses = []balancer.Class{
	{LatencyObjective: time.Second, Deadline: 4 * time.Second},
	{LatencyObjective: time.Second, Deadline: 4 * time.Second, Idempotency: balancer.NonIdempotent, PriorityWeight: 5},
	{LatencyObjective: time.Second, Deadline: 4 * time.Second, Idempotency: balancer.IdempotentWithKey, DedupScope: balancer.ScopeCell, DedupWindow: 2500 * time.Millisecond, PriorityWeight: 2},
}

// mixedClass returns the class of the i-th request of a load of all classes.
func mixedClass(i int) int {
	return []int{
		classIdempotent, classIdempotent, classIdempotent, classIdempotent,
		classNonIdempotent, classNonIdempotent, classNonIdempotent,
		classWithKey, classIdempotent, classWithKey,
	}[i%10]
}

// onlyClass returns a function for load that gives all requests the same class.
func onlyClass(class int) func(i int) int {
	return func(int) int { return class }
}

// rejectionTimeout bounds the time until a request that cannot be served is rejected.
const rejectionTimeout = 250 * time.Millisecond

// harness is an engine that runs in virtual time.
type harness struct {
	*Engine
	t        *testing.T
	poolStop map[string]int // calls of PoolConfig.Stop, by pool
}

// runInVirtualTime runs a test with an engine of its own, and stops the engine afterwards.
func runInVirtualTime(t *testing.T, test func(t *testing.T, h *harness)) {
	t.Helper()
	testutil.VirtualTime(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		h := &harness{Engine: New(5), t: t, poolStop: map[string]int{}}
		go h.Run(ctx)
		defer h.Wait(time.Minute) // the wait also happens if a failed check ends the test
		defer cancel()
		test(t, h)
	})
}

// memberList returns a complete list of ready members, three in each cell. A zero time leaves the start unknown.
func memberList(count int, started time.Time) discovery.MemberList {
	list := discovery.MemberList{Full: true}
	for i := range count {
		member := discovery.Member{ID: fmt.Sprintf("h-%d", i), Addr: "127.0.0.1:9", State: "ready", Cell: i / 3}
		if !started.IsZero() {
			member.StartedMS = started.UnixMilli()
		}
		list.Servers = append(list.Servers, member)
	}
	return list
}

// newPool returns a pool with a number of hosts, none of them warming up.
func (h *harness) newPool(transport *scriptedTransport, hosts int) *Pool {
	h.t.Helper()
	pool, err := h.NewPool(PoolConfig{
		Name: transport.name, Transport: transport, Seed: 3, Stop: func() { h.poolStop[transport.name]++ },
		Settings: balancer.Settings{
			Instances: 1, Classes: testClasses, Step: 5 * time.Millisecond, MaxAttempts: 4, Cancel: true, MaxRetryAfter: 5 * time.Second,
			SlowStartShare: 0.4, SlowStartWindow: 6 * time.Second, OverloadFactor: 2.5, OverloadWindow: 1500 * time.Millisecond,
		},
	})
	if err != nil {
		h.t.Fatalf("NewPool: got %v, want no error", err)
	}
	pool.UpdateEndpoints(balancer.ListFull, memberList(hosts, time.Time{}))
	return pool
}

// protocolRoute returns a route to hosts that implement the platform's protocol.
func protocolRoute() *Route {
	return &Route{Name: "r", Classes: testClasses, Classify: func(response *Response) balancer.Result {
		return route.ClassifyProtocol(response.Status, response.Header.Get("X-Not-Processed") == "1")
	}}
}

// plainRoute returns a route to hosts that do not implement the platform's protocol.
func plainRoute() *Route {
	return &Route{
		Name: "r", Classes: testClasses, ForwardsFailures: true,
		Plain: &Plain{Class: classIdempotent, NonIdempotentClass: classNonIdempotent, Timeout: 4 * time.Second},
		Classify: func(response *Response) balancer.Result {
			return route.ClassifyPlain(response.Status, false, route.DefaultFailureStatuses)
		},
	}
}

// useRoute puts a Snapshot of one route into use. The route goes to the first pool, with the other pools as its
// fallbacks.
func (h *harness) useRoute(r *Route, retries *Retries, pools ...*Pool) *Snapshot {
	h.t.Helper()
	uses := []PoolUse{{Pool: pools[0], MinShare: route.DefaultMinShare}}
	for _, pool := range pools[1:] {
		uses[0].Fallback = append(uses[0].Fallback, pool.Name)
		uses = append(uses, PoolUse{Pool: pool, MinShare: route.DefaultMinShare})
	}
	var budgets []Retries
	if retries != nil {
		budgets = []Retries{*retries}
	}
	rules := []route.Rule{{Name: "r", Split: []route.Share{{Pool: pools[0].Name, Weight: 1}}}}
	table, problems := route.Compile(rules, []string{pools[0].Name})
	if len(problems) > 0 {
		h.t.Fatalf("route.Compile: got %v, want no problem", problems[0])
	}
	snapshot := h.NewSnapshot(table, []*Route{r}, budgets, uses...)
	h.Use(snapshot)
	return snapshot
}

// do makes a request on the Snapshot in use, and waits for its response.
func (h *harness) do(class int) (*Request, Response) {
	snapshot := h.Snapshot()
	defer snapshot.Release()
	request := &Request{Method: "GET", Target: "/", Route: snapshot.routes[0], Class: class, Deadline: time.Now().Add(testClasses[class].Deadline)}
	response, waiting := h.Do(context.Background(), request)
	if !waiting {
		h.t.Error("Do: got no response, want one, as the client is still waiting")
	}
	return request, response
}

// loadResult counts the responses to a load.
type loadResult struct {
	mu               sync.Mutex
	kinds            map[Kind]int
	slowestRejection time.Duration
	retryAfterCount  int // rejections with Retry-After
}

func (r *loadResult) add(response *Response, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kinds[response.Kind]++
	if response.Kind != Rejected {
		return
	}
	r.slowestRejection = max(r.slowestRejection, took)
	if response.RetryAfter > 0 {
		r.retryAfterCount++
	}
}

// load makes requests at a rate per second for a duration, and waits for all responses. class returns the class of
// the i-th request.
func (h *harness) load(rate int, duration time.Duration, class func(i int) int) *loadResult {
	result := &loadResult{kinds: map[Kind]int{}}
	var requests sync.WaitGroup
	interval := time.Second / time.Duration(rate)
	for i := range int(duration / interval) {
		time.Sleep(interval)
		requests.Go(func() {
			began := time.Now()
			_, response := h.do(class(i))
			result.add(&response, time.Since(began))
			response.Release()
		})
	}
	requests.Wait()
	return result
}
