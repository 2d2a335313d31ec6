package flightrecorder

import (
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"time"

	"dunemoor/balancer"
)

// Analysis is what a recording tells of a stretch of time: what became of the requests, why
// those refused were, and how each host stood. It is made by a replay, so that the state of
// the module is known at every event, and not only where a view was recorded.
type Analysis struct {
	Report
	Gateway  string
	Build    string
	Classes  []string
	From, To balancer.Time
	Wall     time.Time // of From, by the wall clock as it was at the start of the session
	Bucket   time.Duration
	Hosts    []*HostLine
	Requests []ClassLine
	Rates    []Rates // by bucket
	Held     map[string]float64
	Refusals int // that waited for a host; what Held counts, a share of the hosts each
	Ejected  []Ejection
	Ejects   int
	Viewed   bool // the hosts are as the recorded views have them, not as replayed
}

// Rates counts what came and what was answered in a bucket.
type Rates struct{ Asked, Served, Refused, Failed int }

// ClassLine is what became of a class.
type ClassLine struct {
	Asked, Served, InTime, Refused, Failed, Left int
	Why                                          map[balancer.Cause]int
	took                                         []time.Duration
}

// HostLine is how a host stood, bucket by bucket.
type HostLine struct {
	ID      balancer.HostID
	Name    string
	Sent    int
	Good    int
	Buckets []HostBucket
}

// HostBucket sums up the looks at a host within a bucket.
type HostBucket struct {
	Looks          int
	Pending, Limit float64 // sums
	Mean           float64
	Held           map[string]int
}

// Ejection is a host that was taken out of the draw.
type Ejection struct {
	At      balancer.Time
	Host    balancer.HostID
	Why     balancer.Cause
	Request balancer.RequestID // the oldest out there, or the one whose end was the cause
	Class   int
	Age     time.Duration // of its attempt
	Pending int
}

// wallForm is how instants are written: in UTC.
const wallForm = "2006-01-02T15:04:05.000Z"

const (
	ejectionsMost = 200 // kept; the rest is counted
	// looksABucket is how often hosts are looked at within a bucket.
	looksABucket = 8
	// closeUp is the most hosts that are looked at behind every event, for ejections.
	closeUp = 64
)

// Window says what part of a recording is looked at; zeroes mean all of it. Times count
// from the recording's first event.
type Window struct {
	From, To time.Duration
	Bucket   time.Duration
}

type attemptKey struct {
	id balancer.RequestID
	n  int
}

type flying struct {
	host  balancer.HostID
	sent  balancer.Time
	class int
}

type asked struct {
	at    balancer.Time
	class int
	done  bool
	sends int
}

// analyser watches a replay.
type analyser struct {
	*Analysis
	win    Window
	base   balancer.Time
	began  balancer.Time // of the session, on the module's clock
	set    *balancer.Settings
	hosts  map[balancer.HostID]*HostLine
	names  map[balancer.HostID]string
	reqs   map[balancer.RequestID]*asked
	out    map[attemptKey]flying
	fails  map[balancer.HostID]int
	viewed map[balancer.HostID][]HostBucket // as the recording has it
	lookAt balancer.Time
	views  []balancer.HostView
}

// Analyse replays a recording and says what it tells.
func Analyse(in io.Reader, win Window) (*Analysis, error) {
	if win.Bucket <= 0 {
		win.Bucket = 500 * time.Millisecond
	}
	a := &analyser{
		Analysis: &Analysis{Bucket: win.Bucket, Held: map[string]float64{}}, win: win,
		hosts: map[balancer.HostID]*HostLine{}, names: map[balancer.HostID]string{},
		reqs: map[balancer.RequestID]*asked{}, out: map[attemptKey]flying{},
		fails: map[balancer.HostID]int{}, viewed: map[balancer.HostID][]HostBucket{},
	}
	rep, err := Replay(NewReader(in), a.event, a.other)
	if err != nil {
		return nil, err
	}
	a.Report = *rep
	if a.Divergence != nil {
		a.asViewed()
	}
	for _, h := range a.Hosts {
		h.Name = a.names[h.ID]
	}
	slices.SortFunc(a.Hosts, func(x, y *HostLine) int { return strings.Compare(x.label(), y.label()) })
	return a.Analysis, nil
}

func (a *analyser) other(it *Item) {
	switch it.Kind {
	case ItemSession:
		a.Gateway, a.Build, a.Classes = it.Start.Name, it.Start.Build, it.Start.Classes
		a.set = &it.Start.Settings
		for len(a.Requests) < len(a.set.Classes) {
			a.Requests = append(a.Requests, ClassLine{Why: map[balancer.Cause]int{}})
		}
		if a.From == 0 {
			a.Wall, a.began = it.Start.Wall, it.Start.At
		}
		clear(a.reqs)
		clear(a.out)
	case ItemView:
		if k := a.bucket(it.At); a.base != 0 && k >= 0 {
			for i := range it.Views {
				v := &it.Views[i]
				a.viewed[v.Host] = enter(a.viewed[v.Host], k, v, v.Unavailable(it.At))
			}
		}
	case ItemName:
		a.names[it.Host] = it.Text
	case ItemLoss:
		clear(a.reqs)
		clear(a.out)
	}
}

