package relay

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"dunemoor/internal/cluster/failpoint"
	"dunemoor/internal/cluster/lease"
	"dunemoor/internal/cluster/node"
)

const (
	// scanInterval is the time between two scans of all streams. A heartbeat is late by that time at most.
	scanInterval = 100 * time.Millisecond
	// linkTimeout is how long another relay is considered up although nothing arrives from it. One route update
	// may be lost.
	linkTimeout = 2500 * time.Millisecond
	// pauseThreshold is the time between two calls from which a Router or Client assumes that its process was
	// paused. Gateways look for another relay when theirs has been silent for that long.
	pauseThreshold = relayTimeout
)

// Router forwards messages on a relay. It is used by one goroutine. Each call passes the current time, on a
// clock that does not go back and that keeps running while the process is paused.
type Router struct {
	cfg       Config
	topology  topology
	rng       *rand.Rand
	now       time.Duration
	out       RouterOutput
	scannedAt time.Duration
	filter    sequenceFilter // filter for records to this relay's own node
	recordSeq uint64         // sequence number of the last record from this relay's own node

	streams     map[string]*routerStream // by gateway
	streamNames []string                 // names of the streams, in an order that is the same in each run
	joinTokens  float64                  // number of joins that may be accepted now
	tokensAt    time.Duration            // time at which joinTokens was last refilled

	routes    routeTable
	links     map[string]*link // by relay
	linkNames []string         // names of the links, sorted

	counts struct{ joins, rejected, closed, dropped, malformed uint64 }
}

// routerStream is the stream of a gateway to this relay.
type routerStream struct {
	name               string
	index              int // index in streamNames
	incarnation        Incarnation
	seq                uint64 // sequence number of the last record that arrived on the stream
	receivedAt, sentAt time.Duration
}

// link is the state of another relay.
type link struct {
	receivedAt time.Duration // 0 if nothing has arrived since the relay was last unreachable
	batch      []byte        // collected records that are not sent yet
	streams    int           // number of streams of the relay by its last update
	// checksum is the checksum of the relay's routes as they are known here.
	checksum  uint64
	updatedAt time.Duration // time at which the last update was sent to the relay
	// lastUpdate identifies the last update received: its ReplicaID is the Epoch of the update (that of the relay's
	// process), and its Epoch is the Seq of the update.
	lastUpdate Incarnation
	// pendingRequest is the number of the request for routes that the relay has not replied to yet; 0 if there
	// is none. Records and updates that arrive before the reply may have been sent before the end of a pause of
	// this process, and are dropped.
	pendingRequest uint64
	requestedAt    time.Duration
}

// NewRouter returns the Router of the relay named cfg.Name.
func NewRouter(now time.Duration, cfg Config, relays []Relay) *Router {
	r := &Router{
		cfg: cfg, topology: newTopology(relays), rng: rand.New(rand.NewPCG(cfg.Seed, cfg.ReplicaID)), now: now, scannedAt: now,
		filter: sequenceFilter{}, streams: map[string]*routerStream{}, joinTokens: MaxJoinRate, tokensAt: now,
		routes: routeTable{known: map[string]*gatewayRoute{}}, links: map[string]*link{},
	}
	for _, x := range r.topology.relays {
		if x.Name != cfg.Name {
			r.links[x.Name] = &link{}
			r.linkNames = append(r.linkNames, x.Name)
		}
	}
	return r
}

// advance sets the current time. If the process was paused, what it receives now may have been sent before or during
// the pause: streams are closed, and records and updates of other relays are dropped until they have replied to a
// request.
func (r *Router) advance(now time.Duration) {
	gap := now - r.now
	r.now = now
	if gap < pauseThreshold || failpoint.Enabled(failpoint.DeliverAfterPause) {
		return
	}
	for _, name := range slices.Clone(r.streamNames) {
		r.closeStream(r.streams[name], "the relay process was paused")
	}
	for _, name := range r.linkNames {
		r.links[name].batch = nil
		r.requestRoutes(name)
	}
	r.tokensAt = now
}

// epoch returns the epoch of the records from this relay's own node.
func (r *Router) epoch() uint64 { return r.cfg.Boots<<32 | 1 }

// isUp reports whether another relay is up.
func (r *Router) isUp(l *link) bool { return l.receivedAt > 0 && r.now < l.receivedAt+linkTimeout }

// closeStream closes a stream from this side, and lists it in the output.
func (r *Router) closeStream(s *routerStream, reason string) {
	r.counts.closed++
	r.out.Closed = append(r.out.Closed, ClosedStream{s.name, s.incarnation.Epoch, reason})
	r.removeStream(s)
}

// removeStream removes the state of a stream that has ended.
func (r *Router) removeStream(s *routerStream) {
	last := r.streamNames[len(r.streamNames)-1]
	r.streamNames[s.index], r.streams[last].index = last, s.index
	r.streamNames = r.streamNames[:len(r.streamNames)-1]
	delete(r.streams, s.name)
	r.routes.announce(route{Name: s.name, ReplicaID: s.incarnation.ReplicaID, Epoch: s.incarnation.Epoch, left: true})
	if g := r.routes.known[s.name]; g != nil && g.relay == r.cfg.Name {
		g.relay = ""
	}
}

