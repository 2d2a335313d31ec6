// Package relay carries the messages of a fleet's gateways in a fleet with relays: each gateway has one
// stream to one relay, and only relays are connected to one another. A [Router] is a relay's part, a
// [Client] a gateway's.
//
// Neither does I/O nor reads a clock: events come in as method calls with the time, and what has to be
// sent, opened and closed comes out of TakeOutput.
package relay

import (
	"time"

	"dunemoor/internal/cluster/node"
)

// Broadcast addresses everybody but the sender.
const Broadcast = node.Broadcast

// Kinds of frames beside those of package node.
const (
	KindIdle      node.Kind = 0 // the sender is alive
	KindRecord    node.Kind = 3 // records, one after the other: on streams and between relays
	KindJoin      node.Kind = 4 // a gateway's first frame on a stream: JSON, a JoinRequest
	KindJoinReply node.Kind = 5 // a relay's first frame: JSON, a JoinReply; the stream ends unless it is accepted
	KindHeartbeat node.Kind = 6 // a relay is alive, and which relays have capacity
	KindRoutes    node.Kind = 7 // which gateways have a stream to a relay, between relays
)

// Times.
const (
	// TickInterval is how often Tick is to be called, at relays and gateways.
	TickInterval = batchInterval
	// batchInterval is how long records for another relay are collected: a record passes two relays
	// within 40 ms, and each of 15 links carries 50 frames a second at most.
	batchInterval = 20 * time.Millisecond
	// heartbeatInterval lies between two frames of a relay on a stream: two may be late or lost before
	// relayTimeout is over.
	heartbeatInterval = 500 * time.Millisecond
	// keepaliveInterval lies between two frames of a gateway on a stream.
	keepaliveInterval = time.Second
	// relayTimeout is how long a gateway waits for any frame of its relay. A session lasts 2.94 s by its
	// holder's clock and is renewed each second: the last renewal before the relay died is 1 s old at
	// most, so that 1 s + relayTimeout + DialTimeout leaves 0.3 s for the renewal by the next relay.
	relayTimeout = 1200 * time.Millisecond
	// DialTimeout is how long a gateway waits for the reply to a join request, from the start of the
	// dial. The dialler then reports the stream as ended.
	DialTimeout = 400 * time.Millisecond
	// streamTimeout is how long a relay keeps a stream without a frame: three keepalive intervals.
	streamTimeout = 3 * time.Second
	// minReplyTimeout is how long renewals may go without a reply, although the relay is alive, before
	// the gateway chooses another relay. It doubles with each such move up to maxReplyTimeout, as moving
	// does not help while the fleet has no leader.
	minReplyTimeout = 1300 * time.Millisecond
	maxReplyTimeout = 20 * time.Second
	// maxRedialDelay bounds the random delay before a gateway dials again after a stream has ended: the
	// gateways of a relay that died are spread over it.
	maxRedialDelay = 50 * time.Millisecond
	// minReselectInterval and maxReselectInterval bound the random interval at which a gateway looks for
	// a relay that it prefers: 4,700 gateways returning home make 100 to 160 moves a second.
	minReselectInterval = 30 * time.Second
	maxReselectInterval = 60 * time.Second
)

// Limits.
const (
	// MaxStreams is how many streams a relay accepts: 4,700 gateways on half of 16 relays are 588, and
	// this is twice that.
	MaxStreams = 1200
	// MaxJoinRate is how many joins a relay accepts a second. The gateways of a relay that died make
	// some 25 joins at each other one; a join costs a relay some 100 us with its handshake.
	MaxJoinRate = 500
	// MaxQueueBytes is how many bytes may wait for a gateway. One that is further behind is
	// disconnected, and catches up by version. 1,200 of them are 300 MB at most; an idle one has none.
	MaxQueueBytes = 256 << 10
	// maxBatchBytes is how many bytes for another relay are collected before they are sent.
	maxBatchBytes = 64 << 10
	// maxLoadPercent bounds a relay's streams, as a percentage of the mean of the relays that are up:
	// with a quarter more than the mean a gateway mostly gets the relay that it prefers.
	maxLoadPercent = 125
	// minStreamLimit is the least limit of a relay's streams: balance is of no use to a small fleet.
	minStreamLimit = 16
	// MaxNameBytes bounds a name, MaxRecordBytes the body of a record.
	MaxNameBytes   = 96
	MaxRecordBytes = 4 << 20
)

