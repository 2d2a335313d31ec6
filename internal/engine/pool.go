package engine

import (
	"container/heap"
	"context"
	"hash/fnv"
	"log/slog"
	"sync/atomic"
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/discovery"
	"dunemoor/internal/flight"
)

// attemptsMost is how many attempts a request has at most, whatever pools it comes to.
const attemptsMost = 4

// looseRetryAfter is when a request may come back whose one attempt never ran, and which is not
// held so that it could have another: at once, as it is one host that was at fault.
const looseRetryAfter = 50 * time.Millisecond

// PoolConfig is what a pool is made of.
type PoolConfig struct {
	Name      string
	Settings  balancer.Settings
	Seed      uint64
	Zones     map[string]int // as the settings number them
	Kinds     map[string]int
	Transport Transport
	Watch     func() // asks for changes of the list, where the module has to; must not wait
	// Stop is called once the pool has left the plan and its last request has ended; it must
	// not wait. Nil: nothing is to be stopped.
	Stop      func()
	Recording *Recording // nil: nothing is recorded
}

// Pool is the hosts of a service and the module that decides among them.
type Pool struct {
	Name   string
	engine *Engine
	cfg    PoolConfig

	ready  atomic.Bool  // a host is known that takes requests
	inside atomic.Int64 // requests in it, until over and no attempt is out

	// All below belongs to the loop.
	core   *balancer.Balancer
	bal    flight.Module // core, or the recorder in front of it
	record *recording    // nil: nothing is recorded
	acts   []balancer.Action
	denied []balancer.Outcome
	moved  []*Request
	hosts  map[balancer.HostID]*host
	takes  int // hosts that the list calls ready
	zones  numbers
	kinds  numbers
	chains []place // of the plan in use
	usable [2]int  // as the chains were told
	joined bool    // it has been in a plan, or never will be
	left   bool    // it is in no plan any more
	ended  bool
}

// host is a host as the loop knows it.
type host struct {
	Endpoint
	id, addr   string
	zone, kind string
	ready      bool
}

// NewPool makes a pool that is yet in no plan. Its Transport's Run is the caller's to start.
func (e *Engine) NewPool(cfg PoolConfig) (*Pool, error) {
	core, err := balancer.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	if cfg.Watch == nil {
		cfg.Watch = func() {}
	}
	p := &Pool{
		Name: cfg.Name, engine: e, cfg: cfg, core: core, bal: core,
		hosts: map[balancer.HostID]*host{}, zones: newNumbers(cfg.Zones), kinds: newNumbers(cfg.Kinds),
	}
	if cfg.Recording != nil {
		if err := p.startRecording(cfg.Recording); err != nil {
			return nil, err
		}
	}
	e.post(func(now balancer.Time) {
		e.pools[p] = struct{}{}
		p.bal.Start(now)
		p.perform(now)
	})
	return p, nil
}

// Ready says whether a host is known that takes requests.
func (p *Pool) Ready() bool { return p.ready.Load() }

// Inside is the number of requests in the pool, those answered whose last attempt is yet to
// end included.
func (p *Pool) Inside() int64 { return p.inside.Load() }

// Members is news of the list of hosts.
func (p *Pool) Members(kind balancer.ListKind, list discovery.MemberList) {
	p.engine.post(func(now balancer.Time) {
		if !p.ended {
			p.members(now, kind, list)
			p.perform(now)
		}
	})
}

