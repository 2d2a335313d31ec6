package config

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"time"

	"dunemoor/internal/engine"
	"dunemoor/internal/flightrecorder"
)

// Defaults and bounds of recordings. A ring smaller than minRingBytes holds too little between two checkpoints. A ring
// larger than maxRingBytes would take memory from requests.
const (
	defaultRingBytes           = 1 << 20
	minRingBytes               = 128 << 10
	maxRingBytes               = 256 << 20
	defaultViewInterval        = 250 * time.Millisecond
	defaultFileBytes           = 64 << 20
	minFileBytes               = 1 << 20
	defaultTriggerWindow       = 5 * time.Second
	defaultTriggerMinInterval  = time.Minute
	defaultTriggerMinResponses = 50
)

// recordingFile is the structure of the flight recorder's configuration file.
type recordingFile struct {
	RingKB    int      `toml:"ring_kb"`
	ViewEvery Duration `toml:"view_every"`
	Dir       string   `toml:"dir"`
	File      string   `toml:"file"`
	FileMB    int      `toml:"file_mb"`
	Trigger   struct {
		Refused float64  `toml:"refused"`
		Within  Duration `toml:"within"`
		Least   int      `toml:"least"`
		Pause   Duration `toml:"pause"`
	} `toml:"trigger"`
}

// LoadRecording reads and validates the flight recorder's configuration file. It returns the first error of the file.
func LoadRecording(path string) (*engine.RecordingConfig, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	f := recordingFile{RingKB: defaultRingBytes >> 10, ViewEvery: Duration(defaultViewInterval), FileMB: defaultFileBytes >> 20}
	f.Trigger.Within = Duration(defaultTriggerWindow)
	f.Trigger.Pause = Duration(defaultTriggerMinInterval)
	f.Trigger.Least = defaultTriggerMinResponses
	file := NewText(path, string(text))
	if err := file.Decode(&f); err != nil {
		return nil, err
	}
	if err := checkRecordingBounds(file, &f); err != nil {
		return nil, err
	}
	if err := checkRecordingPaths(file, &f); err != nil {
		return nil, err
	}
	return &engine.RecordingConfig{
		RingBytes: f.RingKB << 10, ViewInterval: time.Duration(f.ViewEvery), Dir: f.Dir,
		File: f.File, MaxFileBytes: int64(f.FileMB) << 20,
		Trigger: flightrecorder.Trigger{
			RejectedShare: f.Trigger.Refused, Window: time.Duration(f.Trigger.Within),
			MinResponses: f.Trigger.Least, MinInterval: time.Duration(f.Trigger.Pause),
		},
	}, nil
}

// dottedLine returns the line of a top-level key, or of a key in a table ("table.key").
func (t *Text) dottedLine(key string) int {
	if table, last, ok := strings.Cut(key, "."); ok {
		return t.Line(table, 0, last)
	}
	return t.Line("", 0, key)
}

func checkRecordingBounds(file *Text, f *recordingFile) error {
	for _, x := range []struct {
		key              string
		value, low, high float64
	}{
		{"ring_kb", float64(f.RingKB), minRingBytes >> 10, maxRingBytes >> 10},
		{"view_every", time.Duration(f.ViewEvery).Seconds(), 0, math.MaxInt32},
		{"file_mb", float64(f.FileMB), minFileBytes >> 20, math.MaxInt32},
		{"trigger.refused", f.Trigger.Refused, 0, 1},
		{"trigger.within", time.Duration(f.Trigger.Within).Seconds(), 0.1, 3600},
		{"trigger.least", float64(f.Trigger.Least), 1, math.MaxInt32},
		{"trigger.pause", time.Duration(f.Trigger.Pause).Seconds(), 1, math.MaxInt32},
	} {
		if !isBetween(x.value, x.low, x.high) {
			return file.Errorf(file.dottedLine(x.key), x.key, outOfRangeFormat, x.value, x.low, x.high)
		}
	}
	return nil
}

func checkRecordingPaths(file *Text, f *recordingFile) error {
	if f.Dir == "" && f.Trigger.Refused > 0 {
		return file.Errorf(file.dottedLine("trigger.refused"), "trigger.refused", "dir is not set, so that there is no directory for the recordings")
	}
	if f.Dir != "" && !isDir(f.Dir) {
		return file.Errorf(file.dottedLine("dir"), "dir", "%s is not a directory", f.Dir)
	}
	if f.File != "" && !isDir(filepath.Dir(f.File)) {
		return file.Errorf(file.dottedLine("file"), "file", "%s is not in an existing directory", f.File)
	}
	return nil
}

func isDir(path string) bool {
	info, err := os.Stat(path)
	return err == nil && info.IsDir()
}
