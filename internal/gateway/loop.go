package gateway

import (
	"container/heap"
	"context"
	"hash/fnv"
	"log/slog"
	"sync/atomic"
	"time"

	"lynxspool"
	"lynxspool/internal/discovery"
	"lynxspool/internal/flight"
)

// Loop owns the Balancer: it is told what happens by the other parts, one event
// at a time, and carries out what the Balancer decides. Nothing in it waits: what
// takes time runs in a goroutine of its own and comes back as an event.
type Loop struct {
	events chan func(now lynxspool.Time)
	done   chan struct{} // closed when Run has returned
	ready  atomic.Bool   // a host is known that takes requests

	// All below belongs to the goroutine of Run.
	clock  clock
	bal    flight.Module // a Balancer, or the recorder in front of it
	record *recording    // nil: nothing is recorded
	acts   []lynxspool.Action
	timers timers
	pool   *Pool
	watch  func() // asks discovery for changes
	hosts  map[lynxspool.HostID]*host
	open   map[lynxspool.RequestID]*exchange // until over and no attempt is out
	lastID lynxspool.RequestID
	zones  numbers
	kinds  numbers
	ctx    context.Context // of all attempts
}

// clock is the module's: Unix time as it was at the start, monotonic from then
// on. So started_ms converts without reference to now, the same each time it is
// told, and a step of the wall clock moves nothing.
type clock struct {
	start time.Time
}

func (c clock) now() lynxspool.Time { return c.at(time.Now()) }

func (c clock) at(t time.Time) lynxspool.Time {
	return lynxspool.Time(c.start.UnixNano()) + t.Sub(c.start)
}

// time is the instant of a module time, with a monotonic reading.
func (c clock) time(t lynxspool.Time) time.Time {
	return c.start.Add(t - lynxspool.Time(c.start.UnixNano()))
}

// NewLoop returns a Loop that sends by pool. watch is called when the Balancer
// asks for changes of the list; it must not block.
func NewLoop(cfg *Config, pool *Pool, watch func()) (*Loop, error) {
	bal, err := lynxspool.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	return &Loop{
		events: make(chan func(lynxspool.Time), 1024), done: make(chan struct{}),
		clock: clock{time.Now()}, bal: bal, pool: pool, watch: watch,
		hosts: map[lynxspool.HostID]*host{}, open: map[lynxspool.RequestID]*exchange{},
		zones: newNumbers(cfg.Zones), kinds: newNumbers(cfg.Kinds),
	}, nil
}

// Run handles events until ctx ends; then it ends all attempts.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	l.ctx = ctx
	l.bal.Start(l.clock.now())
	l.perform()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			l.endRecording()
			return
		case handle := <-l.events:
			handle(l.clock.now())
			l.perform()
		case <-timer.C:
			l.ring()
		}
		if len(l.timers) > 0 {
			timer.Reset(time.Until(l.clock.time(l.timers[0].at)))
		}
	}
}

// Wait waits until Run has returned and what was recorded is written, for so long at most.
func (l *Loop) Wait(most time.Duration) {
	select {
	case <-l.done:
	case <-time.After(most):
	}
}

// post hands an event to the loop.
func (l *Loop) post(handle func(now lynxspool.Time)) {
	select {
	case l.events <- handle:
	case <-l.done:
	}
}

// Ready says whether requests can be served: a host is known that takes them.
func (l *Loop) Ready() bool { return l.ready.Load() }

// Submit hands over a request that has been read whole. Its answer comes on
// x.answer unless x is finished otherwise.
func (l *Loop) Submit(x *exchange) {
	l.post(func(now lynxspool.Time) {
		l.lastID++
		x.id = l.lastID
		l.open[x.id] = x
		l.bal.Request(now, lynxspool.Request{
			ID: x.id, Class: x.class, Tenant: x.tenant, Repeat: x.repeat,
			Left: max(0, l.clock.at(x.deadline)-now),
		})
	})
}

