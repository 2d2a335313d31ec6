package cluster

import (
	"errors"
	"fmt"
	"hash/fnv"
	"log/slog"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"dunemoor/internal/cluster/failpoint"
	"dunemoor/internal/cluster/leaseholder"
	"dunemoor/internal/cluster/multiraft"
	"dunemoor/internal/cluster/node"
	"dunemoor/internal/cluster/wal"
)

const (
	// maxQuarantined is the maximum number of quarantined disks that are kept for inspection.
	maxQuarantined = 2
	// quarantinePrefix is the prefix of the names of their directories.
	quarantinePrefix = "aside-"
	// restartInterval is the time between two attempts to restart a replica whose disk was full.
	restartInterval = 5 * time.Second
)

// openLog opens the write-ahead log. A log that is a copy or corrupt is quarantined and replaced by an empty
// one, which makes this gateway a new replica.
func (c *Cluster) openLog() (map[multiraft.Group]multiraft.PersistedGroup, error) {
	log, stored, err := wal.Open(c.dir, c.cfg.FleetID, c.cfg.Name, c.drawReplicaID)
	if errors.Is(err, wal.ErrCopied) || errors.Is(err, wal.ErrCorrupt) {
		slog.Warn("data directory quarantined, joining as a new replica", "dir", c.cfg.DataDir, "why", err.Error())
		if err := c.quarantine(); err != nil {
			return nil, fmt.Errorf("fleet.data_dir: %w", err)
		}
		log, stored, err = wal.Open(c.dir, c.cfg.FleetID, c.cfg.Name, c.drawReplicaID)
	}
	if err != nil {
		return nil, fmt.Errorf("fleet.data_dir: %s: %w", c.cfg.DataDir, err)
	}
	c.log = log
	return stored, nil
}

// drawReplicaID returns a random replica ID for a new disk.
func (c *Cluster) drawReplicaID() uint64 {
	if failpoint.Enabled(failpoint.ReuseDiskIdentity) {
		h := fnv.New64a()
		h.Write([]byte(c.cfg.Name))
		return h.Sum64() | 2
	}
	return random()
}

// quarantine moves the files of the data directory into a new subdirectory, and removes old ones over
// maxQuarantined. The overrides file stays: it belongs to no replica, and without it they would be forgotten if no other
// gateway is up at the next start.
func (c *Cluster) quarantine() error {
	names, err := c.dir.Names()
	if err != nil {
		return err
	}
	old, err := filepath.Glob(filepath.Join(c.cfg.DataDir, quarantinePrefix+"*"))
	if err != nil {
		return err
	}
	for len(old) >= maxQuarantined {
		if err := os.RemoveAll(old[0]); err != nil {
			return err
		}
		old = old[1:]
	}
	to := quarantinePrefix + time.Now().UTC().Format("20060102T150405.000000")
	if err := os.Mkdir(filepath.Join(c.cfg.DataDir, to), 0o700); err != nil {
		return err
	}
	for _, name := range names {
		if name == overridesFile {
			continue
		}
		if err := c.dir.Rename(name, filepath.Join(to, name)); err != nil {
			return err
		}
	}
	return c.dir.Sync()
}

// startNode opens the log and starts the node on it.
func (c *Cluster) startNode() error {
	stored, err := c.openLog()
	if err != nil {
		return err
	}
	var peers []string
	for _, p := range c.peers() {
		peers = append(peers, p.Name)
	}
	now := leaseholder.Now()
	n, err := node.New(now, node.Config{
		Fleet: c.cfg.FleetID, Name: c.cfg.Name, Zone: c.cfg.Zone, Machine: c.cfg.Machine, Address: c.cfg.Listen,
		BootstrapReplicas: c.cfg.BootstrapReplicas, Peers: peers, CandidateLeases: c.runner.Names(), Seed: random(),
		Disk: c.log.Identity(), Stored: stored, Overrides: *c.overrides.Load(), UsesRelays: len(c.cfg.Relays) > 0,
	})
	if err != nil {
		return err
	}
	c.node = n
	h := n.Hello()
	c.hello.Store(&h)
	c.startRelaying(now, &h)
	c.updateStatus(now)
	slog.Info("fleet joined", "fleet", c.cfg.FleetID, "name", c.cfg.Name, "disk", h.ReplicaID, "boots", h.Boots)
	return nil
}

// restartNode restarts the node when its replica has halted and a restart can help: with an empty disk if the
// disk is a copy, and with the same disk after it was full.
func (c *Cluster) restartNode(now time.Duration) {
	err := c.node.Halted()
	if err == nil {
		c.haltedAt = 0
		return
	}
	if c.haltedAt == 0 {
		c.haltedAt = now
	}
	copied := errors.Is(err, wal.ErrCopied)
	wasFull := isDiskFull(err) && now >= c.haltedAt+restartInterval
	if c.writing || !copied && !wasFull {
		return
	}
	c.haltedAt = now
	c.log.Close()
	if copied {
		if err := c.quarantine(); err != nil {
			slog.Error("quarantine of the data directory failed", "dir", c.cfg.DataDir, "err", err)
			return
		}
	}
	if err := c.startNode(); err != nil {
		slog.Warn("replica restart failed, retrying", "why", err.Error())
		return
	}
	c.runner.Update(nil)
	for id, reply := range c.waiting {
		delete(c.waiting, id)
		reply <- node.Outcome{ID: id}
	}
	c.transport.ReconnectAll()
}

// isDiskFull reports whether a write failed because the disk was full. The part that was written is removed
// when the log is opened again. After a failed fsync the same file is not synced again.
func isDiskFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EFBIG)
}

// writeBatches makes batches durable, one at a time.
func (c *Cluster) writeBatches() {
	for {
		select {
		case <-c.ctx.Done():
			return
		case b := <-c.batches:
			c.writeBatch(b)
		}
	}
}

// writeBatch makes a batch durable and reports the result to the loop, which does not replace the log while a
// batch is being written.
func (c *Cluster) writeBatch(b *multiraft.Batch) {
	started := time.Now()
	err := c.log.Write(b)
	c.writeSeconds.Observe(time.Since(started).Seconds())
	c.counters.bytesWritten.Store(c.log.BytesWritten)
	c.counters.syncs.Store(c.log.Syncs)
	c.post(func() {
		c.writing = false
		if err != nil {
			c.node.WriteFailed(leaseholder.Now(), err)
		} else {
			c.node.Persisted(leaseholder.Now(), b.ID)
		}
	})
}
