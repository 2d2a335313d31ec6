package sim

import (
	"maps"
	"slices"

	"dunemoor/internal/cluster/lease"
)

// digestInterval is how many entries lie between two states that are compared as a whole: states that
// differ stay different. Encoding every fourth took a quarter of a run's time.
const digestInterval = 32

// causeExpired is how the coordination state names the cause of a lease that was lost with its session.
const causeExpired = "lapsed"

// check checks the invariants after each step of a node.
func (w *World) check(n *Node, grantsChanged bool) {
	s := n.node.State()
	if s.ClusterID != 0 && n.checkedRevision != s.Revision {
		n.checkedRevision = s.Revision
		w.checkState(s)
	}
	if s.ClusterID != 0 && n.digestRevision != s.Revision && s.Revision%digestInterval == 0 {
		n.digestRevision = s.Revision
		w.checkDigest(n, s)
	}
	// A node starts to consider itself a holder, or does so for longer, only where its grants have changed.
	if !grantsChanged {
		return
	}
	for _, g := range n.node.Grants() {
		if count := w.countHolders(g.Lease); count > 1 {
			w.violated("%d nodes consider themselves the holder of %s", count, g.Lease)
		}
	}
}

// checkDigest checks that all replicas have the same state at a revision.
func (w *World) checkDigest(n *Node, s *lease.State) {
	sum := digest(s.Encode())
	if earlier, ok := w.digests[s.Revision]; !ok {
		w.digests[s.Revision] = sum
	} else if earlier != sum {
		w.violated("%s has another state at revision %d than a node before", n.name, s.Revision)
	}
}

// checkState follows the coordination state from one revision to the next: tokens only grow, and no write
// with an older token than another is accepted.
func (w *World) checkState(s *lease.State) {
	if s.Revision <= w.revision {
		return
	}
	w.revision = s.Revision
	for _, name := range slices.Sorted(maps.Keys(s.Leases)) {
		w.checkLease(name, s.Leases[name])
	}
	for _, t := range s.Transfers {
		if t.Revision == s.Revision && t.Cause == causeExpired {
			w.Expirations++
		}
	}
}

func (w *World) checkLease(name string, l *lease.Lease) {
	earlier := w.leaseTokens[name]
	holder := w.leaseHolders[name]
	switch {
	case l.Token < earlier:
		w.violated("the token of %s went from %d to %d", name, earlier, l.Token)
	case l.Token == earlier && l.HolderSession != 0 && holder != 0 && holder != l.HolderSession:
		w.violated("%s has another holder with the same token %d", name, l.Token)
	}
	w.leaseTokens[name] = l.Token
	if l.HolderSession != 0 {
		w.leaseHolders[name] = l.HolderSession
	}
	writer := l.Values[writeKey]
	if writer < w.lastWriter[name] {
		w.violated("a write to %s with token %s was accepted after one with %s", name, writer, w.lastWriter[name])
		return
	}
	w.lastWriter[name] = writer
}

// checkFence checks that what was accepted under a lease has no older token than what was accepted before.
func (w *World) checkFence(where, name string, token uint64, highest map[string]uint64) {
	if token < highest[name] {
		w.violated("%s: an act under %s with token %d was accepted after one with %d", where, name, token, highest[name])
	}
	highest[name] = token
}
