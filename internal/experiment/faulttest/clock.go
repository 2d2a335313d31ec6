package faulttest

import (
	"bytes"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
)

// clockStub stands in for the runtime's time.now: the clock on the wall, and what it is off by.
const clockStub = `//go:build linux && amd64

package runtime

import _ "unsafe" // for go:linkname

//go:linkname wallJump
var wallJump int64

func time_real() (sec int64, nsec int32, mono int64)

//go:linkname time_now time.now
func time_now() (sec int64, nsec int32, mono int64) {
	sec, nsec, mono = time_real()
	return sec + wallJump, nsec, mono
}
`

// BuildJumps builds the program with a clock on the wall that can be set (Gateway.Jump), with a
// runtime in which time.now goes by a number of seconds more: no process here may set the machine's
// own. On linux/amd64 alone.
func BuildJumps(dir string) (string, error) {
	root, err := exec.Command("go", "env", "GOROOT").Output()
	if err != nil {
		return "", err
	}
	of := filepath.Join(string(bytes.TrimSpace(root)), "src", "runtime")
	real, err := os.ReadFile(filepath.Join(of, "time_linux_amd64.s"))
	if err != nil {
		return "", err
	}
	files := map[string][]byte{"timeasm.go": []byte(clockStub), "time_linux_amd64.s": bytes.Replace(real, []byte("TEXT time·now<"), []byte("TEXT runtime·time_real<"), 1)}
	var overlay struct{ Replace map[string]string }
	overlay.Replace = map[string]string{}
	for name, b := range files {
		overlay.Replace[filepath.Join(of, name)] = filepath.Join(dir, name)
		if err := os.WriteFile(filepath.Join(dir, name), b, 0o600); err != nil {
			return "", err
		}
	}
	text, err := json.Marshal(overlay)
	if err != nil {
		return "", err
	}
	list, bin := filepath.Join(dir, "overlay.json"), filepath.Join(dir, "jumpy")
	if err := os.WriteFile(list, text, 0o600); err != nil {
		return "", err
	}
	if out, err := exec.Command("go", "build", "-overlay", list, "-tags", "failpoints jumps", "-o", bin, "dunemoor/cmd/dunemoor").CombinedOutput(); err != nil {
		return "", &exec.Error{Name: string(out), Err: err}
	}
	return bin, nil
}
