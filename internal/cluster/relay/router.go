package relay

import (
	"encoding/binary"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"dunemoor/internal/cluster/failpoint"
	"dunemoor/internal/cluster/lease"
	"dunemoor/internal/cluster/node"
)

const (
	// scanEvery lies between two looks at all streams: a beat is that much late at most.
	scanEvery = 100 * time.Millisecond
	// sumEvery is how often relays tell one another how many gateways they hold, and a sum of
	// their names: who has missed a join or leave asks for all.
	sumEvery = time.Second
	// linkMost is how long a relay is taken to be up that says nothing: two sums may be lost.
	linkMost = 2500 * time.Millisecond
	// stoodMost is a gap between two calls by which a process must have stood still: gateways
	// have left it by then, and what it holds is from before.
	stoodMost = heardMost
	// knownMost bounds the gateways of which a relay knows something, living or gone.
	knownMost = 8192
)

// Router is a relay's part. It is used by one goroutine; each call brings the time, on a clock that
// does not go back and goes on while the process is stopped.
type Router struct {
	cfg     Config
	fleet   fleet
	rng     *rand.Rand
	now     time.Duration
	scanned time.Duration
	links   map[string]*link
	order   []string // of the links, by name
	streams map[string]*stream
	names   []string // of the streams, in no order of meaning, but the same in each play
	known   map[string]*gateway
	marks   marks // of what our own member was given
	sum     uint64
	changed []route // joins, and those that left, to be told to the other relays
	seq     uint64
	number  uint64 // of frames of routes
	joins   float64
	joined  time.Duration // when joins was last counted up
	out     Out
	counts  struct{ joins, refused, cuts, dropped, bad uint64 }
}

// link is another relay.
type link struct {
	heard   time.Duration // 0: never, or lost since
	batch   []byte
	streams int
	sum     uint64 // of the routes that we know to be its
	told    time.Duration
	from    life   // its process, and the last frame of routes
	echo    uint64 // what comes before this is answered was held while we stood still; 0: nothing
	asked   time.Duration
}

type stream struct {
	name        string
	at          int // in names
	life        life
	seq         uint64
	heard, sent time.Duration
}

// gateway is one that has or had a stream at any relay.
type gateway struct {
	sender
	relay string // that holds its stream; "": none
}

// routes is what relays tell one another.
type routes struct {
	Epoch uint64  `json:"e"` // of the relay's process
	No    uint64  `json:"n"` // grows with each
	Whole bool    `json:"whole,omitempty"`
	Join  []route `json:"join,omitempty"`
	Left  []route `json:"left,omitempty"`
	Count int     `json:"count"`
	Sum   uint64  `json:"sum"`
	Ask   uint64  `json:"ask,omitempty"`  // all is asked for, to come with this as Echo
	Echo  uint64  `json:"echo,omitempty"` // what was asked for
}

type route struct {
	Name    string `json:"g"`
	Replica uint64 `json:"r"`
	Epoch   uint64 `json:"e"`
	left    bool
}

func (r *route) sum() uint64 {
	b := binary.LittleEndian.AppendUint64(nil, r.Replica)
	b = binary.LittleEndian.AppendUint64(b, r.Epoch)
	return xxhash.Sum64(append(b, r.Name...))
}

// NewRouter returns the part of the relay that cfg.Name names among the relays of the file.
func NewRouter(now time.Duration, cfg Config, relays []Relay) *Router {
	r := &Router{
		cfg: cfg, fleet: newFleet(relays), rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Replica)), now: now, scanned: now, joined: now, joins: JoinsMost,
		links: map[string]*link{}, streams: map[string]*stream{}, known: map[string]*gateway{}, marks: marks{},
	}
	for _, x := range r.fleet.relays {
		if x.Name != cfg.Name {
			r.links[x.Name] = &link{}
			r.order = append(r.order, x.Name)
		}
	}
	return r
}

