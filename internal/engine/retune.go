package engine

import (
	"context"

	"dunemoor/balancer"
)

// RetuneFunc returns the new settings of a pool, the names of its classes, and a Snapshot that has the pool and matches
// the settings. from[i] is the number of the previous class whose state class i continues, or -1 if there is none. The
// function is called in the loop; inUse reports whether a request may still use the number of a class.
type RetuneFunc func(inUse func(class int) bool) (settings balancer.Settings, from []int, names []string, s *Snapshot)

// Retune applies new settings to a pool's balancer, and puts the matching Snapshot into use, both in one event of the
// loop. It returns once that is done, or with context.Canceled if the loop has ended.
func (e *Engine) Retune(p *Pool, newSettings RetuneFunc) error {
	done := make(chan error, 1)
	if !e.post(func(now balancer.Time) { done <- e.retune(now, p, newSettings) }) {
		return context.Canceled
	}
	select {
	case err := <-done:
		return err
	case <-e.done:
		return context.Canceled
	}
}

func (e *Engine) retune(now balancer.Time, p *Pool, newSettings RetuneFunc) error {
	e.sweep()
	used := e.classesInUse(p)
	settings, from, names, s := newSettings(func(class int) bool { return used[class] })
	if p.recorder != nil {
		p.recorder.rec.SetClassNames(names)
	}
	if err := p.balancer.Retune(now, settings, from); err != nil {
		return err
	}
	if p.recorder != nil {
		for id, h := range p.hosts {
			p.recorder.rec.NameHost(now, id, h.id)
		}
	}
	e.use(now, s)
	p.perform(now)
	return nil
}

// classesInUse returns the numbers of classes that a request may still use: those of open requests in the pool, and
// all classes of the Snapshots that are in use or still held, as a holder may submit another request of any class.
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
