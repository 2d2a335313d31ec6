package flightrecorder

import (
	"strconv"
	"testing"

	"dunemoor/balancer"
)

// causeCount covers all causes of the balancer: each has a name, and the next higher number has none.
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

// The cause of a host in a view is read as it was recorded.
func TestViewKeepsCause(t *testing.T) {
	for number := range causeCount {
		want := balancer.HostView{Host: 1, State: balancer.Draining, Warming: true, Cause: balancer.Cause(number)}
		records := decoder{data: appendView(nil, &want, 0)}
		if got := records.view(0); got != want || records.err != nil {
			t.Errorf("got %+v, error %v, want %+v", got, records.err, want)
		}
	}
}
