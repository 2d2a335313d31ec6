package sim

import (
	"fmt"
	"slices"
	"time"

	"dunemoor/internal/cluster/node"
	"dunemoor/internal/cluster/relay"
)

// relayState is the state of a process in a fleet with relays.
type relayState struct {
	router             *relay.Router // set for a relay
	relayClient        *relay.Client // set for a gateway
	streams            map[streamKey]*stream
	blackhole          bool                   // whether the relay discards all records while it stays alive
	streamDelay        time.Duration          // delay added to all traffic on the relay's streams
	sendsInvalid       bool                   // whether invalid records are sent along with others
	lastRecords        map[string]*lastRecord // last records received, by sender
	latestPublications map[string]publication // latest publications received or sent, by lease
	receivedCounts     map[string]int         // numbers of publications received, by lease
}

// lastRecord identifies the last record received from a sender.
type lastRecord struct {
	replica, epoch, sequence uint64
	formerEpochs             map[uint64]uint64 // last epochs of the sender's former replicas, by replica ID
}

// maxRecordAge is the highest age of a record that a node may accept: a silent stream is closed after 3 s, and each
// process on the path may be paused for 1.2 s undetected.
const maxRecordAge = 10 * time.Second

// maxSentTimes is the maximum number of entries of World.sentAt.
const maxSentTimes = 1 << 18

// relayRegion is the region of all nodes. zoneCount is the number of zones that they are spread over.
const (
	relayRegion = "r"
	zoneCount   = 2
)

// invalidRecord is a record that all relays and gateways reject.
var invalidRecord = relay.AppendRecord(nil, &relay.Record{To: "x", Kind: 9, Body: []byte("refused")})

func (n *Node) isRelay() bool { return n.index < n.world.Relays }

func (n *Node) zone() string { return fmt.Sprint("z", n.index%zoneCount) }

func (w *World) relays() []*Node   { return w.Nodes[:w.Relays] }
func (w *World) gateways() []*Node { return w.Nodes[w.Relays:] }

// startRelaying creates the Router of a relay or the Client of a gateway, and starts its ticks.
func (n *Node) startRelaying() {
	id := n.log.Identity()
	cfg := relay.Config{Name: n.name, Zone: n.zone(), Region: relayRegion, ReplicaID: id.ReplicaID, Boots: id.Boots, Seed: n.world.rng.Uint64()}
	n.relayState = relayState{streams: map[streamKey]*stream{}, latestPublications: map[string]publication{}, receivedCounts: map[string]int{}, lastRecords: map[string]*lastRecord{}}
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

// tickRelaying calls the Tick method of the Router or Client at each interval until the incarnation ends.
func (n *Node) tickRelaying(incarnation int) {
	if n.incarnation != incarnation {
		return
	}
	interval := relay.TickInterval
	if n.relayClient != nil {
		interval = node.TickInterval // a Client has no batches to flush at the shorter interval
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
		n.world.afterFunc(interval, func() { n.tickRelaying(incarnation) })
	})
}

// reportRenewals reports sent renewals of the session, and replies of the leader, to the relay Client.
func (n *Node) reportRenewals(o *node.Output) {
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

// sendByRelay sends a frame of the node: from a gateway on its stream, from a relay to other relays or to gateways.
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

// processRelayOutput processes the output of the Router or Client. It reports whether the node received any input.
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
		n.send(node.Frame{To: f.Name, Kind: f.Kind, Body: n.prependInvalidRecord(f)})
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

// sendToGateway sends a frame to a gateway on its stream.
func (n *Node) sendToGateway(f relay.Frame) {
	if n.blackhole && f.Kind == relay.KindRecord {
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

// sendToRelay sends a frame to the relay on the gateway's stream.
func (n *Node) sendToRelay(f relay.Frame) {
	s := n.streams[streamKey{n.name, f.Epoch}]
	if s == nil {
		return
	}
	body := n.prependInvalidRecord(f)
	n.countSent(len(body))
	s.send(relayEnd, func() {
		to := s.node[relayEnd]
		if to.blackhole && f.Kind != relay.KindIdle {
			to.router.ReceiveFromStream(to.clock(), s.name, s.epoch, relay.KindIdle, nil)
			return
		}
		to.router.ReceiveFromStream(to.clock(), s.name, s.epoch, f.Kind, body)
	})
}

// prependInvalidRecord returns the body of a frame, preceded by invalidRecord if sendsInvalid is set and the frame
// contains records.
func (n *Node) prependInvalidRecord(f relay.Frame) []byte {
	if f.Kind == relay.KindRecord && n.sendsInvalid {
		return append(slices.Clone(invalidRecord), f.Body...)
	}
	return f.Body
}

// receiveRecord passes a record to the node. It checks that the records of each sender arrive in order and at most once,
// and that none is older than maxRecordAge.
func (n *Node) receiveRecord(r *relay.Record) {
	w := n.world
	n.checkSequence(r)
	if at, ok := w.sentAt[digest(r.Body)]; ok && w.Now-at > maxRecordAge {
		w.violationf("%s accepted a record of %s that was sent %v ago", n.name, r.From, w.Now-at)
	}
	if err := n.node.Receive(n.clock(), r.From, r.Kind, r.Body); err != nil {
		w.violationf("%s can't decode a record of %s: %v", n.name, r.From, err)
	}
}

// checkSequence checks that a record follows the sender's last one: it must have a later epoch, or the same epoch and a
// later sequence. A record of a former replica must have a later epoch than the last record of that replica.
func (n *Node) checkSequence(r *relay.Record) {
	last := n.lastRecords[r.From]
	if last == nil {
		last = &lastRecord{formerEpochs: map[uint64]uint64{}}
		n.lastRecords[r.From] = last
	}
	switch {
	case last.replica == r.ReplicaID && (r.Epoch < last.epoch || r.Epoch == last.epoch && r.Seq <= last.sequence):
		n.world.violationf("%s accepted record %d of epoch %x of %s after record %d of epoch %x", n.name, r.Seq, r.Epoch, r.From, last.sequence, last.epoch)
	case last.replica != r.ReplicaID && last.formerEpochs[r.ReplicaID] >= r.Epoch:
		n.world.violationf("%s accepted an outdated record of a former replica of %s", n.name, r.From)
	}
	if last.replica != r.ReplicaID && last.replica != 0 {
		last.formerEpochs[last.replica] = last.epoch
	}
	last.replica, last.epoch, last.sequence = r.ReplicaID, r.Epoch, r.Seq
}
