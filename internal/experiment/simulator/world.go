package simulator

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dunemoor/balancer"
)

type kind uint8

const (
	evArrive  kind = iota // a client of class a asks for the first time
	evAgain               // it asks again
	evReach               // attempt n of r comes to its host
	evAnswer              // the end a of attempt n of r comes to its gateway
	evUntil               // attempt n of r is given up
	evLeave               // the client of r waits no longer
	evTimer               // gateway a, token n
	evDone                // a host is done with something
	evWarm                // a host is a little warmer
	evTrouble             // trouble a begins (n 1) or ends (n 0)
	evList                // gateway a hears of a host (n)
	evStep                // the next (n-th) that trouble a hits in its steps
	evGone                // a host that was replaced, or a gateway that leaves, ends
	evCall                // a call for the list by gateway a ends; n 1: well
	evSecond              // a second has passed
	evCutSeen             // discovery finds host a gone
)

// Rule is one of the four rules.
type Rule int

// Rules.
const (
	RuleLost  Rule = iota // one final answer while the client waits, and nothing goes out after it
	RuleTwice             // no effect twice; one attempt out at a time, and no more than are allowed
	RuleDrain             // nothing new 500 ms after the gateway was told
	RuleCold              // a cold host is not pushed over
	rules
)

var ruleNames = [...]string{"a request lost", "an effect twice", "a drain broken", "a cold host pushed over"}

// String names what is broken.
func (r Rule) String() string { return ruleNames[r] }

// drainGrace is how long a gateway may go on sending once it was told.
const drainGrace = 500 * time.Millisecond

// answerSlack is by how much later than its client's time an answer may come.
const answerSlack = 50 * time.Millisecond

type attempt struct {
	host   *host
	sent   balancer.Time
	ended  bool
	called bool // off
	fresh  bool // on a new connection
	life   uint32
}

// request is one try of a client.
type request struct {
	id       balancer.RequestID
	class    int
	client   uint64
	try      int
	first    balancer.Time // when the client first asked
	at       balancer.Time
	until    balancer.Time
	work     float64
	gateway  *gateway
	life     uint32 // of the gateway that it was taken by
	over     bool
	answers  int
	attempts []attempt
	ran      int
	ranAt    balancer.Time
	ranBy    *host
}

type gateway struct {
	id    int
	life  uint32
	up    bool
	downs int           // troubles that have it down
	since balancer.Time // down since
	left  balancer.Time // it is being restarted in good order since; 0: it is not
	asks  uint32        // calls for the list so far, where it must be asked for
	news  bool          // it hears of changes
	bal   *balancer.Balancer
	rng   *rand.Rand      // network
	idle  map[int]idleSet // connections by host
	open  map[balancer.RequestID]*request
}

type idleSet struct {
	life uint32
	n    int
}

// world is a run.
type world struct {
	cfg      Config
	now      balancer.Time
	queue    queue
	hosts    []*host
	gateways []*gateway
	arrive   []*rand.Rand // by class
	works    []*rand.Rand
	front    *rand.Rand
	clients  *rand.Rand
	lists    *rand.Rand
	early    *rand.Rand
	hit      [][]int       // by trouble: whom
	longest  float64       // mean work
	parts    []float64     // of the traffic, those of the gateways up to each added up
	called   balancer.Time // discovery is busy with calls until then
	blind    int           // troubles that have discovery down
	spent    float64       // work done by all hosts up to the last second
	lastID   balancer.RequestID
	acts     []balancer.Action
	sum      *Summary
	behind   Second // what happened after the last client asked
}

// Summary is what became of it.
type Summary struct {
	Classes     []ClassSummary `json:"classes"`
	Seconds     []Second       `json:"seconds"`
	Attempts    int            `json:"attempts"`
	Events      int            `json:"events"`
	Conns       float64        `json:"conns"`         // opened, a host
	WorstOfMean float64        `json:"worst_of_mean"` // the work of the busiest host over the mean
	Load        []float64      `json:"load"`          // work done by each host, a core and second
	Broken      [rules]int     `json:"broken"`        // by Rule
	Why         []string       `json:"why"`           // the first few of them
	Gateways    []GatewaySum   `json:"gateways"`
}

