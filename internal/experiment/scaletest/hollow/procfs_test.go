package hollow

import (
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// ownCPUTime returns the CPU time of this process as reported by getrusage(2).
func ownCPUTime(t *testing.T) time.Duration {
	t.Helper()
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		t.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// useCPU runs a computation until this process has used more than the given CPU time, for at most a minute.
func useCPU(t *testing.T, least time.Duration) {
	t.Helper()
	end := time.Now().Add(time.Minute)
	for x := uint64(1); ; x = x*6364136223846793005 + 1 {
		if x%(1<<16) != 1 {
			continue
		}
		if ownCPUTime(t) > least || time.Now().After(end) {
			return
		}
	}
}

func TestCPUTimeMatchesGetrusage(t *testing.T) {
	useCPU(t, 50*time.Millisecond)
	before := ownCPUTime(t)
	got, err := cpuTime(syscall.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	after := ownCPUTime(t)
	const tick = 10 * time.Millisecond // resolution of getrusage
	if got < before-tick || got > after+tick {
		t.Errorf("CPU time: got %v, want %v to %v", got, before, after)
	}
}

func TestResidentMemoryIsPlausible(t *testing.T) {
	const least, most = 1 << 20, 1 << 34
	got, err := residentMemory(syscall.Getpid())
	if err != nil || got < least || got > most {
		t.Errorf("resident memory: got %d bytes, %v, want %d to %d", got, err, least, most)
	}
}
