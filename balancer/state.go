package balancer

import (
	"fmt"
	"math"
	"sort"
	"time"
)

// The state a Balancer keeps and its plumbing: lines, pools, random numbers.
// Nothing here decides anything; that is all in balancer.go.

// Balancer decides for one gateway. It is not safe for concurrent use.
type Balancer struct {
	set  Settings
	rng  uint64
	now  Time
	acts []Action

	hosts    []*host           // in an order that does not depend on that of a map
	sets     [setCount]hostSet // those drawn from, and those among them that are ready
	looks    []*host           // a heap: when a host is to be looked at again by itself
	tally    tally             // of those drawn from
	shuns    []tally           // ... and shunned for a class, by class
	byKind   []kindList        // all, from which the ring is laid
	ring     []*host           // the same order at every instance; laid where it is needed
	laid     bool              // the ring is as the list is
	listed   [2]int            // hosts that are ready: those warm and those cold
	groups   map[groupKey][]*host
	grouped  bool    // the groups are as the list is
	touched  []*host // scratch of Hosts
	redrawn  bool    // those drawn from are as the list is
	own      int     // this instance's place among those that count, and
	from     int     // ... on the ring
	front    int     // hosts of the ring, from this instance's place on, that were looked at
	redrawAt Time    // when one that lies far may be given up
	rate     rate    // own requests a second
	byID     map[HostID]*host
	reqs     map[RequestID]*request
	bands    []list[request] // waiting requests, most worth first
	band     [][4]int
	queued   int
	lacked   Time // when a request last found no host; before 0: none has yet
	outNow   int  // attempts out at the last sweep or sent since

	aim     Time // shortest aim of any class
	decay   float64
	penalty float64
	harm    []fading // by class, the share that found no host of late
	lat     []mean   // RTT of good answers by class
	all     mean     // ... of any class
	kinds   []mean   // ... as of a typical class, by kind of host
	warm    mean     // rate of good answers of a warm host, a second
	quota   []bucket

	pressure  mean    // RTT of the last answers in aims, from any host
	pressedAt Time    // last cut of the bound
	grownAt   Time    // last growth
	bound     float64 // sends a second; 0: not bounded
	tokens    float64 // sends saved up under it
	filledAt  Time
	mute      float64 // share of attempts passed by and long out that nothing answers
	sends     rate
	served    rate // good answers

	sweepAt Time
	ready   []*host // scratch of pick
	freeReq []*request
	freeAtt []*attempt

	watching   bool
	watchAt    Time
	watchFails int
	lines      [logKinds]logLine
}

// host is what this instance knows of one host.
type host struct {
	Host
	mark      uint64        // its ID mixed up, and
	at        int           // its place in Balancer.hosts
	in        [setCount]int // its place in each set, counted from 1
	stands    int           // the set that it stands in, of the first four
	counted   standing      // what the tallies hold of it
	look      Time          // when it is looked at again
	lookPos   int           // its place among those, counted from 1
	rtt       float64       // peak EWMA in seconds, as of rttAt
	rttAt     Time
	sampled   bool // else it has the seed of its kind
	pending   int
	flight    list[attempt] // in the order sent
	heard     Time          // last answer of any kind
	limit     float64       // attempts it may hold from this instance
	lat       mean          // RTT of answers and time-outs in aims, not decayed
	cutAt     Time          // last cut of the limit
	restUntil Time          // with a limit below one: when it may be used again

	class      []failing // by class
	failed     bool      // it has answered a class with errors
	spoilt     int       // spoilt and broken answers since the last whole one
	fails      int       // ejections since the last good answer
	why        Cause     // of the last ejection
	ejectUntil Time
	trialOut   bool // the one attempt of a host on trial is out
	hinted     bool // its back-off was cut short since it last answered

	place    int  // on the ring, counted as own is
	ranked   int  // what it is listed as: 1 ready and warm, 2 ready and cold, 0 neither
	cold     bool // it started less than WarmAfter ago
	coldAt   Time
	coldNext Time // earliest next send while cold
}

