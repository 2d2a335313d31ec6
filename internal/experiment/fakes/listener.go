package fakes

import (
	"net"
	"sync"
)

// crashListener listens for a fake host that can crash and restart at the same address.
type crashListener struct {
	address *reservedAddress

	mu          sync.Mutex   // guards the fields below
	listener    net.Listener // nil: the host has crashed
	connections map[net.Conn]struct{}
	accepted    int // number of accepted connections
}

// newCrashListener reserves an address, which must be a loopback one. Nothing listens on it before start.
func newCrashListener(address string) (*crashListener, error) {
	reserved, err := reserveAddress(address)
	if err != nil {
		return nil, err
	}
	return &crashListener{address: reserved}, nil
}

// start listens at the address. The caller accepts connections from the listener and passes each to add.
func (l *crashListener) start() (net.Listener, error) {
	listener, err := l.address.listen()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listener = listener
	l.connections = map[net.Conn]struct{}{}
	return listener, nil
}

// add records a connection that was accepted from a listener of start. If the host has crashed since, it resets the
// connection and returns false.
func (l *crashListener) add(from net.Listener, c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener != from {
		reset(c)
		return false
	}
	l.connections[c] = struct{}{}
	l.accepted++
	return true
}

// remove forgets a connection that has ended.
func (l *crashListener) remove(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.connections, c)
}

// crash refuses new connections and resets the others. It returns false if the host has crashed already.
func (l *crashListener) crash() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener == nil {
		return false
	}
	l.listener.Close()
	l.listener = nil
	for c := range l.connections {
		reset(c)
	}
	return true
}

// numAccepted returns the number of connections that were accepted.
func (l *crashListener) numAccepted() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.accepted
}

// reset closes a connection with a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}
