package faulttest

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// TransferCause is a cause of the transfer of a lease.
type TransferCause string

// Causes of transfers. The values are their names on command lines.
const (
	HolderKilled         TransferCause = "kill"
	HolderPaused         TransferCause = "stop" // the holder is paused for pauseDuration
	HolderIsolated       TransferCause = "cut"
	HolderNotReceiving   TransferCause = "deaf"
	HolderNotSending     TransferCause = "mute"
	OperatorTransfer     TransferCause = "planned"
	LeaderKilled         TransferCause = "leader" // the holder is also the leader
	HolderTerminated     TransferCause = "sigterm"
	LeaderTerminated     TransferCause = "sigterm of the leader" // the holder is also the leader
	AllGatewaysRestarted TransferCause = "all down"              // all gateways but the spared one are killed and started again
)

// TransferCauses lists all causes.
var TransferCauses = []TransferCause{
	HolderKilled, HolderPaused, HolderIsolated, HolderNotReceiving, HolderNotSending, OperatorTransfer, LeaderKilled,
	HolderTerminated, LeaderTerminated, AllGatewaysRestarted,
}

// requiresLeader reports whether the holder must also be the leader.
func (c TransferCause) requiresLeader() bool { return c == LeaderKilled || c == LeaderTerminated }

const (
	// sessionDuration is the TTL of sessions in the program.
	sessionDuration = 3 * time.Second
	// pauseDuration is how long a holder or relay is paused.
	pauseDuration = 3 * sessionDuration
	// maxTransferTime is the timeout of a whole transfer, on a busy machine.
	maxTransferTime = 60 * time.Second
)

// errNoLeader is returned if no gateway is the leader.
var errNoLeader = errors.New("there is no leader")

// TransferLease causes a transfer of a lease. It returns the time until the next holder acquires the lease: from the fault
// or, for OperatorTransfer, from the release by the holder. A holder that is isolated or terminated may continue its work
// under the lease for a part of that time. Except for OperatorTransfer, the fault does not affect spared, which may be nil.
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

// prepareHolder returns the holder of a lease. If the holder is the spared gateway, or is not the leader and the cause
// requires that, it first transfers the lease as an operator.
func (f *Fleet) prepareHolder(ctx context.Context, cause TransferCause, lease string, spared *Gateway) (*Gateway, error) {
	holder := f.LeaseHolder(lease)
	if holder == spared && cause != OperatorTransfer {
		if _, err := f.TransferLease(ctx, OperatorTransfer, lease, spared); err != nil {
			return nil, err
		}
		holder = f.LeaseHolder(lease)
		if holder == spared {
			return nil, fmt.Errorf("%s is still held by the spared gateway after a transfer", lease)
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
		return nil, fmt.Errorf("the leader %s is the spared gateway", leader.Name)
	}
	// A response other than 200 makes the wait below fail.
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

// run causes the transfer and measures the time that TransferLease returns.
func (t *leaseTransfer) run(ctx context.Context) (time.Duration, error) {
	history := t.fleet.History
	first := history.Len()
	start := history.Now()
	if err := t.inject(); err != nil {
		return 0, err
	}
	if t.cause == OperatorTransfer { // the holder continues its work until it is notified of the transfer
		e, _, err := history.Wait(ctx, first, t.isReleased)
		if err != nil {
			return 0, fmt.Errorf("%s did not release %s: %w", t.holder.Name, t.lease, err)
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

// isAcquired reports whether an event is the acquisition by the next holder. After a restart of all gateways the next
// holder may be the same gateway.
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
