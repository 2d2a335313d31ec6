package discovery

import (
	"context"
	"net"
	"net/http"
)

// Intervals of the package for tests outside it.
const (
	HeartbeatInterval = heartbeatInterval
	DialTimeout       = dialTimeout
)

// SetDial lets the calls use the connections of dial. It is called before Run.
func (d *Watcher) SetDial(dial func(ctx context.Context, network, addr string) (net.Conn, error)) {
	d.client.Transport.(*http.Transport).DialContext = dial
}
