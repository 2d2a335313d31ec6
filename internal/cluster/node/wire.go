package node

import (
	"encoding/binary"
	"encoding/json"
	"errors"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"dunemoor/internal/cluster/lease"
	"dunemoor/internal/cluster/quorum"
)

// Kind is what a frame between two gateways carries.
type Kind byte

// The kinds.
const (
	KindRaft    Kind = 1 // messages of replicas: group and length, 4 bytes each little-endian, and the message
	KindMessage Kind = 2 // JSON, a Talk
)

// Hello is what two gateways tell one another first.
type Hello struct {
	Fleet     string `json:"fleet"`
	Format    int    `json:"format"`
	Name      string `json:"name"`
	ReplicaID uint64 `json:"replica"`
	ClusterID uint64 `json:"birth"`
	Boots     uint64 `json:"boots"`
	Term      uint64 `json:"term"` // of the record's replica, as it was at the start
	LastIndex uint64 `json:"last"` // index of its last entry then
	Address   string `json:"addr,omitempty"`
}

// Format is of frames and talk: gateways of another do not talk with us.
const FormatVersion = 1

// Talk is what gateways say to one another beside the replicas' messages; one field is set.
type Message struct {
	Hello         *Hello         `json:"hello,omitempty"`
	HelloReply    *HelloReply    `json:"welcome,omitempty"`
	Renew         *RenewRequest  `json:"renew,omitempty"`
	RenewReply    *RenewReply    `json:"ack,omitempty"`
	Proposal      *Proposal      `json:"ask,omitempty"`
	ProposalReply *ProposalReply `json:"answer,omitempty"`
	Publication   *Publication   `json:"news,omitempty"`
	ResyncRequest *ResyncRequest `json:"want,omitempty"`
}

// Want asks the owner of a duty to tell what it has; Body is the duty's own.
type ResyncRequest struct {
	Lease string `json:"duty"`
	Body  []byte `json:"body,omitempty"`
}

// Welcome is what a gateway has to say to another's Hello.
type HelloReply struct {
	ReplicaID uint64 `json:"replica"`       // whose hello it was
	Objection string `json:"why,omitempty"` // why its disk can't be the one that we know; "": nothing
}

// Renew asks for a session to go on.
type RenewRequest struct {
	Session       uint64 `json:"session"`
	Seq           uint64 `json:"seq"`
	AckedSeq      uint64 `json:"heard"`          // the last that was answered: a gateway that hears nothing is none that lives
	KnownRevision uint64 `json:"known"`          // index of the view that is known
	Compact       bool   `json:"lean,omitempty"` // of the members only the asker, and how many there are
}

// Ack is the leader's word on a renewal, confirmed by a quorum, or news of the record.
type RenewReply struct {
	Session     uint64            `json:"session"`
	Seq         uint64            `json:"seq,omitempty"` // 0: news only, nothing is renewed
	Expired     bool              `json:"gone,omitempty"`
	Unconfirmed bool              `json:"again,omitempty"` // nothing is renewed before the leader knows that this was heard
	Leader      string            `json:"lead,omitempty"`  // who leads, where it is not the sender
	Term        uint64            `json:"term,omitempty"`
	Delta       *lease.StateDelta `json:"view,omitempty"`
}

// Ask is a command for the record.
type Proposal struct {
	ID      uint64        `json:"id"`
	Command lease.Command `json:"c"`
}

// Answer is what came of it, or who leads.
type ProposalReply struct {
	ID        uint64        `json:"id"`
	NotLeader bool          `json:"not,omitempty"` // we do not lead, nothing was done
	Leader    string        `json:"lead,omitempty"`
	Result    *lease.Result `json:"r,omitempty"`
}

// News is what the owner of a duty tells the other gateways.
type Publication struct {
	Lease string `json:"duty"`
	Token uint64 `json:"token"`
	Seq   uint64 `json:"seq"`
	Body  []byte `json:"body"`
}

func encodeMessage(t *Message) []byte {
	b, err := json.Marshal(t)
	if err != nil {
		panic(err) // strings, numbers and bytes
	}
	return b
}

// raftBytes puts messages to one replica's gateway into one frame: heartbeats of all groups go
// together.
func appendRaftMessage(dst []byte, e *quorum.Envelope) []byte {
	b, err := proto.Marshal(e.Message)
	if err != nil {
		panic(err)
	}
	dst = binary.LittleEndian.AppendUint32(dst, uint32(e.Group))
	dst = binary.LittleEndian.AppendUint32(dst, uint32(len(b)))
	return append(dst, b...)
}

var errMalformedFrame = errors.New("a frame that can't be read")

// ReadRaft reads a frame of replicas' messages.
func DecodeRaftFrame(b []byte, each func(quorum.Group, *pb.Message)) error {
	for len(b) > 0 {
		if len(b) < 8 {
			return errMalformedFrame
		}
		g, n := quorum.Group(binary.LittleEndian.Uint32(b)), binary.LittleEndian.Uint32(b[4:])
		if b = b[8:]; uint64(n) > uint64(len(b)) {
			return errMalformedFrame
		}
		m := &pb.Message{}
		if err := proto.Unmarshal(b[:n], m); err != nil {
			return errMalformedFrame
		}
		for _, e := range m.GetEntries() {
			if e == nil {
				return errMalformedFrame
			}
		}
		each(g, m)
		b = b[n:]
	}
	return nil
}

// ReadTalk reads a frame of talk.
func DecodeMessage(b []byte) (*Message, error) {
	t := &Message{}
	if err := json.Unmarshal(b, t); err != nil {
		return nil, errMalformedFrame
	}
	return t, nil
}
