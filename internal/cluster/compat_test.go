package cluster

import (
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"dunemoor/internal/cluster/lease"
	"dunemoor/internal/cluster/node"
	"dunemoor/internal/testutil/compat"
)

// What operators' tools read at /admin/fleet.
func TestCompatStatus(t *testing.T) {
	compat.JSON(t, "status.json", &Status{})
}

// The names of all metrics, of a mesh, a relay and a gateway.
func TestCompatMetrics(t *testing.T) {
	relays := relaysOf(t, 2)
	names := map[string]bool{}
	for _, p := range []*member{join(t, "r1", relays, nil), join(t, "g1", relays, nil)} {
		r := prometheus.NewRegistry()
		p.RegisterMetrics(r)
		families, err := r.Gather()
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
	slices.SortFunc(list, func(a, b any) int {
		if a.(string) < b.(string) {
			return -1
		}
		return 1
	})
	compat.Values(t, "metrics.txt", list...)
}

// Overrides that an earlier build has saved are read at a start, and saved in the same form.
func TestCompatWords(t *testing.T) {
	dir := t.TempDir()
	f, err := New(Config{FleetID: "f", Name: "g1", Listen: "127.0.0.1:0", DataDir: dir, Key: []byte(testKey), BootstrapReplicas: []string{"g1"}})
	if err != nil {
		t.Fatal(err)
	}
	defer f.dir.Close()
	defer f.listener.Close()
	saved := node.OverrideSet{ClusterID: 5, ModRevision: 6, List: []lease.Override{
		{Pool: "web", Host: "w1", Reason: "disk", CreatedBy: "g2", Remaining: 3600e9, CreatedRevision: 4}, {Pool: "web", Host: "w2", CreatedBy: "g1", CreatedRevision: 6},
	}}
	if err := f.writeOverrides(&saved); err != nil {
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
	if got := f.readOverrides(); got.ClusterID != 5 || got.ModRevision != 6 || !slices.Equal(got.List, saved.List) {
		t.Errorf("read back: %+v", got)
	}
}
