// Package relay forwards messages between gateways in a fleet with relays: each gateway has one stream to one
// relay, and only relays are connected to one another. A [Router] runs on a relay, a [Client] on any other
// gateway.
//
// Neither does I/O nor reads a clock: events are passed in as method calls with the time, and TakeOutput
// returns what must be sent, opened and closed.
package relay

import (
	"time"

	"dunemoor/internal/cluster/node"
)

// Broadcast is the receiver of a message to all gateways but the sender.
const Broadcast = node.Broadcast

// Kinds of frames beside those of package node.
const (
	KindIdle      node.Kind = 0 // keepalive without content
	KindRecord    node.Kind = 3 // one or more records: on streams and between relays
	KindJoin      node.Kind = 4 // first frame of a gateway on a stream: a JoinRequest in JSON
	KindJoinReply node.Kind = 5 // first frame of a relay on a stream: a JoinReply in JSON; the stream ends if it is a rejection
	KindHeartbeat node.Kind = 6 // shows that a relay is alive, and which relays have capacity
	KindRoutes    node.Kind = 7 // sent between relays: a routeUpdate in JSON
)

// Intervals and timeouts.
const (
	// TickInterval is how often Tick must be called, on relays and on gateways.
	TickInterval = batchInterval
	// batchInterval is how long records for another relay are collected. A record passes through two relays
	// within 40 ms. With 16 relays, each of a relay's 15 links carries about 50 frames of records per second at
	// most; full batches and route updates add to that.
	batchInterval = 20 * time.Millisecond
	// heartbeatInterval is the maximum time between two frames of a relay on a stream. relayTimeout expires only if
	// two in a row are late or lost.
	heartbeatInterval = 500 * time.Millisecond
	// keepaliveInterval is the maximum time between two frames of a gateway on a stream.
	keepaliveInterval = time.Second
	// relayTimeout is how long a gateway waits for a frame of its relay. A session lasts 2.94 s by its holder's
	// clock and is renewed every second, so the last renewal before a relay fails is at most 1 s old: 1 s +
	// relayTimeout + DialTimeout leaves 0.3 s to renew the session through the next relay.
	relayTimeout = 1200 * time.Millisecond
	// DialTimeout is how long a gateway waits for the reply to a join request, from the start of the dial. The
	// code that dials then reports the stream as ended.
	DialTimeout = 400 * time.Millisecond
	// streamTimeout is how long a relay keeps a stream on which no frame arrives: three keepalive intervals.
	streamTimeout = 3 * time.Second
	// minReplyTimeout is how long renewals may go unanswered, although the relay is alive, before the gateway
	// moves to another relay. It doubles with each such move up to maxReplyTimeout, plus at most a
	// random eighth, because moving does not help while the fleet has no leader.
	minReplyTimeout = 1300 * time.Millisecond
	maxReplyTimeout = 20 * time.Second
	// maxRedialDelay bounds the random delay before a gateway dials again after its stream has ended. It
	// spreads the dials of the gateways of a relay that has failed.
	maxRedialDelay = 50 * time.Millisecond
	// minReselectInterval and maxReselectInterval bound the random interval at which a gateway looks for a more
	// preferred relay. When 4,700 gateways return to their preferred relays, they make 100 to 160 moves per
	// second.
	minReselectInterval = 30 * time.Second
	maxReselectInterval = 60 * time.Second
)

// Limits.
const (
	// MaxStreams is the maximum number of streams of a relay. It is twice the 588 streams that each relay has
	// when 4,700 gateways use half of 16 relays.
	MaxStreams = 1200
	// MaxJoinRate is the maximum number of joins that a relay accepts per second. When a relay fails, its
	// gateways make about 25 joins at each other relay. A join costs a relay about 100 us, handshake included.
	MaxJoinRate = 500
	// MaxQueueBytes is the maximum number of bytes that are queued for a gateway. A gateway that is further
	// behind is disconnected, and then requests what it has missed by version. The queues of 1,200 gateways
	// take at most 300 MB; the queue of an idle gateway is empty.
	MaxQueueBytes = 256 << 10
	// maxBatchBytes is the number of bytes of collected records for another relay at which they are sent at
	// once.
	maxBatchBytes = 64 << 10
	// maxLoadPercent limits a relay's streams, as a percentage of the mean over the relays that are up. With
	// 25% above the mean, most gateways get their most preferred relay.
	maxLoadPercent = 125
	// minStreamLimit is the minimum limit of a relay's streams: a small fleet does not benefit from balanced
	// relays.
	minStreamLimit = 16
	// MaxNameBytes limits the length of a name, MaxRecordBytes that of the body of a record.
	MaxNameBytes   = 96
	MaxRecordBytes = 4 << 20
)

