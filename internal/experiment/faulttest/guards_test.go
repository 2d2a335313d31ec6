package faulttest

import (
	"fmt"
	"path/filepath"
	"sync"
	"testing"
)

var jumpy struct {
	once sync.Once
	bin  string
	err  error
}

// jumps is the program with a clock on the wall that a test can set.
func jumps(t *testing.T) string {
	t.Helper()
	jumpy.once.Do(func() { jumpy.bin, jumpy.err = BuildJumps(filepath.Dir(planted)) })
	if jumpy.err != nil {
		t.Fatal(jumpy.err)
	}
	return jumpy.bin
}

// Guards taken out one at a time among processes: each is found by its story, and where none is
// out no story finds anything.
func TestGuards(t *testing.T) {
	for _, s := range Stories {
		for _, out := range []string{"", s.Guard} {
			t.Run(fmt.Sprintf("%s/%s", s.Guard, map[bool]string{true: "in", false: "out"}[out == ""]), func(t *testing.T) {
				t.Parallel()
				bin := planted
				if s.Jumps {
					bin = jumps(t)
				}
				f := form(t, Options{Bin: bin, Gateways: 3, Keepers: 3, Nodes: 1, Seed: 9, Env: []string{"DUNEMOOR_FAILPOINT=" + out}})
				seen, err := s.Play(f)
				if err != nil {
					t.Fatal(err)
				}
				if (seen != "") != (out != "") {
					t.Errorf("seen: %q", seen)
				}
				t.Log(seen)
				if out == "" {
					if err := f.Heal(); err != nil {
						t.Fatal(err)
					}
					whole(t, f)
				}
			})
		}
	}
}
