package balancer

import (
	"maps"
	"slices"
)

// walkRequests walks the requests in the order of their IDs, then the queues, then the attempts at each host
// in the order sent.
func (b *Balancer) walkRequests(s *state) {
	ids := slices.Sorted(maps.Keys(b.open))
	n := s.count(len(ids))
	for i := range n {
		r := &request{}
		if !s.loading {
			r = b.open[ids[i]]
		}
		b.walkRequest(s, r)
		if s.err != nil {
			return
		}
		if s.loading {
			b.open[r.ID] = r
		}
	}
	for k := range b.queues {
		if !b.walkQueue(s, k) {
			return
		}
	}
	for _, h := range b.hosts {
		if !b.walkInFlight(s, h) {
			return
		}
	}
}

// walkQueue walks the IDs of the requests in a queue.
func (b *Balancer) walkQueue(s *state, k int) (ok bool) {
	n, next := 0, b.queues[k].head
	for m := next; m != nil; m = m.next {
		n++
	}
	for n = s.count(n); n > 0; n-- {
		var id RequestID
		if !s.loading {
			id, next = next.item.ID, next.next
		}
		whole(s, &id)
		if !s.loading {
			continue
		}
		r := b.open[id]
		if r == nil || r.queued {
			s.fail("a queue has an unknown request")
			return false
		}
		r.band = k
		b.addToQueue(r, false)
	}
	return true
}

// walkInFlight walks the attempts in flight at a host, each by its request and number.
func (b *Balancer) walkInFlight(s *state, h *host) (ok bool) {
	n, next := h.inFlight, h.attempts.head
	for n = s.count(n); n > 0; n-- {
		var id RequestID
		var k int
		if !s.loading {
			a := next.item
			id, next = a.req.ID, next.next
			k = slices.Index(a.req.attempts, a)
		}
		whole(s, &id)
		whole(s, &k)
		if !s.loading {
			continue
		}
		a := b.attemptAt(id, k)
		if a == nil || a.ended || a.host != h || a.link.item != nil {
			s.fail("a host has an unknown attempt")
			return false
		}
		a.link.item = a
		h.attempts.pushBack(&a.link)
		h.inFlight++
	}
	return true
}

// attemptAt returns an attempt of a request; nil: there is none.
func (b *Balancer) attemptAt(id RequestID, n int) *attempt {
	r := b.open[id]
	if r == nil || n < 0 || n >= len(r.attempts) {
		return nil
	}
	return r.attempts[n]
}

func (b *Balancer) walkRequest(s *state, r *request) {
	whole(s, &r.ID)
	whole(s, &r.Class)
	if r.Class < 0 || r.Class >= len(b.set.Classes) {
		s.fail("a request of class %d", r.Class)
		return
	}
	r.class = &b.set.Classes[r.Class]
	whole(s, &r.Tenant)
	for _, t := range []*Time{&r.Remaining, &r.arrived, &r.deadline, &r.waitUntil} {
		whole(s, t)
	}
	whole(s, &r.band)
	if r.band < 0 || r.band >= len(b.queues) {
		s.fail("a request in queue %d", r.band)
		return
	}
	for _, f := range []*bool{&r.Duplicate, &r.done, &r.timedOut, &r.streaming} {
		s.flag(f)
	}
	n := s.count(len(r.attempts))
	for i := range n {
		if s.loading {
			r.attempts = append(r.attempts, &attempt{req: r})
		}
		if !b.walkAttempt(s, r.attempts[i]) {
			return
		}
	}
}

func (b *Balancer) walkAttempt(s *state, a *attempt) (ok bool) {
	var h Host
	live := false
	if !s.loading {
		h, live = a.host.Host, b.byID[a.host.ID] == a.host
	}
	s.flag(&live)
	whole(s, &h.ID)
	whole(s, &h.Zone)
	whole(s, &h.Cell)
	whole(s, &a.sent)
	whole(s, &a.result)
	whole(s, &a.overtakenBy)
	for _, f := range []*bool{&a.ended, &a.trial, &a.canceledStuck, &a.countedSilent} {
		s.flag(f)
	}
	if !s.loading {
		return true
	}
	if !a.ended {
		a.req.inFlight++
	}
	if live {
		a.host = b.byID[h.ID]
	} else if a.ended {
		// The host was dropped after the attempt ended: only its zone and cell still count, for retries with
		// an idempotency key.
		h.State = Removed
		a.host = &host{Host: h}
	}
	if a.host == nil {
		s.fail("an attempt at an unknown host")
		return false
	}
	return true
}
