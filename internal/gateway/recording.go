package gateway

import (
	"context"
	"log/slog"
	"math"
	"os"
	"path/filepath"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"time"

	"lynxspool"
	"lynxspool/internal/config"
	"lynxspool/internal/flight"
)

// RecordingConfig says what the flight recorder keeps and where it writes.
type RecordingConfig struct {
	Ring      int           // bytes kept in memory
	ViewEvery time.Duration // between two views of the hosts
	Dir       string        // where dumps go
	File      string        // all is written there, if it is set
	FileSize  int64         // bytes, twice at most
	Trigger   flight.Trigger
}

// Bounds of what a recording may take. A ring below the least holds too little between two
// checkpoints; beyond the most it would crowd out the requests.
const (
	ringLeast     = 128 << 10
	ringMost      = 256 << 20
	ringDefault   = 1 << 20
	viewDefault   = 250 * time.Millisecond
	fileDefault   = 64 << 20
	fileLeast     = 1 << 20
	withinDefault = 5 * time.Second
	pauseDefault  = time.Minute
	leastDefault  = 50
)

// recordingFile is the form of the file. Spans are text like "250ms".
type recordingFile struct {
	RingKB    int         `toml:"ring_kb"`
	ViewEvery config.Span `toml:"view_every"`
	Dir       string      `toml:"dir"`
	File      string      `toml:"file"`
	FileMB    int         `toml:"file_mb"`
	Trigger   struct {
		Refused float64     `toml:"refused"`
		Within  config.Span `toml:"within"`
		Least   int         `toml:"least"`
		Pause   config.Span `toml:"pause"`
	} `toml:"trigger"`
}

// LoadRecording reads the file. An error is one line that names file, line and field.
func LoadRecording(path string) (*RecordingConfig, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	f := recordingFile{
		RingKB: ringDefault >> 10, ViewEvery: config.Span(viewDefault), FileMB: fileDefault >> 20,
	}
	f.Trigger.Within, f.Trigger.Pause, f.Trigger.Least = config.Span(withinDefault), config.Span(pauseDefault), leastDefault
	file := config.NewText(path, string(text))
	if err := file.Decode(&f); err != nil {
		return nil, err
	}
	line := func(key string) int {
		if table, last, ok := strings.Cut(key, "."); ok {
			return file.Line(table, 0, last)
		}
		return file.Line("", 0, key)
	}
	within := func(key string, x, least, most float64) error {
		if x >= least && x <= most {
			return nil
		}
		return file.Error(line(key), key, "%v is not between %v and %v", x, least, most)
	}
	for _, err := range []error{
		within("ring_kb", float64(f.RingKB), ringLeast>>10, ringMost>>10),
		within("view_every", time.Duration(f.ViewEvery).Seconds(), 0, math.MaxInt32),
		within("file_mb", float64(f.FileMB), fileLeast>>20, math.MaxInt32),
		within("trigger.refused", f.Trigger.Refused, 0, 1),
		within("trigger.within", time.Duration(f.Trigger.Within).Seconds(), 0.1, 3600),
		within("trigger.least", float64(f.Trigger.Least), 1, math.MaxInt32),
		within("trigger.pause", time.Duration(f.Trigger.Pause).Seconds(), 1, math.MaxInt32),
	} {
		if err != nil {
			return nil, err
		}
	}
	c := &RecordingConfig{
		Ring: f.RingKB << 10, ViewEvery: time.Duration(f.ViewEvery), Dir: f.Dir,
		File: f.File, FileSize: int64(f.FileMB) << 20,
		Trigger: flight.Trigger{
			Share: f.Trigger.Refused, Within: time.Duration(f.Trigger.Within),
			Least: f.Trigger.Least, Pause: time.Duration(f.Trigger.Pause),
		},
	}
	if c.Dir == "" && c.Trigger.Share > 0 {
		return nil, file.Error(line("trigger.refused"), "trigger.refused", "dir is not set, where would the recording go")
	}
	if c.Dir != "" {
		if st, err := os.Stat(c.Dir); err != nil || !st.IsDir() {
			return nil, file.Error(line("dir"), "dir", "%s is no folder", c.Dir)
		}
	}
	if c.File != "" {
		if st, err := os.Stat(filepath.Dir(c.File)); err != nil || !st.IsDir() {
			return nil, file.Error(line("file"), "file", "%s is in no folder", c.File)
		}
	}
	return c, nil
}

// recording is the flight recorder of a Loop. rec and trigger belong to the loop.
type recording struct {
	cfg     *RecordingConfig
	name    string
	rec     *flight.Recorder
	trigger flight.Trigger
	file    *flight.File
	dumping atomic.Bool // one at a time: a dump holds the ring once more
	dumped  func(path string, err error)
	end     func() // has the file written and closed
}

// Record has all that passes between the loop and the Balancer recorded. It is called
// before Run, and what it starts ends with Run.
func (l *Loop) Record(cfg *Config, rc *RecordingConfig) error {
	r := &recording{cfg: rc, name: cfg.Name, trigger: rc.Trigger, dumped: logDump}
	opts := flight.Options{Ring: rc.Ring, ViewEvery: rc.ViewEvery}
	if rc.File != "" {
		r.file = flight.NewFile(rc.File, rc.FileSize)
		opts.Sink = r.file
	}
	start := flight.Start{
		Name: cfg.Name, Build: build(), Seed: cfg.Seed, Wall: l.clock.start, At: l.clock.at(l.clock.start),
		Settings: cfg.Settings, Classes: make([]string, len(cfg.Classes)),
	}
	for name, i := range cfg.Classes {
		start.Classes[i] = name
	}
	var err error
	if r.rec, err = flight.New(l.bal.(*lynxspool.Balancer), start, uint64(l.clock.start.UnixNano()), opts); err != nil {
		return err
	}
	l.bal, l.record = r.rec, r
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

// endRecording has the last of the recording written.
func (l *Loop) endRecording() {
	if r := l.record; r != nil {
		r.rec.Flush()
		if r.end != nil {
			r.end()
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

// Dump has the ring written to the folder of dumps. It does not wait for that.
func (l *Loop) Dump() {
	l.post(func(lynxspool.Time) { l.dump() })
}

// dump copies the ring, which takes some 50 us, and leaves the rest to a goroutine.
func (l *Loop) dump() {
	r := l.record
	if r == nil || r.cfg.Dir == "" || !r.dumping.CompareAndSwap(false, true) {
		return
	}
	data := r.rec.Dump(nil)
	at := time.Now()
	go func() {
		path, err := flight.WriteDump(r.cfg.Dir, r.name, at, data)
		r.dumping.Store(false)
		r.dumped(path, err)
	}()
}

// answered tells the trigger of a final answer.
func (l *Loop) answered(refused bool) {
	if r := l.record; r != nil && r.trigger.Answered(time.Since(l.clock.start), refused) {
		l.dump()
	}
}
