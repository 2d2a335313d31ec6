package faulttest

import (
	"fmt"
	"path/filepath"
	"sync"
	"testing"
)

// buildClockOffsetBinary builds the program with BuildWithClockOffset, once for all tests.
var buildClockOffsetBinary = sync.OnceValues(func() (string, error) {
	return BuildWithClockOffset(filepath.Dir(failpointsBinary))
})

// Each fault case finds a violation with its failpoint enabled, and none without.
func TestFaultCasesFindEnabledFailpoints(t *testing.T) {
	for _, c := range FaultCases {
		for _, failpoint := range []string{"", c.Failpoint} {
			t.Run(fmt.Sprintf("%s/enabled=%v", c.Failpoint, failpoint != ""), func(t *testing.T) {
				t.Parallel()
				program := failpointsBinary
				if c.NeedsClockOffset {
					var err error
					if program, err = buildClockOffsetBinary(); err != nil {
						t.Fatal(err)
					}
				}
				f := newFleet(t, Options{Program: program, Gateways: 3, Replicas: 3, Hosts: 1, Seed: 9, Env: []string{"DUNEMOOR_FAILPOINT=" + failpoint}})
				violation, err := c.Run(f)
				if err != nil {
					t.Fatal(err)
				}
				if (violation != "") != (failpoint != "") {
					t.Errorf("failpoint %q: got violation %q, want one: %v", failpoint, violation, failpoint != "")
				}
				t.Log(violation)
				if failpoint == "" {
					if err := f.Heal(); err != nil {
						t.Fatal(err)
					}
					waitConverged(t, f)
				}
			})
		}
	}
}
