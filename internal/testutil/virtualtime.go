package testutil

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// VirtualTime runs test in a synctest bubble. Under the race detector the whole process has one processor
// meanwhile, so it is not for tests that call t.Parallel; .ci/run runs these packages without the detector too.
//
// The runtime keeps one race detector context for all timers of a bubble and uses it without a lock
// where a goroutine receives from a timer that is already due (unlockAndRun in runtime/time.go of Go
// 1.26). Two goroutines that do so at once on two processors corrupt the detector, which ends the
// process with a failed CHECK or a SIGSEGV. On one processor goroutines still interleave, and the
// detector still reports accesses that nothing orders.
func VirtualTime(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	if raceDetector {
		before := runtime.GOMAXPROCS(1)
		defer runtime.GOMAXPROCS(before)
	}
	synctest.Test(t, test)
}
