package main

import (
	"fmt"
	"math"
	"net"
	"runtime"
	"runtime/debug"
)

// memoryShare is the share of the memory limit that the runtime may use; the rest is for stacks, the program and
// buffers of the kernel.
const memoryShare = 0.7

// limitResources keeps the runtime within the cores and the memory of the process; 0: no limit.
func limitResources(cores float64, memoryMB int) {
	if cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(cores)))
	}
	limitMemory(float64(memoryMB))
}

// limitMemory sets the runtime's soft limit for a process with so many MB; 0: no change.
func limitMemory(mb float64) {
	if mb > 0 {
		debug.SetMemoryLimit(int64(memoryShare * mb * (1 << 20)))
	}
}

// listenForAdmin opens the socket for calls of operators. It returns nil where the address is "".
func listenForAdmin(address string) (net.Listener, error) {
	if address == "" {
		return nil, nil
	}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("admin: %w", err)
	}
	return ln, nil
}
