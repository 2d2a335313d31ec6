package balancer

// Every decision of the balancer. The types it speaks in are in api.go.
//
// Reading order: the constants (New and what a Balancer keeps are in state.go, the sets
// that hosts stand in are in sets.go); one method per event, from Start to Timer; then
// what they call: place, pick and redraw (the ordinary path), belongs (who is ready),
// load to sample (the score), repeatable to paceCold (what else says who is ready),
// observe, adjust and press (what is learnt), settle to end (what follows an attempt),
// enqueue to serve (waiting), listen (silence), and last discovery.
//
// The ordinary path is failure-aware peak EWMA with two choices: of two random
// ready hosts the one with the lower estimate x (own pending + 1) gets the
// request. Departures from it decide who is ready, and each says when it acts.

import (
	"maps"
	"math"
	"slices"
)

// The constants, each relative to settings or to what is measured.
const (
	decayAims    = 8         // the estimate's decay, in shortest aims: it outlasts a gap between samples
	decayGaps    = 4         // ... or in gaps between two samples of a host, if that is more
	decayMost    = 8         // ... but this many times the former at most
	reachSamples = 6         // samples that an instance wants of each host within the decay
	reachSharers = 4         // instances that draw from each host at least: none hangs on the view of one
	reachLeast   = 3         // hosts that an instance draws from at least: two may be out and leave a choice
	redrawShare  = 0.25      // time between two moves on the ring, in warm-up times: new hosts are cold
	kindsMost    = 255       // kinds told apart
	seedShare    = 0.25      // RTT of an unknown host, in shortest aims: it must not look free
	penaltyAims  = 1         // base penalty of an error or refusal, in longest aims: above ordinary answers
	meanWeight   = 0.1       // weight of a sample in a mean: about the last ten count
	longWeight   = 1.0 / 256 // weight of a sample in what is usual: a jam must not become usual
	backoffAims  = 2         // first ejection, in shortest aims
	backoffMax   = 5         // doublings of an ejection at most
	patience     = 4         // deviations above the mean RTT after which an unheard host counts as silent
	coldMargin   = 0.5       // share of the cold budget that is used: rates are learnt and work varies
	rateFalls    = 4         // span of a host's rate of answers, in Falls
	limitStart   = 4         // attempts a new host may hold from the whole bank
	limitAims    = 0.375     // mean RTT that the in-flight limit of a host steers to, in aims
	limitTimes   = 2         // ... or in times what is usual for the class, if that is less
	recentAims   = 0.5       // span of a host's recent mean RTT, in shortest aims: faster than hosts tip
	recentMost   = 0.5       // weight of one answer in that mean at most: one may be odd
	limitLeast   = 2         // ... and is never kept from holding: one runs while the next arrives
	growth       = 0.3       // attempts that the bank adds at a host in a round in which one was wanted
	overdueAims  = 0.5       // age of an attempt, in aims, from which its host gets no other
	pressAims    = 0.45      // RTT that the rate of sends steers to, in aims of the class: half is for spread
	pressTimes   = 1.5       // ... or in times what is usual for the class, if that is less
	pressMost    = 3         // RTT that one answer counts as at most, in times the target: it may be odd
	pressWeight  = 1.0 / 8   // weight of an answer in that mean: few samples must do
	pressDevs    = 1.0       // mean deviations by which it must pass the target: three standard errors
	boundShare   = 8         // instances at a host from which the bound acts: each has part of an attempt
	boundDecays  = 0.5       // time in which that bound grows by e, in decays: a cut is soon gone
	boundBurst   = 4         // sends that may be saved up under the bound
	quotaBurst   = 1.0       // seconds of its quota a tenant may save up
	repeatWorth  = 0.5       // worth of a client's repeat while others wait, as a share: it may come late
	harmWeight   = 1.0 / 8   // weight of a request in the share of a class that finds no host
	harmLeast    = 0.1       // share from which others leave room for it: chance alone brings some
	harmMost     = 0.3       // share from which they leave it all the room that they may
	harmFalls    = 16        // span in which that share fades, in Falls: it must outlast gaps
	waitShare    = 0.2       // of its aim that a request waits for a host at most, by those that share one
	sweepShare   = 1.0 / 16  // time between looks at waiting requests and silent hosts, in shortest aims
	errorWeight  = 0.25      // weight of an answer in a host's share of errors in a class
	errorsMost   = 0.5       // share above which it is out for the class: the third in a row
	errorsUnsafe = 0.35      // ... of any class, above which it is out for unsafe ones: the second
	errorsLeast  = 0.25      // share below which it is taken for mended
	passedAfter  = 3         // later answers of its host after which an attempt was passed by
	recallAims   = 0.3       // age, in aims, at which one that was passed by is called off
	muteWeight   = 1.0 / 8   // weight of an attempt in the share of such that stay silent
	muteMost     = 0.2       // share from which they are called off: a loss costs more than work done twice
	spoiltMost   = 2         // spoilt or broken answers of a host in a row from which each counts
	drawTries    = 32        // draws before hosts are gathered: 9 in 10 may be out
	groupLarge   = 64        // hosts of a group up to which they are gathered at once
	answerSteps  = 2         // steps ahead of its deadline that a request is answered at the latest
)

// Start is the first event: the gateway has come up. Where the list must be
// asked for, the watch begins here, spread by rank so that a bank that starts
// together does not swamp discovery.
func (b *Balancer) Start(now Time) {
	b.now = now
	if b.set.Ask {
		b.watchIn(b.set.AskWithin / 4 * Time(b.set.Rank) / Time(b.set.Instances))
	}
}