// touch brings the time. After a stop all that is held here is from before: streams are cut, and
// from the other relays nothing is taken before they have answered.
func (r *Router) touch(now time.Duration) {
	stood := now - r.now
	r.now = now
	if stood < stoodMost || failpoint.Enabled(failpoint.DeliverAfterPause) {
		return
	}
	for _, name := range slices.Clone(r.names) {
		r.cut(r.streams[name], "the relay stood still")
	}
	for _, name := range r.order {
		l := r.links[name]
		l.batch = nil
		r.ask(name, l)
	}
	r.joined = now
}

// ask asks another relay for all its routes: what it has said before the answer does not count.
func (r *Router) ask(name string, l *link) {
	r.number++
	l.echo, l.asked = r.number, r.now
	r.tell(name, &routes{Ask: l.echo})
}

// tell sends a frame of routes.
func (r *Router) tell(to string, x *routes) {
	r.number++
	x.Epoch, x.No, x.Count, x.Sum = r.epoch(), r.number, len(r.streams), r.sum
	b, err := json.Marshal(x)
	if err != nil {
		panic(err) // strings and numbers
	}
	r.links[to].told = r.now
	r.flush(to)
	r.out.ToRelay = append(r.out.ToRelay, Frame{Name: to, Kind: KindRoutes, Body: b})
}

// epoch is of our own member's records.
func (r *Router) epoch() uint64 { return r.cfg.Boots<<32 | 1 }

// whole is all our routes.
func (r *Router) whole() (list []route) {
	for _, name := range r.names {
		s := r.streams[name]
		list = append(list, route{Name: name, Replica: s.life.replica, Epoch: s.life.epoch})
	}
	return list
}

// up says whether another relay is there.
func (r *Router) up(l *link) bool { return l.heard > 0 && r.now < l.heard+linkMost }

// bound is how many streams each relay takes now.
func (r *Router) bound() int {
	all, up := len(r.streams)+1, 1
	for _, l := range r.links {
		if r.up(l) {
			all, up = all+l.streams, up+1
		}
	}
	return min(StreamsMost, max(streamsLeast, (all*evenHundredths+100*up-1)/(100*up)))
}

// roomiest is the relay that has most room, the near ones first; where none has any, the emptiest.
func (r *Router) roomiest(zone, region string) (name string) {
	bound := r.bound()
	far, most, empty, least := 3, 0, "", 0
	for i := range r.fleet.relays {
		x := &r.fleet.relays[i]
		load := len(r.streams)
		if x.Name != r.cfg.Name {
			l := r.links[x.Name]
			if !r.up(l) {
				continue
			}
			load = l.streams
		}
		if empty == "" || load < least {
			empty, least = x.Name, load
		}
		if d := x.far(zone, region); bound > load && (d < far || d == far && bound-load > most) {
			name, far, most = x.Name, d, bound-load
		}
	}
	if name == "" {
		return empty
	}
	return name
}

// emptier says whether another relay has fewer streams, by more than those that join it meanwhile.
func (r *Router) emptier() bool {
	for _, l := range r.links {
		if r.up(l) && l.streams+streamsLeast/2 < len(r.streams) {
			return true
		}
	}
	return false
}

// Join answers a stream that wants to be taken: if it is, it is there until Left or Out.Cut names it.
func (r *Router) Join(now time.Duration, j Join) Answer {
	r.touch(now)
	a := r.judge(&j)
	if !a.Taken {
		r.counts.refused++
		return a
	}
	r.counts.joins++
	if s := r.streams[j.Name]; s != nil {
		r.cut(s, "the gateway has come back")
	}
	x := life{j.Replica, j.Epoch}
	k := r.gateway(j.Name)
	r.forget(j.Name, k)
	k.takes(x)
	r.hold(j.Name, r.cfg.Name)
	s := &stream{name: j.Name, at: len(r.names), life: x, heard: now, sent: now}
	r.streams[j.Name] = s
	r.names = append(r.names, j.Name)
	n := route{Name: j.Name, Replica: j.Replica, Epoch: j.Epoch}
	r.sum ^= n.sum()
	r.changed = append(r.changed, n)
	return a
}

