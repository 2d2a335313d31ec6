package healthcheck

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Whatever gateways report and however long checks take, a host is checked only if it was reported within
// ReportTTL, not twice at once and not within Interval of its last check, at most MaxConcurrent checks run, and
// a host that is always reported is checked.
func TestCheckerLimitsChecksOfReportedHosts(t *testing.T) {
	for seed := range uint64(40) {
		r := rand.New(rand.NewPCG(seed, 2))
		c := NewChecker()
		type check struct{ ends time.Duration }
		running, reported, last, checks := map[string]check{}, map[string]time.Duration{}, map[string]time.Duration{}, map[string]int{}
		steady := "h0"
		most := 1 + r.IntN(2*MaxHosts)
		for now := time.Hour; now < time.Hour+2*time.Minute; now += 50 * time.Millisecond {
			for name, x := range running {
				if now >= x.ends {
					c.Checked(now, name)
					last[name] = now
					delete(running, name)
				}
			}
			if names := []string{steady}; r.IntN(10) == 0 {
				for range r.IntN(40) {
					names = append(names, fmt.Sprint("h", r.IntN(most)))
				}
				c.Report(now, names)
				for _, name := range names {
					reported[name] = now
				}
			}
			for _, name := range c.Due(now) {
				_, twice := running[name]
				if twice || reported[name] == 0 || now > reported[name]+ReportTTL || last[name] > 0 && now < last[name]+Interval {
					t.Fatalf("seed %d: %s must not be checked at %v: running %v, reported at %v, last checked at %v", seed, name, now, twice, reported[name], last[name])
				}
				running[name] = check{now + time.Duration(r.Int64N(int64(Timeout)))}
				checks[name]++
			}
			if len(running) > MaxConcurrent || len(c.hosts) > MaxHosts {
				t.Fatalf("seed %d: got %d checks running and %d hosts kept, want at most MaxConcurrent and MaxHosts", seed, len(running), len(c.hosts))
			}
		}
		if checks[steady] < 10 {
			t.Errorf("seed %d: with %d hosts, one that was always reported was checked %d times in two minutes, want at least 10", seed, most, checks[steady])
		}
	}
}
