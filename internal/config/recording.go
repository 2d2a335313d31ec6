package config

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"time"

	"dunemoor/internal/engine"
	"dunemoor/internal/flight"
)

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
	RingKB    int    `toml:"ring_kb"`
	ViewEvery Span   `toml:"view_every"`
	Dir       string `toml:"dir"`
	File      string `toml:"file"`
	FileMB    int    `toml:"file_mb"`
	Trigger   struct {
		Refused float64 `toml:"refused"`
		Within  Span    `toml:"within"`
		Least   int     `toml:"least"`
		Pause   Span    `toml:"pause"`
	} `toml:"trigger"`
}

// LoadRecording reads the file. An error is one line that names file, line and field.
func LoadRecording(path string) (*engine.RecordingConfig, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	f := recordingFile{
		RingKB: ringDefault >> 10, ViewEvery: Span(viewDefault), FileMB: fileDefault >> 20,
	}
	f.Trigger.Within, f.Trigger.Pause, f.Trigger.Least = Span(withinDefault), Span(pauseDefault), leastDefault
	file := NewText(path, string(text))
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
	c := &engine.RecordingConfig{
		RingBytes: f.RingKB << 10, ViewInterval: time.Duration(f.ViewEvery), Dir: f.Dir,
		File: f.File, MaxFileBytes: int64(f.FileMB) << 20,
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
