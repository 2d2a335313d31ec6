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

// acted plays a random history and returns all that was decided. With every > 0 the
// Balancer is replaced after each every-th event by one restored from its checkpoint.
func acted(t *testing.T, seed int64, every int) string {
	r := rand.New(rand.NewSource(seed))
	data := make([]byte, 3000)
	r.Read(data)
	var all strings.Builder
	h := newHistory(t, data[:8])
	n := 0
	h.acted = func(list []Action) { fmt.Fprintln(&all, list) }
	h.after = func() {
		if n++; every == 0 || n%every != 0 {
			return
		}
		saved := h.b.Checkpoint(nil)
		b, err := Restore(h.set, saved)
		if err != nil {
			t.Fatalf("seed %d, event %d: %v", seed, n, err)
		}
		if again := b.Checkpoint(nil); !bytes.Equal(saved, again) {
			t.Fatalf("seed %d, event %d: what was restored is saved otherwise", seed, n)
		}
		h.b = b
	}
	h.play(data[8:])
	return all.String()
}

// A Balancer restored in mid-flight acts as the one it was taken from.
func TestRestoredActsAlike(t *testing.T) {
	for seed := range int64(40) {
		want := acted(t, seed, 0)
		for _, every := range []int{1, 7} {
			if acted(t, seed, every) != want {
				t.Errorf("seed %d: restored after every %d events it acts otherwise", seed, every)
			}
		}
	}
}

// A checkpoint that is cut short or altered is an error or another state, never a panic.
func TestRestoreOfDamage(t *testing.T) {
	g := start(t, basic(), hosts(5)...)
	for i := range 30 {
		g.request(i%3, basic().Classes[0].Deadline)
	}
	saved := g.b.Checkpoint(nil)
	for n := range saved {
		if _, err := Restore(basic(), saved[:n]); err == nil {
			t.Fatalf("the first %d of %d bytes were taken for a whole checkpoint", n, len(saved))
		}
		for _, x := range []byte{1, 0x80, 0xff} {
			bad := slices.Clone(saved)
			bad[n] ^= x
			Restore(basic(), bad) // any error will do
		}
	}
	if _, err := Restore(basic(), append(saved, 0)); err == nil {
		t.Error("a byte too many is not noticed")
	}
	bad := slices.Clone(saved)
	bad[0]++
	if _, err := Restore(basic(), bad); err == nil || !strings.Contains(err.Error(), "version") {
		t.Errorf("another version: %v", err)
	}
}

