package sim

import (
	"errors"
	"fmt"
	"time"

	"dunemoor/internal/cluster/failpoint"
	"dunemoor/internal/cluster/lease"
	"dunemoor/internal/cluster/multiraft"
	"dunemoor/internal/cluster/node"
	"dunemoor/internal/cluster/wal"
)

// fleetID is the name of every simulated fleet.
const fleetID = "f"

// Node is one process with its machine.
type Node struct {
	world *World
	index int
	name  string

	// Of the machine.
	clockRate   int64 // relative to clockScale
	clockOffset time.Duration
	fs          *memFS
	backup      *memFS           // a copy of the disk, for Restore
	overrides   node.OverrideSet // as kept in a file
	diskDelay   time.Duration    // added to each write
	// restoredReplica is the replica whose disk was restored from a backup last.
	restoredReplica uint64

	// Of the process.
	log         *wal.Log
	node        *node.Node
	incarnation int // grows with each start and stop: what was under way before is void
	up          bool
	paused      bool
	delivered   []func() // what has arrived while the process is paused
	writing     *multiraft.Batch
	tasks       map[string]uint64 // by lease: the token of the task that runs
	fence       map[string]uint64 // by lease: the highest token of a publication received
	startError  error
	relaying

	client   *lockClient // nil: none at this node
	operator *operator   // nil: none at this node

	quarantining   bool
	pauseBeforeAct time.Duration // of the process, between its next check of a lease and the act

	// What was checked last.
	checkedRevision uint64
	digestRevision  uint64

	// Counted.
	sentFrames, sentBytes         int
	receivedFrames, receivedBytes int             // by its stream
	movedAt                       []time.Duration // when a relay accepted its stream
}

// newNode returns a node that has not been started.
func newNode(w *World, i int) *Node {
	n := &Node{
		world: w, index: i, name: fmt.Sprintf("g%d", i), fs: newFS(w.rng, &w.stamps), clockRate: clockScale + w.rng.Int64N(2*maxClockDrift) - maxClockDrift,
		clockOffset: time.Duration(w.rng.Int64N(int64(time.Hour))), fence: map[string]uint64{}, tasks: map[string]uint64{},
	}
	if i >= w.Relays && i < w.Relays+w.Clients {
		n.client = &lockClient{node: n}
	}
	return n
}

// clock returns the time as the node's machine has it. It goes on while the process is paused.
func (n *Node) clock() time.Duration {
	return n.clockOffset + time.Duration(int64(n.world.Now)/clockScale*n.clockRate)
}

// State returns the coordination state of the node's replica.
func (n *Node) State() *lease.State { return n.node.State() }

// Start starts the node's process on the disk that its machine has.
func (n *Node) Start() {
	if n.up {
		return
	}
	n.incarnation++
	w := n.world
	log, stored, err := n.openLog()
	if n.startError = err; err != nil {
		return
	}
	w.trace(n.name, "starts with disk", log.Identity())
	n.log = log
	if n.node, err = node.New(n.clock(), n.config(stored)); err != nil {
		w.violated("%s does not start: %v", n.name, err)
		return
	}
	n.up, n.paused, n.delivered, n.writing = true, false, nil, nil
	if w.Relays > 0 {
		n.startRelaying()
	}
	for _, o := range w.Nodes {
		if n.connectsTo(o) {
			w.connect(n, o, n.incarnation)
			if o.up {
				w.connect(o, n, o.incarnation) // its connections to the previous process have ended
			}
		}
	}
	n.tick(n.incarnation)
	if n.client != nil {
		n.client.start()
	}
}

// openLog opens the node's log. A disk that can't be used is set aside for an empty one, as in the program.
func (n *Node) openLog() (*wal.Log, map[multiraft.Group]multiraft.PersistedGroup, error) {
	draw := n.world.rng.Uint64
	if failpoint.Enabled(failpoint.ReuseDiskIdentity) {
		draw = func() uint64 { return uint64(n.index+1) << 8 }
	}
	log, stored, err := wal.Open(n.fs, fleetID, n.name, draw)
	if errors.Is(err, wal.ErrCopied) || errors.Is(err, wal.ErrCorrupt) {
		n.world.trace(n.name, "sets its disk aside:", err)
		n.fs = newFS(n.world.rng, &n.world.stamps)
		log, stored, err = wal.Open(n.fs, fleetID, n.name, draw)
	}
	return log, stored, err
}

// config returns the configuration of the node's process.
func (n *Node) config(stored map[multiraft.Group]multiraft.PersistedGroup) node.Config {
	w := n.world
	c := node.Config{
		Fleet: fleetID, Name: n.name, Seed: w.rng.Uint64(), Disk: n.log.Identity(), Stored: stored, Overrides: n.overrides,
		UsesRelays: w.Relays > 0,
	}
	for i, o := range w.Nodes {
		if n.connectsTo(o) {
			c.Peers = append(c.Peers, o.name)
		}
		if i < w.Replicas {
			c.BootstrapReplicas = append(c.BootstrapReplicas, o.name)
		}
	}
	if !n.isRelay() {
		for i := range w.Leases {
			c.CandidateLeases = append(c.CandidateLeases, leaseName(i))
		}
	}
	return c
}

