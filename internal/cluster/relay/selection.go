package relay

import "time"

// dialWithin schedules the next dial after a random delay of at most limit.
func (c *Client) dialWithin(limit time.Duration) {
	if c.attempt == nil {
		c.selection.dialAt = c.now + c.randomDelay(limit) + 1 // never 0, which means that no dial is scheduled
	}
}

// pick returns the most preferred relay that was not tried in this round, with avoided relays after all others.
// It returns noRelay if all relays were tried.
func (c *Client) pick() int {
	for _, avoided := range []bool{false, true} {
		for _, i := range c.preference {
			if !c.selection.tried[i] && (c.now < c.avoided[i].until) == avoided {
				return i
			}
		}
	}
	return noRelay
}

// dial dials the next relay, or schedules a new round if all relays were tried.
func (c *Client) dial() {
	x := &c.selection
	x.dialAt = 0
	relay := x.next
	if x.next = noRelay; relay == noRelay {
		relay = c.pick()
	}
	if relay != noRelay {
		c.open(relay, false)
		return
	}
	clear(x.tried)
	x.force = false
	if c.current != nil && c.now < c.current.receivedAt+relayTimeout {
		return // no other relay has accepted the stream: keep the current one
	}
	delay := min(maxRoundDelay, minRoundDelay<<min(x.rounds, maxRoundShift))
	x.rounds++
	x.dialAt = c.now + delay + c.randomDelay(delay)
}

// open dials a relay.
func (c *Client) open(relay int, fromReselect bool) {
	c.lastEpoch++
	c.selection.tried[relay] = true
	c.attempt = &clientStream{relay: relay, epoch: c.cfg.Boots<<32 | c.lastEpoch, openedAt: c.now, fromReselect: fromReselect}
	c.out.Dial = append(c.out.Dial, Dial{c.topology.relays[relay].Name, JoinRequest{
		Name: c.cfg.Name, ReplicaID: c.cfg.ReplicaID, Epoch: c.attempt.epoch, Zone: c.cfg.Zone, Region: c.cfg.Region, Force: c.selection.force,
	}})
	c.selection.force = false
}

// move looks for another relay. The current stream stays in use until another one is accepted.
func (c *Client) move(cause string) {
	if c.attempt != nil || c.selection.dialAt != 0 {
		return // a move is in progress already
	}
	c.ends[cause]++
	clear(c.selection.tried)
	c.selection.tried[c.current.relay] = true
	c.dial()
}

// avoidCurrent marks the current relay as avoided for a time: it is alive, but renewals through it get no
// reply.
func (c *Client) avoidCurrent() {
	a := c.avoided[c.current.relay]
	a.last = min(maxAvoidTime, max(minAvoidTime, 2*a.last))
	a.until = c.now + a.last
	c.avoided[c.current.relay] = a
	c.replyTimeout = min(maxReplyTimeout, 2*c.replyTimeout)
	c.replyTimeout += c.randomDelay(c.replyTimeout / 8)
	c.unansweredSince = 0
}

func (c *Client) scheduleReselect() {
	c.reselectAt = c.now + minReselectInterval + c.randomDelay(maxReselectInterval-minReselectInterval)
}

// reselect dials a relay that is preferred to the current one, is up and has capacity. If the current relay has
// more than its share of streams, one in overloadMoveShare calls also considers less preferred relays.
func (c *Client) reselect() {
	if c.attempt != nil || c.selection.dialAt != 0 || c.heartbeat == nil {
		return
	}
	leave := !c.topology.hasCapacity(c.heartbeat, c.current.relay) && c.rng.IntN(overloadMoveShare) == 0
	for _, i := range c.preference {
		if i == c.current.relay {
			if leave {
				continue
			}
			return
		}
		if c.now >= c.avoided[i].until && c.topology.hasCapacity(c.heartbeat, i) {
			clear(c.selection.tried)
			c.open(i, true)
			return
		}
	}
}
