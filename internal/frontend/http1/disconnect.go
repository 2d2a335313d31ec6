package http1

import (
	"os"
	"sync"
	"syscall"
)

// disconnectWatcher notices when clients close their connections, also while nothing is read from these, and cancels
// their contexts. One epoll set has all connections, edge-triggered and only for the events of their end, and is polled
// by the runtime. It costs a system call for each connection, and one for each attempt that checks its client.
type disconnectWatcher struct {
	file *os.File // of the epoll set
	raw  syscall.RawConn
	fd   int

	mu     sync.Mutex // guards all below
	conns  map[uint64]*clientConn
	lastID uint64
	events [maxEventsPerWait]syscall.EpollEvent

	done chan struct{} // closed when run has returned
}

const (
	// disconnectEvents are the events of a connection that its peer has closed, wholly or for writing, or that is broken.
	disconnectEvents = syscall.EPOLLRDHUP | syscall.EPOLLHUP | syscall.EPOLLERR
	// edgeTriggered is EPOLLET, which package syscall has as a negative number.
	edgeTriggered = 1 << 31
	// maxEventsPerWait is how many events one system call returns.
	maxEventsPerWait = 64
)

// newDisconnectWatcher returns a running watcher. It has to be closed.
func newDisconnectWatcher() (*disconnectWatcher, error) {
	fd, err := syscall.EpollCreate1(syscall.EPOLL_CLOEXEC)
	if err != nil {
		return nil, os.NewSyscallError("epoll_create1", err)
	}
	// Only a non-blocking descriptor is polled by the runtime.
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

// add watches a connection. remove has to follow, also after an error.
func (w *disconnectWatcher) add(c *clientConn) error {
	w.mu.Lock()
	w.lastID++
	c.watcher = w
	c.watchID = w.lastID
	w.conns[c.watchID] = c
	w.mu.Unlock()
	var epollErr error
	err := c.raw.Control(func(fd uintptr) {
		// Events carry the id, as the descriptor may be another connection's by the time an event is read.
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

// watchIDOf returns the id of the connection that an event is of.
func watchIDOf(event syscall.EpollEvent) uint64 {
	return uint64(uint32(event.Fd)) | uint64(uint32(event.Pad))<<32
}

// remove forgets a connection. Closing its descriptor removes it from the epoll set.
func (w *disconnectWatcher) remove(c *clientConn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.conns, c.watchID)
}

// open returns the connections that are open.
func (w *disconnectWatcher) open() []*clientConn {
	w.mu.Lock()
	defer w.mu.Unlock()
	open := make([]*clientConn, 0, len(w.conns))
	for _, c := range w.conns {
		open = append(open, c)
	}
	return open
}

// run handles events until close.
func (w *disconnectWatcher) run() {
	defer close(w.done)
	w.raw.Read(func(fd uintptr) bool {
		w.handleEvents(fd)
		return false
	})
}

// poll handles the events that there are, without waiting.
func (w *disconnectWatcher) poll() {
	w.raw.Control(w.handleEvents) // fails if the watcher is closed
}

// handleEvents cancels the contexts of the connections that there are events of. mu is held from before the events are
// taken: otherwise another caller would find none while a context is yet to be canceled.
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

// retryInterrupted returns the number of events that wait returns, 0 after an error. It calls wait again if a signal has
// interrupted it: the set is edge-triggered for the runtime too, which would not report the same events again.
func retryInterrupted(wait func() (int, error)) int {
	for {
		n, err := wait()
		if err == syscall.EINTR {
			continue
		}
		return max(n, 0)
	}
}

// close ends the watcher.
func (w *disconnectWatcher) close() { w.file.Close() }
