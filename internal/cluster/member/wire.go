package member

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
	KindRaft Kind = 1 // messages of replicas: group and length, 4 bytes each little-endian, and the message
	KindTalk Kind = 2 // JSON, a Talk
)

// Hello is what two gateways tell one another first.
type Hello struct {
	Fleet   string `json:"fleet"`
	Format  int    `json:"format"`
	Name    string `json:"name"`
	Replica uint64 `json:"replica"`
	Birth   uint64 `json:"birth"`
	Boots   uint64 `json:"boots"`
	Term    uint64 `json:"term"` // of the record's replica, as it was at the start
	Last    uint64 `json:"last"` // index of its last entry then
	Address string `json:"addr,omitempty"`
}

// Format is of frames and talk: gateways of another do not talk with us.
const Format = 1

// Talk is what gateways say to one another beside the replicas' messages; one field is set.
type Talk struct {
	Hello   *Hello   `json:"hello,omitempty"`
	Welcome *Welcome `json:"welcome,omitempty"`
	Renew   *Renew   `json:"renew,omitempty"`
	Ack     *Ack     `json:"ack,omitempty"`
	Ask     *Ask     `json:"ask,omitempty"`
	Answer  *Answer  `json:"answer,omitempty"`
	News    *News    `json:"news,omitempty"`
	Want    *Want    `json:"want,omitempty"`
}

// Want asks the owner of a duty to tell what it has; Body is the duty's own.
type Want struct {
	Duty string `json:"duty"`
	Body []byte `json:"body,omitempty"`
}

// Welcome is what a gateway has to say to another's Hello.
type Welcome struct {
	Replica uint64 `json:"replica"`       // whose hello it was
	Object  string `json:"why,omitempty"` // why its disk can't be the one that we know; "": nothing
}

// Renew asks for a session to go on.
type Renew struct {
	Session uint64 `json:"session"`
	Seq     uint64 `json:"seq"`
	Heard   uint64 `json:"heard"`          // the last that was answered: a gateway that hears nothing is none that lives
	Known   uint64 `json:"known"`          // index of the view that is known
	Lean    bool   `json:"lean,omitempty"` // of the members only the asker, and how many there are
}

// Ack is the leader's word on a renewal, confirmed by a quorum, or news of the record.
type Ack struct {
	Session uint64            `json:"session"`
	Seq     uint64            `json:"seq,omitempty"` // 0: news only, nothing is renewed
	Gone    bool              `json:"gone,omitempty"`
	Again   bool              `json:"again,omitempty"` // nothing is renewed before the leader knows that this was heard
	Lead    string            `json:"lead,omitempty"`  // who leads, where it is not the sender
	Term    uint64            `json:"term,omitempty"`
	View    *lease.StateDelta `json:"view,omitempty"`
}

// Ask is a command for the record.
type Ask struct {
	ID      uint64        `json:"id"`
	Command lease.Command `json:"c"`
}

// Answer is what came of it, or who leads.
type Answer struct {
	ID     uint64        `json:"id"`
	Not    bool          `json:"not,omitempty"` // we do not lead, nothing was done
	Lead   string        `json:"lead,omitempty"`
	Result *lease.Result `json:"r,omitempty"`
}

// News is what the owner of a duty tells the other gateways.
type News struct {
	Duty  string `json:"duty"`
	Token uint64 `json:"token"`
	Seq   uint64 `json:"seq"`
	Body  []byte `json:"body"`
}

func talkBytes(t *Talk) []byte {
	b, err := json.Marshal(t)
	if err != nil {
		panic(err) // strings, numbers and bytes
	}
	return b
}

// raftBytes puts messages to one replica's gateway into one frame: heartbeats of all groups go
// together.
func raftBytes(dst []byte, e *quorum.Envelope) []byte {
	b, err := proto.Marshal(e.Message)
	if err != nil {
		panic(err)
	}
	dst = binary.LittleEndian.AppendUint32(dst, uint32(e.Group))
	dst = binary.LittleEndian.AppendUint32(dst, uint32(len(b)))
	return append(dst, b...)
}

var errGarbled = errors.New("a frame that can't be read")

// ReadRaft reads a frame of replicas' messages.
func ReadRaft(b []byte, each func(quorum.Group, *pb.Message)) error {
	for len(b) > 0 {
		if len(b) < 8 {
			return errGarbled
		}
		g, n := quorum.Group(binary.LittleEndian.Uint32(b)), binary.LittleEndian.Uint32(b[4:])
		if b = b[8:]; uint64(n) > uint64(len(b)) {
			return errGarbled
		}
		m := &pb.Message{}
		if err := proto.Unmarshal(b[:n], m); err != nil {
			return errGarbled
		}
		for _, e := range m.GetEntries() {
			if e == nil {
				return errGarbled
			}
		}
		each(g, m)
		b = b[n:]
	}
	return nil
}

// ReadTalk reads a frame of talk.
func ReadTalk(b []byte) (*Talk, error) {
	t := &Talk{}
	if err := json.Unmarshal(b, t); err != nil {
		return nil, errGarbled
	}
	return t, nil
}
