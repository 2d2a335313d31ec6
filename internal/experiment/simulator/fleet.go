package simulator

import (
	"time"

	"dunemoor/balancer"
)

// What happens to a fleet as a whole: planned restarts, hosts that are replaced, ways that are cut,
// and a discovery that must be asked.

// step is the next one that a trouble in steps comes to.
func (w *world) step(trouble, k int) {
	deadline := time.Duration(0)
	for _, c := range w.cfg.Settings.Classes {
		deadline = max(deadline, c.Deadline)
	}
	gone := event{at: w.now + deadline + leaveEnds, kind: evGone, a: int32(trouble), n: uint64(k)}
	if w.cfg.Troubles[trouble].Kind == Restart {
		if g := w.gateways[k]; g.up && g.left == 0 {
			g.left = max(w.now, 1)
			w.queue.push(gone)
		}
		return
	}
	old := w.hosts[k]
	if old.replaced || !old.up || old.state != balancer.Ready {
		return // something else has it already
	}
	old.replaced = true
	id := len(w.hosts)
	h := &host{Kind: old.Kind, id: id, cell: old.cell, rng: stream(w.cfg.Seed, "errors", id), slow: 1}
	w.hosts = append(w.hosts, h)
	w.begin(h)
	w.list(h, balancer.Ready, w.cfg.Lists.Delay)
	w.list(old, balancer.Draining, w.cfg.Lists.Delay)
	w.queue.push(gone)
}

// restarted ends a gateway that was asked to end, and starts it again. What it has not answered by
// now is lost, and that breaks the first rule: it had the time.
func (w *world) restarted(g *gateway) {
	if !g.up || g.left == 0 {
		return // it has died on the way
	}
	for _, r := range inOrder(g.open) {
		if !r.over {
			w.broke(RuleLost, "request %d is unanswered when gateway %d ends as planned", r.id, g.id)
		}
	}
	w.kill(g, true)
	w.kill(g, false)
}

// cut breaks the way to a host: those that see resets lose what is under way, at once.
func (w *world) cut(h *host) {
	for _, g := range w.gateways {
		if !g.up || !g.seesResets() {
			continue
		}
		if set := g.idle[h.id]; set.life == h.life {
			h.conns -= set.n
		}
		delete(g.idle, h.id)
		for _, r := range inOrder(g.open) {
			for i := range r.attempts {
				if a := &r.attempts[i]; !a.ended && a.host == h {
					w.queue.push(answerAt(w.now+w.delay(g), balancer.Reset, uint64(i), r))
				}
			}
		}
	}
	w.queue.push(event{at: w.now + w.cfg.Lists.Silent, kind: evCutSeen, a: int32(h.id)})
}

// seesResets says whether a gateway sees resets where a way is cut, and not silence.
func (g *gateway) seesResets() bool { return g.id%2 == 1 }

// call is a gateway's call for the list. Discovery works on one after the other.
func (w *world) call(g *gateway) {
	w.second().ListCalls++
	g.asks++
	e := event{kind: evCall, a: int32(g.id), life: g.asks}
	begin := max(w.now, w.called)
	switch {
	case w.blind > 0:
		e.at = w.now + w.cfg.Net.Delay
	case begin-w.now > callWaits:
		e.at = w.now + callWaits
	default:
		w.called = begin + w.cfg.Lists.Call
		e.at, e.n = w.called, 1
	}
	w.queue.push(e)
}

// told is the end of a call: the whole list, and changes from then on.
func (w *world) told(g *gateway, ask uint32, well bool) {
	if !g.up || ask != g.asks {
		return // it was called before the gateway died, or a later one goes on
	}
	if g.news = well && w.blind == 0; !g.news {
		w.tell(g, func() { g.bal.UpdateEndpoints(w.now, balancer.ListFailed, nil) })
		return
	}
	for _, h := range w.hosts {
		w.noteTold(g, h)
	}
	list := w.listed()
	w.tell(g, func() { g.bal.UpdateEndpoints(w.now, balancer.ListFull, list) })
}

// listed is the list as it is.
func (w *world) listed() []balancer.Host {
	list := make([]balancer.Host, 0, len(w.hosts))
	for _, h := range w.hosts {
		if h.state != balancer.Removed {
			list = append(list, w.entry(h))
		}
	}
	return list
}

// noteTold notes what a gateway is told of a host, for the rule on drains.
func (w *world) noteTold(g *gateway, h *host) {
	if h.told == nil {
		h.told = make([]balancer.Time, len(w.gateways))
	}
	if h.state == balancer.Ready {
		h.told[g.id] = 0
	} else if h.told[g.id] == 0 {
		h.told[g.id] = max(w.now, 1)
	}
}

// blinded takes discovery down, or has it back: watches end.
func (w *world) blinded(begins bool) {
	if !begins {
		w.blind--
		return
	}
	w.blind++
	for _, g := range w.gateways {
		if g.up && w.cfg.Settings.Poll && g.news {
			g.news = false
			w.tell(g, func() { g.bal.UpdateEndpoints(w.now, balancer.ListFailed, nil) })
		}
	}
}

// idle counts what the hosts that can be reached did in the last second, of what they could do.
func (w *world) idle() {
	done, could := 0.0, 0.0
	for _, h := range w.hosts {
		w.advance(h)
		done += h.busy
		if h.up && !h.silent && !h.hung && !h.cut {
			could += w.speed(h) * float64(h.Cores)
		}
	}
	if s := &w.sum.Seconds[int(w.now.Seconds())-1]; could > 0 {
		s.Idle = max(0, 1-(done-w.spent)/could)
	}
	w.spent = done
}
