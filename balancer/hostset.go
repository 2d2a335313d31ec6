package balancer

// setKind names a set of hosts. The first four are the selection sets: hosts are chosen from them, and a host
// is in one of them at most, the one that selectionSetOf returns.
type setKind int

// The sets.
const (
	setReady       setKind = iota // in the subset, and ready as far as is known
	setSilent                     // ejected as silent, else ready
	setUnreachable                // ejected with CauseConnectionsFailed, else ready
	setSuspected                  // has one attempt in flight that takes long, else ready
	setBusy                       // has attempts in flight
	setSubset                     // in the subset
	setCount

	setNone setKind = -1
)

// hostSet is a set whose hosts know their position in it, so that a host joins, leaves and is drawn from
// it at a cost that does not grow with their number.
type hostSet struct{ list []*host }

// hostSets holds the sets by kind.
type hostSets [setCount]hostSet

// membership is what a host knows of the sets that it is in.
type membership struct {
	position     [setCount]int // in each set, counted from 1; 0: it is not in it
	selectionSet setKind       // the selection set that it is in, or setNone
}

// contains reports whether a host is in a set.
func (m *membership) contains(set setKind) bool { return m.position[set] != 0 }

// add adds a host to a set.
func (s *hostSets) add(set setKind, host *host) {
	if host.sets.contains(set) {
		return
	}
	s[set].list = append(s[set].list, host)
	host.sets.position[set] = len(s[set].list)
}

// remove removes a host from a set. The last host of the set takes its place.
func (s *hostSets) remove(set setKind, host *host) {
	if !host.sets.contains(set) {
		return
	}
	i := host.sets.position[set] - 1
	list := s[set].list
	last := len(list) - 1
	list[i] = list[last]
	list[i].sets.position[set] = i + 1
	list[last] = nil // the list must not keep a host that is gone
	s[set].list = list[:last]
	host.sets.position[set] = 0
}

// move moves a host to a selection set, or to none.
func (s *hostSets) move(host *host, set setKind) {
	if host.sets.selectionSet == set {
		return
	}
	if host.sets.selectionSet != setNone {
		s.remove(host.sets.selectionSet, host)
	}
	if set != setNone {
		s.add(set, host)
	}
	host.sets.selectionSet = set
}

// total returns the number of hosts in sets.
func (s *hostSets) total(sets eligibleSets) int {
	total := 0
	for set := sets.first; set < sets.end(); set++ {
		total += len(s[set].list)
	}
	return total
}

// at returns the i-th host of the sets from one on, taken as one list.
func (s *hostSets) at(first setKind, i int) *host {
	set := first
	for i >= len(s[set].list) {
		i -= len(s[set].list)
		set++
	}
	return s[set].list[i]
}

// inSubset reports whether the host is in the subset of this instance.
func (h *host) inSubset() bool { return h.sets.contains(setSubset) }
