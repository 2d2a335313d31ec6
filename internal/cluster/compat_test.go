package cluster

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"dunemoor/internal/cluster/lease"
	"dunemoor/internal/cluster/node"
	"dunemoor/internal/testutil/compat"
)

// The status at /admin/fleet, which operators' tools read, keeps its keys.
func TestCompatStatus(t *testing.T) {
	compat.JSON(t, "status.json", &Status{})
}

// The metrics of a relay and of a gateway keep their names and types.
func TestCompatMetrics(t *testing.T) {
	relays := newRelays(t, 2)
	names := map[string]bool{}
	for _, m := range []*member{startMember(t, "r1", relays, nil), startMember(t, "g1", relays, nil)} {
		registry := prometheus.NewRegistry()
		m.RegisterMetrics(registry)
		families, err := registry.Gather()
		if err != nil {
			t.Fatal(err)
		}
		for _, f := range families {
			names[f.GetName()+" "+f.GetType().String()] = true
		}
	}
	var list []any
	for name := range names {
		list = append(list, name)
	}
	slices.SortFunc(list, func(a, b any) int { return strings.Compare(a.(string), b.(string)) })
	compat.Values(t, "metrics.txt", list...)
}

// Overrides that an earlier build has saved are read at the start, and saved with the same bytes.
func TestCompatOverrides(t *testing.T) {
	dir := t.TempDir()
	c, err := New(Config{FleetID: "f", Name: "g1", Listen: "127.0.0.1:0", DataDir: dir, Key: []byte(testKey), BootstrapReplicas: []string{"g1"}})
	if err != nil {
		t.Fatal(err)
	}
	defer c.dir.Close()
	defer c.listener.Close()
	saved := node.OverrideSet{ClusterID: 5, ModRevision: 6, List: []lease.Override{
		{Pool: "web", Host: "w1", Reason: "disk", CreatedBy: "g2", Remaining: 3600e9, CreatedRevision: 4}, {Pool: "web", Host: "w2", CreatedBy: "g1", CreatedRevision: 6},
	}}
	if err := c.writeOverrides(&saved); err != nil {
		t.Fatal(err)
	}
	b, err := os.ReadFile(filepath.Join(dir, "words.json"))
	if err != nil {
		t.Fatal(err)
	}
	compat.Bytes(t, "words.json", b)
	if err := os.WriteFile(filepath.Join(dir, "words.json"), compat.Read(t, "words.json"), 0o600); err != nil {
		t.Fatal(err)
	}
	if got := c.readOverrides(); got.ClusterID != 5 || got.ModRevision != 6 || !slices.Equal(got.List, saved.List) {
		t.Errorf("overrides: got %+v, want %+v", got, saved)
	}
}
