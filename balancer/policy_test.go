package balancer

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// The doc comment of Balancer is the entry point for operators: it must name each file of the policy and no
// other.
func TestCommentOfBalancerNamesPolicyFiles(t *testing.T) {
	policy := policyFiles(t)
	listed := filesInBalancerComment(t, policy["balancer.go"])
	for name := range policy {
		if name != "balancer.go" && !listed[name] {
			t.Errorf("the comment of Balancer does not name %s", name)
		}
	}
	for name := range listed {
		if policy[name] == "" {
			t.Errorf("the comment of Balancer names %s, which is not a file of the policy", name)
		}
	}
	if !strings.Contains(policy["balancer.go"], "are in api.go") {
		t.Error("the comment of Balancer does not name api.go")
	}
}

// sourceFiles returns the names of the package's files without its tests.
func sourceFiles(t *testing.T) []string {
	t.Helper()
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	return slices.DeleteFunc(files, func(name string) bool { return strings.HasSuffix(name, "_test.go") })
}

// Operators read these files: limits the length of files, functions and lines.
func TestSourceFilesAreWithinSizeLimits(t *testing.T) {
	const (
		maxFileLines     = 300
		maxFunctionLines = 40
		maxLineLength    = 110
	)
	for _, name := range sourceFiles(t) {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		lines := strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
		if len(lines) > maxFileLines {
			t.Errorf("%s has %d lines, want at most %d", name, len(lines), maxFileLines)
		}
		function := 0
		for i, line := range lines {
			if n := len([]rune(strings.ReplaceAll(line, "\t", "    "))); n > maxLineLength {
				t.Errorf("%s:%d has %d characters, want at most %d", name, i+1, n, maxLineLength)
			}
			if strings.HasPrefix(line, "func ") {
				function = i
			}
			if line == "}" && strings.HasPrefix(lines[function], "func ") && i-function+1 > maxFunctionLines {
				t.Errorf("%s:%d: function has %d lines, want at most %d", name, function+1, i-function+1, maxFunctionLines)
			}
		}
	}
}

// Every file that makes decisions must be part of the policy.
func TestFilesOutsidePolicyMakeNoDecisions(t *testing.T) {
	policy := policyFiles(t)
	for _, name := range sourceFiles(t) {
		if decides := policy[name] != ""; decides == slices.Contains(filesWithoutDecisions, name) {
			t.Errorf("%s: in the policy: %v; it must be either in the policy or in filesWithoutDecisions", name, decides)
		}
	}
	// Code that makes a decision logs a line, draws a random number or emits an action.
	decision := regexp.MustCompile(`b\.log\(|b\.random\.(unit|below|twoBelow)\(|b\.act\(Action\{Kind: (Send|Cancel|Reject|Fail|Close|Poll)\b`)
	for _, name := range filesWithoutDecisions {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Errorf("filesWithoutDecisions: %v", err)
			continue
		}
		if found := decision.Find(text); found != nil {
			t.Errorf("%s makes a decision (%s), so it must be part of the policy", name, found)
		}
	}
}

// filesWithoutDecisions are the files of the package without rules: types, data structures and codecs.
var filesWithoutDecisions = []string{
	"actions.go", "api.go", "checkpoint.go", "checkpoint_codec.go", "checkpoint_hosts.go", "checkpoint_requests.go",
	"exp.go", "host.go", "hostset.go", "list.go", "random.go", "dueheap.go", "request.go", "retune.go", "settings.go", "view.go",
}

// filesInBalancerComment returns the files that the doc comment of Balancer lists with a description.
func filesInBalancerComment(t *testing.T, code string) map[string]bool {
	t.Helper()
	end := strings.Index(code, "\ntype Balancer struct")
	start := strings.LastIndex(code[:max(end, 0)], "\n\n")
	if start < 0 {
		t.Fatal("balancer.go has no doc comment on Balancer")
	}
	files := map[string]bool{}
	for _, m := range regexp.MustCompile(`(?m)^//\t(\w+\.go) +\S+ \S+`).FindAllStringSubmatch(code[start:end], -1) {
		files[m[1]] = true
	}
	return files
}

// Operators look up log lines on the page: it must contain each one as it is printed.
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
	for _, m := range regexp.MustCompile(`b\.eject\(host, (Cause\w+)`).FindAllStringSubmatch(code, -1) {
		name, ok := map[string]Cause{"CauseConnectionsFailed": CauseConnectionsFailed, "CauseSilent": CauseSilent}[m[1]]
		if !ok {
			t.Errorf("%s: unknown cause, cannot check the page for it", m[1])
		}
		lines = append(lines, "ejected: "+name.String())
	}
	if len(lines) < int(logKinds)+1 {
		t.Fatalf("found only %d log lines: %q", len(lines), lines)
	}
	for _, l := range lines {
		l = strings.NewReplacer("%d of %d", "N of M", "%d", "N", "%x", "X").Replace(l)
		if !strings.Contains(string(page), l) {
			t.Errorf("the on-call page lacks %q", l)
		}
	}
}

// policyFiles returns the names and contents of the files that deploy/balancer.toml lists as the policy.
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
		t.Fatalf("deploy/balancer.toml lists %d policy files, want balancer.go among them", len(files))
	}
	return files
}
