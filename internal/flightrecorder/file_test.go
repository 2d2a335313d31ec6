package flightrecorder

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

// runFile runs a File until the end of the test or a call of stop.
func runFile(t *testing.T, w *File) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); w.Run(ctx) }()
	stop = sync.OnceFunc(func() { cancel(); <-done })
	t.Cleanup(stop)
	return stop
}

// waitingSink is a File whose Put waits until Run has received the block.
type waitingSink struct{ *File }

func (s waitingSink) Put(b []byte) (bool, bool) {
	accepted, needCheckpoint := s.File.Put(b)
	for len(s.queue) > 0 {
		time.Sleep(time.Microsecond)
	}
	return accepted, needCheckpoint
}

// A full file is rotated, and both files can be replayed.
func TestFileRotates(t *testing.T) {
	path := filepath.Join(t.TempDir(), "gw.dmf")
	w := NewFile(path, 200<<10)
	stop := runFile(t, w)
	record(t, randomTraffic(1, 9000), 1, Options{Sink: waitingSink{w}})
	stop()
	written, lost, lastError := w.Stats()
	if written < 20 || lost > 0 || lastError != "" {
		t.Fatalf("got %d blocks written, %d lost, error %q; want at least 20, 0 and none", written, lost, lastError)
	}
	for _, name := range []string{path, path + ".1"} {
		data, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		if len(data) > 200<<10 {
			t.Errorf("%s: got %d bytes, want at most 200 KB", name, len(data))
		}
		if rep := replayed(t, data); rep.Divergence != nil || rep.Events == 0 || rep.Events < rep.SkippedEvents {
			t.Errorf("%s: got %d events replayed, %d skipped, divergence %v; want some replayed, at most as many skipped, and no divergence",
				filepath.Base(name), rep.Events, rep.SkippedEvents, rep.Divergence)
		}
	}
}

// limitedDisk is a file on a disk with limited space.
type limitedDisk struct {
	mu      sync.Mutex
	free    int // free space in bytes
	written bytes.Buffer
}

func (d *limitedDisk) Write(b []byte) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := min(len(b), d.free)
	d.free -= n
	d.written.Write(b[:n])
	if n < len(b) {
		return n, errors.New("no space left on device")
	}
	return n, nil
}

func (d *limitedDisk) Close() error { return nil }

// Blocks that a full disk doesn't accept are dropped and counted. The file can be replayed up to the torn block, and
// from the next checkpoint on.
func TestFullDiskDropsBlocks(t *testing.T) {
	disk := &limitedDisk{free: 50 << 10}
	w := NewFile("unused", 1<<30)
	w.open = func(string) (outputFile, error) { return disk, nil }
	stop := runFile(t, w)
	s := randomTraffic(2, 9000)
	blocks := 0
	_, sum := record(t, s, 2, Options{RingBytes: 1 << 20, Sink: sinkFunc(func(b []byte) (bool, bool) {
		if blocks++; blocks == 20 {
			disk.mu.Lock()
			disk.free = 1 << 30
			disk.mu.Unlock()
			w.reopenAtOnce.Store(true)
		}
		return waitingSink{w}.Put(b)
	})})
	if sum.Unanswered+sum.RepeatedExecutions > 0 {
		t.Errorf("got %+v, want no request unanswered or executed twice", sum)
	}
	stop()
	written, lost, lastError := w.Stats()
	if lost == 0 || written == 0 || !strings.Contains(lastError, "no space") {
		t.Errorf("got %d blocks written, %d lost, error %q; want some written, some lost, and an error with \"no space\"", written, lost, lastError)
	}
	rep := replayed(t, disk.written.Bytes())
	if rep.Divergence != nil || rep.Events == 0 || len(rep.Losses) == 0 || rep.MatchingStates+rep.Sessions < 2 {
		t.Errorf("got %+v, want events, losses, matching states and sessions of at least 2, and no divergence", rep)
	}
}

// sinkFunc is a Sink whose Put is the function.
type sinkFunc func([]byte) (bool, bool)

func (f sinkFunc) Put(b []byte) (bool, bool) { return f(b) }

// Put doesn't block if the disk hangs: it drops blocks when the queue is full.
func TestHangingDiskDoesNotBlock(t *testing.T) {
	release := make(chan struct{})
	w := NewFile("unused", 1<<30)
	w.open = func(string) (outputFile, error) { return blockedFile{release}, nil }
	stop := runFile(t, w)
	record(t, randomTraffic(2, 9000), 2, Options{Sink: w})
	_, lost, _ := w.Stats()
	if lost == 0 || len(w.queue) < maxQueuedBlocks-1 { // Run may have received one
		t.Errorf("got %d blocks lost and %d queued, want some lost and a full queue", lost, len(w.queue))
	}
	close(release)
	stop()
}

// blockedFile is a file whose writes hang until release is closed.
type blockedFile struct{ release chan struct{} }

func (b blockedFile) Write(p []byte) (int, error) { <-b.release; return len(p), nil }
func (b blockedFile) Close() error                { return nil }
