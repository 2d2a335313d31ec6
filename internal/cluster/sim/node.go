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

// Node is a gateway or relay: one process and the machine that it runs on.
type Node struct {
	world *World
	index int
	name  string

	// State of the machine.
	clockRate   int64 // relative to clockScale
	clockOffset time.Duration
	fs          *memFS
	backup      *memFS           // copy of the disk, for Restore
	overrides   node.OverrideSet // operator overrides, which the program keeps in a file
	diskDelay   time.Duration    // delay added to each write
	// restoredReplica is the ID of the replica whose disk was last restored from a backup.
	restoredReplica uint64

	// State of the process.
	log           *wal.Log
	node          *node.Node
	incarnation   int // incremented by each start and stop; events for earlier incarnations are dropped
	up            bool
	paused        bool
	deferred      []func()          // events that arrived while the process is paused
	writing       *multiraft.Batch  // batch being written; nil: none
	tasks         map[string]uint64 // tokens of the running tasks, by lease
	highestTokens map[string]uint64 // highest tokens of received publications, by lease
	startError    error
	relayState

	client   *lockClient // nil: none at this node
	operator *operator   // nil: none at this node

	quarantining  bool
	pauseBeforeOp time.Duration // how long the process pauses between its next check of a lease and the fenced operation

	// Latest revisions that were checked.
	checkedRevision uint64
	digestRevision  uint64

	// Statistics.
	sentFrames, sentBytes         int
	receivedFrames, receivedBytes int             // received on the gateway's stream
	movedAt                       []time.Duration // times at which a relay accepted the gateway's stream
}

// newNode returns a node that has not been started.
func newNode(w *World, i int) *Node {
	n := &Node{
		world: w, index: i, name: fmt.Sprintf("g%d", i), fs: newFS(w.rng, &w.stamps), clockRate: clockScale + w.rng.Int64N(2*maxClockDrift) - maxClockDrift,
		clockOffset: time.Duration(w.rng.Int64N(int64(time.Hour))), highestTokens: map[string]uint64{}, tasks: map[string]uint64{},
	}
	if i >= w.Relays && i < w.Relays+w.Clients {
		n.client = &lockClient{node: n}
	}
	return n
}

// clock returns the time of the machine's clock, which also advances while the process is paused.
func (n *Node) clock() time.Duration {
	return n.clockOffset + time.Duration(int64(n.world.Now)/clockScale*n.clockRate)
}

// State returns the coordination state of the node's replica.
func (n *Node) State() *lease.State { return n.node.State() }

// Start starts the node's process with the disk of its machine.
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
		w.violationf("%s does not start: %v", n.name, err)
		return
	}
	n.up, n.paused, n.deferred, n.writing = true, false, nil, nil
	if w.Relays > 0 {
		n.startRelaying()
	}
	for _, o := range w.Nodes {
		if n.connectsTo(o) {
			w.connect(n, o, n.incarnation)
			if o.up {
				w.connect(o, n, o.incarnation) // o's connection to n's previous process has ended
			}
		}
	}
	n.tick(n.incarnation)
	if n.client != nil {
		n.client.start()
	}
}

// openLog opens the node's log. A disk that is corrupt or a copy is replaced by an empty one, as in the program.
func (n *Node) openLog() (*wal.Log, map[multiraft.Group]multiraft.PersistedGroup, error) {
	draw := n.world.rng.Uint64
	if failpoint.Enabled(failpoint.ReuseDiskIdentity) {
		draw = func() uint64 { return uint64(n.index+1) << 8 }
	}
	log, stored, err := wal.Open(n.fs, fleetID, n.name, draw)
	if errors.Is(err, wal.ErrCopied) || errors.Is(err, wal.ErrCorrupt) {
		n.world.trace(n.name, "quarantines its disk:", err)
		n.fs = newFS(n.world.rng, &n.world.stamps)
		log, stored, err = wal.Open(n.fs, fleetID, n.name, draw)
	}
	return log, stored, err
}

