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

// eventLog records events in the order in which they occur.
type eventLog struct {
	mu     sync.Mutex
	events []string
}

func (l *eventLog) add(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, fmt.Sprintf(format, args...))
}

// expect waits until as many events are recorded as wanted, fails the test if they differ, and clears the log.
func (l *eventLog) expect(t *testing.T, want ...string) {
	t.Helper()
	testutil.WaitUntil(t, fmt.Sprintf("events %q are recorded", want), func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return len(l.events) >= len(want)
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	if !slices.Equal(l.events, want) {
		t.Fatalf("events: got %q, want %q", l.events, want)
	}
	l.events = nil
}

// TestRunnerRunsWorkOfOneGrantAtATime checks that the work of a grant runs until the grant ends, and that the work of the
// next grant starts only after it has returned. A lease to be released is reported when its work has stopped, and again
// each time the release is requested again. It guards against two grants of a lease whose work overlaps.
func TestRunnerRunsWorkOfOneGrantAtATime(t *testing.T) {
	var log eventLog
	runner := NewRunner(func(lease string, token uint64) { log.add("released %s %d", lease, token) })
	defer runner.Close()
	firstLease := make(chan *Lease, 1)
	runner.Register("d", func(ctx context.Context, l *Lease) {
		if l.Token == 1 {
			firstLease <- l
		}
		log.add("start %d", l.Token)
		<-ctx.Done()
		if l.Valid() {
			log.add("lease valid after the end of its grant")
		}
		log.add("end %d", l.Token)
	})
	grant := func(token uint64, releasing bool) node.Grant {
		return node.Grant{Lease: "d", Token: token, Deadline: Now() + time.Hour, Releasing: releasing}
	}
	runner.Update([]node.Grant{grant(1, false)})
	log.expect(t, "start 1")
	first := <-firstLease
	if !first.Valid() {
		t.Error("Valid before the deadline: got false, want true")
	}
	expired := grant(1, false)
	expired.Deadline = Now()
	runner.Update([]node.Grant{expired})
	if first.Valid() {
		t.Error("Valid after the deadline: got true, want false")
	}
	runner.Update([]node.Grant{grant(2, false)})
	log.expect(t, "end 1", "start 2")
	runner.Update([]node.Grant{grant(2, true)})
	log.expect(t, "end 2", "released d 2")
	runner.Update([]node.Grant{grant(2, true)})
	log.expect(t, "released d 2")
	runner.Update([]node.Grant{grant(3, false)})
	log.expect(t, "start 3")
	runner.Update(nil)
	log.expect(t, "end 3")
}
