package testutil

import (
	"sync"
	"testing"
	"time"
)

// Many goroutines of a bubble may receive from timers that are already due at the same time, also under the
// race detector: without the limit in VirtualTime that would crash the process.
func TestVirtualTimeWithManyDueTimers(t *testing.T) {
	const bubbles, goroutines, timers = 50, 50, 50
	for range bubbles {
		VirtualTime(t, func(*testing.T) {
			var running sync.WaitGroup
			for range goroutines {
				running.Go(func() {
					for range timers {
						<-time.NewTimer(0).C
					}
				})
			}
			running.Wait()
		})
	}
}
