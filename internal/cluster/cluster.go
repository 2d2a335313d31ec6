// Package cluster makes a gateway a member of a fleet. It combines the node, the write-ahead log and the
// transport, and runs the work of the leases that the gateway holds. Serving requests does not depend on it.
package cluster

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"dunemoor/internal/cluster/lease"
	"dunemoor/internal/cluster/leaseholder"
	"dunemoor/internal/cluster/multiraft"
	"dunemoor/internal/cluster/node"
	"dunemoor/internal/cluster/transport"
	"dunemoor/internal/cluster/wal"
)

// Config is the fleet part of a gateway's configuration.
type Config struct {
	FleetID, Name, Zone, Machine string
	Listen                       string
	DataDir                      string
	Key                          []byte // shared by all gateways of the fleet
	BootstrapReplicas            []string
	Peers                        []Peer

	// Relays is set instead of Peers in a fleet with relays. A gateway that is listed in it is a relay; other
	// gateways need no Listen.
	Relays []Relay
	Region string
}

// Peer is another gateway of the fleet.
type Peer struct{ Name, Address, Zone, Machine string }

// Relay is a gateway that forwards the messages of a fleet's gateways.
type Relay struct{ Name, Address, Zone, Region string }

const (
	// maxEvents is the capacity of the loop's event queue. A connection whose event does not fit blocks until
	// there is room.
	maxEvents = 1024
	// leaderPollInterval is how often Leave checks whether this gateway is still the leader.
	leaderPollInterval = 5 * time.Millisecond
)

// Subscriber receives the publications and resync requests of a lease. The loop calls its methods one at a
// time; they must not block.
type Subscriber interface {
	// ReceivePublication receives a publication from the holder of the lease.
	ReceivePublication(p node.Publication)
	// Resync is called on the holder of the lease when another gateway requests everything that was published.
	Resync(from string, body []byte)
}

// Cluster is a gateway's membership in its fleet. Its exported methods may be called concurrently.
type Cluster struct {
	cfg       Config
	dir       *wal.Dir
	listener  net.Listener // nil if this gateway accepts no connections
	runner    *leaseholder.Runner
	transport *transport.Transport

	events     chan func()
	batches    chan *multiraft.Batch // batches that writeBatches has to write
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	hello  atomic.Pointer[node.Hello]
	status statusCache

	// OnOverrides is called by the loop with the operators' overrides when they change. It must be set before
	// Start.
	OnOverrides   func(*node.OverrideSet)
	overrides     atomic.Pointer[node.OverrideSet]
	saveOverrides chan *node.OverrideSet

	writeSeconds prometheus.Histogram
	counters     counters

	// The fields below are owned by the loop.

	node        *node.Node
	log         *wal.Log
	relaying    *relaying // nil in a fleet without relays
	subscribers map[string]Subscriber
	waiting     map[uint64]chan<- node.Outcome // channels of the callers that wait for an outcome, by command ID
	writing     bool                           // true while a batch is being written
	// haltedAt is the time at which the replica was seen to have halted, or of the last attempt to restart it;
	// 0 while it runs.
	haltedAt time.Duration
}

// counters holds the counters that are exported as metrics.
type counters struct {
	transfers, stalePublications, bytesWritten, syncs atomic.Uint64
}

