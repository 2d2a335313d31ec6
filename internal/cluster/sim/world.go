// Package sim plays whole fleets in virtual time. The nodes are those of the program, with their
// replicas and logs, over a network and file systems that fail as a scenario says or as a seed draws.
//
// Invariants are checked at every step. The same seed plays the same run, event by event.
package sim

import (
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"dunemoor/internal/cluster/multiraft"
	"dunemoor/internal/cluster/node"
)

// Options describe a fleet.
type Options struct {
	Seed      uint64
	Nodes     int // relays included
	Relays    int // the first nodes are relays, the others gateways with one stream each; 0: a full mesh
	Replicas  int // bootstrap replicas
	Leases    int // every gateway is a candidate for each
	Locks     int // leases that only Clients acquire
	Clients   int // gateways that acquire and release locks all the time
	Operators int // who set overrides, see Overrides
	// ActInterval is the mean time between two acts of a lease holder; 0: defaultActInterval.
	ActInterval time.Duration
	Trace       bool // events are printed
}

const (
	defaultActInterval = 250 * time.Millisecond

	// Delays of the network and of a disk are drawn between two bounds.
	minNetworkDelay, maxNetworkDelay = 200 * time.Microsecond, 5 * time.Millisecond
	minFsyncDelay, maxFsyncDelay     = 100 * time.Microsecond, 3 * time.Millisecond

	reconnectInterval = 250 * time.Millisecond
	// clockScale is the rate of a perfect clock. maxClockDrift is how much faster or slower the clock of a
	// node runs, in the same unit: well within what lease holders allow for.
	clockScale    = 10000
	maxClockDrift = 80
)

// World is a fleet at an instant.
type World struct {
	Options
	Now       time.Duration
	Nodes     []*Node
	Hosts     *HostLedger
	Violation error // the first violation of an invariant; the run stops there

	rng       *rand.Rand
	byName    map[string]*Node
	events    eventQueue
	scheduled uint64 // events so far
	stamps    int    // files created so far
	cut       map[direction]bool
	faults    NetworkFaults

	// What invariants are checked against.
	grants        map[uint64]string // by token: lease and node that it was granted to
	history       *lockHistory
	digests       map[uint64]uint64 // of the coordination state, by revision
	leaseTokens   map[string]uint64 // by lease: the token of its last grant
	leaseHolders  map[string]uint64 // by lease: the session of its last holder
	lastWriter    map[string]string // by lease: the token of the last write
	revision      uint64            // the latest that was checked
	sentAt        map[uint64]time.Duration
	published     map[string]publication // by lease: the last publication
	publishByHand bool                   // holders publish only when the scenario says so

	// Frames is how many were sent, Expirations how many leases were lost by an expired session.
	Frames, Expirations int
	acts                int

	operatorsDone bool
	noFaultsUntil time.Duration
}

// direction is a way between two nodes, by their indices.
type direction struct{ from, to int }

// NetworkFaults are the shares of frames that are lost, duplicated or delayed.
type NetworkFaults struct {
	Lost, Duplicated, Delayed float64
	MaxDelay                  time.Duration
}

// New returns a World whose nodes have not been started.
func New(o Options) *World {
	if o.ActInterval == 0 {
		o.ActInterval = defaultActInterval
	}
	w := &World{
		Options: o, rng: rand.New(rand.NewPCG(o.Seed, 0x9e3779b97f4a7c15)), cut: map[direction]bool{}, Hosts: newHostLedger(),
		grants: map[uint64]string{}, history: &lockHistory{}, digests: map[uint64]uint64{}, leaseTokens: map[string]uint64{},
		leaseHolders: map[string]uint64{}, lastWriter: map[string]string{}, byName: map[string]*Node{},
		published: map[string]publication{}, sentAt: map[uint64]time.Duration{},
	}
	for i := range o.Nodes {
		n := newNode(w, i)
		w.Nodes = append(w.Nodes, n)
		w.byName[n.name] = n
	}
	return w
}

// startAll starts all nodes.
func (w *World) startAll() {
	for _, n := range w.Nodes {
		n.Start()
	}
}

// form starts all nodes and plays until the fleet has formed.
func (w *World) form(timeout time.Duration) error {
	w.startAll()
	if !w.Until(timeout, w.Recovered) {
		return w.failed("the fleet did not form")
	}
	return nil
}

// formed returns a World whose fleet has formed.
func formed(o Options) (*World, error) {
	w := New(o)
	return w, w.form(RecoveryTimeout)
}

// Until plays until a condition holds, and reports whether it did within the timeout.
func (w *World) Until(timeout time.Duration, ok func() bool) bool {
	for end := w.Now + timeout; w.Violation == nil && w.Now < end; {
		if ok() {
			return true
		}
		w.Run(min(node.TickInterval, end-w.Now))
	}
	return w.Violation == nil && ok()
}

