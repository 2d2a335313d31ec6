package lease

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"

	"dunemoor/internal/cluster/failpoint"
)

// spare is how many more duties one gateway may hold than another that could hold them, before
// one is moved: with 1 a duty would go to and fro.
const maxImbalance = 2

// Place says which free duties go to whom, as commands for the record: to whoever was named by a
// move, else to the gateway that offers it and holds least; where several do, the same at every
// leader. Duties that are held stay.
func AssignFree(s *State) (list []Command) {
	load := map[uint64]int{}
	offers := s.candidateSessions()
	var free []*Lease
	for _, d := range s.Leases {
		if d.HolderSession != 0 && !(failpoint.Enabled(failpoint.AssignBeforeRelease) && d.TransferTo != "") {
			load[d.HolderSession]++
		} else if len(offers[d.Name]) > 0 {
			free = append(free, d)
		}
	}
	slices.SortFunc(free, func(a, b *Lease) int { return cmp.Compare(a.Name, b.Name) })
	for _, d := range free {
		x := s.chooseHolder(d, offers[d.Name], load)
		if x == nil {
			continue
		}
		load[x.ID]++
		list = append(list, Command{Op: OpAssign, Lease: d.Name, Token: d.Token, Session: x.ID})
	}
	return list
}

// offers is the sessions that offer each duty. It is kept as sessions come and go: 4,700 that offer
// 500 duties each are 2.4 million, too many to go through at each tick of a leader.
func (s *State) candidateSessions() map[string][]*Session {
	if s.candidates != nil {
		return s.candidates
	}
	offers := map[string][]*Session{}
	for _, id := range slices.Sorted(maps.Keys(s.Sessions)) {
		for _, duty := range s.Sessions[id].CandidateLeases {
			offers[duty] = append(offers[duty], s.Sessions[id])
		}
	}
	s.candidates = offers
	return offers
}

func (s *State) chooseHolder(d *Lease, among []*Session, load map[uint64]int) (best *Session) {
	better := func(x, y *Session) bool {
		if a, b := x.Name == d.TransferTo, y.Name == d.TransferTo; a != b {
			return a
		}
		if a, b := x.Name == d.ReleasedBy, y.Name == d.ReleasedBy; a != b {
			return b
		}
		if a, b := load[x.ID], load[y.ID]; a != b {
			return a < b
		}
		return cmp.Or(cmp.Compare(rendezvousRank(d.Name, x.Name), rendezvousRank(d.Name, y.Name)), cmp.Compare(x.ID, y.ID)) < 0
	}
	for _, x := range among {
		if best == nil || better(x, best) {
			best = x
		}
	}
	return best
}

// rank orders gateways for a duty, each duty its own way (rendezvous hashing).
func rendezvousRank(duty, gateway string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(gateway))
	h.Write([]byte{0})
	h.Write([]byte(duty))
	z := h.Sum64()
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9 // FNV's last bytes hardly reach its high bits
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// evenMost is how many duties are moved at a time so that none holds far more than another: some,
// as a fleet that has just formed has all at the gateways that came first; few, as each move is a
// moment without an owner.
const maxRebalanceMoves = 16

// Even says which duties should move so that no gateway holds far more than another: none while
// any is under way or free, and only so many as bring those two nearer.
func Rebalance(s *State) (list []Command) {
	load := map[uint64]int{}
	offers := s.candidateSessions()
	for _, d := range s.Leases {
		if d.TransferTo != "" || d.HolderSession == 0 && len(offers[d.Name]) > 0 {
			return nil
		}
		load[d.HolderSession]++
	}
	most, least := 0, len(s.Leases)
	for id := range s.Sessions {
		most, least = max(most, load[id]), min(least, load[id])
	}
	if most-least < maxImbalance {
		return nil // as mostly; what follows goes through all offers
	}
	for _, name := range slices.Sorted(maps.Keys(s.Leases)) {
		d := s.Leases[name]
		if d.HolderSession == 0 {
			continue
		}
		var least *Session
		for _, x := range offers[name] {
			if least == nil || load[x.ID] < load[least.ID] {
				least = x
			}
		}
		if least == nil || load[d.HolderSession]-load[least.ID] < maxImbalance {
			continue
		}
		load[d.HolderSession]--
		load[least.ID]++
		if list = append(list, Command{Op: OpTransfer, Lease: name, Target: least.Name, Token: d.Token}); len(list) == maxRebalanceMoves {
			break
		}
	}
	return list
}
