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
	DiskID uint64 `json:"disk"` // identity of the gateway's data directory
	// OpenSequence increases with each session that is opened from the same disk. A request with the number
	// of the current session is a retry and returns that session.
	OpenSequence    uint64   `json:"no"`
	Zone            string   `json:"zone,omitempty"`
	Machine         string   `json:"machine,omitempty"`
	Address         string   `json:"addr,omitempty"`
	CandidateLeases []string `json:"offers,omitempty"` // leases that the gateway can hold
	Role            Role     `json:"part,omitempty"`
}

// Role is the role of a gateway in a fleet with relays. It is empty in a full mesh.
type Role string

// Values of Role.
const (
	RoleRelay   Role = "relay"   // a relay accepts streams from gateways and may be a replica
	RoleGateway Role = "gateway" // a gateway opens one stream to a relay
)

// Session makes a gateway a live member of the fleet. It lasts until it is closed or has not been renewed
// for TTL.
type Session struct {
	ID uint64 `json:"id"`
	OpenRequest
	OpenedRevision uint64            `json:"since"`
	Results        map[uint64]Result `json:"results,omitempty"` // by request number
	LastRequest    uint64            `json:"last,omitempty"`
}

// keepResult stores the result of a request for retries. The number 0 stands for a command without a
// request number, whose result is not stored.
func (sess *Session) keepResult(request uint64, r Result) {
	if request == 0 {
		return
	}
	if sess.Results == nil {
		sess.Results = map[uint64]Result{}
	}
	sess.Results[request] = r
	sess.LastRequest = max(sess.LastRequest, request)
	for old := range sess.Results {
		if old+maxSessionResults <= sess.LastRequest {
			delete(sess.Results, old)
		}
	}
}

// openSession opens a session, and ends the previous session of the same gateway. It returns NameTaken if
// that session has another disk.
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
		// Only one process uses a disk at a time, so the process of the previous session has ended.
		s.endSession(previous.ID, causeRestarted)
	}
	s.LastSessionID++
	sess := &Session{ID: s.LastSessionID, OpenRequest: *o, OpenedRevision: s.Revision}
	s.shareCandidates(sess)
	s.Sessions[sess.ID] = sess
	if m == nil {
		s.memberNames = nil
	}
	s.Members[o.Name] = &Member{o.Name, sess.ID, o.DiskID, o.Zone, o.Machine, o.Address, o.OpenSequence, s.Revision, o.Role}
	s.recordChange(o.Name, false)
	s.addCandidate(sess)
	s.createLeases(o.CandidateLeases)
	return Result{Code: OK, Session: sess.ID}
}

// checkOpen validates an OpenRequest. The code of the result is empty if a session is to be opened.
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
	sess := s.Sessions[id]
	if sess == nil {
		return Result{Code: NoSession}
	}
	delete(s.Sessions, id)
	if m := s.Members[sess.Name]; m != nil && m.Session == id {
		m.Session, m.ModRevision = 0, s.Revision
		s.recordChange(sess.Name, false)
	}
	s.removeCandidate(sess)
	for _, l := range s.LeasesOf(id) {
		s.freeLease(l, cause)
	}
	return Result{Code: OK}
}

// candidateSessions returns the sessions that are candidates for each lease. The index is updated
// whenever a session is opened or ends: 4,700 sessions with 500 candidate leases each make 2.4 million
// entries, too many to rebuild the index in each tick of a leader.
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

// addCandidate adds a session to the index of candidates. Its ID must be the highest so far.
func (s *State) addCandidate(sess *Session) {
	if s.candidates == nil {
		return
	}
	for _, lease := range sess.CandidateLeases {
		s.candidates[lease] = append(s.candidates[lease], sess)
	}
}

// removeCandidate removes a session from the index of candidates.
func (s *State) removeCandidate(sess *Session) {
	if s.candidates == nil {
		return
	}
	byID := func(y *Session, id uint64) int { return cmp.Compare(y.ID, id) }
	for _, lease := range sess.CandidateLeases {
		if i, ok := slices.BinarySearchFunc(s.candidates[lease], sess.ID, byID); ok {
			s.candidates[lease] = slices.Delete(s.candidates[lease], i, i+1)
		}
	}
}

// shareCandidates lets a session share the slice of the session that was opened or decoded before it if
// their candidate leases are equal, as most are, to save memory.
func (s *State) shareCandidates(sess *Session) {
	if slices.Equal(sess.CandidateLeases, s.lastCandidates) {
		sess.CandidateLeases = s.lastCandidates
	}
	s.lastCandidates = sess.CandidateLeases
}