// Hosts is news of the host list.
func (b *Balancer) Hosts(now Time, kind ListKind, list []Host) {
	b.now = now
	if kind == ListFailed {
		b.lostList()
		return
	}
	if kind != ListSaved {
		b.foundList()
	}
	b.touched = b.touched[:0]
	if kind != ListChanges {
		for _, h := range b.hosts {
			h.State = Removed
		}
		b.touched = append(b.touched, b.hosts...)
	}
	for _, e := range list {
		if h := b.learn(e); h != nil {
			b.touched = append(b.touched, h)
		}
	}
	b.laid, b.grouped, b.redrawn = false, false, false
	for _, h := range b.touched {
		b.rank(h)
	}
	for _, h := range b.touched {
		if h.limit == 0 { // it is new
			h.limit = limitStart / b.sharers()
		}
		if h.cold && h.coldNext == 0 {
			b.paceCold(h)
		}
		if h.State != Ready {
			b.undraw(h)
		}
		b.recheck(h)
		b.forget(h)
	}
	clear(b.touched)
	b.pump()
}

// reach is how many hosts this instance draws from, of those that are warm: as many as its
// own traffic brings reachSamples each within the decay, no fewer than a choice of two needs
// with one out, nor than give each host reachSharers instances. It acts where that is
// less than there are. It guards against scores and limits that rest on no sample, and
// against a connection from every instance to every host, which fills their tables.
func (b *Balancer) reach() int {
	sampled := b.rate.now(b.now, b.rateSpan()) * b.decay / reachSamples
	shared := float64(reachSharers*b.places()) / float64(b.set.Instances)
	return min(b.places(), max(reachLeast, int(math.Ceil(max(sampled, shared)))))
}

// places is how many hosts the instances part among them: those that are warm, as a cold
// one has next to no room, and all that are ready where hardly any is warm.
func (b *Balancer) places() int {
	if b.listed[0] < reachLeast {
		return b.listed[0] + b.listed[1]
	}
	return b.listed[0]
}

// decayNow is the decay of the estimates. Where traffic is thin it follows the gap
// between two samples of a host, or every estimate would fade before the next.
func (b *Balancer) decayNow() float64 {
	rate := b.rate.now(b.now, b.rateSpan())
	if rate == 0 {
		return b.decay
	}
	return max(b.decay, min(decayGaps*float64(b.reach())/rate, decayMost*b.decay))
}

// sharers is how many instances draw from a host. Hosts that none may use do not count:
// where most drain or are cold, all share those that are left.
func (b *Balancer) sharers() float64 {
	return max(1, float64(b.set.Instances*b.reach())/max(float64(b.places()), 1))
}

// learn takes over one entry of the list.
func (b *Balancer) learn(e Host) *host {
	h := b.byID[e.ID]
	if h == nil {
		if e.State == Removed {
			return nil
		}
		h = &host{heard: b.now, rttAt: b.now, class: make([]failing, len(b.set.Classes))}
		h.stands, h.look = setNone, forever
		h.mark = mix(uint64(e.ID))
		h.at = len(b.hosts)
		b.byID[e.ID] = h
		b.hosts = append(b.hosts, h)
		h.ID, h.Kind = e.ID, e.Kind
		b.enlist(h)
	}
	if h.Kind != e.Kind {
		b.delist(h)
		h.Kind = e.Kind
		b.enlist(h)
	}
	started := h.Started
	h.Host = e
	if e.Started > 0 && e.Started != started {
		b.chill(h, e.Started)
	}
	return h
}

// chill marks a host cold as of its start. Its first send waits its turn too, as
// a host that leaves the list and returns may have been sent to just before.
func (b *Balancer) chill(h *host, since Time) {
	if b.set.ColdFrom < 1 && b.now-since < b.set.WarmAfter {
		h.cold, h.coldAt, h.coldNext = true, since, 0 // paced once all of the list is known
	}
}

// Request is a client's request, owed one final answer from here on.
func (b *Balancer) Request(now Time, q Request) {
	b.now = now
	if b.reqs[q.ID] != nil || q.Class < 0 || q.Class >= len(b.set.Classes) {
		return
	}
	r := b.newRequest()
	r.Request, r.class, r.arrived = q, &b.set.Classes[q.Class], now
	r.deadline = now + min(max(q.Left, 0), r.class.Deadline)
	r.band = b.band[q.Class][b.part(r)]
	b.reqs[q.ID] = r
	b.rate.add(now, b.rateSpan())
	// Every request has a timer ahead of its deadline: an attempt that is still
	// connecting then ends only later, too late to answer on its outcome.
	b.wake(max(now, r.deadline-answerSteps*b.set.Step), tokenAnswer<<tokenShift|uint64(q.ID))
	if now+answerSteps*b.set.Step >= r.deadline {
		b.answer(r, CauseLate)
		return
	}
	if b.yields(r) {
		b.answer(r, CauseYield)
		return
	}
	b.place(r, false)
}

// yields says whether a request is turned away to leave room for a class that is worth
// more and finds no host: by chance, the likelier the more of that is refused, and up to the
// part by which it is worth less. It guards against a fleet that is full of what is worth
// little: what is worth most may wait the least where its aim is tight, so where a host
// comes free what waits there is worth less.
func (b *Balancer) yields(r *request) bool {
	p := 0.0
	for i := range b.harm {
		if c := &b.set.Classes[i]; c.Worth > r.class.Worth && b.harm[i].share > harmLeast {
			harm := b.harm[i].now(b.now, b.harmSpan())
			p = max(p, min(1, (harm-harmLeast)/(harmMost-harmLeast))*(1-r.class.Worth/c.Worth))
		}
	}
	return p > 0 && b.float() < p
}

// harmed enters whether a request found no host into the share of its class that does not.
// It fades, as what is worth most may ask seldom, and counts only what others hold up.
func (b *Balancer) harmed(r *request, lost bool) {
	if lost && len(b.sets[setBusy].list) == 0 {
		return
	}
	m := &b.harm[r.Class]
	m.share, m.at = m.now(b.now, b.harmSpan())*(1-harmWeight), b.now
	if lost {
		m.share += harmWeight
	}
}

// The parts of a class that wait in lines of their own.
const (
	overQuota = 1 << iota // beyond the tenant's quota
	repeated              // the client has asked before
)

