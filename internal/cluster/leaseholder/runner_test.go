package leaseholder

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"dunemoor/internal/cluster/node"
	"dunemoor/internal/testutil"
)

// events are what was seen, in order.
type events struct {
	mu   sync.Mutex
	list []string
}

func (e *events) add(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.list = append(e.list, fmt.Sprintf(format, args...))
}

// expect waits for events, and fails where there are others.
func (e *events) expect(t *testing.T, want ...string) {
	t.Helper()
	testutil.WaitUntil(t, "the events have happened", func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return len(e.list) >= len(want)
	})
	e.mu.Lock()
	defer e.mu.Unlock()
	if !slices.Equal(e.list, want) {
		t.Fatalf("events %q, want %q", e.list, want)
	}
	e.list = nil
}

// The work of a grant runs while that lasts, and the work of the next grant starts only once it has
// returned. A lease that is to be released is reported when its work has stopped, and again whenever the
// release is requested again.
func TestRunner(t *testing.T) {
	var seen events
	runner := NewRunner(func(lease string, token uint64) { seen.add("released %s %d", lease, token) })
	defer runner.Close()
	held := make(chan *Lease, 1)
	runner.Register("d", func(ctx context.Context, l *Lease) {
		if l.Token == 1 {
			held <- l
		}
		seen.add("start %d", l.Token)
		<-ctx.Done()
		if l.Valid() {
			seen.add("valid though it has ended")
		}
		seen.add("end %d", l.Token)
	})
	grant := func(token uint64, releasing bool) node.Grant {
		return node.Grant{Lease: "d", Token: token, Deadline: Now() + time.Hour, Releasing: releasing}
	}
	runner.Update([]node.Grant{grant(1, false)})
	seen.expect(t, "start 1")
	first := <-held
	if !first.Valid() {
		t.Error("a holder may not act")
	}
	late := grant(1, false)
	late.Deadline = Now()
	runner.Update([]node.Grant{late})
	if first.Valid() {
		t.Error("a holder may act after its deadline")
	}
	runner.Update([]node.Grant{grant(2, false)})
	seen.expect(t, "end 1", "start 2")
	runner.Update([]node.Grant{grant(2, true)})
	seen.expect(t, "end 2", "released d 2")
	runner.Update([]node.Grant{grant(2, true)})
	seen.expect(t, "released d 2")
	runner.Update([]node.Grant{grant(3, false)})
	seen.expect(t, "start 3")
	runner.Update(nil)
	seen.expect(t, "end 3")
}
