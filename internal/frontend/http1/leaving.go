package http1

import (
	"os"
	"sync"
	"syscall"
)

// leaving sees clients leave, also while nothing is read from them. One epoll set has every
// connection, for nothing but its end, edge-triggered; it waits in the runtime's poller. A
// connection costs one call when it comes, and each attempt for it one that looks again.
type leaving struct {
	file *os.File
	raw  syscall.RawConn
	fd   int

	mu     sync.Mutex
	conns  map[uint64]*clientConn
	last   uint64
	events [leftAtOnce]syscall.EpollEvent

	ended chan struct{} // closed when run has returned
}

// ends are the events of a connection whose peer has ended its side, or that is broken.
const ends = syscall.EPOLLRDHUP | syscall.EPOLLHUP | syscall.EPOLLERR

// edge is EPOLLET, which package syscall has with a sign.
const edge = 1 << 31

// leftAtOnce is how many events are taken by one call.
const leftAtOnce = 64

func newLeaving() (*leaving, error) {
	fd, err := syscall.EpollCreate1(syscall.EPOLL_CLOEXEC)
	if err != nil {
		return nil, os.NewSyscallError("epoll_create1", err)
	}
	if err := syscall.SetNonblock(fd, true); err != nil { // so that the runtime polls it
		syscall.Close(fd)
		return nil, os.NewSyscallError("fcntl", err)
	}
	l := &leaving{file: os.NewFile(uintptr(fd), "epoll"), fd: fd, conns: map[uint64]*clientConn{}, ended: make(chan struct{})}
	if l.raw, err = l.file.SyscallConn(); err != nil {
		l.file.Close()
		return nil, err
	}
	go l.run()
	return l, nil
}

// add has a connection watched until it is closed. drop has to follow.
func (l *leaving) add(c *clientConn) error {
	l.mu.Lock()
	l.last++
	c.among, c.id = l, l.last
	l.conns[c.id] = c
	l.mu.Unlock()
	var err error
	cerr := c.raw.Control(func(fd uintptr) {
		// The descriptor may be another connection's by the time an event is read: the id
		// never is.
		ev := syscall.EpollEvent{Events: ends | edge, Fd: int32(c.id), Pad: int32(c.id >> 32)}
		err = syscall.EpollCtl(l.fd, syscall.EPOLL_CTL_ADD, int(fd), &ev)
	})
	if err == nil {
		err = cerr
	}
	return err
}

// drop forgets a connection; closing its descriptor takes it out of the set.
func (l *leaving) drop(c *clientConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c.id)
}

// all are the connections that are open.
func (l *leaving) all() []*clientConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]*clientConn, 0, len(l.conns))
	for _, c := range l.conns {
		list = append(list, c)
	}
	return list
}

func (l *leaving) run() {
	defer close(l.ended)
	l.raw.Read(func(fd uintptr) bool { // to the close
		l.lookAt(fd)
		return false
	})
}

// look has all seen that have left by now.
func (l *leaving) look() {
	l.raw.Control(func(fd uintptr) { l.lookAt(fd) }) // it fails where it is closed
}

// lookAt takes the events that are there. Its lock is held from the look on: else whoever looks next would
// find nothing, with one who has left yet to be told.
func (l *leaving) lookAt(fd uintptr) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for {
		n := ready(func() (int, error) { return syscall.EpollWait(int(fd), l.events[:], 0) })
		for _, ev := range l.events[:n] {
			if c := l.conns[uint64(uint32(ev.Fd))|uint64(uint32(ev.Pad))<<32]; c != nil {
				c.left()
			}
		}
		if n < len(l.events) {
			return
		}
	}
}

// ready is how many events a look at the set gives. One that is interrupted is made again: the set is
// edge-triggered to the runtime's poller, which would not tell of the same events once more.
func ready(look func() (int, error)) int {
	for {
		n, err := look()
		if err == syscall.EINTR {
			continue
		}
		return max(n, 0)
	}
}

// close ends it. What is watched is watched no more.
func (l *leaving) close() { l.file.Close() }
