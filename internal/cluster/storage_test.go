package cluster

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"dunemoor/internal/cluster/lease"
	"dunemoor/internal/cluster/node"
	"dunemoor/internal/cluster/wal"
)

// The overrides survive the quarantine of a disk. Guards against an operator's drain that is forgotten if the gateway
// whose disk was restored from a copy later starts while no other is up.
func TestOverridesSurviveQuarantine(t *testing.T) {
	const logFile = "log"
	dir := t.TempDir()
	opened, err := wal.OpenDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer opened.Close()
	c := &Cluster{cfg: Config{DataDir: dir}, dir: opened}
	want := node.OverrideSet{ClusterID: 7, ModRevision: 3, List: []lease.Override{{Pool: "web", Host: "a"}}}
	if err := c.writeOverrides(&want); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, logFile), []byte("copied"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := c.quarantine(); err != nil {
		t.Fatal(err)
	}
	if got := c.readOverrides(); !reflect.DeepEqual(got, want) {
		t.Errorf("got overrides %+v after the quarantine, want %+v", got, want)
	}
	if moved, err := filepath.Glob(filepath.Join(dir, quarantinePrefix+"*", logFile)); err != nil || len(moved) != 1 {
		t.Errorf("the log is in %v, error %v, want it in one quarantine directory", moved, err)
	}
}
