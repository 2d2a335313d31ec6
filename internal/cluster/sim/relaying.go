package sim

import (
	"fmt"
	"slices"
	"time"

	"dunemoor/internal/cluster/node"
	"dunemoor/internal/cluster/relay"
)

// relaying is a process's part in a fleet with relays.
type relaying struct {
	router      *relay.Router // of a relay
	relayClient *relay.Client // of a gateway
	streams     map[streamKey]*stream
	mute        bool                   // a relay that is alive and forwards nothing
	streamDelay time.Duration          // added to all that goes by a relay's streams
	sendsBad    bool                   // records that are rejected go beside others
	received    map[string]*sequence   // by sender: its last record
	known       map[string]publication // by lease: the last publication
	knownCount  map[string]int         // by lease: how many publications were received
}

// sequence is the last record that was received of a sender.
type sequence struct {
	replica, epoch, number uint64
	former                 map[uint64]uint64 // by former replica of the sender: its last epoch
}

// maxRecordAge is how old a record may be that is accepted: a silent stream is closed in 3 s, and each process
// on the way may be paused for 1.2 s without anybody noticing.
const maxRecordAge = 10 * time.Second

// maxSentTimes bounds World.sentAt.
const maxSentTimes = 1 << 18

// relayRegion is the region of all nodes, zoneCount how many zones they are spread over.
const (
	relayRegion = "r"
	zoneCount   = 2
)

// badRecord is a record that no relay and no gateway accepts.
var badRecord = relay.AppendRecord(nil, &relay.Record{To: "x", Kind: 9, Body: []byte("refused")})

func (n *Node) isRelay() bool { return n.index < n.world.Relays }

func (n *Node) zone() string { return fmt.Sprint("z", n.index%zoneCount) }

func (w *World) relays() []*Node   { return w.Nodes[:w.Relays] }
func (w *World) gateways() []*Node { return w.Nodes[w.Relays:] }

// startRelaying starts a process's part in the relaying.
func (n *Node) startRelaying() {
	id := n.log.Identity()
	cfg := relay.Config{Name: n.name, Zone: n.zone(), Region: relayRegion, ReplicaID: id.ReplicaID, Boots: id.Boots, Seed: n.world.rng.Uint64()}
	n.relaying = relaying{streams: map[streamKey]*stream{}, known: map[string]publication{}, knownCount: map[string]int{}, received: map[string]*sequence{}}
	var list []relay.Relay
	for _, o := range n.world.relays() {
		list = append(list, relay.Relay{Name: o.name, Zone: o.zone(), Region: relayRegion})
	}
	if n.isRelay() {
		n.router = relay.NewRouter(n.clock(), cfg, list)
	} else {
		n.relayClient = relay.NewClient(n.clock(), cfg, list)
	}
	n.tickRelaying(n.incarnation)
}

// tickRelaying lets time pass in a Router or Client.
func (n *Node) tickRelaying(incarnation int) {
	if n.incarnation != incarnation {
		return
	}
	interval := relay.TickInterval
	if n.relayClient != nil {
		interval = node.TickInterval // a Client has no batches
	}
	n.deliver(func() {
		if n.incarnation != incarnation {
			return
		}
		if n.router != nil {
			n.router.Tick(n.clock())
		} else {
			n.relayClient.Tick(n.clock())
		}
		n.processOutput()
		n.world.after(interval, func() { n.tickRelaying(incarnation) })
	})
}

// noteRenewals tells a relay Client of renewals and of replies to them.
func (n *Node) noteRenewals(o *node.Output) {
	if n.relayClient == nil {
		return
	}
	if o.RenewalSent {
		n.relayClient.RenewalSent(n.clock())
	}
	if o.LeaderResponded {
		n.relayClient.LeaderResponded(n.clock())
	}
}

// sendByRelay sends a frame of the node: a gateway by its stream, a relay to other relays or their gateways.
func (n *Node) sendByRelay(f node.Frame) {
	w := n.world
	if f.Kind == node.KindMessage {
		if len(w.sentAt) > maxSentTimes {
			clear(w.sentAt)
		}
		w.sentAt[digest(f.Body)] = w.Now
	}
	switch {
	case n.relayClient != nil:
		n.relayClient.Send(n.clock(), f)
	case f.Kind == node.KindMessage:
		n.router.Send(n.clock(), f)
	default:
		n.send(f)
	}
}

// processRelayOutput does what a Router or Client wants done. It reports whether the node was given anything.
func (n *Node) processRelayOutput() bool {
	switch {
	case n.router != nil:
		return n.processRouterOutput()
	case n.relayClient != nil:
		return n.processClientOutput()
	}
	return false
}

