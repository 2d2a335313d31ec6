package idempotency

import (
	"bytes"
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dunemoor/internal/cluster/failpoint"
	"dunemoor/internal/testutil"
)

// Times of the simulation below.
const (
	dedupWindow      = 2 * time.Second // time within which a scope drops duplicates
	sessionTTL       = 3 * time.Second // time for which a session outlives its gateway
	maxResponseDelay = 300 * time.Millisecond
	simulatedTime    = 90 * time.Second
)

// simulation is a partition with gateways that use it, may pause at any step for any time, and end. Its hosts
// belong to scopes that drop duplicates of a key within dedupWindow, and reject fences lower than the highest
// one received for the key.
type simulation struct {
	rng          *rand.Rand
	now          time.Duration
	events       events
	partition    *Partition
	index        uint64
	firstSent    map[string]time.Duration // by request: time at which the current leader proposed its first OpSend
	lastSession  uint64
	lastToken    uint64
	highestClaim uint64                                // highest token with which a deferred request was claimed
	live         map[uint64]bool                       // sessions whose gateway is running
	executions   map[string]map[string][]time.Duration // by key and scope: times of executions, without dropped duplicates
	fences       map[string]uint64                     // by key: highest fence received by a host
	idempotency  map[string]Idempotency                // by key
	finalStates  map[string]string                     // by request: final phase and response
	violation    error                                 // first violated invariant
	codeCounts   map[Code]int                          // number of results with each code
}

type event struct {
	at time.Duration
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	x := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return x
}

// schedule schedules an event after a random delay of at most maxDelay.
func (sim *simulation) schedule(maxDelay time.Duration, do func()) {
	heap.Push(&sim.events, event{sim.now + time.Duration(sim.rng.Int64N(int64(maxDelay))) + 1, do})
}

// scheduleOrPause schedules an event after a short delay, or with a probability of 1 in 6 after a delay of up to
// 4*sessionTTL, in which sessions and deduplication windows may end.
func (sim *simulation) scheduleOrPause(do func()) {
	if sim.rng.IntN(6) == 0 {
		sim.schedule(4*sessionTTL, do)
		return
	}
	sim.schedule(20*time.Millisecond, do)
}

// apply applies a command immediately and delivers its result later, when the gateway may have ended.
func (sim *simulation) apply(c Command, then func(Result)) {
	id := RequestID(c.Tenant, c.Key)
	if at, ok := sim.firstSent[id]; ok && sim.now < at+dedupWindow {
		c.WindowLeft = at + dedupWindow - sim.now
	}
	sim.index++
	res := sim.partition.Apply(sim.index, &c)
	sim.codeCounts[res.Code]++
	if _, ok := sim.firstSent[id]; c.Op == OpSend && res.Code == OK && !ok {
		sim.firstSent[id] = sim.now
	}
	sim.check(id)
	if request := sim.partition.Requests[id]; c.Op == OpBegin && (res.Code == Execute || res.Code == Retry || res.Code == Completed) && request.Digest != c.Digest && sim.violation == nil {
		sim.violation = fmt.Errorf("%s: a request with a different digest was treated as a duplicate", c.Key)
	}
	if c.Op == OpClaim && (res.Code == Execute || res.Code == Retry) {
		if c.Token < sim.highestClaim && sim.violation == nil {
			sim.violation = fmt.Errorf("%s was claimed with token %d after a claim with token %d", c.Key, c.Token, sim.highestClaim)
		}
		sim.highestClaim = max(sim.highestClaim, c.Token)
	}
	sim.schedule(30*time.Millisecond, func() { then(res) })
}

// check checks that a final request does not change, that no non-idempotent request stays in PhaseSending without
// a session, and that the partition counts its size correctly.
func (sim *simulation) check(id string) {
	if request := sim.partition.Requests[id]; request != nil && request.Phase.Final() {
		now := fmt.Sprint(request.Phase, request.Response)
		if was := sim.finalStates[id]; was != "" && was != now && sim.violation == nil {
			sim.violation = fmt.Errorf("the final state of %s changed from %s to %s", id, was, now)
		}
		sim.finalStates[id] = now
	}
	requests, size := 0, 0
	for _, request := range sim.partition.Requests {
		requests, size = requests+1, size+request.size()
		if request.Idempotency == NonIdempotent && request.Phase == PhaseSending && request.Session == 0 && sim.violation == nil {
			sim.violation = fmt.Errorf("%s is non-idempotent, may have been executed and is assigned to no session, but is not final", request.Key)
		}
	}
	if size != sim.partition.Bytes && sim.violation == nil {
		sim.violation = fmt.Errorf("%d requests have a size of %d bytes, but the partition counts %d", requests, size, sim.partition.Bytes)
	}
}

