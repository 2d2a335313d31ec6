package sim

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"dunemoor/internal/cluster/lease"
	"dunemoor/internal/cluster/node"
	"dunemoor/internal/cluster/relay"
)

// side is one end of a stream.
type side int

const (
	atGateway side = iota
	atRelay
)

// stream is a connection between a gateway and a relay: what is sent comes in order, late where
// the way is cut, or not at all where an end has gone.
type stream struct {
	w      *World
	node   [2]*Node
	life   [2]int
	closed [2]bool // from that side
	told   [2]bool // that side knows of the end
	epoch  uint64
	name   string
	queue  [2][]parcel // to that side
	moving [2]bool
}

type parcel struct {
	at time.Duration
	do func()
}

// stallEvery is how often a way that is cut is tried.
const stallEvery = 50 * time.Millisecond

// send has something come to a side.
func (s *stream) send(to side, do func()) {
	w := s.w
	at := w.Now + w.between(delayLeast, delayMost) + s.node[atRelay].slowStreams
	if q := s.queue[to]; len(q) > 0 {
		at = max(at, q[len(q)-1].at)
	}
	s.queue[to] = append(s.queue[to], parcel{at, do})
	if !s.moving[to] {
		s.moving[to] = true
		w.after(at-w.Now, func() { s.move(to) })
	}
}

func (s *stream) move(to side) {
	w := s.w
	if w.cut[[2]int{s.node[1-to].i, s.node[to].i}] {
		w.after(stallEvery, func() { s.move(to) })
		return
	}
	p := s.queue[to][0]
	s.queue[to] = s.queue[to][1:]
	n := s.node[to]
	n.come(func() {
		if n.up && n.life == s.life[to] && !s.closed[to] && !s.told[to] {
			p.do()
			n.drain()
		}
	})
	if len(s.queue[to]) == 0 {
		s.moving[to] = false
		return
	}
	w.after(max(0, s.queue[to][0].at-w.Now), func() { s.move(to) })
}

// end closes the stream from a side; the other hears of it behind what was sent.
func (s *stream) end(from side) {
	if s.closed[from] {
		return
	}
	s.closed[from] = true
	n := s.node[from]
	delete(n.streams, s.name+fmt.Sprint(s.epoch))
	s.send(1-from, func() { s.ended(1 - from) })
}

// ended tells a side that the stream has ended.
func (s *stream) ended(at side) {
	if s.told[at] || s.closed[at] {
		return
	}
	s.told[at] = true
	n := s.node[at]
	delete(n.streams, s.name+fmt.Sprint(s.epoch))
	if at == atRelay {
		n.router.StreamEnded(n.clock(), s.name, s.epoch)
	} else {
		n.way.Ended(n.clock(), s.epoch)
	}
}

// relayed is a node's part in a world with relays.
type relayed struct {
	router  *relay.Router
	way     *relay.Client
	streams map[string]*stream
	// carries says not to carry anything on, though it is there; slowStreams is how much later
	// all comes by its streams.
	mute        bool
	slowStreams time.Duration
	rogue       bool // it sends records that are refused beside others
	news        map[string]told
	heardNews   map[string]int
	marks       map[string]*got
}

// told is news as an owner has told it.
type told struct {
	token, seq uint64
}

// got is the last that was taken of a sender.
type got struct {
	replica, epoch, seq uint64
	before              map[uint64]uint64 // of replicas before: their last epochs
}

// relayNode says whether a node is a relay.
func (w *World) relayNode(n *Node) bool { return n.i < w.Relays }

func (w *World) relayList() (list []relay.Relay) {
	for i := range w.Relays {
		list = append(list, relay.Relay{Name: w.Nodes[i].name, Zone: w.zone(i), Region: "r"})
	}
	return list
}

// zone spreads nodes over two zones.
func (w *World) zone(i int) string { return fmt.Sprint("z", i%2) }

// begin starts a node's part in the relays.
func (n *Node) begin(life int) {
	w := n.w
	id := n.d.Identity()
	cfg := relay.Config{Name: n.name, Zone: w.zone(n.i), Region: "r", ReplicaID: id.ReplicaID, Boots: id.Boots, Seed: w.rng.Uint64()}
	n.relayed = relayed{streams: map[string]*stream{}, news: map[string]told{}, heardNews: map[string]int{}, marks: map[string]*got{}}
	if w.relayNode(n) {
		n.router = relay.NewRouter(n.clock(), cfg, w.relayList())
	} else {
		n.way = relay.NewClient(n.clock(), cfg, w.relayList())
	}
	n.beat(life)
}

