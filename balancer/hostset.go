package balancer

// setKind identifies a set of hosts. The first four are the selection sets, from which hosts are chosen. A
// host is in at most one of them, the one that selectionSetOf returns.
type setKind int

// Values of setKind.
const (
	setReady       setKind = iota // hosts of the subset that are ready as of the last update
	setSilent                     // hosts ejected with CauseSilent, otherwise ready
	setUnreachable                // hosts ejected with CauseConnectionsFailed, otherwise ready
	setSuspected                  // hosts whose only attempt in flight takes too long, otherwise ready
	setBusy                       // hosts with attempts in flight
	setSubset                     // all hosts of the subset
	setCount

	setNone setKind = -1
)

// hostSet is a set of hosts. Each host stores its position in the set, so that the cost of adding, removing
// and drawing a host does not depend on the size of the set.
type hostSet struct{ list []*host }

// hostSets holds the sets by kind.
type hostSets [setCount]hostSet

// membership is the position of a host in the sets that contain it.
type membership struct {
	position     [setCount]int // position in each set, counted from 1; 0 if the set does not contain the host
	selectionSet setKind       // the selection set that contains the host, or setNone
}

// contains reports whether the set contains the host.
func (m *membership) contains(set setKind) bool { return m.position[set] != 0 }

// add adds a host to a set.
func (s *hostSets) add(set setKind, host *host) {
	if host.sets.contains(set) {
		return
	}
	s[set].list = append(s[set].list, host)
	host.sets.position[set] = len(s[set].list)
}

// remove removes a host from a set and moves the last host of the set to its position.
func (s *hostSets) remove(set setKind, host *host) {
	if !host.sets.contains(set) {
		return
	}
	i := host.sets.position[set] - 1
	list := s[set].list
	last := len(list) - 1
	list[i] = list[last]
	list[i].sets.position[set] = i + 1
	list[last] = nil // avoids retaining a removed host
	s[set].list = list[:last]
	host.sets.position[set] = 0
}

// move moves a host to a selection set, or to none if set is setNone.
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

// total returns the number of hosts in the eligible sets.
func (s *hostSets) total(sets eligibleSets) int {
	total := 0
	for set := sets.first; set < sets.end(); set++ {
		total += len(s[set].list)
	}
	return total
}

// at returns the host at index i of the concatenation of the sets from first on.
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
