package balancer

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// Whoever is on call starts at the doc comment of Balancer: it names each file of the policy, and no other.
func TestCommentOfBalancerNamesPolicyFiles(t *testing.T) {
	policy := policyFiles(t)
	guide := balancerGuide(t, policy["balancer.go"])
	for name := range policy {
		if name != "balancer.go" && !guide[name] {
			t.Errorf("the comment of Balancer does not name %s", name)
		}
	}
	for name := range guide {
		if policy[name] == "" {
			t.Errorf("the comment of Balancer names %s, which is no file of the policy", name)
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

// The files are read by whoever is on call: they are short, their lines fit a screen and their functions half of
// one.
func TestPolicyStaysReadable(t *testing.T) {
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
			t.Errorf("%s has %d lines, %d at most", name, len(lines), maxFileLines)
		}
		function := 0
		for i, line := range lines {
			if n := len([]rune(strings.ReplaceAll(line, "\t", "    "))); n > maxLineLength {
				t.Errorf("%s:%d has %d characters, %d at most", name, i+1, n, maxLineLength)
			}
			if strings.HasPrefix(line, "func ") {
				function = i
			}
			if line == "}" && strings.HasPrefix(lines[function], "func ") && i-function+1 > maxFunctionLines {
				t.Errorf("%s:%d: a function of %d lines, %d at most", name, function+1, i-function+1, maxFunctionLines)
			}
		}
	}
}

// No file that may decide is left out of the policy.
func TestFilesOutsidePolicyDecideNothing(t *testing.T) {
	policy := policyFiles(t)
	for _, name := range sourceFiles(t) {
		if decides := policy[name] != ""; decides == slices.Contains(filesWithoutDecisions, name) {
			t.Errorf("%s: is in the policy %v; it must be either there or in filesWithoutDecisions", name, decides)
		}
	}
	// A rule ends in a line to on-call, a random draw or an action.
	decision := regexp.MustCompile(`b\.log\(|b\.random\.(unit|below|twoBelow)\(|b\.act\(Action\{Kind: (Send|Cancel|Reject|Fail|Close|Poll)\b`)
	for _, name := range filesWithoutDecisions {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Errorf("filesWithoutDecisions: %v", err)
			continue
		}
		if found := decision.Find(text); found != nil {
			t.Errorf("%s decides (%s), so it belongs to the policy", name, found)
		}
	}
}

// filesWithoutDecisions are the files of the package that hold no rule: types, data structures and codecs.
var filesWithoutDecisions = []string{
	"actions.go", "api.go", "checkpoint.go", "checkpoint_codec.go", "checkpoint_hosts.go", "checkpoint_requests.go",
	"host.go", "hostset.go", "list.go", "random.go", "dueheap.go", "request.go", "retune.go", "settings.go", "view.go",
}

// balancerGuide returns the files that the doc comment of Balancer names, each with what it decides.
func balancerGuide(t *testing.T, code string) map[string]bool {
	t.Helper()
	end := strings.Index(code, "\ntype Balancer struct")
	start := strings.LastIndex(code[:max(end, 0)], "\n\n")
	if start < 0 {
		t.Fatal("balancer.go has no comment of Balancer")
	}
	files := map[string]bool{}
	for _, m := range regexp.MustCompile(`(?m)^//\t(\w+\.go) +\S+ \S+`).FindAllStringSubmatch(code[start:end], -1) {
		files[m[1]] = true
	}
	return files
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
	for _, m := range regexp.MustCompile(`b\.eject\(host, (Cause\w+)`).FindAllStringSubmatch(code, -1) {
		name, ok := map[string]Cause{"CauseConnectionsFailed": CauseConnectionsFailed, "CauseSilent": CauseSilent}[m[1]]
		if !ok {
			t.Errorf("%s: the page is not checked for it", m[1])
		}
		lines = append(lines, "ejected: "+name.String())
	}
	if len(lines) < int(logKinds)+1 {
		t.Fatalf("found only %d lines: %q", len(lines), lines)
	}
	for _, l := range lines {
		l = strings.NewReplacer("%d of %d", "N of M", "%d", "N", "%x", "X").Replace(l)
		if !strings.Contains(string(page), l) {
			t.Errorf("the on-call page lacks %q", l)
		}
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
