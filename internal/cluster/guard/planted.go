//go:build planted

package guard

import (
	"fmt"
	"os"
	"syscall"
)

// Planted says whether this is a build in which guards can be taken out.
const Planted = true

var (
	taken = Name(os.Getenv("DUNEMOOR_PLANTED"))
	point = os.Getenv("DUNEMOOR_STOP_AT")
	order = os.Getenv("DUNEMOOR_STOP_FILE")
)

// Out says whether a guard is taken out.
func Out(n Name) bool { return taken == n }

// Take takes a guard out; "" puts all back.
func Take(n Name) { taken = n }

// Point is a place at which a test can have the process stop: by a signal to itself, where
// DUNEMOOR_STOP_AT names the place and the file DUNEMOOR_STOP_FILE is there, which it removes.
func Point(name string) {
	if point == "" || point != name || os.Remove(order) != nil {
		return
	}
	fmt.Fprintf(os.Stderr, "stopped at %s\n", name)
	syscall.Kill(syscall.Getpid(), syscall.SIGSTOP)
}
