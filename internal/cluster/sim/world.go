// Package sim plays whole fleets in virtual time: the members as they run in service, with their
// replicas and disks, over a network and file systems that fail as they are told or by a seed.
// What must hold is checked at every step. The same seed plays the same, step by step.
package sim

import (
	"container/heap"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"dunemoor/internal/cluster/failpoint"
	"dunemoor/internal/cluster/lease"
	"dunemoor/internal/cluster/multiraft"
	"dunemoor/internal/cluster/node"
	"dunemoor/internal/cluster/relay"
	"dunemoor/internal/cluster/wal"
)

// Options are what a world is made of.
type Options struct {
	Seed      uint64
	Nodes     int
	Relays    int // of the nodes: the first; the rest are gateways with one stream; 0: a full mesh
	Keepers   int // that the fleet is formed with
	Duties    int // each is offered by all
	Locks     int // duties that are only claimed, by Clients
	Clients   int // gateways that claim and give back locks all the while
	Operators int // who say words on hosts, of story words
	// ActEvery is the mean time between two acts of an owner; 0: a quarter of a second.
	ActEvery time.Duration
	Trace    bool // what happens is printed
}

// Delays of the network and of a disk, by chance between the two.
const (
	delayLeast, delayMost = 200 * time.Microsecond, 5 * time.Millisecond
	fsyncLeast, fsyncMost = 100 * time.Microsecond, 3 * time.Millisecond
	reconnectEvery        = 250 * time.Millisecond
	// driftMost is how much faster or slower a member's clock runs: well within what owners
	// allow for, in 10,000.
	driftMost = 80
)

// World is a fleet at an instant.
type World struct {
	Options
	Now   time.Duration
	Nodes []*Node
	Hosts *Ledger
	// Bad is the first thing that must not be; the world stops there.
	Bad error

	rng    *rand.Rand
	named  map[string]*Node
	events queue
	serial uint64
	stamps int
	cut    map[[2]int]bool // from, to: nothing passes
	faults Faults
	trace  bool

	tokens map[uint64]string // who was granted each
	ops    *history
	// Counted.
	Frames, Bytes, Snapshots int
	Unowned                  Gap
	Lapses                   int // sessions that lapsed
	acts                     int
	taken                    map[string]uint64 // duty: the highest token of which an act was taken
	digests                  map[uint64]uint64 // of the record by index
	change                   map[string]uint64 // duty: token of its last grant, as the record says
	owner                    map[string]uint64
	wrote                    map[string]string
	latest                   uint64        // index
	calmed                   bool          // operators say no more
	quiet                    time.Duration // until then no fault is put in
	// With relays.
	hush   bool                     // owners tell no news by themselves
	told   map[string]told          // the last news of each duty
	sentAt map[uint64]time.Duration // when a word was last said, by its digest
}

// Faults are shares by chance of frames, while they are on.
type Faults struct {
	Lost, Doubled, Late float64
	LateBy              time.Duration
}

// Gap is how long duties had no owner.
type Gap struct {
	since map[string]time.Duration
	Spans []time.Duration
}

// Node is one gateway with its machine.
type Node struct {
	w        *World
	i        int
	name     string
	fs       *memFS
	d        *wal.Log
	m        *node.Node
	rate     int64 // of its clock, in 10,000
	offset   time.Duration
	life     int // grows with each start and stop: what was under way before is void
	up       bool
	paused   bool
	held     []func() // what has come while it was paused
	writing  *multiraft.Batch
	slow     time.Duration
	fence    map[string]uint64 // of news taken
	works    map[string]uint64 // duty: token of the work that runs
	client   *client
	operator *operator
	kept     node.OverrideSet // operators' words, in a file
	old      *memFS           // a copy of the disk from before
	frames   int
	bytes    int
	looked   uint64 // index of the record as last looked at, and summed
	summed   uint64
	aside    bool
	// stopActing has the process stop for so long between its next look and act.
	stopActing time.Duration
	doubt      uint64 // the identity of a disk that was put back
	relayed
	moves     []time.Duration // when a relay took its stream
	gotBytes  int             // by its stream
	gotFrames int
	ended     error // why it could not start
}