// Relay is one of the fleet's relays, from the configuration.
type Relay struct{ Name, Zone, Region string }

// Config describes a process. Epochs grow with Boots, which is of its disk.
type Config struct {
	Name, Zone, Region     string
	ReplicaID, Boots, Seed uint64
}

// JoinRequest asks a relay to accept a stream.
type JoinRequest struct {
	Name      string `json:"name"`
	ReplicaID uint64 `json:"replica"`
	Epoch     uint64 `json:"epoch"` // identifies the stream, and grows with each of this disk
	Zone      string `json:"zone,omitempty"`
	Region    string `json:"region,omitempty"`
	// Force is set by a gateway that was rejected by all relays for want of capacity, in a request to
	// the one with the fewest streams.
	Force bool `json:"must,omitempty"`
}

// JoinReply is a relay's reply to a JoinRequest.
type JoinReply struct {
	Accepted bool   `json:"taken"`
	Reason   string `json:"why,omitempty"` // of a rejection
	// Alternative is a relay with capacity, RetryAfter when to ask this one again; both of a rejection.
	Alternative string        `json:"try,omitempty"`
	RetryAfter  time.Duration `json:"in,omitempty"` // ns
	// Outdated reports that a later stream of this disk is known: the disk is an older copy.
	Outdated bool `json:"older,omitempty"`
}

// reasonNoCapacity is the Reason of a relay with too many streams. Clients compare it.
const reasonNoCapacity = "no room"

// Frame is to be sent on a stream, or to another relay.
type Frame struct {
	Name  string // of the gateway or relay; empty from a Client
	Epoch uint64 // of the stream; 0: to a relay
	Kind  node.Kind
	Body  []byte
}

// ClosedStream is a stream that a relay closes.
type ClosedStream struct {
	Name   string
	Epoch  uint64
	Reason string
}

// RouterOutput is what a Router wants done, in this order. Frames of one stream or relay are in order;
// their bodies are not changed any more and may be shared by several frames.
type RouterOutput struct {
	ToStream []Frame
	ToRelay  []Frame
	ToNode   []Record       // for node.Node.Receive, by From, Kind and Body
	Closed   []ClosedStream // these have ended: no StreamEnded has to follow, though it does no harm
}

// RouterStatus is the status of a relay.
type RouterStatus struct {
	Streams int            `json:"streams"`
	Limit   int            `json:"bound"`  // of streams, at present
	Routes  int            `json:"routes"` // gateways known at all relays
	Relays  map[string]int `json:"relays"` // streams of each relay that is up, this one included
	// Counted since the start.
	Joins, Rejected, Closed, Dropped, Malformed uint64
}

// Dial is a stream to be opened: a connection with the request on it, and then Joined or Ended.
type Dial struct {
	Relay string
	Join  JoinRequest // its Epoch identifies the stream
}

// ClientOutput is what a Client wants done, in this order.
type ClientOutput struct {
	Dial     []Dial
	ToStream []Frame
	ToNode   []Record
	Close    []uint64 // epochs: no Ended has to follow, though it does no harm
	// Reconnected reports that the gateway has a new stream: node.Node.Reconnected is to be called, and
	// what is known by version to be requested again.
	Reconnected bool
	// Outdated reports that a relay knows a later stream of this disk, which is an older copy.
	Outdated bool
	Log      []node.LogEntry
}

// ClientStatus is the status of a gateway's connection.
type ClientStatus struct {
	Relay     string        `json:"relay"` // "": none
	Epoch     uint64        `json:"epoch"`
	Since     time.Duration `json:"since"` // on the clock of the events
	Preferred string        `json:"first"` // relay that it prefers to all others
	Moves     uint64        `json:"moves"` // streams that were accepted since the start
	// Ends counts the streams and attempts that ended, by cause.
	Ends map[string]uint64 `json:"ends"`
}