func (r *Router) judge(j *Join) Answer {
	if j.Name == "" || j.Name == All || len(j.Name) > NameMost || j.Epoch == 0 {
		return Answer{Why: "a join names a gateway and its epoch", In: time.Second}
	}
	if r.fleet.find(j.Name) >= 0 {
		return Answer{Why: "a relay has that name", In: time.Second}
	}
	if k := r.known[j.Name]; k != nil {
		switch {
		case j.Replica == k.now.replica && j.Epoch <= k.now.epoch, j.Replica == k.before.replica && j.Epoch <= k.before.epoch:
			return Answer{Why: "a later stream of this disk is known", Older: true, In: time.Second}
		case j.Replica != k.now.replica && r.lives(j.Name, k):
			return Answer{Why: "a living gateway of another disk has the name", In: time.Second}
		}
	}
	if _, again := r.streams[j.Name]; !again {
		full := len(r.streams) >= r.bound()
		if j.Must {
			full = len(r.streams) >= StreamsMost || r.emptier()
		}
		if full {
			try := r.roomiest(j.Zone, j.Region)
			if try == r.cfg.Name {
				try = "" // it may ask here again, as one that must
			}
			return Answer{Why: noRoom, Try: try, In: r.spread()}
		}
	}
	r.joins = min(JoinsMost, r.joins+(r.now-r.joined).Seconds()*JoinsMost)
	if r.joined = r.now; r.joins < 1 {
		return Answer{Why: "too many joins", In: r.spread()}
	}
	r.joins--
	return Answer{Taken: true}
}

// noRoom is why a stream is not taken at a relay that has enough.
const noRoom = "no room"

// spread is when to come back, by chance.
func (r *Router) spread() time.Duration {
	return 100*time.Millisecond + time.Duration(r.rng.Int64N(int64(900*time.Millisecond)))
}

// lives says whether the stream of a gateway is there, as far as we know.
func (r *Router) lives(name string, k *gateway) bool {
	if l := r.links[k.relay]; l != nil {
		return r.up(l)
	}
	s := r.streams[name]
	return s != nil && r.now < s.heard+silentMost
}

func (r *Router) gateway(name string) *gateway {
	k := r.known[name]
	if k == nil {
		if len(r.known) >= knownMost {
			for _, old := range slices.Sorted(maps.Keys(r.known)) {
				if r.known[old].relay == "" {
					delete(r.known, old)
				}
			}
		}
		k = &gateway{}
		r.known[name] = k
	}
	return k
}

// hold takes note of who holds a gateway's stream, by the life that is known as its last.
func (r *Router) hold(name, relay string) {
	k := r.known[name]
	n := route{Name: name, Replica: k.now.replica, Epoch: k.now.epoch}
	if l := r.links[relay]; l != nil {
		l.sum ^= n.sum()
	}
	k.relay = relay
}

// forget takes note that a relay holds a gateway's stream no more; before what is known of it
// changes.
func (r *Router) forget(name string, k *gateway) {
	if l := r.links[k.relay]; l != nil {
		n := route{Name: name, Replica: k.now.replica, Epoch: k.now.epoch}
		l.sum ^= n.sum()
	}
	k.relay = ""
}

// learn takes note that another relay holds a gateway's stream, and says whether that is the last
// that is known.
func (r *Router) learn(relay, name string, x life) bool {
	k := r.known[name]
	if k != nil && k.now == x {
		if k.relay != relay {
			if r.streams[name] != nil {
				return false // it is ours: an epoch is of one stream
			}
			r.forget(name, k)
			r.hold(name, relay)
		}
		return true
	}
	if k == nil {
		k = r.gateway(name)
	}
	probe := k.sender
	if later, ok := probe.takes(x); !later {
		return ok
	}
	r.forget(name, k)
	k.sender = probe
	if s := r.streams[name]; s != nil && !failpoint.Enabled(failpoint.KeepBothStreams) {
		r.cut(s, "the gateway has gone to "+relay)
	}
	r.hold(name, relay)
	return true
}

