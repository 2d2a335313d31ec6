package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"
	"unsafe"
)

func TestClientRate(t *testing.T) {
	c := NewClients(ClientLimits{Rate: 10, Burst: 20}, 64<<10, 1)
	now := Time(time.Hour)
	admitted := func(span time.Duration, perSecond int) (n int) {
		for range int(span.Seconds() * float64(perSecond)) {
			now += time.Second / time.Duration(perSecond)
			if v, _ := c.Begin(now, 7, false, false); v == Admitted {
				n++
				c.End(7)
			} else if v != Rate {
				t.Fatalf("rejected for %v", v)
			}
		}
		return n
	}
	if n := admitted(10*time.Second, 1000); n < 118 || n > 121 {
		t.Errorf("%d of a rate of 10 and a burst of 20 in 10 s", n)
	}
	if n := admitted(10*time.Second, 5); n != 50 {
		t.Errorf("%d of 50 below the rate", n)
	}
	// A clock that jumps back gives nothing, and takes nothing forever.
	now -= time.Hour
	if n := admitted(time.Second, 1000); n > 21 {
		t.Errorf("%d after a jump back", n)
	}
	c.SetLimits(ClientLimits{Rate: 1, Burst: 1})
	now += 3 * time.Hour
	if n := admitted(10*time.Second, 100); n > 12 {
		t.Errorf("%d of a rate of 1 in 10 s, lowered by a reload", n)
	}
	free := NewClients(ClientLimits{}, 64<<10, 1)
	for range 1000 {
		if v, _ := free.Begin(now, 7, false, false); v != Admitted {
			t.Fatal("limits of 0 bind")
		}
	}
}

func TestClientConcurrent(t *testing.T) {
	c := NewClients(ClientLimits{Concurrent: 3}, 64<<10, 1)
	now := Time(time.Hour)
	for i := range 5 {
		v, _ := c.Begin(now, 7, false, false)
		if want := map[bool]Decision{true: Admitted, false: Concurrent}[i < 3]; v != want {
			t.Errorf("request %d: %v", i, v)
		}
	}
	if v, _ := c.Begin(now, 8, false, false); v != Admitted {
		t.Error("another client is limited by it")
	}
	c.SetLimits(ClientLimits{Concurrent: 1}) // a reload below what is in use
	c.End(7)
	c.End(7)
	if v, _ := c.Begin(now, 7, false, false); v != Concurrent {
		t.Errorf("one is in flight and may be: %v", v)
	}
	c.End(7)
	if v, _ := c.Begin(now, 7, false, false); v != Admitted {
		t.Errorf("none is in flight: %v", v)
	}
	c.End(7)
	c.End(7) // once too often takes nothing from anybody
	if v, _ := c.Begin(now, 7, false, false); v != Admitted {
		t.Error(v)
	}
}

// First requests allow duplicates; a request before the client's Retry-After is a duplicate, whatever it says.
func TestDuplicates(t *testing.T) {
	c := NewClients(ClientLimits{}, 64<<10, 1)
	now := Time(time.Hour)
	n := 0
	for range 100 {
		now += time.Millisecond
		if v, _ := c.Begin(now, 7, true, false); v == Admitted {
			n++
		} else if v != Duplicates {
			t.Fatal(v)
		}
	}
	if n != maxSavedDuplicates {
		t.Errorf("%d duplicates without a first request", n)
	}
	for range 10 {
		now += time.Millisecond
		c.Begin(now, 7, false, false)
	}
	n = 0
	for range 100 {
		now += time.Millisecond
		if v, _ := c.Begin(now, 7, true, false); v == Admitted {
			n++
		}
	}
	if n != 10*duplicatesPerFirst {
		t.Errorf("%d duplicates for 10 first requests", n)
	}
	c.SetRetryAfter(now, 8, 10*time.Second)
	if _, again := c.Begin(now+5*time.Second, 8, false, false); !again {
		t.Error("back after half of the time, and not taken for a duplicate")
	}
	if v, soon := c.Begin(now+6*time.Second, 8, false, true); soon || v != Admitted {
		t.Error("a request of the highest weight is limited by it")
	}
	if _, again := c.Begin(now+11*time.Second, 8, false, false); again {
		t.Error("back after its time, and taken for a duplicate")
	}
}

