package flightrecorder

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"dunemoor/balancer"
)

// Report is what a replay found.
type Report struct {
	Sessions           int
	Events             int // told to the module again
	Actions            int // that came out the same
	SkippedEvents      int // events that could not be told, as the state before them is lost
	Checked            int // checkpoints that the replayed state agreed with
	ForeignCheckpoints int // checkpoints that this build can't read: a replay can't begin there

	ForeignWhy string
	Losses     []string
	Divergence *Difference // nil: all that was told came out the same
}

// Difference is where a replay first went another way than the recording.
type Difference struct {
	At       balancer.Time
	Event    int // its number among those told
	What     string
	Recorded string
	Replayed string
}

func (d *Difference) String() string {
	return fmt.Sprintf("event %d at %v: %s: recorded %s, replayed %s", d.Event, d.At, d.What, d.Recorded, d.Replayed)
}

// Watcher looks on at a replay. It is called behind each event that was told to the
// module, with what the recording says was decided. The Balancer is as it was then; it
// must not be told anything.
type Watcher func(bal *balancer.Balancer, e *Event, decided []balancer.Action)

// lossesMost bounds the losses that a report names; the rest is counted.
const lossesMost = 20

// replay is a replay under way.
type replay struct {
	Report
	watch    Watcher
	start    *SessionStart
	bal      *balancer.Balancer // nil while its state is unknown
	fresh    bool               // it has been told nothing since its session began
	event    Event              // the last one told
	told     bool               // there is one whose actions are being collected
	hosts    []balancer.Host    // of event
	recorded []balancer.Action  // in answer to event
	acts     []balancer.Action
	a, b     []byte
	lost     int
}

// Replay tells a module all the events of a recording and compares what it decides with
// what was decided then, byte for byte. It begins where the module's state is known: at
// the start of a session or at a checkpoint. watch may be nil. others gets each item that
// is no event or action, and may be nil.
func Replay(r *Reader, watch Watcher, others func(*Item)) (*Report, error) {
	p := &replay{watch: watch}
	var it Item
	for {
		err := r.Next(&it)
		if err == io.EOF {
			p.settle()
			return &p.Report, nil
		}
		if err != nil {
			return &p.Report, err
		}
		if it.Kind != ItemAction {
			p.settle()
		}
		switch it.Kind {
		case ItemSession:
			p.Sessions++
			p.start, p.fresh = it.Start, true
			if p.bal, err = balancer.New(it.Start.Settings, it.Start.Seed); err != nil {
				return &p.Report, fmt.Errorf("the start of a session: %w", err)
			}
		case ItemCheckpoint:
			if err := p.checkpoint(it.Checkpoint); err != nil {
				// Of another build: where the state is known all the same, it goes on.
				p.ForeignCheckpoints++
				p.ForeignWhy = err.Error()
			}
		case ItemEvent:
			p.tell(&it.Event)
		case ItemAction:
			if p.told {
				p.recorded = append(p.recorded, it.Action)
			}
		case ItemLoss:
			p.bal = nil
			if p.lost++; p.lost <= lossesMost {
				p.Losses = append(p.Losses, it.Text)
			} else {
				p.Losses[lossesMost-1] = fmt.Sprintf("... and %d more", p.lost-lossesMost+1)
			}
		}
		if others != nil && it.Kind != ItemEvent && it.Kind != ItemAction {
			others(&it)
		}
	}
}

func (p *replay) checkpoint(saved []byte) error {
	if p.start == nil {
		return errors.New("the settings it belongs to are not known")
	}
	bal, err := balancer.Restore(p.start.Settings, saved)
	if err != nil {
		return err
	}
	if p.fresh {
		// A session that goes on from the one before: this is its state.
	} else if p.bal != nil && p.Divergence == nil {
		p.a = p.bal.Checkpoint(p.a[:0])
		if !bytes.Equal(p.a, saved) {
			p.differ("state", fmt.Sprintf("a checkpoint of %d bytes", len(saved)), fmt.Sprintf("another of %d bytes", len(p.a)))
		} else {
			p.Checked++
		}
	}
	p.bal, p.fresh = bal, false
	return nil
}

func (p *replay) tell(e *Event) {
	if p.bal == nil {
		p.SkippedEvents++
		return
	}
	p.Events++
	p.fresh = false
	p.event, p.told = *e, true
	p.event.Hosts = append(p.hosts[:0], e.Hosts...) // the reader will use its own anew
	p.hosts = p.event.Hosts
	e.Tell(p.bal)
	p.acts = p.bal.TakeActions(p.acts[:0])
}

// settle compares the actions of the last event.
func (p *replay) settle() {
	if !p.told {
		return
	}
	p.told = false
	for i := range max(len(p.recorded), len(p.acts)) {
		p.a, p.b = p.a[:0], p.b[:0]
		if i < len(p.recorded) {
			p.a = putAction(p.a, &p.recorded[i])
		}
		if i < len(p.acts) {
			p.b = putAction(p.b, &p.acts[i])
		}
		if bytes.Equal(p.a, p.b) {
			p.Actions++
			continue
		}
		p.differ(fmt.Sprintf("action %d", i+1), describe(p.recorded, i), describe(p.acts, i))
		break
	}
	if p.watch != nil {
		p.watch(p.bal, &p.event, p.recorded)
	}
	p.recorded = p.recorded[:0]
}

func (p *replay) differ(what, recorded, replayed string) {
	if p.Divergence == nil {
		p.Divergence = &Difference{p.event.At, p.Events, what, recorded, replayed}
	}
}

// describe puts the i-th action into words.
func describe(list []balancer.Action, i int) string {
	if i >= len(list) {
		return "none"
	}
	switch a := &list[i]; a.Kind {
	case balancer.Send:
		return fmt.Sprintf("Send %d to %x until %v", a.Request, uint64(a.Host), a.At)
	case balancer.Cancel:
		return fmt.Sprintf("Cancel %d/%d", a.Request, a.Attempt)
	case balancer.Reject:
		return fmt.Sprintf("Refuse %d (%v) after %v", a.Request, a.Cause, a.RetryAfter)
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