// Abandon says that a request was finished without the Balancer: nobody waits.
func (l *Loop) Abandon(x *exchange) {
	l.post(func(now lynxspool.Time) {
		l.bal.Gone(now, x.id)
		l.release(x)
	})
}

// Members is news of the list of hosts.
func (l *Loop) Members(kind lynxspool.ListKind, list discovery.MemberList) {
	l.post(func(now lynxspool.Time) { l.members(now, kind, list) })
}

func (l *Loop) members(now lynxspool.Time, kind lynxspool.ListKind, list discovery.MemberList) {
	if kind != lynxspool.ListFailed {
		listed := map[lynxspool.HostID]bool{}
		entries := make([]lynxspool.Host, 0, len(list.Servers))
		var gone []lynxspool.HostID
		for i := range list.Servers {
			m := &list.Servers[i]
			e := lynxspool.Host{
				ID: hostID(m.ID), Zone: l.zones.number(m.Zone), Cell: m.Cell, Kind: l.kinds.number(m.Kind),
				State: m.HostState(), Started: lynxspool.Time(m.StartedMS) * lynxspool.Time(time.Millisecond),
			}
			h := l.hosts[e.ID]
			if h == nil && e.State == lynxspool.Removed {
				continue // it went before we knew of it
			} else if h == nil {
				h = &host{id: m.ID}
				l.hosts[e.ID] = h
				if l.record != nil {
					l.record.rec.Name(now, e.ID, m.ID)
				}
			} else if h.id != m.ID {
				// Two names with one HostID would be taken for one host.
				slog.Error("host left out: its id collides with another's", "host", m.ID, "other", h.id)
				continue
			}
			h.zone, h.kind = m.Zone, m.Kind
			listed[e.ID] = true
			entries = append(entries, e)
			l.pool.update(h, m.Addr, m.StartedMS, e.State == lynxspool.Ready)
			if e.State == lynxspool.Removed {
				gone = append(gone, e.ID)
			}
		}
		if kind != lynxspool.ListChanges {
			for id, h := range l.hosts {
				if !listed[id] {
					gone = append(gone, id)
					l.pool.update(h, "", 0, false)
				}
			}
		}
		l.bal.Hosts(now, kind, entries)
		for _, id := range gone {
			delete(l.hosts, id) // what is still out there holds on to it
		}
		l.zones.forget(l.hosts, func(h *host) string { return h.zone })
		l.kinds.forget(l.hosts, func(h *host) string { return h.kind })
	} else {
		l.bal.Hosts(now, kind, nil)
	}
	ready := false
	for _, h := range l.hosts {
		ready = ready || h.usable.Load()
	}
	l.ready.Store(ready)
}

// hostID is the same for an id at every gateway and after every restart.
func hostID(id string) lynxspool.HostID {
	h := fnv.New64a()
	h.Write([]byte(id))
	return lynxspool.HostID(h.Sum64())
}

// numbers counts zones or kinds: as the settings do, and those that the settings lack
// each by a number of its own, so that two unknown zones are not taken for one. It
// keeps at most namesSpare names that no host bears; no number is given twice.
type numbers struct {
	known map[string]int // of the settings
	other map[string]int
	next  int
}

// namesSpare is how many names may be kept beyond those in use before one looks for
// which to forget: seldom, and of a size that does not matter.
const namesSpare = 64

func newNumbers(known map[string]int) numbers {
	return numbers{known: known, other: map[string]int{}, next: len(known)}
}

func (n *numbers) number(name string) int {
	i, ok := n.known[name]
	if !ok {
		i, ok = n.other[name]
	}
	if !ok {
		i = n.next
		n.next++
		n.other[name] = i
	}
	return i
}

// forget drops the names that no host bears, once there are many.
func (n *numbers) forget(hosts map[lynxspool.HostID]*host, name func(*host) string) {
	if len(n.other) <= len(hosts)+namesSpare {
		return
	}
	used := make(map[string]int, len(hosts))
	for _, h := range hosts {
		if i, ok := n.other[name(h)]; ok {
			used[name(h)] = i
		}
	}
	n.other = used
}

