//go:build failpoints

package failpoint

import (
	"fmt"
	"os"
	"runtime"
	"time"

	"golang.org/x/sys/unix"
)

// Available reports whether this build has failpoints.
const Available = true

// blockPollInterval is the time between two checks of the file that blocks the process.
const blockPollInterval = 10 * time.Millisecond

var (
	enabled   = Name(os.Getenv("DUNEMOOR_FAILPOINT"))
	stopPlace = os.Getenv("DUNEMOOR_STOP_AT")
	stopFile  = os.Getenv("DUNEMOOR_STOP_FILE")
	blockFile = os.Getenv("DUNEMOOR_STUCK_FILE")
)

// Enabled reports whether a failpoint is enabled.
func Enabled(n Name) bool { return enabled == n }

// Enable enables a failpoint in place of the previous one; "" enables none.
func Enable(n Name) { enabled = n }

// Block is a point at which a test can block the process: it returns once the file that DUNEMOOR_STUCK_FILE
// names does not exist.
func Block(place string) {
	for logged := false; blockFile != ""; logged = true {
		if _, err := os.Stat(blockFile); err != nil {
			return
		}
		if !logged {
			fmt.Fprintf(os.Stderr, "stuck at %s\n", place)
		}
		time.Sleep(blockPollInterval)
	}
}

// StopAt is a point at which a test can stop the process. If DUNEMOOR_STOP_AT is the place and the subject,
// separated by a space, and the file that DUNEMOOR_STOP_FILE names exists, StopAt removes the file and stops
// the process with SIGSTOP.
func StopAt(place, subject string) {
	if name := place + " " + subject; stopPlace == "" || stopPlace != name || os.Remove(stopFile) != nil {
		return
	}
	fmt.Fprintf(os.Stderr, "stopped at %s\n", stopPlace)
	// The signal is sent to this thread: after a signal to the process, the thread would continue for a moment.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	unix.Tgkill(unix.Getpid(), unix.Gettid(), unix.SIGSTOP)
}

// WallTime returns the time of the wall clock.
func WallTime() time.Duration { return time.Duration(time.Now().UnixNano()) }