type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

type queue []*event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(*event)) }
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// New makes a world whose gateways have yet to start.
func New(o Options) *World {
	if o.ActEvery == 0 {
		o.ActEvery = 250 * time.Millisecond
	}
	w := &World{
		Options: o, rng: rand.New(rand.NewPCG(o.Seed, 0x9e3779b97f4a7c15)), cut: map[[2]int]bool{}, Hosts: newLedger(),
		tokens: map[uint64]string{}, taken: map[string]uint64{}, digests: map[uint64]uint64{}, change: map[string]uint64{}, owner: map[string]uint64{}, wrote: map[string]string{},
		ops: &history{}, Unowned: Gap{since: map[string]time.Duration{}}, named: map[string]*Node{}, told: map[string]told{}, sentAt: map[uint64]time.Duration{},
	}
	for i := range o.Nodes {
		n := &Node{
			w: w, i: i, name: fmt.Sprintf("g%d", i), fs: newFS(w.rng, &w.stamps), rate: 10000 + w.rng.Int64N(2*driftMost) - driftMost,
			offset: time.Duration(w.rng.Int64N(int64(time.Hour))), fence: map[string]uint64{}, works: map[string]uint64{},
		}
		if i >= o.Relays && i < o.Relays+o.Clients {
			n.client = &client{n: n}
		}
		w.Nodes = append(w.Nodes, n)
		w.named[n.name] = n
	}
	return w
}

// after does something later, unless the world has stopped.
func (w *World) after(d time.Duration, do func()) {
	w.serial++
	heap.Push(&w.events, &event{w.Now + d, w.serial, do})
}

// between draws a time.
func (w *World) between(least, most time.Duration) time.Duration {
	return least + time.Duration(w.rng.Int64N(int64(most-least)+1))
}

// Run plays for so long, or until something is bad.
func (w *World) Run(d time.Duration) error {
	end := w.Now + d
	for w.Bad == nil && len(w.events) > 0 && w.events[0].at <= end {
		e := heap.Pop(&w.events).(*event)
		w.Now = e.at
		e.do()
	}
	if w.Bad == nil {
		w.Now = end
	}
	return w.Bad
}

// Until plays until a condition holds, for so long at most, and says whether it does.
func (w *World) Until(most time.Duration, ok func() bool) bool {
	for end := w.Now + most; w.Bad == nil && w.Now < end; {
		if ok() {
			return true
		}
		w.Run(min(node.TickInterval, end-w.Now))
	}
	return w.Bad == nil && ok()
}

func (w *World) bad(format string, args ...any) {
	if w.Bad == nil {
		w.Bad = fmt.Errorf("seed %d at %v: %s", w.Seed, w.Now, fmt.Sprintf(format, args...))
	}
}

// clock is the time as a gateway reads it: it goes on while the process is stopped.
func (n *Node) clock() time.Duration {
	return n.offset + time.Duration(int64(n.w.Now)/10000*n.rate)
}

