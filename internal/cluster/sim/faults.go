package sim

import (
	"errors"
	"time"

	"dunemoor/internal/cluster/lease"
)

const (
	// minFaultInterval and maxFaultInterval bound the time from one fault to the next.
	minFaultInterval, maxFaultInterval = 50 * time.Millisecond, 1500 * time.Millisecond
	// minFaultDuration and maxFaultDuration bound how long a fault lasts.
	minFaultDuration, maxFaultDuration = 100 * time.Millisecond, 5 * time.Second
	// maxFaultyShare is the largest share of frames that are lost, duplicated or delayed.
	maxFaultyShare = 0.2
	// restoreSettleTime is how long no other fault follows a disk that was restored in place: the replicas
	// that know better have to be there. Without them nobody can know, which is for another tool to mend.
	restoreSettleTime = 10 * time.Second
)

var errIO = errors.New("input/output error")

// InjectFaults injects faults that are drawn from the seed, one after another and at once, and ends all.
func (w *World) InjectFaults(d time.Duration) error {
	for end := w.Now + d; w.Now < end && w.Violation == nil; {
		w.injectFault()
		w.Run(w.between(minFaultInterval, maxFaultInterval))
	}
	if w.Violation == nil {
		w.HealAll()
	}
	return w.Violation
}

// faultKinds are the faults, each with the node that it is of and another node. Their order decides what a
// seed draws.
var faultKinds = []func(w *World, n, other *Node){
	(*World).faultKill,
	(*World).faultCrash,
	(*World).faultPause,
	(*World).faultIsolate,
	(*World).faultCutOutgoing,
	(*World).faultCutIncoming,
	(*World).faultBridge,
	(*World).faultNetwork,
	(*World).faultSlowDisk,
	(*World).faultFailingDisk,
	(*World).faultEmptiedDisk,
	(*World).faultRestoredDisk,
	(*World).faultPauseBeforeAct,
	(*World).faultPauseBeforeAct,
	(*World).faultTransfer,
}

// injectFault injects one fault.
func (w *World) injectFault() {
	if w.Now < w.noFaultsUntil {
		return
	}
	n, other := w.Nodes[w.rng.IntN(len(w.Nodes))], w.Nodes[w.rng.IntN(len(w.Nodes))]
	// Faults of the leader matter most.
	if leader := w.Leader(); leader != nil && w.rng.IntN(3) == 0 {
		n = leader
	}
	kind := w.rng.IntN(len(faultKinds))
	w.trace("fault", kind, "at", n.name)
	faultKinds[kind](w, n, other)
}

// later ends a fault after a while.
func (w *World) later(do func()) { w.after(w.between(minFaultDuration, maxFaultDuration), do) }

func (w *World) healCuts() { clear(w.cut) }

func (w *World) faultKill(n, _ *Node) {
	n.Kill()
	w.later(n.Start)
}

func (w *World) faultCrash(n, _ *Node) {
	n.Crash()
	w.later(n.Start)
}

func (w *World) faultPause(n, _ *Node) {
	n.Pause()
	n.resumeAfter(w.between(minFaultDuration, maxFaultDuration))
}

func (w *World) faultIsolate(n, _ *Node) {
	w.isolate(n)
	w.later(w.healCuts)
}

// faultCutOutgoing lets a node receive and not send.
func (w *World) faultCutOutgoing(n, _ *Node) {
	for _, o := range w.Nodes {
		if o != n {
			w.Cut(n, o)
		}
	}
	w.later(w.healCuts)
}

// faultCutIncoming lets a node send and not receive.
func (w *World) faultCutIncoming(n, _ *Node) {
	for _, o := range w.Nodes {
		if o != n {
			w.Cut(o, n)
		}
	}
	w.later(w.healCuts)
}

// faultBridge makes two halves that are both connected with one node.
func (w *World) faultBridge(bridge, _ *Node) {
	split := 1 + w.rng.IntN(len(w.Nodes))
	for i, x := range w.Nodes {
		for j, y := range w.Nodes {
			if x != bridge && y != bridge && (i < split) != (j < split) {
				w.Cut(x, y)
			}
		}
	}
	w.later(w.healCuts)
}

