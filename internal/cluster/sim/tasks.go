package sim

import (
	"fmt"
	"time"

	"dunemoor/internal/cluster/failpoint"
	"dunemoor/internal/cluster/lease"
	"dunemoor/internal/cluster/node"
)

const (
	// maxReleaseDelay is the longest time that a task takes to stop.
	maxReleaseDelay = 10 * time.Millisecond
	// maxFencedOpDelay is the longest time between the check of a lease and the fenced operation, unless the process
	// is paused.
	maxFencedOpDelay = time.Millisecond
	// writeKey is the key of the holder's writes to the coordination state; the value is the holder's token.
	writeKey = "by"
)

// HostLedger simulates hosts that check fencing tokens: it rejects requests whose token is lower than the highest seen
// for the lease.
type HostLedger struct {
	highest  map[string]uint64 // highest tokens seen, by lease
	rejected int               // number of requests rejected for an older token
}

func newHostLedger() *HostLedger { return &HostLedger{highest: map[string]uint64{}} }

// recordRequest records a request to a host under a lease.
func (l *HostLedger) recordRequest(lease string, token uint64) {
	if token < l.highest[lease] {
		l.rejected++
		return
	}
	l.highest[lease] = token
}

// updateTasks starts and stops tasks so that one runs for each grant that is not being released.
func (n *Node) updateTasks(grants []node.Grant) {
	held := map[string]bool{}
	for _, g := range grants {
		held[g.Lease] = true
		n.world.recordGrant(n, g)
		if g.Releasing {
			n.stopTask(g)
			continue
		}
		if n.tasks[g.Lease] != g.Token {
			n.tasks[g.Lease] = g.Token
			n.scheduleFencedOp(g.Lease, g.Token, n.incarnation, 0)
		}
	}
	for name := range n.tasks {
		if !held[name] {
			delete(n.tasks, name)
		}
	}
}

// recordGrant records a grant, and checks that its token was not granted to another node or for another lease.
func (w *World) recordGrant(n *Node, g node.Grant) {
	grant := g.Lease + " " + n.name
	if earlier, ok := w.grants[g.Token]; !ok {
		w.grants[g.Token] = grant
	} else if earlier != grant {
		w.violationf("token %d was granted to %s and to %s", g.Token, earlier, grant)
	}
}

// stopTask stops the task under a grant, and releases the lease after a random delay.
func (n *Node) stopTask(g node.Grant) {
	delete(n.tasks, g.Lease)
	incarnation := n.incarnation
	n.world.afterFunc(n.world.drawDuration(0, maxReleaseDelay), func() {
		n.deliverTo(incarnation, func() { n.node.ReleaseStopped(n.clock(), g.Lease, g.Token) })
	})
}

// scheduleFencedOp is the loop of a task: it checks that the lease is held, and then starts a fenced operation. Any
// time may pass between the check and the operation.
func (n *Node) scheduleFencedOp(name string, token uint64, incarnation int, sequence uint64) {
	w := n.world
	w.afterFunc(w.drawDuration(0, 2*w.FencedOpInterval), func() {
		n.deliver(func() {
			if n.incarnation != incarnation || n.tasks[name] != token {
				return
			}
			if n.heldToken(name) == token {
				n.startFencedOp(name, token, sequence)
			}
			n.scheduleFencedOp(name, token, incarnation, sequence+1)
		})
	})
}

// startFencedOp schedules a fenced operation shortly after the check of the lease. If pauseBeforeOp is set, the process
// is paused for that time first.
func (n *Node) startFencedOp(name string, token, sequence uint64) {
	delay := n.world.drawDuration(0, maxFencedOpDelay)
	incarnation := n.incarnation
	if pause := n.pauseBeforeOp; pause > 0 {
		n.pauseBeforeOp = 0
		n.Pause()
		n.resumeAfter(pause)
	}
	n.world.afterFunc(delay, func() {
		n.deliver(func() {
			if n.incarnation == incarnation {
				n.runFencedOp(name, token, sequence)
			}
		})
	})
}

// runFencedOp runs a fenced operation under a lease: a request to a host, a publication to the other nodes and,
// at random, a write to the coordination state.
func (n *Node) runFencedOp(name string, token, sequence uint64) {
	w := n.world
	w.fencedOps++
	w.Hosts.recordRequest(name, token)
	if w.Relays == 0 {
		n.node.Publish(n.clock(), "", name, token, sequence+1, publicationBody)
	} else if !w.publishManually {
		n.publish(name, w.published[name].next(token))
	}
	if w.rng.IntN(4) == 0 {
		n.node.Propose(n.clock(), lease.Command{Op: lease.OpWrite, Lease: name, Token: token, Key: writeKey, Value: fmt.Sprintf("%020d", token)})
	}
	n.processOutput()
}

// heldToken returns the token under which the node considers itself the holder of a lease, by its own clock, or 0 if it
// does not.
func (n *Node) heldToken(name string) uint64 {
	if g, ok := n.node.Grant(name); ok && (n.clock() < g.Deadline || failpoint.Enabled(failpoint.IgnoreDeadline)) {
		return g.Token
	}
	return 0
}

// countHolders returns the number of nodes that currently consider themselves the holder of a lease.
func (w *World) countHolders(name string) (count int) {
	for _, n := range w.Nodes {
		if n.up && n.heldToken(name) != 0 {
			count++
		}
	}
	return count
}

// currentToken returns the token of the first node that considers itself the holder of a lease, or 0 if none does.
func (w *World) currentToken(name string) uint64 {
	for _, n := range w.Nodes {
		if n.up {
			if token := n.heldToken(name); token != 0 {
				return token
			}
		}
	}
	return 0
}
