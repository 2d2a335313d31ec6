package testutil

import (
	"os/exec"
	"testing"
)

// FailpointBuild runs TestEachFailpoint of the calling package in a build with failpoints. available reports
// whether the running build has failpoints itself; if so the test is skipped.
func FailpointBuild(t *testing.T, available bool) {
	t.Helper()
	if available {
		t.Skip("this is the build with failpoints")
	}
	out, err := exec.Command("go", "test", "-count=1", "-tags=failpoints", "-run=^TestEachFailpoint$", ".").CombinedOutput()
	if err != nil {
		t.Errorf("TestEachFailpoint: %v: %s", err, out)
	}
}

// EachFailpoint enables each failpoint in turn, and calls run with the seeds from 1 to seeds until it returns
// an error. The test of a failpoint fails if run returns no error for any seed, as the checks of run then do
// not detect the fault.
func EachFailpoint[F ~string](t *testing.T, failpoints []F, enable func(F), seeds uint64, run func(seed uint64) error) {
	t.Helper()
	for _, f := range failpoints {
		t.Run(string(f), func(t *testing.T) {
			enable(f)
			defer enable("")
			for seed := uint64(1); seed <= seeds; seed++ {
				if err := run(seed); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Errorf("seeds 1 to %d: got no error with failpoint %q enabled", seeds, f)
		})
	}
}
