// Package scenariosearch searches for fleets and faults that the balancer serves worse than it could, and
// makes the findings small. It does no I/O, starts no goroutine and reads no clock: Search.Next returns
// candidates to simulate, Search.Report takes their results, and the same seed gives the same candidates.
package scenariosearch

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"dunemoor/internal/experiment/simulator"
)

// Candidate is a run to simulate.
type Candidate struct {
	Config simulator.Config // with its seed
}

// Finding is the result of a Candidate.
type Finding struct {
	Config        simulator.Config
	InTimeShare   float64
	PossibleShare float64 // estimate of the share that gateways with full knowledge could have served in time
	Violations    int     // of the rules of package simulator
	Score         float64 // the higher, the worse the run
}

// Ranges bounds the search around a Config that is served well.
type Ranges struct {
	Base        simulator.Config
	LoadMin     float64 // multiples of the base's rates
	LoadMax     float64
	MaxFaults   int
	MaxBursts   int
	Length      time.Duration // of a run
	MaxGateways int
	MaxHosts    int // of the first group; 0: as in the base
}

const (
	// maxKept is the number of findings that candidates are derived from.
	maxKept = 24
	// maxKeptPerLabel is the number of them with the same kinds of fault.
	maxKeptPerLabel = 4
	// newShare is the share of candidates that are drawn anew and not derived from a finding.
	newShare = 0.4
	// violationScore puts any violation of a rule above the worst service.
	violationScore = 10
	// searchStream selects the random stream of a search.
	searchStream = 0x68756e74
)

// Search is a search in progress.
type Search struct {
	ranges   Ranges
	random   *rand.Rand
	findings []Finding // the worst first
	reported int
}

// New returns a Search.
func New(r Ranges, seed uint64) *Search {
	return &Search{ranges: r, random: rand.New(rand.NewPCG(seed, searchStream))}
}

// Reported is the number of results so far.
func (s *Search) Reported() int { return s.reported }

// Worst returns the worst findings so far, the worst first, with few of the same kinds of fault.
func (s *Search) Worst() []Finding { return slices.Clone(s.findings) }

// Next returns n candidates. They can be simulated in any order, but are reported in the order returned.
func (s *Search) Next(n int) []Candidate {
	candidates := make([]Candidate, 0, n)
	for range n {
		candidates = append(candidates, Candidate{s.nextConfig()})
	}
	return candidates
}

func (s *Search) nextConfig() simulator.Config {
	if len(s.findings) == 0 || s.random.Float64() < newShare {
		return s.newConfig()
	}
	// The worse of two draws, so that the worst are chosen more often.
	chosen := min(s.random.IntN(len(s.findings)), s.random.IntN(len(s.findings)))
	c := s.mutate(s.findings[chosen].Config)
	if len(c.Validate()) > 0 {
		return s.newConfig()
	}
	return c
}

// Report takes the result of a candidate.
func (s *Search) Report(c Candidate, result *simulator.Summary) {
	s.reported++
	s.findings = append(s.findings, Evaluate(c.Config, result))
	slices.SortStableFunc(s.findings, worseFirst)
	perLabel := map[string]int{}
	s.findings = slices.DeleteFunc(s.findings, func(f Finding) bool {
		label := Label(f.Config)
		perLabel[label]++
		return perLabel[label] > maxKeptPerLabel
	})
	s.findings = s.findings[:min(len(s.findings), maxKept)]
}

func worseFirst(a, b Finding) int {
	switch {
	case a.Score > b.Score:
		return -1
	case a.Score < b.Score:
		return 1
	}
	return 0
}

// Label names the kinds of fault in a Config, each once, joined by "+". It is "load" where there is none.
func Label(c simulator.Config) string {
	var kinds []string
	for _, f := range c.Faults {
		kinds = append(kinds, string(f.Kind))
	}
	if len(c.Bursts) > 0 {
		kinds = append(kinds, "burst")
	}
	if len(kinds) == 0 {
		return "load"
	}
	slices.Sort(kinds)
	return strings.Join(slices.Compact(kinds), "+")
}

// Evaluate scores a run: by how much less was served in time than possible.
func Evaluate(c simulator.Config, result *simulator.Summary) Finding {
	f := Finding{Config: c, InTimeShare: result.InTimeShare(), PossibleShare: PossibleShare(c)}
	for _, count := range result.Violations {
		f.Violations += count
	}
	f.Score = f.PossibleShare - f.InTimeShare
	if f.Violations > 0 {
		f.Score += violationScore
	}
	return f
}
