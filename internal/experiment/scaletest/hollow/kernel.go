package hollow

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// HeaderBytes are those of a segment of TCP over IPv4 as the kernel sends it here: 20 of IP, 20 of
// TCP and 12 of its timestamps. What a link adds (Ethernet: 18, and 20 of silence) is not in it.
const HeaderBytes = 52

// Traffic is what the kernel counts of connections. Bytes are what they carry, again where it was
// sent again, without headers; segments are all, also those that only acknowledge.
type Traffic struct{ BytesOut, BytesIn, PacketsOut, PacketsIn uint64 }

// Packets are those of both directions.
func (t Traffic) Packets() uint64 { return t.PacketsOut + t.PacketsIn }

// Bytes are those of both directions with the headers.
func (t Traffic) Bytes() uint64 { return t.BytesOut + t.BytesIn + HeaderBytes*t.Packets() }

func (t Traffic) plus(o Traffic) Traffic {
	return Traffic{t.BytesOut + o.BytesOut, t.BytesIn + o.BytesIn, t.PacketsOut + o.PacketsOut, t.PacketsIn + o.PacketsIn}
}

// since is what has come since an earlier account of the same socket; a new one under its number began
// with nothing.
func (t Traffic) since(was Traffic) Traffic {
	if t.PacketsOut < was.PacketsOut || t.PacketsIn < was.PacketsIn {
		return t
	}
	return Traffic{t.BytesOut - was.BytesOut, t.BytesIn - was.BytesIn, t.PacketsOut - was.PacketsOut, t.PacketsIn - was.PacketsIn}
}

// conn is an established connection's end, with the kernel's account of it (TCP_INFO).
type conn struct {
	local, remote netip.AddrPort
	inode         uint32
	Traffic
}

// Of linux/sock_diag.h and linux/inet_diag.h.
const (
	sockDiagByFamily = 20
	inetDiagInfo     = 2
	diagRequestBytes = 56 // inet_diag_req_v2
	diagMessageBytes = 72 // inet_diag_msg
	established      = 1 << 1
)

// conns are all ends of established connections over IPv4 in this network namespace, each with
// TCP_INFO, as ss(8) asks for them (sock_diag(7)).
func conns() (list []conn, err error) {
	fd, err := unix.Socket(unix.AF_NETLINK, unix.SOCK_RAW|unix.SOCK_CLOEXEC, unix.NETLINK_SOCK_DIAG)
	if err != nil {
		return nil, fmt.Errorf("sock_diag: %w", err)
	}
	defer unix.Close(fd)
	unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, 4<<20)
	ask := make([]byte, unix.SizeofNlMsghdr+diagRequestBytes)
	e := binary.NativeEndian
	e.PutUint32(ask, uint32(len(ask)))
	e.PutUint16(ask[4:], sockDiagByFamily)
	e.PutUint16(ask[6:], unix.NLM_F_REQUEST|unix.NLM_F_DUMP)
	r := ask[unix.SizeofNlMsghdr:]
	r[0], r[1], r[2] = unix.AF_INET, unix.IPPROTO_TCP, 1<<(inetDiagInfo-1)
	e.PutUint32(r[4:], established)
	if err := unix.Sendto(fd, ask, 0, &unix.SockaddrNetlink{Family: unix.AF_NETLINK}); err != nil {
		return nil, fmt.Errorf("sock_diag: %w", err)
	}
	b := make([]byte, 256<<10)
	for {
		n, _, err := unix.Recvfrom(fd, b, 0)
		if errors.Is(err, unix.EINTR) {
			continue
		}
		if err != nil {
			return nil, fmt.Errorf("sock_diag: %w", err)
		}
		for m := b[:n]; len(m) >= unix.SizeofNlMsghdr; {
			size := int(e.Uint32(m))
			if size < unix.SizeofNlMsghdr || size > len(m) {
				return nil, errors.New("sock_diag: a message that can't be read")
			}
			switch body := m[unix.SizeofNlMsghdr:size]; e.Uint16(m[4:]) {
			case unix.NLMSG_DONE:
				return list, nil
			case unix.NLMSG_ERROR:
				return nil, fmt.Errorf("sock_diag: %w", unix.Errno(-int32(e.Uint32(body))))
			default:
				if c, ok := readConn(body); ok {
					list = append(list, c)
				}
			}
			m = m[min(len(m), (size+3)&^3):]
		}
	}
}

