package node

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"dunemoor/internal/cluster/lease"
	"dunemoor/internal/cluster/multiraft"
)

// Kind is the type of a frame between two gateways.
type Kind byte

// Values of Kind. Package relay defines further ones.
const (
	KindRaft    Kind = 1 // Raft messages: group and length, 4 bytes each little-endian, and the message
	KindMessage Kind = 2 // a Message as JSON
)

// FormatVersion is the version of the frame and message formats. Gateways with different versions do not
// connect to each other.
const FormatVersion = 1

// Message is a message between gateways other than a Raft message. Exactly one field is set.
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

// Hello is the first message that a gateway sends on a connection to another gateway.
type Hello struct {
	Fleet     string `json:"fleet"`
	Format    int    `json:"format"`
	Name      string `json:"name"`
	ReplicaID uint64 `json:"replica"`
	ClusterID uint64 `json:"birth"`
	Boots     uint64 `json:"boots"`
	Term      uint64 `json:"term"` // persisted term of the coordination group
	LastIndex uint64 `json:"last"` // last persisted index of the group's log
	Address   string `json:"addr,omitempty"`
}

// HelloReply is the reply to a Hello.
type HelloReply struct {
	ReplicaID uint64 `json:"replica"`       // ReplicaID of the Hello
	Objection string `json:"why,omitempty"` // why the disk must be an older copy; empty if there is no objection
}

// RenewRequest is a request to renew a session.
type RenewRequest struct {
	Session uint64 `json:"session"`
	Seq     uint64 `json:"seq"`
	// AckedSeq is the last Seq with a reply. Renewals of a gateway that receives no replies are not accepted.
	AckedSeq      uint64 `json:"heard"`
	KnownRevision uint64 `json:"known"`          // revision of the sender's view
	Compact       bool   `json:"lean,omitempty"` // requests a compact delta
}

// RenewReply is the reply to a renewal. The leader sends it after a quorum has confirmed that it leads; a
// gateway that does not lead replies with the name of the leader. Leaders also send it unsolicited, with
// Seq 0, when the state has changed.
type RenewReply struct {
	Session     uint64            `json:"session"`
	Seq         uint64            `json:"seq,omitempty"`
	Expired     bool              `json:"gone,omitempty"`  // the session has ended, or its end has been proposed
	Unconfirmed bool              `json:"again,omitempty"` // no renewal: the gateway must first acknowledge this reply
	Leader      string            `json:"lead,omitempty"`  // name of the leader, if it is not the sender
	Term        uint64            `json:"term,omitempty"`
	Delta       *lease.StateDelta `json:"view,omitempty"`
}

// Proposal is a command that a gateway sends to the leader.
type Proposal struct {
	ID      uint64        `json:"id"`
	Command lease.Command `json:"c"`
}

// ProposalReply contains the result of a Proposal, or the name of the leader if the sender does not lead.
type ProposalReply struct {
	ID        uint64        `json:"id"`
	NotLeader bool          `json:"not,omitempty"` // the sender does not lead, and has not proposed the command
	Leader    string        `json:"lead,omitempty"`
	Result    *lease.Result `json:"r,omitempty"`
}

// Publication is data that the holder of a lease sends to the other gateways. Seq increases with each
// publication under the same token.
type Publication struct {
	Lease string `json:"duty"`
	Token uint64 `json:"token"`
	Seq   uint64 `json:"seq"`
	Body  []byte `json:"body"`
}

// ResyncRequest requests from the holder of a lease all data that it has published.
type ResyncRequest struct {
	Lease string `json:"duty"`
	Body  []byte `json:"body,omitempty"`
}

// ErrMalformedFrame is returned for a frame that can't be decoded.
var ErrMalformedFrame = errors.New("malformed frame")

func encodeMessage(m *Message) []byte {
	b, err := json.Marshal(m)
	if err != nil {
		panic(err) // unreachable: a message consists of strings, numbers and bytes
	}
	return b
}

// DecodeMessage decodes the body of a frame of KindMessage.
func DecodeMessage(b []byte) (*Message, error) {
	m := &Message{}
	if err := json.Unmarshal(b, m); err != nil {
		return nil, fmt.Errorf("%w: decode message: %w", ErrMalformedFrame, err)
	}
	return m, nil
}

// raftHeaderBytes is the size of the header before each message in a frame of KindRaft.
const raftHeaderBytes = 8

// appendRaftMessage appends a message to the body of a frame of KindRaft. One frame contains the messages
// of all groups for a gateway.
func appendRaftMessage(dst []byte, e *multiraft.Envelope) []byte {
	b, err := proto.Marshal(e.Message)
	if err != nil {
		panic(err) // unreachable: no field of the message can fail to encode
	}
	dst = binary.LittleEndian.AppendUint32(dst, uint32(e.Group))
	dst = binary.LittleEndian.AppendUint32(dst, uint32(len(b)))
	return append(dst, b...)
}

// DecodeRaftFrame calls each for every message in the body of a frame of KindRaft, up to the first
// malformed one.
func DecodeRaftFrame(b []byte, each func(multiraft.Group, *raftpb.Message)) error {
	for len(b) > 0 {
		if len(b) < raftHeaderBytes {
			return fmt.Errorf("%w: Raft header is truncated", ErrMalformedFrame)
		}
		group, length := multiraft.Group(binary.LittleEndian.Uint32(b)), binary.LittleEndian.Uint32(b[4:])
		if b = b[raftHeaderBytes:]; uint64(length) > uint64(len(b)) {
			return fmt.Errorf("%w: Raft message is truncated", ErrMalformedFrame)
		}
		m, err := decodeRaftMessage(b[:length])
		if err != nil {
			return err
		}
		each(group, m)
		b = b[length:]
	}
	return nil
}

func decodeRaftMessage(b []byte) (*raftpb.Message, error) {
	m := &raftpb.Message{}
	if err := proto.Unmarshal(b, m); err != nil {
		return nil, fmt.Errorf("%w: decode Raft message: %w", ErrMalformedFrame, err)
	}
	for _, e := range m.GetEntries() {
		if e == nil {
			return nil, fmt.Errorf("%w: Raft message has an empty entry", ErrMalformedFrame)
		}
	}
	return m, nil
}
