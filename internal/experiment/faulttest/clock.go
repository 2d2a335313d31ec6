package faulttest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
)

// clockSource is the Go source that replaces the runtime's time.now by one that adds an offset to the wall clock.
const clockSource = `//go:build linux && amd64

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

// Files of package runtime that are replaced, and the build tags.
const (
	runtimeClockGo       = "timeasm.go"
	runtimeClockAssembly = "time_linux_amd64.s"
	clockOffsetTags      = "failpoints jumps"
)

// BuildWithClockOffset builds the program with a modified runtime whose wall clock has an offset, which
// Gateway.SetClockOffset sets; test processes have no permission to set the clock of the machine. It returns the path of
// the binary, which is in dir. It supports linux/amd64 only.
func BuildWithClockOffset(dir string) (string, error) {
	goroot, err := exec.Command("go", "env", "GOROOT").Output()
	if err != nil {
		return "", fmt.Errorf("go env GOROOT: %w", err)
	}
	runtimeDir := filepath.Join(string(bytes.TrimSpace(goroot)), "src", "runtime")
	assembly, err := os.ReadFile(filepath.Join(runtimeDir, runtimeClockAssembly))
	if err != nil {
		return "", err
	}
	assembly = bytes.Replace(assembly, []byte("TEXT time·now<"), []byte("TEXT runtime·time_real<"), 1)
	overlay, err := writeOverlay(dir, runtimeDir, map[string][]byte{
		runtimeClockGo:       []byte(clockSource),
		runtimeClockAssembly: assembly,
	})
	if err != nil {
		return "", err
	}
	program := filepath.Join(dir, "dunemoor-clock-offset")
	build := exec.Command("go", "build", "-overlay", overlay, "-tags", clockOffsetTags, "-o", program, "dunemoor/cmd/dunemoor")
	if out, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("go build: %w: %s", err, out)
	}
	return program, nil
}

// writeOverlay writes the files, which replace those of the same names in replacedDir, to dir. It returns the path of the
// overlay file for go build.
func writeOverlay(dir, replacedDir string, files map[string][]byte) (string, error) {
	var overlay struct{ Replace map[string]string }
	overlay.Replace = map[string]string{}
	for name, text := range files {
		replacement := filepath.Join(dir, name)
		if err := os.WriteFile(replacement, text, 0o600); err != nil {
			return "", err
		}
		overlay.Replace[filepath.Join(replacedDir, name)] = replacement
	}
	text, err := json.Marshal(overlay)
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "overlay.json")
	return path, os.WriteFile(path, text, 0o600)
}
