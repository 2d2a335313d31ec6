package sim

import (
	"errors"
	"time"

	"dunemoor/internal/cluster/lease"
)

const (
	// minFaultInterval and maxFaultInterval bound the time between two injections of faults.
	minFaultInterval, maxFaultInterval = 50 * time.Millisecond, 1500 * time.Millisecond
	// minFaultDuration and maxFaultDuration bound how long a fault lasts.
	minFaultDuration, maxFaultDuration = 100 * time.Millisecond, 5 * time.Second
	// maxFaultyShare is the largest share of frames that is lost, duplicated or delayed, for each of the three.
	maxFaultyShare = 0.2
	// restoreSettleTime is how long no other fault is injected after a disk was restored in place: only the
	// other replicas can detect the restore, so they must be available. Without them it can't be detected;
	// repairing that is left to another tool.
	restoreSettleTime = 10 * time.Second
)

var errIO = errors.New("input/output error")

// InjectFaults injects faults that are drawn from the seed for a duration, so that several may be active at a time,
// and then ends all of them.
func (w *World) InjectFaults(d time.Duration) error {
	for end := w.Now + d; w.Now < end && w.Violation == nil; {
		w.injectFault()
		w.Run(w.drawDuration(minFaultInterval, maxFaultInterval))
	}
	if w.Violation == nil {
		w.HealAll()
	}
	return w.Violation
}

// faultKinds are the functions that inject a fault, called with the target node and another random node. Their order
// determines which faults a seed draws.
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
	(*World).faultPauseBeforeOp,
	(*World).faultPauseBeforeOp,
	(*World).faultTransfer,
}

// injectFault injects a random fault at a random node.
func (w *World) injectFault() {
	if w.Now < w.noFaultsUntil {
		return
	}
	n, other := w.Nodes[w.rng.IntN(len(w.Nodes))], w.Nodes[w.rng.IntN(len(w.Nodes))]
	// The leader is chosen more often than other nodes, as its faults have the largest effect.
	if leader := w.Leader(); leader != nil && w.rng.IntN(3) == 0 {
		n = leader
	}
	kind := w.rng.IntN(len(faultKinds))
	w.trace("fault", kind, "at", n.name)
	faultKinds[kind](w, n, other)
}

// endFaultLater calls do, which ends a fault, after a random fault duration.
func (w *World) endFaultLater(do func()) {
	w.afterFunc(w.drawDuration(minFaultDuration, maxFaultDuration), do)
}

func (w *World) healCuts() { clear(w.cut) }

func (w *World) faultKill(n, _ *Node) {
	n.Kill()
	w.endFaultLater(n.Start)
}

func (w *World) faultCrash(n, _ *Node) {
	n.Crash()
	w.endFaultLater(n.Start)
}

func (w *World) faultPause(n, _ *Node) {
	n.Pause()
	n.resumeAfter(w.drawDuration(minFaultDuration, maxFaultDuration))
}

func (w *World) faultIsolate(n, _ *Node) {
	w.isolate(n)
	w.endFaultLater(w.healCuts)
}

// faultCutOutgoing drops all frames that a node sends; it still receives.
func (w *World) faultCutOutgoing(n, _ *Node) {
	for _, o := range w.Nodes {
		if o != n {
			w.Cut(n, o)
		}
	}
	w.endFaultLater(w.healCuts)
}

// faultCutIncoming drops all frames that are sent to a node; it can still send.
func (w *World) faultCutIncoming(n, _ *Node) {
	for _, o := range w.Nodes {
		if o != n {
			w.Cut(o, n)
		}
	}
	w.endFaultLater(w.healCuts)
}

// faultBridge partitions the fleet into two groups whose only connection is through one node, the bridge.
func (w *World) faultBridge(bridge, _ *Node) {
	split := 1 + w.rng.IntN(len(w.Nodes))
	for i, x := range w.Nodes {
		for j, y := range w.Nodes {
			if x != bridge && y != bridge && (i < split) != (j < split) {
				w.Cut(x, y)
			}
		}
	}
	w.endFaultLater(w.healCuts)
}

