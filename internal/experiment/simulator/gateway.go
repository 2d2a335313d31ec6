package simulator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"dunemoor/balancer"
)

// start has a gateway begin with the list as it is.
func (w *world) start(g *gateway, how balancer.ListKind) error {
	set := w.cfg.Settings
	set.Rank = g.id
	bal, err := balancer.New(set, w.cfg.Seed<<16+uint64(g.id)<<4+uint64(g.life))
	if err != nil {
		return err
	}
	g.bal, g.up, g.left, g.news = bal, true, 0, !w.cfg.Settings.Poll
	g.idle, g.open = map[int]idleSet{}, map[balancer.RequestID]*request{}
	list := w.listed()
	if set.Poll {
		how = balancer.ListSaved // a whole list comes of asking only
	}
	w.tell(g, func() {
		bal.Start(w.now)
		bal.UpdateEndpoints(w.now, how, list)
	})
	return nil
}

func (w *world) entry(h *host) balancer.Host {
	return balancer.Host{ID: balancer.HostID(h.id + 1), Zone: h.Zone, Cell: h.cell, State: h.state, Started: h.started}
}

// tell tells a gateway's module of an event and carries out what it decides.
func (w *world) tell(g *gateway, what func()) {
	what()
	w.acts = g.bal.TakeActions(w.acts[:0])
	for _, a := range w.acts {
		switch a.Kind {
		case balancer.Send:
			w.send(g, &a)
		case balancer.Cancel:
			if r := g.open[a.Request]; r != nil && !r.attempts[a.Attempt].ended && !r.attempts[a.Attempt].called {
				r.attempts[a.Attempt].called = true
				w.queue.push(answerAt(w.now, balancer.Canceled, uint64(a.Attempt), r))
			}
		case balancer.Reject:
			if r := g.open[a.Request]; r != nil {
				w.why(r, a.Cause)
				w.final(r, outcomeRefused, a.RetryAfter)
				w.forget(r)
			}
		case balancer.Fail:
			if r := g.open[a.Request]; r != nil {
				w.why(r, a.Cause)
				w.final(r, outcomeFailed, 0)
				w.forget(r)
			}
		case balancer.Wake:
			w.queue.push(event{at: max(a.At, w.now), kind: evTimer, a: int32(g.id), life: g.life, n: a.Token})
		case balancer.Close:
			id := int(a.Host) - 1
			if set := g.idle[id]; set.life == w.hosts[id].life {
				w.hosts[id].conns -= set.n
			}
			delete(g.idle, id)
		case balancer.Poll:
			w.call(g)
		}
	}
}

// answerAt is the end of an attempt that comes to its gateway.
func answerAt(at balancer.Time, result balancer.Result, n uint64, r *request) event {
	return event{at: at, kind: evAnswer, a: int32(result), n: n, r: r}
}

// why counts the cause of an answer that serves nothing.
func (w *world) why(r *request, cause balancer.Cause) {
	if int(cause) < causes {
		w.sum.Classes[r.class].Why[cause]++
	}
}

// send starts an attempt.
func (w *world) send(g *gateway, a *balancer.Action) {
	r := g.open[a.Request]
	h := w.hosts[int(a.Host)-1]
	if r == nil || r.over {
		w.broke(RuleLost, "request %d is sent on when it is over", a.Request)
		return
	}
	for i := range r.attempts {
		if !r.attempts[i].ended && !r.attempts[i].called {
			w.broke(RuleTwice, "request %d has two attempts out", r.id)
		}
	}
	if most := w.cfg.Settings.MaxAttempts; most > 0 && len(r.attempts) >= most {
		w.broke(RuleTwice, "request %d has %d attempts, %d are allowed", r.id, len(r.attempts)+1, most)
	}
	if h.told != nil && h.told[g.id] > 0 && w.now > h.told[g.id]+drainGrace {
		w.broke(RuleDrain, "gateway %d sends to host %d %v after it was told not to", g.id, h.id, w.now-h.told[g.id])
	}
	w.sentCold(h, r)
	if w.warmth(h) < 1 {
		w.second().ColdSends++
	}
	if !h.up || h.silent || h.hung || h.unheard || h.cut {
		w.second().DeadSends++
	}
	n := len(r.attempts)
	r.attempts = append(r.attempts, attempt{host: h, sent: w.now})
	w.sum.Attempts++
	t := &r.attempts[n]
	w.queue.push(event{at: r.until, kind: evUntil, n: uint64(n), r: r})
	way := w.delay(g)
	if set := g.idle[h.id]; set.n > 0 && set.life == h.life {
		set.n--
		g.idle[h.id] = set
		if h.silent || h.cut {
			w.ran(h, r, n) // for all that anybody knows: nothing ever comes back
			return
		}
		w.queue.push(event{at: w.now + way, kind: evReach, n: uint64(n), r: r})
		return
	}
	t.fresh = true
	switch {
	case h.silent, h.cut && !g.seesResets():
		w.queue.push(answerAt(w.now+w.cfg.Net.Connect, balancer.ConnectFailed, uint64(n), r))
	case !h.up, h.cut, h.Conns > 0 && h.conns >= h.Conns:
		w.queue.push(answerAt(w.now+2*way, balancer.ConnectFailed, uint64(n), r))
	default:
		h.conns++
		w.sum.Conns++
		w.second().Handshakes++
		w.queue.push(event{at: w.now + 3*way, kind: evReach, n: uint64(n), r: r})
	}
}

