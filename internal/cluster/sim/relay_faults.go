package sim

import (
	"time"
)

const (
	// maxRelayFaultInterval bounds the time between two injections of faults in a fleet with relays.
	maxRelayFaultInterval = 2 * time.Second
	// maxShortPause and maxLongPause bound the pauses of a process in a fleet with relays; each applies to half of them.
	maxShortPause, maxLongPause = 3 * time.Second, time.Minute
)

// relayFaultKinds are the functions that inject a fault of relays and streams, called with a random relay and a random
// gateway. Their order determines which faults a seed draws.
var relayFaultKinds = []func(w *World, relay, gateway *Node){
	func(w *World, relay, _ *Node) { w.faultKill(relay, nil) },
	func(w *World, relay, _ *Node) { w.faultCrash(relay, nil) },
	func(w *World, relay, _ *Node) { w.pauseLong(relay) },
	func(w *World, _, gateway *Node) { w.pauseLong(gateway) },
	(*World).faultCutStream,
	(*World).faultCutRelay,
	(*World).faultCutRelayOutgoing,
	(*World).faultSlowStreams,
	func(_ *World, _, gateway *Node) { gateway.breakStreams() },
	(*World).faultKillHalf,
	(*World).faultRestartRelays,
	(*World).faultBlackholeRelay,
	func(w *World, _, gateway *Node) { w.faultKill(gateway, nil) },
	(*World).faultHalfOpenStream,
}

// injectRelayFault injects a random fault of a relay or stream.
func (w *World) injectRelayFault() {
	if w.Now < w.noFaultsUntil {
		return
	}
	relay, gateway := w.Nodes[w.rng.IntN(w.Relays)], w.Nodes[w.Relays+w.rng.IntN(len(w.Nodes)-w.Relays)]
	kind := w.rng.IntN(len(relayFaultKinds))
	w.trace("relay fault", kind, "at", relay.name, gateway.name)
	relayFaultKinds[kind](w, relay, gateway)
}

// pauseLong pauses a process for up to maxShortPause or maxLongPause.
func (w *World) pauseLong(n *Node) {
	n.Pause()
	longest := maxShortPause
	if w.rng.IntN(2) == 0 {
		longest = maxLongPause
	}
	n.resumeAfter(w.drawDuration(0, longest))
}

// cutForAWhile drops all frames from one node to another for a random fault duration.
func (w *World) cutForAWhile(from, to *Node) {
	w.Cut(from, to)
	w.endFaultLater(func() { w.Heal(from, to) })
}

// faultCutStream cuts one direction, drawn at random, between a gateway and its relay.
func (w *World) faultCutStream(_, gateway *Node) {
	for _, n := range w.relays() {
		if !n.up || n.router.Streams()[gateway.name] == 0 {
			continue
		}
		if w.rng.IntN(2) == 0 {
			w.cutForAWhile(gateway, n)
		} else {
			w.cutForAWhile(n, gateway)
		}
	}
}

// faultCutRelay cuts one direction between two relays.
func (w *World) faultCutRelay(relay, _ *Node) {
	if other := w.Nodes[w.rng.IntN(w.Relays)]; other != relay {
		w.cutForAWhile(relay, other)
	}
}

// faultCutRelayOutgoing drops all frames from a relay to other relays; its streams to gateways stay.
func (w *World) faultCutRelayOutgoing(relay, _ *Node) {
	for _, other := range w.relays() {
		if other != relay {
			w.cutForAWhile(relay, other)
		}
	}
}

func (w *World) faultSlowStreams(relay, _ *Node) {
	relay.streamDelay = w.drawDuration(0, 2*time.Second)
	w.endFaultLater(func() { relay.streamDelay = 0 })
}

// faultKillHalf kills half of the relays.
func (w *World) faultKillHalf(_, _ *Node) {
	for _, i := range w.rng.Perm(w.Relays)[:w.Relays/2] {
		w.faultKill(w.Nodes[i], nil)
	}
}

// faultRestartRelays kills all relays at once, and starts each again after a random duration.
func (w *World) faultRestartRelays(_, _ *Node) {
	for _, n := range w.relays() {
		w.faultKill(n, nil)
	}
}

// faultBlackholeRelay makes a relay discard all records instead of forwarding them, while it stays alive.
func (w *World) faultBlackholeRelay(relay, _ *Node) {
	relay.blackhole = true
	w.afterFunc(w.drawDuration(time.Second, 15*time.Second), func() { relay.blackhole = false })
}

// faultHalfOpenStream notifies a gateway, but not its relay, that its stream has ended: the gateway moves to another
// relay while the old relay still has the old stream.
func (w *World) faultHalfOpenStream(_, gateway *Node) {
	if !gateway.up || gateway.paused {
		return
	}
	for _, s := range gateway.sortedStreams() {
		s.send(gatewayEnd, func() { s.notifyEnd(gatewayEnd) })
	}
}