// execute simulates a gateway that sends a request assigned to it and completes it. If until is not 0, the gateway
// must send the request before that time.
func (sim *simulation) execute(session uint64, c Command, res Result, until time.Duration) {
	scope := res.Scope
	if scope == "" || sim.rng.IntN(4) == 0 { // some gateways choose another scope
		scope = fmt.Sprint("cell", sim.rng.IntN(2))
	}
	sim.apply(Command{Op: OpSend, Tenant: c.Tenant, Key: c.Key, Session: session, Fence: res.Fence, Scope: scope}, func(r Result) {
		if r.Code != OK || !sim.live[session] || until > 0 && sim.now+20*time.Millisecond >= until {
			return
		}
		// The gateway may be paused between this check and the first byte, except when it retries a request
		// within the deduplication window: neither a fence nor a host would stop a delayed retry, see
		// docs/design/copies.md.
		step := sim.scheduleOrPause
		if until > 0 {
			step = func(do func()) { sim.schedule(20*time.Millisecond, do) }
		}
		step(func() {
			status, ok := sim.receive(c, scope, res.Fence)
			if !ok || !sim.live[session] || sim.rng.IntN(4) == 0 { // the response is lost
				return
			}
			sim.schedule(maxResponseDelay, func() {
				sim.apply(Command{Op: OpComplete, Tenant: c.Tenant, Key: c.Key, Fence: res.Fence, Response: &Response{Status: status}}, func(Result) {})
			})
		})
	})
}

// receive simulates the arrival of a request at a host of a scope.
func (sim *simulation) receive(c Command, scope string, fence uint64) (status int, ok bool) {
	if fence < sim.fences[c.Key] {
		return 0, false
	}
	sim.fences[c.Key] = fence
	if sim.executions[c.Key] == nil {
		sim.executions[c.Key] = map[string][]time.Duration{}
	}
	if l := sim.executions[c.Key][scope]; len(l) > 0 && sim.now < l[len(l)-1]+dedupWindow {
		return 200 + len(l), true // dropped as a duplicate
	}
	sim.executions[c.Key][scope] = append(sim.executions[c.Key][scope], sim.now)
	return 200 + len(sim.executions[c.Key][scope]), true
}

// client repeatedly sends requests with the same key to random gateways.
func (sim *simulation) client(key string, idempotency Idempotency, deferred bool) {
	sim.idempotency[key] = idempotency
	if len(sim.live) > 0 {
		list := slices.Sorted(maps.Keys(sim.live))
		session := list[sim.rng.IntN(len(list))]
		c := Command{Op: OpBegin, Session: session, Tenant: "t", Key: key, Digest: "d" + key, Idempotency: idempotency, Retention: time.Hour}
		if sim.rng.IntN(20) == 0 {
			c.Digest = "another"
		}
		proposed := sim.now
		switch {
		case deferred:
			c.Op, c.DeliverWithin = OpDefer, 20*time.Second
			if sim.rng.IntN(8) == 0 {
				c.Op = OpCancel
			}
			sim.apply(c, func(Result) {})
		default:
			sim.apply(c, func(r Result) {
				switch r.Code {
				case Execute, Retry:
					until := time.Duration(0)
					if r.WindowLeft > 0 {
						until = proposed + r.WindowLeft
					}
					sim.execute(session, c, r, until)
				}
			})
		}
	}
	sim.schedule(2*time.Second, func() { sim.client(key, idempotency, deferred) })
}

