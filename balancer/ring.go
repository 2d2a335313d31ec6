package balancer

import (
	"cmp"
	"slices"
)

// hostRing is the order of the ready hosts that is the same at every instance. Each instance uses the hosts
// from its own place on, so that the load is spread evenly without the instances talking to each other.
type hostRing struct {
	byKind []kindList // all hosts, from which the ring is built
	hosts  []*host    // ready hosts, as of the last build
	built  bool       // the ring is up to date
	place  int        // of this instance, counted in hosts that have a place of their own
	start  int        // index in hosts of the first host at that place

	warm    int // ready hosts that are warm
	warming int // ready hosts that are warming
}

// ringPosition is what a host knows of its position on the ring.
type ringPosition struct {
	hash    uint64     // orders the hosts of a kind
	place   int        // counted as that of the instance is
	counted ringStatus // as hostRing counts the host
}

// ringStatus says how a host counts on the ring.
type ringStatus int

// Values of ringStatus.
const (
	ringNotReady ringStatus = iota // it has no place
	ringWarm                       // ready
	ringWarming                    // ready, in slow start
)

// ringStatus returns how a host counts now.
func (h *host) ringStatus() ringStatus {
	switch {
	case h.State != Ready:
		return ringNotReady
	case h.slowStart.warming:
		return ringWarming
	}
	return ringWarm
}

// ready returns how many hosts are ready.
func (r *hostRing) ready() int { return r.warm + r.warming }

// count adds n hosts of a status.
func (r *hostRing) count(status ringStatus, n int) {
	switch status {
	case ringWarm:
		r.warm += n
	case ringWarming:
		r.warming += n
	}
}

// updateRingStatus counts a host as it is now, and ends its slow start where that is over. It is called where
// either may have changed.
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

// buildRing orders the hosts that are ready in the same way at every instance, with the kinds spread evenly,
// so that each part of the ring is a fair part of the fleet. Few places change when hosts come and go. A
// warming host has the place of the warm one behind it, unless all count; this instance's own place is
// counted in the same way.
func (b *Balancer) buildRing() {
	ring := &b.ring
	clear(ring.hosts) // the slice must not keep hosts that are gone beyond its end
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

// startAtLastWarming moves the start of place 0 back to the warming hosts at the end of the ring, which have
// the place of the first warm one.
func (r *hostRing) startAtLastWarming() {
	for i := len(r.hosts) - 1; i > 0; i-- {
		if r.hosts[i].ring.place != 0 {
			return
		}
		r.start = i
	}
}

// kindList is the hosts of a kind, ordered by hash.
type kindList struct {
	kind  int
	hosts []*host
}

func compareHash(x, y *host) int {
	return cmp.Or(cmp.Compare(x.ring.hash, y.ring.hash), cmp.Compare(x.ID, y.ID))
}

// findKind returns the index of a kind's list, or where it would be.
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

// ringSegment is what is left to be placed of a kind.
type ringSegment struct {
	hosts  []*host // ordered by hash; the first is ready
	ready  int     // hosts that are ready, placed or not
	placed int
}

// segments returns a segment for each kind.
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

// nextOnRing takes the next host: of the kind of which the smallest share was placed.
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

// position returns where the next host of the kind belongs on the ring, between 0 and 1.
func (s *ringSegment) position() float64 { return (float64(s.placed) + 0.5) / float64(s.ready) }

func (s *ringSegment) skipNotReady() {
	for len(s.hosts) > 0 && s.hosts[0].ring.counted == ringNotReady {
		s.hosts = s.hosts[1:]
	}
}
