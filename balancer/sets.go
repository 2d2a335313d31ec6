package balancer

import (
	"math"
	"slices"
)

// Plumbing for choosing among thousands of hosts: sets that a host can join, leave and be
// drawn from at no cost that grows with their number, and a heap of the times at which a
// host's standing may change by itself. Nothing here decides anything.

// The sets of hosts that a Balancer keeps. A host is in one of the first four at most.
const (
	setOpen     = iota // drawn from, and ready as far as is known
	setOut             // ejected as silent, else ready
	setBroken          // ejected as connections to it fail, else ready
	setDoubtful        // has one attempt out that takes long, else ready
	setBusy            // has attempts out
	setDrawn           // drawn from
	setCount

	setNone = -1
)

// hostSet is a set whose members know their place in it.
type hostSet struct{ list []*host }

func (b *Balancer) join(set int, h *host) {
	if h.in[set] == 0 {
		b.sets[set].list = append(b.sets[set].list, h)
		h.in[set] = len(b.sets[set].list)
	}
}

func (b *Balancer) leave(set int, h *host) {
	i := h.in[set] - 1
	if i < 0 {
		return
	}
	list := b.sets[set].list
	last := len(list) - 1
	list[i] = list[last]
	list[i].in[set] = i + 1
	list[last] = nil // what has gone must not be kept
	b.sets[set].list, h.in[set] = list[:last], 0
}

// stand moves a host to the one of the first four sets that it belongs to, or to none.
func (b *Balancer) stand(h *host, set int) {
	if h.stands == set {
		return
	}
	if h.stands != setNone {
		b.leave(h.stands, h)
	}
	if set != setNone {
		b.join(set, h)
	}
	h.stands = set
}

// drawn says whether this instance draws from the host.
func (h *host) drawn() bool { return h.in[setDrawn] != 0 }

const forever Time = math.MaxInt64

// lookAt sets when a host is to be looked at again; forever: not by itself.
func (b *Balancer) lookAt(h *host, at Time) {
	switch {
	case h.look == at && (at == forever) == (h.lookPos == 0):
		return
	case at == forever:
		b.unlook(h)
		return
	case h.lookPos == 0:
		b.looks = append(b.looks, h)
		h.lookPos = len(b.looks)
	}
	h.look = at
	b.lookDown(b.lookUp(h.lookPos - 1))
}

func (b *Balancer) unlook(h *host) {
	i, last := h.lookPos-1, len(b.looks)-1
	h.look, h.lookPos = forever, 0
	if i < 0 {
		return
	}
	moved := b.looks[last]
	b.looks[last] = nil
	b.looks = b.looks[:last]
	if i < last {
		b.looks[i], moved.lookPos = moved, i+1
		b.lookDown(b.lookUp(i))
	}
}

func (b *Balancer) lookUp(i int) int {
	for i > 0 {
		up := (i - 1) / 2
		if b.looks[up].look <= b.looks[i].look {
			break
		}
		b.lookSwap(i, up)
		i = up
	}
	return i
}

func (b *Balancer) lookDown(i int) {
	for {
		c := 2*i + 1
		if c >= len(b.looks) {
			return
		}
		if c+1 < len(b.looks) && b.looks[c+1].look < b.looks[c].look {
			c++
		}
		if b.looks[i].look <= b.looks[c].look {
			return
		}
		b.lookSwap(i, c)
		i = c
	}
}

func (b *Balancer) lookSwap(i, j int) {
	b.looks[i], b.looks[j] = b.looks[j], b.looks[i]
	b.looks[i].lookPos, b.looks[j].lookPos = i+1, j+1
}

// kindList is the hosts of a kind in the order of their marks.
type kindList struct {
	kind  int
	hosts []*host
}

func byMark(x, y *host) int {
	switch {
	case x.mark != y.mark && x.mark < y.mark, x.mark == y.mark && x.ID < y.ID:
		return -1
	case x == y:
		return 0
	}
	return 1
}

// enlist puts a host into its kind's list, delist takes it out.
func (b *Balancer) enlist(h *host) {
	i, ok := slices.BinarySearchFunc(b.byKind, h.Kind, func(l kindList, kind int) int { return l.kind - kind })
	if !ok {
		b.byKind = slices.Insert(b.byKind, i, kindList{kind: h.Kind})
	}
	l := &b.byKind[i]
	k, _ := slices.BinarySearchFunc(l.hosts, h, byMark)
	l.hosts = slices.Insert(l.hosts, k, h)
}

func (b *Balancer) delist(h *host) {
	i, ok := slices.BinarySearchFunc(b.byKind, h.Kind, func(l kindList, kind int) int { return l.kind - kind })
	if !ok {
		return
	}
	l := &b.byKind[i]
	if k, ok := slices.BinarySearchFunc(l.hosts, h, byMark); ok {
		l.hosts = slices.Delete(l.hosts, k, k+1)
	}
	if len(l.hosts) == 0 {
		b.byKind = slices.Delete(b.byKind, i, i+1)
	}
}

// groupKey names the hosts of a zone or of a cell.
type groupKey struct {
	group Group
	n     int
}

