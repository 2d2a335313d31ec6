package simulator

import (
	"math"
	"testing"
	"time"

	"dunemoor/balancer"
)

// meanResponseTime simulates one host without a gateway, because a gateway might delay requests. It returns the mean
// response time over several runs, in seconds, and the half width of its confidence interval.
func meanResponseTime(t *testing.T, seed uint64, group HostGroup, rate float64, distribution Distribution, cv float64, length time.Duration) (mean, halfWidth float64) {
	const runs = 12
	var means []float64
	for i := range uint64(runs) {
		s := &simulation{summary: &Summary{}, config: Config{Settings: balancer.Settings{Classes: make([]balancer.Class, 1)}}}
		h := &host{HostGroup: group, running: true, impairment: unimpaired}
		s.hosts = []*host{h}
		arrivals, work := newStream(seed+i, "arrive", 0), newStream(seed+i, "work", 0)
		arrived, served, total := 0, 0, 0.0
		scheduleArrival := func() {
			at := s.now + balancer.Time(arrivals.ExpFloat64()/rate*1e9)
			if at < length {
				s.queue.push(event{at: at, kind: eventFirstRequest})
			}
		}
		for scheduleArrival(); len(s.queue.heap) > 0; {
			e := s.queue.pop()
			s.now = e.at
			switch e.kind {
			case eventFirstRequest:
				arrived++
				scheduleArrival()
				s.receive(h, &request{sentAt: s.now, work: distribution.draw(work, 0.1, cv), gateway: &gateway{}, attempts: make([]attempt, 1)}, 0)
			case eventServiceDone:
				if e.number == h.completionNumber {
					s.serviceDone(h)
				}
			case eventAttemptResult:
				served++
				total += (s.now - e.request.sentAt).Seconds()
			}
		}
		if served != arrived || arrived == 0 {
			t.Fatalf("seed %d: got %d requests served, want all of %d", seed+i, served, arrived)
		}
		means = append(means, total/float64(served))
	}
	for _, m := range means {
		mean += m / runs
	}
	var square float64
	for _, m := range means {
		square += (m - mean) * (m - mean)
	}
	return mean, 4 * math.Sqrt(square/(runs-1)/runs) // four standard errors: by Student's t distribution for 12 runs, exceeded by chance in 1 of 500 tests
}

// Mean response times match the closed formulas (Kleinrock, Queueing Systems, volumes 1 and 2) for one core (M/M/1,
// M/D/1), several cores (M/M/c, Erlang C), and processor sharing (M/G/1-PS), where the mean is that of M/M/1 for any
// distribution. The tolerance is the confidence interval of the measured mean.
func TestHostQueuesMatchQueueingTheory(t *testing.T) {
	const work = 0.1
	erlang := func(c int, load float64) float64 {
		sum, term := 0.0, 1.0
		for k := range c {
			sum += term
			term *= load / float64(k+1)
		}
		last := term * float64(c) / (float64(c) - load)
		return last / (sum + last)
	}
	for _, tt := range []struct {
		name         string
		group        HostGroup
		rate         float64
		distribution Distribution
		cv           float64
		want         float64
		span         time.Duration
	}{
		{"M/M/1", HostGroup{Count: 1, Cores: 1, MaxConcurrent: 1, MaxQueued: -1}, 5, Exponential, 0, work / (1 - 0.5), 400 * time.Second},
		{"M/D/1", HostGroup{Count: 1, Cores: 1, MaxConcurrent: 1, MaxQueued: -1}, 5, Fixed, 0, work + 0.5*work/(2*(1-0.5)), 400 * time.Second},
		{"M/M/4", HostGroup{Count: 1, Cores: 4, MaxConcurrent: 4, MaxQueued: -1}, 28, Exponential, 0, work + erlang(4, 2.8)*work/(4-2.8), 400 * time.Second},
		{"M/M/1-PS", HostGroup{Count: 1, Cores: 1}, 5, Exponential, 0, work / (1 - 0.5), 400 * time.Second},
		{"M/G/1-PS", HostGroup{Count: 1, Cores: 1}, 5, LogNormal, 1.5, work / (1 - 0.5), 3000 * time.Second},
	} {
		const seed = 31
		mean, half := meanResponseTime(t, seed, tt.group, tt.rate, tt.distribution, tt.cv, tt.span)
		t.Logf("%s: %.4f s, by formula %.4f s, half width %.4f", tt.name, mean, tt.want, half)
		if math.Abs(mean-tt.want) > half || half > 0.2*tt.want {
			t.Errorf("%s, seeds from %d: got %.4f s ± %.4f, want %.4f s", tt.name, seed, mean, half, tt.want)
		}
	}
}
