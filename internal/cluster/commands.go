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
	// ErrIndeterminate is returned if it is unknown whether a command was applied.
	ErrIndeterminate = errors.New("the outcome is unknown: no leader has replied in time")
	// ErrBusy is returned if too many commands are pending. The command was not proposed.
	ErrBusy = errors.New("too many commands are pending, nothing was done")
)

// Propose proposes a command and returns its result once it is applied. The error is ErrIndeterminate or
// ErrBusy.
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

// Publish sends a body to all other gateways, or to one if to is not empty, on behalf of the holder of a lease.
// seq must increase from each publication to the next.
func (c *Cluster) Publish(to string, l *leaseholder.Lease, seq uint64, body []byte) {
	c.post(func() { c.node.Publish(leaseholder.Now(), to, l.Name, l.Token, seq, body) })
}

// RequestResync requests everything that the holder of a lease has published, if the holder is known and is
// another gateway. The body is passed to the holder's Subscriber.
func (c *Cluster) RequestResync(name string, body []byte) {
	c.post(func() { c.node.RequestResync(leaseholder.Now(), name, body) })
}
