package sim

import (
	"fmt"
	"time"

	"dunemoor/internal/cluster/failpoint"
	"dunemoor/internal/cluster/lease"
	"dunemoor/internal/cluster/node"
)

const (
	// maxReleaseDelay is how long a task takes to stop.
	maxReleaseDelay = 10 * time.Millisecond
	// maxActDelay is the time between the check of a lease and the act, where the process is not paused.
	maxActDelay = time.Millisecond
	// writeKey is the key that holders write under; its value is their token.
	writeKey = "by"
)

// HostLedger stands for hosts that check tokens: it keeps the highest token that was seen of each lease.
type HostLedger struct {
	highest  map[string]uint64
	rejected int // acts with an older token
}

func newHostLedger() *HostLedger { return &HostLedger{highest: map[string]uint64{}} }

// act is a request to a host under a lease.
func (l *HostLedger) act(lease string, token uint64) {
	if token < l.highest[lease] {
		l.rejected++
		return
	}
	l.highest[lease] = token
}

// updateTasks starts and stops the work under a node's grants.
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
			n.scheduleAct(g.Lease, g.Token, n.incarnation, 0)
		}
	}
	for name := range n.tasks {
		if !held[name] {
			delete(n.tasks, name)
		}
	}
}

// recordGrant checks that a token is granted once.
func (w *World) recordGrant(n *Node, g node.Grant) {
	grant := g.Lease + " " + n.name
	if earlier, ok := w.grants[g.Token]; !ok {
		w.grants[g.Token] = grant
	} else if earlier != grant {
		w.violated("token %d was granted to %s and to %s", g.Token, earlier, grant)
	}
}

// stopTask ends the work under a grant, and then has the lease released.
func (n *Node) stopTask(g node.Grant) {
	delete(n.tasks, g.Lease)
	incarnation := n.incarnation
	n.world.after(n.world.between(0, maxReleaseDelay), func() {
		n.deliverTo(incarnation, func() { n.node.ReleaseStopped(n.clock(), g.Lease, g.Token) })
	})
}

// scheduleAct is the loop of a task: it checks its lease, and then acts. Any time may pass in between.
func (n *Node) scheduleAct(name string, token uint64, incarnation int, sequence uint64) {
	w := n.world
	w.after(w.between(0, 2*w.ActInterval), func() {
		n.deliver(func() {
			if n.incarnation != incarnation || n.tasks[name] != token {
				return
			}
			if n.heldToken(name) == token {
				n.actSoon(name, token, sequence)
			}
			n.scheduleAct(name, token, incarnation, sequence+1)
		})
	})
}

// actSoon acts a moment after the lease was checked, or long after, where the process is to be paused.
func (n *Node) actSoon(name string, token, sequence uint64) {
	delay := n.world.between(0, maxActDelay)
	incarnation := n.incarnation
	if pause := n.pauseBeforeAct; pause > 0 {
		n.pauseBeforeAct = 0
		n.Pause()
		n.resumeAfter(pause)
	}
	n.world.after(delay, func() {
		n.deliver(func() {
			if n.incarnation == incarnation {
				n.act(name, token, sequence)
			}
		})
	})
}

// act is an act under a lease: at a host, at the other nodes and in the coordination state.
func (n *Node) act(name string, token, sequence uint64) {
	w := n.world
	w.acts++
	w.Hosts.act(name, token)
	if w.Relays == 0 {
		n.node.Publish(n.clock(), "", name, token, sequence+1, publicationBody)
	} else if !w.publishByHand {
		n.publish(name, w.published[name].next(token))
	}
	if w.rng.IntN(4) == 0 {
		n.node.Propose(n.clock(), lease.Command{Op: lease.OpWrite, Lease: name, Token: token, Key: writeKey, Value: fmt.Sprintf("%020d", token)})
	}
	n.processOutput()
}

// heldToken returns the token with which a node considers itself the holder of a lease, by its own clock;
// 0: it does not.
func (n *Node) heldToken(name string) uint64 {
	if g, ok := n.node.Grant(name); ok && (n.clock() < g.Deadline || failpoint.Enabled(failpoint.IgnoreDeadline)) {
		return g.Token
	}
	return 0
}

// countHolders returns how many nodes consider themselves the holder of a lease now.
func (w *World) countHolders(name string) (count int) {
	for _, n := range w.Nodes {
		if n.up && n.heldToken(name) != 0 {
			count++
		}
	}
	return count
}

// currentToken returns the token of the node that considers itself the holder of a lease; 0: none does.
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
