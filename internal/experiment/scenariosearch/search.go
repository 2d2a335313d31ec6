// Package scenariosearch searches for fleets and faults for which the balancer serves fewer requests in time than
// possible, and shrinks these findings to small scenarios. It does no I/O, starts no goroutine and reads no clock:
// Search.Next returns candidates to simulate, Search.Report receives their results, and the same seed gives the same
// candidates.
package scenariosearch

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"dunemoor/internal/experiment/simulator"
)

// Candidate is a Config to simulate.
type Candidate struct {
	Config simulator.Config // including the seed of the run
}

// Finding is the result of a Candidate.
type Finding struct {
	Config        simulator.Config
	InTimeShare   float64
	PossibleShare float64 // estimated share that gateways with complete information could have served in time, see PossibleShare
	Violations    int     // number of violations of the rules of package simulator
	Score         float64 // a higher score is a worse run
}

// Ranges bounds the candidates of a search, which are variations of the Config Base.
type Ranges struct {
	Base        simulator.Config
	LoadMin     float64 // lowest and highest load, as multiples of the rates of Base
	LoadMax     float64
	MaxFaults   int
	MaxBursts   int
	Length      time.Duration // length of each run
	MaxGateways int
	MaxHosts    int // maximum number of hosts in the first group; 0: as in Base
}

const (
	// maxKept is the maximum number of findings that are kept to derive candidates from.
	maxKept = 24
	// maxKeptPerLabel is the maximum number of findings that are kept with the same Label.
	maxKeptPerLabel = 4
	// newShare is the share of candidates that are drawn independently of earlier findings.
	newShare = 0.4
	// violationScore is added to the score of a run that violates a rule, so that it exceeds any score without a
	// violation.
	violationScore = 10
	// searchStream is the second seed of a search's random numbers.
	searchStream = 0x68756e74
)

// Search is a search in progress.
type Search struct {
	ranges   Ranges
	random   *rand.Rand
	findings []Finding // sorted, the worst first
	reported int
}

// New returns a Search.
func New(r Ranges, seed uint64) *Search {
	return &Search{ranges: r, random: rand.New(rand.NewPCG(seed, searchStream))}
}

// Reported returns the number of results reported so far.
func (s *Search) Reported() int { return s.reported }

// Worst returns the worst findings so far, the worst first. At most maxKeptPerLabel of them have the same Label.
func (s *Search) Worst() []Finding { return slices.Clone(s.findings) }

// Next returns n candidates. They can be simulated in any order, but must be reported in the order in which they were
// returned.
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
	// Use the worse of two drawn findings, so that the worst ones are chosen more often.
	chosen := min(s.random.IntN(len(s.findings)), s.random.IntN(len(s.findings)))
	c := s.mutate(s.findings[chosen].Config)
	if len(c.Validate()) > 0 {
		return s.newConfig()
	}
	return c
}

// Report adds the result of a candidate.
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

// Label returns the kinds of fault in a Config, each once, joined by "+", with "burst" for a burst. It is "load" if
// there is none.
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

// Evaluate returns the finding of a run. Its score is the difference between the possible and the actual share served
// in time.
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
