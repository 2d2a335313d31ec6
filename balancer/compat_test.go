package balancer

import (
	"bytes"
	"testing"

	"dunemoor/internal/testutil/compat"
)

// Recordings hold checkpoints, which later builds restore: the bytes after a fixed history are
// those that earlier builds wrote.
func TestCompatCheckpoint(t *testing.T) {
	h := newHistory(t, []byte{2, 1, 2, 0, 9, 4, 3, 0})
	events := make([]byte, 700)
	for i := range events {
		events[i] = byte(i*i*31 + i*7 + 3)
	}
	n := 0
	var saved []byte
	h.afterEvent = func() {
		n++
		if n == 250 {
			saved = h.b.Checkpoint(nil)
		}
	}
	h.run(events)
	compat.Bytes(t, "checkpoint.bin", saved)
	b, err := Restore(h.settings, compat.Read(t, "checkpoint.bin"))
	if err != nil {
		t.Fatal(err)
	}
	if again := b.Checkpoint(nil); !bytes.Equal(again, saved) {
		t.Errorf("the restored Balancer gives a checkpoint of %d bytes that differs from the %d bytes restored",
			len(again), len(saved))
	}
}
