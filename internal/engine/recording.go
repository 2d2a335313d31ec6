package engine

import (
	"context"
	"log/slog"
	"runtime/debug"
	"sync/atomic"
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/flightrecorder"
)

// RecordingConfig is what the flight recorder keeps, and where it writes.
type RecordingConfig struct {
	RingBytes    int           // kept in memory, of each pool
	ViewInterval time.Duration // between two views of the hosts
	Dir          string        // of dumps
	File         string        // if set, everything is written to it
	MaxFileBytes int64         // of one file; there are two at most
	Trigger      flightrecorder.Trigger
	OnDump       func(path string, err error) // called when a dump was written; nil: it is logged
}

// Recording is the configuration of a pool's recorder.
type Recording struct {
	*RecordingConfig
	Name    string   // of the gateway, or of gateway and pool
	Classes []string // in the order of the settings
}

// recording is the flight recorder of a Pool. rec and trigger belong to the loop.
type recording struct {
	cfg      *Recording
	rec      *flightrecorder.Recorder
	trigger  flightrecorder.Trigger
	file     *flightrecorder.File
	dumping  atomic.Bool // one at a time: a dump holds the ring once more
	stopFile func()      // writes the rest and closes the file
}

// startRecording records all events and actions between the loop and the balancer.
func (p *Pool) startRecording(rc *Recording) error {
	r := &recording{cfg: rc, trigger: rc.Trigger}
	opts := flightrecorder.Options{RingBytes: rc.RingBytes, ViewInterval: rc.ViewInterval}
	if rc.File != "" {
		r.file = flightrecorder.NewFile(rc.File, rc.MaxFileBytes)
		opts.Sink = r.file
	}
	clock := p.engine.clock
	start := flightrecorder.SessionStart{
		Name: rc.Name, Build: buildRevision(), Seed: p.cfg.Seed, Wall: clock.start, At: clock.at(clock.start),
		Settings: p.cfg.Settings, Classes: rc.Classes,
	}
	var err error
	if r.rec, err = flightrecorder.New(p.unrecorded, start, uint64(clock.start.UnixNano()), opts); err != nil {
		return err
	}
	p.balancer, p.record = r.rec, r
	if r.file != nil {
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			r.file.Run(ctx)
		}()
		r.stopFile = func() {
			cancel()
			<-done
		}
	}
	return nil
}

// endRecording writes the rest of the recording; only at the exit may it wait for that.
func (p *Pool) endRecording(wait bool) {
	if r := p.record; r != nil {
		r.rec.Flush()
		if r.stopFile != nil && wait {
			r.stopFile()
		} else if r.stopFile != nil {
			go r.stopFile()
		}
	}
}

// buildRevision returns the revision that the program was built from, where that is known.
func buildRevision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value
		}
	}
	return info.Main.Version
}

func logDump(path string, err error) {
	if err != nil {
		slog.Error("write flight recording failed", "err", err)
		return
	}
	slog.Info("flight recording written", "path", path)
}

// Dump writes the rings to the folder of dumps. It does not wait for that.
func (e *Engine) Dump() {
	e.post(func(balancer.Time) {
		for p := range e.pools {
			p.dump()
		}
	})
}

// dump copies the ring, which takes some 50 us, and writes it in a goroutine.
func (p *Pool) dump() {
	r := p.record
	if r == nil || r.cfg.Dir == "" || !r.dumping.CompareAndSwap(false, true) {
		return
	}
	data := r.rec.Dump(nil)
	at := time.Now()
	go func() {
		path, err := flightrecorder.WriteDump(r.cfg.Dir, r.cfg.Name, at, data)
		r.dumping.Store(false)
		if r.cfg.OnDump != nil {
			r.cfg.OnDump(path, err)
		} else {
			logDump(path, err)
		}
	}()
}

// countResponse reports a final response to the trigger.
func (p *Pool) countResponse(rejected bool) {
	if r := p.record; r != nil && r.trigger.ObserveResponse(time.Since(p.engine.clock.start), rejected) {
		p.dump()
	}
}
