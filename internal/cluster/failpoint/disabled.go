//go:build !failpoints

package failpoint

import "time"

// Available reports whether this build has failpoints.
const Available = false

// Enabled reports whether a failpoint is enabled.
func Enabled(Name) bool { return false }

// Enable enables a failpoint in place of the one before, if this build has any; "" enables none.
func Enable(Name) {}

// Block is a place where a test can block the process.
func Block(place string) {}

// StopAt is a place where a test can stop the process.
func StopAt(place, subject string) {}

// WallTime returns the time of the wall clock. It is used by a failpoint only.
func WallTime() time.Duration { return 0 }
