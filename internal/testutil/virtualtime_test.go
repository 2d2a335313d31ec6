package testutil

import (
	"sync"
	"testing"
	"time"
)

// Goroutines of a bubble may receive from timers that are already due, all at once, also under the race
// detector.
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
