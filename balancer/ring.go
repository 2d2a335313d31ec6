package balancer

import (
	"cmp"
	"slices"
)

// hostRing is the order of the ready hosts, which is the same in all instances. Each instance uses the
// hosts that start at its own place on the ring, so that the load is spread evenly without communication
// between instances.
type hostRing struct {
	byKind []kindList // all hosts by kind, from which the ring is built
	hosts  []*host    // ready hosts in the order of the ring, as of the last build
	built  bool       // the ring is up to date
	place  int        // place of this instance; counts only hosts with a place of their own
	start  int        // index in hosts of the first host at the place of this instance

	warm    int // number of ready hosts that are not in slow start
	warming int // number of ready hosts in slow start
}

// ringPosition is the state of a host on the ring.
type ringPosition struct {
	hash    uint64     // determines the order of the hosts of a kind
	place   int        // place on the ring, counted like hostRing.place
	counted ringStatus // status with which hostRing counts the host
}

// ringStatus is the status with which a host is counted on the ring.
type ringStatus int

// Values of ringStatus.
const (
	ringNotReady ringStatus = iota // not counted: the host is not listed as Ready
	ringWarm                       // ready and not in slow start
	ringWarming                    // ready and in slow start
)

// ringStatus returns the current ring status of a host.
func (h *host) ringStatus() ringStatus {
	switch {
	case h.State != Ready:
		return ringNotReady
	case h.slowStart.warming:
		return ringWarming
	}
	return ringWarm
}

// ready returns the number of ready hosts.
func (r *hostRing) ready() int { return r.warm + r.warming }

// count adds n hosts with the given status to the counts.
func (r *hostRing) count(status ringStatus, n int) {
	switch status {
	case ringWarm:
		r.warm += n
	case ringWarming:
		r.warming += n
	}
}

// updateRingStatus ends the slow start of a host if it is over, and updates its status on the ring. It must
// be called whenever either may have changed.
func (b *Balancer) updateRingStatus(host *host) {
	b.endSlowStart(host)
	status := host.ringStatus()
	if status == host.ring.counted {
		return
	}
	b.ring.count(host.ring.counted, -1)
	b.ring.count(status, 1)
	host.ring.counted = status
	b.ring.built = false
	b.subset.current = false
}

// buildRing orders the ready hosts. The order is the same in all instances, and the kinds of hosts are
// spread evenly, so that every section of the ring is representative of the fleet. Few places change when
// hosts are added or removed. A warming host shares the place of the warm host that follows it, unless
// warming hosts count toward the ring size; the place of this instance is counted in the same way.
func (b *Balancer) buildRing() {
	ring := &b.ring
	clear(ring.hosts) // avoids retaining removed hosts beyond the new length
	ring.hosts = ring.hosts[:0]
	ring.built = true
	places := b.ringSize()
	ring.place = b.settings.Rank * places / b.settings.Instances
	ring.start = 0
	ready := ring.ready()
	warmingHavePlaces := places == ready
	segments := ring.segments()
	place := 0
	found := false
	for range ready {
		host := nextOnRing(segments)
		host.ring.place = place % places
		if host.ring.place == ring.place && !found {
			ring.start = len(ring.hosts)
			found = true
		}
		if warmingHavePlaces || !host.slowStart.warming {
			place++
		}
		ring.hosts = append(ring.hosts, host)
	}
	if ring.place == 0 {
		ring.startAtLastWarming()
	}
}

// startAtLastWarming moves the start of place 0 back to the warming hosts at the end of the ring. They
// share the place of the first warm host.
func (r *hostRing) startAtLastWarming() {
	for i := len(r.hosts) - 1; i > 0; i-- {
		if r.hosts[i].ring.place != 0 {
			return
		}
		r.start = i
	}
}

// kindList is the list of the hosts of one kind, ordered by hash.
type kindList struct {
	kind  int
	hosts []*host
}

func compareHash(x, y *host) int {
	return cmp.Or(cmp.Compare(x.ring.hash, y.ring.hash), cmp.Compare(x.ID, y.ID))
}

// findKind returns the index of the list of a kind, or the index at which to insert it.
func (r *hostRing) findKind(kind int) (i int, ok bool) {
	return slices.BinarySearchFunc(r.byKind, kind, func(list kindList, kind int) int {
		return cmp.Compare(list.kind, kind)
	})
}

// add adds a host to the list of its kind.
func (r *hostRing) add(host *host) {
	i, ok := r.findKind(host.Kind)
	if !ok {
		r.byKind = slices.Insert(r.byKind, i, kindList{kind: host.Kind})
	}
	list := &r.byKind[i]
	k, _ := slices.BinarySearchFunc(list.hosts, host, compareHash)
	list.hosts = slices.Insert(list.hosts, k, host)
}

// remove removes a host from the list of its kind.
func (r *hostRing) remove(host *host) {
	i, ok := r.findKind(host.Kind)
	if !ok {
		return
	}
	list := &r.byKind[i]
	k, ok := slices.BinarySearchFunc(list.hosts, host, compareHash)
	if ok {
		list.hosts = slices.Delete(list.hosts, k, k+1)
	}
	if len(list.hosts) == 0 {
		r.byKind = slices.Delete(r.byKind, i, i+1)
	}
}

// ringSegment holds the hosts of a kind that are not placed on the ring yet.
type ringSegment struct {
	hosts  []*host // ordered by hash; the first one is ready
	ready  int     // number of ready hosts of the kind, placed or not
	placed int     // number of hosts already placed
}

// segments returns one segment per kind.
func (r *hostRing) segments() []ringSegment {
	segments := make([]ringSegment, len(r.byKind))
	for i, list := range r.byKind {
		segment := &segments[i]
		segment.hosts = list.hosts
		for _, host := range list.hosts {
			if host.ring.counted != ringNotReady {
				segment.ready++
			}
		}
		segment.skipNotReady()
	}
	return segments
}

// nextOnRing removes and returns the next host for the ring. It is of the kind with the smallest placed
// share.
func nextOnRing(segments []ringSegment) *host {
	var next *ringSegment
	for i := range segments {
		segment := &segments[i]
		if len(segment.hosts) == 0 {
			continue
		}
		if next == nil || segment.position() < next.position() {
			next = segment
		}
	}
	host := next.hosts[0]
	next.hosts = next.hosts[1:]
	next.placed++
	next.skipNotReady()
	return host
}

// position returns the position on the ring, between 0 and 1, at which the next host of the kind belongs.
func (s *ringSegment) position() float64 { return (float64(s.placed) + 0.5) / float64(s.ready) }

func (s *ringSegment) skipNotReady() {
	for len(s.hosts) > 0 && s.hosts[0].ring.counted == ringNotReady {
		s.hosts = s.hosts[1:]
	}
}
