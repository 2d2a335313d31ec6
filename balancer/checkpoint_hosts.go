package balancer

func (b *Balancer) walkHosts(s *state) {
	n := s.count(len(b.hosts))
	if s.loading {
		b.hosts = make([]*host, n)
	}
	for i := range n {
		if s.loading {
			b.hosts[i] = &host{index: i, class: make([]classErrors, len(b.set.Classes)), readySet: setNone}
		}
		h := b.hosts[i]
		h.walk(s)
		if s.loading {
			b.byID[h.ID] = h
			b.addToKind(h)
		}
	}
	for k := range b.sets {
		b.walkList(s, &b.sets[k].list)
		for i, h := range b.sets[k].list {
			if h.position[k] = i + 1; k < setBusy {
				h.readySet = k
			}
		}
	}
	b.walkList(s, &b.rechecks)
	for i, h := range b.rechecks {
		h.recheckPosition = i + 1
	}
	if s.loading {
		b.recount()
	}
}

// recount computes, after loading, what is derived from the hosts.
func (b *Balancer) recount() {
	for _, h := range b.hosts {
		if h.ranked = h.rank(); h.ranked != rankNotReady {
			b.readyHosts[h.ranked-1]++
		}
		h.counted.unrecovered = h.counted.ready && h.ejections > 0
		b.counts.add(h.counted, 1)
		for i := range h.class {
			if h.class[i].counted {
				b.excluded[i].add(h.counted, 1)
			}
		}
	}
	if b.ringBuilt {
		b.buildRing()
	}
}

// walkList walks a list of hosts, each by its index.
func (b *Balancer) walkList(s *state, list *[]*host) {
	n := s.count(len(*list))
	if s.loading {
		*list = make([]*host, 0, n)
	}
	for i := range n {
		k := 0
		if !s.loading {
			k = (*list)[i].index
		}
		k = s.index(k, len(b.hosts))
		if k < 0 {
			s.fail("a list names no host")
			return
		}
		if s.loading {
			*list = append(*list, b.hosts[k])
		}
	}
}

func (h *host) walk(s *state) {
	whole(s, &h.ID)
	whole(s, &h.Zone)
	whole(s, &h.Cell)
	whole(s, &h.Kind)
	whole(s, &h.State)
	h.ringHash = mix(uint64(h.ID))
	for _, t := range []*Time{&h.Started, &h.rttAt, &h.lastResponse, &h.limitCutAt, &h.restingUntil, &h.ejectedUntil, &h.startedAt, &h.nextSlowStartSend, &h.recheckTime} {
		whole(s, t)
	}
	for _, f := range []*float64{&h.rtt, &h.concurrencyLimit} {
		s.f64(f)
	}
	for _, f := range []*bool{&h.sampled, &h.trialOut, &h.backoffCut, &h.warming, &h.hasErrors,
		&h.counted.ready, &h.counted.inUse, &h.counted.ejected, &h.counted.broken} {
		s.flag(f)
	}
	for _, n := range []*int{&h.brokenResponses, &h.ejections} {
		whole(s, n)
	}
	whole(s, &h.ejectCause)
	s.mean(&h.recentRTT)
	for i := range h.class {
		f := &h.class[i]
		s.f64(&f.share)
		whole(s, &f.at)
		whole(s, &f.exclusions)
		whole(s, &f.excludedAt)
		whole(s, &f.excludedUntil)
		s.flag(&f.counted)
	}
}
