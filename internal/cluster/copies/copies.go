// Package copies decides on which gateways the copies of each shelf lie, and by which steps they get
// there. It does no I/O and knows no clock: whoever owns the duty tells it how things stand and
// carries out what it says.
//
// Two copies of a shelf never lie on one machine, nor in one zone as long as there are others. A
// copy stays where it is unless its gateway has gone or holds far too much; where one is to go is
// drawn by rendezvous hashing among those that are not full, so that a machine that comes or goes
// moves little else.
package copies

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"dunemoor/internal/cluster/failpoint"
)

const (
	// fullAt is how much more than its share a gateway may be given: with less more is moved than
	// was lost, with more the spread is wider (docs/design/copies.md).
	fullAt = 1.25
	// evenAt is how much more than its share it may hold before a copy is moved from it only for
	// that: above what others hold for a machine that is away, so that one that comes back takes
	// nothing from them. hungryAt is up to what part of its share one that holds less is given some.
	evenAt   = 1.5
	hungryAt = 0.5
	// takesMost is how many copies a gateway is brought up to at once: each takes from the disk and
	// the network what promises need.
	takesMost = 2
	// stepsMost is how many shelves change at once in all.
	stepsMost = 16
)

// Gateway is one that can hold copies.
type Gateway struct {
	Name, Machine, Zone string
	Weight              float64 // its part beside the others'; 0: it holds none
	Up                  bool    // or silent for less than is waited before it is replaced
}

// Shelf is where the copies of one lie.
type Shelf struct {
	ID      int
	Copies  []string // gateways with a vote
	Learner string   // the one that is being brought up; "": none
	Caught  bool     // the learner has the log
}

// Step is one change of one shelf.
type Step struct {
	Shelf   int
	Learn   string // begin to bring this one up
	Promote string // give it its vote
	Remove  string // and take this one's, in the same joint change
}

// Plan is the fleet as it stands.
type Plan struct {
	Copies   int // of each shelf
	Shelves  []Shelf
	Gateways []Gateway

	by    map[string]*Gateway
	load  map[string]int
	most  map[string]int     // that it may be given
	share map[string]float64 // that it would hold if all were even
}

// score is a gateway's draw for a shelf: the highest wins, each with a chance as its weight.
func score(shelf int, g *Gateway) float64 {
	h := xxhash.New()
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(shelf))
	h.Write(b[:])
	h.WriteString(g.Name)
	u := (float64(h.Sum64()>>11) + 0.5) / (1 << 53)
	return -g.Weight / math.Log(u)
}

func (p *Plan) prepare() {
	p.by, p.load, p.most, p.share = map[string]*Gateway{}, map[string]int{}, map[string]int{}, map[string]float64{}
	sum := 0.0
	for i := range p.Gateways {
		g := &p.Gateways[i]
		p.by[g.Name] = g
		if p.usable(g.Name) {
			sum += g.Weight
		}
	}
	for i := range p.Gateways {
		if g := &p.Gateways[i]; p.usable(g.Name) {
			share := float64(p.Copies*len(p.Shelves)) * g.Weight / sum
			p.share[g.Name] = share
			p.most[g.Name] = min(len(p.Shelves), int(math.Ceil(fullAt*share)))
		}
	}
}

// usable says whether a gateway may hold copies.
func (p *Plan) usable(name string) bool {
	g := p.by[name]
	return g != nil && g.Up && g.Weight > 0
}

// Want is where the copies are to lie, by shelf: as many as there are machines for, up to Copies.
func (p *Plan) Want() map[int][]string {
	p.prepare()
	want := map[int][]string{}
	missing := 0
	for _, s := range p.Shelves {
		var keep []string
		for _, name := range append(slices.Clone(s.Copies), s.Learner) {
			// One that is being brought up is not given up half way.
			if p.usable(name) && len(keep) < p.Copies && p.apart(keep, name, false) {
				keep = append(keep, name)
				p.load[name]++
			}
		}
		want[s.ID] = keep
		missing += p.Copies - len(keep)
	}
	for _, s := range p.Shelves {
		for len(want[s.ID]) < p.Copies {
			name := p.choose(s.ID, want[s.ID])
			if name == "" {
				break // fewer machines than copies
			}
			want[s.ID] = append(want[s.ID], name)
			p.load[name]++
		}
	}
	if missing == 0 {
		p.even(want)
	}
	return want
}

// apart says whether a gateway is on another machine than those that hold copies, and in another
// zone where that is asked for.
func (p *Plan) apart(have []string, name string, zones bool) bool {
	g := p.by[name]
	for _, other := range have {
		o := p.by[other]
		if o.Name == g.Name || o.Machine == g.Machine && g.Machine != "" && !failpoint.Enabled(failpoint.ShareMachine) || zones && o.Zone == g.Zone && g.Zone != "" {
			return false
		}
	}
	return true
}

