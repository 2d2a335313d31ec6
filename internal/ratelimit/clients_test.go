package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"
	"unsafe"
)

func TestClientsLimitRateAndBurst(t *testing.T) {
	c := NewClients(ClientLimits{Rate: 10, Burst: 20}, 64<<10, 1)
	now := Time(time.Hour)
	admitted := func(span time.Duration, perSecond int) (n int) {
		for range int(span.Seconds() * float64(perSecond)) {
			now += time.Second / time.Duration(perSecond)
			if decision, _ := c.Begin(now, 7, false, false); decision == Admitted {
				n++
				c.End(7)
			} else if decision != Rate {
				t.Fatalf("decision %v, want admitted or %v", decision, Rate)
			}
		}
		return n
	}
	if n := admitted(10*time.Second, 1000); n < 118 || n > 121 {
		t.Errorf("%d admitted in 10 s with a rate of 10 and a burst of 20, want 118 to 121", n)
	}
	if n := admitted(10*time.Second, 5); n != 50 {
		t.Errorf("%d admitted below the rate, want 50", n)
	}
	// A clock that is set back adds no tokens, and removes none permanently.
	now -= time.Hour
	if n := admitted(time.Second, 1000); n > 21 {
		t.Errorf("%d admitted in the second after the clock went back, want at most 21", n)
	}
	c.SetLimits(ClientLimits{Rate: 1, Burst: 1})
	now += 3 * time.Hour
	if n := admitted(10*time.Second, 100); n > 12 {
		t.Errorf("%d admitted in 10 s with a rate lowered to 1, want at most 12", n)
	}
	free := NewClients(ClientLimits{}, 64<<10, 1)
	for range 1000 {
		if decision, _ := free.Begin(now, 7, false, false); decision != Admitted {
			t.Fatalf("decision %v without limits, want admitted", decision)
		}
	}
}

func TestClientsLimitConcurrentRequests(t *testing.T) {
	c := NewClients(ClientLimits{Concurrent: 3}, 64<<10, 1)
	now := Time(time.Hour)
	for i := range 5 {
		decision, _ := c.Begin(now, 7, false, false)
		if want := map[bool]Decision{true: Admitted, false: Concurrent}[i < 3]; decision != want {
			t.Errorf("request %d: decision %v, want %v", i, decision, want)
		}
	}
	if decision, _ := c.Begin(now, 8, false, false); decision != Admitted {
		t.Errorf("another client: decision %v, want admitted", decision)
	}
	c.SetLimits(ClientLimits{Concurrent: 1}) // a limit below the number of requests in flight
	c.End(7)
	c.End(7)
	if decision, _ := c.Begin(now, 7, false, false); decision != Concurrent {
		t.Errorf("one in flight of one allowed: decision %v, want %v", decision, Concurrent)
	}
	c.End(7)
	if decision, _ := c.Begin(now, 7, false, false); decision != Admitted {
		t.Errorf("none in flight: decision %v, want admitted", decision)
	}
	c.End(7)
	c.End(7) // an extra call of End has no effect
	if decision, _ := c.Begin(now, 7, false, false); decision != Admitted {
		t.Errorf("after an extra call of End: decision %v, want admitted", decision)
	}
}

// First requests allow duplicates. A request before the Retry-After of its client counts as a duplicate, even if it
// is not marked as one.
func TestClientsAllowDuplicatesPerFirstRequest(t *testing.T) {
	c := NewClients(ClientLimits{}, 64<<10, 1)
	now := Time(time.Hour)
	n := 0
	for range 100 {
		now += time.Millisecond
		if decision, _ := c.Begin(now, 7, true, false); decision == Admitted {
			n++
		} else if decision != Duplicates {
			t.Fatalf("decision %v, want admitted or %v", decision, Duplicates)
		}
	}
	if n != maxSavedDuplicates {
		t.Errorf("%d duplicates admitted without a first request, want %d", n, maxSavedDuplicates)
	}
	for range 10 {
		now += time.Millisecond
		c.Begin(now, 7, false, false)
	}
	n = 0
	for range 100 {
		now += time.Millisecond
		if decision, _ := c.Begin(now, 7, true, false); decision == Admitted {
			n++
		}
	}
	if n != 10*duplicatesPerFirst {
		t.Errorf("%d duplicates admitted for 10 first requests, want %v", n, 10*duplicatesPerFirst)
	}
	c.SetRetryAfter(now, 8, 10*time.Second)
	if _, early := c.Begin(now+5*time.Second, 8, false, false); !early {
		t.Error("a request half way through the Retry-After is not early, want early")
	}
	if decision, early := c.Begin(now+6*time.Second, 8, false, true); early || decision != Admitted {
		t.Errorf("exempt request: decision %v, early %v, want admitted and not early", decision, early)
	}
	if _, early := c.Begin(now+11*time.Second, 8, false, false); early {
		t.Error("a request after the Retry-After is early, want not early")
	}
}

// A million clients send requests in a minute: the table keeps its size, and a client that sends requests all the
// time keeps its entry.
func TestClientsTableKeepsItsSize(t *testing.T) {
	if n := unsafe.Sizeof(clientEntry{}); n != entryBytes {
		t.Fatalf("an entry has %d bytes, want the %d of the constant", n, entryBytes)
	}
	const bytes = 512 << 10
	c := NewClients(ClientLimits{Rate: 5, Burst: 10}, bytes, 3)
	if c.TableBytes() > bytes || c.TableBytes() < bytes/2 {
		t.Errorf("table of %d bytes, want %d to %d", c.TableBytes(), bytes/2, bytes)
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	rng := rand.New(rand.NewPCG(5, 5))
	now := Time(time.Hour)
	admitted := 0
	for i := range 1_000_000 {
		now += 60 * time.Microsecond
		key := rng.Uint64()
		if decision, _ := c.Begin(now, key, false, false); decision == Admitted {
			c.End(key)
		}
		if i%50 == 0 { // one client that sends 333 requests a second, of which 5 are admitted
			if decision, _ := c.Begin(now, 42, false, false); decision == Admitted {
				admitted++
				c.End(42)
			}
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if after.HeapAlloc > before.HeapAlloc+bytes/4 {
		t.Errorf("heap of %d bytes before, %d after, want at most %d more",
			before.HeapAlloc, after.HeapAlloc, bytes/4)
	}
	if admitted > 5*60+10+20 {
		t.Errorf("%d requests of the busy client admitted, want at most %d", admitted, 5*60+10+20)
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
				if decision, _ := c.Begin(now, k, false, false); decision == Admitted {
					c.End(k)
				}
			}
		})
	}
}