// StreamEnded reports that a stream has ended.
func (r *Router) StreamEnded(now time.Duration, name string, epoch uint64) {
	r.advance(now)
	if s := r.streams[name]; s != nil && s.incarnation.Epoch == epoch {
		r.removeStream(s)
	}
}

// ReceiveFromStream handles a frame of a gateway's stream that follows its join request.
func (r *Router) ReceiveFromStream(now time.Duration, name string, epoch uint64, kind node.Kind, body []byte) {
	r.advance(now)
	s := r.streams[name]
	if s == nil || s.incarnation.Epoch != epoch {
		r.counts.dropped++
		return
	}
	s.receivedAt = now
	if kind != KindRecord {
		return
	}
	r.counts.malformed += uint64(ReadRecords(body, func(x *Record) {
		// The stream identifies the sender, whatever the record contains.
		s.seq++
		x.From, x.ReplicaID, x.Epoch, x.Seq = s.name, s.incarnation.ReplicaID, s.incarnation.Epoch, s.seq
		if failpoint.Enabled(failpoint.RelayAnswersRenewals) && r.answerRenewal(s, x) {
			return
		}
		r.forward(x)
	}))
}

// answerRenewal is the fault of the failpoint RelayAnswersRenewals: the relay replies to renewals in place of
// the leader.
func (r *Router) answerRenewal(s *routerStream, x *Record) bool {
	m, err := node.DecodeMessage(x.Body)
	if err != nil || m.Renew == nil || m.Renew.KnownRevision == 0 {
		return false
	}
	delta := &lease.StateDelta{Revision: m.Renew.KnownRevision}
	b, err := json.Marshal(node.Message{RenewReply: &node.RenewReply{Session: m.Renew.Session, Seq: m.Renew.Seq, Delta: delta}})
	if err != nil {
		return false
	}
	r.sendOnStream(s, AppendRecord(nil, r.ownRecord("", node.KindMessage, b)))
	return true
}

// ownRecord returns the next record from this relay's own node.
func (r *Router) ownRecord(to string, kind node.Kind, body []byte) *Record {
	r.recordSeq++
	return &Record{To: to, From: r.cfg.Name, ReplicaID: r.cfg.ReplicaID, Epoch: r.epoch(), Seq: r.recordSeq, Kind: kind, Body: body}
}

// forward forwards a record from a stream, or from this relay's own node.
func (r *Router) forward(x *Record) {
	switch {
	case x.To == Broadcast:
		b := AppendRecord(nil, x)
		for _, name := range r.linkNames {
			r.sendToRelay(name, b)
		}
		r.deliverToAll(x)
	case x.To == r.cfg.Name:
		r.deliverToNode(x)
	case r.links[x.To] != nil:
		r.sendToRelay(x.To, AppendRecord(nil, x))
	case r.streams[x.To] != nil:
		r.deliverToStream(r.streams[x.To], x)
	default:
		g := r.routes.known[x.To]
		if g == nil || r.links[g.relay] == nil {
			r.counts.dropped++
			return
		}
		r.sendToRelay(g.relay, AppendRecord(nil, x))
	}
}

// deliverToAll delivers a broadcast to this relay's own node and all of its streams.
func (r *Router) deliverToAll(x *Record) {
	if x.From != r.cfg.Name {
		r.deliverToNode(x)
	}
	withoutReceiver := *x
	withoutReceiver.To = ""
	b := AppendRecord(nil, &withoutReceiver)
	for _, name := range r.streamNames {
		if name != x.From {
			r.sendOnStream(r.streams[name], b)
		}
	}
}

func (r *Router) deliverToNode(x *Record) {
	if !r.filter.accept(x) {
		r.counts.dropped++
		return
	}
	r.out.ToNode = append(r.out.ToNode, *x)
}

func (r *Router) deliverToStream(s *routerStream, x *Record) {
	withoutReceiver := *x
	withoutReceiver.To = ""
	r.sendOnStream(s, AppendRecord(nil, &withoutReceiver))
}

func (r *Router) sendOnStream(s *routerStream, records []byte) {
	s.sentAt = r.now
	r.out.ToStream = append(r.out.ToStream, Frame{s.name, s.incarnation.Epoch, KindRecord, records})
}

func (r *Router) sendToRelay(name string, records []byte) {
	l := r.links[name]
	if len(l.batch)+len(records) > maxBatchBytes {
		r.flush(name)
	}
	l.batch = append(l.batch, records...)
}

// flush sends the records that were collected for another relay.
func (r *Router) flush(name string) {
	if l := r.links[name]; len(l.batch) > 0 {
		r.out.ToRelay = append(r.out.ToRelay, Frame{Name: name, Kind: KindRecord, Body: l.batch})
		l.batch = nil
	}
}

