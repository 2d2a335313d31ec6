package relay

import "time"

const (
	// minRetryAfter and maxRetryAfter bound the random RetryAfter of a rejection.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Second
	// forcedJoinMargin is the difference in streams above which a relay rejects a forced join in favor of a relay
	// with fewer streams. It is more than the number of gateways that usually join that relay between two of its
	// route updates.
	forcedJoinMargin = minStreamLimit / 2
)

// Join handles the join request of a stream. If the stream is accepted, it stays open until StreamEnded is
// called or RouterOutput.Closed lists it.
func (r *Router) Join(now time.Duration, j JoinRequest) JoinReply {
	r.advance(now)
	reply := r.checkJoin(&j)
	if !reply.Accepted {
		r.counts.rejected++
		return reply
	}
	r.counts.joins++
	if s := r.streams[j.Name]; s != nil {
		r.closeStream(s, "replaced by a new stream of the gateway")
	}
	x := Incarnation{j.ReplicaID, j.Epoch}
	g := r.route(j.Name)
	r.clearRoute(j.Name, g)
	g.accept(x)
	r.setRoute(j.Name, r.cfg.Name)
	r.streams[j.Name] = &routerStream{name: j.Name, index: len(r.streamNames), incarnation: x, receivedAt: now, sentAt: now}
	r.streamNames = append(r.streamNames, j.Name)
	r.routes.announce(route{Name: j.Name, ReplicaID: j.ReplicaID, Epoch: j.Epoch})
	return reply
}

// checkJoin decides whether a stream is accepted, and returns the reply.
func (r *Router) checkJoin(j *JoinRequest) JoinReply {
	switch {
	case j.Name == "" || j.Name == Broadcast || len(j.Name) > MaxNameBytes || j.Epoch == 0:
		return JoinReply{Reason: "a join request needs the name of a gateway and an epoch", RetryAfter: time.Second}
	case r.topology.find(j.Name) != noRelay:
		return JoinReply{Reason: "a relay has that name", RetryAfter: time.Second}
	}
	if g := r.routes.known[j.Name]; g != nil {
		switch {
		case j.ReplicaID == g.current.ReplicaID && j.Epoch <= g.current.Epoch, j.ReplicaID == g.previous.ReplicaID && j.Epoch <= g.previous.Epoch:
			return JoinReply{Reason: "a later stream of this disk is known", Outdated: true, RetryAfter: time.Second}
		case j.ReplicaID != g.current.ReplicaID && r.isConnected(j.Name, g):
			return JoinReply{Reason: "a live gateway with another disk has the name", RetryAfter: time.Second}
		}
	}
	if _, rejoins := r.streams[j.Name]; !rejoins && !r.hasCapacityFor(j) {
		alternative := r.mostCapacity(j.Zone, j.Region)
		if alternative == r.cfg.Name {
			alternative = "" // the gateway may retry here, with Force
		}
		return JoinReply{Reason: reasonNoCapacity, Alternative: alternative, RetryAfter: r.retryAfter()}
	}
	if !r.takeJoinToken() {
		return JoinReply{Reason: "too many joins", RetryAfter: r.retryAfter()}
	}
	return JoinReply{Accepted: true}
}

func (r *Router) hasCapacityFor(j *JoinRequest) bool {
	if j.Force {
		return len(r.streams) < MaxStreams && !r.hasLessLoadedRelay()
	}
	return len(r.streams) < r.streamLimit()
}

// takeJoinToken takes a token from the bucket that limits the rate of joins. It returns false if there is none.
func (r *Router) takeJoinToken() bool {
	r.joinTokens = min(MaxJoinRate, r.joinTokens+(r.now-r.tokensAt).Seconds()*MaxJoinRate)
	r.tokensAt = r.now
	if r.joinTokens < 1 {
		return false
	}
	r.joinTokens--
	return true
}

func (r *Router) retryAfter() time.Duration {
	return minRetryAfter + time.Duration(r.rng.Int64N(int64(maxRetryAfter-minRetryAfter)))
}

// isConnected reports whether a gateway has a stream to any relay, according to the known routes.
func (r *Router) isConnected(name string, g *gatewayRoute) bool {
	if l := r.links[g.relay]; l != nil {
		return r.isUp(l)
	}
	s := r.streams[name]
	return s != nil && r.now < s.receivedAt+streamTimeout
}

// streamLimit returns the number of streams that each relay accepts at present.
func (r *Router) streamLimit() int {
	streams, relays := len(r.streams)+1, 1
	for _, l := range r.links {
		if r.isUp(l) {
			streams, relays = streams+l.streams, relays+1
		}
	}
	share := (streams*maxLoadPercent + 100*relays - 1) / (100 * relays) // rounded up
	return min(MaxStreams, max(minStreamLimit, share))
}

// mostCapacity returns the nearest relay with capacity, and of several the one with the most. If no relay has
// capacity, it returns the one with the fewest streams.
func (r *Router) mostCapacity(zone, region string) string {
	limit := r.streamLimit()
	best, bestDistance, bestCapacity := "", otherRegion+1, 0
	leastLoaded, fewest := "", 0
	for i := range r.topology.relays {
		x := &r.topology.relays[i]
		streams := len(r.streams)
		if x.Name != r.cfg.Name {
			l := r.links[x.Name]
			if !r.isUp(l) {
				continue
			}
			streams = l.streams
		}
		if leastLoaded == "" || streams < fewest {
			leastLoaded, fewest = x.Name, streams
		}
		distance, capacity := x.distance(zone, region), limit-streams
		if capacity > 0 && (distance < bestDistance || distance == bestDistance && capacity > bestCapacity) {
			best, bestDistance, bestCapacity = x.Name, distance, capacity
		}
	}
	if best == "" {
		return leastLoaded
	}
	return best
}

// hasLessLoadedRelay reports whether another relay has fewer streams, by more than forcedJoinMargin.
func (r *Router) hasLessLoadedRelay() bool {
	for _, l := range r.links {
		if r.isUp(l) && l.streams+forcedJoinMargin < len(r.streams) {
			return true
		}
	}
	return false
}
