package lease

import (
	"cmp"
	"maps"
	"slices"

	"dunemoor/internal/cluster/failpoint"
)

// OpenRequest describes the gateway that opens a session.
type OpenRequest struct {
	Name   string `json:"name"`
	DiskID uint64 `json:"disk"` // identity of its data directory
	// OpenSequence grows with each session that is opened from the same disk. A repeated number is
	// the same session.
	OpenSequence    uint64   `json:"no"`
	Zone            string   `json:"zone,omitempty"`
	Machine         string   `json:"machine,omitempty"`
	Address         string   `json:"addr,omitempty"`
	CandidateLeases []string `json:"offers,omitempty"` // leases that it can hold
	Role            Role     `json:"part,omitempty"`
}

// Role is the role of a gateway in a fleet with relays; "" in a full mesh.
type Role string

// Roles.
const (
	RoleRelay   Role = "relay"   // accepts streams of gateways, and may be a replica
	RoleGateway Role = "gateway" // has one stream to a relay
)

// Session is the time for which a gateway is a live member of the fleet. It lasts until it is closed
// or was not renewed for TTL.
type Session struct {
	ID uint64 `json:"id"`
	OpenRequest
	OpenedRevision uint64            `json:"since"`
	Results        map[uint64]Result `json:"results,omitempty"` // by request number
	LastRequest    uint64            `json:"last,omitempty"`
}

// keepResult keeps the outcome of a request for retries; 0 is a command without a request number.
func (x *Session) keepResult(request uint64, r Result) {
	if request == 0 {
		return
	}
	if x.Results == nil {
		x.Results = map[uint64]Result{}
	}
	x.Results[request] = r
	x.LastRequest = max(x.LastRequest, request)
	for old := range x.Results {
		if old+maxSessionResults <= x.LastRequest {
			delete(x.Results, old)
		}
	}
}

// openSession begins a session, and ends the one that the same disk had before.
func (s *State) openSession(c *Command) Result {
	if r := s.checkOpen(c.Open); r.Code != "" {
		return r
	}
	o := c.Open
	m := s.Members[o.Name]
	if m != nil && m.Session != 0 {
		previous := s.Sessions[m.Session]
		if previous.DiskID != o.DiskID {
			return Result{Code: NameTaken, Reason: "a live gateway with another disk has the name " + o.Name}
		}
		// A disk is used by one process at a time, so the previous one has ended.
		s.endSession(previous.ID, causeRestarted)
	}
	s.LastSessionID++
	x := &Session{ID: s.LastSessionID, OpenRequest: *o, OpenedRevision: s.Revision}
	s.shareCandidates(x)
	s.Sessions[x.ID] = x
	if m == nil {
		s.memberNames = nil
	}
	s.Members[o.Name] = &Member{o.Name, x.ID, o.DiskID, o.Zone, o.Machine, o.Address, o.OpenSequence, s.Revision, o.Role}
	s.recordChange(o.Name, false)
	s.addCandidate(x)
	s.createLeases(o.CandidateLeases)
	return Result{Code: OK, Session: x.ID}
}

// checkOpen validates an OpenRequest. The result has no code where a session is to be opened.
func (s *State) checkOpen(o *OpenRequest) Result {
	switch {
	case o == nil || o.Name == "" || len(o.Name) > MaxNameBytes:
		return rejectf("the gateway's name is missing or has more than %d bytes", MaxNameBytes)
	case len(o.CandidateLeases) > maxCandidateLeases:
		return rejectf("the gateway is a candidate for %d leases, %d at most", len(o.CandidateLeases), maxCandidateLeases)
	}
	limit := maxMeshMembers
	if o.Role != "" {
		limit = MaxMembers
	}
	m := s.Members[o.Name]
	if m == nil && len(s.Members) >= limit {
		return rejectf("the fleet has %d members, %d at most", len(s.Members), limit)
	}
	if m == nil || m.DiskID != o.DiskID {
		return Result{}
	}
	switch {
	case m.OpenSequence == o.OpenSequence && m.Session != 0:
		return Result{Code: OK, Session: m.Session}
	case o.OpenSequence <= m.OpenSequence && !failpoint.Enabled(failpoint.ReapplyDuplicates):
		return Result{Code: ResultExpired, Reason: "the gateway has opened a later session since"}
	}
	return Result{}
}

// createLeases creates the leases that do not exist yet.
func (s *State) createLeases(names []string) {
	for _, name := range names {
		if s.Leases[name] == nil && len(name) <= MaxNameBytes && name != "" && len(s.Leases) < MaxLeases {
			s.Leases[name] = &Lease{Name: name, ModRevision: s.Revision}
			s.recordChange(name, true)
		}
	}
}

// endSession ends a session and frees the leases that it held.
func (s *State) endSession(id uint64, cause string) Result {
	x := s.Sessions[id]
	if x == nil {
		return Result{Code: NoSession}
	}
	delete(s.Sessions, id)
	if m := s.Members[x.Name]; m != nil && m.Session == id {
		m.Session, m.ModRevision = 0, s.Revision
		s.recordChange(x.Name, false)
	}
	s.removeCandidate(x)
	for _, l := range s.LeasesOf(id) {
		s.freeLease(l, cause)
	}
	return Result{Code: OK}
}

// candidateSessions returns the sessions that are candidates for each lease. The index is kept as
// sessions come and go: 4,700 sessions with 500 candidate leases each are 2.4 million entries, too
// many to rebuild at each tick of a leader.
func (s *State) candidateSessions() map[string][]*Session {
	if s.candidates != nil {
		return s.candidates
	}
	s.candidates = map[string][]*Session{}
	for _, id := range slices.Sorted(maps.Keys(s.Sessions)) {
		s.addCandidate(s.Sessions[id])
	}
	return s.candidates
}

// addCandidate adds a session, whose ID is the highest so far, to the index.
func (s *State) addCandidate(x *Session) {
	if s.candidates == nil {
		return
	}
	for _, lease := range x.CandidateLeases {
		s.candidates[lease] = append(s.candidates[lease], x)
	}
}

// removeCandidate removes a session from the index.
func (s *State) removeCandidate(x *Session) {
	if s.candidates == nil {
		return
	}
	byID := func(y *Session, id uint64) int { return cmp.Compare(y.ID, id) }
	for _, lease := range x.CandidateLeases {
		if i, ok := slices.BinarySearchFunc(s.candidates[lease], x.ID, byID); ok {
			s.candidates[lease] = slices.Delete(s.candidates[lease], i, i+1)
		}
	}
}

// shareCandidates lets sessions with equal candidate leases, as most have, share one slice.
func (s *State) shareCandidates(x *Session) {
	if slices.Equal(x.CandidateLeases, s.lastCandidates) {
		x.CandidateLeases = s.lastCandidates
	}
	s.lastCandidates = x.CandidateLeases
}
