package engine

import "dunemoor/balancer"

// nameIndex numbers zones or kinds: those of the settings as the settings do, and each other one by a number
// of its own, so that two unknown zones are not taken for one. No number is given twice.
type nameIndex struct {
	known map[string]int // of the settings
	other map[string]int
	next  int
}

// maxSpareNames is how many names without a host are kept before they are looked for and forgotten: seldom,
// and of a size that does not matter.
const maxSpareNames = 64

func newNameIndex(known map[string]int) nameIndex {
	return nameIndex{known: known, other: map[string]int{}, next: len(known)}
}

// number returns the number of a name.
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

// forget drops the names without a host, once there are many.
func (n *nameIndex) forget(hosts map[balancer.HostID]*host, name func(*host) string) {
	if len(n.other) <= len(hosts)+maxSpareNames {
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
