package httpwire

import (
	"net/http"
)

const (
	// maxLine bounds the line of a chunk's size with its extensions.
	maxLine = 256
	// maxTrailer bounds what stands behind the last chunk.
	maxTrailer = 8 << 10
	// Around each chunk freeAround bytes are free, and as many again as the chunk has; beyond
	// that moreAround in all. It guards against bodies of bytes in single chunks with long
	// extensions, which cost much to read and bring nothing.
	freeAround = 16
	moreAround = 16 << 10
)

// ChunkedDecoder takes a chunked body apart (RFC 9112, 7.1). The zero Chunks stands before the first
// chunk.
type ChunkedDecoder struct {
	state   chunkState
	left    int64 // of the chunk
	digits  int
	line    int   // bytes of the line that is on
	around  int64 // bytes that were no content, less what is free
	trailer []byte
	// Trailer is what stood behind the last chunk, once Done.
	Trailer http.Header
}

type chunkState uint8

const (
	inSize chunkState = iota
	inExtension
	inSizeEnd // LF
	inData
	inDataCR
	inDataLF
	inTrailer
	ended
)

// Done says that the body is whole.
func (c *ChunkedDecoder) Done() bool { return c.state == ended }

// Remaining is how much content of the chunk that is on is yet to come. That much may be read past the
// Chunks, and is told by Took.
func (c *ChunkedDecoder) Remaining() int64 {
	if c.state != inData {
		return 0
	}
	return c.left
}

// Consume says that n bytes of content were read past the Chunks.
func (c *ChunkedDecoder) Consume(n int64) {
	if c.left -= n; c.left == 0 {
		c.state = inDataCR
	}
}

// Next takes from src: it says how many bytes it has used up, and which of them are content.
// It stops behind content, so that there is one piece of that at a time; it never goes beyond
// the body's end.
func (c *ChunkedDecoder) Next(src []byte) (used int, content []byte, err error) {
	for used < len(src) && c.state != ended {
		b := src[used]
		if c.state == inData {
			n := int(min(c.left, int64(len(src)-used)))
			content = src[used : used+n]
			if c.left -= int64(n); c.left == 0 {
				c.state = inDataCR
			}
			return used + n, content, nil
		}
		used++
		if c.around++; c.around > moreAround {
			return used, nil, ErrLong
		}
		switch c.state {
		case inSize, inExtension:
			if c.line++; c.line > maxLine {
				return used, nil, ErrLong
			}
			switch x := unhex(b); {
			case b == '\r' && c.digits > 0:
				c.state = inSizeEnd
			case c.state == inExtension:
				if b < ' ' && b != '\t' || b == 0x7f {
					return used, nil, ErrChunk
				}
			case x >= 0 && c.digits < 15: // so that it fits an int64
				c.left, c.digits = c.left<<4|int64(x), c.digits+1
			case b == ';' && c.digits > 0:
				c.state = inExtension
			default:
				return used, nil, ErrChunk
			}
		case inSizeEnd:
			if b != '\n' {
				return used, nil, ErrChunk
			}
			c.around = max(0, c.around-freeAround-c.left)
			if c.line, c.digits, c.state = 0, 0, inData; c.left == 0 {
				c.state, c.around = inTrailer, 0
			}
		case inDataCR:
			if c.state = inDataLF; b != '\r' {
				return used, nil, ErrChunk
			}
		case inDataLF:
			if c.state = inSize; b != '\n' {
				return used, nil, ErrChunk
			}
		case inTrailer:
			if c.trailer = append(c.trailer, b); len(c.trailer) > maxTrailer {
				return used, nil, ErrLong
			}
			if b != '\n' {
				continue
			}
			if n := len(c.trailer); n < 2 || c.trailer[n-2] != '\r' {
				return used, nil, ErrChunk
			}
			if n := len(c.trailer); n == 2 || n >= 4 && string(c.trailer[n-4:]) == "\r\n\r\n" {
				if c.Trailer, err = fields(string(c.trailer)); err != nil {
					return used, nil, err
				}
				for name := range c.Trailer {
					if framing[name] {
						return used, nil, ErrTrailer
					}
				}
				c.trailer, c.state = nil, ended
			}
		}
	}
	return used, nil, nil
}

func unhex(b byte) int {
	switch {
	case '0' <= b && b <= '9':
		return int(b - '0')
	case 'a' <= b && b <= 'f':
		return int(b-'a') + 10
	case 'A' <= b && b <= 'F':
		return int(b-'A') + 10
	}
	return -1
}
