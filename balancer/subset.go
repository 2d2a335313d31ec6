package balancer

import "math"

const (
	// samplesPerHost is the number of samples of each host that an instance needs within the time constant
	// of its estimate.
	samplesPerHost = 6
	// minSharingInstances is the minimum number of instances that use each host, so that no host depends on
	// the state of a single instance.
	minSharingInstances = 4
	// minSubsetHosts is the minimum number of hosts that an instance uses: two to choose from, and one that
	// may be ejected.
	minSubsetHosts = 3
	// subsetMoveWindows is the interval between two moves of the subset on the ring, in slow-start windows,
	// so that the load of new hosts grows slowly.
	subsetMoveWindows = 0.25
)

// subset determines which hosts of the ring this instance uses: subsetSize hosts in use, starting at its
// own place, and any warming and ejected hosts between them. A host that is in use stays in the subset
// while it is near, because this instance has samples of it. moveSubset removes only one host that is in
// use and far away at a time, so that new hosts are not overloaded; hosts in use beyond the subset size
// leave at once, the farthest first, and so do warming hosts that are far away.
type subset struct {
	current  bool // the scan below is of the current ring
	scanned  int  // hosts of the ring, from the place of this instance on, that the scan has visited
	nextMove Time // earliest time at which a host that is far away may leave the subset
}

// subsetSize returns how many warm hosts this instance uses: as many as its traffic provides samplesPerHost
// for within the time constant, but at least minSubsetHosts, and enough for minSharingInstances per host. A
// limited subset avoids scores and limits without samples, and a connection from each instance to each
// host, which would fill the connection tables of the hosts.
func (b *Balancer) subsetSize() int {
	sampled := b.arrivals.now(b.now, b.rateSpan()) * b.minEstimateDecay / samplesPerHost
	shared := float64(minSharingInstances*b.ringSize()) / float64(b.settings.Instances)
	wanted := int(math.Ceil(max(sampled, shared)))
	return min(b.ringSize(), max(minSubsetHosts, wanted))
}

// ringSize returns the number of hosts that the instances divide among them: the warm hosts, because a
// warming host has almost no capacity, or all ready hosts if hardly any is warm.
func (b *Balancer) ringSize() int {
	if b.ring.warm < minSubsetHosts {
		return b.ring.ready()
	}
	return b.ring.warm
}

// sharingInstances returns the number of instances that use each host. Hosts that no instance may use do
// not count: if most hosts are draining or warming, all instances share the others.
func (b *Balancer) sharingInstances() float64 {
	used := float64(b.settings.Instances * b.subsetSize())
	return max(1, used/max(float64(b.ringSize()), 1))
}

// refreshSubset updates the subset according to the ring, the standing of its hosts and the traffic.
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

// startSubset begins a new scan of the ring, and removes warming hosts that are far away from the subset.
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

// moveSubset removes the farthest host from the subset if it is outside this instance's section of the
// ring. The scan restarts to find its replacement.
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

// extendSubset continues the scan of the ring until enough hosts are in use and the next one is outside
// this instance's section.
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

// farthest returns the host in use that is farthest from the place of this instance, or nil if there is
// none.
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

// distance returns the number of places between a host and this instance's section of the ring, which has
// size places and starts at the place of the instance. Because it is counted in places, each host is used
// by its share of the instances even if most other hosts are draining or warming.
func (b *Balancer) distance(host *host, size int) int {
	n := b.ringSize()
	ahead := ((host.ring.place-b.ring.place)%n + n) % n
	behind := n - ahead
	return min(max(ahead-size+1, 0), behind)
}

// removeFromSubset removes a host from the subset and closes the idle connections to it, because the
// connection table of the host may be small.
func (b *Balancer) removeFromSubset(host *host) {
	if !host.inSubset() {
		return
	}
	b.sets.remove(setSubset, host)
	b.updateStanding(host)
	b.act(Action{Kind: Close, Host: host.ID})
}