// part says which part of its class a request belongs to.
func (b *Balancer) part(r *request) (part int) {
	if r.Tenant >= 0 && r.Tenant < len(b.quota) && !b.quota[r.Tenant].take(b.now) {
		part |= overQuota
	}
	if r.Repeat {
		part |= repeated
	}
	return part
}

// Started says that a stream has begun: the request belongs to that attempt.
func (b *Balancer) Started(now Time, id RequestID, n int) {
	b.now = now
	r := b.reqs[id]
	if r == nil || r.done || n < 0 || n >= len(r.atts) {
		return
	}
	r.bound = true
	b.cancelOthers(r, n)
}

// Outcome is the end of an attempt.
func (b *Balancer) Outcome(now Time, o Outcome) {
	b.now = now
	r := b.reqs[o.Request]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.atts) || r.atts[o.Attempt].ended {
		return
	}
	a := r.atts[o.Attempt]
	a.ended, a.result = true, o.Result
	r.out--
	a.host.pending--
	a.host.flight.remove(&a.link)
	h := a.host
	if h.pending == 0 {
		b.leave(setBusy, h)
	}
	b.unstuck(a)
	b.observe(a, max(o.Elapsed, 1).Seconds()) // a mean of 0 would leave no number
	b.recheck(h)
	b.settle(r, a, o.Closed) // it may let go of a
	b.forget(h)
	b.pump()
}

// Gone says that nobody waits for the request any more.
func (b *Balancer) Gone(now Time, id RequestID) {
	b.now = now
	if r := b.reqs[id]; r != nil && !r.done {
		b.end(r)
	}
}

// Stop says that the gateway ends: what is open is due by then, however long its client would
// wait. Requests that come later come with no more time than that.
func (b *Balancer) Stop(now, by Time) {
	b.now = now
	for _, id := range slices.Sorted(maps.Keys(b.reqs)) {
		if r := b.reqs[id]; !r.done && r.deadline > by {
			r.deadline = max(now, by)
			b.wake(max(now, by-answerSteps*b.set.Step), tokenAnswer<<tokenShift|uint64(id))
		}
	}
}

// Timer is a Wake that has come due.
func (b *Balancer) Timer(now Time, token uint64) {
	b.now = now
	switch token >> tokenShift {
	case tokenSweep:
		if now >= b.sweepAt {
			b.sweepAt = 0
			b.listen()
			b.pump()
		}
	case tokenWatch:
		if now >= b.watchAt && !b.watching {
			b.act(Action{Kind: Watch})
			b.watchIn(b.set.AskWithin)
		}
	case tokenAnswer:
		if r := b.reqs[RequestID(token&(1<<tokenShift-1))]; r != nil && !r.done && !r.bound {
			b.answer(r, CauseDeadline)
		}
	}
}

// place sends the request if a host is ready for it and else lets it wait. It
// does not overtake what waits already.
func (b *Balancer) place(r *request, again bool) {
	if b.queued == 0 {
		if h := b.pick(r); h != nil {
			b.send(r, h)
			return
		}
	}
	b.enqueue(r, again)
	b.pump()
}

// pick is the ordinary path: of two random ready hosts, the less loaded. No effect
// twice: what may not be repeated gets no host, and a repeated key one of the group
// that drops repeats.
func (b *Balancer) pick(r *request) *host {
	first := r.first()
	if !b.admit(r) || !b.repeatable(r.class, first) {
		return nil
	}
	b.redraw()
	if r.class.Effect == Keyed && first != nil {
		return b.pickAmong(r, b.groupOf(r.class.Group, first.host)) // it may lie outside
	}
	all, shun := &b.tally, &b.shuns[r.Class]
	heed := tally{listed: all.listed - shun.listed, out: all.out - shun.out, broken: all.broken - shun.broken}
	from, heedless := b.opens(heed, shun.listed)
	if h := b.draw(r, setOpen, from, heedless); h != nil {
		return h
	}
	// Before it waits, a request that can be sent again goes to a host of which it is not
	// known whether it is silent or has one costly request: it tells which. It guards
	// against a fleet of hosts that each stand idle beside one such request.
	if r.class.Effect != Unsafe {
		return b.draw(r, setDoubtful, 1, false)
	}
	return nil
}

// draw chooses among the hosts of n sets from set on, as if those ready had been gathered
// first: it draws, and passes over what is found not to be ready any more. Where that
// happens drawTries times, most are not, and they are gathered.
func (b *Balancer) draw(r *request, set, n int, heedless bool) *host {
	for try := range drawTries {
		total := 0
		for k := set; k < set+n; k++ {
			total += len(b.sets[k].list)
		}
		if total == 0 {
			return nil
		}
		i, j := b.rand(total), 0
		x := b.nth(set, i)
		y := x
		if total > 1 {
			if j = b.rand(total - 1); j >= i {
				j++
			}
			y = b.nth(set, j)
		}
		if b.stale(x) || y != x && b.stale(y) || try < drawTries/2 && r.tried(x) && r.tried(y) {
			continue
		}
		if heedless || !b.shunned(x, r.Class) && !b.shunned(y, r.Class) {
			return b.better(r, x, y)
		}
	}
	b.ready = b.ready[:0]
	for k := set; k < set+n; k++ {
		for i := len(b.sets[k].list) - 1; i >= 0; i-- { // a stale one leaves its place to the last
			if h := b.sets[k].list[i]; !b.stale(h) && (heedless || !b.shunned(h, r.Class)) {
				b.ready = append(b.ready, h)
			}
		}
	}
	return b.choose(r)
}

// choose is the less loaded of two random hosts of b.ready.
func (b *Balancer) choose(r *request) *host {
	n := len(b.ready)
	if n == 0 {
		return nil
	}
	i, j := b.rand(n), 0
	if n > 1 {
		if j = b.rand(n - 1); j >= i {
			j++
		}
	} else {
		j = i
	}
	return b.better(r, b.ready[i], b.ready[j])
}

