package hollow

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

const (
	netDevFile    = "/proc/net/dev"
	bytesPerKB    = 1 << 10
	loopbackLabel = "lo:"
	residentLabel = "VmRSS:"
)

// socketInodes returns the inodes of a process's sockets.
func socketInodes(pid int) (map[uint32]bool, error) {
	path := fmt.Sprintf("/proc/%d/fd", pid)
	dir, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer dir.Close()
	names, err := dir.Readdirnames(-1)
	if err != nil {
		return nil, err
	}
	inodes := map[uint32]bool{}
	for _, name := range names {
		target, err := os.Readlink(filepath.Join(path, name))
		if err != nil {
			continue // the descriptor was closed in the meantime
		}
		number, isSocket := strings.CutPrefix(target, "socket:[")
		if !isSocket {
			continue
		}
		inode, err := strconv.ParseUint(strings.TrimSuffix(number, "]"), 10, 32)
		if err == nil {
			inodes[uint32(inode)] = true
		}
	}
	return inodes, nil
}

// cpuTime returns the CPU time that a process has used since it was started.
func cpuTime(pid int) (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(cpuClock(pid), &t); err != nil {
		return 0, fmt.Errorf("read CPU time of process %d: %w", pid, err)
	}
	return time.Duration(t.Nano()), nil
}

// cpuClock returns the id of a process's CPU clock, as clock_getcpuclockid(3) does.
func cpuClock(pid int) int32 {
	const schedulerClock = 2 // CPUCLOCK_SCHED of linux/posix-timers.h: time on a CPU as counted by the scheduler, in nanoseconds
	return int32(^pid<<3 | schedulerClock)
}

// residentMemory returns a process's resident memory in bytes. The kernel's memory for its connections is not
// included.
func residentMemory(pid int) (uint64, error) {
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		fields := strings.Fields(lines.Text()) // label, number, "kB"
		if len(fields) == 3 && fields[0] == residentLabel {
			size, err := strconv.ParseUint(fields[1], 10, 64)
			return size * bytesPerKB, err
		}
	}
	return 0, fmt.Errorf("read resident memory of process %d: no VmRSS", pid)
}

// Loopback returns the traffic of the loopback device since the machine was booted: bytes, including IP and TCP
// headers, and packets. It covers all connections of the machine, and counts each packet once.
func Loopback() (bytes, packets uint64, err error) {
	text, err := os.ReadFile(netDevFile)
	if err != nil {
		return 0, 0, err
	}
	for line := range strings.Lines(string(text)) {
		counts, isLoopback := strings.CutPrefix(strings.TrimSpace(line), loopbackLabel)
		fields := strings.Fields(counts) // received bytes, received packets, ...
		if !isLoopback || len(fields) < 3 {
			continue
		}
		bytes, err = strconv.ParseUint(fields[0], 10, 64)
		packets, _ = strconv.ParseUint(fields[1], 10, 64)
		return bytes, packets, err
	}
	return 0, 0, errors.New("read " + netDevFile + ": no loopback device")
}
