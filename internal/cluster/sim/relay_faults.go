package sim

import (
	"time"
)

const (
	// maxRelayFaultInterval bounds the time from one fault to the next in a fleet with relays.
	maxRelayFaultInterval = 2 * time.Second
	// A pause in a fleet with relays is short or long.
	maxShortPause, maxLongPause = 3 * time.Second, time.Minute
)

// relayFaultKinds are the faults of relays and streams, each with a relay and a gateway. Their order decides
// what a seed draws.
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
	(*World).faultMuteRelay,
	func(w *World, _, gateway *Node) { w.faultKill(gateway, nil) },
	(*World).faultHalfBrokenStream,
}

// injectRelayFault injects one fault of relays and streams.
func (w *World) injectRelayFault() {
	if w.Now < w.noFaultsUntil {
		return
	}
	relay, gateway := w.Nodes[w.rng.IntN(w.Relays)], w.Nodes[w.Relays+w.rng.IntN(len(w.Nodes)-w.Relays)]
	kind := w.rng.IntN(len(relayFaultKinds))
	w.trace("relay fault", kind, "at", relay.name, gateway.name)
	relayFaultKinds[kind](w, relay, gateway)
}

// pauseLong pauses a process for up to a minute.
func (w *World) pauseLong(n *Node) {
	n.Pause()
	longest := maxShortPause
	if w.rng.IntN(2) == 0 {
		longest = maxLongPause
	}
	n.resumeAfter(w.between(0, longest))
}

// cutForAWhile cuts one direction for a while.
func (w *World) cutForAWhile(from, to *Node) {
	w.Cut(from, to)
	w.later(func() { w.Heal(from, to) })
}

// faultCutStream cuts one direction between a gateway and its relay.
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

// faultCutRelayOutgoing cuts all that a relay sends other relays; its streams stay.
func (w *World) faultCutRelayOutgoing(relay, _ *Node) {
	for _, other := range w.relays() {
		if other != relay {
			w.cutForAWhile(relay, other)
		}
	}
}

func (w *World) faultSlowStreams(relay, _ *Node) {
	relay.streamDelay = w.between(0, 2*time.Second)
	w.later(func() { relay.streamDelay = 0 })
}

// faultKillHalf kills half of the relays.
func (w *World) faultKillHalf(_, _ *Node) {
	for _, i := range w.rng.Perm(w.Relays)[:w.Relays/2] {
		w.faultKill(w.Nodes[i], nil)
	}
}

// faultRestartRelays kills all relays, and starts them again.
func (w *World) faultRestartRelays(_, _ *Node) {
	for _, n := range w.relays() {
		w.faultKill(n, nil)
	}
}

// faultMuteRelay has a relay be alive and forward nothing.
func (w *World) faultMuteRelay(relay, _ *Node) {
	relay.mute = true
	w.after(w.between(time.Second, 15*time.Second), func() { relay.mute = false })
}

// faultHalfBrokenStream has a gateway believe that its stream has ended: it goes to another relay, while the
// old one has the old stream.
func (w *World) faultHalfBrokenStream(_, gateway *Node) {
	if !gateway.up || gateway.paused {
		return
	}
	for _, s := range gateway.sortedStreams() {
		s.send(gatewayEnd, func() { s.notifyEnd(gatewayEnd) })
	}
}