// bucket is the number of the bucket of a time, -1 outside of the window.
func (a *analyser) bucket(now balancer.Time) int {
	t := now - a.base
	if t < a.win.From || a.win.To > 0 && t >= a.win.To {
		return -1
	}
	return int((t - a.win.From) / a.win.Bucket)
}

func (a *analyser) event(bal *balancer.Balancer, e *Event, decided []balancer.Action) {
	if a.base == 0 {
		a.base = e.At
	}
	k := a.bucket(e.At)
	if k >= 0 {
		if a.From == 0 {
			a.From = e.At
			a.Wall = a.Wall.Add(e.At - a.began)
		}
		a.To = e.At
		for len(a.Rates) <= k {
			a.Rates = append(a.Rates, Rates{})
		}
	}
	var cause *flying
	switch e.Kind {
	case EventRequest:
		a.reqs[e.Request.ID] = &asked{at: e.At, class: e.Request.Class}
		if k >= 0 {
			a.Rates[k].Asked++
			a.Requests[e.Request.Class].Asked++
		}
	case EventGone:
		if r := a.reqs[e.Request.ID]; r != nil && !r.done {
			a.answered(e.Request.ID, r, func(c *ClassLine) { c.Left++ }, k)
		}
	case EventOutcome:
		o := &e.Outcome
		key := attemptKey{o.Request, o.Attempt}
		if f, ok := a.out[key]; ok {
			cause = &f
			delete(a.out, key)
			if o.Result == balancer.OK && k >= 0 {
				a.line(f.host).Good++
			}
		}
		if r := a.reqs[o.Request]; r != nil && !r.done && o.Result == balancer.OK {
			a.answered(o.Request, r, func(c *ClassLine) {
				took := e.At - r.at
				c.Served++
				if took <= a.set.Classes[r.class].LatencyObjective {
					c.InTime++
				}
				c.took = append(c.took, took)
				a.Rates[k].Served++
			}, k)
		}
	}
	waited := 0
	for i := range decided {
		d := &decided[i]
		r := a.reqs[d.Request]
		switch d.Kind {
		case balancer.Send:
			if r != nil {
				a.out[attemptKey{d.Request, r.sends}] = flying{d.Host, e.At, r.class}
				r.sends++
			}
			if k >= 0 {
				a.line(d.Host).Sent++
			}
		case balancer.Reject, balancer.Fail:
			if d.Cause == balancer.CauseQueueTimeout {
				waited++
			}
			if r == nil || r.done {
				continue
			}
			a.answered(d.Request, r, func(c *ClassLine) {
				c.Why[d.Cause]++
				if d.Kind == balancer.Reject {
					c.Refused++
					a.Rates[k].Refused++
				} else {
					c.Failed++
					a.Rates[k].Failed++
				}
			}, k)
		}
	}
	if k >= 0 {
		a.look(bal, e, k, waited, cause)
	}
}

// answered notes a request's end, in the window or not.
func (a *analyser) answered(id balancer.RequestID, r *asked, note func(*ClassLine), k int) {
	r.done = true
	if k >= 0 {
		note(&a.Requests[r.class])
	}
	delete(a.reqs, id)
}

func (a *analyser) line(id balancer.HostID) *HostLine {
	h := a.hosts[id]
	if h == nil {
		h = &HostLine{ID: id}
		a.hosts[id] = h
		a.Hosts = append(a.Hosts, h)
	}
	return h
}

// look takes in how the hosts stand behind an event.
func (a *analyser) look(bal *balancer.Balancer, e *Event, k, waited int, cause *flying) {
	due := e.At >= a.lookAt
	if !due && waited == 0 && len(a.hosts) > closeUp {
		return
	}
	a.views = bal.Views(a.views[:0])
	held := map[string]int{}
	listed := 0
	for i := range a.views {
		v := &a.views[i]
		word := v.Unavailable(e.At)
		if v.State == balancer.Ready && v.InSubset {
			listed++
			held[word]++
		}
		if v.Ejections > 0 && a.fails[v.Host] == 0 {
			a.ejected(v, e, cause)
		}
		a.fails[v.Host] = v.Ejections
		if !due {
			continue
		}
		h := a.line(v.Host)
		h.Buckets = enter(h.Buckets, k, v, word)
	}
	if due {
		a.lookAt = e.At + a.win.Bucket/looksABucket
	}
	if waited > 0 && listed > 0 {
		a.Refusals += waited
		for word, n := range held {
			if word == "" {
				word = "ready now"
			}
			a.Held[word] += float64(waited) * float64(n) / float64(listed)
		}
	}
}

