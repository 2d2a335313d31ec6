package node

import (
	"testing"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"dunemoor/internal/cluster/multiraft"
	"dunemoor/internal/testutil/compat"
)

// Gateways of two builds exchange messages, and operators' tools read the status.
func TestCompatFormats(t *testing.T) {
	compat.JSON(t, "talk.json", &Message{})
	compat.JSON(t, "hello.json", &Hello{})
	compat.JSON(t, "words.json", &OverrideSet{})
	compat.JSON(t, "names.json", &replicaNames{})
	compat.JSON(t, "status.json", &Status{})
	compat.Values(t, "kinds.txt", KindRaft, KindMessage, FormatVersion, CoordinationGroup)
}

// A frame with the messages of two groups.
func TestCompatRaftFrame(t *testing.T) {
	m := &raftpb.Message{
		Type: raftpb.MsgApp.Enum(), To: new(uint64(2)), From: new(uint64(1)), Term: new(uint64(3)), LogTerm: new(uint64(2)), Index: new(uint64(4)),
		Commit: new(uint64(4)), Entries: []*raftpb.Entry{{Term: new(uint64(3)), Index: new(uint64(5)), Data: []byte("command")}},
	}
	h := &raftpb.Message{Type: raftpb.MsgHeartbeat.Enum(), To: new(uint64(2)), From: new(uint64(1)), Term: new(uint64(3))}
	b := appendRaftMessage(nil, &multiraft.Envelope{Group: CoordinationGroup, To: 2, Message: m})
	b = appendRaftMessage(b, &multiraft.Envelope{Group: 9, To: 2, Message: h})
	compat.Bytes(t, "raft.bin", b)
	var got []*raftpb.Message
	var groups []multiraft.Group
	err := DecodeRaftFrame(compat.Read(t, "raft.bin"), func(g multiraft.Group, m *raftpb.Message) {
		got, groups = append(got, m), append(groups, g)
	})
	if err != nil || len(got) != 2 || !proto.Equal(got[0], m) || !proto.Equal(got[1], h) || groups[0] != CoordinationGroup || groups[1] != 9 {
		t.Errorf("%v: groups %v, messages %v", err, groups, got)
	}
}
