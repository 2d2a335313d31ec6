package sim

import (
	"slices"
	"time"

	"dunemoor/internal/cluster/lease"
)

// RelayCost is what a gateway's stream carries when nothing happens, and what the end of a relay takes.
type RelayCost struct {
	Gateways int
	FormedIn time.Duration

	// Frames and bytes a second of the median gateway, bodies only.
	SentFrames, SentBytes, ReceivedFrames, ReceivedBytes float64

	// How long after a relay's end each of its gateways was accepted by another, sorted: with the process,
	// whose connections end; with the machine, where nobody is notified; with the machine of the leader.
	Killed, Crashed, LeaderCrashed []time.Duration
	ExpiredSessions                int // of other nodes, by all of that
}

// MeasureRelays plays a fleet with relays that nothing disturbs, and then ends relays.
func MeasureRelays(o Options) (c RelayCost, err error) {
	o.ActInterval = noActs
	w := New(o)
	w.publishByHand = true
	c.Gateways = o.Nodes - o.Relays
	if err := w.form(3 * RecoveryTimeout); err != nil {
		return c, err
	}
	c.FormedIn = w.Now
	if err := w.Run(2 * measureTime); err != nil {
		return c, err
	}
	if err := w.measureStreams(&c); err != nil {
		return c, err
	}
	n := w.followingRelay()
	if c.Killed, err = w.measureRelayEnd(&c, n, n.Kill); err != nil {
		return c, err
	}
	n = w.followingRelay()
	if c.Crashed, err = w.measureRelayEnd(&c, n, n.Crash); err != nil {
		return c, err
	}
	n = w.Leader()
	c.LeaderCrashed, err = w.measureRelayEnd(&c, n, n.Crash)
	return c, err
}

// measureStreams counts what the streams of gateways carry when nothing happens.
func (w *World) measureStreams(c *RelayCost) error {
	for _, n := range w.Nodes {
		n.sentFrames, n.sentBytes, n.receivedFrames, n.receivedBytes = 0, 0, 0, 0
	}
	if err := w.Run(measureTime); err != nil {
		return err
	}
	gateways := slices.Clone(w.gateways())
	slices.SortFunc(gateways, func(x, y *Node) int { return x.sentBytes + x.receivedBytes - y.sentBytes - y.receivedBytes })
	median := gateways[len(gateways)/2]
	seconds := measureTime.Seconds()
	c.SentFrames, c.SentBytes = float64(median.sentFrames)/seconds, float64(median.sentBytes)/seconds
	c.ReceivedFrames, c.ReceivedBytes = float64(median.receivedFrames)/seconds, float64(median.receivedBytes)/seconds
	return nil
}

// followingRelay returns a relay that has gateways and does not lead.
func (w *World) followingRelay() *Node {
	leader := w.Leader()
	return w.Nodes[slices.IndexFunc(w.Nodes, func(n *Node) bool { return n != leader && len(n.router.Streams()) > 0 })]
}

// measureRelayEnd ends a relay and returns how long its gateways took to reach another.
func (w *World) measureRelayEnd(c *RelayCost, n *Node, end func()) ([]time.Duration, error) {
	ended, before := w.Now, w.sessions()
	var affected []*Node // others move as well, to a relay that they prefer
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
		return list, w.failed("not recovered after a relay came back")
	}
	return list, nil
}

// movesSince returns how long after a time each of some gateways was accepted by a relay, sorted.
func movesSince(gateways []*Node, since time.Duration) (list []time.Duration) {
	for _, n := range gateways {
		if i := slices.IndexFunc(n.movedAt, func(at time.Duration) bool { return at >= since }); i >= 0 {
			list = append(list, n.movedAt[i]-since)
		}
	}
	slices.Sort(list)
	return list
}
