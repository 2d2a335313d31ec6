package flightrecorder

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"dunemoor/balancer"
)

// Fleet counts over the recordings of many gateways, by second of the wall clock: what is
// harmless in one gateway and harmful in all shows in no recording alone.
type Fleet struct {
	seconds map[int64]*FleetSecond
	marks   []hostMark
}

// hostMark is what changed at a host by the wall clock: attempts out, or that it takes any.
type hostMark struct {
	at    int64 // Unix, in nanoseconds
	host  balancer.HostID
	out   int8 // 1 sent, -1 ended
	ready int8 // 1 listed as ready, -1 as anything else
}

// FleetSecond is what all gateways together did and met in a second.
type FleetSecond struct {
	Starts   int // gateways that began
	Requests int
	Repeats  int // of Requests, those that clients marked as repeats
	Sends    int
	Again    int // of Sends, those that are not a request's first
	ColdSent int // of Sends, those to hosts that were cold
	Results  [balancer.InvalidResponse + 1]int
	Refused  [balancer.CauseLowerPriority + 1]int // by cause
	Failed   int                                  // requests that got an error
	Watches  int                                  // calls for the list
	Lists    [balancer.ListFailed + 1]int
	Entries  int // of lists
	Closes   int // hosts given up, and the connections to them

	// Attempts that ended, at hosts that were warm and at those that were cold: how many, how
	// many well, and the time that these took together.
	Ended, Good [2]int
	Took        [2]time.Duration

	Classes []FleetClass // of what came in it

	// Host-seconds of hosts that are ready, those of them with no attempt of any gateway out, and
	// attempts out times seconds.
	Ready, Idle, Out float64

	byHost map[balancer.HostID]int
	using  map[balancer.HostID]map[uint64]struct{} // sessions that sent to it
}

// FleetClass is what became of the requests of a class that came in a second, as their gateways
// saw it: what a client asked before, at another gateway, is a request of its own.
type FleetClass struct {
	Requests int
	Repeats  int
	InTime   int // served within the aim
	Late     int // served behind it
	Refused  [balancer.CauseLowerPriority + 1]int
	Failed   int
	Waited   time.Duration // of those sent on: until their first attempt, together
	Sent     int
	Took     time.Duration // of those served: from their coming to their answer, together
}

func (c *FleetClass) add(o *FleetClass) {
	c.Requests, c.Repeats, c.InTime, c.Late = c.Requests+o.Requests, c.Repeats+o.Repeats, c.InTime+o.InTime, c.Late+o.Late
	for i := range o.Refused {
		c.Refused[i] += o.Refused[i]
	}
	c.Failed, c.Waited, c.Sent, c.Took = c.Failed+o.Failed, c.Waited+o.Waited, c.Sent+o.Sent, c.Took+o.Took
}

// inFlight is a request under way, and the second that it is counted in.
type inFlight struct {
	at      balancer.Time
	class   int
	in      *FleetSecond
	sentTo  []balancer.HostID
	ended   uint64 // bit i: its attempt i has
	settled bool
}

func (a *inFlight) count() *FleetClass { return &a.in.Classes[a.class] }

// Hosts is how many hosts were sent to, the most sends that one had, and the most gateways
// that one host was sent to from.
func (s *FleetSecond) Hosts() (used, mostSends, mostGateways int) {
	for h, n := range s.byHost {
		mostSends = max(mostSends, n)
		mostGateways = max(mostGateways, len(s.using[h]))
	}
	return len(s.byHost), mostSends, mostGateways
}

// mean is the time that good attempts took, in milliseconds.
func (s *FleetSecond) mean(i int) int {
	if s.Good[i] == 0 {
		return 0
	}
	return int(s.Took[i].Milliseconds()) / s.Good[i]
}

// NewFleet returns a Fleet that has counted nothing.
func NewFleet() *Fleet { return &Fleet{seconds: map[int64]*FleetSecond{}} }

