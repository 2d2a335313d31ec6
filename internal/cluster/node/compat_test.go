package node

import (
	"slices"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"dunemoor/internal/cluster/multiraft"
	"dunemoor/internal/testutil/compat"
)

// The messages between gateways and the status, which operators' tools read, keep their keys.
func TestCompatFormats(t *testing.T) {
	compat.JSON(t, "talk.json", &Message{})
	compat.JSON(t, "hello.json", &Hello{})
	compat.JSON(t, "words.json", &OverrideSet{})
	compat.JSON(t, "names.json", &replicaNames{})
	compat.JSON(t, "status.json", &Status{})
	compat.Values(t, "kinds.txt", KindRaft, KindMessage, FormatVersion, CoordinationGroup)
}

// A frame with the messages of two groups keeps its bytes, and one of an earlier build is read.
func TestCompatRaftFrame(t *testing.T) {
	entries := &raftpb.Message{
		Type: raftpb.MsgApp.Enum(), To: new(uint64(2)), From: new(uint64(1)), Term: new(uint64(3)), LogTerm: new(uint64(2)), Index: new(uint64(4)),
		Commit: new(uint64(4)), Entries: []*raftpb.Entry{{Term: new(uint64(3)), Index: new(uint64(5)), Data: []byte("command")}},
	}
	heartbeat := &raftpb.Message{Type: raftpb.MsgHeartbeat.Enum(), To: new(uint64(2)), From: new(uint64(1)), Term: new(uint64(3))}
	b := appendRaftMessage(nil, &multiraft.Envelope{Group: CoordinationGroup, To: 2, Message: entries})
	b = appendRaftMessage(b, &multiraft.Envelope{Group: 9, To: 2, Message: heartbeat})
	compat.Bytes(t, "raft.bin", b)
	var got []*raftpb.Message
	var groups []multiraft.Group
	err := DecodeRaftFrame(compat.Read(t, "raft.bin"), func(g multiraft.Group, m *raftpb.Message) {
		got, groups = append(got, m), append(groups, g)
	})
	if err != nil {
		t.Fatalf("DecodeRaftFrame: got %v, want no error", err)
	}
	if want := []multiraft.Group{CoordinationGroup, 9}; !slices.Equal(groups, want) {
		t.Errorf("groups: got %v, want %v", groups, want)
	}
	want := []*raftpb.Message{entries, heartbeat}
	equal := func(a, b *raftpb.Message) bool { return proto.Equal(a, b) }
	if !slices.EqualFunc(got, want, equal) {
		t.Errorf("messages: got %v, want %v", got, want)
	}
}