// beat is the passing of time at a Router or Client.
func (n *Node) beat(life int) {
	if n.life != life {
		return
	}
	every := relay.TickInterval
	if n.way != nil {
		every = node.TickInterval // it gathers nothing
	}
	n.come(func() {
		if n.life != life {
			return
		}
		if n.router != nil {
			n.router.Tick(n.clock())
		} else {
			n.way.Tick(n.clock())
		}
		n.drain()
		n.w.after(every, func() { n.beat(life) })
	})
}

// hand gives a frame of our member's to the way that it goes.
func (n *Node) hand(s node.Frame) {
	w := n.w
	if s.Kind == node.KindMessage {
		if len(w.sentAt) > 1<<18 {
			clear(w.sentAt)
		}
		w.sentAt[digest(s.Body)] = w.Now
	}
	switch {
	case n.way != nil:
		n.way.Send(n.clock(), s)
	case s.Kind == node.KindMessage:
		n.router.Send(n.clock(), s)
	default:
		n.send(s)
	}
}

// refusedRecord is one that no relay and no gateway takes.
var refusedRecord = relay.AppendRecord(nil, &relay.Record{To: "x", Kind: 9, Body: []byte("refused")})

// carry carries out what a Router or Client wants done, and says whether the member was given
// anything.
func (n *Node) carry() bool {
	if n.router != nil {
		o := n.router.TakeOutput()
		for _, f := range o.ToStream {
			if n.mute && f.Kind == relay.KindRecord {
				f.Kind, f.Body = relay.KindIdle, nil // it is there, that is all
			}
			if s := n.streams[f.Name+fmt.Sprint(f.Epoch)]; s != nil {
				n.count(len(f.Body))
				s.node[atGateway].gotFrames++
				s.node[atGateway].gotBytes += len(f.Body)
				s.send(atGateway, func() { s.node[atGateway].way.Receive(s.node[atGateway].clock(), s.epoch, f.Kind, f.Body) })
			}
		}
		for _, f := range o.ToRelay {
			if f.Kind == relay.KindRecord && n.rogue {
				f.Body = append(slices.Clone(refusedRecord), f.Body...)
			}
			n.send(node.Frame{To: f.Name, Kind: f.Kind, Body: f.Body})
		}
		for i := range o.ToNode {
			n.take(&o.ToNode[i])
		}
		for _, c := range o.Closed {
			if s := n.streams[c.Name+fmt.Sprint(c.Epoch)]; s != nil {
				s.end(atRelay)
			}
		}
		return len(o.ToNode) > 0
	}
	o := n.way.TakeOutput()
	for _, d := range o.Dial {
		n.dial(d)
	}
	for _, f := range o.ToStream {
		s := n.streams[n.name+fmt.Sprint(f.Epoch)]
		if s == nil {
			continue
		}
		if f.Kind == relay.KindRecord && n.rogue {
			f.Body = append(slices.Clone(refusedRecord), f.Body...)
		}
		n.count(len(f.Body))
		s.send(atRelay, func() {
			to := s.node[atRelay]
			if kind := f.Kind; !to.mute || kind == relay.KindIdle {
				to.router.FromStream(to.clock(), s.name, s.epoch, kind, f.Body)
			} else {
				to.router.FromStream(to.clock(), s.name, s.epoch, relay.KindIdle, nil)
			}
		})
	}
	for i := range o.ToNode {
		n.take(&o.ToNode[i])
	}
	for _, epoch := range o.Close {
		if s := n.streams[n.name+fmt.Sprint(epoch)]; s != nil {
			s.end(atGateway)
		}
	}
	if o.Reconnected {
		n.moves = append(n.moves, n.w.Now)
		n.m.Reconnected(n.clock())
	}
	if o.Outdated {
		n.m.DiskOutdated(n.clock(), "a relay knows a later stream")
	}
	if n.w.trace {
		for _, l := range o.Log {
			fmt.Println(n.w.Now, n.name, l.Message, l.Args)
		}
	}
	return len(o.ToNode) > 0 || o.Reconnected || o.Outdated
}

