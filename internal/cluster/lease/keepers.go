package lease

import (
	"maps"
	"slices"
)

// KeeperChange is one step towards the keepers that are wanted.
type ReplicaChange struct {
	AddLearner uint64   // a replica to bring up, 0: none
	Promote    uint64   // a learner to give a vote, 0: none
	Remove     []uint64 // replicas to leave out, in the same step
	Member     string   // of the gateway it is about
}

// NextKeeper says which step comes next, if any: one at a time. A gateway that came back with
// another disk is brought up with that first, and the replica of the old disk goes out in the step
// that gives the new one its vote; caught says whether a learner has the log.
func NextReplicaChange(s *State, caught func(replica uint64) bool) (c ReplicaChange, ok bool) {
	of := map[string][]uint64{} // replicas by gateway
	for _, id := range slices.Sorted(maps.Keys(s.Replicas)) {
		name := s.Replicas[id].Name
		of[name] = append(of[name], id)
	}
	for _, name := range slices.Sorted(maps.Keys(s.DesiredReplicas)) {
		m := s.Members[name]
		if m == nil || m.Session == 0 {
			continue
		}
		k, there := s.Replicas[m.DiskID]
		switch {
		case !there:
			return ReplicaChange{AddLearner: m.DiskID, Member: name}, true
		case k.Learner:
			if !caught(m.DiskID) {
				continue
			}
			others := slices.DeleteFunc(slices.Clone(of[name]), func(id uint64) bool { return id == m.DiskID })
			return ReplicaChange{Promote: m.DiskID, Remove: others, Member: name}, true
		case len(of[name]) > 1:
			others := slices.DeleteFunc(slices.Clone(of[name]), func(id uint64) bool { return id == m.DiskID })
			return ReplicaChange{Remove: others, Member: name}, true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(of)) {
		if !s.DesiredReplicas[name] && len(of) > 1 {
			return ReplicaChange{Remove: of[name], Member: name}, true
		}
	}
	return c, false
}
