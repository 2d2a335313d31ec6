package sim

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"dunemoor/internal/cluster/lease"
)

// Cost is what a fleet sends when nothing happens, and what the death of its leader takes.
type Cost struct {
	Gateways, Keepers, Duties int
	FormedIn                  time.Duration // until each gateway has a session and each duty an owner
	EvenIn                    time.Duration // until none holds far more duties than another
	// Of the calm second: frames and bytes sent, by the leader, by another keeper and by a gateway
	// that holds no replica (the median of each kind).
	LeaderFrames, KeeperFrames, MemberFrames float64
	LeaderBytes, KeeperBytes, MemberBytes    float64
	// Behind the leader's death.
	LeadIn      time.Duration // until another leads
	OwnedIn     time.Duration // until the duties of the dead one have owners
	BusiestRate int           // frames in the fleet's busiest 100 ms behind it, a second
	CalmRate    int           // the same before it
	Lapsed      int           // sessions of living gateways that lapsed
}

// costSpan is how long is counted.
const costSpan = 10 * time.Second

// Measure plays a fleet that nobody disturbs, and then kills its leader.
func Measure(o Options) (c Cost, err error) {
	o.ActEvery = time.Hour // what the duties are for costs what it costs
	w := New(o)
	c.Gateways, c.Keepers, c.Duties = o.Nodes, o.Keepers, o.Duties
	for _, n := range w.Nodes {
		n.Start()
	}
	if !w.Until(3*Bound, w.Whole) {
		return c, w.failed("the fleet did not form")
	}
	c.FormedIn = w.Now
	// At first all duties are with the gateways that came first.
	if !w.Until(5*time.Minute, func() bool { return w.Whole() && len(lease.Rebalance(w.Leader().m.State())) == 0 }) {
		return c, w.failed("the duties are not spread")
	}
	c.EvenIn = w.Now
	if err := w.Run(2 * lease.TTL); err != nil {
		return c, err
	}
	for _, n := range w.Nodes {
		n.frames, n.bytes = 0, 0
	}
	if c.CalmRate, err = w.busiest(costSpan); err != nil {
		return c, err
	}
	lead := w.Leader()
	keeps := map[string]bool{}
	for _, k := range lead.m.Status(lead.clock()).Replicas {
		keeps[k.Name] = true
	}
	var keepers, members []*Node
	for _, n := range w.Nodes {
		if n != lead && keeps[n.name] {
			keepers = append(keepers, n)
		} else if n != lead {
			members = append(members, n)
		}
	}
	a := func(list []*Node) (frames, bytes float64) {
		if len(list) == 0 {
			return 0, 0
		}
		slices.SortFunc(list, func(x, y *Node) int { return x.bytes - y.bytes })
		n := list[len(list)/2]
		return float64(n.frames) / costSpan.Seconds(), float64(n.bytes) / costSpan.Seconds()
	}
	c.LeaderFrames, c.LeaderBytes = a([]*Node{lead})
	c.KeeperFrames, c.KeeperBytes = a(keepers)
	c.MemberFrames, c.MemberBytes = a(members)

	before := map[*Node]uint64{}
	for _, n := range w.Nodes {
		before[n] = n.m.Session()
	}
	lead.Kill()
	killed := w.Now
	for w.Now < killed+3*lease.TTL {
		rate, err := w.busiest(100 * time.Millisecond)
		if err != nil {
			return c, err
		}
		c.BusiestRate = max(c.BusiestRate, rate)
		next := w.Leader()
		if next == nil {
			continue
		}
		if c.LeadIn == 0 {
			c.LeadIn = w.Now - killed
		}
		if c.OwnedIn == 0 && !slices.ContainsFunc(slices.Collect(maps.Values(next.m.State().Leases)), func(d *lease.Lease) bool {
			return d.HolderSession == 0 || d.HolderSession == before[lead]
		}) {
			c.OwnedIn = w.Now - killed
		}
	}
	for _, n := range w.Nodes {
		if n != lead && n.m.Session() != before[n] {
			c.Lapsed++
		}
	}
	if c.Lapsed > 0 {
		return c, w.failed(fmt.Sprintf("%d sessions of living gateways lapsed as the leader died", c.Lapsed))
	}
	return c, w.Bad
}

// busiest plays for so long and returns the rate of frames in the busiest tenth of a second.
func (w *World) busiest(d time.Duration) (rate int, err error) {
	for end := w.Now + d; w.Now < end; {
		was := w.Frames
		if err := w.Run(100 * time.Millisecond); err != nil {
			return rate, err
		}
		rate = max(rate, 10*(w.Frames-was))
	}
	return rate, nil
}
