// Package sim is a deterministic simulation of whole fleets in virtual time. It runs the nodes of the program, with their
// replicas and logs, on a simulated network and simulated file systems, which fail as a scenario defines or at random.
//
// Invariants are checked after every step of a node. All randomness is drawn from a seed: the same seed reproduces the
// same run, event by event.
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
	Nodes     int // number of nodes, including relays
	Relays    int // number of relays, the first nodes; the others are gateways with one stream each; 0: a full mesh
	Replicas  int // number of bootstrap replicas
	Leases    int // number of leases for which every gateway is a candidate
	Locks     int // number of leases that only Clients acquire
	Clients   int // number of gateways that continuously acquire and release locks
	Operators int // number of operators that set overrides, see Overrides
	// FencedOpInterval is the mean time between two fenced operations of a lease holder, which carry its fencing token;
	// 0: defaultFencedOpInterval.
	FencedOpInterval time.Duration
	Trace            bool // whether events are printed
}

const (
	defaultFencedOpInterval = 250 * time.Millisecond

	// Bounds of the random delays of the network and of an fsync.
	minNetworkDelay, maxNetworkDelay = 200 * time.Microsecond, 5 * time.Millisecond
	minFsyncDelay, maxFsyncDelay     = 100 * time.Microsecond, 3 * time.Millisecond

	reconnectInterval = 250 * time.Millisecond
	// clockScale is the rate of an exact clock. maxClockDrift is the largest deviation of the rate of a node's clock,
	// in the same unit. It is well below the drift that lease holders allow for.
	clockScale    = 10000
	maxClockDrift = 80
)

// World is the state of a simulated fleet.
type World struct {
	Options
	Now       time.Duration
	Nodes     []*Node
	Hosts     *HostLedger
	Violation error // the first violation of an invariant, at which the run stops

	rng       *rand.Rand
	byName    map[string]*Node
	events    eventQueue
	scheduled uint64 // number of events scheduled so far
	stamps    int    // number of files created so far
	cut       map[direction]bool
	faults    NetworkFaults

	// State from which invariants are checked.
	grants          map[uint64]string // lease and holder of each grant, by token
	history         *lockHistory
	digests         map[uint64]uint64        // digests of the coordination state, by revision
	leaseTokens     map[string]uint64        // tokens of the last grants, by lease
	leaseHolders    map[string]uint64        // sessions of the last holders, by lease
	lastWriteTokens map[string]string        // tokens of the last writes, by lease
	revision        uint64                   // latest checked revision
	sentAt          map[uint64]time.Duration // times at which messages were sent in a fleet with relays, by digest
	published       map[string]publication   // latest publications, by lease
	publishManually bool                     // whether holders publish only when the scenario calls publishNext

	// Frames is the number of sent frames. Expirations is the number of leases lost by the expiry of their holder's
	// session.
	Frames, Expirations int
	fencedOps           int

	operatorsDone bool
	noFaultsUntil time.Duration
}

// direction is one direction between two nodes, by their indices.
type direction struct{ from, to int }

// NetworkFaults are the shares of frames that are lost, duplicated or delayed, and the longest additional delay.
type NetworkFaults struct {
	Lost, Duplicated, Delayed float64
	MaxDelay                  time.Duration
}

