package engine

import (
	"slices"
	"sync/atomic"

	"dunemoor/balancer"
	"dunemoor/internal/route"
)

// Snapshot is an immutable set of routes and pools. A request uses the same Snapshot from its start to its end: a
// frontend holds the Snapshot from the call of Engine.Snapshot to that of Release.
type Snapshot struct {
	Table  *route.Table     // nil: every request takes the only route
	routes []*Route         // routes by the index of their rules
	chains []*failoverChain // one for each pool
	engine *Engine

	references atomic.Int64
	replaced   atomic.Bool
}

// PoolUse is a pool in a Snapshot, with the share of its hosts that must be usable for it to carry all its requests,
// and the names of its fallback pools in order.
type PoolUse struct {
	Pool     *Pool
	MinShare float64
	Fallback []string
}

// NewSnapshot returns a Snapshot. routes are in the order of the table's rules; retries has one entry for each route,
// or is empty. Without a table there is one route and one pool.
func (e *Engine) NewSnapshot(table *route.Table, routes []*Route, retries []Retries, pools ...PoolUse) *Snapshot {
	s := &Snapshot{Table: table, routes: routes, engine: e}
	byName := map[string]int{}
	for i, u := range pools {
		byName[u.Pool.Name] = i
	}
	for _, u := range pools {
		c := &failoverChain{pools: []*Pool{u.Pool}, minShares: []float64{u.MinShare}}
		for _, name := range u.Fallback {
			fallback := pools[byName[name]]
			c.pools, c.minShares = append(c.pools, fallback.Pool), append(c.minShares, fallback.MinShare)
		}
		c.state = route.NewChain(c.minShares...)
		s.chains = append(s.chains, c)
	}
	for i, r := range routes {
		if len(retries) > 0 {
			r.retries = retries[i]
			r.budget = route.NewBudget(retries[i].Share, retries[i].Floor)
		}
		if table == nil {
			r.chains = s.chains
			continue
		}
		r.rule = table.Routes()[i]
		for _, split := range r.rule.Split {
			r.chains = append(r.chains, s.chains[byName[split.Pool]])
		}
	}
	return s
}

// Route returns the route of a request, or nil if there is none. q may be nil if the Snapshot has no table.
func (s *Snapshot) Route(q *route.Request) *Route {
	if s.Table == nil {
		return s.routes[0]
	}
	if r := s.Table.Match(q); r != nil {
		return s.routes[r.Index]
	}
	return nil
}

// Pools calls f with each pool of the Snapshot.
func (s *Snapshot) Pools(f func(*Pool)) {
	for _, c := range s.chains {
		f(c.pools[0])
	}
}

// has reports whether a pool is in the Snapshot.
func (s *Snapshot) has(pool *Pool) bool {
	return slices.ContainsFunc(s.chains, func(c *failoverChain) bool { return c.pools[0] == pool })
}

// Snapshot returns the Snapshot in use, nil before the first. The caller releases it.
func (e *Engine) Snapshot() *Snapshot {
	for {
		s := e.snapshot.Load()
		if s == nil {
			return nil
		}
		s.references.Add(1)
		if e.snapshot.Load() == s {
			return s
		}
		s.Release() // the Snapshot was replaced meanwhile, and sweep may have dropped it
	}
}

// Release is called once for each Snapshot that Engine.Snapshot returned, after its last use.
func (s *Snapshot) Release() {
	if s.references.Add(-1) == 0 && s.replaced.Load() {
		s.engine.post(func(balancer.Time) { s.engine.sweep() })
	}
}

// Use puts a Snapshot into use in one event of the loop, and returns when that is done. Pools, the state of failover
// chains and retry budgets that both the previous Snapshot and this one have are kept. Pools that only the previous
// one has are closed when their last request has ended.
func (e *Engine) Use(s *Snapshot) {
	done := make(chan struct{})
	if !e.post(func(now balancer.Time) {
		e.use(now, s)
		close(done)
	}) {
		return
	}
	select {
	case <-done:
	case <-e.done:
	}
}

func (e *Engine) use(now balancer.Time, s *Snapshot) {
	old := e.snapshot.Load()
	if old != nil {
		s.adopt(old)
		old.replaced.Store(true)
		e.superseded = append(e.superseded, old)
	}
	for pool := range e.pools {
		pool.chains, pool.published = pool.chains[:0], unpublishedCapacity
	}
	for _, c := range s.chains {
		c.pools[0].mayClose = true
		if len(c.pools) < 2 {
			continue // without a fallback there is no pool to choose
		}
		for i, pool := range c.pools {
			pool.chains = append(pool.chains, chainEntry{c, i})
		}
	}
	e.snapshot.Store(s)
	for pool := range e.pools {
		if len(pool.chains) > 0 {
			pool.publishCapacity(now)
		}
	}
	e.sweep()
}

// DropUnused closes the pools that were created and never used, for example by a reload that failed.
func (e *Engine) DropUnused() {
	e.post(func(balancer.Time) {
		for p := range e.pools {
			p.mayClose = true
		}
		e.sweep()
	})
}

// adopt takes over the state of unchanged failover chains, and the retry budgets with unchanged parameters.
func (s *Snapshot) adopt(old *Snapshot) {
	for _, c := range s.chains {
		if i := slices.IndexFunc(old.chains, c.equal); i >= 0 {
			c.state = old.chains[i].state
		}
	}
	for _, r := range s.routes {
		i := slices.IndexFunc(old.routes, func(o *Route) bool { return o.Name == r.Name })
		if i >= 0 && r.budget != nil && old.routes[i].budget != nil && old.routes[i].retries == r.retries {
			r.budget = old.routes[i].budget
		}
	}
}

// sweep drops the replaced Snapshots that are no longer held, and closes the pools that are in no Snapshot and have
// no requests.
func (e *Engine) sweep() {
	e.superseded = slices.DeleteFunc(e.superseded, func(s *Snapshot) bool { return s.references.Load() == 0 })
	current := e.snapshot.Load()
	for pool := range e.pools {
		// A pool that has not been in a Snapshot yet is kept, as the next Snapshot will have it.
		pool.unused = pool.mayClose && current != nil && !current.has(pool) &&
			!slices.ContainsFunc(e.superseded, func(s *Snapshot) bool { return s.has(pool) })
		e.closeIfUnused(pool)
	}
}

// closeIfUnused closes a pool that is in no Snapshot and has no request.
func (e *Engine) closeIfUnused(p *Pool) {
	if p.unused && !p.ended && p.openRequests.Load() == 0 {
		p.close(false)
		delete(e.pools, p)
	}
}