func (n *Node) count(bytes int) {
	n.w.Frames++
	n.w.Bytes += bytes
	n.frames++
	n.bytes += bytes
}

// dial opens a stream.
func (n *Node) dial(d relay.Dial) {
	w := n.w
	to := w.named[d.Relay]
	s := &stream{w: w, node: [2]*Node{n, to}, life: [2]int{n.life, to.life}, epoch: d.Join.Epoch, name: n.name}
	key := n.name + fmt.Sprint(s.epoch)
	n.streams[key] = s
	if !to.up && !w.cut[[2]int{n.i, to.i}] && !w.cut[[2]int{to.i, n.i}] {
		s.send(atGateway, func() { s.ended(atGateway) }) // refused
		return
	}
	answered := false
	s.send(atRelay, func() {
		a := to.router.Join(to.clock(), d.Join)
		if a.Accepted {
			to.streams[key] = s
		}
		s.send(atGateway, func() {
			answered = true
			n.way.Joined(n.clock(), s.epoch, a)
		})
		if !a.Accepted {
			s.closed[atRelay] = true
		}
	})
	w.after(relay.DialTimeout, func() {
		n.come(func() {
			if n.life == s.life[atGateway] && !answered && !s.closed[atGateway] && !s.told[atGateway] {
				s.end(atGateway)
				n.way.Ended(n.clock(), s.epoch)
				n.drain()
			}
		})
	})
}

// cutStreams ends the streams of a process that has ended; with its machine nobody is told.
func (n *Node) cutStreams(machine bool) {
	for _, key := range slices.Sorted(maps.Keys(n.streams)) {
		s := n.streams[key]
		from := atGateway
		if s.node[atRelay] == n {
			from = atRelay
		}
		if machine {
			s.closed[from] = true
			delete(n.streams, key)
		} else {
			s.end(from)
		}
	}
}

// ageMost is how old a word may be that is taken: a stream that says nothing is cut in 3 s, and each
// process on its way may stand still for 1.2 s without being seen to.
const ageMost = 10 * time.Second

// take gives a record to the member, and checks it first: of each sender nothing comes twice, or
// behind what was said later, and nothing that some process has held.
func (n *Node) take(r *relay.Record) {
	w := n.w
	g := n.marks[r.From]
	if g == nil {
		g = &got{before: map[uint64]uint64{}}
		n.marks[r.From] = g
	}
	switch {
	case g.replica == r.ReplicaID && (r.Epoch < g.epoch || r.Epoch == g.epoch && r.Seq <= g.seq):
		w.bad("%s takes word %d of epoch %x of %s after word %d of epoch %x", n.name, r.Seq, r.Epoch, r.From, g.seq, g.epoch)
	case g.replica != r.ReplicaID && g.before[r.ReplicaID] >= r.Epoch:
		w.bad("%s takes a word of a disk that %s has no more", n.name, r.From)
	}
	if g.replica != r.ReplicaID && g.replica != 0 {
		g.before[g.replica] = g.epoch
	}
	g.replica, g.epoch, g.seq = r.ReplicaID, r.Epoch, r.Seq
	if at, ok := w.sentAt[digest(r.Body)]; ok && w.Now-at > ageMost {
		w.bad("%s takes a word of %s that was said %v ago", n.name, r.From, w.Now-at)
	}
	if err := n.m.Receive(n.clock(), r.From, r.Kind, r.Body); err != nil {
		w.bad("%s can't read what %s has sent: %v", n.name, r.From, err)
	}
}

// routed says whether each gateway has one stream, and its relay the same.
func (w *World) routed() bool {
	if w.Relays == 0 {
		return true
	}
	count := map[string]int{}
	for _, n := range w.Nodes[:w.Relays] {
		if !n.up {
			return false
		}
		for name, epoch := range n.router.Streams() {
			count[name]++
			if g := w.named[name]; !g.up {
				return false
			} else if now, ok := g.way.Current(); !ok || now != epoch {
				return false
			}
		}
	}
	for _, g := range w.Nodes[w.Relays:] {
		if count[g.name] != 1 {
			return false
		}
	}
	return true
}

