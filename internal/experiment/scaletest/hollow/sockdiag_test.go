package hollow

import (
	"io"
	"net"
	"net/netip"
	"syscall"
	"testing"
)

// connPair returns both ends of a connection over the loopback interface.
func connPair(t *testing.T) (dialer, listener net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	dialer, err = net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { dialer.Close() })
	listener, err = ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return dialer, listener
}

// send writes to one end of a connection and waits until all bytes have been read at the other end.
func send(t *testing.T, from, to net.Conn, buffer []byte) {
	t.Helper()
	if _, err := from.Write(buffer); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(to, buffer); err != nil {
		t.Fatal(err)
	}
}

// ownTraffic returns the traffic of this process's ends of connections, by local address.
func ownTraffic(t *testing.T) map[netip.AddrPort]Traffic {
	t.Helper()
	conns, err := listConns()
	if err != nil {
		t.Fatal(err)
	}
	own, err := socketInodes(syscall.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	traffic := map[netip.AddrPort]Traffic{}
	for _, c := range conns {
		if own[c.inode] {
			traffic[c.local] = c.Traffic
		}
	}
	return traffic
}

func localAddress(c net.Conn) netip.AddrPort { return c.LocalAddr().(*net.TCPAddr).AddrPort() }

// The kernel counts the bytes that were sent at both ends, and at least one segment for each write, because the bytes
// of a write are read before the next write.
func TestListConnsCountsTraffic(t *testing.T) {
	dialer, listener := connPair(t)
	const writes, size, back = 10, 100, 7
	buffer := make([]byte, size)
	for range writes {
		send(t, dialer, listener, buffer)
	}
	send(t, listener, dialer, buffer[:back])

	traffic := ownTraffic(t)
	atDialer, atListener := traffic[localAddress(dialer)], traffic[localAddress(listener)]
	if atDialer.BytesOut != writes*size || atDialer.BytesIn != back {
		t.Errorf("bytes at the dialer: got %d out, %d in, want %d, %d", atDialer.BytesOut, atDialer.BytesIn, writes*size, back)
	}
	if atListener.BytesOut != back || atListener.BytesIn != writes*size {
		t.Errorf("bytes at the listener: got %d out, %d in, want %d, %d", atListener.BytesOut, atListener.BytesIn, back, writes*size)
	}
	// The TCP handshake consists of three segments, two of which the dialer sends.
	if atDialer.PacketsOut < writes+2 {
		t.Errorf("packets sent by the dialer: got %d, want at least %d", atDialer.PacketsOut, writes+2)
	}
	if atListener.PacketsIn != atDialer.PacketsOut {
		t.Errorf("packets received by the listener: got %d, want the %d that the dialer sent", atListener.PacketsIn, atDialer.PacketsOut)
	}
	if got, want := atDialer.Bytes(), writes*size+back+HeaderBytes*atDialer.Packets(); got != want {
		t.Errorf("bytes with headers of %+v: got %d, want %d", atDialer, got, want)
	}
	checkTrafficSince(t, atDialer, size)
}

// checkTrafficSince checks Traffic.since for traffic of more than 3 packets and more than the given number of bytes.
func checkTrafficSince(t *testing.T, now Traffic, bytes uint64) {
	t.Helper()
	for name, c := range map[string]struct{ earlier, want Traffic }{
		"the same socket": {
			earlier: Traffic{BytesOut: bytes, PacketsOut: 3},
			want:    Traffic{BytesOut: now.BytesOut - bytes, BytesIn: now.BytesIn, PacketsOut: now.PacketsOut - 3, PacketsIn: now.PacketsIn},
		},
		"another socket with its inode": {earlier: Traffic{PacketsOut: now.PacketsOut + 1}, want: now},
	} {
		if got := now.since(c.earlier); got != c.want {
			t.Errorf("traffic since an earlier count of %s: got %+v, want %+v", name, got, c.want)
		}
	}
}

func TestLoopbackCountsTraffic(t *testing.T) {
	dialer, listener := connPair(t)
	bytesBefore, packetsBefore, err := Loopback()
	if err != nil {
		t.Fatal(err)
	}
	const size = 100
	send(t, dialer, listener, make([]byte, size))
	bytes, packets, err := Loopback()
	if err != nil {
		t.Fatal(err)
	}
	if want := bytesBefore + size + HeaderBytes; bytes < want {
		t.Errorf("bytes: got %d, want at least %d", bytes, want)
	}
	if packets <= packetsBefore {
		t.Errorf("packets: got %d, want more than %d", packets, packetsBefore)
	}
}
