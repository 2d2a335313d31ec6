// Package relay brings the words of a fleet's gateways to one another where the fleet has relays:
// each gateway holds one stream to one relay, and only relays are connected with one another. A
// Router is a relay's part, a Client a gateway's. Neither does I/O nor reads a clock: events come
// in with the time, and what is to be sent, opened and closed comes out.
package relay

import (
	"time"

	"dunemoor/internal/cluster/node"
)

// All is the name of everybody but the sender.
const All = node.Broadcast

// Kinds of frames beside those of member; 0 is of one that only says that the sender is there.
const (
	KindIdle   node.Kind = 0
	KindRecord node.Kind = 3 // records, one behind the other: on streams and between relays
	KindJoin   node.Kind = 4 // a gateway's first frame on a stream: JSON, a Join
	KindAnswer node.Kind = 5 // a relay's first: JSON, an Answer; the stream ends if it is not taken
	KindBeat   node.Kind = 6 // a relay is there: a Beat
	KindRoutes node.Kind = 7 // which gateways a relay holds, between relays
)

// Times.
const (
	// TickEvery is how often Tick is to be called, at relays and gateways: it is the most that a
	// record waits at each relay for others to go with it (see batchEvery).
	TickEvery = batchEvery
	// beatEvery lies between two frames of a relay on a stream: two may come late or be lost
	// before heardMost is over.
	beatEvery = 500 * time.Millisecond
	// idleEvery lies between two frames of a gateway on a stream.
	idleEvery = time.Second
	// heardMost is how long a gateway waits for anything from its relay. A session lasts 2.94 s by
	// its owner's clock and is renewed each second: the last renewal before the relay died is 1 s
	// old at most, so that 1 + heardMost + DialMost leaves 0.3 s for the renewal by the next relay.
	heardMost = 1200 * time.Millisecond
	// DialMost is how long a gateway waits for the answer to a join, the dial included; behind it
	// whoever dials gives up and says that the stream has ended.
	DialMost = 400 * time.Millisecond
	// silentMost is how long a relay keeps a stream on which nothing comes: three times idleEvery.
	silentMost = 3 * time.Second
	// answerMost is how long renewals may go unanswered, though the relay is there, before the
	// gateway takes another relay; it doubles with each such move up to answerLongest, as nobody
	// is helped by a fleet that goes round while there is no leader.
	answerMost    = 1300 * time.Millisecond
	answerLongest = 20 * time.Second
	// redialMost is the most that a gateway waits by chance before it dials the next relay, where
	// a stream has ended: those of a relay that died come within it.
	redialMost = 50 * time.Millisecond
	// betterLeast and betterMost lie between two looks of a gateway for a relay that it would
	// rather have: 4,700 gateways going home make 100 to 160 moves a second.
	betterLeast = 30 * time.Second
	betterMost  = 60 * time.Second
	// batchEvery is how long records to another relay are gathered: a word crosses two relays
	// within 40 ms, and 15 links carry 50 frames a second each at most.
	batchEvery = 20 * time.Millisecond
)

// Bounds.
const (
	// StreamsMost is how many streams a relay takes: 4,700 gateways on half of 16 relays are 588,
	// and this is twice that.
	StreamsMost = 1200
	// JoinsMost is how many joins a relay takes in a second: those of a relay that died come to
	// the others at some 25 each; a join costs a relay some 100 us with its handshake.
	JoinsMost = 500
	// QueueMost is how many bytes may wait for a gateway: who is further behind is cut, and comes
	// back by version. 1,200 such are 300 MB at most, and a gateway at rest has none.
	QueueMost = 256 << 10
	// batchMost is how many bytes to another relay are gathered: more go at once.
	batchMost = 64 << 10
	// evenHundredths bounds a relay's load, in hundredths of the mean of those that are up: with a fourth
	// more than the mean a gateway finds its first choice mostly.
	evenHundredths = 125
	// streamsLeast is how many streams a relay takes whatever the mean is: small fleets have no
	// use for being even.
	streamsLeast = 16
	// NameMost is how many bytes a name has at most, RecordMost a record's body.
	NameMost   = 96
	RecordMost = 4 << 20
)

// Relay is one of the fleet's, as its file says.
type Relay struct{ Name, Zone, Region string }

// Config is who a process is; Epochs grow with Boots, of its disk.
type Config struct {
	Name, Zone, Region   string
	Replica, Boots, Seed uint64
}

// Join asks for a stream to be taken.
type Join struct {
	Name    string `json:"name"`
	Replica uint64 `json:"replica"`
	Epoch   uint64 `json:"epoch"`
	Zone    string `json:"zone,omitempty"`
	Region  string `json:"region,omitempty"`
	// Must is set by who was refused by all for want of room, and asks the emptiest.
	Must bool `json:"must,omitempty"`
}

// Answer is a relay's to a Join.
type Answer struct {
	Taken bool   `json:"taken"`
	Why   string `json:"why,omitempty"`
	// Try is a relay with room, In when to come back here; both of one that is not taken.
	Try string        `json:"try,omitempty"`
	In  time.Duration `json:"in,omitempty"` // ns
	// Older says that a later stream of this disk is known: the disk was put back from a copy.
	Older bool `json:"older,omitempty"`
}

// Frame is one to a stream, or to another relay.
type Frame struct {
	Name  string // of the gateway or relay; a Client leaves it empty
	Epoch uint64 // of the stream; 0: to a relay
	Kind  node.Kind
	Body  []byte
}

// Stream is one that is to be cut.
type Stream struct {
	Name  string
	Epoch uint64
	Why   string
}

// Out is what a Router wants done, in this order. What is for one stream or relay stays in order;
// bodies are not changed any more and may be shared among frames.
type Out struct {
	ToStream []Frame
	ToRelay  []Frame
	ToMember []Record // to member.Receive, by From, Kind and Body
	Cut      []Stream // these have ended: no Left is to follow, nor does one harm
}

// RouterStatus is how a relay stands.
type RouterStatus struct {
	Streams int            `json:"streams"`
	Bound   int            `json:"bound"`  // streams that it takes now
	Routes  int            `json:"routes"` // gateways known at all relays
	Relays  map[string]int `json:"relays"` // streams of each relay that is up, this one among them
	// Counted since the start.
	Joins, Refused, Cuts, Dropped, Bad uint64
}

// Dial is a stream to be opened: a connection, the Join on it, and then Joined or Ended.
type Dial struct {
	Relay string
	Join  Join // its Epoch names the stream
}

// ClientOut is what a Client wants done, in this order.
type ClientOut struct {
	Dial     []Dial
	ToStream []Frame
	ToMember []Record
	Close    []uint64 // epochs: no Ended is to follow, nor does one harm
	// Moved says that the gateway has a stream anew: member.Moved is to be called, and what is known
	// by version asked for again.
	Moved bool
	// Older says that a relay knows a later stream of this disk: it is a copy from before.
	Older bool
	Lines []node.LogEntry
}

// ClientStatus is how a gateway stands with its relay.
type ClientStatus struct {
	Relay string        `json:"relay"` // "": none
	Epoch uint64        `json:"epoch"`
	Since time.Duration `json:"since"` // on the clock of the events
	First string        `json:"first"` // the relay that it would have
	Moves uint64        `json:"moves"` // streams that were taken since the start
	// Ends counts what ended a stream or a try, by cause.
	Ends map[string]uint64 `json:"ends"`
}