// better is the less loaded. A host that has failed the request already comes behind one
// that has not: it guards against using up a request's attempts at the hosts that are ill.
func (b *Balancer) better(r *request, x, y *host) *host {
	if was := r.tried(x); was != r.tried(y) {
		if was {
			return y
		}
		return x
	}
	if y != x && b.load(y, r.Class) < b.load(x, r.Class) {
		return y
	}
	return x
}

// opens says from how many of the sets, in their order, a class may be served, given the
// hosts that are not shunned for it and how many are; heedless means from those too.
func (b *Balancer) opens(heed tally, shunned int) (sets int, heedless bool) {
	switch {
	case heed.listed == 0 && shunned > 0:
		return 3, true // with errors for the class everywhere, one is as good as another
	case 2*heed.out <= heed.listed:
		return 1, false
	}
	// Fail open: when most hosts are out, the fault is more likely the path or the load
	// than every host, and the few left must not take it all. Hosts to which connections
	// fail are spared while any other is up: they would use up in no time what attempts
	// a request has.
	b.log(logFailOpen, "%d of %d hosts are ejected, using them all the same", heed.out, heed.listed)
	if heed.broken == heed.listed {
		return 3, false
	}
	return 2, false
}

// pickAmong chooses among the hosts of a group, whether drawn from or not, as pick does.
// Of a large group two are drawn first; it is looked through where one is not ready.
func (b *Balancer) pickAmong(r *request, group []*host) *host {
	for n := 0; len(group) > groupLarge && n < drawTries; n++ {
		x, y := group[b.rand(len(group))], group[b.rand(len(group))]
		if x != y && b.belongs(x) == setOpen && b.belongs(y) == setOpen &&
			!b.shunned(x, r.Class) && !b.shunned(y, r.Class) {
			return b.better(r, x, y)
		}
	}
	var heed tally
	shunned := 0
	for _, h := range group {
		if h.State == Ready && b.shunned(h, r.Class) {
			shunned++
		} else if h.State == Ready {
			out := b.ejected(h)
			heed.add(standing{listed: true, out: out, broken: out && h.why == CauseConnections}, 1)
		}
	}
	sets, heedless := b.opens(heed, shunned)
	b.ready = b.ready[:0]
	gather := func(set, n int) {
		for _, h := range group {
			if at := b.belongs(h); at >= set && at < set+n && (heedless || !b.shunned(h, r.Class)) {
				b.ready = append(b.ready, h)
			}
		}
	}
	if gather(setOpen, sets); len(b.ready) == 0 {
		gather(setDoubtful, 1)
	}
	return b.choose(r)
}

// belongs says which of the first four sets a host belongs to, drawn from or not.
func (b *Balancer) belongs(h *host) int {
	ejected := b.ejected(h)
	switch {
	case h.State != Ready || b.coldHold(h):
		return setNone
	case b.atLimit(h):
		if !ejected && b.doubtful(h) {
			return setDoubtful
		}
		return setNone
	case !ejected:
		return setOpen
	case h.why == CauseConnections:
		return setBroken
	}
	return setOut
}

// redraw keeps the hosts that this instance draws from: reach of them in use, and the
// cold and ejected beside them. Its place on the ring is counted in warm hosts: so each has
// its even part of the instances, also where most of the others drain or are cold, and a
// cold one the same as its neighbours. A host stays drawn while it serves and lies near, as
// its samples are here; of those that lie elsewhere one at a time is given up, so that new hosts
// are not rushed, and cold ones where they lie far.
func (b *Balancer) redraw() {
	for len(b.looks) > 0 && b.looks[0].look <= b.now {
		b.recheck(b.looks[0])
	}
	reach := b.reach()
	if !b.redrawn {
		if !b.laid {
			b.layRing()
		}
		b.redrawn, b.front = true, 0
		for list := b.sets[setDrawn].list; len(list) > 0; list = list[:len(list)-1] {
			if h := list[len(list)-1]; h.cold && b.away(h, reach) > reach {
				b.undraw(h)
			}
		}
	}
	if b.now >= b.redrawAt {
		b.redrawAt = b.now + Time(redrawShare*float64(b.set.WarmAfter))
		if h := b.farthest(reach); h != nil && b.away(h, reach) > 0 {
			b.undraw(h)
			b.front = 0
		}
	}
	for n := len(b.ring); b.front < n; b.front++ {
		h := b.ring[(b.from+b.front)%n]
		if b.tally.used >= reach && b.away(h, reach) > 0 {
			break
		}
		if !h.drawn() && (!b.inUse(h) || b.tally.used < reach) {
			b.join(setDrawn, h)
			b.recheck(h)
		}
	}
	for b.tally.used > reach {
		b.undraw(b.farthest(reach))
	}
}

// farthest is the host in use that lies farthest from this instance's place, or nil.
func (b *Balancer) farthest(reach int) (far *host) {
	for _, h := range b.sets[setDrawn].list {
		if b.inUse(h) && (far == nil || b.away(h, reach) > b.away(far, reach)) {
			far = h
		}
	}
	return far
}

// away is how many hosts lie between a host and the stretch of the ring that is this
// instance's: reach warm ones from its place on.
func (b *Balancer) away(h *host, reach int) int {
	n := b.places()
	ahead := ((h.place-b.own)%n + n) % n
	return min(max(ahead-reach+1, 0), n-ahead)
}

// inUse says whether a drawn host counts: one that is cold or out does not.
func (b *Balancer) inUse(h *host) bool { return !h.cold && !b.ejected(h) }

// undraw gives up a host and the connections to it, as its table may be short.
func (b *Balancer) undraw(h *host) {
	if h.drawn() {
		b.leave(setDrawn, h)
		b.recheck(h)
		b.act(Action{Kind: Close, Host: h.ID})
	}
}