// fading is a share that is forgotten while nothing is entered.
type fading struct {
	share float64
	at    Time
}

func (f *fading) now(now Time, span float64) float64 {
	return f.share * math.Exp(-(now-f.at).Seconds()/span)
}

// failing is what a host's errors in a class tell of it.
type failing struct {
	share float64 // of its last answers
	at    Time    // last error
	fails int     // times it was put out since it was last well
	outAt Time    // last time
	until Time    // it gets none of the class before
	shuns bool    // the tallies hold that
}

// standing is what a host counts as among those drawn from.
type standing struct{ listed, used, out, broken, failing bool }

// tally counts hosts drawn from: all, neither cold nor ejected, ejected, ejected as
// connections to them fail, and those that have not answered since they were ejected.
type tally struct{ listed, used, out, broken, failing int }

func (t *tally) add(s standing, n int) {
	for _, f := range [...]struct {
		is bool
		to *int
	}{{s.listed, &t.listed}, {s.used, &t.used}, {s.out, &t.out}, {s.broken, &t.broken}, {s.failing, &t.failing}} {
		if f.is {
			*f.to += n
		}
	}
}

// request is a client request with its attempts; it is kept until it has its
// answer and all its attempts have ended.
type request struct {
	Request
	class    *Class
	arrived  Time
	deadline Time
	expires  Time // while it waits: too late to be answered within the aim
	band     int
	out      int // attempts in flight
	done     bool
	overdue  bool // it was answered for want of time or hosts
	bound    bool // a stream has begun, it is that attempt's now
	queued   bool
	link     node[request] // in its line
	atts     []*attempt
}

type attempt struct {
	req     *request
	host    *host
	sent    Time
	ended   bool
	result  Result
	trial   bool
	later   int           // answers of its host to attempts sent after it
	doubted bool          // it was taken for a sign of overload before it ended
	recall  bool          // it is called off so that its request can be sent again
	link    node[attempt] // at its host
}

// mean is a moving average with deviation; the first sample sets it.
type mean struct {
	mean, dev float64
	seen      bool
	n         int // samples of addLong
	at        Time
}

// add gives a sample a weight of about one tenth.
func (m *mean) add(x float64) { m.blend(x, meanWeight) }

// addLong gives each sample the same weight at first, and then longWeight.
func (m *mean) addLong(x float64) {
	m.n++
	m.blend(x, max(1/float64(m.n), longWeight))
}

// addAt gives a sample more weight the longer ago the last one is, so that the
// mean is about span old however seldom samples come.
func (m *mean) addAt(x float64, now Time, span float64) {
	w := 1 - math.Exp(-(now-m.at).Seconds()/span)
	m.at = now
	m.blend(x, min(max(w, meanWeight), recentMost))
}

func (m *mean) blend(x, w float64) {
	if !m.seen {
		m.mean, m.dev, m.seen = x, x/2, true
		return
	}
	m.dev += w * (math.Abs(x-m.mean) - m.dev)
	m.mean += w * (x - m.mean)
}

// rate is a decaying count of events, a second.
type rate struct {
	rate float64
	at   Time

	seenAt Time // when it was read last, and
	seen   float64
}

// now is the rate at a time; span is always the same. It is read several times at an
// instant, and works it out once.
func (r *rate) now(now Time, span float64) float64 {
	if now != r.seenAt {
		r.seen, r.seenAt = r.rate*math.Exp(-(now-r.at).Seconds()/span), now
	}
	return r.seen
}

func (r *rate) add(now Time, span float64) {
	r.rate, r.at = r.now(now, span)+1/span, now
	r.seen = r.rate
}

// list is a line that its items can leave from anywhere. The items hold their own
// nodes, so that nothing is allocated.
type list[T any] struct{ head, tail *node[T] }

type node[T any] struct {
	item       *T
	prev, next *node[T]
}

func (l *list[T]) pushBack(n *node[T]) {
	if n.prev = l.tail; n.prev != nil {
		n.prev.next = n
	} else {
		l.head = n
	}
	l.tail = n
}

