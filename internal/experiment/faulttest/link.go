package faulttest

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// Link is a TCP proxy with fault injection between one gateway and another. Each direction between two gateways has a
// separate link: a gateway connects to others through the links in its file, and sends on the connections that it has
// opened. A gateway's stream to a relay carries both directions, so the return direction of its link can be blocked too.
type Link struct {
	listener net.Listener
	target   string

	mu            sync.Mutex // guards the fields below
	blocked       bool       // whether the link's own direction is blocked; connections stay open
	returnBlocked bool       // same as blocked, for the return direction
	delay         time.Duration
	truncateNext  bool // whether only half of the next read is forwarded and its connection closed
	connections   map[net.Conn]struct{}
	changed       chan struct{} // closed by each change
	closed        bool
}

const (
	linkBufferSize  = 16 << 10
	linkDialTimeout = time.Second
)

// NewLink starts a link to a loopback address.
func NewLink(target string) (*Link, error) {
	host, _, err := net.SplitHostPort(target)
	if err != nil || !net.ParseIP(host).IsLoopback() {
		return nil, fmt.Errorf("faulttest: %q is not a loopback address", target)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{listener: listener, target: target, connections: map[net.Conn]struct{}{}, changed: make(chan struct{})}
	go l.accept()
	return l, nil
}

// Addr returns the address that the link listens on.
func (l *Link) Addr() string { return l.listener.Addr().String() }

// change runs do, which changes the state, under l.mu, and wakes the connections that wait for a change.
func (l *Link) change(do func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	do()
	close(l.changed)
	l.changed = make(chan struct{})
}

// SetBlocked blocks or unblocks the link's own direction. Connections stay open, like those to an unreachable machine, and
// while the direction is blocked no new one is opened to the target.
func (l *Link) SetBlocked(blocked bool) { l.change(func() { l.blocked = blocked }) }

// SetReturnBlocked is SetBlocked for the return direction of the connections.
func (l *Link) SetReturnBlocked(blocked bool) { l.change(func() { l.returnBlocked = blocked }) }

// SetDelay sets the delay before a connection to the target is opened, and before each read in the link's own direction is
// forwarded.
func (l *Link) SetDelay(d time.Duration) { l.change(func() { l.delay = d }) }

// TruncateNext makes the link forward only half of the next read in its own direction, and close its connection.
func (l *Link) TruncateNext() { l.change(func() { l.truncateNext = true }) }

// Heal ends all faults.
func (l *Link) Heal() {
	l.change(func() {
		l.blocked = false
		l.returnBlocked = false
		l.delay = 0
		l.truncateNext = false
	})
}

// Close closes the link and all its connections.
func (l *Link) Close() {
	l.change(func() { l.closed = true })
	l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.connections {
		c.Close()
	}
}

func (l *Link) accept() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.forwardConnection(c)
	}
}

// add adds a connection. If the link is closed, it closes the connection and returns false.
func (l *Link) add(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		c.Close()
		return false
	}
	l.connections[c] = struct{}{}
	return true
}

func (l *Link) remove(c net.Conn) {
	c.Close()
	l.mu.Lock()
	delete(l.connections, c)
	l.mu.Unlock()
}

// forwardConnection forwards the traffic of an accepted connection, in both directions, until either end closes it.
func (l *Link) forwardConnection(from net.Conn) {
	if !l.add(from) {
		return
	}
	defer l.remove(from)
	if !l.waitUnblocked(false) { // while the link is blocked, no new connection is opened either
		return
	}
	to, err := net.DialTimeout("tcp", l.target, linkDialTimeout)
	if err != nil || !l.add(to) {
		return
	}
	defer l.remove(to)
	go func() {
		defer l.remove(from)
		l.forward(to, from, true)
	}()
	l.forward(from, to, false)
}

// forward forwards bytes in the link's direction or, with isReturn set, in the return direction: replies of a handshake,
// and all that a relay sends on a stream. It returns when one of the connections ends or the link is closed. Only the
// link's own direction is truncated.
func (l *Link) forward(from, to net.Conn, isReturn bool) {
	buffer := make([]byte, linkBufferSize)
	for {
		n, readErr := from.Read(buffer)
		if n > 0 {
			if !l.waitUnblocked(isReturn) {
				return
			}
			truncate := !isReturn && l.takeTruncate()
			if truncate {
				n /= 2
			}
			if _, err := to.Write(buffer[:n]); err != nil || truncate {
				return
			}
		}
		if readErr != nil {
			return
		}
	}
}

// takeTruncate reports whether the current read must be truncated, and clears truncateNext.
func (l *Link) takeTruncate() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	truncate := l.truncateNext
	l.truncateNext = false
	return truncate
}

// waitUnblocked waits for the delay of the link's own direction, and then while the direction is blocked. It returns false
// if the link is closed.
func (l *Link) waitUnblocked(isReturn bool) bool {
	l.mu.Lock()
	delay := l.delay
	l.mu.Unlock()
	if delay > 0 && !isReturn {
		time.Sleep(delay)
	}
	for {
		l.mu.Lock()
		blocked := l.blocked
		if isReturn {
			blocked = l.returnBlocked
		}
		closed := l.closed
		changed := l.changed
		l.mu.Unlock()
		if closed {
			return false
		}
		if !blocked {
			return true
		}
		<-changed
	}
}
