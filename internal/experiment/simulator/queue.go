package simulator

import "dunemoor/balancer"

// event is one thing that will happen. What its fields mean is its kind's business.
type event struct {
	at   balancer.Time
	seq  uint64 // of events at the same instant the one planned first comes first
	kind kind
	a    int32  // a gateway, a host, a class or a trouble
	life uint32 // of the gateway, for its timers
	n    uint64
	r    *request
}

// queue holds the events that are yet to come, the next one first. It is a heap of four children
// to a node: half the levels of one of two, and the four lie in one or two lines of the cache.
type queue struct {
	list []event
	seq  uint64
}

func before(a, b *event) bool { return a.at < b.at || a.at == b.at && a.seq < b.seq }

func (q *queue) push(e event) {
	q.seq++
	e.seq = q.seq
	q.list = append(q.list, e)
	i := len(q.list) - 1
	for i > 0 {
		up := (i - 1) / 4
		if !before(&e, &q.list[up]) {
			break
		}
		q.list[i] = q.list[up]
		i = up
	}
	q.list[i] = e
}

// pop takes the next event out; there has to be one.
func (q *queue) pop() event {
	first := q.list[0]
	last := len(q.list) - 1
	e := q.list[last]
	q.list[last] = event{}
	q.list = q.list[:last]
	if last == 0 {
		return first
	}
	i := 0
	for {
		child := 4*i + 1
		if child >= last {
			break
		}
		least := child
		for k := child + 1; k < min(child+4, last); k++ {
			if before(&q.list[k], &q.list[least]) {
				least = k
			}
		}
		if !before(&q.list[least], &e) {
			break
		}
		q.list[i] = q.list[least]
		i = least
	}
	q.list[i] = e
	return first
}
