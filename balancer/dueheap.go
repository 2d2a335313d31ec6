package balancer

// dueHeap is a min-heap of hosts by the time at which their standing must be updated without an event.
// There is no timer for it: due hosts are updated before the next selection of a host. Each host stores its
// position in the heap.
type dueHeap struct{ hosts []*host }

// dueEntry is the heap entry of a host.
type dueEntry struct {
	at       Time // due time; forever if the host is not in the heap
	position int  // position in the heap, counted from 1; 0 if the host is not in the heap
}

// firstIsDue reports whether the first host is due.
func (q *dueHeap) firstIsDue(now Time) bool {
	return len(q.hosts) > 0 && q.hosts[0].nextUpdate.at <= now
}

// schedule sets the due time of a host. The time forever removes it from the heap.
func (q *dueHeap) schedule(host *host, at Time) {
	entry := &host.nextUpdate
	scheduled := entry.position != 0
	unchanged := entry.at == at && scheduled == (at != forever)
	if unchanged {
		return
	}
	if at == forever {
		q.cancel(host)
		return
	}
	if !scheduled {
		q.hosts = append(q.hosts, host)
		entry.position = len(q.hosts)
	}
	entry.at = at
	q.restore(entry.position - 1)
}

// cancel removes a host from the heap.
func (q *dueHeap) cancel(host *host) {
	i := host.nextUpdate.position - 1
	host.nextUpdate = dueEntry{at: forever}
	if i < 0 {
		return
	}
	last := len(q.hosts) - 1
	moved := q.hosts[last]
	q.hosts[last] = nil // avoids retaining a removed host
	q.hosts = q.hosts[:last]
	if i < last {
		q.hosts[i] = moved
		moved.nextUpdate.position = i + 1
		q.restore(i)
	}
}

// restore moves the host at index i to its place in the heap order.
func (q *dueHeap) restore(i int) { q.siftDown(q.siftUp(i)) }

func (q *dueHeap) siftUp(i int) int {
	for i > 0 {
		parent := (i - 1) / 2
		if q.at(parent) <= q.at(i) {
			break
		}
		q.swap(i, parent)
		i = parent
	}
	return i
}

func (q *dueHeap) siftDown(i int) {
	for {
		child := 2*i + 1
		if child >= len(q.hosts) {
			return
		}
		sibling := child + 1
		if sibling < len(q.hosts) && q.at(sibling) < q.at(child) {
			child = sibling
		}
		if q.at(i) <= q.at(child) {
			return
		}
		q.swap(i, child)
		i = child
	}
}

// at returns the due time of the host at index i.
func (q *dueHeap) at(i int) Time { return q.hosts[i].nextUpdate.at }

func (q *dueHeap) swap(i, j int) {
	q.hosts[i], q.hosts[j] = q.hosts[j], q.hosts[i]
	q.hosts[i].nextUpdate.position = i + 1
	q.hosts[j].nextUpdate.position = j + 1
}