// load is the score of a host for a class: its estimate now x (own pending + 1). An
// error in the class is a penalty there alone: others may be served well.
func (b *Balancer) load(h *host, class int) float64 {
	rtt := b.estimate(h)
	if f := &h.class[class]; f.share > 0 {
		rtt = max(rtt, b.penalty*math.Exp(-(b.now-f.at).Seconds()/b.decayNow()))
	}
	return rtt * float64(h.pending+1)
}

// estimate reads the RTT decayed toward zero, so that a host that was
// penalised and then left alone drifts back into use.
func (b *Balancer) estimate(h *host) float64 {
	if !h.sampled {
		return b.seed(h) * b.fade(h)
	}
	return h.rtt * b.fade(h)
}

// seed is the RTT of a host that has given no sample yet: what others of its kind
// take, or any others; it must not look free. A restarted instance has a default.
func (b *Balancer) seed(h *host) float64 {
	if h.Kind >= 0 && h.Kind < len(b.kinds) && b.kinds[h.Kind].seen {
		return b.kinds[h.Kind].mean
	}
	if b.all.seen {
		return b.all.mean
	}
	return seedShare * b.aim.Seconds()
}

// typical enters a good answer into what is usual for its class and kind of host, and
// returns its RTT as one of a typical class: a host that last served a slow class
// must not look slow for it.
func (b *Balancer) typical(a *attempt, rtt float64) float64 {
	b.lat[a.req.Class].addLong(rtt)
	b.all.add(rtt)
	rtt *= b.all.mean / b.lat[a.req.Class].mean
	if k := a.host.Kind; k >= 0 && k <= kindsMost {
		for len(b.kinds) <= k {
			b.kinds = append(b.kinds, mean{})
		}
		b.kinds[k].add(rtt)
	}
	return rtt
}

// fade is the weight that a host's estimate has kept since its last sample.
func (b *Balancer) fade(h *host) float64 {
	return math.Exp(-(b.now - h.rttAt).Seconds() / b.decayNow())
}

// sample enters an RTT: above the estimate decayed to now it replaces it, below
// it is blended in.
func (b *Balancer) sample(h *host, rtt float64) {
	w, old := b.fade(h), h.rtt
	if !h.sampled {
		old = b.seed(h)
	}
	if old *= w; rtt > old {
		h.rtt = rtt
	} else {
		h.rtt = old + rtt*(1-w)
	}
	h.rttAt, h.sampled = b.now, true
}

// repeatable says whether a request of the class may be sent (again) somewhere,
// given its first attempt that may have run: an unsafe one never, a keyed one only
// while repeats are sure to be dropped.
func (b *Balancer) repeatable(c *Class, first *attempt) bool {
	if first == nil || c.Effect == Safe {
		return true
	}
	return c.Effect == Keyed && b.now <= b.closes(c, first)
}

// closes is when the window closes for repeats that follow a first attempt: by then the last byte
// of one has to be out.
func (b *Balancer) closes(c *Class, first *attempt) Time {
	return first.sent + c.Window - answerSteps*b.set.Step
}

// ejected says whether a host that failed is out of the draw: until its back-off
// ends, and then for all but one trial at a time.
func (b *Balancer) ejected(h *host) bool {
	return h.fails > 0 && (b.now < h.ejectUntil || h.trialOut)
}

// eject takes a host out of the draw, longer each time in a row.
func (b *Balancer) eject(h *host, why Cause) {
	if h.fails > 0 && b.now < h.ejectUntil {
		return
	}
	h.ejectUntil = b.now + b.backoff(h.fails)
	h.fails++
	h.why = why
	if h.fails == 1 {
		b.log(logEject, "host %x ejected: %s", h.ID, why)
	}
}

// backoff is how long a host that has failed so many times before stays out.
func (b *Balancer) backoff(fails int) Time {
	d := float64(backoffAims*b.aim) * float64(int(1)<<min(fails, backoffMax))
	return Time(d * (0.75 + 0.5*b.float()))
}

// Hint says that a host given up may be worth a try: it counts as unknown, its back-off ends at
// random within the time given; once until it answers, as whoever says so may be wrong.
func (b *Balancer) Hint(now Time, id HostID, within Time) {
	b.now = now
	if h := b.byID[id]; h != nil && h.fails > 0 && !h.hinted {
		h.ejectUntil = min(h.ejectUntil, now+Time(b.float()*float64(within)))
		h.hinted, h.sampled = true, false
		b.recheck(h)
	}
}

// shunned says whether a host is out for a class, as it answers that with errors.
func (b *Balancer) shunned(h *host, class int) bool { return b.now < h.class[class].until }

// errs enters an error. From the third in a row on the host is out for the class, longer
// each time, and then tried with one request at a time. It guards against a host that
// fails fast and draws all that waits while those that serve are at their limits; the
// host goes on serving the classes that it serves. What an error loses, as it may not be sent
// again, is kept from a host from the second on, and heeds those of every class: one is chance.
func (b *Balancer) errs(a *attempt, class int) {
	h := a.host
	f := &h.class[class]
	f.share += errorWeight * (1 - f.share)
	if h.failed = true; class == a.req.Class {
		f.at = b.now
	}
	if f.share <= b.errorsMost(class) || a.sent < f.outAt {
		return
	}
	f.outAt, f.until = b.now, b.now+b.backoff(f.fails)
	f.fails++
	if f.fails == 1 {
		b.log(logErrors, "host %x gets no more of class %d for now: errors", h.ID, class)
	}
}

// serves enters a good answer to what errs enters errors to.
func (b *Balancer) serves(a *attempt, class int) {
	f := &a.host.class[class]
	f.share -= errorWeight * f.share
	if f.share < b.errorsMost(class) {
		f.until = 0
	}
	if f.share < errorsLeast {
		f.fails = 0
	}
}

// coldHold paces sends to a host that has just started, so that the bank as a
// whole stays within its budget. It acts while the host is cold.
func (b *Balancer) coldHold(h *host) bool {
	return h.cold && b.now < h.coldNext
}

