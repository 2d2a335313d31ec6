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
	Zones     map[string]int // numbers of the zones in the settings
	Kinds     map[string]int // numbers of the kinds in the settings
	Transport Transport
	Poll      func() // polls the endpoint list, if the balancer has to poll it; must not block; nil: no operation
	// Stop is called once no Snapshot has the pool any more and its last request has ended, and for all pools when
	// Engine.Run ends. It must not block. It may be nil.
	Stop      func()
	Recording *Recording // nil: nothing is recorded
}

// Pool is a set of hosts of one service, with the balancer that distributes requests among them.
type Pool struct {
	Name   string
	engine *Engine
	cfg    PoolConfig

	ready        atomic.Bool  // the endpoint list has a host that accepts requests
	openRequests atomic.Int64 // requests that are not finished, or have an attempt in flight

	// The fields below are used only by the loop.

	// balancer receives all events: an event that bypasses it is missing from the recording, and a replay then
	// diverges. unrecorded is used only for reading. Without a recording both are the same balancer; with one, balancer
	// is the recorder in front of unrecorded.
	balancer   flightrecorder.Balancer
	unrecorded *balancer.Balancer

	recorder    *poolRecorder // nil: nothing is recorded
	actions     []balancer.Action
	denied      []balancer.Outcome // outcomes of retries that takeRetry denied, which were not sent
	failingOver []*Request         // requests that are to be admitted to their next pool
	hosts       map[balancer.HostID]*host
	readyHosts  int // hosts that the endpoint list marks as ready
	zones       nameIndex
	kinds       nameIndex
	chains      []chainEntry // the pool's positions in the chains of the Snapshot in use
	published   capacity     // the capacity that the chains were last notified of
	mayClose    bool         // whether a Snapshot had the pool or DropUnused was called: it is closed once unused
	unused      bool         // whether the pool is in no Snapshot any more
	ended       bool
}

// capacity is how many hosts of a pool are usable, and how many it has.
type capacity struct{ usable, hosts int }

// unpublishedCapacity is the published capacity of a pool before the chains are notified. It differs from every real
// capacity.
var unpublishedCapacity = capacity{-1, -1}

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

// close ends the pool's recording, marks its hosts as not usable, removes them, and calls PoolConfig.Stop. If wait is
// set, it waits until the recording is written.
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

// Ready reports whether the endpoint list has a host that accepts requests.
func (p *Pool) Ready() bool { return p.ready.Load() }

// OpenRequests returns the number of requests in the pool, including those that have their response while an attempt
// is still in flight.
func (p *Pool) OpenRequests() int64 { return p.openRequests.Load() }

// EjectedHosts returns the names of at most limit ready hosts that are ejected and have not responded since.
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

// Address returns the address of a host of the pool, or "" if the endpoint list does not mark the host as ready.
func (p *Pool) Address(name string) (addr string) {
	p.do(func(balancer.Time) {
		if h := p.hosts[hostID(name)]; h != nil && h.id == name && h.ready {
			addr = h.addr
		}
	})
	return addr
}

// HealthCheckPassed notifies the balancer that an ejected host has passed a health check. The host's backoff then ends
// at a random time within the given duration, if it does not end earlier, and a request may be sent as its trial. Until
// the host responds, only the first call has an effect.
func (p *Pool) HealthCheckPassed(name string, within time.Duration) {
	p.engine.post(func(now balancer.Time) {
		if h := p.hosts[hostID(name)]; h != nil && h.id == name && !p.ended {
			p.balancer.HealthCheckPassed(now, hostID(name), within)
			p.perform(now)
		}
	})
}

// do runs a function in the loop and waits until it has returned, or until the loop has ended.
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
		// request another retry, which takeRetry denies as well, until its own MaxAttempts are used up. The cause of
		// the final response is then CauseNoMoreAttempts, which does not show that the retry budget was exhausted.
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

// publishCapacity notifies the failover chains of the number of usable hosts if it has changed.
func (p *Pool) publishCapacity(now balancer.Time) {
	usable, inSubset := p.unrecorded.Usable()
	if inSubset > 0 {
		usable = usable * p.readyHosts / inSubset // the share of the subset, applied to all ready hosts
	} else {
		usable = p.readyHosts // the balancer has not processed the new list yet
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
