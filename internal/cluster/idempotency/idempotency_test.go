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
	"dunemoor/internal/testkit"
)

// Of the world below, in its own time.
const (
	window   = 2 * time.Second // in which a group drops repeats
	lasts    = 3 * time.Second // a session without its gateway
	answerIn = 300 * time.Millisecond
	worldFor = 90 * time.Second
)

// world is a shelf with gateways that ask it, stop anywhere for any time, and go; hosts in groups that
// drop the repeats of a key within a window, and that know the highest fence they were shown of it.
type world struct {
	r        *rand.Rand
	now      time.Duration
	events   events
	st       *Partition
	index    uint64
	sent     map[string]time.Duration // by this leader: when the first sending was proposed
	sessions uint64
	token    uint64
	highest  uint64 // of the owners that took promises up
	live     map[uint64]bool
	ran      map[string]map[string][]time.Duration // by key and group: runs that were no repeats
	fences   map[string]uint64
	effect   map[string]Idempotency
	final    map[string]string // as first seen
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

// stalls is after, and now and then for long enough that all that was believed is over.
func (w *world) stalls(do func()) {
	if w.r.IntN(6) == 0 {
		w.after(4*lasts, do)
		return
	}
	w.after(20*time.Millisecond, do)
}

// apply proposes a command now; the answer comes later, to a gateway that may have gone.
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
	w.look(id)
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

// look checks what must hold of an entry, and of what the shelf says that it takes.
func (w *world) look(id string) {
	if e := w.st.Requests[id]; e != nil && e.Phase.Final() {
		now := fmt.Sprint(e.Phase, e.Response)
		if was := w.final[id]; was != "" && was != now && w.bad == nil {
			w.bad = fmt.Errorf("%s was final as %s and is %s", id, was, now)
		}
		w.final[id] = now
	}
	entries, size := 0, 0
	for _, e := range w.st.Requests {
		entries, size = entries+1, size+e.size()
		if e.Idempotency == NonIdempotent && e.Phase == PhaseSending && e.Session == 0 && w.bad == nil {
			w.bad = fmt.Errorf("%s is unsafe, may have run, nobody has it, and it has no final state", e.Key)
		}
	}
	if size != w.st.Bytes && w.bad == nil {
		w.bad = fmt.Errorf("%d entries have %d bytes, the shelf says %d", entries, size, w.st.Bytes)
	}
}

// run has a gateway send a request that it was given, and end it.
func (w *world) run(session uint64, c Command, res Result, until time.Duration) {
	group := res.Scope
	if group == "" || w.r.IntN(4) == 0 { // some gateways go where they like
		group = fmt.Sprint("cell", w.r.IntN(2))
	}
	w.apply(Command{Op: OpSend, Tenant: c.Tenant, Key: c.Key, Session: session, Fence: res.Fence, Scope: group}, func(r Result) {
		if r.Code != OK || !w.live[session] || until > 0 && w.now+20*time.Millisecond >= until {
			return
		}
		// Between its look and the byte it may stand still. One that sends a keyed request again
		// may not: that is the one step that no fence and no host stops, see docs/design/copies.md.
		step := w.stalls
		if until > 0 {
			step = func(do func()) { w.after(20*time.Millisecond, do) }
		}
		step(func() {
			status, ok := w.host(c, group, res.Fence)
			if !ok || !w.live[session] || w.r.IntN(4) == 0 { // its answer is lost
				return
			}
			w.after(answerIn, func() {
				w.apply(Command{Op: OpComplete, Tenant: c.Tenant, Key: c.Key, Fence: res.Fence, Response: &Response{Status: status}}, func(Result) {})
			})
		})
	})
}

// host is a request's arrival at a host of a group.
func (w *world) host(c Command, group string, fence uint64) (status int, ok bool) {
	if fence < w.fences[c.Key] {
		return 0, false
	}
	w.fences[c.Key] = fence
	if w.ran[c.Key] == nil {
		w.ran[c.Key] = map[string][]time.Duration{}
	}
	if l := w.ran[c.Key][group]; len(l) > 0 && w.now < l[len(l)-1]+window {
		return 200 + len(l), true // dropped as a repeat
	}
	w.ran[c.Key][group] = append(w.ran[c.Key][group], w.now)
	return 200 + len(w.ran[c.Key][group]), true
}

// client asks with one key at this gateway or that, in a while again.
func (w *world) client(key string, effect Idempotency, promised bool) {
	w.effect[key] = effect
	if len(w.live) > 0 {
		list := slices.Sorted(maps.Keys(w.live))
		session := list[w.r.IntN(len(list))]
		c := Command{Op: OpBegin, Session: session, Tenant: "t", Key: key, Digest: "d" + key, Idempotency: effect, Retention: time.Hour}
		if w.r.IntN(20) == 0 {
			c.Digest = "another"
		}
		asked := w.now
		switch {
		case promised:
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
						until = asked + r.WindowLeft
					}
					w.run(session, c, r, until)
				}
			})
		}
	}
	w.after(2*time.Second, func() { w.client(key, effect, promised) })
}

