package flightrecorder

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"dunemoor/balancer"
)

// Report is the result of a replay.
type Report struct {
	Sessions              int
	Events                int         // events delivered to the balancer
	MatchingActions       int         // replayed actions that are equal to the recorded ones
	SkippedEvents         int         // events not delivered, because the state before them is unknown
	MatchingStates        int         // checkpoints that are equal to the replayed state
	UnreadableCheckpoints int         // checkpoints that this build can't restore, so that no replay can start there
	UnreadableReason      string      // why the last of them can't be restored
	Losses                []string    // descriptions of the losses, at most maxLosses entries
	Divergence            *Difference // nil: all decisions were equal
}

// Difference is the first point at which a replay differs from the recording.
type Difference struct {
	At       balancer.Time
	Event    int    // number of the event among those delivered
	Subject  string // what differs: an action or the state
	Recorded string
	Replayed string
}

func (d *Difference) String() string {
	return fmt.Sprintf("event %d at %v: %s: recorded %s, replayed %s", d.Event, d.At, d.Subject, d.Recorded, d.Replayed)
}

// Observer is called after each event that was delivered to the balancer, with the recorded actions. It must not
// change the balancer.
type Observer func(b *balancer.Balancer, e *Event, recorded []balancer.Action)

// maxLosses is the maximum number of entries in Report.Losses; if there are more losses, the last entry counts the rest.
const maxLosses = 20

// errUnknownSettings is the error for a checkpoint without a preceding session start, which has the settings.
var errUnknownSettings = errors.New("the settings it belongs to are not known")

// Replay delivers the events of a recording to a balancer and compares its actions with the recorded ones, byte
// for byte. It starts where the balancer's state is known: at the start of a session or at a checkpoint.
// observe may be nil. other is called for each item other than events and actions, and may be nil. Replay returns the
// error of the Reader, or an error for settings that this build rejects.
func Replay(r *Reader, observe Observer, other func(*Item)) (*Report, error) {
	p := &replay{observe: observe}
	var it Item
	for {
		err := r.Next(&it)
		if err == io.EOF {
			p.finishEvent()
			return &p.Report, nil
		}
		if err == nil {
			err = p.process(&it)
		}
		if err != nil {
			return &p.Report, err
		}
		if other != nil && it.Kind != ItemEvent && it.Kind != ItemAction {
			other(&it)
		}
	}
}

// replay is the state of a replay.
type replay struct {
	Report
	observe Observer
	start   *SessionStart
	// balancer is nil while its state is unknown.
	balancer     *balancer.Balancer
	newSession   bool // no event was delivered since the session started
	event        Event
	eventPending bool              // event was delivered and its recorded actions are being read
	hosts        []balancer.Host   // copy of the hosts of event, reused
	recorded     []balancer.Action // actions recorded for event, reused
	replayed     []balancer.Action // actions that balancer returned for event, reused
	buffers      [2][]byte         // encoded actions or states to compare, reused
	lossCount    int
}

// process processes an item. An item other than an action completes the preceding event.
func (p *replay) process(it *Item) error {
	if it.Kind == ItemAction {
		if p.eventPending {
			p.recorded = append(p.recorded, it.Action)
		}
		return nil
	}
	p.finishEvent()
	switch it.Kind {
	case ItemSession:
		return p.startSession(it.Start)
	case ItemCheckpoint:
		if err := p.restore(it.Checkpoint); err != nil {
			// Another build wrote the checkpoint, or its session start is missing. The replay continues if the state
			// is known anyway.
			p.UnreadableCheckpoints++
			p.UnreadableReason = err.Error()
		}
	case ItemEvent:
		p.deliver(&it.Event)
	case ItemLoss:
		p.handleLoss(it.Text)
	}
	return nil
}

func (p *replay) startSession(start *SessionStart) error {
	p.Sessions++
	p.start = start
	p.newSession = true
	b, err := balancer.New(start.Settings, start.Seed)
	if err != nil {
		return fmt.Errorf("create balancer for recorded session: %w", err)
	}
	p.balancer = b
	return nil
}

