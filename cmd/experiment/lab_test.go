package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// lab runs a command line and gives what it prints.
func lab(args ...string) (string, error) {
	cmd := root()
	var out bytes.Buffer
	cmd.SetOut(&out)
	cmd.SetErr(&out)
	cmd.SetArgs(args)
	err := cmd.Execute()
	return out.String(), err
}

const calm = "../../scenarios/calm.toml"

func TestRun(t *testing.T) {
	out, err := lab("run", calm, "--set", "length=5s", "--seeds", "2", "--json")
	if err != nil {
		t.Fatal(out, err)
	}
	lines := strings.Split(strings.TrimSpace(out), "\n")
	if len(lines) != 2 {
		t.Fatalf("%d lines", len(lines))
	}
	for i, line := range lines {
		var p played
		if err := json.Unmarshal([]byte(line), &p); err != nil || p.Seed != uint64(i+1) || p.Summary.Classes[0].FirstRequests == 0 || p.Classes[0].P99 < p.Classes[0].P50 {
			t.Errorf("%s: %v", line, err)
		}
	}
	// What is missed is said, and tells scripts.
	out, err = lab("run", calm, "--set", "length=5s", "--set", "load=3")
	if err == nil || !strings.Contains(out, "expected") {
		t.Errorf("three times the load: %v\n%s", err, out)
	}
	for _, args := range [][]string{
		{"run", calm, "--set", "speed=1"}, {"run", calm, "--set", "hosts=many"}, {"run", calm, "--set", "hosts=0"}, {"run", "none.toml"},
		{"sweep", calm, "--vary", "gateways"}, {"compare", calm, "--seeds", "2"},
	} {
		if out, err := lab(args...); err == nil {
			t.Errorf("%v: no error\n%s", args, out)
		}
	}
	bad := filepath.Join(t.TempDir(), "bad.toml")
	if err := os.WriteFile(bad, []byte("gateways = 3\nlenght = \"1s\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if out, err := lab("run", bad); err == nil || !strings.Contains(out, "bad.toml:2: lenght") {
		t.Errorf("%v\n%s", err, out)
	}
}

func TestSweep(t *testing.T) {
	out, err := lab("sweep", calm, "--vary", "gateways=1,3", "--set", "length=3s", "--seeds", "1")
	if err != nil || !strings.Contains(out, "gateways=1") || !strings.Contains(out, "gateways=3") {
		t.Errorf("%v\n%s", err, out)
	}
}

// The same on both sides is no difference; an overload is one.
func TestCompare(t *testing.T) {
	out, err := lab("compare", calm, "--a", "length=3s", "--b", "length=3s", "--seeds", "5")
	if err != nil || !strings.Contains(out, "no difference seen") {
		t.Errorf("%v\n%s", err, out)
	}
	out, err = lab("compare", calm, "--a", "length=3s", "--b", "length=3s", "--b", "load=3", "--seeds", "5")
	if err != nil || strings.Contains(out, "no difference seen") || !strings.Contains(out, "first: -0.") {
		t.Errorf("%v\n%s", err, out)
	}
}

// The interval holds the mean of what it is drawn from, and is as wide as that is spread.
func TestInterval(t *testing.T) {
	mean, low, high := interval([]float64{1, 2, 3, 4, 5, 6, 7, 8, 9}, 1)
	// By the normal approximation 5 ± 1.96 x 2.58/3 = 3.3 to 6.7.
	if mean != 5 || low < 3 || low > 3.7 || high < 6.3 || high > 7 {
		t.Errorf("%v, %v to %v", mean, low, high)
	}
	if mean, low, high := interval([]float64{2, 2, 2}, 1); mean < 1.999 || low < 1.999 || high > 2.001 {
		t.Errorf("%v, %v to %v", mean, low, high)
	}
}

// The page stands by itself, has a picture of each kind and every cause, and no text of a scenario
// becomes part of it as it is.
func TestReport(t *testing.T) {
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
	if said, err := lab("report", file, "--set", "length=4s", "--set", "load=3", "--out", out); err != nil {
		t.Fatal(said, err)
	}
	got, err := os.ReadFile(out)
	if err != nil {
		t.Fatal(err)
	}
	for want, n := range map[string]int{"<svg": 3, "<polyline": 6, "<script": 0, "http": 0, "expected": 1, ">wait<": 1} {
		if have := strings.Count(string(got), want); have != n && (n != 1 || have < 1) {
			t.Errorf("%q is there %d times, want %d", want, have, n)
		}
	}
	if said, err := lab("report", calm); err == nil {
		t.Error("without a page to write:", said)
	}
}

// A hunt says what it found and writes it small, as scenarios that play as it said; the same
// seed finds the same on any number of cores.
func TestHunt(t *testing.T) {
	args := []string{"hunt", calm, "--runs", "48", "--seed", "4", "--length", "8s", "--hosts", "8", "--gateways", "4", "--finds", "2"}
	var said []string
	dir := t.TempDir()
	for range 2 {
		out, err := lab(append(args, "--out", dir)...)
		if err != nil {
			t.Fatal(out, err)
		}
		said = append(said, out)
	}
	if said[0] != said[1] || !strings.Contains(said[0], "48 played") {
		t.Errorf("%s\nand then\n%s", said[0], said[1])
	}
	found, err := filepath.Glob(filepath.Join(dir, "found-*.toml"))
	if err != nil || len(found) != 2 {
		t.Fatalf("%v, %v\n%s", found, err, said[0])
	}
	if out, err := lab(append([]string{"run"}, found...)...); err != nil {
		t.Errorf("%v\n%s", err, out)
	}
	for _, args := range [][]string{{"hunt", calm, "--runs", "0"}, {"hunt", "none.toml"}, {"hunt", calm, "--out", filepath.Join(dir, "none"), "--runs", "32", "--length", "2s"}} {
		if out, err := lab(args...); err == nil {
			t.Errorf("%v: no error\n%s", args, out)
		}
	}
}
