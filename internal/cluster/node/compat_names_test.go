package node

import (
	"slices"
	"testing"
)

// The roles in a gateway's status, which operators' tools read.
func TestCompatRoles(t *testing.T) {
	got := []string{statusLeader, statusReplica, statusLearner, statusMember, statusStopped}
	want := []string{"leader", "keeper", "learner", "member", "stopped"}
	if !slices.Equal(got, want) {
		t.Errorf("roles: got %q, want %q", got, want)
	}
}

// The message that other programs count in the log.
func TestCompatLogMessages(t *testing.T) {
	if want := "lease transferred"; LogLeaseTransferred != want {
		t.Errorf("message of a lease transfer: got %q, want %q", LogLeaseTransferred, want)
	}
}
