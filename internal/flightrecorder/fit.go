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

// Fitted is a day made from a recording: the same arrivals and lists, hosts modelled on how
// they answered, and what became of the requests then.
type Fitted struct {
	Sim      *Sim
	Start    balancer.Time
	Seed     uint64
	Classes  []string
	Recorded Summary
	Unserved int // requests whose work is drawn from that of others, as they were never served
	Report   *Report
}

// Numbers of the fit.
const (
	// speedLeast is how many answers tell a host's speed; with fewer it counts as usual.
	speedLeast = 20
	// downLeast and silentLeast are how many attempts in a row must fail to connect, or stay
	// unanswered, for the host to count as down or silent meanwhile.
	downLeast, silentLeast = 2, 3
)

type fitAttempt struct {
	id     balancer.RequestID
	class  int
	sent   balancer.Time
	ended  balancer.Time
	result balancer.Result
	took   time.Duration // of the host's time: since it was sent or the answer before
	late   bool          // it ended with its request's time
}

type fitHost struct {
	atts    []*fitAttempt // in the order of their ends
	lastEnd balancer.Time
}

// fit gathers what a recording tells.
type fit struct {
	*Fitted
	set   *balancer.Settings
	reqs  map[balancer.RequestID]int // index in Arrivals
	done  map[balancer.RequestID]bool
	out   map[attemptKey]*fitAttempt
	at    map[attemptKey]balancer.HostID
	sends map[balancer.RequestID]int
	hosts map[balancer.HostID]*fitHost
	works map[balancer.RequestID]*fitAttempt // what served it
	where map[balancer.RequestID]balancer.HostID
}

// Fit makes a day from a recording. The model is simple and known to be: a host works on
// one request after the other, as long on each as its answers were apart; other gateways'
// load counts as the host's slowness; clients ask as they did then, also again.
func Fit(in io.Reader) (*Fitted, error) {
	f := &fit{
		Fitted: &Fitted{Sim: &Sim{Hosts: map[balancer.HostID]*SimHost{}}},
		reqs:   map[balancer.RequestID]int{}, done: map[balancer.RequestID]bool{},
		out: map[attemptKey]*fitAttempt{}, at: map[attemptKey]balancer.HostID{},
		sends: map[balancer.RequestID]int{}, hosts: map[balancer.HostID]*fitHost{},
		works: map[balancer.RequestID]*fitAttempt{}, where: map[balancer.RequestID]balancer.HostID{},
	}
	sessions := 0
	rep, err := Replay(NewReader(in), f.event, func(it *Item) {
		if it.Kind == ItemSession {
			if sessions++; sessions > 1 {
				return
			}
			f.set, f.Seed, f.Classes = &it.Start.Settings, it.Start.Seed, it.Start.Classes
			f.Sim.Settings = it.Start.Settings
			f.Recorded.Classes = make([]ClassSummary, len(f.set.Classes))
		}
	})
	switch {
	case err != nil:
		return nil, err
	case sessions != 1:
		return nil, fmt.Errorf("the recording has %d sessions, a day is made from one", sessions)
	case len(f.Sim.Arrivals) == 0:
		return nil, errors.New("no request is in the recording, or none whose state is known")
	}
	f.Report = rep
	f.model()
	return f.Fitted, nil
}

