package upstream

import (
	"cmp"
	"net"
	"time"
)

// maxDialTimeout limits the time for a connection to be established. Within a data center that takes a fraction of
// a millisecond unless the machine is gone; the proof that nothing ran has to come while there is time for another
// attempt.
const maxDialTimeout = 100 * time.Millisecond

// NewDialer returns a dialer of connections to hosts. timeout is the configured one, 0 for the default.
func NewDialer(timeout time.Duration) net.Dialer {
	return net.Dialer{Timeout: min(cmp.Or(timeout, maxDialTimeout), maxDialTimeout)}
}
