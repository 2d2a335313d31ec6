package httpwire

import "net/http"

const (
	// maxSizeLineBytes limits the line with the size and the extensions of a chunk, without its LF.
	maxSizeLineBytes = 256
	// maxSizeDigits limits the hexadecimal digits of a chunk size, so that the size fits in an int64.
	maxSizeDigits = 15
	// maxTrailerBytes limits the length of the trailer section.
	maxTrailerBytes = 8 << 10
	// freeOverheadBytes is the number of framing bytes of a chunk that don't count against maxOverheadBytes, in
	// addition to as many bytes as the chunk has content.
	freeOverheadBytes = 16
	// maxOverheadBytes limits the framing bytes of all chunks together, without the bytes that don't count. It prevents
	// bodies that are expensive to read and have little content, such as chunks of a single byte with long extensions.
	maxOverheadBytes = 16 << 10
)

// ChunkedDecoder decodes a chunked body (RFC 9112, 7.1). The zero value is ready to decode a body from its first byte.
type ChunkedDecoder struct {
	// FromServer makes the decoder accept what some servers send and what is unambiguous: white space after the size of a
	// chunk, and any field in the trailer section, as those that must not be there are not forwarded. It must be set
	// before the first byte is decoded.
	FromServer bool

	state         chunkState
	remaining     int64  // content bytes of the current chunk that have not been decoded yet
	sizeDigits    int    // number of size digits decoded in the current size line
	sizeLineBytes int    // number of bytes decoded in the current size line
	overhead      int64  // number of framing bytes decoded, without those that don't count
	trailerText   []byte // trailer section as received so far

	// Trailer is the trailer section. It is set when the body is complete.
	Trailer http.Header
}

// chunkState is the element of a chunked body that the next byte belongs to.
type chunkState uint8

const (
	stateSize chunkState = iota
	stateExtension
	stateSizeLF
	stateData
	stateDataCR
	stateDataLF
	stateTrailer
	stateDone
)

// Done reports whether the body is complete, with its trailer section.
func (c *ChunkedDecoder) Done() bool { return c.state == stateDone }

// Remaining returns the number of content bytes of the current chunk that have not been decoded yet. The caller may
// read up to that many bytes directly from the underlying reader, and must then call Consume.
func (c *ChunkedDecoder) Remaining() int64 {
	if c.state != stateData {
		return 0
	}
	return c.remaining
}

// Consume advances the decoder by n content bytes that the caller has read directly from the underlying reader. n must
// not exceed Remaining.
func (c *ChunkedDecoder) Consume(n int64) {
	c.remaining -= n
	if c.remaining == 0 {
		c.state = stateDataCR
	}
}

// Next decodes bytes from the start of src. It returns the number of bytes used and the content among them, as a
// subslice of src. It returns after each piece of content, and never uses bytes after the end of the body. After an
// error the decoder must not be used any more.
func (c *ChunkedDecoder) Next(src []byte) (used int, content []byte, err error) {
	for used < len(src) && c.state != stateDone {
		if c.state == stateData {
			n := int(min(c.remaining, int64(len(src)-used)))
			content = src[used : used+n]
			c.Consume(int64(n))
			return used + n, content, nil
		}
		b := src[used]
		used++
		c.overhead++
		if c.overhead > maxOverheadBytes {
			return used, nil, ErrChunkOverhead
		}
		if err := c.framingByte(b); err != nil {
			return used, nil, err
		}
	}
	return used, nil, nil
}

// framingByte decodes a byte that is not part of the content.
func (c *ChunkedDecoder) framingByte(b byte) error {
	switch c.state {
	case stateSize, stateExtension:
		return c.sizeLineByte(b)
	case stateSizeLF:
		if b != '\n' {
			return ErrChunk
		}
		c.startChunk()
	case stateDataCR:
		if b != '\r' {
			return ErrChunk
		}
		c.state = stateDataLF
	case stateDataLF:
		if b != '\n' {
			return ErrChunk
		}
		c.state = stateSize
	case stateTrailer:
		return c.trailerByte(b)
	}
	return nil
}

// sizeLineByte decodes a byte of a chunk's size or extensions.
func (c *ChunkedDecoder) sizeLineByte(b byte) error {
	c.sizeLineBytes++
	if c.sizeLineBytes > maxSizeLineBytes {
		return ErrChunkOverhead
	}
	if b == '\r' && c.sizeDigits > 0 {
		c.state = stateSizeLF
		return nil
	}
	if c.state == stateExtension {
		if isControl(b) {
			return ErrChunk
		}
		return nil
	}
	if c.sizeDigits > 0 && (b == ';' || c.FromServer && isSpace(b)) {
		c.state = stateExtension
		return nil
	}
	digit, ok := hexDigit(b)
	if !ok || c.sizeDigits >= maxSizeDigits {
		return ErrChunk
	}
	c.remaining = c.remaining<<4 | digit
	c.sizeDigits++
	return nil
}

// startChunk starts the content of a chunk whose size line is complete. A chunk of size 0 is the last chunk, which is
// followed by the trailer section.
func (c *ChunkedDecoder) startChunk() {
	c.overhead = max(0, c.overhead-freeOverheadBytes-c.remaining)
	c.sizeLineBytes = 0
	c.sizeDigits = 0
	c.state = stateData
	if c.remaining == 0 {
		c.state = stateTrailer
		c.overhead = 0
	}
}

// trailerByte decodes a byte of the trailer section.
func (c *ChunkedDecoder) trailerByte(b byte) error {
	c.trailerText = append(c.trailerText, b)
	n := len(c.trailerText)
	if n > maxTrailerBytes {
		return ErrChunkOverhead
	}
	if b != '\n' {
		return nil
	}
	if n < 2 || c.trailerText[n-2] != '\r' {
		return ErrChunk
	}
	atEmptyLine := n == 2 || n >= 4 && string(c.trailerText[n-4:]) == "\r\n\r\n"
	if !atEmptyLine {
		return nil
	}
	trailer, err := parseFieldLines(string(c.trailerText))
	c.Trailer = trailer
	if err != nil {
		return err
	}
	if !c.FromServer && hasForbiddenField(trailer) {
		return ErrTrailerField
	}
	c.trailerText = nil
	c.state = stateDone
	return nil
}

// hasForbiddenField reports whether a trailer section has a field that must not be in one.
func hasForbiddenField(trailer http.Header) bool {
	for name := range trailer {
		if forbiddenInTrailer[name] {
			return true
		}
	}
	return false
}

// isSpace reports whether b is white space within a line (RFC 9110, 5.6.3).
func isSpace(b byte) bool { return b == ' ' || b == '\t' }

// hexDigit returns the value of a hexadecimal digit.
func hexDigit(b byte) (value int64, ok bool) {
	switch {
	case '0' <= b && b <= '9':
		return int64(b - '0'), true
	case 'a' <= b && b <= 'f':
		return int64(b-'a') + 10, true
	case 'A' <= b && b <= 'F':
		return int64(b-'A') + 10, true
	}
	return 0, false
}