// Relay is one of the fleet's relays, from the configuration.
type Relay struct{ Name, Zone, Region string }

// Config describes a process. Epochs increase with Boots, the number of times that its disk was opened.
type Config struct {
	Name, Zone, Region     string
	ReplicaID, Boots, Seed uint64
}

// JoinRequest asks a relay to accept a stream.
type JoinRequest struct {
	Name      string `json:"name"`
	ReplicaID uint64 `json:"replica"`
	Epoch     uint64 `json:"epoch"` // identifies the stream; increases with each stream of the disk
	Zone      string `json:"zone,omitempty"`
	Region    string `json:"region,omitempty"`
	// Force is set by a gateway that all relays have rejected for lack of capacity, in its request to the relay
	// with the fewest streams.
	Force bool `json:"must,omitempty"`
}

// JoinReply is a relay's reply to a JoinRequest.
type JoinReply struct {
	Accepted bool   `json:"taken"`
	Reason   string `json:"why,omitempty"` // reason of a rejection
	// Alternative is a relay with capacity. RetryAfter is when to retry at this relay. Both are set in
	// rejections only.
	Alternative string        `json:"try,omitempty"`
	RetryAfter  time.Duration `json:"in,omitempty"` // ns
	// Outdated reports that a later stream of this disk is known, so the disk is an older copy.
	Outdated bool `json:"older,omitempty"`
}

// reasonNoCapacity is the Reason of a relay that has too many streams. Clients compare it.
const reasonNoCapacity = "no room"

// Frame is a frame to be sent on a stream, or to another relay.
type Frame struct {
	Name  string // gateway or relay to send to; empty in the output of a Client
	Epoch uint64 // epoch of the stream; 0 for a frame to a relay
	Kind  node.Kind
	Body  []byte
}

// ClosedStream is a stream that a relay closes, and the reason.
type ClosedStream struct {
	Name   string
	Epoch  uint64
	Reason string
}

// RouterOutput is what the caller of a Router must do, in the order of the fields. The frames to one stream or
// relay are in order. Their bodies are not modified later and may be shared by several frames.
type RouterOutput struct {
	ToStream []Frame
	ToRelay  []Frame
	ToNode   []Record       // passed to node.Node.Receive by From, Kind and Body
	Closed   []ClosedStream // these streams have ended; calling StreamEnded for them is optional
}

// RouterStatus is the status of a relay.
type RouterStatus struct {
	Streams int            `json:"streams"`
	Limit   int            `json:"bound"`  // current limit of Streams
	Routes  int            `json:"routes"` // gateways with a stream to any relay
	Relays  map[string]int `json:"relays"` // number of streams of each relay that is up, this one included
	// Counts since the start.
	Joins, Rejected, Closed, Dropped, Malformed uint64
}

// Dial is a stream to be opened: the caller connects, sends the join request, and then calls Joined or Ended.
type Dial struct {
	Relay string
	Join  JoinRequest // join request, whose Epoch identifies the stream
}

// ClientOutput is what the caller of a Client must do, in the order of the fields.
type ClientOutput struct {
	Dial     []Dial
	ToStream []Frame
	ToNode   []Record
	Close    []uint64 // epochs of streams that have ended; calling Ended for them is optional
	// Reconnected reports that the gateway has a new stream: the caller must call node.Node.Reconnected, and
	// data that is tracked by version must be requested again.
	Reconnected bool
	// Outdated reports that a relay has seen a later stream of this disk, so the disk is an older copy.
	Outdated bool
	Log      []node.LogEntry
}

// ClientStatus is the status of a gateway's connection to its relay.
type ClientStatus struct {
	Relay     string        `json:"relay"` // "" if there is none
	Epoch     uint64        `json:"epoch"`
	Since     time.Duration `json:"since"` // time of the clock that is passed to the Client
	Preferred string        `json:"first"` // the most preferred relay of the gateway
	Moves     uint64        `json:"moves"` // streams that were accepted since the start, the first one included
	// Ends counts, by cause, the streams that ended, the attempts that failed, and the searches for another relay.
	Ends map[string]uint64 `json:"ends"`
}