// Second is the count of the second that begins at the Unix time, or nil.
func (f *Fleet) Second(unix int64) *FleetSecond { return f.seconds[unix] }

// member is what a Fleet keeps of the gateway that it reads.
type member struct {
	began    time.Time
	at       balancer.Time
	last     balancer.Time // event
	warm     time.Duration
	started  map[balancer.HostID]balancer.Time
	aims     []time.Duration // by class
	requests map[balancer.RequestID]*inFlight
}

// Add counts a recording in.
func (f *Fleet) Add(in io.Reader) error {
	r, m := NewReader(in), member{}
	var it Item
	for {
		switch err := r.Next(&it); {
		case errors.Is(err, io.EOF):
			f.over(&m)
			return nil
		case err != nil:
			return err
		}
		if it.Kind == ItemSession {
			f.over(&m)
			m = member{
				began: it.Start.Wall, at: it.Start.At, warm: it.Start.Settings.SlowStartWindow,
				started:  map[balancer.HostID]balancer.Time{},
				requests: map[balancer.RequestID]*inFlight{},
			}
			for _, c := range it.Start.Settings.Classes {
				m.aims = append(m.aims, c.LatencyObjective)
			}
			f.at(&m, m.at).Starts++
			continue
		}
		if m.requests == nil {
			continue // the recording begins in the midst of a session: its clock is not known
		}
		switch it.Kind {
		case ItemEvent:
			m.last = it.Event.At
			f.event(&m, &it.Event)
		case ItemAction:
			f.action(&m, it.Session, it.At, &it.Action)
		}
	}
}

func (f *Fleet) at(m *member, at balancer.Time) *FleetSecond {
	unix := m.began.Add(time.Duration(at - m.at)).Unix()
	s := f.seconds[unix]
	if s == nil {
		s = &FleetSecond{
			byHost: map[balancer.HostID]int{},
			using:  map[balancer.HostID]map[uint64]struct{}{},
		}
		f.seconds[unix] = s
	}
	return s
}

func (f *Fleet) mark(m *member, at balancer.Time, h balancer.HostID, out, ready int8) {
	f.marks = append(f.marks, hostMark{m.began.Add(time.Duration(at - m.at)).UnixNano(), h, out, ready})
}

// over ends what a gateway has out where its session ends: it was killed, or the recording stops.
func (f *Fleet) over(m *member) {
	for _, q := range m.requests {
		for i, h := range q.sentTo {
			if q.ended&(1<<i) == 0 {
				f.mark(m, m.last, h, -1, 0)
			}
		}
	}
}

// holds adds up how busy the hosts were, as all gateways together saw it. A host is ready as far as
// the first of them was told.
func (f *Fleet) holds() {
	slices.SortStableFunc(f.marks, func(a, b hostMark) int { return cmp.Compare(a.at, b.at) })
	type state struct {
		out   int
		ready bool
		at    int64
	}
	hosts := map[balancer.HostID]*state{}
	until := func(s *state, at int64) {
		for s.at < at { // a second at a time
			end := min(at, s.at-s.at%1e9+1e9)
			if sec := f.seconds[s.at/1e9]; sec != nil && s.ready {
				d := float64(end-s.at) / 1e9
				sec.Ready += d
				sec.Out += d * float64(s.out)
				if s.out <= 0 {
					sec.Idle += d
				}
			}
			s.at = end
		}
	}
	last := int64(0)
	for _, k := range f.marks {
		s := hosts[k.host]
		if s == nil {
			s = &state{at: k.at}
			hosts[k.host] = s
		}
		until(s, k.at)
		s.out += int(k.out)
		if k.ready != 0 {
			s.ready = k.ready > 0
		}
		last = k.at
	}
	for _, s := range hosts {
		until(s, last)
	}
	f.marks = nil
}

// cold says whether the host has started so short ago that it is not warm yet.
func (m *member) cold(h balancer.HostID, at balancer.Time) bool {
	began := m.started[h]
	return began > 0 && at-began < m.warm
}

