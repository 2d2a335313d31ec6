package fleet

import "testing"

// The name of the lease for garbage collection, which gateways of other builds and operators' calls use.
func TestCompatLeaseNames(t *testing.T) {
	if want := "housekeeping"; housekeepingLease != want {
		t.Errorf("lease of garbage collection: got %q, want %q", housekeepingLease, want)
	}
}