func (p *Pool) members(now balancer.Time, kind balancer.ListKind, list discovery.MemberList) {
	if kind == balancer.ListFailed {
		p.bal.UpdateEndpoints(now, kind, nil)
		return
	}
	listed := map[balancer.HostID]bool{}
	entries := make([]balancer.Host, 0, len(list.Servers))
	var gone []balancer.HostID
	for i := range list.Servers {
		m := &list.Servers[i]
		e := balancer.Host{
			ID: hostID(m.ID), Zone: p.zones.number(m.Zone), Cell: m.Cell, Kind: p.kinds.number(m.Kind),
			State: m.HostState(), Started: balancer.Time(m.StartedMS) * balancer.Time(time.Millisecond),
		}
		h := p.hosts[e.ID]
		if h == nil && e.State == balancer.Removed {
			continue // it went before we knew of it
		} else if h == nil {
			h = &host{Endpoint: p.cfg.Transport.Host(m.ID), id: m.ID}
			p.hosts[e.ID] = h
			if p.record != nil {
				p.record.rec.Name(now, e.ID, m.ID)
			}
		} else if h.id != m.ID {
			// Two names with one HostID would be taken for one host.
			slog.Error("host left out: its id collides with another's", "host", m.ID, "other", h.id)
			continue
		}
		h.zone, h.kind, h.addr, h.ready = m.Zone, m.Kind, m.Addr, e.State == balancer.Ready
		listed[e.ID] = true
		entries = append(entries, e)
		h.Update(m.Addr, m.StartedMS, h.ready)
		if e.State == balancer.Removed {
			gone = append(gone, e.ID)
		}
	}
	if kind != balancer.ListChanges {
		for id, h := range p.hosts {
			if !listed[id] {
				gone = append(gone, id)
				h.Update("", 0, false)
			}
		}
	}
	p.bal.UpdateEndpoints(now, kind, entries)
	for _, id := range gone {
		delete(p.hosts, id) // what is still out there holds on to it
	}
	p.zones.forget(p.hosts, func(h *host) string { return h.zone })
	p.kinds.forget(p.hosts, func(h *host) string { return h.kind })
	p.takes = 0
	for _, h := range p.hosts {
		if h.ready {
			p.takes++
		}
	}
	p.ready.Store(p.takes > 0)
}

// GivenUp is the names of hosts that were given up and have not answered since, most at most.
func (p *Pool) EjectedHosts(most int) (names []string) {
	p.ask(func(balancer.Time) {
		if usable, ready := p.core.Usable(); usable == ready {
			return
		}
		for _, v := range p.core.Views(nil) {
			if h := p.hosts[v.Host]; h != nil && h.ready && v.Ejections > 0 && len(names) < most {
				names = append(names, h.id)
			}
		}
	})
	return names
}

// Address is where a host of the pool takes requests; "" where the list does not call it ready.
func (p *Pool) Address(name string) (addr string) {
	p.ask(func(balancer.Time) {
		if h := p.hosts[hostID(name)]; h != nil && h.id == name && h.ready {
			addr = h.addr
		}
	})
	return addr
}

// Hint says that a host that was given up may be worth a try, some time within.
func (p *Pool) HealthCheckPassed(name string, within time.Duration) {
	p.engine.post(func(now balancer.Time) {
		if h := p.hosts[hostID(name)]; h != nil && h.id == name && !p.ended {
			p.bal.HealthCheckPassed(now, hostID(name), within)
			p.perform(now)
		}
	})
}

// ask has the loop look at the pool, and waits for it.
func (p *Pool) ask(look func(now balancer.Time)) {
	done := make(chan struct{})
	if !p.engine.post(func(now balancer.Time) { look(now); close(done) }) {
		return
	}
	select {
	case <-done:
	case <-p.engine.done:
	}
}

// hostID is the same for an id at every gateway and after every restart.
func hostID(id string) balancer.HostID {
	h := fnv.New64a()
	h.Write([]byte(id))
	return balancer.HostID(h.Sum64())
}

// take gives a request to the pool's module.
func (p *Pool) take(now balancer.Time, x *Request) {
	e := p.engine
	e.lastID++
	x.id, x.pool, x.attempts = e.lastID, p, x.attempts[:0]
	e.open[x.id] = x
	p.inside.Add(1)
	p.bal.Request(now, balancer.Request{
		ID: x.id, Class: x.Class, Tenant: x.Tenant, Duplicate: x.Repeat,
		Remaining: max(0, e.clock.at(e.capped(x.Deadline))-now),
	})
	p.perform(now)
}

// capped is a time, or the exit where that comes before it.
func (e *Engine) capped(at time.Time) time.Time {
	if by := e.exit.by(); by != nil && at.After(*by) {
		return *by
	}
	return at
}

// Retune has the pool's module take over new settings, and puts a plan into use that goes with
// them, in one step. settle is called in the loop, with what says whether a request may be under
// the number of a class still; its plan has the pool in it. It returns once that is done.
func (e *Engine) Retune(p *Pool, settle func(inUse func(class int) bool) (set balancer.Settings, from []int, names []string, plan *Plan)) error {
	done := make(chan error, 1)
	if !e.post(func(now balancer.Time) { done <- e.retune(now, p, settle) }) {
		return context.Canceled
	}
	select {
	case err := <-done:
		return err
	case <-e.done:
		return context.Canceled
	}
}

