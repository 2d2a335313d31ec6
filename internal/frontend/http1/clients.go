package http1

import (
	"container/list"
	"sync"
	"time"
)

// clients keeps the connections of clients within their budget of descriptors. Beyond
// it, what is of least use is ended: first connections that are done with, then those
// that have brought no request yet, oldest first, then those idle for idleLeast. In a
// crowd that begins before the budget is used up, with what has been of no use for long.
// It guards against running out of descriptors with requests in the backlog, and costs
// the same however many connections there are.
//
// A connection that rests is ended by its own goroutine alone, which is told to: it looks once
// more for bytes, and what has come by then is a request like any other.
type clients struct {
	budget int // what makes room is ended beyond it
	most   int // a connection beyond that is closed at once

	mu     sync.Mutex
	open   int        // all but those that are ending
	ending int        // told to make room: their goroutines are about to close them
	ended  *sync.Cond // one of these has
	spent  list.List  // answered for the last time: their clients are heard to the end
	silent list.List  // with no request yet
	idle   list.List  // between two requests
}

// use is what a connection is used for. Its own goroutine takes it out of connFree when bytes have
// come, others when it is to end.
type use int

const (
	connFree   use = iota // holds no request
	connTaken             // holds one, whole or in part
	connLeave             // is to end: its goroutine has been woken
	connMakes             // ... to make room, at once
	connClosed            // is closed, or no longer of the clients' front
)

// longAgo is a deadline that wakes whoever reads.
var longAgo = time.Unix(1, 0)

// enter takes in a connection that has come, and tells another to end where there are too many.
// It returns false where none can: c is to be closed at once.
func (s *clients) enter(c *clientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open++
	victim := s.makeRoom()
	if victim == nil && s.open > s.most {
		c.use = connClosed
		s.open--
		return false
	}
	s.move(c, &s.silent)
	if victim != nil {
		victim.SetReadDeadline(longAgo)
	}
	return true
}

// settle waits while more connections are ending than there are descriptors to spare. Their
// goroutines have been woken, and wait for nobody.
func (s *clients) settle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.ending > max(s.most-s.budget, 1) {
		s.ended.Wait()
	}
}

// rest has a connection wait for its next request.
func (s *clients) rest(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.move(c, &s.idle)
	c.use = connFree
}

// take has a connection hold the request whose bytes have come, also where it was told to end
// meanwhile: then it ends behind that.
func (s *clients) take(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch c.use {
	case connMakes:
		s.ending--
		s.open++
		s.ended.Broadcast()
		c.last = true
	case connLeave:
		c.last = true
	}
	c.use = connTaken
	s.move(c, nil)
}

// gone forgets a connection that is closed, or has gone over to another protocol and counts no
// more.
func (s *clients) gone(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.move(c, nil)
	switch c.use {
	case connClosed:
	case connMakes:
		s.ending--
		s.ended.Broadcast()
	default:
		s.open--
	}
	c.use = connClosed
}

// spend says that a connection has had its last answer, and whether its client may be heard to
// the end: until it is told to make room.
func (s *clients) spend(c *clientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.use == connMakes || c.use == connClosed {
		return false
	}
	c.use = connFree
	s.move(c, &s.spent)
	return true
}

// move puts a connection into a line, or none; mu is held.
func (s *clients) move(c *clientConn, to *list.List) {
	if c.in != nil {
		c.in.Remove(c.place)
	}
	c.in, c.place, c.since = to, nil, time.Now()
	if to != nil {
		c.place = to.PushBack(c)
	}
}

// share is a line to make room from, and how long a connection must have stood there.
type share struct {
	line  *list.List
	least time.Duration
}

// limit says how many connections may be open from now on.
func (s *clients) limit(budget, spare int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget, s.most = budget, budget+spare
}

// makeRoom picks the connection to end if there are too many; mu is held. One that rests counts
// no more and is to be woken; one that is spent has no use for being heard, and is closed.
func (s *clients) makeRoom() *clientConn {
	var lines []share
	switch {
	case s.open > s.budget:
		lines = []share{{&s.spent, 0}, {&s.silent, silentLeast}, {&s.idle, idleLeast}, {&s.silent, 0}}
	case s.crowd():
		// It guards against connections that nobody uses any more: while they make a
		// crowd, every other client pays a handshake for each of its requests.
		lines = []share{{&s.silent, silentCrowded}, {&s.idle, idleLeast}}
	}
	for _, from := range lines {
		for e := from.line.Front(); e != nil; e = from.line.Front() {
			c := e.Value.(*clientConn)
			if time.Since(c.since) < from.least {
				break
			}
			s.move(c, nil)
			if c.use == connFree {
				c.use = connMakes
				s.open--
				s.ending++
				return c
			}
		}
	}
	return nil
}

// endUnused tells the connections without a request to end, but for those that have come a
// moment ago to bring one.
func (s *clients) endUnused() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endResting()
}

// endResting is endUnused; mu is held.
func (s *clients) endResting() {
	for _, from := range []share{{&s.silent, backlogTime}, {&s.idle, 0}} {
		for e := from.line.Front(); e != nil; e = from.line.Front() {
			c := e.Value.(*clientConn)
			if time.Since(c.since) < from.least {
				break
			}
			s.move(c, nil)
			if c.use == connFree {
				c.use = connLeave
				c.SetReadDeadline(longAgo)
			}
		}
	}
}

// crowded says whether the budget is nearly used up; connections are then closed behind
// their answers. It guards against filling up with those that were used a moment ago.
func (s *clients) crowded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crowd()
}

// crowd says whether the budget is nearly used up, by others than those that are done with; mu is
// held.
func (s *clients) crowd() bool { return (s.open-s.spent.Len())*100 > s.budget*crowdedShare }

// ConnCounts are the connections of clients by what they are of use for.
type ConnCounts struct {
	Open   int `json:"open"`   // all but those that have gone over to another protocol
	Silent int `json:"silent"` // with no request yet
	Idle   int `json:"idle"`   // between two requests
	Spent  int `json:"spent"`  // answered for the last time
	Budget int `json:"budget"` // beyond which room is made
}

// ConnCounts are the connections as they are now.
func (s *Server) ConnCounts() ConnCounts {
	c := &s.clients
	c.mu.Lock()
	defer c.mu.Unlock()
	return ConnCounts{c.open, c.silent.Len(), c.idle.Len(), c.spent.Len(), c.budget}
}

// inUse says whether a client has a connection to ask on, or may yet bring a request.
func (s *clients) inUse() bool {
	if s.busy() {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.idle.Len() > 0
}

// busy says whether a connection holds a request, is to end, or may yet bring its first.
func (s *clients) busy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if newest := s.silent.Back(); newest != nil && time.Since(newest.Value.(*clientConn).since) < backlogTime {
		return true
	}
	return s.ending > 0 || s.open > s.silent.Len()+s.idle.Len()
}