// delay is one way through the network of a gateway.
func (w *world) delay(g *gateway) time.Duration {
	d := w.cfg.Net.Delay
	if w.cfg.Net.Spread > 0 {
		d += time.Duration(float64(d) * w.cfg.Net.Spread * g.rng.ExpFloat64())
	}
	return d
}

// reach is an attempt that comes to its host.
func (w *world) reach(r *request, n int) {
	a := &r.attempts[n]
	h := a.host
	switch {
	case a.called && !a.ended:
		return // called off on its way
	case h.silent, h.cut:
		w.ran(h, r, n) // nobody can tell
	case !h.up:
		// It had connected, or kept a connection from before: the end may have come behind its
		// last byte.
		w.queue.push(answerAt(w.now+w.delay(r.gateway), balancer.Reset, uint64(n), r))
	default:
		w.take(h, r, n)
	}
}

// answer is the end of an attempt that comes to its gateway.
func (w *world) answer(r *request, n int, result balancer.Result) {
	if a := &r.attempts[n]; !a.ended && r.gateway.up && r.gateway.life == r.life {
		w.ended(r, n, result)
	}
}

// ended tells the module of an attempt's end, once.
func (w *world) ended(r *request, n int, result balancer.Result) {
	g, a := r.gateway, &r.attempts[n]
	a.ended = true
	h := a.host
	switch result {
	case balancer.OK, balancer.Failed, balancer.Full:
		if a.life == h.life && h.up {
			set := g.idle[h.id]
			if set.life != h.life {
				set = idleSet{life: h.life}
			}
			set.n++
			g.idle[h.id] = set
		}
	case balancer.TimedOut, balancer.Canceled:
		if h.conns > 0 && h.up { // its connection is closed
			h.conns--
		}
	}
	if result == balancer.OK && !r.over {
		w.final(r, outcomeServed, 0)
	}
	w.tell(g, func() {
		g.bal.AttemptEnded(w.now, balancer.Outcome{Request: r.id, Attempt: n, Result: result, Elapsed: w.now - a.sent, Closed: r.over})
	})
	w.forget(r)
}

// forget lets go of a request that is over and has nothing out.
func (w *world) forget(r *request) {
	if !r.over {
		return
	}
	for i := range r.attempts {
		if !r.attempts[i].ended {
			return
		}
	}
	delete(r.gateway.open, r.id)
}

