package sim

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"dunemoor/internal/cluster/relay"
)

// streamEnd is one end of a stream.
type streamEnd int

const (
	gatewayEnd streamEnd = iota
	relayEnd
)

// other returns the opposite end.
func (e streamEnd) other() streamEnd { return 1 - e }

// stream is a connection between a gateway and a relay. What is sent arrives in order: late where the way is
// cut, and not at all where the receiving process has ended.
type stream struct {
	world       *World
	name        string // of the gateway
	epoch       uint64
	node        [2]*Node
	incarnation [2]int
	closed      [2]bool // by that end
	notified    [2]bool // that end knows that the stream has ended
	queue       [2][]delivery
	delivering  [2]bool
}

// delivery is what is under way to an end of a stream.
type delivery struct {
	at time.Duration
	do func()
}

// streamKey identifies a stream at a node.
type streamKey struct {
	name  string
	epoch uint64
}

func (k streamKey) String() string { return k.name + fmt.Sprint(k.epoch) }

func (s *stream) key() streamKey { return streamKey{s.name, s.epoch} }

// stallInterval is how often a way that is cut is tried again.
const stallInterval = 50 * time.Millisecond

// send has something arrive at an end.
func (s *stream) send(to streamEnd, do func()) {
	w := s.world
	at := w.Now + w.between(minNetworkDelay, maxNetworkDelay) + s.node[relayEnd].streamDelay
	if q := s.queue[to]; len(q) > 0 {
		at = max(at, q[len(q)-1].at)
	}
	s.queue[to] = append(s.queue[to], delivery{at, do})
	if !s.delivering[to] {
		s.delivering[to] = true
		w.after(at-w.Now, func() { s.deliver(to) })
	}
}

// deliver delivers the first of what is under way to an end.
func (s *stream) deliver(to streamEnd) {
	w := s.world
	if w.isCut(s.node[to.other()], s.node[to]) {
		w.after(stallInterval, func() { s.deliver(to) })
		return
	}
	next := s.queue[to][0]
	s.queue[to] = s.queue[to][1:]
	n := s.node[to]
	n.deliver(func() {
		if n.up && n.incarnation == s.incarnation[to] && !s.closed[to] && !s.notified[to] {
			next.do()
			n.processOutput()
		}
	})
	if len(s.queue[to]) == 0 {
		s.delivering[to] = false
		return
	}
	w.after(max(0, s.queue[to][0].at-w.Now), func() { s.deliver(to) })
}

// close closes the stream from one end; the other is notified after what was sent before.
func (s *stream) close(from streamEnd) {
	if s.closed[from] {
		return
	}
	s.closed[from] = true
	delete(s.node[from].streams, s.key())
	s.send(from.other(), func() { s.notifyEnd(from.other()) })
}

// notifyEnd tells an end that the stream has ended.
func (s *stream) notifyEnd(at streamEnd) {
	if s.notified[at] || s.closed[at] {
		return
	}
	s.notified[at] = true
	n := s.node[at]
	delete(n.streams, s.key())
	if at == relayEnd {
		n.router.StreamEnded(n.clock(), s.name, s.epoch)
	} else {
		n.relayClient.Ended(n.clock(), s.epoch)
	}
}

// dial opens a stream to a relay.
func (n *Node) dial(d relay.Dial) {
	w := n.world
	to := w.byName[d.Relay]
	s := &stream{world: w, node: [2]*Node{n, to}, incarnation: [2]int{n.incarnation, to.incarnation}, epoch: d.Join.Epoch, name: n.name}
	n.streams[s.key()] = s
	if !to.up && !w.isCut(n, to) && !w.isCut(to, n) {
		s.send(gatewayEnd, func() { s.notifyEnd(gatewayEnd) }) // the connection is refused
		return
	}
	answered := false
	s.send(relayEnd, func() {
		reply := to.router.Join(to.clock(), d.Join)
		if reply.Accepted {
			to.streams[s.key()] = s
		}
		s.send(gatewayEnd, func() {
			answered = true
			n.relayClient.Joined(n.clock(), s.epoch, reply)
		})
		if !reply.Accepted {
			s.closed[relayEnd] = true
		}
	})
	w.after(relay.DialTimeout, func() {
		n.deliver(func() {
			if n.incarnation == s.incarnation[gatewayEnd] && !answered && !s.closed[gatewayEnd] && !s.notified[gatewayEnd] {
				s.close(gatewayEnd)
				n.relayClient.Ended(n.clock(), s.epoch)
				n.processOutput()
			}
		})
	})
}

// sortedStreams returns the streams of a node in a fixed order, that of their keys as text.
func (n *Node) sortedStreams() []*stream {
	return slices.SortedFunc(maps.Values(n.streams), func(a, b *stream) int {
		return strings.Compare(a.key().String(), b.key().String())
	})
}

// closeStreams ends the streams of a process that has ended. If its machine has too, nobody is notified.
func (n *Node) closeStreams(machine bool) {
	for _, s := range n.sortedStreams() {
		from := gatewayEnd
		if s.node[relayEnd] == n {
			from = relayEnd
		}
		if machine {
			s.closed[from] = true
			delete(n.streams, s.key())
		} else {
			s.close(from)
		}
	}
}

// breakStreams breaks the streams of a gateway.
func (n *Node) breakStreams() {
	for _, s := range n.sortedStreams() {
		for _, at := range []streamEnd{gatewayEnd, relayEnd} {
			s.send(at, func() { s.notifyEnd(at) })
		}
	}
}

// streamsAgree reports whether each gateway has one stream, and its relay the same.
func (w *World) streamsAgree() bool {
	if w.Relays == 0 {
		return true
	}
	count := map[string]int{}
	for _, n := range w.relays() {
		if !n.up {
			return false
		}
		for name, epoch := range n.router.Streams() {
			count[name]++
			gateway := w.byName[name]
			if !gateway.up {
				return false
			}
			if current, ok := gateway.relayClient.Current(); !ok || current != epoch {
				return false
			}
		}
	}
	for _, gateway := range w.gateways() {
		if count[gateway.name] != 1 {
			return false
		}
	}
	return true
}
