package balancer

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"dunemoor/internal/testutil/compat"
)

// compatSettings returns the settings with which checkpoint-fields.bin was written.
func compatSettings() Settings {
	return Settings{
		Instances: 3, Rank: 1, Step: time.Millisecond, MaxAttempts: 4, Cancel: true, Poll: true,
		Classes: []Class{
			{LatencyObjective: 400 * time.Millisecond, Deadline: time.Second},
			{
				LatencyObjective: 200 * time.Millisecond, Deadline: time.Second,
				Idempotency: IdempotentWithKey, DedupScope: ScopeCell, DedupWindow: time.Second,
			},
		},
		Tenants: []Tenant{{Quota: 10}}, SlowStartShare: 0.3, SlowStartWindow: 9 * time.Second,
	}
}

// fieldRow is the actual and the expected value of a field.
type fieldRow struct {
	name      string
	got, want any
}

// checkFields compares the printed actual and expected value of each field.
func checkFields(t *testing.T, rows []fieldRow) {
	t.Helper()
	for _, row := range rows {
		got := fmt.Sprint(row.got)
		want := fmt.Sprint(row.want)
		if got != want {
			t.Errorf("%s is %s, want %s", row.name, got, want)
		}
	}
}

// checkpoint-fields.bin was written by the build of commit 7aad590 and has a different value in each field,
// so that fields that are swapped or missing change the restored state.
func TestCompatCheckpointFields(t *testing.T) {
	saved := compat.Read(t, "checkpoint-fields.bin")
	b, err := Restore(compatSettings(), saved)
	if err != nil {
		t.Fatal(err)
	}
	checkFields(t, balancerFields(b))
	for i := range b.logs {
		want := logLimiter{at: Time(130 + i), logged: i%2 == 0, suppressed: 140 + i}
		if b.logs[i] != want {
			t.Errorf("log lines of kind %d: %+v, want %+v", i, b.logs[i], want)
		}
	}
	checkFields(t, hostFields(b))
	checkFields(t, requestFields(b))
	again := b.Checkpoint(nil)
	if !bytes.Equal(again, saved) {
		t.Errorf("the restored Balancer writes the checkpoint %x, want %x", again, saved)
	}
}

func balancerFields(b *Balancer) []fieldRow {
	return []fieldRow{
		{"random state", b.random.state, 101},
		{"now", int64(b.now), 102},
		{"next move of the subset", int64(b.subset.nextMove), 103},
		{"last unserved", int64(b.queues.lastUnserved), 104},
		{"in flight at the last sweep", b.sweep.inFlight, 105},
		{"scanned", b.subset.scanned, 1},
		{"ring built", b.ring.built, false},
		{"subset current", b.subset.current, true},
		{"arrivals", []any{b.arrivals.rate, int64(b.arrivals.at)}, []any{0.5, 106}},
		{"attempts sent", []any{b.sendRate.sent.rate, int64(b.sendRate.sent.at)}, []any{1.5, 107}},
		{"successes", []any{b.pacer.successes.rate, int64(b.pacer.successes.at)}, []any{2.5, 108}},
		{"typical RTT of class 0", b.typicalRTT.byClass[0], movingAverage{3.5, 4.5, true, 109, 110}},
		{"typical RTT of class 1", b.typicalRTT.byClass[1], movingAverage{5.5, 6.5, false, 111, 112}},
		{"starvation", b.starvation.unserved, []decayingShare{{7.5, 113}, {8.5, 114}}},
		{"typical RTT by kind", b.typicalRTT.byKind, []movingAverage{{mean: 9.5, n: 115}}},
		{"typical RTT", b.typicalRTT.any, movingAverage{mean: 10.5, n: 116}},
		{"rate of a warm host", b.pacer.warmHostRate, movingAverage{mean: 11.5, n: 117}},
		{"RTT in targets of the send rate", b.sendRate.recentRTT, movingAverage{mean: 12.5, n: 118}},
		{"quota tokens", b.quotas.buckets[0].tokens, 13.5},
		{"quota refilled", int64(b.quotas.buckets[0].refilledAt), 119},
		{"send rate reduced", int64(b.sendRate.reducedAt), 120},
		{"send rate grown", int64(b.sendRate.grownAt), 121},
		{"send rate refilled", int64(b.sendRate.refilledAt), 122},
		{"sweep", int64(b.sweep.at), 123},
		{"poll", int64(b.poller.pollAt), 124},
		{"send rate", b.sendRate.limit, 14.5},
		{"send tokens", b.sendRate.tokens, 15.5},
		{"unanswered share", b.stalled.unansweredShare, 16.5},
		{"lists arrive", b.poller.listsArrive, true},
		{"poll failures", b.poller.failures, 125},
		{"hosts", len(b.hosts), 2},
		{"hosts ready", hostIDs(b.sets[setReady].list), "[8]"},
		{"hosts silent", hostIDs(b.sets[setSilent].list), "[]"},
		{"hosts unreachable", hostIDs(b.sets[setUnreachable].list), "[]"},
		{"hosts suspected", hostIDs(b.sets[setSuspected].list), "[7]"},
		{"hosts busy", hostIDs(b.sets[setBusy].list), "[7]"},
		{"hosts of the subset", hostIDs(b.sets[setSubset].list), "[8 7]"},
		{"standings due", hostIDs(b.dueStandings.hosts), "[7]"},
	}
}

