// Command standin plays a case of the review, or a host as a process of its own.
package main

import (
	"fmt"
	"os"
	"time"

	"dunemoor-review/kit"
)

// cases are the cases by name. Each file of a case adds its own.
var cases = map[string]func(e *kit.Env) (int, error){}

func main() {
	if len(os.Args) == 5 && os.Args[1] == "host" {
		work, err := time.ParseDuration(os.Args[4])
		if err == nil {
			err = kit.ServeHost(os.Args[2], os.Args[3], work)
		}
		fmt.Fprintln(os.Stderr, err)
		os.Exit(kit.ExitCannotRun)
	}
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE | standin host ADDRESS NAME WORK")
		os.Exit(kit.ExitCannotRun)
	}
	os.Exit(play(os.Args[1]))
}

func play(name string) int {
	e, err := kit.LoadEnv()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return kit.ExitCannotRun
	}
	code, err := cases[name](e)
	if err != nil {
		e.Record.Logf("can't run: %v", err)
		fmt.Fprintln(os.Stderr, "can't run:", err)
		return kit.ExitCannotRun
	}
	return code
}