// choose draws a gateway for one more copy: in a zone of its own and not full, else not full, else
// the one that is least so.
func (p *Plan) choose(shelf int, have []string) string {
	for _, strict := range []struct{ zones, room bool }{{true, true}, {true, false}, {false, true}, {false, false}} {
		best, at := "", 0.0
		for i := range p.Gateways {
			g := &p.Gateways[i]
			if !p.usable(g.Name) || !p.apart(have, g.Name, strict.zones) || strict.room && p.load[g.Name] >= p.most[g.Name] {
				continue
			}
			x := score(shelf, g)
			if !strict.room {
				x = -float64(p.load[g.Name]) / g.Weight
			}
			if best == "" || x > at {
				best, at = g.Name, x
			}
		}
		if best != "" {
			return best
		}
	}
	return ""
}

// even moves one copy, where that helps: from one that shares a zone with another copy while there is
// a zone with none; from one that holds far too much; to one that holds far too little.
func (p *Plan) even(want map[int][]string) {
	hungry := ""
	for i := range p.Gateways {
		name := p.Gateways[i].Name
		if p.usable(name) && float64(p.load[name]+1) <= hungryAt*p.share[name] && (hungry == "" || p.load[name] < p.load[hungry]) {
			hungry = name
		}
	}
	for _, s := range p.Shelves {
		have := want[s.ID]
		for i, name := range have {
			rest := slices.Delete(slices.Clone(have), i, i+1)
			apart := p.apart(rest, name, true)
			to, load := p.choose(s.ID, rest), float64(p.load[name])
			switch {
			case !apart && to != "" && p.apart(rest, to, true):
			case load > math.Ceil(evenAt*p.share[name]) && to != "" && p.load[to] < p.most[to] && p.apart(rest, to, apart):
			case hungry != "" && load > p.share[name] && p.apart(rest, hungry, apart):
				to = hungry
			default:
				continue
			}
			want[s.ID] = append(rest, to)
			p.load[name]--
			p.load[to]++
			return
		}
	}
}

// Next is the steps that can be taken now towards where the copies are to lie: one change a shelf
// at a time, none that leaves it without a majority of living copies, and no copy taken out before
// the one in its place has its vote.
func (p *Plan) Next() (steps []Step) {
	want := p.Want()
	taking, changing := map[string]int{}, 0
	for _, s := range p.Shelves {
		if s.Learner != "" {
			taking[s.Learner]++
			changing++
		}
	}
	shelves := slices.Clone(p.Shelves)
	// Those that have lost most first.
	slices.SortStableFunc(shelves, func(a, b Shelf) int { return cmp.Compare(p.living(a.Copies), p.living(b.Copies)) })
	for _, s := range shelves {
		spare := p.spare(s, want[s.ID])
		switch {
		case s.Learner != "" && !p.usable(s.Learner):
			steps = append(steps, Step{Shelf: s.ID, Remove: s.Learner})
		case s.Learner != "" && s.Caught:
			st := Step{Shelf: s.ID, Promote: s.Learner, Remove: spare}
			if len(s.Copies) < p.Copies && spare != "" && p.living(s.Copies) == len(s.Copies) {
				st.Remove = "" // all live, and one is missing
			}
			if p.majority(s, st) {
				steps = append(steps, st)
			}
		case s.Learner != "":
		case (len(s.Copies) > p.Copies || failpoint.Enabled(failpoint.RemoveBeforePromote)) && spare != "":
			if st := (Step{Shelf: s.ID, Remove: spare}); p.majority(s, st) {
				steps = append(steps, st)
			}
		default:
			for _, name := range want[s.ID] {
				if !slices.Contains(s.Copies, name) && taking[name] < takesMost && changing < stepsMost && p.majority(s, Step{}) {
					taking[name]++
					changing++
					steps = append(steps, Step{Shelf: s.ID, Learn: name})
					break
				}
			}
		}
	}
	return steps
}

// spare is a copy that is not wanted, one that does not live before one that does; "": none.
func (p *Plan) spare(s Shelf, want []string) (name string) {
	for _, c := range s.Copies {
		if !slices.Contains(want, c) && (name == "" || p.by[name] != nil && p.by[name].Up && (p.by[c] == nil || !p.by[c].Up)) {
			name = c
		}
	}
	return name
}

func (p *Plan) living(copies []string) (n int) {
	for _, c := range copies {
		if g := p.by[c]; g != nil && g.Up {
			n++
		}
	}
	return n
}

// majority says whether most copies live before a step and behind it.
func (p *Plan) majority(s Shelf, st Step) bool {
	after := slices.DeleteFunc(slices.Clone(s.Copies), func(c string) bool { return c == st.Remove })
	if st.Promote != "" {
		after = append(after, st.Promote)
	}
	return 2*p.living(s.Copies) > len(s.Copies) && 2*p.living(after) > len(after) || failpoint.Enabled(failpoint.SkipMajorityCheck)
}
