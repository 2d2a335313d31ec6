package scenariosearch

import (
	"math"
	"slices"
	"time"

	"dunemoor/internal/experiment/simulator"
)

const (
	// maxSeed bounds the seeds of candidates.
	maxSeed = 1 << 31
	// maxMutations is the maximum number of changes by which a candidate is derived.
	maxMutations = 3
	// minHosts is the minimum number of hosts of a candidate.
	minHosts = 2
	// minDuration is the minimum duration of a fault or burst.
	minDuration = 500 * time.Millisecond
	// timeStep is the unit to which drawn times are rounded.
	timeStep = 10 * time.Millisecond
	// numberSteps sets the precision of drawn numbers, which are rounded to multiples of 1/numberSteps.
	numberSteps = 1000
	// rateSteps sets the precision of rates, which are rounded to multiples of 1/rateSteps requests per second.
	rateSteps = 100
)

// estimatedFaults are the kinds of fault that PossibleShare takes into account. Only these are drawn.
var estimatedFaults = []simulator.FaultKind{
	simulator.Crash, simulator.Vanish, simulator.Hang, simulator.Slow, simulator.Errors, simulator.Drain,
	simulator.ResponsesLost, simulator.GatewayCrash,
}

// newConfig draws a Config within the ranges.
func (s *Search) newConfig() simulator.Config {
	c := clone(s.ranges.Base)
	c.Seed = s.drawSeed()
	c.Length = s.ranges.Length
	c.Gateways = s.drawLogUniform(1, s.ranges.MaxGateways)
	if limit := s.ranges.MaxHosts; limit > 0 {
		before := c.Hosts[0].Count
		c.Hosts[0].Count = s.drawLogUniform(minHosts, limit)
		scaleLoad(&c, float64(c.Hosts[0].Count)/float64(before))
	}
	scaleLoad(&c, s.drawNumber(s.ranges.LoadMin, s.ranges.LoadMax))
	s.drawClients(&c)
	for range s.random.IntN(s.ranges.MaxFaults + 1) {
		c.Faults = append(c.Faults, s.drawFault(&c))
	}
	for range s.random.IntN(s.ranges.MaxBursts + 1) {
		c.Bursts = append(c.Bursts, s.drawBurst(&c))
	}
	return c
}

// mutate derives a Config from another one by some random changes. Its load stays within the range.
func (s *Search) mutate(from simulator.Config) simulator.Config {
	c := clone(from)
	mutations := []func(*simulator.Config){
		func(c *simulator.Config) { c.Seed = s.drawSeed() },
		func(c *simulator.Config) { c.Gateways = s.drawLogUniform(1, s.ranges.MaxGateways) },
		func(c *simulator.Config) { scaleLoad(c, s.drawNumber(0.8, 1.25)) },
		s.drawClients,
		s.addFault,
		s.replaceFault,
		s.shiftFault,
		s.changeBursts,
	}
	for range 1 + s.random.IntN(maxMutations) {
		mutations[s.random.IntN(len(mutations))](&c)
	}
	maxLoad := loadPerHost(s.ranges.Base) * s.ranges.LoadMax
	if load := loadPerHost(c); load > maxLoad {
		scaleLoad(&c, maxLoad/load)
	}
	return c
}

func (s *Search) addFault(c *simulator.Config) {
	if len(c.Faults) < s.ranges.MaxFaults {
		c.Faults = append(c.Faults, s.drawFault(c))
	}
}

func (s *Search) replaceFault(c *simulator.Config) {
	if n := len(c.Faults); n > 0 {
		c.Faults[s.random.IntN(n)] = s.drawFault(c)
	}
}

// shiftFault changes the start, the duration and the share of a fault.
func (s *Search) shiftFault(c *simulator.Config) {
	n := len(c.Faults)
	if n == 0 {
		return
	}
	f := &c.Faults[s.random.IntN(n)]
	f.At = s.drawStart(c)
	f.Duration = s.drawDuration(c)
	f.Share = min(max(f.Share*s.drawNumber(0.6, 1.6), 0.01), 1)
}