func (l *list[T]) pushFront(n *node[T]) {
	if n.next = l.head; n.next != nil {
		n.next.prev = n
	} else {
		l.tail = n
	}
	l.head = n
}

func (l *list[T]) remove(n *node[T]) {
	if n.prev != nil {
		n.prev.next = n.next
	} else {
		l.head = n.next
	}
	if n.next != nil {
		n.next.prev = n.prev
	} else {
		l.tail = n.prev
	}
	n.prev, n.next = nil, nil
}

type bucket struct {
	tokens, rate float64
	at           Time
}

// judge enters an answer with each class that heeds it: its own, and all that are unsafe.
func (b *Balancer) judge(a *attempt, enter func(a *attempt, class int)) {
	for i := range a.host.class {
		if i == a.req.Class || b.set.Classes[i].Effect == Unsafe {
			enter(a, i)
		}
	}
}

// errorsMost is the share of errors above which a host is out for a class.
func (b *Balancer) errorsMost(class int) float64 {
	if b.set.Classes[class].Effect == Unsafe {
		return errorsUnsafe
	}
	return errorsMost
}

// derive works out what follows from the settings alone.
func (b *Balancer) derive() {
	b.aim, b.penalty = forever, 0
	for _, c := range b.set.Classes {
		if c.Retired {
			continue
		}
		b.aim = min(b.aim, c.Aim)
		b.penalty = max(b.penalty, penaltyAims*c.Aim.Seconds())
	}
	b.decay = decayAims * b.aim.Seconds()
	for _, t := range b.set.Tenants {
		r := t.Quota / float64(b.set.Instances)
		b.quota = append(b.quota, bucket{tokens: r * quotaBurst, rate: r})
	}
}

// forget drops a removed host once nothing of ours is out there.
func (b *Balancer) forget(h *host) {
	if h.State != Removed || h.pending > 0 || b.byID[h.ID] != h {
		return
	}
	delete(b.byID, h.ID)
	last := len(b.hosts) - 1
	b.hosts[h.at] = b.hosts[last]
	b.hosts[h.at].at = h.at
	b.hosts[last] = nil
	b.hosts = b.hosts[:last]
	b.delist(h)
	b.unlook(h)
	b.laid, b.grouped, b.redrawn = false, false, false
}

// take uses one request of a tenant's quota; false means the tenant is over it.
func (t *bucket) take(now Time) bool {
	if t.rate <= 0 {
		return true
	}
	t.tokens = min(t.tokens+(now-t.at).Seconds()*t.rate, max(1, t.rate*quotaBurst))
	t.at = now
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}

// release forgets an ended request once its last attempt has ended.
func (b *Balancer) release(r *request) {
	if !r.done || r.out > 0 {
		return
	}
	delete(b.reqs, r.ID)
	for _, a := range r.atts {
		*a = attempt{} // it must not keep a host that has gone
	}
	b.freeAtt = append(b.freeAtt, r.atts...)
	clear(r.atts)
	*r = request{atts: r.atts[:0]}
	b.freeReq = append(b.freeReq, r)
}

func (b *Balancer) newRequest() *request {
	n := len(b.freeReq)
	if n == 0 {
		return &request{}
	}
	r := b.freeReq[n-1]
	b.freeReq = b.freeReq[:n-1]
	return r
}

func (b *Balancer) newAttempt() *attempt {
	n := len(b.freeAtt)
	if n == 0 {
		return &attempt{}
	}
	a := b.freeAtt[n-1]
	b.freeAtt = b.freeAtt[:n-1]
	return a
}

// push adds a request to its line, at the front or at the back.
func (b *Balancer) push(r *request, front bool) {
	r.queued, r.link.item = true, r
	b.queued++
	if front {
		b.bands[r.band].pushFront(&r.link)
	} else {
		b.bands[r.band].pushBack(&r.link)
	}
}

func (b *Balancer) dequeue(r *request) {
	if r.queued {
		b.bands[r.band].remove(&r.link)
		r.queued = false
		b.queued--
	}
}

// What is logged; each kind is limited by itself.
const (
	logEject = iota
	logErrors
	logReturn
	logFailOpen
	logRefuse
	logLost
	logFound
	logKinds
)

