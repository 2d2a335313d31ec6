package cluster

import (
	"sync/atomic"
	"time"

	"dunemoor/internal/cluster/leaseholder"
	"dunemoor/internal/cluster/node"
)

const (
	// maxStatusAge is the age up to which the last status is returned again. statusTimeout is how long a caller
	// waits for the loop to make a new one.
	maxStatusAge  = 200 * time.Millisecond
	statusTimeout = time.Second
	// roleLeader is the Role of the leader in a status.
	roleLeader = "leader"
)

// Status is a gateway's status in its fleet.
type Status struct {
	*node.Status
	Relay   *RelayStatus   `json:"relay,omitempty"`   // set on a gateway in a fleet with relays
	Streams *StreamsStatus `json:"streams,omitempty"` // set on a relay
}

// RelayStatus is a gateway's connection to its relay.
type RelayStatus struct {
	Name      string            `json:"name"` // "" if there is none at present
	SinceMS   int64             `json:"since_ms"`
	Epoch     uint64            `json:"epoch"`
	Preferred string            `json:"first"` // the most preferred relay of this gateway
	Moves     uint64            `json:"moves"` // streams that were accepted since the start
	Ends      map[string]uint64 `json:"ends"`  // number of streams and attempts that ended, by cause
}

// StreamsStatus is the load of a relay.
type StreamsStatus struct {
	Streams int            `json:"streams"`
	Limit   int            `json:"bound"`  // current limit of Streams
	Routes  int            `json:"routes"` // gateways with a stream to any relay
	Relays  map[string]int `json:"relays"` // number of streams of each relay that is up
	// Counts since the start: streams that this relay has accepted, rejected and closed, records that it has
	// dropped because they were late, duplicate or undeliverable, and malformed records.
	Joins     uint64 `json:"joins"`
	Rejected  uint64 `json:"refused"`
	Closed    uint64 `json:"cuts"`
	Dropped   uint64 `json:"dropped"`
	Malformed uint64 `json:"bad"`
}

// statusCache holds the last status that the loop has made.
type statusCache struct {
	last   atomic.Pointer[Status]
	madeAt atomic.Int64
	stale  atomic.Bool // set when last is out of date whatever its age
}

func (s *statusCache) invalidate() { s.stale.Store(true) }

// isFresh reports whether the last status may be returned at now.
func (s *statusCache) isFresh(now time.Duration) bool {
	return !s.stale.Load() && int64(now) < s.madeAt.Load()+int64(maxStatusAge)
}

// updateStatus makes a new status. It is called by the loop, and before the loop starts.
func (c *Cluster) updateStatus(now time.Duration) {
	c.status.stale.Store(false)
	s := &Status{Status: c.node.Status(now)}
	if c.relaying != nil {
		c.relaying.addStatus(now, s)
	}
	c.status.last.Store(s)
	c.status.madeAt.Store(int64(now))
}

// Status returns this gateway's status in the fleet, which is at most maxStatusAge old unless the loop is
// blocked. It waits for the loop, so the loop must not call it.
func (c *Cluster) Status() *Status {
	if c.status.isFresh(leaseholder.Now()) {
		return c.status.last.Load()
	}
	done := make(chan struct{})
	update := func() {
		if now := leaseholder.Now(); !c.status.isFresh(now) {
			c.updateStatus(now)
		}
		close(done)
	}
	timeout := time.NewTimer(statusTimeout)
	defer timeout.Stop()
	select {
	case c.events <- update:
		select {
		case <-done:
		case <-timeout.C:
		case <-c.ctx.Done():
		}
	case <-timeout.C: // an outdated status is better than none
	case <-c.ctx.Done():
	}
	return c.status.last.Load()
}

// freshStatus returns a status that is made after the call.
func (c *Cluster) freshStatus() *Status {
	c.status.invalidate()
	return c.Status()
}
