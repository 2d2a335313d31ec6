package duty

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"dunemoor/internal/cluster/node"
	"dunemoor/internal/testkit"
)

// The work of a hold runs while that lasts; the next hold's begins only once it has ended; what is
// to be released is told so when its work has stopped, and again whenever it is asked for again.
func TestTable(t *testing.T) {
	var mu sync.Mutex
	var story []string
	say := func(s string) { mu.Lock(); defer mu.Unlock(); story = append(story, s) }
	said := func(want ...string) {
		t.Helper()
		testkit.Until(t, "the story goes on", func() bool { mu.Lock(); defer mu.Unlock(); return len(story) >= len(want) })
		mu.Lock()
		defer mu.Unlock()
		if !slices.Equal(story, want) {
			t.Fatalf("%q, want %q", story, want)
		}
		story = nil
	}
	table := NewTable(func(duty string, token uint64) { say("released " + duty + string(rune('0'+token))) })
	defer table.Close()
	var held *Hold
	table.Register("d", func(ctx context.Context, h *Hold) {
		mu.Lock()
		held = h
		mu.Unlock()
		say("begins " + string(rune('0'+h.Token)))
		<-ctx.Done()
		if h.May() {
			say("may act though it is over")
		}
		say("ends " + string(rune('0'+h.Token)))
	})
	hold := func(token uint64, release bool) node.Grant {
		return node.Grant{Lease: "d", Token: token, Deadline: Now() + time.Hour, Releasing: release}
	}
	table.Set([]node.Grant{hold(1, false)})
	said("begins 1")
	if !held.May() {
		t.Error("an owner may not act")
	}
	late := hold(1, false)
	late.Deadline = Now()
	table.Set([]node.Grant{late})
	if held.May() {
		t.Error("an owner acts behind its deadline")
	}
	table.Set([]node.Grant{hold(2, false)})
	said("ends 1", "begins 2")
	table.Set([]node.Grant{hold(2, true)})
	said("ends 2", "released d2")
	table.Set([]node.Grant{hold(2, true)})
	said("released d2")
	table.Set([]node.Grant{hold(3, false)})
	said("begins 3")
	table.Set(nil)
	said("ends 3")
}
