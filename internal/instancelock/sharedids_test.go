package instancelock

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
)

func openIDs(t *testing.T, dir string) *SharedIDs {
	t.Helper()
	ids, err := OpenSharedIDs(dir)
	if err != nil {
		t.Fatal(err)
	}
	return ids
}

// Of two processes that get the same id, one accepts it, however close together. Two mappings stand for the processes.
func TestSharedIDIsAcceptedOnce(t *testing.T) {
	dir := t.TempDir()
	tables := []*SharedIDs{openIDs(t, dir), openIDs(t, dir)}
	const ids = 5000
	var accepted [ids]atomic.Int64
	var processes sync.WaitGroup
	for _, table := range tables {
		processes.Go(func() {
			for i := range ids {
				if table.Start(fmt.Sprint("id-", i)) {
					accepted[i].Add(1)
				}
			}
		})
	}
	processes.Wait()
	for i := range accepted {
		if n := accepted[i].Load(); n != 1 {
			t.Fatalf("id %d: accepted %d times, want once", i, n)
		}
	}
	tables[0].End("id-7")
	if tables[1].Start("id-7") {
		t.Error("an id that has just ended at the other process: got free, want in use")
	}
}

// A full table drops the oldest ids and accepts new ones.
func TestFullTableAcceptsNewIDs(t *testing.T) {
	ids := openIDs(t, t.TempDir())
	for i := range 2 * idsSlots {
		if !ids.Start(fmt.Sprint(i)) {
			t.Fatalf("id %d: got in use, want free", i)
		}
	}
	if ids.Start(fmt.Sprint(2*idsSlots - 1)) {
		t.Error("the latest id: got free, want in use")
	}
}

// A file that is no table, or a part of one, is reported and not changed.
func TestDamagedTableIsReported(t *testing.T) {
	for _, content := range []string{"", "dunemoor ids 1\n", string(make([]byte, idsBytes))} {
		dir := t.TempDir()
		path := filepath.Join(dir, idsFileName)
		if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := OpenSharedIDs(dir); err == nil {
			t.Errorf("file of %d bytes: got no error, want one", len(content))
		}
	}
}

// An entry that another process has written in the tick after the one that this process has read is in use, not expired.
func TestEntryOfLaterTickIsInUse(t *testing.T) {
	ids := openIDs(t, t.TempDir())
	ids.Start("once")
	tag, first := ids.hash("once")
	earlier := (currentTick() - 2) & idTickMask
	if isUsed, _, _ := ids.find(tag, first, earlier); !isUsed {
		t.Error("an entry of a later tick: got free, want in use")
	}
}
