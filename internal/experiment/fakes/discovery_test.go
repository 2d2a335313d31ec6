package fakes

import (
	"bufio"
	"encoding/json"
	"net/http"
	"testing"
)

// A watch sends the list and its changes, and nothing while discovery is silent.
func TestDiscoveryWatchSendsChanges(t *testing.T) {
	f, err := StartFleet(4, 1, Behaviour{})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	resp, err := http.Get("http://" + f.Discovery.Addr() + "/catalog/members?stream=1&index=0")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	next := func() (list MemberList) {
		t.Helper()
		for lines.Scan() {
			if len(lines.Bytes()) == 0 {
				continue
			}
			if err := json.Unmarshal(lines.Bytes(), &list); err != nil {
				t.Fatal(err)
			}
			return list
		}
		t.Fatal("the watch ended, want a list")
		return
	}
	if list := next(); len(list.Servers) != 4 || !list.Full || list.Servers[3].Cell != 1 || list.Servers[0].StartedMS != 0 {
		t.Errorf("got list %+v, want 4 ready nodes", list)
	}
	f.SetState(1, "draining")
	if list := next(); list.Servers[1].State != "draining" || list.Version != 2 {
		t.Errorf("got list %+v, want version 2 with node 1 draining", list)
	}
	f.Discovery.SetSilent(true)
	f.SetState(1, "gone")
	f.Discovery.SetSilent(false)
	if list := next(); len(list.Servers) != 3 || list.Version != 3 {
		t.Errorf("got list %+v, want version 3 without node 1", list)
	}
	if f.Discovery.Watches() != 1 {
		t.Errorf("got %d watches, want 1", f.Discovery.Watches())
	}
}
