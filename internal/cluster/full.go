package cluster

import (
	"errors"
	"syscall"
)

// full says whether a disk failed for want of room: a write that was cut off, which is cut off the
// log when it is opened anew. A failed fsync is never tried again on the same file.
func full(err error) bool { return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EFBIG) }
