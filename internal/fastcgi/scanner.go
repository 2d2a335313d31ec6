package fastcgi

// Event is what a Scanner found next in a stream of bytes.
type Event uint8

// Events of a Scanner.
const (
	// NeedMore: all bytes are used, and the next event needs more.
	NeedMore Event = iota
	// RecordStart: the header of a record is complete; see Scanner.Header.
	RecordStart
	// RecordContent: a part of the record's content.
	RecordContent
	// RecordEnd: the record has ended, with its padding.
	RecordEnd
)

// Scanner splits a stream of bytes into records. The zero value is at the start of a record.
type Scanner struct {
	rawHeader        [HeaderBytes]byte
	rawBytes         int // of rawHeader so far
	header           Header
	inRecord         bool // the header is complete
	remainingContent int
	remainingPadding int
}

// Header returns the header of the current record.
func (s *Scanner) Header() Header { return s.header }

// AtRecordBoundary reports whether the stream is between two records: one that ends there is not truncated.
func (s *Scanner) AtRecordBoundary() bool { return !s.inRecord && s.rawBytes == 0 }

// Next returns the next event and the bytes of b behind it. For RecordContent, part is the content and a part of
// b. After an error, which is ErrVersion, the Scanner can't be used any more.
func (s *Scanner) Next(b []byte) (event Event, part, rest []byte, err error) {
	if !s.inRecord {
		return s.nextHeader(b)
	}
	if s.remainingContent > 0 {
		if len(b) == 0 {
			return NeedMore, nil, nil, nil
		}
		n := min(s.remainingContent, len(b))
		s.remainingContent -= n
		return RecordContent, b[:n], b[n:], nil
	}
	n := min(s.remainingPadding, len(b))
	s.remainingPadding -= n
	if s.remainingPadding > 0 {
		return NeedMore, nil, b[n:], nil
	}
	s.inRecord = false
	return RecordEnd, nil, b[n:], nil
}

func (s *Scanner) nextHeader(b []byte) (event Event, part, rest []byte, err error) {
	n := copy(s.rawHeader[s.rawBytes:], b)
	s.rawBytes += n
	rest = b[n:]
	if s.rawBytes < HeaderBytes {
		return NeedMore, nil, rest, nil
	}
	s.header, err = ParseHeader(s.rawHeader[:])
	if err != nil {
		return NeedMore, nil, rest, err
	}
	s.rawBytes = 0
	s.inRecord = true
	s.remainingContent = s.header.ContentBytes
	s.remainingPadding = s.header.PaddingBytes
	return RecordStart, nil, rest, nil
}
