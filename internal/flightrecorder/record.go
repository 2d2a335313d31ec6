package flightrecorder

import (
	"encoding/binary"
	"time"

	"dunemoor/balancer"
)

// Kinds of record. Events come from the event loop; actions are the decisions of the balancer on the preceding event.
// A record consists of its kind, the time since the preceding record as a varint in ns (only in events, views and
// names), and its fields.
const (
	recordStart           = 1
	recordEndpoints       = 2
	recordRequest         = 3
	recordResponseStarted = 4
	recordAttemptEnded    = 5
	recordClientGone      = 6
	recordTimer           = 7
	recordHealthCheck     = 8
	recordShutdown        = 9
	recordAction          = 16 // plus the balancer.ActionKind
	recordView            = 32
	recordName            = 33
)

// Scales of the values in a view: units of the record per unit of balancer.HostView.
const (
	viewConcurrencyLimitScale = 1e3 // stored in thousandths of an attempt
	viewRecentRTTScale        = 1e3 // stored in thousandths of the unit of balancer.HostView.RecentRTT
	viewEstimatedRTTScale     = 1e6 // stored in microseconds
)

// causeCount is the number of values of balancer.Cause, and the length of the arrays of counts by cause.
const causeCount = int(balancer.CauseLowerPriority) + 1

// Layout of the flags byte of a view: two bits for the state, one for each flag, and the rest for the cause.
const (
	viewStateMask   = 3
	viewInSubsetBit = 2
	viewWarmingBit  = 3
	viewOverdueBit  = 4
	viewCauseShift  = 5
	viewCauseBits   = 3
)

// This doesn't compile if balancer.Cause has more values than viewCauseBits can represent.
const _ = uint(1<<viewCauseBits - causeCount)

// SessionStart is the payload of the first block of a session, in JSON. The field names are the JSON keys.
type SessionStart struct {
	Name     string // name of the gateway
	Build    string // revision of the program
	Classes  []string
	Seed     uint64        // seed of the balancer
	Wall     time.Time     // start of the session by the wall clock
	At       balancer.Time // start of the session by the balancer's clock
	Settings balancer.Settings
}

// The append functions append the fields of a record. They are on the hot path: they run for every request.

func appendRequest(b []byte, q *balancer.Request) []byte {
	b = binary.AppendUvarint(b, uint64(q.ID))
	b = binary.AppendVarint(b, int64(q.Class))
	b = binary.AppendVarint(b, int64(q.Tenant))
	b = binary.AppendVarint(b, int64(q.Remaining))
	return append(b, bit(q.Duplicate))
}

func appendOutcome(b []byte, o *balancer.Outcome) []byte {
	b = binary.AppendUvarint(b, uint64(o.Request))
	b = binary.AppendVarint(b, int64(o.Attempt))
	b = append(b, byte(o.Result))
	b = binary.AppendVarint(b, int64(o.Elapsed))
	return append(b, bit(o.Closed))
}

func appendHostID(b []byte, id balancer.HostID) []byte {
	return binary.LittleEndian.AppendUint64(b, uint64(id))
}

func appendHost(b []byte, h *balancer.Host) []byte {
	b = appendHostID(b, h.ID)
	b = binary.AppendVarint(b, int64(h.Zone))
	b = binary.AppendVarint(b, int64(h.Cell))
	b = binary.AppendVarint(b, int64(h.Kind))
	b = append(b, byte(h.State))
	return binary.AppendVarint(b, int64(h.Started))
}

// appendAction appends the record of an action, with the fields of its kind. Two actions are equal if their records
// are equal.
func appendAction(b []byte, a *balancer.Action) []byte {
	b = append(b, recordAction+byte(a.Kind))
	switch a.Kind {
	case balancer.Send:
		b = binary.AppendUvarint(b, uint64(a.Request))
		b = appendHostID(b, a.Host)
		b = binary.AppendVarint(b, int64(a.At))
	case balancer.Cancel:
		b = binary.AppendUvarint(b, uint64(a.Request))
		b = binary.AppendVarint(b, int64(a.Attempt))
	case balancer.Reject:
		b = binary.AppendUvarint(b, uint64(a.Request))
		b = binary.AppendVarint(b, int64(a.RetryAfter))
		b = append(b, byte(a.Cause))
	case balancer.Fail:
		b = binary.AppendUvarint(b, uint64(a.Request))
		b = append(b, byte(a.Cause))
	case balancer.Wake:
		b = binary.AppendVarint(b, int64(a.At))
		b = binary.AppendUvarint(b, a.Token)
	case balancer.Close:
		b = appendHostID(b, a.Host)
	case balancer.Log:
		b = appendHostID(b, a.Host)
		b = appendText(b, storedLogText(a.Text))
	}
	return b
}

// appendText truncates a text to maxRecord bytes, and appends its length and its bytes.
func appendText(b []byte, text string) []byte {
	text = text[:min(len(text), maxRecord)]
	b = binary.AppendUvarint(b, uint64(len(text)))
	return append(b, text...)
}

// appendView appends a host of a view. Times are relative to now; times in the past are stored as 0.
func appendView(b []byte, v *balancer.HostView, now balancer.Time) []byte {
	b = appendHostID(b, v.Host)
	flags := byte(v.State)
	flags |= bit(v.InSubset) << viewInSubsetBit
	flags |= bit(v.Warming) << viewWarmingBit
	flags |= bit(v.Overdue) << viewOverdueBit
	flags |= byte(v.Cause) << viewCauseShift
	b = append(b, flags)
	b = binary.AppendVarint(b, int64(v.InFlight))
	b = binary.AppendVarint(b, int64(v.ConcurrencyLimit*viewConcurrencyLimitScale))
	b = binary.AppendVarint(b, int64(v.RecentRTT*viewRecentRTTScale))
	b = binary.AppendVarint(b, int64(v.EstimatedRTT*viewEstimatedRTTScale))
	b = binary.AppendVarint(b, int64(v.Ejections))
	for _, at := range []balancer.Time{v.EjectedUntil, v.RestingUntil, v.NextSlowStartSend} {
		b = binary.AppendVarint(b, int64(max(at-now, 0)))
	}
	return binary.AppendUvarint(b, v.ExcludedFor)
}

func bit(x bool) byte {
	if x {
		return 1
	}
	return 0
}
