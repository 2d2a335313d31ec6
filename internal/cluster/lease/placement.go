package lease

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"

	"dunemoor/internal/cluster/failpoint"
)

// maxImbalance is the difference between the numbers of leases of two candidates from which a lease is
// transferred. With 1 a lease would be transferred back and forth.
const maxImbalance = 2

// maxRebalanceMoves bounds the leases that are transferred in one round. It is more than one because the
// first gateways of a newly bootstrapped fleet hold all leases, and small because a lease has no holder
// for a short time during its transfer.
const maxRebalanceMoves = 16

// AssignFree returns commands that assign each free lease to the target of its transfer, or else to the
// candidate that holds the fewest leases. Ties are broken the same way by every leader. Leases that have
// a holder are not reassigned.
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
		sess := chooseHolder(l, candidates[l.Name], held)
		if sess == nil {
			continue
		}
		held[sess.ID]++
		list = append(list, Command{Op: OpAssign, Lease: l.Name, Token: l.Token, Session: sess.ID})
	}
	return list
}

// chooseHolder returns the best candidate for a free lease. It prefers the target of a transfer, then any
// candidate other than the member that released the lease, then the one with the fewest leases, and then the
// one with the lowest rendezvous rank.
func chooseHolder(l *Lease, candidates []*Session, held map[uint64]int) (best *Session) {
	better := func(sess, other *Session) bool {
		if a, b := sess.Name == l.TransferTo, other.Name == l.TransferTo; a != b {
			return a
		}
		if a, b := sess.Name == l.ReleasedBy, other.Name == l.ReleasedBy; a != b {
			return b
		}
		if a, b := held[sess.ID], held[other.ID]; a != b {
			return a < b
		}
		return cmp.Or(cmp.Compare(rendezvousRank(l.Name, sess.Name), rendezvousRank(l.Name, other.Name)), cmp.Compare(sess.ID, other.ID)) < 0
	}
	for _, sess := range candidates {
		if best == nil || better(sess, best) {
			best = sess
		}
	}
	return best
}

// rendezvousRank returns the rank of a gateway for a lease by rendezvous hashing: the order of the gateways
// differs from lease to lease.
func rendezvousRank(lease, gateway string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(gateway))
	h.Write([]byte{0})
	h.Write([]byte(lease))
	z := h.Sum64()
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9 // FNV barely mixes the last input bytes into the high bits
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// Rebalance returns transfers that reduce the difference between the gateways with the most and the
// fewest leases. It returns none while a transfer is in progress or a lease with candidates is free.
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
		return nil // the common case; the loop below visits all candidates
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

// leastLoaded returns the first of the sessions that hold the fewest leases.
func leastLoaded(sessions []*Session, held map[uint64]int) (best *Session) {
	for _, sess := range sessions {
		if best == nil || held[sess.ID] < held[best.ID] {
			best = sess
		}
	}
	return best
}
