package ratelimit

import (
	"testing"
	"time"
)

// One tenant sends 50 times its share. The other tenants get all that they request, and what they leave unused is
// lent and then reclaimed within a second.
func TestTenantsLendUnusedRateAndReclaimIt(t *testing.T) {
	list := []Tenant{{"a", 1}, {"b", 1}, {"c", 2}}
	ts := NewTenants(list, TenantLimits{Rate: 400})
	now := Time(time.Hour)
	admitted := make([]int, 3)
	requested := make([]int, 3)
	run := func(span time.Duration, rates ...int) {
		clear(admitted)
		clear(requested)
		due := make([]float64, 3)
		for range int(span / time.Millisecond) {
			now += time.Millisecond
			for i, r := range rates {
				for due[i] += float64(r) / 1000; due[i] >= 1; due[i]-- {
					requested[i]++
					if ts.Begin(now, i) == Admitted {
						admitted[i]++
						ts.End(i)
					}
				}
			}
		}
	}
	run(10*time.Second, 5000, 90, 190) // 50 times its share of 100
	if admitted[1] != requested[1] || admitted[2] != requested[2] {
		t.Errorf("%v requested, %v admitted, want all of the second and third tenant", requested, admitted)
	}
	if sum := admitted[0] + admitted[1] + admitted[2]; sum < 3900 || sum > 4500 {
		t.Errorf("%d admitted in all, want 3900 to 4500", sum)
	}
	run(10*time.Second, 5000, 0, 0) // what the others do not use is lent
	if admitted[0] < 3900 || admitted[0] > 4500 {
		t.Errorf("%d admitted of the only tenant with requests, want 3900 to 4500", admitted[0])
	}
	run(time.Second, 5000, 100, 200) // the others reclaim their shares
	if admitted[1] < 98 || admitted[2] < 198 {
		t.Errorf("in the second after the others return: %v of %v admitted, want at least 98 of the second and 198 of the third",
			admitted, requested)
	}
	none := NewTenants(list, TenantLimits{})
	if none.Begin(now, 0) != Admitted {
		t.Error("request rejected without limits, want it admitted")
	}
	ts.Begin(now-time.Hour, 0) // the clock is set back
	run(time.Second, 50, 50, 50)
	if admitted[0] != 50 || admitted[1] != 50 {
		t.Errorf("after the clock went back: %v admitted, want 50 each of the first two", admitted)
	}
}

// Concurrent requests are shared like the rate. A fifth is never lent, so that tenants that send requests again may
// start some at once.
func TestTenantsLendConcurrencyExceptReserve(t *testing.T) {
	ts := NewTenants([]Tenant{{"a", 1}, {"b", 1}}, TenantLimits{Concurrent: 100})
	n := 0
	for ts.Begin(0, 0) == Admitted {
		n++
	}
	if n != 80 {
		t.Errorf("%d requests in flight of the only tenant with requests, want 80 of 100", n)
	}
	for i := range 50 {
		if ts.Begin(0, 1) != Admitted {
			t.Errorf("the other tenant got %d requests admitted, want 50", i)
			break
		}
	}
	if ts.Begin(0, 1) != Concurrent {
		t.Error("request beyond the share admitted with the rest lent, want it rejected")
	}
	for range 80 {
		ts.End(0)
	}
	if ts.Begin(0, 0) != Admitted {
		t.Error("request rejected after all of the tenant ended, want it admitted")
	}
}
