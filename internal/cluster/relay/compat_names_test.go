package relay

import (
	"encoding/json"
	"reflect"
	"testing"
)

// The keys of the status of relays and of gateways' streams, which operators' tools read.
func TestCompatStatusKeys(t *testing.T) {
	tests := []struct {
		status any
		want   string
	}{
		{
			RouterStatus{Streams: 1, Limit: 2, Routes: 3, Relays: map[string]int{"r1": 4}, Joins: 5, Rejected: 6, Closed: 7, Dropped: 8, Malformed: 9},
			`{"streams":1,"bound":2,"routes":3,"relays":{"r1":4},"Joins":5,"Rejected":6,"Closed":7,"Dropped":8,"Malformed":9}`,
		},
		{
			ClientStatus{Relay: "r1", Epoch: 1, Since: 2, Preferred: "r2", Moves: 3, Ends: map[string]uint64{"ended": 4}},
			`{"relay":"r1","epoch":1,"since":2,"first":"r2","moves":3,"ends":{"ended":4}}`,
		},
	}
	for _, tt := range tests {
		got, err := json.Marshal(tt.status)
		if err != nil {
			t.Fatal(err)
		}
		if string(got) != tt.want {
			t.Errorf("%T:\n got %s\nwant %s", tt.status, got, tt.want)
		}
	}
}

// The causes for which a stream ends, which operators read in the status and in the log.
func TestCompatStreamEndCauses(t *testing.T) {
	got := []string{causePaused, causeEnded, causeRejected, causeNotReached, causeSilent, causeUnresponsive}
	want := []string{"stood still", "ended", "refused", "not reached", "silent", "unanswered"}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("causes: got %q, want %q", got, want)
	}
}
