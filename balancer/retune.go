package balancer

import (
	"errors"
	"fmt"
)

// Retune applies new settings at runtime. The state of hosts, requests and attempts is kept. Classes are
// identified by their index: a class with an open request must keep its index and its settings; it may be
// marked Retired if it receives no new requests. For each class, from contains the index of the previous
// class whose estimates it continues, or -1. Settings.Poll cannot be changed and keeps its value. If Retune
// returns an error, nothing has changed. The caller must have taken all pending actions before; Retune adds
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

// checkRetune returns an error if the settings are not compatible with the current classes.
func (b *Balancer) checkRetune(settings *Settings, from []int) error {
	if len(from) != len(settings.Classes) {
		return fmt.Errorf("retune: %d classes, but %d origins", len(settings.Classes), len(from))
	}
	for class, previous := range from {
		if previous < -1 || previous >= len(b.settings.Classes) {
			return fmt.Errorf("retune: class %d continues the unknown class %d", class, previous)
		}
	}
	for _, request := range b.open {
		removed := request.Class >= len(settings.Classes)
		if removed || !equalExceptRetired(*request.class, settings.Classes[request.Class]) {
			return errors.New("retune: a class with open requests is removed or changed")
		}
	}
	return nil
}

// equalExceptRetired reports whether two classes are equal except for Retired.
func equalExceptRetired(x, y Class) bool {
	x.Retired = false
	y.Retired = false
	return x == y
}

// continueClasses copies to each class the estimates of the class that it continues.
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

// continued returns the state of each class: that of the class it continues, or the zero value.
func continued[T any](previous []T, from []int) []T {
	next := make([]T, len(from))
	for class, i := range from {
		if i >= 0 {
			next[class] = previous[i]
		}
	}
	return next
}

// requeue rebuilds the queues. Queued requests keep their order within each queue, and each request keeps
// the part of its class.
func (b *Balancer) requeue() {
	parts := make(map[RequestID]classPart, len(b.open))
	for id, request := range b.open {
		parts[id] = b.queues.partOfQueue(request)
	}
	var waiting []*request
	for index := range b.queues.byPriority {
		queue := &b.queues.byPriority[index]
		for queue.head != nil {
			request := queue.head.item
			waiting = append(waiting, request)
			b.queues.remove(request)
		}
	}
	b.orderQueues()
	for id, request := range b.open {
		request.class = &b.settings.Classes[request.Class]
		request.queueIndex = b.queues.queueOf[request.Class][parts[id]]
	}
	for _, request := range waiting {
		b.queues.pushBack(request)
	}
}

// partOfQueue returns the part of its class that a request belongs to, according to its queue.
func (q *requestQueues) partOfQueue(request *request) classPart {
	for part, index := range q.queueOf[request.Class] {
		if index == request.queueIndex {
			return classPart(part)
		}
	}
	return 0
}
