package main

import (
	"bytes"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// runCommandLine executes a command line and returns its output.
func runCommandLine(args ...string) (string, error) {
	var out bytes.Buffer
	err := executeCommandLine(&out, &out, args...)
	return out.String(), err
}

// executeCommandLine executes a command line. The command writes results to stdout, and errors and progress to
// stderr.
func executeCommandLine(stdout, stderr io.Writer, args ...string) error {
	cmd := rootCommand()
	cmd.SetOut(stdout)
	cmd.SetErr(stderr)
	cmd.SetArgs(args)
	return cmd.Execute()
}

const calm = "../../scenarios/calm.toml"

// The command run prints a line of JSON for each run. It fails if an expectation isn't met, or if a flag or a file is
// invalid.
func TestRunCommand(t *testing.T) {
	out, err := runCommandLine("run", calm, "--set", "length=5s", "--seeds", "2", "--json")
	if err != nil {
		t.Fatal(out, err)
	}
	lines := strings.Split(strings.TrimSpace(out), "\n")
	if len(lines) != 2 {
		t.Fatalf("got %d lines, want 2", len(lines))
	}
	for i, line := range lines {
		var r run
		if err := json.Unmarshal([]byte(line), &r); err != nil || r.Seed != uint64(i+1) || r.Summary.Classes[0].FirstRequests == 0 || r.Latencies[0].P99 < r.Latencies[0].P50 {
			t.Errorf("line %d: got %s, error %v, want the run of seed %d", i, line, err, i+1)
		}
	}
	// Scripts rely on the exit code for expectations that aren't met.
	out, err = runCommandLine("run", calm, "--set", "length=5s", "--set", "load=3")
	if err == nil || !strings.Contains(out, "expected") {
		t.Errorf("three times the load: got error %v and\n%s\nwant an expectation that isn't met", err, out)
	}
	for _, args := range [][]string{
		{"run", calm, "--set", "speed=1"}, {"run", calm, "--set", "hosts=many"}, {"run", calm, "--set", "hosts=0"}, {"run", "none.toml"},
		{"sweep", calm, "--vary", "gateways"}, {"compare", calm, "--seeds", "2"},
	} {
		if out, err := runCommandLine(args...); err == nil {
			t.Errorf("%v: got no error and\n%s", args, out)
		}
	}
	bad := filepath.Join(t.TempDir(), "bad.toml")
	if err := os.WriteFile(bad, []byte("gateways = 3\nlenght = \"1s\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if out, err := runCommandLine("run", bad); err == nil || !strings.Contains(out, "bad.toml:2: lenght") {
		t.Errorf("got error %v and\n%s", err, out)
	}
}

// The command sweep prints a row for each value of the setting.
func TestSweepVariesASetting(t *testing.T) {
	out, err := runCommandLine("sweep", calm, "--vary", "gateways=1,3", "--set", "length=3s", "--seeds", "1")
	if err != nil || !strings.Contains(out, "gateways=1") || !strings.Contains(out, "gateways=3") {
		t.Errorf("got error %v and\n%s", err, out)
	}
}

// The command compare reports no difference between identical sides, and a difference if one side is overloaded.
func TestCompareDistinguishesOverloadFromChance(t *testing.T) {
	out, err := runCommandLine("compare", calm, "--a", "length=3s", "--b", "length=3s", "--seeds", "5")
	if err != nil || !strings.Contains(out, "no difference seen") {
		t.Errorf("got error %v and\n%s", err, out)
	}
	out, err = runCommandLine("compare", calm, "--a", "length=3s", "--b", "length=3s", "--b", "load=3", "--seeds", "5")
	if err != nil || strings.Contains(out, "no difference seen") || !strings.Contains(out, "first: -0.") {
		t.Errorf("got error %v and\n%s", err, out)
	}
}

// The confidence interval contains the mean, and its width corresponds to the variation of the differences.
func TestConfidenceIntervalContainsTheMean(t *testing.T) {
	mean, low, high := confidenceInterval([]float64{1, 2, 3, 4, 5, 6, 7, 8, 9}, 1)
	// The normal approximation of the interval is 5 ± 1.96 x 2.58/3, from 3.3 to 6.7.
	if mean != 5 || low < 3 || low > 3.7 || high < 6.3 || high > 7 {
		t.Errorf("got mean %v, interval %v to %v", mean, low, high)
	}
	if mean, low, high := confidenceInterval([]float64{2, 2, 2}, 1); mean < 1.999 || low < 1.999 || high > 2.001 {
		t.Errorf("got mean %v, interval %v to %v", mean, low, high)
	}
}

// The page loads nothing from other files or hosts, has all plots and causes, and escapes the texts of a scenario.
func TestReportCommand(t *testing.T) {
	text, err := os.ReadFile(calm)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	file, out := filepath.Join(dir, "odd.toml"), filepath.Join(dir, "page.html")
	odd := strings.Replace(string(text), `about = "`, `about = "<script>alert(1)</script>`, 1)
	if err := os.WriteFile(file, []byte(odd), 0o600); err != nil {
		t.Fatal(err)
	}
	if printed, err := runCommandLine("report", file, "--set", "length=4s", "--set", "load=3", "--out", out); err != nil {
		t.Fatal(printed, err)
	}
	got, err := os.ReadFile(out)
	if err != nil {
		t.Fatal(err)
	}
	for want, n := range map[string]int{"<svg": 3, "<polyline": 6, "<script": 0, "http": 0, "expected": 1, ">wait<": 1} {
		if have := strings.Count(string(got), want); have != n && (n != 1 || have < 1) {
			t.Errorf("%q: got it %d times, want %d", want, have, n)
		}
	}
	if printed, err := runCommandLine("report", calm); err == nil {
		t.Error("without --out: got no error and", printed)
	}
}

// A search prints its findings and writes them as scenarios that meet their expectations. The same seed gives the
// same findings, on any number of cores. "search" is an alias of "hunt".
func TestSearchCommand(t *testing.T) {
	args := []string{"hunt", calm, "--runs", "48", "--seed", "4", "--length", "8s", "--hosts", "8", "--gateways", "4", "--finds", "2"}
	var printed []string
	dir := t.TempDir()
	for range 2 {
		var stdout, stderr bytes.Buffer // stderr has progress messages if the search takes longer than progressInterval
		if err := executeCommandLine(&stdout, &stderr, append(args, "--out", dir)...); err != nil {
			t.Fatal(stdout.String(), stderr.String(), err)
		}
		printed = append(printed, stdout.String())
	}
	if printed[0] != printed[1] || !strings.Contains(printed[0], "48 played") {
		t.Errorf("second search of the same seed: got\n%s\nwant\n%s", printed[1], printed[0])
	}
	found, err := filepath.Glob(filepath.Join(dir, "found-*.toml"))
	if err != nil || len(found) != 2 {
		t.Fatalf("got files %v, error %v\n%s", found, err, printed[0])
	}
	if out, err := runCommandLine(append([]string{"run"}, found...)...); err != nil {
		t.Errorf("run of the findings: got error %v\n%s", err, out)
	}
	for _, args := range [][]string{{"hunt", calm, "--runs", "0"}, {"hunt", "none.toml"}, {"search", "none.toml"}, {"hunt", calm, "--out", filepath.Join(dir, "none"), "--runs", "32", "--length", "2s"}} {
		if out, err := runCommandLine(args...); err == nil {
			t.Errorf("%v: got no error and\n%s", args, out)
		}
	}
}
