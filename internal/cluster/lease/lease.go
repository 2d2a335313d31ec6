// Package lease is the coordination state of a fleet: a replicated state machine that holds the
// sessions of gateways, named leases with at most one holder each, the set of replicas, and
// operators' overrides of hosts.
//
// Commands come in the order of a replicated log and are applied by [State.Apply]; every replica
// that applies the same commands has the same state. The package does no I/O and reads no clock.
// Time belongs to the leader, which tracks it in an [ExpiryTracker] and proposes commands such as
// OpExpireSession; time itself is never part of the state.
//
// Each grant of a lease has a fencing token. Tokens only grow, over all leases, so that whoever
// receives work under a lease can reject a holder that has been replaced.
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
	// MaxMembers bounds the gateways of a fleet with relays: 4,700 are required, and a third more
	// leaves room for those that are gone and not yet collected.
	MaxMembers = 6144
	// maxMeshMembers bounds a fleet without relays, where each gateway connects to each other one.
	maxMeshMembers = 1024
	// MaxLeases allows several leases for each of the pools that a configuration may have.
	MaxLeases = 4096
	// maxValues and maxValueBytes bound what a lease stores in the coordination state.
	maxValues     = 16
	maxValueBytes = 4 << 10
	// MaxNameBytes bounds the name of a gateway or lease.
	MaxNameBytes = 96
	// maxCandidateLeases bounds the leases that one gateway is a candidate for.
	maxCandidateLeases = 1024
	// maxSessionResults is how many results a session keeps for retried requests, and therefore how
	// many commands of one session may be unanswered.
	maxSessionResults = 32
	// maxTransfers bounds the history of lease transfers.
	maxTransfers = 256
	// MaxReplicas bounds the replicas: each one adds a message to every commit.
	MaxReplicas = 9
)

// Lease is a named resource with at most one holder.
type Lease struct {
	Name          string            `json:"name"`
	HolderSession uint64            `json:"owner"` // 0: the lease is free
	Holder        string            `json:"holder,omitempty"`
	Token         uint64            `json:"token"` // fencing token of the current or last grant
	SinceRevision uint64            `json:"since"` // when it was granted or freed
	TransferTo    string            `json:"to,omitempty"`
	ReleasedBy    string            `json:"avoid,omitempty"` // last in the order of candidates for the next grant
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

// Causes of a LeaseTransfer. They are part of the stored state and of log lines.
const (
	causeExpired     = "lapsed"
	causeClosed      = "closed"
	causeRestarted   = "restarted"
	causeAssigned    = "assigned"
	causeAcquired    = "claimed"
	causeReleased    = "resigned"
	causeTransferred = "moved"
	causeTakenAway   = "taken away" // by the failpoint AssignBeforeRelease only
)

// anyMember is the TransferTo of a transfer that names no target.
const anyMember = "*"

// freeLease takes a lease from its holder.
func (s *State) freeLease(l *Lease, cause string) {
	s.recordTransfer(LeaseTransfer{s.Revision, l.Name, l.Holder, "", l.Token, cause})
	l.HolderSession, l.Holder = 0, ""
	l.SinceRevision, l.ModRevision = s.Revision, s.Revision
	s.recordChange(l.Name, true)
}

// grantLease gives a free lease to a session, under a new token.
func (s *State) grantLease(l *Lease, x *Session, cause string) Result {
	if !failpoint.Enabled(failpoint.ReuseToken) || l.Token == 0 {
		s.LastToken++
		l.Token = s.LastToken
	}
	l.HolderSession, l.Holder = x.ID, x.Name
	l.SinceRevision, l.ModRevision = s.Revision, s.Revision
	l.TransferTo, l.ReleasedBy = "", ""
	s.recordChange(l.Name, true)
	s.recordTransfer(LeaseTransfer{s.Revision, l.Name, "", x.Name, l.Token, cause})
	return Result{Code: OK, Token: l.Token, Holder: x.Name}
}

func (s *State) recordTransfer(t LeaseTransfer) {
	s.Transfers = appendBounded(s.Transfers, t, maxTransfers)
	s.pendingTransfers = appendBounded(s.pendingTransfers, t, maxTransfers)
}

// appendBounded appends to a list, dropping the oldest elements over a limit.
func appendBounded[T any](list []T, x T, limit int) []T {
	list = append(list, x)
	if over := len(list) - limit; over > 0 {
		list = slices.Delete(list, 0, over)
	}
	return list
}

// assign carries out a placement decision of the leader.
func (s *State) assign(c *Command) Result {
	l, x := s.Leases[c.Lease], s.Sessions[c.Session]
	switch {
	case l == nil || x == nil:
		return Result{Code: NoSession}
	case l.Token != c.Token:
		return Result{Code: StaleToken, Token: l.Token}
	case l.HolderSession != 0 && failpoint.Enabled(failpoint.AssignBeforeRelease):
		s.freeLease(l, causeTakenAway)
	case l.HolderSession != 0:
		return Result{Code: LeaseHeld, Token: l.Token, Holder: l.Holder}
	}
	return s.grantLease(l, x, causeAssigned)
}

// acquire gives a lease to the session that asks for it, if it is free.
func (s *State) acquire(x *Session, c *Command) Result {
	l := s.Leases[c.Lease]
	if l == nil {
		if c.Lease == "" || len(c.Lease) > MaxNameBytes || len(s.Leases) >= MaxLeases {
			return rejectf(reasonLeaseNotCreated)
		}
		l = &Lease{Name: c.Lease}
		s.Leases[c.Lease] = l
	}
	switch {
	case l.HolderSession == x.ID:
		return Result{Code: OK, Token: l.Token, Holder: x.Name}
	case l.HolderSession != 0:
		return Result{Code: LeaseHeld, Token: l.Token, Holder: l.Holder}
	}
	return s.grantLease(l, x, causeAcquired)
}

// release frees a lease on behalf of its holder.
func (s *State) release(x *Session, c *Command) Result {
	l := s.Leases[c.Lease]
	if l == nil || l.HolderSession != x.ID || l.Token != c.Token {
		return Result{Code: StaleToken}
	}
	cause := causeReleased
	if l.TransferTo != "" {
		cause = causeTransferred
	}
	l.ReleasedBy = x.Name
	s.freeLease(l, cause)
	return Result{Code: OK}
}

// transfer asks the holder of a lease to release it to another member, or to any where the command
// names no target.
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

// writeValue stores a value under a lease. Only the holder may write, as proven by its token: this
// is the fence of the coordination state itself.
func (s *State) writeValue(x *Session, c *Command) Result {
	l := s.Leases[c.Lease]
	if l == nil {
		return Result{Code: StaleToken}
	}
	if (l.HolderSession != x.ID || l.Token != c.Token) && !failpoint.Enabled(failpoint.SkipWriteFence) {
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

// collectGarbage removes a member without a session, or a free lease without a candidate. The
// command is authorized by the lease that it names in Lease.
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
	for _, x := range s.Sessions {
		if slices.Contains(x.CandidateLeases, lease) {
			return true
		}
	}
	return false
}

// LeasesOf returns the leases that a session holds, ordered by name.
func (s *State) LeasesOf(session uint64) (list []*Lease) {
	for _, name := range slices.Sorted(maps.Keys(s.Leases)) {
		if l := s.Leases[name]; l.HolderSession == session {
			list = append(list, l)
		}
	}
	return list
}