func (n *Node) processRouterOutput() bool {
	o := n.router.TakeOutput()
	for _, f := range o.ToStream {
		n.sendToGateway(f)
	}
	for _, f := range o.ToRelay {
		n.send(node.Frame{To: f.Name, Kind: f.Kind, Body: n.withBadRecord(f)})
	}
	for i := range o.ToNode {
		n.receiveRecord(&o.ToNode[i])
	}
	for _, c := range o.Closed {
		if s := n.streams[streamKey{c.Name, c.Epoch}]; s != nil {
			s.close(relayEnd)
		}
	}
	return len(o.ToNode) > 0
}

// sendToGateway sends a frame by a stream of a relay.
func (n *Node) sendToGateway(f relay.Frame) {
	if n.mute && f.Kind == relay.KindRecord {
		f.Kind, f.Body = relay.KindIdle, nil
	}
	s := n.streams[streamKey{f.Name, f.Epoch}]
	if s == nil {
		return
	}
	n.countSent(len(f.Body))
	gateway := s.node[gatewayEnd]
	gateway.receivedFrames++
	gateway.receivedBytes += len(f.Body)
	s.send(gatewayEnd, func() { gateway.relayClient.Receive(gateway.clock(), s.epoch, f.Kind, f.Body) })
}

func (n *Node) processClientOutput() bool {
	o := n.relayClient.TakeOutput()
	for _, d := range o.Dial {
		n.dial(d)
	}
	for _, f := range o.ToStream {
		n.sendToRelay(f)
	}
	for i := range o.ToNode {
		n.receiveRecord(&o.ToNode[i])
	}
	for _, epoch := range o.Close {
		if s := n.streams[streamKey{n.name, epoch}]; s != nil {
			s.close(gatewayEnd)
		}
	}
	if o.Reconnected {
		n.movedAt = append(n.movedAt, n.world.Now)
		n.node.Reconnected(n.clock())
	}
	if o.Outdated {
		n.node.DiskOutdated(n.clock(), "a relay knows a later stream")
	}
	n.world.traceLog(n.name, o.Log)
	return len(o.ToNode) > 0 || o.Reconnected || o.Outdated
}

// sendToRelay sends a frame by the stream of a gateway.
func (n *Node) sendToRelay(f relay.Frame) {
	s := n.streams[streamKey{n.name, f.Epoch}]
	if s == nil {
		return
	}
	body := n.withBadRecord(f)
	n.countSent(len(body))
	s.send(relayEnd, func() {
		to := s.node[relayEnd]
		if to.mute && f.Kind != relay.KindIdle {
			to.router.FromStream(to.clock(), s.name, s.epoch, relay.KindIdle, nil)
			return
		}
		to.router.FromStream(to.clock(), s.name, s.epoch, f.Kind, body)
	})
}

// withBadRecord returns the body of a frame, with a record that is rejected before it where the node is to
// send such.
func (n *Node) withBadRecord(f relay.Frame) []byte {
	if f.Kind == relay.KindRecord && n.sendsBad {
		return append(slices.Clone(badRecord), f.Body...)
	}
	return f.Body
}

// receiveRecord passes a record to the node. It checks that of each sender nothing arrives twice or after
// what was sent later, and nothing that a process has kept for long.
func (n *Node) receiveRecord(r *relay.Record) {
	w := n.world
	n.checkSequence(r)
	if at, ok := w.sentAt[digest(r.Body)]; ok && w.Now-at > maxRecordAge {
		w.violated("%s accepts a record of %s that was sent %v ago", n.name, r.From, w.Now-at)
	}
	if err := n.node.Receive(n.clock(), r.From, r.Kind, r.Body); err != nil {
		w.violated("%s can't read what %s has sent: %v", n.name, r.From, err)
	}
}

func (n *Node) checkSequence(r *relay.Record) {
	last := n.received[r.From]
	if last == nil {
		last = &sequence{former: map[uint64]uint64{}}
		n.received[r.From] = last
	}
	switch {
	case last.replica == r.ReplicaID && (r.Epoch < last.epoch || r.Epoch == last.epoch && r.Seq <= last.number):
		n.world.violated("%s accepts record %d of epoch %x of %s after record %d of epoch %x", n.name, r.Seq, r.Epoch, r.From, last.number, last.epoch)
	case last.replica != r.ReplicaID && last.former[r.ReplicaID] >= r.Epoch:
		n.world.violated("%s accepts a record of a disk that %s no longer has", n.name, r.From)
	}
	if last.replica != r.ReplicaID && last.replica != 0 {
		last.former[last.replica] = last.epoch
	}
	last.replica, last.epoch, last.number = r.ReplicaID, r.Epoch, r.Seq
}