func (f *Fleet) event(m *member, e *Event) {
	s := f.at(m, e.At)
	switch e.Kind {
	case EventRequest:
		s.Requests++
		if e.Request.Duplicate {
			s.Repeats++
		}
		f.asked(m, s, e)
	case EventOutcome:
		if int(e.Outcome.Result) < len(s.Results) {
			s.Results[e.Outcome.Result]++
		}
		if q := m.requests[e.Outcome.Request]; q != nil && e.Outcome.Attempt >= 0 && e.Outcome.Attempt < len(q.sentTo) {
			i := 0
			if m.cold(q.sentTo[e.Outcome.Attempt], e.At) {
				i = 1
			}
			s.Ended[i]++
			if e.Outcome.Result == balancer.OK {
				s.Good[i]++
				s.Took[i] += e.Outcome.Elapsed
				m.served(q, e.At)
			}
			q.ended |= 1 << e.Outcome.Attempt
			f.mark(m, e.At, q.sentTo[e.Outcome.Attempt], -1, 0)
		}
	case EventHosts:
		if int(e.List) < len(s.Lists) {
			s.Lists[e.List]++
		}
		s.Entries += len(e.Hosts)
		if e.List == balancer.ListFull { // what is not on it has gone
			for id := range m.started {
				if !slices.ContainsFunc(e.Hosts, func(h balancer.Host) bool { return h.ID == id }) {
					f.mark(m, e.At, id, 0, -1)
				}
			}
		}
		for _, h := range e.Hosts {
			switch {
			case e.List == balancer.ListSaved: // it may be old
			case h.State == balancer.Ready:
				f.mark(m, e.At, h.ID, 0, 1)
			default:
				f.mark(m, e.At, h.ID, 0, -1)
			}
			if h.State == balancer.Removed {
				delete(m.started, h.ID)
			} else {
				m.started[h.ID] = h.Started
			}
		}
	}
}

func (f *Fleet) action(m *member, session uint64, at balancer.Time, a *balancer.Action) {
	s := f.at(m, at)
	switch a.Kind {
	case balancer.Send:
		s.Sends++
		if q := m.requests[a.Request]; q != nil {
			if q.sentTo = append(q.sentTo, a.Host); len(q.sentTo) > 1 {
				s.Again++
			} else {
				q.count().Sent++
				q.count().Waited += at - q.at
			}
		}
		if m.cold(a.Host, at) {
			s.ColdSent++
		}
		s.byHost[a.Host]++
		f.mark(m, at, a.Host, 1, 0)
		if s.using[a.Host] == nil {
			s.using[a.Host] = map[uint64]struct{}{}
		}
		s.using[a.Host][session] = struct{}{}
	case balancer.Reject:
		if int(a.Cause) < len(s.Refused) {
			s.Refused[a.Cause]++
			if q := m.requests[a.Request]; q != nil && !q.settled {
				q.settled = true
				q.count().Refused[a.Cause]++
			}
		}
	case balancer.Fail:
		s.Failed++
		if q := m.requests[a.Request]; q != nil && !q.settled {
			q.settled = true
			q.count().Failed++
		}
	case balancer.Poll:
		s.Watches++
	case balancer.Close:
		s.Closes++
	}
}

func (f *Fleet) asked(m *member, s *FleetSecond, e *Event) {
	class := e.Request.Class
	if class < 0 || class >= len(m.aims) {
		return
	}
	for len(s.Classes) <= class {
		s.Classes = append(s.Classes, FleetClass{})
	}
	q := &inFlight{at: e.At, class: class, in: s}
	m.requests[e.Request.ID] = q
	q.count().Requests++
	if e.Request.Duplicate {
		q.count().Repeats++
	}
}

// served counts a good answer to a request.
func (m *member) served(q *inFlight, at balancer.Time) {
	if q.settled {
		return
	}
	q.settled = true
	c, took := q.count(), at-q.at
	c.Took += took
	if took <= m.aims[q.class] {
		c.InTime++
	} else {
		c.Late++
	}
}

