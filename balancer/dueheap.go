package balancer

// dueHeap orders hosts by when their standing is due to be updated without an event. No timer is set:
// those that are due are updated before a host is next chosen. Hosts know their position in the heap.
type dueHeap struct{ hosts []*host }

// dueEntry is what a host knows of its place in the heap.
type dueEntry struct {
	at       Time // forever: it is not in the heap
	position int  // counted from 1; 0: it is not in the heap
}

// firstIsDue reports whether the first host is due.
func (q *dueHeap) firstIsDue(now Time) bool {
	return len(q.hosts) > 0 && q.hosts[0].nextUpdate.at <= now
}

// schedule sets when a host is due; forever: never.
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
	q.hosts[last] = nil // the heap must not keep a host that is gone
	q.hosts = q.hosts[:last]
	if i < last {
		q.hosts[i] = moved
		moved.nextUpdate.position = i + 1
		q.restore(i)
	}
}

// restore moves the host at i to where it belongs.
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

// at returns the time of the host at i.
func (q *dueHeap) at(i int) Time { return q.hosts[i].nextUpdate.at }

func (q *dueHeap) swap(i, j int) {
	q.hosts[i], q.hosts[j] = q.hosts[j], q.hosts[i]
	q.hosts[i].nextUpdate.position = i + 1
	q.hosts[j].nextUpdate.position = j + 1
}
