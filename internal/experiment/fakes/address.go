package fakes

import (
	"fmt"
	"net"
	"net/netip"

	"golang.org/x/sys/unix"
)

// checkLoopback returns an error unless the host of an address is a loopback IP address.
func checkLoopback(address string) error {
	host, _, err := net.SplitHostPort(address)
	ip := net.ParseIP(host)
	if err != nil || ip == nil || !ip.IsLoopback() {
		return fmt.Errorf("fakes: %q is not a loopback address", address)
	}
	return nil
}

// reservedAddress is a loopback address that stays reserved while nothing listens on it, as it is during a simulated crash:
// the system gives its port neither to a listener that asks for a free port nor to an outgoing connection. Otherwise a
// restart at the same address would sometimes fail with "address already in use".
type reservedAddress struct {
	address string
	socket  int // bound to the address, but not listening, so that connections are refused; -1 after release
}

// reserveAddress reserves an address, which must be a loopback one. Port 0 selects a free port.
func reserveAddress(address string) (*reservedAddress, error) {
	if err := checkLoopback(address); err != nil {
		return nil, err
	}
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("reserve %s: %w", address, err)
	}
	family := unix.AF_INET
	var name unix.Sockaddr
	if parsed.Addr().Is4() {
		name = &unix.SockaddrInet4{Port: int(parsed.Port()), Addr: parsed.Addr().As4()}
	} else {
		family = unix.AF_INET6
		name = &unix.SockaddrInet6{Port: int(parsed.Port()), Addr: parsed.Addr().As16()}
	}
	socket, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("reserve %s: %w", address, err)
	}
	a := &reservedAddress{socket: socket}
	if err := a.bind(name); err != nil {
		a.release()
		return nil, fmt.Errorf("reserve %s: %w", address, err)
	}
	return a, nil
}

// bind binds the socket and sets the address. With SO_REUSEADDR, which net.Listen sets too, a listener may be bound beside it.
func (a *reservedAddress) bind(name unix.Sockaddr) error {
	if err := unix.SetsockoptInt(a.socket, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return err
	}
	if err := unix.Bind(a.socket, name); err != nil {
		return err
	}
	bound, err := unix.Getsockname(a.socket)
	if err != nil {
		return err
	}
	switch bound := bound.(type) {
	case *unix.SockaddrInet4:
		a.address = netip.AddrPortFrom(netip.AddrFrom4(bound.Addr), uint16(bound.Port)).String()
	case *unix.SockaddrInet6:
		a.address = netip.AddrPortFrom(netip.AddrFrom16(bound.Addr), uint16(bound.Port)).String()
	}
	return nil
}

// listen returns a listener at the address. There must be no other one.
func (a *reservedAddress) listen() (net.Listener, error) { return net.Listen("tcp", a.address) }

// release ends the reservation. Further calls do nothing.
func (a *reservedAddress) release() {
	if a.socket >= 0 {
		unix.Close(a.socket)
		a.socket = -1
	}
}
