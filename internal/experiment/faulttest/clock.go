package faulttest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
)

// timeNowSource is the Go source of a time.now that adds an offset to the wall clock. It needs a declaration of time_real,
// the real time, behind it.
const timeNowSource = `
package runtime

import _ "unsafe" // for go:linkname

//go:linkname wallJump
var wallJump int64

//go:linkname time_now time.now
func time_now() (sec int64, nsec int32, mono int64) {
	sec, nsec, mono = time_real()
	return sec + wallJump, nsec, mono
}
`

// Declarations of the real time that timeNowSource uses, in assembly on amd64 and in Go elsewhere.
const (
	realTimeAssembly = "\nfunc time_real() (sec int64, nsec int32, mono int64)\n"
	realTimeGo       = `
func time_real() (sec int64, nsec int32, mono int64) {
	sec, nsec = walltime()
	return sec, nsec, nanotime()
}
`
)

// clockOffsetTags are the build tags of a program whose wall clock can have an offset.
const clockOffsetTags = "failpoints jumps"

// runtimeClockFiles returns the files of package runtime that are replaced to give the wall clock an offset, by name.
func runtimeClockFiles(runtimeDir string) (map[string][]byte, error) {
	if runtime.GOARCH != "amd64" {
		return map[string][]byte{"timestub.go": []byte(timeNowSource + realTimeGo)}, nil
	}
	const assemblyFile = "time_linux_amd64.s"
	assembly, err := os.ReadFile(filepath.Join(runtimeDir, assemblyFile))
	if err != nil {
		return nil, err
	}
	return map[string][]byte{
		"timeasm.go": []byte(timeNowSource + realTimeAssembly),
		assemblyFile: bytes.Replace(assembly, []byte("TEXT time·now<"), []byte("TEXT runtime·time_real<"), 1),
	}, nil
}

// BuildWithClockOffset builds the program with a modified runtime whose wall clock has an offset, which
// Gateway.SetClockOffset sets; test processes have no permission to set the clock of the machine. It returns the path of
// the binary, which is in dir. It supports Linux only.
func BuildWithClockOffset(dir string) (string, error) {
	goroot, err := exec.Command("go", "env", "GOROOT").Output()
	if err != nil {
		return "", fmt.Errorf("go env GOROOT: %w", err)
	}
	runtimeDir := filepath.Join(string(bytes.TrimSpace(goroot)), "src", "runtime")
	files, err := runtimeClockFiles(runtimeDir)
	if err != nil {
		return "", err
	}
	overlay, err := writeOverlay(dir, runtimeDir, files)
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