// atLimit says whether a host holds as much from this instance as it may. A
// limit below one, on a host whose mean RTT is over the target, means that it is
// used for that share of the time. A host whose oldest attempt has taken longer than the
// target of the limit already, or is doubtful, gets no other either.
func (b *Balancer) atLimit(h *host) bool {
	n, held := h.oldest()
	holds := h.pending
	if b.mute > muteMost {
		holds = held // those passed by are most likely on connections that have gone silent
	}
	if b.now < h.restUntil || holds > 0 && float64(holds+1) > h.limit {
		return true
	}
	return held > 0 && float64(b.now-n.sent) > overdueAims*float64(n.req.class.Aim) || b.doubtful(h)
}

// doubtful says whether a host has a single attempt out, one that takes longer than it
// should: either the host is silent or the request is costly.
func (b *Balancer) doubtful(h *host) bool {
	n, held := h.oldest()
	return held == 1 && b.now >= h.restUntil && b.now-n.sent >= b.patience(n.req)
}

// passedBy says whether the host has answered attempts sent after this one, and so is
// neither silent nor slow: the fault is with the connection or the request itself.
func (a *attempt) passedBy() bool { return a.later >= passedAfter }

// overtake counts an answer for the attempts that were sent before it. It guards
// against taking a host out of use for as long as one connection to it is silent.
func (b *Balancer) overtake(a *attempt) {
	for n := a.host.flight.head; n != nil && n.item.sent < a.sent; n = n.next {
		n.item.later++
	}
}

// recall calls off attempts that were passed by and have taken longer than such a
// request should, and a good part of its aim, so that their requests go out again,
// where their class allows it. It guards against connections that have gone silent, and
// acts while a good part of such attempts is never answered: else they are requests that
// take long, and most are answered yet.
func (b *Balancer) recall(h *host) {
	for n := h.flight.head; n != nil && b.set.Cancel && b.mute > muteMost; n = n.next {
		a, r := n.item, n.item.req
		if !b.stuck(a) || a.recall || r.done || !b.mayRetry(r) {
			continue
		}
		a.recall = true
		for i := range r.atts {
			if r.atts[i] == a {
				b.act(Action{Kind: Cancel, Request: r.ID, Attempt: i})
			}
		}
	}
}

// stuck says whether an attempt was passed by and has taken long.
func (b *Balancer) stuck(a *attempt) bool {
	least := max(b.patience(a.req), Time(recallAims*float64(a.req.class.Aim)))
	return a.passedBy() && b.now-a.sent >= least
}

// unstuck learns how such attempts end when they are left alone, as those of unsafe
// requests always are.
func (b *Balancer) unstuck(a *attempt) {
	if a.recall || !b.stuck(a) {
		return
	}
	was := b.mute > muteMost
	switch a.result {
	case OK, Failed, Full, Spoilt:
		b.mute -= muteWeight * b.mute
	case TimedOut, Canceled:
		if a.result == TimedOut || a.req.overdue {
			b.mute += muteWeight * (1 - b.mute)
		}
	}
	if was != (b.mute > muteMost) { // it tells what counts against a limit
		for _, h := range b.sets[setBusy].list {
			b.recheck(h)
		}
	}
}

// paceCold sets when a cold host may be sent the next attempt. What this instance
// gets from a warm host, times those that share that, is within a warm host's
// capacity; the cold share of it times the factor, parted by those that share the cold
// host, is this instance's part, spread by chance so that a bank that was told at once
// does not send at once. With nothing learnt yet, as after a restart, all that share the
// host send one a Fall together.
func (b *Balancer) paceCold(h *host) {
	share := b.set.ColdFrom + (1-b.set.ColdFrom)*float64(b.now-h.coldAt)/float64(b.set.WarmAfter)
	warm := b.warm.mean * b.sharers() * b.set.OverloadFactor * share * coldMargin
	rate := max(warm, 1/b.set.Fall.Seconds()) / b.sharers()
	h.coldNext = b.now + Time(1e9/rate*(0.5+b.float()))
}

func (b *Balancer) harmSpan() float64 { return harmFalls * b.set.Fall.Seconds() }

func (b *Balancer) rateSpan() float64 { return rateFalls * b.set.Fall.Seconds() }

// send starts an attempt.
func (b *Balancer) send(r *request, h *host) {
	by := Time(0)
	if first := r.first(); first != nil && r.class.Effect == Keyed {
		by = b.closes(r.class, first)
	}
	a := b.newAttempt()
	a.req, a.host, a.sent = r, h, b.now
	a.trial = h.fails > 0
	h.trialOut = h.trialOut || a.trial
	if f := &h.class[r.Class]; f.fails > 0 {
		f.until = b.now + b.backoff(0) // no other before this one has told
	}
	r.atts = append(r.atts, a)
	r.out++
	h.pending++
	a.link.item = a
	h.flight.pushBack(&a.link)
	if h.cold {
		b.paceCold(h)
	}
	b.join(setBusy, h)
	b.recheck(h)
	b.act(Action{Kind: Send, Request: r.ID, Host: h.ID, At: by})
	b.outNow++
	b.sends.add(b.now, b.rateSpan())
	b.tokens = max(b.tokens-1, 0)
	b.sweepSoon()
}

