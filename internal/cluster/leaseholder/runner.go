package leaseholder

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"dunemoor/internal/cluster/node"
)

// WorkFunc is the work that the holder of a lease runs. It must return soon after ctx is done. If it returns
// earlier, it is restarted while the lease is held.
type WorkFunc func(ctx context.Context, l *Lease)

// restartDelay is the delay after which work that has returned before ctx is done is restarted.
const restartDelay = time.Second

// Runner runs the work of the leases that this gateway holds. It is safe for concurrent use.
type Runner struct {
	released func(lease string, token uint64)

	mu      sync.Mutex
	work    map[string]WorkFunc // by lease
	tasks   map[string]*task    // by lease: the last started task
	closed  bool
	running sync.WaitGroup
}

// task is the work under one grant of a lease.
type task struct {
	lease  *Lease
	cancel context.CancelFunc
	done   chan struct{} // closed when the work has returned
}

// end cancels the work. It reports false if the work was already canceled.
func (t *task) end() bool {
	if t.lease.ended.Swap(true) {
		return false
	}
	t.cancel()
	return true
}

// NewRunner returns a Runner without registered work. When the work of a lease that is to be released has
// stopped, the Runner calls released in a separate goroutine.
func NewRunner(released func(lease string, token uint64)) *Runner {
	return &Runner{released: released, work: map[string]WorkFunc{}, tasks: map[string]*task{}}
}

// Register sets the work of a lease. It must be called before the first call of Update.
func (r *Runner) Register(lease string, w WorkFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.work[lease] = w
}

// Names returns the sorted names of the leases with registered work.
func (r *Runner) Names() (list []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name := range r.work {
		list = append(list, name)
	}
	slices.Sort(list)
	return list
}

// Update sets the current grants. Work is started and stopped, and deadlines are extended, accordingly. It
// does not wait for work to stop.
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

// release stops the task of a lease and then calls released. It may be called repeatedly for the same grant;
// released is then called again if the work has already stopped.
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

// start starts the work under a grant after the work under the previous grant has stopped. The caller must
// hold r.mu.
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
		slog.Debug("work under lease stopped", "lease", g.Lease, "token", g.Token)
	})
}

// Close stops all work and waits until it has returned.
func (r *Runner) Close() {
	r.mu.Lock()
	r.closed = true
	for _, t := range r.tasks {
		t.end()
	}
	r.mu.Unlock()
	r.running.Wait()
}