// enter enters a look at a host into its bucket.
func enter(list []HostBucket, k int, v *balancer.HostView, word string) []HostBucket {
	for len(list) <= k {
		list = append(list, HostBucket{})
	}
	b := &list[k]
	if b.Held == nil {
		b.Held = map[string]int{}
	}
	b.Looks++
	b.Pending += float64(v.InFlight)
	b.Limit += v.ConcurrencyLimit
	b.Mean += v.RecentRTT
	if word == "ejected" && v.Cause == balancer.CauseSilent {
		word = "silent"
	}
	b.Held[word]++
	return list
}

// asViewed puts what the recorded views tell of the hosts in the place of what the replay
// does. It is for recordings of a build that decided otherwise: the state of a replay is
// not what the gateway held then.
func (a *analyser) asViewed() {
	a.Viewed, a.Held, a.Refusals, a.Ejected, a.Ejects = true, map[string]float64{}, 0, nil, 0
	for id, list := range a.viewed {
		a.line(id).Buckets = list
	}
	for _, h := range a.Hosts {
		if a.viewed[h.ID] == nil {
			h.Buckets = nil
		}
	}
}

func (a *analyser) ejected(v *balancer.HostView, e *Event, cause *flying) {
	a.Ejects++
	if len(a.Ejected) >= ejectionsMost {
		return
	}
	ej := Ejection{At: e.At, Host: v.Host, Why: v.Cause, Pending: v.InFlight, Class: -1}
	if v.Cause != balancer.CauseSilent && cause != nil && cause.host == v.Host {
		ej.Request, ej.Class, ej.Age = e.Outcome.Request, cause.class, e.At-cause.sent
	} else {
		for key, f := range a.out {
			if f.host == v.Host && (ej.Class < 0 || e.At-f.sent > ej.Age) {
				ej.Request, ej.Class, ej.Age = key.id, f.class, e.At-f.sent
			}
		}
	}
	a.Ejected = append(a.Ejected, ej)
}

func (h *HostLine) label() string {
	if h.Name != "" {
		return h.Name
	}
	return fmt.Sprintf("%x", uint64(h.ID))
}

// letters stand for what held a host, in the time lines; the first that held it for a
// third of the looks in a bucket is shown.
var letters = []struct {
	word   string
	letter byte
	says   string
}{
	{"gone", ' ', "gone"},
	{"draining", 'd', "draining"},
	{"ejected", 'X', "ejected, connections fail"},
	{"silent", 'S', "ejected as silent"},
	{"cold", 'c', "cold, waiting its turn"},
	{"resting", 'r', "resting, its limit is below one"},
	{"overdue", 'o', "its oldest attempt is overdue"},
	{"full", 'f', "at its limit"},
	{"not drawn", '-', "not drawn from"},
}

func (b *HostBucket) letter() byte {
	if b.Looks == 0 {
		return ' '
	}
	for _, l := range letters {
		if 3*b.Held[l.word] >= b.Looks {
			return l.letter
		}
	}
	return '.'
}

