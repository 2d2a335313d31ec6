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

// opposite returns the other end.
func (e streamEnd) opposite() streamEnd { return 1 - e }

// stream is a connection between a gateway and a relay. Frames arrive in order: they are held back while the direction is
// cut, and dropped if the receiving process has ended.
type stream struct {
	world       *World
	name        string // name of the gateway
	epoch       uint64
	node        [2]*Node // arrays are indexed by streamEnd
	incarnation [2]int
	closed      [2]bool // whether that end has closed the stream
	notified    [2]bool // whether that end has been notified of the end of the stream
	queue       [2][]delivery
	delivering  [2]bool
}

// delivery is an event in flight to an end of a stream.
type delivery struct {
	at time.Duration
	do func()
}

// streamKey identifies a stream at a node, by the gateway's name and the epoch.
type streamKey struct {
	name  string
	epoch uint64
}

func (k streamKey) String() string { return k.name + fmt.Sprint(k.epoch) }

func (s *stream) key() streamKey { return streamKey{s.name, s.epoch} }

// cutRetryInterval is the interval of delivery attempts while a direction is cut.
const cutRetryInterval = 50 * time.Millisecond

// send schedules the delivery of an event to an end of the stream, after all events sent to that end before.
func (s *stream) send(to streamEnd, do func()) {
	w := s.world
	at := w.Now + w.drawDuration(minNetworkDelay, maxNetworkDelay) + s.node[relayEnd].streamDelay
	if q := s.queue[to]; len(q) > 0 {
		at = max(at, q[len(q)-1].at)
	}
	s.queue[to] = append(s.queue[to], delivery{at, do})
	if !s.delivering[to] {
		s.delivering[to] = true
		w.afterFunc(at-w.Now, func() { s.deliver(to) })
	}
}

// deliver delivers the first event in the queue to an end, and schedules the delivery of the next one.
func (s *stream) deliver(to streamEnd) {
	w := s.world
	if w.isCut(s.node[to.opposite()], s.node[to]) {
		w.afterFunc(cutRetryInterval, func() { s.deliver(to) })
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
	w.afterFunc(max(0, s.queue[to][0].at-w.Now), func() { s.deliver(to) })
}

// close closes the stream from one end. The other end is notified after all earlier frames.
func (s *stream) close(from streamEnd) {
	if s.closed[from] {
		return
	}
	s.closed[from] = true
	delete(s.node[from].streams, s.key())
	s.send(from.opposite(), func() { s.notifyEnd(from.opposite()) })
}

// notifyEnd notifies the Router or Client at an end that the stream has ended.
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
		n.relayClient.StreamEnded(n.clock(), s.epoch)
	}
}

// dial opens a stream to a relay. It fails after relay.DialTimeout if the relay has not replied by then.
func (n *Node) dial(d relay.Dial) {
	w := n.world
	to := w.byName[d.Relay]
	s := &stream{world: w, node: [2]*Node{n, to}, incarnation: [2]int{n.incarnation, to.incarnation}, epoch: d.Join.Epoch, name: n.name}
	n.streams[s.key()] = s
	if !to.up && !w.isCut(n, to) && !w.isCut(to, n) {
		s.send(gatewayEnd, func() { s.notifyEnd(gatewayEnd) }) // the connection is refused
		return
	}
	replied := false
	s.send(relayEnd, func() {
		reply := to.router.Join(to.clock(), d.Join)
		if reply.Accepted {
			to.streams[s.key()] = s
		}
		s.send(gatewayEnd, func() {
			replied = true
			n.relayClient.ReceiveJoinReply(n.clock(), s.epoch, reply)
		})
		if !reply.Accepted {
			s.closed[relayEnd] = true
		}
	})
	w.afterFunc(relay.DialTimeout, func() {
		n.deliver(func() {
			if n.incarnation == s.incarnation[gatewayEnd] && !replied && !s.closed[gatewayEnd] && !s.notified[gatewayEnd] {
				s.close(gatewayEnd)
				n.relayClient.StreamEnded(n.clock(), s.epoch)
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

// closeStreams closes the streams of a process that has ended. If its machine has crashed, the other ends are not
// notified.
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

// breakStreams ends the streams of a gateway and notifies both ends.
func (n *Node) breakStreams() {
	for _, s := range n.sortedStreams() {
		for _, at := range []streamEnd{gatewayEnd, relayEnd} {
			s.send(at, func() { s.notifyEnd(at) })
		}
	}
}

// streamsAgree reports whether all nodes are up, each gateway has exactly one stream, and its relay has the same one.
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
