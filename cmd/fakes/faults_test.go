package main

import (
	"strings"
	"testing"
	"time"
)

// A list of faults is parsed. Malformed entries are errors, and so is a number of nodes that is out of range.
func TestParseFaults(t *testing.T) {
	list, err := parseFaults("crash:0@3s+4s,hang:2@500ms+2s", 3)
	if err != nil || len(list) != 2 || list[1] != (fault{"hang", 2, 500 * time.Millisecond, 2 * time.Second}) {
		t.Errorf("got %+v, error %v, want a crash and a hang", list, err)
	}
	for text, want := range map[string]string{
		"crash":         "is not like",
		"melt:0@1s+1s":  "kinds: crash",
		"crash:9@1s+1s": "not from 0 to 2",
		"crash:0@x+1s":  "invalid duration",
		"crash:0@1s+":   "invalid duration",
	} {
		if _, err := parseFaults(text, 3); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got error %v, want one with %q", text, err, want)
		}
	}
	if err := run([]string{"-nodes", "65"}); err == nil || !strings.Contains(err.Error(), "1 to 64") {
		t.Errorf("65 nodes: got error %v, want one with the range", err)
	}
}
