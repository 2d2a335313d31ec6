package upstream

import (
	"context"
	"slices"
	"time"
)

// PooledConn is a connection in a Pool.
type PooledConn interface {
	comparable
	// IdleSince returns when the last request on the connection ended. ok is false if a request is open, or if the
	// connection accepts no more requests.
	IdleSince() (at time.Time, ok bool)
}

// Pool keeps connections by host, and limits the number of open connections. A transport keeps either all of its
// connections in it or only the idle ones. The pool is guarded by the transport's mutex.
type Pool[H comparable, C PooledConn] struct {
	maxOpen int
	open    int       // connections that are open or being dialed, whether they are in the pool or not
	conns   map[H][]C // connections by host, in the order in which they were added
}

// NewPool returns an empty pool for up to maxOpen connections.
func NewPool[H comparable, C PooledConn](maxOpen int) Pool[H, C] {
	return Pool[H, C]{maxOpen: maxOpen, conns: map[H][]C{}}
}

// SetMaxOpen changes the limit. Open connections are not closed.
func (p *Pool[H, C]) SetMaxOpen(maxOpen int) { p.maxOpen = maxOpen }

// Full reports whether the limit is reached, so that no further connection may be opened.
func (p *Pool[H, C]) Full() bool { return p.open >= p.maxOpen }

// NumOpen returns the number of connections that are open or being dialed.
func (p *Pool[H, C]) NumOpen() int { return p.open }

// CountOpened counts a connection that is about to be dialed.
func (p *Pool[H, C]) CountOpened() { p.open++ }

// CountClosed counts a connection that was closed, or whose dial failed.
func (p *Pool[H, C]) CountClosed() { p.open-- }

// Add adds a connection to a host.
func (p *Pool[H, C]) Add(host H, c C) { p.conns[host] = append(p.conns[host], c) }

// Conns returns the connections to a host, in the order in which they were added. The slice is owned by the pool.
func (p *Pool[H, C]) Conns(host H) []C { return p.conns[host] }

// PopFirst removes the connection to a host that was added first, and returns it.
func (p *Pool[H, C]) PopFirst(host H) (c C, ok bool) {
	conns := p.conns[host]
	if len(conns) == 0 {
		return c, false
	}
	var none C
	c = conns[0]
	conns[0] = none
	p.set(host, conns[1:])
	return c, true
}

// Remove removes a connection to a host.
func (p *Pool[H, C]) Remove(host H, c C) {
	conns := p.conns[host]
	if i := slices.Index(conns, c); i >= 0 {
		p.set(host, slices.Delete(conns, i, i+1))
	}
}

// RemoveHost removes all connections to a host, and returns them.
func (p *Pool[H, C]) RemoveHost(host H) []C {
	conns := p.conns[host]
	delete(p.conns, host)
	return conns
}

// RemoveIf removes the connections for which remove returns true.
func (p *Pool[H, C]) RemoveIf(remove func(C) bool) {
	for host, conns := range p.conns {
		p.set(host, slices.DeleteFunc(conns, remove))
	}
}

// set replaces the connections to a host.
func (p *Pool[H, C]) set(host H, conns []C) {
	if len(conns) == 0 {
		delete(p.conns, host)
		return
	}
	p.conns[host] = conns
}

// Idle returns the connections that have been idle for at least minIdle.
func (p *Pool[H, C]) Idle(minIdle time.Duration) []C {
	var idle []C
	for _, conns := range p.conns {
		for _, c := range conns {
			if since, ok := c.IdleSince(); ok && time.Since(since) >= minIdle {
				idle = append(idle, c)
			}
		}
	}
	return idle
}

// LongestIdle returns the connection that has been idle longest, of all hosts.
func (p *Pool[H, C]) LongestIdle() (host H, longest C, ok bool) {
	var longestSince time.Time
	for h, conns := range p.conns {
		for _, c := range conns {
			since, isIdle := c.IdleSince()
			if isIdle && (!ok || since.Before(longestSince)) {
				host, longest, longestSince, ok = h, c, since, true
			}
		}
	}
	return host, longest, ok
}

// sweepInterval is the time between two searches for connections that have been idle too long.
const sweepInterval = time.Second

// Sweep calls closeExpired once a second until ctx ends, and then closeAll once.
func Sweep(ctx context.Context, closeExpired, closeAll func()) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			closeAll()
			return
		case <-ticker.C:
			closeExpired()
		}
	}
}
