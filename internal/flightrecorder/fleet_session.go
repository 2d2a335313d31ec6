package flightrecorder

import (
	"slices"
	"time"

	"dunemoor/balancer"
)

// fleetSession is a session of a gateway whose recording is being added to a Fleet.
type fleetSession struct {
	fleet      *Fleet
	wallStart  time.Time
	startedAt  balancer.Time
	lastEvent  balancer.Time
	warmup     time.Duration
	objectives []time.Duration                   // latency objectives by class
	startTimes map[balancer.HostID]balancer.Time // start times of the listed hosts, except removed ones
	requests   map[balancer.RequestID]*fleetRequest
}

// fleetRequest is a request and the second in which it is counted.
type fleetRequest struct {
	at      balancer.Time
	class   int
	second  *FleetSecond
	hosts   []balancer.HostID // host of each attempt, by number of the attempt
	ended   uint64            // bit i: attempt i has ended
	settled bool              // the request's outcome has been counted
}

func (r *fleetRequest) counts() *FleetClass { return &r.second.Classes[r.class] }

func newFleetSession(f *Fleet, start *SessionStart) *fleetSession {
	s := &fleetSession{
		fleet:      f,
		wallStart:  start.Wall,
		startedAt:  start.At,
		warmup:     start.Settings.SlowStartWindow,
		startTimes: map[balancer.HostID]balancer.Time{},
		requests:   map[balancer.RequestID]*fleetRequest{},
	}
	for _, class := range start.Settings.Classes {
		s.objectives = append(s.objectives, class.LatencyObjective)
	}
	return s
}

// wall converts a time on the session's clock to wall-clock time.
func (s *fleetSession) wall(at balancer.Time) time.Time { return s.wallStart.Add(at - s.startedAt) }

// second returns the counts of the second that contains a time.
func (s *fleetSession) second(at balancer.Time) *FleetSecond {
	return s.fleet.secondAt(s.wall(at).Unix())
}

func (s *fleetSession) addChange(at balancer.Time, host balancer.HostID, kind hostChangeKind) {
	s.fleet.changes = append(s.fleet.changes, hostChange{at: s.wall(at).UnixNano(), host: host, kind: kind})
}

// end ends the attempts that are in flight at the end of the session, because the gateway was killed, its settings
// changed or the recording ends there. After a change of settings the attempts continue, but their ends don't change the
// use of hosts again. s may be nil.
func (s *fleetSession) end() {
	if s == nil {
		return
	}
	for _, r := range s.requests {
		for i, host := range r.hosts {
			if r.ended&(1<<i) == 0 {
				s.addChange(s.lastEvent, host, hostAttemptEnded)
			}
		}
	}
}

func (s *fleetSession) process(it *Item) {
	switch it.Kind {
	case ItemEvent:
		s.lastEvent = it.Event.At
		s.event(&it.Event)
	case ItemAction:
		s.action(it.Session, it.At, &it.Action)
	}
}

func (s *fleetSession) event(e *Event) {
	second := s.second(e.At)
	switch e.Kind {
	case EventRequest:
		s.request(second, e)
	case EventAttemptEnded:
		s.attemptEnded(second, e)
	case EventUpdateEndpoints:
		s.updateEndpoints(second, e)
	}
}

func (s *fleetSession) request(second *FleetSecond, e *Event) {
	second.Requests++
	if e.Request.Duplicate {
		second.Duplicates++
	}
	class := e.Request.Class
	if class < 0 || class >= len(s.objectives) {
		return
	}
	for len(second.Classes) <= class {
		second.Classes = append(second.Classes, FleetClass{})
	}
	r := &fleetRequest{at: e.At, class: class, second: second}
	s.requests[e.Request.ID] = r
	r.counts().Requests++
	if e.Request.Duplicate {
		r.counts().Duplicates++
	}
}

