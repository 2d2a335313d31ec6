package sim

import (
	"maps"
	"slices"
	"time"

	"dunemoor/internal/cluster/lease"
)

// Cost is the message traffic of an idle fleet, and the recovery times after the failure of its leader.
type Cost struct {
	Gateways, Replicas, Leases int
	FormedIn                   time.Duration // virtual time until each node has a session and each lease a holder
	BalancedIn                 time.Duration // virtual time until the leases are balanced among the nodes

	// Frames and bytes that a node of an idle fleet sends per second: the leader, the median of the other
	// replicas, and the median of the gateways without a replica.
	LeaderFrames, ReplicaFrames, GatewayFrames float64
	LeaderBytes, ReplicaBytes, GatewayBytes    float64
	IdleRate                                   int // frames per second of the idle fleet in its busiest 100 ms

	// After the failure of the leader.
	NextLeaderIn    time.Duration // time until another node is the leader
	LeasesGrantedIn time.Duration // time until the leases of the failed leader have new holders
	BusiestRate     int           // frames per second in the busiest 100 ms
	ExpiredSessions int           // expired sessions of nodes that are still running
}

const (
	// measureDuration is the virtual time for which frames are counted.
	measureDuration = 10 * time.Second
	// rateInterval is the interval over which a rate is computed.
	rateInterval = 100 * time.Millisecond
	// balanceTimeout is the timeout for a fleet to balance its leases.
	balanceTimeout = 5 * time.Minute
	// noFencedOps is a FencedOpInterval for measurements that exclude the traffic of fenced operations.
	noFencedOps = time.Hour
)

// Measure simulates a fleet without faults, then kills its leader, and returns the costs of both phases.
func Measure(o Options) (c Cost, err error) {
	o.FencedOpInterval = noFencedOps
	w := New(o)
	c.Gateways, c.Replicas, c.Leases = o.Nodes, o.Replicas, o.Leases
	if err := w.form(3 * RecoveryTimeout); err != nil {
		return c, err
	}
	c.FormedIn = w.Now
	// At first the nodes that started first hold all leases.
	if !w.Until(balanceTimeout, func() bool { return w.Recovered() && len(lease.Rebalance(w.Leader().node.State())) == 0 }) {
		return c, w.errorf("the leases are not balanced")
	}
	c.BalancedIn = w.Now
	if err := w.Run(2 * lease.TTL); err != nil {
		return c, err
	}
	if err := w.measureIdle(&c); err != nil {
		return c, err
	}
	return c, w.measureLeaderFailure(&c)
}

// measureIdle measures the traffic of the idle fleet.
func (w *World) measureIdle(c *Cost) (err error) {
	for _, n := range w.Nodes {
		n.sentFrames, n.sentBytes = 0, 0
	}
	if c.IdleRate, err = w.busiestRate(measureDuration); err != nil {
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

// medianSent returns the frames and bytes per second that the node with the median number of bytes has sent.
func medianSent(list []*Node) (frames, bytes float64) {
	if len(list) == 0 {
		return 0, 0
	}
	slices.SortFunc(list, func(x, y *Node) int { return x.sentBytes - y.sentBytes })
	n := list[len(list)/2]
	return float64(n.sentFrames) / measureDuration.Seconds(), float64(n.sentBytes) / measureDuration.Seconds()
}

// measureLeaderFailure kills the leader and measures the time to recovery and the traffic meanwhile.
func (w *World) measureLeaderFailure(c *Cost) error {
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
		return w.errorf("%d sessions of running nodes expired after the leader was killed", c.ExpiredSessions)
	}
	return w.Violation
}

// allGranted reports whether every lease has a holder and none is held by the ended session.
func allGranted(s *lease.State, ended uint64) bool {
	return !slices.ContainsFunc(slices.Collect(maps.Values(s.Leases)), func(l *lease.Lease) bool {
		return l.HolderSession == 0 || l.HolderSession == ended
	})
}

// busiestRate runs the simulation for a duration and returns the frames per second in the busiest rateInterval.
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