// Start starts a gateway's process on the disk that its machine has.
func (n *Node) Start() {
	if n.up {
		return
	}
	n.life++
	n.ended = nil
	w := n.w
	draw := w.rng.Uint64
	if failpoint.Enabled(failpoint.ReuseDiskIdentity) {
		draw = func() uint64 { return uint64(n.i+1) << 8 }
	}
	d, stored, err := wal.Open(n.fs, "f", n.name, draw)
	if errors.Is(err, wal.ErrCopied) || errors.Is(err, wal.ErrCorrupt) {
		// The program sets such a disk aside and begins with an empty one.
		if w.trace {
			fmt.Println(w.Now, n.name, "sets its disk aside:", err)
		}
		n.fs = newFS(w.rng, &w.stamps)
		d, stored, err = wal.Open(n.fs, "f", n.name, draw)
	}
	if err != nil {
		n.ended = err
		return
	}
	var names, first, offers []string
	for i, o := range w.Nodes {
		if o != n && (w.Relays == 0 || w.relayNode(n) && w.relayNode(o)) {
			names = append(names, o.name)
		}
		if i < w.Keepers {
			first = append(first, o.name)
		}
	}
	for i := range w.Duties {
		if w.relayNode(n) {
			break
		}
		offers = append(offers, fmt.Sprintf("d%d", i))
	}
	if w.trace {
		fmt.Println(w.Now, n.name, "starts with disk", d.Identity())
	}
	n.d = d
	n.m, err = node.New(n.clock(), node.Config{
		Fleet: "f", Name: n.name, BootstrapReplicas: first, Peers: names, CandidateLeases: offers, Seed: w.rng.Uint64(), Disk: d.Identity(), Stored: stored, Overrides: n.kept,
		UsesRelays: w.Relays > 0,
	})
	if err != nil {
		w.bad("%s does not start: %v", n.name, err)
		return
	}
	n.up, n.paused, n.held, n.writing = true, false, nil, nil
	life := n.life
	if w.Relays > 0 {
		n.begin(life)
	}
	for _, o := range w.Nodes {
		if o != n && (w.Relays == 0 || w.relayNode(n) && w.relayNode(o)) {
			w.connect(n, o, life)
			if o.up {
				w.connect(o, n, o.life) // the connections to the process before have ended
			}
		}
	}
	n.tick(life)
	if n.client != nil {
		n.client.start(life)
	}
}

// connect has a gateway's hello come to another, again and again until it does.
func (w *World) connect(n, o *Node, life int) {
	w.after(w.between(delayLeast, delayMost), func() {
		if n.life != life {
			return
		}
		if !o.up || w.cut[[2]int{n.i, o.i}] {
			w.after(reconnectEvery, func() { w.connect(n, o, life) })
			return
		}
		to, h := o.life, n.m.Hello()
		o.come(func() {
			if o.life == to {
				o.m.ReceiveHello(o.clock(), h)
				if o.router != nil {
					o.router.Up(o.clock(), n.name)
				}
				o.drain()
			}
		})
	})
}

// come has something reach a gateway's process: later, where it is stopped.
func (n *Node) come(do func()) {
	if n.paused {
		n.held = append(n.held, do)
		return
	}
	do()
}

func (n *Node) tick(life int) {
	if n.life != life {
		return
	}
	n.come(func() {
		if n.life != life {
			return
		}
		n.m.Tick(n.clock())
		n.drain()
		n.w.after(node.TickInterval, func() { n.tick(life) })
	})
}

// Kill ends a process as by kill -9: what its disk has not synced is the machine's to keep.
func (n *Node) Kill() { n.end(false) }

// Crash ends a process with its machine: what was not synced may be lost.
func (n *Node) Crash() { n.end(true) }

func (n *Node) end(machine bool) {
	if !n.up {
		return
	}
	n.cutStreams(machine)
	n.up = false
	n.life++
	n.held, n.paused = nil, false
	n.relayed = relayed{}
	clear(n.works)
	clear(n.fence)
	if n.writing != nil && n.w.rng.IntN(2) == 0 {
		// A write was under way: some of it is there.
		n.fs.broken = errors.New("the machine has stopped")
		n.d.Write(n.writing)
		n.fs.broken = nil
		machine = true
	}
	if machine {
		n.fs.crash()
	}
	if n.client != nil {
		n.client.lost()
	}
}

// Wipe empties the disk of a gateway that is down.
func (n *Node) Wipe() { n.fs, n.kept = newFS(n.w.rng, &n.w.stamps), node.OverrideSet{} }

// Copy keeps a copy of the disk as it is, for Restore.
func (n *Node) Copy() { n.old = n.fs.copied() }

// Restore puts the copy back in the place of the disk; raw: in place, as below a file system,
// so that the disk can't tell.
func (n *Node) Restore(raw bool) {
	if n.old == nil {
		return
	}
	now := n.fs
	n.fs = n.old.copied()
	if raw {
		for name, f := range now.files {
			if n.fs.files[name] != nil {
				n.fs.files[name].stamp = f.stamp
			}
		}
	}
	n.old, n.doubt = nil, n.d.Identity().ReplicaID
}

// Pause stops a process, Resume has it go on.
func (n *Node) Pause() { n.paused = n.up }

