package flightrecorder

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"text/tabwriter"
	"time"

	"dunemoor/balancer"
)

// Fitted is a simulation made from a recording: the recorded requests and endpoint lists, and hosts modelled on the
// recorded responses.
type Fitted struct {
	Simulation *Simulation
	Start      balancer.Time // time of the first event
	Seed       uint64        // seed of the balancer
	ClassNames []string
	Recorded   Summary // the recorded outcome
	Unserved   int     // requests that were never served: their work is drawn from that of other requests
	Report     *Report // result of the replay of the recording
}

// Random streams of a Fitted: each is the second seed of a PCG.
const (
	workStream  = 3 // work of requests that were never served
	errorStream = 5 // errors of simulated hosts
)

// errNoRequests is the error of Fit for a recording without any request that can be simulated.
var errNoRequests = errors.New("recording has no requests, or none after a known state of the balancer")

// Fit makes a simulation from a recording with one session. The model is simple: a host serves one request at a
// time, and the service time is the time since the request was sent or since the host's previous successful response,
// whichever is later; load from other gateways appears as slowness of the host; clients send the recorded requests,
// including their retries.
func Fit(in io.Reader) (*Fitted, error) {
	f := newFitter()
	sessions := 0
	report, err := Replay(NewReader(in), f.observe, func(it *Item) {
		if it.Kind != ItemSession {
			return
		}
		sessions++
		if sessions == 1 {
			f.startSession(it.Start)
		}
	})
	if err != nil {
		return nil, err
	}
	if sessions != 1 {
		return nil, fmt.Errorf("recording must have exactly one session to be simulated, got %d", sessions)
	}
	if len(f.Simulation.Arrivals) == 0 {
		return nil, errNoRequests
	}
	f.Report = report
	f.fitHosts()
	f.fitWork()
	return f.Fitted, nil
}

// fitter collects the requests, attempts and hosts of a recording.
type fitter struct {
	*Fitted
	settings     *balancer.Settings
	requests     map[balancer.RequestID]*fittedRequest
	openAttempts map[attemptKey]*fittedAttempt
	hosts        map[balancer.HostID]*fittedHost
}

// fittedRequest is a request of the recording.
type fittedRequest struct {
	arrival  int            // index in Simulation.Arrivals
	done     bool           // the request has a final response, or its client has disconnected
	attempts int            // number of attempts sent
	servedBy *fittedAttempt // the last successful attempt; nil: none
}

// fittedAttempt is an attempt of the recording.
type fittedAttempt struct {
	host   balancer.HostID
	class  int
	sentAt balancer.Time
	result balancer.Result
	// serviceTime is the time from the sending of the attempt or the host's previous successful response, whichever is
	// later, to the end of the attempt.
	serviceTime time.Duration
	atDeadline  bool // the attempt ended at about the request's deadline, see deadlineTolerance
}

// unanswered reports whether the host sent no response before the request's deadline.
func (a *fittedAttempt) unanswered() bool {
	canceledAtDeadline := a.result == balancer.Canceled && a.atDeadline
	return a.result == balancer.TimedOut || canceledAtDeadline
}

// fittedHost is a host of the recording.
type fittedHost struct {
	attempts     []*fittedAttempt // attempts that ended, in the order of their ends
	lastResponse balancer.Time    // when the last successful response arrived
}

func newFitter() *fitter {
	return &fitter{
		Fitted:       &Fitted{Simulation: &Simulation{Hosts: map[balancer.HostID]*SimulatedHost{}}},
		requests:     map[balancer.RequestID]*fittedRequest{},
		openAttempts: map[attemptKey]*fittedAttempt{},
		hosts:        map[balancer.HostID]*fittedHost{},
	}
}

func (f *fitter) startSession(start *SessionStart) {
	f.settings = &start.Settings
	f.Seed = start.Seed
	f.ClassNames = start.Classes
	f.Simulation.Settings = start.Settings
	f.Recorded.Classes = make([]ClassSummary, len(start.Settings.Classes))
}

// observe processes an event and the recorded actions that it resulted in.
func (f *fitter) observe(b *balancer.Balancer, e *Event, actions []balancer.Action) {
	if f.Start == 0 {
		f.begin(b, e)
	}
	switch e.Kind {
	case EventUpdateEndpoints:
		f.addEndpoints(e.At, e.List, slices.Clone(e.Hosts))
	case EventRequest:
		f.addRequest(e)
	case EventClientGone:
		f.clientGone(e)
	case EventAttemptEnded:
		f.attemptEnded(e)
	}
	for i := range actions {
		f.processAction(&actions[i], e.At)
	}
}

// begin sets the start time to that of the first event. If the recording begins in mid-session, the simulation starts
// with the endpoints of the checkpoint.
func (f *fitter) begin(b *balancer.Balancer, e *Event) {
	f.Start = e.At
	endpoints := b.Endpoints(nil)
	if e.Kind != EventUpdateEndpoints && len(endpoints) > 0 {
		f.addEndpoints(e.At, balancer.ListSaved, endpoints)
	}
}

func (f *fitter) addEndpoints(at balancer.Time, kind balancer.ListKind, hosts []balancer.Host) {
	f.Simulation.Endpoints = append(f.Simulation.Endpoints, EndpointUpdate{at, kind, hosts})
}

