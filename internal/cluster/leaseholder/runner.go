package leaseholder

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"dunemoor/internal/cluster/node"
)

// WorkFunc is what the holder of a lease does. It returns soon after ctx is done, and not before: work
// that returns by itself is started again while the lease is held.
type WorkFunc func(ctx context.Context, l *Lease)

// restartDelay is when work that returned by itself is started again.
const restartDelay = time.Second

// Runner runs the work of the leases that this gateway holds. Its methods may be called by several
// goroutines.
type Runner struct {
	released func(lease string, token uint64)

	mu      sync.Mutex
	work    map[string]WorkFunc // by lease
	tasks   map[string]*task    // by lease: the last that was started
	closed  bool
	running sync.WaitGroup
}

// task is work under one grant of a lease.
type task struct {
	lease  *Lease
	cancel context.CancelFunc
	done   chan struct{} // closed when the work has returned
}

// end tells the work to stop. It reports false where that was done before.
func (t *task) end() bool {
	if t.lease.ended.Swap(true) {
		return false
	}
	t.cancel()
	return true
}

// NewRunner returns a Runner without work. It calls released, on a goroutine of its own, when the work
// of a lease that is to be released has stopped.
func NewRunner(released func(lease string, token uint64)) *Runner {
	return &Runner{released: released, work: map[string]WorkFunc{}, tasks: map[string]*task{}}
}

// Register sets the work of a lease. It is to be called before the first Update.
func (r *Runner) Register(lease string, w WorkFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.work[lease] = w
}

// Names returns the leases that have work, sorted.
func (r *Runner) Names() (list []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name := range r.work {
		list = append(list, name)
	}
	slices.Sort(list)
	return list
}

// Update takes over the grants that are held now: work is started, stopped and extended accordingly.
// It does not wait.
func (r *Runner) Update(grants []node.Grant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := map[string]bool{}
	for _, g := range grants {
		held[g.Lease] = true
		t := r.tasks[g.Lease]
		switch {
		case g.Releasing:
			r.release(g, t)
		case t != nil && t.lease.Token == g.Token && !t.lease.ended.Load():
			t.lease.deadline.Store(int64(g.Deadline))
		default:
			r.start(g, t)
		}
	}
	for name, t := range r.tasks {
		if !held[name] {
			t.end()
		}
	}
}

// release stops the task of a lease and then reports it as released. A grant may be released
// repeatedly: the report is repeated once the work has stopped.
func (r *Runner) release(g node.Grant, t *task) {
	switch {
	case t == nil:
		go r.released(g.Lease, g.Token)
	case t.lease.Token == g.Token && t.end():
		go func() {
			<-t.done
			r.released(g.Lease, g.Token)
		}()
	default:
		select {
		case <-t.done:
			go r.released(g.Lease, g.Token)
		default:
		}
	}
}

// start starts the work under a grant once that of the previous grant has stopped. The lock is held.
func (r *Runner) start(g node.Grant, previous *task) {
	work := r.work[g.Lease]
	if work == nil || r.closed {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	t := &task{lease: &Lease{Name: g.Lease, Token: g.Token}, cancel: cancel, done: make(chan struct{})}
	t.lease.deadline.Store(int64(g.Deadline))
	if previous != nil {
		previous.end()
	}
	r.tasks[g.Lease] = t
	r.running.Go(func() {
		defer close(t.done)
		defer cancel()
		if previous != nil {
			<-previous.done
		}
		for ctx.Err() == nil {
			work(ctx, t.lease)
			select {
			case <-ctx.Done():
			case <-time.After(restartDelay):
			}
		}
		slog.Debug("the work under a lease has stopped", "lease", g.Lease, "token", g.Token)
	})
}

// Close stops all work and waits for it.
func (r *Runner) Close() {
	r.mu.Lock()
	r.closed = true
	for _, t := range r.tasks {
		t.end()
	}
	r.mu.Unlock()
	r.running.Wait()
}
