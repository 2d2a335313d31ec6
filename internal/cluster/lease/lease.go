// Package lease implements the coordination state of a fleet: a replicated state machine that contains
// the sessions of gateways, named leases with at most one holder each, the set of replicas, and
// operators' overrides of hosts.
//
// [State.Apply] applies commands in the order of a replicated log. All replicas that apply the same
// commands have the same state. The package does no I/O and reads no clock. Only the leader measures
// time, in an [ExpiryTracker], and proposes commands such as OpExpireSession; no timestamps are part of
// the state.
//
// Each grant of a lease has a fencing token. Tokens increase strictly across all leases, so a receiver
// of requests that are made under a lease can reject those of a former holder.
//
// A revision is the log index of the command that made a change.
package lease

import (
	"maps"
	"slices"

	"dunemoor/internal/cluster/failpoint"
)

// Limits of the coordination state. A command that would exceed one is rejected with a reason.
const (
	// MaxMembers bounds the members of a fleet with relays. 4,700 gateways are required; a third more
	// allows for former members that have not been removed yet.
	MaxMembers = 6144
	// maxMeshMembers bounds the members of a fleet without relays, in which every gateway connects to all
	// others.
	maxMeshMembers = 1024
	// MaxLeases is large enough for several leases per pool with the maximum number of pools.
	MaxLeases = 4096
	// maxValues and maxValueBytes bound the number and the size of the values stored under a lease.
	maxValues     = 16
	maxValueBytes = 4 << 10
	// MaxNameBytes bounds the name of a gateway or lease and the key of a value. The key of an override may
	// have twice as many bytes.
	MaxNameBytes = 96
	// maxCandidateLeases bounds the leases for which one gateway is a candidate.
	maxCandidateLeases = 1024
	// maxSessionResults is the number of results that a session stores for retried requests, and
	// therefore the number of commands of one session that may be without a reply.
	maxSessionResults = 32
	// maxTransfers bounds the history of lease transfers.
	maxTransfers = 256
	// MaxReplicas bounds the replicas, as each one adds a message to every commit.
	MaxReplicas = 9
)

// Lease is a named resource with at most one holder.
type Lease struct {
	Name          string            `json:"name"`
	HolderSession uint64            `json:"owner"` // 0 if the lease is free
	Holder        string            `json:"holder,omitempty"`
	Token         uint64            `json:"token"` // fencing token of the current or last grant
	SinceRevision uint64            `json:"since"` // revision at which the lease was granted or freed
	TransferTo    string            `json:"to,omitempty"`
	ReleasedBy    string            `json:"avoid,omitempty"` // member that released it: the least preferred candidate
	ModRevision   uint64            `json:"mod"`
	Values        map[string]string `json:"values,omitempty"`
}

// LeaseTransfer records that a lease was granted or freed.
type LeaseTransfer struct {
	Revision uint64 `json:"index"`
	Lease    string `json:"duty"`
	From     string `json:"from,omitempty"`
	To       string `json:"to,omitempty"`
	Token    uint64 `json:"token"`
	Cause    string `json:"cause"`
}

// Values of LeaseTransfer.Cause. They are part of the stored state and of log lines.
const (
	causeExpired     = "lapsed"
	causeClosed      = "closed"
	causeRestarted   = "restarted"
	causeAssigned    = "assigned"
	causeAcquired    = "claimed"
	causeReleased    = "resigned"
	causeTransferred = "moved"
	causeTakenAway   = "taken away" // occurs only with the failpoint AssignBeforeRelease
)

// anyMember is the value of TransferTo for a transfer without a named target.
const anyMember = "*"

// freeLease ends the current grant of a lease.
func (s *State) freeLease(l *Lease, cause string) {
	s.recordTransfer(LeaseTransfer{s.Revision, l.Name, l.Holder, "", l.Token, cause})
	l.HolderSession, l.Holder = 0, ""
	l.SinceRevision, l.ModRevision = s.Revision, s.Revision
	s.recordChange(l.Name, true)
}

// grantLease grants a free lease to a session with a new token.
func (s *State) grantLease(l *Lease, sess *Session, cause string) Result {
	if !failpoint.Enabled(failpoint.ReuseToken) || l.Token == 0 {
		s.LastToken++
		l.Token = s.LastToken
	}
	l.HolderSession, l.Holder = sess.ID, sess.Name
	l.SinceRevision, l.ModRevision = s.Revision, s.Revision
	l.TransferTo, l.ReleasedBy = "", ""
	s.recordChange(l.Name, true)
	s.recordTransfer(LeaseTransfer{s.Revision, l.Name, "", sess.Name, l.Token, cause})
	return Result{Code: OK, Token: l.Token, Holder: sess.Name}
}

func (s *State) recordTransfer(t LeaseTransfer) {
	s.Transfers = appendBounded(s.Transfers, t, maxTransfers)
	s.pendingTransfers = appendBounded(s.pendingTransfers, t, maxTransfers)
}

// appendBounded appends to a list, and removes the oldest elements if the list exceeds limit.
func appendBounded[T any](list []T, x T, limit int) []T {
	list = append(list, x)
	if over := len(list) - limit; over > 0 {
		list = slices.Delete(list, 0, over)
	}
	return list
}