// Whoever adds a field must say here whether it is saved: one that is forgotten shows
// only where a replay goes wrong much later.
func TestCheckpointNamesEveryField(t *testing.T) {
	known := map[reflect.Type]string{
		reflect.TypeFor[Balancer](): "random now hosts sets rechecks ring subset arrivals open queues sweep starvation typicalRTT " +
			"quotas sendRate pacer stalled poller logs | settings scales actions byID counts excluded scopes touched candidates pool",
		reflect.TypeFor[host](): "Host rtt limiter ejection inFlight attempts lastResponse errors hasErrors brokenResponses slowStart " +
			"counted recheckEntry sets | index ring",
		reflect.TypeFor[randomSource]():       "state |",
		reflect.TypeFor[scales]():             "| shortestObjective errorPenalty minEstimateDecay",
		reflect.TypeFor[recheckHeap]():        "hosts |",
		reflect.TypeFor[recheckEntry]():       "at | position",
		reflect.TypeFor[membership]():         "| position readySet",
		reflect.TypeFor[hostRing]():           "built | byKind hosts place start warm warming",
		reflect.TypeFor[ringPosition]():       "| hash place counted",
		reflect.TypeFor[subset]():             "current scanned nextMove |",
		reflect.TypeFor[requestQueues]():      "byPriority lastUnserved | bandOf length",
		reflect.TypeFor[sweep]():              "at inFlight |",
		reflect.TypeFor[starvationTracker]():  "unserved | span",
		reflect.TypeFor[typicalRTTs]():        "byClass byKind any |",
		reflect.TypeFor[tenantQuotas]():       "buckets |",
		reflect.TypeFor[sendRateController](): "limit pressure reducedAt grownAt tokens refilledAt sent | rateSpan growthTime",
		reflect.TypeFor[slowStartPacer]():     "successes warmHostRate |",
		reflect.TypeFor[stalledAttempts]():    "unansweredShare |",
		reflect.TypeFor[endpointPoller]():     "polling pollAt failures |",
		reflect.TypeFor[logLimiter]():         "at logged suppressed |",
		reflect.TypeFor[rttEstimate]():        "seconds at sampled |",
		reflect.TypeFor[concurrencyLimiter](): "limit recentRTT reducedAt restingUntil |",
		reflect.TypeFor[ejection]():           "count cause until trialInFlight backoffShortened |",
		reflect.TypeFor[slowStart]():          "warming startedAt nextSend |",
		reflect.TypeFor[request]():            "Request arrived deadline waitUntil band inFlight done timedOut streaming queued attempts | class link",
		reflect.TypeFor[attempt]():            "request host sentAt ended result trial overtakenBy canceledStalled countedSilent | link",
		reflect.TypeFor[classErrors]():        "share lastAt exclusions excludedAt excludedUntil counted |",
		reflect.TypeFor[decayingShare]():      "share at |",
		reflect.TypeFor[decayingRate]():       "rate at | readAt readRate",
		reflect.TypeFor[standing]():           "ready inUse ejected broken | unrecovered",
		reflect.TypeFor[movingAverage]():      "mean dev seen n at |",
		reflect.TypeFor[tokenBucket]():        "tokens refilledAt | rate",
		reflect.TypeFor[Host]():               "ID Zone Cell Kind State Started |",
		reflect.TypeFor[Request]():            "ID Class Tenant Remaining Duplicate |",
	}
	for typ, text := range known {
		names := strings.Fields(text)
		for i := range typ.NumField() {
			if name := typ.Field(i).Name; !slices.Contains(names, name) {
				t.Errorf("%s.%s: is it part of a checkpoint?", typ.Name(), name)
			}
		}
		for _, name := range names {
			if _, ok := typ.FieldByName(name); !ok && name != "|" {
				t.Errorf("%s has no field %s", typ.Name(), name)
			}
		}
	}
}

func TestViews(t *testing.T) {
	g := start(t, basic(), hosts(3)...)
	g.b.refreshSubset()
	if usable, ready := g.b.Usable(); usable != 3 || ready != 3 {
		t.Errorf("%d of %d can be used", usable, ready)
	}
	g.b.eject(g.b.byID[1], CauseSilent)
	g.b.recheck(g.b.byID[1])
	// It counts until it has answered, also beyond its ejection.
	g.b.now = g.b.byID[1].ejection.until + 1
	g.b.recheck(g.b.byID[1])
	if usable, ready := g.b.Usable(); usable != 2 || ready != 3 {
		t.Errorf("after an ejection %d of %d can be used", usable, ready)
	}
	if back, err := Restore(g.b.settings, g.b.Checkpoint(nil)); err != nil {
		t.Error(err)
	} else if usable, ready := back.Usable(); usable != 2 || ready != 3 {
		t.Errorf("restored, %d of %d can be used", usable, ready)
	}
	g.b.now = g.now
	g.b.byID[2].limiter.restingUntil = g.now + ms
	views := g.b.Views(nil)
	var held []string
	for i := range views {
		held = append(held, views[i].Unavailable(g.now))
	}
	if !slices.Equal(held, []string{"ejected", "resting", ""}) && !slices.Equal(held, []string{"not drawn", "not drawn", "not drawn"}) {
		t.Errorf("held: %q", held)
	}
	if views[0].Cause != CauseSilent || views[0].Ejections != 1 || views[0].Host != 1 {
		t.Errorf("view of an ejected host: %+v", views[0])
	}
}

func BenchmarkCheckpoint(bm *testing.B) {
	b, now := running(bm)
	for i := range RequestID(40) {
		b.Request(now, Request{ID: i, Remaining: basic().Classes[0].Deadline})
	}
	var buf []byte
	for bm.Loop() {
		buf = b.Checkpoint(buf[:0])
	}
	bm.ReportMetric(float64(len(buf)), "bytes")
}
