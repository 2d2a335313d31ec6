package testutil

import (
	"os/exec"
	"testing"
)

// FailpointBuild runs TestEachFailpoint of the calling package in a build with failpoints, unless this is
// that build.
func FailpointBuild(t *testing.T, available bool) {
	t.Helper()
	if available {
		t.Skip("this is that build")
	}
	out, err := exec.Command("go", "test", "-count=1", "-tags=failpoints", "-run=^TestEachFailpoint$", ".").CombinedOutput()
	if err != nil {
		t.Errorf("%v: %s", err, out)
	}
}

// EachFailpoint enables each failpoint in turn, and fails where play finds the fault for none of so many
// seeds, which count from 1: a checker that can't fail proves nothing.
func EachFailpoint[F ~string](t *testing.T, failpoints []F, enable func(F), seeds uint64, play func(seed uint64) error) {
	t.Helper()
	for _, f := range failpoints {
		t.Run(string(f), func(t *testing.T) {
			enable(f)
			defer enable("")
			for seed := range seeds {
				if err := play(seed + 1); err != nil {
					t.Logf("found: %v", err)
					return
				}
			}
			t.Error("nothing finds it")
		})
	}
}
