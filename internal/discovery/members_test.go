package discovery

import (
	"encoding/json"
	"testing"
)

func TestMemberListUnmarshal(t *testing.T) {
	var list MemberList
	err := json.Unmarshal([]byte(`{"version":41,"full":true,"servers":[{"id":"s-5be2a07c","addr":"10.1.0.18:9000",
		"zone":"a","kind":"m2","cell":3,"state":"ready","weight":1.0,"started_ms":7}]}`), &list)
	want := Member{ID: "s-5be2a07c", Addr: "10.1.0.18:9000", Zone: "a", Kind: "m2", Cell: 3, State: "ready", StartedMS: 7}
	if err != nil || list.Version != 41 || !list.Full || len(list.Servers) != 1 || list.Servers[0] != want {
		t.Errorf("list %+v, error %v, want version 41 with %+v", list, err, want)
	}
}
