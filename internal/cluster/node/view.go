package node

import (
	"maps"
	"slices"
	"time"

	"dunemoor/internal/cluster/failpoint"
	"dunemoor/internal/cluster/lease"
)

// view is the coordination state as leaders have sent it to this gateway, and the leases that it holds
// according to that.
type view struct {
	node         *Node
	revision     uint64 // that is known; 0: the next delta has to be full
	members      map[string]lease.Member
	leases       map[string]lease.LeaseView
	replicas     []lease.Replica
	leader       string
	term         uint64
	confirmedAt  time.Duration // when a leader last confirmed it; 0: never
	sessionCount int           // where members are not sent
	overrides    OverrideSet

	grants   map[string]*Grant // by lease
	released map[string]uint64 // token of the grant that is being released, by lease
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

// apply takes over the delta of a leader's reply.
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
	if d.Full || v.revision > 0 { // else it answers a request from before a full delta was needed
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

// applyLeases takes over who holds leases. What is older than known changes nothing: tokens only
// grow.
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

// updateGrant takes up a lease that this gateway holds now, or drops one that it holds no more.
func (v *view) updateGrant(l *lease.LeaseView) {
	g, mine := v.grants[l.Name], l.HolderSession == v.node.session.id
	if !mine {
		if g != nil && g.Token <= l.Token {
			v.drop(l.Name)
		}
		return
	}
	if v.released[l.Name] >= l.Token && l.Token > 0 && !failpoint.Enabled(failpoint.ReuseToken) {
		return // it is being released
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

// applyOverrides takes over the operators' overrides where they are newer than those known, or of
// another fleet: a former leader can't undo a change.
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

// remindReleasing reports the grants again while one of them is to be released.
func (v *view) remindReleasing() {
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

// dropAll ends all grants, as the session has expired.
func (v *view) dropAll() {
	for name := range v.grants {
		v.drop(name)
	}
	clear(v.released)
}

// dropExpired ends grants that are past their deadline. Work under a lease checks the deadline itself;
// this is for those who observe. The lease may still be this gateway's, and is then taken up again
// with the next renewal.
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

// Overrides returns the operators' overrides as known here.
func (n *Node) Overrides() OverrideSet { return n.view.overrides }

// Grants returns the leases that are held now, ordered by name.
func (n *Node) Grants() (list []Grant) {
	for _, name := range slices.Sorted(maps.Keys(n.view.grants)) {
		list = append(list, *n.view.grants[name])
	}
	return list
}

// Grant returns the grant of one lease.
func (n *Node) Grant(name string) (g Grant, ok bool) {
	if held := n.view.grants[name]; held != nil {
		return *held, true
	}
	return g, false
}
