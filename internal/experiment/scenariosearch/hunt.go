// Package scenariosearch looks for fleets and troubles that the decision module serves worse than it could,
// and makes what it finds small. It does no I/O, starts no goroutine and reads no clock: what is
// to be played is asked for with Next and told with Tell, and the same seed asks for the same.
package scenariosearch

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"dunemoor/internal/experiment/simulator"
)

// Candidate is something to be played.
type Candidate struct {
	Config simulator.Config // with its seed
}

// Find is what came of a Candidate.
type Find struct {
	Config   simulator.Config
	Got      float64 // share in time
	Possible float64 // share that a gateway that knows all could have served, at least roughly
	Broken   int     // rules broken
	Score    float64 // the worse, the higher
}

// Ranges are what is searched, round a Config that is served well.
type Ranges struct {
	Base     simulator.Config
	Load     [2]float64 // of the base's rates
	Troubles int        // at once, most
	Bursts   int
	Length   time.Duration // of a run, most
	Gateways int           // most
	Hosts    int           // of the first kind, most
}

// Constants of the search, each with its reason.
const (
	// kept is how many of the worst are bred from: enough that one kind of trouble does not fill
	// them, few enough that what is bad is bred from often.
	kept = 24
	// ofAKind is how many are kept in which the same kinds of things go wrong.
	ofAKind = 4
	// freshPart is the share of candidates that are drawn anew, so that no corner is forgotten.
	freshPart = 0.4
	// brokenScore sets any broken rule above the worst service.
	brokenScore = 10
	// usable is the share of the hosts' work that is counted as possible: beyond it queues are
	// longer than an aim of a few times the work.
	usable = 0.7
	// grace is how long a trouble is given to be noticed: what is lost in it is counted as not
	// possible for the part that was hit.
	grace = 2 * time.Second
	// step is the grain in which what is possible is reckoned.
	step = 100 * time.Millisecond
)

// Search is a hunt that is under way.
type Search struct {
	ranges Ranges
	rng    *rand.Rand
	worst  []Find // the worst first
	played int
}

// New returns a Search.
func New(r Ranges, seed uint64) *Search {
	return &Search{ranges: r, rng: rand.New(rand.NewPCG(seed, 0x68756e74))}
}

// Played is how many have been told.
func (s *Search) Played() int { return s.played }

// Worst are the worst so far, the worst first, and few of those in which the same goes wrong.
func (s *Search) Worst() []Find { return slices.Clone(s.worst) }

// Next gives n candidates. They can be played in any order, and are told in the order of n.
func (s *Search) Next(n int) []Candidate {
	var out []Candidate
	for range n {
		var c Candidate
		if len(s.worst) == 0 || s.rng.Float64() < freshPart {
			c.Config = s.fresh()
		} else {
			// The worst more often: the worse of two draws.
			c.Config = s.bred(s.worst[min(s.rng.IntN(len(s.worst)), s.rng.IntN(len(s.worst)))].Config)
		}
		if len(c.Config.Check()) > 0 { // a mutation may leave what can't be played
			c.Config = s.fresh()
		}
		out = append(out, c)
	}
	return out
}

// Tell says what came of a candidate.
func (s *Search) Tell(c Candidate, sum *simulator.Summary) {
	s.played++
	s.worst = append(s.worst, Judge(c.Config, sum))
	slices.SortStableFunc(s.worst, func(a, b Find) int {
		switch {
		case a.Score > b.Score:
			return -1
		case a.Score < b.Score:
			return 1
		}
		return 0
	})
	// Of those in which the same goes wrong a few are enough: the list stays many-sided.
	seen := map[string]int{}
	s.worst = slices.DeleteFunc(s.worst, func(f Find) bool {
		seen[Kinds(f.Config)]++
		return seen[Kinds(f.Config)] > ofAKind
	})
	s.worst = s.worst[:min(len(s.worst), kept)]
}

// Kinds names what goes wrong in a Config, each kind once.
func Kinds(c simulator.Config) string {
	var kinds []string
	for _, t := range c.Troubles {
		kinds = append(kinds, string(t.Kind))
	}
	if len(c.Bursts) > 0 {
		kinds = append(kinds, "burst")
	}
	slices.Sort(kinds)
	out := ""
	for i, k := range slices.Compact(kinds) {
		if i > 0 {
			out += "+"
		}
		out += k
	}
	if out == "" {
		return "load"
	}
	return out
}