// ReceiveFromRelay handles a frame of KindRecord or KindRoutes from another relay. The caller passes frames of other
// kinds to the node.
func (r *Router) ReceiveFromRelay(now time.Duration, relay string, kind node.Kind, body []byte) {
	r.advance(now)
	l := r.links[relay]
	if l == nil {
		return
	}
	switch kind {
	case KindRoutes:
		var u routeUpdate
		if err := json.Unmarshal(body, &u); err != nil {
			r.counts.malformed++
			return
		}
		r.receiveRoutes(relay, l, &u)
	case KindRecord:
		l.receivedAt = now
		if l.pendingRequest != 0 {
			r.counts.dropped++
			return // the records may have been sent before the end of a pause of this process
		}
		r.counts.malformed += uint64(ReadRecords(body, func(x *Record) { r.receiveRecord(relay, x) }))
	}
}

// receiveRecord handles a record that another relay has forwarded.
func (r *Router) receiveRecord(relay string, x *Record) {
	switch {
	case x.From == relay:
	case x.From == "" || r.topology.find(x.From) != noRelay:
		r.counts.malformed++
		return // a relay forwards only its own records and those of gateways
	case !r.learnRoute(relay, x.From, Incarnation{x.ReplicaID, x.Epoch}):
		r.counts.dropped++
		return
	}
	s := r.streams[x.To]
	switch {
	case x.To == Broadcast:
		r.deliverToAll(x)
	case x.To == r.cfg.Name:
		r.deliverToNode(x)
	case s != nil:
		r.deliverToStream(s, x)
	default:
		r.counts.dropped++ // the gateway has just left, and retries through its new relay
	}
}

// Send sends a frame of KindMessage from this relay's own node. Frames for other relays must be passed too, so that
// all messages stay in order; they are output as frames of KindMessage. Raft messages and snapshots are sent by
// the transport directly.
func (r *Router) Send(now time.Duration, f node.Frame) {
	r.advance(now)
	if r.links[f.To] != nil {
		r.flush(f.To)
		r.out.ToRelay = append(r.out.ToRelay, Frame{Name: f.To, Kind: f.Kind, Body: f.Body})
		return
	}
	r.forward(r.ownRecord(f.To, f.Kind, f.Body))
}

// Tick sends collected records, route updates and heartbeats. It must be called every TickInterval.
func (r *Router) Tick(now time.Duration) {
	r.advance(now)
	if now >= r.scannedAt+scanInterval {
		r.scannedAt = now
		r.scanStreams()
	}
	r.sendRouteChanges()
	for _, name := range r.linkNames {
		if l := r.links[name]; now >= l.updatedAt+routeSyncInterval {
			if l.pendingRequest != 0 {
				r.requestRoutes(name)
			} else {
				r.sendRoutes(name, &routeUpdate{})
			}
		}
		r.flush(name)
	}
}

// scanStreams closes streams on which no frame has arrived for streamTimeout, and sends heartbeats on those on
// which nothing was sent for heartbeatInterval.
func (r *Router) scanStreams() {
	var heartbeat []byte
	for _, name := range slices.Clone(r.streamNames) {
		s := r.streams[name]
		switch {
		case r.now >= s.receivedAt+streamTimeout:
			r.closeStream(s, "no frame from the gateway within the timeout")
		case r.now >= s.sentAt+heartbeatInterval:
			if heartbeat == nil {
				heartbeat = r.encodeHeartbeat()
			}
			s.sentAt = r.now
			r.out.ToStream = append(r.out.ToStream, Frame{name, s.incarnation.Epoch, KindHeartbeat, heartbeat})
		}
	}
}

func (r *Router) encodeHeartbeat() []byte {
	limit := r.streamLimit()
	return r.topology.encodeHeartbeat(func(x *Relay) bool {
		if l := r.links[x.Name]; l != nil {
			return r.isUp(l) && l.streams < limit
		}
		return len(r.streams) <= limit // otherwise some of this relay's gateways should move
	})
}

// TakeOutput returns the output since the last call. It may be called after each call of another method, or
// after several.
func (r *Router) TakeOutput() RouterOutput {
	out := r.out
	r.out = RouterOutput{}
	return out
}

// Status returns the status of the relay.
func (r *Router) Status() RouterStatus {
	s := RouterStatus{Streams: len(r.streams), Limit: r.streamLimit(), Relays: map[string]int{r.cfg.Name: len(r.streams)}}
	for name, l := range r.links {
		if r.isUp(l) {
			s.Relays[name] = l.streams
		}
	}
	for _, g := range r.routes.known {
		if l := r.links[g.relay]; g.relay == r.cfg.Name || l != nil && r.isUp(l) {
			s.Routes++
		}
	}
	s.Joins, s.Rejected, s.Closed = r.counts.joins, r.counts.rejected, r.counts.closed
	s.Dropped, s.Malformed = r.counts.dropped, r.counts.malformed
	return s
}

// Streams returns the epochs of all streams by gateway, for tests.
func (r *Router) Streams() map[string]uint64 {
	m := map[string]uint64{}
	for name, s := range r.streams {
		m[name] = s.incarnation.Epoch
	}
	return m
}