// logEvery is the least time between two lines of a kind.
const logEvery = 10 * time.Second

type logLine struct {
	at   Time
	said bool
	held int // lines held back since
}

// log tells those on call, a line of a kind every logEvery at most.
func (b *Balancer) log(kind int, format string, args ...any) {
	l := &b.lines[kind]
	if l.said && b.now-l.at < logEvery {
		l.held++
		return
	}
	text := fmt.Sprintf(format, args...)
	var about HostID
	for _, a := range args {
		if id, ok := a.(HostID); ok {
			about = id
		}
	}
	if l.held > 0 {
		text += fmt.Sprintf(" (%d more such lines held back)", l.held)
	}
	*l = logLine{at: b.now, said: true}
	b.act(Action{Kind: Log, Text: text, Host: about})
}

// nextRand is splitmix64: small, seeded, and the same everywhere.
func (b *Balancer) nextRand() uint64 {
	b.rng += 0x9e3779b97f4a7c15
	return mix(b.rng)
}

// mix spreads the bits of z.
func mix(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

func (b *Balancer) rand(n int) int { return int(b.nextRand() >> 33 % uint64(n)) }

func (b *Balancer) float() float64 { return float64(b.nextRand()>>11) / (1 << 53) }

// Drain appends the actions decided since the last call to dst. The balancer
// keeps no reference to what it returns.
func (b *Balancer) Drain(dst []Action) []Action {
	dst = append(dst, b.acts...)
	b.acts = b.acts[:0]
	return dst
}

func (b *Balancer) act(a Action) { b.acts = append(b.acts, a) }

// A token is its kind above the request ID.
const tokenShift = 56

// Kinds of token.
const (
	tokenSweep = iota + 1 // look at queue and hosts
	tokenWatch            // ask discovery
	tokenAnswer
)

func (b *Balancer) wake(at Time, token uint64) {
	b.act(Action{Kind: Wake, At: at, Token: token})
}

// New returns a Balancer for the settings, or an error if they cannot be served.
func New(set Settings, seed uint64) (*Balancer, error) {
	if err := check(&set); err != nil {
		return nil, err
	}
	b := &Balancer{set: set, rng: seed, byID: map[HostID]*host{}, reqs: map[RequestID]*request{}}
	b.groups, b.shuns = map[groupKey][]*host{}, make([]tally, len(set.Classes))
	b.harm = make([]fading, len(set.Classes))
	b.derive()
	b.lat = make([]mean, len(set.Classes))
	b.layBands()
	return b, nil
}

// layBands orders the waiting lines: each class has one within quota and one
// beyond it, and the same again for repeats. The line worth most is served first;
// of equal worth, the one with the tighter aim.
func (b *Balancer) layBands() {
	type line struct {
		class, part int
		worth       float64
	}
	var lines []line
	for i, c := range b.set.Classes {
		for part := range 4 {
			worth := c.Worth
			if part&overQuota != 0 {
				worth *= b.set.OverQuotaWorth
			}
			if part&repeated != 0 {
				worth *= repeatWorth
			}
			lines = append(lines, line{i, part, worth})
		}
	}
	sort.SliceStable(lines, func(i, j int) bool {
		if lines[i].worth != lines[j].worth {
			return lines[i].worth > lines[j].worth
		}
		return b.set.Classes[lines[i].class].Aim < b.set.Classes[lines[j].class].Aim
	})
	b.band = make([][4]int, len(b.set.Classes))
	b.bands = make([]list[request], len(lines))
	for k, l := range lines {
		b.band[l.class][l.part] = k
	}
}

// tried says whether the request has had an attempt at the host.
func (r *request) tried(h *host) bool {
	for _, a := range r.atts {
		if a.host == h {
			return true
		}
	}
	return false
}

// first is the earliest attempt that may have run or is still out, or nil.
func (r *request) first() *attempt {
	for _, a := range r.atts {
		if !a.ended || a.result.MayHaveRun() {
			return a
		}
	}
	return nil
}
