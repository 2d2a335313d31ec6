package balancer

import (
	"errors"
	"fmt"
)

// Retune takes over new settings while the Balancer serves. What was learnt of hosts stays, and so do
// requests and attempts. Classes are identified by their index: a class with an open request must keep
// its index and its rules, marked Retired if no more of it arrive. For each class, from is the index of
// the previous class whose learnt state it continues; -1: none. Settings.Poll stays as it was at the
// start. On an error nothing has changed. The actions decided before must have been taken; Retune decides
// none.
func (b *Balancer) Retune(now Time, settings Settings, from []int) error {
	if err := check(&settings); err != nil {
		return err
	}
	if err := b.checkRetune(&settings, from); err != nil {
		return err
	}
	settings.Poll = b.settings.Poll
	b.now = now
	b.settings = settings
	b.continueClasses(from)
	b.configure()
	b.requeue()
	b.subset.current = false
	for _, host := range b.hosts {
		b.updateStanding(host)
	}
	return nil
}

// checkRetune returns an error for settings that don't fit the classes that there are.
func (b *Balancer) checkRetune(settings *Settings, from []int) error {
	if len(from) != len(settings.Classes) {
		return fmt.Errorf("retune: %d classes continue %d", len(settings.Classes), len(from))
	}
	for class, previous := range from {
		if previous < -1 || previous >= len(b.settings.Classes) {
			return fmt.Errorf("retune: class %d continues class %d, which does not exist", class, previous)
		}
	}
	for _, request := range b.open {
		removed := request.Class >= len(settings.Classes)
		if removed || !sameRules(*request.class, settings.Classes[request.Class]) {
			return errors.New("retune: a class with open requests has other rules")
		}
	}
	return nil
}

// sameRules reports whether two classes differ in Retired at most.
func sameRules(x, y Class) bool {
	x.Retired = false
	y.Retired = false
	return x == y
}

// continueClasses gives each class the learnt state of the one that it continues.
func (b *Balancer) continueClasses(from []int) {
	b.typicalRTT.byClass = continued(b.typicalRTT.byClass, from)
	b.starvation.unserved = continued(b.starvation.unserved, from)
	b.excluded = make([]subsetCounts, len(from))
	for _, host := range b.hosts {
		host.errors = continued(host.errors, from)
		for class := range host.errors {
			host.errors[class].counted = false // updateStanding counts it again
		}
	}
}

// continued returns a state for each class: that of the class which it continues, or a new one.
func continued[T any](previous []T, from []int) []T {
	next := make([]T, len(from))
	for class, i := range from {
		if i >= 0 {
			next[class] = previous[i]
		}
	}
	return next
}

// requeue orders the queues anew. Queued requests keep their order in each queue, and each request its
// part of its class.
func (b *Balancer) requeue() {
	parts := make(map[RequestID]classPart, len(b.open))
	for id, request := range b.open {
		parts[id] = b.queues.partOfBand(request)
	}
	var waiting []*request
	for band := range b.queues.byPriority {
		queue := &b.queues.byPriority[band]
		for queue.head != nil {
			request := queue.head.item
			waiting = append(waiting, request)
			b.queues.remove(request)
		}
	}
	b.orderQueues()
	for id, request := range b.open {
		request.class = &b.settings.Classes[request.Class]
		request.band = b.queues.bandOf[request.Class][parts[id]]
	}
	for _, request := range waiting {
		b.queues.pushBack(request)
	}
}

// partOfBand returns the part of its class whose queue a request is for.
func (q *requestQueues) partOfBand(request *request) classPart {
	for part, band := range q.bandOf[request.Class] {
		if band == request.band {
			return classPart(part)
		}
	}
	return 0
}
