package fastcgi

import (
	"context"
	"strings"

	"dunemoor/internal/upstream"
)

// getConn returns a connection to a host with capacity for a request, or dials one, and reserves the capacity. reused
// reports whether the connection has been used for other requests.
func (t *Transport) getConn(ctx context.Context, h *host) (c *conn, reused bool, err error) {
	t.mu.Lock()
	for {
		if c, reused := t.reserveRequest(h, false); c != nil {
			t.mu.Unlock()
			return c, reused, nil
		}
		// If the responder multiplexes, a connection that is being dialed will have capacity for this request too.
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
		c, reused := t.reserveRequest(h, true)
		t.mu.Unlock()
		if c == nil {
			return nil, false, upstream.ErrTooManyConns
		}
		return c, reused, nil
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

// reserveRequest reserves capacity for a request on the first connection to a host that has any, or returns nil if none
// has. Connections that are blocked by other requests are only used if blockedToo is set. t.mu is held.
func (t *Transport) reserveRequest(h *host, blockedToo bool) (c *conn, reused bool) {
	for _, c := range t.conns.Conns(h) {
		isUsable := blockedToo || !c.congestion.isBlocked()
		if isUsable && !c.draining && c.inFlight < c.capacity() {
			c.inFlight++
			reused = c.reused
			c.reused = true
			return c, reused
		}
	}
	return nil, false
}

// makeRoom reports whether another connection to a host may be dialed. At the limit of the transport it closes the
// connection that has been idle longest. t.mu is held.
func (t *Transport) makeRoom(h *host) bool {
	if t.conns.Full() {
		_, longest, ok := t.conns.LongestIdle()
		if !ok {
			return false
		}
		longest.draining = true
		longest.Conn.Close() // readLoop then ends and removes the connection
	}
	hostIsFull := h.values.MaxConns > 0 && len(t.conns.Conns(h)) >= h.values.MaxConns
	return !hostIsFull && !t.closed
}

// unixPrefix is the prefix of the address of a responder on a Unix domain socket.
const unixPrefix = "unix:"

// dialTarget is the process that a dial connects to.
type dialTarget struct {
	process    upstream.Process
	generation int // host.generation for this process
}

// network splits the address into the arguments of a dialer.
func (d dialTarget) network() (network, addr string) {
	if path, ok := strings.CutPrefix(d.process.Addr, unixPrefix); ok {
		return "unix", path
	}
	return "tcp", d.process.Addr
}

// dial establishes a connection, which the caller has counted as open, and reserves capacity for a request on it.
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