func (f *fitter) addRequest(e *Event) {
	f.requests[e.Request.ID] = &fittedRequest{arrival: len(f.Simulation.Arrivals)}
	f.Simulation.Arrivals = append(f.Simulation.Arrivals, Arrival{Request: e.Request, At: e.At})
	f.Recorded.Classes[e.Request.Class].Requests++
}

func (f *fitter) clientGone(e *Event) {
	r := f.requests[e.Request.ID]
	if r == nil || r.done {
		return
	}
	r.done = true
	arrival := &f.Simulation.Arrivals[r.arrival]
	arrival.GoneAt = e.At
	f.Recorded.Classes[arrival.Request.Class].Abandoned++
}

func (f *fitter) processAction(a *balancer.Action, now balancer.Time) {
	r := f.requests[a.Request]
	if r == nil {
		return
	}
	class := f.Simulation.Arrivals[r.arrival].Request.Class
	switch a.Kind {
	case balancer.Send:
		key := attemptKey{a.Request, r.attempts}
		r.attempts++
		f.openAttempts[key] = &fittedAttempt{host: a.Host, class: class, sentAt: now}
		f.Recorded.Attempts++
	case balancer.Reject, balancer.Fail:
		if !r.done {
			r.done = true
			f.Recorded.Classes[class].countNotServed(a)
		}
	}
}

func (f *fitter) attemptEnded(e *Event) {
	o := &e.Outcome
	key := attemptKey{o.Request, o.Attempt}
	attempt := f.openAttempts[key]
	if attempt == nil {
		return
	}
	delete(f.openAttempts, key)
	h := f.hosts[attempt.host]
	if h == nil {
		h = &fittedHost{}
		f.hosts[attempt.host] = h
	}
	r := f.requests[o.Request]
	arrival := &f.Simulation.Arrivals[r.arrival]
	remaining := arrival.Request.Remaining
	attempt.result = o.Result
	attempt.serviceTime = e.At - max(attempt.sentAt, h.lastResponse)
	attempt.atDeadline = e.At >= arrival.At+remaining-remaining/deadlineTolerance
	h.attempts = append(h.attempts, attempt)
	if o.Result != balancer.OK {
		return
	}
	h.lastResponse = e.At
	r.servedBy = attempt
	if !r.done {
		r.done = true
		f.Recorded.Classes[attempt.class].countServed(e.At-arrival.At, latencyObjective(f.settings, attempt.class))
	}
}

// Try runs the simulation with the balancer of this build.
func (f *Fitted) Try() (*Summary, error) {
	b, err := balancer.New(f.Simulation.Settings, f.Seed)
	if err != nil {
		return nil, err
	}
	f.Simulation.Random = rand.New(rand.NewPCG(f.Seed, errorStream))
	return f.Simulation.Run(b, f.Start), nil
}

// Compare writes the recorded outcome and that of Try as a table, with the headings of Analysis.Text.
func (f *Fitted) Compare(w io.Writer, tried *Summary) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "class\t\tasked\tin time\tlate\trefused\tfailed\tleft\tp50\tp99\t")
	var recordedTotal, triedTotal ClassSummary
	for i := range f.Recorded.Classes {
		writeClassSummary(t, className(f.ClassNames, i), "recorded", &f.Recorded.Classes[i])
		writeClassSummary(t, "", "this build", &tried.Classes[i])
		recordedTotal.add(&f.Recorded.Classes[i])
		triedTotal.add(&tried.Classes[i])
	}
	writeClassSummary(t, "all", "recorded", &recordedTotal)
	writeClassSummary(t, "", "this build", &triedTotal)
	t.Flush()
	fmt.Fprintf(w, "attempts: recorded %d, this build %d\n", f.Recorded.Attempts, tried.Attempts)
	fmt.Fprintf(w, "%d of %d requests were never served: their work is drawn from that of others\n", f.Unserved, len(f.Simulation.Arrivals))
	if tried.RepeatedExecutions+tried.Unanswered > 0 {
		fmt.Fprintf(w, "BROKEN RULES in the try: %d unsafe requests ran twice, %d requests have no answer\n", tried.RepeatedExecutions, tried.Unanswered)
	}
}

// add adds the counts of another class.
func (c *ClassSummary) add(other *ClassSummary) {
	c.Requests += other.Requests
	c.InTime += other.InTime
	c.Late += other.Late
	c.Rejected += other.Rejected
	c.Failed += other.Failed
	c.Abandoned += other.Abandoned
	c.Latencies = append(c.Latencies, other.Latencies...)
}

// writeClassSummary writes a row of the table that Compare writes.
func writeClassSummary(w io.Writer, name, source string, c *ClassSummary) {
	share := func(n int) string { return fmt.Sprintf("%.1f%%", 100*float64(n)/float64(max(c.Requests, 1))) }
	slices.Sort(c.Latencies)
	fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\t%v\t%v\t\n", name, source, c.Requests, share(c.InTime), share(c.Late),
		share(c.Rejected), share(c.Failed), share(c.Abandoned), quantile(c.Latencies, 0.5), quantile(c.Latencies, 0.99))
}
