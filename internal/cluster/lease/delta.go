package lease

import (
	"maps"
	"slices"
	"sort"
)

// LeaseView is the state of a lease as sent to gateways.
type LeaseView struct {
	Name          string `json:"name"`
	HolderSession uint64 `json:"owner"`
	Holder        string `json:"holder,omitempty"`
	Token         uint64 `json:"token"`
	TransferTo    string `json:"to,omitempty"`
}

// StateDelta is the set of state changes since a revision.
type StateDelta struct {
	Revision uint64      `json:"index"`           // revision of the state after the delta is applied
	Full     bool        `json:"whole,omitempty"` // the delta is a complete state that replaces the receiver's
	Members  []Member    `json:"members,omitempty"`
	Leases   []LeaseView `json:"duties,omitempty"`
	Replicas []Replica   `json:"keepers,omitempty"` // nil if unchanged
	// SessionCount is the number of sessions. A compact delta contains it in place of the other members;
	// it is 0 if unchanged.
	SessionCount int `json:"count,omitempty"`
	// OverridesModRevision is the revision of the last change of Overrides, which is the complete list of
	// overrides in the fleet identified by ClusterID. All three are unset if the overrides are unchanged.
	ClusterID            uint64     `json:"birth,omitempty"`
	OverridesModRevision uint64     `json:"words_mod,omitempty"`
	Overrides            []Override `json:"words,omitempty"`
}

// DeltaSince returns the changes after a revision. Its cost is proportional to the number of changes.
func (s *State) DeltaSince(revision uint64) StateDelta { return s.deltaSince(revision, "") }

// CompactDeltaSince returns the changes after a revision like DeltaSince, except that it contains only the
// named member, and the number of sessions in place of the other members.
func (s *State) CompactDeltaSince(revision uint64, member string) StateDelta {
	return s.deltaSince(revision, member)
}

// deltaSince returns a delta, which is compact if onlyMember is not empty.
func (s *State) deltaSince(revision uint64, onlyMember string) StateDelta {
	d := StateDelta{Revision: s.Revision, Full: revision < s.CompactedRevision || revision == 0}
	var members, leases []string
	switch {
	case d.Full || revision < s.changeLogStart:
		if leases = slices.Sorted(maps.Keys(s.Leases)); onlyMember == "" {
			members = s.MemberNames()
		} else {
			d.SessionCount = len(s.Sessions)
		}
	case onlyMember != "":
		leases, d.SessionCount = s.compactChangesSince(revision)
	default:
		members, leases = s.changesSince(revision)
	}
	if onlyMember != "" {
		members = []string{onlyMember}
	}
	s.addChanges(&d, revision, members, leases)
	return d
}

// addChanges adds to a delta those of the named members and leases that changed after a revision, and
// the replicas and overrides if they changed.
func (s *State) addChanges(d *StateDelta, revision uint64, members, leases []string) {
	for _, name := range members {
		if m := s.Members[name]; m != nil && (d.Full || m.ModRevision > revision) {
			d.Members = append(d.Members, *m)
		}
	}
	for _, name := range leases {
		if l := s.Leases[name]; l != nil && (d.Full || l.ModRevision > revision) {
			d.Leases = append(d.Leases, LeaseView{l.Name, l.HolderSession, l.Holder, l.Token, l.TransferTo})
		}
	}
	if d.Full || s.ReplicasModRevision > revision {
		for _, id := range slices.Sorted(maps.Keys(s.Replicas)) {
			d.Replicas = append(d.Replicas, s.Replicas[id])
		}
	}
	if d.Full || s.OverridesModRevision > revision {
		d.ClusterID, d.OverridesModRevision, d.Overrides = s.ClusterID, s.OverridesModRevision, s.ListOverrides()
	}
}

// change is an entry of the change log: a member or lease that changed, and the revision of the change.
type change struct {
	revision uint64
	name     string
	isLease  bool
}

// maxChangeLog bounds the number of entries in the change log. Gateways renew their sessions every
// second and are therefore only a few entries behind. A delta since a revision before the start of the
// change log requires a scan of the whole state.
const maxChangeLog = 8192

// recordChange appends to the change log. If the log is full, the older half is discarded.
func (s *State) recordChange(name string, isLease bool) {
	if n := len(s.changeLog); n > 0 && s.changeLog[n-1] == (change{s.Revision, name, isLease}) {
		return
	}
	if len(s.changeLog) >= maxChangeLog {
		half := len(s.changeLog) / 2
		s.changeLogStart = s.changeLog[half-1].revision
		s.changeLog = append(s.changeLog[:0], s.changeLog[half:]...)
	}
	s.changeLog = append(s.changeLog, change{s.Revision, name, isLease})
}

// logSince returns the entries of the change log after a revision.
func (s *State) logSince(revision uint64) []change {
	from := sort.Search(len(s.changeLog), func(i int) bool { return s.changeLog[i].revision > revision })
	return s.changeLog[from:]
}

// changesSince returns the sorted names of the members and leases that changed after a revision. The
// change log must be complete since that revision.
func (s *State) changesSince(revision uint64) (members, leases []string) {
	for _, c := range s.logSince(revision) {
		if c.isLease {
			leases = append(leases, c.name)
		} else {
			members = append(members, c.name)
		}
	}
	slices.Sort(members)
	slices.Sort(leases)
	return slices.Compact(members), slices.Compact(leases)
}

// compactChangesSince returns the sorted names of the leases that changed after a revision, and the
// number of sessions if any member changed. It does not collect the names of members: thousands of
// gateways may open sessions at once, and each of them receives only the number of sessions.
func (s *State) compactChangesSince(revision uint64) (leases []string, sessions int) {
	for _, c := range s.logSince(revision) {
		if c.isLease {
			leases = append(leases, c.name)
		} else {
			sessions = len(s.Sessions)
		}
	}
	slices.Sort(leases)
	return slices.Compact(leases), sessions
}