func (f *fit) event(bal *balancer.Balancer, e *Event, decided []balancer.Action) {
	if f.Start == 0 {
		f.Start = e.At
		if known := bal.Endpoints(nil); e.Kind != EventHosts && len(known) > 0 {
			f.Sim.Lists = append(f.Sim.Lists, List{e.At, balancer.ListSaved, known}) // begun in mid-flight
		}
	}
	switch e.Kind {
	case EventHosts:
		f.Sim.Lists = append(f.Sim.Lists, List{e.At, e.List, slices.Clone(e.Hosts)})
	case EventRequest:
		f.reqs[e.Request.ID] = len(f.Sim.Arrivals)
		f.Sim.Arrivals = append(f.Sim.Arrivals, Arrival{Request: e.Request, At: e.At})
		f.Recorded.Classes[e.Request.Class].Asked++
	case EventGone:
		if i, ok := f.reqs[e.Request.ID]; ok && !f.done[e.Request.ID] {
			f.done[e.Request.ID] = true
			f.Sim.Arrivals[i].GoneAt = e.At
			f.Recorded.Classes[f.Sim.Arrivals[i].Request.Class].Left++
		}
	case EventOutcome:
		f.outcome(e)
	}
	for i := range decided {
		d := &decided[i]
		n, ok := f.reqs[d.Request]
		if !ok {
			continue
		}
		a := &f.Sim.Arrivals[n]
		c := &f.Recorded.Classes[a.Request.Class]
		switch d.Kind {
		case balancer.Send:
			key := attemptKey{d.Request, f.sends[d.Request]}
			f.sends[d.Request]++
			f.out[key] = &fitAttempt{id: d.Request, class: a.Request.Class, sent: e.At}
			f.at[key] = d.Host
			f.Recorded.Attempts++
		case balancer.Reject, balancer.Fail:
			if f.done[d.Request] {
				continue
			}
			f.done[d.Request] = true
			c.Why[int(d.Cause)%len(c.Why)]++
			if d.Kind == balancer.Reject {
				c.Refused++
			} else {
				c.Failed++
			}
		}
	}
}

func (f *fit) outcome(e *Event) {
	o := &e.Outcome
	key := attemptKey{o.Request, o.Attempt}
	a := f.out[key]
	if a == nil {
		return
	}
	delete(f.out, key)
	id := f.at[key]
	h := f.hosts[id]
	if h == nil {
		h = &fitHost{}
		f.hosts[id] = h
	}
	a.ended, a.result, a.took = e.At, o.Result, e.At-max(a.sent, h.lastEnd)
	arrival := &f.Sim.Arrivals[f.reqs[o.Request]]
	a.late = e.At >= arrival.At+arrival.Request.Remaining-arrival.Request.Remaining/16
	h.atts = append(h.atts, a)
	if o.Result != balancer.OK {
		return
	}
	h.lastEnd = e.At
	f.works[o.Request], f.where[o.Request] = a, id
	if !f.done[o.Request] {
		f.done[o.Request] = true
		c := &f.Recorded.Classes[a.class]
		c.Took = append(c.Took, e.At-arrival.At)
		if e.At-arrival.At <= aimOf(f.set, a.class) {
			c.InTime++
		} else {
			c.Late++
		}
	}
}

func aimOf(set *balancer.Settings, class int) time.Duration {
	c := &set.Classes[class]
	if c.LatencyObjective == 0 || c.LatencyObjective > c.Deadline {
		return c.Deadline
	}
	return c.LatencyObjective
}

// unanswered says whether nothing came back from an attempt until its time was up.
func (a *fitAttempt) unanswered() bool {
	return a.result == balancer.TimedOut || a.result == balancer.Canceled && a.late
}

// model makes the hosts, and what each request takes.
func (f *fit) model() {
	classes := len(f.set.Classes)
	sum, n := make([]float64, classes), make([]int, classes)
	for _, h := range f.hosts {
		for _, a := range h.atts {
			if a.result == balancer.OK {
				sum[a.class] += float64(a.took)
				n[a.class]++
			}
		}
	}
	usual := func(class int) float64 {
		if n[class] == 0 {
			return float64(time.Millisecond)
		}
		return max(sum[class]/float64(n[class]), 1)
	}
	mute, ends := 0, 0
	errs, tries := make([]float64, classes), make([]float64, classes)
	ids := make([]balancer.HostID, 0, len(f.hosts))
	for id := range f.hosts {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		h, model := f.hosts[id], &SimHost{Speed: 1}
		took, want, answers := 0.0, 0.0, 0
		for _, a := range h.atts {
			if a.result == balancer.OK {
				took += float64(a.took)
				want += usual(a.class)
				answers++
			}
		}
		if answers >= speedLeast && took > 0 {
			model.Speed = want / took
		}
		model.Down = runs(h.atts, downLeast, func(a *fitAttempt) bool { return a.result == balancer.ConnectFailed })
		model.Silent = runs(h.atts, silentLeast, (*fitAttempt).unanswered)
		for _, a := range h.atts {
			if within(model.Down, a.sent) || within(model.Silent, a.sent) {
				continue
			}
			ends++
			tries[a.class]++
			switch {
			case a.unanswered():
				mute++
			case a.result == balancer.Failed, a.result == balancer.InvalidResponse, a.result == balancer.Reset:
				errs[a.class]++
			}
		}
		f.Sim.Hosts[id] = model
	}
	for c := range errs {
		errs[c] /= max(tries[c], 1)
	}
	for _, m := range f.Sim.Hosts {
		m.Errors, m.Mute = errs, float64(mute)/float64(max(ends, 1))
	}
	// What a request took its host is its own; what was never served takes what another of
	// its class did.
	pool := make([][]time.Duration, classes)
	for i := range f.Sim.Arrivals {
		a := &f.Sim.Arrivals[i]
		if w := f.works[a.Request.ID]; w != nil {
			a.Work = max(time.Duration(float64(w.took)*f.Sim.Hosts[f.where[a.Request.ID]].Speed), 1)
			pool[a.Request.Class] = append(pool[a.Request.Class], a.Work)
		}
	}
	r := rand.New(rand.NewPCG(f.Seed, 3))
	for i := range f.Sim.Arrivals {
		a := &f.Sim.Arrivals[i]
		if a.Work > 0 {
			continue
		}
		f.Unserved++
		if p := pool[a.Request.Class]; len(p) > 0 {
			a.Work = p[r.IntN(len(p))]
		} else {
			a.Work = time.Millisecond
		}
	}
}