func hostIDs(hosts []*host) string {
	ids := []HostID{}
	for _, host := range hosts {
		ids = append(ids, host.ID)
	}
	return fmt.Sprint(ids)
}

func hostFields(b *Balancer) []fieldRow {
	host := b.byID[7]
	return []fieldRow{
		{"listed", host.Host, Host{ID: 7, Zone: 5, Cell: 6, Kind: 1, State: Draining, Started: 150}},
		{"RTT as of", int64(host.rtt.at), 151},
		{"last response", int64(host.lastResponse), 152},
		{"limit reduced", int64(host.limiter.reducedAt), 153},
		{"resting until", int64(host.limiter.restingUntil), 154},
		{"ejected until", int64(host.ejection.until), 155},
		{"started", int64(host.slowStart.startedAt), 156},
		{"next send in slow start", int64(host.slowStart.nextSend), 157},
		{"standing due", int64(host.nextUpdate.at), 158},
		{"RTT", host.rtt.seconds, 17.5},
		{"limit", host.limiter.limit, 18.5},
		{"sampled", host.rtt.sampled, true},
		{"trial in flight", host.ejection.trialInFlight, false},
		{"backoff shortened", host.ejection.backoffShortened, true},
		{"warming", host.slowStart.warming, false},
		{"has errors", host.hasErrors, true},
		{"counted ready", host.counted.ready, false},
		{"counted in use", host.counted.inUse, true},
		{"counted ejected", host.counted.ejected, false},
		{"counted unreachable", host.counted.unreachable, true},
		{"broken responses", host.brokenResponses, 159},
		{"ejections", host.ejection.count, 160},
		{"cause", host.ejection.cause, CauseSilent},
		{"recent RTT", host.limiter.recentRTT, movingAverage{19.5, 20.5, true, 161, 162}},
		{"errors of class 0", host.errors[0], classErrors{21.5, 163, 164, 165, 166, true}},
		{"errors of class 1", host.errors[1], classErrors{22.5, 167, 168, 169, 170, false}},
		{"in flight", host.inFlight, 1},
	}
}

func requestFields(b *Balancer) []fieldRow {
	answered := b.open[11]
	queued := b.open[12]
	ended := answered.attempts[0]
	inFlight := answered.attempts[1]
	return []fieldRow{
		{"request 11", answered.Request, Request{ID: 11, Class: 1, Tenant: 171, Remaining: 172, Duplicate: true}},
		{"arrived", int64(answered.arrived), 173},
		{"deadline", int64(answered.deadline), 174},
		{"wait until", int64(answered.waitUntil), 175},
		{"queue index", answered.queueIndex, 3},
		{"done, answered by balancer, streaming", []bool{answered.done, answered.answeredByBalancer, answered.streaming}, "[false true false]"},
		{"queued", answered.queued, false},
		{"attempts in flight", answered.inFlight, 1},
		{"host of attempt 0", ended.host.Host, Host{ID: 9, Zone: 3, Cell: 4, State: Removed}},
		{"attempt 0 sent", int64(ended.sentAt), 176},
		{"result of attempt 0", ended.result, ConnectFailed},
		{"attempt 0 overtaken", ended.overtakenBy, 177},
		{"flags of attempt 0", attemptFlags(ended), "[true false true false]"},
		{"host of attempt 1", inFlight.host == b.byID[7], true},
		{"attempt 1 sent", int64(inFlight.sentAt), 178},
		{"result of attempt 1", inFlight.result, OK},
		{"attempt 1 overtaken", inFlight.overtakenBy, 179},
		{"flags of attempt 1", attemptFlags(inFlight), "[false true false true]"},
		{"attempt at its host", b.byID[7].attempts.head.item == inFlight, true},
		{"request 12", queued.Request, Request{ID: 12, Tenant: 180, Remaining: 181}},
		{"request 12 queued", queued.queued, true},
		{"done, answered by balancer, streaming of 12", []bool{queued.done, queued.answeredByBalancer, queued.streaming}, "[true false true]"},
		{"times of request 12", []int64{int64(queued.arrived), int64(queued.deadline), int64(queued.waitUntil)}, "[182 183 184]"},
		{"queue index of request 12", queued.queueIndex, 2},
	}
}

func attemptFlags(attempt *attempt) []bool {
	return []bool{attempt.ended, attempt.trial, attempt.canceledStalled, attempt.countedSilent}
}