// perform carries out what the Balancer has decided.
func (l *Loop) perform() {
	l.acts = l.bal.Drain(l.acts[:0])
	for i := range l.acts {
		a := &l.acts[i]
		switch a.Kind {
		case lynxspool.Send:
			l.send(a)
		case lynxspool.Cancel:
			if x := l.open[a.Request]; x != nil && a.Attempt < len(x.attempts) {
				x.attempts[a.Attempt]()
			}
		case lynxspool.Refuse:
			l.answered(true)
			l.answer(a.Request, answer{kind: refused, retryAfter: a.After})
		case lynxspool.Fail:
			l.answered(false)
			l.answer(a.Request, answer{kind: failed})
		case lynxspool.Wake:
			heap.Push(&l.timers, wake{a.At, a.Token})
		case lynxspool.Close:
			if h := l.hosts[a.Host]; h != nil {
				l.pool.closeIdle(h)
			}
		case lynxspool.Watch:
			l.watch()
		case lynxspool.Log:
			if h := l.hosts[a.Host]; h != nil {
				slog.Info(a.Text, "host", h.id)
			} else {
				slog.Info(a.Text)
			}
		}
	}
}

// send starts an attempt; its end comes back as one event, whatever happens.
func (l *Loop) send(a *lynxspool.Action) {
	x, h := l.open[a.Request], l.hosts[a.Host]
	if x == nil || h == nil {
		// The Balancer names only what it was told of, and keeps no request longer.
		panic("gateway: attempt of an unknown request or host")
	}
	until := x.deadline
	if at := l.clock.time(a.At); a.At > 0 && at.Before(until) {
		until = at
	}
	ctx, cancel := context.WithDeadline(l.ctx, until)
	n := len(x.attempts)
	x.attempts = append(x.attempts, cancel)
	x.out++
	go func() {
		// Taken here, not by the loop: what waits for the loop, or for a turn on the
		// core, is no latency of the host.
		sent := time.Now()
		result, body := l.pool.attempt(ctx, h, x)
		took := time.Since(sent)
		cancel()
		l.post(func(now lynxspool.Time) { l.ended(now, x, n, took, result, body) })
	}()
}

// ended is the end of an attempt. The first good answer ends the request by
// itself; the Balancer is told so.
func (l *Loop) ended(now lynxspool.Time, x *exchange, n int, took time.Duration, result lynxspool.Result, good answer) {
	x.out--
	if result == lynxspool.OK {
		if x.finish(good) {
			l.answered(false)
		} else {
			l.pool.release(good)
		}
	}
	l.bal.Outcome(now, lynxspool.Outcome{
		Request: x.id, Attempt: n, Result: result,
		Elapsed: took, Closed: x.over.Load(),
	})
	l.release(x)
}

// answer gives the Balancer's final answer.
func (l *Loop) answer(id lynxspool.RequestID, a answer) {
	if x := l.open[id]; x != nil {
		x.finish(a)
		l.release(x)
	}
}

// release forgets a request that is over, once its last attempt has ended.
func (l *Loop) release(x *exchange) {
	if x.over.Load() && x.out == 0 {
		delete(l.open, x.id)
	}
}

// ring calls the timers that are due. One that is set meanwhile waits for the
// next round, so that timers cannot keep events out.
func (l *Loop) ring() {
	now := l.clock.now()
	for n := len(l.timers); n > 0 && len(l.timers) > 0 && l.timers[0].at <= now; n-- {
		w := heap.Pop(&l.timers).(wake)
		l.bal.Timer(now, w.token)
		l.perform()
	}
}

// wake is a timer of the Balancer.
type wake struct {
	at    lynxspool.Time
	token uint64
}

// timers is a heap, the next one first.
type timers []wake

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(w any)        { *t = append(*t, w.(wake)) }
func (t *timers) Pop() any {
	last := len(*t) - 1
	w := (*t)[last]
	*t = (*t)[:last]
	return w
}