// tell has the owner of a duty tell all what is new; false: nobody owns it just now.
func (w *World) tell(duty string) bool {
	for _, n := range w.Nodes {
		if n.up && !n.paused {
			if token := n.believes(duty); token != 0 {
				t := w.told[duty]
				if t.token != token {
					t = told{token: token}
				}
				t.seq++
				n.say(duty, t)
				n.drain()
				return true
			}
		}
	}
	return false
}

// say tells all gateways news, as the owner.
func (n *Node) say(duty string, t told) {
	n.w.told[duty] = t
	n.news[duty] = t
	n.m.Publish(n.clock(), "", duty, t.token, t.seq, []byte("news"))
}

// asked has an owner tell one gateway again what it has told all.
func (n *Node) askedNews(a node.ResyncCall) {
	if t := n.news[a.Lease]; t.token != 0 && n.believes(a.Lease) == t.token {
		n.m.Publish(n.clock(), a.From, a.Lease, t.token, t.seq, []byte("news"))
	}
}

// wantAgain is when a gateway that has moved asks once more: the first may have been lost.
const wantAgain = time.Second

// want asks the owners for what may have been missed.
func (n *Node) want() {
	life := n.life
	ask := func() {
		// What we have told ourselves may be lost as well.
		for _, duty := range slices.Sorted(maps.Keys(n.news)) {
			if t := n.news[duty]; n.believes(duty) == t.token {
				n.m.Publish(n.clock(), "", duty, t.token, t.seq, []byte("news"))
			}
		}
		for i := range n.w.Duties {
			n.m.RequestResync(n.clock(), fmt.Sprintf("d%d", i), nil)
		}
	}
	ask()
	n.w.after(wantAgain, func() {
		n.come(func() {
			if n.life == life {
				ask()
				n.drain()
			}
		})
	})
}

// newsMost is how long a gateway may go without the last news, from when it was told or the
// gateway came.
const newsMost = 3 * time.Second

// known checks that all gateways know the last news of a duty.
func (w *World) known(duty string) error {
	t := w.told[duty]
	for _, n := range w.Nodes[w.Relays:] {
		if !n.up || n.believes(duty) != 0 {
			continue
		}
		if x := n.news[duty]; x.token < t.token || x.token == t.token && x.seq < t.seq {
			return w.failed(fmt.Sprintf("%s knows news %d of %s under token %d, %v behind news %d under %d", n.name, x.seq, duty, x.token, newsMost, t.seq, t.token))
		}
	}
	return nil
}

// MixedRelays is a fleet with relays by the seed.
func MixedRelays(seed uint64) Options {
	i := seed % 3
	return Options{Seed: seed, Relays: []int{3, 4, 6}[i], Nodes: []int{9, 14, 22}[i], Keepers: []int{3, 3, 5}[i], Duties: 6, Locks: 2, Clients: 3}
}

// Relays plays a fleet with relays by its seed: one of them is killed, gateways are moved while
// there is news, and then faults are put in.
func Relays(seed uint64) error {
	_, err := PlayRelays(MixedRelays(seed), 40*time.Second)
	return err
}

// PlayRelays plays a fleet with relays.
func PlayRelays(o Options, faults time.Duration) (*World, error) {
	w := New(o)
	w.trace = o.Trace
	for _, n := range w.Nodes {
		n.Start()
	}
	if !w.Until(Bound, w.Whole) {
		return w, w.failed("the fleet did not form")
	}
	for _, step := range []func() error{w.allCome, w.oneKilled, w.oneMute, w.newsWhileMoving} {
		if err := step(); err != nil {
			return w, err
		}
	}
	for end := w.Now + faults; w.Now < end && w.Bad == nil; {
		if w.rng.IntN(3) == 0 {
			w.fault()
		} else {
			w.relayFault()
		}
		w.Run(w.between(50*time.Millisecond, 2*time.Second))
	}
	if w.Bad != nil {
		return w, w.Bad
	}
	w.HealAll()
	if !w.Until(Bound, w.Whole) {
		return w, w.failed(fmt.Sprintf("not whole %v after the last fault", Bound))
	}
	if err := w.Run(2 * lease.TTL); err != nil {
		return w, err
	}
	if err := w.newsWhileMoving(); err != nil {
		return w, err
	}
	for _, n := range w.Nodes[:w.Relays] {
		if s := n.router.Status(); s.Streams > s.Limit {
			return w, w.failed(fmt.Sprintf("%s holds %d streams, %d are its share", n.name, s.Streams, s.Limit))
		}
	}
	return w, w.Linear()
}