// violated records a violation of an invariant.
func (w *World) violated(format string, args ...any) {
	if w.Violation == nil {
		w.Violation = fmt.Errorf("seed %d at %v: %s", w.Seed, w.Now, fmt.Sprintf(format, args...))
	}
}

// failed returns the error of a scenario that did not end as it has to.
func (w *World) failed(format string, args ...any) error {
	if w.Violation != nil {
		return w.Violation
	}
	return fmt.Errorf("seed %d at %v: %s: %s", w.Seed, w.Now, fmt.Sprintf(format, args...), w.describe())
}

// trace prints what happens, where that is wanted.
func (w *World) trace(args ...any) {
	if w.Trace {
		fmt.Println(append([]any{w.Now}, args...)...)
	}
}

// traceLog prints what a node has logged.
func (w *World) traceLog(name string, entries []node.LogEntry) {
	for _, e := range entries {
		w.trace(name, e.Message, e.Args)
	}
}

// describe returns how each node stands.
func (w *World) describe() (text string) {
	for _, n := range w.Nodes {
		text += n.describe()
	}
	return text + fmt.Sprint(" cuts ", len(w.cut), " tick ", node.TickInterval)
}

// Cut drops all that one node sends another, until Heal.
func (w *World) Cut(from, to *Node) { w.cut[direction{from.index, to.index}] = true }

// Heal ends a Cut.
func (w *World) Heal(from, to *Node) { delete(w.cut, direction{from.index, to.index}) }

// isCut reports whether nothing gets from one node to another.
func (w *World) isCut(from, to *Node) bool { return w.cut[direction{from.index, to.index}] }

// Partition cuts two groups from one another, in both directions.
func (w *World) Partition(a, b []*Node) {
	for _, x := range a {
		for _, y := range b {
			w.Cut(x, y)
			w.Cut(y, x)
		}
	}
}

// isolate cuts a node from all others, in both directions.
func (w *World) isolate(n *Node) {
	for _, o := range w.Nodes {
		if o != n {
			w.Cut(n, o)
			w.Cut(o, n)
		}
	}
}

// HealAll ends all faults of network, processes and disks, and starts the nodes that are down.
func (w *World) HealAll() {
	clear(w.cut)
	w.faults = NetworkFaults{}
	for _, n := range w.Nodes {
		n.fs.full, n.fs.broken, n.diskDelay, n.pauseBeforeAct = false, nil, 0, 0
		n.mute, n.streamDelay = false, 0
		n.Resume()
		if n.up && n.node.Halted() != nil && !errors.Is(n.node.Halted(), multiraft.ErrLogContradiction) {
			n.Kill() // an operator restarts it; a node with an older disk has to find out by itself
		}
		if !n.up {
			n.Start()
		}
	}
}

// Leader returns the leader of the highest term, or nil.
func (w *World) Leader() (leader *Node) {
	term := uint64(0)
	for _, n := range w.Nodes {
		if n.up && !n.paused && n.node.IsLeader() {
			if s := n.node.Status(n.clock()); s.Term > term {
				leader, term = n, s.Term
			}
		}
	}
	return leader
}

// Recovered reports whether the fleet is as it has to be without faults: all nodes have a session, all
// replicas vote, and each lease has a holder that knows of it.
func (w *World) Recovered() bool {
	leader := w.Leader()
	if leader == nil {
		return false
	}
	s := leader.node.Status(leader.clock())
	if s.Sessions != len(w.Nodes) || len(s.Replicas) != w.Replicas {
		return false
	}
	for _, r := range s.Replicas {
		if r.Learner {
			return false
		}
	}
	for _, n := range w.Nodes {
		if !n.up || n.node.Session() == 0 || n.node.Halted() != nil {
			return false
		}
	}
	if !w.streamsAgree() {
		return false
	}
	for _, l := range s.Leases {
		if !isLock(l.Name) && (l.Holder == "" || w.countHolders(l.Name) != 1) {
			return false
		}
	}
	return len(s.Leases) >= w.Leases
}

// Halted returns how many replicas have stopped by themselves.
func (w *World) Halted() (count int) {
	for _, n := range w.Nodes {
		if n.up && n.node.Halted() != nil {
			count++
		}
	}
	return count
}

// leaseName returns the name of a lease that all gateways are candidates for.
func leaseName(i int) string { return fmt.Sprintf("d%d", i) }

// lockName returns the name of a lease that only clients acquire.
func lockName(i int) string { return fmt.Sprintf("lock%d", i) }

// isLock reports whether a lease is one that only clients acquire.
func isLock(lease string) bool { return lease[0] != 'd' }

// digest returns a short value that differs where the bytes do.
func digest(b []byte) uint64 {
	h := fnv.New64a()
	h.Write(b)
	return h.Sum64()
}
