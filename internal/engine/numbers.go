package engine

import "dunemoor/balancer"

// numbers counts zones or kinds: as the settings do, and those that the settings lack
// each by a number of its own, so that two unknown zones are not taken for one. It
// keeps at most namesSpare names that no host bears; no number is given twice.
type numbers struct {
	known map[string]int // of the settings
	other map[string]int
	next  int
}

// namesSpare is how many names may be kept beyond those in use before one looks for
// which to forget: seldom, and of a size that does not matter.
const namesSpare = 64

func newNumbers(known map[string]int) numbers {
	return numbers{known: known, other: map[string]int{}, next: len(known)}
}

func (n *numbers) number(name string) int {
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

// forget drops the names that no host bears, once there are many.
func (n *numbers) forget(hosts map[balancer.HostID]*host, name func(*host) string) {
	if len(n.other) <= len(hosts)+namesSpare {
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