func (e *Engine) retune(now balancer.Time, p *Pool, settle func(func(int) bool) (balancer.Settings, []int, []string, *Plan)) error {
	e.sweep()
	used := map[int]bool{}
	for _, x := range e.open {
		used[x.Class] = used[x.Class] || x.pool == p
	}
	// Whoever is on a plan may yet submit a request of any of its classes.
	for _, plan := range append(e.left[:len(e.left):len(e.left)], e.plan.Load()) {
		for _, r := range plan.routes {
			for _, class := range r.Names {
				used[class] = true
			}
		}
	}
	set, from, names, plan := settle(func(class int) bool { return used[class] })
	if p.record != nil {
		p.record.rec.Classes(names)
	}
	if err := p.bal.Retune(now, set, from); err != nil {
		return err
	}
	if p.record != nil {
		for id, h := range p.hosts {
			p.record.rec.Name(now, id, h.id)
		}
	}
	e.use(now, plan)
	p.perform(now)
	return nil
}

// perform carries out what the module has decided. It is called behind each event of the
// pool.
func (p *Pool) perform(now balancer.Time) {
	e := p.engine
	for again := true; again; {
		p.acts = p.bal.TakeActions(p.acts[:0])
		for i := range p.acts {
			a := &p.acts[i]
			switch a.Kind {
			case balancer.Send:
				p.send(now, a)
			case balancer.Cancel:
				if x := e.open[a.Request]; x != nil && a.Attempt < len(x.attempts) {
					x.attempts[a.Attempt]()
				}
			case balancer.Reject, balancer.Fail:
				p.answer(now, a)
			case balancer.Wake:
				heap.Push(&e.timers, wake{a.At, a.Token, p})
			case balancer.Close:
				if h := p.hosts[a.Host]; h != nil {
					h.CloseIdle()
				}
			case balancer.Poll:
				p.cfg.Watch()
			case balancer.Log:
				p.say(a)
			}
		}
		// What the route's budget denied never went out; the module is told, and says what
		// follows: in the end, the final answer.
		again = len(p.denied) > 0
		for _, o := range p.denied {
			p.bal.AttemptEnded(now, o)
		}
		p.denied = p.denied[:0]
	}
	if len(p.chains) > 0 {
		p.tell(now)
	}
	for len(p.moved) > 0 {
		x := p.moved[len(p.moved)-1]
		p.moved = p.moved[:len(p.moved)-1]
		x.chain.pools[x.level].take(now, x)
	}
}

// say logs what the module has to say.
func (p *Pool) say(a *balancer.Action) {
	var args []any
	if h := p.hosts[a.Host]; h != nil {
		args = append(args, "host", h.id)
	}
	if p.Name != "" {
		args = append(args, "pool", p.Name)
	}
	slog.Info(a.Text, args...)
}

// send starts an attempt; its end comes back as one event, whatever happens.
func (p *Pool) send(now balancer.Time, a *balancer.Action) {
	e := p.engine
	x, h := e.open[a.Request], p.hosts[a.Host]
	if x == nil || h == nil {
		// The module names only what it was told of, and keeps no request longer.
		panic("engine: attempt of an unknown request or host")
	}
	n := len(x.attempts)
	if x.sent > 0 && !p.again(now, x) {
		x.attempts = append(x.attempts, func() {})
		p.denied = append(p.denied, balancer.Outcome{Request: x.id, Attempt: n, Result: balancer.NotSent, Closed: x.Over()})
		return
	}
	until := e.capped(x.Deadline)
	x.WriteBy = time.Time{}
	if a.At > 0 {
		x.WriteBy = e.clock.time(a.At)
	}
	var ctx context.Context
	var cancel context.CancelFunc
	if x.Body.Whole() {
		ctx, cancel = context.WithDeadline(e.ctx, until)
	} else {
		ctx, cancel = context.WithCancel(e.ctx) // whoever waits ends it: see Do
	}
	x.attempts = append(x.attempts, cancel)
	x.out++
	x.sent++
	go func() {
		// Taken here, not by the loop: what waits for the loop, or for a turn on the
		// core, is no latency of the host.
		sent := time.Now()
		result := h.Attempt(ctx, x)
		took := time.Since(sent)
		cancel()
		e.post(func(now balancer.Time) { p.over(now, x, n, took, result) })
	}()
}

// again says whether a request may have another attempt, beside what the module allows. A
// trial has one in the pool that it tries, and where another pool may still serve it, the
// last of all is kept for that.
func (p *Pool) again(now balancer.Time, x *Request) bool {
	if len(x.attempts) > 0 && len(x.chain.pools) > 1 && (x.trial || x.sent >= attemptsMost-1) && (x.proved || x.Route.safe(x.Class)) {
		if _, ok := x.chain.state.Next(now, x.level, x.trial); ok {
			return false
		}
	}
	return x.sent < attemptsMost && (x.Route.budget == nil || x.Route.budget.Retry(now))
}

