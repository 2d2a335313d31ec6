// Package kit has what the review's cases share: the record, the gateway's process and its configuration, and stand-ins
// for discovery, hosts and clients that follow the pages.
package kit

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	ExitHeld      = 0 // the rule held
	ExitBroken    = 1 // the rule was broken
	ExitCannotRun = 2 // the case could not run
)

// Record is the log of a run: what was sent, answered and run, with the seconds since its start.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file of a record.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, start: time.Now()}, nil
}

// Logf writes a line with the time of now.
func (r *Record) Logf(format string, args ...any) { r.LogAt(time.Now(), format, args...) }

// LogAt writes a line with a given time.
func (r *Record) LogAt(at time.Time, format string, args ...any) {
	line := fmt.Sprintf("%9.3f  %s\n", at.Sub(r.start).Seconds(), fmt.Sprintf(format, args...))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.file.WriteString(line)
}

// Verdict writes the last line, also to standard output, and returns the exit code.
func (r *Record) Verdict(broken bool, format string, args ...any) int {
	word, code := "HELD", ExitHeld
	if broken {
		word, code = "BROKEN", ExitBroken
	}
	text := word + ": " + fmt.Sprintf(format, args...)
	r.Logf("%s", text)
	fmt.Println(text)
	return code
}
