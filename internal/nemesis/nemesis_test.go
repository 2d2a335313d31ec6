package nemesis

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// built is the program, built once for all tests here.
var built string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "nemesis")
	if err != nil {
		panic(err)
	}
	built = filepath.Join(dir, "dunemoor")
	if out, err := exec.Command("go", "build", "-o", built, "lynxspool/cmd/dunemoor").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// formTime is how long a fleet of processes has to form or to be whole again: many times what it
// takes, as the machine may be busy with other tests.
const formTime = 60 * time.Second

func start(t *testing.T, o Options) *Fleet {
	t.Helper()
	o.Bin, o.Dir = built, t.TempDir()
	f, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		f.Close()
		if t.Failed() {
			t.Log(f.Log())
		}
	})
	for _, g := range f.Gateways {
		if err := g.Start(); err != nil {
			t.Fatal(err)
		}
	}
	whole(t, f)
	return f
}

func whole(t *testing.T, f *Fleet) {
	t.Helper()
	if err := f.Until(context.Background(), "the fleet is whole", formTime, f.Whole); err != nil {
		t.Fatal(err)
	}
}

func TestForms(t *testing.T) {
	f := start(t, Options{Gateways: 3, Keepers: 3, Nodes: 3, Seed: 1})
	for _, bad := range Check(f.History.Events()) {
		t.Error(bad)
	}
	t.Log(f.Log())
}
