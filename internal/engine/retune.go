package engine

import (
	"context"

	"dunemoor/balancer"
)

// RetuneFunc returns the new settings of a pool, the former number of each class, the names of the classes, and a
// Snapshot that goes with the settings and has the pool in it. It is called in the loop; inUse reports whether a
// request may still use the number of a class.
type RetuneFunc func(inUse func(class int) bool) (set balancer.Settings, from []int, names []string, s *Snapshot)

// Retune gives a pool's balancer new settings, and puts a Snapshot into use that goes with them, in one step. It
// returns once that is done.
func (e *Engine) Retune(p *Pool, settle RetuneFunc) error {
	done := make(chan error, 1)
	if !e.post(func(now balancer.Time) { done <- e.retune(now, p, settle) }) {
		return context.Canceled
	}
	select {
	case err := <-done:
		return err
	case <-e.done:
		return context.Canceled
	}
}

func (e *Engine) retune(now balancer.Time, p *Pool, settle RetuneFunc) error {
	e.sweep()
	used := e.classesInUse(p)
	set, from, names, s := settle(func(class int) bool { return used[class] })
	if p.record != nil {
		p.record.rec.SetClassNames(names)
	}
	if err := p.balancer.Retune(now, set, from); err != nil {
		return err
	}
	if p.record != nil {
		for id, h := range p.hosts {
			p.record.rec.NameHost(now, id, h.id)
		}
	}
	e.use(now, s)
	p.perform(now)
	return nil
}

// classesInUse returns the numbers of classes that a request may still use: those of open requests in the pool, and
// all of a Snapshot that is held, as its holder may yet submit a request of any class.
func (e *Engine) classesInUse(p *Pool) map[int]bool {
	used := map[int]bool{}
	for _, x := range e.requests {
		used[x.Class] = used[x.Class] || x.pool == p
	}
	for _, s := range append(e.superseded[:len(e.superseded):len(e.superseded)], e.snapshot.Load()) {
		for _, r := range s.routes {
			for _, class := range r.ClassNames {
				used[class] = true
			}
		}
	}
	return used
}
