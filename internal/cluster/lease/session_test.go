package lease

import (
	"fmt"
	"testing"
)

// TestRoles checks that a gateway of a fleet with relays can't become a replica, and that a fleet with relays
// may have more members than a full mesh.
func TestRoles(t *testing.T) {
	s := NewState(1)
	open := func(i int, role Role) Result {
		return s.Apply(s.Revision+1, &Command{Op: OpOpenSession, Open: &OpenRequest{Name: fmt.Sprint("g", i), DiskID: uint64(i + 1), OpenSequence: 1, Role: role}})
	}
	open(0, RoleRelay)
	open(1, RoleGateway)
	open(2, "")
	for i, want := range []Code{OK, Rejected, OK} {
		if r := s.Apply(s.Revision+1, &Command{Op: OpAddReplica, Name: fmt.Sprint("g", i)}); r.Code != want {
			t.Errorf("adding g%d as a replica: got %+v, want code %s", i, r, want)
		}
	}
	for i := 3; i < maxMeshMembers; i++ {
		open(i, "")
	}
	if r := open(maxMeshMembers, ""); r.Code != Rejected {
		t.Error("a full mesh accepted more than its maximum of members:", r)
	}
	for i := maxMeshMembers; i < MaxMembers; i++ {
		if r := open(i, RoleGateway); r.Code != OK {
			t.Fatalf("opening a session of g%d: got %+v, want code %s", i, r, OK)
		}
	}
	if r := open(MaxMembers, RoleGateway); r.Code != Rejected {
		t.Error("a fleet with relays accepted more than its maximum of members:", r)
	}
}
