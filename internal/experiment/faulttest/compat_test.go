package faulttest

import (
	"testing"

	"dunemoor/internal/testutil/compat"
)

// Every key that a plan of faults may have, and the kinds of faults.
func TestCompatPlan(t *testing.T) {
	compat.Keys(t, "plan-keys.txt", "toml", &Plan{})
	var kinds []any
	for _, k := range Faults {
		kinds = append(kinds, k)
	}
	compat.Values(t, "faults.txt", kinds...)
}
