package simulator

import (
	"strconv"
	"testing"

	"dunemoor/balancer"
)

// causeCount equals the number of causes of the balancer: each value below it has a name, and the next value has
// none.
func TestCauseCountCoversAllCauses(t *testing.T) {
	for number := range causeCount {
		if name := balancer.Cause(number).String(); name == strconv.Itoa(number) {
			t.Errorf("cause %d: got no name, want one", number)
		}
	}
	if name := balancer.Cause(causeCount).String(); name != strconv.Itoa(causeCount) {
		t.Errorf("cause %d: got the name %q, want none: causeCount is too small", causeCount, name)
	}
}
