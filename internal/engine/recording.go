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

// RecordingConfig defines what the flight recorders keep, and where they write it.
type RecordingConfig struct {
	RingBytes    int           // size of the ring in memory, for each pool
	ViewInterval time.Duration // time between two recorded views of the hosts
	Dir          string        // directory of dumps
	File         string        // file to which the whole recording is written; "": none
	MaxFileBytes int64         // maximum size of one file; there are two at most
	Trigger      flightrecorder.Trigger
	OnDump       func(path string, err error) // called when the writing of a dump has ended; nil: the result is logged
}

// Recording is the configuration of a pool's recorder.
type Recording struct {
	*RecordingConfig
	Name    string   // name of the gateway, or of gateway and pool
	Classes []string // class names in the order of the settings
}

// poolRecorder is the flight recorder of a Pool. rec and trigger are used only by the loop.
type poolRecorder struct {
	cfg      *Recording
	rec      *flightrecorder.Recorder
	trigger  flightrecorder.Trigger
	file     *flightrecorder.File
	dumping  atomic.Bool // a dump is being written; one at a time, as each holds a copy of the ring
	stopFile func()      // writes the rest and closes the file
}

// startRecording records all events and actions between the loop and the balancer.
func (p *Pool) startRecording(rc *Recording) error {
	r := &poolRecorder{cfg: rc, trigger: rc.Trigger}
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
	p.balancer, p.recorder = r.rec, r
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

// endRecording writes the rest of the recording. wait is set only when the gateway exits: the loop then waits until
// the file is written.
func (p *Pool) endRecording(wait bool) {
	if r := p.recorder; r != nil {
		r.rec.Flush()
		if r.stopFile != nil && wait {
			r.stopFile()
		} else if r.stopFile != nil {
			go r.stopFile()
		}
	}
}

// buildRevision returns the revision that the program was built from, the version of its module if the revision is
// unknown, or "" without any build information.
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

// Dump writes the rings of all pools to the directory of dumps. It does not wait until they are written.
func (e *Engine) Dump() {
	e.post(func(balancer.Time) {
		for p := range e.pools {
			p.dump()
		}
	})
}

// dump copies the ring, which takes about 50 us, and writes the copy in a goroutine.
func (p *Pool) dump() {
	r := p.recorder
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

// countResponse reports a final response to the trigger, which may cause a dump.
func (p *Pool) countResponse(rejected bool) {
	if r := p.recorder; r != nil && r.trigger.ObserveResponse(time.Since(p.engine.clock.start), rejected) {
		p.dump()
	}
}