// Resume has a stopped process go on: all that has come meanwhile comes now.
func (n *Node) Resume() {
	if !n.paused {
		return
	}
	n.paused = false
	held := n.held
	n.held = nil
	for _, do := range held {
		do()
	}
}

// Cut stops all that goes from one gateway to another; Heal lets it pass.
func (w *World) Cut(from, to *Node) { w.cut[[2]int{from.i, to.i}] = true }

// Heal lets pass again what Cut stopped.
func (w *World) Heal(from, to *Node) { delete(w.cut, [2]int{from.i, to.i}) }

// Part cuts two groups from one another, both ways.
func (w *World) Part(a, b []*Node) {
	for _, x := range a {
		for _, y := range b {
			w.Cut(x, y)
			w.Cut(y, x)
		}
	}
}

// HealAll ends all faults: links, stops, disks; who is down starts.
func (w *World) HealAll() {
	clear(w.cut)
	w.faults = Faults{}
	for _, n := range w.Nodes {
		n.fs.full, n.fs.broken, n.slow, n.stopActing = false, nil, 0, 0
		n.mute, n.slowStreams = false, 0
		n.Resume()
		if n.up && n.m.Halted() != nil && !errors.Is(n.m.Halted(), multiraft.ErrLogContradiction) {
			n.Kill() // an operator starts it again; one with an older disk has to find out itself
		}
		if !n.up {
			n.Start()
		}
	}
}

// drain carries out what a member wants done, and what its Router or Client does.
func (n *Node) drain() {
	n.drainMember()
	for life := n.life; n.up && n.life == life && (n.router != nil || n.way != nil) && n.carry(); {
		n.drainMember()
	}
}

func (n *Node) drainMember() {
	w := n.w
	o := n.m.TakeOutput()
	life := n.life
	if o.ClusterID != 0 {
		if err := n.d.SetClusterID(o.ClusterID); err != nil {
			n.m.WriteFailed(n.clock(), err)
		}
	}
	if o.Write != nil {
		n.write(o.Write, life)
	}
	for _, s := range o.Frames {
		if w.Relays > 0 {
			n.hand(s)
		} else {
			n.send(s)
		}
	}
	if n.way != nil {
		if o.RenewalSent {
			n.way.RenewalSent(n.clock())
		}
		if o.LeaderResponded {
			n.way.LeaderResponded(n.clock())
		}
	}
	if o.Reconnected {
		n.want()
	}
	for _, a := range o.ResyncRequests {
		n.askedNews(a)
	}
	for _, d := range o.Outcomes {
		if n.client != nil {
			n.client.done(d)
		}
		if n.operator != nil {
			n.operator.done(d)
		}
	}
	if o.Overrides != nil {
		n.kept = *o.Overrides
	}
	for _, x := range o.Publications {
		w.taking("news at "+n.name, x.Lease, x.Token, n.fence)
		if w.Relays > 0 {
			n.news[x.Lease] = told{x.Token, x.Seq}
			n.heardNews[x.Lease]++
		}
	}
	if w.trace {
		for _, l := range o.Log {
			fmt.Println(w.Now, n.name, l.Message, l.Args)
		}
	}
	if o.GrantsChanged {
		n.work(o.Grants)
	}
	w.look(n, o.GrantsChanged)
	if errors.Is(n.m.Halted(), wal.ErrCopied) && !n.aside {
		// The program sets such a disk aside and comes back with an empty one.
		n.aside = true
		w.after(time.Second, func() {
			n.aside = false
			if n.life == life {
				n.Kill()
				n.Wipe()
				n.Start()
			}
		})
	}
}

func (n *Node) write(b *multiraft.Batch, life int) {
	n.writing = b
	d := n.w.between(fsyncLeast, fsyncMost) + n.slow
	done := func() {
		n.come(func() {
			if n.life == life {
				n.m.Persisted(n.clock(), b.ID)
				n.drain()
			}
		})
	}
	n.w.after(d, func() {
		if n.life != life || n.m.Halted() != nil {
			return
		}
		n.writing = nil
		if err := n.d.Write(b); err != nil {
			n.come(func() {
				if n.life == life {
					n.m.WriteFailed(n.clock(), err)
					n.drain()
				}
			})
			return
		}
		done()
	})
}

