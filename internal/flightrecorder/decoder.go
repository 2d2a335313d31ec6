package flightrecorder

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"dunemoor/balancer"
)

// errTruncatedRecord is the error for a record that is shorter than its fields.
var errTruncatedRecord = errors.New("truncated record")

// decoder decodes records that the append functions encoded. If data is missing, err is set, and the missing field and
// all further fields are zero.
type decoder struct {
	data []byte
	err  error
}

func (d *decoder) fail() {
	d.err = errTruncatedRecord
	d.data = nil
}

func (d *decoder) uint8() byte {
	if len(d.data) == 0 {
		d.fail()
		return 0
	}
	x := d.data[0]
	d.data = d.data[1:]
	return x
}

func (d *decoder) bool() bool { return d.uint8() != 0 }

func (d *decoder) uint64() uint64 {
	const size = 8
	if len(d.data) < size {
		d.fail()
		return 0
	}
	x := binary.LittleEndian.Uint64(d.data)
	d.data = d.data[size:]
	return x
}

func (d *decoder) uvarint() uint64 {
	x, n := binary.Uvarint(d.data)
	if n <= 0 {
		d.fail()
		return 0
	}
	d.data = d.data[n:]
	return x
}

func (d *decoder) varint() int64 {
	x := d.uvarint()
	return int64(x>>1) ^ -int64(x&1)
}

func (d *decoder) int() int                      { return int(d.varint()) }
func (d *decoder) duration() time.Duration       { return time.Duration(d.varint()) }
func (d *decoder) hostID() balancer.HostID       { return balancer.HostID(d.uint64()) }
func (d *decoder) requestID() balancer.RequestID { return balancer.RequestID(d.uvarint()) }
func (d *decoder) cause() balancer.Cause         { return balancer.Cause(d.uint8()) }

func (d *decoder) text() string {
	length := d.uvarint()
	if length > uint64(len(d.data)) {
		d.fail()
		return ""
	}
	text := string(d.data[:length])
	d.data = d.data[length:]
	return text
}

// count reads the length of a list. It returns an error if the list can't fit into the remaining data, as each element
// takes at least one byte. The error calls the elements what.
func (d *decoder) count(what string) (uint64, error) {
	n := d.uvarint()
	if n > uint64(len(d.data)) {
		return 0, fmt.Errorf("a list of %d %s in %d bytes", n, what, len(d.data))
	}
	return n, nil
}

func (d *decoder) request() balancer.Request {
	return balancer.Request{
		ID:        d.requestID(),
		Class:     d.int(),
		Tenant:    d.int(),
		Remaining: d.duration(),
		Duplicate: d.bool(),
	}
}

func (d *decoder) outcome() balancer.Outcome {
	return balancer.Outcome{
		Request: d.requestID(),
		Attempt: d.int(),
		Result:  balancer.Result(d.uint8()),
		Elapsed: d.duration(),
		Closed:  d.bool(),
	}
}

func (d *decoder) host() balancer.Host {
	return balancer.Host{
		ID:      d.hostID(),
		Zone:    d.int(),
		Cell:    d.int(),
		Kind:    d.int(),
		State:   balancer.HostState(d.uint8()),
		Started: d.duration(),
	}
}

func (d *decoder) action(kind balancer.ActionKind) balancer.Action {
	a := balancer.Action{Kind: kind}
	switch kind {
	case balancer.Send:
		a.Request = d.requestID()
		a.Host = d.hostID()
		a.At = d.duration()
	case balancer.Cancel:
		a.Request = d.requestID()
		a.Attempt = d.int()
	case balancer.Reject:
		a.Request = d.requestID()
		a.RetryAfter = d.duration()
		a.Cause = d.cause()
	case balancer.Fail:
		a.Request = d.requestID()
		a.Cause = d.cause()
	case balancer.Wake:
		a.At = d.duration()
		a.Token = d.uvarint()
	case balancer.Close:
		a.Host = d.hostID()
	case balancer.Log:
		a.Host = d.hostID()
		a.Text = d.text()
	case balancer.Poll:
	default:
		d.err = fmt.Errorf("unknown kind of action %d", kind)
	}
	return a
}

func (d *decoder) view(now balancer.Time) balancer.HostView {
	v := balancer.HostView{Host: d.hostID()}
	flags := d.uint8()
	v.State = balancer.HostState(flags & viewStateMask)
	v.InSubset = flags&(1<<viewInSubsetBit) != 0
	v.Warming = flags&(1<<viewWarmingBit) != 0
	v.Overdue = flags&(1<<viewOverdueBit) != 0
	v.Cause = balancer.Cause(flags >> viewCauseShift)
	v.InFlight = d.int()
	v.ConcurrencyLimit = float64(d.varint()) / viewConcurrencyLimitScale
	v.RecentRTT = float64(d.varint()) / viewRecentRTTScale
	v.EstimatedRTT = float64(d.varint()) / viewEstimatedRTTScale
	v.Ejections = d.int()
	for _, at := range []*balancer.Time{&v.EjectedUntil, &v.RestingUntil, &v.NextSlowStartSend} {
		if remaining := d.duration(); remaining > 0 {
			*at = now + remaining
		}
	}
	v.ExcludedFor = d.uvarint()
	return v
}
