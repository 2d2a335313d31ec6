package simulator

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"dunemoor/balancer"
)

// job is an attempt that a host has.
type job struct {
	r      *request
	n      int
	finish float64 // the service that the host has given to each when this one is done
}

type jobs []job

func (j jobs) Len() int           { return len(j) }
func (j jobs) Less(a, b int) bool { return j[a].finish < j[b].finish }
func (j jobs) Swap(a, b int)      { j[a], j[b] = j[b], j[a] }
func (j *jobs) Push(x any)        { *j = append(*j, x.(job)) }
func (j *jobs) Pop() any {
	x := (*j)[len(*j)-1]
	*j = (*j)[:len(*j)-1]
	return x
}

// host is a modelled host. Those on which it works share its cores evenly, so all have had the
// same service since the last of them came: one number, and a heap of the numbers at which each
// is done, do for any count of them.
type host struct {
	Kind
	id       int
	cell     int
	rng      *rand.Rand // errors
	up       bool
	started  balancer.Time // 0: long ago
	life     uint32        // counts its starts: what came before is gone
	silent   bool          // packets to it are lost
	hits     []int         // troubles that it is hit by now
	hung     bool
	unheard  bool
	replaced bool    // another one has come in its place
	cut      bool    // nobody can reach it: half see silence, half resets
	lossy    float64 // share of its answers that are lost or reset
	slow     float64 // factor
	errors   float64 // share
	crowded  bool
	fullAt   balancer.Time // since when it has held as many as crowd it; 0: it does not

	given   float64 // service so far, in seconds of a core of speed 1, to each that was there all along
	at      balancer.Time
	rate    float64
	working jobs
	waiting []job
	plan    uint64 // of the event for the next end; older ones mean nothing

	conns    int
	busy     float64 // work done, in core-seconds
	attempts int     // that came
	state    balancer.HostState
	told     []balancer.Time // by gateway: when it was told to send nothing more; 0: it may
	cold     []coldWork      // sent to it lately while it was cold
	coldSum  float64
}

type coldWork struct {
	at   balancer.Time
	work float64
}

// warmth is the share of its capacity that a host has.
func (w *world) warmth(h *host) float64 {
	set := &w.cfg.Settings
	if h.started == 0 || set.SlowStartWindow == 0 {
		return 1
	}
	age := float64(w.now-h.started) / float64(set.SlowStartWindow)
	from := set.SlowStartShare
	if from == 0 {
		from = 1
	}
	return min(1, from+(1-from)*age)
}

// speed is what a core does in a second now.
func (w *world) speed(h *host) float64 {
	s := w.size(h) * w.warmth(h)
	if h.slow > 1 {
		s /= h.slow
	}
	if h.crowded {
		s /= h.Slower
	}
	return s
}

// advance gives what was served since the last look.
func (w *world) advance(h *host) {
	d := h.rate * (w.now - h.at).Seconds()
	h.given += d
	h.busy += d * float64(len(h.working))
	h.at = w.now
}

// settle plans the next end, after anything has changed; advance came before the change.
func (w *world) settle(h *host) {
	slots := h.Slots
	for len(h.waiting) > 0 && (slots == 0 || len(h.working) < slots) {
		j := h.waiting[0]
		h.waiting[0] = job{}
		h.waiting = h.waiting[1:]
		w.work(h, j)
	}
	n := len(h.working)
	if h.CrowdAt > 0 {
		all := float64(n+len(h.waiting)) / float64(h.Cores)
		switch {
		case all < h.CrowdAt:
			h.fullAt = 0
			h.crowded = h.crowded && all > h.CrowdEnd
		case h.CrowdAfter == 0:
			h.crowded = true
		case h.fullAt == 0:
			h.fullAt = w.now
			w.queue.push(event{at: w.now + h.CrowdAfter, kind: evWarm, a: int32(h.id), n: uint64(h.life)})
		case w.now-h.fullAt >= h.CrowdAfter:
			h.crowded = true
		}
	}
	h.plan++
	if h.rate = 0; n == 0 || h.hung {
		return
	}
	h.rate = w.speed(h) * min(1, float64(h.Cores)/float64(n))
	left := max(0, h.working[0].finish-h.given) / h.rate
	w.queue.push(event{at: w.now + balancer.Time(left*1e9) + 1, kind: evDone, a: int32(h.id), n: h.plan})
}

// work begins with an attempt.
func (w *world) work(h *host, j job) {
	j.finish = h.given + j.finish // so far it held the work
	heap.Push(&h.working, j)
}

// done ends what is done.
func (w *world) done(h *host) {
	w.advance(h)
	const hair = 1e-9 // an event stands on a whole nanosecond
	for len(h.working) > 0 && h.working[0].finish <= h.given+hair {
		j := heap.Pop(&h.working).(job)
		w.reply(h, j.r, j.n, balancer.OK)
	}
	w.settle(h)
}

