package balancer

import (
	"bytes"
	"fmt"
	"math/rand"
	"reflect"
	"slices"
	"strings"
	"testing"
)

// runHistory runs a random history of events and returns all actions as text. If every is above 0, the
// Balancer is replaced after each group of that many events by one restored from its checkpoint.
func runHistory(t *testing.T, seed int64, every int) string {
	r := rand.New(rand.NewSource(seed))
	data := make([]byte, 3000)
	r.Read(data)
	var all strings.Builder
	h := newHistory(t, data[:8])
	n := 0
	h.onActions = func(list []Action) { fmt.Fprintln(&all, list) }
	h.afterEvent = func() {
		n++
		if every == 0 || n%every != 0 {
			return
		}
		saved := h.b.Checkpoint(nil)
		b, err := Restore(h.settings, saved)
		if err != nil {
			t.Fatalf("seed %d, event %d: %v", seed, n, err)
		}
		if again := b.Checkpoint(nil); !bytes.Equal(saved, again) {
			t.Fatalf("seed %d, event %d: the restored Balancer writes a different checkpoint", seed, n)
		}
		h.b = b
	}
	h.run(data[8:])
	return all.String()
}

// A Balancer restored from a checkpoint produces the same actions as the one that wrote it.
func TestRestoredBalancerProducesSameActions(t *testing.T) {
	for seed := range int64(40) {
		want := runHistory(t, seed, 0)
		for _, every := range []int{1, 7} {
			if runHistory(t, seed, every) != want {
				t.Errorf("seed %d: restored after every %d events, the actions differ from those without a restore",
					seed, every)
			}
		}
	}
}

// Restoring a truncated or modified checkpoint returns an error or a different state, but never panics.
func TestRestoreRejectsDamagedCheckpoint(t *testing.T) {
	g := newTestGateway(t, testSettings(), testHosts(5)...)
	for i := range 30 {
		g.request(i%3, testSettings().Classes[0].Deadline)
	}
	saved := g.b.Checkpoint(nil)
	for n := range saved {
		if _, err := Restore(testSettings(), saved[:n]); err == nil {
			t.Fatalf("Restore of the first %d of %d bytes: no error, want one", n, len(saved))
		}
		for _, x := range []byte{1, 0x80, 0xff} {
			bad := slices.Clone(saved)
			bad[n] ^= x
			Restore(testSettings(), bad) // only a panic would be a failure
		}
	}
	if _, err := Restore(testSettings(), append(saved, 0)); err == nil {
		t.Error("Restore of a checkpoint with an extra byte: no error, want one")
	}
	bad := slices.Clone(saved)
	bad[0]++
	if _, err := Restore(testSettings(), bad); err == nil || !strings.Contains(err.Error(), "version") {
		t.Errorf("Restore of an unsupported version: error %v, want one that mentions the version", err)
	}
}

// Guards against a new field that is missing from the checkpoint, which would show only much later as a
// replay that diverges. Each field must be listed here: before "|" if it is part of the checkpoint, after
// "|" if it is not.
func TestCheckpointFieldListIsComplete(t *testing.T) {
	known := map[reflect.Type]string{
		reflect.TypeFor[Balancer](): "random now hosts sets dueStandings ring subset arrivals open queues sweep starvation typicalRTT " +
			"quotas sendRate pacer stalled poller logs | settings scales actions byID counts excluded scopes touched candidates freeRequests freeAttempts",
		reflect.TypeFor[host](): "Host rtt limiter ejection inFlight attempts lastResponse errors hasErrors brokenResponses slowStart " +
			"counted nextUpdate sets | index ring",
		reflect.TypeFor[randomSource]():       "state |",
		reflect.TypeFor[scales]():             "| shortestObjective errorPenalty minEstimateDecay",
		reflect.TypeFor[dueHeap]():            "hosts |",
		reflect.TypeFor[dueEntry]():           "at | position",
		reflect.TypeFor[membership]():         "| position selectionSet",
		reflect.TypeFor[hostRing]():           "built | byKind hosts place start warm warming",
		reflect.TypeFor[ringPosition]():       "| hash place counted",
		reflect.TypeFor[subset]():             "current scanned nextMove |",
		reflect.TypeFor[requestQueues]():      "byPriority lastUnserved | queueOf length",
		reflect.TypeFor[sweep]():              "at inFlight |",
		reflect.TypeFor[starvationTracker]():  "unserved | span",
		reflect.TypeFor[typicalRTTs]():        "byClass byKind any |",
		reflect.TypeFor[tenantQuotas]():       "buckets |",
		reflect.TypeFor[sendRateController](): "limit recentRTT reducedAt grownAt tokens refilledAt sent | rateSpan growthTime",
		reflect.TypeFor[slowStartPacer]():     "successes warmHostRate |",
		reflect.TypeFor[stalledAttempts]():    "unansweredShare |",
		reflect.TypeFor[endpointPoller]():     "listsArrive pollAt failures |",
		reflect.TypeFor[logLimiter]():         "at logged suppressed |",
		reflect.TypeFor[rttEstimate]():        "seconds at sampled |",
		reflect.TypeFor[concurrencyLimiter](): "limit recentRTT reducedAt restingUntil |",
		reflect.TypeFor[ejection]():           "count cause until trialInFlight backoffShortened |",
		reflect.TypeFor[slowStart]():          "warming startedAt nextSend |",
		reflect.TypeFor[request]():            "Request arrived deadline waitUntil queueIndex inFlight done answeredByBalancer streaming queued attempts | class link",
		reflect.TypeFor[attempt]():            "request host zone cell sentAt ended result trial overtakenBy canceledStalled countedSilent | link",
		reflect.TypeFor[classErrors]():        "share lastAt exclusions excludedAt excludedUntil counted |",
		reflect.TypeFor[decayingShare]():      "share at |",
		reflect.TypeFor[decayingRate]():       "rate at | readAt readRate",
		reflect.TypeFor[standing]():           "ready inUse ejected unreachable | unrecovered",
		reflect.TypeFor[movingAverage]():      "mean dev seen n at |",
		reflect.TypeFor[tokenBucket]():        "tokens refilledAt | rate",
		reflect.TypeFor[Host]():               "ID Zone Cell Kind State Started |",
		reflect.TypeFor[Request]():            "ID Class Tenant Remaining Duplicate |",
	}
	for typ, text := range known {
		names := strings.Fields(text)
		for i := range typ.NumField() {
			if name := typ.Field(i).Name; !slices.Contains(names, name) {
				t.Errorf("%s.%s is not listed as part of the checkpoint or as excluded from it", typ.Name(), name)
			}
		}
		for _, name := range names {
			if _, ok := typ.FieldByName(name); !ok && name != "|" {
				t.Errorf("%s has no field %s", typ.Name(), name)
			}
		}
	}
}