// restore compares a checkpoint with the replayed state, if that is known, and continues from the checkpoint.
func (p *replay) restore(checkpoint []byte) error {
	if p.start == nil {
		return errUnknownSettings
	}
	restored, err := balancer.Restore(p.start.Settings, checkpoint)
	if err != nil {
		return err
	}
	// A new session may continue the preceding one after a Retune. Its initial state is then its first checkpoint.
	stateKnown := !p.newSession && p.balancer != nil && p.Divergence == nil
	if stateKnown {
		p.compareState(checkpoint)
	}
	p.balancer = restored
	p.newSession = false
	return nil
}

func (p *replay) compareState(checkpoint []byte) {
	state := p.balancer.Checkpoint(p.buffers[0][:0])
	p.buffers[0] = state
	if bytes.Equal(state, checkpoint) {
		p.MatchingStates++
		return
	}
	p.recordDivergence("state", fmt.Sprintf("a checkpoint of %d bytes", len(checkpoint)), fmt.Sprintf("another of %d bytes", len(state)))
}

// deliver delivers an event to the balancer.
func (p *replay) deliver(e *Event) {
	if p.balancer == nil {
		p.SkippedEvents++
		return
	}
	p.Events++
	p.newSession = false
	p.event = *e
	p.hosts = append(p.hosts[:0], e.Hosts...) // e.Hosts is valid only until the next item
	p.event.Hosts = p.hosts
	p.eventPending = true
	e.Deliver(p.balancer)
	p.replayed = p.balancer.TakeActions(p.replayed[:0])
}

// handleLoss reports a loss. The state is unknown until the next checkpoint.
func (p *replay) handleLoss(text string) {
	p.balancer = nil
	p.lossCount++
	if p.lossCount <= maxLosses {
		p.Losses = append(p.Losses, text)
	} else {
		p.Losses[maxLosses-1] = fmt.Sprintf("... and %d more", p.lossCount-maxLosses+1)
	}
}

// finishEvent compares the actions of the pending event and calls the observer.
func (p *replay) finishEvent() {
	if !p.eventPending {
		return
	}
	p.eventPending = false
	p.compareActions()
	if p.observe != nil {
		p.observe(p.balancer, &p.event, p.recorded)
	}
	p.recorded = p.recorded[:0]
}

// compareActions counts the replayed actions that are equal to the recorded ones, up to the first difference.
func (p *replay) compareActions() {
	for i := range max(len(p.recorded), len(p.replayed)) {
		p.buffers[0] = appendActionAt(p.buffers[0][:0], p.recorded, i)
		p.buffers[1] = appendActionAt(p.buffers[1][:0], p.replayed, i)
		if !bytes.Equal(p.buffers[0], p.buffers[1]) {
			p.recordDivergence(fmt.Sprintf("action %d", i+1), describeAction(p.recorded, i), describeAction(p.replayed, i))
			return
		}
		p.MatchingActions++
	}
}

// appendActionAt appends the record of the i-th action, or nothing if there is none.
func appendActionAt(b []byte, actions []balancer.Action, i int) []byte {
	if i >= len(actions) {
		return b
	}
	return appendAction(b, &actions[i])
}

// recordDivergence sets Report.Divergence to the first difference.
func (p *replay) recordDivergence(subject, recorded, replayed string) {
	if p.Divergence == nil {
		p.Divergence = &Difference{p.event.At, p.Events, subject, recorded, replayed}
	}
}

// describeAction describes the i-th action.
func describeAction(actions []balancer.Action, i int) string {
	if i >= len(actions) {
		return "none"
	}
	switch a := &actions[i]; a.Kind {
	case balancer.Send:
		return fmt.Sprintf("Send %d to %x until %v", a.Request, uint64(a.Host), a.At)
	case balancer.Cancel:
		return fmt.Sprintf("Cancel %d/%d", a.Request, a.Attempt)
	case balancer.Reject:
		return fmt.Sprintf("Reject %d (%v) after %v", a.Request, a.Cause, a.RetryAfter)
	case balancer.Fail:
		return fmt.Sprintf("Fail %d (%v)", a.Request, a.Cause)
	case balancer.Wake:
		return fmt.Sprintf("Wake %x at %v", a.Token, a.At)
	case balancer.Close:
		return fmt.Sprintf("Close %x", uint64(a.Host))
	case balancer.Log:
		return fmt.Sprintf("Log %q", a.Text)
	default:
		return a.Kind.String()
	}
}