// Checkpoints and recordings contain these numbers.
func TestCompatNumbers(t *testing.T) {
	checkFields(t, []fieldRow{
		{"version", checkpointVersion, 4},
		{"token shift", tokenShift, 56},
		{"tokens", []int{tokenSweep, tokenPoll, tokenAnswer}, "[1 2 3]"},
		{"host states", []int{int(Ready), int(Draining), int(Removed)}, "[0 1 2]"},
		{"lists", []int{int(ListFull), int(ListChanges), int(ListSaved), int(ListFailed)}, "[0 1 2 3]"},
		{"idempotency", []int{int(Idempotent), int(IdempotentWithKey), int(NonIdempotent)}, "[0 1 2]"},
		{"scopes", []int{int(ScopeAll), int(ScopeZone), int(ScopeCell)}, "[0 1 2]"},
		{"parts of a class", []int{int(partOverQuota), int(partDuplicate)}, "[1 2]"},
		{"log lines", []int{
			int(logEjected), int(logExcluded), int(logReadmitted), int(logFailOpen), int(logRejecting),
			int(logEndpointsLost), int(logEndpointsRegained), int(logKinds),
		}, "[0 1 2 3 4 5 6 7]"},
		{"sets", []int{
			int(setReady), int(setSilent), int(setUnreachable), int(setSuspected), int(setBusy), int(setSubset),
			int(setCount),
		}, "[0 1 2 3 4 5 6]"},
	})
}

// Recordings contain the numbers of results, actions and causes; logs, analyses and reports contain their
// texts.
func TestCompatNumbersAndTexts(t *testing.T) {
	checkFields(t, []fieldRow{
		{"results", []Result{
			OK, Failed, Full, TimedOut, ConnectFailed, Reset, Canceled, NotSent, InvalidResponse, 9,
		}, "[OK Failed Full TimedOut ConnectFailed Reset Canceled NotSent Spoilt 9]"},
		{"actions", []ActionKind{Send, Cancel, Reject, Fail, Wake, Close, Poll, Log, 8},
			"[Send Cancel Refuse Fail Wake Close Watch Log 8]"},
		{"causes", []Cause{
			CauseNone, CauseArrivedLate, CauseQueueTimeout, CauseDeadlineExceeded, CauseNoMoreAttempts,
			CauseConnectionsFailed, CauseSilent, CauseLowerPriority, 8,
		}, "[none late wait deadline spent connections fail silent worth less 8]"},
		{"last result", int(InvalidResponse), 8},
		{"last action", int(Log), 7},
		{"last cause", int(CauseLowerPriority), 7},
	})
}

// Recordings contain the settings as JSON.
func TestCompatSettings(t *testing.T) {
	settings := Settings{
		Instances: 1, Rank: 2,
		Classes: []Class{{
			LatencyObjective: 3, Deadline: 4, PriorityWeight: 5, Idempotency: IdempotentWithKey, DedupScope: ScopeCell,
			DedupWindow: 6, Retired: true,
		}},
		Tenants: []Tenant{{Quota: 7}}, Step: 8, MaxAttempts: 9, Cancel: true, MaxRetryAfter: 10, OverQuotaWeight: 11,
		Poll: true, PollTimeout: 12, SlowStartShare: 13, SlowStartWindow: 14, OverloadFactor: 15, OverloadWindow: 16,
	}
	want := `{"Instances":1,"Rank":2,"Classes":[{"Aim":3,"Deadline":4,"Worth":5,"Effect":1,"Group":2,"Window":6,` +
		`"Retired":true}],"Tenants":[{"Quota":7}],"Step":8,"MaxAttempts":9,"Cancel":true,"MaxRetryAfter":10,` +
		`"OverQuotaWorth":11,"Ask":true,"AskWithin":12,"ColdFrom":13,"WarmAfter":14,"OverloadFactor":15,"Fall":16}`
	got, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != want {
		t.Errorf("the settings are encoded as %s, want %s", got, want)
	}
}

// Analyses of recordings print these codes.
func TestCompatUnavailable(t *testing.T) {
	const now = Time(100)
	for want, view := range map[string]HostView{
		"gone":      {State: Removed},
		"draining":  {State: Draining},
		"not drawn": {},
		"ejected":   {InSubset: true, Ejections: 1, EjectedUntil: now + 1},
		"cold":      {InSubset: true, Warming: true, NextSlowStartSend: now + 1},
		"resting":   {InSubset: true, RestingUntil: now + 1},
		"overdue":   {InSubset: true, Overdue: true},
		"full":      {InSubset: true, InFlight: 1, ConcurrencyLimit: 1},
		"":          {InSubset: true, InFlight: 1, ConcurrencyLimit: 2},
	} {
		got := view.Unavailable(now)
		if got != want {
			t.Errorf("%+v: Unavailable() = %q, want %q", view, got, want)
		}
	}
}