// take is an attempt's last byte at a host.
func (w *world) take(h *host, r *request, n int) {
	a := &r.attempts[n]
	a.life = h.life
	h.attempts++
	if h.Slots > 0 && h.Queue >= 0 && len(h.working) >= h.Slots && len(h.waiting) >= h.Queue {
		w.reply(h, r, n, balancer.Full)
		return
	}
	w.ran(h, r, n)
	if h.errors > 0 && h.rng.Float64() < h.errors {
		w.reply(h, r, n, balancer.Failed)
		return
	}
	w.advance(h)
	work := r.work
	if a.fresh {
		work += w.cfg.Net.Handshake.Seconds()
	}
	if j := (job{r, n, work}); h.Slots > 0 && len(h.working) >= h.Slots {
		h.waiting = append(h.waiting, j)
	} else {
		w.work(h, j)
	}
	w.settle(h)
}

// ran counts a run of a request, one that nobody can rule out included, and looks whether it may
// run a second time.
func (w *world) ran(h *host, r *request, n int) {
	set := &w.cfg.Settings.Classes[r.class]
	if r.ran++; r.ran == 1 {
		r.ranAt, r.ranBy = w.now, h
		return
	}
	switch set.Idempotency {
	case balancer.NonIdempotent:
		w.broke(RuleTwice, "request %d, unsafe, ran %d times, at host %d with attempt %d", r.id, r.ran, h.id, n)
	case balancer.IdempotentWithKey:
		if set.DedupScope == balancer.ScopeZone && h.Zone != r.ranBy.Zone || set.DedupScope == balancer.ScopeCell && h.cell != r.ranBy.cell || w.now > r.ranAt+set.DedupWindow {
			w.broke(RuleTwice, "request %d, keyed, ran again outside its group or window, at host %d", r.id, h.id)
		}
	}
}

// reply sends an answer on its way, with the connection kept.
func (w *world) reply(h *host, r *request, n int, result balancer.Result) {
	if h.unheard || h.silent || h.cut {
		return
	}
	if h.lossy > 0 && h.rng.Float64() < h.lossy {
		if h.rng.IntN(2) == 0 {
			return
		}
		result = balancer.Reset
	}
	w.queue.push(event{at: w.now + w.delay(r.gateway), kind: evAnswer, a: int32(result), n: uint64(n), r: r})
}

// end takes a host's process away: what it had is gone, and its connections with it.
func (w *world) end(h *host, reset bool) {
	w.advance(h)
	for _, list := range [][]job{h.working, h.waiting} {
		for _, j := range list {
			if reset && !h.silent {
				w.queue.push(event{at: w.now + w.delay(j.r.gateway), kind: evAnswer, a: int32(balancer.Reset), n: uint64(j.n), r: j.r})
			}
		}
	}
	h.working, h.waiting, h.up, h.crowded, h.fullAt = nil, nil, false, false, 0
	h.life++
	h.conns = 0
	w.settle(h)
}

// begin starts a host's process, cold.
func (w *world) begin(h *host) {
	h.up, h.silent, h.hung = true, false, false
	h.started = w.now
	h.at = w.now
	for i := range coldSteps { // its speed rises in steps
		w.queue.push(event{at: w.now + w.cfg.Settings.SlowStartWindow*time.Duration(i+1)/coldSteps, kind: evWarm, a: int32(h.id), n: uint64(h.life)})
	}
	w.settle(h)
}

// coldSteps is in how many steps a cold host becomes warm.
const coldSteps = 20

// size is the speed of a core of a host that is warm and well.
func (w *world) size(h *host) float64 {
	if h.Speed == 0 {
		return 1
	}
	return h.Speed
}

// sentCold looks whether a cold host is being pushed over: more work than a multiple of what it can
// do now, over the time that it would take (rule 4). What it can do is told from others of its size
// and its coldness: that it is slow besides, or crowded, nobody can know before it has answered.
func (w *world) sentCold(h *host, r *request) {
	set := &w.cfg.Settings
	if w.warmth(h) >= 1 || set.OverloadFactor == 0 {
		return
	}
	h.cold = append(h.cold, coldWork{w.now, r.work})
	h.coldSum += r.work
	for h.cold[0].at < w.now-set.OverloadWindow {
		h.coldSum -= h.cold[0].work
		h.cold = h.cold[1:]
	}
	can := w.size(h) * w.warmth(h) * float64(h.Cores) * set.OverloadWindow.Seconds()
	if h.coldSum > set.OverloadFactor*can+coldSlack*w.longest {
		w.broke(RuleCold, "host %d, %.2f warm, was sent %.3f s of work in %v, and can do %.3f", h.id, w.warmth(h), h.coldSum, set.OverloadWindow, can)
	}
}

// coldSlack is how many of the longest mean works may come on top by chance: a window that is short
// beside the work of one request would be broken by any two.
const coldSlack = 8