// allCome checks that nothing is lost while nothing fails, though some send what is refused.
func (w *World) allCome() error {
	w.hush = true
	defer func() { w.hush = false }()
	for _, n := range w.Nodes {
		n.rogue = w.rng.IntN(2) == 0
		defer func() { n.rogue = false }()
	}
	if err := w.Run(time.Second); err != nil {
		return err
	}
	const words = 20
	for i := range w.Duties {
		duty := fmt.Sprintf("d%d", i)
		for _, n := range w.Nodes {
			n.heardNews[duty] = 0
		}
		var owner *Node
		for range words {
			if w.tell(duty) {
				for _, n := range w.Nodes {
					if n.up && n.believes(duty) != 0 {
						if owner != nil && owner != n {
							return nil // it was moved to be even: a new owner counts anew
						}
						owner = n
					}
				}
			}
			if err := w.Run(w.between(0, 100*time.Millisecond)); err != nil {
				return err
			}
		}
		if err := w.Run(time.Second); err != nil {
			return err
		}
		for _, n := range w.Nodes {
			if owner != nil && n != owner && n.heardNews[duty] != words && len(n.moves) < 2 {
				return w.failed(fmt.Sprintf("%s has heard %d of %d news of %s, and nothing has failed", n.name, n.heardNews[duty], words, duty))
			}
		}
	}
	return nil
}

// oneKilled kills a relay, and checks that no session of another lapses and no duty changes hands
// by it.
func (w *World) oneKilled() error {
	for range 2 {
		n := w.Nodes[w.rng.IntN(w.Relays)]
		before := map[*Node]uint64{}
		for _, x := range w.Nodes {
			before[x] = x.m.Session()
		}
		lapses := w.Lapses
		if w.rng.IntN(2) == 0 {
			n.Kill()
		} else {
			n.Crash()
		}
		killed := w.Now
		if err := w.Run(3 * lease.TTL); err != nil {
			return err
		}
		for _, x := range w.Nodes {
			if x != n && x.m.Session() != before[x] {
				return w.failed(fmt.Sprintf("the session of %s lapsed though only the relay %s was killed, at %v", x.name, n.name, killed))
			}
			if x.way == nil {
				continue
			}
			if _, ok := x.way.Current(); !ok {
				return w.failed(fmt.Sprintf("%s has no stream %v after %s was killed", x.name, 3*lease.TTL, n.name))
			}
		}
		if w.Lapses != lapses {
			return w.failed(fmt.Sprintf("%d duties lapsed as the relay %s was killed", w.Lapses-lapses, n.name))
		}
		n.Start()
		if !w.Until(Bound, w.Whole) {
			return w.failed("not whole after a relay came back")
		}
	}
	return nil
}

// muteFor is how long a relay carries nothing on in oneMute: several times what a session lasts.
const muteFor = 10 * time.Second

// oneMute has a relay be there and carry nothing on, and checks that its gateways leave it before
// any session lapses.
func (w *World) oneMute() error {
	n := w.Nodes[w.rng.IntN(w.Relays)]
	before := map[*Node]uint64{}
	for _, x := range w.Nodes {
		before[x] = x.m.Session()
	}
	n.mute = true
	if err := w.Run(muteFor); err != nil {
		return err
	}
	n.mute = false
	lead := w.Leader()
	for _, x := range w.Nodes {
		if x.m.Session() != before[x] || lead != nil && lead.State().Sessions[before[x]] == nil {
			return w.failed(fmt.Sprintf("the session of %s lapsed as %s carried nothing on", x.name, n.name))
		}
	}
	if len(n.router.Streams()) > 0 {
		return w.failed(fmt.Sprintf("%s has %d gateways still, %v after it carried nothing on any more", n.name, len(n.router.Streams()), muteFor))
	}
	if !w.Until(Bound, w.Whole) {
		return w.failed("not whole after a relay carried on again")
	}
	return nil
}

