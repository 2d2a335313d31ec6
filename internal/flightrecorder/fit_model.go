package flightrecorder

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"dunemoor/balancer"
)

const (
	// minSpeedResponses is the minimum number of responses to estimate a host's speed. With fewer, its speed is 1.
	minSpeedResponses = 20
	// minDownAttempts and minSilentAttempts are the numbers of consecutive attempts that must fail to connect, or
	// remain unanswered, for the host to count as down or silent during them.
	minDownAttempts   = 2
	minSilentAttempts = 3
	// deadlineTolerance: an attempt that ends in the last 1/deadlineTolerance of its request's time counts as ended
	// at the deadline.
	deadlineTolerance = 16
	// defaultServiceTime is the service time of a class without any successful response.
	defaultServiceTime = time.Millisecond
)

// fitHosts sets the models of the hosts. The shares of errors and unanswered attempts are those of all hosts together,
// outside the spans in which a host was down or silent. Both are shares of all attempts, although the simulation applies
// the share of errors to answered attempts only.
func (f *fitter) fitHosts() {
	classes := len(f.settings.Classes)
	expected := f.meanServiceTimes()
	unanswered := 0
	total := 0
	errorShares := make([]float64, classes)
	attempts := make([]float64, classes)
	for _, id := range slices.Sorted(maps.Keys(f.hosts)) {
		h := f.hosts[id]
		model := &SimulatedHost{
			Speed:  h.speed(expected),
			Down:   spansOf(h.attempts, minDownAttempts, (*fittedAttempt).failedToConnect),
			Silent: spansOf(h.attempts, minSilentAttempts, (*fittedAttempt).unanswered),
		}
		f.Simulation.Hosts[id] = model
		for _, a := range h.attempts {
			if inAnySpan(model.Down, a.sentAt) || inAnySpan(model.Silent, a.sentAt) {
				continue
			}
			total++
			attempts[a.class]++
			if a.unanswered() {
				unanswered++
			} else if a.failed() {
				errorShares[a.class]++
			}
		}
	}
	for class := range errorShares {
		errorShares[class] /= max(attempts[class], 1)
	}
	for _, model := range f.Simulation.Hosts {
		model.ErrorShares = errorShares
		model.UnansweredShare = float64(unanswered) / float64(max(total, 1))
	}
}

// meanServiceTimes returns the mean service time of each class, in nanoseconds.
func (f *fitter) meanServiceTimes() []float64 {
	sums := make([]float64, len(f.settings.Classes))
	counts := make([]int, len(f.settings.Classes))
	for _, h := range f.hosts {
		for _, a := range h.attempts {
			if a.result == balancer.OK {
				sums[a.class] += float64(a.serviceTime)
				counts[a.class]++
			}
		}
	}
	for class := range sums {
		if counts[class] == 0 {
			sums[class] = float64(defaultServiceTime)
		} else {
			sums[class] = max(sums[class]/float64(counts[class]), 1)
		}
	}
	return sums
}

// speed returns the speed of a host relative to the expected service times of the classes, in nanoseconds.
func (h *fittedHost) speed(expected []float64) float64 {
	actualSum := 0.0
	expectedSum := 0.0
	responses := 0
	for _, a := range h.attempts {
		if a.result == balancer.OK {
			actualSum += float64(a.serviceTime)
			expectedSum += expected[a.class]
			responses++
		}
	}
	if responses < minSpeedResponses || actualSum <= 0 {
		return 1
	}
	return expectedSum / actualSum
}

func (a *fittedAttempt) failedToConnect() bool { return a.result == balancer.ConnectFailed }

// failed reports whether the attempt ended with an error, an invalid response or a reset.
func (a *fittedAttempt) failed() bool {
	return a.result == balancer.Failed || a.result == balancer.InvalidResponse || a.result == balancer.Reset
}

// spansOf returns the spans in which at least minCount consecutive attempts, in the order of sending, match.
func spansOf(attempts []*fittedAttempt, minCount int, match func(*fittedAttempt) bool) []Span {
	attempts = slices.Clone(attempts)
	slices.SortStableFunc(attempts, func(x, y *fittedAttempt) int { return cmp.Compare(x.sentAt, y.sentAt) })
	var spans []Span
	start := 0
	for start < len(attempts) {
		end := start
		for end < len(attempts) && match(attempts[end]) {
			end++
		}
		if end-start >= minCount {
			spans = append(spans, Span{attempts[start].sentAt, attempts[end-1].sentAt + 1})
		}
		start = end + 1
	}
	return spans
}

// fitWork sets the work of each request: its service time multiplied by the speed of its host. The work of a request
// that was never served is drawn from the served requests of its class.
func (f *fitter) fitWork() {
	workByClass := make([][]time.Duration, len(f.settings.Classes))
	for i := range f.Simulation.Arrivals {
		a := &f.Simulation.Arrivals[i]
		if served := f.requests[a.Request.ID].servedBy; served != nil {
			speed := f.Simulation.Hosts[served.host].Speed
			a.Work = max(time.Duration(float64(served.serviceTime)*speed), 1)
			workByClass[a.Request.Class] = append(workByClass[a.Request.Class], a.Work)
		}
	}
	random := rand.New(rand.NewPCG(f.Seed, workStream))
	for i := range f.Simulation.Arrivals {
		a := &f.Simulation.Arrivals[i]
		if a.Work > 0 {
			continue
		}
		f.Unserved++
		if samples := workByClass[a.Request.Class]; len(samples) > 0 {
			a.Work = samples[random.IntN(len(samples))]
		} else {
			a.Work = defaultServiceTime
		}
	}
}
