package engine

import (
	"container/heap"
	"log/slog"
	"sync/atomic"
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/flightrecorder"
)

// PoolConfig is the configuration of a Pool.
type PoolConfig struct {
	Name      string
	Settings  balancer.Settings
	Seed      uint64
	Zones     map[string]int // as the settings number them
	Kinds     map[string]int
	Transport Transport
	Poll      func() // polls the endpoint list, where the balancer has to ask for it; must not wait
	// Stop is called once the pool has left the Snapshot and its last request has ended; it must not wait. Nil:
	// there is nothing to stop.
	Stop      func()
	Recording *Recording // nil: nothing is recorded
}

// Pool is the hosts of a service with the balancer that decides among them.
type Pool struct {
	Name   string
	engine *Engine
	cfg    PoolConfig

	ready        atomic.Bool  // a host is known that accepts requests
	openRequests atomic.Int64 // until they are finished and no attempt is in flight

	// The following belongs to the loop.
	// balancer gets all events: a recording lacks those that do not pass through it, and a replay then differs.
	// unrecorded is for reading alone. They are the same if nothing is recorded, and else balancer is the recorder
	// in front of unrecorded.
	balancer   flightrecorder.Balancer
	unrecorded *balancer.Balancer

	record      *recording // nil: nothing is recorded
	actions     []balancer.Action
	denied      []balancer.Outcome // retries that takeRetry denied; not sent
	failingOver []*Request
	hosts       map[balancer.HostID]*host
	readyHosts  int // that the list calls ready
	zones       nameIndex
	kinds       nameIndex
	chains      []chainEntry // of the Snapshot in use
	published   capacity     // as the chains know it
	used        bool         // it has been in a Snapshot, or never will be
	unused      bool         // it is in no Snapshot any more
	ended       bool
}

// capacity is how many hosts of a pool can be used, of how many.
type capacity struct{ usable, hosts int }

// noCapacity differs from every capacity.
var noCapacity = capacity{-1, -1}

// NewPool returns a pool that is in no Snapshot yet. The caller starts its Transport's Run.
func (e *Engine) NewPool(cfg PoolConfig) (*Pool, error) {
	unrecorded, err := balancer.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	if cfg.Poll == nil {
		cfg.Poll = func() {}
	}
	p := &Pool{
		Name: cfg.Name, engine: e, cfg: cfg, unrecorded: unrecorded, balancer: unrecorded,
		hosts: map[balancer.HostID]*host{}, zones: newNameIndex(cfg.Zones), kinds: newNameIndex(cfg.Kinds),
	}
	if cfg.Recording != nil {
		if err := p.startRecording(cfg.Recording); err != nil {
			return nil, err
		}
	}
	e.post(func(now balancer.Time) {
		e.pools[p] = struct{}{}
		p.balancer.Start(now)
		p.perform(now)
	})
	return p, nil
}

// close stops what belongs to a pool.
func (p *Pool) close(wait bool) {
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

// Ready reports whether a host is known that accepts requests.
func (p *Pool) Ready() bool { return p.ready.Load() }

// OpenRequests returns the number of requests in the pool, with those that have their response while an attempt
// is still in flight.
func (p *Pool) OpenRequests() int64 { return p.openRequests.Load() }

// EjectedHosts returns the names of hosts that are ejected and have not answered since, limit at most.
func (p *Pool) EjectedHosts(limit int) (names []string) {
	p.do(func(balancer.Time) {
		if usable, ready := p.unrecorded.Usable(); usable == ready {
			return
		}
		for _, v := range p.unrecorded.Views(nil) {
			if h := p.hosts[v.Host]; h != nil && h.ready && v.Ejections > 0 && len(names) < limit {
				names = append(names, h.id)
			}
		}
	})
	return names
}

// Address returns the address of a host of the pool; "" where the list does not call it ready.
func (p *Pool) Address(name string) (addr string) {
	p.do(func(balancer.Time) {
		if h := p.hosts[hostID(name)]; h != nil && h.id == name && h.ready {
			addr = h.addr
		}
	})
	return addr
}

// HealthCheckPassed reports that an ejected host has passed a health check. Its next trial request is sent some
// time within a duration.
func (p *Pool) HealthCheckPassed(name string, within time.Duration) {
	p.engine.post(func(now balancer.Time) {
		if h := p.hosts[hostID(name)]; h != nil && h.id == name && !p.ended {
			p.balancer.HealthCheckPassed(now, hostID(name), within)
			p.perform(now)
		}
	})
}

// do runs a function in the loop, and waits for it.
func (p *Pool) do(f func(now balancer.Time)) {
	done := make(chan struct{})
	if !p.engine.post(func(now balancer.Time) { f(now); close(done) }) {
		return
	}
	select {
	case <-done:
	case <-p.engine.done:
	}
}

// perform carries out the balancer's actions. It is called after each event of the pool.
func (p *Pool) perform(now balancer.Time) {
	for again := true; again; {
		p.actions = p.balancer.TakeActions(p.actions[:0])
		for i := range p.actions {
			p.performOne(now, &p.actions[i])
		}
		// A retry that takeRetry denied was never sent. The balancer is notified and decides what follows. It may
		// want another, which takeRetry denies as well, until its own MaxAttempts are over. The cause of the final
		// response is then CauseNoMoreAttempts: it does not tell that the retry budget was used up.
		again = len(p.denied) > 0
		for _, o := range p.denied {
			p.balancer.AttemptEnded(now, o)
		}
		p.denied = p.denied[:0]
	}
	if len(p.chains) > 0 {
		p.publishCapacity(now)
	}
	for len(p.failingOver) > 0 {
		last := len(p.failingOver) - 1
		x := p.failingOver[last]
		p.failingOver = p.failingOver[:last]
		x.chain.pools[x.position].admit(now, x)
	}
}

func (p *Pool) performOne(now balancer.Time, a *balancer.Action) {
	e := p.engine
	switch a.Kind {
	case balancer.Send:
		p.send(now, a)
	case balancer.Cancel:
		if x := e.requests[a.Request]; x != nil && a.Attempt < len(x.attempts) {
			x.attempts[a.Attempt]()
		}
	case balancer.Reject, balancer.Fail:
		p.finalResponse(now, a)
	case balancer.Wake:
		heap.Push(&e.timers, timer{a.At, a.Token, p})
	case balancer.Close:
		if h := p.hosts[a.Host]; h != nil {
			h.CloseIdle()
		}
	case balancer.Poll:
		p.cfg.Poll()
	case balancer.Log:
		p.log(a)
	}
}

// log writes a log line of the balancer.
func (p *Pool) log(a *balancer.Action) {
	var args []any
	if h := p.hosts[a.Host]; h != nil {
		args = append(args, "host", h.id)
	}
	if p.Name != "" {
		args = append(args, "pool", p.Name)
	}
	slog.Info(a.Text, args...)
}

// publishCapacity tells the failover chains how many hosts can be used, where that has changed.
func (p *Pool) publishCapacity(now balancer.Time) {
	usable, inSubset := p.unrecorded.Usable()
	if inSubset > 0 {
		usable = usable * p.readyHosts / inSubset // the subset stands for all
	} else {
		usable = p.readyHosts // the balancer has yet to look at the list
	}
	current := capacity{usable, len(p.hosts)}
	if p.published == current {
		return
	}
	p.published = current
	for _, c := range p.chains {
		c.chain.state.SetUsable(now, c.position, current.usable, current.hosts)
	}
}
