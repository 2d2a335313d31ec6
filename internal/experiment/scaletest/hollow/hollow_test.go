package hollow

import (
	"io"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// What the kernel is said to count is what was sent: bytes at both ends, and a segment at least for
// each write that was waited for.
func TestTraffic(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	a, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	b, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	const writes, size, back = 10, 100, 7
	buf := make([]byte, size)
	for range writes {
		if _, err := a.Write(buf); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(b, buf); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := b.Write(buf[:back]); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(a, buf[:back]); err != nil {
		t.Fatal(err)
	}
	list, err := conns()
	if err != nil {
		t.Fatal(err)
	}
	mine, err := inodes(syscall.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	ends := map[netip.AddrPort]Traffic{}
	for _, c := range list {
		if mine[c.inode] {
			ends[c.local] = c.Traffic
		}
	}
	at, bt := ends[a.LocalAddr().(*net.TCPAddr).AddrPort()], ends[b.LocalAddr().(*net.TCPAddr).AddrPort()]
	// The handshake of TCP is three segments: two of them are a's.
	if at.BytesOut != writes*size || at.BytesIn != back || bt.BytesOut != back || bt.BytesIn != writes*size || at.PacketsOut < writes+2 || bt.PacketsIn != at.PacketsOut {
		t.Errorf("the end that dialled %+v, the other %+v", at, bt)
	}
	if at.Bytes() != writes*size+back+HeaderBytes*at.Packets() {
		t.Errorf("%d bytes of %+v", at.Bytes(), at)
	}
	// From one account to the next only what has come since counts; a socket that has another's number
	// began with nothing.
	if d := at.since(Traffic{BytesOut: size, PacketsOut: 3}); d.BytesOut != (writes-1)*size || d.PacketsOut != at.PacketsOut-3 {
		t.Errorf("since: %+v", d)
	}
	if d := at.since(Traffic{PacketsOut: at.PacketsOut + 1}); d != at {
		t.Errorf("since another's account: %+v", d)
	}
	was, packets, err := Loopback()
	if err != nil {
		t.Fatal(err)
	}
	a.Write(buf)
	io.ReadFull(b, buf)
	if now, then, err := Loopback(); err != nil || now < was+size+HeaderBytes || then <= packets {
		t.Errorf("the loopback device has carried %d bytes, %d packets, then %d, %d: %v", was, packets, now, then, err)
	}
}

// CPU time is the kernel's, as getrusage(2) has it.
func TestCPU(t *testing.T) {
	var u unix.Rusage
	end := time.Now().Add(time.Minute)
	for x := uint64(1); ; x = x*6364136223846793005 + 1 {
		if x%(1<<16) == 1 {
			if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
				t.Fatal(err)
			}
			if u.Utime.Nano()+u.Stime.Nano() > int64(50*time.Millisecond) || time.Now().After(end) {
				break
			}
		}
	}
	before := time.Duration(u.Utime.Nano() + u.Stime.Nano())
	got, err := cpuOf(syscall.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	unix.Getrusage(unix.RUSAGE_SELF, &u)
	after := time.Duration(u.Utime.Nano() + u.Stime.Nano())
	const tick = 10 * time.Millisecond
	if got < before-tick || got > after+tick {
		t.Errorf("%v, by getrusage %v to %v", got, before, after)
	}
	if n, err := residentOf(syscall.Getpid()); err != nil || n < 1<<20 || n > 1<<34 {
		t.Errorf("%d bytes resident, %v", n, err)
	}
}
