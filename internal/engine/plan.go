package engine

import (
	"slices"
	"sync/atomic"
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/body"
	"dunemoor/internal/route"
)

// Route is what is done with the requests of a route. It is not changed once it is in a plan.
type Route struct {
	Name string
	// Classes are those of its pools, by the number that they go by there, and Names those
	// that requests may ask for.
	Classes []balancer.Class
	Names   map[string]int
	Tenants map[string]int // none: requests name none
	// First and Repeat are where first tries and repeats of each class stand when something
	// has to go; nil where nothing is shed.
	First, Repeat []int
	// Judge says what a host's answer tells the module: balancer.OK ends the request with it.
	Judge func(a *Answer) balancer.Result
	// PassOn has the client get what a host said last, also where that is no success, once
	// the request may have no other attempt.
	PassOn bool
	// Plain is set for clients that bring none of our headers.
	Plain *Plain
	// Streams is how bodies flow that are not held whole; nil: all are.
	Streams *Streams

	rule   *route.Route  // nil: the one pool takes all
	chains []*chain      // in the order of the rule's split
	budget *route.Budget // the loop's; nil: retries are the module's alone
	retry  [2]float64    // share and floor of the budget
}

// Plain is what a route gives to requests that bring none of our headers.
type Plain struct {
	Class      int           // number of the class
	Unsafe     int           // ... and of the same class where nothing may be sent again
	Timeout    time.Duration // from its last byte to its answer
	Repeatable []string      // methods that may be sent again though they are not safe

	Upgrades int // connections that may go over to another protocol at once; 0: none
	Tunnels  atomic.Int64

	Requests, Answers HeaderRules
}

// Streams is how bodies flow on a route.
type Streams struct {
	Hold    int64     // bytes of a request's body that are held, so that it can be sent again
	MaxBody int64     // bytes of a request's body; 0: any
	Stream  bool      // the time is for the answer's first bytes; what follows has its pace only
	Pace    body.Pace // of hosts, and of clients that take an answer
	Upload  body.Pace // of clients that send
}

// SplitBy is the header that keeps a client at one pool; "": chance.
func (r *Route) SplitBy() string {
	if r.rule == nil {
		return ""
	}
	return r.rule.SplitBy
}

func (r *Route) safe(class int) bool { return r.Classes[class].Idempotency == balancer.Idempotent }

// chain is a pool and those that stand in for it.
type chain struct {
	pools []*Pool
	needs []float64
	state *route.Chain // the loop's
}

func (c *chain) same(o *chain) bool {
	return slices.Equal(c.pools, o.pools) && slices.Equal(c.needs, o.needs)
}

// place is where a pool stands in a chain.
type place struct {
	chain *chain
	level int
}

// Plan is which routes there are and where they lead. Requests end on the plan that they
// began on; fronts hold one from Engine.Plan to Release.
type Plan struct {
	Table  *route.Table // nil: every request takes the one route
	routes []*Route     // by the index of their rules
	chains []*chain
	engine *Engine

	refs       atomic.Int64
	superseded atomic.Bool
}

// PoolUse is a pool in a plan with the pools that stand in for it, in their order, and the
// share of its hosts that each needs to carry all.
type PoolUse struct {
	Pool     *Pool
	Need     float64
	Fallback []string
}

// Retries bounds the retries of a route: a share of its first tries, and a floor a second.
type Retries struct{ Share, Floor float64 }

// NewPlan makes a plan. routes are in the order of the table's rules; retries has one entry
// for each, or none. With no table there is one route and one pool.
func (e *Engine) NewPlan(table *route.Table, routes []*Route, retries []Retries, pools ...PoolUse) *Plan {
	p := &Plan{Table: table, routes: routes, engine: e}
	byName := map[string]int{}
	for i, u := range pools {
		byName[u.Pool.Name] = i
	}
	for _, u := range pools {
		c := &chain{pools: []*Pool{u.Pool}, needs: []float64{u.Need}}
		for _, name := range u.Fallback {
			f := pools[byName[name]]
			c.pools, c.needs = append(c.pools, f.Pool), append(c.needs, f.Need)
		}
		c.state = route.NewChain(c.needs...)
		p.chains = append(p.chains, c)
	}
	for i, r := range routes {
		if len(retries) > 0 {
			r.retry = [2]float64{retries[i].Share, retries[i].Floor}
			r.budget = route.NewBudget(retries[i].Share, retries[i].Floor)
		}
		if table == nil {
			r.chains = p.chains
			continue
		}
		r.rule = table.Routes()[i]
		for _, s := range r.rule.Split {
			r.chains = append(r.chains, p.chains[byName[s.Pool]])
		}
	}
	return p
}

