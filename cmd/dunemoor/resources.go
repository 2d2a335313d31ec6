package main

import (
	"fmt"
	"math"
	"net"
	"runtime"
	"runtime/debug"
)

// memoryShare is the share of the process's memory limit that is set as the limit of the Go runtime. The rest is for
// stacks, the program itself and kernel buffers.
const memoryShare = 0.7

// limitResources limits the Go runtime to the cores and the memory of the process; 0 means no limit.
func limitResources(cores float64, memoryMB int) {
	if cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(cores)))
	}
	limitMemory(float64(memoryMB))
}

// limitMemory sets the soft memory limit of the Go runtime for a process with mb megabytes; 0 changes nothing.
func limitMemory(mb float64) {
	if mb > 0 {
		debug.SetMemoryLimit(int64(memoryShare * mb * (1 << 20)))
	}
}

// listenForAdmin opens the socket of the admin API. It returns nil if address is "".
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
