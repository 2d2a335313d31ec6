package relay

import (
	"reflect"
	"testing"

	"dunemoor/internal/cluster/node"
	"dunemoor/internal/testutil/compat"
)

// The messages between relays and gateways keep their bytes.
func TestCompatFormats(t *testing.T) {
	compat.JSON(t, "join.json", &JoinRequest{})
	compat.JSON(t, "answer.json", &JoinReply{})
	compat.JSON(t, "routes.json", &routeUpdate{})
	compat.Values(t, "kinds.txt", KindIdle, KindRecord, KindJoin, KindJoinReply, KindHeartbeat, KindRoutes, Broadcast)
}

// Records keep their bytes, and those of an earlier build are read.
func TestCompatRecords(t *testing.T) {
	want := []Record{
		{To: "g1", Kind: node.KindMessage, Body: []byte("from a gateway")},
		{To: Broadcast, From: "g2", ReplicaID: 1 << 40, Epoch: 3<<32 | 1, Seq: 300, Kind: node.KindMessage, Body: []byte("for all")},
		{From: "r1", ReplicaID: 5, Epoch: 6, Seq: 7, Kind: node.KindMessage},
	}
	var b []byte
	for i := range want {
		b = AppendRecord(b, &want[i])
	}
	compat.Bytes(t, "records.bin", b)
	var got []Record
	if malformed := ReadRecords(compat.Read(t, "records.bin"), func(r *Record) { got = append(got, *r) }); malformed != 0 {
		t.Errorf("malformed records: got %d, want 0", malformed)
	}
	want[2].Body = []byte{}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("records: got %+v, want %+v", got, want)
	}
}

// Gateways and relays of two builds draw the same order, and read one another's heartbeats.
func TestCompatOrder(t *testing.T) {
	f := newTopology([]Relay{{"r2", "z2", "north"}, {"r1", "z1", "north"}, {"r3", "z3", "south"}, {"r4", "z1", "north"}})
	compat.Values(t, "order.txt", f.preference("g1", "z1", "north"), f.preference("g2", "z1", "north"), f.preference("g3", "z3", "south"))
	compat.Bytes(t, "beat.bin", f.encodeHeartbeat(func(r *Relay) bool { return r.Zone != "z1" }))
	for i, want := range []bool{false, true, true, false} {
		if got := f.hasCapacity(compat.Read(t, "beat.bin"), i); got != want {
			t.Errorf("relay %d has capacity: got %t, want %t", i, got, want)
		}
	}
}
