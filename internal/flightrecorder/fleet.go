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

// Fleet aggregates the recordings of many gateways by second of the wall clock. It shows behavior that is harmless in
// one gateway and harmful in all of them together, which a single recording can't show. Add is called for each
// recording, then Finish completes the counts, and then Text and ClassText write them.
type Fleet struct {
	seconds map[int64]*FleetSecond // by Unix time
	changes []hostChange           // state changes of hosts that Finish has yet to count
}

// NewFleet returns a Fleet without any recording.
func NewFleet() *Fleet { return &Fleet{seconds: map[int64]*FleetSecond{}} }

// FleetSecond counts the events and actions of all gateways in one second. Results counts attempts by balancer.Result;
// Canceled includes attempts whose client disconnected.
type FleetSecond struct {
	Starts          int // sessions that started
	Requests        int
	Duplicates      int // requests sent again by clients; included in Requests
	Attempts        int
	Retries         int // attempts after the first one of a request; included in Attempts
	WarmingAttempts int // attempts at hosts in slow start; included in Attempts
	Results         [balancer.InvalidResponse + 1]int
	Rejected        [causeCount]int              // rejected requests by balancer.Cause
	Failed          int                          // failed requests
	Polls           int                          // polls of endpoint lists
	Lists           [balancer.ListFailed + 1]int // endpoint lists by balancer.ListKind
	ListEntries     int                          // entries in Lists
	Closes          int                          // hosts to which the idle connections were closed

	Warm    AttemptCounts // attempts that ended, at hosts not in slow start
	Warming AttemptCounts // attempts that ended, at hosts in slow start

	Classes []FleetClass // counts of the requests that arrived in this second, by class

	// Set by Fleet.Finish.
	Ready    float64 // ready hosts, in host-seconds
	Idle     float64 // ready hosts without an attempt in flight from any gateway, in host-seconds
	InFlight float64 // attempts in flight at ready hosts, in attempt-seconds

	attemptsByHost map[balancer.HostID]int
	sessionsByHost map[balancer.HostID]map[uint64]struct{} // sessions that sent attempts to the host
}

// AttemptCounts counts attempts that ended.
type AttemptCounts struct {
	Ended     int
	Succeeded int           // included in Ended
	Elapsed   time.Duration // sum over the successful attempts
}

// meanElapsedMS returns the mean duration of successful attempts in milliseconds, or 0 if there are none.
func (c *AttemptCounts) meanElapsedMS() int {
	if c.Succeeded == 0 {
		return 0
	}
	return int(c.Elapsed.Milliseconds()) / c.Succeeded
}

// FleetClass is the outcome of the requests of a class that arrived in a second. Requests are counted per gateway: if
// a client retries at another gateway, this is another request.
type FleetClass struct {
	Requests   int
	Duplicates int // requests sent again by clients; included in Requests
	InTime     int // served within the latency objective; 0 if the class has none
	Late       int // served after the latency objective, or without one
	Rejected   [causeCount]int
	Failed     int
	Sent       int           // requests with at least one attempt
	Waited     time.Duration // sum over Sent of the time until the first attempt
	Latency    time.Duration // sum over InTime and Late
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

// HostUse returns the number of hosts with an attempt, the maximum number of attempts at one host, and the maximum
// number of sessions that sent attempts to one host. A gateway that began another session within the second, after a
// restart or with other settings, counts twice.
func (s *FleetSecond) HostUse() (hosts, maxAttempts, maxGateways int) {
	for id, attempts := range s.attemptsByHost {
		maxAttempts = max(maxAttempts, attempts)
		maxGateways = max(maxGateways, len(s.sessionsByHost[id]))
	}
	return len(s.attemptsByHost), maxAttempts, maxGateways
}

// Second returns the counts of the second that begins at a Unix time, or nil if there are none.
func (f *Fleet) Second(unix int64) *FleetSecond { return f.seconds[unix] }

// Add adds a recording. It returns the errors of Reader.Next; what was read before the error is counted.
func (f *Fleet) Add(in io.Reader) error {
	r := NewReader(in)
	var session *fleetSession // nil before the first session start: the wall-clock time of earlier items is unknown
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

// secondAt returns the counts of the second that begins at a Unix time, and adds them if there are none.
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

// hostChange is a change of a host's state, with its wall-clock time.
type hostChange struct {
	at   int64 // Unix time in nanoseconds
	host balancer.HostID
	kind hostChangeKind
}

// hostChangeKind is the kind of a hostChange.
type hostChangeKind uint8

const (
	hostAttemptSent hostChangeKind = iota
	hostAttemptEnded
	hostReady    // an endpoint list has the host as ready
	hostNotReady // an endpoint list has the host in another state, or a full list lacks it
)

// hostUse is the state of a host while Finish counts its changes.
type hostUse struct {
	inFlight int
	ready    bool
	at       int64 // Unix time in nanoseconds up to which the host is counted
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

// Finish sets Ready, Idle and InFlight of each second, from the attempts and endpoint lists of all gateways. It must be
// called once, after the last Add. A host is ready from the time at which the first gateway receives a list with it as
// ready.
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

// addHostUse counts the use of a host up to a Unix time in nanoseconds, second by second.
func (f *Fleet) addHostUse(use *hostUse, until int64) {
	const second = int64(time.Second)
	for use.at < until {
		end := min(until, use.at-use.at%second+second)
		if counts := f.seconds[use.at/second]; counts != nil && use.ready {
			seconds := float64(end-use.at) / 1e9
			counts.Ready += seconds
			counts.InFlight += float64(seconds * float64(use.inFlight))
			if use.inFlight <= 0 {
				counts.Idle += seconds
			}
		}
		use.at = end
	}
}