// over is the end of an attempt. The first good answer ends the request by itself; the
// module is told so.
func (p *Pool) over(now balancer.Time, x *Request, n int, took time.Duration, r Result) {
	x.out--
	outcome := r.Outcome
	if r.Part && x.Route.Plain != nil && outcome == balancer.ConnectFailed {
		outcome = balancer.Reset // a server of plain HTTP may act on a part
	}
	if r.Answered {
		outcome = x.Route.Judge(&r.Answer)
		switch {
		case outcome == balancer.OK && x.finish(r.Answer):
			p.answered(false)
		case outcome != balancer.OK && x.Route.PassOn && !x.Over():
			x.last.discard()
			x.last = r.Answer
		default:
			r.Answer.discard()
		}
	}
	if x.loose {
		p.spent(x, outcome)
		return
	}
	x.proved = x.proved && !outcome.MayHaveRun()
	x.unreached = x.unreached && (outcome == balancer.ConnectFailed || outcome == balancer.NotSent)
	// Asked once: whoever finishes it between the module's being told and its release says so by an
	// event of its own, and until that the module may send again.
	closed := x.Over()
	p.bal.AttemptEnded(now, balancer.Outcome{
		Request: x.id, Attempt: n, Result: outcome,
		Elapsed: took, Closed: closed,
	})
	if closed {
		p.engine.release(x)
	}
	p.perform(now)
}

// spent is the end of the one attempt of a request whose body was let go: the client gets what
// the host said, a refusal where nothing of it ever ran, or a failure.
func (p *Pool) spent(x *Request, outcome balancer.Result) {
	if !x.Over() {
		final := Answer{Kind: Failed}
		if x.last.Kind == Served {
			final, x.last = x.last, Answer{}
		} else if x.proved && !outcome.MayHaveRun() {
			final = Answer{Kind: Refused, RetryAfter: min(looseRetryAfter, p.cfg.Settings.MaxRetryAfter)}
		}
		if x.finish(final) {
			p.answered(final.Kind == Refused)
		} else {
			final.discard()
		}
	}
	p.engine.release(x)
}

// answer gives the module's final answer, unless another pool of the chain may still serve
// the request.
func (p *Pool) answer(now balancer.Time, a *balancer.Action) {
	e := p.engine
	x := e.open[a.Request]
	if x == nil {
		return
	}
	if a.Kind == balancer.Reject && p.moves(now, x) {
		return
	}
	p.answered(a.Kind == balancer.Reject)
	final := Answer{Kind: Failed}
	switch {
	case a.Cause == balancer.CauseSpent && x.last.Kind == Served:
		// All that it may have had has ended, and this is what a host said.
		final, x.last = x.last, Answer{}
	case a.Kind == balancer.Reject:
		final = Answer{Kind: Refused, RetryAfter: a.RetryAfter}
	}
	if !x.finish(final) {
		final.discard()
	}
	e.release(x)
}

// moves has a request that its pool turns away go on to the next pool of its chain: only
// where connections to this one failed or it was sent here as a trial, and nothing of it
// may have run. A pool that is full keeps its refusals, as they would push over the next.
func (p *Pool) moves(now balancer.Time, x *Request) bool {
	if len(x.chain.pools) < 2 || x.out > 0 || x.Over() || x.sent >= attemptsMost || !x.proved && !x.Route.safe(x.Class) ||
		!x.trial && (x.sent == 0 || !x.unreached) || !x.Deadline.After(p.engine.clock.time(now)) {
		return false
	}
	next, ok := x.chain.state.Next(now, x.level, x.trial)
	if !ok {
		return false
	}
	x.level, x.trial = next, false
	p.engine.leave(x)
	p.moved = append(p.moved, x)
	return true
}

// tell has the chains know how many hosts can be used, where that has changed.
func (p *Pool) tell(now balancer.Time) {
	usable, drawn := p.core.Usable()
	if drawn > 0 {
		usable = usable * p.takes / drawn // the module may draw from a part, which stands for all
	} else {
		usable = p.takes // it has yet to look at the list
	}
	if p.usable == [2]int{usable, len(p.hosts)} {
		return
	}
	p.usable = [2]int{usable, len(p.hosts)}
	for _, c := range p.chains {
		c.chain.state.Usable(now, c.level, usable, len(p.hosts))
	}
}
