package balancer

import (
	"fmt"
	"math"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"
)

func TestSameEventsGiveSameActions(t *testing.T) {
	run := func() string {
		var all []Action
		g := newTestGateway(t, testSettings(), testHosts(7)...)
		for i := range 300 {
			id := g.request(i%3, time.Second)
			all = append(all, g.actions...)
			all = append(all, g.advance(3*ms)...)
			g.attemptEnded(id, 0, Result(i%7), 3*ms)
			all = append(all, g.actions...)
		}
		return fmt.Sprint(all)
	}
	if first, second := run(), run(); first != second {
		t.Errorf("the second run decided %s, want what the first did: %s", second, first)
	}
}

func TestUnknownAndRepeatedEventsAreIgnored(t *testing.T) {
	g := newTestGateway(t, testSettings(), testHosts(2)...)
	id := g.request(0, time.Second)
	g.attemptEnded(id+99, 0, OK, ms)
	g.attemptEnded(id, 7, OK, ms)
	g.attemptEnded(id, -1, OK, ms)
	g.b.ClientGone(g.now, id+99)
	g.b.AttemptStarted(g.now, id+99, 0)
	g.b.AttemptStarted(g.now, id, 9)
	g.b.Timer(g.now, math.MaxUint64)
	g.b.Request(g.now, Request{ID: id, Remaining: time.Second}) // repeated
	g.b.Request(g.now, Request{ID: 500, Class: 9})
	g.b.Request(g.now, Request{ID: 501, Class: -1})
	g.takeActions()
	if len(g.actions) != 0 {
		t.Errorf("after unknown events: actions %v, want none", g.actions)
	}
	g.attemptEnded(id, 0, OK, -ms)
	g.attemptEnded(id, 0, OK, ms)
	g.b.ClientGone(g.now, id)
	g.takeActions()
	if len(g.actions) != 0 || len(g.b.open) != 0 || g.b.hosts[0].inFlight+g.b.hosts[1].inFlight != 0 {
		t.Errorf("after the end: actions %v, %d requests, %d attempts, want none",
			g.actions, len(g.b.open), g.b.hosts[0].inFlight+g.b.hosts[1].inFlight)
	}
}

func TestStringOfResultsAndActionKinds(t *testing.T) {
	for v, want := range map[fmt.Stringer]string{
		OK: "OK", NotSent: "NotSent", Send: "Send", Log: "Log", ActionKind(200): "200", Result(99): "99",
	} {
		if got := v.String(); got != want {
			t.Errorf("String() = %q, want %q", got, want)
		}
	}
}

func TestLogLimitsLinesOfOneKind(t *testing.T) {
	g := newTestGateway(t, testSettings(), testHosts(40)...)
	for _, h := range g.b.hosts[:10] {
		g.b.eject(h, CauseSilent)
	}
	g.takeActions()
	if len(g.logs) != 1 || g.logs[0] != "host 1 ejected: silent" {
		t.Fatalf("logs %q, want only that of the first ejection", g.logs)
	}
	g.b.now += logInterval
	g.b.eject(g.b.hosts[20], CauseConnectionsFailed)
	g.takeActions()
	if want := "host 15 ejected: connections fail (9 more such lines held back)"; g.logs[1] != want {
		t.Errorf("log %q, want %q", g.logs[1], want)
	}
}

// policyFiles returns the names of the files that the deploy file names as the policy, and their contents.
func policyFiles(t *testing.T) map[string]string {
	t.Helper()
	deploy, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	files := map[string]string{}
	line := regexp.MustCompile(`(?m)^policy = \[(.*)\]$`).FindSubmatch(deploy)
	for _, m := range regexp.MustCompile(`"balancer/(\w+\.go)"`).FindAllSubmatch(line[1], -1) {
		text, err := os.ReadFile(string(m[1]))
		if err != nil {
			t.Fatal(err)
		}
		files[string(m[1])] = string(text)
	}
	if len(files) == 0 || files["balancer.go"] == "" {
		t.Fatalf("the deploy file names %d files of the policy", len(files))
	}
	return files
}

// Whoever is on call reads the whole policy at night.
func TestPolicyStaysReadable(t *testing.T) {
	files := policyFiles(t)
	lines := 0
	for name, text := range files {
		for i, l := range strings.Split(text, "\n") {
			if len(strings.TrimSpace(l)) > 0 {
				lines++
			}
			if n := len([]rune(strings.ReplaceAll(l, "\t", "    "))); n > 110 {
				t.Errorf("%s:%d has %d characters", name, i+1, n)
			}
		}
		if name != "balancer.go" && !strings.Contains(files["balancer.go"][:800], name) {
			t.Errorf("the head of balancer.go does not name %s", name)
		}
	}
	if lines > 1200 {
		t.Errorf("the policy has %d non-blank lines, 1200 at most", lines)
	}
	if !strings.Contains(files["balancer.go"][:800], "api.go") {
		t.Error("the head of balancer.go does not name api.go")
	}
}

// Whoever is on call looks lines up on the page; each must stand there as printed.
func TestLogLinesAreOnTheOnCallPage(t *testing.T) {
	code := ""
	for _, text := range policyFiles(t) {
		code += text
	}
	page, err := os.ReadFile("../docs/on-call.md")
	if err != nil {
		t.Fatal(err)
	}
	var lines []string
	for _, m := range regexp.MustCompile(`b\.log\(log\w+, "([^"]*)"`).FindAllStringSubmatch(code, -1) {
		lines = append(lines, strings.TrimSuffix(m[1], "%s"))
	}
	for _, m := range regexp.MustCompile(`b\.eject\(h, (Cause\w+)`).FindAllStringSubmatch(code, -1) {
		name, ok := map[string]Cause{"CauseConnectionsFailed": CauseConnectionsFailed, "CauseSilent": CauseSilent}[m[1]]
		if !ok {
			t.Errorf("%s: the page is not checked for it", m[1])
		}
		lines = append(lines, "ejected: "+name.String())
	}
	if len(lines) < logKinds+1 {
		t.Fatalf("found only %d lines: %q", len(lines), lines)
	}
	for _, l := range lines {
		l = strings.NewReplacer("%d of %d", "N of M", "%d", "N", "%x", "X").Replace(l)
		if !strings.Contains(string(page), l) {
			t.Errorf("the on-call page lacks %q", l)
		}
	}
}
