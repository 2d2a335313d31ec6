package lease

import (
	"maps"
	"slices"
	"sort"
)

// LeaseView is what a gateway knows of a lease.
type LeaseView struct {
	Name          string `json:"name"`
	HolderSession uint64 `json:"owner"`
	Holder        string `json:"holder,omitempty"`
	Token         uint64 `json:"token"`
	TransferTo    string `json:"to,omitempty"`
}

// StateDelta is what changed in the state after a revision.
type StateDelta struct {
	Revision uint64      `json:"index"`           // that the delta leads to
	Full     bool        `json:"whole,omitempty"` // it replaces what was known before
	Members  []Member    `json:"members,omitempty"`
	Leases   []LeaseView `json:"duties,omitempty"`
	Replicas []Replica   `json:"keepers,omitempty"` // nil: unchanged
	// SessionCount is the number of sessions, in a compact delta in place of the other members;
	// 0: unchanged.
	SessionCount int `json:"count,omitempty"`
	// OverridesModRevision is the revision of the last change of Overrides, which is the complete
	// list of the fleet with ClusterID. All three are unset where the overrides are unchanged.
	ClusterID            uint64     `json:"birth,omitempty"`
	OverridesModRevision uint64     `json:"words_mod,omitempty"`
	Overrides            []Override `json:"words,omitempty"`
}

// DeltaSince returns what changed after a revision. Its cost is proportional to the changes.
func (s *State) DeltaSince(revision uint64) StateDelta { return s.deltaSince(revision, "") }

// CompactDeltaSince is DeltaSince with a single member, the named one, and the number of sessions in
// place of the others.
func (s *State) CompactDeltaSince(revision uint64, member string) StateDelta {
	return s.deltaSince(revision, member)
}

// deltaSince returns a delta; it is compact where onlyMember is not empty.
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

// addChanges adds to a delta those of the named members and leases that changed after a revision,
// and the replicas and overrides if they did.
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

// change is an entry of the change log: a member or lease that changed at a revision.
type change struct {
	revision uint64
	name     string
	isLease  bool
}

// maxChangeLog bounds the change log. Gateways that renew each second are a few entries behind; a
// delta since before the start of the log costs a pass over the whole state.
const maxChangeLog = 8192

// recordChange appends to the change log, dropping the older half where it is full.
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

// logSince returns the part of the change log after a revision.
func (s *State) logSince(revision uint64) []change {
	from := sort.Search(len(s.changeLog), func(i int) bool { return s.changeLog[i].revision > revision })
	return s.changeLog[from:]
}

// changesSince returns the names of members and leases that changed after a revision, sorted. The
// change log must reach back that far.
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

// compactChangesSince returns the names of leases that changed after a revision, sorted, and the
// number of sessions if any member did. It collects no names of members: thousands of gateways may
// open sessions at once, and each is told of the others by their number.
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
