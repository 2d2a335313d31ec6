package balancer

import "math"

// Each instance uses a subset of the hosts, taken from a ring that is the same at every instance.

const (
	decayObjectives     = 8    // decay of RTT estimates, in shortest objectives: it outlasts a gap
	decaySampleGaps     = 4    // ... or in gaps between two samples of a host, if that is more
	maxDecayFactor      = 8    // ... but at most this many times the former
	samplesPerHost      = 6    // samples that an instance needs of each host within the decay
	minSharingInstances = 4    // instances that use each host at least: none depends on the view of one
	minSubsetSize       = 3    // hosts that an instance uses at least: two may be ejected and leave a choice
	subsetMoveShare     = 0.25 // of the slow-start window, between two moves on the ring: new hosts
)

// subsetSize returns how many of the warm hosts this instance uses: as many as its traffic gives
// samplesPerHost each within the decay, but no fewer than a choice of two needs with one ejected, nor
// than give each host minSharingInstances. It acts where that is less than there are. It guards against
// scores and limits without samples, and against a connection from each instance to each host, which
// fills their tables.
func (b *Balancer) subsetSize() int {
	sampled := b.requests.now(b.now, b.rateSpan()) * b.decay / samplesPerHost
	shared := float64(minSharingInstances*b.ringSize()) / float64(b.set.Instances)
	return min(b.ringSize(), max(minSubsetSize, int(math.Ceil(max(sampled, shared)))))
}

// ringSize returns how many hosts the instances divide among them: the warm ones, as a warming one has
// next to no capacity, and all that are ready where hardly any is warm.
func (b *Balancer) ringSize() int {
	if b.readyHosts[0] < minSubsetSize {
		return b.readyHosts[0] + b.readyHosts[1]
	}
	return b.readyHosts[0]
}

// currentDecay returns the decay of RTT estimates. With little traffic it follows the gap between two
// samples of a host: else each estimate would fade before the next sample.
func (b *Balancer) currentDecay() float64 {
	rate := b.requests.now(b.now, b.rateSpan())
	if rate == 0 {
		return b.decay
	}
	return max(b.decay, min(decaySampleGaps*float64(b.subsetSize())/rate, maxDecayFactor*b.decay))
}

// sharingInstances returns how many instances use each host. Hosts that none may use do not count: where
// most are draining or warming, all instances share the rest.
func (b *Balancer) sharingInstances() float64 {
	return max(1, float64(b.set.Instances*b.subsetSize())/max(float64(b.ringSize()), 1))
}

// refreshSubset keeps the subset: subsetSize hosts in use, and the warming and ejected ones beside them.
// The place on the ring is counted in warm hosts: so each host has its share of the instances also where
// most others are draining or warming, and a warming host the same as its neighbors. A host stays in the
// subset while it is in use and near, as its samples are here. Of those that are far one at a time is
// given up, so that new hosts are not overloaded, and warming ones at once.
func (b *Balancer) refreshSubset() {
	for len(b.rechecks) > 0 && b.rechecks[0].recheckTime <= b.now {
		b.recheck(b.rechecks[0])
	}
	size := b.subsetSize()
	if !b.subsetCurrent {
		b.startSubset(size)
	}
	if b.now >= b.nextMove {
		b.nextMove = b.now + Time(subsetMoveShare*float64(b.set.SlowStartWindow))
		if h := b.farthest(size); h != nil && b.distance(h, size) > 0 {
			b.removeFromSubset(h)
			b.scanned = 0
		}
	}
	for n := len(b.ring); b.scanned < n; b.scanned++ {
		h := b.ring[(b.ringStart+b.scanned)%n]
		if b.counts.inUse >= size && b.distance(h, size) > 0 {
			break
		}
		if !h.inSubset() && (!b.isInUse(h) || b.counts.inUse < size) {
			b.addToSet(setSubset, h)
			b.recheck(h)
		}
	}
	for b.counts.inUse > size {
		b.removeFromSubset(b.farthest(size))
	}
}

// startSubset begins a new pass over the ring, and gives up warming hosts that are far.
func (b *Balancer) startSubset(size int) {
	if !b.ringBuilt {
		b.buildRing()
	}
	b.subsetCurrent, b.scanned = true, 0
	for list := b.sets[setSubset].list; len(list) > 0; list = list[:len(list)-1] {
		if h := list[len(list)-1]; h.warming && b.distance(h, size) > size {
			b.removeFromSubset(h)
		}
	}
}

// farthest returns the host in use that is farthest from this instance's place; nil: there is none.
func (b *Balancer) farthest(size int) (far *host) {
	for _, h := range b.sets[setSubset].list {
		if b.isInUse(h) && (far == nil || b.distance(h, size) > b.distance(far, size)) {
			far = h
		}
	}
	return far
}

// distance returns how many hosts lie between a host and this instance's part of the ring, which is size
// warm hosts from its place on.
func (b *Balancer) distance(h *host, size int) int {
	n := b.ringSize()
	ahead := ((h.ringPlace-b.ringPlace)%n + n) % n
	return min(max(ahead-size+1, 0), n-ahead)
}

// isInUse reports whether a host of the subset counts: one that is warming or ejected does not.
func (b *Balancer) isInUse(h *host) bool { return !h.warming && !b.ejected(h) }

// removeFromSubset gives up a host and the connections to it, as its table may be short.
func (b *Balancer) removeFromSubset(h *host) {
	if h.inSubset() {
		b.removeFromSet(setSubset, h)
		b.recheck(h)
		b.act(Action{Kind: Close, Host: h.ID})
	}
}