// ClassSummary is what became of a class. Each first try ends in one of the five.
type ClassSummary struct {
	Name    string  `json:"name"`
	Worth   float64 `json:"worth"`
	Asked   int     `json:"asked"`
	InTime  int     `json:"in_time"` // within the aim, counted from the first try
	Late    int     `json:"late"`
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"`
	Left    int     `json:"left"` // without an answer: its gateway died, or its time was up
	Tries   int     `json:"tries"`
	// Why are the answers of gateways that served nothing, by the module's Cause.
	Why [causes]int `json:"why"`

	// Took are the times from the first try to the answer, in microseconds.
	Took *hdrhistogram.Histogram `json:"-"`
}

// causes is how many the module tells apart for requests.
const causes = int(balancer.CauseLowerPriority) + 1

// Second is what became of the first tries of a second.
type Second struct {
	Asked  int `json:"asked"`
	InTime int `json:"in_time"`

	// What happened in it, over the whole fleet.
	Refused    int     `json:"refused"`
	Handshakes int     `json:"handshakes"`
	ColdSends  int     `json:"cold_sends"` // attempts at hosts that are cold
	DeadSends  int     `json:"dead_sends"` // ... at hosts that are down, hang or can't be reached
	ListCalls  int     `json:"list_calls"`
	Idle       float64 `json:"idle"` // share of what the hosts that can be reached could do that they did not
}

// Worth is the worth answered within the aim as a share of the worth asked for.
func (s *Summary) Worth() float64 {
	asked, in := 0.0, 0.0
	for _, c := range s.Classes {
		asked += c.Worth * float64(c.Asked)
		in += c.Worth * float64(c.InTime)
	}
	if asked == 0 {
		return 1
	}
	return in / asked
}

// second is the count of this second; what comes behind the last is not kept.
func (w *world) second() *Second {
	if i := int(w.now.Seconds()); i < len(w.sum.Seconds) {
		return &w.sum.Seconds[i]
	}
	return &w.behind
}

// GatewaySum is what a gateway had: tries, and of these those that it refused.
type GatewaySum struct {
	Tries   int `json:"tries"`
	Refused int `json:"refused"`
}

// InTime is the share of the first tries that had their answer within the aim.
func (s *Summary) InTime() float64 {
	asked, in := 0, 0
	for _, c := range s.Classes {
		asked += c.Asked
		in += c.InTime
	}
	if asked == 0 {
		return 1
	}
	return float64(in) / float64(asked)
}

// whyMost is how many broken rules are worded.
const whyMost = 10

func (w *world) broke(r Rule, format string, args ...any) {
	w.sum.Broken[r]++
	if len(w.sum.Why) < whyMost {
		w.sum.Why = append(w.sum.Why, fmt.Sprintf("%v: %v: ", w.now, r)+fmt.Sprintf(format, args...))
	}
}

// tookMost bounds what is told apart in a histogram.
const tookMost = time.Hour