// cut ends a stream from here.
func (r *Router) cut(s *stream, why string) {
	r.counts.cuts++
	r.out.Cut = append(r.out.Cut, Stream{s.name, s.life.epoch, why})
	r.end(s)
}

func (r *Router) end(s *stream) {
	last := r.names[len(r.names)-1]
	r.names[s.at], r.streams[last].at = last, s.at
	r.names = r.names[:len(r.names)-1]
	delete(r.streams, s.name)
	n := route{Name: s.name, Replica: s.life.replica, Epoch: s.life.epoch, left: true}
	r.sum ^= n.sum()
	r.changed = append(r.changed, n)
	if k := r.known[s.name]; k != nil && k.relay == r.cfg.Name {
		k.relay = ""
	}
}

// Left tells that a stream has ended.
func (r *Router) Left(now time.Duration, name string, epoch uint64) {
	r.touch(now)
	if s := r.streams[name]; s != nil && s.life.epoch == epoch {
		r.end(s)
	}
}

// FromStream takes a frame of a stream, behind its Join.
func (r *Router) FromStream(now time.Duration, name string, epoch uint64, kind node.Kind, body []byte) {
	r.touch(now)
	s := r.streams[name]
	if s == nil || s.life.epoch != epoch {
		r.counts.dropped++
		return
	}
	s.heard = now
	if kind != KindRecord {
		return
	}
	r.counts.bad += uint64(ReadRecords(body, func(x *Record) {
		// Who says it is known by the stream, whatever the record says.
		s.seq++
		x.From, x.Replica, x.Epoch, x.Seq = s.name, s.life.replica, s.life.epoch, s.seq
		if failpoint.Enabled(failpoint.RelayAnswersRenewals) && r.answer(s, x) {
			return
		}
		r.route(x)
	}))
}

// answer is of a planted bug: a relay that answers renewals itself.
func (r *Router) answer(s *stream, x *Record) bool {
	t, err := node.DecodeMessage(x.Body)
	if err != nil || t.Renew == nil || t.Renew.KnownRevision == 0 {
		return false
	}
	b, err := json.Marshal(node.Message{RenewReply: &node.RenewReply{Session: t.Renew.Session, Seq: t.Renew.Seq, Delta: &lease.StateDelta{Revision: t.Renew.KnownRevision}}})
	if err != nil {
		return false
	}
	r.seq++
	r.toStream(s, AppendRecord(nil, &Record{From: r.cfg.Name, Replica: r.cfg.Replica, Epoch: r.epoch(), Seq: r.seq, Kind: node.KindMessage, Body: b}))
	return true
}

// route sends a record on that has come by a stream, or is of our own member.
func (r *Router) route(x *Record) {
	switch {
	case x.To == All:
		b := AppendRecord(nil, x)
		for _, name := range r.order {
			r.toRelay(name, b)
		}
		r.here(x)
	case x.To == r.cfg.Name:
		r.toMember(x)
	case r.links[x.To] != nil:
		r.toRelay(x.To, AppendRecord(nil, x))
	case r.streams[x.To] != nil:
		r.toGateway(r.streams[x.To], x)
	default:
		if k := r.known[x.To]; k != nil && r.links[k.relay] != nil {
			r.toRelay(k.relay, AppendRecord(nil, x))
			return
		}
		r.counts.dropped++
	}
}

// here gives a record that is for all to those that are here.
func (r *Router) here(x *Record) {
	if x.From != r.cfg.Name {
		r.toMember(x)
	}
	y := *x
	y.To = ""
	b := AppendRecord(nil, &y)
	for _, name := range r.names {
		if name != x.From {
			r.toStream(r.streams[name], b)
		}
	}
}

func (r *Router) toMember(x *Record) {
	if !r.marks.take(x) {
		r.counts.dropped++
		return
	}
	r.out.ToMember = append(r.out.ToMember, *x)
}

func (r *Router) toGateway(s *stream, x *Record) {
	y := *x
	y.To = ""
	r.toStream(s, AppendRecord(nil, &y))
}

