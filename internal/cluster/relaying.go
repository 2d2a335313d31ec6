package cluster

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"time"

	"dunemoor/internal/cluster/leaseholder"
	"dunemoor/internal/cluster/node"
	"dunemoor/internal/cluster/relay"
	"dunemoor/internal/cluster/transport"
)

// relaying is the state of a Cluster in a fleet with relays: a Router on a relay, a Client on any other
// gateway. It is owned by the loop.
type relaying struct {
	addresses map[string]string // addresses of the relays, by name
	router    *relay.Router
	client    *relay.Client

	streams     map[*transport.Stream]*streamState // streams that were accepted or dialled
	byID        map[streamID]*transport.Stream
	connections map[string]int // number of incoming connections, by relay
}

// streamID identifies a stream. The name is that of the stream's gateway on a relay, and empty on a gateway.
type streamID struct {
	name  string
	epoch uint64
}

// streamState is the state of a stream. On a gateway, joined reports whether the relay has accepted the stream.
type streamState struct {
	streamID
	joined bool
}

// startRelaying creates the relaying state for a node that was started. Streams of the previous node are
// closed.
func (c *Cluster) startRelaying(now time.Duration, h *node.Hello) {
	if len(c.cfg.Relays) == 0 {
		return
	}
	r := &relaying{
		addresses: map[string]string{}, streams: map[*transport.Stream]*streamState{}, byID: map[streamID]*transport.Stream{},
		connections: map[string]int{},
	}
	if previous := c.relaying; previous != nil {
		for s := range previous.streams {
			s.Close()
		}
		r.connections = previous.connections // still counted until each has ended, see Transport.ReconnectAll
	}
	var relays []relay.Relay
	for _, x := range c.cfg.Relays {
		relays = append(relays, relay.Relay{Name: x.Name, Zone: x.Zone, Region: x.Region})
		r.addresses[x.Name] = x.Address
	}
	cfg := relay.Config{
		Name: c.cfg.Name, Zone: c.cfg.Zone, Region: c.cfg.Region, ReplicaID: h.ReplicaID, Boots: h.Boots, Seed: random(),
	}
	if c.isRelay(c.cfg.Name) {
		r.router = relay.NewRouter(now, cfg, relays)
	} else {
		r.client = relay.NewClient(now, cfg, relays)
	}
	c.relaying = r
}

// validateStream returns why the other side of a stream is rejected, or nil.
func (c *Cluster) validateStream(h *node.Hello) error {
	own := c.hello.Load()
	if err := own.CheckFleet(h); err != nil {
		return err
	}
	if c.isRelay(own.Name) && c.isRelay(h.Name) {
		return &node.HelloError{Reason: fmt.Sprintf("%s is a relay in this relay's configuration", h.Name)}
	}
	if err := own.CheckClusterID(h); err != nil {
		return err
	}
	if h.ReplicaID == own.ReplicaID {
		return &node.HelloError{Reason: fmt.Sprintf("it has a disk with the identity of that of %s: one of the two is a copy", own.Name)}
	}
	return nil
}

// StreamFrame implements transport.StreamHandler.
func (h *handler) StreamFrame(s *transport.Stream, kind node.Kind, body []byte) {
	c := (*Cluster)(h)
	c.post(func() { c.relaying.receiveFrame(c, s, kind, body) })
}

// StreamEnded implements transport.StreamHandler.
func (h *handler) StreamEnded(s *transport.Stream, _ error) {
	c := (*Cluster)(h)
	c.post(func() { c.relaying.streamEnded(s) })
}

// Connected implements transport.ConnObserver.
func (h *handler) Connected(to string) {
	c := (*Cluster)(h)
	if len(c.cfg.Relays) == 0 {
		return
	}
	c.post(func() {
		if c.relaying.connections[to] > 0 { // frames for the previous connection were lost
			c.relaying.router.RelayUp(leaseholder.Now(), to)
		}
	})
}

// Disconnected implements transport.ConnObserver.
func (h *handler) Disconnected(from string) {
	c := (*Cluster)(h)
	if len(c.cfg.Relays) == 0 {
		return
	}
	c.post(func() {
		c.relaying.connections[from]--
		if c.relaying.connections[from] == 0 {
			c.relaying.router.RelayDown(leaseholder.Now(), from)
		}
	})
}

// receiveFrame handles a frame of a stream.
func (r *relaying) receiveFrame(c *Cluster, s *transport.Stream, kind node.Kind, body []byte) {
	now := leaseholder.Now()
	state := r.streams[s]
	switch {
	case r.router != nil && state == nil:
		r.receiveJoin(c, now, s, kind, body)
	case r.router != nil:
		r.router.ReceiveFromStream(now, state.name, state.epoch, kind, body)
	case state == nil: // the stream was closed
	case state.joined:
		r.client.Receive(now, state.epoch, kind, body)
	default:
		r.receiveJoinReply(c, now, s, state, kind, body)
	}
}

// receiveJoin handles the first frame of a gateway's stream, the join request. Its name and replica ID must be
// those of the hello, which the handshake has authenticated with the fleet's key.
func (r *relaying) receiveJoin(c *Cluster, now time.Duration, s *transport.Stream, kind node.Kind, body []byte) {
	var j relay.JoinRequest
	if kind != relay.KindJoin || json.Unmarshal(body, &j) != nil || j.Name != s.Name || j.ReplicaID != s.ReplicaID {
		c.transport.Counters.FramesMalformed.Add(1)
		slog.Warn("stream without a valid join request closed", "gateway", s.Name)
		s.Close()
		return
	}
	reply := r.router.Join(now, j)
	s.Send(relay.KindJoinReply, encodeJSON(reply))
	if !reply.Accepted {
		s.Finish()
		return
	}
	r.add(s, streamID{j.Name, j.Epoch})
}

