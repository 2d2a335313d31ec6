package balancer

import (
	"cmp"
	"slices"
)

// kindList is the hosts of a kind, ordered by ringHash.
type kindList struct {
	kind  int
	hosts []*host
}

func compareRingHash(x, y *host) int {
	return cmp.Or(cmp.Compare(x.ringHash, y.ringHash), cmp.Compare(x.ID, y.ID))
}

func (b *Balancer) findKind(kind int) (int, bool) {
	return slices.BinarySearchFunc(b.byKind, kind, func(l kindList, kind int) int { return cmp.Compare(l.kind, kind) })
}

// addToKind adds a host to the list of its kind.
func (b *Balancer) addToKind(h *host) {
	i, ok := b.findKind(h.Kind)
	if !ok {
		b.byKind = slices.Insert(b.byKind, i, kindList{kind: h.Kind})
	}
	l := &b.byKind[i]
	k, _ := slices.BinarySearchFunc(l.hosts, h, compareRingHash)
	l.hosts = slices.Insert(l.hosts, k, h)
}

// removeFromKind removes a host from the list of its kind.
func (b *Balancer) removeFromKind(h *host) {
	i, ok := b.findKind(h.Kind)
	if !ok {
		return
	}
	l := &b.byKind[i]
	if k, ok := slices.BinarySearchFunc(l.hosts, h, compareRingHash); ok {
		l.hosts = slices.Delete(l.hosts, k, k+1)
	}
	if len(l.hosts) == 0 {
		b.byKind = slices.Delete(b.byKind, i, i+1)
	}
}

// Ranks of hosts.
const (
	rankNotReady = iota
	rankWarm     // ready
	rankWarming  // ready, in slow start
)

func (h *host) rank() int {
	switch {
	case h.State != Ready:
		return rankNotReady
	case h.warming:
		return rankWarming
	}
	return rankWarm
}

// updateRank counts a host under its rank. It is called where that may have changed.
func (b *Balancer) updateRank(h *host) {
	if h.warming && b.now-h.startedAt >= b.set.SlowStartWindow {
		h.warming = false
	}
	rank := h.rank()
	if rank == h.ranked {
		return
	}
	if h.ranked != rankNotReady {
		b.readyHosts[h.ranked-1]--
	}
	if rank != rankNotReady {
		b.readyHosts[rank-1]++
	}
	h.ranked = rank
	b.ringBuilt, b.subsetCurrent = false, false
}

// buildRing orders the hosts that are ready in the same way at every instance, with the kinds spread evenly,
// so that each part of the ring is a fair part of the fleet. Few places change when hosts come and go. A
// warming host has the place of the warm one behind it, unless all count; this instance's own place is
// counted in the same way.
func (b *Balancer) buildRing() {
	clear(b.ring) // hosts beyond its end must not be kept
	b.ring, b.ringBuilt = b.ring[:0], true
	segments := b.ringSegments()
	n, places, place, found := b.readyHosts[0]+b.readyHosts[1], b.ringSize(), 0, false
	b.ringPlace, b.ringStart = b.set.Rank*places/b.set.Instances, 0
	for range n {
		h := nextOnRing(segments)
		if h.ringPlace = place % places; h.ringPlace == b.ringPlace && !found {
			b.ringStart, found = len(b.ring), true
		}
		if !h.warming || places == n {
			place++
		}
		b.ring = append(b.ring, h)
	}
	if b.ringPlace == 0 { // warming hosts at the end of the ring have the place of the first warm one
		for k := n - 1; k > 0 && b.ring[k].ringPlace == 0; k-- {
			b.ringStart = k
		}
	}
}

// ringSegment is what is left to be placed of a kind.
type ringSegment struct {
	hosts  []*host // ordered by ringHash; the first is ready
	ready  int     // hosts that are ready, placed or not
	placed int
}

func (b *Balancer) ringSegments() []ringSegment {
	segments := make([]ringSegment, len(b.byKind))
	for i, l := range b.byKind {
		segments[i].hosts = l.hosts
		for _, h := range l.hosts {
			if h.ranked != rankNotReady {
				segments[i].ready++
			}
		}
		segments[i].skipUnready()
	}
	return segments
}

// nextOnRing takes the next host: of the kind of which the smallest share was placed.
func nextOnRing(segments []ringSegment) *host {
	var next *ringSegment
	for i := range segments {
		if s := &segments[i]; len(s.hosts) > 0 && (next == nil || s.position() < next.position()) {
			next = s
		}
	}
	h := next.hosts[0]
	next.hosts, next.placed = next.hosts[1:], next.placed+1
	next.skipUnready()
	return h
}

// position returns where the next host of the kind belongs on the ring, between 0 and 1.
func (s *ringSegment) position() float64 { return (float64(s.placed) + 0.5) / float64(s.ready) }

func (s *ringSegment) skipUnready() {
	for len(s.hosts) > 0 && s.hosts[0].ranked == rankNotReady {
		s.hosts = s.hosts[1:]
	}
}

// scopeKey identifies a zone or a cell.
type scopeKey struct {
	scope DedupScope
	n     int
}

// hostsInScope returns the hosts that drop duplicates of a request that was first sent to h. The scopes are
// built when they are needed after the endpoint list has changed.
func (b *Balancer) hostsInScope(scope DedupScope, h *host) []*host {
	if scope == ScopeAll {
		return b.hosts
	}
	if !b.scopesBuilt {
		b.buildScopes()
	}
	if scope == ScopeZone {
		return b.scopes[scopeKey{scope, h.Zone}]
	}
	return b.scopes[scopeKey{scope, h.Cell}]
}

func (b *Balancer) buildScopes() {
	b.scopesBuilt = true
	for key, list := range b.scopes {
		if len(list) == 0 {
			delete(b.scopes, key) // it was empty the last time, too
			continue
		}
		clear(list)
		b.scopes[key] = list[:0]
	}
	for _, x := range b.hosts {
		for _, key := range [...]scopeKey{{ScopeZone, x.Zone}, {ScopeCell, x.Cell}} {
			b.scopes[key] = append(b.scopes[key], x)
		}
	}
}