// connectsTo reports whether there are connections between two nodes: in a full mesh, and between relays.
func (n *Node) connectsTo(o *Node) bool {
	return o != n && (n.world.Relays == 0 || n.isRelay() && o.isRelay())
}

// connect has a node's hello arrive at another, retried until it does.
func (w *World) connect(n, o *Node, incarnation int) {
	w.after(w.between(minNetworkDelay, maxNetworkDelay), func() {
		if n.incarnation != incarnation {
			return
		}
		if !o.up || w.isCut(n, o) {
			w.after(reconnectInterval, func() { w.connect(n, o, incarnation) })
			return
		}
		hello := n.node.Hello()
		o.deliverTo(o.incarnation, func() {
			o.node.ReceiveHello(o.clock(), hello)
			if o.router != nil {
				o.router.Up(o.clock(), n.name)
			}
		})
	})
}

// deliver has something arrive at a node's process: later, where it is paused.
func (n *Node) deliver(do func()) {
	if n.paused {
		n.delivered = append(n.delivered, do)
		return
	}
	do()
}

// deliverTo has an event arrive at one incarnation of a process, which then does what follows from it.
func (n *Node) deliverTo(incarnation int, event func()) {
	n.deliver(func() {
		if n.incarnation == incarnation {
			event()
			n.processOutput()
		}
	})
}

// tick lets time pass in a process.
func (n *Node) tick(incarnation int) {
	if n.incarnation != incarnation {
		return
	}
	n.deliver(func() {
		if n.incarnation != incarnation {
			return
		}
		n.node.Tick(n.clock())
		n.processOutput()
		n.world.after(node.TickInterval, func() { n.tick(incarnation) })
	})
}

// Kill ends a process as kill -9 does: what its disk has not synced stays with the machine.
func (n *Node) Kill() { n.stop(false) }

// Crash ends a process with its machine: what was not synced may be lost.
func (n *Node) Crash() { n.stop(true) }

func (n *Node) stop(machine bool) {
	if !n.up {
		return
	}
	n.closeStreams(machine)
	n.up = false
	n.incarnation++
	n.delivered, n.paused = nil, false
	n.relaying = relaying{}
	clear(n.tasks)
	clear(n.fence)
	if n.writing != nil && n.world.rng.IntN(2) == 0 {
		// Part of the write that was under way is on the disk.
		n.fs.broken = errors.New("the machine has stopped")
		n.log.Write(n.writing)
		n.fs.broken = nil
		machine = true
	}
	if machine {
		n.fs.crash()
	}
	if n.client != nil {
		n.client.reset()
	}
}

// Wipe empties the disk of a node that is down.
func (n *Node) Wipe() {
	n.fs, n.overrides = newFS(n.world.rng, &n.world.stamps), node.OverrideSet{}
}

// Backup keeps a copy of the disk, for Restore.
func (n *Node) Backup() { n.backup = n.fs.copied() }

// Restore replaces the disk with its backup. With inPlace the files are the same to the file system, as
// when a backup is restored below it, so that the disk itself can't tell.
func (n *Node) Restore(inPlace bool) {
	if n.backup == nil {
		return
	}
	current := n.fs
	n.fs = n.backup.copied()
	if inPlace {
		for name, f := range current.files {
			if n.fs.files[name] != nil {
				n.fs.files[name].stamp = f.stamp
			}
		}
	}
	n.backup, n.restoredReplica = nil, n.log.Identity().ReplicaID
}

// Pause pauses a process.
func (n *Node) Pause() { n.paused = n.up }

// Resume ends a Pause: what has arrived meanwhile is delivered now.
func (n *Node) Resume() {
	if !n.paused {
		return
	}
	n.paused = false
	delivered := n.delivered
	n.delivered = nil
	for _, do := range delivered {
		do()
	}
}

// resumeAfter resumes a process later, unless it has been restarted.
func (n *Node) resumeAfter(d time.Duration) {
	incarnation := n.incarnation
	n.world.after(d, func() {
		if n.incarnation == incarnation {
			n.Resume()
		}
	})
}

// describe returns how a node stands, for errors.
func (n *Node) describe() (text string) {
	if !n.up {
		return fmt.Sprintf("\n%s down (%v)", n.name, n.startError)
	}
	s := n.node.Status(n.clock())
	if n.relayClient != nil {
		text = fmt.Sprintf("\nby %+v", n.relayClient.Status())
	} else if n.router != nil {
		text = fmt.Sprintf("\n%+v", n.router.Status())
	}
	return text + fmt.Sprintf("\n%s %s term %d leader %q session %d commit %d applied %d cleared %v replicas %v reason %s; %d sessions, grants %v",
		n.name, s.Role, s.Term, s.Leader, s.Session, s.Commit, s.Applied, n.node.Cleared(), s.Replicas, s.Reason, s.Sessions, n.node.Grants())
}
