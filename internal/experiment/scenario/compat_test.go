package scenario

import (
	"slices"
	"testing"

	"dunemoor/internal/experiment/simulator"
	"dunemoor/internal/testutil/compat"
)

// Every key that a scenario file may have.
func TestCompatKeys(t *testing.T) {
	compat.Keys(t, "scenario-keys.txt", "toml", &file{})
}

// Every name that a scenario file may have as a value. Names of idempotency and scope are in the order of the
// balancer's constants.
func TestCompatValues(t *testing.T) {
	faultKinds := []simulator.FaultKind{
		"crash", "vanish", "hang", "slow", "errors", "drain", "unheard", "gateway", "restart", "replace", "cut", "lossy",
		"blind",
	}
	if !slices.Equal(simulator.FaultKinds, faultKinds) {
		t.Errorf("fault kinds: got %q, want %q", simulator.FaultKinds, faultKinds)
	}
	distributions := []simulator.Distribution{"fixed", "exponential", "lognormal", "pareto"}
	if !slices.Equal(simulator.Distributions, distributions) {
		t.Errorf("distributions: got %q, want %q", simulator.Distributions, distributions)
	}
	if want := []string{"safe", "keyed", "unsafe"}; !slices.Equal(idempotencyNames, want) {
		t.Errorf("values of effect: got %q, want %q", idempotencyNames, want)
	}
	if want := []string{"all", "zone", "cell"}; !slices.Equal(dedupScopeNames, want) {
		t.Errorf("values of group: got %q, want %q", dedupScopeNames, want)
	}
}