// observe learns from the end of an attempt.
func (b *Balancer) observe(a *attempt, rtt float64) {
	h := a.host
	// In aims of the class, or as much over what is usual for it, whichever is more.
	aims := rtt / a.req.class.Aim.Seconds()
	if l := &b.lat[a.req.Class]; l.seen {
		aims = max(aims, limitAims/limitTimes*rtt/l.mean)
	}
	if a.trial {
		h.trialOut = false
	}
	switch a.result {
	case OK:
		h.spoilt = 0
		b.judge(a, b.serves)
		b.overtake(a)
		b.sample(h, b.typical(a, rtt))
		b.adjust(h, aims, a.req.class.Aim, a.sent)
		b.press(a, rtt)
		if !a.req.done {
			b.harmed(a.req, false)
		}
		if !h.cold && b.tally.used > 0 {
			b.served.add(b.now, b.rateSpan())
			b.warm.add(b.served.now(b.now, b.rateSpan()) / float64(b.tally.used))
		}
		b.readmit(h)
	case Full:
		// What is full takes no more: its refusals come at once, and a host that
		// gives nothing else would draw all that waits. Acts on each such refusal.
		b.adjust(h, max(aims, 1), a.req.class.Aim, a.sent)
		b.press(a, max(rtt, a.req.class.Aim.Seconds()))
		b.sample(h, max(rtt, b.penalty))
		b.readmit(h)
	case Failed:
		h.spoilt = 0
		if rtt > b.estimate(h) { // an error that comes fast tells nothing of its pace
			b.sample(h, rtt)
		}
		b.judge(a, b.errs)
		b.readmit(h)
	case Spoilt:
		// The host did the work and took that long; what spoils answers on their way
		// may do so to any host's. One that gives nothing else counts as failing.
		h.spoilt++
		if h.spoilt >= spoiltMost {
			rtt = max(rtt, b.penalty)
		}
		b.sample(h, rtt)
		b.readmit(h)
	case Canceled:
		// Called off at the deadline it has timed out all the same. What the client
		// gave up, or another copy answered, tells nothing of the host.
		if !a.req.overdue {
			return
		}
		fallthrough
	case TimedOut:
		b.sample(h, rtt)
		b.adjust(h, aims, a.req.class.Aim, a.sent)
		b.press(a, rtt)
	case Reset:
		// As with spoilt answers, what breaks connections may do so to any host's.
		b.sample(h, rtt)
		if h.spoilt++; h.spoilt >= spoiltMost {
			b.eject(h, CauseConnections)
		}
	case ConnectFailed:
		b.sample(h, rtt)
		b.eject(h, CauseConnections)
	}
}

// adjust steers a host's in-flight limit so that its mean RTT stays at a share
// of the aim. It guards against crowding, which wastes the work of requests that
// come too late and can tip a host into a slow state; it acts when a host's mean RTT
// passes that share, and then once a round: only an attempt sent after the last cut
// can tell whether that was enough. A host that rests is judged by each answer alone, as
// its mean is from before the rest. The limit grows while requests wait; one below one also where
// a request found no host meanwhile, as lines are short where many share a host.
func (b *Balancer) adjust(h *host, aims float64, aim, sent Time) {
	h.lat.addAt(aims, b.now, recentAims*b.aim.Seconds())
	bank := b.sharers()
	if h.lat.mean > limitAims && (h.limit >= 1 || aims > limitAims) {
		if sent >= h.cutAt {
			h.limit = max(limitLeast/bank, h.limit*limitAims/h.lat.mean)
			h.cutAt = b.now
		}
		if h.limit < 1 {
			h.restUntil = b.now + Time(float64(aim)*h.lat.mean*(1/h.limit-1))
		}
	} else if h.pending+1 >= int(h.limit) && (b.queued > 0 || h.limit < 1 && b.lacked >= sent) {
		h.limit += growth / (bank * h.limit)
	}
}

// press steers the rate at which this instance sends at all by the RTT of its last
// answers from any host, against what is usual for their class and within its aim.
// It acts when their mean passes the target by more than chance explains, once a round: it
// rests on few answers, and where work varies a calm fleet would be cut time and again.
// It guards against overload
// of the fleet where boundShare instances or more have part of an attempt at a host.
func (b *Balancer) press(a *attempt, rtt float64) {
	target := pressAims * a.req.class.Aim.Seconds()
	if l := &b.lat[a.req.Class]; l.seen {
		target = min(target, pressTimes*l.mean)
	}
	b.pressure.blend(min(rtt/target, pressMost), pressWeight)
	switch {
	case b.pressure.mean > 1+pressDevs*b.pressure.dev && a.sent >= b.pressedAt:
		sends := b.sends.now(b.now, b.rateSpan())
		if b.bound == 0 || sends < b.bound {
			b.bound = sends
		}
		b.bound = max(b.bound/b.pressure.mean, 1/b.rateSpan())
		b.pressure.mean, b.pressedAt, b.grownAt = 1, b.now, b.now
	case b.bound > 0 && b.pressure.mean <= 1:
		b.bound *= math.Exp((b.now - b.grownAt).Seconds() / (boundDecays * b.decay))
		b.grownAt = b.now
		if b.bound > 2*b.rate.now(b.now, b.rateSpan()) {
			b.bound = 0
		}
	}
}

// admit says whether the bound on the rate lets a request be sent now. What is worth
// little leaves room in the bucket for what is worth more, so that overload is turned
// away from the lowest line up.
func (b *Balancer) admit(r *request) bool {
	if b.bound == 0 || b.sharers() < boundShare {
		return true
	}
	b.tokens = min(b.tokens+b.bound*(b.now-b.filledAt).Seconds(), boundBurst)
	b.filledAt = b.now
	return b.tokens >= 1+(boundBurst-1)*float64(r.band)/float64(len(b.bands))
}

// readmit ends an ejection: the host has answered.
func (b *Balancer) readmit(h *host) {
	h.heard = b.now
	if h.fails == 0 {
		return
	}
	h.fails, h.hinted = 0, false
	b.log(logReturn, "host %x is back", h.ID)
}

// settle decides what follows the end of an attempt: nothing if the request
// has its answer, another attempt if class and time allow it, and else
// the final answer.
func (b *Balancer) settle(r *request, a *attempt, closed bool) {
	switch {
	case r.done:
		b.release(r)
	case closed || a.result == OK && r.bound:
		b.end(r)
	case r.out > 0 || r.queued:
	case b.mayRetry(r):
		b.place(r, true)
	default:
		b.answer(r, CauseSpent)
	}
}

