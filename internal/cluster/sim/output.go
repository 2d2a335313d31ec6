package sim

import (
	"errors"
	"time"

	"dunemoor/internal/cluster/multiraft"
	"dunemoor/internal/cluster/node"
	"dunemoor/internal/cluster/relay"
	"dunemoor/internal/cluster/wal"
)

// quarantineDelay is the time that the program takes to quarantine a disk and to join with an empty one.
const quarantineDelay = time.Second

// processOutput processes the output of the node and of its relay Router or Client until there is none left.
func (n *Node) processOutput() {
	n.processNodeOutput()
	for incarnation := n.incarnation; n.up && n.incarnation == incarnation && n.processRelayOutput(); {
		n.processNodeOutput()
	}
}

// processNodeOutput processes the output of the node: writes, frames, outcomes, publications and changed grants.
func (n *Node) processNodeOutput() {
	o := n.node.TakeOutput()
	if o.ClusterID != 0 {
		if err := n.log.SetClusterID(o.ClusterID); err != nil {
			n.node.WriteFailed(n.clock(), err)
		}
	}
	if o.Write != nil {
		n.write(o.Write)
	}
	for _, f := range o.Frames {
		if n.world.Relays > 0 {
			n.sendByRelay(f)
		} else {
			n.send(f)
		}
	}
	n.reportRenewals(&o)
	if o.Reconnected {
		n.requestResync()
	}
	for _, r := range o.ResyncRequests {
		n.republish(r)
	}
	n.reportOutcomes(o.Outcomes)
	if o.Overrides != nil {
		n.overrides = *o.Overrides
	}
	for _, p := range o.Publications {
		n.receivePublication(&p)
	}
	n.world.traceLog(n.name, o.Log)
	if o.GrantsChanged {
		n.updateTasks(o.Grants)
	}
	n.world.check(n, o.GrantsChanged)
	if errors.Is(n.node.Halted(), wal.ErrCopied) && !n.quarantining {
		n.quarantine()
	}
}

// reportOutcomes passes the outcomes of commands to the node's client and operator.
func (n *Node) reportOutcomes(list []node.Outcome) {
	for _, outcome := range list {
		if n.client != nil {
			n.client.receive(outcome)
		}
		if n.operator != nil {
			n.operator.receive(outcome)
		}
	}
}

// quarantine restarts the node with an empty disk, as the program does if its disk is a copy.
func (n *Node) quarantine() {
	n.quarantining = true
	incarnation := n.incarnation
	n.world.afterFunc(quarantineDelay, func() {
		n.quarantining = false
		if n.incarnation == incarnation {
			n.Kill()
			n.Wipe()
			n.Start()
		}
	})
}

// write writes and syncs a batch after the delay of the disk, and reports the result to the node.
func (n *Node) write(b *multiraft.Batch) {
	n.writing = b
	incarnation := n.incarnation
	delay := n.world.drawDuration(minFsyncDelay, maxFsyncDelay) + n.diskDelay
	n.world.afterFunc(delay, func() {
		if n.incarnation != incarnation || n.node.Halted() != nil {
			return
		}
		n.writing = nil
		if err := n.log.Write(b); err != nil {
			n.deliverTo(incarnation, func() { n.node.WriteFailed(n.clock(), err) })
			return
		}
		n.deliverTo(incarnation, func() { n.node.Persisted(n.clock(), b.ID) })
	})
}

// send sends a frame to another node, subject to the faults of the network.
func (n *Node) send(f node.Frame) {
	w := n.world
	n.countSent(len(f.Body))
	faults := w.faults
	if faults.Lost > 0 && w.rng.Float64() < faults.Lost {
		if f.SnapshotTo != 0 { // snapshots have a separate connection, which reports the loss
			n.reportSnapshot(f.SnapshotTo, false, n.incarnation)
		}
		return
	}
	delay := w.drawDuration(minNetworkDelay, maxNetworkDelay)
	if faults.Delayed > 0 && w.rng.Float64() < faults.Delayed {
		delay += w.drawDuration(0, faults.MaxDelay)
	}
	n.transmit(f, delay)
	if faults.Duplicated > 0 && w.rng.Float64() < faults.Duplicated {
		n.transmit(f, delay+w.drawDuration(0, faults.MaxDelay))
	}
}

// countSent counts a sent frame.
func (n *Node) countSent(bytes int) {
	n.world.Frames++
	n.sentFrames++
	n.sentBytes += bytes
}

// transmit delivers a frame after a delay, if the receiver is still the same process and reachable by then.
func (n *Node) transmit(f node.Frame, delay time.Duration) {
	w := n.world
	to := w.byName[f.To]
	receiver, sender := to.incarnation, n.incarnation
	w.afterFunc(delay, func() {
		ok := to.up && to.incarnation == receiver && !w.isCut(n, to)
		if f.SnapshotTo != 0 {
			n.reportSnapshot(f.SnapshotTo, ok, sender)
		}
		if ok {
			to.deliverTo(receiver, func() { to.receive(n, f) })
		}
	})
}

// receive handles a frame from another node.
func (n *Node) receive(from *Node, f node.Frame) {
	if f.Kind == relay.KindRecord || f.Kind == relay.KindRoutes {
		n.router.ReceiveFromRelay(n.clock(), from.name, f.Kind, f.Body)
		return
	}
	if err := n.node.Receive(n.clock(), from.name, f.Kind, f.Body); err != nil {
		n.world.violationf("%s can't decode a frame of %s: %v", n.name, from.name, err)
	}
}

// reportSnapshot reports to the sender of a snapshot, after a network delay, whether it was delivered.
func (n *Node) reportSnapshot(replica uint64, ok bool, incarnation int) {
	w := n.world
	w.afterFunc(w.drawDuration(minNetworkDelay, maxNetworkDelay), func() {
		n.deliverTo(incarnation, func() { n.node.SnapshotSent(n.clock(), replica, ok) })
	})
}
