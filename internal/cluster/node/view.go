package node

import (
	"maps"
	"slices"
	"time"

	"dunemoor/internal/cluster/failpoint"
	"dunemoor/internal/cluster/lease"
)

// view is the coordination state as received from leaders, and the leases that this gateway holds according
// to it.
type view struct {
	node         *Node
	revision     uint64 // last known revision, or 0 if the next delta must be full
	members      map[string]lease.Member
	leases       map[string]lease.LeaseView
	replicas     []lease.Replica
	leader       string
	term         uint64
	confirmedAt  time.Duration // time at which a leader last confirmed the view, or 0 if never
	sessionCount int           // number of sessions, from compact deltas
	overrides    OverrideSet

	grants   map[string]*Grant // by lease
	released map[string]uint64 // by lease: token of the grant that is being released
}

func newView(n *Node) *view {
	v := &view{
		node: n, members: map[string]lease.Member{}, leases: map[string]lease.LeaseView{},
		grants: map[string]*Grant{}, released: map[string]uint64{},
	}
	if n.replica.clusterID == 0 || n.cfg.Overrides.ClusterID == n.replica.clusterID {
		v.overrides = n.cfg.Overrides
	}
	return v
}

// apply applies the delta of a leader's reply.
func (v *view) apply(leader string, r *RenewReply) {
	d := r.Delta
	if d.Full {
		clear(v.members)
		clear(v.leases)
	}
	for _, m := range d.Members {
		v.members[m.Name] = m
	}
	if d.Replicas != nil {
		v.replicas = d.Replicas
	}
	// A partial delta that answers a request sent before revision was reset to 0 must not set revision again.
	if d.Full || v.revision > 0 {
		v.revision = max(v.revision, d.Revision)
	}
	if d.SessionCount > 0 {
		v.sessionCount = d.SessionCount
	}
	v.leader, v.term, v.confirmedAt = leader, r.Term, v.node.now
	v.applyLeases(d.Leases)
	v.applyOverrides(d)
	for name := range v.grants {
		if v.leases[name].HolderSession != v.node.session.id {
			v.drop(name)
		}
	}
}

// applyLeases updates the holders of leases. As tokens never decrease, a lease with a lower token than the
// known one is stale and is skipped.
func (v *view) applyLeases(list []lease.LeaseView) {
	for _, l := range list {
		if l.Token < v.node.publications.fences[l.Name].token {
			continue
		}
		v.leases[l.Name] = l
		v.node.publications.raiseFence(l.Name, l.Token)
		v.updateGrant(&l)
	}
}

// updateGrant adds or updates the grant of a lease that this gateway holds, and drops the grant of a lease
// that it no longer holds.
func (v *view) updateGrant(l *lease.LeaseView) {
	g, mine := v.grants[l.Name], l.HolderSession == v.node.session.id
	if !mine {
		if g != nil && g.Token <= l.Token {
			v.drop(l.Name)
		}
		return
	}
	if v.released[l.Name] >= l.Token && l.Token > 0 && !failpoint.Enabled(failpoint.ReuseToken) {
		return // the lease is being released
	}
	if g == nil || g.Token != l.Token {
		g = &Grant{Lease: l.Name, Token: l.Token, Deadline: v.node.session.deadline}
		v.grants[l.Name] = g
		v.node.out.GrantsChanged = true
		v.node.logInfo("lease acquired", "lease", l.Name, "token", l.Token)
	}
	if releasing := l.TransferTo != "" && l.TransferTo != v.node.cfg.Name; releasing != g.Releasing {
		g.Releasing = releasing
		v.node.out.GrantsChanged = true
	}
}

// applyOverrides replaces the operators' overrides with newer ones, or with those of another fleet. Older
// ones are ignored, so that a former leader can't undo a change.
func (v *view) applyOverrides(d *lease.StateDelta) {
	if d.ClusterID == 0 || d.ClusterID == v.overrides.ClusterID && d.OverridesModRevision <= v.overrides.ModRevision {
		return
	}
	v.overrides = OverrideSet{d.ClusterID, d.OverridesModRevision, d.Overrides}
	v.node.out.Overrides = new(v.overrides)
}

// extendGrants sets the deadline of all grants.
func (v *view) extendGrants(deadline time.Duration) {
	for _, g := range v.grants {
		g.Deadline = deadline
		v.node.out.GrantsChanged = true
	}
}

// repeatReleasing reports the grants again while one of them has to be released.
func (v *view) repeatReleasing() {
	for _, g := range v.grants {
		v.node.out.GrantsChanged = v.node.out.GrantsChanged || g.Releasing
	}
}

// drop ends a grant.
func (v *view) drop(name string) {
	if g := v.grants[name]; g != nil {
		delete(v.grants, name)
		v.node.out.GrantsChanged = true
		v.node.logInfo("lease no longer held", "lease", name, "token", g.Token)
	}
}

// dropAll ends all grants. It is called when the session has expired.
func (v *view) dropAll() {
	for name := range v.grants {
		v.drop(name)
	}
	clear(v.released)
}

// dropExpired ends grants that are past their deadline. Work under a lease checks the deadline itself, so
// this only updates the reported grants. If the session still exists, the next renewal restores the grant.
func (v *view) dropExpired() {
	now, deadline := v.node.now, v.node.session.deadline
	if deadline <= 0 || now < deadline || failpoint.Enabled(failpoint.IgnoreDeadline) {
		return
	}
	for name, g := range v.grants {
		if now >= g.Deadline {
			v.drop(name)
			delete(v.leases, name)
			v.revision = 0 // the next delta is full
		}
	}
}

// Overrides returns the operators' overrides that are known to this gateway.
func (n *Node) Overrides() OverrideSet { return n.view.overrides }

// Grants returns the current grants, sorted by lease name.
func (n *Node) Grants() (list []Grant) {
	for _, name := range slices.Sorted(maps.Keys(n.view.grants)) {
		list = append(list, *n.view.grants[name])
	}
	return list
}

// Grant returns the current grant of a lease. It reports false if the lease is not held.
func (n *Node) Grant(name string) (g Grant, ok bool) {
	if held := n.view.grants[name]; held != nil {
		return *held, true
	}
	return g, false
}
