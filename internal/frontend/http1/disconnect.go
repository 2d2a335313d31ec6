package http1

import (
	"os"
	"sync"
	"syscall"
)

// disconnectWatcher detects when clients close their connections, even while nothing is being read from them, and
// cancels the contexts of these connections. A single epoll set contains all connections, edge-triggered and registered
// for hang-up and error events only. The Go runtime polls the descriptor of this set. The cost is one system call for
// each connection, and one for each attempt that checks whether its client is still connected.
type disconnectWatcher struct {
	file *os.File // the epoll set
	raw  syscall.RawConn
	fd   int

	mu     sync.Mutex // guards the fields below
	conns  map[uint64]*clientConn
	lastID uint64
	events [maxEventsPerWait]syscall.EpollEvent

	done chan struct{} // closed when run has returned
}

const (
	// disconnectEvents are the events that report that the peer has closed a connection, fully or for writing, or that
	// the connection has failed.
	disconnectEvents = syscall.EPOLLRDHUP | syscall.EPOLLHUP | syscall.EPOLLERR
	// edgeTriggered is EPOLLET, which package syscall declares as a negative number.
	edgeTriggered = 1 << 31
	// maxEventsPerWait is the maximum number of events that one epoll_wait returns.
	maxEventsPerWait = 64
)

// newDisconnectWatcher starts a watcher. The caller must close it.
func newDisconnectWatcher() (*disconnectWatcher, error) {
	fd, err := syscall.EpollCreate1(syscall.EPOLL_CLOEXEC)
	if err != nil {
		return nil, os.NewSyscallError("epoll_create1", err)
	}
	// The runtime only polls non-blocking descriptors.
	if err := syscall.SetNonblock(fd, true); err != nil {
		syscall.Close(fd)
		return nil, os.NewSyscallError("fcntl", err)
	}
	w := &disconnectWatcher{
		file:  os.NewFile(uintptr(fd), "epoll"),
		fd:    fd,
		conns: map[uint64]*clientConn{},
		done:  make(chan struct{}),
	}
	if w.raw, err = w.file.SyscallConn(); err != nil {
		w.file.Close()
		return nil, err
	}
	go w.run()
	return w, nil
}

// add starts watching a connection. The caller must call remove later, even if add returns an error.
func (w *disconnectWatcher) add(c *clientConn) error {
	w.mu.Lock()
	w.lastID++
	c.watcher = w
	c.watchID = w.lastID
	w.conns[c.watchID] = c
	w.mu.Unlock()
	var epollErr error
	err := c.raw.Control(func(fd uintptr) {
		// Events carry the watch id instead of the descriptor, which may have been reused for another connection by the
		// time an event is read.
		event := syscall.EpollEvent{
			Events: disconnectEvents | edgeTriggered,
			Fd:     int32(c.watchID),
			Pad:    int32(c.watchID >> 32),
		}
		epollErr = syscall.EpollCtl(w.fd, syscall.EPOLL_CTL_ADD, int(fd), &event)
	})
	if epollErr != nil {
		return os.NewSyscallError("epoll_ctl", epollErr)
	}
	return err
}

// watchIDOf returns the watch id of the connection that an event refers to.
func watchIDOf(event syscall.EpollEvent) uint64 {
	return uint64(uint32(event.Fd)) | uint64(uint32(event.Pad))<<32
}

// remove stops watching a connection. Closing its descriptor removes it from the epoll set.
func (w *disconnectWatcher) remove(c *clientConn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.conns, c.watchID)
}

// open returns all watched connections.
func (w *disconnectWatcher) open() []*clientConn {
	w.mu.Lock()
	defer w.mu.Unlock()
	open := make([]*clientConn, 0, len(w.conns))
	for _, c := range w.conns {
		open = append(open, c)
	}
	return open
}

// run handles events until the watcher is closed.
func (w *disconnectWatcher) run() {
	defer close(w.done)
	w.raw.Read(func(fd uintptr) bool {
		w.handleEvents(fd)
		return false
	})
}

// poll handles pending events without blocking.
func (w *disconnectWatcher) poll() {
	w.raw.Control(w.handleEvents) // the only error is that the watcher is closed
}

// handleEvents cancels the contexts of all connections that have pending events. It locks mu before it takes the
// events: otherwise a concurrent call could find no events and return before the contexts have been canceled.
func (w *disconnectWatcher) handleEvents(fd uintptr) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for {
		n := retryInterrupted(func() (int, error) { return syscall.EpollWait(int(fd), w.events[:], 0) })
		for _, event := range w.events[:n] {
			if c := w.conns[watchIDOf(event)]; c != nil {
				c.cancel()
			}
		}
		if n < len(w.events) {
			return
		}
	}
}

// retryInterrupted calls wait and returns the number of events, or 0 if it fails. If wait was interrupted by a signal
// (EINTR), it is repeated: the runtime also polls the set edge-triggered and would not report the same events again.
func retryInterrupted(wait func() (int, error)) int {
	for {
		n, err := wait()
		if err == syscall.EINTR {
			continue
		}
		return max(n, 0)
	}
}

// close stops the watcher.
func (w *disconnectWatcher) close() { w.file.Close() }
