package balancer

import (
	"maps"
	"slices"
)

// codeRequests codes the requests in the order of their IDs, then the queues, then the attempts in flight
// at each host in the order they were sent.
func (b *Balancer) codeRequests(c *checkpointCodec) {
	ids := slices.Sorted(maps.Keys(b.open))
	n := c.codeCount(len(ids))
	for i := range n {
		coded := &request{}
		if !c.decoding {
			coded = b.open[ids[i]]
		}
		b.codeRequest(c, coded)
		if c.err != nil {
			return
		}
		if c.decoding {
			b.open[coded.ID] = coded
		}
	}
	for index := range b.queues.byPriority {
		b.codeQueue(c, index)
		if c.err != nil {
			return
		}
	}
	for _, host := range b.hosts {
		b.codeInFlight(c, host)
		if c.err != nil {
			return
		}
	}
}

// codeRequest codes a request with its attempts.
func (b *Balancer) codeRequest(c *checkpointCodec, request *request) {
	codeInt(c, &request.ID)
	codeInt(c, &request.Class)
	if request.Class < 0 || request.Class >= len(b.settings.Classes) {
		c.fail("request class %d is out of range", request.Class)
		return
	}
	request.class = &b.settings.Classes[request.Class]
	codeInt(c, &request.Tenant)
	codeInt(c, &request.Remaining)
	codeInt(c, &request.arrived)
	codeInt(c, &request.deadline)
	codeInt(c, &request.waitUntil)
	codeInt(c, &request.queueIndex)
	if request.queueIndex < 0 || request.queueIndex >= len(b.queues.byPriority) {
		c.fail("request queue %d is out of range", request.queueIndex)
		return
	}
	c.codeBool(&request.Duplicate)
	c.codeBool(&request.done)
	c.codeBool(&request.answeredByBalancer)
	c.codeBool(&request.streaming)
	n := c.codeCount(len(request.attempts))
	for i := range n {
		if c.decoding {
			request.attempts = append(request.attempts, &attempt{request: request})
		}
		b.codeAttempt(c, request.attempts[i])
		if c.err != nil {
			return
		}
	}
}

// codeAttempt codes an attempt. Its host may no longer be in the list; the ID, zone and cell are therefore
// coded with the attempt.
func (b *Balancer) codeAttempt(c *checkpointCodec, attempt *attempt) {
	var listed Host
	known := false
	if !c.decoding {
		listed = attempt.host.Host
		listed.Zone = attempt.zone
		listed.Cell = attempt.cell
		known = b.byID[attempt.host.ID] == attempt.host
	}
	c.codeBool(&known)
	codeInt(c, &listed.ID)
	codeInt(c, &listed.Zone)
	codeInt(c, &listed.Cell)
	codeInt(c, &attempt.sentAt)
	codeInt(c, &attempt.result)
	codeInt(c, &attempt.overtakenBy)
	c.codeBool(&attempt.ended)
	c.codeBool(&attempt.trial)
	c.codeBool(&attempt.canceledStalled)
	c.codeBool(&attempt.countedSilent)
	if !c.decoding {
		return
	}
	attempt.zone = listed.Zone
	attempt.cell = listed.Cell
	if !attempt.ended {
		attempt.request.inFlight++
	}
	attempt.host = b.restoredHost(listed, known, attempt.ended)
	if attempt.host == nil {
		c.fail("attempt in flight at an unknown host")
	}
}

// restoredHost returns the host of a decoded attempt, or nil if it is unknown. A host that was dropped
// after the attempt ended is represented by its ID, zone and cell, which determine the hosts for retries
// with an idempotency key.
func (b *Balancer) restoredHost(listed Host, known, ended bool) *host {
	switch {
	case known:
		return b.byID[listed.ID]
	case ended:
		listed.State = Removed
		return &host{Host: listed}
	}
	return nil
}

// codeQueue codes the IDs of the requests in a queue.
func (b *Balancer) codeQueue(c *checkpointCodec, index int) {
	queue := &b.queues.byPriority[index]
	n := c.codeCount(queue.length())
	if !c.decoding {
		for node := queue.head; node != nil; node = node.next {
			codeInt(c, &node.item.ID)
		}
		return
	}
	for range n {
		var id RequestID
		codeInt(c, &id)
		request := b.open[id]
		if request == nil || request.queued {
			c.fail("queue contains an unknown or repeated request")
			return
		}
		request.queueIndex = index
		b.queues.pushBack(request)
	}
}

// codeInFlight codes the attempts in flight at a host, each by request ID and attempt index.
func (b *Balancer) codeInFlight(c *checkpointCodec, host *host) {
	n := c.codeCount(host.inFlight)
	if !c.decoding {
		for node := host.attempts.head; node != nil; node = node.next {
			request := node.item.request
			number := slices.Index(request.attempts, node.item)
			codeInt(c, &request.ID)
			codeInt(c, &number)
		}
		return
	}
	for range n {
		var id RequestID
		var number int
		codeInt(c, &id)
		codeInt(c, &number)
		attempt := b.attemptAt(id, number)
		valid := attempt != nil && !attempt.ended && attempt.host == host && attempt.link.item == nil
		if !valid {
			c.fail("host has an unknown or repeated attempt in flight")
			return
		}
		attempt.link.item = attempt
		host.attempts.pushBack(&attempt.link)
		host.inFlight++
	}
}
