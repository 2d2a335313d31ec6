package cluster

import (
	"log/slog"
	"time"

	"dunemoor/internal/cluster/leaseholder"
	"dunemoor/internal/cluster/node"
	"dunemoor/internal/cluster/relay"
)

// post queues a function that the loop calls.
func (c *Cluster) post(do func()) {
	select {
	case c.events <- do:
	case <-c.ctx.Done():
	}
}

// loop runs the event loop. Only its goroutine uses the node.
func (c *Cluster) loop() {
	tick := time.NewTicker(node.TickInterval)
	defer tick.Stop()
	var batchTick <-chan time.Time // nil unless this gateway is a relay
	if c.relaying != nil && c.relaying.router != nil {
		t := time.NewTicker(relay.TickInterval)
		defer t.Stop()
		batchTick = t.C
	}
	c.processOutput()
	for {
		select {
		case <-c.ctx.Done():
			return
		case do := <-c.events:
			do()
			// Handle the events that are queued already in the same turn, so that they share a write and
			// frames.
			for range len(c.events) {
				(<-c.events)()
			}
		case <-tick.C:
			now := leaseholder.Now()
			c.node.Tick(now)
			if c.relaying != nil {
				c.relaying.tick(now)
			}
		case <-batchTick:
			c.relaying.tick(leaseholder.Now())
		}
		c.processOutput()
	}
}

// processOutput executes the output of the node and of the relaying until there is none left.
func (c *Cluster) processOutput() {
	c.processNodeOutput()
	for c.relaying != nil && c.relaying.processOutput(c) {
		c.processNodeOutput()
	}
	c.restartNode(leaseholder.Now())
}

// processNodeOutput executes the output of the node.
func (c *Cluster) processNodeOutput() {
	o := c.node.TakeOutput()
	if o.ClusterID != 0 {
		if err := c.log.SetClusterID(o.ClusterID); err != nil {
			c.node.WriteFailed(leaseholder.Now(), err)
		}
	}
	// The hello must be current before frames are sent that depend on a later term or index.
	if h := c.node.Hello(); h != *c.hello.Load() {
		c.hello.Store(&h)
	}
	if o.Write != nil {
		c.writing = true
		c.batches <- o.Write // does not block: the previous batch was reported as persisted
	}
	c.sendFrames(&o)
	for _, outcome := range o.Outcomes {
		if reply := c.waiting[outcome.ID]; reply != nil {
			delete(c.waiting, outcome.ID)
			reply <- outcome
		}
	}
	if o.GrantsChanged {
		c.runner.Update(o.Grants)
	}
	c.notifySubscribers(&o)
	if o.Overrides != nil {
		c.applyOverrides(o.Overrides)
	}
	c.counters.stalePublications.Add(uint64(o.StalePublications))
	c.writeLog(o.Log)
	if len(o.Log) > 0 || o.GrantsChanged {
		c.status.invalidate()
	}
}

// sendFrames sends the node's frames, directly or through relays.
func (c *Cluster) sendFrames(o *node.Output) {
	for i := range o.Frames {
		if c.relaying != nil {
			c.relaying.send(c, leaseholder.Now(), &o.Frames[i])
		} else {
			c.transport.Send(&o.Frames[i])
		}
	}
	if c.relaying != nil {
		c.relaying.noteRenewals(leaseholder.Now(), o)
	}
}

// notifySubscribers passes publications and resync requests to the subscribers of their leases.
func (c *Cluster) notifySubscribers(o *node.Output) {
	for _, p := range o.Publications {
		if s := c.subscribers[p.Lease]; s != nil {
			s.ReceivePublication(p)
		}
	}
	for _, r := range o.ResyncRequests {
		if s := c.subscribers[r.Lease]; s != nil {
			s.Resync(r.From, r.Body)
		}
	}
}

// writeLog logs entries of the node or the relay client, and counts lease transfers.
func (c *Cluster) writeLog(entries []node.LogEntry) {
	for _, e := range entries {
		if e.Message == node.LogLeaseTransferred {
			c.counters.transfers.Add(1)
		}
		if e.Warn {
			slog.Warn(e.Message, e.Args...)
		} else {
			slog.Info(e.Message, e.Args...)
		}
	}
}

// handler implements the handlers of the transport for a Cluster.
type handler Cluster

// ReceiveHello implements transport.Handler.
func (h *handler) ReceiveHello(hello node.Hello) {
	c := (*Cluster)(h)
	c.post(func() {
		c.node.ReceiveHello(leaseholder.Now(), hello)
		if c.relaying != nil {
			c.relaying.connections[hello.Name]++
			c.relaying.router.RelayUp(leaseholder.Now(), hello.Name)
		}
	})
}

// Receive implements transport.Handler.
func (h *handler) Receive(from string, kind node.Kind, body []byte) {
	c := (*Cluster)(h)
	c.post(func() {
		if c.relaying != nil && (kind == relay.KindRecord || kind == relay.KindRoutes) {
			c.relaying.router.ReceiveFromRelay(leaseholder.Now(), from, kind, body)
			return
		}
		c.receive(leaseholder.Now(), from, kind, body)
	})
}

// receive passes a frame to the node.
func (c *Cluster) receive(now time.Duration, from string, kind node.Kind, body []byte) {
	if err := c.node.Receive(now, from, kind, body); err != nil {
		c.transport.Counters.FramesMalformed.Add(1)
		slog.Warn("malformed frame dropped", "gateway", from, "why", err.Error())
	}
}

// Unreachable implements transport.Handler.
func (h *handler) Unreachable(to string) {
	c := (*Cluster)(h)
	c.post(func() {
		c.node.Unreachable(leaseholder.Now(), to)
		if c.relaying != nil {
			c.relaying.router.RelayDown(leaseholder.Now(), to)
		}
	})
}

// SnapshotSent implements transport.Handler.
func (h *handler) SnapshotSent(replica uint64, ok bool) {
	c := (*Cluster)(h)
	c.post(func() { c.node.SnapshotSent(leaseholder.Now(), replica, ok) })
}