// A million clients in a minute: the table keeps its size, and clients that send requests all the time keep their entry.
func TestMillionClients(t *testing.T) {
	if n := unsafe.Sizeof(clientEntry{}); n != entryBytes {
		t.Fatalf("an entry has %d bytes, %d are said", n, entryBytes)
	}
	const bytes = 512 << 10
	c := NewClients(ClientLimits{Rate: 5, Burst: 10}, bytes, 3)
	if c.TableBytes() > bytes || c.TableBytes() < bytes/2 {
		t.Errorf("%d bytes of %d", c.TableBytes(), bytes)
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	rng := rand.New(rand.NewPCG(5, 5))
	now := Time(time.Hour)
	over := 0
	for i := range 1_000_000 {
		now += 60 * time.Microsecond
		key := rng.Uint64()
		if v, _ := c.Begin(now, key, false, false); v == Admitted {
			c.End(key)
		}
		if i%50 == 0 { // one client that asks 333 times a second, of which 5 are let in
			if v, _ := c.Begin(now, 42, false, false); v == Admitted {
				over++
				c.End(42)
			}
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if after.HeapAlloc > before.HeapAlloc+bytes/4 {
		t.Errorf("the heap went from %d to %d bytes", before.HeapAlloc, after.HeapAlloc)
	}
	if over > 5*60+10+20 {
		t.Errorf("%d of the one client were admitted, %d may be", over, 5*60+10)
	}
}

// One tenant floods at 50 times its share: the others get all that they request, and what they leave is lent and taken
// back within a second.
func TestTenantFlood(t *testing.T) {
	list := []Tenant{{"a", 1}, {"b", 1}, {"c", 2}}
	ts := NewTenants(list, TenantLimits{Rate: 400})
	now := Time(time.Hour)
	got := make([]int, 3)
	asked := make([]int, 3)
	play := func(span time.Duration, rates ...int) {
		clear(got)
		clear(asked)
		due := make([]float64, 3)
		for range int(span / time.Millisecond) {
			now += time.Millisecond
			for i, r := range rates {
				for due[i] += float64(r) / 1000; due[i] >= 1; due[i]-- {
					asked[i]++
					if ts.Begin(now, i) == Admitted {
						got[i]++
						ts.End(i)
					}
				}
			}
		}
	}
	play(10*time.Second, 5000, 90, 190) // 50 times its share of 100
	if got[1] != asked[1] || got[2] != asked[2] {
		t.Errorf("of %v requested, %v were admitted", asked, got)
	}
	if sum := got[0] + got[1] + got[2]; sum < 3900 || sum > 4500 {
		t.Errorf("%d of 4,000 are used", sum)
	}
	play(10*time.Second, 5000, 0, 0) // all is lent
	if got[0] < 3900 || got[0] > 4500 {
		t.Errorf("%d of 4,000 are lent to the only tenant with requests", got[0])
	}
	play(time.Second, 5000, 100, 200) // and taken back
	if got[1] < 98 || got[2] < 198 {
		t.Errorf("in the second in which they come back: %v of %v", got, asked)
	}
	none := NewTenants(list, TenantLimits{})
	if none.Begin(now, 0) != Admitted {
		t.Error("limits of 0 bind")
	}
	ts.Begin(now-time.Hour, 0) // a clock that jumps back
	play(time.Second, 50, 50, 50)
	if got[0] != 50 || got[1] != 50 {
		t.Errorf("after a jump: %v", got)
	}
}

// Places are shared in the same way: a fifth is not lent, and tenants that return find them.
func TestTenantPlaces(t *testing.T) {
	ts := NewTenants([]Tenant{{"a", 1}, {"b", 1}}, TenantLimits{Concurrent: 100})
	n := 0
	for ts.Begin(0, 0) == Admitted {
		n++
	}
	if n != 80 {
		t.Errorf("%d places of 100 for the only tenant with requests", n)
	}
	for i := range 50 {
		if ts.Begin(0, 1) != Admitted {
			t.Errorf("the other finds %d places", i)
			break
		}
	}
	if ts.Begin(0, 1) != Concurrent {
		t.Error("beyond its share with the rest lent out")
	}
	for range 80 {
		ts.End(0)
	}
	if ts.Begin(0, 0) != Admitted {
		t.Error("its own place is not returned")
	}
}

func BenchmarkClients(b *testing.B) {
	for _, n := range []int{1, 1_000_000} {
		b.Run(fmt.Sprint(n, " clients"), func(b *testing.B) {
			c := NewClients(ClientLimits{Rate: 1e6, Burst: 1e6, Concurrent: 100}, 32<<20, 1)
			keys := make([]uint64, 1<<20)
			for i := range keys {
				keys[i] = uint64(i % n)
			}
			now := Time(0)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now += time.Microsecond
				k := keys[i*7919%len(keys)]
				if v, _ := c.Begin(now, k, false, false); v == Admitted {
					c.End(k)
				}
			}
		})
	}
}