func (w *World) faultNetwork(_, _ *Node) {
	w.faults = NetworkFaults{
		Lost: w.rng.Float64() * maxFaultyShare, Duplicated: w.rng.Float64() * maxFaultyShare, Delayed: w.rng.Float64() * maxFaultyShare,
		MaxDelay: w.between(time.Millisecond, 4*time.Second),
	}
	w.later(func() { w.faults = NetworkFaults{} })
}

func (w *World) faultSlowDisk(n, _ *Node) {
	n.diskDelay = w.between(10*time.Millisecond, 3*time.Second)
	w.later(func() { n.diskDelay = 0 })
}

// faultFailingDisk makes a disk full, or its fsyncs fail, until a crash or the end of all faults.
func (w *World) faultFailingDisk(n, _ *Node) {
	if w.rng.IntN(4) != 0 || !w.disksIntact() {
		return
	}
	if n.fs.full = w.rng.IntN(2) == 0; !n.fs.full {
		n.fs.broken = errIO
	}
}

// faultEmptiedDisk empties a disk: one at a time, as two of three would be a lost majority.
func (w *World) faultEmptiedDisk(n, _ *Node) {
	if w.disksIntact() && w.Recovered() {
		n.Crash()
		n.Wipe()
		w.later(n.Start)
	}
}

// faultRestoredDisk makes a backup of a disk, or restores the one that was made.
func (w *World) faultRestoredDisk(n, _ *Node) {
	if n.backup == nil && n.up {
		n.Backup()
		return
	}
	inPlace := w.rng.IntN(2) == 0
	if !w.disksIntact() || !w.Recovered() || inPlace && !w.undisturbed() {
		return
	}
	if inPlace {
		w.noFaultsUntil = w.Now + restoreSettleTime
	}
	n.Crash()
	n.Restore(inPlace)
	w.later(n.Start)
}

// faultPauseBeforeAct pauses a lease holder between its check of the lease and the act, for up to three TTLs.
func (w *World) faultPauseBeforeAct(n, _ *Node) {
	for _, o := range w.Nodes {
		if o.up && !o.paused && len(o.tasks) > 0 {
			n = o
			if w.rng.IntN(3) == 0 {
				break
			}
		}
	}
	n.pauseBeforeAct = w.between(lease.TTL/2, 3*lease.TTL)
}

func (w *World) faultTransfer(_, to *Node) {
	if leader := w.Leader(); leader != nil && w.Leases > 0 {
		leader.transfer(leaseName(w.rng.IntN(w.Leases)), to.name)
	}
}

// transfer has a lease transferred to a node, or to any ("").
func (n *Node) transfer(name, to string) {
	n.node.Propose(n.clock(), lease.Command{Op: lease.OpTransfer, Lease: name, Target: to})
	n.processOutput()
}

// undisturbed reports whether no node is down, paused, slow or cut off.
func (w *World) undisturbed() bool {
	for _, n := range w.Nodes {
		if !n.up || n.paused || n.pauseBeforeAct > 0 || n.diskDelay > 0 {
			return false
		}
	}
	return len(w.cut) == 0 && w.faults == NetworkFaults{}
}

// disksIntact reports whether no disk is lost that the coordination state still counts on: losing a second
// one would lose what no replica has any more, which is for another tool to mend.
func (w *World) disksIntact() bool {
	leader := w.Leader()
	if leader == nil {
		return false
	}
	for _, r := range leader.node.Status(leader.clock()).Replicas {
		if !w.hasReplica(r.ID) {
			return false
		}
	}
	return true
}

// hasReplica reports whether a node runs the replica, on a disk that was not restored.
func (w *World) hasReplica(id uint64) bool {
	for _, n := range w.Nodes {
		if n.up && n.node.Halted() == nil && n.log.Identity().ReplicaID == id && n.restoredReplica != id {
			return true
		}
	}
	return false
}
