package faulttest

import (
	"context"
	"fmt"
	"net/url"
	"slices"
	"time"
)

// Cause is why a duty changes hands.
type Cause string

// The causes.
const (
	Kill     Cause = "kill"                  // the owner's process is killed
	Stop     Cause = "stop"                  // it is stopped for three times a session, and goes on
	Cut      Cause = "cut"                   // it is cut off, both ways
	Deaf     Cause = "deaf"                  // it is heard, and hears nothing
	Mute     Cause = "mute"                  // it hears, and is not heard
	Planned  Cause = "planned"               // an operator moves the duty
	Leader   Cause = "leader"                // the leader of the record, which is the owner too, is killed
	EndsAll  Cause = "sigterm"               // the owner is asked to end
	EndsLead Cause = "sigterm of the leader" // of the record, which is the owner too
	AllDown  Cause = "all down"              // all gateways are killed and started again
)

// Causes is all of them.
var Causes = []Cause{Kill, Stop, Cut, Deaf, Mute, Planned, Leader, EndsAll, EndsLead, AllDown}

// sessionTime is how long a session of the program lasts; a stopped owner stands for three.
const sessionTime = 3 * time.Second

// handsMost is how long a change of hands may take in all, on a machine that does other things
// beside.
const handsMost = 60 * time.Second

// Hands has a duty change hands for a cause, and returns for how long no gateway owned it and knew
// of it: from the fault, or the owner's own end of its work, until the next has taken it up.
func (f *Fleet) Hands(ctx context.Context, cause Cause, duty string, spare *Gateway) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, handsMost)
	defer cancel()
	if err := f.Until(ctx, "whole before a change of hands", handsMost, f.Whole); err != nil {
		return 0, err
	}
	owner := f.Owner(duty)
	if owner == spare && cause != Planned {
		if _, err := f.Hands(ctx, Planned, duty, spare); err != nil {
			return 0, err
		}
		if owner = f.Owner(duty); owner == spare {
			return 0, fmt.Errorf("%s stays with %s, which is to be spared", duty, spare.Name)
		}
	}
	if owner == nil {
		return 0, fmt.Errorf("nobody owns %s", duty)
	}
	if cause == Leader || cause == EndsLead {
		if owner = f.Leader(); owner == nil || owner == spare {
			return 0, fmt.Errorf("the leader is nobody, or whom to spare")
		}
		if _, _, err := f.Gateways[0].Call("move", url.Values{"duty": {duty}, "to": {owner.Name}}); err != nil {
			return 0, err
		}
		if err := f.Until(ctx, "the leader owns "+duty, handsMost, func() bool { return f.Owner(duty) == owner && f.Whole() }); err != nil {
			return 0, err
		}
	}
	n, began := f.History.Len(), f.History.Now()
	if err := f.hit(cause, owner, duty, spare); err != nil {
		return 0, err
	}
	if cause == Planned { // the owner works until it has been asked to stop
		e, _, err := f.History.Wait(ctx, n, func(e Event) bool { return e.Duty == duty && e.Kind == LaidDown && e.Gateway == owner.Name })
		if err != nil {
			return 0, fmt.Errorf("%s does not lay down %s: %w", owner.Name, duty, err)
		}
		began = e.At
	}
	e, _, err := f.History.Wait(ctx, n, func(e Event) bool {
		return e.Kind == TakenUp && e.Duty == duty && (e.Gateway != owner.Name || cause == AllDown)
	})
	if err != nil {
		return 0, fmt.Errorf("nobody took up %s after %s of %s: %w", duty, cause, owner.Name, err)
	}
	if cause == Stop {
		time.Sleep(max(0, began+3*sessionTime-f.History.Now())) // the stop itself
	}
	if err := f.Heal(); err != nil {
		return 0, err
	}
	return max(0, e.At-began), f.Until(ctx, fmt.Sprintf("whole after %s of %s", cause, owner.Name), handsMost, f.Whole)
}

// hit puts the cause in.
func (f *Fleet) hit(cause Cause, owner *Gateway, duty string, spare *Gateway) error {
	switch cause {
	case Kill, Leader:
		owner.Kill()
	case Stop:
		return owner.Stop()
	case Cut:
		f.Alone(owner, true, true)
	case Deaf:
		f.Alone(owner, false, true)
	case Mute:
		f.Alone(owner, true, false)
	case Planned:
		i := slices.Index(f.Gateways, owner)
		to := f.Gateways[(i+1)%len(f.Gateways)]
		if to == spare {
			to = f.Gateways[(i+2)%len(f.Gateways)]
		}
		status, text, err := owner.Call("move", url.Values{"duty": {duty}, "to": {to.Name}})
		if err == nil && status != 200 {
			err = fmt.Errorf("move answers %d %s", status, text)
		}
		return err
	case EndsAll, EndsLead:
		_, err := owner.Terminate(handsMost)
		return err
	case AllDown:
		for _, g := range f.Gateways {
			if g != spare {
				g.Kill()
			}
		}
		for _, g := range f.Gateways {
			if g != spare {
				if err := g.Start(); err != nil {
					return err
				}
			}
		}
	}
	return nil
}
