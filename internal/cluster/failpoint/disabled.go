//go:build !failpoints

package failpoint

import "time"

// Available reports whether this build has failpoints.
const Available = false

// Enabled reports whether a failpoint is enabled.
func Enabled(Name) bool { return false }

// Enable enables a failpoint in place of the previous one, if this build has failpoints; "" enables none.
func Enable(Name) {}

// Block is a point at which a test can block the process. It does nothing in this build.
func Block(place string) {}

// StopAt is a point at which a test can stop the process. It does nothing in this build.
func StopAt(place, subject string) {}

// WallTime returns the time of the wall clock in builds with failpoints. Only a failpoint uses it.
func WallTime() time.Duration { return 0 }
