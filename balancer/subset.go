package balancer

import "math"

const (
	// samplesPerHost is how many samples an instance needs of each host within the decay of its estimate.
	samplesPerHost = 6
	// minSharingInstances is how many instances use each host at least, so that no host depends on the
	// view of one.
	minSharingInstances = 4
	// minSubsetHosts is how many hosts an instance uses at least: a choice of two, with one more ejected.
	minSubsetHosts = 3
	// subsetMoveWindows is the time between two moves on the ring, in slow-start windows, so that the
	// load of new hosts grows slowly.
	subsetMoveWindows = 0.25
)

// subset decides which hosts of the ring this instance uses: subsetSize hosts in use from its own place
// on, and the warming and ejected ones beside them. A host stays in the subset while it is in use and
// near, as its samples are here. Of those that are far one at a time is given up, so that new hosts are
// not overloaded, and warming ones at once.
type subset struct {
	current  bool // the pass over the ring is of the present ring
	scanned  int  // hosts of the ring, from this instance's place on, that were visited in the pass
	nextMove Time // when a host that is far may be given up
}

// subsetSize returns how many of the warm hosts this instance uses: as many as its traffic gives
// samplesPerHost each within the decay, but no fewer than minSubsetHosts, nor than give each host
// minSharingInstances. It guards against scores and limits without samples, and against a connection from
// each instance to each host, which fills their tables.
func (b *Balancer) subsetSize() int {
	sampled := b.arrivals.now(b.now, b.rateSpan()) * b.minEstimateDecay / samplesPerHost
	shared := float64(minSharingInstances*b.ringSize()) / float64(b.settings.Instances)
	wanted := int(math.Ceil(max(sampled, shared)))
	return min(b.ringSize(), max(minSubsetHosts, wanted))
}

// ringSize returns how many hosts the instances divide among them: the warm ones, as a warming one has
// next to no capacity, and all that are ready where hardly any is warm.
func (b *Balancer) ringSize() int {
	if b.ring.warm < minSubsetHosts {
		return b.ring.ready()
	}
	return b.ring.warm
}

// sharingInstances returns how many instances use each host. Hosts that none may use do not count: where most
// are draining or warming, all instances share the rest.
func (b *Balancer) sharingInstances() float64 {
	used := float64(b.settings.Instances * b.subsetSize())
	return max(1, used/max(float64(b.ringSize()), 1))
}

// refreshSubset brings the subset up to date with the ring, the standing of its hosts and the traffic.
func (b *Balancer) refreshSubset() {
	b.updateDueStandings()
	size := b.subsetSize()
	if !b.subset.current {
		b.startSubset(size)
	}
	if b.now >= b.subset.nextMove {
		b.moveSubset(size)
	}
	b.extendSubset(size)
	for b.counts.inUse > size {
		b.removeFromSubset(b.farthest(size))
	}
}

// startSubset begins a new pass over the ring, and gives up warming hosts that are far.
func (b *Balancer) startSubset(size int) {
	if !b.ring.built {
		b.buildRing()
	}
	b.subset.current = true
	b.subset.scanned = 0
	list := b.sets[setSubset].list
	for i := len(list) - 1; i >= 0; i-- {
		host := list[i]
		if host.slowStart.warming && b.distance(host, size) > size {
			b.removeFromSubset(host)
		}
	}
}

// moveSubset gives up the host that is farthest, if it is outside this instance's part of the ring. The pass
// begins again for its replacement.
func (b *Balancer) moveSubset(size int) {
	interval := Time(subsetMoveWindows * float64(b.settings.SlowStartWindow))
	b.subset.nextMove = b.now + interval
	host := b.farthest(size)
	if host == nil || b.distance(host, size) == 0 {
		return
	}
	b.removeFromSubset(host)
	b.subset.scanned = 0
}

// extendSubset goes on with the pass over the ring, until enough hosts are in use and the next one is outside
// this instance's part of it.
func (b *Balancer) extendSubset(size int) {
	n := len(b.ring.hosts)
	for b.subset.scanned < n {
		host := b.ring.hosts[(b.ring.start+b.subset.scanned)%n]
		enough := b.counts.inUse >= size
		if enough && b.distance(host, size) > 0 {
			return
		}
		if !host.inSubset() && (!enough || !b.isInUse(host)) {
			b.sets.add(setSubset, host)
			b.updateStanding(host)
		}
		b.subset.scanned++
	}
}

// farthest returns the host in use that is farthest from this instance's place; nil: there is none.
func (b *Balancer) farthest(size int) *host {
	var farthest *host
	for _, host := range b.sets[setSubset].list {
		if !b.isInUse(host) {
			continue
		}
		if farthest == nil || b.distance(host, size) > b.distance(farthest, size) {
			farthest = host
		}
	}
	return farthest
}

// distance returns how many hosts lie between a host and this instance's part of the ring, which is size
// hosts from its place on. It is counted in places of the ring: so each host has its share of the instances
// also where most others are draining or warming.
func (b *Balancer) distance(host *host, size int) int {
	n := b.ringSize()
	ahead := ((host.ring.place-b.ring.place)%n + n) % n
	behind := n - ahead
	return min(max(ahead-size+1, 0), behind)
}

// removeFromSubset gives up a host and the connections to it, as its table may be short.
func (b *Balancer) removeFromSubset(host *host) {
	if !host.inSubset() {
		return
	}
	b.sets.remove(setSubset, host)
	b.updateStanding(host)
	b.act(Action{Kind: Close, Host: host.ID})
}
