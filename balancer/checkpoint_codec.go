package balancer

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
)

// checkpointCodec encodes or decodes a checkpoint. Its code methods append a value to buf when encoding,
// and consume the value from the start of buf when decoding. Integers are varints, signed ones with zigzag
// encoding; floats are 8 bytes in little-endian order.
type checkpointCodec struct {
	buf      []byte
	decoding bool
	err      error // the first error; values decoded after it are zero
}

// float64Size is the encoded size of a float64 in bytes.
const float64Size = 8

var errTruncated = errors.New("unexpected end of data")

// fail records an error unless there is one already.
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

// codeCount codes the number of the items that follow, and returns it. An item takes at least one byte, so
// a count above the number of remaining bytes is rejected before memory is allocated for the items.
func (c *checkpointCodec) codeCount(n int) int {
	count := uint64(n)
	c.codeUint(&count)
	if c.decoding && count > uint64(len(c.buf)) {
		c.fail("count %d exceeds the %d remaining bytes", count, len(c.buf))
		return 0
	}
	return int(count)
}

// codeIndex codes an index in [-1, n), and returns it.
func (c *checkpointCodec) codeIndex(i, n int) int {
	codeInt(c, &i)
	outOfRange := i < -1 || i >= n
	if c.decoding && outOfRange {
		c.fail("index %d is out of range, length %d", i, n)
		return -1
	}
	return i
}

// codeAverages codes a slice of moving averages with its length.
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
		rate.readAt = -1 // invalidates the cached value
	}
}
