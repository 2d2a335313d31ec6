package discovery

import (
	"context"
	"net"
	"net/http"
)

// Durations exported for tests in package discovery_test.
const (
	HeartbeatInterval = heartbeatInterval
	DialTimeout       = dialTimeout
)

// SetDial makes the calls use connections opened by dial. It must be called before Run.
func (d *Watcher) SetDial(dial func(ctx context.Context, network, addr string) (net.Conn, error)) {
	d.client.Transport.(*http.Transport).DialContext = dial
}
