package upstream

import (
	"cmp"
	"net"
	"time"
)

// maxDialTimeout limits the time to establish a connection. Within a data center that takes a fraction of a millisecond
// unless the machine is down. A failed dial, which proves that nothing ran, must be reported while there is still time
// for another attempt.
const maxDialTimeout = 100 * time.Millisecond

// NewDialer returns a dialer for connections to hosts. timeout is the configured timeout, which is limited to
// maxDialTimeout; 0 means maxDialTimeout.
func NewDialer(timeout time.Duration) net.Dialer {
	return net.Dialer{Timeout: min(cmp.Or(timeout, maxDialTimeout), maxDialTimeout)}
}
