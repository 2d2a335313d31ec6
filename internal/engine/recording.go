package engine

import (
	"context"
	"log/slog"
	"runtime/debug"
	"sync/atomic"
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/flight"
)

// RecordingConfig says what the flight recorder keeps and where it writes.
type RecordingConfig struct {
	Ring      int           // bytes kept in memory, of each pool
	ViewEvery time.Duration // between two views of the hosts
	Dir       string        // where dumps go
	File      string        // all is written there, if it is set
	FileSize  int64         // bytes, twice at most
	Trigger   flight.Trigger
	Dumped    func(path string, err error) // called when a dump was written; nil: it is logged
}

// Recording is what a pool's recorder is told.
type Recording struct {
	*RecordingConfig
	Name    string   // of the gateway, or of gateway and pool
	Classes []string // in the order of the settings
}

// recording is the flight recorder of a Pool. rec and trigger belong to the loop.
type recording struct {
	cfg     *Recording
	rec     *flight.Recorder
	trigger flight.Trigger
	file    *flight.File
	dumping atomic.Bool // one at a time: a dump holds the ring once more
	end     func()      // has the file written and closed
}

// startRecording has all that passes between the loop and the module recorded.
func (p *Pool) startRecording(rc *Recording) error {
	r := &recording{cfg: rc, trigger: rc.Trigger}
	opts := flight.Options{Ring: rc.Ring, ViewEvery: rc.ViewEvery}
	if rc.File != "" {
		r.file = flight.NewFile(rc.File, rc.FileSize)
		opts.Sink = r.file
	}
	clock := p.engine.clock
	start := flight.Start{
		Name: rc.Name, Build: build(), Seed: p.cfg.Seed, Wall: clock.start, At: clock.at(clock.start),
		Settings: p.cfg.Settings, Classes: rc.Classes,
	}
	var err error
	if r.rec, err = flight.New(p.core, start, uint64(clock.start.UnixNano()), opts); err != nil {
		return err
	}
	p.bal, p.record = r.rec, r
	if r.file != nil {
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			r.file.Run(ctx)
		}()
		r.end = func() {
			cancel()
			<-done
		}
	}
	return nil
}

// endRecording has the last of the recording written; it may wait for that at the exit only.
func (p *Pool) endRecording(wait bool) {
	if r := p.record; r != nil {
		r.rec.Flush()
		if r.end != nil && wait {
			r.end()
		} else if r.end != nil {
			go r.end()
		}
	}
}

// build names the revision that the program was built from, where that is known.
func build() string {
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
		slog.Error("flight recording not written", "err", err)
		return
	}
	slog.Info("flight recording written", "path", path)
}

// Dump has the rings written to the folder of dumps. It does not wait for that.
func (e *Engine) Dump() {
	e.post(func(balancer.Time) {
		for p := range e.pools {
			p.dump()
		}
	})
}

// dump copies the ring, which takes some 50 us, and leaves the rest to a goroutine.
func (p *Pool) dump() {
	r := p.record
	if r == nil || r.cfg.Dir == "" || !r.dumping.CompareAndSwap(false, true) {
		return
	}
	data := r.rec.Dump(nil)
	at := time.Now()
	go func() {
		path, err := flight.WriteDump(r.cfg.Dir, r.cfg.Name, at, data)
		r.dumping.Store(false)
		if r.cfg.Dumped != nil {
			r.cfg.Dumped(path, err)
		} else {
			logDump(path, err)
		}
	}()
}

// answered tells the trigger of a final answer.
func (p *Pool) answered(refused bool) {
	if r := p.record; r != nil && r.trigger.Answered(time.Since(p.engine.clock.start), refused) {
		p.dump()
	}
}
