package http1

import (
	"container/list"
	"net/http"
	"sync"
	"time"
)

// clients keeps the connections of clients within their budget of descriptors. Beyond
// it, what is of least use is closed: first connections that are done with, then those
// that have brought no request yet, oldest first, then those idle for idleLeast. In a
// crowd that begins before the budget is used up, with what has been of no use for long.
// It guards against running out of descriptors with requests in the backlog, and costs
// the same however many connections there are.
type clients struct {
	budget int // what makes room is closed beyond it
	most   int // a connection beyond that is closed at once

	mu     sync.Mutex
	open   int
	spent  list.List // answered for the last time, on their way to be closed
	silent list.List // with no request yet
	idle   list.List // between two requests
}

// Uses of a connection. Whoever changes it from connFree decides: either its bytes are
// a request or it is closed, never both.
const (
	connFree   = iota // holds no request
	connTaken         // holds one, whole or in part
	connClosed        // closed to make room
)

// track follows the connections.
func (s *clients) track(c *clientConn, state http.ConnState) {
	var victim *clientConn
	s.mu.Lock()
	switch state {
	case http.StateNew:
		s.open++
		if victim = s.makeRoom(); victim == nil && s.open > s.most {
			c.use.Store(connClosed)
			s.open--
			victim = c
		} else {
			s.move(c, &s.silent)
		}
	case http.StateActive:
		c.use.CompareAndSwap(connFree, connTaken) // if it is closed, serve sees it
		s.move(c, nil)
	case http.StateIdle:
		s.move(c, &s.idle)
		c.use.CompareAndSwap(connTaken, connFree)
	default:
		s.move(c, nil) // it is closed, or has gone over to another protocol and counts no more
		if c.use.Swap(connClosed) != connClosed {
			s.open--
		}
	}
	s.mu.Unlock()
	if victim != nil {
		victim.Close()
	}
}

// spend says that a connection will be closed behind the answer being written.
func (s *clients) spend(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.use.CompareAndSwap(connTaken, connFree) {
		s.move(c, &s.spent)
	}
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

// use is a line to make room from, and how long a connection must have stood there.
type use struct {
	line  *list.List
	least time.Duration
}

// limit says how many connections may be open from now on.
func (s *clients) limit(budget, spare int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget, s.most = budget, budget+spare
}

// makeRoom picks the connection to close if there are too many; mu is held.
func (s *clients) makeRoom() *clientConn {
	var from []use
	switch {
	case s.open > s.budget:
		from = []use{{&s.spent, 0}, {&s.silent, silentLeast}, {&s.idle, idleLeast}, {&s.silent, 0}}
	case s.crowd():
		// It guards against connections that nobody uses any more: while they make a
		// crowd, every other client pays a handshake for each of its requests.
		from = []use{{&s.silent, silentCrowded}, {&s.idle, idleLeast}}
	}
	for _, use := range from {
		for e := use.line.Front(); e != nil; e = use.line.Front() {
			c := e.Value.(*clientConn)
			if time.Since(c.since) < use.least {
				break
			}
			s.move(c, nil)
			if c.use.CompareAndSwap(connFree, connClosed) {
				s.open--
				return c
			} // else a request has come just now
		}
	}
	return nil
}

// closeUnused closes the connections without a request, but for those that have come a moment
// ago to bring one.
func (s *clients) closeUnused() {
	var victims []*clientConn
	s.mu.Lock()
	for _, use := range []use{{&s.spent, 0}, {&s.silent, lingerTime}, {&s.idle, 0}} {
		for e := use.line.Front(); e != nil; e = use.line.Front() {
			c := e.Value.(*clientConn)
			if time.Since(c.since) < use.least {
				break
			}
			s.move(c, nil)
			if c.use.CompareAndSwap(connFree, connClosed) {
				s.open--
				victims = append(victims, c)
			} // else a request has come just now
		}
	}
	s.mu.Unlock()
	for _, c := range victims {
		c.Close()
	}
}

// crowded says whether the budget is nearly used up; connections are then closed behind
// their answers. It guards against filling up with those that were used a moment ago.
func (s *clients) crowded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crowd()
}

// crowd says whether the budget is nearly used up; mu is held.
func (s *clients) crowd() bool { return s.open*100 > s.budget*crowdedShare }

// Counts are the connections of clients by what they are of use for.
type Counts struct {
	Open   int `json:"open"`   // all but those that have gone over to another protocol
	Silent int `json:"silent"` // with no request yet
	Idle   int `json:"idle"`   // between two requests
	Spent  int `json:"spent"`  // answered for the last time
	Budget int `json:"budget"` // beyond which room is made
}

// Counts are the connections as they are now.
func (s *Server) Counts() Counts {
	c := &s.clients
	c.mu.Lock()
	defer c.mu.Unlock()
	return Counts{c.open, c.silent.Len(), c.idle.Len(), c.spent.Len(), c.budget}
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

// busy says whether a connection holds a request, or may yet bring its first.
func (s *clients) busy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if newest := s.silent.Back(); newest != nil && time.Since(newest.Value.(*clientConn).since) < lingerTime {
		return true
	}
	return s.open > s.silent.Len()+s.idle.Len()+s.spent.Len()
}