// deliver is an owner of the shelf that takes promises up, as long as it believes itself: it may
// stand still and go on under its old token.
func (w *world) deliver(session, token uint64) {
	if !w.live[session] {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(w.st.Requests)) {
		if e := w.st.Requests[id]; e.Deferred && !e.Phase.Final() {
			c := Command{Op: OpTakeUp, Session: session, Token: token, Tenant: e.Tenant, Key: e.Key, Idempotency: e.Idempotency}
			asked := w.now
			w.apply(c, func(r Result) {
				if r.Code == Execute || r.Code == Retry {
					until := time.Duration(0)
					if r.WindowLeft > 0 {
						until = asked + r.WindowLeft
					}
					w.run(session, c, r, until)
				}
			})
			break
		}
	}
	w.stalls(func() { w.deliver(session, token) })
}

// gateway is a session's life; when it ends another begins.
func (w *world) gateway() {
	w.sessions++
	s := w.sessions
	w.live[s] = true
	w.after(10*time.Second, func() {
		w.apply(Command{Op: OpEndSession, Session: s}, func(Result) {})
		// It may live on, and not know; the session is no other's.
		w.after(2*lasts, func() { delete(w.live, s) })
		w.gateway()
	})
	w.after(4*time.Second, func() { w.token++; w.deliver(s, w.token) })
}

// play plays a world by a seed.
func play(seed uint64) (*world, error) {
	w := &world{
		r: rand.New(rand.NewPCG(seed, 7)), st: NewPartition(), sent: map[string]time.Duration{}, live: map[uint64]bool{}, ran: map[string]map[string][]time.Duration{},
		fences: map[string]uint64{}, effect: map[string]Idempotency{}, final: map[string]string{}, seen: map[Code]int{},
	}
	for range 4 {
		w.gateway()
	}
	for i := range 12 {
		w.client(fmt.Sprint("k", i), []Idempotency{Idempotent, IdempotentWithKey, NonIdempotent}[i%3], i >= 6)
	}
	var lead func()
	lead = func() { // another leads: when things were sent is known no more
		clear(w.sent)
		w.st.Apply(w.index, &Command{Op: OpAdvanceClock, Elapsed: time.Second})
		if back := NewPartition(); back.Decode(w.st.Encode()) != nil || !bytes.Equal(back.Encode(), w.st.Encode()) {
			w.bad = fmt.Errorf("the shelf does not come back from its bytes")
		} else {
			w.st = back
		}
		w.after(10*time.Second, lead)
	}
	lead()
	for w.bad == nil && w.now < worldFor {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	for key, groups := range w.ran {
		runs := 0
		for _, l := range groups {
			runs += len(l)
		}
		if w.effect[key] != Idempotent && runs > 1 && w.bad == nil {
			w.bad = fmt.Errorf("%s, which is %s, ran %d times: %v", key, w.effect[key], runs, groups)
		}
	}
	if w.bad != nil {
		return w, fmt.Errorf("seed %d at %v: %w", seed, w.now, w.bad)
	}
	return w, nil
}

// Each guard is taken out in turn, in a build of its own, and found: see TestEachGuard.
func TestFailpoints(t *testing.T) { testkit.FailpointBuild(t, failpoint.Available) }

// Nothing that must not runs twice, whoever stops where; a final state stays; the bytes held are
// as counted. All that the machine can say comes up in it.
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
			t.Errorf("%q never came up", c)
		}
	}
	t.Log(seen)
}
