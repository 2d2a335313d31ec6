// Package duty is the side of a gateway that holds duties: work that goes on while a hold lasts,
// and the looks at the hold before each act.
package duty

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"dunemoor/internal/cluster/failpoint"
	"dunemoor/internal/cluster/node"
)

// Now is the time on a clock that no one sets and that goes on while the process or the machine
// sleeps (CLOCK_BOOTTIME): the runtime's own stands still with the machine, and an owner that
// slept would believe itself on waking.
func Now() time.Duration {
	if failpoint.Enabled(failpoint.UseWallClock) {
		return failpoint.WallTime()
	}
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // Linux has it since 2.6.39
	}
	return time.Duration(t.Nano())
}

// Hold is a gateway's hold on a duty.
type Hold struct {
	Duty  string
	Token uint64

	deadline atomic.Int64
	over     atomic.Bool
}

// May says whether the holder may act now. It is asked directly before each act: what is left
// between this look and the act is for the other fences, at the record, at gateways and at hosts.
func (h *Hold) May() bool {
	ok := !h.over.Load() && (int64(Now()) < h.deadline.Load() || failpoint.Enabled(failpoint.IgnoreDeadline))
	if ok {
		failpoint.StopAt("acting", h.Duty)
	}
	return ok
}

// Work is what the owner of a duty does. It returns soon after ctx is done, and not before: a
// work that returns is begun anew while the hold lasts.
type Work func(ctx context.Context, h *Hold)

// again is when a work that returned by itself is begun anew.
const again = time.Second

// Table is the duties that this gateway can hold, with their work.
type Table struct {
	released func(duty string, token uint64)

	mu    sync.Mutex
	works map[string]Work
	runs  map[string]*run
	ended bool
	all   sync.WaitGroup
}

type run struct {
	hold   *Hold
	cancel context.CancelFunc
	done   chan struct{}
}

// NewTable makes one that has no work yet; released is told when the work of a duty that was to
// be given back has stopped.
func NewTable(released func(duty string, token uint64)) *Table {
	return &Table{released: released, works: map[string]Work{}, runs: map[string]*run{}}
}

// Register names the work of a duty; before the first Set.
func (t *Table) Register(duty string, w Work) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.works[duty] = w
}

// Names are the duties that have work.
func (t *Table) Names() (list []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name := range t.works {
		list = append(list, name)
	}
	slices.Sort(list)
	return list
}

// Set takes over what is held now. It does not wait.
func (t *Table) Set(holds []node.Grant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := map[string]bool{}
	for _, h := range holds {
		held[h.Lease] = true
		r := t.runs[h.Lease]
		switch {
		case h.Releasing:
			if r == nil {
				go t.released(h.Lease, h.Token)
			} else if r.hold.Token == h.Token && !r.hold.over.Swap(true) {
				r.cancel()
				go func() {
					<-r.done
					t.released(h.Lease, h.Token)
				}()
			} else {
				select {
				case <-r.done:
					go t.released(h.Lease, h.Token)
				default:
				}
			}
		case r != nil && r.hold.Token == h.Token && !r.hold.over.Load():
			r.hold.deadline.Store(int64(h.Deadline))
		default:
			t.begin(h, r)
		}
	}
	for duty, r := range t.runs {
		if !held[duty] && !r.hold.over.Swap(true) {
			r.cancel()
		}
	}
}

// begin starts the work of a hold once that of the one before has stopped; mu is held.
func (t *Table) begin(h node.Grant, before *run) {
	w := t.works[h.Lease]
	if w == nil || t.ended {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &run{hold: &Hold{Duty: h.Lease, Token: h.Token}, cancel: cancel, done: make(chan struct{})}
	r.hold.deadline.Store(int64(h.Deadline))
	if before != nil {
		before.hold.over.Store(true)
		before.cancel()
	}
	t.runs[h.Lease] = r
	t.all.Go(func() {
		defer close(r.done)
		defer cancel()
		if before != nil {
			<-before.done
		}
		for ctx.Err() == nil {
			w(ctx, r.hold)
			select {
			case <-ctx.Done():
			case <-time.After(again):
			}
		}
		slog.Debug("the work of a duty has stopped", "duty", h.Lease, "token", h.Token)
	})
}

// Close ends all work and waits for it.
func (t *Table) Close() {
	t.mu.Lock()
	t.ended = true
	for _, r := range t.runs {
		r.hold.over.Store(true)
		r.cancel()
	}
	t.mu.Unlock()
	t.all.Wait()
}
