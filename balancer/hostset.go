package balancer

// Sets of hosts that a host joins, leaves and is drawn from at a cost that does not grow with their number,
// and a heap of the times at which a host's standing may change without an event.

// The sets. A host is in one of the first four at most.
const (
	setReady    = iota // in the subset, and ready as far as is known
	setSilent          // ejected as silent, else ready
	setBroken          // ejected as connections to it fail, else ready
	setDoubtful        // has one attempt in flight that takes long, else ready
	setBusy            // has attempts in flight
	setSubset          // in the subset
	setCount

	setNone = -1
)

// hostSet is a set whose hosts know their position in it.
type hostSet struct{ list []*host }

func (b *Balancer) addToSet(set int, h *host) {
	if h.position[set] == 0 {
		b.sets[set].list = append(b.sets[set].list, h)
		h.position[set] = len(b.sets[set].list)
	}
}

func (b *Balancer) removeFromSet(set int, h *host) {
	i := h.position[set] - 1
	if i < 0 {
		return
	}
	list := b.sets[set].list
	last := len(list) - 1
	list[i] = list[last]
	list[i].position[set] = i + 1
	list[last] = nil // a host that is gone must not be kept
	b.sets[set].list, h.position[set] = list[:last], 0
}

// moveToSet moves a host to one of the first four sets, or to none.
func (b *Balancer) moveToSet(h *host, set int) {
	if h.readySet == set {
		return
	}
	if h.readySet != setNone {
		b.removeFromSet(h.readySet, h)
	}
	if set != setNone {
		b.addToSet(set, h)
	}
	h.readySet = set
}

// inSubset reports whether this instance uses the host.
func (h *host) inSubset() bool { return h.position[setSubset] != 0 }

// nth returns the i-th host of the sets from one on.
func (b *Balancer) nth(set, i int) *host {
	for i >= len(b.sets[set].list) {
		i -= len(b.sets[set].list)
		set++
	}
	return b.sets[set].list[i]
}

// recheck puts a host into the set that it belongs to and updates the counts. It is called after each event
// that concerns the host, and at the time that it schedules itself.
func (b *Balancer) recheck(h *host) {
	if h.warming {
		b.updateRank(h)
	}
	next := forever
	until := func(t Time) {
		if t > b.now {
			next = min(next, t)
		}
	}
	set, now := setNone, standing{}
	if now.ready = h.inSubset() && h.State == Ready; now.ready {
		set = b.readySetOf(h)
		now.inUse, now.ejected = b.isInUse(h), b.ejected(h)
		now.broken, now.unrecovered = now.ejected && h.ejectCause == CauseConnectionsFailed, h.ejections > 0
	}
	if h.ejections > 0 {
		until(h.ejectedUntil)
	}
	if h.warming {
		until(h.nextSlowStartSend)
		until(h.startedAt + b.set.SlowStartWindow)
	}
	until(h.restingUntil)
	if a, notOvertaken := h.oldest(); notOvertaken == 1 {
		until(a.sent + b.silenceTimeout(a.req)) // the host may be suspected from then on
	}
	b.moveToSet(h, set)
	for i := 0; h.hasErrors && i < len(h.class); i++ {
		if b.countExcluded(h, i, now) {
			until(h.class[i].excludedUntil)
		}
	}
	if now != h.counted {
		b.counts.add(h.counted, -1)
		b.counts.add(now, 1)
		h.counted = now
	}
	b.recheckAt(h, next)
}

// countExcluded updates whether a host counts as excluded for a class, which is reported.
func (b *Balancer) countExcluded(h *host, class int, now standing) bool {
	f := &h.class[class]
	if f.counted {
		b.excluded[class].add(h.counted, -1)
	}
	f.counted = b.excludedFor(h, class)
	if f.counted {
		b.excluded[class].add(now, 1)
	}
	return f.counted
}

// refreshStanding rechecks a busy host, as time has passed, and reports whether it moved to another set.
func (b *Balancer) refreshStanding(h *host) bool {
	if h.inFlight == 0 {
		return false
	}
	before := h.readySet
	b.recheck(h)
	return h.readySet != before
}

// recheckAt schedules the next recheck of a host; forever: there is none.
func (b *Balancer) recheckAt(h *host, at Time) {
	switch {
	case h.recheckTime == at && (at == forever) == (h.recheckPosition == 0):
		return
	case at == forever:
		b.cancelRecheck(h)
		return
	case h.recheckPosition == 0:
		b.rechecks = append(b.rechecks, h)
		h.recheckPosition = len(b.rechecks)
	}
	h.recheckTime = at
	b.recheckSiftDown(b.recheckSiftUp(h.recheckPosition - 1))
}

func (b *Balancer) cancelRecheck(h *host) {
	i, last := h.recheckPosition-1, len(b.rechecks)-1
	h.recheckTime, h.recheckPosition = forever, 0
	if i < 0 {
		return
	}
	moved := b.rechecks[last]
	b.rechecks[last] = nil
	b.rechecks = b.rechecks[:last]
	if i < last {
		b.rechecks[i], moved.recheckPosition = moved, i+1
		b.recheckSiftDown(b.recheckSiftUp(i))
	}
}

func (b *Balancer) recheckSiftUp(i int) int {
	for i > 0 {
		parent := (i - 1) / 2
		if b.rechecks[parent].recheckTime <= b.rechecks[i].recheckTime {
			break
		}
		b.recheckSwap(i, parent)
		i = parent
	}
	return i
}

func (b *Balancer) recheckSiftDown(i int) {
	for {
		child := 2*i + 1
		if child >= len(b.rechecks) {
			return
		}
		if child+1 < len(b.rechecks) && b.rechecks[child+1].recheckTime < b.rechecks[child].recheckTime {
			child++
		}
		if b.rechecks[i].recheckTime <= b.rechecks[child].recheckTime {
			return
		}
		b.recheckSwap(i, child)
		i = child
	}
}

func (b *Balancer) recheckSwap(i, j int) {
	b.rechecks[i], b.rechecks[j] = b.rechecks[j], b.rechecks[i]
	b.rechecks[i].recheckPosition, b.rechecks[j].recheckPosition = i+1, j+1
}
