//go:build failpoints && jumps

package failpoint

import (
	"fmt"
	"os"
	"strings"
	"sync/atomic"
	"time"
	_ "unsafe" // for go:linkname
)

// wallJump is added to the seconds of the wall clock by a modified runtime, see
// internal/experiment/faulttest/clock.go.
//
//go:linkname wallJump runtime.wallJump
var wallJump int64

// clockPollInterval is the time between two reads of the file that sets wallJump.
const clockPollInterval = 10 * time.Millisecond

// The file that DUNEMOOR_CLOCK_FILE names contains the number of seconds by which the wall clock is shifted.
func init() {
	if file := os.Getenv("DUNEMOOR_CLOCK_FILE"); file != "" {
		go followClockFile(file)
	}
}

func followClockFile(file string) {
	for ; ; time.Sleep(clockPollInterval) {
		var seconds int64
		b, err := os.ReadFile(file)
		if err != nil {
			continue
		}
		if _, err := fmt.Sscan(strings.TrimSpace(string(b)), &seconds); err == nil && atomic.SwapInt64(&wallJump, seconds) != seconds {
			fmt.Fprintf(os.Stderr, "the clock is off by %d s: %s\n", seconds, time.Now().Format(time.DateTime))
		}
	}
}
