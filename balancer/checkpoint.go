package balancer

import (
	"errors"
	"fmt"
)

// A checkpoint is the complete state of a Balancer, encoded as bytes. A Balancer restored from it produces
// exactly the same actions as the original, so that a replay of a recording can start at any checkpoint.
//
// Each code method both encodes and decodes, depending on the codec, so that the two directions cannot
// diverge. The order of the fields defines the format.

// checkpointVersion must be raised whenever the contents of a checkpoint change.
const checkpointVersion = 4

// Checkpoint appends the encoded state to dst. The caller must have taken all pending actions before.
func (b *Balancer) Checkpoint(dst []byte) []byte {
	encoder := checkpointCodec{buf: dst}
	version := uint64(checkpointVersion)
	encoder.codeUint(&version)
	b.codeState(&encoder)
	return encoder.buf
}

// Restore returns a Balancer with the state of a checkpoint, or an error if the data is not a checkpoint of
// this version for these settings. The settings must be those of the Balancer that wrote the checkpoint.
func Restore(settings Settings, data []byte) (*Balancer, error) {
	b, err := New(settings, 0)
	if err != nil {
		return nil, err
	}
	decoder := checkpointCodec{buf: data, decoding: true}
	var version uint64
	decoder.codeUint(&version)
	if version != checkpointVersion {
		return nil, fmt.Errorf("checkpoint: unsupported version %d, want %d", version, checkpointVersion)
	}
	b.codeState(&decoder)
	if decoder.err == nil && len(decoder.buf) > 0 {
		decoder.err = errors.New("trailing data after the state")
	}
	if decoder.err != nil {
		return nil, fmt.Errorf("checkpoint: %w", decoder.err)
	}
	return b, nil
}

// codeState codes the state, except for the settings and values derived from them.
func (b *Balancer) codeState(c *checkpointCodec) {
	codeInt(c, &b.random.state)
	codeInt(c, &b.now)
	codeInt(c, &b.subset.nextMove)
	codeInt(c, &b.queues.lastUnserved)
	codeInt(c, &b.sweep.inFlight)
	codeInt(c, &b.subset.scanned)
	c.codeBool(&b.ring.built)
	c.codeBool(&b.subset.current)
	c.codeRate(&b.arrivals)
	c.codeRate(&b.sendRate.sent)
	c.codeRate(&b.pacer.successes)
	b.codeEstimates(c)
	if c.err != nil {
		return
	}
	b.codeLimits(c)
	b.codePolling(c)
	b.codeLogs(c)
	b.codeHosts(c)
	b.codeRequests(c)
}

// codeEstimates codes the estimates by class and by kind of host.
func (b *Balancer) codeEstimates(c *checkpointCodec) {
	classes := len(b.settings.Classes)
	c.codeAverages(&b.typicalRTT.byClass)
	if c.decoding && len(b.typicalRTT.byClass) != classes {
		c.fail("%d classes in the checkpoint, %d in the settings", len(b.typicalRTT.byClass), classes)
		return
	}
	for class := range b.starvation.unserved {
		share := &b.starvation.unserved[class]
		c.codeFloat(&share.share)
		codeInt(c, &share.at)
	}
	c.codeAverages(&b.typicalRTT.byKind)
	c.codeAverage(&b.typicalRTT.any)
	c.codeAverage(&b.pacer.warmHostRate)
	c.codeAverage(&b.sendRate.recentRTT)
}

// codeLimits codes the quotas, the send rate, the share of unanswered attempts, and the times of the next
// sweep and the next poll, which the format places between them.
func (b *Balancer) codeLimits(c *checkpointCodec) {
	for tenant := range b.quotas.buckets {
		bucket := &b.quotas.buckets[tenant]
		c.codeFloat(&bucket.tokens)
		codeInt(c, &bucket.refilledAt)
	}
	codeInt(c, &b.sendRate.reducedAt)
	codeInt(c, &b.sendRate.grownAt)
	codeInt(c, &b.sendRate.refilledAt)
	codeInt(c, &b.sweep.at)
	codeInt(c, &b.poller.pollAt)
	c.codeFloat(&b.sendRate.limit)
	c.codeFloat(&b.sendRate.tokens)
	c.codeFloat(&b.stalled.unansweredShare)
}

func (b *Balancer) codePolling(c *checkpointCodec) {
	c.codeBool(&b.poller.listsArrive)
	codeInt(c, &b.poller.failures)
}

func (b *Balancer) codeLogs(c *checkpointCodec) {
	for kind := range b.logs {
		limiter := &b.logs[kind]
		codeInt(c, &limiter.at)
		c.codeBool(&limiter.logged)
		codeInt(c, &limiter.suppressed)
	}
}