func (r *Router) toStream(s *stream, b []byte) {
	s.sent = r.now
	r.out.ToStream = append(r.out.ToStream, Frame{s.name, s.life.epoch, KindRecord, b})
}

func (r *Router) toRelay(name string, b []byte) {
	l := r.links[name]
	if len(l.batch)+len(b) > batchMost {
		r.flush(name)
	}
	l.batch = append(l.batch, b...)
}

// flush sends what was gathered for another relay.
func (r *Router) flush(name string) {
	if l := r.links[name]; len(l.batch) > 0 {
		r.out.ToRelay = append(r.out.ToRelay, Frame{Name: name, Kind: KindRecord, Body: l.batch})
		l.batch = nil
	}
}

// FromRelay takes a frame of another relay, of KindRecord or KindRoutes; those of member's kinds go to
// the member directly.
func (r *Router) FromRelay(now time.Duration, relay string, kind node.Kind, body []byte) {
	r.touch(now)
	l := r.links[relay]
	if l == nil {
		return
	}
	switch kind {
	case KindRoutes:
		var x routes
		if err := json.Unmarshal(body, &x); err != nil {
			r.counts.bad++
			return
		}
		r.hearRoutes(relay, l, &x)
	case KindRecord:
		l.heard = now
		if l.echo != 0 {
			r.counts.dropped++
			return // it was held here
		}
		r.counts.bad += uint64(ReadRecords(body, func(x *Record) { r.fromRelay(relay, x) }))
	}
}

func (r *Router) fromRelay(relay string, x *Record) {
	switch {
	case x.From == relay:
	case x.From == "" || r.fleet.find(x.From) >= 0:
		r.counts.bad++
		return // not its to say
	case !r.learn(relay, x.From, life{x.Replica, x.Epoch}):
		r.counts.dropped++
		return
	}
	s := r.streams[x.To]
	switch {
	case x.To == All:
		r.here(x)
	case x.To == r.cfg.Name:
		r.toMember(x)
	case s != nil:
		r.toGateway(s, x)
	default:
		r.counts.dropped++ // it has just left; it asks again from where it is
	}
}

func (r *Router) hearRoutes(relay string, l *link, x *routes) {
	if from := (life{x.Epoch, x.No}); from.replica < l.from.replica || from.replica == l.from.replica && from.epoch <= l.from.epoch {
		return // it was overtaken
	} else {
		l.from = from
	}
	if x.Ask != 0 { // also where we wait for it: both may have stood still
		r.tell(relay, &routes{Whole: true, Join: r.whole(), Echo: x.Ask})
	}
	if l.echo != 0 && x.Echo != l.echo {
		return // it was held here
	}
	l.heard, l.echo, l.streams = r.now, 0, x.Count
	for i := range x.Left {
		n := &x.Left[i]
		// It may have come and gone between two frames: whoever holds an earlier stream of that
		// gateway has to cut it, as what it says is taken no more where the later one was.
		r.learn(relay, n.Name, life{n.Replica, n.Epoch})
		if k := r.known[n.Name]; k != nil && k.relay == relay && k.now == (life{n.Replica, n.Epoch}) {
			r.forget(n.Name, k)
		}
	}
	if x.Whole {
		has := map[string]bool{}
		for _, n := range x.Join {
			has[n.Name] = true
		}
		for name, k := range r.known {
			if k.relay == relay && !has[name] {
				r.forget(name, k)
			}
		}
	}
	for _, n := range x.Join {
		r.learn(relay, n.Name, life{n.Replica, n.Epoch})
	}
	if x.Sum != l.sum && !x.Whole && r.now >= l.asked+sumEvery {
		// Something was missed; what it says meanwhile counts.
		r.number++
		l.asked = r.now
		r.tell(relay, &routes{Ask: r.number})
	}
}

