package fastcgi

import (
	"context"
	"strings"

	"dunemoor/internal/upstream"
)

// getConn returns a connection to a host with capacity for a request, which it reserves, or dials one. reused tells
// that the connection has carried other requests.
func (t *Transport) getConn(ctx context.Context, h *host) (c *conn, reused bool, err error) {
	t.mu.Lock()
	for {
		if c, reused := t.reserveRequest(h); c != nil {
			t.mu.Unlock()
			return c, reused, nil
		}
		// Where a connection carries several requests, the one that is being dialed will have capacity.
		dialing := h.dialing
		if dialing == nil || !h.values.Multiplexes {
			break
		}
		t.mu.Unlock()
		select {
		case <-dialing:
		case <-ctx.Done():
			return nil, false, ctx.Err()
		}
		t.mu.Lock()
	}
	if !t.makeRoom(h) {
		t.mu.Unlock()
		return nil, false, upstream.ErrTooManyConns
	}
	t.conns.CountOpened()
	target := dialTarget{process: h.process, generation: h.generation}
	queryValues := !h.valuesQueried
	h.valuesQueried = true
	dialing := make(chan struct{})
	h.dialing = dialing
	t.mu.Unlock()
	if queryValues {
		go t.queryValues(h, target)
	}
	c, err = t.dial(ctx, h, target)
	t.mu.Lock()
	if h.dialing == dialing {
		h.dialing = nil
	}
	t.mu.Unlock()
	close(dialing)
	return c, false, err
}

// reserveRequest reserves capacity for a request on the first connection to a host that has some, or returns nil.
// t.mu is held.
func (t *Transport) reserveRequest(h *host) (c *conn, reused bool) {
	for _, c := range t.conns.Conns(h) {
		if !c.draining && c.inFlight < c.capacity() {
			c.inFlight++
			reused = c.reused
			c.reused = true
			return c, reused
		}
	}
	return nil, false
}

// makeRoom reports whether a further connection to a host may be dialed. At the limit of the transport it closes the
// connection that has been idle longest. t.mu is held.
func (t *Transport) makeRoom(h *host) bool {
	if t.conns.Full() {
		_, longest, ok := t.conns.LongestIdle()
		if !ok {
			return false
		}
		longest.draining = true
		longest.Conn.Close() // readLoop sees that and removes it
	}
	hostIsFull := h.values.MaxConns > 0 && len(t.conns.Conns(h)) >= h.values.MaxConns
	return !hostIsFull && !t.closed
}

// unixPrefix begins the address of a responder on a Unix domain socket.
const unixPrefix = "unix:"

// dialTarget is where a dial leads.
type dialTarget struct {
	process    upstream.Process
	generation int // of the host, when it had this process
}

// network splits the address into the arguments of a dialer.
func (d dialTarget) network() (network, addr string) {
	if path, ok := strings.CutPrefix(d.process.Addr, unixPrefix); ok {
		return "unix", path
	}
	return "tcp", d.process.Addr
}

// dial establishes a connection that has been counted as open, with capacity reserved for a request.
func (t *Transport) dial(ctx context.Context, h *host, target dialTarget) (*conn, error) {
	network, addr := target.network()
	netConn, err := t.dialer.DialContext(ctx, network, addr)
	if err != nil {
		t.mu.Lock()
		t.conns.CountClosed()
		t.mu.Unlock()
		return nil, err
	}
	c := newConn(h, netConn, target.generation)
	t.mu.Lock()
	c.inFlight = 1
	c.reused = true
	t.conns.Add(h, c)
	t.mu.Unlock()
	go c.readLoop()
	return c, nil
}