// Run plays a Config.
func Run(cfg Config) (*Summary, error) {
	if wrong := cfg.Check(); len(wrong) > 0 {
		return nil, wrong[0]
	}
	w := &world{cfg: cfg, sum: &Summary{Seconds: make([]Second, int(cfg.Length.Seconds()+1)), Gateways: make([]GatewaySum, cfg.Gateways)}}
	if w.cfg.Net.Connect == 0 {
		w.cfg.Net.Connect = 100 * time.Millisecond
	}
	w.cfg.Settings.Instances = cfg.Gateways
	w.cfg.Settings.Poll = cfg.Lists.Call > 0
	w.front, w.clients, w.lists = stream(cfg.Seed, "front", 0), stream(cfg.Seed, "clients", 0), stream(cfg.Seed, "lists", 0)
	w.early = stream(cfg.Seed, "early", 0)
	part, sum := stream(cfg.Seed, "parts", 0), 0.0
	for range cfg.Gateways {
		if cfg.Skew > 0 {
			sum += LogNormal.draw(part, 1, cfg.Skew)
		} else {
			sum++
		}
		w.parts = append(w.parts, sum)
	}
	for i, t := range cfg.Classes {
		w.sum.Classes = append(w.sum.Classes, ClassSummary{Name: t.Name, Worth: cmp.Or(cfg.Settings.Classes[i].PriorityWeight, 1), Took: hdrhistogram.New(1, tookMost.Microseconds(), 3)})
		w.arrive = append(w.arrive, stream(cfg.Seed, "arrive "+t.Name, 0))
		w.works = append(w.works, stream(cfg.Seed, "work "+t.Name, 0))
		w.longest = max(w.longest, t.Work.Seconds())
		w.next(i)
	}
	for _, k := range cfg.Hosts {
		for range k.Count {
			id := len(w.hosts)
			w.hosts = append(w.hosts, &host{Kind: k, id: id, cell: id / max(k.Cell, 1), up: true, rng: stream(cfg.Seed, "errors", id), slow: 1})
		}
	}
	for i := range cfg.Gateways {
		g := &gateway{id: i, rng: stream(cfg.Seed, "net", i)}
		w.gateways = append(w.gateways, g)
		if err := w.start(g, balancer.ListFull); err != nil {
			return nil, err
		}
	}
	for i, t := range cfg.Troubles {
		w.queue.push(event{at: t.At, kind: evTrouble, a: int32(i), n: 1})
		w.queue.push(event{at: t.At + t.For, kind: evTrouble, a: int32(i)})
	}
	for at := time.Second; at <= cfg.Length; at += time.Second {
		w.queue.push(event{at: at, kind: evSecond})
	}
	end := cfg.Length
	for _, c := range cfg.Settings.Classes {
		end = max(end, cfg.Length+balancer.Time(1+cfg.Clients.Retries)*(c.Deadline+answerSlack)+afterLast)
	}
	for len(w.queue.list) > 0 && w.queue.list[0].at <= end {
		e := w.queue.pop()
		w.now = e.at
		w.sum.Events++
		w.do(&e)
	}
	w.finish()
	return w.sum, nil
}

// afterLast is how long a run goes on beyond the last client's time.
const afterLast = time.Second

// finish counts what is known at the end only.
func (w *world) finish() {
	total, worst := 0.0, 0.0
	for _, h := range w.hosts {
		w.advance(h)
		per := h.busy / float64(h.Cores)
		w.sum.Load = append(w.sum.Load, per/w.cfg.Length.Seconds())
		total += per
		worst = max(worst, per)
	}
	if total > 0 {
		w.sum.WorstOfMean = worst / (total / float64(len(w.hosts)))
	}
	w.sum.Conns /= float64(len(w.hosts))
}

func (w *world) do(e *event) {
	switch e.kind {
	case evArrive:
		w.first(int(e.a))
	case evAgain:
		w.ask(e.r)
	case evReach:
		w.reach(e.r, int(e.n))
	case evAnswer:
		w.answer(e.r, int(e.n), balancer.Result(e.a))
	case evUntil:
		if a := &e.r.attempts[e.n]; !a.ended && e.r.gateway.life == e.r.life {
			w.ended(e.r, int(e.n), balancer.TimedOut)
		}
	case evLeave:
		w.leave(e.r, e.n == 1)
	case evTimer:
		g := w.gateways[e.a]
		if g.up && e.life == g.life {
			w.tell(g, func() { g.bal.Timer(w.now, e.n) })
		}
	case evDone:
		if h := w.hosts[e.a]; h.plan == e.n {
			w.done(h)
		}
	case evWarm:
		if h := w.hosts[e.a]; uint64(h.life) == e.n {
			w.advance(h)
			w.settle(h)
		}
	case evTrouble:
		w.trouble(int(e.a), e.n == 1)
	case evList:
		w.hear(w.gateways[e.a], w.hosts[e.n])
	case evStep:
		w.step(int(e.a), int(e.n))
	case evGone:
		if w.cfg.Troubles[e.a].Kind == Restart {
			w.restarted(w.gateways[e.n])
		} else {
			w.end(w.hosts[e.n], true)
			w.list(w.hosts[e.n], balancer.Removed, w.cfg.Lists.Delay)
		}
	case evCall:
		w.told(w.gateways[e.a], e.life, e.n == 1)
	case evSecond:
		w.idle()
	case evCutSeen:
		if h := w.hosts[e.a]; h.cut && h.state == balancer.Ready {
			w.list(h, balancer.Removed, 0)
		}
	}
}

