package sim

import (
	"time"

	"dunemoor/internal/cluster/lease"
)

// MixedRelays returns the options of a fleet with relays whose size depends on the seed.
func MixedRelays(seed uint64) Options {
	i := seed % 3
	return Options{Seed: seed, Relays: []int{3, 4, 6}[i], Nodes: []int{9, 14, 22}[i], Replicas: []int{3, 3, 5}[i], Leases: 6, Locks: 2, Clients: 3}
}

// Relays simulates the fleet with relays of a seed: relays are killed, one stops forwarding, gateways move between
// relays while publications are sent, and then random faults are injected.
func Relays(seed uint64) error {
	_, err := RunRelays(MixedRelays(seed), 40*time.Second)
	return err
}

// RunRelays simulates a fleet with relays, with random faults for a duration; see Relays.
func RunRelays(o Options, faults time.Duration) (*World, error) {
	w, err := newFormedWorld(o)
	if err != nil {
		return w, err
	}
	for _, step := range []func() error{w.publishToAll, w.killRelays, w.blackholeRelay, w.publishWhileMoving} {
		if err := step(); err != nil {
			return w, err
		}
	}
	for end := w.Now + faults; w.Now < end && w.Violation == nil; {
		if w.rng.IntN(3) == 0 {
			w.injectFault()
		} else {
			w.injectRelayFault()
		}
		w.Run(w.drawDuration(minFaultInterval, maxRelayFaultInterval))
	}
	if w.Violation != nil {
		return w, w.Violation
	}
	w.HealAll()
	if !w.Until(RecoveryTimeout, w.Recovered) {
		return w, w.errorf("not recovered %v after the last fault", RecoveryTimeout)
	}
	if err := w.Run(2 * lease.TTL); err != nil {
		return w, err
	}
	if err := w.publishWhileMoving(); err != nil {
		return w, err
	}
	for _, n := range w.relays() {
		if s := n.router.Status(); s.Streams > s.Limit {
			return w, w.errorf("%s has %d streams, its limit is %d", n.name, s.Streams, s.Limit)
		}
	}
	return w, w.CheckLinearizable()
}

// publishToAll checks that no publication is lost without faults, even if some nodes also send records that are
// rejected.
func (w *World) publishToAll() error {
	w.publishManually = true
	defer func() {
		w.publishManually = false
		for _, n := range w.Nodes {
			n.sendsInvalid = false
		}
	}()
	for _, n := range w.Nodes {
		n.sendsInvalid = w.rng.IntN(2) == 0
	}
	if err := w.Run(time.Second); err != nil {
		return err
	}
	for i := range w.Leases {
		name := leaseName(i)
		holder, transferred, err := w.publishMany(name)
		if err != nil {
			return err
		}
		if transferred {
			return nil // the lease was rebalanced, and the sequence of a new holder starts again
		}
		if err := w.checkReceivedAll(name, holder); err != nil {
			return err
		}
	}
	return nil
}

// publicationCount is the number of publications that publishMany sends.
const publicationCount = 20

// publishMany publishes publicationCount times as the holder of a lease. It stops and reports transferred if the holder
// changes meanwhile.
func (w *World) publishMany(name string) (holder *Node, transferred bool, err error) {
	for _, n := range w.Nodes {
		n.receivedCounts[name] = 0
	}
	for range publicationCount {
		if n := w.publishNext(name); n != nil {
			if holder != nil && holder != n {
				return nil, true, nil
			}
			holder = n
		}
		if err := w.Run(w.drawDuration(0, 100*time.Millisecond)); err != nil {
			return nil, false, err
		}
	}
	return holder, false, w.Run(time.Second)
}

// checkReceivedAll checks that all nodes that have not moved between relays have received each publication of
// publishMany.
func (w *World) checkReceivedAll(name string, holder *Node) error {
	for _, n := range w.Nodes {
		if holder != nil && n != holder && n.receivedCounts[name] != publicationCount && len(n.movedAt) < 2 {
			return w.errorf("%s has received %d of %d publications of %s without any fault", n.name, n.receivedCounts[name], publicationCount, name)
		}
	}
	return nil
}