// runs finds the stretches in which least attempts or more in a row were of a kind, in the
// order that they were sent.
func runs(atts []*fitAttempt, least int, is func(*fitAttempt) bool) (list []Span) {
	atts = slices.Clone(atts)
	slices.SortStableFunc(atts, func(x, y *fitAttempt) int { return int(min(max(x.sent-y.sent, -1), 1)) })
	for i := 0; i < len(atts); {
		j := i
		for j < len(atts) && is(atts[j]) {
			j++
		}
		if j-i >= least {
			list = append(list, Span{atts[i].sent, atts[j-1].sent + 1})
		}
		i = j + 1
	}
	return list
}

// Try plays the day with this build's module and says what became of the requests.
func (f *Fitted) Try() (*Summary, error) {
	bal, err := balancer.New(f.Sim.Settings, f.Seed)
	if err != nil {
		return nil, err
	}
	f.Sim.Rand = rand.New(rand.NewPCG(f.Seed, 5))
	return f.Sim.Run(bal, f.Start), nil
}

// Compare writes what was recorded beside what a try gave.
func (f *Fitted) Compare(w io.Writer, tried *Summary) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "class\t\tasked\tin time\tlate\trefused\tfailed\tleft\tp50\tp99\t")
	row := func(name, what string, c *ClassSummary) {
		share := func(n int) string { return fmt.Sprintf("%.1f%%", 100*float64(n)/float64(max(c.Asked, 1))) }
		slices.Sort(c.Took)
		fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\t%v\t%v\t\n", name, what, c.Asked, share(c.InTime), share(c.Late),
			share(c.Refused), share(c.Failed), share(c.Left), quantile(c.Took, 0.5), quantile(c.Took, 0.99))
	}
	var all [2]ClassSummary
	for i := range f.Recorded.Classes {
		name := fmt.Sprint(i)
		if i < len(f.Classes) {
			name = f.Classes[i]
		}
		row(name, "recorded", &f.Recorded.Classes[i])
		row("", "this build", &tried.Classes[i])
		for k, c := range []*ClassSummary{&f.Recorded.Classes[i], &tried.Classes[i]} {
			a := &all[k]
			a.Asked += c.Asked
			a.InTime += c.InTime
			a.Late += c.Late
			a.Refused += c.Refused
			a.Failed += c.Failed
			a.Left += c.Left
			a.Took = append(a.Took, c.Took...)
		}
	}
	row("all", "recorded", &all[0])
	row("", "this build", &all[1])
	t.Flush()
	fmt.Fprintf(w, "attempts: recorded %d, this build %d\n", f.Recorded.Attempts, tried.Attempts)
	fmt.Fprintf(w, "%d of %d requests were never served: their work is drawn from that of others\n", f.Unserved, len(f.Sim.Arrivals))
	if tried.Twice+tried.Unheard > 0 {
		fmt.Fprintf(w, "BROKEN RULES in the try: %d unsafe requests ran twice, %d requests have no answer\n", tried.Twice, tried.Unheard)
	}
}
