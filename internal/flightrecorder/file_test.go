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

// running runs a File until the test or stop ends it.
func running(t *testing.T, w *File) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); w.Run(ctx) }()
	stop = sync.OnceFunc(func() { cancel(); <-done })
	t.Cleanup(stop)
	return stop
}

// patient hands blocks over one at a time, as fast as they are written.
type patient struct{ *File }

func (p patient) Put(b []byte) (bool, bool) {
	taken, anew := p.File.Put(b)
	for len(p.queue) > 0 {
		time.Sleep(time.Microsecond)
	}
	return taken, anew
}

func TestFileIsWrittenAndTurned(t *testing.T) {
	path := filepath.Join(t.TempDir(), "gw.dmf")
	w := NewFile(path, 200<<10)
	stop := running(t, w)
	record(t, day(1, 9000), 1, Options{Sink: patient{w}})
	stop()
	wrote, lost, said := w.Stats()
	if wrote < 20 || lost > 0 || said != "" {
		t.Fatalf("%d blocks written, %d lost, error %q", wrote, lost, said)
	}
	for _, name := range []string{path, path + ".1"} {
		data, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		if len(data) > 200<<10 {
			t.Errorf("%s has %d bytes, 200 KB at most", name, len(data))
		}
		if rep := replayed(t, data); rep.Divergence != nil || rep.Events == 0 || rep.Events < rep.SkippedEvents {
			t.Errorf("%s: %d events, %d skipped: %v", filepath.Base(name), rep.Events, rep.SkippedEvents, rep.Divergence)
		}
	}
}

// full is a disk that has no room until it is given some.
type full struct {
	mu   sync.Mutex
	room int
	got  bytes.Buffer
}

func (f *full) Write(b []byte) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := min(len(b), f.room)
	f.room -= n
	f.got.Write(b[:n])
	if n < len(b) {
		return n, errors.New("no space left on device")
	}
	return n, nil
}

func (f *full) Close() error { return nil }

// A disk that is full costs what comes until it has room again; that is counted, and
// what is on it is read up to the torn block and from the next checkpoint on.
func TestDiskFull(t *testing.T) {
	disk := &full{room: 50 << 10}
	w := NewFile("unused", 1<<30)
	w.open = func(string) (file, error) { return disk, nil }
	stop := running(t, w)
	s := day(2, 9000)
	blocks := 0
	_, sum := record(t, s, 2, Options{RingBytes: 1 << 20, Sink: sinkFunc(func(b []byte) (bool, bool) {
		if blocks++; blocks == 20 {
			disk.mu.Lock()
			disk.room = 1 << 30
			disk.mu.Unlock()
			w.mend()
		}
		return patient{w}.Put(b)
	})})
	if sum.Unheard+sum.Twice > 0 {
		t.Error("the day went otherwise")
	}
	stop()
	wrote, lost, said := w.Stats()
	if lost == 0 || wrote == 0 || !strings.Contains(said, "no space") {
		t.Errorf("%d written, %d lost, error %q", wrote, lost, said)
	}
	rep := replayed(t, disk.got.Bytes())
	if rep.Divergence != nil || rep.Events == 0 || len(rep.Losses) == 0 || rep.Checked+rep.Sessions < 2 {
		t.Errorf("%+v", rep)
	}
}

type sinkFunc func([]byte) (bool, bool)

func (f sinkFunc) Put(b []byte) (bool, bool) { return f(b) }

// mend lets a file be opened again at once.
func (w *File) mend() { w.mended.Store(true) }

// A disk that does not answer holds up nobody: what has no room in the queue is lost.
func TestDiskSlow(t *testing.T) {
	release := make(chan struct{})
	w := NewFile("unused", 1<<30)
	w.open = func(string) (file, error) { return blocked{release}, nil }
	stop := running(t, w)
	record(t, day(2, 9000), 2, Options{Sink: w})
	_, lost, _ := w.Stats()
	if lost == 0 || len(w.queue) < queueMost-1 { // one may have been taken just now
		t.Errorf("%d lost, %d in the queue", lost, len(w.queue))
	}
	close(release)
	stop()
}

type blocked struct{ release chan struct{} }

func (b blocked) Write(p []byte) (int, error) { <-b.release; return len(p), nil }
func (b blocked) Close() error                { return nil }

func TestWriteDump(t *testing.T) {
	dir := t.TempDir()
	path, err := WriteDump(dir, "n0", time.Unix(1e9, 0), []byte("dump"))
	if err != nil || filepath.Base(path) != "flight-n0-20010909T014640.000Z.dmf" {
		t.Fatalf("%s, %v", path, err)
	}
	if data, _ := os.ReadFile(path); string(data) != "dump" {
		t.Errorf("it holds %q", data)
	}
	if _, err := WriteDump(filepath.Join(dir, "none"), "n0", time.Now(), nil); err == nil {
		t.Error("a folder that is not there is no error")
	}
	if left, _ := os.ReadDir(dir); len(left) != 1 {
		t.Errorf("%d files left", len(left))
	}
}

func TestTrigger(t *testing.T) {
	tr := Trigger{RejectedShare: 0.2, Window: 5 * time.Second, MinResponses: 50, MinInterval: time.Minute}
	off := func(at time.Duration, answers, refused int) (n int) {
		for i := range answers {
			if tr.ObserveResponse(at, i%(answers/refused) == 0) {
				n++
			}
		}
		return n
	}
	for _, c := range []struct {
		name             string
		at               time.Duration
		answers, refused int
		want             int
	}{
		{"too few", time.Hour, 40, 40, 0},
		{"a tenth", time.Hour + 10*time.Second, 500, 50, 0},
		{"half", time.Hour + 20*time.Second, 500, 250, 1},
		{"half again, too soon", time.Hour + 50*time.Second, 500, 250, 0},
		{"half, a minute later", time.Hour + 81*time.Second, 500, 250, 1},
	} {
		if n := off(c.at, c.answers, c.refused); n != c.want {
			t.Errorf("%s: went off %d times, want %d", c.name, n, c.want)
		}
	}
	tr = Trigger{}
	if tr.ObserveResponse(time.Hour, true) {
		t.Error("goes off though it is not set")
	}
}