// New returns a World whose nodes have not been started.
func New(o Options) *World {
	if o.FencedOpInterval == 0 {
		o.FencedOpInterval = defaultFencedOpInterval
	}
	w := &World{
		Options: o, rng: rand.New(rand.NewPCG(o.Seed, 0x9e3779b97f4a7c15)), cut: map[direction]bool{}, Hosts: newHostLedger(),
		grants: map[uint64]string{}, history: &lockHistory{}, digests: map[uint64]uint64{}, leaseTokens: map[string]uint64{},
		leaseHolders: map[string]uint64{}, lastWriteTokens: map[string]string{}, byName: map[string]*Node{},
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

// form starts all nodes and runs until the fleet has formed, as reported by Recovered.
func (w *World) form(timeout time.Duration) error {
	w.startAll()
	if !w.Until(timeout, w.Recovered) {
		return w.errorf("the fleet did not form")
	}
	return nil
}

// newFormedWorld returns a new World whose fleet has formed.
func newFormedWorld(o Options) (*World, error) {
	w := New(o)
	return w, w.form(RecoveryTimeout)
}

// Until runs until a condition holds, and reports whether it held within the timeout.
func (w *World) Until(timeout time.Duration, ok func() bool) bool {
	for end := w.Now + timeout; w.Violation == nil && w.Now < end; {
		if ok() {
			return true
		}
		w.Run(min(node.TickInterval, end-w.Now))
	}
	return w.Violation == nil && ok()
}

// violationf records the violation of an invariant. Only the first one is kept.
func (w *World) violationf(format string, args ...any) {
	if w.Violation == nil {
		w.Violation = fmt.Errorf("seed %d at %v: %s", w.Seed, w.Now, fmt.Sprintf(format, args...))
	}
}

// errorf returns the error of a scenario whose check failed: the violation of an invariant, if there was one, else an
// error that includes the status of all nodes.
func (w *World) errorf(format string, args ...any) error {
	if w.Violation != nil {
		return w.Violation
	}
	return fmt.Errorf("seed %d at %v: %s: %s", w.Seed, w.Now, fmt.Sprintf(format, args...), w.describe())
}

// trace prints an event with the virtual time, if Options.Trace is set.
func (w *World) trace(args ...any) {
	if w.Trace {
		fmt.Println(append([]any{w.Now}, args...)...)
	}
}

// traceLog traces the log entries of a node.
func (w *World) traceLog(name string, entries []node.LogEntry) {
	for _, e := range entries {
		w.trace(name, e.Message, e.Args)
	}
}

// describe returns the status of all nodes, for error messages.
func (w *World) describe() (text string) {
	for _, n := range w.Nodes {
		text += n.describe()
	}
	return text + fmt.Sprint(" cuts ", len(w.cut), " tick ", node.TickInterval)
}

// Cut drops all frames from one node to another until Heal.
func (w *World) Cut(from, to *Node) { w.cut[direction{from.index, to.index}] = true }

// Heal ends a Cut.
func (w *World) Heal(from, to *Node) { delete(w.cut, direction{from.index, to.index}) }

// isCut reports whether the direction from one node to another is cut.
func (w *World) isCut(from, to *Node) bool { return w.cut[direction{from.index, to.index}] }

// Partition cuts two groups off from each other, in both directions.
func (w *World) Partition(a, b []*Node) {
	for _, x := range a {
		for _, y := range b {
			w.Cut(x, y)
			w.Cut(y, x)
		}
	}
}

// isolate cuts a node off from all others, in both directions.
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
		n.fs.full, n.fs.syncErr, n.diskDelay, n.pauseBeforeOp = false, nil, 0, 0
		n.blackhole, n.streamDelay = false, 0
		n.Resume()
		if n.up && n.node.Halted() != nil && !errors.Is(n.node.Halted(), multiraft.ErrInconsistentLog) {
			n.Kill() // an operator restarts a halted node, except one with an older disk, which must detect that itself
		}
		if !n.up {
			n.Start()
		}
	}
}

// Leader returns the leader with the highest term, or nil.
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

// Recovered reports whether the fleet is in its normal state: all nodes have a session, all replicas are voters, streams
// agree at both ends, and each lease has exactly one holder, which also considers itself the holder.
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

// Halted returns the number of running nodes whose replica has halted itself.
func (w *World) Halted() (count int) {
	for _, n := range w.Nodes {
		if n.up && n.node.Halted() != nil {
			count++
		}
	}
	return count
}

// leaseName returns the name of a lease for which all gateways are candidates.
func leaseName(i int) string { return fmt.Sprintf("d%d", i) }

// lockName returns the name of a lock, a lease that only clients acquire.
func lockName(i int) string { return fmt.Sprintf("lock%d", i) }

// isLock reports whether a lease is a lock.
func isLock(lease string) bool { return lease[0] != 'd' }

// digest returns a hash of the bytes.
func digest(b []byte) uint64 {
	h := fnv.New64a()
	h.Write(b)
	return h.Sum64()
}