// Up tells that another relay's process has a connection to ours, anew, before anything that comes by
// it; Down that we can't reach it.
func (r *Router) Up(now time.Duration, relay string) {
	r.touch(now)
	l := r.links[relay]
	if l == nil {
		return
	}
	// It may be another process than before, which counts from the beginning.
	l.heard, l.from = now, life{}
	r.number++
	r.tell(relay, &routes{Whole: true, Join: r.whole(), Ask: r.number})
}

// Down is described at Up.
func (r *Router) Down(now time.Duration, relay string) {
	r.touch(now)
	if l := r.links[relay]; l != nil {
		l.heard, l.batch = 0, nil
	}
}

// Send takes what our own member sends of member.KindTalk, to relays too, so that all of it stays in
// order; those to relays come out as frames of that kind. Raft and snapshots go by the carrier.
func (r *Router) Send(now time.Duration, s node.Frame) {
	r.touch(now)
	if r.links[s.To] != nil {
		r.flush(s.To)
		r.out.ToRelay = append(r.out.ToRelay, Frame{Name: s.To, Kind: s.Kind, Body: s.Body})
		return
	}
	r.seq++
	r.route(&Record{To: s.To, From: r.cfg.Name, Replica: r.cfg.Replica, Epoch: r.epoch(), Seq: r.seq, Kind: s.Kind, Body: s.Body})
}

// Tick sends what was gathered, and says to streams that the relay is there; every TickEvery.
func (r *Router) Tick(now time.Duration) {
	r.touch(now)
	if now >= r.scanned+scanEvery {
		r.scanned = now
		r.scan()
	}
	if len(r.changed) > 0 {
		x := routes{}
		for _, n := range r.changed {
			// What has come and gone since was there for none.
			if s := r.streams[n.Name]; n.left {
				x.Left = append(x.Left, n)
			} else if s != nil && s.life.epoch == n.Epoch {
				x.Join = append(x.Join, n)
			}
		}
		r.changed = nil
		for _, name := range r.order {
			y := x
			r.tell(name, &y)
		}
	}
	for _, name := range r.order {
		if l := r.links[name]; now >= l.told+sumEvery {
			if l.echo != 0 {
				r.ask(name, l)
			} else {
				r.tell(name, &routes{})
			}
		}
		r.flush(name)
	}
}

// scan looks at all streams.
func (r *Router) scan() {
	var beat []byte
	for _, name := range slices.Clone(r.names) {
		s := r.streams[name]
		switch {
		case r.now >= s.heard+silentMost:
			r.cut(s, "the gateway says nothing")
		case r.now >= s.sent+beatEvery:
			if beat == nil {
				bound := r.bound()
				beat = r.fleet.beat(func(x *Relay) bool {
					if l := r.links[x.Name]; l != nil {
						return r.up(l) && l.streams < bound
					}
					return len(r.streams) <= bound // else who is here should go
				})
			}
			s.sent = r.now
			r.out.ToStream = append(r.out.ToStream, Frame{name, s.life.epoch, KindBeat, beat})
		}
	}
}

// Drain takes what is to be done: behind each call, or behind several.
func (r *Router) Drain() Out {
	out := r.out
	r.out = Out{}
	return out
}

// Status tells how the relay stands.
func (r *Router) Status() RouterStatus {
	s := RouterStatus{Streams: len(r.streams), Bound: r.bound(), Relays: map[string]int{r.cfg.Name: len(r.streams)}}
	for name, l := range r.links {
		if r.up(l) {
			s.Relays[name] = l.streams
		}
	}
	for _, k := range r.known {
		if l := r.links[k.relay]; k.relay == r.cfg.Name || l != nil && r.up(l) {
			s.Routes++
		}
	}
	s.Joins, s.Refused, s.Cuts, s.Dropped, s.Bad = r.counts.joins, r.counts.refused, r.counts.cuts, r.counts.dropped, r.counts.bad
	return s
}

// Streams is the gateways that are here, with the epochs of their streams, for whoever checks it.
func (r *Router) Streams() map[string]uint64 {
	m := map[string]uint64{}
	for name, s := range r.streams {
		m[name] = s.life.epoch
	}
	return m
}
