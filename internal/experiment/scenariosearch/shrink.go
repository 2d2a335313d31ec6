package scenariosearch

import (
	"slices"
	"time"

	"dunemoor/internal/experiment/simulator"
)

// keepPart is how much of a find's score must be left in what it is made smaller to.
const keepPart = 0.8

// smaller are the ways to make a Config simpler, the largest cuts first. Each says whether there
// was anything to cut.
var smaller = []func(c *simulator.Config, i int) (cut bool, more bool){
	func(c *simulator.Config, i int) (bool, bool) { // without a trouble
		if i >= len(c.Troubles) {
			return false, false
		}
		c.Troubles = slices.Delete(c.Troubles, i, i+1)
		return true, true
	},
	func(c *simulator.Config, i int) (bool, bool) { // without a burst
		if i >= len(c.Bursts) {
			return false, false
		}
		c.Bursts = slices.Delete(c.Bursts, i, i+1)
		return true, true
	},
	func(c *simulator.Config, i int) (bool, bool) { // without a class, if another is left
		if i >= len(c.Classes) || len(c.Classes) == 1 {
			return false, false
		}
		work := perHost(*c)
		c.Classes = slices.Delete(c.Classes, i, i+1)
		c.Settings.Classes = slices.Delete(c.Settings.Classes, i, i+1)
		if left := perHost(*c); left > 0 { // as much is asked
			scale(c, work/left)
		}
		return true, true
	},
	func(c *simulator.Config, _ int) (bool, bool) { // half of the gateways
		was := c.Gateways
		c.Gateways = max(was/2, 1)
		return c.Gateways < was, false
	},
	func(c *simulator.Config, _ int) (bool, bool) { // half of the hosts, and of the load with them
		was := c.Hosts[0].Count
		c.Hosts[0].Count = max(was/2, 2)
		if c.Hosts[0].Count == was {
			return false, false
		}
		scale(c, float64(c.Hosts[0].Count)/float64(was))
		return true, false
	},
	func(c *simulator.Config, _ int) (bool, bool) { // no longer than until some time behind the last trouble
		end := 5 * time.Second
		for _, t := range c.Troubles {
			end = max(end, t.At+t.For+5*time.Second)
		}
		for _, b := range c.Bursts {
			end = max(end, b.At+b.For+5*time.Second)
		}
		if end >= c.Length {
			return false, false
		}
		c.Length = end
		return true, false
	},
	func(c *simulator.Config, _ int) (bool, bool) { // clients that ask once
		was := c.Clients
		c.Clients = simulator.Clients{Notice: was.Notice}
		return c.Clients != was, false
	},
	func(c *simulator.Config, _ int) (bool, bool) { // news at once
		was := c.Lists
		c.Lists = simulator.Lists{}
		return c.Lists != was, false
	},
	func(c *simulator.Config, _ int) (bool, bool) { // a plain network
		was := c.Net.Spread
		c.Net.Spread = 0
		return was != 0, false
	},
	func(c *simulator.Config, i int) (bool, bool) { // troubles at whole seconds
		if i >= len(c.Troubles) {
			return false, false
		}
		t := &c.Troubles[i]
		was := *t
		t.At, t.For = t.At.Round(time.Second), max(t.For.Round(time.Second), time.Second)
		t.Part = float64(int(t.Part*20+0.5)) / 20
		if t.Part == 0 {
			t.Part = was.Part
		}
		return *t != was, true
	},
	func(c *simulator.Config, _ int) (bool, bool) { // the first seed
		was := c.Seed
		c.Seed = 1
		return was != 1, false
	},
}

// Shrink makes a find smaller while most of its score, or a broken rule, is left, with at most so many runs. play
// gives what comes of a Config; where that is an error the cut is not made.
func Shrink(f Find, runs int, play func(simulator.Config) (*simulator.Summary, error)) Find {
	least, broken := keepPart*f.Score, f.Broken > 0
	for again := true; again; {
		again = false
		for _, cut := range smaller {
			for i := 0; ; i++ {
				c := clone(f.Config)
				did, more := cut(&c, i)
				if did && len(c.Check()) == 0 {
					if runs--; runs < 0 {
						return f
					}
					if sum, err := play(c); err == nil {
						if got := Judge(c, sum); broken && got.Broken > 0 || !broken && got.Score >= least {
							f, again = got, true
							i-- // another has come into its place
						}
					}
				}
				if !more {
					break
				}
			}
		}
	}
	return f
}
