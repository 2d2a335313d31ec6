package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"dunemoor/internal/flightrecorder"
)

// On SIGUSR1 the program writes a dump of the flight recorder, and before it exits the rest of the recording file. Both can
// be replayed completely. Invalid settings of the recorder end the program at startup.
func TestFlightRecordingsAreComplete(t *testing.T) {
	dir := t.TempDir()
	settings, file := filepath.Join(dir, "flight.toml"), filepath.Join(dir, "all.dmf")
	text := fmt.Sprintf("ring_kb = 128\ndir = %q\nfile = %q\n", dir, file)
	writeFile(t, settings, text)
	addr, _ := startCountingHost(t)
	p := start(t, platformConfig(addr), freeAddress(t), "-flight", settings)
	p.waitReady(t)
	if accepted, err := sendRequest(p.url); !accepted || err != nil {
		t.Fatalf("got accepted %v, error %v", accepted, err)
	}
	p.Process.Signal(syscall.SIGUSR1)
	var dumps []string
	waitUntil(t, "dump", func() bool {
		dumps, _ = filepath.Glob(filepath.Join(dir, "flight-n0-*.dmf"))
		return len(dumps) == 1
	})
	p.Process.Signal(syscall.SIGTERM)
	p.mustExitCleanly(t)
	for _, path := range append(dumps, file) {
		f, err := os.Open(path)
		if err != nil {
			t.Fatal(err)
		}
		rep, err := flightrecorder.Replay(flightrecorder.NewReader(f), nil, nil)
		f.Close()
		if err != nil || rep.Divergence != nil || len(rep.Losses) > 0 || rep.Events < 4 {
			t.Errorf("%s: got %+v, error %v, want at least 4 events without loss or divergence", filepath.Base(path), rep, err)
		}
	}
	writeFile(t, settings, "ring_kb = 1\n")
	p = start(t, platformConfig(addr), freeAddress(t), "-flight", settings)
	<-p.exited
	if want := "dunemoor: " + settings + ":1: ring_kb: "; p.ProcessState.ExitCode() != 1 || !strings.Contains(p.out.String(), want) {
		t.Errorf("got exit code %d and %s, want 1 and %q", p.ProcessState.ExitCode(), p.out.String(), want)
	}
}
