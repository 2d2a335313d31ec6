package balancer

import (
	"os"
	"regexp"
	"strings"
	"testing"
)

// decisionsPage returns the contents of docs/DECISIONS.md.
func decisionsPage(t *testing.T) string {
	t.Helper()
	page, err := os.ReadFile("../docs/DECISIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	return string(page)
}

// Operators look up causes on the page: it must list each one with its text in recordings and logs.
func TestDecisionsPageHasEachCause(t *testing.T) {
	page := decisionsPage(t)
	for i, name := range causeNames {
		if !strings.Contains(page, "`"+name+"`") {
			t.Errorf("docs/DECISIONS.md lacks cause %d, `%s`", i, name)
		}
	}
}

// The page must contain each log line of the balancer, with the placeholders N and M for numbers and X for
// hosts.
func TestDecisionsPageHasEachLogLine(t *testing.T) {
	page := decisionsPage(t)
	placeholders := strings.NewReplacer("%d of %d", "N of M", "%d", "N", "%x", "X")
	lines := 0
	for name, text := range policyFiles(t) {
		for _, match := range regexp.MustCompile(`b\.log\(log\w+, "([^"]*)"`).FindAllStringSubmatch(text, -1) {
			lines++
			want := placeholders.Replace(strings.TrimSuffix(match[1], "%s"))
			if !strings.Contains(page, want) {
				t.Errorf("docs/DECISIONS.md lacks %q, which %s logs", want, name)
			}
		}
	}
	if lines < int(logKinds) {
		t.Errorf("found %d calls that log, want at least %d", lines, logKinds)
	}
}

// Each policy file must have a rule on the page, unless it contains only code shared by several rules.
func TestDecisionsPageHasEachPolicyFile(t *testing.T) {
	page := decisionsPage(t)
	shared := map[string]bool{"balancer.go": true, "averages.go": true, "attempt.go": true}
	for name := range policyFiles(t) {
		if !shared[name] && !strings.Contains(page, "`"+name+"`") {
			t.Errorf("docs/DECISIONS.md names no rule in %s", name)
		}
	}
}
