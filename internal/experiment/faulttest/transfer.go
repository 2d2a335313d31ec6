package faulttest

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// TransferCause is why a lease gets another holder.
type TransferCause string

// Causes, by their names on command lines.
const (
	HolderKilled         TransferCause = "kill"
	HolderPaused         TransferCause = "stop" // for three sessions
	HolderIsolated       TransferCause = "cut"
	HolderNotReceiving   TransferCause = "deaf"
	HolderNotSending     TransferCause = "mute"
	OperatorTransfer     TransferCause = "planned"
	LeaderKilled         TransferCause = "leader" // which is the holder too
	HolderTerminated     TransferCause = "sigterm"
	LeaderTerminated     TransferCause = "sigterm of the leader" // which is the holder too
	AllGatewaysRestarted TransferCause = "all down"              // all are killed and started again
)

// TransferCauses lists all causes.
var TransferCauses = []TransferCause{
	HolderKilled, HolderPaused, HolderIsolated, HolderNotReceiving, HolderNotSending, OperatorTransfer, LeaderKilled,
	HolderTerminated, LeaderTerminated, AllGatewaysRestarted,
}

// requiresLeader reports whether the holder must be the leader too.
func (c TransferCause) requiresLeader() bool { return c == LeaderKilled || c == LeaderTerminated }

const (
	// sessionDuration is how long sessions of the program last.
	sessionDuration = 3 * time.Second
	// pauseDuration is how long a paused holder pauses.
	pauseDuration = 3 * sessionDuration
	// maxTransferTime is how long a transfer may take in all, on a busy machine.
	maxTransferTime = 60 * time.Second
)

// errNoLeader is the error where no gateway is the leader.
var errNoLeader = errors.New("there is no leader")

// TransferLease causes a transfer of a lease. It returns how long no gateway held the lease and knew it: from the fault,
// or the end of the holder's work in OperatorTransfer, to the acquisition by the next holder. spared, which may be nil,
// is not the holder.
func (f *Fleet) TransferLease(ctx context.Context, cause TransferCause, lease string, spared *Gateway) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, maxTransferTime)
	defer cancel()
	if err := f.WaitUntil(ctx, "the fleet converges before a transfer", maxTransferTime, f.Converged); err != nil {
		return 0, err
	}
	holder, err := f.prepareHolder(ctx, cause, lease, spared)
	if err != nil {
		return 0, err
	}
	t := &leaseTransfer{fleet: f, cause: cause, lease: lease, holder: holder, spared: spared}
	gap, err := t.run(ctx)
	if err != nil {
		return 0, err
	}
	if err := f.Heal(); err != nil {
		return 0, err
	}
	what := fmt.Sprintf("the fleet converges after %s of %s", cause, holder.Name)
	return gap, f.WaitUntil(ctx, what, maxTransferTime, f.Converged)
}

// prepareHolder returns the holder of a lease, after transfers by an operator where it is the spared gateway, or must be
// the leader.
func (f *Fleet) prepareHolder(ctx context.Context, cause TransferCause, lease string, spared *Gateway) (*Gateway, error) {
	holder := f.LeaseHolder(lease)
	if holder == spared && cause != OperatorTransfer {
		if _, err := f.TransferLease(ctx, OperatorTransfer, lease, spared); err != nil {
			return nil, err
		}
		holder = f.LeaseHolder(lease)
		if holder == spared {
			return nil, fmt.Errorf("%s stays with the gateway to be spared", lease)
		}
	}
	if holder == nil {
		return nil, fmt.Errorf("%s has no holder", lease)
	}
	if !cause.requiresLeader() {
		return holder, nil
	}
	leader := f.Leader()
	if leader == nil {
		return nil, errNoLeader
	}
	if leader == spared {
		return nil, fmt.Errorf("the leader %s is to be spared", leader.Name)
	}
	// A response other than 200 shows in the wait below.
	if _, _, err := f.Gateways[0].postTransfer(lease, leader); err != nil {
		return nil, err
	}
	holdsLease := func() bool { return f.LeaseHolder(lease) == leader && f.Converged() }
	return leader, f.WaitUntil(ctx, "the leader holds "+lease, maxTransferTime, holdsLease)
}

// leaseTransfer is one transfer of a lease.
type leaseTransfer struct {
	fleet  *Fleet
	cause  TransferCause
	lease  string
	holder *Gateway
	spared *Gateway
}

// run causes the transfer and measures the time without a holder.
func (t *leaseTransfer) run(ctx context.Context) (time.Duration, error) {
	history := t.fleet.History
	first := history.Len()
	start := history.Now()
	if err := t.inject(); err != nil {
		return 0, err
	}
	if t.cause == OperatorTransfer { // the holder works until it learns of the transfer
		e, _, err := history.Wait(ctx, first, t.isReleased)
		if err != nil {
			return 0, fmt.Errorf("%s does not release %s: %w", t.holder.Name, t.lease, err)
		}
		start = e.At
	}
	acquired, _, err := history.Wait(ctx, first, t.isAcquired)
	if err != nil {
		return 0, fmt.Errorf("no gateway acquired %s after %s of %s: %w", t.lease, t.cause, t.holder.Name, err)
	}
	if t.cause == HolderPaused {
		time.Sleep(max(0, start+pauseDuration-history.Now()))
	}
	return max(0, acquired.At-start), nil
}

func (t *leaseTransfer) isReleased(e Event) bool {
	return e.Kind == LeaseNoLongerHeld && e.Lease == t.lease && e.Gateway == t.holder.Name
}

// isAcquired reports whether an event is the acquisition by the next holder. After a restart of all gateways it may be
// the same one.
func (t *leaseTransfer) isAcquired(e Event) bool {
	isNext := e.Gateway != t.holder.Name || t.cause == AllGatewaysRestarted
	return e.Kind == LeaseAcquired && e.Lease == t.lease && isNext
}

// inject causes the transfer.
func (t *leaseTransfer) inject() error {
	switch t.cause {
	case HolderKilled, LeaderKilled:
		t.holder.Kill()
	case HolderPaused:
		return t.holder.Pause()
	case HolderIsolated:
		t.fleet.Isolate(t.holder, true, true)
	case HolderNotReceiving:
		t.fleet.Isolate(t.holder, false, true)
	case HolderNotSending:
		t.fleet.Isolate(t.holder, true, false)
	case OperatorTransfer:
		to := t.fleet.next(t.holder, 1)
		if to == t.spared {
			to = t.fleet.next(t.holder, 2)
		}
		return t.holder.transfer(t.lease, to)
	case HolderTerminated, LeaderTerminated:
		_, err := t.holder.Terminate(maxTransferTime)
		return err
	case AllGatewaysRestarted:
		return t.restartAll()
	}
	return nil
}

func (t *leaseTransfer) restartAll() error {
	for _, g := range t.fleet.Gateways {
		if g != t.spared {
			g.Kill()
		}
	}
	for _, g := range t.fleet.Gateways {
		if g == t.spared {
			continue
		}
		if err := g.Start(); err != nil {
			return err
		}
	}
	return nil
}
