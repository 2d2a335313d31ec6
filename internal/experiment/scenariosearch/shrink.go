package scenariosearch

import (
	"slices"
	"time"

	"dunemoor/internal/experiment/simulator"
)

const (
	// minScoreShare is the minimum score of a smaller finding, as a share of the score of the original one.
	minScoreShare = 0.8
	// timeAfterFault is the minimum length of a run after its last fault or burst.
	timeAfterFault = 5 * time.Second
	// faultShareSteps sets the precision to which shares of faults are rounded: multiples of 1/faultShareSteps.
	faultShareSteps = 20
)

// reduction is a simplification of a Config. It is applied to one item of a list, such as a fault, or to the Config
// as a whole.
type reduction struct {
	places func(c *simulator.Config) int             // number of items it can be applied to; nil: it applies to the Config as a whole
	apply  func(c *simulator.Config, place int) bool // returns false if it changes nothing
}

// reductions are tried in this order, the ones with the largest effect first.
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

// removableClassCount returns the number of classes, or 0 if there is only one, which can't be removed.
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

// removeClass removes a class and scales the others so that the load stays the same.
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

// halveHosts halves the number of hosts of the first group, and the load in proportion.
func halveHosts(c *simulator.Config, _ int) bool {
	before := c.Hosts[0].Count
	c.Hosts[0].Count = max(before/2, minHosts)
	if c.Hosts[0].Count == before {
		return false
	}
	scaleLoad(c, float64(c.Hosts[0].Count)/float64(before))
	return true
}

// shortenRun ends the run timeAfterFault after the last fault or burst.
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

// roundFault rounds the start and the duration of a fault to seconds, and its share to multiples of
// 1/faultShareSteps.
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

// Shrink simplifies a finding as long as it keeps minScoreShare of its score, or, if it violates a rule, a violation.
// It calls run at most maxRuns times. A reduction whose run returns an error is not made.
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
	finding       Finding // the smallest finding so far
	runsLeft      int
	run           func(simulator.Config) (*simulator.Summary, error)
	minScore      float64
	needViolation bool
}

// pass tries each reduction once at each place. It returns false if none was accepted.
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
				reduced = true // the next item now has this index, or this one can't be reduced further and the next try fails
			} else {
				place++
			}
		}
	}
	return reduced
}

// try applies a reduction, and keeps the result if the result is still accepted as a finding.
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
