package flightrecorder

import (
	"encoding/binary"
	"encoding/json"

	"dunemoor/balancer"
)

// Start records the event and passes it on.
func (r *Recorder) Start(now balancer.Time) {
	r.beginEvent(now, recordStart, maxRecord)
	r.balancer.Start(now)
}

// UpdateEndpoints records the event and passes it on. A list that exceeds the block size is recorded in a larger block.
func (r *Recorder) UpdateEndpoints(now balancer.Time, kind balancer.ListKind, list []balancer.Host) {
	r.beginEvent(now, recordEndpoints, maxRecord+len(list)*maxHostRecord)
	r.block = binary.AppendUvarint(append(r.block, byte(kind)), uint64(len(list)))
	for i := range list {
		r.block = appendHost(r.block, &list[i])
	}
	r.balancer.UpdateEndpoints(now, kind, list)
}

// Request records the event and passes it on.
func (r *Recorder) Request(now balancer.Time, q balancer.Request) {
	r.beginEvent(now, recordRequest, maxRecord)
	r.block = appendRequest(r.block, &q)
	r.balancer.Request(now, q)
}

// ResponseStarted records the event and passes it on.
func (r *Recorder) ResponseStarted(now balancer.Time, id balancer.RequestID, attempt int) {
	r.beginEvent(now, recordResponseStarted, maxRecord)
	r.block = binary.AppendUvarint(r.block, uint64(id))
	r.block = binary.AppendVarint(r.block, int64(attempt))
	r.balancer.ResponseStarted(now, id, attempt)
}

// AttemptEnded records the event and passes it on.
func (r *Recorder) AttemptEnded(now balancer.Time, o balancer.Outcome) {
	r.beginEvent(now, recordAttemptEnded, maxRecord)
	r.block = appendOutcome(r.block, &o)
	r.balancer.AttemptEnded(now, o)
}

// ClientGone records the event and passes it on.
func (r *Recorder) ClientGone(now balancer.Time, id balancer.RequestID) {
	r.beginEvent(now, recordClientGone, maxRecord)
	r.block = binary.AppendUvarint(r.block, uint64(id))
	r.balancer.ClientGone(now, id)
}

// Timer records the event and passes it on.
func (r *Recorder) Timer(now balancer.Time, token uint64) {
	r.beginEvent(now, recordTimer, maxRecord)
	r.block = binary.AppendUvarint(r.block, token)
	r.balancer.Timer(now, token)
}

// HealthCheckPassed records the event and passes it on.
func (r *Recorder) HealthCheckPassed(now balancer.Time, id balancer.HostID, within balancer.Time) {
	r.beginEvent(now, recordHealthCheck, maxRecord)
	r.block = binary.AppendVarint(appendHostID(r.block, id), int64(within))
	r.balancer.HealthCheckPassed(now, id, within)
}

// Shutdown records the event and passes it on.
func (r *Recorder) Shutdown(now, by balancer.Time) {
	r.beginEvent(now, recordShutdown, maxRecord)
	r.block = binary.AppendVarint(r.block, int64(by-now))
	r.balancer.Shutdown(now, by)
}

// Retune passes the call on and begins a new session, whose replay starts at a checkpoint. Hosts must be named
// again. If the balancer returns an error, Retune returns it and records nothing.
func (r *Recorder) Retune(now balancer.Time, settings balancer.Settings, from []int) error {
	if err := r.balancer.Retune(now, settings, from); err != nil {
		return err
	}
	r.flush()
	for i := range r.ring { // a dump has the start block of one session, so blocks of another could not be replayed
		r.ring[i] = r.ring[i][:0]
	}
	r.start.Settings = settings
	r.start.At = now
	if startJSON, err := json.Marshal(r.start); err == nil { // no error is expected, as New encoded start before
		r.startJSON = startJSON
	}
	r.session++
	r.nextNumber = 0
	r.sessionBase = now
	r.lastRecord = now
	r.writeBlock(blockStart, now, r.startJSON, false)
	r.checkpoint = r.balancer.Checkpoint(r.checkpoint[:0])
	r.writeBlock(blockCheckpoint, now, r.checkpoint, true)
	return nil
}

// TakeActions appends the balancer's actions to dst and records them.
func (r *Recorder) TakeActions(dst []balancer.Action) []balancer.Action {
	taken := len(dst)
	dst = r.balancer.TakeActions(dst)
	for i := range dst[taken:] {
		r.block = appendAction(r.block, &dst[taken+i])
	}
	return dst
}