// newsWhileMoving moves gateways, in each way that they may be, and has an owner tell something
// meanwhile.
func (w *World) newsWhileMoving() error {
	w.hush = true
	defer func() { w.hush = false }()
	if err := w.Run(time.Second); err != nil { // what was under way comes
		return err
	}
	for range 4 {
		duty := fmt.Sprintf("d%d", w.rng.IntN(max(1, w.Duties)))
		var killed *Node
		for _, g := range w.Nodes[w.Relays:] {
			if w.rng.IntN(2) == 0 {
				w.after(w.between(0, 100*time.Millisecond), func() { g.loseStreams() })
			}
		}
		if w.rng.IntN(3) == 0 {
			killed = w.Nodes[w.rng.IntN(w.Relays)]
			w.after(w.between(0, 100*time.Millisecond), killed.Kill)
		}
		var err error
		said := false
		w.after(w.between(0, 200*time.Millisecond), func() { said = w.tell(duty) })
		if err = w.Run(200 * time.Millisecond); err != nil {
			return err
		}
		// All have a stream again within a second or two, and know it 3 s later at most.
		w.Until(Bound, func() bool {
			for _, g := range w.Nodes[w.Relays:] {
				if _, ok := g.way.Current(); !ok {
					return false
				}
			}
			return true
		})
		if err = w.Run(newsMost); err != nil {
			return err
		}
		if t := w.told[duty]; said && killed == nil && w.believed(duty) == t.token {
			if err := w.known(duty); err != nil {
				return err
			}
		}
		if killed != nil {
			killed.Start()
			if !w.Until(Bound, w.Whole) {
				return w.failed("not whole after a relay came back")
			}
			if err := w.Run(newsMost); err != nil {
				return err
			}
		}
	}
	return nil
}

// believed is the token of whoever believes to own a duty.
func (w *World) believed(duty string) uint64 {
	for _, n := range w.Nodes {
		if n.up {
			if t := n.believes(duty); t != 0 {
				return t
			}
		}
	}
	return 0
}

// loseStreams breaks the streams of a gateway.
func (n *Node) loseStreams() {
	for _, key := range slices.Sorted(maps.Keys(n.streams)) {
		s := n.streams[key]
		for _, at := range []side{atGateway, atRelay} {
			s.send(at, func() { s.ended(at) })
		}
	}
}

// pauseMost is how long a relay or gateway stands still at most.
const pauseMost = time.Minute

// relayFault puts one in at relays and streams, or ends one.
func (w *World) relayFault() {
	if w.Now < w.quiet {
		return
	}
	r, g := w.Nodes[w.rng.IntN(w.Relays)], w.Nodes[w.Relays+w.rng.IntN(len(w.Nodes)-w.Relays)]
	soon := func(do func()) { w.after(w.between(100*time.Millisecond, 5*time.Second), do) }
	kind := w.rng.IntN(14)
	if w.trace {
		fmt.Println(w.Now, "relay fault", kind, "at", r.name, g.name)
	}
	pause := func(n *Node) {
		life := n.life
		n.Pause()
		most := 3 * time.Second
		if w.rng.IntN(2) == 0 {
			most = pauseMost
		}
		w.after(w.between(0, most), func() {
			if n.life == life {
				n.Resume()
			}
		})
	}
	cut := func(a, b *Node) {
		w.Cut(a, b)
		soon(func() { w.Heal(a, b) })
	}
	switch kind {
	case 0:
		r.Kill()
		soon(r.Start)
	case 1:
		r.Crash()
		soon(r.Start)
	case 2:
		pause(r)
	case 3:
		pause(g)
	case 4: // one way between a gateway and its relay
		for _, n := range w.Nodes[:w.Relays] {
			if n.up && n.router.Streams()[g.name] != 0 {
				if w.rng.IntN(2) == 0 {
					cut(g, n)
				} else {
					cut(n, g)
				}
			}
		}
	case 5: // one way between relays
		if o := w.Nodes[w.rng.IntN(w.Relays)]; o != r {
			cut(r, o)
		}
	case 6: // one way from or to a relay, but for its streams
		for _, o := range w.Nodes[:w.Relays] {
			if o != r {
				cut(r, o)
			}
		}
	case 7:
		r.slowStreams = w.between(0, 2*time.Second)
		soon(func() { r.slowStreams = 0 })
	case 8:
		g.loseStreams()
	case 9: // half of them
		for _, i := range w.rng.Perm(w.Relays)[:w.Relays/2] {
			n := w.Nodes[i]
			n.Kill()
			soon(n.Start)
		}
	case 10: // all are restarted
		for _, n := range w.Nodes[:w.Relays] {
			n.Kill()
			soon(n.Start)
		}
	case 11:
		r.mute = true
		w.after(w.between(time.Second, 15*time.Second), func() { r.mute = false })
	case 12:
		g.Kill()
		soon(g.Start)
	case 13: // one that is said to have moved comes to another relay, its old stream as it was
		if g.up && !g.paused {
			for _, key := range slices.Sorted(maps.Keys(g.streams)) {
				s := g.streams[key]
				s.send(atGateway, func() { s.ended(atGateway) })
			}
		}
	}
}

