package lease

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"

	"dunemoor/internal/cluster/failpoint"
)

// maxImbalance is how many more leases one gateway may hold than another candidate before one is
// moved: with 1 a lease would move back and forth.
const maxImbalance = 2

// maxRebalanceMoves bounds the leases that are moved at a time. Several, as in a fleet that has just
// been bootstrapped the first gateways hold all; few, as each move leaves a lease without a holder
// for a moment.
const maxRebalanceMoves = 16

// AssignFree returns commands that assign each free lease: to the target of a transfer, else to the
// candidate that holds the fewest leases; ties are broken the same way at every leader. Leases that
// are held stay where they are.
func AssignFree(s *State) (list []Command) {
	held := map[uint64]int{} // leases by session
	candidates := s.candidateSessions()
	var free []*Lease
	for _, l := range s.Leases {
		if l.HolderSession != 0 && !(failpoint.Enabled(failpoint.AssignBeforeRelease) && l.TransferTo != "") {
			held[l.HolderSession]++
		} else if len(candidates[l.Name]) > 0 {
			free = append(free, l)
		}
	}
	slices.SortFunc(free, func(a, b *Lease) int { return cmp.Compare(a.Name, b.Name) })
	for _, l := range free {
		x := chooseHolder(l, candidates[l.Name], held)
		if x == nil {
			continue
		}
		held[x.ID]++
		list = append(list, Command{Op: OpAssign, Lease: l.Name, Token: l.Token, Session: x.ID})
	}
	return list
}

// chooseHolder returns the best candidate for a free lease.
func chooseHolder(l *Lease, candidates []*Session, held map[uint64]int) (best *Session) {
	better := func(x, y *Session) bool {
		if a, b := x.Name == l.TransferTo, y.Name == l.TransferTo; a != b {
			return a
		}
		if a, b := x.Name == l.ReleasedBy, y.Name == l.ReleasedBy; a != b {
			return b
		}
		if a, b := held[x.ID], held[y.ID]; a != b {
			return a < b
		}
		return cmp.Or(cmp.Compare(rendezvousRank(l.Name, x.Name), rendezvousRank(l.Name, y.Name)), cmp.Compare(x.ID, y.ID)) < 0
	}
	for _, x := range candidates {
		if best == nil || better(x, best) {
			best = x
		}
	}
	return best
}

// rendezvousRank orders gateways for a lease, for each lease in another order (rendezvous hashing).
func rendezvousRank(lease, gateway string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(gateway))
	h.Write([]byte{0})
	h.Write([]byte(lease))
	z := h.Sum64()
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9 // FNV's last bytes hardly reach its high bits
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// Rebalance returns transfers that reduce the difference between the gateways that hold the most and
// the fewest leases. It returns none while a transfer is under way or a lease is free.
func Rebalance(s *State) (list []Command) {
	held := map[uint64]int{} // leases by session
	candidates := s.candidateSessions()
	for _, l := range s.Leases {
		if l.TransferTo != "" || l.HolderSession == 0 && len(candidates[l.Name]) > 0 {
			return nil
		}
		held[l.HolderSession]++
	}
	if s.imbalance(held) < maxImbalance {
		return nil // the usual case; the rest visits all candidates
	}
	for _, name := range slices.Sorted(maps.Keys(s.Leases)) {
		l := s.Leases[name]
		if l.HolderSession == 0 {
			continue
		}
		target := leastLoaded(candidates[name], held)
		if target == nil || held[l.HolderSession]-held[target.ID] < maxImbalance {
			continue
		}
		held[l.HolderSession]--
		held[target.ID]++
		list = append(list, Command{Op: OpTransfer, Lease: name, Target: target.Name, Token: l.Token})
		if len(list) == maxRebalanceMoves {
			break
		}
	}
	return list
}

// imbalance returns the difference between the sessions that hold the most and the fewest leases.
func (s *State) imbalance(held map[uint64]int) int {
	most, fewest := 0, len(s.Leases)
	for id := range s.Sessions {
		most, fewest = max(most, held[id]), min(fewest, held[id])
	}
	return most - fewest
}

// leastLoaded returns the session that holds the fewest leases, the first of several.
func leastLoaded(sessions []*Session, held map[uint64]int) (best *Session) {
	for _, x := range sessions {
		if best == nil || held[x.ID] < held[best.ID] {
			best = x
		}
	}
	return best
}
