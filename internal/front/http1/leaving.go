package http1

import (
	"os"
	"sync"
	"syscall"
)

// leaving sees clients leave, also while nothing is read from them. One epoll set has every
// connection, for nothing but its end, edge-triggered; it waits in the runtime's poller. A
// connection costs one call when it comes and nothing after that.
type leaving struct {
	file *os.File
	raw  syscall.RawConn
	fd   int

	mu    sync.Mutex
	conns map[uint64]*clientConn
	last  uint64
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
	l := &leaving{file: os.NewFile(uintptr(fd), "epoll"), fd: fd, conns: map[uint64]*clientConn{}}
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
	c.id = l.last
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
	events := make([]syscall.EpollEvent, leftAtOnce)
	for {
		n := 0
		err := l.raw.Read(func(fd uintptr) bool {
			n = ready(func() (int, error) { return syscall.EpollWait(int(fd), events, 0) })
			return n > 0
		})
		if err != nil {
			return // it is closed
		}
		l.mu.Lock()
		for _, ev := range events[:n] {
			if c := l.conns[uint64(uint32(ev.Fd))|uint64(uint32(ev.Pad))<<32]; c != nil {
				c.left()
			}
		}
		l.mu.Unlock()
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
