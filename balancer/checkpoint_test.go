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

// playHistory plays a random history and returns all actions as text. If every is above 0, the
// Balancer is replaced after every such number of events by one restored from its checkpoint.
func playHistory(t *testing.T, seed int64, every int) string {
	r := rand.New(rand.NewSource(seed))
	data := make([]byte, 3000)
	r.Read(data)
	var all strings.Builder
	h := newHistory(t, data[:8])
	n := 0
	h.onActions = func(list []Action) { fmt.Fprintln(&all, list) }
	h.afterEvent = func() {
		if n++; every == 0 || n%every != 0 {
			return
		}
		saved := h.b.Checkpoint(nil)
		b, err := Restore(h.set, saved)
		if err != nil {
			t.Fatalf("seed %d, event %d: %v", seed, n, err)
		}
		if again := b.Checkpoint(nil); !bytes.Equal(saved, again) {
			t.Fatalf("seed %d, event %d: the restored Balancer gives another checkpoint", seed, n)
		}
		h.b = b
	}
	h.play(data[8:])
	return all.String()
}

// A Balancer restored from a checkpoint acts like the one that wrote it.
func TestRestoredBalancerActsAlike(t *testing.T) {
	for seed := range int64(40) {
		want := playHistory(t, seed, 0)
		for _, every := range []int{1, 7} {
			if playHistory(t, seed, every) != want {
				t.Errorf("seed %d: restored after every %d events, the actions differ from those without a restore",
					seed, every)
			}
		}
	}
}

// A truncated or altered checkpoint gives an error or another state, never a panic.
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
			Restore(testSettings(), bad) // any error will do
		}
	}
	if _, err := Restore(testSettings(), append(saved, 0)); err == nil {
		t.Error("Restore of a checkpoint with a byte too many: no error, want one")
	}
	bad := slices.Clone(saved)
	bad[0]++
	if _, err := Restore(testSettings(), bad); err == nil || !strings.Contains(err.Error(), "version") {
		t.Errorf("Restore of another version: error %v, want one that names the version", err)
	}
}

// Whoever adds a field must say here whether it is saved: one that is forgotten shows
// only where a replay goes wrong much later.
func TestCheckpointNamesEveryField(t *testing.T) {
	known := map[reflect.Type]string{
		reflect.TypeFor[Balancer](): "rng now hosts sets rechecks ringBuilt subsetCurrent scanned nextMove requests open queued lastUnserved " +
			"inFlight starvation classRTT anyRTT kindRTT warmHostRate quota pressure sendRateCutAt sendRate sendRateGrownAt " +
			"sendTokens tokensAt unansweredShare sends successes sweepAt polling pollAt pollFailures logs queues | set " +
			"actions byID bandOf shortestObjective decay penalty candidates freeRequests freeAttempts counts excluded " +
			"byKind ring readyHosts ringPlace ringStart scopes scopesBuilt touched",
		reflect.TypeFor[host](): "Host rtt rttAt sampled inFlight attempts lastResponse concurrencyLimit recentRTT limitCutAt restingUntil class " +
			"hasErrors brokenResponses ejections ejectCause ejectedUntil trialOut backoffCut warming startedAt " +
			"nextSlowStartSend counted recheckTime | ringHash index position readySet recheckPosition ranked ringPlace",
		reflect.TypeFor[request]():       "Request arrived deadline waitUntil band inFlight done timedOut streaming queued attempts | class link",
		reflect.TypeFor[attempt]():       "req host sent ended result trial overtakenBy canceledStuck countedSilent | link",
		reflect.TypeFor[classErrors]():   "share at exclusions excludedAt excludedUntil counted |",
		reflect.TypeFor[decayingShare](): "share at |",
		reflect.TypeFor[decayingRate]():  "rate at | seenAt seen",
		reflect.TypeFor[standing]():      "ready inUse ejected broken | unrecovered",
		reflect.TypeFor[movingAverage](): "mean dev seen n at |",
		reflect.TypeFor[tokenBucket]():   "tokens at | rate",
		reflect.TypeFor[Host]():          "ID Zone Cell Kind State Started |",
		reflect.TypeFor[Request]():       "ID Class Tenant Remaining Duplicate |",
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
