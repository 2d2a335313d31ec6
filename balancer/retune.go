package balancer

import (
	"errors"
	"fmt"
)

// Retune takes over new settings while the Balancer serves. What was learnt of hosts stays, and so do
// requests and attempts. Classes are identified by their index: a class with an open request must keep its
// index and its rules, marked Retired if no more of it arrive. For each class, from is the index of the
// previous class whose learnt state it continues; -1: none. Settings.Poll stays as it was at the start. On an
// error nothing has changed. The actions decided before must have been taken; Retune decides none.
func (b *Balancer) Retune(now Time, set Settings, from []int) error {
	if err := check(&set); err != nil {
		return err
	}
	if err := b.checkRetune(&set, from); err != nil {
		return err
	}
	set.Poll = b.set.Poll
	b.now, b.set = now, set
	b.continueClasses(from)
	quota := b.quota
	b.quota = nil
	b.derive()
	for i := range min(len(quota), len(b.quota)) {
		b.quota[i].tokens, b.quota[i].at = quota[i].tokens, quota[i].at
	}
	b.requeue()
	b.subsetCurrent = false
	for _, h := range b.hosts {
		b.recheck(h)
	}
	return nil
}

// checkRetune returns an error for settings that don't fit the classes that there are.
func (b *Balancer) checkRetune(set *Settings, from []int) error {
	if len(from) != len(set.Classes) {
		return fmt.Errorf("retune: %d classes continue %d", len(set.Classes), len(from))
	}
	for i, f := range from {
		if f < -1 || f >= len(b.set.Classes) {
			return fmt.Errorf("retune: class %d continues class %d, which does not exist", i, f)
		}
	}
	for _, r := range b.open {
		if r.Class >= len(set.Classes) || !sameRules(*r.class, set.Classes[r.Class]) {
			return errors.New("retune: a class with open requests has other rules")
		}
	}
	return nil
}

// continueClasses gives each class the learnt state of the one that it continues.
func (b *Balancer) continueClasses(from []int) {
	rtt, starvation := make([]movingAverage, len(from)), make([]decayingShare, len(from))
	for i, f := range from {
		if f >= 0 {
			rtt[i], starvation[i] = b.classRTT[f], b.starvation[f]
		}
	}
	b.classRTT, b.starvation, b.excluded = rtt, starvation, make([]subsetCounts, len(from))
	for _, h := range b.hosts {
		class := make([]classErrors, len(from))
		for i, f := range from {
			if f >= 0 {
				class[i] = h.class[f]
				class[i].counted = false // it is counted again by recheck
			}
		}
		h.class = class
	}
}

// requeue orders the queues anew. Queued requests keep their order in each queue, and each request its part
// of its class.
func (b *Balancer) requeue() {
	parts := make(map[RequestID]int, len(b.open))
	for id, r := range b.open {
		for part, band := range b.bandOf[r.Class] {
			if band == r.band {
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
}

// sameRules reports whether two classes differ in Retired at most.
func sameRules(a, c Class) bool {
	a.Retired, c.Retired = false, false
	return a == c
}