func (w *World) faultNetwork(_, _ *Node) {
	w.faults = NetworkFaults{
		Lost: w.rng.Float64() * maxFaultyShare, Duplicated: w.rng.Float64() * maxFaultyShare, Delayed: w.rng.Float64() * maxFaultyShare,
		MaxDelay: w.drawDuration(time.Millisecond, 4*time.Second),
	}
	w.endFaultLater(func() { w.faults = NetworkFaults{} })
}

func (w *World) faultSlowDisk(n, _ *Node) {
	n.diskDelay = w.drawDuration(10*time.Millisecond, 3*time.Second)
	w.endFaultLater(func() { n.diskDelay = 0 })
}

// faultFailingDisk makes the writes to a disk fail for lack of space, or its fsyncs fail, until a crash or the end of
// all faults.
func (w *World) faultFailingDisk(n, _ *Node) {
	if w.rng.IntN(4) != 0 || !w.disksIntact() {
		return
	}
	if n.fs.full = w.rng.IntN(2) == 0; !n.fs.full {
		n.fs.syncErr = errIO
	}
}

// faultEmptiedDisk empties the disk of a node, one node at a time: two lost disks of three replicas are a lost majority.
func (w *World) faultEmptiedDisk(n, _ *Node) {
	if w.disksIntact() && w.Recovered() {
		n.Crash()
		n.Wipe()
		w.endFaultLater(n.Start)
	}
}

// faultRestoredDisk backs up the disk of a node, or restores the backup if there is one.
func (w *World) faultRestoredDisk(n, _ *Node) {
	if n.backup == nil && n.up {
		n.Backup()
		return
	}
	inPlace := w.rng.IntN(2) == 0
	if !w.disksIntact() || !w.Recovered() || inPlace && !w.noFaultsActive() {
		return
	}
	if inPlace {
		w.noFaultsUntil = w.Now + restoreSettleTime
	}
	n.Crash()
	n.Restore(inPlace)
	w.endFaultLater(n.Start)
}

// faultPauseBeforeOp pauses a lease holder between its check of the lease and the fenced operation, for up to
// three TTLs.
func (w *World) faultPauseBeforeOp(n, _ *Node) {
	for _, o := range w.Nodes {
		if o.up && !o.paused && len(o.tasks) > 0 {
			n = o
			if w.rng.IntN(3) == 0 {
				break
			}
		}
	}
	n.pauseBeforeOp = w.drawDuration(lease.TTL/2, 3*lease.TTL)
}

func (w *World) faultTransfer(_, to *Node) {
	if leader := w.Leader(); leader != nil && w.Leases > 0 {
		leader.transfer(leaseName(w.rng.IntN(w.Leases)), to.name)
	}
}

// transfer proposes the transfer of a lease to a node, or to any node if to is "".
func (n *Node) transfer(name, to string) {
	n.node.Propose(n.clock(), lease.Command{Op: lease.OpTransfer, Lease: name, Target: to})
	n.processOutput()
}

// noFaultsActive reports whether all nodes are up and not paused, no disk is slow, and the network has no faults.
func (w *World) noFaultsActive() bool {
	for _, n := range w.Nodes {
		if !n.up || n.paused || n.pauseBeforeOp > 0 || n.diskDelay > 0 {
			return false
		}
	}
	return len(w.cut) == 0 && w.faults == NetworkFaults{}
}

// disksIntact reports whether a running node has the original disk of every replica that the coordination state lists.
// Losing a second disk could lose entries that no replica has any more; repairing that is left to another tool.
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

// hasReplica reports whether a running node has the replica, on a disk that was not restored from a backup.
func (w *World) hasReplica(id uint64) bool {
	for _, n := range w.Nodes {
		if n.up && n.node.Halted() == nil && n.log.Identity().ReplicaID == id && n.restoredReplica != id {
			return true
		}
	}
	return false
}
