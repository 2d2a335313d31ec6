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

// Kind is what a frame between two gateways carries.
type Kind byte

// Kinds of frames. Package relay has further ones.
const (
	KindRaft    Kind = 1 // Raft messages: group and length, 4 bytes each little-endian, and the message
	KindMessage Kind = 2 // JSON: a Message
)

// FormatVersion is the version of frames and messages. Gateways with another one are not connected.
const FormatVersion = 1

// Message is what gateways send to one another beside Raft messages. One field is set.
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

// Hello is the first message between two gateways.
type Hello struct {
	Fleet     string `json:"fleet"`
	Format    int    `json:"format"`
	Name      string `json:"name"`
	ReplicaID uint64 `json:"replica"`
	ClusterID uint64 `json:"birth"`
	Boots     uint64 `json:"boots"`
	Term      uint64 `json:"term"` // of the coordination group, as the disk has it
	LastIndex uint64 `json:"last"` // of the group's log, as the disk has it
	Address   string `json:"addr,omitempty"`
}

// HelloReply answers a Hello.
type HelloReply struct {
	ReplicaID uint64 `json:"replica"`       // of the Hello
	Objection string `json:"why,omitempty"` // why its disk must be an older copy; "": there is no objection
}

// RenewRequest asks to renew a session.
type RenewRequest struct {
	Session       uint64 `json:"session"`
	Seq           uint64 `json:"seq"`
	AckedSeq      uint64 `json:"heard"`          // the last that was replied to: a gateway that receives nothing is not alive
	KnownRevision uint64 `json:"known"`          // of the sender's view
	Compact       bool   `json:"lean,omitempty"` // a compact delta is wanted
}

// RenewReply is the leader's reply to a renewal, after a quorum has confirmed that it leads. Leaders
// also send it by themselves, with Seq 0, when the state has changed.
type RenewReply struct {
	Session     uint64            `json:"session"`
	Seq         uint64            `json:"seq,omitempty"`
	Expired     bool              `json:"gone,omitempty"`  // there is no such session
	Unconfirmed bool              `json:"again,omitempty"` // not renewed: the gateway has to acknowledge this reply first
	Leader      string            `json:"lead,omitempty"`  // who leads, where it is not the sender
	Term        uint64            `json:"term,omitempty"`
	Delta       *lease.StateDelta `json:"view,omitempty"`
}

// Proposal is a command to be carried out.
type Proposal struct {
	ID      uint64        `json:"id"`
	Command lease.Command `json:"c"`
}

// ProposalReply is the result of a Proposal, or says who leads.
type ProposalReply struct {
	ID        uint64        `json:"id"`
	NotLeader bool          `json:"not,omitempty"` // the sender does not lead: nothing was done
	Leader    string        `json:"lead,omitempty"`
	Result    *lease.Result `json:"r,omitempty"`
}

// Publication is what the holder of a lease sends to the other gateways. Seq grows under each token.
type Publication struct {
	Lease string `json:"duty"`
	Token uint64 `json:"token"`
	Seq   uint64 `json:"seq"`
	Body  []byte `json:"body"`
}

// ResyncRequest asks the holder of a lease for all that it has published.
type ResyncRequest struct {
	Lease string `json:"duty"`
	Body  []byte `json:"body,omitempty"`
}

// ErrMalformedFrame is returned for a frame that can't be decoded.
var ErrMalformedFrame = errors.New("malformed frame")

func encodeMessage(m *Message) []byte {
	b, err := json.Marshal(m)
	if err != nil {
		panic(err) // it consists of strings, numbers and bytes
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

// raftHeaderBytes is the size of the header of each message in a frame of KindRaft.
const raftHeaderBytes = 8

// appendRaftMessage appends a message to the body of a frame of KindRaft: the messages of all groups
// for one gateway share a frame.
func appendRaftMessage(dst []byte, e *multiraft.Envelope) []byte {
	b, err := proto.Marshal(e.Message)
	if err != nil {
		panic(err) // no field of it can fail
	}
	dst = binary.LittleEndian.AppendUint32(dst, uint32(e.Group))
	dst = binary.LittleEndian.AppendUint32(dst, uint32(len(b)))
	return append(dst, b...)
}

// DecodeRaftFrame calls each for the messages in the body of a frame of KindRaft, up to the first that
// is malformed.
func DecodeRaftFrame(b []byte, each func(multiraft.Group, *raftpb.Message)) error {
	for len(b) > 0 {
		if len(b) < raftHeaderBytes {
			return fmt.Errorf("%w: Raft header is cut off", ErrMalformedFrame)
		}
		group, length := multiraft.Group(binary.LittleEndian.Uint32(b)), binary.LittleEndian.Uint32(b[4:])
		if b = b[raftHeaderBytes:]; uint64(length) > uint64(len(b)) {
			return fmt.Errorf("%w: Raft message is cut off", ErrMalformedFrame)
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
