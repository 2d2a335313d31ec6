package lease

import (
	"maps"
	"slices"
)

// Replica is a gateway that holds a copy of the coordination state.
type Replica struct {
	ID      uint64 `json:"replica"` // identity of the gateway's disk
	Name    string `json:"name"`
	Learner bool   `json:"learner,omitempty"` // the replica has no vote yet
}

// setDesiredReplica adds a gateway to the desired replicas or removes it.
func (s *State) setDesiredReplica(c *Command) Result {
	m := s.Members[c.Name]
	switch add := c.Op == OpAddReplica; {
	case add && (m == nil || m.Session == 0):
		return rejectf("%s is not a member with a session", c.Name)
	case add && m.Role == RoleGateway:
		return rejectf("%s is not a relay: only relays are connected to one another and can be replicas", c.Name)
	case add && !s.DesiredReplicas[c.Name] && len(s.DesiredReplicas) >= MaxReplicas:
		return rejectf("there are %d replicas, %d at most", len(s.DesiredReplicas), MaxReplicas)
	case add:
		s.DesiredReplicas[c.Name] = true
	case !s.DesiredReplicas[c.Name]:
		return rejectf("%s is not a replica", c.Name)
	case len(s.DesiredReplicas) == 1:
		return rejectf("%s is the last replica", c.Name)
	default:
		delete(s.DesiredReplicas, c.Name)
	}
	return Result{Code: OK}
}

func (s *State) isReplica(disk uint64) bool {
	_, ok := s.Replicas[disk]
	return ok
}

// SetReplicas replaces the replicas after a change of the Raft group's configuration at a revision. The
// map names contains the gateway names of the replicas that the change added, by replica ID.
func (s *State) SetReplicas(revision uint64, names map[uint64]string, voters, learners []uint64) {
	s.Revision, s.ReplicasModRevision = revision, revision
	previous := s.Replicas
	s.Replicas = map[uint64]Replica{}
	add := func(ids []uint64, learner bool) {
		for _, id := range ids {
			r := Replica{id, previous[id].Name, learner}
			if name := names[id]; name != "" {
				r.Name = name
			}
			s.Replicas[id] = r
		}
	}
	add(voters, false)
	add(learners, true)
}

// ReplicaChange is one step from the current replicas to the desired ones.
type ReplicaChange struct {
	AddLearner uint64   // replica to add without a vote, or 0
	Promote    uint64   // learner to promote to a voter, or 0
	Remove     []uint64 // replicas to remove in the same step
	Member     string   // name of the gateway whose replicas change
}

// NextReplicaChange returns the next step, if one is needed. Steps are made one at a time. A gateway
// that returns with a new disk is first added as a learner; the replica of its old disk is removed in
// the step that promotes the learner. The function caughtUp reports whether a learner's log is close
// enough to the leader's.
func NextReplicaChange(s *State, caughtUp func(replica uint64) bool) (c ReplicaChange, ok bool) {
	replicasOf := map[string][]uint64{} // replica IDs by gateway
	for _, id := range slices.Sorted(maps.Keys(s.Replicas)) {
		name := s.Replicas[id].Name
		replicasOf[name] = append(replicasOf[name], id)
	}
	for _, name := range slices.Sorted(maps.Keys(s.DesiredReplicas)) {
		if c, ok := nextChangeOf(s, name, replicasOf[name], caughtUp); ok {
			return c, true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(replicasOf)) {
		if !s.DesiredReplicas[name] && len(replicasOf) > 1 {
			return ReplicaChange{Remove: replicasOf[name], Member: name}, true
		}
	}
	return c, false
}

// nextChangeOf returns the next step for one gateway that should be a replica.
func nextChangeOf(s *State, name string, replicas []uint64, caughtUp func(uint64) bool) (c ReplicaChange, ok bool) {
	m := s.Members[name]
	if m == nil || m.Session == 0 {
		return c, false
	}
	others := slices.DeleteFunc(slices.Clone(replicas), func(id uint64) bool { return id == m.DiskID })
	r, exists := s.Replicas[m.DiskID]
	switch {
	case !exists:
		return ReplicaChange{AddLearner: m.DiskID, Member: name}, true
	case r.Learner && !caughtUp(m.DiskID):
		return c, false
	case r.Learner:
		return ReplicaChange{Promote: m.DiskID, Remove: others, Member: name}, true
	case len(replicas) > 1:
		return ReplicaChange{Remove: others, Member: name}, true
	}
	return c, false
}
