package faulttest

import (
	"slices"
	"testing"

	"dunemoor/internal/testutil/compat"
)

// Every key that a plan of faults may have, and the kinds of faults.
func TestCompatPlan(t *testing.T) {
	compat.Keys(t, "plan-keys.txt", "toml", &Plan{})
	var kinds []any
	for _, k := range FaultKinds {
		kinds = append(kinds, k)
	}
	compat.Values(t, "faults.txt", kinds...)
	if targetLeader != "leader" || targetHolder != "owner" {
		t.Errorf("targets: got %q and %q, want \"leader\" and \"owner\"", targetLeader, targetHolder)
	}
}

// The keys and the kinds of event in the file of a history.
func TestCompatHistory(t *testing.T) {
	compat.Keys(t, "history-keys.txt", "json", &Event{})
	got := []string{
		LeaseAcquired, LeaseNoLongerHeld, LeaseTransferred, BecameLeader, SessionExpired, DiskQuarantined, Bootstrapped,
		StalePublicationRejected, PausedAtPoint,
	}
	want := []string{"taken up", "laid down", "changed hands", "leads", "lapsed", "set aside", "formed", "fenced", "stopped"}
	if !slices.Equal(got, want) {
		t.Errorf("kinds of event: got %q, want %q", got, want)
	}
}

// The names of transfer causes on command lines.
func TestCompatTransferCauses(t *testing.T) {
	want := []TransferCause{"kill", "stop", "cut", "deaf", "mute", "planned", "leader", "sigterm", "sigterm of the leader", "all down"}
	if !slices.Equal(TransferCauses, want) {
		t.Errorf("transfer causes: got %q, want %q", TransferCauses, want)
	}
}
