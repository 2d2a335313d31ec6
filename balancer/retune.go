package balancer

import (
	"errors"
	"fmt"
)

// New settings while a Balancer serves. Nothing here decides anything.

// Retune takes over settings. What was learnt of hosts stays, and so do requests and attempts.
// Classes are known by their place: a class with a request under way must stand in its place
// with its rules as they were, marked Retired if no more of it come. from says for each place
// whose learning it goes on from, by the place in the settings before; -1 for nobody's. Whether
// the list must be asked for is settled at the start: Ask stays as it was. On an error nothing
// has changed. The actions decided before must have been drained; this decides none.
func (b *Balancer) Retune(now Time, set Settings, from []int) error {
	if err := check(&set); err != nil {
		return err
	}
	if len(from) != len(set.Classes) {
		return fmt.Errorf("retune: %d classes go on from %d", len(set.Classes), len(from))
	}
	for i, f := range from {
		if f < -1 || f >= len(b.set.Classes) {
			return fmt.Errorf("retune: class %d goes on from %d", i, f)
		}
	}
	for _, r := range b.open {
		if r.Class >= len(set.Classes) || !sameRules(*r.class, set.Classes[r.Class]) {
			return errors.New("retune: a class with requests under way has other rules")
		}
	}
	set.Poll = b.set.Poll
	b.now, b.set = now, set

	lat, harm := make([]movingAverage, len(from)), make([]decayingShare, len(from))
	for i, f := range from {
		if f >= 0 {
			lat[i], harm[i] = b.classRTT[f], b.starvation[f]
		}
	}
	b.classRTT, b.starvation, b.excluded = lat, harm, make([]subsetCounts, len(from))
	for _, h := range b.hosts {
		class := make([]classErrors, len(from))
		for i, f := range from {
			if f >= 0 {
				class[i] = h.class[f]
				class[i].counted = false // it is counted anew
			}
		}
		h.class = class
	}
	quota := b.quota
	b.quota = nil
	b.derive()
	for i := range min(len(quota), len(b.quota)) {
		b.quota[i].tokens, b.quota[i].at = quota[i].tokens, quota[i].at
	}

	// What waits keeps its order in each line, and every request its part of its class.
	parts := make(map[RequestID]int, len(b.open))
	for id, r := range b.open {
		for part, line := range b.bandOf[r.Class] {
			if line == r.band {
				parts[id] = part
			}
		}
	}
	var waiting []*request
	for i := range b.queues {
		for n := b.queues[i].head; n != nil; n = b.queues[i].head {
			waiting = append(waiting, n.item)
			b.dequeue(n.item)
		}
	}
	b.orderQueues()
	for id, r := range b.open {
		r.class = &b.set.Classes[r.Class]
		r.band = b.bandOf[r.Class][parts[id]]
	}
	for _, r := range waiting {
		b.addToQueue(r, false)
	}

	b.subsetCurrent = false
	for _, h := range b.hosts {
		b.recheck(h)
	}
	return nil
}

// sameRules says whether two classes are alike but for being retired.
func sameRules(a, c Class) bool {
	a.Retired, c.Retired = false, false
	return a == c
}
