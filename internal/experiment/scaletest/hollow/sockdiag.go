package hollow

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Constants of linux/sock_diag.h and linux/inet_diag.h.
const (
	sockDiagByFamily   = 20
	inetDiagInfo       = 2
	tcpEstablishedMask = 1 << 1 // bit of TCP_ESTABLISHED in a mask of states
)

// Layout of struct inet_diag_req_v2: its size and the offsets of its fields, in bytes.
const (
	diagRequestBytes          = 56
	diagRequestFamilyOffset   = 0
	diagRequestProtocolOffset = 1
	diagRequestExtOffset      = 2
	diagRequestStatesOffset   = 4
)

// Layout of struct inet_diag_msg: its size and the offsets of its fields, in bytes.
const (
	diagMessageBytes            = 72
	diagMessageSourcePortOffset = 4
	diagMessageDestPortOffset   = 6
	diagMessageSourceOffset     = 8
	diagMessageDestOffset       = 24
	diagMessageInodeOffset      = 68
)

// Offsets of fields in the headers of netlink messages and attributes, in bytes. Both headers begin with the length.
const (
	messageTypeOffset   = 4
	messageFlagsOffset  = 6
	attributeTypeOffset = 2
)

const (
	// diagSocketBufferBytes is the requested size of the receive buffer; the kernel may grant less.
	diagSocketBufferBytes = 4 << 20
	diagReadBufferBytes   = 256 << 10
)

var errMalformedDiagMessage = errors.New("malformed message")

// conn is one end of an established connection, with its traffic as counted by the kernel (TCP_INFO).
type conn struct {
	local, remote netip.AddrPort
	inode         uint32 // inode of its socket; 0: the process has closed the socket
	Traffic
}

// listConns returns all ends of established connections over IPv4 in this network namespace, as ss(8) lists them
// (sock_diag(7)).
func listConns() ([]conn, error) {
	list, err := dumpConns()
	if err != nil {
		return nil, fmt.Errorf("list connections by sock_diag: %w", err)
	}
	return list, nil
}

func dumpConns() ([]conn, error) {
	fd, err := unix.Socket(unix.AF_NETLINK, unix.SOCK_RAW|unix.SOCK_CLOEXEC, unix.NETLINK_SOCK_DIAG)
	if err != nil {
		return nil, err
	}
	defer unix.Close(fd)
	unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, diagSocketBufferBytes)
	if err := unix.Sendto(fd, diagRequest(), 0, &unix.SockaddrNetlink{Family: unix.AF_NETLINK}); err != nil {
		return nil, err
	}
	var list []conn
	buffer := make([]byte, diagReadBufferBytes)
	for {
		n, _, err := unix.Recvfrom(fd, buffer, 0)
		if errors.Is(err, unix.EINTR) {
			continue
		}
		if err != nil {
			return nil, err
		}
		conns, done, err := parseDiagMessages(buffer[:n])
		if err != nil {
			return nil, err
		}
		list = append(list, conns...)
		if done {
			return list, nil
		}
	}
}

// diagRequest returns a netlink message that requests all established TCP connections over IPv4 with TCP_INFO.
func diagRequest() []byte {
	native := binary.NativeEndian
	message := make([]byte, unix.SizeofNlMsghdr+diagRequestBytes)
	native.PutUint32(message, uint32(len(message)))
	native.PutUint16(message[messageTypeOffset:], sockDiagByFamily)
	native.PutUint16(message[messageFlagsOffset:], unix.NLM_F_REQUEST|unix.NLM_F_DUMP)

	body := message[unix.SizeofNlMsghdr:]
	body[diagRequestFamilyOffset] = unix.AF_INET
	body[diagRequestProtocolOffset] = unix.IPPROTO_TCP
	body[diagRequestExtOffset] = 1 << (inetDiagInfo - 1)
	native.PutUint32(body[diagRequestStatesOffset:], tcpEstablishedMask)
	return message
}

// parseDiagMessages returns the connections in the netlink messages of a datagram. done is true if the last message
// of the dump was among them.
func parseDiagMessages(datagram []byte) (list []conn, done bool, err error) {
	native := binary.NativeEndian
	for len(datagram) >= unix.SizeofNlMsghdr {
		size := int(native.Uint32(datagram))
		if size < unix.SizeofNlMsghdr || size > len(datagram) {
			return nil, false, errMalformedDiagMessage
		}
		body := datagram[unix.SizeofNlMsghdr:size]
		switch native.Uint16(datagram[messageTypeOffset:]) {
		case unix.NLMSG_DONE:
			return list, true, nil
		case unix.NLMSG_ERROR:
			return nil, false, unix.Errno(-int32(native.Uint32(body)))
		default:
			if c, ok := parseConn(body); ok {
				list = append(list, c)
			}
		}
		datagram = datagram[min(len(datagram), alignNetlink(size)):]
	}
	return list, false, nil
}

// alignNetlink returns the size of a message or attribute including the padding that follows it.
func alignNetlink(size int) int { return (size + unix.NLMSG_ALIGNTO - 1) &^ (unix.NLMSG_ALIGNTO - 1) }

// parseConn parses an inet_diag_msg and its attributes. ok is false if there is no TCP_INFO.
func parseConn(message []byte) (c conn, ok bool) {
	if len(message) < diagMessageBytes {
		return c, false
	}
	c.local = parseAddress(message, diagMessageSourceOffset, diagMessageSourcePortOffset)
	c.remote = parseAddress(message, diagMessageDestOffset, diagMessageDestPortOffset)
	c.inode = binary.NativeEndian.Uint32(message[diagMessageInodeOffset:])
	attributes := message[diagMessageBytes:]
	for len(attributes) >= unix.SizeofRtAttr {
		size := int(binary.NativeEndian.Uint16(attributes))
		if size < unix.SizeofRtAttr || size > len(attributes) {
			return c, false
		}
		if binary.NativeEndian.Uint16(attributes[attributeTypeOffset:]) == inetDiagInfo {
			c.Traffic = parseTCPInfo(attributes[unix.SizeofRtAttr:size])
			ok = true
		}
		attributes = attributes[min(len(attributes), alignNetlink(size)):]
	}
	return c, ok
}

// parseAddress returns the IPv4 address and the port at offsets in an inet_diag_msg, both in network order.
func parseAddress(message []byte, addressOffset, portOffset int) netip.AddrPort {
	address := netip.AddrFrom4([4]byte(message[addressOffset : addressOffset+4]))
	return netip.AddrPortFrom(address, binary.BigEndian.Uint16(message[portOffset:]))
}

// parseTCPInfo returns the traffic in a struct tcp_info. The kernel's struct may be shorter or longer than
// unix.TCPInfo, but the offsets of its fields don't change.
func parseTCPInfo(data []byte) Traffic {
	var info unix.TCPInfo
	copy(unsafe.Slice((*byte)(unsafe.Pointer(&info)), unsafe.Sizeof(info)), data)
	return Traffic{
		BytesOut:   info.Bytes_sent,
		BytesIn:    info.Bytes_received,
		PacketsOut: uint64(info.Segs_out),
		PacketsIn:  uint64(info.Segs_in),
	}
}