// all are the seconds that anything was counted in, in their order.
func (f *Fleet) all() []int64 { return slices.Sorted(maps.Keys(f.seconds)) }

// ClassText writes a line a class and each span of seconds.
func (f *Fleet) ClassText(w io.Writer, span int) error {
	out := tabwriter.NewWriter(w, 0, 0, 1, ' ', tabwriter.AlignRight)
	fmt.Fprintln(out, "second\tclass\trequests\trepeats\tin time\tlate\twait\tdeadline\tspent\tworth less\tcame late\tfailed\tno answer\twaited ms\ttook ms\t")
	all := f.all()
	for i := 0; i < len(all); {
		from := all[i]
		var sum []FleetClass
		for ; i < len(all) && all[i] < from+int64(span); i++ {
			for k := range f.seconds[all[i]].Classes {
				for len(sum) <= k {
					sum = append(sum, FleetClass{})
				}
				sum[k].add(&f.seconds[all[i]].Classes[k])
			}
		}
		for k := range sum {
			c := &sum[k]
			none := c.Requests - c.InTime - c.Late - c.Failed
			for _, n := range c.Refused {
				none -= n
			}
			for _, n := range []int{
				int(from - all[0]), k, c.Requests, c.Repeats, c.InTime, c.Late, c.Refused[balancer.CauseQueueTimeout],
				c.Refused[balancer.CauseDeadlineExceeded], c.Refused[balancer.CauseNoMoreAttempts], c.Refused[balancer.CauseLowerPriority],
				c.Refused[balancer.CauseArrivedLate], c.Failed, none,
				int(c.Waited.Milliseconds()) / max(c.Sent, 1), int(c.Took.Milliseconds()) / max(c.InTime+c.Late, 1),
			} {
				fmt.Fprintf(out, "%d\t", n)
			}
			fmt.Fprintln(out)
		}
	}
	return out.Flush()
}

// Text writes a line a second.
func (f *Fleet) Text(w io.Writer) error {
	f.holds()
	all := f.all()
	buf := bufio.NewWriter(w)
	out := tabwriter.NewWriter(buf, 0, 0, 1, ' ', tabwriter.AlignRight)
	fmt.Fprintln(out, "second\tstarts\trequests\tsends\tagain\tcold\tok\terror\tfull\ttime-out\tno conn.\treset\tcalled off\twait\tdeadline\tspent\tworth less\tfailed\tlists\tlost\tentries\tclosed\thosts\tmost sends\tmost gw.\twarm ended\twarm ms\tcold ended\tcold ok\tcold ms\tready\tidle %\tout/host x100\t")
	for _, unix := range all {
		s := f.seconds[unix]
		used, most, gateways := s.Hosts()
		lists := s.Lists[balancer.ListFull] + s.Lists[balancer.ListChanges]
		for _, n := range []int{
			int(unix - all[0]), s.Starts, s.Requests, s.Sends, s.Again, s.ColdSent,
			s.Results[balancer.OK], s.Results[balancer.Failed], s.Results[balancer.Full],
			s.Results[balancer.TimedOut], s.Results[balancer.ConnectFailed],
			s.Results[balancer.Reset], s.Results[balancer.Canceled],
			s.Refused[balancer.CauseQueueTimeout], s.Refused[balancer.CauseDeadlineExceeded], s.Refused[balancer.CauseNoMoreAttempts],
			s.Refused[balancer.CauseLowerPriority],
			s.Failed, lists, s.Lists[balancer.ListFailed], s.Entries, s.Closes, used, most, gateways,
			s.Ended[0], s.mean(0), s.Ended[1], s.Good[1], s.mean(1),
			int(s.Ready + 0.5), int(100 * s.Idle / max(s.Ready, 1e-9)), int(100 * s.Out / max(s.Ready, 1e-9)),
		} {
			fmt.Fprintf(out, "%d\t", n)
		}
		fmt.Fprintln(out)
	}
	return errors.Join(out.Flush(), buf.Flush())
}
