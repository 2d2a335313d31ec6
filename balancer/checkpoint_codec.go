package balancer

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
)

// checkpointCodec encodes or decodes a checkpoint: each of its code functions appends the value to buf, or
// sets it from the first bytes of buf and takes those off. Integers are varints, signed ones zigzag-encoded;
// floats are 8 bytes, little-endian.
type checkpointCodec struct {
	buf      []byte
	decoding bool
	err      error // the first; after it, values are zero
}

// float64Size is the size of an encoded float in bytes.
const float64Size = 8

var errTruncated = errors.New("it is cut off")

// fail notes an error, unless there was one before.
func (c *checkpointCodec) fail(format string, args ...any) { c.setError(fmt.Errorf(format, args...)) }

func (c *checkpointCodec) setError(err error) {
	if c.err == nil {
		c.err = err
	}
	c.buf = nil
}

// codeUint codes an unsigned integer.
func (c *checkpointCodec) codeUint(v *uint64) {
	if !c.decoding {
		c.buf = binary.AppendUvarint(c.buf, *v)
		return
	}
	decoded, size := binary.Uvarint(c.buf)
	if size <= 0 {
		*v = 0
		c.setError(errTruncated)
		return
	}
	*v = decoded
	c.buf = c.buf[size:]
}

// codeInt codes an integer that may be negative.
func codeInt[T ~int | ~int64 | ~uint8 | ~uint64](c *checkpointCodec, v *T) {
	signed := int64(*v)
	zigzag := uint64(signed<<1) ^ uint64(signed>>63)
	c.codeUint(&zigzag)
	*v = T(int64(zigzag>>1) ^ -int64(zigzag&1))
}

// codeFloat codes a float.
func (c *checkpointCodec) codeFloat(v *float64) {
	if !c.decoding {
		c.buf = binary.LittleEndian.AppendUint64(c.buf, math.Float64bits(*v))
		return
	}
	if len(c.buf) < float64Size {
		*v = 0
		c.setError(errTruncated)
		return
	}
	*v = math.Float64frombits(binary.LittleEndian.Uint64(c.buf))
	c.buf = c.buf[float64Size:]
}

// codeBool codes a bool as 0 or 1.
func (c *checkpointCodec) codeBool(v *bool) {
	var bit uint64
	if *v {
		bit = 1
	}
	c.codeUint(&bit)
	*v = bit != 0
}

// codeCount codes a number of items, each of which has at least a byte: it guards against allocating memory
// for items that are not there. It returns the number.
func (c *checkpointCodec) codeCount(n int) int {
	count := uint64(n)
	c.codeUint(&count)
	if c.decoding && count > uint64(len(c.buf)) {
		c.fail("%d items in %d bytes", count, len(c.buf))
		return 0
	}
	return int(count)
}

// codeIndex codes an index below n, or -1. It returns the index.
func (c *checkpointCodec) codeIndex(i, n int) int {
	codeInt(c, &i)
	outOfRange := i < -1 || i >= n
	if c.decoding && outOfRange {
		c.fail("%d is not among %d", i, n)
		return -1
	}
	return i
}

// codeAverages codes moving averages and their number.
func (c *checkpointCodec) codeAverages(averages *[]movingAverage) {
	n := c.codeCount(len(*averages))
	if c.decoding {
		*averages = make([]movingAverage, n)
	}
	for i := range *averages {
		c.codeAverage(&(*averages)[i])
	}
}

// codeAverage codes a moving average.
func (c *checkpointCodec) codeAverage(average *movingAverage) {
	c.codeFloat(&average.mean)
	c.codeFloat(&average.dev)
	c.codeBool(&average.seen)
	codeInt(c, &average.n)
	codeInt(c, &average.at)
}

// codeRate codes a rate.
func (c *checkpointCodec) codeRate(rate *decayingRate) {
	c.codeFloat(&rate.rate)
	codeInt(c, &rate.at)
	if c.decoding {
		rate.readAt = -1 // it is computed again
	}
}
