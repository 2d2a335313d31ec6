package cluster

import (
	"context"
	"errors"

	"dunemoor/internal/cluster/lease"
	"dunemoor/internal/cluster/leaseholder"
	"dunemoor/internal/cluster/node"
)

// Errors of commands.
var (
	// ErrIndeterminate is returned where it is unknown whether a command was carried out.
	ErrIndeterminate = errors.New("the outcome is unknown: no leader has replied in time")
	// ErrBusy is returned where too many commands are pending. Nothing was done.
	ErrBusy = errors.New("too many commands are pending, nothing was done")
)

// Propose has a command carried out and returns its result. The error is ErrIndeterminate or ErrBusy.
func (c *Cluster) Propose(ctx context.Context, command lease.Command) (lease.Result, error) {
	outcome, busy := make(chan node.Outcome, 1), make(chan struct{})
	c.post(func() {
		id := c.node.Propose(leaseholder.Now(), command)
		if id == 0 {
			close(busy)
			return
		}
		c.waiting[id] = outcome
	})
	select {
	case o := <-outcome:
		if !o.Known {
			return lease.Result{}, ErrIndeterminate
		}
		return o.Result, nil
	case <-busy:
		return lease.Result{}, ErrBusy
	case <-ctx.Done():
	case <-c.ctx.Done():
	}
	return lease.Result{}, ErrIndeterminate
}

// Publish sends a body to all other gateways, or to one, on behalf of the holder of a lease. Seq grows
// from one publication to the next.
func (c *Cluster) Publish(to string, l *leaseholder.Lease, seq uint64, body []byte) {
	c.post(func() { c.node.Publish(leaseholder.Now(), to, l.Name, l.Token, seq, body) })
}

// RequestResync asks the holder of a lease, where another gateway is known to be it, for all that it
// has published. The body is for the holder's Subscriber.
func (c *Cluster) RequestResync(name string, body []byte) {
	c.post(func() { c.node.RequestResync(leaseholder.Now(), name, body) })
}