// next plans the next first try of a class.
func (w *world) next(class int) {
	rate := w.cfg.Classes[class].Rate
	if rate <= 0 {
		return
	}
	// By thinning: at the highest rate that there is, and let through by the rate of the moment, so
	// that a burst shifts nothing behind it.
	most := rate * w.most(class)
	at := w.now
	rng := w.arrive[class]
	for {
		at += balancer.Time(rng.ExpFloat64() / most * 1e9)
		if at >= w.cfg.Length {
			return
		}
		if rng.Float64()*most < rate*w.times(class, at) {
			break
		}
	}
	w.queue.push(event{at: at, kind: evArrive, a: int32(class)})
}

func (w *world) times(class int, at balancer.Time) float64 {
	x := 1.0
	for _, b := range w.cfg.Bursts {
		if at >= b.At && at < b.At+b.For && (b.Class == "" || b.Class == w.cfg.Classes[class].Name) {
			x *= b.Times
		}
	}
	return x
}

// most is the highest that times may be.
func (w *world) most(class int) float64 {
	x := 1.0
	for _, b := range w.cfg.Bursts {
		if b.Times > 1 && (b.Class == "" || b.Class == w.cfg.Classes[class].Name) {
			x *= b.Times
		}
	}
	return x
}

func (w *world) first(class int) {
	w.next(class)
	t := &w.cfg.Classes[class]
	cv := t.CV
	if cv == 0 {
		cv = 1
	}
	dist := t.Dist
	if dist == "" {
		dist = Exponential
	}
	r := &request{class: class, first: w.now, client: w.clients.Uint64(), work: dist.draw(w.works[class], t.Work.Seconds(), cv)}
	w.sum.Classes[class].Asked++
	w.sum.Seconds[int(w.now.Seconds())].Asked++
	w.ask(r)
}

// ask brings a client's try to a gateway.
func (w *world) ask(r *request) {
	w.lastID++
	r.id, r.at, r.until = w.lastID, w.now, w.now+w.cfg.Settings.Classes[r.class].Deadline
	w.sum.Classes[r.class].Tries++
	g := w.pick()
	if g == nil || !g.up {
		w.retry(r, outcomeLeft, 0) // the connection is refused
		return
	}
	r.gateway, r.life = g, g.life
	w.sum.Gateways[g.id].Tries++
	g.open[r.id] = r
	w.queue.push(event{at: r.until + answerSlack, kind: evLeave, r: r})
	if k := w.cfg.Clients.Early; k > 0 && w.early.Float64() < k {
		w.queue.push(event{at: w.now + (r.until-w.now)/earlyPart, kind: evLeave, n: 1, r: r})
	}
	w.tell(g, func() {
		g.bal.Request(w.now, balancer.Request{ID: r.id, Class: r.class, Remaining: r.until - w.now, Duplicate: r.try > 0})
	})
}