// assign grants a lease as decided by the leader's placement.
func (s *State) assign(c *Command) Result {
	l, sess := s.Leases[c.Lease], s.Sessions[c.Session]
	switch {
	case l == nil || sess == nil:
		return Result{Code: NoSession}
	case l.Token != c.Token:
		return Result{Code: StaleToken, Token: l.Token}
	case l.HolderSession != 0 && failpoint.Enabled(failpoint.AssignBeforeRelease):
		s.freeLease(l, causeTakenAway)
	case l.HolderSession != 0:
		return Result{Code: LeaseHeld, Token: l.Token, Holder: l.Holder}
	}
	return s.grantLease(l, sess, causeAssigned)
}

// acquire grants a lease to the requesting session, if the lease is free. A lease that does not exist is
// created.
func (s *State) acquire(sess *Session, c *Command) Result {
	l := s.Leases[c.Lease]
	if l == nil {
		if c.Lease == "" || len(c.Lease) > MaxNameBytes || len(s.Leases) >= MaxLeases {
			return rejectf(reasonLeaseNotCreated)
		}
		l = &Lease{Name: c.Lease}
		s.Leases[c.Lease] = l
	}
	switch {
	case l.HolderSession == sess.ID:
		return Result{Code: OK, Token: l.Token, Holder: sess.Name}
	case l.HolderSession != 0:
		return Result{Code: LeaseHeld, Token: l.Token, Holder: l.Holder}
	}
	return s.grantLease(l, sess, causeAcquired)
}

// release frees a lease on behalf of its holder.
func (s *State) release(sess *Session, c *Command) Result {
	l := s.Leases[c.Lease]
	if l == nil || l.HolderSession != sess.ID || l.Token != c.Token {
		return Result{Code: StaleToken}
	}
	cause := causeReleased
	if l.TransferTo != "" {
		cause = causeTransferred
	}
	l.ReleasedBy = sess.Name
	s.freeLease(l, cause)
	return Result{Code: OK}
}

// transfer requests that the holder of a lease releases it to another member, or to any member if the
// command has no target.
func (s *State) transfer(c *Command) Result {
	l, target := s.Leases[c.Lease], s.Members[c.Target]
	switch {
	case l == nil:
		return rejectf(reasonUnknownLease, c.Lease)
	case c.Token != 0 && c.Token != l.Token:
		return Result{Code: StaleToken, Token: l.Token}
	case c.Target == "" && l.HolderSession == 0:
		return rejectf(reasonNoHolder, c.Lease)
	case c.Target == "":
		return s.setTransferTarget(l, anyMember)
	case target == nil || target.Session == 0:
		return rejectf(reasonNotLive, c.Target)
	case !slices.Contains(s.Sessions[target.Session].CandidateLeases, c.Lease):
		return rejectf(reasonNoCandidate, c.Target, c.Lease)
	case l.HolderSession == target.Session:
		return Result{Code: OK, Holder: l.Holder, Token: l.Token}
	}
	return s.setTransferTarget(l, c.Target)
}

func (s *State) setTransferTarget(l *Lease, target string) Result {
	l.TransferTo, l.ModRevision = target, s.Revision
	s.recordChange(l.Name, true)
	return Result{Code: OK, Holder: l.Holder, Token: l.Token}
}

// writeValue stores a value under a lease. A write is rejected unless its session and token are those of
// the current grant, which fences off former holders.
func (s *State) writeValue(sess *Session, c *Command) Result {
	l := s.Leases[c.Lease]
	if l == nil {
		return Result{Code: StaleToken}
	}
	if (l.HolderSession != sess.ID || l.Token != c.Token) && !failpoint.Enabled(failpoint.SkipWriteFence) {
		return Result{Code: StaleToken, Token: l.Token, Holder: l.Holder}
	}
	if len(c.Key) > MaxNameBytes || len(c.Value) > maxValueBytes {
		return rejectf(reasonValueTooLong, MaxNameBytes, maxValueBytes)
	}
	if _, exists := l.Values[c.Key]; !exists && len(l.Values) >= maxValues {
		return rejectf(reasonTooManyValues, maxValues)
	}
	if l.Values == nil {
		l.Values = map[string]string{}
	}
	l.Values[c.Key], l.ModRevision = c.Value, s.Revision
	s.recordChange(l.Name, true)
	return Result{Code: OK, Token: l.Token}
}

// collectGarbage removes a member that has no session and is no replica, or a free lease without a
// candidate. The proposer must be the holder of the lease named in Lease, which authorizes the command.
func (s *State) collectGarbage(c *Command) Result {
	authority := s.Leases[c.Lease]
	if authority == nil || authority.Token != c.Token || authority.HolderSession != c.Session {
		return Result{Code: StaleToken}
	}
	if m := s.Members[c.Name]; m != nil && m.Session == 0 && !s.isReplica(m.DiskID) {
		delete(s.Members, c.Name)
		s.memberNames = nil
		s.CompactedRevision = s.Revision
		return Result{Code: OK}
	}
	if l := s.Leases[c.Name]; l != nil && l.HolderSession == 0 && !s.hasCandidate(c.Name) {
		delete(s.Leases, c.Name)
		s.CompactedRevision = s.Revision
		return Result{Code: OK}
	}
	return rejectf("%s is in use", c.Name)
}

func (s *State) hasCandidate(lease string) bool {
	for _, sess := range s.Sessions {
		if slices.Contains(sess.CandidateLeases, lease) {
			return true
		}
	}
	return false
}

// LeasesOf returns the leases that a session holds, sorted by name.
func (s *State) LeasesOf(session uint64) (list []*Lease) {
	for _, name := range slices.Sorted(maps.Keys(s.Leases)) {
		if l := s.Leases[name]; l.HolderSession == session {
			list = append(list, l)
		}
	}
	return list
}