// movesSince is how long after a fault each of some gateways was taken by a relay, sorted.
func movesSince(of []*Node, since time.Duration) (list []time.Duration) {
	for _, n := range of {
		if i := slices.IndexFunc(n.moves, func(at time.Duration) bool { return at >= since }); i >= 0 {
			list = append(list, n.moves[i]-since)
		}
	}
	slices.Sort(list)
	return list
}

// RelayCost is what a gateway's stream carries when nothing happens, and what a relay's end takes.
type RelayCost struct {
	Gateways int
	FormedIn time.Duration
	// Of the median gateway, a second: frames and bytes of what they carry, each way.
	SentFrames, SentBytes, GotFrames, GotBytes float64
	// Behind a relay's end, until its gateways were taken by others; Killed: its process ended and
	// its connections with it; Silent: its machine, and nobody was told.
	Killed, Silent, Led []time.Duration // Led: behind the leader's machine
	Lapsed              int             // sessions of others that lapsed by all of that
}

// MeasureRelays plays a fleet with relays that nobody disturbs, and then ends relays.
func MeasureRelays(o Options) (c RelayCost, err error) {
	o.ActEvery = time.Hour
	w := New(o)
	w.hush = true
	c.Gateways = o.Nodes - o.Relays
	for _, n := range w.Nodes {
		n.Start()
	}
	if !w.Until(3*Bound, w.Whole) {
		return c, w.failed("the fleet did not form")
	}
	c.FormedIn = w.Now
	if err := w.Run(2 * costSpan); err != nil {
		return c, err
	}
	for _, n := range w.Nodes {
		n.frames, n.bytes, n.gotFrames, n.gotBytes = 0, 0, 0, 0
	}
	if err := w.Run(costSpan); err != nil {
		return c, err
	}
	gateways := slices.Clone(w.Nodes[w.Relays:])
	slices.SortFunc(gateways, func(x, y *Node) int { return x.bytes + x.gotBytes - y.bytes - y.gotBytes })
	g := gateways[len(gateways)/2]
	s := costSpan.Seconds()
	c.SentFrames, c.SentBytes, c.GotFrames, c.GotBytes = float64(g.frames)/s, float64(g.bytes)/s, float64(g.gotFrames)/s, float64(g.gotBytes)/s
	sessions := map[*Node]uint64{}
	for _, n := range w.Nodes {
		sessions[n] = n.m.Session()
	}
	end := func(n *Node, end func()) ([]time.Duration, error) {
		at := w.Now
		var its []*Node // others move as well, to a relay that they would rather have
		for _, g := range w.Nodes[w.Relays:] {
			if n.router.Streams()[g.name] != 0 {
				its = append(its, g)
			}
		}
		end()
		if err := w.Run(2 * lease.TTL); err != nil {
			return nil, err
		}
		for _, x := range w.Nodes {
			if x != n && x.m.Session() != sessions[x] {
				c.Lapsed++
			}
		}
		list := movesSince(its, at)
		n.Start()
		if !w.Until(Bound, w.Whole) {
			return list, w.failed("not whole after a relay came back")
		}
		for _, x := range w.Nodes {
			sessions[x] = x.m.Session()
		}
		return list, nil
	}
	other := func() *Node {
		lead := w.Leader()
		return w.Nodes[slices.IndexFunc(w.Nodes, func(n *Node) bool { return n != lead && len(n.router.Streams()) > 0 })]
	}
	n := other()
	if c.Killed, err = end(n, n.Kill); err != nil {
		return c, err
	}
	n = other()
	if c.Silent, err = end(n, n.Crash); err != nil {
		return c, err
	}
	n = w.Leader()
	c.Led, err = end(n, n.Crash)
	return c, err
}
