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

// waitingSink waits until each block is written.
type waitingSink struct{ *File }

func (s waitingSink) Put(b []byte) (bool, bool) {
	accepted, wantCheckpoint := s.File.Put(b)
	for len(s.queue) > 0 {
		time.Sleep(time.Microsecond)
	}
	return accepted, wantCheckpoint
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
			t.Errorf("%s: got %d events, %d skipped, divergence %v", filepath.Base(name), rep.Events, rep.SkippedEvents, rep.Divergence)
		}
	}
}

// limitedDisk is a file on a disk with limited room.
type limitedDisk struct {
	mu      sync.Mutex
	room    int // bytes
	written bytes.Buffer
}

func (d *limitedDisk) Write(b []byte) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := min(len(b), d.room)
	d.room -= n
	d.written.Write(b[:n])
	if n < len(b) {
		return n, errors.New("no space left on device")
	}
	return n, nil
}

func (d *limitedDisk) Close() error { return nil }

// Blocks for a full disk are lost and counted. The file is read up to the torn block, and from the next checkpoint on.
func TestFullDiskLosesBlocks(t *testing.T) {
	disk := &limitedDisk{room: 50 << 10}
	w := NewFile("unused", 1<<30)
	w.open = func(string) (outputFile, error) { return disk, nil }
	stop := runFile(t, w)
	s := randomTraffic(2, 9000)
	blocks := 0
	_, sum := record(t, s, 2, Options{RingBytes: 1 << 20, Sink: sinkFunc(func(b []byte) (bool, bool) {
		if blocks++; blocks == 20 {
			disk.mu.Lock()
			disk.room = 1 << 30
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
		t.Errorf("got %d blocks written, %d lost, error %q; want some, some, and no space", written, lost, lastError)
	}
	rep := replayed(t, disk.written.Bytes())
	if rep.Divergence != nil || rep.Events == 0 || len(rep.Losses) == 0 || rep.MatchingStates+rep.Sessions < 2 {
		t.Errorf("got %+v, want events, losses, a matching state and no divergence", rep)
	}
}

// sinkFunc is a Sink by a function.
type sinkFunc func([]byte) (bool, bool)

func (f sinkFunc) Put(b []byte) (bool, bool) { return f(b) }

// A disk that hangs doesn't block Put: blocks beyond the queue are lost.
func TestHangingDiskDoesNotBlock(t *testing.T) {
	release := make(chan struct{})
	w := NewFile("unused", 1<<30)
	w.open = func(string) (outputFile, error) { return blockedFile{release}, nil }
	stop := runFile(t, w)
	record(t, randomTraffic(2, 9000), 2, Options{Sink: w})
	_, lost, _ := w.Stats()
	if lost == 0 || len(w.queue) < maxQueuedBlocks-1 { // Run may have taken one
		t.Errorf("got %d blocks lost and %d queued, want some lost and a full queue", lost, len(w.queue))
	}
	close(release)
	stop()
}

// blockedFile is a file whose writes hang until release is closed.
type blockedFile struct{ release chan struct{} }

func (b blockedFile) Write(p []byte) (int, error) { <-b.release; return len(p), nil }
func (b blockedFile) Close() error                { return nil }
