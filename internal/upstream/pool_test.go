package upstream

import (
	"context"
	"slices"
	"testing"
	"time"
)

// testConn is a connection that is idle, or in use if idleSince is zero.
type testConn struct{ idleSince time.Time }

func (c *testConn) IdleSince() (at time.Time, ok bool) { return c.idleSince, !c.idleSince.IsZero() }

func TestPoolReturnsConnectionsInOrderOfAdding(t *testing.T) {
	pool := NewPool[string, *testConn](10)
	first, second, third := &testConn{}, &testConn{}, &testConn{}
	for _, c := range []*testConn{first, second, third} {
		pool.Add("a", c)
	}
	pool.Remove("a", second)
	pool.Remove("b", first) // no effect, as host b has no connections
	if got, want := pool.Conns("a"), []*testConn{first, third}; !slices.Equal(got, want) {
		t.Errorf("after Remove: got %v, want %v", got, want)
	}
	for i, want := range []*testConn{first, third} {
		if got, ok := pool.PopFirst("a"); !ok || got != want {
			t.Errorf("PopFirst %d: got %p, %t, want %p", i, got, ok, want)
		}
	}
	if got, ok := pool.PopFirst("a"); ok {
		t.Errorf("PopFirst of an empty pool: got %p, want none", got)
	}
}

func TestPoolFindsIdleConnections(t *testing.T) {
	now := time.Now()
	inUse, idleMinute, idleHour := &testConn{}, &testConn{now.Add(-time.Minute)}, &testConn{now.Add(-time.Hour)}
	pool := NewPool[string, *testConn](10)
	if _, _, ok := pool.LongestIdle(); ok {
		t.Error("LongestIdle of an empty pool: got one, want none")
	}
	pool.Add("a", inUse)
	pool.Add("a", idleMinute)
	pool.Add("b", idleHour)
	if host, got, ok := pool.LongestIdle(); !ok || host != "b" || got != idleHour {
		t.Errorf("LongestIdle: got host %q, %v, %t, want host \"b\", idle for an hour", host, got, ok)
	}
	if got := pool.Idle(30 * time.Minute); !slices.Equal(got, []*testConn{idleHour}) {
		t.Errorf("Idle(30m): got %v, want the one idle for an hour", got)
	}
	if got := pool.Idle(0); len(got) != 2 || slices.Contains(got, inUse) {
		t.Errorf("Idle(0): got %v, want both idle ones", got)
	}
	pool.RemoveIf(func(c *testConn) bool { return c == idleMinute })
	if got := pool.RemoveHost("a"); !slices.Equal(got, []*testConn{inUse}) {
		t.Errorf("RemoveHost: got %v, want the one in use", got)
	}
	if got := pool.Conns("a"); len(got) != 0 {
		t.Errorf("after RemoveHost: got %v, want none", got)
	}
}

func TestPoolCountsOpenConnections(t *testing.T) {
	pool := NewPool[string, *testConn](1)
	if pool.Full() {
		t.Error("got a full pool, want room for one connection")
	}
	pool.CountOpened()
	if !pool.Full() || pool.NumOpen() != 1 {
		t.Errorf("after CountOpened: got full %t, %d open, want full, 1", pool.Full(), pool.NumOpen())
	}
	pool.SetMaxOpen(2)
	if pool.Full() {
		t.Error("after SetMaxOpen(2): got a full pool, want room")
	}
	pool.CountClosed()
	if got := pool.NumOpen(); got != 0 {
		t.Errorf("after CountClosed: got %d open, want 0", got)
	}
}

func TestSweepClosesAllAtEnd(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	closedAll := 0
	Sweep(ctx, func() {}, func() { closedAll++ })
	if closedAll != 1 {
		t.Errorf("got %d calls of closeAll, want 1", closedAll)
	}
}