// New opens the data directory and the listener. It starts no goroutine; Start does.
func New(cfg Config) (*Cluster, error) {
	c := &Cluster{
		cfg: cfg, events: make(chan func(), maxEvents), batches: make(chan *multiraft.Batch, 1),
		saveOverrides: make(chan *node.OverrideSet, 1), subscribers: map[string]Subscriber{}, waiting: map[uint64]chan<- node.Outcome{},
		writeSeconds: newWriteHistogram(),
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.runner = leaseholder.NewRunner(func(name string, token uint64) {
		c.post(func() { c.node.ReleaseStopped(leaseholder.Now(), name, token) })
	})
	var err error
	if c.dir, err = wal.OpenDir(cfg.DataDir); err != nil {
		return nil, fmt.Errorf("fleet.data_dir: %w", err)
	}
	if len(cfg.Relays) == 0 || c.isRelay(cfg.Name) {
		if c.listener, err = net.Listen("tcp", cfg.Listen); err != nil {
			c.dir.Close()
			return nil, fmt.Errorf("fleet.listen: %w", err)
		}
	}
	overrides := c.readOverrides()
	c.overrides.Store(&overrides)
	return c, nil
}

// Register makes this gateway a candidate for a lease. The work runs while this gateway holds the lease. The
// subscriber may be nil. Register must be called before Start.
func (c *Cluster) Register(name string, work leaseholder.WorkFunc, s Subscriber) {
	c.runner.Register(name, work)
	if s != nil {
		c.subscribers[name] = s
	}
}

// Start starts the node and joins the fleet.
func (c *Cluster) Start() error {
	if err := c.startNode(); err != nil {
		if c.listener != nil {
			c.listener.Close()
		}
		c.dir.Close()
		return err
	}
	c.transport = transport.New(c.transportConfig(), c.listener, (*handler)(c))
	c.goroutines.Go(c.loop)
	c.goroutines.Go(c.writeBatches)
	c.goroutines.Go(c.runSaveOverrides)
	c.transport.Start()
	return nil
}

func (c *Cluster) transportConfig() transport.Config {
	addresses, names := map[string]string{}, []string{}
	for _, p := range c.peers() {
		addresses[p.Name] = p.Address
		names = append(names, p.Name)
	}
	cfg := transport.Config{
		Name: c.cfg.Name, Key: c.cfg.Key, Peers: addresses,
		Hello:    func() node.Hello { return *c.hello.Load() },
		Validate: func(h *node.Hello) error { return node.ValidateHello(c.hello.Load(), h, names) },
	}
	if len(c.cfg.Relays) > 0 {
		cfg.StreamHandler, cfg.ValidateStream, cfg.AcceptStreams = (*handler)(c), c.validateStream, c.isRelay(c.cfg.Name)
	}
	return cfg
}

// peers returns the gateways with which this gateway has a connection in each direction.
func (c *Cluster) peers() []Peer {
	if len(c.cfg.Relays) == 0 {
		return c.cfg.Peers
	}
	if !c.isRelay(c.cfg.Name) {
		return nil
	}
	var list []Peer
	for _, r := range c.cfg.Relays {
		if r.Name != c.cfg.Name {
			list = append(list, Peer{Name: r.Name, Address: r.Address})
		}
	}
	return list
}

// isRelay reports whether a name is that of a relay.
func (c *Cluster) isRelay(name string) bool {
	for _, r := range c.cfg.Relays {
		if r.Name == name {
			return true
		}
	}
	return false
}

// random returns a random number from the operating system.
func random() uint64 {
	var b [8]byte
	rand.Read(b[:]) // rand.Read never returns an error
	return binary.LittleEndian.Uint64(b[:])
}

// Leave leaves the fleet gracefully: it stops the work under leases, transfers leadership and closes the
// session, so that other gateways need not wait for them to expire. It takes at most timeout, plus the time of
// work that does not stop.
func (c *Cluster) Leave(timeout time.Duration) {
	c.runner.Close()
	ctx, cancel := context.WithTimeout(c.ctx, timeout)
	defer cancel()
	c.post(func() { c.node.TransferLeadership(leaseholder.Now()) })
	for c.freshStatus().Role == roleLeader && ctx.Err() == nil {
		time.Sleep(leaderPollInterval)
	}
	if c.freshStatus().Session != 0 {
		c.Propose(ctx, lease.Command{Op: lease.OpCloseSession}) // if the command is lost, the session expires
	}
	c.Close()
}

// Close leaves the fleet at once: leadership and the session are left to expire.
func (c *Cluster) Close() {
	c.cancel()
	c.transport.Close()
	c.goroutines.Wait()
	c.runner.Close()
	c.log.Close()
	c.dir.Close()
}
