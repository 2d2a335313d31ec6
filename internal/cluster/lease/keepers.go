package lease

import (
	"maps"
	"slices"
)

// KeeperChange is one step towards the keepers that are wanted.
type KeeperChange struct {
	Learn   uint64   // a replica to bring up, 0: none
	Promote uint64   // a learner to give a vote, 0: none
	Remove  []uint64 // replicas to leave out, in the same step
	Name    string   // of the gateway it is about
}

// NextKeeper says which step comes next, if any: one at a time. A gateway that came back with
// another disk is brought up with that first, and the replica of the old disk goes out in the step
// that gives the new one its vote; caught says whether a learner has the log.
func NextKeeper(s *State, caught func(replica uint64) bool) (c KeeperChange, ok bool) {
	of := map[string][]uint64{} // replicas by gateway
	for _, id := range slices.Sorted(maps.Keys(s.Keepers)) {
		name := s.Keepers[id].Name
		of[name] = append(of[name], id)
	}
	for _, name := range slices.Sorted(maps.Keys(s.Want)) {
		m := s.Members[name]
		if m == nil || m.Session == 0 {
			continue
		}
		k, there := s.Keepers[m.Disk]
		switch {
		case !there:
			return KeeperChange{Learn: m.Disk, Name: name}, true
		case k.Learner:
			if !caught(m.Disk) {
				continue
			}
			others := slices.DeleteFunc(slices.Clone(of[name]), func(id uint64) bool { return id == m.Disk })
			return KeeperChange{Promote: m.Disk, Remove: others, Name: name}, true
		case len(of[name]) > 1:
			others := slices.DeleteFunc(slices.Clone(of[name]), func(id uint64) bool { return id == m.Disk })
			return KeeperChange{Remove: others, Name: name}, true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(of)) {
		if !s.Want[name] && len(of) > 1 {
			return KeeperChange{Remove: of[name], Name: name}, true
		}
	}
	return c, false
}
