package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"dunemoor/internal/experiment/fakes"
)

// applianceFile returns an appliance's file with the pool first, and with the pool second for a path where that isn't
// nil.
func applianceFile(listen string, first, second *fakes.Fleet) string {
	var b strings.Builder
	fmt.Fprintf(&b, "name = \"box\"\n[[listener]]\naddress = %q\n", listen)
	for _, c := range []string{"lookup|safe|", "book|unsafe|", "report|keyed|window = \"2500ms\"\ngroup = \"cell\""} {
		f := strings.Split(c, "|")
		fmt.Fprintf(&b, "[[class]]\nname = %q\neffect = %q\naim = \"5s\"\ndeadline = \"20s\"\nworth = 1\n%s\n", f[0], f[1], f[2])
	}
	pool := func(name string, f *fakes.Fleet) {
		fmt.Fprintf(&b, "[[pool]]\nname = %q\nmembers = [\n", name)
		for i, n := range f.Nodes {
			fmt.Fprintf(&b, "  { id = %q, address = %q, cell = %d },\n", n.Name, n.Addr(), i/3)
		}
		b.WriteString("]\n")
	}
	pool("first", first)
	b.WriteString("[[route]]\nname = \"all\"\npool = \"first\"\n")
	if second != nil {
		pool("second", second)
		b.WriteString("[[route]]\nname = \"books\"\npath = \"/api/book\"\npool = \"second\"\n")
	}
	return b.String()
}

// The program serves by a file. SIGHUP reloads it under load, again and again; an invalid file changes nothing, and after
// SIGTERM no request is left without a response.
func TestApplianceReloadsUnderLoad(t *testing.T) {
	ledger := fakes.NewLedger()
	behaviour := fakes.Behaviour{Work: 2 * time.Millisecond, Cores: 8}
	var fleets [2]*fakes.Fleet
	for i := range fleets {
		var err error
		if fleets[i], err = fakes.StartService(fmt.Sprint("f", i), 4, 3, behaviour, ledger); err != nil {
			t.Fatal(err)
		}
		defer fleets[i].Close()
	}
	listen := freeAddress(t)
	path := filepath.Join(t.TempDir(), "box.toml")
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
	}
	calls := freeAddress(t)
	write("admin = \"" + calls + "\"\n" + applianceFile(listen, fleets[0], nil))
	p := startWithFile(t, path, listen, "-appliance", path)
	p.waitReady(t)
	resp, err := http.Get("http://" + calls + "/admin/status")
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != 200 {
		t.Errorf("admin status: got %d, want 200", resp.StatusCode)
	}
	classes := fakes.DefaultClasses()
	for i := range classes {
		classes[i].Timeout = 20 * time.Second
	}
	load := fakes.Load{URL: p.url, Rate: 200, Count: 1200, Classes: classes, Seed: 9, Retries: 2}
	var wait sync.WaitGroup
	wait.Go(func() {
		if err := load.Run(context.Background(), ledger); err != nil {
			t.Error(err)
		}
	})
	waitForLog := func(text string, times int) {
		t.Helper()
		waitUntil(t, text, func() bool { return strings.Count(p.out.String(), text) >= times })
	}
	for round := 1; round <= 4; round++ {
		write(applianceFile(listen, fleets[0], fleets[1]))
		p.Process.Signal(syscall.SIGHUP)
		waitForLog("configuration reloaded", 2*round-1)
		write(strings.Replace(applianceFile(listen, fleets[0], nil), "unsafe", "unsave", 1))
		p.Process.Signal(syscall.SIGHUP)
		waitForLog("configuration reload failed", round)
		write(applianceFile(listen, fleets[0], nil))
		p.Process.Signal(syscall.SIGHUP)
		waitForLog("configuration reloaded", 2*round)
	}
	if !strings.Contains(p.out.String(), "box.toml:") || !strings.Contains(p.out.String(), "unsave") {
		t.Errorf("got a log without the invalid value: %s", p.out.String())
	}
	write(applianceFile(listen, fleets[0], fleets[1]))
	p.Process.Signal(syscall.SIGHUP)
	waitForLog("configuration reloaded", 9)
	wait.Wait()
	p.Process.Signal(syscall.SIGTERM)
	<-p.exited
	if code := p.ProcessState.ExitCode(); code != 0 {
		t.Errorf("got exit code %d, want 0: %s", code, p.out.String())
	}
	c := ledger.Count()
	if violations := c.Violations(); violations != "" {
		t.Errorf("got violations %s, want none: ran twice %v, rejected after execution %v", violations, c.RanTwice, c.RejectedAfterExecution)
	}
	if c.Outcomes[fakes.Served]*100 < 98*c.Requests {
		t.Errorf("got outcomes %v of %d requests, want nearly all served", c.Outcomes, c.Requests)
	}
}

// The process is paused for a while under load, as a virtual machine may be. Requests that waited meanwhile have a
// response, and none is rejected afterwards: a pause must not count as overload.
func TestPausedProcessRejectsNothing(t *testing.T) {
	ledger := fakes.NewLedger()
	fleet, err := fakes.StartService("f", 4, 3, fakes.Behaviour{Work: 2 * time.Millisecond, Cores: 8}, ledger)
	if err != nil {
		t.Fatal(err)
	}
	defer fleet.Close()
	listen, path := freeAddress(t), filepath.Join(t.TempDir(), "box.toml")
	if err := os.WriteFile(path, []byte(applianceFile(listen, fleet, nil)), 0o600); err != nil {
		t.Fatal(err)
	}
	p := startWithFile(t, path, listen, "-appliance", path)
	p.waitReady(t)
	classes := fakes.DefaultClasses()
	for i := range classes {
		classes[i].Timeout = 20 * time.Second
	}
	// So few requests that a busy machine keeps up: only the pause counts.
	load := fakes.Load{URL: p.url, Rate: 60, Count: 300, Classes: classes, Seed: 9}
	done := make(chan error, 1)
	go func() { done <- load.Run(context.Background(), ledger) }()
	for range 3 {
		waitUntil(t, "requests served", func() bool { c := ledger.Count(); return c.Outcomes[fakes.Served] > 50 })
		if err := p.Process.Signal(syscall.SIGSTOP); err != nil {
			t.Fatal(err)
		}
		time.Sleep(300 * time.Millisecond) // the pause
		if err := p.Process.Signal(syscall.SIGCONT); err != nil {
			t.Fatal(err)
		}
		served := ledger.Count().Outcomes[fakes.Served]
		waitUntil(t, "requests served after the pause", func() bool { return ledger.Count().Outcomes[fakes.Served] > served+50 || len(done) > 0 })
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
	c := ledger.Count()
	if violations := c.Violations(); violations != "" || c.Outcomes[fakes.Served] != c.Requests {
		t.Errorf("got outcomes %v of %d requests, violations %q; want all served and no violation", c.Outcomes, c.Requests, violations)
	}
}

// An invalid file ends the program at the start, with a line for each error.
func TestInvalidApplianceEndsTheProgram(t *testing.T) {
	path := filepath.Join(t.TempDir(), "box.toml")
	if err := os.WriteFile(path, []byte("name = 5\n[[listner]]\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	p := startWithFile(t, path, "127.0.0.1:0", "-appliance", path)
	<-p.exited
	if out := p.out.String(); p.ProcessState.ExitCode() != 1 || !strings.Contains(out, path+":1: name: ") || !strings.Contains(out, path+":2: listner") {
		t.Errorf("got exit code %d and %s, want 1 and a line for each error", p.ProcessState.ExitCode(), out)
	}
}