// readConn reads an inet_diag_msg and its attributes.
func readConn(b []byte) (c conn, ok bool) {
	if len(b) < diagMessageBytes {
		return c, false
	}
	addr := func(port, at int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[at:at+4])), binary.BigEndian.Uint16(b[port:]))
	}
	c.local, c.remote = addr(4, 8), addr(6, 24)
	c.inode = binary.NativeEndian.Uint32(b[68:])
	for a := b[diagMessageBytes:]; len(a) >= unix.SizeofRtAttr; {
		size := int(binary.NativeEndian.Uint16(a))
		if size < unix.SizeofRtAttr || size > len(a) {
			return c, false
		}
		if binary.NativeEndian.Uint16(a[2:]) == inetDiagInfo {
			var i unix.TCPInfo // another kernel's may be longer or shorter
			copy(unsafe.Slice((*byte)(unsafe.Pointer(&i)), unsafe.Sizeof(i)), a[unix.SizeofRtAttr:size])
			c.Traffic = Traffic{i.Bytes_sent, i.Bytes_received, uint64(i.Segs_out), uint64(i.Segs_in)}
			ok = true
		}
		a = a[min(len(a), (size+3)&^3):]
	}
	return c, ok
}

// inodes are the sockets of a process.
func inodes(pid int) (map[uint32]bool, error) {
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	d, err := os.Open(dir)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	names, err := d.Readdirnames(-1)
	if err != nil {
		return nil, err
	}
	set := map[uint32]bool{}
	for _, name := range names {
		to, err := os.Readlink(filepath.Join(dir, name))
		if err != nil {
			continue // it was closed meanwhile
		}
		if text, ok := strings.CutPrefix(to, "socket:["); ok {
			if n, err := strconv.ParseUint(strings.TrimSuffix(text, "]"), 10, 32); err == nil {
				set[uint32(n)] = true
			}
		}
	}
	return set, nil
}

// cpuOf is the CPU time that a process has taken, to the nanosecond (clock_getcpuclockid(3)).
func cpuOf(pid int) (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(int32(^pid<<3|2), &t); err != nil {
		return 0, fmt.Errorf("CPU time of process %d: %w", pid, err)
	}
	return time.Duration(t.Nano()), nil
}

// residentOf is a process's resident memory in bytes (VmRSS). Memory of the kernel's for its
// connections is not in it.
func residentOf(pid int) (uint64, error) {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	defer f.Close()
	for in := bufio.NewScanner(f); in.Scan(); {
		if f := strings.Fields(in.Text()); len(f) == 3 && f[0] == "VmRSS:" {
			n, err := strconv.ParseUint(f[1], 10, 64)
			return n << 10, err
		}
	}
	return 0, fmt.Errorf("process %d shows no VmRSS", pid)
}

// Loopback is what the loopback device has carried, packets with their headers of IP and TCP
// (/proc/net/dev): all connections of the machine, each packet once.
func Loopback() (bytes, packets uint64, err error) {
	b, err := os.ReadFile("/proc/net/dev")
	if err != nil {
		return 0, 0, err
	}
	for line := range strings.Lines(string(b)) {
		if text, ok := strings.CutPrefix(strings.TrimSpace(line), "lo:"); ok {
			if f := strings.Fields(text); len(f) > 2 {
				bytes, err = strconv.ParseUint(f[0], 10, 64)
				packets, _ = strconv.ParseUint(f[1], 10, 64)
				return bytes, packets, err
			}
		}
	}
	return 0, 0, errors.New("/proc/net/dev shows no lo")
}
