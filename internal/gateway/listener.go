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
	// fastCGIKeyPrefix is the prefix of the keys of FastCGI listeners. As the key depends on the protocol, a reload that
	// changes the protocol of an address reopens the listener.
	fastCGIKeyPrefix = "fastcgi "
	// unixPrefix is the prefix of Unix domain socket addresses.
	unixPrefix = "unix:"
	// fastCGIShareDivisor divides the limit of client connections: FastCGI web servers get one in this many. A quarter is
	// enough, as each of their connections multiplexes many requests.
	fastCGIShareDivisor = 4
)

// listenerKey identifies a listener by protocol and address.
func listenerKey(l config.Listener) string {
	if l.Protocol == config.FastCGI {
		return fastCGIKeyPrefix + l.Address
	}
	return l.Address
}

// listen opens a listener. A stale Unix socket file, on which no process listens any more, is replaced.
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
		return nil, err // another process is listening
	}
	if info, statErr := os.Lstat(path); statErr != nil || info.Mode().Type() != os.ModeSocket {
		return nil, err
	}
	if err := os.Remove(path); err != nil {
		return nil, err
	}
	return net.Listen("unix", path)
}

// startFastCGI creates the FastCGI frontend and assigns it a share of the client connections.
func (g *Gateway) startFastCGI() {
	limit, spare := clientSocketLimits(g.maxSockets)
	g.fastCGI = fcgi.New(g.admission, fcgi.Options{MaxConns: limit / fastCGIShareDivisor})
	g.server.SetConnLimits(limit-limit/fastCGIShareDivisor, spare)
}
