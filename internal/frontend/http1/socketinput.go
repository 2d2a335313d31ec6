package http1

import (
	"syscall"

	"golang.org/x/sys/unix"
)

const (
	// unreadUnknown is the result of socketInput.unread if the number can't be read.
	unreadUnknown = -1
	// openWindowDivisor is the part of the receive buffer, one in openWindowDivisor, up to which unread bytes leave the
	// receive window open, and maxOpenUnread is how many bytes do so however large that buffer has grown: the window that
	// the kernel advertises grows more slowly.
	openWindowDivisor = 8
	maxOpenUnread     = 16 << 10
)

// socketInput is what the kernel has received on a connection and the gateway has not read. While the receive window is open
// the peer's send buffer is empty, and its close of the connection has been received.
type socketInput struct{ raw syscall.RawConn }

// unread returns the number of unread bytes, or unreadUnknown.
func (in socketInput) unread() int {
	n := unreadUnknown
	in.raw.Control(func(fd uintptr) { // the only error is that the connection is closed
		if count, err := unix.IoctlGetInt(int(fd), unix.TIOCINQ); err == nil {
			n = count
		}
	})
	return n
}

// isWindowOpen reports whether the receive window is certainly open with a number of unread bytes.
func (in socketInput) isWindowOpen(unread int) bool {
	size := 0
	in.raw.Control(func(fd uintptr) {
		if n, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF); err == nil {
			size = n
		}
	})
	return unread <= min(size/openWindowDivisor, maxOpenUnread)
}

// mayHideClose reports whether so much is unread that the close of the connection by the peer may not have been received.
func (in socketInput) mayHideClose() bool {
	unread := in.unread()
	return unread > 0 && !in.isWindowOpen(unread)
}
