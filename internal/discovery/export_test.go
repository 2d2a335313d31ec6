package discovery

import (
	"context"
	"net"
	"net/http"
)

// What tests from outside the package use.
const (
	Heartbeat = heartbeatInterval
	WatchDial = dialTimeout
)

// DialBy has calls go out on connections of a test. Call it before Run.
func (d *Watcher) DialBy(dial func(ctx context.Context, network, addr string) (net.Conn, error)) {
	d.client.Transport.(*http.Transport).DialContext = dial
}
