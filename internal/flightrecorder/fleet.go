package flightrecorder

import (
	"cmp"
	"errors"
	"io"
	"maps"
	"slices"
	"time"

	"dunemoor/balancer"
)

// Fleet counts over the recordings of many gateways, by second of the wall clock: what is harmless in one gateway
// and harmful in all shows in no recording alone. Add adds each recording, then Finish completes the counts, and
// then Text and ClassText write them.
type Fleet struct {
	seconds map[int64]*FleetSecond // by Unix time
	changes []hostChange           // not counted yet, see Finish
}

// NewFleet returns a Fleet without any recording.
func NewFleet() *Fleet { return &Fleet{seconds: map[int64]*FleetSecond{}} }

// FleetSecond is what all gateways together did in a second.
type FleetSecond struct {
	Starts          int // of gateways
	Requests        int
	Duplicates      int // of Requests: sent again by clients
	Attempts        int
	Retries         int                               // of Attempts: not the first one of a request
	WarmingAttempts int                               // of Attempts: at hosts that were warming up
	Results         [balancer.InvalidResponse + 1]int // of attempts, by balancer.Result; Canceled has those of clients that left too
	Rejected        [causeCount]int                   // by balancer.Cause
	Failed          int                               // requests
	Polls           int                               // of endpoint lists
	Lists           [balancer.ListFailed + 1]int      // by balancer.ListKind
	ListEntries     int
	Closes          int // hosts that were given up, with the connections to them

	Warm    AttemptCounts // attempts that ended, at warm hosts
	Warming AttemptCounts // attempts that ended, at hosts that were warming up

	Classes []FleetClass // of the requests that came in it

	// Set by Fleet.Finish.
	Ready    float64 // ready hosts, in host-seconds
	Idle     float64 // of Ready: without an attempt of any gateway in flight
	InFlight float64 // attempts in flight at ready hosts, in attempt-seconds

	attemptsByHost map[balancer.HostID]int
	sessionsByHost map[balancer.HostID]map[uint64]struct{} // that sent to it
}

// AttemptCounts counts attempts that ended.
type AttemptCounts struct {
	Ended     int
	Succeeded int           // of Ended
	Elapsed   time.Duration // of Succeeded, together
}

// meanElapsedMS is the mean time of successful attempts, in milliseconds.
func (c *AttemptCounts) meanElapsedMS() int {
	if c.Succeeded == 0 {
		return 0
	}
	return int(c.Elapsed.Milliseconds()) / c.Succeeded
}

// FleetClass is the outcome of the requests of a class that came in a second, as their gateways saw it: a retry
// of a client at another gateway is a request of its own.
type FleetClass struct {
	Requests   int
	Duplicates int // of Requests: sent again by clients
	InTime     int // served within the latency objective
	Late       int // served after it
	Rejected   [causeCount]int
	Failed     int
	Sent       int           // requests with an attempt
	Waited     time.Duration // of Sent: until the first attempt, together
	Latency    time.Duration // of InTime and Late, together
}

// add adds the counts of another class.
func (c *FleetClass) add(other *FleetClass) {
	c.Requests += other.Requests
	c.Duplicates += other.Duplicates
	c.InTime += other.InTime
	c.Late += other.Late
	for i := range other.Rejected {
		c.Rejected[i] += other.Rejected[i]
	}
	c.Failed += other.Failed
	c.Sent += other.Sent
	c.Waited += other.Waited
	c.Latency += other.Latency
}

// HostUse returns the number of hosts with an attempt, the most attempts at one host, and the most gateways that
// sent to one host.
func (s *FleetSecond) HostUse() (hosts, maxAttempts, maxGateways int) {
	for id, attempts := range s.attemptsByHost {
		maxAttempts = max(maxAttempts, attempts)
		maxGateways = max(maxGateways, len(s.sessionsByHost[id]))
	}
	return len(s.attemptsByHost), maxAttempts, maxGateways
}

// Second returns the counts of the second that begins at a Unix time, or nil.
func (f *Fleet) Second(unix int64) *FleetSecond { return f.seconds[unix] }

// Add adds a recording. The errors are those of Reader.Next; what was read before one counts.
func (f *Fleet) Add(in io.Reader) error {
	r := NewReader(in)
	var session *fleetSession // nil before the first start: the recording begins in mid-session, and its clock is unknown
	var it Item
	for {
		err := r.Next(&it)
		if errors.Is(err, io.EOF) {
			session.end()
			return nil
		}
		if err != nil {
			return err
		}
		if it.Kind == ItemSession {
			session.end()
			session = newFleetSession(f, it.Start)
			session.second(session.startedAt).Starts++
			continue
		}
		if session != nil {
			session.process(&it)
		}
	}
}

// secondAt returns the counts of a second, and adds them where there are none.
func (f *Fleet) secondAt(unix int64) *FleetSecond {
	s := f.seconds[unix]
	if s == nil {
		s = &FleetSecond{
			attemptsByHost: map[balancer.HostID]int{},
			sessionsByHost: map[balancer.HostID]map[uint64]struct{}{},
		}
		f.seconds[unix] = s
	}
	return s
}

// sortedSeconds returns the Unix times of all seconds with counts.
func (f *Fleet) sortedSeconds() []int64 { return slices.Sorted(maps.Keys(f.seconds)) }

// hostChange is a change of a host's state by the wall clock.
type hostChange struct {
	at   int64 // Unix time in nanoseconds
	host balancer.HostID
	kind hostChangeKind
}

// hostChangeKind is what changes of a host.
type hostChangeKind uint8

const (
	hostAttemptSent hostChangeKind = iota
	hostAttemptEnded
	hostReady    // an endpoint list has it as ready
	hostNotReady // an endpoint list has it otherwise, or no longer
)

// hostUse is the state of a host while its changes are summed up.
type hostUse struct {
	inFlight int
	ready    bool
	at       int64 // up to which it is counted, Unix time in nanoseconds
}

// apply applies a change.
func (u *hostUse) apply(kind hostChangeKind) {
	switch kind {
	case hostAttemptSent:
		u.inFlight++
	case hostAttemptEnded:
		u.inFlight--
	case hostReady:
		u.ready = true
	case hostNotReady:
		u.ready = false
	}
}

// Finish sets Ready, Idle and InFlight of each second: the use of hosts as all gateways together saw it. It is
// called once, after the last Add. A host is ready from the time at which the first gateway learns so.
func (f *Fleet) Finish() {
	slices.SortStableFunc(f.changes, func(a, b hostChange) int { return cmp.Compare(a.at, b.at) })
	hosts := map[balancer.HostID]*hostUse{}
	last := int64(0)
	for _, change := range f.changes {
		use := hosts[change.host]
		if use == nil {
			use = &hostUse{at: change.at}
			hosts[change.host] = use
		}
		f.addHostUse(use, change.at)
		use.apply(change.kind)
		last = change.at
	}
	for _, use := range hosts {
		f.addHostUse(use, last)
	}
	f.changes = nil
}

// addHostUse counts a host up to a time, a second at a time.
func (f *Fleet) addHostUse(use *hostUse, until int64) {
	const second = int64(time.Second)
	for use.at < until {
		end := min(until, use.at-use.at%second+second)
		if counts := f.seconds[use.at/second]; counts != nil && use.ready {
			seconds := float64(end-use.at) / 1e9
			counts.Ready += seconds
			counts.InFlight += seconds * float64(use.inFlight)
			if use.inFlight <= 0 {
				counts.Idle += seconds
			}
		}
		use.at = end
	}
}
