package sim

import (
	"slices"
	"time"

	"dunemoor/internal/cluster/lease"
)

// RelayCost is the traffic on a gateway's stream in an idle fleet, and the times in which gateways move to another
// relay after the end of theirs.
type RelayCost struct {
	Gateways int
	FormedIn time.Duration

	// Frames and bytes per second of the median gateway. Bytes are those of frame bodies.
	SentFrames, SentBytes, ReceivedFrames, ReceivedBytes float64

	// Times from the end of a relay until each of its gateways was accepted by another relay, sorted: after the
	// process was killed, which closes its connections; after the machine crashed, of which no peer is notified; and
	// after the crash of the machine of a relay that was the leader.
	Killed, Crashed, LeaderCrashed []time.Duration
	ExpiredSessions                int // expired sessions of other nodes in all three cases
}

// MeasureRelays simulates a fleet with relays without faults, then kills and crashes relays, and returns the costs.
func MeasureRelays(o Options) (c RelayCost, err error) {
	o.FencedOpInterval = noFencedOps
	w := New(o)
	w.publishManually = true
	c.Gateways = o.Nodes - o.Relays
	if err := w.form(3 * RecoveryTimeout); err != nil {
		return c, err
	}
	c.FormedIn = w.Now
	if err := w.Run(2 * measureDuration); err != nil {
		return c, err
	}
	if err := w.measureStreams(&c); err != nil {
		return c, err
	}
	n := w.nonLeaderRelay()
	if c.Killed, err = w.measureRelayEnd(&c, n, n.Kill); err != nil {
		return c, err
	}
	n = w.nonLeaderRelay()
	if c.Crashed, err = w.measureRelayEnd(&c, n, n.Crash); err != nil {
		return c, err
	}
	n = w.Leader()
	c.LeaderCrashed, err = w.measureRelayEnd(&c, n, n.Crash)
	return c, err
}

// measureStreams measures the traffic on the streams of gateways in an idle fleet.
func (w *World) measureStreams(c *RelayCost) error {
	for _, n := range w.Nodes {
		n.sentFrames, n.sentBytes, n.receivedFrames, n.receivedBytes = 0, 0, 0, 0
	}
	if err := w.Run(measureDuration); err != nil {
		return err
	}
	gateways := slices.Clone(w.gateways())
	slices.SortFunc(gateways, func(x, y *Node) int { return x.sentBytes + x.receivedBytes - y.sentBytes - y.receivedBytes })
	median := gateways[len(gateways)/2]
	seconds := measureDuration.Seconds()
	c.SentFrames, c.SentBytes = float64(median.sentFrames)/seconds, float64(median.sentBytes)/seconds
	c.ReceivedFrames, c.ReceivedBytes = float64(median.receivedFrames)/seconds, float64(median.receivedBytes)/seconds
	return nil
}

// nonLeaderRelay returns a relay that has streams of gateways and is not the leader.
func (w *World) nonLeaderRelay() *Node {
	leader := w.Leader()
	return w.Nodes[slices.IndexFunc(w.Nodes, func(n *Node) bool { return n != leader && len(n.router.Streams()) > 0 })]
}

// measureRelayEnd ends a relay by end, and returns the times that its gateways took to be accepted by another one.
func (w *World) measureRelayEnd(c *RelayCost, n *Node, end func()) ([]time.Duration, error) {
	ended, before := w.Now, w.sessions()
	var affected []*Node // other gateways may move as well, to a relay that they prefer
	for _, gateway := range w.gateways() {
		if n.router.Streams()[gateway.name] != 0 {
			affected = append(affected, gateway)
		}
	}
	end()
	if err := w.Run(2 * lease.TTL); err != nil {
		return nil, err
	}
	c.ExpiredSessions += len(w.changedSessions(before, n))
	list := movesSince(affected, ended)
	n.Start()
	if !w.Until(RecoveryTimeout, w.Recovered) {
		return list, w.errorf("not recovered after a relay was started again")
	}
	return list, nil
}

// movesSince returns, for each gateway that was accepted by a relay since a time, how long after it that was; sorted.
func movesSince(gateways []*Node, since time.Duration) (list []time.Duration) {
	for _, n := range gateways {
		if i := slices.IndexFunc(n.movedAt, func(at time.Duration) bool { return at >= since }); i >= 0 {
			list = append(list, n.movedAt[i]-since)
		}
	}
	slices.Sort(list)
	return list
}