// Text writes the analysis for a terminal.
func (a *Analysis) Text(w io.Writer, ejections int) {
	fmt.Fprintf(w, "gateway %s, build %s, %d session(s): %d events, %d actions replayed alike, %d checkpoints agree\n",
		a.Gateway, a.Build, a.Sessions, a.Events, a.Actions, a.Checked)
	for _, l := range a.Losses {
		fmt.Fprintf(w, "missing: %s\n", l)
	}
	if a.SkippedEvents > 0 {
		fmt.Fprintf(w, "missing: %d events could not be replayed, as the state before them is not known\n", a.SkippedEvents)
	}
	if a.ForeignCheckpoints > 0 {
		fmt.Fprintf(w, "%d checkpoints are of another build: %s\n", a.ForeignCheckpoints, a.ForeignWhy)
	}
	if a.Divergence != nil {
		fmt.Fprintf(w, "this build decides otherwise: %v\n", a.Divergence)
		fmt.Fprintln(w, "so the hosts are shown as the recorded views have them, and what held requests back is not known")
	}
	span := a.To - a.From
	fmt.Fprintf(w, "\n%v of traffic\n%-16s %8s %8s %8s %8s %8s %8s %9s %9s\n", span.Round(time.Millisecond),
		"class", "asked", "in time", "served", "refused", "failed", "left", "p50", "p99")
	for i := range a.Requests {
		c := &a.Requests[i]
		name := fmt.Sprint(i)
		if i < len(a.Classes) {
			name = a.Classes[i]
		}
		slices.Sort(c.took)
		fmt.Fprintf(w, "%-16s %8d %8d %8d %8d %8d %8d %9v %9v\n", name, c.Asked, c.InTime, c.Served, c.Refused, c.Failed, c.Left,
			quantile(c.took, 0.5), quantile(c.took, 0.99))
		for _, why := range sortedCauses(c.Why) {
			fmt.Fprintf(w, "%-16s   %6d not served: %v\n", "", c.Why[why], why)
		}
	}
	if a.Refusals > 0 {
		fmt.Fprintf(w, "\n%d requests waited in vain for a host. Meanwhile of the hosts drawn from, on the average:\n", a.Refusals)
		words := make([]string, 0, len(a.Held))
		for word := range a.Held {
			words = append(words, word)
		}
		sort.Slice(words, func(i, j int) bool { return a.Held[words[i]] > a.Held[words[j]] })
		for _, word := range words {
			fmt.Fprintf(w, "%6.1f%% %s\n", 100*a.Held[word]/float64(a.Refusals), word)
		}
	}
	fmt.Fprintf(w, "\n%-18s %v a column, from %s on\n", "", a.Bucket, a.Wall.UTC().Format(wallForm))
	row := func(name string, f func(Rates) int) {
		fmt.Fprintf(w, "%-18s ", name+" /s")
		for _, r := range a.Rates {
			w.Write([]byte{magnitude(float64(f(r)) / a.Bucket.Seconds())})
		}
		fmt.Fprintln(w)
	}
	row("asked", func(r Rates) int { return r.Asked })
	row("served", func(r Rates) int { return r.Served })
	row("refused", func(r Rates) int { return r.Refused })
	row("failed", func(r Rates) int { return r.Failed })
	for _, h := range a.Hosts {
		fmt.Fprintf(w, "%-18s ", h.label())
		for i := range h.Buckets {
			w.Write([]byte{h.Buckets[i].letter()})
		}
		fmt.Fprintf(w, "  sent %d, good %d\n", h.Sent, h.Good)
	}
	fmt.Fprint(w, "rates: . none, 0 to 9 by doublings from 1 a second\nhosts: . takes requests")
	for _, l := range letters[1:] {
		fmt.Fprintf(w, ", %c %s", l.letter, l.says)
	}
	fmt.Fprintln(w)
	if a.Ejects > 0 {
		fmt.Fprintf(w, "\n%d ejections", a.Ejects)
		if ejections < a.Ejects {
			fmt.Fprintf(w, ", the first %d", min(ejections, len(a.Ejected)))
		}
		fmt.Fprintln(w)
		for _, e := range a.Ejected[:min(ejections, len(a.Ejected))] {
			name := fmt.Sprintf("%x", uint64(e.Host))
			for _, h := range a.Hosts {
				if h.ID == e.Host {
					name = h.label()
				}
			}
			fmt.Fprintf(w, "%10v %-18s %-16v %d out", (e.At - a.From).Round(time.Millisecond), name, e.Why, e.Pending)
			if e.Class >= 0 && e.Class < len(a.Classes) {
				fmt.Fprintf(w, ", request %d of %s for %v", e.Request, a.Classes[e.Class], e.Age.Round(time.Millisecond/10))
			}
			fmt.Fprintln(w)
		}
	}
}

func magnitude(x float64) byte {
	if x <= 0 {
		return '.'
	}
	n := 0
	for ; x >= 2 && n < 9; x /= 2 {
		n++
	}
	return byte('0' + n)
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)].Round(10 * time.Microsecond)
}

func sortedCauses(m map[balancer.Cause]int) []balancer.Cause {
	var list []balancer.Cause
	for c := range m {
		list = append(list, c)
	}
	slices.Sort(list)
	return list
}

// HostText writes the figures of one host, a line a bucket.
func (a *Analysis) HostText(w io.Writer, name string) error {
	for _, h := range a.Hosts {
		if h.label() != name {
			continue
		}
		fmt.Fprintf(w, "%10s %8s %8s %10s  %s\n", "from", "out", "limit", "mean aims", "held, share of the looks")
		for i := range h.Buckets {
			b := &h.Buckets[i]
			if b.Looks == 0 {
				continue
			}
			n := float64(b.Looks)
			fmt.Fprintf(w, "%10v %8.2f %8.2f %10.3f ", time.Duration(i)*a.Bucket, b.Pending/n, b.Limit/n, b.Mean/n)
			for _, l := range letters {
				if x := b.Held[l.word]; x > 0 {
					fmt.Fprintf(w, " %s %.0f%%", l.word, 100*float64(x)/n)
				}
			}
			fmt.Fprintln(w)
		}
		return nil
	}
	return fmt.Errorf("the recording has no host %s", name)
}