// Judge says how bad a run was: by how much less was served than could have been.
func Judge(c simulator.Config, sum *simulator.Summary) Find {
	f := Find{Config: c, Got: sum.InTime(), Possible: Possible(c)}
	for _, n := range sum.Broken {
		f.Broken += n
	}
	f.Score = f.Possible - f.Got
	if f.Broken > 0 {
		f.Score += brokenScore
	}
	return f
}

// Possible is which share of what is asked the hosts that are well could have worked on in time,
// reckoned with in steps of 100 ms: of their cores' work at most 70 in 100, of an error's share
// nothing, of a host that fails nothing from its trouble to its end, of requests that go to a part
// that has just failed nothing for as long as it takes to notice. Gateways that die lose what was
// on them, and what comes until clients notice, or until they are back where none is left. Hosts that came back cold count from where they
// are warm.
func Possible(c simulator.Config) float64 {
	work, rates := 0.0, 0.0 // of all classes, a second
	for _, t := range c.Classes {
		work += t.Rate * t.Work.Seconds()
		rates += t.Rate
	}
	if rates == 0 {
		return 1
	}
	all, hosts := 0.0, 0
	for _, k := range c.Hosts {
		hosts += k.Count
		speed := k.Speed
		if speed == 0 {
			speed = 1
		}
		all += float64(k.Count*k.Cores) * speed
	}
	asked, served := 0.0, 0.0
	for at := time.Duration(0); at < c.Length; at += step {
		times := 1.0
		for _, b := range c.Bursts {
			if at >= b.At && at < b.At+b.For {
				if b.Class == "" {
					times *= b.Times
				} else {
					for _, t := range c.Classes {
						if t.Name == b.Class {
							times += (b.Times - 1) * t.Rate / rates
						}
					}
				}
			}
		}
		well, lost, gone := 1.0, 0.0, 0.0
		for _, t := range c.Troubles {
			left := 1.0 // of what the part that is hit can do
			switch t.Kind {
			case simulator.Slow:
				left = 1 / t.Size
			case simulator.Errors:
				left = 1 - t.Size
			default:
				left = 0
			}
			// At least one is hit, as the model has it.
			n := float64(hosts)
			if t.Kind == simulator.Gateway {
				n = float64(c.Gateways)
			}
			hit := max(1, math.Floor(t.Part*n+0.5)) / n
			part := (1 - left) * hit
			end, warm := t.At+t.For, time.Duration(0)
			switch t.Kind {
			case simulator.Crash, simulator.Vanish, simulator.Drain:
				warm = c.Settings.SlowStartWindow
			case simulator.Gateway:
				if at >= t.At && at < end {
					gone += hit
				}
				if at >= t.At && at < t.At+max(grace, c.Clients.Notice) {
					lost = max(lost, hit)
				}
				continue
			}
			if at >= t.At && at < end+warm {
				well *= 1 - part
			}
			if at >= t.At && at < t.At+grace+c.Lists.Silent {
				lost = max(lost, part)
			}
		}
		if gone > 0.999 { // no gateway is left, or may be
			lost = 1
		}
		share := min(1, usable*all*well/max(work*times, 1e-9)) * (1 - lost)
		asked += times
		served += times * share
	}
	return served / asked
}

// fresh draws a candidate within the ranges.
func (s *Search) fresh() simulator.Config {
	c := clone(s.ranges.Base)
	c.Seed = 1 + s.rng.Uint64N(1<<31)
	c.Length = s.ranges.Length
	c.Gateways = s.log(1, s.ranges.Gateways)
	if n := s.ranges.Hosts; n > 0 {
		was := c.Hosts[0].Count
		c.Hosts[0].Count = s.log(2, n)
		scale(&c, float64(c.Hosts[0].Count)/float64(was))
	}
	scale(&c, s.between(s.ranges.Load[0], s.ranges.Load[1]))
	s.clients(&c)
	for range s.rng.IntN(s.ranges.Troubles + 1) {
		c.Troubles = append(c.Troubles, s.trouble(&c))
	}
	for range s.rng.IntN(s.ranges.Bursts + 1) {
		c.Bursts = append(c.Bursts, s.burst(&c))
	}
	return c
}

