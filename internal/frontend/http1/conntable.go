package http1

import (
	"container/list"
	"sync"
	"time"

	"dunemoor/internal/frontend"
)

const (
	// nearLimitPercent is the share of the connection limit, in percent, above which the table is near its limit. Then
	// connections that have been without a request for long are closed, and all others are closed after their next
	// response. If they stayed open after that response, they could not be evicted for minIdleTime.
	nearLimitPercent = 65

	// minIdleTime is the minimum time for which a connection must be idle before it is evicted. If it is closed
	// earlier, the client may already have started to send its next request.
	minIdleTime = 2 * time.Second
	// minSilentTime is the minimum time for which a new connection must be without a request before it is evicted,
	// unless no other connection can be evicted. When many connections have just been accepted, their first requests
	// may not have been read yet.
	minSilentTime = 100 * time.Millisecond
	// maxSilentTimeNearLimit is the maximum time for which a new connection may be without a request while the table is
	// near its limit. It can be short because clients normally open a connection when they have a request.
	maxSilentTimeNearLimit = time.Second
)

// connTable keeps the number of client connections within the limits of file descriptors, so that descriptors remain
// for the connections in the listener's backlog. Beyond the limit it evicts the least useful connection: first those
// that are lingering after their last response, then those without a request yet for minSilentTime, then those that have
// been idle for minIdleTime, and at last any without a request yet, the oldest first in each group. Connections that
// have been unused for long are evicted before the limit is reached. The cost of each call is independent of the number
// of connections.
//
// A connection is closed by its own goroutine only. The table wakes this goroutine by setting a read deadline in the
// past. The goroutine then reads once more without blocking, and a request that has arrived by then is served.
type connTable struct {
	mu           sync.Mutex // guards the fields below
	limit        int        // number of connections above which one is evicted
	hardLimit    int        // number of connections above which a new one is closed at once if none can be evicted
	open         int        // number of connections, except those that are being evicted
	evicting     int        // number of connections that are being evicted and not closed yet
	evictionDone *sync.Cond // signaled when evicting decreases
	lingering    list.List  // connections in lingeringClose, after their last response
	silent       list.List  // connections that have not received a request yet
	idle         list.List  // connections between two requests

	clock func() time.Time // replaces time.Now in tests
}

// connState is the state of a connection.
type connState int

const (
	connWaiting connState = iota // waiting for a request, or lingering
	connActive                   // a request, or a part of one, has been received
	connClosing                  // the connection's goroutine has been woken to close it
	connEvicted                  // the connection's goroutine has been woken to close it at once, to free a descriptor
	connClosed                   // closed or a tunnel, and no longer counted
)

// deadlinePassed is a read deadline in the past, which interrupts a blocked read.
var deadlinePassed = time.Unix(1, 0)

// now returns the current time, from which the ages of connections are computed. The caller holds mu.
func (t *connTable) now() time.Time {
	if t.clock != nil {
		return t.clock()
	}
	return time.Now()
}

// add adds a new connection, and evicts another one if there are too many. It returns false if the new connection must
// be closed because no other can be evicted.
func (t *connTable) add(c *clientConn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open++
	victim := t.evict()
	if victim == nil && t.open > t.hardLimit {
		c.state = connClosed
		t.open--
		return false
	}
	t.enqueue(c, &t.silent)
	if victim != nil {
		victim.SetReadDeadline(deadlinePassed)
	}
	return true
}

// awaitEvictions waits while more connections are being evicted than there are spare descriptors. It cannot deadlock,
// as the goroutines of these connections have been woken and close them without waiting for others.
func (t *connTable) awaitEvictions() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for t.evicting > max(t.hardLimit-t.limit, 1) {
		t.evictionDone.Wait()
	}
}

// setIdle marks a connection as waiting for its next request.
func (t *connTable) setIdle(c *clientConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.enqueue(c, &t.idle)
	c.state = connWaiting
}

// setActive marks a connection as active because the first bytes of a request have arrived. If the table has meanwhile
// woken the connection to be closed, the request is still served, as the last one of the connection.
func (t *connTable) setActive(c *clientConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch c.state {
	case connEvicted:
		t.evicting--
		t.open++
		t.evictionDone.Broadcast()
		c.lastRequest = true
	case connClosing:
		c.lastRequest = true
	}
	c.state = connActive
	t.enqueue(c, nil)
}

// setLingering marks a connection as lingering after its last response. It returns false if the connection must be
// closed at once instead. While it lingers, the connection can be evicted.
func (t *connTable) setLingering(c *clientConn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.state == connEvicted || c.state == connClosed {
		return false
	}
	c.state = connWaiting
	t.enqueue(c, &t.lingering)
	return true
}

// remove removes a connection that is about to be closed or has become a tunnel.
func (t *connTable) remove(c *clientConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.enqueue(c, nil)
	switch c.state {
	case connClosed:
	case connEvicted:
		t.evicting--
		t.evictionDone.Broadcast()
	default:
		t.open--
	}
	c.state = connClosed
}

