package http1

import (
	"container/list"
	"sync"
	"time"

	"dunemoor/internal/frontend"
)

const (
	// crowdedPercent is the share of the limit of connections, in percent, from which there is a crowd: connections that
	// have been without a request for long are closed, and the others end with their responses. In a crowd a connection
	// serves one request, and could not be closed for minIdleTime if it stayed open.
	crowdedPercent = 65

	// minIdleTime is how long a connection may be idle before it is evicted. A close sooner may cross a request that the
	// client has begun to send.
	minIdleTime = 2 * time.Second
	// minSilentTime is how long a new connection may be without a request before it is evicted while others can be: in a
	// crowd many have just been accepted and are yet to be read.
	minSilentTime = 100 * time.Millisecond
	// maxSilentTimeCrowded is how long a new connection may be without a request in a crowd. Clients open a connection
	// when they have a request.
	maxSilentTimeCrowded = time.Second
)

// connTable keeps the connections of clients within the limits of descriptors. Beyond the limit it evicts the connection
// of least use: first those with a last response that their clients are still reading, then those without a request yet,
// oldest first, then those idle for minIdleTime. It begins with those of no use for long before the limit is reached. So
// there are descriptors for the requests in the listener's backlog. Each call costs the same however many connections
// there are.
//
// Only the goroutine of a connection closes it. The table wakes it by a read deadline in the past, and the goroutine then
// looks for bytes once more: what has arrived by then is served as any request.
type connTable struct {
	mu        sync.Mutex // guards all below
	limit     int        // connections; beyond it one is evicted
	hardLimit int        // connections; beyond it a new one is closed at once if none can be evicted
	open      int        // connections without those being evicted
	evicting  int        // connections whose goroutines are about to close them to make room
	evicted   *sync.Cond // is signaled when evicting falls
	lingering list.List  // have had their last response, and what their clients still send is discarded
	silent    list.List  // have had no request yet
	idle      list.List  // are between two requests

	clock func() time.Time // replaces time.Now in tests
}

// connState is what a connection is doing.
type connState int

const (
	connWaiting connState = iota // for a request, or lingering
	connActive                   // has a request, or a part of one
	connClosing                  // its goroutine has been woken to close it
	connEvicted                  // its goroutine has been woken to close it at once, to make room
	connClosed                   // is closed, or a tunnel, and counts no more
)

// deadlinePassed is a deadline that wakes a goroutine that reads.
var deadlinePassed = time.Unix(1, 0)

// now returns the time that the ages of connections are computed with; mu is held.
func (t *connTable) now() time.Time {
	if t.clock != nil {
		return t.clock()
	}
	return time.Now()
}

// add adds a new connection, and evicts another if there are too many. It returns false if the connection has to be
// closed at once, as none can be evicted.
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

// awaitEvictions waits while more connections are being evicted than there are spare descriptors. Their goroutines have
// been woken and wait for no one.
func (t *connTable) awaitEvictions() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for t.evicting > max(t.hardLimit-t.limit, 1) {
		t.evicted.Wait()
	}
}

// setIdle marks a connection as waiting for its next request.
func (t *connTable) setIdle(c *clientConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.enqueue(c, &t.idle)
	c.state = connWaiting
}

// setActive marks a connection as having a request, whose first bytes have arrived. If it was to be closed meanwhile, the
// request is served and is its last.
func (t *connTable) setActive(c *clientConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch c.state {
	case connEvicted:
		t.evicting--
		t.open++
		t.evicted.Broadcast()
		c.servesLast = true
	case connClosing:
		c.servesLast = true
	}
	c.state = connActive
	t.enqueue(c, nil)
}

// setLingering marks a connection as having had its last response, and reports whether what its client still sends may be
// read for a while. If so the connection can be evicted.
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

// remove removes a connection that is closed, or has become a tunnel.
func (t *connTable) remove(c *clientConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.enqueue(c, nil)
	switch c.state {
	case connClosed:
	case connEvicted:
		t.evicting--
		t.evicted.Broadcast()
	default:
		t.open--
	}
	c.state = connClosed
}

// enqueue moves a connection to the end of a queue, or to none if queue is nil; mu is held.
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

// setLimits sets the limit of connections, and how many more there may be before a new one is closed at once.
func (t *connTable) setLimits(limit, spare int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limit = limit
	t.hardLimit = limit + spare
}

// candidates are a queue of connections to close, and how long one must have been in it.
type candidates struct {
	queue  *list.List
	minAge time.Duration
}

// evict removes the connection to close if there are too many, and returns it to be woken; mu is held. It returns nil if
// there is none.
func (t *connTable) evict() *clientConn {
	for _, from := range t.evictionOrder() {
		for c := from.next(t.now()); c != nil; c = from.next(t.now()) {
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

// evictionOrder returns where a connection to evict is looked for, in order; mu is held. In a crowd, connections that are
// not used any more are evicted before the limit is reached, as all other clients pay a handshake for each request.
func (t *connTable) evictionOrder() []candidates {
	switch {
	case t.open > t.limit:
		return []candidates{{&t.lingering, 0}, {&t.silent, minSilentTime}, {&t.idle, minIdleTime}, {&t.silent, 0}}
	case t.isCrowded():
		return []candidates{{&t.silent, maxSilentTimeCrowded}, {&t.idle, minIdleTime}}
	default:
		return nil
	}
}

// next returns the oldest connection in the queue if it has been there for long enough by now, and else nil.
func (from candidates) next(now time.Time) *clientConn {
	front := from.queue.Front()
	if front == nil {
		return nil
	}
	c := front.Value.(*clientConn)
	if now.Sub(c.queuedAt) < from.minAge {
		return nil
	}
	return c
}

// closeWaiting makes the connections without a request end, other than those that were accepted a moment ago.
func (t *connTable) closeWaiting() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closeWaitingLocked()
}

// closeWaitingLocked is closeWaiting; mu is held.
func (t *connTable) closeWaitingLocked() {
	for _, from := range []candidates{{&t.silent, frontend.BacklogGrace}, {&t.idle, 0}} {
		for c := from.next(t.now()); c != nil; c = from.next(t.now()) {
			t.enqueue(c, nil)
			if c.state == connWaiting {
				c.state = connClosing
				c.SetReadDeadline(deadlinePassed)
			}
		}
	}
}

// crowded reports whether the limit is nearly reached. Connections then end with their responses, so that the table
// doesn't fill with those that have just been used.
func (t *connTable) crowded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isCrowded()
}

// isCrowded is crowded; mu is held.
func (t *connTable) isCrowded() bool {
	return (t.open-t.lingering.Len())*100 > t.limit*crowdedPercent
}

// inUse reports whether a client has a connection for its next request, or may be about to send its first.
func (t *connTable) inUse() bool {
	if t.busy() {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.idle.Len() > 0
}

// busy reports whether a connection has a request, is being closed, or may be about to receive its first request.
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

// ConnCounts are numbers of client connections. The keys "spent" and "budget" are those of the admin status.
type ConnCounts struct {
	Open      int `json:"open"`   // all but tunnels
	Silent    int `json:"silent"` // without a request yet
	Idle      int `json:"idle"`   // between two requests
	Lingering int `json:"spent"`  // after their last response, in lingeringClose
	Limit     int `json:"budget"` // number beyond which connections are evicted
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