// bred changes a thing or three of what was bad.
func (s *Search) bred(from simulator.Config) simulator.Config {
	c := clone(from)
	for range 1 + s.rng.IntN(3) {
		switch s.rng.IntN(8) {
		case 0:
			c.Seed = 1 + s.rng.Uint64N(1<<31)
		case 1:
			n := s.log(1, s.ranges.Gateways)
			c.Gateways = n
		case 2:
			scale(&c, s.between(0.8, 1.25))
		case 3:
			s.clients(&c)
		case 4:
			if len(c.Troubles) < s.ranges.Troubles {
				c.Troubles = append(c.Troubles, s.trouble(&c))
			}
		case 5:
			if n := len(c.Troubles); n > 0 {
				c.Troubles[s.rng.IntN(n)] = s.trouble(&c)
			}
		case 6:
			if n := len(c.Troubles); n > 0 {
				t := &c.Troubles[s.rng.IntN(n)]
				t.At = s.span(0, c.Length*2/3)
				t.For = s.span(500*time.Millisecond, c.Length/3)
				t.Part = min(max(t.Part*s.between(0.6, 1.6), 0.01), 1)
			}
		case 7:
			if len(c.Bursts) < s.ranges.Bursts {
				c.Bursts = append(c.Bursts, s.burst(&c))
			} else if n := len(c.Bursts); n > 0 {
				c.Bursts[s.rng.IntN(n)] = s.burst(&c)
			}
		}
	}
	// The load stays within its range, whatever was multiplied.
	base, now := perHost(s.ranges.Base), perHost(c)
	if now > base*s.ranges.Load[1] {
		scale(&c, base*s.ranges.Load[1]/now)
	}
	return c
}

func (s *Search) clients(c *simulator.Config) {
	c.Clients.Retries = s.rng.IntN(6)
	c.Clients.Honour = s.rng.Float64()
	c.Clients.Jitter = s.rng.Float64()
	c.Clients.Backoff = s.span(5*time.Millisecond, 500*time.Millisecond)
	c.Lists.Delay = s.span(0, time.Second)
	c.Lists.Silent = s.span(0, 8*time.Second)
	c.Lists.Spread = s.span(0, 2*time.Second)
}

// reckoned are the troubles that Possible knows the price of.
var reckoned = []simulator.TroubleKind{simulator.Crash, simulator.Vanish, simulator.Hang, simulator.Slow, simulator.Errors, simulator.Drain, simulator.Unheard, simulator.Gateway}

func (s *Search) trouble(c *simulator.Config) simulator.Trouble {
	t := simulator.Trouble{
		Kind: reckoned[s.rng.IntN(len(reckoned))],
		At:   s.span(0, c.Length*2/3), For: s.span(500*time.Millisecond, c.Length/3),
		Part: s.between(0.02, 0.6),
	}
	switch t.Kind {
	case simulator.Slow:
		t.Size = s.between(1.5, 20)
	case simulator.Errors:
		t.Size = s.between(0.05, 1)
	}
	return t
}

func (s *Search) burst(c *simulator.Config) simulator.Burst {
	return simulator.Burst{At: s.span(0, c.Length*2/3), For: s.span(500*time.Millisecond, c.Length/3), Times: s.between(1.2, 4)}
}

func (s *Search) between(low, high float64) float64 {
	return math.Round((low+s.rng.Float64()*(high-low))*1000) / 1000
}

func (s *Search) span(low, high time.Duration) time.Duration {
	return (low + time.Duration(s.rng.Float64()*float64(high-low))).Round(10 * time.Millisecond)
}

// log is a whole number up to high whose order of magnitude is drawn evenly.
func (s *Search) log(low, high int) int {
	x := math.Log(float64(low)) + s.rng.Float64()*(math.Log(float64(max(high, low)))-math.Log(float64(low)))
	return min(max(int(math.Round(math.Exp(x))), low), max(high, low))
}

// clone is a Config that shares nothing that is changed here.
func clone(c simulator.Config) simulator.Config {
	c.Hosts, c.Classes = slices.Clone(c.Hosts), slices.Clone(c.Classes)
	c.Bursts, c.Troubles = slices.Clone(c.Bursts), slices.Clone(c.Troubles)
	c.Settings.Classes = slices.Clone(c.Settings.Classes)
	return c
}

func scale(c *simulator.Config, by float64) {
	for i := range c.Classes {
		c.Classes[i].Rate = math.Round(c.Classes[i].Rate*by*100) / 100
	}
}

// perHost is the work that is asked of a host of the first kind, a second.
func perHost(c simulator.Config) (work float64) {
	for _, t := range c.Classes {
		work += t.Rate * t.Work.Seconds()
	}
	return work / float64(c.Hosts[0].Count)
}
