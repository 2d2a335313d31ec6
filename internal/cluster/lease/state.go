package lease

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"dunemoor/internal/cluster/failpoint"
)

// Member is a gateway that has a session or had one before.
type Member struct {
	Name         string `json:"name"`
	Session      uint64 `json:"session"` // 0 if the session has expired or was closed
	DiskID       uint64 `json:"disk"`
	Zone         string `json:"zone,omitempty"`
	Machine      string `json:"machine,omitempty"`
	Address      string `json:"addr,omitempty"`
	OpenSequence uint64 `json:"no"` // OpenSequence of the last session
	ModRevision  uint64 `json:"mod"`
	Role         Role   `json:"part,omitempty"`
}

// State is the coordination state as of a revision. The exported fields are its stored form.
type State struct {
	Revision      uint64              `json:"index"` // revision of the last applied command
	LastToken     uint64              `json:"token"`
	LastSessionID uint64              `json:"next"`
	Sessions      map[uint64]*Session `json:"sessions"`
	Members       map[string]*Member  `json:"members"`
	Leases        map[string]*Lease   `json:"duties"`
	Replicas      map[uint64]Replica  `json:"keepers"` // by Replica.ID
	Transfers     []LeaseTransfer     `json:"changes,omitempty"`
	// ClusterID is chosen at random at bootstrap. It distinguishes fleets with the same name that were
	// bootstrapped separately.
	ClusterID uint64 `json:"birth"`
	// DesiredReplicas contains the names of the gateways that should be replicas.
	DesiredReplicas map[string]bool `json:"want"`
	// CompactedRevision is the revision of the last removal of a member or lease. A delta since an
	// earlier revision must be a full one, as deltas do not list removals.
	CompactedRevision uint64 `json:"cut,omitempty"`
	// ReplicasModRevision and OverridesModRevision are the revisions of the last changes of Replicas and
	// Overrides.
	ReplicasModRevision  uint64 `json:"keepers_mod,omitempty"`
	OverridesModRevision uint64 `json:"words_mod,omitempty"`
	// Overrides are keyed by Override.Key.
	Overrides map[string]*Override `json:"words,omitempty"`

	// The fields below are derived and not stored.

	pendingTransfers []LeaseTransfer // transfers since the last call of TakeTransfers
	changeLog        []change        // recent changes, oldest first
	changeLogStart   uint64          // changeLog contains all changes after this revision
	// candidates lists the sessions that are candidates for each lease, sorted by ID. It is nil until it
	// is first used.
	candidates     map[string][]*Session
	lastCandidates []string // candidate leases of the last session, see shareCandidates
	memberNames    []string // sorted names of all members; nil after a change
}

// NewState returns the initial state of a fleet with its bootstrap replicas.
func NewState(clusterID uint64, replicas ...Replica) *State {
	s := &State{
		ClusterID: clusterID, Sessions: map[uint64]*Session{}, Members: map[string]*Member{}, Leases: map[string]*Lease{},
		Replicas: map[uint64]Replica{}, DesiredReplicas: map[string]bool{},
	}
	for _, r := range replicas {
		s.Replicas[r.ID] = r
		s.DesiredReplicas[r.Name] = true
	}
	return s
}

// Encode returns the stored form of the state.
func (s *State) Encode() []byte {
	b, err := json.Marshal(s)
	if err != nil {
		panic(err) // unreachable: the state consists of strings, numbers and maps of these
	}
	return b
}

// Decode replaces the state with one that Encode returned.
func (s *State) Decode(b []byte) error {
	decoded := NewState(0)
	if err := json.Unmarshal(b, decoded); err != nil {
		return fmt.Errorf("decode coordination state: %w", err)
	}
	decoded.pendingTransfers, decoded.changeLogStart = s.pendingTransfers, decoded.Revision
	*s = *decoded
	for _, id := range slices.Sorted(maps.Keys(s.Sessions)) {
		s.shareCandidates(s.Sessions[id])
	}
	return nil
}

// MemberNames returns the names of all members, sorted. The caller must not change the slice.
func (s *State) MemberNames() []string {
	if s.memberNames == nil {
		s.memberNames = slices.Sorted(maps.Keys(s.Members))
	}
	return s.memberNames
}

// TakeTransfers returns the lease transfers since the last call.
func (s *State) TakeTransfers() []LeaseTransfer {
	list := s.pendingTransfers
	s.pendingTransfers = nil
	return list
}

// Apply applies the command at a revision and returns its result.
func (s *State) Apply(revision uint64, c *Command) Result {
	s.Revision = revision
	switch c.Op {
	case OpOpenSession:
		return s.openSession(c)
	case OpExpireSession:
		return s.endSession(c.Session, causeExpired)
	case OpAssign:
		return s.assign(c)
	case OpCollectGarbage:
		return s.collectGarbage(c)
	case OpUpdateOverride:
		return s.updateOverride(c)
	case OpAddReplica, OpRemoveReplica:
		return s.setDesiredReplica(c)
	}
	sess := s.Sessions[c.Session]
	if sess == nil {
		if c.Op == OpTransfer && c.Session == 0 {
			return s.transfer(c) // proposed by the leader to rebalance leases
		}
		return Result{Code: NoSession}
	}
	return s.applyInSession(sess, c)
}

// applyInSession applies a command of a session. A command with a request number is applied only once.
func (s *State) applyInSession(sess *Session, c *Command) Result {
	if r, ok := sess.Results[c.Request]; ok && c.Request > 0 && !failpoint.Enabled(failpoint.ReapplyDuplicates) {
		return r
	}
	if c.Request > 0 && c.Request+maxSessionResults <= sess.LastRequest {
		return Result{Code: ResultExpired}
	}
	var r Result
	switch c.Op {
	case OpCloseSession:
		return s.endSession(c.Session, causeClosed)
	case OpAcquire:
		r = s.acquire(sess, c)
	case OpRelease:
		r = s.release(sess, c)
	case OpTransfer:
		r = s.transfer(c)
	case OpWrite:
		r = s.writeValue(sess, c)
	case OpDrainHost, OpUndrainHost:
		r = s.applyOverride(sess, c)
	default:
		r = rejectf(reasonUnknownOp, c.Op)
	}
	sess.keepResult(c.Request, r)
	return r
}
