package scenariosearch

import (
	"slices"
	"time"

	"dunemoor/internal/experiment/simulator"
)

const (
	// minScoreShare is the share of a finding's score that a smaller one must keep.
	minScoreShare = 0.8
	// timeAfterFault is how long a run goes on at least after its last fault or burst.
	timeAfterFault = 5 * time.Second
	// faultShareSteps: shares of faults are rounded to this part of 1.
	faultShareSteps = 20
)

// reduction makes a Config simpler at one of several places, or as a whole.
type reduction struct {
	places func(c *simulator.Config) int             // nil: the Config as a whole
	apply  func(c *simulator.Config, place int) bool // returns false where it changes nothing
}

// reductions are tried in this order, the largest first.
var reductions = []reduction{
	{faultCount, removeFault},
	{burstCount, removeBurst},
	{removableClassCount, removeClass},
	{nil, halveGateways},
	{nil, halveHosts},
	{nil, shortenRun},
	{nil, removeRetries},
	{nil, removeListDelays},
	{nil, removeDelaySpread},
	{faultCount, roundFault},
	{nil, useFirstSeed},
}

func faultCount(c *simulator.Config) int { return len(c.Faults) }
func burstCount(c *simulator.Config) int { return len(c.Bursts) }

// removableClassCount is 0 where one class is left, which must stay.
func removableClassCount(c *simulator.Config) int {
	if len(c.Classes) == 1 {
		return 0
	}
	return len(c.Classes)
}

func removeFault(c *simulator.Config, index int) bool {
	c.Faults = slices.Delete(c.Faults, index, index+1)
	return true
}

func removeBurst(c *simulator.Config, index int) bool {
	c.Bursts = slices.Delete(c.Bursts, index, index+1)
	return true
}

// removeClass removes a class and keeps the load.
func removeClass(c *simulator.Config, index int) bool {
	before := loadPerHost(*c)
	c.Classes = slices.Delete(c.Classes, index, index+1)
	c.Settings.Classes = slices.Delete(c.Settings.Classes, index, index+1)
	if left := loadPerHost(*c); left > 0 {
		scaleLoad(c, before/left)
	}
	return true
}

func halveGateways(c *simulator.Config, _ int) bool {
	before := c.Gateways
	c.Gateways = max(before/2, 1)
	return c.Gateways < before
}

// halveHosts halves the hosts of the first group, and the load with them.
func halveHosts(c *simulator.Config, _ int) bool {
	before := c.Hosts[0].Count
	c.Hosts[0].Count = max(before/2, minHosts)
	if c.Hosts[0].Count == before {
		return false
	}
	scaleLoad(c, float64(c.Hosts[0].Count)/float64(before))
	return true
}

// shortenRun ends the run some time after the last fault or burst.
func shortenRun(c *simulator.Config, _ int) bool {
	end := timeAfterFault
	for _, f := range c.Faults {
		end = max(end, f.At+f.Duration+timeAfterFault)
	}
	for _, b := range c.Bursts {
		end = max(end, b.At+b.Duration+timeAfterFault)
	}
	if end >= c.Length {
		return false
	}
	c.Length = end
	return true
}

func removeRetries(c *simulator.Config, _ int) bool {
	before := c.Clients
	c.Clients = simulator.Clients{FailoverDelay: before.FailoverDelay}
	return c.Clients != before
}

func removeListDelays(c *simulator.Config, _ int) bool {
	before := c.Endpoints
	c.Endpoints = simulator.EndpointLists{}
	return c.Endpoints != before
}

func removeDelaySpread(c *simulator.Config, _ int) bool {
	before := c.Network.DelaySpread
	c.Network.DelaySpread = 0
	return before != 0
}

// roundFault rounds the times of a fault to seconds, and its share.
func roundFault(c *simulator.Config, index int) bool {
	f := &c.Faults[index]
	before := *f
	f.At = f.At.Round(time.Second)
	f.Duration = max(f.Duration.Round(time.Second), time.Second)
	f.Share = float64(int(f.Share*faultShareSteps+0.5)) / faultShareSteps
	if f.Share == 0 {
		f.Share = before.Share
	}
	return *f != before
}

func useFirstSeed(c *simulator.Config, _ int) bool {
	before := c.Seed
	c.Seed = 1
	return before != 1
}

// Shrink makes a finding smaller while most of its score, or a violation of a rule, is left. It calls run at
// most maxRuns times; a reduction whose run returns an error is not made.
func Shrink(f Finding, maxRuns int, run func(simulator.Config) (*simulator.Summary, error)) Finding {
	s := shrinker{
		finding:       f,
		runsLeft:      maxRuns,
		run:           run,
		minScore:      minScoreShare * f.Score,
		needViolation: f.Violations > 0,
	}
	for s.pass() {
	}
	return s.finding
}

// shrinker is the state of Shrink.
type shrinker struct {
	finding       Finding // the smallest so far
	runsLeft      int
	run           func(simulator.Config) (*simulator.Summary, error)
	minScore      float64
	needViolation bool
}

// pass tries each reduction at each place once. It returns false where none could be made.
func (s *shrinker) pass() bool {
	reduced := false
	for _, r := range reductions {
		if r.places == nil {
			reduced = s.try(r, 0) || reduced
			continue
		}
		place := 0
		for place < r.places(&s.finding.Config) {
			if s.try(r, place) {
				reduced = true // another place has come in its place, or it is as simple as it gets
			} else {
				place++
			}
		}
	}
	return reduced
}

// try makes a reduction if enough of the finding is left after it.
func (s *shrinker) try(r reduction, place int) bool {
	c := clone(s.finding.Config)
	changed := r.apply(&c, place)
	if !changed || len(c.Validate()) > 0 || s.runsLeft == 0 {
		return false
	}
	s.runsLeft--
	result, err := s.run(c)
	if err != nil {
		return false
	}
	smaller := Evaluate(c, result)
	if !s.accepts(&smaller) {
		return false
	}
	s.finding = smaller
	return true
}

func (s *shrinker) accepts(f *Finding) bool {
	if s.needViolation {
		return f.Violations > 0
	}
	return f.Score >= s.minScore
}