// Route finds the route of a request, nil if there is none. q is nil where there is no table.
func (p *Plan) Route(q *route.Request) *Route {
	if p.Table == nil {
		return p.routes[0]
	}
	if r := p.Table.Match(q); r != nil {
		return p.routes[r.Index]
	}
	return nil
}

// Pools calls f with each pool that has a part in the plan.
func (p *Plan) Pools(f func(*Pool)) {
	for _, c := range p.chains {
		f(c.pools[0])
	}
}

// has says whether a pool is in the plan.
func (p *Plan) has(pool *Pool) bool {
	return slices.ContainsFunc(p.chains, func(c *chain) bool { return c.pools[0] == pool })
}

// Plan is the plan in use, nil before the first. The caller says when it needs it no more.
func (e *Engine) Plan() *Plan {
	for {
		p := e.plan.Load()
		if p == nil {
			return nil
		}
		p.refs.Add(1)
		if e.plan.Load() == p {
			return p
		}
		p.Release() // another has come just now; this one may be swept already
	}
}

// Release is called once for each Plan that Engine.Plan gave, behind the last use.
func (p *Plan) Release() {
	if p.refs.Add(-1) == 0 && p.superseded.Load() {
		p.engine.post(func(balancer.Time) { p.engine.sweep() })
	}
}

// Use puts a plan into use, all at once, and returns when that is done. What the new plan
// has in common with the old one, it takes over as it stands: pools, what chains know of
// their hosts, what budgets have saved up. Pools that it lacks end when their last request
// has.
func (e *Engine) Use(p *Plan) {
	done := make(chan struct{})
	if !e.post(func(now balancer.Time) {
		e.use(now, p)
		close(done)
	}) {
		return
	}
	select {
	case <-done:
	case <-e.done:
	}
}

func (e *Engine) use(now balancer.Time, p *Plan) {
	old := e.plan.Load()
	if old != nil {
		p.adopt(old)
		old.superseded.Store(true)
		e.left = append(e.left, old)
	}
	for pool := range e.pools {
		pool.chains, pool.usable = pool.chains[:0], [2]int{-1, -1}
	}
	for _, c := range p.chains {
		c.pools[0].joined = true
		if len(c.pools) < 2 {
			continue // it has no choice, so it needs no news
		}
		for i, pool := range c.pools {
			pool.chains = append(pool.chains, place{c, i})
		}
	}
	e.plan.Store(p)
	for pool := range e.pools {
		if len(pool.chains) > 0 {
			pool.tell(now)
		}
	}
	e.sweep()
}

// Drop ends the pools that were made and never came into use, as where a reload failed.
func (e *Engine) Drop() {
	e.post(func(balancer.Time) {
		for p := range e.pools {
			p.joined = true
		}
		e.sweep()
	})
}

// adopt takes over the state of what has not changed.
func (p *Plan) adopt(old *Plan) {
	for _, c := range p.chains {
		if i := slices.IndexFunc(old.chains, c.same); i >= 0 {
			c.state = old.chains[i].state
		}
	}
	for _, r := range p.routes {
		i := slices.IndexFunc(old.routes, func(o *Route) bool { return o.Name == r.Name })
		if i >= 0 && r.budget != nil && old.routes[i].budget != nil && old.routes[i].retry == r.retry {
			r.budget = old.routes[i].budget
		}
	}
}

// sweep forgets the plans that no request is on any more, and has the pools that are in no
// plan end.
func (e *Engine) sweep() {
	e.left = slices.DeleteFunc(e.left, func(p *Plan) bool { return p.refs.Load() == 0 })
	plan := e.plan.Load()
	for pool := range e.pools {
		// One that was made a moment ago is on its way into the next plan.
		pool.left = pool.joined && plan != nil && !plan.has(pool) && !slices.ContainsFunc(e.left, func(p *Plan) bool { return p.has(pool) })
		e.endIfLeft(pool)
	}
}

// endIfLeft ends a pool that is in no plan and has no request.
func (e *Engine) endIfLeft(p *Pool) {
	if p.left && !p.ended && p.inside.Load() == 0 {
		p.end(false)
		delete(e.pools, p)
	}
}

// end stops what belongs to a pool.
func (p *Pool) end(wait bool) {
	p.ended = true
	p.endRecording(wait)
	for id, h := range p.hosts {
		h.Update("", 0, false)
		delete(p.hosts, id)
	}
	if p.cfg.Stop != nil {
		p.cfg.Stop()
	}
}