// changeBursts adds a burst, or replaces one if the maximum number is reached.
func (s *Search) changeBursts(c *simulator.Config) {
	n := len(c.Bursts)
	if n < s.ranges.MaxBursts {
		c.Bursts = append(c.Bursts, s.drawBurst(c))
	} else if n > 0 {
		c.Bursts[s.random.IntN(n)] = s.drawBurst(c)
	}
}

// drawClients draws the behavior of clients and the delays of endpoint lists.
func (s *Search) drawClients(c *simulator.Config) {
	c.Clients.MaxRetries = s.random.IntN(6)
	c.Clients.HonorRetryAfter = s.random.Float64()
	c.Clients.Jitter = s.random.Float64()
	c.Clients.Backoff = s.drawTime(5*time.Millisecond, 500*time.Millisecond)
	c.Endpoints.UpdateDelay = s.drawTime(0, time.Second)
	c.Endpoints.FailureDelay = s.drawTime(0, 8*time.Second)
	c.Endpoints.Spread = s.drawTime(0, 2*time.Second)
}

func (s *Search) drawFault(c *simulator.Config) simulator.Fault {
	f := simulator.Fault{
		Kind:     estimatedFaults[s.random.IntN(len(estimatedFaults))],
		At:       s.drawStart(c),
		Duration: s.drawDuration(c),
		Share:    s.drawNumber(0.02, 0.6),
	}
	switch f.Kind {
	case simulator.Slow:
		f.Severity = s.drawNumber(1.5, 20)
	case simulator.Errors:
		f.Severity = s.drawNumber(0.05, 1)
	}
	return f
}

func (s *Search) drawBurst(c *simulator.Config) simulator.Burst {
	return simulator.Burst{At: s.drawStart(c), Duration: s.drawDuration(c), Factor: s.drawNumber(1.2, 4)}
}

func (s *Search) drawSeed() uint64 { return 1 + s.random.Uint64N(maxSeed) }

// drawStart draws a start time in the first two thirds of a run.
func (s *Search) drawStart(c *simulator.Config) time.Duration { return s.drawTime(0, c.Length*2/3) }

// drawDuration draws a duration of up to a third of a run.
func (s *Search) drawDuration(c *simulator.Config) time.Duration {
	return s.drawTime(minDuration, c.Length/3)
}

func (s *Search) drawNumber(low, high float64) float64 {
	return math.Round((low+s.random.Float64()*(high-low))*numberSteps) / numberSteps
}

func (s *Search) drawTime(low, high time.Duration) time.Duration {
	return (low + time.Duration(s.random.Float64()*float64(high-low))).Round(timeStep)
}

// drawLogUniform draws a whole number from low to high whose logarithm is uniform.
func (s *Search) drawLogUniform(low, high int) int {
	high = max(high, low)
	logLow := math.Log(float64(low))
	x := logLow + s.random.Float64()*(math.Log(float64(high))-logLow)
	return min(max(int(math.Round(math.Exp(x))), low), high)
}

// clone returns a copy of a Config that shares no data that this package modifies.
func clone(c simulator.Config) simulator.Config {
	c.Hosts = slices.Clone(c.Hosts)
	c.Classes = slices.Clone(c.Classes)
	c.Bursts = slices.Clone(c.Bursts)
	c.Faults = slices.Clone(c.Faults)
	c.Settings.Classes = slices.Clone(c.Settings.Classes)
	return c
}

// scaleLoad multiplies the rates of all classes by a factor.
func scaleLoad(c *simulator.Config, factor float64) {
	for i := range c.Classes {
		c.Classes[i].Rate = math.Round(c.Classes[i].Rate*factor*rateSteps) / rateSteps
	}
}

// loadPerHost returns the work requested per second, divided by the number of hosts of the first group, in seconds of
// a core of speed 1.
func loadPerHost(c simulator.Config) float64 {
	work := 0.0
	for _, t := range c.Classes {
		work += t.Rate * t.MeanWork.Seconds()
	}
	return work / float64(c.Hosts[0].Count)
}
