package balancer

import (
	"errors"
	"fmt"
)

// A checkpoint is the complete state of a Balancer as bytes. A Balancer restored from it acts exactly as the
// one that it was taken from, so that a recording can be replayed from any checkpoint and not only from the
// start.
//
// The code functions below encode or decode, as the codec says: one function for both keeps them alike. The
// order of the fields is that of the format.

// checkpointVersion changes whenever the contents of a checkpoint change.
const checkpointVersion = 4

// Checkpoint appends the state to dst. The actions decided before must have been taken.
func (b *Balancer) Checkpoint(dst []byte) []byte {
	encoder := checkpointCodec{buf: dst}
	version := uint64(checkpointVersion)
	encoder.codeUint(&version)
	b.codeState(&encoder)
	return encoder.buf
}

// Restore returns the Balancer that a checkpoint was taken of, or an error where the data is not a checkpoint
// of this version and these settings. The settings must be those that the Balancer had.
func Restore(settings Settings, data []byte) (*Balancer, error) {
	b, err := New(settings, 0)
	if err != nil {
		return nil, err
	}
	decoder := checkpointCodec{buf: data, decoding: true}
	var version uint64
	decoder.codeUint(&version)
	if version != checkpointVersion {
		return nil, fmt.Errorf("checkpoint: version %d, this build reads %d", version, checkpointVersion)
	}
	b.codeState(&decoder)
	if decoder.err == nil && len(decoder.buf) > 0 {
		decoder.err = errors.New("it is followed by more bytes")
	}
	if decoder.err != nil {
		return nil, fmt.Errorf("checkpoint: %w", decoder.err)
	}
	return b, nil
}

// codeState codes the state, without the settings and what is derived from them.
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
	b.codeLearnt(c)
	if c.err != nil {
		return
	}
	b.codeLimits(c)
	b.codePolling(c)
	b.codeLogs(c)
	b.codeHosts(c)
	b.codeRequests(c)
}

// codeLearnt codes what was learnt of classes and kinds of hosts.
func (b *Balancer) codeLearnt(c *checkpointCodec) {
	classes := len(b.settings.Classes)
	c.codeAverages(&b.typicalRTT.byClass)
	if c.decoding && len(b.typicalRTT.byClass) != classes {
		c.fail("it is of %d classes, the settings have %d", len(b.typicalRTT.byClass), classes)
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

// codeLimits codes the quotas, the send rate and the share of unanswered attempts, and the times of the next
// sweep and poll, which the format has among them.
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