func (s *fleetSession) attemptEnded(second *FleetSecond, e *Event) {
	o := &e.Outcome
	if int(o.Result) < len(second.Results) {
		second.Results[o.Result]++
	}
	r := s.requests[o.Request]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.hosts) {
		return
	}
	host := r.hosts[o.Attempt]
	counts := &second.Warm
	if s.isWarming(host, e.At) {
		counts = &second.Warming
	}
	counts.Ended++
	if o.Result == balancer.OK {
		counts.Succeeded++
		counts.Elapsed += o.Elapsed
		s.served(r, e.At)
	}
	r.ended |= 1 << o.Attempt
	s.addChange(e.At, host, hostAttemptEnded)
}

// isWarming reports whether a host is in slow start: it started less than the slow start window before a time.
func (s *fleetSession) isWarming(host balancer.HostID, at balancer.Time) bool {
	started := s.startTimes[host]
	return started > 0 && at-started < s.warmup
}

// served counts a successful response to a request, unless the outcome of the request has been counted.
func (s *fleetSession) served(r *fleetRequest, at balancer.Time) {
	if r.settled {
		return
	}
	r.settled = true
	counts := r.counts()
	latency := at - r.at
	counts.Latency += latency
	if latency <= s.objectives[r.class] {
		counts.InTime++
	} else {
		counts.Late++
	}
}

func (s *fleetSession) updateEndpoints(second *FleetSecond, e *Event) {
	if int(e.List) < len(second.Lists) {
		second.Lists[e.List]++
	}
	second.ListEntries += len(e.Hosts)
	if e.List == balancer.ListFull {
		s.removeUnlisted(e)
	}
	for _, h := range e.Hosts {
		change := hostNotReady
		if h.State == balancer.Ready {
			change = hostReady
		}
		if e.List != balancer.ListSaved { // a saved list may be stale
			s.addChange(e.At, h.ID, change)
		}
		if h.State == balancer.Removed {
			delete(s.startTimes, h.ID)
		} else {
			s.startTimes[h.ID] = h.Started
		}
	}
}

// removeUnlisted marks the hosts that are missing from a full list as not ready.
func (s *fleetSession) removeUnlisted(e *Event) {
	for id := range s.startTimes {
		listed := slices.ContainsFunc(e.Hosts, func(h balancer.Host) bool { return h.ID == id })
		if !listed {
			s.addChange(e.At, id, hostNotReady)
		}
	}
}

func (s *fleetSession) action(session uint64, at balancer.Time, a *balancer.Action) {
	second := s.second(at)
	switch a.Kind {
	case balancer.Send:
		s.send(second, session, at, a)
	case balancer.Reject:
		if int(a.Cause) < len(second.Rejected) {
			second.Rejected[a.Cause]++
			if r := s.settle(a.Request); r != nil {
				r.counts().Rejected[a.Cause]++
			}
		}
	case balancer.Fail:
		second.Failed++
		if r := s.settle(a.Request); r != nil {
			r.counts().Failed++
		}
	case balancer.Poll:
		second.Polls++
	case balancer.Close:
		second.Closes++
	}
}

// settle marks a request as settled, so that its outcome is counted only once. It returns nil if the request is unknown
// or already settled.
func (s *fleetSession) settle(id balancer.RequestID) *fleetRequest {
	r := s.requests[id]
	if r == nil || r.settled {
		return nil
	}
	r.settled = true
	return r
}

func (s *fleetSession) send(second *FleetSecond, session uint64, at balancer.Time, a *balancer.Action) {
	second.Attempts++
	if r := s.requests[a.Request]; r != nil {
		r.hosts = append(r.hosts, a.Host)
		if len(r.hosts) > 1 {
			second.Retries++
		} else {
			r.counts().Sent++
			r.counts().Waited += at - r.at
		}
	}
	if s.isWarming(a.Host, at) {
		second.WarmingAttempts++
	}
	second.attemptsByHost[a.Host]++
	s.addChange(at, a.Host, hostAttemptSent)
	if second.sessionsByHost[a.Host] == nil {
		second.sessionsByHost[a.Host] = map[uint64]struct{}{}
	}
	second.sessionsByHost[a.Host][session] = struct{}{}
}