// config returns the configuration of the node's process, which starts with the stored groups of its log.
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

// connectsTo reports whether there are direct connections between two nodes: between all nodes of a fleet without
// relays, else between relays only.
func (n *Node) connectsTo(o *Node) bool {
	return o != n && (n.world.Relays == 0 || n.isRelay() && o.isRelay())
}

// connect delivers a node's hello to another node, and retries until that succeeds or the sender's incarnation has
// ended.
func (w *World) connect(n, o *Node, incarnation int) {
	w.afterFunc(w.drawDuration(minNetworkDelay, maxNetworkDelay), func() {
		if n.incarnation != incarnation {
			return
		}
		if !o.up || w.isCut(n, o) {
			w.afterFunc(reconnectInterval, func() { w.connect(n, o, incarnation) })
			return
		}
		hello := n.node.Hello()
		o.deliverTo(o.incarnation, func() {
			o.node.ReceiveHello(o.clock(), hello)
			if o.router != nil {
				o.router.RelayUp(o.clock(), n.name)
			}
		})
	})
}

// deliver runs an event of the node's process now or, if the process is paused, when it resumes.
func (n *Node) deliver(do func()) {
	if n.paused {
		n.deferred = append(n.deferred, do)
		return
	}
	do()
}

// deliverTo delivers an event to an incarnation of the process, and then processes the node's output. The event is
// dropped if that incarnation has ended.
func (n *Node) deliverTo(incarnation int, event func()) {
	n.deliver(func() {
		if n.incarnation == incarnation {
			event()
			n.processOutput()
		}
	})
}

// tick calls the Tick method of the node at each TickInterval until the incarnation ends.
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
		n.world.afterFunc(node.TickInterval, func() { n.tick(incarnation) })
	})
}

// Kill ends the process like kill -9. Writes that were not synced survive, as the machine keeps running.
func (n *Node) Kill() { n.stop(false) }

// Crash ends the process by a crash of its machine. Writes that were not synced may be lost.
func (n *Node) Crash() { n.stop(true) }

func (n *Node) stop(machine bool) {
	if !n.up {
		return
	}
	n.closeStreams(machine)
	n.up = false
	n.incarnation++
	n.deferred, n.paused = nil, false
	n.relayState = relayState{}
	clear(n.tasks)
	clear(n.highestTokens)
	if n.writing != nil && n.world.rng.IntN(2) == 0 {
		// Part of the batch that was being written has reached the disk.
		n.fs.syncErr = errors.New("the machine has stopped")
		n.log.Write(n.writing)
		n.fs.syncErr = nil
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

// Backup copies the disk for Restore.
func (n *Node) Backup() { n.backup = n.fs.clone() }

// Restore replaces the disk with its backup. With inPlace the files keep their identities, as when a backup is
// restored below the file system, so that the node can't detect the restore from its own disk.
func (n *Node) Restore(inPlace bool) {
	if n.backup == nil {
		return
	}
	current := n.fs
	n.fs = n.backup.clone()
	if inPlace {
		for name, f := range current.files {
			if n.fs.files[name] != nil {
				n.fs.files[name].stamp = f.stamp
			}
		}
	}
	n.backup, n.restoredReplica = nil, n.log.Identity().ReplicaID
}

// Pause pauses the process, if it runs.
func (n *Node) Pause() { n.paused = n.up }

// Resume resumes a paused process, and delivers the events that arrived in the meantime.
func (n *Node) Resume() {
	if !n.paused {
		return
	}
	n.paused = false
	deferred := n.deferred
	n.deferred = nil
	for _, do := range deferred {
		do()
	}
}

// resumeAfter resumes the process after a delay, unless it has been restarted by then.
func (n *Node) resumeAfter(d time.Duration) {
	incarnation := n.incarnation
	n.world.afterFunc(d, func() {
		if n.incarnation == incarnation {
			n.Resume()
		}
	})
}

// describe returns the status of the node, for error messages.
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
