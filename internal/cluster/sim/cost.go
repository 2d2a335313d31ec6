package sim

import (
	"maps"
	"slices"
	"time"

	"dunemoor/internal/cluster/lease"
)

// Cost is what a fleet sends when nothing happens, and what the death of its leader takes.
type Cost struct {
	Gateways, Replicas, Leases int
	FormedIn                   time.Duration // until each node has a session and each lease a holder
	BalancedIn                 time.Duration // until no node has far more leases than another

	// Frames and bytes a second when nothing happens: of the leader, and of the median other replica and
	// gateway without a replica.
	LeaderFrames, ReplicaFrames, GatewayFrames float64
	LeaderBytes, ReplicaBytes, GatewayBytes    float64
	CalmRate                                   int // frames a second in the busiest 100 ms

	// After the leader's death.
	NextLeaderIn    time.Duration // until another leads
	LeasesGrantedIn time.Duration // until the leases of the dead leader have holders
	BusiestRate     int           // frames a second in the busiest 100 ms
	ExpiredSessions int           // of nodes that live
}

const (
	// measureTime is how long is counted.
	measureTime = 10 * time.Second
	// rateInterval is what a rate is counted over.
	rateInterval = 100 * time.Millisecond
	// balanceTimeout bounds how long a fleet takes to balance its leases.
	balanceTimeout = 5 * time.Minute
	// noActs is an ActInterval for fleets whose work is not to be counted.
	noActs = time.Hour
)

// Measure plays a fleet that nothing disturbs, and then kills its leader.
func Measure(o Options) (c Cost, err error) {
	o.ActInterval = noActs
	w := New(o)
	c.Gateways, c.Replicas, c.Leases = o.Nodes, o.Replicas, o.Leases
	if err := w.form(3 * RecoveryTimeout); err != nil {
		return c, err
	}
	c.FormedIn = w.Now
	// At first all leases are with the nodes that came first.
	if !w.Until(balanceTimeout, func() bool { return w.Recovered() && len(lease.Rebalance(w.Leader().node.State())) == 0 }) {
		return c, w.failed("the leases are not balanced")
	}
	c.BalancedIn = w.Now
	if err := w.Run(2 * lease.TTL); err != nil {
		return c, err
	}
	if err := w.measureCalm(&c); err != nil {
		return c, err
	}
	return c, w.measureLeaderDeath(&c)
}

// measureCalm counts what is sent when nothing happens.
func (w *World) measureCalm(c *Cost) (err error) {
	for _, n := range w.Nodes {
		n.sentFrames, n.sentBytes = 0, 0
	}
	if c.CalmRate, err = w.busiestRate(measureTime); err != nil {
		return err
	}
	leader := w.Leader()
	isReplica := map[string]bool{}
	for _, r := range leader.node.Status(leader.clock()).Replicas {
		isReplica[r.Name] = true
	}
	var replicas, gateways []*Node
	for _, n := range w.Nodes {
		if n != leader && isReplica[n.name] {
			replicas = append(replicas, n)
		} else if n != leader {
			gateways = append(gateways, n)
		}
	}
	c.LeaderFrames, c.LeaderBytes = medianSent([]*Node{leader})
	c.ReplicaFrames, c.ReplicaBytes = medianSent(replicas)
	c.GatewayFrames, c.GatewayBytes = medianSent(gateways)
	return nil
}

// medianSent returns the frames and bytes a second of the node with the median of bytes.
func medianSent(list []*Node) (frames, bytes float64) {
	if len(list) == 0 {
		return 0, 0
	}
	slices.SortFunc(list, func(x, y *Node) int { return x.sentBytes - y.sentBytes })
	n := list[len(list)/2]
	return float64(n.sentFrames) / measureTime.Seconds(), float64(n.sentBytes) / measureTime.Seconds()
}

// measureLeaderDeath kills the leader and measures what follows.
func (w *World) measureLeaderDeath(c *Cost) error {
	leader, before := w.Leader(), w.sessions()
	leader.Kill()
	killed := w.Now
	for w.Now < killed+3*lease.TTL {
		rate, err := w.busiestRate(rateInterval)
		if err != nil {
			return err
		}
		c.BusiestRate = max(c.BusiestRate, rate)
		next := w.Leader()
		if next == nil {
			continue
		}
		if c.NextLeaderIn == 0 {
			c.NextLeaderIn = w.Now - killed
		}
		if c.LeasesGrantedIn == 0 && allGranted(next.State(), before[leader]) {
			c.LeasesGrantedIn = w.Now - killed
		}
	}
	c.ExpiredSessions = len(w.changedSessions(before, leader))
	if c.ExpiredSessions > 0 {
		return w.failed("%d sessions of living nodes expired as the leader died", c.ExpiredSessions)
	}
	return w.Violation
}

// allGranted reports whether all leases have a holder other than one session.
func allGranted(s *lease.State, ended uint64) bool {
	return !slices.ContainsFunc(slices.Collect(maps.Values(s.Leases)), func(l *lease.Lease) bool {
		return l.HolderSession == 0 || l.HolderSession == ended
	})
}

// busiestRate plays for a duration and returns the frames a second in the busiest rateInterval.
func (w *World) busiestRate(d time.Duration) (rate int, err error) {
	perSecond := int(time.Second / rateInterval)
	for end := w.Now + d; w.Now < end; {
		before := w.Frames
		if err := w.Run(rateInterval); err != nil {
			return rate, err
		}
		rate = max(rate, perSecond*(w.Frames-before))
	}
	return rate, nil
}