// killRelays kills relays, one at a time, and checks that no other session expires and no lease is lost.
func (w *World) killRelays() error {
	const count = 2
	for range count {
		n := w.Nodes[w.rng.IntN(w.Relays)]
		before, expirations := w.sessions(), w.Expirations
		if w.rng.IntN(2) == 0 {
			n.Kill()
		} else {
			n.Crash()
		}
		if err := w.Run(3 * lease.TTL); err != nil {
			return err
		}
		if changed := w.changedSessions(before, n); len(changed) > 0 {
			return w.errorf("the session of %s expired though only the relay %s was killed", changed[0].name, n.name)
		}
		for _, gateway := range w.gateways() {
			if _, ok := gateway.relayClient.Current(); !ok {
				return w.errorf("%s has no stream %v after %s was killed", gateway.name, 3*lease.TTL, n.name)
			}
		}
		if w.Expirations != expirations {
			return w.errorf("%d leases were lost after the relay %s was killed", w.Expirations-expirations, n.name)
		}
		n.Start()
		if !w.Until(RecoveryTimeout, w.Recovered) {
			return w.errorf("not recovered after a relay came back")
		}
	}
	return nil
}

// blackholeDuration is how long a relay forwards nothing in blackholeRelay: several times the TTL of a session.
const blackholeDuration = 10 * time.Second

// blackholeRelay makes a relay discard all records while it stays alive, and checks that its gateways move to another
// relay before any session expires.
func (w *World) blackholeRelay() error {
	n := w.Nodes[w.rng.IntN(w.Relays)]
	before := w.sessions()
	n.blackhole = true
	if err := w.Run(blackholeDuration); err != nil {
		return err
	}
	n.blackhole = false
	leader := w.Leader()
	for _, x := range w.Nodes {
		if x.node.Session() != before[x] || leader != nil && leader.State().Sessions[before[x]] == nil {
			return w.errorf("the session of %s expired while %s forwarded nothing", x.name, n.name)
		}
	}
	if streams := n.router.Streams(); len(streams) > 0 {
		return w.errorf("%s still has %d gateways, %v after it stopped forwarding", n.name, len(streams), blackholeDuration)
	}
	if !w.Until(RecoveryTimeout, w.Recovered) {
		return w.errorf("not recovered after a relay resumed forwarding")
	}
	return nil
}

// publishWhileMoving sends publications while gateways move between relays, by broken streams or a killed relay, and
// checks that all gateways receive them.
func (w *World) publishWhileMoving() error {
	const rounds = 4
	w.publishManually = true
	defer func() { w.publishManually = false }()
	if err := w.Run(time.Second); err != nil { // frames in flight arrive
		return err
	}
	for range rounds {
		if err := w.publishWhileMovingOnce(); err != nil {
			return err
		}
	}
	return nil
}

// publishWhileMovingOnce is one round of publishWhileMoving. It checks the receipt of the publication unless a relay was
// killed or the lease got another holder.
func (w *World) publishWhileMovingOnce() error {
	const moveTime, publishTime = 100 * time.Millisecond, 200 * time.Millisecond
	name := leaseName(w.rng.IntN(max(1, w.Leases)))
	for _, gateway := range w.gateways() {
		if w.rng.IntN(2) == 0 {
			w.afterFunc(w.drawDuration(0, moveTime), gateway.breakStreams)
		}
	}
	var killed *Node
	if w.rng.IntN(3) == 0 {
		killed = w.Nodes[w.rng.IntN(w.Relays)]
		w.afterFunc(w.drawDuration(0, moveTime), killed.Kill)
	}
	published := false
	w.afterFunc(w.drawDuration(0, publishTime), func() { published = w.publishNext(name) != nil })
	if err := w.Run(publishTime); err != nil {
		return err
	}
	w.Until(RecoveryTimeout, w.allHaveStreams)
	if err := w.Run(maxPublicationDelay); err != nil {
		return err
	}
	if killed != nil {
		killed.Start()
		if !w.Until(RecoveryTimeout, w.Recovered) {
			return w.errorf("not recovered after a relay came back")
		}
		return w.Run(maxPublicationDelay)
	}
	if published && w.currentToken(name) == w.published[name].token {
		return w.checkLatestPublication(name)
	}
	return nil
}

// allHaveStreams reports whether each gateway has a stream.
func (w *World) allHaveStreams() bool {
	for _, gateway := range w.gateways() {
		if _, ok := gateway.relayClient.Current(); !ok {
			return false
		}
	}
	return true
}
