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
	window   = 2 * time.Second // in which a scope drops duplicates
	lasts    = 3 * time.Second // how long a session outlives its gateway
	answerIn = 300 * time.Millisecond
	worldFor = 90 * time.Second
)

// world is a partition with gateways that use it, pause anywhere for any time, and go. Its hosts are in scopes
// that drop duplicates of a key within a window, and keep the highest fence that they have seen of it.
type world struct {
	r        *rand.Rand
	now      time.Duration
	events   events
	st       *Partition
	index    uint64
	sent     map[string]time.Duration // by this leader: when the first send was proposed
	sessions uint64
	token    uint64
	highest  uint64 // token under which a deferred request was taken up
	live     map[uint64]bool
	ran      map[string]map[string][]time.Duration // by key and scope: executions that were no duplicates
	fences   map[string]uint64
	kind     map[string]Idempotency
	final    map[string]string // by request: its final phase as first seen
	bad      error
	seen     map[Code]int
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

func (w *world) after(most time.Duration, do func()) {
	heap.Push(&w.events, event{w.now + time.Duration(w.r.Int64N(int64(most))) + 1, do})
}

// pauses is like after, but sometimes takes so long that all sessions and windows are over.
func (w *world) pauses(do func()) {
	if w.r.IntN(6) == 0 {
		w.after(4*lasts, do)
		return
	}
	w.after(20*time.Millisecond, do)
}

// apply proposes a command now. Its result arrives later, at a gateway that may be gone.
func (w *world) apply(c Command, then func(Result)) {
	id := RequestID(c.Tenant, c.Key)
	if at, ok := w.sent[id]; ok && w.now < at+window {
		c.WindowLeft = at + window - w.now
	}
	w.index++
	res := w.st.Apply(w.index, &c)
	w.seen[res.Code]++
	if _, ok := w.sent[id]; c.Op == OpSend && res.Code == OK && !ok {
		w.sent[id] = w.now
	}
	w.check(id)
	if e := w.st.Requests[id]; c.Op == OpBegin && (res.Code == Execute || res.Code == Retry || res.Code == Completed) && e.Digest != c.Digest && w.bad == nil {
		w.bad = fmt.Errorf("%s: another request was taken for it", c.Key)
	}
	if c.Op == OpTakeUp && (res.Code == Execute || res.Code == Retry) {
		if c.Token < w.highest && w.bad == nil {
			w.bad = fmt.Errorf("%s was taken up under token %d after one under %d", c.Key, c.Token, w.highest)
		}
		w.highest = max(w.highest, c.Token)
	}
	w.after(30*time.Millisecond, func() { then(res) })
}

// check checks the invariants of a request, and the size that the partition counts.
func (w *world) check(id string) {
	if e := w.st.Requests[id]; e != nil && e.Phase.Final() {
		now := fmt.Sprint(e.Phase, e.Response)
		if was := w.final[id]; was != "" && was != now && w.bad == nil {
			w.bad = fmt.Errorf("%s was final as %s and is %s", id, was, now)
		}
		w.final[id] = now
	}
	requests, size := 0, 0
	for _, e := range w.st.Requests {
		requests, size = requests+1, size+e.size()
		if e.Idempotency == NonIdempotent && e.Phase == PhaseSending && e.Session == 0 && w.bad == nil {
			w.bad = fmt.Errorf("%s is non-idempotent, may have run, no session has it, and it has no final phase", e.Key)
		}
	}
	if size != w.st.Bytes && w.bad == nil {
		w.bad = fmt.Errorf("%d requests have %d bytes, the partition counts %d", requests, size, w.st.Bytes)
	}
}

// run has a gateway send a request that it was given, and complete it.
func (w *world) run(session uint64, c Command, res Result, until time.Duration) {
	scope := res.Scope
	if scope == "" || w.r.IntN(4) == 0 { // some gateways choose another scope
		scope = fmt.Sprint("cell", w.r.IntN(2))
	}
	w.apply(Command{Op: OpSend, Tenant: c.Tenant, Key: c.Key, Session: session, Fence: res.Fence, Scope: scope}, func(r Result) {
		if r.Code != OK || !w.live[session] || until > 0 && w.now+20*time.Millisecond >= until {
			return
		}
		// Between its check and the first byte it may be paused. A gateway that sends a request with a key
		// again may not: that is the one step that no fence and no host stops, see docs/design/copies.md.
		step := w.pauses
		if until > 0 {
			step = func(do func()) { w.after(20*time.Millisecond, do) }
		}
		step(func() {
			status, ok := w.host(c, scope, res.Fence)
			if !ok || !w.live[session] || w.r.IntN(4) == 0 { // the response is lost
				return
			}
			w.after(answerIn, func() {
				w.apply(Command{Op: OpComplete, Tenant: c.Tenant, Key: c.Key, Fence: res.Fence, Response: &Response{Status: status}}, func(Result) {})
			})
		})
	})
}

// host is a request's arrival at a host of a scope.
func (w *world) host(c Command, scope string, fence uint64) (status int, ok bool) {
	if fence < w.fences[c.Key] {
		return 0, false
	}
	w.fences[c.Key] = fence
	if w.ran[c.Key] == nil {
		w.ran[c.Key] = map[string][]time.Duration{}
	}
	if l := w.ran[c.Key][scope]; len(l) > 0 && w.now < l[len(l)-1]+window {
		return 200 + len(l), true // dropped as a duplicate
	}
	w.ran[c.Key][scope] = append(w.ran[c.Key][scope], w.now)
	return 200 + len(w.ran[c.Key][scope]), true
}

// client sends a request with one key at any gateway, again and again.
func (w *world) client(key string, kind Idempotency, deferred bool) {
	w.kind[key] = kind
	if len(w.live) > 0 {
		list := slices.Sorted(maps.Keys(w.live))
		session := list[w.r.IntN(len(list))]
		c := Command{Op: OpBegin, Session: session, Tenant: "t", Key: key, Digest: "d" + key, Idempotency: kind, Retention: time.Hour}
		if w.r.IntN(20) == 0 {
			c.Digest = "another"
		}
		proposed := w.now
		switch {
		case deferred:
			c.Op, c.DeliverWithin = OpDefer, 20*time.Second
			if w.r.IntN(8) == 0 {
				c.Op = OpCancel
			}
			w.apply(c, func(Result) {})
		default:
			w.apply(c, func(r Result) {
				switch r.Code {
				case Execute, Retry:
					until := time.Duration(0)
					if r.WindowLeft > 0 {
						until = proposed + r.WindowLeft
					}
					w.run(session, c, r, until)
				}
			})
		}
	}
	w.after(2*time.Second, func() { w.client(key, kind, deferred) })
}

// deliver is a holder of the partition's lease that takes up deferred requests. It may be paused, and go on with
// its old token.
func (w *world) deliver(session, token uint64) {
	if !w.live[session] {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(w.st.Requests)) {
		if e := w.st.Requests[id]; e.Deferred && !e.Phase.Final() {
			c := Command{Op: OpTakeUp, Session: session, Token: token, Tenant: e.Tenant, Key: e.Key, Idempotency: e.Idempotency}
			proposed := w.now
			w.apply(c, func(r Result) {
				if r.Code == Execute || r.Code == Retry {
					until := time.Duration(0)
					if r.WindowLeft > 0 {
						until = proposed + r.WindowLeft
					}
					w.run(session, c, r, until)
				}
			})
			break
		}
	}
	w.pauses(func() { w.deliver(session, token) })
}

// gateway is a session; when it ends another begins.
func (w *world) gateway() {
	w.sessions++
	s := w.sessions
	w.live[s] = true
	w.after(10*time.Second, func() {
		w.apply(Command{Op: OpEndSession, Session: s}, func(Result) {})
		// The gateway may go on without knowing; nobody else has its session.
		w.after(2*lasts, func() { delete(w.live, s) })
		w.gateway()
	})
	w.after(4*time.Second, func() { w.token++; w.deliver(s, w.token) })
}

// play plays a simulation by a seed.
func play(seed uint64) (*world, error) {
	w := &world{
		r: rand.New(rand.NewPCG(seed, 7)), st: NewPartition(), sent: map[string]time.Duration{}, live: map[uint64]bool{}, ran: map[string]map[string][]time.Duration{},
		fences: map[string]uint64{}, kind: map[string]Idempotency{}, final: map[string]string{}, seen: map[Code]int{},
	}
	for range 4 {
		w.gateway()
	}
	for i := range 12 {
		w.client(fmt.Sprint("k", i), []Idempotency{Idempotent, IdempotentWithKey, NonIdempotent}[i%3], i >= 6)
	}
	var changeLeader func()
	changeLeader = func() { // the new leader does not know when requests were sent
		clear(w.sent)
		w.st.Apply(w.index, &Command{Op: OpAdvanceClock, Elapsed: time.Second})
		if back := NewPartition(); back.Decode(w.st.Encode()) != nil || !bytes.Equal(back.Encode(), w.st.Encode()) {
			w.bad = fmt.Errorf("the partition is not restored from its snapshot")
		} else {
			w.st = back
		}
		w.after(10*time.Second, changeLeader)
	}
	changeLeader()
	for w.bad == nil && w.now < worldFor {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	for key, scopes := range w.ran {
		runs := 0
		for _, l := range scopes {
			runs += len(l)
		}
		if w.kind[key] != Idempotent && runs > 1 && w.bad == nil {
			w.bad = fmt.Errorf("%s, which is %s, ran %d times: %v", key, w.kind[key], runs, scopes)
		}
	}
	if w.bad != nil {
		return w, fmt.Errorf("seed %d at %v: %w", seed, w.now, w.bad)
	}
	return w, nil
}

// Each failpoint is enabled in turn, in a build of its own, and the fault is found: see TestEachFailpoint.
func TestFailpoints(t *testing.T) { testutil.FailpointBuild(t, failpoint.Available) }

// No non-idempotent request and none with a key runs twice, whatever is paused where; a final phase stays; the
// bytes are as counted. All results occur.
func TestHistories(t *testing.T) {
	seen := map[Code]int{}
	for seed := range uint64(150) {
		w, err := play(seed)
		if err != nil {
			t.Fatal(err)
		}
		for c, n := range w.seen {
			seen[c] += n
		}
	}
	for _, c := range []Code{OK, Execute, Retry, InProgress, Completed, Indeterminate, KeyMismatch, Stale, UnknownRequest, Rejected} {
		if seen[c] == 0 {
			t.Errorf("%q never occurred", c)
		}
	}
	t.Log(seen)
}