func (n *Node) send(s node.Frame) {
	w := n.w
	to := w.named[s.To]
	w.Frames++
	w.Bytes += len(s.Body)
	n.frames++
	n.bytes += len(s.Body)
	pass := func(d time.Duration) {
		life, mine := to.life, n.life
		w.after(d, func() {
			ok := to.up && to.life == life && !w.cut[[2]int{n.i, to.i}]
			if s.SnapshotTo != 0 {
				w.Snapshots++
				w.after(w.between(delayLeast, delayMost), func() {
					n.come(func() {
						if n.life == mine {
							n.m.SnapshotSent(n.clock(), s.SnapshotTo, ok)
							n.drain()
						}
					})
				})
			}
			if !ok {
				return
			}
			to.come(func() {
				if to.life == life {
					if s.Kind == relay.KindRecord || s.Kind == relay.KindRoutes {
						to.router.FromRelay(to.clock(), n.name, s.Kind, s.Body)
						to.drain()
						return
					}
					if err := to.m.Receive(to.clock(), n.name, s.Kind, s.Body); err != nil {
						w.bad("%s can't read what %s has sent: %v", to.name, n.name, err)
					}
					to.drain()
				}
			})
		})
	}
	f := w.faults
	if f.Lost > 0 && w.rng.Float64() < f.Lost {
		if mine := n.life; s.SnapshotTo != 0 { // it goes on a connection of its own, which tells
			w.after(w.between(delayLeast, delayMost), func() {
				n.come(func() {
					if n.life == mine {
						n.m.SnapshotSent(n.clock(), s.SnapshotTo, false)
						n.drain()
					}
				})
			})
		}
		return
	}
	d := w.between(delayLeast, delayMost)
	if f.Late > 0 && w.rng.Float64() < f.Late {
		d += w.between(0, f.LateBy)
	}
	pass(d)
	if f.Doubled > 0 && w.rng.Float64() < f.Doubled {
		pass(d + w.between(0, f.LateBy))
	}
}

// digest is a state as a number.
func digest(b []byte) uint64 {
	h := fnv.New64a()
	h.Write(b)
	return h.Sum64()
}

// Whole says whether the fleet is as it should be with no fault on: all have a session, the
// keepers agree, each duty has an owner who knows it.
func (w *World) Whole() bool {
	lead := w.Leader()
	if lead == nil {
		return false
	}
	s := lead.m.Status(lead.clock())
	if s.Sessions != len(w.Nodes) || len(s.Replicas) != w.Keepers {
		return false
	}
	for _, k := range s.Replicas {
		if k.Learner {
			return false
		}
	}
	for _, n := range w.Nodes {
		if !n.up || n.m.Session() == 0 || n.m.Halted() != nil {
			return false
		}
	}
	if !w.routed() {
		return false
	}
	for _, d := range s.Leases {
		if d.Name[0] == 'd' && (d.Holder == "" || w.holders(d.Name) != 1) {
			return false
		}
	}
	return len(s.Leases) >= w.Duties
}

// Leader is who leads by the highest term; nil: nobody.
func (w *World) Leader() (lead *Node) {
	term := uint64(0)
	for _, n := range w.Nodes {
		if n.up && !n.paused && n.m.IsLeader() {
			if s := n.m.Status(n.clock()); s.Term > term {
				lead, term = n, s.Term
			}
		}
	}
	return lead
}

// holders is how many believe now that they own a duty, each by its own clock.
func (w *World) holders(duty string) (count int) {
	for _, n := range w.Nodes {
		if n.up && n.believes(duty) != 0 {
			count++
		}
	}
	return count
}

// believes is the token by which a gateway believes to own a duty; 0: it does not.
func (n *Node) believes(duty string) uint64 {
	if h, ok := n.m.Grant(duty); ok && (n.clock() < h.Deadline || failpoint.Enabled(failpoint.IgnoreDeadline)) {
		return h.Token
	}
	return 0
}

// State is the record as a gateway's replica has it.
func (n *Node) State() *lease.State { return n.m.State() }
