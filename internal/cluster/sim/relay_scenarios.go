package sim

import (
	"time"

	"dunemoor/internal/cluster/lease"
)

// MixedRelays returns a fleet with relays by the seed.
func MixedRelays(seed uint64) Options {
	i := seed % 3
	return Options{Seed: seed, Relays: []int{3, 4, 6}[i], Nodes: []int{9, 14, 22}[i], Replicas: []int{3, 3, 5}[i], Leases: 6, Locks: 2, Clients: 3}
}

// Relays plays a fleet with relays by its seed: a relay is killed, one goes mute, gateways change relays while
// there are publications, and then faults are injected.
func Relays(seed uint64) error {
	_, err := PlayRelays(MixedRelays(seed), 40*time.Second)
	return err
}

// PlayRelays plays a fleet with relays.
func PlayRelays(o Options, faults time.Duration) (*World, error) {
	w, err := formed(o)
	if err != nil {
		return w, err
	}
	for _, step := range []func() error{w.publishToAll, w.killRelays, w.muteRelay, w.publishWhileMoving} {
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
		w.Run(w.between(minFaultInterval, maxRelayFaultInterval))
	}
	if w.Violation != nil {
		return w, w.Violation
	}
	w.HealAll()
	if !w.Until(RecoveryTimeout, w.Recovered) {
		return w, w.failed("not recovered %v after the last fault", RecoveryTimeout)
	}
	if err := w.Run(2 * lease.TTL); err != nil {
		return w, err
	}
	if err := w.publishWhileMoving(); err != nil {
		return w, err
	}
	for _, n := range w.relays() {
		if s := n.router.Status(); s.Streams > s.Limit {
			return w, w.failed("%s has %d streams, %d are its share", n.name, s.Streams, s.Limit)
		}
	}
	return w, w.CheckLinearizable()
}

// publishToAll checks that no publication is lost while nothing fails, though some nodes send records that are
// rejected beside them.
func (w *World) publishToAll() error {
	w.publishByHand = true
	defer func() {
		w.publishByHand = false
		for _, n := range w.Nodes {
			n.sendsBad = false
		}
	}()
	for _, n := range w.Nodes {
		n.sendsBad = w.rng.IntN(2) == 0
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
			return nil // it was rebalanced: a new holder counts anew
		}
		if err := w.checkReceivedAll(name, holder); err != nil {
			return err
		}
	}
	return nil
}

// publicationCount is how many publications publishMany makes.
const publicationCount = 20

// publishMany has the holder of a lease publish many times. It reports a transfer meanwhile.
func (w *World) publishMany(name string) (holder *Node, transferred bool, err error) {
	for _, n := range w.Nodes {
		n.knownCount[name] = 0
	}
	for range publicationCount {
		if n := w.publishNext(name); n != nil {
			if holder != nil && holder != n {
				return nil, true, nil
			}
			holder = n
		}
		if err := w.Run(w.between(0, 100*time.Millisecond)); err != nil {
			return nil, false, err
		}
	}
	return holder, false, w.Run(time.Second)
}

// checkReceivedAll checks that all nodes that have not moved have received what publishMany published.
func (w *World) checkReceivedAll(name string, holder *Node) error {
	for _, n := range w.Nodes {
		if holder != nil && n != holder && n.knownCount[name] != publicationCount && len(n.movedAt) < 2 {
			return w.failed("%s has received %d of %d publications of %s, and nothing has failed", n.name, n.knownCount[name], publicationCount, name)
		}
	}
	return nil
}

// killRelays kills relays, one at a time, and checks that no other session expires and no lease changes hands.
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
			return w.failed("the session of %s expired though only the relay %s was killed", changed[0].name, n.name)
		}
		for _, gateway := range w.gateways() {
			if _, ok := gateway.relayClient.Current(); !ok {
				return w.failed("%s has no stream %v after %s was killed", gateway.name, 3*lease.TTL, n.name)
			}
		}
		if w.Expirations != expirations {
			return w.failed("%d leases were lost as the relay %s was killed", w.Expirations-expirations, n.name)
		}
		n.Start()
		if !w.Until(RecoveryTimeout, w.Recovered) {
			return w.failed("not recovered after a relay came back")
		}
	}
	return nil
}

// muteTime is how long a relay forwards nothing in muteRelay: several times what a session lasts.
const muteTime = 10 * time.Second

// muteRelay has a relay be alive and forward nothing, and checks that its gateways leave it before any session
// expires.
func (w *World) muteRelay() error {
	n := w.Nodes[w.rng.IntN(w.Relays)]
	before := w.sessions()
	n.mute = true
	if err := w.Run(muteTime); err != nil {
		return err
	}
	n.mute = false
	leader := w.Leader()
	for _, x := range w.Nodes {
		if x.node.Session() != before[x] || leader != nil && leader.State().Sessions[before[x]] == nil {
			return w.failed("the session of %s expired as %s forwarded nothing", x.name, n.name)
		}
	}
	if streams := n.router.Streams(); len(streams) > 0 {
		return w.failed("%s still has %d gateways, %v after it stopped forwarding", n.name, len(streams), muteTime)
	}
	if !w.Until(RecoveryTimeout, w.Recovered) {
		return w.failed("not recovered after a relay forwarded again")
	}
	return nil
}

// publishWhileMoving moves gateways from relay to relay, in several ways, while a holder publishes.
func (w *World) publishWhileMoving() error {
	const rounds = 4
	w.publishByHand = true
	defer func() { w.publishByHand = false }()
	if err := w.Run(time.Second); err != nil { // what is under way arrives
		return err
	}
	for range rounds {
		if err := w.publishWhileMovingOnce(); err != nil {
			return err
		}
	}
	return nil
}

func (w *World) publishWhileMovingOnce() error {
	const moveTime, publishTime = 100 * time.Millisecond, 200 * time.Millisecond
	name := leaseName(w.rng.IntN(max(1, w.Leases)))
	for _, gateway := range w.gateways() {
		if w.rng.IntN(2) == 0 {
			w.after(w.between(0, moveTime), gateway.breakStreams)
		}
	}
	var killed *Node
	if w.rng.IntN(3) == 0 {
		killed = w.Nodes[w.rng.IntN(w.Relays)]
		w.after(w.between(0, moveTime), killed.Kill)
	}
	published := false
	w.after(w.between(0, publishTime), func() { published = w.publishNext(name) != nil })
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
			return w.failed("not recovered after a relay came back")
		}
		return w.Run(maxPublicationDelay)
	}
	if published && w.currentToken(name) == w.published[name].token {
		return w.checkKnown(name)
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