// deliver simulates a holder of the partition's lease that claims deferred requests. It may be paused and then
// continue with an old token.
func (sim *simulation) deliver(session, token uint64) {
	if !sim.live[session] {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(sim.partition.Requests)) {
		if request := sim.partition.Requests[id]; request.Deferred && !request.Phase.Final() {
			c := Command{Op: OpClaim, Session: session, Token: token, Tenant: request.Tenant, Key: request.Key, Idempotency: request.Idempotency}
			proposed := sim.now
			sim.apply(c, func(r Result) {
				if r.Code == Execute || r.Code == Retry {
					until := time.Duration(0)
					if r.WindowLeft > 0 {
						until = proposed + r.WindowLeft
					}
					sim.execute(session, c, r, until)
				}
			})
			break
		}
	}
	sim.scheduleOrPause(func() { sim.deliver(session, token) })
}

// gateway simulates the session of a gateway. When the session ends, the next one begins.
func (sim *simulation) gateway() {
	sim.lastSession++
	session := sim.lastSession
	sim.live[session] = true
	sim.schedule(10*time.Second, func() {
		sim.apply(Command{Op: OpEndSession, Session: session}, func(Result) {})
		// The gateway may continue for a while before it detects the end of its session. The session ID is not
		// reused.
		sim.schedule(2*sessionTTL, func() { delete(sim.live, session) })
		sim.gateway()
	})
	sim.schedule(4*time.Second, func() { sim.lastToken++; sim.deliver(session, sim.lastToken) })
}

// simulate runs the simulation with a seed. It returns an error if an invariant was violated.
func simulate(seed uint64) (*simulation, error) {
	sim := &simulation{
		rng: rand.New(rand.NewPCG(seed, 7)), partition: NewPartition(), firstSent: map[string]time.Duration{}, live: map[uint64]bool{}, executions: map[string]map[string][]time.Duration{},
		fences: map[string]uint64{}, idempotency: map[string]Idempotency{}, finalStates: map[string]string{}, codeCounts: map[Code]int{},
	}
	for range 4 {
		sim.gateway()
	}
	for i := range 12 {
		sim.client(fmt.Sprint("k", i), []Idempotency{Idempotent, IdempotentWithKey, NonIdempotent}[i%3], i >= 6)
	}
	var changeLeader func()
	changeLeader = func() { // the new leader has no record of when requests were first sent
		clear(sim.firstSent)
		sim.partition.Apply(sim.index, &Command{Op: OpAdvanceClock, Elapsed: time.Second})
		if restored := NewPartition(); restored.Decode(sim.partition.Encode()) != nil || !bytes.Equal(restored.Encode(), sim.partition.Encode()) {
			sim.violation = fmt.Errorf("the partition differs after encoding and decoding")
		} else {
			sim.partition = restored
		}
		sim.schedule(10*time.Second, changeLeader)
	}
	changeLeader()
	for sim.violation == nil && sim.now < simulatedTime {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.do()
	}
	for key, scopes := range sim.executions {
		runs := 0
		for _, l := range scopes {
			runs += len(l)
		}
		if sim.idempotency[key] != Idempotent && runs > 1 && sim.violation == nil {
			sim.violation = fmt.Errorf("%s, which is %s, was executed %d times: %v", key, sim.idempotency[key], runs, scopes)
		}
	}
	if sim.violation != nil {
		return sim, fmt.Errorf("seed %d at %v: %w", seed, sim.now, sim.violation)
	}
	return sim, nil
}

// TestFailpoints runs TestEachFailpoint in a build with failpoints.
func TestFailpoints(t *testing.T) { testutil.FailpointBuild(t, failpoint.Available) }

// TestHistories runs random simulations and checks that no non-idempotent request and no request with a key is
// executed twice, wherever gateways are paused, that final states do not change, and that the partition counts
// its size correctly. It also checks that every result code except Full occurs.
func TestHistories(t *testing.T) {
	seen := map[Code]int{}
	for seed := range uint64(150) {
		sim, err := simulate(seed)
		if err != nil {
			t.Fatal(err)
		}
		for c, n := range sim.codeCounts {
			seen[c] += n
		}
	}
	for _, c := range []Code{OK, Execute, Retry, InProgress, Completed, Indeterminate, KeyMismatch, Stale, UnknownRequest, Rejected} {
		if seen[c] == 0 {
			t.Errorf("result code %q never occurred", c)
		}
	}
	t.Log(seen)
}
