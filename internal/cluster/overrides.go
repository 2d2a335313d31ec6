package cluster

import (
	"encoding/json"
	"errors"
	"io/fs"
	"log/slog"

	"dunemoor/internal/cluster/failpoint"
	"dunemoor/internal/cluster/node"
	"dunemoor/internal/cluster/wal"
)

// Names of the file with the last known overrides, and of its replacement while that is written. A gateway that
// starts while it can reach no other gateway applies the saved overrides, whether or not it is a replica.
const (
	overridesFile    = "words.json"
	newOverridesFile = "words.new"
)

// readOverrides reads the overrides file. If that fails, it logs the error and returns an empty set: the fleet
// sends the overrides later.
func (c *Cluster) readOverrides() (set node.OverrideSet) {
	b, err := c.dir.Read(overridesFile)
	if errors.Is(err, fs.ErrNotExist) || failpoint.Enabled(failpoint.SkipOverrideLoad) {
		return set
	}
	if err == nil {
		err = json.Unmarshal(b, &set)
	}
	if err != nil {
		slog.Warn("read overrides failed, hosts are as listed until the fleet sends them", "file", overridesFile, "err", err)
		return node.OverrideSet{}
	}
	return set
}

// runSaveOverrides writes the overrides file when the overrides have changed. It has its own goroutine because
// the loop must not wait for the disk.
func (c *Cluster) runSaveOverrides() {
	for {
		select {
		case <-c.ctx.Done():
			return
		case set := <-c.saveOverrides:
			if err := c.writeOverrides(set); err != nil {
				slog.Error("save overrides failed, a restart may lose them until the fleet sends them", "err", err)
			}
		}
	}
}

// writeOverrides replaces the overrides file and makes the change durable.
func (c *Cluster) writeOverrides(set *node.OverrideSet) error {
	b, err := json.Marshal(set)
	if err != nil {
		return err
	}
	if err := wal.WriteFile(c.dir, newOverridesFile, b); err != nil {
		return err
	}
	if err := c.dir.Rename(newOverridesFile, overridesFile); err != nil {
		return err
	}
	return c.dir.Sync()
}

// applyOverrides makes a set of overrides the current one and queues it to be saved. It replaces a set that is
// still queued: only the latest has to be saved.
func (c *Cluster) applyOverrides(set *node.OverrideSet) {
	c.overrides.Store(set)
	select {
	case <-c.saveOverrides:
	default:
	}
	c.saveOverrides <- set
	if c.OnOverrides != nil {
		c.OnOverrides(set)
	}
}

// Overrides returns the operators' overrides as known to this gateway.
func (c *Cluster) Overrides() *node.OverrideSet { return c.overrides.Load() }
