package faulttest

import (
	"bytes"
	"encoding/json"
	"reflect"
	"testing"
)

// The keys of /admin/fleet, as gateways of any build send them.
func TestCompatAdminStatus(t *testing.T) {
	const text = `{"id": "f", "name": "g1", "disk": 1, "role": "stopped", "why": "disk full", "leader": "g2", "term": 2, "commit": 3, "applied": 4,
		"session": 5, "expires_in_ms": 6, "members": [{"name": "g2", "session": 7}], "duties": [{"name": "list/web", "owner": "g2", "token": 8}],
		"keepers": [{"replica": 9, "name": "g2", "learner": true}], "sessions": 10, "words": [{"pool": "web", "host": "w1"}],
		"relay": {"name": "r1", "moves": 11}, "streams": {"streams": 12, "routes": 13, "relays": {"r1": 14}}}`
	want := Status{
		FleetID: "f", Name: "g1", ReplicaID: 1, Role: roleStopped, Reason: "disk full", Leader: "g2", Term: 2, Commit: 3, Applied: 4,
		Session: 5, ExpiresInMS: 6, Members: []MemberStatus{{Name: "g2", Session: 7}}, Leases: []LeaseStatus{{Name: "list/web", Holder: "g2", Token: 8}},
		Replicas: []ReplicaStatus{{ID: 9, Name: "g2", Learner: true}}, Sessions: 10, Overrides: []OverrideStatus{{Pool: "web", Host: "w1"}},
		Relay: RelayStream{Name: "r1", Moves: 11}, Streams: RelayLoad{Streams: 12, Routes: 13, Relays: map[string]int{"r1": 14}},
	}
	var got Status
	decoder := json.NewDecoder(bytes.NewReader([]byte(text)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&got); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("status:\n got %+v\nwant %+v", got, want)
	}
	if roleLeader != "leader" {
		t.Errorf("role of a leader: got %q, want \"leader\"", roleLeader)
	}
}