// trouble begins or ends something that goes wrong.
func (w *world) trouble(i int, begins bool) {
	t := &w.cfg.Troubles[i]
	if w.hit == nil {
		w.hit = make([][]int, len(w.cfg.Troubles))
	}
	all := len(w.hosts)
	if t.Kind == Gateway || t.Kind == Restart {
		all = len(w.gateways)
	}
	if t.Kind == Blind {
		w.blinded(begins)
		return
	}
	if begins {
		w.hit[i] = stream(w.cfg.Seed, "trouble", i).Perm(all)[:max(1, int(t.Part*float64(all)+0.5))]
	}
	if t.Kind == Restart || t.Kind == Replace {
		for n := range w.hit[i] {
			if begins {
				steps := max(t.Steps, 1)
				w.queue.push(event{at: w.now + t.For/time.Duration(steps)*time.Duration(n*steps/len(w.hit[i])), kind: evStep, a: int32(i), n: uint64(w.hit[i][n])})
			}
		}
		return
	}
	for _, k := range w.hit[i] {
		if t.Kind == Gateway {
			w.kill(w.gateways[k], begins)
			continue
		}
		h := w.hosts[k]
		w.advance(h)
		before := w.among(h)
		if begins {
			h.hits = append(h.hits, i)
		} else {
			h.hits = slices.DeleteFunc(h.hits, func(n int) bool { return n == i })
		}
		now := w.among(h)
		switch {
		case now.down && !before.down:
			w.end(h, t.Kind == Crash)
			w.list(h, balancer.Removed, w.cfg.Lists.Silent)
		case now.down: // and was
		case before.down:
			w.begin(h)
			w.list(h, now.listed(), w.cfg.Lists.Delay)
		case now.drained && !before.drained:
			w.list(h, balancer.Draining, w.cfg.Lists.Delay)
		case before.drained && !now.drained:
			w.end(h, true)
			w.begin(h)
			w.list(h, balancer.Ready, w.cfg.Lists.Delay)
		}
		h.silent, h.hung, h.unheard, h.slow, h.errors = now.silent, now.hung, now.unheard, now.slow, now.errors
		h.lossy = now.lossy
		if now.cut && !h.cut {
			w.cut(h)
		}
		if h.cut && !now.cut && !now.down && h.state == balancer.Removed {
			w.list(h, now.listed(), w.cfg.Lists.Delay)
		}
		h.cut = now.cut
		w.settle(h)
	}
}

// ills are what goes wrong with a host at a time, whichever troubles that is of.
type ills struct {
	down, silent, drained, hung, unheard, cut bool
	slow, errors, lossy                       float64
}

func (s ills) listed() balancer.HostState {
	if s.drained {
		return balancer.Draining
	}
	return balancer.Ready
}

// among is what the troubles make of a host that it is hit by now. They may overlap: it is down
// until the last that has it down has ended, and as slow as the worst makes it.
func (w *world) among(h *host) ills {
	s := ills{slow: 1}
	for _, i := range h.hits {
		t := &w.cfg.Troubles[i]
		switch t.Kind {
		case Crash:
			s.down = true
		case Vanish:
			s.down, s.silent = true, true
		case Drain:
			s.drained = true
		case Hang:
			s.hung = true
		case Unheard:
			s.unheard = true
		case Cut:
			s.cut = true
		case Lossy:
			s.lossy = max(s.lossy, t.Size)
		case Slow:
			s.slow = max(s.slow, t.Size)
		case Errors:
			s.errors = max(s.errors, t.Size)
		}
	}
	return s
}

// list has every gateway hear of a host, each in its time.
func (w *world) list(h *host, state balancer.HostState, delay time.Duration) {
	h.state = state
	for i := range w.gateways {
		at := w.now + delay
		if w.cfg.Lists.Spread > 0 {
			at += time.Duration(w.lists.Float64() * float64(w.cfg.Lists.Spread))
		}
		w.queue.push(event{at: at, kind: evList, a: int32(i), n: uint64(h.id)})
	}
}

// hear tells a gateway how a host is by now.
func (w *world) hear(g *gateway, h *host) {
	if g.news || !w.cfg.Settings.Poll {
		w.noteTold(g, h)
	}
	if g.up && g.news {
		w.tell(g, func() { g.bal.UpdateEndpoints(w.now, balancer.ListChanges, []balancer.Host{w.entry(h)}) })
	}
}

// kill ends a gateway, or starts it again with the list as it has it saved, once the last trouble
// that has it down has ended.
func (w *world) kill(g *gateway, begins bool) {
	if begins {
		g.downs++
	} else {
		g.downs--
	}
	if begins && g.downs > 1 || !begins && g.downs > 0 {
		return
	}
	if !begins {
		if err := w.start(g, balancer.ListSaved); err != nil {
			panic(err) // its settings were right before
		}
		return
	}
	g.up, g.since = false, w.now
	g.life++
	for id, set := range g.idle {
		if h := w.hosts[id]; set.life == h.life {
			h.conns -= set.n
		}
	}
	open := g.open
	g.open = nil
	for _, r := range inOrder(open) {
		for i := range r.attempts {
			if a := &r.attempts[i]; !a.ended && a.host.conns > 0 {
				a.host.conns--
			}
		}
		if !r.over {
			r.over = true
			w.retry(r, outcomeLeft, 0)
		}
	}
}

// inOrder are requests by their ids: a run must not depend on the order of a map.
func inOrder(open map[balancer.RequestID]*request) []*request {
	return slices.SortedFunc(maps.Values(open), func(a, b *request) int { return cmp.Compare(a.id, b.id) })
}
