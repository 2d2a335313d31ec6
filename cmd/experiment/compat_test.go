package main

import (
	"testing"

	"dunemoor/internal/testutil/compat"
)

// The keys of "run --json" are what scripts read.
func TestCompatRunOutputKeys(t *testing.T) {
	compat.Keys(t, "run-output-keys.txt", "json", &run{})
}
