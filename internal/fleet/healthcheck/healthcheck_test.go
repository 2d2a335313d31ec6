package healthcheck

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Whatever gateways say and however long tries take: no host is tried that nobody has given up
// lately, none twice at once or sooner than Every, no more than AtOnce are out, and each that goes
// on being given up is tried.
func TestChecker(t *testing.T) {
	for seed := range uint64(40) {
		r := rand.New(rand.NewPCG(seed, 2))
		c := NewChecker()
		type try struct{ ends time.Duration }
		out, said, last, tries := map[string]try{}, map[string]time.Duration{}, map[string]time.Duration{}, map[string]int{}
		steady := "h0"
		most := 1 + r.IntN(2*MaxHosts)
		for now := time.Hour; now < time.Hour+2*time.Minute; now += 50 * time.Millisecond {
			for name, x := range out {
				if now >= x.ends {
					c.Checked(now, name)
					last[name] = now
					delete(out, name)
				}
			}
			if names := []string{steady}; r.IntN(10) == 0 {
				for range r.IntN(40) {
					names = append(names, fmt.Sprint("h", r.IntN(most)))
				}
				c.Report(now, names)
				for _, name := range names {
					said[name] = now
				}
			}
			for _, name := range c.Due(now) {
				_, twice := out[name]
				if twice || said[name] == 0 || now > said[name]+ReportTTL || last[name] > 0 && now < last[name]+Interval {
					t.Fatalf("seed %d: %s is tried at %v: out %v, said at %v, tried last at %v", seed, name, now, twice, said[name], last[name])
				}
				out[name] = try{now + time.Duration(r.Int64N(int64(Timeout)))}
				tries[name]++
			}
			if len(out) > MaxConcurrent || len(c.hosts) > MaxHosts {
				t.Fatalf("seed %d: %d tries out, %d hosts kept", seed, len(out), len(c.hosts))
			}
		}
		if tries[steady] < 10 {
			t.Errorf("seed %d: of %d hosts one that was always given up was tried %d times in two minutes", seed, most, tries[steady])
		}
	}
}