// groupOf is the hosts that drop the repeats of a keyed request that first went to h. The
// groups are gathered when one is asked for after the list has changed.
func (b *Balancer) groupOf(group Group, h *host) []*host {
	if group == GroupAll {
		return b.hosts
	}
	if !b.grouped {
		b.grouped = true
		for key, list := range b.groups {
			if len(list) == 0 {
				delete(b.groups, key) // it has stood empty since the last time
				continue
			}
			clear(list)
			b.groups[key] = list[:0]
		}
		for _, x := range b.hosts {
			for _, key := range [...]groupKey{{GroupZone, x.Zone}, {GroupCell, x.Cell}} {
				b.groups[key] = append(b.groups[key], x)
			}
		}
	}
	if group == GroupZone {
		return b.groups[groupKey{group, h.Zone}]
	}
	return b.groups[groupKey{group, h.Cell}]
}

// recheck puts a host where it belongs and counts it as what it is. It is called
// behind every event that touches the host, and at the time that it sets here.
func (b *Balancer) recheck(h *host) {
	if h.cold {
		b.rank(h)
	}
	look := forever
	until := func(t Time) {
		if t > b.now {
			look = min(look, t)
		}
	}
	set, now := setNone, standing{}
	if now.listed = h.drawn() && h.State == Ready; now.listed {
		set = b.belongs(h)
		now.used, now.out = b.inUse(h), b.ejected(h)
		now.broken, now.failing = now.out && h.why == CauseConnections, h.fails > 0
	}
	if h.fails > 0 {
		until(h.ejectUntil)
	}
	if h.cold {
		until(h.coldNext)
		until(h.coldAt + b.set.WarmAfter)
	}
	until(h.restUntil)
	if n, held := h.oldest(); held == 1 {
		until(n.sent + b.patience(n.req)) // it may be doubtful from then on
	}
	b.stand(h, set)
	for i := 0; h.failed && i < len(h.class); i++ {
		f := &h.class[i]
		if f.shuns {
			b.shuns[i].add(h.counted, -1)
		}
		if f.shuns = b.now < f.until; f.shuns {
			b.shuns[i].add(now, 1)
			until(f.until)
		}
	}
	if now != h.counted {
		b.tally.add(h.counted, -1)
		b.tally.add(now, 1)
		h.counted = now
	}
	b.lookAt(h, look)
}

// rank counts a host as what it is listed as: ready and warm, ready and cold, or neither.
// It is called where that may have changed.
func (b *Balancer) rank(h *host) {
	if h.cold && b.now-h.coldAt >= b.set.WarmAfter {
		h.cold = false
	}
	is := h.rank()
	if is == h.ranked {
		return
	}
	if h.ranked > 0 {
		b.listed[h.ranked-1]--
	}
	if is > 0 {
		b.listed[is-1]++
	}
	h.ranked = is
	b.laid, b.redrawn = false, false
}

// rank is 1 of a host that is ready and warm, 2 of one that is ready and cold, else 0.
func (h *host) rank() int {
	if h.State != Ready {
		return 0
	}
	if h.cold {
		return 2
	}
	return 1
}

// layRing puts the hosts that are ready into an order that is the same at every instance
// and has the kinds of machine spread evenly, so that every stretch is a fair part of the
// fleet. Few places change when hosts come and go. A cold host has the place of the warm one
// behind it, unless all count; this instance's own place is counted in the same way.
func (b *Balancer) layRing() {
	clear(b.ring) // what falls off its end must not be kept
	b.ring, b.laid = b.ring[:0], true
	runs := make([]ringRun, len(b.byKind))
	for i, l := range b.byKind {
		runs[i].hosts = l.hosts
		for _, h := range l.hosts {
			if h.ranked > 0 {
				runs[i].n++
			}
		}
		runs[i].skip()
	}
	n, places, place, found := b.listed[0]+b.listed[1], b.places(), 0, false
	b.own, b.from = b.set.Rank*places/b.set.Instances, 0
	for range n {
		var next *ringRun
		for i := range runs {
			if r := &runs[i]; len(r.hosts) > 0 && (next == nil || r.at() < next.at()) {
				next = r
			}
		}
		h := next.hosts[0]
		next.hosts, next.laid = next.hosts[1:], next.laid+1
		next.skip()
		if h.place = place % places; h.place == b.own && !found {
			b.from, found = len(b.ring), true
		}
		if !h.cold || places == n {
			place++
		}
		b.ring = append(b.ring, h)
	}
	if b.own == 0 { // cold hosts at the end of the ring have the place of the first warm one
		for k := n - 1; k > 0 && b.ring[k].place == 0; k-- {
			b.from = k
		}
	}
}

// ringRun is what is left to be laid of a kind.
type ringRun struct {
	hosts []*host // in the order of their marks; the first is ready
	n     int     // that are ready, laid or not
	laid  int
}

func (r *ringRun) at() float64 { return (float64(r.laid) + 0.5) / float64(r.n) }

func (r *ringRun) skip() {
	for len(r.hosts) > 0 && r.hosts[0].ranked == 0 {
		r.hosts = r.hosts[1:]
	}
}

// nth is the i-th host of the sets from set on.
func (b *Balancer) nth(set, i int) *host {
	for i >= len(b.sets[set].list) {
		i -= len(b.sets[set].list)
		set++
	}
	return b.sets[set].list[i]
}

// oldest is the attempt out longest at a host that was not passed by, and how many such
// there are.
func (h *host) oldest() (a *attempt, held int) {
	for n := h.flight.head; n != nil; n = n.next {
		if n.item.passedBy() {
			continue
		}
		if a == nil {
			a = n.item
		}
		held++
	}
	return a, held
}

// stale says whether a host does not stand any more where it stood, for the time that
// has passed, and puts it where it belongs.
func (b *Balancer) stale(h *host) bool {
	if h.pending == 0 {
		return false
	}
	was := h.stands
	b.recheck(h)
	return h.stands != was
}