// pick is the gateway that the front sends a client to: any that it does not know to be dead.
func (w *world) pick() *gateway {
	u := 0
	if w.cfg.Skew > 0 {
		u, _ = slices.BinarySearch(w.parts, w.front.Float64()*w.parts[len(w.parts)-1])
	} else {
		u = w.front.IntN(len(w.gateways))
	}
	for i := range w.gateways {
		g := w.gateways[(u+i)%len(w.gateways)]
		if g.up && (g.left == 0 || w.now < g.left+leaveSeen) || !g.up && w.now < g.since+w.cfg.Clients.Notice {
			return g
		}
	}
	return nil
}

const (
	leaveSeen  = 300 * time.Millisecond // for which a gateway that is being restarted still gets clients
	leaveEnds  = 700 * time.Millisecond // beyond the longest deadline, when it is ended
	earlyPart  = 4                      // an early client leaves after this part of its time
	hastyTimes = 4                      // a hasty one asks so many times as often, so many times as soon
	callWaits  = time.Second            // after which a call for the list fails
)

// outcome is how a try ended for its client.
type outcome uint8

const (
	outcomeServed outcome = iota
	outcomeRefused
	outcomeFailed
	outcomeLeft
)

// final is the one answer to a request.
func (w *world) final(r *request, o outcome, after time.Duration) {
	r.answers++
	if r.answers > 1 || r.over && o != outcomeServed {
		w.broke(RuleLost, "request %d has %d answers", r.id, r.answers)
		return
	}
	if w.now > r.until+answerSlack {
		w.broke(RuleLost, "request %d is answered %v after its time", r.id, w.now-r.until)
	}
	if r.over = true; o == outcomeRefused {
		w.sum.Gateways[r.gateway.id].Refused++
	}
	w.retry(r, o, after)
}

// retry ends a client's try: it has what it wants, or asks again, or gives up.
func (w *world) retry(r *request, o outcome, after time.Duration) {
	c := &w.sum.Classes[r.class]
	k := &w.cfg.Clients
	hasty := k.Hasty > 0 && float64(r.client&(1<<32-1))/(1<<32) < k.Hasty
	tries := k.Retries
	if hasty {
		tries *= hastyTimes
	}
	if o == outcomeRefused {
		w.second().Refused++
	}
	if o != outcomeServed && r.try < tries {
		wait := k.Backoff << min(r.try, 16)
		if k.Jitter > 0 {
			wait = time.Duration(float64(wait) * (1 + k.Jitter*(2*w.clients.Float64()-1)))
		}
		if after > wait && float64(r.client>>11)/(1<<53) < k.Honour {
			wait = after
		}
		if hasty {
			wait = k.Backoff / hastyTimes
		}
		w.queue.push(event{at: w.now + wait, kind: evAgain, r: &request{class: r.class, first: r.first, client: r.client, work: r.work, try: r.try + 1}})
		return
	}
	took := w.now - r.first
	switch o {
	case outcomeServed:
		c.Took.RecordValue(max(1, took.Microseconds())) // it fails beyond tookMost only
		aim := w.cfg.Settings.Classes[r.class].LatencyObjective
		if aim == 0 {
			aim = w.cfg.Settings.Classes[r.class].Deadline
		}
		if took <= aim {
			c.InTime++
			w.sum.Seconds[int(r.first.Seconds())].InTime++
		} else {
			c.Late++
		}
	case outcomeRefused:
		c.Refused++
	case outcomeFailed:
		c.Failed++
	default:
		c.Left++
	}
}

// leave is when the client of a request would wait no longer.
func (w *world) leave(r *request, early bool) {
	if r.over || r.gateway.life != r.life {
		return
	}
	if early {
		r.over, r.try = true, math.MaxInt // it does not come again
		w.tell(r.gateway, func() { r.gateway.bal.ClientGone(w.now, r.id) })
		w.retry(r, outcomeLeft, 0)
		w.forget(r)
		return
	}
	w.broke(RuleLost, "request %d has no answer when its time is up", r.id)
	r.over = true
	w.tell(r.gateway, func() { r.gateway.bal.ClientGone(w.now, r.id) })
	w.retry(r, outcomeLeft, 0)
}