// enqueue moves a connection to the end of a queue, or removes it from its queue if queue is nil. The caller holds mu.
func (t *connTable) enqueue(c *clientConn, queue *list.List) {
	if c.queue != nil {
		c.queue.Remove(c.element)
	}
	c.queue = queue
	c.element = nil
	c.queuedAt = t.now()
	if queue != nil {
		c.element = queue.PushBack(c)
	}
}

// setLimits sets the limit of connections, and the number of spare connections beyond it.
func (t *connTable) setLimits(limit, spare int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limit = limit
	t.hardLimit = limit + spare
}

// queueFilter selects the connections of a queue that have been in it for at least minAge.
type queueFilter struct {
	queue  *list.List
	minAge time.Duration
}

// evict selects the next connection to evict if there are too many, and removes it from its queue. The caller holds mu
// and must wake the connection that is returned. It returns nil if no connection is to be evicted.
func (t *connTable) evict() *clientConn {
	for _, filter := range t.evictionOrder() {
		for c := filter.next(t.now()); c != nil; c = filter.next(t.now()) {
			t.enqueue(c, nil)
			if c.state == connWaiting {
				c.state = connEvicted
				t.open--
				t.evicting++
				return c
			}
		}
	}
	return nil
}

// evictionOrder selects the connections that may be evicted, in order of preference. The caller holds mu. While the
// table is near its limit, unused connections are evicted even before the limit is reached, because all other clients
// then need a new connection, with a handshake, for each request.
func (t *connTable) evictionOrder() []queueFilter {
	switch {
	case t.open > t.limit:
		return []queueFilter{{&t.lingering, 0}, {&t.silent, minSilentTime}, {&t.idle, minIdleTime}, {&t.silent, 0}}
	case t.nearLimitLocked():
		return []queueFilter{{&t.silent, maxSilentTimeNearLimit}, {&t.idle, minIdleTime}}
	default:
		return nil
	}
}

// next returns the oldest connection in the queue, or nil if there is none that has been queued for at least minAge.
func (f queueFilter) next(now time.Time) *clientConn {
	front := f.queue.Front()
	if front == nil {
		return nil
	}
	c := front.Value.(*clientConn)
	if now.Sub(c.queuedAt) < f.minAge {
		return nil
	}
	return c
}

// closeWaiting makes all connections without a request close, except those accepted less than frontend.BacklogGrace
// ago.
func (t *connTable) closeWaiting() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closeWaitingLocked()
}

// closeWaitingLocked implements closeWaiting. The caller holds mu.
func (t *connTable) closeWaitingLocked() {
	for _, filter := range []queueFilter{{&t.silent, frontend.BacklogGrace}, {&t.idle, 0}} {
		for c := filter.next(t.now()); c != nil; c = filter.next(t.now()) {
			t.enqueue(c, nil)
			if c.state == connWaiting {
				c.state = connClosing
				c.SetReadDeadline(deadlinePassed)
			}
		}
	}
}

// nearLimit reports whether more than nearLimitPercent of the limit is in use. Connections are then closed after their
// response, because recently used connections cannot be evicted and would fill the table.
func (t *connTable) nearLimit() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.nearLimitLocked()
}

// nearLimitLocked implements nearLimit. The caller holds mu.
func (t *connTable) nearLimitLocked() bool {
	return (t.open-t.lingering.Len())*100 > t.limit*nearLimitPercent
}

// inUse reports whether any connection is idle between two requests or busy.
func (t *connTable) inUse() bool {
	if t.busy() {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.idle.Len() > 0
}

// busy reports whether any connection has a request, is being closed, or was accepted less than frontend.BacklogGrace
// ago, so that its first request may still arrive.
func (t *connTable) busy() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if newest := t.silent.Back(); newest != nil {
		if t.now().Sub(newest.Value.(*clientConn).queuedAt) < frontend.BacklogGrace {
			return true
		}
	}
	return t.evicting > 0 || t.open > t.silent.Len()+t.idle.Len()
}

// ConnCounts are numbers of client connections. They are part of the admin status.
type ConnCounts struct {
	Open      int `json:"open"`   // open connections, except tunnels and those that are being evicted
	Silent    int `json:"silent"` // connections that have not received a request yet
	Idle      int `json:"idle"`   // connections between two requests
	Lingering int `json:"spent"`  // connections in lingeringClose, after their last response
	Limit     int `json:"budget"` // number of connections above which one is evicted
}

// ConnCounts returns the current numbers of client connections.
func (s *Server) ConnCounts() ConnCounts {
	t := &s.conns
	t.mu.Lock()
	defer t.mu.Unlock()
	return ConnCounts{
		Open:      t.open,
		Silent:    t.silent.Len(),
		Idle:      t.idle.Len(),
		Lingering: t.lingering.Len(),
		Limit:     t.limit,
	}
}
