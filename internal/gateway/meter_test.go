package gateway

import (
	"testing"
	"time"
)

// All values of a sample are in their valid range.
func TestProcessMeterSamplesAreInRange(t *testing.T) {
	m := newProcessMeter(64<<20, 1024)
	m.sample()
	for range 1000 {
		done := make(chan struct{})
		go close(done)
		<-done
	}
	s := m.sample()
	if s.Heap <= 0 || s.Heap > 5 || s.Descriptors <= 0 || s.Descriptors > 1 || s.GC < 0 || s.GC > 1 || s.RunQueue < 0 || s.RunQueue > time.Second {
		t.Errorf("sample %+v, want each value in its range", s)
	}
}