// receiveJoinReply handles the first frame of a relay.
func (r *relaying) receiveJoinReply(c *Cluster, now time.Duration, s *transport.Stream, state *streamState, kind node.Kind, body []byte) {
	var reply relay.JoinReply
	if kind != relay.KindJoinReply || json.Unmarshal(body, &reply) != nil {
		c.transport.Counters.FramesMalformed.Add(1)
		s.Close() // the transport then calls StreamEnded
		return
	}
	state.joined = reply.Accepted
	if !reply.Accepted {
		r.remove(s, state)
		s.Close()
	}
	r.client.ReceiveJoinReply(now, state.epoch, reply)
}

// streamEnded handles the end of a stream.
func (r *relaying) streamEnded(s *transport.Stream) {
	state := r.streams[s]
	if state == nil {
		return
	}
	r.remove(s, state)
	if r.router != nil {
		r.router.StreamEnded(leaseholder.Now(), state.name, state.epoch)
	} else {
		r.client.StreamEnded(leaseholder.Now(), state.epoch)
	}
}

func (r *relaying) add(s *transport.Stream, id streamID) {
	r.streams[s], r.byID[id] = &streamState{streamID: id}, s
}

func (r *relaying) remove(s *transport.Stream, state *streamState) {
	delete(r.streams, s)
	if r.byID[state.streamID] == s {
		delete(r.byID, state.streamID)
	}
}

// send sends a frame of the node: messages through the relays, Raft messages and snapshots directly.
func (r *relaying) send(c *Cluster, now time.Duration, f *node.Frame) {
	switch {
	case f.Kind != node.KindMessage:
		c.transport.Send(f)
	case r.router != nil:
		r.router.Send(now, *f)
	default:
		r.client.Send(now, *f)
	}
}

// noteRenewals reports renewals and the leader's replies to the client.
func (r *relaying) noteRenewals(now time.Duration, o *node.Output) {
	if r.client == nil {
		return
	}
	if o.RenewalSent {
		r.client.RenewalSent(now)
	}
	if o.LeaderResponded {
		r.client.LeaderResponded(now)
	}
}

func (r *relaying) tick(now time.Duration) {
	if r.router != nil {
		r.router.Tick(now)
	} else {
		r.client.Tick(now)
	}
}

// processOutput executes the output of the Router or Client, and reports whether the node has received input.
func (r *relaying) processOutput(c *Cluster) bool {
	if r.router != nil {
		return r.processRouterOutput(c)
	}
	return r.processClientOutput(c)
}

func (r *relaying) processRouterOutput(c *Cluster) bool {
	o := r.router.TakeOutput()
	for _, f := range o.ToStream {
		if s := r.byID[streamID{f.Name, f.Epoch}]; s != nil {
			s.Send(f.Kind, f.Body)
		}
	}
	for _, f := range o.ToRelay {
		c.transport.Send(&node.Frame{To: f.Name, Kind: f.Kind, Body: f.Body})
	}
	c.receiveRecords(leaseholder.Now(), o.ToNode)
	for _, closed := range o.Closed {
		if s := r.byID[streamID{closed.Name, closed.Epoch}]; s != nil {
			slog.Info("stream closed by relay", "gateway", closed.Name, "epoch", closed.Epoch, "why", closed.Reason)
			r.remove(s, r.streams[s])
			s.Close()
		}
	}
	return len(o.ToNode) > 0
}

func (r *relaying) processClientOutput(c *Cluster) bool {
	now, o := leaseholder.Now(), r.client.TakeOutput()
	for _, d := range o.Dial {
		s := c.transport.Dial(d.Relay, r.addresses[d.Relay], relay.KindJoin, encodeJSON(d.Join))
		r.add(s, streamID{epoch: d.Join.Epoch})
	}
	for _, f := range o.ToStream {
		if s := r.byID[streamID{epoch: f.Epoch}]; s != nil {
			s.Send(f.Kind, f.Body)
		}
	}
	c.receiveRecords(now, o.ToNode)
	for _, epoch := range o.Close {
		if s := r.byID[streamID{epoch: epoch}]; s != nil {
			r.remove(s, r.streams[s])
			s.Finish()
		}
	}
	c.writeLog(o.Log)
	if o.Reconnected {
		c.node.Reconnected(now)
	}
	if o.Outdated {
		c.node.DiskOutdated(now, "a relay has seen a later stream of this disk")
	}
	return len(o.ToNode) > 0 || o.Reconnected || o.Outdated
}

// receiveRecords passes records to the node.
func (c *Cluster) receiveRecords(now time.Duration, list []relay.Record) {
	for i := range list {
		c.receive(now, list[i].From, list[i].Kind, list[i].Body)
	}
}

func encodeJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // cannot happen: v consists of strings, numbers and booleans
	}
	return b
}

// addStatus adds the status of the Router or Client to a status.
func (r *relaying) addStatus(now time.Duration, s *Status) {
	if r.router != nil {
		x := r.router.Status()
		s.Streams = &StreamsStatus{x.Streams, x.Limit, x.Routes, x.Relays, x.Joins, x.Rejected, x.Closed, x.Dropped, x.Malformed}
		return
	}
	x := r.client.Status()
	s.Relay = &RelayStatus{Name: x.Relay, Epoch: x.Epoch, Preferred: x.Preferred, Moves: x.Moves, Ends: x.Ends}
	if x.Relay != "" {
		s.Relay.SinceMS = (now - x.Since).Milliseconds()
	}
}
