package faulttest

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// Link carries what one gateway sends to another, in user space, and can fail. Each way between
// two gateways has its own: a gateway connects to others through the links that its file names,
// and sends on the connections that it has opened. A stream, from a gateway to a relay of the fleet,
// is for both ways: the way back of its link can be cut too.
type Link struct {
	ln net.Listener
	to string

	mu    sync.Mutex
	cut   bool          // bytes are held back, connections stay
	back  bool          // cut is also what comes back
	delay time.Duration // of each piece
	tear  bool          // the next piece ends in its midst, and with it the connection
	conns map[net.Conn]struct{}
	wake  chan struct{} // closed by each change
	ended bool
}

// NewLink starts one to an address, which must be of this machine.
func NewLink(to string) (*Link, error) {
	if host, _, err := net.SplitHostPort(to); err != nil || !net.ParseIP(host).IsLoopback() {
		return nil, fmt.Errorf("nemesis: %q is no loopback address", to)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{ln: ln, to: to, conns: map[net.Conn]struct{}{}, wake: make(chan struct{})}
	go l.accept()
	return l, nil
}

// Addr is where it listens.
func (l *Link) Addr() string { return l.ln.Addr().String() }

func (l *Link) change(do func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	do()
	close(l.wake)
	l.wake = make(chan struct{})
}

// Cut holds back all that goes this way, or lets it go on. Connections are not told: a machine
// that is cut off says nothing.
func (l *Link) Cut(on bool) { l.change(func() { l.cut = on }) }

// CutBack is Cut for what comes back by the same connections.
func (l *Link) CutBack(on bool) { l.change(func() { l.back = on }) }

// Delay holds each piece back for so long.
func (l *Link) Delay(d time.Duration) { l.change(func() { l.delay = d }) }

// Tear ends the next piece, and its connection, in its midst.
func (l *Link) Tear() { l.change(func() { l.tear = true }) }

// Heal ends all faults.
func (l *Link) Heal() { l.change(func() { l.cut, l.back, l.delay, l.tear = false, false, 0, false }) }

// Close ends it with all its connections.
func (l *Link) Close() {
	l.change(func() { l.ended = true })
	l.ln.Close()
	l.mu.Lock()
	for c := range l.conns {
		c.Close()
	}
	l.mu.Unlock()
}

func (l *Link) accept() {
	for {
		c, err := l.ln.Accept()
		if err != nil {
			return
		}
		go l.carry(c)
	}
}

func (l *Link) keep(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		c.Close()
		return false
	}
	l.conns[c] = struct{}{}
	return true
}

func (l *Link) drop(c net.Conn) {
	c.Close()
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
}

func (l *Link) carry(c net.Conn) {
	if !l.keep(c) {
		return
	}
	defer l.drop(c)
	if !l.pass(false) { // a new connection is one way of being heard
		return
	}
	d, err := net.DialTimeout("tcp", l.to, time.Second)
	if err != nil || !l.keep(d) {
		return
	}
	defer l.drop(d)
	// The answers of a handshake go back by the same connection, and are let through: what is cut
	// is what the one sends, and without it there is no answer. Of a stream all goes back there.
	go func() {
		defer l.drop(c)
		b := make([]byte, 16<<10)
		for {
			n, err := d.Read(b)
			if n > 0 && !l.pass(true) {
				return
			}
			if n > 0 {
				if _, err := c.Write(b[:n]); err != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	}()
	b := make([]byte, 16<<10)
	for {
		n, err := c.Read(b)
		if n > 0 {
			if !l.pass(false) {
				return
			}
			l.mu.Lock()
			torn := l.tear
			l.tear = false
			l.mu.Unlock()
			if torn {
				n /= 2
			}
			if _, err := d.Write(b[:n]); err != nil || torn {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// pass waits until something may go on; false: the link has ended.
func (l *Link) pass(back bool) bool {
	l.mu.Lock()
	delay := l.delay
	l.mu.Unlock()
	if delay > 0 && !back {
		time.Sleep(delay)
	}
	for {
		l.mu.Lock()
		cut, ended, wake := l.cut, l.ended, l.wake
		if back {
			cut = l.back
		}
		l.mu.Unlock()
		if ended || !cut {
			return !ended
		}
		<-wake
	}
}
