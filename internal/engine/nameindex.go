package engine

import "dunemoor/balancer"

// nameIndex assigns numbers to the names of zones or kinds. A name in the settings has its number from the settings;
// any other name gets a new number of its own, so that two unknown zones are not treated as the same zone. No number
// is used for two names.
type nameIndex struct {
	known map[string]int // numbers of the names in the settings
	other map[string]int // numbers of all other names
	next  int            // the next number to assign
}

// maxUnusedNames is how many more names than hosts there may be before prune drops those that no host has. It is large
// enough that this is rare, and small enough that the memory of the names is negligible.
const maxUnusedNames = 64

func newNameIndex(known map[string]int) nameIndex {
	return nameIndex{known: known, other: map[string]int{}, next: len(known)}
}

// number returns the number of a name, and assigns one to a new name.
func (n *nameIndex) number(name string) int {
	i, ok := n.known[name]
	if !ok {
		i, ok = n.other[name]
	}
	if !ok {
		i = n.next
		n.next++
		n.other[name] = i
	}
	return i
}

// prune drops the names that no host has, once there are more than maxUnusedNames names beyond the number of hosts.
func (n *nameIndex) prune(hosts map[balancer.HostID]*host, name func(*host) string) {
	if len(n.other) <= len(hosts)+maxUnusedNames {
		return
	}
	used := make(map[string]int, len(hosts))
	for _, h := range hosts {
		if i, ok := n.other[name(h)]; ok {
			used[name(h)] = i
		}
	}
	n.other = used
}
