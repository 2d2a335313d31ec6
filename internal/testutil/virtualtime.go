package testutil

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// VirtualTime runs test in a synctest bubble. Under the race detector it sets GOMAXPROCS to 1 for the duration
// of the test. As that applies to the whole process, tests that call t.Parallel must not use it. .ci/run also
// runs the packages whose tests use it without the race detector.
//
// The runtime keeps one race detector context for all timers of a bubble, and uses it without a lock
// where a goroutine receives from a timer that is already due (unlockAndRun in runtime/time.go of Go
// 1.26). Two goroutines that do so at the same time on two processors corrupt the detector, which ends
// the process with a failed CHECK or a SIGSEGV. On one processor goroutines still interleave, and the
// detector still reports unsynchronized accesses.
func VirtualTime(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	if raceDetector {
		before := runtime.GOMAXPROCS(1)
		defer runtime.GOMAXPROCS(before)
	}
	synctest.Test(t, test)
}
