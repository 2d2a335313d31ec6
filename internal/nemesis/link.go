package nemesis

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Relay carries what one gateway sends to another, in user space, and can fail. Each way between
// two gateways has its own: a gateway connects to others through the relays that its file names,
// and sends on the connections that it has opened.
type Relay struct {
	ln net.Listener
	to string

	mu    sync.Mutex
	cut   bool          // bytes are held back, connections stay
	delay time.Duration // of each piece
	tear  bool          // the next piece ends in its midst, and with it the connection
	conns map[net.Conn]struct{}
	wake  chan struct{} // closed by each change
	ended bool
}

// NewRelay starts one to an address, which must be of this machine.
func NewRelay(to string) (*Relay, error) {
	if host, _, err := net.SplitHostPort(to); err != nil || !net.ParseIP(host).IsLoopback() {
		return nil, fmt.Errorf("nemesis: %q is no loopback address", to)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{ln: ln, to: to, conns: map[net.Conn]struct{}{}, wake: make(chan struct{})}
	go r.accept()
	return r, nil
}

// Addr is where it listens.
func (r *Relay) Addr() string { return r.ln.Addr().String() }

func (r *Relay) change(do func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	do()
	close(r.wake)
	r.wake = make(chan struct{})
}

// Cut holds back all that goes this way, or lets it go on. Connections are not told: a machine
// that is cut off says nothing.
func (r *Relay) Cut(on bool) { r.change(func() { r.cut = on }) }

// Delay holds each piece back for so long.
func (r *Relay) Delay(d time.Duration) { r.change(func() { r.delay = d }) }

// Tear ends the next piece, and its connection, in its midst.
func (r *Relay) Tear() { r.change(func() { r.tear = true }) }

// Heal ends all faults.
func (r *Relay) Heal() { r.change(func() { r.cut, r.delay, r.tear = false, 0, false }) }

// Close ends it with all its connections.
func (r *Relay) Close() {
	r.change(func() { r.ended = true })
	r.ln.Close()
	r.mu.Lock()
	for c := range r.conns {
		c.Close()
	}
	r.mu.Unlock()
}

func (r *Relay) accept() {
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return
		}
		go r.carry(c)
	}
}

func (r *Relay) keep(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		c.Close()
		return false
	}
	r.conns[c] = struct{}{}
	return true
}

func (r *Relay) drop(c net.Conn) {
	c.Close()
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
}

func (r *Relay) carry(c net.Conn) {
	if !r.keep(c) {
		return
	}
	defer r.drop(c)
	if !r.pass() { // a new connection is one way of being heard
		return
	}
	d, err := net.DialTimeout("tcp", r.to, time.Second)
	if err != nil || !r.keep(d) {
		return
	}
	defer r.drop(d)
	// The answers of a handshake go back by the same connection, and are let through: what is cut
	// is what the one sends, and without it there is no answer.
	go func() {
		io.Copy(c, d)
		r.drop(c)
	}()
	b := make([]byte, 16<<10)
	for {
		n, err := c.Read(b)
		if n > 0 {
			if !r.pass() {
				return
			}
			r.mu.Lock()
			torn := r.tear
			r.tear = false
			r.mu.Unlock()
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

// pass waits until something may go on; false: the relay has ended.
func (r *Relay) pass() bool {
	r.mu.Lock()
	delay := r.delay
	r.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	for {
		r.mu.Lock()
		cut, ended, wake := r.cut, r.ended, r.wake
		r.mu.Unlock()
		if ended || !cut {
			return !ended
		}
		<-wake
	}
}
