package sim

import (
	"maps"
	"slices"

	"dunemoor/internal/cluster/lease"
)

// digestInterval is the number of revisions between two states that are compared as a whole. States that
// differ stay different, so not every revision has to be compared; encoding every fourth state took a quarter
// of a run's time.
const digestInterval = 32

// causeExpired is the transfer cause, in the coordination state, of a lease whose holder's session expired.
const causeExpired = "lapsed"

// check checks the invariants after a step of a node. grantsChanged reports whether the step changed its grants.
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
	// A node becomes a holder by its own view, or extends its deadline, only if its grants have changed.
	if !grantsChanged {
		return
	}
	for _, g := range n.node.Grants() {
		if count := w.countHolders(g.Lease); count > 1 {
			w.violationf("%d nodes consider themselves the holder of %s", count, g.Lease)
		}
	}
}

// checkDigest checks that the state of a node is equal to that of other nodes at the same revision.
func (w *World) checkDigest(n *Node, s *lease.State) {
	sum := digest(s.Encode())
	if earlier, ok := w.digests[s.Revision]; !ok {
		w.digests[s.Revision] = sum
	} else if earlier != sum {
		w.violationf("%s has a state at revision %d that differs from another node's", n.name, s.Revision)
	}
}

// checkState checks a new revision of the coordination state against the previous one: tokens must not decrease,
// and no write with an older token may be accepted after one with a newer token.
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
		w.violationf("the token of %s decreased from %d to %d", name, earlier, l.Token)
	case l.Token == earlier && l.HolderSession != 0 && holder != 0 && holder != l.HolderSession:
		w.violationf("%s has a new holder with the same token %d", name, l.Token)
	}
	w.leaseTokens[name] = l.Token
	if l.HolderSession != 0 {
		w.leaseHolders[name] = l.HolderSession
	}
	writeToken := l.Values[writeKey]
	if writeToken < w.lastWriteTokens[name] {
		w.violationf("a write to %s with token %s was accepted after one with %s", name, writeToken, w.lastWriteTokens[name])
		return
	}
	w.lastWriteTokens[name] = writeToken
}

// checkToken checks that an operation accepted under a lease has no lower token than those accepted before. where names
// the kind and place of the operation, for the error.
func (w *World) checkToken(where, name string, token uint64, highest map[string]uint64) {
	if token < highest[name] {
		w.violationf("%s: an operation under %s with token %d was accepted after one with %d", where, name, token, highest[name])
	}
	highest[name] = token
}