// mayRetry says whether the request gets another attempt. The in-flight limits
// keep repeats from feeding an overload.
func (b *Balancer) mayRetry(r *request) bool {
	if r.bound || len(r.atts) >= b.set.MaxAttempts || b.now+2*answerSteps*b.set.Step >= r.deadline {
		return false
	}
	return b.repeatable(r.class, r.first())
}

// answer gives the final answer to a request that will not be served: a refusal
// only where trying again is known to be harmless.
func (b *Balancer) answer(r *request, why Cause) {
	r.overdue = true
	if why == CauseWait {
		b.harmed(r, true)
	}
	if r.first() == nil || r.class.Effect == Safe || r.class.Effect == Keyed && r.class.Group == GroupAll {
		b.act(Action{Kind: Refuse, Request: r.ID, After: min(b.aim/4, b.set.MaxRetryAfter), Why: why})
	} else {
		b.act(Action{Kind: Fail, Request: r.ID, Why: why})
	}
	b.end(r)
}

// end closes a request that has its answer or needs none.
func (b *Balancer) end(r *request) {
	if r.done {
		return
	}
	r.done = true
	b.dequeue(r)
	b.cancelOthers(r, -1)
	b.release(r)
}

// cancelOthers calls off what is in flight for the request but attempt keep.
func (b *Balancer) cancelOthers(r *request, keep int) {
	for i, a := range r.atts {
		if i != keep && !a.ended && b.set.Cancel {
			b.act(Action{Kind: Cancel, Request: r.ID, Attempt: i})
		}
	}
}

// enqueue lets a request wait in its line, a repeat at the front: a small share of its aim, the smaller
// the more share a host, as a place there then comes free by answers of others, which are not seen
// here. Refused early, a client may yet be served in time elsewhere or later.
func (b *Balancer) enqueue(r *request, front bool) {
	r.expires = r.arrived + Time(waitShare*float64(r.class.Aim)/b.sharers())
	b.lacked = b.now
	b.push(r, front)
	b.sweepSoon()
}

// pump turns away what has waited too long and sends what waits, the line worth
// most first, as far as hosts are ready.
func (b *Balancer) pump() {
	for i := range b.bands {
		for n := b.bands[i].head; n != nil && b.now >= n.item.expires; n = b.bands[i].head {
			b.log(logRefuse, "refusing: hosts are full, %d requests wait", b.queued)
			b.answer(n.item, CauseWait)
		}
	}
	for i := range b.bands {
		if full := b.serve(&b.bands[i]); full {
			break
		}
	}
	b.sweepSoon()
}

// serve sends what waits in a line. A repeat bound to its group does not hold up
// those behind it. It says whether no host is ready for a request sent nowhere yet.
func (b *Balancer) serve(line *list[request]) (full bool) {
	for n := line.head; n != nil; {
		r, next := n.item, n.next
		if h := b.pick(r); h != nil {
			b.dequeue(r)
			b.send(r, h)
		} else if r.first() == nil {
			return true
		}
		n = next
	}
	return false
}

// patience is how long an attempt may take before its host counts as silent.
func (b *Balancer) patience(r *request) Time {
	if l := &b.lat[r.Class]; l.seen {
		return Time(1e9 * (l.mean + patience*l.dev))
	}
	return r.class.Aim / 2
}

// listen looks for silent hosts: those that have answered nothing since their
// oldest attempts were sent, longer ago than such requests should take. They are
// ejected until they answer or a trial does. It guards against hosts that take
// requests and answer none; a host that is only slow answers others meanwhile. One
// attempt alone may be costly, so two must be out that long: it guards against ejecting
// host after host for one costly request each. What waits there stays: most often it is
// answered yet, and sending it again costs more than it saves.
func (b *Balancer) listen() {
	b.outNow = 0
	for _, h := range b.sets[setBusy].list {
		b.outNow += h.pending
		b.recall(h)
		b.recheck(h)       // time has passed
		n := h.flight.head // the oldest
		if n == nil || n.item.sent < h.heard || b.now-n.item.sent < b.patience(n.item.req) {
			continue
		}
		if h.fails == 0 && !n.item.doubted {
			// Its RTT is that long at least: overload shows before the answers come.
			n.item.doubted = true
			b.press(n.item, (b.now - n.item.sent).Seconds())
		}
		if n = n.next; n != nil && b.now-n.item.sent >= b.patience(n.item.req) {
			b.eject(h, CauseSilent)
			b.recheck(h)
		}
	}
}

// sweepSoon makes sure that waiting requests and hosts are looked at again.
func (b *Balancer) sweepSoon() {
	if b.sweepAt == 0 && (b.queued > 0 || b.outNow > 0) {
		b.sweepAt = b.now + max(b.set.Step, Time(float64(b.aim)*sweepShare))
		b.wake(b.sweepAt, tokenSweep<<tokenShift)
	}
}

// watchIn asks discovery for changes after d.
func (b *Balancer) watchIn(d Time) {
	b.watchAt = b.now + d
	b.wake(b.watchAt, tokenWatch<<tokenShift)
}

// lostList asks again with a growing, jittered back-off; the old list stands. However often calls
// failed, what has changed counts as told 6 s after discovery can be reached: the back-off is bounded,
// and runs from the begin of a call that hung.
func (b *Balancer) lostList() {
	if b.watching || b.watchFails == 0 {
		b.log(logLost, "host list lost, asking again")
	}
	b.watching = false
	if !b.set.Ask {
		return
	}
	first := Time(float64(b.set.AskWithin) / 16 * (0.5 + b.float()))
	wait := first << min(b.watchFails, 2)
	if hung := b.now - (b.watchAt - b.set.AskWithin); hung > first { // since the last question
		wait = max(first, wait-hung)
	}
	b.watchFails++
	b.watchIn(wait)
}

func (b *Balancer) foundList() {
	if b.watchFails > 0 {
		b.log(logFound, "host list regained")
	}
	b.watching, b.watchFails = true, 0
}
