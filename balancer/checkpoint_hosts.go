package balancer

// codeHosts codes the hosts, the sets that contain them and the heap of their standing updates.
func (b *Balancer) codeHosts(c *checkpointCodec) {
	n := c.codeCount(len(b.hosts))
	if c.decoding {
		b.hosts = make([]*host, n)
	}
	for i := range n {
		if !c.decoding {
			b.hosts[i].code(c)
			continue
		}
		decoded := &host{
			index:  i,
			errors: make([]classErrors, len(b.settings.Classes)),
			sets:   membership{selectionSet: setNone},
		}
		decoded.code(c)
		b.hosts[i] = decoded
		b.byID[decoded.ID] = decoded
		b.ring.add(decoded)
	}
	for set := range b.sets {
		b.codeSet(c, setKind(set))
	}
	b.codeHostList(c, &b.dueStandings.hosts)
	for i, host := range b.dueStandings.hosts {
		host.nextUpdate.position = i + 1
	}
	if c.decoding {
		b.recountHosts()
	}
}

// code codes one host.
func (h *host) code(c *checkpointCodec) {
	codeInt(c, &h.ID)
	codeInt(c, &h.Zone)
	codeInt(c, &h.Cell)
	codeInt(c, &h.Kind)
	codeInt(c, &h.State)
	codeInt(c, &h.Started)
	codeInt(c, &h.rtt.at)
	codeInt(c, &h.lastResponse)
	codeInt(c, &h.limiter.reducedAt)
	codeInt(c, &h.limiter.restingUntil)
	codeInt(c, &h.ejection.until)
	codeInt(c, &h.slowStart.startedAt)
	codeInt(c, &h.slowStart.nextSend)
	codeInt(c, &h.nextUpdate.at)
	c.codeFloat(&h.rtt.seconds)
	c.codeFloat(&h.limiter.limit)
	c.codeBool(&h.rtt.sampled)
	c.codeBool(&h.ejection.trialInFlight)
	c.codeBool(&h.ejection.backoffShortened)
	c.codeBool(&h.slowStart.warming)
	c.codeBool(&h.hasErrors)
	c.codeBool(&h.counted.ready)
	c.codeBool(&h.counted.inUse)
	c.codeBool(&h.counted.ejected)
	c.codeBool(&h.counted.unreachable)
	codeInt(c, &h.brokenResponses)
	codeInt(c, &h.ejection.count)
	codeInt(c, &h.ejection.cause)
	c.codeAverage(&h.limiter.recentRTT)
	for class := range h.errors {
		h.errors[class].code(c)
	}
	if c.decoding {
		h.ring.hash = mixBits(uint64(h.ID))
	}
}

// code codes the error state of a host for one class.
func (e *classErrors) code(c *checkpointCodec) {
	c.codeFloat(&e.share)
	codeInt(c, &e.lastAt)
	codeInt(c, &e.exclusions)
	codeInt(c, &e.excludedAt)
	codeInt(c, &e.excludedUntil)
	c.codeBool(&e.counted)
}

// codeSet codes the hosts of a set in order.
func (b *Balancer) codeSet(c *checkpointCodec, set setKind) {
	b.codeHostList(c, &b.sets[set].list)
	if !c.decoding {
		return
	}
	for i, host := range b.sets[set].list {
		host.sets.position[set] = i + 1
		if set < setBusy {
			host.sets.selectionSet = set
		}
	}
}

// codeHostList codes a list of hosts by their indexes.
func (b *Balancer) codeHostList(c *checkpointCodec, list *[]*host) {
	n := c.codeCount(len(*list))
	if c.decoding {
		*list = make([]*host, 0, n)
	}
	for i := range n {
		index := 0
		if !c.decoding {
			index = (*list)[i].index
		}
		index = c.codeIndex(index, len(b.hosts))
		if index < 0 {
			c.fail("host list contains an invalid index")
			return
		}
		if c.decoding {
			*list = append(*list, b.hosts[index])
		}
	}
}

// recountHosts recomputes the counts that are derived from the decoded hosts.
func (b *Balancer) recountHosts() {
	for _, host := range b.hosts {
		host.ring.counted = host.ringStatus()
		b.ring.count(host.ring.counted, 1)
		host.counted.unrecovered = host.counted.ready && host.ejection.count > 0
		b.counts.add(host.counted, 1)
		for class := range host.errors {
			if host.errors[class].counted {
				b.excluded[class].add(host.counted, 1)
			}
		}
	}
	if b.ring.built {
		b.buildRing()
	}
}
