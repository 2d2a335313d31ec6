package gateway

import (
	"errors"
	"net"
	"os"
	"strings"
	"syscall"

	"dunemoor/internal/config"
	fcgi "dunemoor/internal/frontend/fastcgi"
)

const (
	// fastCGIKey begins the keys of listeners that speak FastCGI: a reload that changes the protocol of an address
	// opens it anew.
	fastCGIKey = "fastcgi "
	// unixPrefix begins addresses of Unix domain sockets.
	unixPrefix = "unix:"
	// fastCGIShareDivisor is the part of the connections of clients that web servers by FastCGI may have: each carries
	// many requests.
	fastCGIShareDivisor = 4
)

// listenerKey identifies a listener by protocol and address.
func listenerKey(l config.Listener) string {
	if l.Protocol == config.FastCGI {
		return fastCGIKey + l.Address
	}
	return l.Address
}

// listen opens a listener. It replaces the socket file of a process that has ended.
func listen(l config.Listener) (net.Listener, error) {
	path, isUnix := strings.CutPrefix(l.Address, unixPrefix)
	if !isUnix {
		return net.Listen("tcp", l.Address)
	}
	ln, err := net.Listen("unix", path)
	if !errors.Is(err, syscall.EADDRINUSE) {
		return ln, err
	}
	if c, dialErr := net.Dial("unix", path); dialErr == nil {
		c.Close()
		return nil, err // another process listens
	}
	if info, statErr := os.Lstat(path); statErr != nil || info.Mode().Type() != os.ModeSocket {
		return nil, err
	}
	if err := os.Remove(path); err != nil {
		return nil, err
	}
	return net.Listen("unix", path)
}

// startFastCGI starts the frontend for FastCGI.
func (g *Gateway) startFastCGI() {
	limit, spare := clientSocketLimits(g.maxSockets)
	g.fastCGI = fcgi.New(g.admission, fcgi.Options{MaxConns: limit / fastCGIShareDivisor})
	g.server.SetConnLimits(limit-limit/fastCGIShareDivisor, spare)
}
